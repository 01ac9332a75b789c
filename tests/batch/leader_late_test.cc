#include "leader_fixture.h"

#include <algorithm>

// A leader that is short of processor time.

namespace pomelokeel::batch::tests {
namespace {

class LateLeaderTest : public LeaderTest {
protected:
  /// The leader's loop runs once every \p StepMs for \p Ms and reads no report.
  void beLate(Millis Ms, Millis StepMs) {
    const Millis End = m_now + Ms;
    while (m_now < End) {
      m_now += StepMs;
      m_leader->confirm(m_now);
      m_leader->advance(m_now, wallNow());
      answerAppends();
    }
  }

  bool logged(const std::string &Event) const {
    return std::find(m_events.begin(), m_events.end(), Event) != m_events.end();
  }
};

// Guards against runs that are started twice because the leader is late: it
// read no report of an agent for the length of a lease, though the agent sent
// them, and counted its runs as lost.
TEST_F(LateLeaderTest, ARunIsNotLostWhileReportsWaitForTheLeader) {
  startTaskOn("w", 500);
  ASSERT_EQ(m_starts["a.0.0.0"], 1);
  addAgent("v");
  end("w", "a.0.0.0", EndKind::Done);
  beLate(14000, 700);
  EXPECT_FALSE(logged("runLost"));
  pass(500);
  EXPECT_EQ(m_starts["a.0.0.0"], 1);
  EXPECT_EQ(phaseOf("a"), JobPhase::Done);
}

// A pause of the whole process counts as one late step.
TEST_F(LateLeaderTest, ARunIsNotLostAfterAPauseOfTheLeader) {
  startTaskOn("w", 500);
  beLate(15000, 15000);
  EXPECT_FALSE(logged("runLost"));
  EXPECT_TRUE(logged("leaderLate"));
}

TEST_F(LateLeaderTest, ASilentAgentIsLostAlthoughTheLeaderIsLateAtTimes) {
  startTaskOn("w", 500);
  m_alive.clear();
  beLate(5000, 5000);
  addAgent("v");
  m_alive = {"v"};
  pass(12000);
  EXPECT_TRUE(logged("runLost"));
  EXPECT_EQ(m_starts["a.0.0.0"], 2);
}

// Guards against a leader that resigns as isolated because it was too late to
// read the reports that had arrived.
TEST_F(LateLeaderTest, AgentsAreInContactWhileTheirReportsWait) {
  addAgent("v");
  addAgent("w");
  beLate(4000, 4000);
  EXPECT_EQ(m_leader->agentsInContact(),
            std::pair(std::size_t(2), std::size_t(2)));
  m_alive.clear();
  pass(3000);
  EXPECT_EQ(m_leader->agentsInContact(),
            std::pair(std::size_t(0), std::size_t(2)));
}

// Guards against work that is done twice: a run that counted as lost had ended
// as done, its agent reported that before the task had started again, and the
// task ran once more.
TEST_F(LateLeaderTest, TheResultOfALostRunCountsUnlessTheTaskHasStartedAgain) {
  startTaskOn("w", 500);
  end("w", "a.0.0.0", EndKind::Done);
  m_alive.clear();
  pass(13000);
  ASSERT_TRUE(logged("runLost"));
  m_alive = {"w"};
  pass(500);
  EXPECT_EQ(m_starts["a.0.0.0"], 1);
  EXPECT_EQ(phaseOf("a"), JobPhase::Done);
  EXPECT_EQ(m_agents["w"].m_acknowledged.size(), 1u);
}

TEST_F(LateLeaderTest, TheResultOfALostGangCountsUnlessTheGangHasStartedAgain) {
  startGang(500);
  end("v", "a.0.0.0", EndKind::Done);
  m_alive.clear();
  pass(13000);
  ASSERT_TRUE(logged("runLost"));
  m_alive = {"v"};
  pass(500);
  EXPECT_EQ(phaseOf("a"), JobPhase::Done);
}

TEST_F(LateLeaderTest, TheResultOfALostRunIsIgnoredOnceTheTaskHasStartedAgain) {
  startTaskOn("w", 500);
  end("w", "a.0.0.0", EndKind::Done);
  addAgent("v");
  m_alive = {"v"};
  pass(13000);
  ASSERT_EQ(m_starts["a.0.0.0"], 2);
  m_alive = {"v", "w"};
  pass(500);
  EXPECT_EQ(phaseOf("a"), JobPhase::Running);
}

// Guards against work that is done again after its end was acknowledged: an
// earlier run ended as done while a later one was placed, and the later one was
// lost (restart simulation with pauses, seed 1272).
TEST_F(LateLeaderTest, AnEarlierResultIsUsedOnceTheLaterRunIsLost) {
  startTaskOn("w", 500);
  addAgent("v");
  m_alive = {"v"};
  end("w", "a.0.0.0", EndKind::Done);
  pass(13000);
  ASSERT_EQ(m_starts["a.0.0.0"], 2);
  m_alive = {"w"};
  pass(500);
  EXPECT_TRUE(m_agents["w"].m_acknowledged.empty());
  EXPECT_EQ(phaseOf("a"), JobPhase::Running);
  pass(13000);
  EXPECT_EQ(m_starts["a.0.0.0"], 2);
  EXPECT_EQ(phaseOf("a"), JobPhase::Done);
  EXPECT_EQ(m_agents["w"].m_acknowledged.size(), 1u);
}

TEST_F(LateLeaderTest,
       AnEarlierResultThatArrivesAfterTheLaterRunWasLostCounts) {
  startTaskOn("w", 500);
  addAgent("v");
  m_alive = {"v"};
  end("w", "a.0.0.0", EndKind::Done);
  pass(13000);
  ASSERT_EQ(m_starts["a.0.0.0"], 2);
  m_alive.clear();
  pass(13000);
  m_alive = {"w"};
  pass(500);
  EXPECT_EQ(m_starts["a.0.0.0"], 2);
  EXPECT_EQ(phaseOf("a"), JobPhase::Done);
}

TEST_F(LateLeaderTest, AnEarlierResultIsAcknowledgedOnceTheLaterRunIsDone) {
  startTaskOn("w", 500);
  addAgent("v");
  m_alive = {"v"};
  end("w", "a.0.0.0", EndKind::Done);
  pass(13000);
  ASSERT_EQ(m_starts["a.0.0.0"], 2);
  m_alive = {"v", "w"};
  pass(500);
  EXPECT_TRUE(m_agents["w"].m_acknowledged.empty());
  end("v", "a.0.0.0", EndKind::Done);
  pass(500);
  EXPECT_EQ(phaseOf("a"), JobPhase::Done);
  EXPECT_EQ(m_agents["w"].m_acknowledged.size(), 1u);
}

// An earlier result is known, so the failure of the later run fails no job.
TEST_F(LateLeaderTest, AJobWithAnEarlierResultDoesNotFail) {
  CallerRequest R = request(CallerRequestKind::Submit, "a");
  R.m_queue.m_attempts = 1;
  R.m_spec = jobOf({step(1, 1)});
  addAgent("w");
  ask(R);
  pass(500);
  addAgent("v");
  m_alive = {"v"};
  end("w", "a.0.0.0", EndKind::Done);
  pass(13000);
  ASSERT_EQ(m_starts["a.0.0.0"], 2);
  m_alive = {"v", "w"};
  pass(500);
  end("v", "a.0.0.0", EndKind::Failed);
  pass(500);
  EXPECT_EQ(phaseOf("a"), JobPhase::Done);
}

TEST_F(LateLeaderTest, AnEarlierResultOfACancelledJobIsAcknowledged) {
  startTaskOn("w", 500);
  addAgent("v");
  m_alive = {"v"};
  end("w", "a.0.0.0", EndKind::Done);
  pass(13000);
  m_alive = {"v", "w"};
  pass(500);
  ask(request(CallerRequestKind::Cancel, "a"));
  pass(1000);
  EXPECT_EQ(phaseOf("a"), JobPhase::Cancelled);
  EXPECT_FALSE(m_agents["w"].m_acknowledged.empty());
}

} // namespace
} // namespace pomelokeel::batch::tests
