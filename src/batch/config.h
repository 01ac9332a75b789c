#pragma once

#include "batch/job.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace pomelokeel::batch {

/// Maps requests for a host and a path prefix to a queue. The longest matching
/// prefix wins.
struct Route {
  std::string m_host;
  std::string m_prefix;
  Queue m_queue;
  bool m_public = false; ///< Requests need no key.
  Millis m_timeoutMs = 0;
};

/// A client account. Its keys authorise requests.
struct Account {
  std::string m_name;
  std::vector<std::string> m_keys;
  /// Number of accelerators guaranteed to its jobs of priority 0 at any time.
  std::int64_t m_guaranteed = 0;
};

/// One version of the operator's configuration.
struct Config {
  std::int64_t m_version = 0;
  std::vector<Route> m_routes;
  std::vector<Account> m_accounts;
  /// Maximum size of a request body; 0: no limit in this configuration.
  std::size_t m_maxBodyBytes = 0;
};

/// Returns the route of \p Path at \p Host, or null.
const Route *findRoute(const Config &C, std::string_view Host,
                       std::string_view Path);

/// Returns the account that \p Key belongs to, or null.
const Account *findAccount(const Config &C, std::string_view Key);

/// Number of guaranteed accelerators by account name.
std::map<std::string, std::int64_t> guaranteesOf(const Config &C);

} // namespace pomelokeel::batch
