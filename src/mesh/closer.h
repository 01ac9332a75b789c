#pragma once

#include "base/clock.h"

#include <functional>
#include <memory>

namespace pomelokeel::mesh::detail {

/// Closes sockets on a thread of its own. nng_close() of libnng 1.5.2 may not
/// return if the peer goes away at the same time; no other thread may wait for
/// it. Thread-safe.
class Closer {
public:
  Closer();

  /// Ends the thread once everything queued is closed, without waiting.
  ~Closer();

  Closer(const Closer &) = delete;
  Closer &operator=(const Closer &) = delete;

  /// Queues \p Close, which may block. It must not use what may be gone after
  /// finish() has given up.
  void add(std::function<void()> Close);

  /// Waits until everything queued is closed. Returns false after the time; the
  /// thread and what it closes are then left to the end of the process.
  bool finish(base::Millis TimeoutMs);

private:
  struct State;
  static void run(const std::shared_ptr<State> &S);

  std::shared_ptr<State> m_state;
};

} // namespace pomelokeel::mesh::detail
