#include "base/clock.h"

#include <algorithm>
#include <chrono>

#include <time.h>

namespace pomelokeel::base {
namespace {

// Falls back to monotonicNow() if the system has no such clock.
Millis read(clockid_t Clock) {
  constexpr Millis MsPerSecond = 1000;
  constexpr Millis NsPerMs = 1000000;
  timespec T{};
  if (clock_gettime(Clock, &T) != 0)
    return monotonicNow();
  return T.tv_sec * MsPerSecond + T.tv_nsec / NsPerMs;
}

} // namespace

Millis monotonicNow() {
  using namespace std::chrono;
  return duration_cast<milliseconds>(steady_clock::now().time_since_epoch())
      .count();
}

Millis bootNow() { return read(CLOCK_BOOTTIME); }

Millis threadCpuNow() { return read(CLOCK_THREAD_CPUTIME_ID); }

Millis wallNow() {
  using namespace std::chrono;
  return duration_cast<milliseconds>(system_clock::now().time_since_epoch())
      .count();
}

Stamp HybridClock::tick() {
  const std::lock_guard Lock(m_mutex);
  return advance(wallNow(), m_last);
}

Stamp HybridClock::observe(const Stamp &Remote) {
  const std::lock_guard Lock(m_mutex);
  return advance(wallNow(), std::max(m_last, Remote));
}

Stamp HybridClock::advance(Millis Wall, const Stamp &Floor) {
  if (Wall > Floor.m_wall)
    m_last = {Wall, 0};
  else
    m_last = {Floor.m_wall, Floor.m_count + 1};
  return m_last;
}

} // namespace pomelokeel::base
