#include "node/follower.h"

#include <utility>

namespace pomelokeel::node {
namespace {

/// Pause after a failed read: an outage lasts seconds, each call has a price.
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
  m_turn = std::make_shared<int>();
  m_timer->cancel();
  snapshot();
}

void Follower::snapshot() {
  m_store.snapshot(m_stream, [this, Turn = std::weak_ptr<int>(m_turn)](
                                 base::Result<Snapshot> R) {
    if (Turn.expired())
      return;
    setReachable(R.ok());
    if (!R)
      return retry([this] { snapshot(); });
    m_next = R->m_end;
    for (const KeyedRecord &Record : R->m_records)
      m_handlers.m_record(Record);
    m_handlers.m_current(m_next);
    follow();
  });
}

void Follower::follow() {
  // A read that waits would hang for its whole wait if it began in an outage.
  const Millis WaitMs = m_reachable ? m_waitMs : 0;
  m_store.follow(
      m_stream, m_next, WaitMs,
      [this, Turn = std::weak_ptr<int>(m_turn)](base::Result<Page> R) {
        if (Turn.expired())
          return;
        setReachable(R.ok());
        if (!R)
          return retry([this] { follow(); });
        if (R->m_truncated)
          return snapshot();
        m_next = R->m_next;
        for (const KeyedRecord &Record : R->m_records)
          m_handlers.m_record(Record);
        m_handlers.m_current(m_next);
        follow();
      });
}

void Follower::retry(std::function<void()> Step) {
  m_timer->start(RetryMs, std::move(Step));
}

void Follower::setReachable(bool Reachable) {
  if (std::exchange(m_reachable, Reachable) != Reachable &&
      m_handlers.m_reachable)
    m_handlers.m_reachable(Reachable);
}

} // namespace pomelokeel::node
