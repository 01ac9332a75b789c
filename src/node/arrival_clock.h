#pragma once

#include "base/clock.h"

namespace pomelokeel::node {

using base::Millis;

/// Estimates since when a request may have waited that is read now. Requests
/// wait in their sockets while the process is suspended or its event loop is
/// busy.
class ArrivalClock {
public:
  explicit ArrivalClock(Millis Now) : m_tickAt(Now) {}

  /// To be called by a periodic step of the event loop, several times a second.
  void tick(Millis Now) {
    m_waitingSince = isLate(Now) ? m_tickAt : -1;
    m_tickAt = Now;
  }

  /// Earliest time at which a request that is read at \p Now may have arrived.
  /// The exact time if the event loop was not late.
  Millis earliestArrival(Millis Now) const {
    if (isLate(Now))
      return m_tickAt;
    return m_waitingSince >= 0 ? m_waitingSince : Now;
  }

private:
  /// Delay of a step beyond which the process counts as suspended. On a busy
  /// machine steps are late by some hundred milliseconds.
  static constexpr Millis MaxStepMs = 1000;

  bool isLate(Millis Now) const { return Now - m_tickAt > MaxStepMs; }

  Millis m_tickAt;
  /// Since when requests may have waited that are read until the next step, or
  /// -1 if the last step was not late.
  Millis m_waitingSince = -1;
};

} // namespace pomelokeel::node
