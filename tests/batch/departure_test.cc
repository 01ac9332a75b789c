#include "leader_fixture.h"

namespace pomelokeel::batch::tests {
namespace {

/// Agents that stop beside workers that are gone or go on.
class DepartureTest : public LeaderTest {
protected:
  static constexpr Millis LeaseLeftMs = 2000;

  /// Sends the last report of an agent process.
  void stopAgent(const std::string &Name) {
    m_agents[Name].m_leasesEndInMs = LeaseLeftMs;
    report(Name);
    std::erase(m_alive, Name);
  }
};

// Guards against accepted work that nobody runs: the leader waited for the
// longest time that any agent may go on alone, although the agent had said that
// it would not.
TEST_F(DepartureTest, RunsOfAStoppedAgentAreLostWithItsLeases) {
  startTaskOn("v", 300);
  addAgent("w");
  stopAgent("v");
  pass(LeaseLeftMs);
  EXPECT_EQ(m_starts["a.0.0.0"], 1);
  pass(1000);
  EXPECT_EQ(m_starts["a.0.0.0"], 2);
  EXPECT_TRUE(m_agents["w"].m_runs.contains("a.0.0.0"));
}

// Guards against a task that runs twice: the next agent process renews the
// leases of its worker.
TEST_F(DepartureTest, RunsOfARestartedAgentGoOn) {
  startTaskOn("v", 300);
  addAgent("w");
  stopAgent("v");
  pass(LeaseLeftMs / 2);
  FakeAgent &Next = m_agents["v"];
  ++Next.m_incarnation;
  Next.m_leasesEndInMs.reset();
  m_alive.push_back("v");
  pass(LeaseLeftMs * 5);
  EXPECT_EQ(m_starts["a.0.0.0"], 1);
}

TEST_F(DepartureTest, AnAgentThatStopsGetsNoWork) {
  addAgent("v");
  stopAgent("v");
  submit("a", jobOf({step(1, 1)}));
  pass(300);
  EXPECT_EQ(m_starts["a.0.0.0"], 0);
}

// A gang waited for the member of a worker that was gone, and was not started
// again.
TEST_F(DepartureTest, AGangStartsAgainOnceAMemberIsLost) {
  startGang(300);
  addAgent("x");
  stopAgent("w");
  end("v", "a.0.0.0", EndKind::Broken);
  end("v", "a.0.0.1", EndKind::Broken);
  pass(LeaseLeftMs + 1000);
  EXPECT_EQ(m_starts["a.0.0.0"], 2);
  EXPECT_EQ(m_starts["a.0.0.1"], 2);
}

} // namespace
} // namespace pomelokeel::batch::tests
