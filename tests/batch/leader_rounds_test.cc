#include "leader_fixture.h"

#include <algorithm>
#include <string>

// The leader collects changes between two rounds of decisions.

namespace pomelokeel::batch::tests {
namespace {

class LeaderRoundsTest : public LeaderTest {
protected:
  void SetUp() override {
    m_timing.m_roundPauseMs = 10;
    m_timing.m_passPauseMs = 25;
    makeLeader();
  }

  /// Runs the rounds that the leader has requested within \p Ms.
  void runRounds(Millis Ms) {
    const Millis End = m_now + Ms;
    while (!m_wakeUps.empty() && m_wakeUps.back() <= End) {
      m_now = std::max(m_now, m_wakeUps.back());
      m_wakeUps.clear();
      m_leader->runRound(m_now);
      answerAppends();
    }
    m_now = End;
  }

  std::int64_t counter(const char *Name) { return m_counters.get(Name); }
};

TEST_F(LeaderRoundsTest, AnIdleLeaderDecidesAtOnce) {
  addAgent("w");
  m_now += 100;
  EXPECT_TRUE(submit("a", jobOf({step(1, 1)}))->has_value());
}

TEST_F(LeaderRoundsTest, ChangesWithinThePauseAreDecidedInTheNextRound) {
  addAgent("w");
  m_now += 100;
  submit("a", jobOf({step(1, 1)}));
  const auto Second = submit("b", jobOf({step(1, 1)}));
  EXPECT_FALSE(Second->has_value());
  runRounds(10);
  EXPECT_TRUE(Second->has_value());
  runRounds(20);
  report("w");
  runRounds(20);
  EXPECT_EQ(m_starts["a.0.0.0"] + m_starts["b.0.0.0"], 2);
}

// A request for an earlier time replaces that for a later one.
TEST_F(LeaderRoundsTest, AnAnswerDoesNotWaitForTheNextSchedulingPass) {
  addAgent("w");
  m_now += 100;
  submit("a", jobOf({step(1, 1)}));
  runRounds(11);
  const auto Next = submit("b", jobOf({step(1, 1)}));
  runRounds(10);
  EXPECT_TRUE(Next->has_value());
}

// Pattern: hundreds of agents report the ends of short tasks while more tasks
// wait than the fleet holds. Each report caused a round and a scheduling pass,
// so that the leader of 292 agents had no time left for anything else. Their
// number must not grow with the rate of reports.
TEST_F(LeaderRoundsTest, ReportsOfAFullFleetShareRoundsAndSchedulingPasses) {
  constexpr int Agents = 120;
  constexpr Millis DurationMs = 2000;
  for (int I = 0; I < Agents; ++I)
    addAgent("w" + std::to_string(I));
  for (int I = 0; I < 40; ++I)
    submit("job" + std::to_string(I), jobOf({step(100, 1)}), 2);
  runRounds(100);
  const std::int64_t Rounds = counter("leader_rounds");
  const std::int64_t Passes = counter("scheduling_passes");
  int Ended = 0;
  for (const Millis End = m_now + DurationMs; m_now < End; runRounds(1)) {
    m_leader->confirm(m_now);
    const std::string &Agent =
        m_alive[static_cast<std::size_t>(m_now) % m_alive.size()];
    if (!m_agents[Agent].m_runs.empty()) {
      end(Agent, m_agents[Agent].m_runs.begin()->first, EndKind::Done);
      ++Ended;
    }
    report(Agent);
  }
  EXPECT_GT(Ended, DurationMs / 2);
  EXPECT_LE(counter("leader_rounds") - Rounds,
            DurationMs / m_timing.m_roundPauseMs + 1);
  EXPECT_LE(counter("scheduling_passes") - Passes,
            DurationMs / m_timing.m_passPauseMs + 1);
}

} // namespace
} // namespace pomelokeel::batch::tests
