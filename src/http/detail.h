#pragma once

#include "base/error.h"

#include <cstdint>
#include <string>

namespace pomelokeel::http::detail {

/// A parsed `host:port` or `[v6]:port`; m_host is without the brackets.
struct HostPort {
  std::string m_host;
  std::uint16_t m_port = 0;
};

/// Splits \p Address at its last colon. Error: badSettings.
base::Result<HostPort> splitHostPort(const std::string &Address);

} // namespace pomelokeel::http::detail
