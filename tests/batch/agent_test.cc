#include "batch/agent.h"

#include "fake_worker.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace pomelokeel::batch::tests {
namespace {

constexpr const char *TaskA = "00000000000000aa.0.0.0";

StartOrder order(int Run) { return {TaskA, Run, "payload", ""}; }

/// An agent that has polled its worker once and is in contact with the leader.
class AgentTest : public testing::Test {
protected:
  void SetUp() override {
    m_worker.heartbeat();
    m_worker.pass(20);
    m_worker.reply({});
    m_worker.pass(20);
  }

  void startA(int Run = 1) {
    AgentReply R;
    R.m_starts = {order(Run)};
    m_worker.reply(R);
    m_worker.pass(50);
  }

  // The leader acknowledges that run 1 of a task has ended as done.
  void acknowledgeDone(const char *Task, std::int64_t Number) {
    AgentReply R;
    R.m_acknowledged = {{Task, 1, EndKind::Done, "", Number, ""}};
    m_worker.reply(R);
  }

  FakeWorker m_worker;
};

TEST_F(AgentTest, StartsOnceWhenAnOrderIsRepeated) {
  startA();
  AgentReply R;
  R.m_starts = {order(1)};
  m_worker.reply(R);
  m_worker.pass(50);
  EXPECT_EQ(m_worker.m_starts, 1);
}

TEST_F(AgentTest, ReportsAnEndUntilItIsAcknowledged) {
  startA();
  m_worker.end(TaskA, 1, EndKind::Done);
  m_worker.pass(1100);
  ASSERT_TRUE(m_worker.reported(EndKind::Done));
  EXPECT_EQ(m_worker.m_acknowledged, 0);
  acknowledgeDone(TaskA, 1);
  m_worker.pass(100);
  EXPECT_EQ(m_worker.m_acknowledged, 1);
}

// Guards against runs of a lost worker that are reported as running for ever
// because each failed poll counts as a renewal of the lease.
TEST_F(AgentTest, RunsOfAnUnreachableWorkerEndWithTheLastLease) {
  startA();
  m_worker.passWithReplies(1000);
  m_worker.m_unreachable = true;
  m_worker.passWithReplies(7500);
  m_worker.pass(100);
  EXPECT_TRUE(m_worker.reported(EndKind::LeaseExpired));
}

// Guards against accepted work that nobody runs: the runs of a worker that had
// left counted as alive until their lease ended, and the agent ended first.
TEST_F(AgentTest, RunsOfAWorkerThatHasLeftEndAtOnce) {
  startA();
  m_worker.passWithReplies(1000);
  m_worker.m_unreachable = true;
  m_worker.m_agent.onWorkerLeft("w-1", m_worker.m_now);
  m_worker.passWithReplies(900);
  m_worker.pass(50);
  EXPECT_TRUE(m_worker.reported(EndKind::LeaseExpired));
}

// Guards against a task that runs twice: the notice may be one of an earlier
// incarnation of the worker, which has the same id.
TEST_F(AgentTest, ALateNoticeEndsNoRun) {
  startA();
  m_worker.m_agent.onWorkerLeft("w-1", m_worker.m_now);
  m_worker.m_agent.onWorkerLeft("w-0", m_worker.m_now);
  m_worker.passWithReplies(9000);
  m_worker.pass(20);
  ASSERT_FALSE(m_worker.m_reports.empty());
  EXPECT_TRUE(m_worker.m_reports.back().m_ends.empty());
  EXPECT_EQ(m_worker.m_runs.size(), 1u);
}

// Guards against a task that runs twice: one disturbance failed the polls that
// were under way when a late notice arrived.
TEST_F(AgentTest, OneDisturbanceAfterALateNoticeEndsNoRun) {
  startA();
  m_worker.passWithReplies(500);
  m_worker.m_unreachable = true;
  m_worker.m_agent.onWorkerLeft("w-1", m_worker.m_now);
  ++m_worker.m_epoch; // The new leader's fence is sent with a poll at once.
  m_worker.reply({});
  m_worker.pass(100);
  m_worker.m_unreachable = false;
  m_worker.passWithReplies(3000);
  m_worker.pass(20);
  ASSERT_FALSE(m_worker.m_reports.empty());
  EXPECT_TRUE(m_worker.m_reports.back().m_ends.empty());
  EXPECT_EQ(m_worker.m_runs.size(), 1u);
}

// Guards against runs that never end: a start order that came after the lease
// of a lost worker had ended was never sent, and its run never ended.
TEST_F(AgentTest, AStartAfterTheLeaseOfALostWorkerEnds) {
  startA();
  m_worker.passWithReplies(1000);
  m_worker.m_unreachable = true;
  m_worker.passWithReplies(9000);
  AgentReply R;
  R.m_starts = {{"00000000000000bb.0.0.0", 1, "payload", ""}};
  m_worker.reply(R);
  m_worker.passWithReplies(1000);
  m_worker.pass(50);
  ASSERT_FALSE(m_worker.m_reports.empty());
  EXPECT_TRUE(m_worker.m_reports.back().m_runs.empty());
}

// An agent that waits for long before it stops lets the lease of its worker
// lapse.
TEST_F(AgentTest, AStoppingAgentOfALiveWorkerWaitsOnlyBriefly) {
  m_worker.m_refusal = "room";
  startA();
  m_worker.m_leaderSilent = true;
  m_worker.reply({});
  m_worker.m_agent.beginStop(m_worker.m_now);
  EXPECT_FALSE(m_worker.m_agent.mayEnd(m_worker.m_now));
  m_worker.pass(1100);
  EXPECT_TRUE(m_worker.m_agent.mayEnd(m_worker.m_now));
}

// The agent is told to stop before it knows that its worker is gone.
TEST_F(AgentTest, AStoppingAgentFindsOutWhetherItsWorkerHasLeft) {
  startA();
  m_worker.m_unreachable = true;
  m_worker.m_agent.onWorkerLeft("w-1", m_worker.m_now);
  m_worker.m_agent.beginStop(m_worker.m_now);
  m_worker.reply({});
  EXPECT_FALSE(m_worker.m_agent.mayEnd(m_worker.m_now));
  m_worker.passWithReplies(600);
  m_worker.pass(20);
  EXPECT_TRUE(m_worker.reported(EndKind::LeaseExpired));
}

// A start that was not answered may be carried out by the next incarnation of
// the worker, so its run has not ended for sure.
TEST_F(AgentTest, AnUnansweredStartOutlivesANotice) {
  m_worker.m_delaysStarts = true;
  startA();
  m_worker.m_unreachable = true;
  m_worker.m_agent.onWorkerLeft("w-1", m_worker.m_now);
  AgentReply R;
  R.m_stops = {{TaskA, 1}};
  m_worker.reply(R);
  m_worker.passWithReplies(1000);
  m_worker.pass(20);
  EXPECT_FALSE(m_worker.reported(EndKind::LeaseExpired));
}

// Guards against an end that nobody knows of: the agent ended before it had
// told the leader, and the worker was gone.
TEST_F(AgentTest, ReportsTheEndsOfALeftWorkerBeforeItStops) {
  startA();
  m_worker.m_leaderSilent = true;
  m_worker.reply({});
  m_worker.m_unreachable = true;
  m_worker.m_agent.onWorkerLeft("w-1", m_worker.m_now);
  m_worker.pass(100);
  m_worker.m_agent.beginStop(m_worker.m_now);
  EXPECT_FALSE(m_worker.m_agent.mayEnd(m_worker.m_now));
  m_worker.pass(1000);
  m_worker.m_leaderSilent = false;
  m_worker.pass(500);
  ASSERT_TRUE(m_worker.reported(EndKind::LeaseExpired));
  AgentReply R;
  R.m_acknowledged = m_worker.m_reports.back().m_ends;
  m_worker.reply(R);
  EXPECT_TRUE(m_worker.m_agent.mayEnd(m_worker.m_now));
}

// Guards against accepted work that nobody runs: a worker was gone without
// notice, its agent was told to stop, and the leader waited for as long as any
// agent may go on alone.
TEST_F(AgentTest, SaysWhenItsLeasesEndBeforeItStops) {
  startA();
  m_worker.passWithReplies(1000);
  m_worker.m_unreachable = true;
  m_worker.pass(1200);
  m_worker.m_leaderSilent = true;
  m_worker.reply({});
  m_worker.m_agent.beginStop(m_worker.m_now);
  m_worker.pass(100);
  EXPECT_FALSE(m_worker.m_agent.mayEnd(m_worker.m_now));
  m_worker.m_leaderSilent = false;
  m_worker.pass(300);
  ASSERT_FALSE(m_worker.m_reports.empty());
  const auto EndInMs = m_worker.m_reports.back().m_leasesEndInMs;
  ASSERT_TRUE(EndInMs.has_value());
  EXPECT_GE(m_worker.m_now + *EndInMs, m_worker.m_deadline);
  EXPECT_LT(*EndInMs, AgentTiming{}.m_leaseMs);
  m_worker.reply({});
  EXPECT_TRUE(m_worker.m_agent.mayEnd(m_worker.m_now));
  EXPECT_EQ(m_worker.m_runs.size(), 1u);
}

// Guards against runs that seem alive for long: each repetition of a start
// order that a lost worker did not answer counted as a renewal of the lease.
TEST_F(AgentTest, UnansweredStartsRenewNoLeaseOfASilentWorker) {
  startA();
  m_worker.passWithReplies(1000);
  m_worker.m_unreachable = true;
  m_worker.passWithReplies(600);
  AgentReply R;
  R.m_starts = {{"00000000000000bb.0.0.0", 1, "payload", ""}};
  m_worker.reply(R);
  m_worker.passWithReplies(7000);
  m_worker.pass(50);
  EXPECT_TRUE(m_worker.reported(EndKind::LeaseExpired));
}

// The runs of a draining worker must be known to have ended soon after it is
// gone, so its leases are short.
TEST_F(AgentTest, ADrainingWorkerGetsShortLeases) {
  startA();
  m_worker.m_draining = true;
  m_worker.heartbeat();
  m_worker.passWithReplies(8000);
  EXPECT_GT(m_worker.m_deadline, m_worker.clock() + 1500);
  EXPECT_LE(m_worker.m_deadline, m_worker.clock() + 4500);
  EXPECT_EQ(m_worker.m_runs.size(), 1u);
}

// An agent whose worker goes on ends without delay, as the next one takes over.
TEST_F(AgentTest, AStoppingAgentHandsOverALiveWorker) {
  startA();
  m_worker.m_agent.beginStop(m_worker.m_now);
  EXPECT_TRUE(m_worker.m_agent.mayEnd(m_worker.m_now));
  AgentReply R;
  R.m_starts = {order(2)};
  m_worker.reply(R);
  m_worker.pass(50);
  EXPECT_EQ(m_worker.m_starts, 1);
}

TEST_F(AgentTest, GrantsNoLeaseWithoutTheLeaderAfterTheAutonomyTime) {
  startA();
  m_worker.m_leaderSilent = true;
  m_worker.reply({});
  m_worker.pass(4500);
  const Millis Granted = m_worker.m_deadline;
  m_worker.pass(3000);
  EXPECT_EQ(m_worker.m_deadline, Granted);
}

TEST_F(AgentTest, AnUnansweredStartIsReportedNeverStartedOnlyAfterAStop) {
  m_worker.m_delaysStarts = true;
  startA();
  AgentReply R;
  R.m_stops = {{TaskA, 1}};
  m_worker.reply(R);
  m_worker.m_delaysStarts = false;
  m_worker.pass(500);
  ASSERT_TRUE(m_worker.reported(EndKind::NeverStarted));
  // The start arrives late. The worker must reject it.
  m_worker.applyDelayedStarts();
  EXPECT_TRUE(m_worker.m_runs.empty());
}

TEST_F(AgentTest, AnUnansweredStartIsStoppedAfterAWorkerRestart) {
  m_worker.m_delaysStarts = true;
  startA();
  m_worker.m_delaysStarts = false;
  m_worker.restart();
  m_worker.heartbeat();
  m_worker.pass(500);
  m_worker.applyDelayedStarts();
  EXPECT_TRUE(m_worker.m_runs.empty());
}

// The first copy of a start is delayed and a repeated one is answered. If the
// worker restarts, the delayed copy must not start there, where another run may
// use the resources (found by soak, seed 6).
TEST_F(AgentTest, ALateCopyOfAnAnsweredStartIsStoppedAfterAWorkerRestart) {
  m_worker.m_delaysStarts = true;
  startA();
  m_worker.m_delaysStarts = false;
  m_worker.passWithReplies(1000);
  ASSERT_EQ(m_worker.m_starts, 1);
  m_worker.end(TaskA, 1, EndKind::Done);
  m_worker.passWithReplies(1000);
  m_worker.restart();
  m_worker.heartbeat();
  m_worker.pass(500);
  m_worker.applyDelayedStarts();
  EXPECT_TRUE(m_worker.m_runs.empty());
}

// Guards against work that is done twice: the worker is lost after a run has
// ended and before the leader has stored the end, so only the agent knows of
// it.
TEST_F(AgentTest, ReportsAnEndAsDoneAfterTheLossOfItsWorker) {
  startA();
  m_worker.end(TaskA, 1, EndKind::Done);
  m_worker.pass(1100);
  ASSERT_TRUE(m_worker.reported(EndKind::Done));
  m_worker.restart();
  m_worker.heartbeat();
  m_worker.passWithReplies(500);
  m_worker.pass(50);
  ASSERT_TRUE(m_worker.reported(EndKind::Done));
  // The numbers of the next incarnation start anew.
  const EndReport &E = m_worker.m_reports.back().m_ends.front();
  EXPECT_EQ(E.m_number, 0);
  AgentReply R;
  R.m_acknowledged = {E};
  m_worker.reply(R);
  m_worker.pass(500);
  ASSERT_FALSE(m_worker.m_reports.empty());
  EXPECT_FALSE(m_worker.reported(EndKind::Done));
  EXPECT_EQ(m_worker.m_acknowledged, 0);
}

// The poll shows the new incarnation before its first heartbeat. A failed run
// of a lost worker costs its task no attempt.
TEST_F(AgentTest, ReportsOnlyEndsAsDoneAfterTheLossOfTheirWorker) {
  startA();
  m_worker.end(TaskA, 1, EndKind::Failed);
  m_worker.end("00000000000000aa.0.0.1", 1, EndKind::Done);
  m_worker.pass(1100);
  ASSERT_TRUE(m_worker.reported(EndKind::Failed));
  m_worker.restart();
  m_worker.passWithReplies(1500);
  m_worker.heartbeat();
  m_worker.pass(50);
  EXPECT_TRUE(m_worker.reported(EndKind::Done));
  EXPECT_FALSE(m_worker.reported(EndKind::Failed));
}

// Guards against the loss of an end that could not be read: the worker forgets
// it once a later end is acknowledged, and the job never ends.
TEST_F(AgentTest, AMalformedEndIsNotAcknowledged) {
  constexpr const char *TaskB = "00000000000000bb.0.0.0";
  startA();
  AgentReply R;
  R.m_starts = {{TaskB, 1, "payload", ""}};
  m_worker.reply(R);
  m_worker.pass(50);
  m_worker.end(TaskA, 1, EndKind::Done);
  m_worker.end(TaskB, 1, EndKind::Done);
  for (const std::int64_t LowestNumber : {1, 2}) {
    m_worker.m_alterAnswer = [=](PollResult &A) {
      std::erase_if(A.m_ends,
                    [](const EndReport &E) { return E.m_number == 2; });
      A.m_malformed.addEnd(
          LowestNumber == 1 ? std::nullopt : std::optional<RunKey>({TaskB, 1}),
          LowestNumber);
    };
    m_worker.pass(1100);
    acknowledgeDone(TaskA, 1);
    m_worker.pass(500);
    m_worker.reply({});
    m_worker.pass(500);
    EXPECT_EQ(m_worker.m_acknowledged, LowestNumber - 1);
    EXPECT_TRUE(m_worker.m_reports.back().m_ends.empty());
    EXPECT_EQ(m_worker.m_reports.back().m_runs.size(), 1u);
  }
  m_worker.m_alterAnswer = nullptr;
  m_worker.reply({});
  m_worker.pass(1100);
  ASSERT_TRUE(m_worker.reported(EndKind::Done));
  acknowledgeDone(TaskB, 2);
  m_worker.pass(1100);
  EXPECT_EQ(m_worker.m_acknowledged, 2);
}

// Guards against a run that counts as ended because its row could not be read.
TEST_F(AgentTest, ARunInAMalformedRowHasNotEnded) {
  startA();
  for (const auto &Key :
       {std::optional<RunKey>({TaskA, 1}), std::optional<RunKey>()}) {
    m_worker.m_alterAnswer = [=](PollResult &A) {
      A.m_runs.clear();
      A.m_malformed.add(Key);
    };
    m_worker.passWithReplies(3000);
    m_worker.pass(20);
    EXPECT_TRUE(m_worker.m_reports.back().m_ends.empty());
    EXPECT_EQ(m_worker.m_reports.back().m_runs.size(), 1u);
  }
  EXPECT_EQ(std::count(m_worker.m_events.begin(), m_worker.m_events.end(),
                       "rowsIgnored"),
            1);
}

// Guards against a task that runs twice: the worker listed as many ends as fit
// in one answer, and a run whose end did not fit counted as expired.
TEST_F(AgentTest, AnEndOnTheNextPageIsNotLost) {
  startA();
  m_worker.m_pageSize = 2;
  const std::vector<std::string> Others = {"00000000000000bb.0.0.0",
                                           "00000000000000bb.0.0.1"};
  for (const std::string &Other : Others)
    m_worker.end(Other, 1, EndKind::Done);
  m_worker.end(TaskA, 1, EndKind::Done);
  m_worker.passWithReplies(2000);
  m_worker.pass(20);
  ASSERT_FALSE(m_worker.m_reports.empty());
  EXPECT_FALSE(m_worker.reported(EndKind::LeaseExpired));
  EXPECT_EQ(m_worker.m_reports.back().m_runs.size(), 1u);
  AgentReply R;
  for (std::int64_t I = 0; I < 2; ++I)
    R.m_acknowledged.push_back(
        {Others[static_cast<std::size_t>(I)], 1, EndKind::Done, "", I + 1, ""});
  m_worker.reply(R);
  m_worker.pass(1100);
  m_worker.reply({});
  m_worker.pass(20);
  ASSERT_FALSE(m_worker.m_reports.empty());
  const AgentReport &Last = m_worker.m_reports.back();
  ASSERT_EQ(Last.m_ends.size(), 1u);
  EXPECT_EQ(Last.m_ends[0].m_task, TaskA);
  EXPECT_EQ(Last.m_ends[0].m_kind, EndKind::Done);
}

/// Changes of a valid heartbeat as another writer makes them.
struct OddHeartbeat {
  const char *m_name;
  std::function<void(WorkerInfo &)> m_change;
};

const std::vector<OddHeartbeat> &oddHeartbeats() {
  static const std::vector<OddHeartbeat> All = {
      {"start time in the future",
       [](WorkerInfo &W) { W.m_startTime = 999'999'999'999'999; }},
      {"start time before 1970", [](WorkerInfo &W) { W.m_startTime = -1; }},
      {"earlier life", [](WorkerInfo &W) { --W.m_startTime; }},
      {"no id", [](WorkerInfo &W) { W.m_id.clear(); }},
      {"other id", [](WorkerInfo &W) { W.m_id = "w-2"; }},
      {"other id, later life", [](WorkerInfo &W) {
         W.m_id = "w-2";
         ++W.m_startTime;
       }}};
  return All;
}

// Guards against tasks that run twice: the agent believed a heartbeat of
// another writer, dropped the runs of its worker and described another one.
TEST_F(AgentTest, AHeartbeatThatTheWorkerDoesNotConfirmChangesNothing) {
  startA();
  m_worker.passWithReplies(100);
  for (const OddHeartbeat &Odd : oddHeartbeats()) {
    m_worker.heartbeat(Odd.m_change);
    for (int I = 0; I < 30; ++I) {
      m_worker.pass(50);
      const Millis Granted = m_worker.m_deadline;
      ASSERT_FALSE(m_worker.m_reports.empty()) << Odd.m_name;
      for (const AgentReport &R : m_worker.m_reports) {
        ASSERT_TRUE(R.m_worker.has_value()) << Odd.m_name;
        EXPECT_EQ(R.m_worker->m_workerIncarnation,
                  m_worker.info().m_workerIncarnation)
            << Odd.m_name;
        EXPECT_EQ(R.m_runs.size(), 1u) << Odd.m_name;
      }
      EXPECT_GT(Granted, m_worker.m_now) << Odd.m_name;
      m_worker.reply({});
    }
    const auto Ignored = std::count(
        m_worker.m_events.begin(), m_worker.m_events.end(), "heartbeatIgnored");
    EXPECT_EQ(Ignored, &Odd - oddHeartbeats().data() + 1) << Odd.m_name;
  }
  EXPECT_EQ(m_worker.m_runs.size(), 1u);
}

// Guards against a worker that gets no work: the first heartbeat came from
// another writer, and those of the worker counted as late from then on.
TEST(AgentRestartTest, AnOddFirstHeartbeatLocksNoWorkerOut) {
  for (const OddHeartbeat &Odd : oddHeartbeats()) {
    FakeWorker W;
    W.heartbeat(Odd.m_change);
    W.pass(500);
    for (const AgentReport &R : W.m_reports)
      EXPECT_FALSE(R.m_worker.has_value()) << Odd.m_name;
    W.heartbeat();
    W.pass(20);
    W.reply({});
    W.pass(20);
    ASSERT_FALSE(W.m_reports.empty()) << Odd.m_name;
    ASSERT_TRUE(W.m_reports.back().m_worker.has_value()) << Odd.m_name;
    EXPECT_EQ(base::encode(*W.m_reports.back().m_worker),
              base::encode(W.info()))
        << Odd.m_name;
    AgentReply R;
    R.m_starts = {order(1)};
    W.reply(R);
    W.pass(50);
    EXPECT_EQ(W.m_starts, 1) << Odd.m_name;
  }
}

// A worker whose clock was set back starts again with an earlier start time.
TEST_F(AgentTest, ALaterLifeMayHaveAnEarlierStartTime) {
  startA();
  m_worker.restart();
  m_worker.m_startTime = -5;
  m_worker.heartbeat();
  m_worker.passWithReplies(50);
  m_worker.pass(20);
  ASSERT_FALSE(m_worker.m_reports.empty());
  ASSERT_TRUE(m_worker.m_reports.back().m_worker.has_value());
  EXPECT_EQ(base::encode(*m_worker.m_reports.back().m_worker),
            base::encode(m_worker.info()));
  EXPECT_TRUE(m_worker.m_reports.back().m_runs.empty());
}

TEST_F(AgentTest, RefusesWorkForADrainingWorkerAtOnce) {
  m_worker.m_draining = true;
  m_worker.heartbeat();
  startA();
  EXPECT_EQ(m_worker.m_starts, 0);
  EXPECT_TRUE(m_worker.reported(EndKind::NeverStarted));
}

TEST_F(AgentTest, ReportsARefusedStartAsNeverStarted) {
  m_worker.m_refusal = "room";
  startA();
  EXPECT_TRUE(m_worker.reported(EndKind::NeverStarted));
}

// Guards against a stop that counts as done although an unhealthy worker
// refused it. It was not repeated, and a cancelled run continued for 12 s.
TEST_F(AgentTest, AStopThatTheWorkerRefusedIsRepeated) {
  startA();
  m_worker.m_stopRefusal = "status503";
  AgentReply R;
  R.m_stops = {{TaskA, 1}};
  m_worker.reply(R);
  m_worker.pass(1000);
  ASSERT_EQ(m_worker.m_runs.size(), 1u);
  m_worker.m_stopRefusal.clear();
  m_worker.pass(1000);
  EXPECT_TRUE(m_worker.m_runs.empty());
  EXPECT_TRUE(m_worker.reported(EndKind::Stopped));
}

// A refused stop does not tell whether an unanswered start may still be carried
// out.
TEST_F(AgentTest, ARefusedStopDoesNotEndAnUnansweredStart) {
  m_worker.m_delaysStarts = true;
  startA();
  m_worker.m_stopRefusal = "status503";
  AgentReply R;
  R.m_stops = {{TaskA, 1}};
  m_worker.reply(R);
  m_worker.pass(1000);
  EXPECT_FALSE(m_worker.reported(EndKind::NeverStarted));
}

TEST_F(AgentTest, IgnoresALeaderThatWasReplaced) {
  m_worker.m_epoch = 5;
  m_worker.reply({});
  m_worker.pass(50);
  m_worker.m_epoch = 4;
  startA();
  EXPECT_EQ(m_worker.m_starts, 0);
}

// The leader gives up the runs of an earlier incarnation on this report.
TEST_F(AgentTest, ReportsAFenceOnlyOnceTheWorkerHasAnsweredAPollWithIt) {
  const std::uint64_t Fence = fenceOf(m_worker.m_epoch, 3);
  m_worker.m_unreachable = true;
  AgentReply R;
  R.m_fence = Fence;
  m_worker.reply(R);
  m_worker.passWithReplies(500);
  ASSERT_FALSE(m_worker.m_reports.empty());
  EXPECT_LT(m_worker.m_reports.back().m_fence, Fence);
  m_worker.m_unreachable = false;
  m_worker.pass(1500);
  ASSERT_FALSE(m_worker.m_reports.empty());
  EXPECT_EQ(m_worker.m_reports.back().m_fence, Fence);
  m_worker.restart();
  m_worker.m_unreachable = true;
  m_worker.heartbeat();
  m_worker.passWithReplies(500);
  ASSERT_FALSE(m_worker.m_reports.empty());
  EXPECT_EQ(m_worker.m_reports.back().m_fence, 0u);
}

// Guards against the loss of an end: the next incarnation of the worker carries
// out a poll that repeats an acknowledgement of the earlier one.
TEST_F(AgentTest, AnAcknowledgementIsNotRepeatedOnceItIsAnswered) {
  startA();
  m_worker.end(TaskA, 1, EndKind::Done);
  m_worker.pass(1100);
  acknowledgeDone(TaskA, 1);
  m_worker.passWithReplies(5000);
  EXPECT_EQ(m_worker.m_acknowledged, 1);
  EXPECT_EQ(m_worker.m_acknowledgements, 1);
}

// Guards against the loss of an end: a start is carried out by the next
// incarnation of the worker, and a poll that acknowledges an end of the earlier
// one makes it forget the run's end (restart simulation, seeds 12583 and
// 17411).
TEST_F(AgentTest, NothingIsAcknowledgedToAWorkerThatMayHaveRestarted) {
  constexpr const char *TaskB = "00000000000000bb.0.0.0";
  startA();
  m_worker.end(TaskA, 1, EndKind::Done);
  m_worker.passWithReplies(1500);
  m_worker.m_unreachable = true;
  AgentReply R;
  R.m_acknowledged = {{TaskA, 1, EndKind::Done, "", 1, ""}};
  R.m_starts = {{TaskB, 1, "payload", ""}};
  m_worker.reply(R);
  m_worker.pass(50);
  m_worker.restart();
  m_worker.m_dropsPolls = true;
  m_worker.m_unreachable = false;
  m_worker.pass(500);
  ASSERT_TRUE(m_worker.m_runs.contains({TaskB, 1}));
  m_worker.end(TaskB, 1, EndKind::Done);
  m_worker.m_dropsPolls = false;
  m_worker.passWithReplies(500);
  m_worker.heartbeat();
  m_worker.passWithReplies(1000);
  m_worker.pass(20);
  EXPECT_EQ(m_worker.m_acknowledged, 0);
  EXPECT_TRUE(m_worker.reported(EndKind::Done));
}

// Guards against a late call with the number of an earlier epoch or generation.
TEST_F(AgentTest, NeverLowersTheFence) {
  AgentReply R;
  R.m_fence = fenceOf(m_worker.m_epoch, 3);
  m_worker.reply(R);
  m_worker.pass(20);
  R.m_fence = fenceOf(m_worker.m_epoch, 2);
  m_worker.reply(R);
  startA();
  EXPECT_EQ(m_worker.m_fence, fenceOf(m_worker.m_epoch, 3));
}

TEST_F(AgentTest, ReportsWhatTheWorkerRunsAfterAnAgentRestart) {
  startA();
  FakeWorker Next;
  Next.m_now = m_worker.m_now;
  Next.m_runs = m_worker.m_runs;
  Next.heartbeat();
  Next.pass(50);
  ASSERT_FALSE(Next.m_reports.empty());
  ASSERT_EQ(Next.m_reports.back().m_runs.size(), 1u);
  EXPECT_EQ(Next.m_reports.back().m_runs[0].m_task, TaskA);
}

// Guards against a task that runs twice: the previous process of the agent may
// have sent the same start without an answer, and the worker may carry it out
// after it has refused the repeated one.
TEST_F(AgentTest, ARefusedStartIsStoppedFirstAfterAnAgentRestart) {
  m_worker.m_refusal = "status503";
  m_worker.m_stopRefusal = "status503";
  startA();
  m_worker.pass(1000);
  EXPECT_FALSE(m_worker.reported(EndKind::NeverStarted));
  m_worker.m_stopRefusal.clear();
  m_worker.pass(1000);
  EXPECT_TRUE(m_worker.reported(EndKind::NeverStarted));
}

// Guards against a task that runs twice: an agent that had been restarted got
// the start order for a run of its draining worker again, before it had heard
// from the worker, and reported the run as never started.
TEST(AgentRestartTest, AStartOrderBeforeTheFirstPollEndsNoRun) {
  FakeWorker W;
  W.m_draining = true;
  W.m_runs[{TaskA, 1}] = {};
  W.m_unreachable = true;
  W.heartbeat();
  W.pass(20);
  AgentReply R;
  R.m_starts = {order(1)};
  W.reply(R);
  W.m_unreachable = false;
  W.passWithReplies(1000);
  W.pass(20);
  EXPECT_FALSE(W.reported(EndKind::NeverStarted));
  ASSERT_FALSE(W.m_reports.empty());
  EXPECT_EQ(W.m_reports.back().m_runs.size(), 1u);
}

// Guards against runs that never end: a restarted agent whose worker was lost
// before the agent had granted a lease of its own kept them as running.
TEST(AgentRestartTest, RunsOfALostWorkerEndWithTheLeaseOfTheEarlierProcess) {
  FakeWorker W;
  W.m_runs[{TaskA, 1}] = {};
  W.m_leaderSilent = true;
  W.heartbeat();
  W.pass(20);
  W.m_unreachable = true;
  W.pass(2500);
  W.m_leaderSilent = false;
  W.passWithReplies(10000);
  W.pass(20);
  EXPECT_TRUE(W.reported(EndKind::LeaseExpired));
}

// The worker answers every poll at once while ends are not acknowledged.
TEST_F(AgentTest, PollsAreSpacedWhileEndsAreNotAcknowledged) {
  startA();
  m_worker.end(TaskA, 1, EndKind::Done);
  m_worker.m_leaderSilent = true;
  m_worker.reply({});
  const auto Calls = [&] {
    return std::count(m_worker.m_events.begin(), m_worker.m_events.end(),
                      "workerSilent");
  };
  m_worker.pass(3000);
  EXPECT_EQ(Calls(), 0);
  EXPECT_EQ(m_worker.m_ends.size(), 1u);
}

// Guards against runs that start twice: an agent without contact to the leader
// repeated an unanswered start after the leader had counted the run as lost.
TEST(AgentContactTest, StartsAreNotRepeatedWithoutContactToTheLeader) {
  FakeWorker W;
  W.heartbeat();
  W.passWithReplies(100);
  W.m_dropsStarts = true;
  AgentReply R;
  R.m_starts = {order(1)};
  W.reply(R);
  W.m_leaderSilent = true;
  W.pass(AgentTiming{}.m_autonomyMs + 500);
  W.m_dropsStarts = false;
  W.pass(1000);
  EXPECT_EQ(W.m_starts, 0);
  W.m_leaderSilent = false;
  W.passWithReplies(1000);
  EXPECT_EQ(W.m_starts, 1);
}

} // namespace
} // namespace pomelokeel::batch::tests
