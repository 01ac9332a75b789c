#include "entry/election.h"

#include <gtest/gtest.h>

#include <vector>

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
    S.m_members[Name] = {Name, "1", "", "", "", ""};
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

// Guards the gap after a graceful stop of the leader, whose heartbeats may go
// on for a moment.
TEST(Election, DepartedLeaderIsReplacedAtOnceInOrderOfRank) {
  state::State S = stateOf("a");
  Election B("b", "1", TimeoutMs);
  Election C("c", "1", TimeoutMs);
  EXPECT_FALSE(B.shouldClaim(S, 1000));
  EXPECT_FALSE(C.shouldClaim(S, 1000));
  S.m_members.erase("a");
  B.heardLeader(1, 1050);
  EXPECT_TRUE(B.shouldClaim(S, 1050));
  EXPECT_FALSE(C.shouldClaim(S, 1050));
  EXPECT_LT(claimTime(C, S, 1050), 1050 + TimeoutMs / 2);
}

// Guards the gap after a leader that is replaced under its name before anyone
// noticed that it had ended.
TEST(Election, NewProcessUnderTheNameOfTheLeaderIsADeparture) {
  state::State S = stateOf("a");
  Election A("a", "2", TimeoutMs);
  Election B("b", "1", TimeoutMs);
  EXPECT_FALSE(B.shouldClaim(S, 1000));
  S.m_members["a"].m_incarnation = "2";
  EXPECT_TRUE(B.shouldClaim(S, 1050));
  EXPECT_NE(claimTime(A, S, 1050), -1);
}

// Guards against standbys that take a leader which the log does not list for
// one that has departed.
TEST(Election, ProcessThatIsNotListedDoesNotClaim) {
  state::State S = stateOf("a");
  Election New("b", "2", TimeoutMs);
  EXPECT_EQ(claimTime(New, S, 1000), -1);
  S.m_members["b"].m_incarnation = "2";
  EXPECT_NE(claimTime(New, S, 70000), -1);
}

namespace {

// As claimTime(), after the leader closed its link at \p FromMs.
Millis claimTimeAfterClose(Election &E, const state::State &S, Millis FromMs) {
  E.shouldClaim(S, FromMs - StepMs);
  for (Millis T = FromMs; T < FromMs + 60000; T += StepMs) {
    E.leaderLink(T - FromMs, T);
    if (E.shouldClaim(S, T))
      return T;
  }
  return -1;
}

} // namespace

// Guards the gap after the death of a leader process: at most 800 ms.
TEST(Election, ClosedLinkIsAnEarlierSignThanSilence) {
  const state::State S = stateOf("a");
  Election B("b", "1", TimeoutMs);
  Election C("c", "1", TimeoutMs);
  const Millis First = claimTimeAfterClose(B, S, 1000);
  EXPECT_GT(First, 1000 + StepMs);
  EXPECT_LE(First, 1700);
  EXPECT_GT(claimTimeAfterClose(C, S, 1000), First);
}

// Guards against a claim because of a link that was opened again at once.
TEST(Election, ReopenedLinkIsNoSign) {
  const state::State S = stateOf("a");
  Election B("b", "1", TimeoutMs);
  B.shouldClaim(S, 1000);
  B.leaderLink(100, 1100);
  EXPECT_FALSE(B.shouldClaim(S, 1100));
  B.leaderLink(-1, 1150);
  EXPECT_EQ(claimTime(B, S, 1150), 1000 + TimeoutMs);
}

// Guards a leader that this process hears and cannot dial.
TEST(Election, HeardLeaderIsLeftAloneThoughItsLinkIsClosed) {
  const state::State S = stateOf("a");
  Election B("b", "1", TimeoutMs);
  for (Millis T = 1000; T < 20000; T += StepMs) {
    if (T % 200 == 0)
      B.heardLeader(1, T);
    B.leaderLink(T - 1000, T);
    ASSERT_FALSE(B.shouldClaim(S, T));
  }
}

// Guards against leaders that cannot dial each other and replace each other in
// turn.
TEST(Election, ClosedLinkTimeoutDoublesUpToSixteenfold) {
  Election A("a", "1", TimeoutMs);
  const Millis Once = A.closedLinkTimeout(stateOf("b", 1));
  EXPECT_LE(Once, 700);
  EXPECT_EQ(A.closedLinkTimeout(stateOf("b", 3)), 4 * Once);
  EXPECT_EQ(A.closedLinkTimeout(stateOf("b", 20)), 16 * Once);
}

// Guards a slow or refusing log against a storm of claims after the end of the
// leader: until a claim is read back, each standby repeats its own only after
// the whole timeout.
TEST(Election, UnreadClaimsAreRepeatedOnlyAfterTheTimeout) {
  for (const bool Departed : {false, true}) {
    state::State S = stateOf("a");
    std::vector<Election> Standbys{Election("b", "1", TimeoutMs),
                                   Election("c", "1", TimeoutMs)};
    for (Election &E : Standbys)
      E.shouldClaim(S, 1000);
    if (Departed)
      S.m_members.erase("a");
    int Claims = 0;
    for (Millis T = 1050; T < 1050 + 4 * TimeoutMs; T += StepMs) {
      for (Election &E : Standbys) {
        E.leaderLink(T - 1000, T);
        if (!E.shouldClaim(S, T))
          continue;
        ++Claims;
        E.claimSettled(T);
      }
    }
    EXPECT_LE(Claims, 8) << Departed;
    EXPECT_GE(Claims, 4) << Departed;
  }
}

// Guards a standby that was frozen over the end of a leader against a claim
// against the next one, whose heartbeats it has not heard yet.
TEST(Election, NextLeaderGetsTheWholeTimeout) {
  state::State S = stateOf("a");
  Election C("c", "1", TimeoutMs);
  C.shouldClaim(S, 1000);
  C.leaderLink(5000, 6000);
  S.m_epoch = 2;
  S.m_leader = "b";
  C.leaderLink(-1, 6000);
  EXPECT_FALSE(C.shouldClaim(S, 6000));
  EXPECT_EQ(claimTime(C, S, 6000 + StepMs), 6000 + C.claimTimeout(S));
}
