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

// Steps until \p E claims. Returns the time that took, or -1 after a minute.
Millis claimTime(Election &E, const state::State &S, Millis FromMs) {
  for (Millis T = FromMs; T < FromMs + 60000; T += StepMs) {
    if (E.shouldClaim(S, T))
      return T;
  }
  return -1;
}

} // namespace

// Bounds the time without a leader after a crash: the first standby claims
// after the timeout, the next one only if that claim does not appear.
TEST(Election, ClaimsAfterTimeoutInOrderOfRank) {
  const state::State S = stateOf("a");
  Election B("b", "1", TimeoutMs);
  Election C("c", "1", TimeoutMs);
  EXPECT_EQ(claimTime(B, S, 1000), 1000 + TimeoutMs);
  EXPECT_GT(claimTime(C, S, 1000), 1000 + TimeoutMs);
}

// On the first start no entry waits for the timeout, because there was no
// leader before.
TEST(Election, WithoutLeaderOnlyTheRankDelays) {
  const state::State S = stateOf("", 0);
  Election A("a", "1", TimeoutMs);
  Election C("c", "1", TimeoutMs);
  EXPECT_TRUE(A.shouldClaim(S, 1000));
  EXPECT_FALSE(C.shouldClaim(S, 1000));
  EXPECT_LT(claimTime(C, S, 1000), 1000 + TimeoutMs);
}

TEST(Election, LiveLeaderIsNotReplaced) {
  const state::State S = stateOf("a");
  Election A("a", "1", TimeoutMs);
  Election B("b", "1", TimeoutMs);
  EXPECT_TRUE(A.isLeader(S));
  EXPECT_EQ(claimTime(A, S, 1000), -1);
  for (Millis T = 1000; T < 20000; T += StepMs) {
    B.recordLeaderContact(1, T);
    ASSERT_FALSE(B.shouldClaim(S, T));
  }
}

// Heartbeats of a replaced leader must not hide the failure of its successor.
TEST(Election, HeartbeatsOfAReplacedLeaderDoNotCount) {
  state::State S = stateOf("a");
  S.m_epoch = 2;
  Election B("b", "1", TimeoutMs);
  B.shouldClaim(S, 1000);
  for (Millis T = 1000; T < 1000 + TimeoutMs; T += StepMs) {
    B.recordLeaderContact(1, T);
    B.shouldClaim(S, T);
  }
  EXPECT_TRUE(B.shouldClaim(S, 1000 + TimeoutMs));
}

// On a slow log, leaders must not keep replacing each other.
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
  B.onClaimAnswered(First + 60000);
  EXPECT_FALSE(B.shouldClaim(S, First + 60000 + StepMs));
  EXPECT_GT(claimTime(B, S, First + 60000 + StepMs), First);
}

// After a freeze, the old time of the last heartbeat does not show that the
// leader has failed.
TEST(Election, ResumedProcessWaitsForTheWholeTimeout) {
  const state::State S = stateOf("a");
  Election B("b", "1", TimeoutMs);
  B.shouldClaim(S, 1000);
  EXPECT_FALSE(B.shouldClaim(S, 50000));
  EXPECT_EQ(claimTime(B, S, 50000), 50000 + TimeoutMs);
}

// Listed members that have crashed must not lengthen the time without a leader.
TEST(Election, SilentMembersDoNotDelay) {
  const state::State S = stateOf("a");
  Election C("c", "1", TimeoutMs);
  C.shouldClaim(S, 1000);
  C.recordMemberContact("d", 1000);
  EXPECT_EQ(C.claimTimeout(S), TimeoutMs);
  C.recordMemberContact("b", 1000);
  EXPECT_GT(C.claimTimeout(S), TimeoutMs);
}

// After a graceful stop the leader is replaced without a timeout, although its
// heartbeats may continue for a moment.
TEST(Election, DepartedLeaderIsReplacedAtOnceInOrderOfRank) {
  state::State S = stateOf("a");
  Election B("b", "1", TimeoutMs);
  Election C("c", "1", TimeoutMs);
  EXPECT_FALSE(B.shouldClaim(S, 1000));
  EXPECT_FALSE(C.shouldClaim(S, 1000));
  S.m_members.erase("a");
  B.recordLeaderContact(1, 1050);
  EXPECT_TRUE(B.shouldClaim(S, 1050));
  EXPECT_FALSE(C.shouldClaim(S, 1050));
  EXPECT_LT(claimTime(C, S, 1050), 1050 + TimeoutMs / 2);
}

// A new process under the name of the leader shows that the old one has ended,
// even if no entry noticed its end.
TEST(Election, NewProcessUnderTheNameOfTheLeaderIsADeparture) {
  state::State S = stateOf("a");
  Election A("a", "2", TimeoutMs);
  Election B("b", "1", TimeoutMs);
  EXPECT_FALSE(B.shouldClaim(S, 1000));
  S.m_members["a"].m_incarnation = "2";
  EXPECT_TRUE(B.shouldClaim(S, 1050));
  EXPECT_NE(claimTime(A, S, 1050), -1);
}

// Other standbys would regard a leader that the log does not list as one that
// has departed.
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
    E.updateLeaderLink(T - FromMs, T);
    if (E.shouldClaim(S, T))
      return T;
  }
  return -1;
}

} // namespace

// Bounds the time without a leader after a crash of its process: at most 800
// ms.
TEST(Election, ClosedLinkShortensTheClaimTimeout) {
  const state::State S = stateOf("a");
  Election B("b", "1", TimeoutMs);
  Election C("c", "1", TimeoutMs);
  const Millis First = claimTimeAfterClose(B, S, 1000);
  EXPECT_GT(First, 1000 + StepMs);
  EXPECT_LE(First, 1700);
  EXPECT_GT(claimTimeAfterClose(C, S, 1000), First);
}

// A link that is opened again at once must not cause a claim.
TEST(Election, ReopenedLinkCausesNoClaim) {
  const state::State S = stateOf("a");
  Election B("b", "1", TimeoutMs);
  B.shouldClaim(S, 1000);
  B.updateLeaderLink(100, 1100);
  EXPECT_FALSE(B.shouldClaim(S, 1100));
  B.updateLeaderLink(-1, 1150);
  EXPECT_EQ(claimTime(B, S, 1150), 1000 + TimeoutMs);
}

// A leader whose heartbeats arrive is not replaced, although this process
// cannot connect to it.
TEST(Election, LeaderInContactIsNotReplacedWhenItsLinkIsClosed) {
  const state::State S = stateOf("a");
  Election B("b", "1", TimeoutMs);
  for (Millis T = 1000; T < 20000; T += StepMs) {
    if (T % 200 == 0)
      B.recordLeaderContact(1, T);
    B.updateLeaderLink(T - 1000, T);
    ASSERT_FALSE(B.shouldClaim(S, T));
  }
}

// Entries that cannot connect to each other must not keep replacing each other
// as leader.
TEST(Election, ClosedLinkTimeoutDoublesUpToSixteenfold) {
  Election A("a", "1", TimeoutMs);
  const Millis Once = A.closedLinkTimeout(stateOf("b", 1));
  EXPECT_LE(Once, 700);
  EXPECT_EQ(A.closedLinkTimeout(stateOf("b", 3)), 4 * Once);
  EXPECT_EQ(A.closedLinkTimeout(stateOf("b", 20)), 16 * Once);
}

// Limits the claims on a slow or refusing log after the end of the leader:
// until a claim is read back, each standby repeats its own only after the full
// timeout.
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
        E.updateLeaderLink(T - 1000, T);
        if (!E.shouldClaim(S, T))
          continue;
        ++Claims;
        E.onClaimAnswered(T);
      }
    }
    EXPECT_LE(Claims, 8) << Departed;
    EXPECT_GE(Claims, 4) << Departed;
  }
}

// A standby that was frozen while the leader changed must not claim before the
// heartbeats of the new leader can reach it.
TEST(Election, NextLeaderGetsTheWholeTimeout) {
  state::State S = stateOf("a");
  Election C("c", "1", TimeoutMs);
  C.shouldClaim(S, 1000);
  C.updateLeaderLink(5000, 6000);
  S.m_epoch = 2;
  S.m_leader = "b";
  C.updateLeaderLink(-1, 6000);
  EXPECT_FALSE(C.shouldClaim(S, 6000));
  EXPECT_EQ(claimTime(C, S, 6000 + StepMs), 6000 + C.claimTimeout(S));
}
