#pragma once

#include "base/error.h"

#include <cstdint>
#include <string>

namespace pomelokeel::http::detail {

/// A parsed `host:port` or `[v6]:port`.
struct HostPort {
  std::string m_host;
  std::uint16_t m_port = 0;
};

/// Error: badSettings.
base::Result<HostPort> splitHostPort(const std::string &Address);

} // namespace pomelokeel::http::detail
