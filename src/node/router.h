#pragma once

#include "batch/config.h"
#include "batch/messages.h"

#include <optional>
#include <string>
#include <variant>

namespace pomelokeel::node {

/// A caller's call, decoded.
struct CallerCall {
  enum class Method { Submit, Query, Cancel };
  Method m_method = Method::Query;
  std::string m_host;
  std::string m_path;
  std::string m_key;
  std::optional<batch::JobSpec> m_spec; ///< Of Submit; none if malformed.
  std::string m_problem;                ///< Why m_spec is missing.
  base::Millis m_remainingMs = 0;
};

/// Turns a call into a request to the leader under the configuration \p C, or
/// tells why it gets none. Without a configuration nothing is known to be
/// wrong, so the caller is to come back.
std::variant<batch::CallerRequest, batch::CallerReply>
route(const std::optional<batch::Config> &C, CallerCall Call);

} // namespace pomelokeel::node
