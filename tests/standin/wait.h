#pragma once

#include "base/clock.h"

#include <chrono>
#include <thread>

namespace pomelokeel::standin {

/// Calls \p Holds every millisecond until it returns true or \p TimeoutMs have
/// passed. Returns whether it returned true.
template <typename Condition>
bool eventually(Condition Holds, base::Millis TimeoutMs = 10000) {
  const base::Millis DeadlineMs = base::monotonicNow() + TimeoutMs;
  while (!Holds()) {
    if (base::monotonicNow() > DeadlineMs)
      return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  return true;
}

} // namespace pomelokeel::standin
