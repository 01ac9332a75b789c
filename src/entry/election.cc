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
constexpr Millis ClaimWindowMs = 60000;
constexpr std::size_t MaxDoublings = 4; // a factor of 16

std::size_t recentClaims(const state::State &S) {
  const Millis FromMs = S.m_timeMs - ClaimWindowMs;
  return static_cast<std::size_t>(std::ranges::count_if(
      S.m_recentClaimsMs, [&](Millis T) { return T >= FromMs; }));
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
  m_epoch = Epoch;
  m_lastHeardMs = std::max(m_lastHeardMs, NowMs);
}

void Election::heardMember(const std::string &Name, Millis NowMs) {
  m_membersMs[Name] = NowMs;
}

void Election::claimSettled(Millis NowMs) {
  m_claiming = false;
  m_lastHeardMs = std::max(m_lastHeardMs, NowMs);
}

// A process that just started, or that was frozen, does not know whether the
// leader is alive, so it waits for the whole timeout.
void Election::observe(const state::State &S, Millis NowMs) {
  const bool Resumed =
      m_lastCallMs < 0 || NowMs - m_lastCallMs >= m_leaderTimeoutMs;
  m_lastCallMs = NowMs;
  if (Resumed || S.m_epoch > m_epoch)
    m_lastHeardMs = std::max(m_lastHeardMs, NowMs);
  m_epoch = std::max(m_epoch, S.m_epoch);
}

bool Election::shouldClaim(const state::State &S, Millis NowMs) {
  observe(S, NowMs);
  if (m_claiming || isLeader(S))
    return false;
  if (NowMs - m_lastHeardMs < claimTimeout(S))
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

Millis Election::claimTimeout(const state::State &S) const {
  const Millis DelayMs = RankDelayMs * static_cast<Millis>(rank(S));
  if (S.m_epoch == 0)
    return DelayMs;
  const std::size_t Claims = recentClaims(S);
  const std::size_t Doublings =
      std::min(Claims == 0 ? 0 : Claims - 1, MaxDoublings);
  return m_leaderTimeoutMs * (Millis{1} << Doublings) + DelayMs;
}

} // namespace pomelokeel::entry
