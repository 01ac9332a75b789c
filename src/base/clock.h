#pragma once

#include "base/fields.h"

#include <compare>
#include <cstdint>
#include <mutex>

namespace pomelokeel::base {

/// Milliseconds. The epoch depends on the source.
using Millis = std::int64_t;

/// Monotonic time. Continues while a process is stopped.
Millis monotonicNow();

/// Monotonic time that also counts while the machine is suspended.
Millis bootNow();

/// Wall clock time since the Unix epoch. Only for display and event stamps.
Millis wallNow();

/// Hybrid logical clock stamp: orders cause before effect across processes
/// with wrong wall clocks.
struct Stamp {
  Millis m_wall = 0;
  std::uint32_t m_count = 0;

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

  /// Advances past \p Remote, the stamp of a received message or record.
  Stamp observe(const Stamp &Remote);

private:
  Stamp advance(Millis Wall, const Stamp &Floor);

  std::mutex m_mutex;
  Stamp m_last;
};

} // namespace pomelokeel::base
