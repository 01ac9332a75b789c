#include "node/graceful_stop.h"

#include <algorithm>
#include <utility>

namespace pomelokeel::node {
namespace {

constexpr Millis PollMs = 50;

} // namespace

void GracefulStop::begin(Millis ServeMs, Millis LimitMs) {
  if (m_deadline >= 0)
    return;
  m_deadline = base::bootNow() + LimitMs;
  m_steps.m_begin(LimitMs);
  m_timer->start(ServeMs, [this] {
    m_steps.m_close(std::max<Millis>(m_deadline - base::bootNow(), 0));
    endWhenIdle();
  });
}

void GracefulStop::endWhenIdle() {
  // Answers that were given just before may not be sent yet, so the process
  // must be found idle twice.
  const bool WasIdle = std::exchange(m_wasIdle, m_steps.m_idle());
  if ((WasIdle && m_wasIdle) || base::bootNow() >= m_deadline)
    return m_steps.m_end();
  m_timer->start(PollMs, [this] { endWhenIdle(); });
}

} // namespace pomelokeel::node
