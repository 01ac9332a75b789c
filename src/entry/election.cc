#include "entry/election.h"

#include <algorithm>
#include <utility>

namespace pomelokeel::entry {
namespace {

using base::Millis;

// Longer than an append and its read-back within a region, so that a process of
// the next rank sees a claim before it makes its own.
constexpr Millis RankDelayMs = 150;
// Bounds the delay when many members are listed that have died.
constexpr std::size_t MaxRank = 8;
// Time for a peer that closed a link to accept a new one. A link to a peer that
// lives is opened again after 50 ms and a round trip.
constexpr Millis ClosedLinkMs = 300;
constexpr Millis ClaimWindowMs = 60000;
constexpr std::size_t MaxDoublings = 4; // a factor of 16

std::size_t recentClaims(const state::State &S) {
  const Millis FromMs = S.m_timeMs - ClaimWindowMs;
  return static_cast<std::size_t>(std::ranges::count_if(
      S.m_recentClaimsMs, [&](Millis T) { return T >= FromMs; }));
}

// Factor of all timeouts, which keeps leaders from replacing each other in
// turn.
Millis backoff(const state::State &S) {
  const std::size_t Claims = recentClaims(S);
  return Millis{1} << std::min(Claims == 0 ? 0 : Claims - 1, MaxDoublings);
}

// Whether the log shows that the process that leads has ended: it left, or
// another one has announced itself under its name.
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

void Election::heardLeader(std::uint64_t Epoch, Millis NowMs) {
  // A leader that was replaced may still send heartbeats.
  if (Epoch < m_epoch)
    return;
  enterEpoch(Epoch);
  m_lastHeardMs = std::max(m_lastHeardMs, NowMs);
}

void Election::enterEpoch(std::uint64_t Epoch) {
  if (Epoch <= m_epoch)
    return;
  m_epoch = Epoch;
  m_departedMs.reset();
  m_settledMs.reset();
}

void Election::heardMember(const std::string &Name, Millis NowMs) {
  m_membersMs[Name] = NowMs;
}

void Election::leaderLink(Millis ClosedForMs, Millis NowMs) {
  if (ClosedForMs < 0)
    m_linkClosedMs.reset();
  else
    m_linkClosedMs = NowMs - ClosedForMs;
}

void Election::claimSettled(Millis NowMs) {
  m_claiming = false;
  m_settledMs = NowMs;
  m_lastHeardMs = std::max(m_lastHeardMs, NowMs);
}

// A process that just started, or that was frozen, does not know whether the
// leader is alive, so it waits for the whole timeout.
void Election::observe(const state::State &S, Millis NowMs) {
  const bool Resumed =
      m_lastCallMs < 0 || NowMs - m_lastCallMs >= m_leaderTimeoutMs;
  m_lastCallMs = NowMs;
  if (Resumed || S.m_epoch > m_epoch) {
    m_lastHeardMs = std::max(m_lastHeardMs, NowMs);
    m_departedMs.reset();
  }
  enterEpoch(S.m_epoch);
  if (!hasDeparted(S))
    m_departedMs.reset();
  else if (!m_departedMs)
    m_departedMs = NowMs;
}

// A departure follows each time from a record of its own, so it needs no
// backoff. A claim that did not take effect is repeated only after the whole
// timeout, because the log may be slow.
bool Election::leaderIsGone(const state::State &S, Millis NowMs) const {
  if (m_settledMs && NowMs - *m_settledMs < claimTimeout(S))
    return false;
  if (m_departedMs && NowMs - *m_departedMs >= rankDelay(S))
    return true;
  return m_linkClosedMs && NowMs - std::max(*m_linkClosedMs, m_lastHeardMs) >=
                               closedLinkTimeout(S);
}

bool Election::shouldClaim(const state::State &S, Millis NowMs) {
  observe(S, NowMs);
  const auto Self = S.m_members.find(m_name);
  if (m_claiming || isLeader(S) || Self == S.m_members.end() ||
      Self->second.m_incarnation != m_incarnation)
    return false;
  if (NowMs - m_lastHeardMs < claimTimeout(S) && !leaderIsGone(S, NowMs))
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
    const auto Heard = m_membersMs.find(Name);
    const bool Live = m_membersMs.empty() ||
                      (Heard != m_membersMs.end() &&
                       m_lastCallMs - Heard->second < 2 * m_leaderTimeoutMs);
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
