#include "entry/replica.h"

#include <algorithm>
#include <utility>

namespace pomelokeel::entry {
namespace {

// A peer that has just applied a record is ahead until the record arrives here.
// Agents are refused only if this entry lags for longer.
constexpr Millis MaxPeerLeadMs = 1000;

// Agents are refused if the end of the log was not read for this long while the
// log is readable.
constexpr Millis MaxEndReadAgeMs = 2000;

} // namespace

bool Replica::load(state::State S) {
  if (m_staleEvents > 0)
    --m_staleEvents;
  if (S.m_nextOffset < m_state.m_nextOffset)
    return false;
  m_next = std::max(m_next, S.m_nextOffset);
  m_state = std::move(S);
  m_behindRetention = false;
  return true;
}

void Replica::apply(const logclient::Batch &B, Millis NowMs,
                    const OnApplied &Each) {
  m_readable = true;
  m_behindRetention = false;
  for (const model::LogEntry &E : B.m_entries) {
    if (E.m_offset < m_state.m_nextOffset)
      continue;
    const state::Applied A = state::apply(m_state, E);
    Each(E, A);
  }
  if (!B.m_entries.empty() && m_state.m_timeMs > m_logTimeMs) {
    m_logTimeMs = m_state.m_timeMs;
    m_timeAnchorMs = NowMs;
  }
  m_end = std::max(m_end, B.m_end);
  m_next = std::max({m_next, m_state.m_nextOffset, B.m_next});
  if (m_next >= m_peersOffset)
    m_behindSinceMs.reset();
  if (m_staleEvents > 0) {
    --m_staleEvents;
    return;
  }
  if (m_next < B.m_end)
    return;
  m_logEndRead = true;
  m_endReadMs = NowMs;
}

void Replica::onReadFailed(const base::Error &E) {
  if (m_staleEvents > 0)
    --m_staleEvents;
  m_readable = false;
  m_behindRetention = E.m_kind == base::ErrorKind::BehindRetention;
}

void Replica::recordPeerOffset(std::uint64_t NextOffset, Millis NowMs) {
  m_peersOffset = std::max(m_peersOffset, NextOffset);
  if (m_next < m_peersOffset && !m_behindSinceMs)
    m_behindSinceMs = NowMs;
}

void Replica::onResumed(std::size_t Backlog) {
  m_staleEvents = Backlog;
  m_logEndRead = false;
}

std::string Replica::notReadyReason() const {
  if (m_behindRetention)
    return "the log dropped records that were not read, and there is no usable "
           "snapshot";
  if (!m_endReadMs)
    return "the end of the log was not read yet";
  return "";
}

std::string Replica::attachRefusal(Millis NowMs) const {
  if (auto Reason = notReadyReason(); !Reason.empty())
    return Reason;
  if (!logEndRead())
    return "the end of the log was not read since this process was frozen";
  if (m_behindSinceMs && NowMs - *m_behindSinceMs >= MaxPeerLeadMs)
    return "a peer has applied records that this entry has not read";
  if (m_readable && endReadAge(NowMs) >= MaxEndReadAgeMs)
    return "the end of the log was not read for " +
           std::to_string(endReadAge(NowMs)) + " ms";
  return "";
}

Millis Replica::endReadAge(Millis NowMs) const {
  return m_endReadMs ? NowMs - *m_endReadMs : -1;
}

Millis Replica::logTime(Millis NowMs) const {
  return m_logTimeMs == 0 ? 0 : m_logTimeMs + (NowMs - m_timeAnchorMs);
}

} // namespace pomelokeel::entry
