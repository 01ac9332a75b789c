#include "entry/election.h"

#include <gtest/gtest.h>

using namespace pomelokeel;
using base::Millis;
using entry::Election;

namespace {

constexpr Millis TimeoutMs = 1500;
constexpr Millis StepMs = 50;

// A state with entries a, b and c, led by \p Leader if it is not empty.
state::State stateOf(const std::string &Leader, int Claims = 1) {
  state::State S;
  for (const char *Name : {"a", "b", "c"})
    S.m_members[Name].m_name = Name;
  S.m_timeMs = 100000;
  S.m_leader = Leader;
  S.m_leaderIncarnation = "1";
  S.m_epoch = Leader.empty() ? 0 : 1;
  S.m_recentClaimsMs.assign(static_cast<std::size_t>(Claims), 90000);
  return S;
}

// Steps until \p E claims. Returns the time, or -1 after a minute.
Millis claimTime(Election &E, const state::State &S, Millis FromMs) {
  for (Millis T = FromMs; T < FromMs + 60000; T += StepMs) {
    if (E.shouldClaim(S, T))
      return T;
  }
  return -1;
}

} // namespace

// Guards the gap after the death of a leader: the first standby claims after
// the timeout, the next one only if that claim does not appear.
TEST(Election, ClaimsAfterTimeoutInOrderOfRank) {
  const state::State S = stateOf("a");
  Election B("b", "1", TimeoutMs);
  Election C("c", "1", TimeoutMs);
  EXPECT_EQ(claimTime(B, S, 1000), 1000 + TimeoutMs);
  EXPECT_GT(claimTime(C, S, 1000), 1000 + TimeoutMs);
}

// Guards the first start: nobody waits for the timeout of a leader that never
// was.
TEST(Election, WithoutLeaderOnlyTheRankDelays) {
  const state::State S = stateOf("", 0);
  Election A("a", "1", TimeoutMs);
  Election C("c", "1", TimeoutMs);
  EXPECT_TRUE(A.shouldClaim(S, 1000));
  EXPECT_FALSE(C.shouldClaim(S, 1000));
  EXPECT_LT(claimTime(C, S, 1000), 1000 + TimeoutMs);
}

TEST(Election, LivingLeaderIsLeftAlone) {
  const state::State S = stateOf("a");
  Election A("a", "1", TimeoutMs);
  Election B("b", "1", TimeoutMs);
  EXPECT_TRUE(A.isLeader(S));
  EXPECT_EQ(claimTime(A, S, 1000), -1);
  for (Millis T = 1000; T < 20000; T += StepMs) {
    B.heardLeader(1, T);
    ASSERT_FALSE(B.shouldClaim(S, T));
  }
}

// Guards against a replaced leader that keeps its successor's failure hidden by
// its own heartbeats.
TEST(Election, HeartbeatsOfAReplacedLeaderDoNotCount) {
  state::State S = stateOf("a");
  S.m_epoch = 2;
  Election B("b", "1", TimeoutMs);
  B.shouldClaim(S, 1000);
  for (Millis T = 1000; T < 1000 + TimeoutMs; T += StepMs) {
    B.heardLeader(1, T);
    B.shouldClaim(S, T);
  }
  EXPECT_TRUE(B.shouldClaim(S, 1000 + TimeoutMs));
}

// Guards against leaders that replace each other in turn on a slow log.
TEST(Election, TimeoutDoublesWithEachClaimUpToSixteenfold) {
  Election A("a", "1", TimeoutMs);
  EXPECT_EQ(A.claimTimeout(stateOf("b", 1)), TimeoutMs);
  EXPECT_EQ(A.claimTimeout(stateOf("b", 3)), 4 * TimeoutMs);
  EXPECT_EQ(A.claimTimeout(stateOf("b", 20)), 16 * TimeoutMs);
  state::State Later = stateOf("b", 20);
  Later.m_timeMs += 60000;
  EXPECT_EQ(A.claimTimeout(Later), TimeoutMs);
}

TEST(Election, NeverTwoClaimsAtOnce) {
  const state::State S = stateOf("a");
  Election B("b", "1", TimeoutMs);
  const Millis First = claimTime(B, S, 1000);
  EXPECT_EQ(claimTime(B, S, First + StepMs), -1);
  B.claimSettled(First + 60000);
  EXPECT_FALSE(B.shouldClaim(S, First + 60000 + StepMs));
  EXPECT_GT(claimTime(B, S, First + 60000 + StepMs), First);
}

// Guards against a process that was frozen, whose old time of the last
// heartbeat says nothing about the leader.
TEST(Election, ResumedProcessWaitsForTheWholeTimeout) {
  const state::State S = stateOf("a");
  Election B("b", "1", TimeoutMs);
  B.shouldClaim(S, 1000);
  EXPECT_FALSE(B.shouldClaim(S, 50000));
  EXPECT_EQ(claimTime(B, S, 50000), 50000 + TimeoutMs);
}

// Guards the gap against members that are listed and have died.
TEST(Election, SilentMembersDoNotDelay) {
  const state::State S = stateOf("a");
  Election C("c", "1", TimeoutMs);
  C.shouldClaim(S, 1000);
  C.heardMember("d", 1000);
  EXPECT_EQ(C.claimTimeout(S), TimeoutMs);
  C.heardMember("b", 1000);
  EXPECT_GT(C.claimTimeout(S), TimeoutMs);
}
