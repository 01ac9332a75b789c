#include "fake_worker.h"
#include "leader_fixture.h"

#include <algorithm>
#include <string>

namespace pomelokeel::batch::tests {
namespace {

/// Agents in the data centres "a" (agent "v") and "b" (agent "w").
class EvacuationTest : public LeaderTest {
protected:
  void addAgentIn(const std::string &DataCentre, const std::string &Name) {
    m_agents[Name].m_dataCentre = DataCentre;
    addAgent(Name);
  }
};

TEST_F(EvacuationTest, NothingStartsInADataCentreThatIsEvacuated) {
  addAgentIn("a", "v");
  m_leader->setEvacuated({"a"});
  submit("j", jobOf({step(1, 1)}));
  pass(1000);
  EXPECT_EQ(m_starts["j.0.0.0"], 0);
  EXPECT_TRUE(m_agents["v"].m_evacuated);
  addAgentIn("b", "w");
  pass(300);
  EXPECT_TRUE(m_agents["w"].m_runs.contains("j.0.0.0"));
  EXPECT_FALSE(m_agents["w"].m_evacuated);
}

TEST_F(EvacuationTest, RunsGoOnAndTheDataCentreIsUsedAgainAfterwards) {
  addAgentIn("a", "v");
  submit("j", jobOf({step(1, 1)}));
  pass(300);
  m_leader->setEvacuated({"a"});
  pass(300);
  EXPECT_TRUE(m_agents["v"].m_runs.contains("j.0.0.0"));
  EXPECT_TRUE(m_agents["v"].m_stops.empty());
  m_leader->setEvacuated({});
  submit("k", jobOf({step(1, 1)}));
  pass(300);
  EXPECT_TRUE(m_agents["v"].m_runs.contains("k.0.0.0"));
}

// Guards against a start order that waits for its placement to be stored and is
// sent after the data centre was to be evacuated.
TEST_F(EvacuationTest, PlacementsWhoseOrderWasNotSentAreTakenBack) {
  addAgentIn("a", "v");
  m_outcome.reset();
  submit("j", jobOf({step(1, 1)}));
  pass(100);
  m_leader->setEvacuated({"a"});
  m_outcome = AppendOutcome::Done;
  answerAppends();
  pass(1000);
  EXPECT_EQ(m_starts["j.0.0.0"], 0);
  addAgentIn("b", "w");
  pass(300);
  EXPECT_TRUE(m_agents["w"].m_runs.contains("j.0.0.0"));
}

// Guards against gangs of which only the members outside of the data centre
// start and wait for the others.
TEST_F(EvacuationTest, AGangIsPlacedAgainAsAWhole) {
  addAgentIn("a", "v");
  addAgentIn("b", "w");
  Step Gang = step(2, 8);
  Gang.m_gang = true;
  m_outcome.reset();
  submit("j", jobOf({Gang}));
  pass(100);
  m_leader->setEvacuated({"a"});
  m_outcome = AppendOutcome::Done;
  answerAppends();
  addAgentIn("b", "x");
  pass(2000);
  EXPECT_EQ(m_agents["w"].m_runs.size() + m_agents["x"].m_runs.size(), 2U);
  EXPECT_TRUE(m_agents["v"].m_runs.empty());
}

// Guards against a new leader that repeats the orders of the one before, which
// had not heard of the evacuation.
TEST_F(EvacuationTest, ANewLeaderStartsNothingBeforeItKnowsOfEvacuations) {
  addAgentIn("a", "v");
  submit("j", jobOf({step(1, 1)}));
  pass(300);
  end("v", "j.0.0.0", EndKind::Stopped);
  std::erase(m_alive, "v");
  restartLeader();
  m_leader->awaitEvacuations();
  m_alive.push_back("v");
  pass(2000);
  EXPECT_EQ(m_starts["j.0.0.0"], 1);
  m_leader->setEvacuated({"a"});
  pass(2000);
  EXPECT_EQ(m_starts["j.0.0.0"], 1);
  m_leader->setEvacuated({});
  pass(300);
  EXPECT_EQ(m_starts["j.0.0.0"], 2);
}

// Guards against a new leader that counts what another entry has read as
// current: the operator's last record may be newer.
TEST_F(EvacuationTest, NewsOfAnotherEntryDoesNotEndTheWaitOfANewLeader) {
  addAgentIn("a", "v");
  m_leader->awaitEvacuations();
  submit("j", jobOf({step(1, 1)}));
  m_leader->setEvacuated({"b"}, false);
  pass(1000);
  EXPECT_EQ(m_starts["j.0.0.0"], 0);
  m_leader->setEvacuated({"a", "b"});
  pass(1000);
  EXPECT_EQ(m_starts["j.0.0.0"], 0);
}

// Guards against agents of an earlier version, and such that have not received
// the reply: they repeat an order that the worker has not answered.
TEST_F(EvacuationTest, RunsThatHaveNotStartedAreStoppedAtTheirAgents) {
  m_startsAreUnanswered = true;
  addAgentIn("a", "v");
  submit("j", jobOf({step(1, 1)}));
  pass(300);
  ASSERT_EQ(m_starts["j.0.0.0"], 1);
  m_leader->setEvacuated({"a"});
  pass(300);
  EXPECT_EQ(m_agents["v"].m_stops.size(), 1U);
  addAgentIn("b", "w");
  pass(300);
  EXPECT_TRUE(m_agents["w"].m_runs.contains("j.0.0.0"));
}

AgentReply startOf(const std::string &Task) {
  AgentReply R;
  R.m_starts = {{Task, 1, "payload", ""}};
  return R;
}

// Guards against starts by an agent whose worker carries out unanswered orders
// late: the order was repeated after the evacuation had begun.
TEST(EvacuationAgentTest, AnUnansweredStartIsStoppedAndNotRepeated) {
  FakeWorker W;
  W.heartbeat();
  W.passWithReplies(100);
  W.m_delaysStarts = true;
  W.reply(startOf("j.0.0.0"));
  W.pass(100);
  AgentReply Evacuated;
  Evacuated.m_evacuated = true;
  W.reply(Evacuated);
  W.m_delaysStarts = false;
  W.pass(700);
  W.applyDelayedStarts();
  W.pass(700);
  EXPECT_EQ(W.m_starts, 0);
  EXPECT_TRUE(W.m_runs.empty());
}

TEST(EvacuationAgentTest, OrdersAreRefusedUntilTheEvacuationEnds) {
  FakeWorker W;
  W.heartbeat();
  W.passWithReplies(100);
  AgentReply Refused = startOf("j.0.0.0");
  Refused.m_evacuated = true;
  W.reply(Refused);
  W.pass(300);
  EXPECT_EQ(W.m_starts, 0);
  EXPECT_TRUE(W.reported(EndKind::NeverStarted));
  W.reply(startOf("k.0.0.0"));
  W.pass(300);
  EXPECT_EQ(W.m_starts, 1);
}

// Guards against agents that take the silence of a new leader, which has not
// read the operator's stream yet, for the end of an evacuation.
TEST(EvacuationAgentTest, ALeaderThatDoesNotKnowYetEndsNoEvacuation) {
  FakeWorker W;
  W.heartbeat();
  W.passWithReplies(100);
  AgentReply Evacuated;
  Evacuated.m_evacuated = true;
  W.reply(Evacuated);
  ++W.m_epoch;
  W.passWithReplies(300);
  EXPECT_EQ(std::count(W.m_events.begin(), W.m_events.end(), "evacuation"), 1);
}

// Guards against the same silence at the leader.
TEST_F(EvacuationTest, ANewLeaderTellsAgentsNothingBeforeItKnows) {
  addAgentIn("a", "v");
  m_leader->setEvacuated({"a"});
  pass(1500);
  ASSERT_TRUE(m_agents["v"].m_evacuated);
  restartLeader();
  m_leader->awaitEvacuations();
  pass(3000);
  EXPECT_TRUE(m_agents["v"].m_evacuated);
  m_leader->setEvacuated({});
  pass(3000);
  EXPECT_FALSE(m_agents["v"].m_evacuated);
}

TEST(EvacuationAgentTest, RunsGoOn) {
  FakeWorker W;
  W.heartbeat();
  W.passWithReplies(100);
  W.reply(startOf("j.0.0.0"));
  W.passWithReplies(100);
  AgentReply Evacuated;
  Evacuated.m_evacuated = true;
  W.reply(Evacuated);
  W.pass(300);
  EXPECT_EQ(W.m_runs.size(), 1U);
}

} // namespace
} // namespace pomelokeel::batch::tests
