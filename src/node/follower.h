#pragma once

#include "http/reactor.h"
#include "node/store.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace pomelokeel::node {

/// Follows a stream of the store: reads a snapshot of its newest records
/// first, then each new record. Retries failed reads.
class Follower {
public:
  struct Handlers {
    /// Called with a whole snapshot, before its records. Keys that it does not
    /// contain do not exist. Not called if not set.
    std::function<void(const std::vector<KeyedRecord> &)> m_snapshot;
    /// Called for each record; the records of a key come in order.
    std::function<void(const KeyedRecord &)> m_record;
    /// All records before the given end offset of the stream were delivered.
    /// The read that showed this was sent at the given time.
    std::function<void(std::int64_t, Millis)> m_caughtUp;
    /// The store has become reachable (true) or unreachable (false).
    std::function<void(bool)> m_reachabilityChanged;
  };

  /// \p WaitMs is the long-poll timeout of a read.
  Follower(http::Reactor &R, Store &S, Stream Which, Millis WaitMs, Handlers H);
  ~Follower();

  /// Abandons the current call and reads a snapshot again.
  void restart();

  /// Sets the long-poll timeout of all later reads.
  void setWait(Millis WaitMs) { m_waitMs = WaitMs; }

  /// End of the stream when it was last read.
  std::int64_t end() const { return m_nextOffset; }

private:
  void readSnapshot();
  void readNext();
  void retry(std::function<void()> Step);
  void setReachable(bool Reachable);

  Store &m_store;
  Stream m_stream;
  Millis m_waitMs;
  Handlers m_handlers;
  std::unique_ptr<http::Timer> m_timer;
  std::int64_t m_nextOffset = 0;
  bool m_reachable = true;
  /// Replaced by restart(), so that answers to earlier calls are ignored.
  std::shared_ptr<int> m_callToken;
};

} // namespace pomelokeel::node
