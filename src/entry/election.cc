#include "entry/election.h"

#include <algorithm>
#include <utility>

namespace pomelokeel::entry {
namespace {

using base::Millis;

// Longer than an append and its read-back within a region, so that the process
// of the next rank reads a claim before it would append its own.
constexpr Millis RankDelayMs = 150;
// Bounds the delay when many of the listed members have crashed.
constexpr std::size_t MaxRank = 8;
// Time in which a peer that closed a link should accept a new one. A link to a
// running peer is opened again after 50 ms and a round trip.
constexpr Millis ClosedLinkMs = 300;
constexpr Millis ClaimWindowMs = 60000;
constexpr std::size_t MaxDoublings = 4; // a factor of 16

std::size_t recentClaims(const state::State &S) {
  const Millis FromMs = S.m_timeMs - ClaimWindowMs;
  return static_cast<std::size_t>(std::ranges::count_if(
      S.m_recentClaimsMs, [&](Millis T) { return T >= FromMs; }));
}

// Factor of all timeouts. It grows with each recent claim, so that entries do
// not keep replacing each other as leader.
Millis backoff(const state::State &S) {
  const std::size_t Claims = recentClaims(S);
  return Millis{1} << std::min(Claims == 0 ? 0 : Claims - 1, MaxDoublings);
}

// Whether the log shows that the leader process has ended: it left, or another
// process was announced under its name.
bool hasDeparted(const state::State &S) {
  if (S.m_epoch == 0)
    return false;
  const auto It = S.m_members.find(S.m_leader);
  return It == S.m_members.end() ||
         It->second.m_incarnation != S.m_leaderIncarnation;
}

} // namespace

Election::Election(std::string Name, std::string Incarnation,
                   Millis LeaderTimeoutMs)
    : m_name(std::move(Name)), m_incarnation(std::move(Incarnation)),
      m_leaderTimeoutMs(LeaderTimeoutMs) {}

void Election::recordLeaderContact(std::uint64_t Epoch, Millis NowMs) {
  // A replaced leader may still send heartbeats.
  if (Epoch < m_epoch)
    return;
  enterEpoch(Epoch);
  m_lastContactMs = std::max(m_lastContactMs, NowMs);
}

void Election::enterEpoch(std::uint64_t Epoch) {
  if (Epoch <= m_epoch)
    return;
  m_epoch = Epoch;
  m_departedMs.reset();
  m_claimAnsweredMs.reset();
}

void Election::recordMemberContact(const std::string &Name, Millis NowMs) {
  m_memberContactMs[Name] = NowMs;
}

void Election::updateLeaderLink(Millis ClosedForMs, Millis NowMs) {
  if (ClosedForMs < 0)
    m_linkClosedMs.reset();
  else
    m_linkClosedMs = NowMs - ClosedForMs;
}

void Election::onClaimAnswered(Millis NowMs) {
  m_claiming = false;
  m_claimAnsweredMs = NowMs;
  m_lastContactMs = std::max(m_lastContactMs, NowMs);
}

// A process that just started, or that was frozen, does not know whether the
// leader is alive, so it waits for the whole timeout.
void Election::observe(const state::State &S, Millis NowMs) {
  const bool Resumed =
      m_lastCheckMs < 0 || NowMs - m_lastCheckMs >= m_leaderTimeoutMs;
  m_lastCheckMs = NowMs;
  if (Resumed || S.m_epoch > m_epoch) {
    m_lastContactMs = std::max(m_lastContactMs, NowMs);
    m_departedMs.reset();
  }
  enterEpoch(S.m_epoch);
  if (!hasDeparted(S))
    m_departedMs.reset();
  else if (!m_departedMs)
    m_departedMs = NowMs;
}

// Each departure needs a new record, so leaders cannot keep replacing each
// other through departures, and no backoff applies. A claim that did not take
// effect is repeated only after the full timeout, because the log may be slow.
bool Election::leaderHasEnded(const state::State &S, Millis NowMs) const {
  if (m_claimAnsweredMs && NowMs - *m_claimAnsweredMs < claimTimeout(S))
    return false;
  if (m_departedMs && NowMs - *m_departedMs >= rankDelay(S))
    return true;
  return m_linkClosedMs && NowMs - std::max(*m_linkClosedMs, m_lastContactMs) >=
                               closedLinkTimeout(S);
}

bool Election::shouldClaim(const state::State &S, Millis NowMs) {
  observe(S, NowMs);
  const auto Self = S.m_members.find(m_name);
  if (m_claiming || isLeader(S) || Self == S.m_members.end() ||
      Self->second.m_incarnation != m_incarnation)
    return false;
  if (NowMs - m_lastContactMs < claimTimeout(S) && !leaderHasEnded(S, NowMs))
    return false;
  m_claiming = true;
  return true;
}

bool Election::isLeader(const state::State &S) const {
  return S.m_epoch != 0 && S.m_leader == m_name &&
         S.m_leaderIncarnation == m_incarnation;
}

std::size_t Election::rank(const state::State &S) const {
  std::size_t Rank = 0;
  for (const auto &[Name, Member] : S.m_members) {
    if (Name >= m_name)
      break;
    if (Name == S.m_leader)
      continue;
    const auto Contact = m_memberContactMs.find(Name);
    const bool Live = m_memberContactMs.empty() ||
                      (Contact != m_memberContactMs.end() &&
                       m_lastCheckMs - Contact->second < 2 * m_leaderTimeoutMs);
    Rank += Live ? 1 : 0;
  }
  return std::min(Rank, MaxRank);
}

Millis Election::rankDelay(const state::State &S) const {
  return RankDelayMs * static_cast<Millis>(rank(S));
}

Millis Election::claimTimeout(const state::State &S) const {
  if (S.m_epoch == 0)
    return rankDelay(S);
  return m_leaderTimeoutMs * backoff(S) + rankDelay(S);
}

Millis Election::closedLinkTimeout(const state::State &S) const {
  return std::min(ClosedLinkMs, m_leaderTimeoutMs) * backoff(S) + rankDelay(S);
}

} // namespace pomelokeel::entry
