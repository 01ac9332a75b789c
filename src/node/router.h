#pragma once

#include "batch/config.h"
#include "batch/messages.h"

#include <optional>
#include <string>
#include <variant>

namespace pomelokeel::node {

/// A decoded HTTP call of a caller.
struct CallerCall {
  enum class Method { Submit, Query, Cancel };
  Method m_method = Method::Query;
  std::string m_host;
  std::string m_path;
  std::string m_key;
  std::optional<batch::JobSpec> m_spec; ///< Of Submit; none if malformed.
  std::string m_specError;              ///< Why m_spec is missing.
  base::Millis m_remainingMs = 0;
};

/// Returns the reply that rejects a call for anything but its body: its path,
/// its key, its id or a missing configuration.
std::optional<batch::CallerReply>
rejectionOf(const std::optional<batch::Config> &C, const CallerCall &Call);

/// Turns a call into a request to the leader according to the configuration
/// \p C, or into a reply that rejects it. Without a configuration the reply
/// asks the caller to retry, because the call cannot be checked yet.
std::variant<batch::CallerRequest, batch::CallerReply>
route(const std::optional<batch::Config> &C, CallerCall Call);

} // namespace pomelokeel::node
