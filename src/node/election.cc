#include "node/election.h"

#include "base/clock.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace pomelokeel::node {
namespace {

/// Entries far from the store claim later by this factor on their distance, so
/// that one near it leads if it can: each decision is stored before it counts.
constexpr Millis ClaimDelayPerMs = 25;
constexpr Millis MaxClaimDelayMs = 800;
/// A leader that was never seen among the members may hold no part of the group
/// yet: the parts of entries that died with it are free only after their time.
constexpr Millis UnseenLeaderMs = 2500;
/// Shortest time between two extra reads of the leader's record.
constexpr Millis RefreshMs = 500;
/// Pause after a claim whose outcome is not known.
constexpr Millis ClaimRetryMs = 300;
/// Wait of a read of the leader stream; a connection that went silent is found
/// after this time and the call's margin.
constexpr Millis FollowWaitMs = 8000;

} // namespace

std::optional<LeaderRecord> parseLeader(const KeyedRecord &R) {
  if (R.m_key != LeaderKey)
    return std::nullopt;
  const auto Parsed = base::parse<LeaderRecord>(R.m_value);
  return Parsed ? std::optional(*Parsed) : std::nullopt;
}

std::string memberOf(const std::string &Name, const std::string &Incarnation,
                     const std::string &Address) {
  return Name + "#" + Incarnation + "@" + Address;
}

std::vector<std::string> Election::addresses() const {
  std::vector<std::string> Out;
  for (const std::string &Member : m_members) {
    if (const auto At = Member.rfind('@'); At != std::string::npos)
      Out.push_back(Member.substr(At + 1));
  }
  return Out;
}

Election::Election(http::Reactor &R, Store &S, ElectionSettings Settings,
                   Handlers H)
    : m_store(S), m_settings(std::move(Settings)), m_handlers(std::move(H)),
      m_joinTimer(R.timer()), m_claimTimer(R.timer()) {
  Follower::Handlers F;
  F.m_record = [this](const KeyedRecord &Record) { takeRecord(Record); };
  F.m_current = [this](std::int64_t End) {
    m_end = End;
    m_leaderKnown = true;
    consider();
  };
  F.m_reachable = [this](bool Reachable) {
    m_handlers.m_event(Reachable ? "storeRegained" : "storeLost",
                       "by=leaderStream");
  };
  m_follower =
      std::make_unique<Follower>(R, S, Stream::Leaders, FollowWaitMs, F);
  join();
}

Election::~Election() = default;

void Election::takeRecord(const KeyedRecord &R) {
  const auto Parsed = parseLeader(R);
  if (!Parsed) {
    m_handlers.m_event("recordIgnored", "key=" + R.m_key);
    return;
  }
  // A later record has a higher epoch; an equal one was seen before.
  if (m_leaderKnown && Parsed->m_epoch <= m_leader.m_epoch)
    return;
  setLeader(*Parsed);
  m_handlers.m_event(
      "leaderChanged",
      fmt::format("epoch={} member={}", m_leader.m_epoch, m_leader.m_member));
  // A claim whose answer was lost is known to have won by its record.
  if (leads())
    m_handlers.m_elected(m_leader.m_epoch);
  else
    m_handlers.m_leader(m_leader);
}

void Election::join() {
  if (m_leaving)
    return;
  const Millis SentAt = base::bootNow();
  m_store.join(m_settings.m_member, m_settings.m_ttlMs, m_generation,
               [this, SentAt, Alive = std::weak_ptr<int>(m_alive)](
                   const base::Result<Membership> &M) {
                 if (Alive.expired() || m_leaving)
                   return;
                 joined(M, SentAt);
                 m_joinTimer->start(m_settings.m_joinMs, [this] { join(); });
               });
}

void Election::joined(const base::Result<Membership> &M, Millis SentAt) {
  if (!M) {
    ++m_joinsFailed;
    return;
  }
  m_joinsFailed = 0;
  const Millis Took = base::bootNow() - SentAt;
  m_distanceMs = m_distanceMs == 0 ? Took : std::min(m_distanceMs, Took);
  m_generation = M->m_generation;
  if (m_membersOf != m_generation || (m_leaderAbsent >= 0 && !m_leaderSeen))
    return readMembers();
  if (leads())
    m_handlers.m_confirmed(SentAt);
  consider();
}

void Election::readMembers() {
  m_store.members(
      [this, Generation = m_generation, Alive = std::weak_ptr<int>(m_alive)](
          const base::Result<std::vector<std::string>> &R) {
        if (Alive.expired() || !R)
          return;
        const bool Changed = m_membersOf != Generation;
        m_members = {R->begin(), R->end()};
        m_membersOf = Generation;
        watchLeader();
        if (!Changed)
          return consider();
        m_handlers.m_event("membersChanged",
                           fmt::format("generation={} members={}", Generation,
                                       m_members.size()));
        m_handlers.m_members();
        // While this process was no member another may have claimed: only a
        // read of the leader's record after that tells.
        if (leads())
          m_follower->restart();
        consider();
      });
}

void Election::setLeader(const LeaderRecord &R) {
  m_leader = R;
  m_leaderSeen = false;
  m_leaderAbsent = -1;
  watchLeader();
}

void Election::watchLeader() {
  if (m_membersOf < 0 || m_leader.m_member.empty())
    return;
  if (leads() || m_members.contains(m_leader.m_member)) {
    m_leaderSeen = true;
    m_leaderAbsent = -1;
  } else if (m_leaderAbsent < 0) {
    m_leaderAbsent = base::bootNow();
  }
}

void Election::refresh() {
  const Millis Now = base::bootNow();
  if (Now - m_refreshedAt < RefreshMs || m_claiming || m_leaving)
    return;
  m_refreshedAt = Now;
  m_follower->restart();
}

void Election::learn(const LeaderRecord &R) {
  if (R.m_epoch <= m_leader.m_epoch)
    return;
  setLeader(R);
  m_handlers.m_event("leaderChanged", fmt::format("epoch={} member={} by=peer",
                                                  R.m_epoch, R.m_member));
  m_handlers.m_leader(R);
}

void Election::takeOver(std::int64_t Epoch) {
  if (leads() || Epoch != m_leader.m_epoch || !storeReachable())
    return;
  m_givesWay = Epoch;
  consider();
}

bool Election::vacant() const {
  if (m_leader.m_member.empty() || m_givesWay == m_leader.m_epoch)
    return true;
  if (m_leader.m_name == m_settings.m_name)
    return m_leader.m_member != m_settings.m_member;
  if (m_membersOf != m_generation || m_leaderAbsent < 0)
    return false;
  return m_leaderSeen || base::bootNow() - m_leaderAbsent >= UnseenLeaderMs;
}

void Election::consider() {
  if (!m_leaderKnown || m_membersOf < 0 || m_claiming || m_leaving || !vacant())
    return;
  const Millis Now = base::bootNow();
  if (Now < m_claimAfter && m_members.size() > 1)
    return;
  m_claiming = true;
  const bool Asked = m_givesWay == m_leader.m_epoch;
  const Millis Delay =
      Asked ? 0
            : std::min(m_distanceMs * ClaimDelayPerMs, MaxClaimDelayMs) +
                  m_settings.m_handicapMs;
  m_claimTimer->start(Delay, [this] { claim(); });
}

void Election::claim() {
  if (!vacant() || m_leaving) {
    m_claiming = false;
    return;
  }
  LeaderRecord R;
  R.m_member = m_settings.m_member;
  R.m_name = m_settings.m_name;
  R.m_address = m_settings.m_address;
  R.m_epoch = m_end + 1;
  m_handlers.m_event(
      "leadershipClaimed",
      fmt::format("epoch={} before={}", R.m_epoch, m_leader.m_member));
  m_store.appendAt(Stream::Leaders,
                   {LeaderKey, base::dumpJson(base::encode(R))}, m_end,
                   [this, R, Alive = std::weak_ptr<int>(m_alive)](
                       const ConditionalAppend &A) {
                     if (Alive.expired())
                       return;
                     if (A.m_outcome == AppendOutcome::Done && !m_leaving) {
                       m_claiming = false;
                       setLeader(R);
                       m_end = A.m_offset + 1;
                       m_handlers.m_elected(R.m_epoch);
                       return;
                     }
                     m_handlers.m_event(
                         "claimFailed",
                         fmt::format("epoch={} outcome={} moved={}", R.m_epoch,
                                     static_cast<int>(A.m_outcome), A.m_moved));
                     m_claimTimer->start(ClaimRetryMs, [this] {
                       m_claiming = false;
                       m_follower->restart();
                     });
                   });
}

void Election::resign(Millis CooldownMs) {
  if (!leads())
    return;
  m_claimAfter = base::bootNow() + CooldownMs;
  LeaderRecord R;
  R.m_epoch = m_end + 1;
  m_handlers.m_event("leadershipResigned",
                     fmt::format("epoch={}", m_leader.m_epoch));
  m_leader = R;
  m_store.appendAt(
      Stream::Leaders, {LeaderKey, base::dumpJson(base::encode(R))}, m_end,
      [this, Alive = std::weak_ptr<int>(m_alive)](const ConditionalAppend &) {
        if (!Alive.expired() && !m_leaving)
          m_follower->restart();
      });
}

void Election::leave(std::function<void()> Done) {
  resign(0);
  m_leaving = true;
  m_store.leave(m_settings.m_member, std::move(Done));
}

} // namespace pomelokeel::node
