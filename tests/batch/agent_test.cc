#include "batch/agent.h"

#include "fake_worker.h"

#include <gtest/gtest.h>

namespace pomelokeel::batch::tests {
namespace {

constexpr const char *TaskA = "00000000000000aa.0.0.0";

StartOrder order(int Run) { return {TaskA, Run, "payload", ""}; }

/// An agent that has looked at its worker and runs task A.
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

  // Keeps the leader answering while time passes.
  void passWithLeader(Millis Ms) {
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

TEST_F(AgentTest, ReportsAnEndUntilItIsNoted) {
  startA();
  m_worker.end(TaskA, 1, EndKind::Done);
  m_worker.pass(1100);
  ASSERT_TRUE(m_worker.reported(EndKind::Done));
  EXPECT_EQ(m_worker.m_noted, 0);
  AgentReply R;
  R.m_noted = {{TaskA, 1, EndKind::Done, "", 1, ""}};
  m_worker.reply(R);
  m_worker.pass(100);
  EXPECT_EQ(m_worker.m_noted, 1);
}

// A worker that was lost for good kept its runs "running" for ever: each failed
// look counted as another grant of the lease.
TEST_F(AgentTest, RunsOfAWorkerThatIsGoneLapseWithTheLastLease) {
  startA();
  passWithLeader(1000);
  m_worker.m_gone = true;
  passWithLeader(7500);
  m_worker.pass(100);
  EXPECT_TRUE(m_worker.reported(EndKind::Lapsed));
}

TEST_F(AgentTest, GrantsNoLeaseAfterTheLeaderWasSilentForTheAutonomy) {
  startA();
  m_worker.m_leaderSilent = true;
  m_worker.reply({});
  m_worker.pass(4500);
  const Millis Granted = m_worker.m_deadline;
  m_worker.pass(3000);
  EXPECT_EQ(m_worker.m_deadline, Granted);
}

TEST_F(AgentTest, AStartThatWasNotAnsweredIsVoidOnlyAfterAStopThere) {
  m_worker.m_delaysStarts = true;
  startA();
  AgentReply R;
  R.m_stops = {{TaskA, 1}};
  m_worker.reply(R);
  m_worker.m_delaysStarts = false;
  m_worker.pass(500);
  ASSERT_TRUE(m_worker.reported(EndKind::Void));
  // The order arrives after all: the worker must not take it any more.
  m_worker.applyLate();
  EXPECT_TRUE(m_worker.m_runs.empty());
}

TEST_F(AgentTest, AnUnansweredOrderIsVoidedInTheNextLifeOfTheWorker) {
  m_worker.m_delaysStarts = true;
  startA();
  m_worker.m_delaysStarts = false;
  m_worker.rebear();
  m_worker.heartbeat();
  m_worker.pass(500);
  m_worker.applyLate();
  EXPECT_TRUE(m_worker.m_runs.empty());
}

// A repeated start was answered, and its first copy was carried out in the next
// life of the worker, where another run had the room (soak, seed 6).
TEST_F(AgentTest, ALateCopyOfAnAnsweredStartIsVoidedInTheNextLife) {
  m_worker.m_delaysStarts = true;
  startA();
  m_worker.m_delaysStarts = false;
  passWithLeader(1000);
  ASSERT_EQ(m_worker.m_starts, 1);
  m_worker.end(TaskA, 1, EndKind::Done);
  passWithLeader(1000);
  m_worker.rebear();
  m_worker.heartbeat();
  m_worker.pass(500);
  m_worker.applyLate();
  EXPECT_TRUE(m_worker.m_runs.empty());
}

TEST_F(AgentTest, RefusesWorkForADrainingWorkerAtOnce) {
  m_worker.m_draining = true;
  m_worker.heartbeat();
  startA();
  EXPECT_EQ(m_worker.m_starts, 0);
  EXPECT_TRUE(m_worker.reported(EndKind::Void));
}

TEST_F(AgentTest, ReportsARefusedStartAsVoid) {
  m_worker.m_refusal = "room";
  startA();
  EXPECT_TRUE(m_worker.reported(EndKind::Void));
}

// A cancelled run went on for 12 s: an unhealthy worker had refused the stop,
// which counted as done and was not repeated.
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

// The refusal of a stop says nothing of a start that may still be carried out.
TEST_F(AgentTest, ARefusedStopDoesNotVoidAnUnansweredStart) {
  m_worker.m_delaysStarts = true;
  startA();
  m_worker.m_stopRefusal = "status503";
  AgentReply R;
  R.m_stops = {{TaskA, 1}};
  m_worker.reply(R);
  m_worker.pass(1000);
  EXPECT_FALSE(m_worker.reported(EndKind::Void));
}

TEST_F(AgentTest, IgnoresALeaderThatWasReplaced) {
  m_worker.m_epoch = 5;
  m_worker.reply({});
  m_worker.pass(50);
  m_worker.m_epoch = 4;
  startA();
  EXPECT_EQ(m_worker.m_starts, 0);
}

TEST_F(AgentTest, TakesOverWhatTheWorkerRunsAfterARestart) {
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

// While ends are not noted the worker answers every look at once.
TEST_F(AgentTest, LooksAreSparseWhileEndsWaitToBeNoted) {
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
