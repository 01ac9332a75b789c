#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace pomelokeel::base {

/// A value that is read from any thread.
using Counter = std::atomic<std::int64_t>;

/// The counters of a process by name. Thread-safe. References returned by
/// get() stay valid for the registry's lifetime.
class Counters {
public:
  /// Returns the counter \p Name, which may carry Prometheus labels:
  /// `bytes_sent{region="pacifico"}`.
  Counter &get(const std::string &Name);

  /// Counts \p Ms in the histogram \p Name, which may carry labels.
  void observe(const std::string &Name, std::int64_t Ms);

  /// Renders all counters in the Prometheus text format.
  std::string render() const;

private:
  mutable std::mutex m_mutex;
  std::map<std::string, Counter> m_counters;
};

} // namespace pomelokeel::base
