#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace pomelokeel::base {

/// A metric value that any thread may read or change.
using Counter = std::atomic<std::int64_t>;

/// The metrics of a process, by name. Thread-safe. References returned by get()
/// stay valid as long as the Counters object.
class Counters {
public:
  /// Returns the counter \p Name and creates it with value 0 on first use. The
  /// name may include Prometheus labels: `bytes_sent{region="pacifico"}`.
  Counter &get(const std::string &Name);

  /// Adds an observation of \p Ms milliseconds to the histogram \p Name. The
  /// name may include labels.
  void observe(const std::string &Name, std::int64_t Ms);

  /// Returns all counters in the Prometheus text format, each name prefixed
  /// with `pomelokeel_`.
  std::string render() const;

private:
  mutable std::mutex m_mutex;
  std::map<std::string, Counter> m_counters;
};

} // namespace pomelokeel::base
