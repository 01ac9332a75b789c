#pragma once

#include "base/clock.h"

#include <functional>
#include <memory>

namespace pomelokeel::mesh::detail {

/// Closes sockets on a separate thread, because nng_close() of libnng 1.5.2 may
/// block forever if the peer closes the connection at the same time, so no
/// other thread may wait for it. Thread-safe.
class Closer {
public:
  Closer();

  /// Lets the thread end after the queued calls. Does not wait for it.
  ~Closer();

  Closer(const Closer &) = delete;
  Closer &operator=(const Closer &) = delete;

  /// Queues a call of \p Close, which may block. It may run after finish() has
  /// timed out, so it must only use objects that still exist then.
  void add(std::function<void()> Close);

  /// Waits until all queued calls have returned. Returns false on timeout; the
  /// thread and the sockets not yet closed then remain, at most until the
  /// process ends.
  bool finish(base::Millis TimeoutMs);

private:
  struct State;
  static void run(const std::shared_ptr<State> &S);

  std::shared_ptr<State> m_state;
};

} // namespace pomelokeel::mesh::detail
