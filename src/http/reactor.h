#pragma once

#include "base/clock.h"

#include <functional>
#include <memory>
#include <vector>

namespace pomelokeel::http {

using base::Millis;

/// Runs a function once after a delay. start() replaces a pending function.
class Timer {
public:
  virtual ~Timer() = default;
  virtual void start(Millis AfterMs, std::function<void()> Run) = 0;
  virtual void cancel() = 0;
};

/// An event loop for sockets, timers and signals, for a process that handles
/// them on one thread. All handlers run on the thread that calls run().
class Reactor {
public:
  static std::unique_ptr<Reactor> create();

  virtual ~Reactor() = default;

  /// Runs handlers until stop() is called.
  virtual void run() = 0;
  virtual void stop() = 0;

  /// Queues \p Run to run on the event loop, never before post() returns.
  virtual void post(std::function<void()> Run) = 0;

  /// Creates a timer whose function runs on this event loop.
  virtual std::unique_ptr<Timer> timer() = 0;

  /// Calls \p Run with the number of each signal of \p Signals that arrives, or
  /// was held back until now.
  virtual void onSignals(const std::vector<int> &Signals,
                         std::function<void(int)> Run) = 0;
};

} // namespace pomelokeel::http
