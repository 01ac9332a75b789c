#pragma once

#include "base/clock.h"

#include <algorithm>

namespace pomelokeel::batch {

using base::Millis;

/// Measures the time in which a process was able to receive messages. After a
/// step of the event loop that comes late, messages that arrived in time may
/// still be waiting, so the delay counts only up to a limit. The silence of
/// others is measured with this clock.
class AttentionClock {
public:
  /// \p MaxStepMs is the longest time that one step counts for.
  AttentionClock(Millis Now, Millis MaxStepMs)
      : m_steppedAt(Now), m_maxStepMs(MaxStepMs) {}

  /// To be called by a periodic step of the event loop. Returns by how much the
  /// step was late, in ms.
  Millis step(Millis Now) {
    const Millis Passed = std::max<Millis>(Now - m_steppedAt, 0);
    m_steppedAt = Now;
    m_now += std::min(Passed, m_maxStepMs);
    return std::max<Millis>(Passed - m_maxStepMs, 0);
  }

  /// Time in ms that counts since the construction.
  Millis now() const { return m_now; }

private:
  Millis m_steppedAt;
  Millis m_maxStepMs;
  Millis m_now = 0;
};

} // namespace pomelokeel::batch
