#pragma once

#include "http/reactor.h"
#include "node/store.h"

#include <functional>
#include <memory>

namespace pomelokeel::node {

/// Keeps up with a stream: its newest records first, then each new one.
class Follower {
public:
  struct Handlers {
    /// Each record, in order per key.
    std::function<void(const KeyedRecord &)> m_record;
    /// All records of the store up to now were handed over; the stream's end.
    std::function<void(std::int64_t)> m_current;
    /// The store was lost (false) or regained (true).
    std::function<void(bool)> m_reachable;
  };

  Follower(http::Reactor &R, Store &S, Stream Which, Millis WaitMs, Handlers H);
  ~Follower();

  /// Reads all newest records again.
  void restart();

private:
  void snapshot();
  void follow();
  void retry(std::function<void()> Step);
  void setReachable(bool Reachable);

  Store &m_store;
  Stream m_stream;
  Millis m_waitMs;
  Handlers m_handlers;
  std::unique_ptr<http::Timer> m_timer;
  std::int64_t m_next = 0;
  bool m_reachable = true;
  std::shared_ptr<int> m_turn; // Of the current chain of calls.
};

} // namespace pomelokeel::node
