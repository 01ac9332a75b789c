#include "node/election.h"

#include "fake_store.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace pomelokeel::node::tests {
namespace {

/// An Election with its store client, and the calls of its handlers.
struct Candidate {
  Candidate(http::Reactor &R, const std::shared_ptr<FakeStreams> &Shared,
            const std::string &Name, const std::string &Incarnation = "1")
      : m_store(R, Shared), m_member(memberOf(Name, Incarnation, "h:1")) {
    ElectionSettings S;
    S.m_name = Name;
    S.m_member = m_member;
    S.m_address = "h:1";
    S.m_joinMs = 20;
    Election::Handlers H;
    H.m_elected = [this](std::int64_t Epoch) { m_epochs.push_back(Epoch); };
    H.m_leaderChanged = [this](const LeaderRecord &) { ++m_leaderChanges; };
    H.m_leadershipConfirmed = [this](Millis) { ++m_confirmations; };
    H.m_askLeader = [this](const LeaderRecord &,
                           const std::function<void(bool)> &Done) {
      m_store.after(1, [this, Done] { Done(m_leaderAnswers); });
    };
    H.m_membersChanged = [] {};
    H.m_event = [](const std::string &, const std::string &) {};
    m_election = std::make_unique<Election>(R, m_store, S, H);
  }

  FakeStore m_store;
  std::string m_member;
  std::vector<std::int64_t> m_epochs;
  int m_leaderChanges = 0;
  int m_confirmations = 0;
  bool m_leaderAnswers = false; ///< When asked, the leader says that it leads.
  std::unique_ptr<Election> m_election;
};

class ElectionTest : public testing::Test {
protected:
  bool until(std::function<bool()> Ready, Millis LimitMs = 3000) {
    return runUntil(*m_reactor, std::move(Ready), LimitMs);
  }

  /// Starts \p Count entries whose names begin with \p Prefix.
  std::vector<std::unique_ptr<Candidate>> candidates(const std::string &Prefix,
                                                     std::size_t Count) {
    std::vector<std::unique_ptr<Candidate>> Out(Count);
    for (std::size_t I = 0; I < Count; ++I)
      Out[I] = std::make_unique<Candidate>(*m_reactor, m_shared,
                                           Prefix + std::to_string(I));
    return Out;
  }

  std::size_t claims() const {
    return m_shared->m_records[Stream::Leaders].size();
  }

  std::unique_ptr<http::Reactor> m_reactor = http::Reactor::create();
  std::shared_ptr<FakeStreams> m_shared = std::make_shared<FakeStreams>();
};

TEST_F(ElectionTest, OneOfSeveralLeadsAndIsConfirmed) {
  Candidate A(*m_reactor, m_shared, "a");
  Candidate B(*m_reactor, m_shared, "b");
  ASSERT_TRUE(until([&] {
    return A.m_election->leads() != B.m_election->leads() &&
           A.m_confirmations + B.m_confirmations > 2;
  }));
}

TEST_F(ElectionTest, AnotherClaimsWhenTheLeaderIsNoLongerAMember) {
  auto A = std::make_unique<Candidate>(*m_reactor, m_shared, "a");
  ASSERT_TRUE(until([&] { return A->m_election->leads(); }));
  Candidate B(*m_reactor, m_shared, "b");
  ASSERT_TRUE(until([&] { return B.m_leaderChanges > 0; }));
  ASSERT_TRUE(until([&] { return B.m_election->members() == 2; }));
  const std::string OldLeader = A->m_member;
  A.reset();
  B.m_store.drop(OldLeader);
  EXPECT_TRUE(until([&] { return B.m_election->leads(); }));
  EXPECT_GT(B.m_epochs.back(), 1);
}

// Guards against a record with an epoch that no later one exceeds: the entries
// ignored all leaders after it.
TEST_F(ElectionTest, ARecordWithAnImpossibleEpochIsIgnored) {
  Candidate A(*m_reactor, m_shared, "a");
  ASSERT_TRUE(until([&] { return A.m_election->leads(); }));
  Candidate B(*m_reactor, m_shared, "b");
  const auto FollowsA = [&] {
    return B.m_election->leader().m_member == A.m_member;
  };
  ASSERT_TRUE(until(FollowsA));
  A.m_store.add(Stream::Leaders,
                {{LeaderKey, R"({"member":"x#1@h:1","name":"x",)"
                             R"("address":"h:70000",)"
                             R"("epoch":9223372036854775807})"}});
  EXPECT_FALSE(
      until([&] { return !A.m_election->leads() || !FollowsA(); }, 300));
  A.m_election->leave([] {});
  EXPECT_TRUE(until([&] { return B.m_election->leads(); }));
}

TEST_F(ElectionTest, MembersWithoutAValidAddressAreLeftOut) {
  for (const char *Odd : {"", "x", "x#1@", "x#1@h", "x#1@h:70000", "x#1@h:0",
                          "x#1@h:1e9", "x#1@:5"})
    m_shared->m_members.insert(Odd);
  Candidate A(*m_reactor, m_shared, "a");
  ASSERT_TRUE(until([&] { return A.m_election->members() > 8; }));
  EXPECT_EQ(A.m_election->addresses(), std::vector<std::string>{"h:1"});
}

// Guards against repeated claims after a restart of all entries: the new leader
// owned no partition of the group yet, so each entry considered it gone and
// claimed leadership, ten times in two seconds.
TEST_F(ElectionTest, ANewLeaderWithoutAPartitionIsNotReplaced) {
  Candidate A(*m_reactor, m_shared, "a");
  m_shared->m_membersWithoutPartition.insert(A.m_member);
  m_shared->m_members.insert(memberOf("old", "1", "h:1"));
  ASSERT_TRUE(until([&] { return A.m_election->leads(); }));
  Candidate B(*m_reactor, m_shared, "b");
  EXPECT_FALSE(until([&] { return claims() > 1; }, 800));
}

// Guards against leaders that are replaced for ever although they work: on a
// fleet with more entries than partitions a leader that owned none was never
// listed as a member, and another one claimed every 2.7 s.
TEST_F(ElectionTest, ALeaderThatIsNeverListedStaysWhileItAnswers) {
  Candidate A(*m_reactor, m_shared, "a");
  m_shared->m_membersWithoutPartition.insert(A.m_member);
  ASSERT_TRUE(until([&] { return A.m_election->leads(); }));
  Candidate B(*m_reactor, m_shared, "b");
  B.m_leaderAnswers = true;
  EXPECT_FALSE(until([&] { return claims() > 1; }, 6000));
  B.m_leaderAnswers = false;
  EXPECT_TRUE(until([&] { return B.m_election->leads(); }));
}

// A leader whose membership has lapsed, for instance because it was short of
// processor time, is not replaced if it answers that it leads.
TEST_F(ElectionTest, ALeaderWhoseMembershipLapsedStaysWhileItAnswers) {
  Candidate A(*m_reactor, m_shared, "a");
  ASSERT_TRUE(until([&] { return A.m_election->leads(); }));
  Candidate B(*m_reactor, m_shared, "b");
  B.m_leaderAnswers = true;
  ASSERT_TRUE(until([&] { return B.m_election->members() == 2; }));
  m_shared->m_membersWithoutPartition.insert(A.m_member);
  B.m_store.drop(A.m_member);
  EXPECT_FALSE(until([&] { return claims() > 1; }, 1000));
}

// Only a few entries join the group, whatever their number; others take their
// place when too few are left.
TEST_F(ElectionTest, EntriesStandByUntilTooFewCandidatesAreLeft) {
  auto First = candidates("a", 8);
  ASSERT_TRUE(until([&] { return m_shared->m_members.size() == 8; }));
  const auto Others = candidates("b", 6);
  EXPECT_FALSE(until([&] { return m_shared->m_members.size() > 8; }, 500));
  for (int I = 0; I < 7; ++I) {
    const std::string Gone = First.back()->m_member;
    First.pop_back();
    Others.front()->m_store.drop(Gone);
  }
  EXPECT_TRUE(until([&] { return m_shared->m_members.size() >= 3; }));
  EXPECT_TRUE(until([&] {
    return std::any_of(Others.begin(), Others.end(),
                       [&](const auto &C) { return C->m_election->leads(); }) ||
           First.front()->m_election->leads();
  }));
}

// Guards against two leaders at once: each successful join confirmed a leader,
// also while it could not read that another one had claimed.
TEST_F(ElectionTest, JoinsDoNotConfirmALeaderThatWasReplaced) {
  Candidate A(*m_reactor, m_shared, "a");
  ASSERT_TRUE(until([&] { return A.m_confirmations > 0; }));
  Candidate B(*m_reactor, m_shared, "b");
  ASSERT_TRUE(until([&] {
    return B.m_election->isCandidate() &&
           B.m_election->leader().m_member == A.m_member;
  }));
  A.m_store.m_dropsWakeUps = true;
  B.m_election->claimOnRequest(A.m_election->leader().m_epoch);
  ASSERT_TRUE(until([&] { return B.m_election->leads(); }));
  const int Before = A.m_confirmations;
  EXPECT_TRUE(until([&] { return !A.m_election->leads(); }, 1000));
  EXPECT_EQ(A.m_confirmations, Before);
}

// A group with more members than partitions does not list all of them.
TEST_F(ElectionTest, ACandidateThatIsNotListedLeavesTheGroup) {
  const auto Listed = candidates("a", 3);
  ASSERT_TRUE(until([&] { return m_shared->m_members.size() == 3; }));
  Candidate B(*m_reactor, m_shared, "b");
  m_shared->m_membersWithoutPartition.insert(B.m_member);
  ASSERT_TRUE(until([&] { return B.m_election->isCandidate(); }));
  EXPECT_TRUE(until([&] { return !B.m_election->isCandidate(); }, 6000));
  EXPECT_EQ(m_shared->m_members.size(), 3u);
}

TEST_F(ElectionTest, AnEarlierIncarnationOfTheSameEntryIsReplacedAtOnce) {
  {
    Candidate A(*m_reactor, m_shared, "a", "1");
    ASSERT_TRUE(until([&] { return A.m_election->leads(); }));
  }
  Candidate A(*m_reactor, m_shared, "a", "2");
  EXPECT_TRUE(until([&] { return A.m_election->leads(); }));
}

TEST_F(ElectionTest, AClaimWhoseAnswerWasLostCounts) {
  Candidate A(*m_reactor, m_shared, "a");
  A.m_store.m_dropsWriteAnswers = true;
  EXPECT_TRUE(until([&] { return !A.m_epochs.empty(); }));
}

// Guards against a leader that starts twice in one epoch: the answer to its
// claim came after it had read the record of the claim. The second start
// numbered its journal batches from 1 again. The store took them for repeated
// ones and answered that they were stored, so accepted jobs and ends were lost.
TEST_F(ElectionTest, AClaimWhoseRecordIsReadBeforeItsAnswerElectsOnce) {
  Candidate A(*m_reactor, m_shared, "a");
  A.m_store.m_claimAnswerMs = 200;
  ASSERT_TRUE(until([&] { return !A.m_epochs.empty(); }));
  EXPECT_FALSE(until([&] { return A.m_epochs.size() > 1; }, 500));
  EXPECT_TRUE(A.m_election->leads());
}

TEST_F(ElectionTest, ALeaderThatLeavesIsReplacedWithoutWaiting) {
  Candidate A(*m_reactor, m_shared, "a");
  ASSERT_TRUE(until([&] { return A.m_election->leads(); }));
  Candidate B(*m_reactor, m_shared, "b");
  ASSERT_TRUE(until([&] { return B.m_leaderChanges > 0; }));
  A.m_election->leave([] {});
  EXPECT_TRUE(until([&] { return B.m_election->leads(); }, 1000));
}

// The store may be unreachable for the leader only. Waiting until its
// membership expired left callers without service for two seconds.
// Guards against a leader whose resignation the store did not take: it had
// resigned in its own memory only, and nobody led.
TEST_F(ElectionTest, ALeaderFollowsAResignationThatFailed) {
  Candidate A(*m_reactor, m_shared, "a");
  ASSERT_TRUE(until([&] { return A.m_election->leads(); }));
  Candidate B(*m_reactor, m_shared, "b");
  ASSERT_TRUE(until([&] {
    return A.m_election->members() == 2 && B.m_election->members() == 2 &&
           B.m_election->leader().m_member == A.m_member;
  }));
  A.m_store.m_unreachable = true;
  const std::int64_t Resigned = A.m_election->leader().m_epoch;
  A.m_election->resign();
  EXPECT_FALSE(until([&] { return claims() > 1; }, 150));
  A.m_store.m_unreachable = false;
  EXPECT_TRUE(until([&] {
    const LeaderRecord &Next = B.m_election->leader();
    return Next.m_epoch > Resigned && !Next.m_member.empty();
  }));
  EXPECT_NE(A.m_election->leads(), B.m_election->leads());
}

// A leader resigned when another entry had just claimed. Both records had the
// same epoch, so it ignored the claim and replaced that leader in turn.
TEST_F(ElectionTest, AResignationAfterAClaimDoesNotHideIt) {
  Candidate A(*m_reactor, m_shared, "a");
  ASSERT_TRUE(until([&] { return A.m_election->leads(); }));
  Candidate B(*m_reactor, m_shared, "b");
  ASSERT_TRUE(until([&] {
    return A.m_election->members() == 2 && B.m_election->members() == 2 &&
           B.m_election->leader().m_member == A.m_member;
  }));
  A.m_store.m_dropsWakeUps = true;
  B.m_election->claimOnRequest(A.m_election->leader().m_epoch);
  ASSERT_TRUE(until([&] { return B.m_election->leads(); }));
  ASSERT_TRUE(A.m_election->leads());
  A.m_election->resign();
  EXPECT_TRUE(until(
      [&] { return A.m_election->leader().m_member == B.m_member; }, 1000));
  EXPECT_FALSE(until([&] { return !B.m_election->leads(); }, 500));
}

TEST_F(ElectionTest, TakesOverAtOnceWhenTheLeaderAsks) {
  Candidate A(*m_reactor, m_shared, "a");
  ASSERT_TRUE(until([&] { return A.m_election->leads(); }));
  Candidate B(*m_reactor, m_shared, "b");
  ASSERT_TRUE(until([&] { return B.m_leaderChanges > 0; }));
  A.m_store.m_unreachable = true;
  B.m_election->claimOnRequest(A.m_epochs.back());
  ASSERT_TRUE(until([&] { return B.m_election->leads(); }, 500));
  // The previous leader cannot read the record, so the new one is passed to it.
  A.m_election->updateFromPeer(B.m_election->leader());
  EXPECT_FALSE(A.m_election->leads());
}

// Guards against an entry that counts as the leader and never leads: the store
// had carried out its claim without an answer, and another entry told it of the
// record before it could read it (review case 6).
TEST_F(ElectionTest, AnEntryThatLearnsOfItsElectionFromAPeerLeads) {
  Candidate A(*m_reactor, m_shared, "a");
  ASSERT_TRUE(until([&] { return A.m_election->leads(); }));
  Candidate B(*m_reactor, m_shared, "b");
  ASSERT_TRUE(until([&] { return B.m_leaderChanges > 0; }));
  B.m_store.m_dropsWriteAnswers = B.m_store.m_dropsWakeUps = true;
  B.m_election->claimOnRequest(A.m_epochs.back());
  ASSERT_TRUE(until([&] { return A.m_leaderChanges > 0; }));
  ASSERT_FALSE(B.m_election->leads());
  B.m_election->updateFromPeer(A.m_election->leader());
  EXPECT_EQ(B.m_epochs, std::vector<std::int64_t>{2});
  // Reads and the end of the claim tell the same again.
  EXPECT_TRUE(until([&] { return B.m_confirmations > 2; }));
  EXPECT_EQ(B.m_epochs, std::vector<std::int64_t>{2});
  EXPECT_TRUE(B.m_election->leads());
}

// The same if the answer to the claim comes last.
TEST_F(ElectionTest, AClaimThatAPeerKnowsBeforeItsAnswerElectsOnce) {
  Candidate A(*m_reactor, m_shared, "a");
  ASSERT_TRUE(until([&] { return A.m_election->leads(); }));
  Candidate B(*m_reactor, m_shared, "b");
  ASSERT_TRUE(until([&] { return B.m_leaderChanges > 0; }));
  B.m_store.m_claimAnswerMs = 300;
  B.m_store.m_dropsWakeUps = true;
  B.m_election->claimOnRequest(A.m_epochs.back());
  ASSERT_TRUE(until([&] { return A.m_leaderChanges > 0; }));
  B.m_election->updateFromPeer(A.m_election->leader());
  EXPECT_TRUE(until([&] { return B.m_confirmations > 0; }, 200));
  EXPECT_FALSE(until([&] { return B.m_epochs.size() > 1; }, 600));
  EXPECT_EQ(B.m_epochs, std::vector<std::int64_t>{2});
}

// Guards against a resignation that is lost because the entry knew its election
// from another entry and the end of the stream from an earlier read.
TEST_F(ElectionTest, AnEntryThatLearnedOfItsElectionFromAPeerCanResign) {
  Candidate A(*m_reactor, m_shared, "a");
  ASSERT_TRUE(until([&] { return A.m_election->leads(); }));
  Candidate B(*m_reactor, m_shared, "b");
  ASSERT_TRUE(until([&] { return B.m_leaderChanges > 0; }));
  B.m_store.m_dropsWriteAnswers = B.m_store.m_dropsWakeUps = true;
  B.m_election->claimOnRequest(A.m_epochs.back());
  ASSERT_TRUE(until([&] { return A.m_leaderChanges > 0; }));
  B.m_election->updateFromPeer(A.m_election->leader());
  ASSERT_TRUE(B.m_election->leads());
  B.m_store.m_dropsWriteAnswers = false;
  B.m_election->resign();
  EXPECT_EQ(claims(), 3U);
  EXPECT_TRUE(until([&] { return A.m_election->leader().m_epoch == 3; }));
}

// Guards against a stopping entry that is elected by a claim under way: it led
// until its process ended, and the others then waited for its membership.
TEST_F(ElectionTest, AnEntryThatIsElectedWhileItLeavesResigns) {
  for (const bool AnswerLost : {false, true}) {
    SCOPED_TRACE(AnswerLost);
    m_shared = std::make_shared<FakeStreams>();
    Candidate A(*m_reactor, m_shared, "a");
    ASSERT_TRUE(until([&] { return A.m_election->leads(); }));
    Candidate B(*m_reactor, m_shared, "b");
    ASSERT_TRUE(until([&] { return B.m_leaderChanges > 0; }));
    B.m_store.m_claimAnswerMs = 100;
    B.m_store.m_dropsWakeUps = !AnswerLost;
    B.m_store.m_dropsWriteAnswers = AnswerLost;
    B.m_election->claimOnRequest(A.m_epochs.back());
    ASSERT_TRUE(until([&] { return claims() == 2; }));
    B.m_election->leave([] {});
    EXPECT_TRUE(until([&] { return A.m_election->leads(); }, 1000));
    EXPECT_TRUE(B.m_epochs.empty());
    EXPECT_FALSE(B.m_election->leads());
  }
}

// Guards against a first read of the store that was sent before another entry
// told of a newer leader.
TEST_F(ElectionTest, AnOldSnapshotDoesNotReplaceANewerLeaderOfAPeer) {
  Candidate A(*m_reactor, m_shared, "a");
  ASSERT_TRUE(until([&] { return A.m_election->leads(); }));
  Candidate B(*m_reactor, m_shared, "b");
  LeaderRecord Newer = A.m_election->leader();
  Newer.m_member = memberOf("c", "1", "h:1");
  Newer.m_name = "c";
  Newer.m_epoch = 2;
  B.m_election->updateFromPeer(Newer);
  EXPECT_FALSE(until([&] { return B.m_election->leader().m_epoch != 2; }, 100));
}

TEST_F(ElectionTest, ATakeoverRequestOfAnOldEpochIsIgnored) {
  Candidate A(*m_reactor, m_shared, "a");
  ASSERT_TRUE(until([&] { return A.m_election->leads(); }));
  Candidate B(*m_reactor, m_shared, "b");
  ASSERT_TRUE(until([&] { return B.m_leaderChanges > 0; }));
  B.m_election->claimOnRequest(A.m_epochs.back() - 1);
  EXPECT_FALSE(until([&] { return B.m_election->leads(); }, 300));
}

} // namespace
} // namespace pomelokeel::node::tests
