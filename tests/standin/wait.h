#pragma once

#include "base/clock.h"

#include <chrono>
#include <thread>

namespace pomelokeel::standin {

/// Waits until \p Holds returns true, at most \p DeadlineMs. Returns whether it
/// did.
template <typename Condition>
bool eventually(Condition Holds, base::Millis DeadlineMs = 10000) {
  const base::Millis Deadline = base::monotonicNow() + DeadlineMs;
  while (!Holds()) {
    if (base::monotonicNow() > Deadline)
      return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  return true;
}

} // namespace pomelokeel::standin
