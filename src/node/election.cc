#include "node/election.h"

#include "base/clock.h"
#include "settings/settings.h"

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <utility>

namespace pomelokeel::node {
namespace {

/// Claim delay per millisecond of round-trip time to the store. An entry near
/// the store should win, because the leader stores each decision before it
/// takes effect.
constexpr Millis ClaimDelayPerRoundTripMs = 25;
constexpr Millis MaxClaimDelayMs = 800;
/// Time until a new leader that was never listed as a member counts as gone
/// unless it answers. The store lists only members that own a partition of the
/// group, and the partitions of crashed entries become free only when their
/// memberships expire. The same time passes between questions to a leader that
/// answers without being listed.
constexpr Millis UnlistedLeaderTimeoutMs = 2500;

/// An entry that starts joins a group with fewer members than this; later it
/// joins a group with fewer than MinCandidates. More members cost calls without
/// making a leader more certain, and the group lists no more members than it
/// has partitions.
constexpr std::size_t MaxCandidates = 8;
constexpr std::size_t MinCandidates = 3;
/// Interval between reads of the group by an entry that has not joined it.
constexpr Millis CheckGroupMs = 1500;
/// A candidate that is not listed for this long leaves the group: it has more
/// members than partitions.
constexpr Millis MaxUnlistedMs = 4000;
/// Long-poll timeout of the reads that confirm the leader.
constexpr Millis ConfirmWaitMs = 400;
/// Minimum interval between the reads that refresh() starts.
constexpr Millis MinRefreshIntervalMs = 500;
/// Delay between a claim that failed or has an unknown outcome and the next
/// read of the leader record, and before a failed resignation is repeated.
constexpr Millis ClaimRetryMs = 300;
/// Long-poll timeout of a read of the leader stream. A dead connection is
/// detected after this time plus the margin of the call.
constexpr Millis FollowWaitMs = 8000;

} // namespace

std::optional<LeaderRecord> parseLeader(const KeyedRecord &R,
                                        std::int64_t End) {
  if (R.m_key != LeaderKey)
    return std::nullopt;
  const auto Parsed = base::parse<LeaderRecord>(R.m_value);
  if (!Parsed || Parsed->m_epoch > End)
    return std::nullopt;
  return *Parsed;
}

std::string memberOf(const std::string &Name, const std::string &Incarnation,
                     const std::string &Address) {
  return Name + "#" + Incarnation + "@" + Address;
}

std::vector<std::string> Election::addresses() const {
  std::vector<std::string> Out;
  for (const std::string &Member : m_members) {
    const auto At = Member.rfind('@');
    if (At == std::string::npos)
      continue;
    const std::string Address = Member.substr(At + 1);
    const auto Split = settings::splitAddress(Address);
    if (Split && Split->m_port != 0)
      Out.push_back(Address);
  }
  return Out;
}

Election::Election(http::Reactor &R, Store &S, ElectionSettings Settings,
                   Handlers H)
    : m_store(S), m_settings(std::move(Settings)), m_handlers(std::move(H)),
      m_joinTimer(R.timer()), m_claimTimer(R.timer()), m_resignTimer(R.timer()),
      m_wantedMembers(MaxCandidates) {
  Follower::Handlers F;
  F.m_record = [this](const KeyedRecord &Record) {
    handleLeaderRecord(Record);
  };
  F.m_caughtUp = [this](std::int64_t End, Millis SentAt) {
    m_streamEnd = End;
    m_leaderKnown = true;
    if (leads())
      m_handlers.m_leadershipConfirmed(SentAt);
    scheduleClaim();
  };
  F.m_reachabilityChanged = [this](bool Reachable) {
    m_handlers.m_event(Reachable ? "storeRegained" : "storeLost",
                       "by=leaderStream");
  };
  m_follower =
      std::make_unique<Follower>(R, S, Stream::Leaders, FollowWaitMs, F);
  checkGroup(false);
}

Election::~Election() = default;

void Election::handleLeaderRecord(const KeyedRecord &R) {
  const auto Parsed = parseLeader(R, m_follower->end());
  if (!Parsed) {
    m_handlers.m_event("recordIgnored", "key=" + R.m_key);
    return;
  }
  adopt(*Parsed, RecordSource::Stream);
}

// All ways to learn of a leader end here. The answer to a claim, the record
// that is read and the answer of another entry may come in any order, or not at
// all; the first of them makes the elected entry lead.
void Election::adopt(const LeaderRecord &R, RecordSource From) {
  // Later records have higher epochs; an equal epoch is a repeated record. A
  // second leader in the same epoch would reuse the numbers of its batches.
  if (R.m_epoch <= m_leader.m_epoch)
    return;
  setLeader(R);
  m_handlers.m_event("leaderChanged",
                     fmt::format("epoch={} member={} by={}", R.m_epoch,
                                 R.m_member, base::nameOf(From)));
  if (!leads())
    return m_handlers.m_leaderChanged(m_leader);
  // The others would wait until they notice that this process has ended.
  if (m_leaving)
    return resign();
  m_handlers.m_elected(m_leader.m_epoch);
  // A read in progress waits too long to confirm the leadership.
  if (From != RecordSource::Stream)
    m_follower->restart();
}

void Election::recordRoundTrip(Millis SentAt) {
  const Millis TookMs = base::bootNow() - SentAt;
  m_minRoundTripMs =
      m_minRoundTripMs == 0 ? TookMs : std::min(m_minRoundTripMs, TookMs);
}

void Election::setStoreReachable(bool Reachable) {
  if (Reachable)
    m_unreachableSince = -1;
  else if (m_unreachableSince < 0)
    m_unreachableSince = base::bootNow();
}

// Reads the group and joins it if it has too few members. Joins are spread out
// in time, those near the store first, so that later ones see earlier ones.
void Election::checkGroup(bool Delayed) {
  if (m_leaving || m_candidate)
    return;
  m_store.members([this, Delayed, SentAt = base::bootNow(),
                   Alive = std::weak_ptr<int>(m_alive)](
                      const base::Result<std::vector<std::string>> &R) {
    if (Alive.expired() || m_leaving || m_candidate)
      return;
    if (!R) {
      setStoreReachable(false);
      m_joinTimer->start(m_settings.m_joinMs,
                         [this, Delayed] { checkGroup(Delayed); });
      return;
    }
    setStoreReachable(true);
    recordRoundTrip(SentAt);
    setMembers(*R, m_generation);
    // Names of other writers are no candidates.
    if (addresses().size() >= m_wantedMembers) {
      m_wantedMembers = MinCandidates;
      m_joinTimer->start(CheckGroupMs, [this] { checkGroup(false); });
      return;
    }
    if (Delayed)
      return join();
    const auto Spread =
        static_cast<Millis>(std::hash<std::string>{}(m_settings.m_member) %
                            static_cast<std::size_t>(m_settings.m_joinMs));
    m_joinTimer->start(
        std::min(m_minRoundTripMs * ClaimDelayPerRoundTripMs, MaxClaimDelayMs) +
            Spread + m_settings.m_joinDelayMs,
        [this] { checkGroup(true); });
  });
}

void Election::join() {
  if (m_leaving)
    return;
  m_candidate = true;
  const Millis SentAt = base::bootNow();
  m_store.join(m_settings.m_member, m_settings.m_ttlMs, m_generation,
               [this, SentAt, Alive = std::weak_ptr<int>(m_alive)](
                   const base::Result<Membership> &M) {
                 if (Alive.expired() || m_leaving || !m_candidate)
                   return;
                 handleJoinResult(M, SentAt);
                 if (m_candidate)
                   m_joinTimer->start(m_settings.m_joinMs, [this] { join(); });
               });
}

void Election::handleJoinResult(const base::Result<Membership> &M,
                                Millis SentAt) {
  if (!M) {
    setStoreReachable(false);
    return;
  }
  setStoreReachable(true);
  recordRoundTrip(SentAt);
  m_generation = M->m_generation;
  if (m_membersGeneration != m_generation ||
      (m_leaderAbsentSince >= 0 && !m_leaderWasMember))
    return readMembers();
  leaveIfUnlisted();
  scheduleClaim();
}

// Leaving the group lets it converge to as many members as it can list.
void Election::leaveIfUnlisted() {
  if (leads() || m_claiming || m_members.contains(m_settings.m_member)) {
    m_unlistedSince = -1;
    return;
  }
  const Millis Now = base::bootNow();
  if (m_unlistedSince < 0)
    m_unlistedSince = Now;
  if (Now - m_unlistedSince < MaxUnlistedMs ||
      addresses().size() < MinCandidates)
    return;
  m_unlistedSince = -1;
  m_candidate = false;
  m_handlers.m_event("candidacyEnded", fmt::format("reason=unlisted members={}",
                                                   m_members.size()));
  m_store.leave(m_settings.m_member, [] {});
  m_joinTimer->start(CheckGroupMs, [this] { checkGroup(false); });
}

void Election::readMembers() {
  m_store.members(
      [this, Generation = m_generation, Alive = std::weak_ptr<int>(m_alive)](
          const base::Result<std::vector<std::string>> &R) {
        if (Alive.expired() || !R)
          return;
        const bool Changed = m_membersGeneration != Generation;
        setMembers(*R, Generation);
        updateLeaderPresence();
        // Another process may have claimed leadership while this one was not a
        // member. Only a new read of the leader's record can show that.
        if (Changed && leads())
          m_follower->restart();
        scheduleClaim();
      });
}

void Election::setMembers(const std::vector<std::string> &Members,
                          std::int64_t Generation) {
  m_membersGeneration = Generation;
  std::set<std::string> Now(Members.begin(), Members.end());
  if (Now == m_members)
    return;
  m_members = std::move(Now);
  m_handlers.m_event("membersChanged",
                     fmt::format("generation={} members={} addresses={}",
                                 Generation, m_members.size(),
                                 addresses().size()));
  m_handlers.m_membersChanged();
}

void Election::setLeader(const LeaderRecord &R) {
  m_leader = R;
  m_follower->setWait(leads() ? ConfirmWaitMs : FollowWaitMs);
  // The leader's earlier process cannot be replaced sooner than by itself.
  if (!m_candidate && m_leader.m_name == m_settings.m_name)
    join();
  m_leaderWasMember = false;
  m_leaderAbsentSince = -1;
  updateLeaderPresence();
}

void Election::updateLeaderPresence() {
  if (m_membersGeneration < 0 || m_leader.m_member.empty())
    return;
  if (leads() || m_members.contains(m_leader.m_member)) {
    m_leaderWasMember = true;
    m_leaderAbsentSince = -1;
  } else if (m_leaderAbsentSince < 0) {
    m_leaderAbsentSince = base::bootNow();
  }
}

void Election::refresh() {
  const Millis Now = base::bootNow();
  if (Now - m_refreshedAt < MinRefreshIntervalMs || m_claiming || m_leaving)
    return;
  m_refreshedAt = Now;
  m_follower->restart();
}

void Election::updateFromPeer(const LeaderRecord &R) {
  adopt(R, RecordSource::Peer);
}

void Election::claimOnRequest(std::int64_t Epoch) {
  if (leads() || Epoch != m_leader.m_epoch || !storeReachable())
    return;
  m_yieldingEpoch = Epoch;
  if (!m_candidate)
    join();
  scheduleClaim();
}

bool Election::mayClaim() const {
  if (!m_candidate)
    return false;
  if (m_leader.m_member.empty() || m_yieldingEpoch == m_leader.m_epoch)
    return true;
  if (m_leader.m_name == m_settings.m_name)
    return m_leader.m_member != m_settings.m_member;
  if (m_membersGeneration != m_generation || m_leaderAbsentSince < 0)
    return false;
  return m_leaderWasMember ||
         base::bootNow() - m_leaderAbsentSince >= UnlistedLeaderTimeoutMs;
}

void Election::scheduleClaim() {
  if (!m_leaderKnown || m_membersGeneration < 0 || m_claiming || m_leaving ||
      !mayClaim())
    return;
  m_claiming = true;
  const bool OnRequest = m_yieldingEpoch == m_leader.m_epoch;
  const Millis Delay =
      OnRequest ? 0
                : std::min(m_minRoundTripMs * ClaimDelayPerRoundTripMs,
                           MaxClaimDelayMs) +
                      m_settings.m_claimDelayMs;
  m_claimDelayed = true;
  m_claimTimer->start(Delay, [this] {
    m_claimDelayed = false;
    continueClaim();
  });
  if (!OnRequest && !m_leader.m_member.empty() &&
      m_leader.m_name != m_settings.m_name && m_handlers.m_askLeader)
    askLeader();
}

// A leader that is not listed as a member may lead all the same. It is asked
// while the claim is delayed.
void Election::askLeader() {
  m_claimAsking = true;
  m_handlers.m_askLeader(
      m_leader, [this, Epoch = m_leader.m_epoch,
                 Alive = std::weak_ptr<int>(m_alive)](bool Leads) {
        if (Alive.expired())
          return;
        m_claimAsking = false;
        if (!Leads || Epoch != m_leader.m_epoch)
          return continueClaim();
        m_handlers.m_event("claimWithheld",
                           fmt::format("epoch={} reason=leaderAnswers", Epoch));
        m_leaderWasMember = false;
        m_leaderAbsentSince = base::bootNow();
        m_claimTimer->cancel();
        m_claimDelayed = m_claiming = false;
      });
}

void Election::continueClaim() {
  if (m_claiming && !m_claimDelayed && !m_claimAsking)
    claim();
}

void Election::claim() {
  if (!mayClaim() || m_leaving) {
    m_claiming = false;
    return;
  }
  LeaderRecord R;
  R.m_member = m_settings.m_member;
  R.m_name = m_settings.m_name;
  R.m_address = m_settings.m_address;
  R.m_epoch = knownEnd() + 1;
  m_claimSentAt = base::bootNow();
  m_handlers.m_event(
      "leadershipClaimed",
      fmt::format("epoch={} before={}", R.m_epoch, m_leader.m_member));
  m_store.appendAt(
      Stream::Leaders, {LeaderKey, base::dumpJson(base::encode(R))},
      R.m_epoch - 1,
      [this, R,
       Alive = std::weak_ptr<int>(m_alive)](const ConditionalAppend &A) {
        if (Alive.expired())
          return;
        if (A.m_outcome == AppendOutcome::Done) {
          m_claiming = false;
          if (m_leader.m_epoch < R.m_epoch)
            m_handlers.m_leadershipConfirmed(m_claimSentAt);
          return adopt(R, RecordSource::Claim);
        }
        m_handlers.m_event("claimFailed",
                           fmt::format("epoch={} outcome={} moved={}",
                                       R.m_epoch, static_cast<int>(A.m_outcome),
                                       A.m_endMoved));
        m_claimTimer->start(ClaimRetryMs, [this] {
          m_claiming = false;
          m_follower->restart();
        });
      });
}

void Election::resign() {
  if (!leads())
    return;
  LeaderRecord R;
  R.m_epoch = knownEnd() + 1;
  m_handlers.m_event("leadershipResigned",
                     fmt::format("epoch={}", m_leader.m_epoch));
  // The epoch stays that of the resigned leader: if another entry has claimed
  // the next one, its record must count.
  const std::int64_t Epoch = m_leader.m_epoch;
  m_leader = {};
  m_leader.m_epoch = Epoch;
  storeResignation(R);
}

// The other entries take this one for the leader until the record is stored.
void Election::storeResignation(const LeaderRecord &R) {
  m_store.appendAt(
      Stream::Leaders, {LeaderKey, base::dumpJson(base::encode(R))},
      R.m_epoch - 1,
      [this, R,
       Alive = std::weak_ptr<int>(m_alive)](const ConditionalAppend &A) {
        if (Alive.expired() || m_leaving)
          return;
        // If the end has moved, this record or a claim is stored.
        if (A.m_outcome == AppendOutcome::Done || A.m_endMoved)
          return m_follower->restart();
        m_handlers.m_event("resignFailed",
                           fmt::format("epoch={} outcome={}", R.m_epoch,
                                       static_cast<int>(A.m_outcome)));
        m_resignTimer->start(ClaimRetryMs, [this, R] { storeResignation(R); });
      });
}

void Election::leave(std::function<void()> Done) {
  resign();
  m_leaving = true;
  m_store.leave(m_settings.m_member, std::move(Done));
}

} // namespace pomelokeel::node
