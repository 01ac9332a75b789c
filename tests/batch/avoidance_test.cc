#include "leader_fixture.h"

#include <algorithm>
#include <string>
#include <vector>

namespace pomelokeel::batch::tests {
namespace {

/// Longest time that a job may have nothing at work on a fleet with room.
constexpr Millis StandstillMs = 3000;
/// Longest time that a task waits for other workers while more of its job is at
/// work, or its fleet is busy.
constexpr Millis LongestWaitMs = 10500;

/// Six workers with 8 accelerators each; "b0" to "b2" have the label "b".
class AvoidanceTest : public LeaderTest {
protected:
  void SetUp() override {
    LeaderTest::SetUp();
    m_progress = [this](const std::string &, const std::string &Task) {
      if (Task.starts_with("lasts"))
        return 100;
      const bool Held = Task.starts_with("held");
      const Millis RunMs = Task.starts_with("minutes") ? 300000
                           : Held                      ? m_heldMs
                                                       : 20000;
      return static_cast<int>((m_now - (Held ? m_heldSince : 0)) * 100 / RunMs %
                              100);
    };
    addLabelled("b", 3);
    addLabelled("a", 3);
  }

  void addLabelled(const std::string &Label, int Count) {
    for (int I = 0; I < Count; ++I) {
      const std::string Name = Label + std::to_string(I);
      m_agents[Name].m_labels = {Label};
      addAgent(Name);
    }
  }

  static Step labelled(std::int64_t Count, std::int64_t Accelerators) {
    Step S = step(Count, Accelerators);
    S.m_label = "b";
    return S;
  }

  /// Holds two of the three workers with the label.
  void hold(const std::string &Id, Step S) {
    submitFor(Id, std::move(S), 2);
    pass(500);
    ASSERT_EQ(running(Id), 2u);
  }

  void holdForGood() {
    Step S = labelled(2, 8);
    S.m_longRunning = true;
    hold("lasts", S);
  }

  void submitFor(const std::string &Id, Step S, int Attempts) {
    CallerRequest R = request(CallerRequestKind::Submit, Id);
    R.m_queue.m_priority = 1;
    R.m_queue.m_attempts = Attempts;
    R.m_spec = jobOf({std::move(S)});
    ask(R);
  }

  std::string agentOf(const std::string &Task) const {
    for (const auto &[Name, A] : m_agents) {
      if (A.m_runs.contains(Task))
        return Name;
    }
    return "";
  }

  std::size_t running(const std::string &Id) const {
    std::size_t Out = 0;
    for (const auto &[Name, A] : m_agents)
      Out += static_cast<std::size_t>(
          std::count_if(A.m_runs.begin(), A.m_runs.end(), [&](const auto &R) {
            return R.first.starts_with(Id + ".");
          }));
    return Out;
  }

  void fail(const std::string &Task) {
    const std::string Agent = agentOf(Task);
    ASSERT_NE(Agent, "");
    end(Agent, Task, EndKind::Failed);
    report(Agent);
  }

  /// Runs a gang on the worker that is left, until a member fails.
  void failGang(bool RackLocal) {
    holdForGood();
    Step Gang = labelled(2, 4);
    Gang.m_gang = true;
    Gang.m_rackLocal = RackLocal;
    submitFor("gang", Gang, 3);
    pass(1000);
    fail("gang.0.0.1");
    pass(100);
    ASSERT_EQ(running("gang"), 0u);
  }

  /// Time until the task runs again, or \p MaxMs.
  Millis waitFor(const std::string &Task, Millis MaxMs) {
    const Millis Since = m_now;
    while (agentOf(Task).empty() && m_now - Since < MaxMs)
      pass(50);
    return m_now - Since;
  }

  static constexpr Millis MaxMs = 60000;
  Millis m_heldMs = 1; ///< Run time of the tasks whose names begin with "held".
  Millis m_heldSince = 0;
};

// Review case 13: a task that failed once avoided the only idle worker with its
// label for as long as tasks that last held the others.
TEST_F(AvoidanceTest, ATaskThatFailedReturnsToTheOnlyWorkerWithRoom) {
  holdForGood();
  submitFor("job", labelled(1, 1), 3);
  pass(1000);
  fail("job.0.0.0");
  EXPECT_LT(waitFor("job.0.0.0", MaxMs), StandstillMs);
}

// The same if it has one attempt left, whenever it fails.
TEST_F(AvoidanceTest, ATaskReturnsForItsLastAttempt) {
  holdForGood();
  submitFor("job", labelled(1, 1), 4);
  for (const Millis RunMs : {100, 1700, 20000}) {
    pass(RunMs);
    fail("job.0.0.0");
    EXPECT_LT(waitFor("job.0.0.0", MaxMs), StandstillMs) << RunMs;
  }
}

// Tasks of minutes hold the others; their declared time is far too short.
TEST_F(AvoidanceTest, ATaskDoesNotWaitForTasksOfMinutes) {
  hold("minutes", labelled(2, 8));
  submitFor("job", labelled(1, 1), 2);
  pass(9000);
  fail("job.0.0.0");
  EXPECT_LT(waitFor("job.0.0.0", MaxMs), StandstillMs);
}

TEST_F(AvoidanceTest, AGangReturnsToTheOnlyWorkerWithRoom) {
  failGang(false);
  EXPECT_LT(waitFor("gang.0.0.1", MaxMs), StandstillMs);
}

TEST_F(AvoidanceTest, ARackLocalGangReturnsToTheOnlyWorkerWithRoom) {
  failGang(true);
  EXPECT_LT(waitFor("gang.0.0.1", MaxMs), StandstillMs);
}

TEST_F(AvoidanceTest, ATaskWithSavedProgressReturnsToTheOnlyWorkerWithRoom) {
  holdForGood();
  Step S = labelled(1, 1);
  S.m_checkpoints = true;
  submitFor("job", S, 3);
  pass(1000);
  const std::string Agent = agentOf("job.0.0.0");
  m_agents[Agent].m_runs.at("job.0.0.0").m_checkpoint = "saved";
  pass(100);
  fail("job.0.0.0");
  EXPECT_LT(waitFor("job.0.0.0", MaxMs), StandstillMs);
  EXPECT_EQ(agentOf("job.0.0.0"), Agent);
}

// A task that is stopped as stalled avoids its worker too.
TEST_F(AvoidanceTest, AStalledTaskReturnsToTheOnlyWorkerWithRoom) {
  holdForGood();
  submitFor("job", labelled(1, 1), 3);
  pass(1000);
  m_frozenTasks = "job";
  while (!agentOf("job.0.0.0").empty())
    pass(50);
  m_frozenTasks = "";
  EXPECT_LT(waitFor("job.0.0.0", MaxMs), StandstillMs);
}

// All waiting tasks of a step avoid a worker on which two of them failed.
TEST_F(AvoidanceTest, AStepThatAvoidsAWorkerReturnsToIt) {
  holdForGood();
  submitFor("step", labelled(10, 1), 3);
  pass(1000);
  ASSERT_EQ(running("step"), 8u);
  const std::string Agent = agentOf("step.0.0.0");
  end(Agent, "step.0.0.0", EndKind::Failed);
  end(Agent, "step.0.0.1", EndKind::Failed);
  pass(300);
  EXPECT_EQ(running("step"), 6u);
  pass(LongestWaitMs);
  EXPECT_EQ(running("step"), 8u);
}

// The other tasks of its step hold the workers.
TEST_F(AvoidanceTest, ATaskDoesNotWaitForLongForItsOwnStep) {
  submitFor("minutes", labelled(3, 8), 3);
  pass(1000);
  fail("minutes.0.0.1");
  EXPECT_LT(waitFor("minutes.0.0.1", MaxMs), LongestWaitMs);
}

// The service has no worker to spare.
TEST_F(AvoidanceTest, ATaskDoesNotWaitForLongOnABusyFleet) {
  holdForGood();
  Step Cores = step(3, 8);
  Cores.m_each.m_milliCores = 16000;
  Cores.m_label = "a";
  Cores.m_longRunning = true;
  submitFor("lasts-a", Cores, 2);
  submitFor("job", labelled(1, 1), 3);
  pass(1000);
  ASSERT_EQ(running("lasts-a"), 3u);
  fail("job.0.0.0");
  EXPECT_LT(waitFor("job.0.0.0", MaxMs), LongestWaitMs);
}

// Two of the three workers cannot be used at all.
TEST_F(AvoidanceTest, ATaskReturnsIfTheOtherWorkersAreAway) {
  submitFor("job", labelled(1, 1), 3);
  pass(1000);
  const std::string Agent = agentOf("job.0.0.0");
  std::vector<std::string> Others = {"b0", "b1", "b2"};
  std::erase(Others, Agent);
  m_agents[Others[0]].m_draining = true;
  std::erase(m_alive, Others[1]);
  pass(5000);
  fail("job.0.0.0");
  EXPECT_LT(waitFor("job.0.0.0", MaxMs), StandstillMs);
  EXPECT_EQ(agentOf("job.0.0.0"), Agent);
}

// The next incarnation of a worker is another machine or has been repaired.
TEST_F(AvoidanceTest, ATaskDoesNotAvoidTheNextIncarnation) {
  holdForGood();
  submitFor("job", labelled(1, 1), 3);
  pass(1000);
  const std::string Agent = agentOf("job.0.0.0");
  fail("job.0.0.0");
  m_agents[Agent].m_workerIncarnation = Agent + "@2";
  m_agents[Agent].m_startTime = 2;
  EXPECT_LT(waitFor("job.0.0.0", MaxMs), 1000);
}

// A worker that has done other work since is not the likely cause.
TEST_F(AvoidanceTest, ATaskDoesNotAvoidAWorkerThatIsSound) {
  holdForGood();
  submitFor("minutes", labelled(2, 1), 3);
  pass(1000);
  const std::string Agent = agentOf("minutes.0.0.0");
  fail("minutes.0.0.0");
  submitFor("other", labelled(1, 1), 3);
  pass(1000);
  ASSERT_EQ(agentOf("other.0.0.0"), Agent);
  EXPECT_EQ(agentOf("minutes.0.0.0"), "");
  end(Agent, "other.0.0.0", EndKind::Done);
  EXPECT_LT(waitFor("minutes.0.0.0", MaxMs), 1000);
}

// Lasting tasks hold a worker of each rack, and there is room for the gang
// once.
TEST_F(AvoidanceTest, ARackLocalGangLeavesRacksThatLastingTasksHold) {
  for (auto &[Name, A] : m_agents)
    A.m_rack = "r" + Name.substr(1);
  pass(100);
  Step Lasting = labelled(3, 8);
  Lasting.m_longRunning = true;
  submitFor("lasts", Lasting, 2);
  pass(500);
  ASSERT_EQ(running("lasts"), 3u);
  Step Gang = step(2, 8);
  Gang.m_gang = Gang.m_rackLocal = true;
  submitFor("gang", Gang, 3);
  EXPECT_LT(waitFor("gang.0.0.0", MaxMs), StandstillMs);
}

// A worker that fails what it starts is the first to be free again. Guards
// against a task that loses all attempts to it while the others are in use.
TEST_F(AvoidanceTest, ATaskKeepsItsLastAttemptForAWorkerThatIsSoonFree) {
  for (const Millis HeldMs : {1000, 3000, 6000, 9000}) {
    const std::string Id = "held" + std::to_string(HeldMs);
    Step Held = labelled(2, 8);
    m_heldMs = Held.m_estimateMs = HeldMs + 500;
    m_heldSince = m_now;
    hold(Id, Held);
    const std::string Task = "job" + std::to_string(HeldMs) + ".0.0.0";
    submitFor("job" + std::to_string(HeldMs), labelled(1, 1), 3);
    const Millis Since = m_now;
    while (m_now - Since < HeldMs) {
      pass(50);
      if (!agentOf(Task).empty())
        fail(Task);
    }
    for (const int I : {0, 1}) {
      const std::string Other = Id + ".0.0." + std::to_string(I);
      end(agentOf(Other), Other, EndKind::Done);
    }
    pass(1000);
    EXPECT_NE(agentOf(Task), "") << HeldMs;
    end(agentOf(Task), Task, EndKind::Done);
    pass(500);
    EXPECT_EQ(phaseOf("job" + std::to_string(HeldMs)), JobPhase::Done);
  }
}

} // namespace
} // namespace pomelokeel::batch::tests
