#pragma once

#include "base/clock.h"

#include <functional>
#include <memory>
#include <vector>

namespace pomelokeel::http {

using base::Millis;

/// Runs a function after a time. One at a time: start() replaces what waits.
class Timer {
public:
  virtual ~Timer() = default;
  virtual void start(Millis AfterMs, std::function<void()> Run) = 0;
  virtual void cancel() = 0;
};

/// The event loop of a process whose duties share one thread: sockets, timers
/// and signals. All handlers run on the thread that calls run().
class Reactor {
public:
  static std::unique_ptr<Reactor> create();

  virtual ~Reactor() = default;

  /// Serves until stop().
  virtual void run() = 0;
  virtual void stop() = 0;

  /// Runs \p Run soon, not within this call.
  virtual void post(std::function<void()> Run) = 0;

  virtual std::unique_ptr<Timer> timer() = 0;

  /// Calls \p Run with the number of each signal of \p Signals that arrives.
  virtual void onSignals(const std::vector<int> &Signals,
                         std::function<void(int)> Run) = 0;
};

} // namespace pomelokeel::http
