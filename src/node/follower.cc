#include "node/follower.h"

#include "base/clock.h"

#include <utility>

namespace pomelokeel::node {
namespace {

/// Delay after a failed read. Outages last seconds and each call has a cost.
constexpr Millis RetryMs = 400;

} // namespace

Follower::Follower(http::Reactor &R, Store &S, Stream Which, Millis WaitMs,
                   Handlers H)
    : m_store(S), m_stream(Which), m_waitMs(WaitMs), m_handlers(std::move(H)),
      m_timer(R.timer()) {
  restart();
}

Follower::~Follower() = default;

void Follower::restart() {
  m_callToken = std::make_shared<int>();
  m_timer->cancel();
  readSnapshot();
}

void Follower::readSnapshot() {
  m_store.snapshot(m_stream, [this, SentAt = base::bootNow(),
                              Token = std::weak_ptr<int>(m_callToken)](
                                 base::Result<Snapshot> R) {
    if (Token.expired())
      return;
    setReachable(R.ok());
    if (!R)
      return retry([this] { readSnapshot(); });
    m_nextOffset = R->m_end;
    if (m_handlers.m_snapshot)
      m_handlers.m_snapshot(R->m_records);
    for (const KeyedRecord &Record : R->m_records)
      m_handlers.m_record(Record);
    m_handlers.m_caughtUp(m_nextOffset, SentAt);
    if (!Token.expired())
      readNext();
  });
}

void Follower::readNext() {
  // A long poll that starts during an outage would hang for its whole timeout,
  // so reads do not wait while the store is unreachable.
  const Millis WaitMs = m_reachable ? m_waitMs : 0;
  m_store.follow(
      m_stream, m_nextOffset, WaitMs,
      [this, SentAt = base::bootNow(),
       Token = std::weak_ptr<int>(m_callToken)](base::Result<Page> R) {
        if (Token.expired())
          return;
        setReachable(R.ok());
        if (!R)
          return retry([this] { readNext(); });
        if (R->m_truncated)
          return readSnapshot();
        m_nextOffset = R->m_next;
        for (const KeyedRecord &Record : R->m_records)
          m_handlers.m_record(Record);
        m_handlers.m_caughtUp(m_nextOffset, SentAt);
        // A handler may have restarted the reads.
        if (!Token.expired())
          readNext();
      });
}

void Follower::retry(std::function<void()> Step) {
  m_timer->start(RetryMs, std::move(Step));
}

void Follower::setReachable(bool Reachable) {
  if (std::exchange(m_reachable, Reachable) != Reachable &&
      m_handlers.m_reachabilityChanged)
    m_handlers.m_reachabilityChanged(Reachable);
}

} // namespace pomelokeel::node
