#pragma once

#include "base/clock.h"
#include "http/reactor.h"

#include <functional>
#include <memory>
#include <utility>

namespace pomelokeel::node {

using base::Millis;

/// Ends a process in time after it was told to stop: it goes on serving for a
/// while, then closes, and ends once it is idle. All times count from the
/// first request to stop, because the platform kills the process a fixed time
/// after it.
class GracefulStop {
public:
  struct Steps {
    std::function<void(Millis LimitMs)> m_begin;
    std::function<void(Millis LeftMs)>
        m_close; ///< With the time until the end.
    std::function<bool()> m_idle;
    std::function<void()> m_end;
  };

  GracefulStop(std::unique_ptr<http::Timer> T, Steps S)
      : m_timer(std::move(T)), m_steps(std::move(S)) {}

  /// Goes on serving for \p ServeMs and ends within \p LimitMs. Does nothing if
  /// the stop has begun.
  void begin(Millis ServeMs, Millis LimitMs);

private:
  void endWhenIdle();

  std::unique_ptr<http::Timer> m_timer;
  Steps m_steps;
  Millis m_deadline = -1; ///< -1 before begin().
  bool m_wasIdle = false; ///< At the last check.
};

} // namespace pomelokeel::node
