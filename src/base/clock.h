#pragma once

#include "base/fields.h"

#include <compare>
#include <cstdint>
#include <mutex>

namespace pomelokeel::base {

/// Milliseconds: a duration, or a time since the epoch of the clock that
/// returned it.
using Millis = std::int64_t;

/// Monotonic time. Advances while the process is stopped, for example by
/// SIGSTOP, but not while the machine is suspended.
Millis monotonicNow();

/// Monotonic time that also advances while the machine is suspended. Falls back
/// to monotonicNow() if the system has no such clock.
Millis bootNow();

/// Processor time that the calling thread has used. Falls back to
/// monotonicNow() if the system has no such clock.
Millis threadCpuNow();

/// Wall clock time since the Unix epoch. Not monotonic: use it only for display
/// and for event stamps.
Millis wallNow();

/// Timestamp of a hybrid logical clock. A cause compares less than its effect,
/// even if the wall clocks of the two processes disagree.
struct Stamp {
  Millis m_wall = 0;         ///< Largest wall clock time seen so far.
  std::uint32_t m_count = 0; ///< Orders stamps with the same m_wall.

  auto operator<=>(const Stamp &) const = default;

  static constexpr auto fields() {
    return std::tuple{required("wall", &Stamp::m_wall),
                      required("count", &Stamp::m_count)};
  }
};

/// The hybrid logical clock of a process. Thread-safe.
class HybridClock {
public:
  /// Returns a stamp for a local event or a message to send.
  Stamp tick();

  /// Advances the clock past \p Remote, the stamp of a received message or
  /// record, and returns the new stamp.
  Stamp observe(const Stamp &Remote);

private:
  /// Sets m_last to \p Wall or, if that is not later than \p Floor, to the
  /// stamp after \p Floor. Requires m_mutex.
  Stamp advance(Millis Wall, const Stamp &Floor);

  std::mutex m_mutex;
  Stamp m_last;
};

} // namespace pomelokeel::base
