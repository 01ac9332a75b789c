#include "batch/agent.h"

#include "fake_worker.h"

#include <gtest/gtest.h>

#include <functional>
#include <string>
#include <vector>

namespace pomelokeel::batch::tests {
namespace {

constexpr const char *Task = "00000000000000aa.0.0.0";

AgentReply startOrder() {
  AgentReply R;
  R.m_starts = {{Task, 1, "payload", ""}};
  return R;
}

void drain(FakeWorker &W) {
  W.m_draining = true;
  W.heartbeat();
}

/// Whether the leader hears that the run has never started.
bool reportsNeverStarted(FakeWorker &W) {
  W.passWithReplies(50);
  W.pass(20);
  return W.reported(EndKind::NeverStarted);
}

void leave(FakeWorker &W) { W.m_agent.onWorkerLeft("w-1", W.m_now); }

void evacuate(FakeWorker &W) {
  AgentReply R;
  R.m_evacuated = true;
  W.reply(R);
}

/// What makes an agent start nothing any more.
struct Reason {
  const char *m_name;
  std::function<void(FakeWorker &)> m_begin;
};

const std::vector<Reason> Shutdowns = {{"draining", drain}, {"left", leave}};
const std::vector<Reason> Reasons = {
    {"draining", drain}, {"left", leave}, {"evacuated", evacuate}};

// Guards against starts on a worker that is shutting down: an order that the
// worker had not answered was repeated after the agent had acknowledged that
// the worker drains, or had received the notice of its end (review case 8).
TEST(WithdrawnStartTest, AnUnansweredStartIsNotRepeated) {
  for (const Reason &Why : Reasons) {
    for (const bool Late : {false, true}) {
      SCOPED_TRACE(std::string(Why.m_name) + (Late ? ", late copies" : ""));
      FakeWorker W;
      W.heartbeat();
      W.passWithReplies(100);
      W.m_dropsStarts = !Late;
      W.m_delaysStarts = Late;
      W.reply(startOrder());
      W.pass(300);
      Why.m_begin(W);
      W.pass(1000);
      W.m_dropsStarts = W.m_delaysStarts = false;
      W.pass(1000);
      W.applyDelayedStarts();
      W.pass(1000);
      EXPECT_EQ(W.m_starts, 0);
      EXPECT_TRUE(reportsNeverStarted(W));
    }
  }
}

// The same if the order is under way when the worker begins to shut down.
TEST(WithdrawnStartTest, AStartUnderWayThatStaysUnansweredIsNotRepeated) {
  for (const Reason &Why : Shutdowns) {
    SCOPED_TRACE(Why.m_name);
    FakeWorker W;
    W.heartbeat();
    W.passWithReplies(100);
    W.m_delaysStarts = true;
    W.reply(startOrder());
    Why.m_begin(W);
    W.pass(300);
    W.m_delaysStarts = false;
    W.pass(1000);
    W.applyDelayedStarts();
    EXPECT_EQ(W.m_starts, 0);
    EXPECT_TRUE(reportsNeverStarted(W));
  }
}

// A run that has begun is not stopped for that: the leader knows whether it can
// end in time.
TEST(WithdrawnStartTest, AStartUnderWayThatIsAnsweredGoesOn) {
  for (const Reason &Why : Shutdowns) {
    SCOPED_TRACE(Why.m_name);
    FakeWorker W;
    W.heartbeat();
    W.passWithReplies(100);
    W.reply(startOrder());
    Why.m_begin(W);
    W.pass(700);
    EXPECT_EQ(W.m_runs.size(), 1U);
  }
}

// Guards against tasks that wait for the leader's timeout although their order
// was never sent.
TEST(WithdrawnStartTest, AnOrderThatWasNotSentEndsAtOnce) {
  for (const Reason &Why : Reasons) {
    SCOPED_TRACE(Why.m_name);
    FakeWorker W;
    W.heartbeat();
    W.passWithReplies(LateOrderMs + 1000);
    W.m_dropsPolls = true;
    W.passWithReplies(1500);
    W.reply(startOrder());
    W.pass(50);
    Why.m_begin(W);
    W.pass(20);
    EXPECT_TRUE(reportsNeverStarted(W));
    W.m_dropsPolls = false;
    W.pass(1000);
    EXPECT_EQ(W.m_starts, 0);
  }
}

// Guards against a task that runs twice: the order of an earlier process of the
// agent was under way when the next one refused it as never started.
TEST(WithdrawnStartTest, ARefusedOrderOfAnEarlierProcessIsStopped) {
  for (const Reason &Why : Reasons) {
    SCOPED_TRACE(Why.m_name);
    FakeWorker W;
    W.heartbeat();
    W.passWithReplies(100);
    W.delayStart({startOrder().m_starts.front(), W.clock() + 6000, 0, "w-1"});
    Why.m_begin(W);
    AgentReply Order = startOrder();
    Order.m_evacuated = Why.m_name == std::string("evacuated");
    W.reply(Order);
    W.pass(100);
    EXPECT_TRUE(reportsNeverStarted(W));
    W.applyDelayedStarts();
    EXPECT_EQ(W.m_starts, 0);
  }
}

// Guards against starts of a job that is cancelled: the leader was gone before
// it could send the stop, and its agent repeated the unanswered order for four
// seconds after their last contact. A cancelled job starts nothing after 3 s.
TEST(WithdrawnStartTest, AnOrderIsNotRepeatedForLongWithoutTheLeader) {
  constexpr Millis CancelMs = 3000;
  FakeWorker W;
  W.heartbeat();
  W.passWithReplies(100);
  W.m_dropsStarts = true;
  W.reply(startOrder());
  W.m_leaderSilent = true;
  W.pass(CancelMs);
  W.m_dropsStarts = false;
  W.pass(3000);
  EXPECT_EQ(W.m_starts, 0);
  // The next leader has not withdrawn the run.
  W.m_leaderSilent = false;
  W.passWithReplies(1000);
  EXPECT_EQ(W.m_starts, 1);
}

} // namespace
} // namespace pomelokeel::batch::tests
