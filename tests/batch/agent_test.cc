#include "batch/agent.h"

#include "fake_worker.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>

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

  // Advances the clock while the leader replies every 50 ms.
  void passWithReplies(Millis Ms) {
    for (Millis I = 0; I < Ms; I += 50) {
      m_worker.pass(50);
      m_worker.reply({});
    }
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
  AgentReply R;
  R.m_acknowledged = {{TaskA, 1, EndKind::Done, "", 1, ""}};
  m_worker.reply(R);
  m_worker.pass(100);
  EXPECT_EQ(m_worker.m_acknowledged, 1);
}

// Guards against runs of a lost worker that are reported as running for ever
// because each failed poll counts as a renewal of the lease.
TEST_F(AgentTest, RunsOfAnUnreachableWorkerEndWithTheLastLease) {
  startA();
  passWithReplies(1000);
  m_worker.m_unreachable = true;
  passWithReplies(7500);
  m_worker.pass(100);
  EXPECT_TRUE(m_worker.reported(EndKind::LeaseExpired));
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
  passWithReplies(1000);
  ASSERT_EQ(m_worker.m_starts, 1);
  m_worker.end(TaskA, 1, EndKind::Done);
  passWithReplies(1000);
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
  passWithReplies(500);
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
  passWithReplies(1500);
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
    R = {};
    R.m_acknowledged = {{TaskA, 1, EndKind::Done, "", 1, ""}};
    m_worker.reply(R);
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
  R.m_acknowledged = {{TaskB, 1, EndKind::Done, "", 2, ""}};
  m_worker.reply(R);
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
    passWithReplies(3000);
    m_worker.pass(20);
    EXPECT_TRUE(m_worker.m_reports.back().m_ends.empty());
    EXPECT_EQ(m_worker.m_reports.back().m_runs.size(), 1u);
  }
  EXPECT_EQ(std::count(m_worker.m_events.begin(), m_worker.m_events.end(),
                       "rowsIgnored"),
            1);
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
  passWithReplies(500);
  ASSERT_FALSE(m_worker.m_reports.empty());
  EXPECT_LT(m_worker.m_reports.back().m_fence, Fence);
  m_worker.m_unreachable = false;
  m_worker.pass(1500);
  ASSERT_FALSE(m_worker.m_reports.empty());
  EXPECT_EQ(m_worker.m_reports.back().m_fence, Fence);
  m_worker.restart();
  m_worker.m_unreachable = true;
  m_worker.heartbeat();
  passWithReplies(500);
  ASSERT_FALSE(m_worker.m_reports.empty());
  EXPECT_EQ(m_worker.m_reports.back().m_fence, 0u);
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
  for (int I = 0; I < 20; ++I) {
    W.pass(50);
    W.reply({});
  }
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
  for (int I = 0; I < 200; ++I) {
    W.pass(50);
    W.reply({});
  }
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

} // namespace
} // namespace pomelokeel::batch::tests
