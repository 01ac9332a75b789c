#include "node/entry_node.h"

#include "entry_fixture.h"
#include "http/http.h"
#include "node/control.h"
#include "node/election.h"

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pomelokeel::node::tests {
namespace {

using batch::Verdict;

class EntryNodeTest : public testing::Test {
protected:
  EntryNodeTest() {
    m_shared->m_records[Stream::Operator] = {{"config", "1"}};
    m_a = std::make_unique<Entry>(*m_reactor, m_shared, "a");
    m_b = std::make_unique<Entry>(*m_reactor, m_shared, "b");
  }

  bool until(std::function<bool()> Ready, Millis LimitMs = 4000) {
    return runUntil(*m_reactor, std::move(Ready), LimitMs);
  }

  bool hasLeader() const {
    return m_a->m_counters.get("leader_epoch") +
               m_b->m_counters.get("leader_epoch") >
           0;
  }

  /// Sends one report of each of \p Count agents to the leader \p E.
  static void reportTo(Entry &E, int Count) {
    for (int I = 0; I < Count; ++I) {
      batch::AgentReport R;
      R.m_agent = "agent-" + std::to_string(I);
      R.m_incarnation = R.m_sequence = 1;
      E.m_node->control(toRequest(ReportPath, R),
                        [](const http::Response &) {});
    }
  }

  /// Adds a record that a process at \p Address leads, which is no member.
  void addLeader(const std::string &Address) {
    LeaderRecord R;
    R.m_name = "x";
    R.m_address = Address;
    R.m_member = memberOf(R.m_name, "1", Address);
    R.m_epoch =
        static_cast<std::int64_t>(m_shared->m_records[Stream::Leaders].size()) +
        1;
    m_a->m_store.add(Stream::Leaders,
                     {{LeaderKey, base::dumpJson(base::encode(R))}});
  }

  /// Asks \p E to replace the leader of the last record.
  void askToLead(Entry &E) {
    TakeoverRequest T;
    T.m_epoch =
        static_cast<std::int64_t>(m_shared->m_records[Stream::Leaders].size());
    E.m_node->control(toRequest(TakeoverPath, T),
                      [](const http::Response &) {});
  }

  Entry &leader() const {
    return m_a->m_counters.get("leader_epoch") > 0 ? *m_a : *m_b;
  }
  Entry &other() const {
    return m_a->m_counters.get("leader_epoch") > 0 ? *m_b : *m_a;
  }

  std::unique_ptr<http::Reactor> m_reactor = http::Reactor::create();
  std::shared_ptr<FakeStreams> m_shared = std::make_shared<FakeStreams>();
  std::unique_ptr<Entry> m_a;
  std::unique_ptr<Entry> m_b;
};

TEST_F(EntryNodeTest, AnswersThroughTheLeaderAtAnyEntry) {
  ASSERT_TRUE(until([&] { return hasLeader(); }));
  const auto Submitted = other().call(CallerCall::Method::Submit, "1");
  ASSERT_TRUE(until([&] { return Submitted->has_value(); }));
  EXPECT_EQ(*Submitted, Verdict::Ok);
  const auto Asked = leader().call(CallerCall::Method::Query, "1");
  ASSERT_TRUE(until([&] { return Asked->has_value(); }));
  EXPECT_EQ(*Asked, Verdict::Ok);
}

// Guards against a submission that was forwarded one millisecond before its
// deadline: the call timed out and its outcome was unknown (incident inc-b3ee).
TEST_F(EntryNodeTest, ASubmissionIsNotForwardedWithoutTimeForItsAnswer) {
  ASSERT_TRUE(until([&] { return hasLeader() && other().m_node->ready(); }));
  // Opens the connection to the leader.
  const auto Asked = other().call(CallerCall::Method::Query, "1");
  ASSERT_TRUE(until([&] { return Asked->has_value(); }));
  leader().m_store.m_unreachable = true;
  const auto Submitted = other().call(CallerCall::Method::Submit, "1", 150);
  ASSERT_TRUE(until([&] { return Submitted->has_value(); }));
  EXPECT_EQ(*Submitted, Verdict::Unavailable);
}

// An entry that had been frozen gave a submission that had waited in its socket
// a full new deadline, although its caller had given up (review case 5).
TEST_F(EntryNodeTest, TheDeadlineOfASubmissionCountsTheTimeOfASuspension) {
  constexpr Millis SuspendedMs = 1500;
  ASSERT_TRUE(until([&] { return hasLeader() && other().m_node->ready(); }));
  const Millis Until = base::bootNow() + SuspendedMs;
  while (base::bootNow() < Until)
    continue;
  const auto Late = leader().call(CallerCall::Method::Submit, "1", 1000);
  const auto Cancel = leader().call(CallerCall::Method::Cancel, "1");
  ASSERT_TRUE(until([&] { return Late->has_value(); }));
  EXPECT_EQ(*Late, Verdict::Unavailable);
  ASSERT_TRUE(until([&] { return Cancel->has_value(); }));
  EXPECT_EQ(*Cancel, Verdict::Gone);
}

// A caller gives up a submission at one entry and cancels the job at another.
// The leader forgot the cancel when it changed.
TEST_F(EntryNodeTest, ASubmissionIsRefusedByTheNextLeaderAfterItsCancel) {
  ASSERT_TRUE(until([&] { return hasLeader() && other().m_node->ready(); }));
  const auto Cancelled = other().call(CallerCall::Method::Cancel, "1");
  ASSERT_TRUE(until([&] { return Cancelled->has_value(); }));
  EXPECT_EQ(*Cancelled, Verdict::Gone);
  Entry &Next = other();
  leader().m_node->beginStop(1000);
  ASSERT_TRUE(
      until([&] { return Next.m_counters.get("leader_epoch") > 0; }, 6000));
  const auto Submitted = Next.call(CallerCall::Method::Submit, "1");
  ASSERT_TRUE(until([&] { return Submitted->has_value(); }));
  EXPECT_EQ(*Submitted, Verdict::Gone);
}

// An entry that could not reach the store kept its old configuration and
// rejected callers with new keys.
batch::CallerReply refusalForRoom() {
  batch::CallerReply Out;
  Out.m_verdict = Verdict::Overloaded;
  Out.m_retryAfterMs = 5000;
  return Out;
}

// The caller can try elsewhere or later if it knows at once.
TEST_F(EntryNodeTest, ARefusalForLackOfCapacityIsPassedOnAtOnce) {
  ASSERT_TRUE(until([&] { return hasLeader(); }));
  int Calls = 0;
  leader().m_onForwarded = [&](const http::Request &,
                               const http::Responder &Answer) {
    ++Calls;
    Answer(toResponse(refusalForRoom()));
  };
  const auto Submitted = other().call(CallerCall::Method::Submit, "1");
  ASSERT_TRUE(until([&] { return Submitted->has_value(); }));
  EXPECT_EQ(*Submitted, Verdict::Overloaded);
  EXPECT_EQ(Calls, 1);
}

// A refusal says that the job never runs. If the leader may have taken an
// earlier attempt, this might be untrue: the entry then asks again, and says
// that the outcome is unknown if it learns no more. The leader is told, so that
// it does not refuse.
TEST_F(EntryNodeTest, ARefusalIsNotPassedOnAfterAnAttemptOfUnknownOutcome) {
  ASSERT_TRUE(until([&] { return hasLeader(); }));
  std::vector<http::Responder> Unanswered;
  std::vector<bool> MaybeDone;
  leader().m_onForwarded = [&](const http::Request &R,
                               const http::Responder &Answer) {
    const auto Request = unpackMessage<batch::CallerRequest>(R.m_body);
    ASSERT_TRUE(Request);
    MaybeDone.push_back(Request->m_maybeDone);
    if (MaybeDone.size() == 1)
      return Unanswered.push_back(Answer);
    Answer(toResponse(refusalForRoom()));
  };
  const auto Submitted = other().call(CallerCall::Method::Submit, "1");
  ASSERT_TRUE(until([&] { return Submitted->has_value(); }));
  EXPECT_EQ(*Submitted, Verdict::Unknown);
  ASSERT_GE(MaybeDone.size(), 2u);
  EXPECT_FALSE(MaybeDone[0]);
  EXPECT_TRUE(MaybeDone[1]);
}

TEST_F(EntryNodeTest, FetchesTheConfigurationFromPeersWithoutTheStore) {
  ASSERT_TRUE(until([&] { return hasLeader() && other().m_node->ready(); }));
  ASSERT_TRUE(until([&] { return other().m_counters.get("candidates") == 2; }));
  Entry &Disconnected = other();
  Disconnected.m_store.m_unreachable = true;
  leader().m_store.add(Stream::Operator, {{"config", "2"}});
  std::optional<Verdict> Last;
  for (int Try = 0; Try < 20 && Last != Verdict::Gone; ++Try) {
    const auto Asked = Disconnected.call(CallerCall::Method::Query, "2");
    ASSERT_TRUE(until([&] { return Asked->has_value(); }));
    Last = *Asked;
    until([] { return false; }, 100);
  }
  EXPECT_EQ(Last, Verdict::Gone);
}

// A leader that cannot reach the store hands over leadership, and forwards its
// callers to the new leader.
TEST_F(EntryNodeTest, AnotherLeadsWhenOnlyTheLeaderCannotReachTheStore) {
  ASSERT_TRUE(until([&] { return hasLeader() && other().m_node->ready(); }));
  ASSERT_TRUE(
      until([&] { return leader().m_counters.get("candidates") == 2; }));
  Entry &Disconnected = leader();
  Entry &Next = other();
  Disconnected.m_store.m_unreachable = true;
  ASSERT_TRUE(
      until([&] { return Next.m_counters.get("leader_epoch") > 0; }, 2000));
  const auto Submitted = Disconnected.call(CallerCall::Method::Submit, "1");
  ASSERT_TRUE(until([&] { return Submitted->has_value(); }));
  EXPECT_EQ(*Submitted, Verdict::Ok);
}

// Guards against leaders that resign one after the other while most machines
// are gone for good: no other entry hears more of them, and no leader stayed
// long enough to count their runs as lost.
TEST_F(EntryNodeTest, ALeaderThatHearsFewAgentsStaysIfNoOtherHearsMore) {
  ASSERT_TRUE(until([&] { return hasLeader(); }));
  ASSERT_TRUE(
      until([&] { return leader().m_counters.get("candidates") == 2; }));
  Entry &Leader = leader();
  reportTo(Leader, 5);
  EXPECT_FALSE(
      until([&] { return Leader.m_counters.get("leader_epoch") != 1; }, 8000));
}

TEST_F(EntryNodeTest, ALeaderThatHearsFewAgentsHandsOverToAnEntryThatMoreAsk) {
  ASSERT_TRUE(until([&] { return hasLeader(); }));
  ASSERT_TRUE(
      until([&] { return leader().m_counters.get("candidates") == 2; }));
  Entry &Isolated = leader();
  Entry &Next = other();
  reportTo(Isolated, 5);
  EXPECT_TRUE(until(
      [&] {
        for (int I = 0; I < 3; ++I) {
          http::Request R;
          R.m_target = leaderQuery("agent-" + std::to_string(I));
          Next.m_node->control(R, [](const http::Response &) {});
        }
        return Next.m_counters.get("leader_epoch") > 0;
      },
      9000));
}

// Guards against tasks that start in a data centre that is being evacuated,
// because only one of several leaders had heard of it.
TEST_F(EntryNodeTest, TheNextLeaderKnowsOfEvacuations) {
  ASSERT_TRUE(until([&] { return hasLeader() && other().m_node->ready(); }));
  Entry &Next = other();
  leader().m_store.add(Stream::Operator, {{"evacuate/dc", "{}"}});
  leader().m_node->beginStop(1000);
  ASSERT_TRUE(
      until([&] { return Next.m_counters.get("leader_epoch") > 0; }, 6000));
  EXPECT_TRUE(until(
      [&] { return Next.m_counters.get("evacuated_data_centres") == 1; }));
  Next.m_store.add(Stream::Operator, {{"evacuate/dc", ""}});
  EXPECT_TRUE(until(
      [&] { return Next.m_counters.get("evacuated_data_centres") == 0; }));
}

// Guards against an entry that may become the leader through its peers and
// does not know what the operator has asked for while it had no store.
TEST_F(EntryNodeTest, LearnsOfEvacuationsFromPeersWithoutTheStore) {
  ASSERT_TRUE(until([&] { return hasLeader() && other().m_node->ready(); }));
  ASSERT_TRUE(until([&] { return other().m_counters.get("candidates") == 2; }));
  Entry &Disconnected = other();
  Disconnected.m_store.m_unreachable = true;
  leader().m_store.add(Stream::Operator, {{"evacuate/dc", "{}"}});
  EXPECT_TRUE(until([&] {
    return Disconnected.m_counters.get("evacuated_data_centres") == 1;
  }));
}

// Guards against a leader that hears of an evacuation too late, as its read was
// not woken and the bound for configurations is a long one.
TEST_F(EntryNodeTest, ALeaderReadsEvacuationsWithinSecondsWithoutAWakeUp) {
  m_a.reset();
  m_b.reset();
  *m_shared = {};
  m_shared->m_records[Stream::Operator] = {{"config", "1"}};
  Bounds Limits;
  Limits.m_configApplyMs = 60000;
  m_a = std::make_unique<Entry>(*m_reactor, m_shared, "a", Limits);
  ASSERT_TRUE(until([&] { return m_a->m_counters.get("leader_epoch") > 0; }));
  m_a->m_store.m_dropsWakeUps = true;
  until([] { return false; }, 100);
  m_a->m_store.add(Stream::Operator, {{"evacuate/dc", "{}"}});
  EXPECT_TRUE(
      until([&] { return m_a->m_counters.get("evacuated_data_centres") == 1; },
            3500));
}

// Guards against a refusal of a job that the leader has accepted: the entry
// could not read the answer of a leader of another version.
TEST_F(EntryNodeTest, AnUnreadableAnswerOfTheLeaderLeavesTheOutcomeUnknown) {
  ASSERT_TRUE(until([&] { return hasLeader() && other().m_node->ready(); }));
  Entry &Asked = other();
  auto Server = http::Server::start(
      *m_reactor, "127.0.0.1:0", {},
      [](const http::Request &, const http::Responder &Answer) {
        Answer({200, "?", "application/msgpack", {}});
      });
  ASSERT_TRUE(Server.ok());
  addLeader((*Server)->address());
  ASSERT_TRUE(until([&] { return !hasLeader(); }));
  const auto Submitted = Asked.call(CallerCall::Method::Submit, "1", 1000);
  ASSERT_TRUE(until([&] { return Submitted->has_value(); }));
  EXPECT_EQ(*Submitted, Verdict::Unknown);
}

/// A process that takes itself for the leader. Cuts the first request, and
/// answers the others with m_reply.
struct StubLeader {
  explicit StubLeader(http::Reactor &R) {
    auto Server = http::Server::start(
        R, "127.0.0.1:0", {},
        [this](const http::Request &, const http::Responder &Answer) {
          Answer(m_requests++ == 0 && m_cutsFirst ? http::noAnswer()
                                                  : toResponse(m_reply));
        });
    EXPECT_TRUE(Server.ok());
    m_server = std::move(*Server);
  }

  bool m_cutsFirst = true;
  int m_requests = 0;
  batch::CallerReply m_reply;
  std::unique_ptr<http::Server> m_server;
};

// Guards against a refusal of a job whose first copy is still on its way to the
// leader and may be accepted.
TEST_F(EntryNodeTest, ARefusalByTheSameLeaderLeavesAnEarlierAttemptInDoubt) {
  ASSERT_TRUE(until([&] { return hasLeader() && other().m_node->ready(); }));
  Entry &Asked = other();
  StubLeader Stub(*m_reactor);
  Stub.m_reply.m_verdict = Verdict::Overloaded;
  addLeader(Stub.m_server->address());
  Stub.m_reply.m_unknownToEpoch = m_shared->m_records[Stream::Leaders].size();
  ASSERT_TRUE(until([&] { return !hasLeader(); }));
  const auto Submitted = Asked.call(CallerCall::Method::Submit, "1", 1000);
  ASSERT_TRUE(until([&] { return Submitted->has_value(); }));
  EXPECT_GT(Stub.m_requests, 1);
  EXPECT_EQ(*Submitted, Verdict::Unknown);
}

// Guards against "unknown" for a job that the next leader does not know: what
// was sent to the leader before can have no effect any more.
TEST_F(EntryNodeTest, ARefusalByALaterLeaderEndsTheDoubt) {
  ASSERT_TRUE(until([&] { return hasLeader() && other().m_node->ready(); }));
  Entry &Asked = other();
  StubLeader First(*m_reactor);
  addLeader(First.m_server->address());
  ASSERT_TRUE(until([&] { return !hasLeader(); }));
  const auto Submitted = Asked.call(CallerCall::Method::Submit, "1", 1500);
  ASSERT_TRUE(until([&] { return First.m_requests > 0; }));
  StubLeader Next(*m_reactor);
  Next.m_cutsFirst = false;
  Next.m_reply.m_verdict = Verdict::Unavailable;
  addLeader(Next.m_server->address());
  Next.m_reply.m_unknownToEpoch = m_shared->m_records[Stream::Leaders].size();
  ASSERT_TRUE(until([&] { return Submitted->has_value(); }));
  EXPECT_EQ(*Submitted, Verdict::Unavailable);
}

// Guards against a delayed copy of a refused request that reaches the process
// when it leads again.
TEST_F(EntryNodeTest, ALeaderRefusesRequestsToAnEarlierOne) {
  ASSERT_TRUE(until([&] { return hasLeader(); }));
  batch::CallerRequest R;
  R.m_epoch =
      static_cast<std::uint64_t>(leader().m_counters.get("leader_epoch")) + 1;
  int Status = 0;
  leader().m_node->control(
      toRequest(CallerPath, R),
      [&](const http::Response &Answer) { Status = Answer.m_status; });
  EXPECT_EQ(Status, NotLeaderStatus);
}

// Guards against submissions that wait for the answer of a leader that has lost
// power while the next one is there.
TEST_F(EntryNodeTest, ARequestToAReplacedLeaderIsSentToTheNextOne) {
  ASSERT_TRUE(until([&] { return hasLeader() && other().m_node->ready(); }));
  Entry &Asked = other();
  Entry &Next = leader();
  std::vector<http::Responder> Unanswered;
  auto Server = http::Server::start(
      *m_reactor, "127.0.0.1:0", {},
      [&](const http::Request &, const http::Responder &Answer) {
        Unanswered.push_back(Answer);
      });
  ASSERT_TRUE(Server.ok());
  addLeader((*Server)->address());
  ASSERT_TRUE(until([&] { return !hasLeader(); }));
  const auto Submitted = Asked.call(CallerCall::Method::Submit, "1");
  until([] { return false; }, 100);
  askToLead(Next);
  ASSERT_TRUE(until([&] { return Submitted->has_value(); }, 800));
  EXPECT_EQ(*Submitted, Verdict::Ok);
}

// Guards against submissions that are refused although a leader appears while
// their callers wait: the wait ended after 1.2 s.
TEST_F(EntryNodeTest, ASubmissionIsServedByALeaderThatAppearsInTime) {
  ASSERT_TRUE(until([&] { return hasLeader() && other().m_node->ready(); }));
  Entry &Asked = other();
  Entry &Next = leader();
  addLeader("127.0.0.1:1");
  ASSERT_TRUE(until([&] { return !hasLeader(); }));
  const auto Submitted = Asked.call(CallerCall::Method::Submit, "1");
  until([] { return false; }, 1600);
  EXPECT_FALSE(Submitted->has_value());
  askToLead(Next);
  ASSERT_TRUE(until([&] { return Submitted->has_value(); }, 1000));
  EXPECT_EQ(*Submitted, Verdict::Ok);
}

// Guards against submissions that wait for a leader in vain: the store has been
// away from all entries for seconds.
TEST_F(EntryNodeTest, ASubmissionIsRefusedAtOnceInALongOutageOfTheStore) {
  ASSERT_TRUE(until([&] { return hasLeader() && other().m_node->ready(); }));
  Entry &Asked = other();
  m_a->m_store.m_unreachable = m_b->m_store.m_unreachable = true;
  until([] { return false; }, 4000);
  const auto Submitted = Asked.call(CallerCall::Method::Submit, "1");
  ASSERT_TRUE(until([&] { return Submitted->has_value(); }, 500));
  EXPECT_EQ(*Submitted, Verdict::Unavailable);
}

// Guards against submissions that are refused at once because an earlier
// request, long ago, was not served either.
TEST_F(EntryNodeTest, AnEarlierDisruptionDoesNotShortenTheWaitForALeader) {
  ASSERT_TRUE(until([&] { return hasLeader() && other().m_node->ready(); }));
  Entry &Asked = other();
  Entry &Next = leader();
  addLeader("127.0.0.1:1");
  ASSERT_TRUE(until([&] { return !hasLeader(); }));
  const auto Early = Asked.call(CallerCall::Method::Submit, "1", 700);
  ASSERT_TRUE(until([&] { return Early->has_value(); }));
  EXPECT_EQ(*Early, Verdict::Unavailable);
  askToLead(Next);
  ASSERT_TRUE(until([&] { return hasLeader(); }));
  until([] { return false; }, 4500);
  addLeader("127.0.0.1:1");
  ASSERT_TRUE(until([&] { return !hasLeader(); }));
  const auto Submitted = Asked.call(CallerCall::Method::Submit, "1");
  until([] { return false; }, 300);
  askToLead(Next);
  ASSERT_TRUE(until([&] { return Submitted->has_value(); }, 1000));
  EXPECT_EQ(*Submitted, Verdict::Ok);
}

TEST_F(EntryNodeTest, HandsOverLeadershipWhenItStops) {
  ASSERT_TRUE(until([&] { return hasLeader() && other().m_node->ready(); }));
  Entry &Stopping = leader();
  Entry &Next = other();
  Stopping.m_node->beginStop(3000);
  EXPECT_FALSE(Stopping.m_node->ready());
  EXPECT_TRUE(
      until([&] { return Next.m_counters.get("leader_epoch") > 0; }, 2000));
}

// Guards against a journal that refuses the leader although no other entry
// leads, as after a conflict of batch numbers. Nobody led from then on, since
// the leader's record and its membership stayed.
TEST_F(EntryNodeTest, ALeaderWhoseJournalIsFencedIsReplaced) {
  ASSERT_TRUE(until([&] { return hasLeader() && other().m_node->ready(); }));
  ASSERT_TRUE(until([&] { return m_shared->m_members.size() == 2; }));
  ++m_shared->m_epoch;
  leader().call(CallerCall::Method::Submit, "1");
  ASSERT_TRUE(until([&] { return !hasLeader(); }));
  ASSERT_TRUE(until([&] { return hasLeader(); }));
  const auto Submitted = other().call(CallerCall::Method::Submit, "1");
  ASSERT_TRUE(until([&] { return Submitted->has_value(); }));
  EXPECT_EQ(*Submitted, Verdict::Ok);
}

// Guards against requests that are cut without an answer when the process ends.
TEST_F(EntryNodeTest, AnswersAllCallsBeforeItEnds) {
  ASSERT_TRUE(until([&] { return hasLeader() && other().m_node->ready(); }));
  Entry &Stopping = other();
  leader().m_node->beginStop(1000);
  const auto Before =
      Stopping.call(CallerCall::Method::Query, "1", /*RemainingMs=*/20000);
  Stopping.m_node->beginStop(1000);
  const auto After =
      Stopping.call(CallerCall::Method::Query, "1", /*RemainingMs=*/20000);
  EXPECT_TRUE(until([&] { return Stopping.m_node->inFlight() == 0; }, 1000));
  EXPECT_EQ(*Before, Verdict::Unavailable);
  EXPECT_EQ(*After, Verdict::Unavailable);
}

} // namespace
} // namespace pomelokeel::node::tests
