#include "leader_fixture.h"

#include <algorithm>
#include <functional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <time.h>

namespace pomelokeel::batch::tests {
namespace {

/// Workers with 8 accelerators each, on which runs end by rules of the test.
class WorkerHealthTest : public LeaderTest {
protected:
  /// Decides how a run ends that has worked for \p AgeMs, if it does.
  using Outcome = std::function<std::optional<EndKind>(
      const std::string &Agent, const std::string &Task, Millis AgeMs)>;

  void addAgents(int Count) {
    for (int I = 0; I < Count; ++I)
      addAgent("w" + std::to_string(I));
  }

  /// Advances the time by \p Ms and ends runs by \p Rule.
  void work(Millis Ms, const Outcome &Rule) {
    const Millis End = m_now + Ms;
    while (m_now < End) {
      pass(50);
      for (const std::string &Agent : m_alive)
        endRuns(Agent, Rule);
      for (const std::string &Agent : m_alive)
        m_outOfUse[Agent] += quarantined(Agent) ? 50 : 0;
    }
  }

  void endRuns(const std::string &Agent, const Outcome &Rule) {
    std::vector<std::pair<std::string, EndKind>> Ends;
    for (const auto &[Task, Run] : m_agents[Agent].m_runs) {
      const auto Key = std::tuple(Agent, Task, Run.m_run);
      const Millis Age = m_now - m_seen.try_emplace(Key, m_now).first->second;
      if (Age == 0)
        ++m_startsOn[Agent];
      if (const auto Kind = Rule(Agent, Task, Age))
        Ends.emplace_back(Task, *Kind);
    }
    for (const auto &[Task, Kind] : Ends)
      end(Agent, Task, Kind);
  }

  bool quarantined(const std::string &Agent) const {
    return m_quarantinedUntil.contains(Agent) &&
           m_now < m_quarantinedUntil.at(Agent);
  }

  void event(const std::string &Name, const std::string &Job,
             const std::string &Detail) override {
    LeaderTest::event(Name, Job, Detail);
    const auto Value = [&](const std::string &Key) {
      const auto At = Detail.find(Key + "=") + Key.size() + 1;
      return Detail.substr(At, Detail.find(' ', At) - At);
    };
    if (Name == "workerQuarantined") {
      m_quarantinedUntil[Value("agent")] = m_now + std::stoll(Value("forMs"));
      m_lengths.push_back(std::stoll(Value("forMs")));
    }
    if (Name == "workerReinstated")
      m_quarantinedUntil.erase(Value("agent"));
  }

  Millis longestOutOfUse() const {
    Millis Out = 0;
    for (const auto &[Agent, Ms] : m_outOfUse)
      Out = std::max(Out, Ms);
    return Out;
  }

  static bool isOf(const std::string &Task, const std::string &Job) {
    return Task.starts_with(Job);
  }

  std::map<std::tuple<std::string, std::string, int>, Millis> m_seen;
  std::map<std::string, int> m_startsOn;
  std::map<std::string, Millis> m_quarantinedUntil;
  std::map<std::string, Millis> m_outOfUse; ///< Time in quarantine, by agent.
  std::vector<Millis> m_lengths;            ///< Of the quarantines.
};

/// Jobs whose id begins with "bad" fail after \p FailMs, others are done after
/// \p DoneMs.
auto hopeless(Millis FailMs, Millis DoneMs) {
  return [=](const std::string &, const std::string &Task,
             Millis AgeMs) -> std::optional<EndKind> {
    const bool Bad = Task.starts_with("bad");
    if (AgeMs < (Bad ? FailMs : DoneMs))
      return std::nullopt;
    return Bad ? EndKind::Failed : EndKind::Done;
  };
}

/// Workers in \p Workers fail all that they start after \p FailMs, others
/// complete it after \p DoneMs.
auto failingWorkers(const std::set<std::string> &Workers, Millis FailMs,
                    Millis DoneMs) {
  return [=](const std::string &Agent, const std::string &,
             Millis AgeMs) -> std::optional<EndKind> {
    const bool Bad = Workers.contains(Agent);
    if (AgeMs < (Bad ? FailMs : DoneMs))
      return std::nullopt;
    return Bad ? EndKind::Failed : EndKind::Done;
  };
}

// Review case 4: the failures of one hopeless job, reported together by all
// workers, quarantined each of them for 3 + 6 + 12 + 24 s. Accepted jobs of
// another account waited on an idle fleet.
TEST_F(WorkerHealthTest, AHopelessJobLeavesTheFleetInUse) {
  addAgents(6);
  submit("bad", jobOf({step(55, 1)}));
  work(9000, hopeless(4000, 500));
  EXPECT_EQ(phaseOf("bad"), JobPhase::Failed);
  submit("good", jobOf({step(48, 1)}));
  work(1500, hopeless(4000, 500));
  EXPECT_EQ(phaseOf("good"), JobPhase::Done);
  EXPECT_LE(longestOutOfUse(), 300);
}

// The same for other numbers of workers, jobs, tasks and accounts, in one
// burst or one after the other: sound jobs that come meanwhile do not wait.
TEST_F(WorkerHealthTest, HopelessJobsOfAnySizeDelayNoSoundJob) {
  struct Case {
    int m_workers;
    int m_jobs;
    int m_tasks;
    Millis m_gapMs;
    Millis m_failMs;
  };
  for (const Case &C : {Case{2, 1, 16, 0, 4000}, Case{3, 2, 12, 0, 1000},
                        Case{4, 30, 1, 0, 1000}, Case{6, 8, 6, 100, 300},
                        Case{11, 40, 2, 200, 100}, Case{11, 4, 88, 0, 2000},
                        Case{20, 5, 30, 500, 6000}, Case{1, 3, 4, 0, 500}}) {
    SCOPED_TRACE(testing::Message() << C.m_workers << " workers, " << C.m_jobs
                                    << " jobs of " << C.m_tasks);
    m_agents.clear();
    m_alive.clear();
    m_stored.clear();
    m_seen.clear();
    m_quarantinedUntil.clear();
    makeLeader();
    addAgents(C.m_workers);
    int Good = 0;
    const auto Rule = hopeless(C.m_failMs, 500);
    const auto SubmitGood = [&] {
      CallerRequest R =
          request(CallerRequestKind::Submit, "good" + std::to_string(Good++));
      R.m_queue.m_priority = 0;
      R.m_account = "another";
      R.m_spec = jobOf({step(1, 1)});
      ask(R);
    };
    for (int I = 0; I < C.m_jobs; ++I) {
      CallerRequest R =
          request(CallerRequestKind::Submit, "bad" + std::to_string(I));
      R.m_account = "account" + std::to_string(I % 3);
      R.m_spec = jobOf({step(C.m_tasks, 1)});
      ask(R);
      work(C.m_gapMs, Rule);
    }
    // While hopeless runs occupy the fleet a sound job may wait for them, but
    // not on idle workers.
    for (int I = 0; I < 20; ++I) {
      SubmitGood();
      work(1000, Rule);
    }
    work(C.m_failMs + 1000, Rule);
    for (int I = 0; I < Good; ++I)
      EXPECT_EQ(phaseOf("good" + std::to_string(I)), JobPhase::Done) << I;
    int Available = 0;
    for (const std::string &Agent : m_alive)
      Available += quarantined(Agent) ? 0 : 1;
    EXPECT_GE(Available * 3, C.m_workers * 2);
    EXPECT_GE(Available, 1);
  }
}

// Tasks that fail at first by their own fault made all others of their step
// avoid the workers with room, and wait for those that were busy for hours.
TEST_F(WorkerHealthTest, TasksThatFailOnceDoNotWaitForBusyWorkers) {
  for (const int Workers : {2, 3, 5, 8}) {
    SCOPED_TRACE(Workers);
    m_agents.clear();
    m_alive.clear();
    m_stored.clear();
    m_seen.clear();
    m_quarantinedUntil.clear();
    makeLeader();
    addAgents(Workers);
    const int Busy = (Workers - 1) / 2;
    submit("busy", jobOf({step(Busy, 8)}));
    pass(200);
    submit("flaky", jobOf({step(2 * (Workers - Busy), 4)}));
    std::map<std::string, Millis> FirstRuns; // Start, by task.
    work(3000,
         [&](const std::string &, const std::string &Task,
             Millis AgeMs) -> std::optional<EndKind> {
           if (isOf(Task, "busy"))
             return std::nullopt;
           const Millis StartedAt = m_now - AgeMs;
           const Millis First =
               FirstRuns.try_emplace(Task, StartedAt).first->second;
           if (First == StartedAt && AgeMs >= 300)
             return EndKind::Failed;
           return AgeMs >= 500 ? std::optional(EndKind::Done) : std::nullopt;
         });
    EXPECT_EQ(phaseOf("flaky"), JobPhase::Done);
  }
}

// A worker that fails all it starts is found by the jobs of a mixed load.
TEST_F(WorkerHealthTest, AWorkerThatFailsAllItStartsIsQuarantined) {
  addAgents(6);
  const auto Rule = failingWorkers({"w2"}, 50, 2000);
  for (int I = 0; I < 40; ++I) {
    submit("job" + std::to_string(I), jobOf({step(9, 1)}));
    work(400, Rule);
  }
  work(6000, Rule);
  for (int I = 0; I < 40; ++I)
    EXPECT_EQ(phaseOf("job" + std::to_string(I)), JobPhase::Done) << I;
  EXPECT_LE(m_startsOn["w2"], 30);
  EXPECT_GE(m_outOfUse["w2"], 12000);
  for (const auto &[Agent, Ms] : m_outOfUse)
    EXPECT_TRUE(Agent == "w2" || Ms == 0) << Agent;
}

// Also if the fleet runs only one wide job, whose other tasks go on: the
// failing worker is always the first to be free and would get all of them.
TEST_F(WorkerHealthTest, AFailingWorkerIsFoundByTheTasksOfOneJob) {
  addAgents(4);
  const auto Rule = failingWorkers({"w1"}, 50, 4000);
  submit("wide", jobOf({step(100, 1)}));
  work(25000, Rule);
  EXPECT_EQ(phaseOf("wide"), JobPhase::Done);
  EXPECT_GE(m_outOfUse["w1"], 3000);
  EXPECT_LE(m_startsOn["w1"], 16);
  EXPECT_EQ(m_outOfUse["w0"] + m_outOfUse["w2"] + m_outOfUse["w3"], 0);
}

// Jobs fail on each of several bad workers. That must not make the jobs
// suspect for good.
TEST_F(WorkerHealthTest, SeveralFailingWorkersAreFound) {
  addAgents(6);
  const std::set<std::string> Bad = {"w0", "w3", "w4"};
  const auto Rule = failingWorkers(Bad, 50, 1500);
  for (int I = 0; I < 40; ++I) {
    submit("job" + std::to_string(I), jobOf({step(12, 1)}));
    work(500, Rule);
  }
  for (const std::string &Agent : m_alive) {
    if (Bad.contains(Agent))
      EXPECT_GE(m_outOfUse[Agent], 8000) << Agent;
    else
      EXPECT_EQ(m_outOfUse[Agent], 0) << Agent;
  }
}

// Runs that last for hours end too late to tell sound jobs from hopeless ones;
// that they outlive the failed runs does.
TEST_F(WorkerHealthTest, AFailingWorkerIsFoundByRunsThatLast) {
  addAgents(5);
  const auto Rule = failingWorkers({"w1", "w2"}, 200, 3600000);
  for (int I = 0; I < 50; ++I) {
    submit("job" + std::to_string(I), jobOf({step(2, 1)}));
    work(500, Rule);
  }
  EXPECT_GE(m_outOfUse["w1"], 6000);
  EXPECT_GE(m_outOfUse["w2"], 6000);
  EXPECT_EQ(m_outOfUse["w0"] + m_outOfUse["w3"] + m_outOfUse["w4"], 0);
}

Step longRunningStep(int Count) {
  Step S;
  S.m_count = Count;
  S.m_each = {1000, 100, 1};
  S.m_longRunning = true;
  return S;
}

// Long-running tasks may fail at any time, but on a bad worker they do so soon,
// one after the other. They counted against no worker once they were at work.
TEST_F(WorkerHealthTest, AWorkerOnWhichLongRunningTasksFailSoonIsQuarantined) {
  m_runsAreAtWork = true;
  addAgents(4);
  submit("service", jobOf({longRunningStep(24)}));
  submit("other", jobOf({longRunningStep(4)}));
  work(10000, failingWorkers({}, 0, 3600000));
  work(40000, failingWorkers({"w1"}, 1000, 3600000));
  EXPECT_GE(m_outOfUse["w1"], 15000);
  EXPECT_LE(m_startsOn["w1"], 60);
  EXPECT_EQ(m_outOfUse["w0"] + m_outOfUse["w2"] + m_outOfUse["w3"], 0);
}

// A service of one task cannot be compared with others of its step. It was
// placed again on the worker that fails it, as that was the fullest.
TEST_F(WorkerHealthTest, AServiceOfOneTaskLeavesTheWorkerThatFailsIt) {
  m_runsAreAtWork = true;
  addAgents(3);
  for (int I = 0; I < 3; ++I)
    submit("service" + std::to_string(I), jobOf({longRunningStep(1)}));
  work(3000, failingWorkers({}, 0, 3600000));
  const std::string Bad = m_startsOn.begin()->first;
  work(20000, failingWorkers({Bad}, 1000, 3600000));
  EXPECT_LE(m_startsOn[Bad], 6);
}

// Long-running tasks that fail at random, by any law, quarantine no worker for
// long. The tasks avoided each worker on which they had failed, and waited for
// room on the others.
TEST_F(WorkerHealthTest, LongRunningTasksThatFailAtRandomLeaveTheFleetInUse) {
  m_runsAreAtWork = true;
  std::mt19937 Random(1);
  for (const bool Memoryless : {true, false}) {
    m_agents.clear();
    m_alive.clear();
    m_stored.clear();
    m_seen.clear();
    m_outOfUse.clear();
    m_quarantinedUntil.clear();
    makeLeader();
    addAgents(6);
    submit("service", jobOf({longRunningStep(44)}));
    std::map<std::tuple<std::string, std::string, Millis>, double> Lives;
    std::map<std::string, Millis> LastSeen; // By task.
    Millis LongestWaitMs = 0;
    std::exponential_distribution<double> Exponential(1.0 / 15000);
    std::uniform_real_distribution<double> Uniform(4000, 30000);
    work(300000,
         [&](const std::string &Agent, const std::string &Task,
             Millis AgeMs) -> std::optional<EndKind> {
           Millis &SeenAt = LastSeen.try_emplace(Task, m_now).first->second;
           LongestWaitMs = std::max(LongestWaitMs, m_now - SeenAt);
           SeenAt = m_now;
           double &LifeMs = Lives[{Agent, Task, m_now - AgeMs}];
           if (LifeMs == 0)
             LifeMs = Memoryless ? Exponential(Random) : Uniform(Random);
           if (static_cast<double>(AgeMs) < LifeMs)
             return std::nullopt;
           return EndKind::Failed;
         });
    EXPECT_EQ(LastSeen.size(), 44u);
    EXPECT_LE(LongestWaitMs, 3000) << Memoryless;
    // A hundredth of the time of six workers.
    Millis OutOfUse = 0;
    for (const auto &[Agent, Ms] : m_outOfUse)
      OutOfUse += Ms;
    EXPECT_LE(OutOfUse, 18000) << Memoryless;
  }
}

// A worker that is sound again is used again after its probation.
TEST_F(WorkerHealthTest, ProbationEndsWithTheFirstCompletedRun) {
  addAgents(3);
  for (int I = 0; I < 8; ++I) {
    submit("job" + std::to_string(I), jobOf({step(16, 1)}));
    work(500, failingWorkers({"w0"}, 50, 1000));
  }
  ASSERT_GT(m_outOfUse["w0"], 0);
  for (int I = 0; I < 60; ++I) {
    submit("later" + std::to_string(I), jobOf({step(8, 1)}));
    work(500, failingWorkers({}, 0, 1000));
  }
  ASSERT_FALSE(quarantined("w0"));
  m_lengths.clear();
  for (int I = 0; I < 8; ++I) {
    submit("last" + std::to_string(I), jobOf({step(8, 1)}));
    work(500, failingWorkers({"w0"}, 50, 1000));
  }
  ASSERT_FALSE(m_lengths.empty());
  EXPECT_EQ(m_lengths.front(), 3000);
}

// Most jobs run for hours. A worker with such a run is not on probation until
// its end.
TEST_F(WorkerHealthTest, ProbationEndsWithARunThatLasts) {
  addAgents(2);
  for (int I = 0; I < 4; ++I)
    submit("job" + std::to_string(I), jobOf({step(8, 1)}));
  work(1000, failingWorkers({"w0"}, 50, 100));
  ASSERT_EQ(m_lengths, std::vector<Millis>{3000});
  submit("long", jobOf({step(16, 1)}));
  work(60000, failingWorkers({}, 0, 3600000));
  ASSERT_EQ(m_agents["w0"].m_runs.size(), 8u);
  for (int I = 0; I < 8; ++I)
    end("w0", m_agents["w0"].m_runs.begin()->first, EndKind::Failed);
  work(200, failingWorkers({}, 0, 3600000));
  EXPECT_EQ(m_lengths.back(), 3000);
}

// Runs that were placed before a quarantine made the next one longer, although
// no run had tested the worker since.
TEST_F(WorkerHealthTest, OnlyAFailedProbationLengthensAQuarantine) {
  addAgents(3);
  const auto Rule = failingWorkers({"w0"}, 1000, 1000);
  for (int I = 0; I < 8; ++I)
    submit("job" + std::to_string(I), jobOf({step(3, 1)}));
  work(2900, Rule);
  EXPECT_EQ(m_lengths, std::vector<Millis>{3000});
}

// All workers were unhealthy for some time. The quarantines grew to 30 s and
// outlasted that by far, with the whole fleet idle.
TEST_F(WorkerHealthTest, AFleetThatRefusedOrdersIsInUseSoonAfterwards) {
  addAgents(4);
  submit("job", jobOf({step(8, 1)}));
  const Millis HealthyAt = m_now + 40000;
  while (m_now < HealthyAt) {
    pass(50);
    for (const std::string &Agent : m_alive) {
      while (!m_agents[Agent].m_runs.empty()) {
        end(Agent, m_agents[Agent].m_runs.begin()->first,
            EndKind::NeverStarted);
        m_agents[Agent].m_ends.back().m_detail = UnhealthyReason;
      }
    }
  }
  work(4000, failingWorkers({}, 0, 500));
  EXPECT_EQ(phaseOf("job"), JobPhase::Done);
}

// Tasks that stand still by their own fault quarantined each worker that they
// were on.
TEST_F(WorkerHealthTest, AJobThatStandsStillLeavesTheFleetInUse) {
  addAgents(6);
  submit("stuck", jobOf({step(48, 1)}));
  pass(300);
  m_frozenTasks = "stuck";
  pass(4500);
  submit("good", jobOf({step(2, 1)}));
  work(1500, hopeless(0, 500));
  EXPECT_EQ(phaseOf("good"), JobPhase::Done);
}

// Runs whose whole percent changes every 6 s count as standing still, now and
// then. That one of them had just started or progressed elsewhere counted as
// proof against each of the other workers.
TEST_F(WorkerHealthTest, AJobOfSlowProgressLeavesTheFleetInUse) {
  constexpr int Workers = 11;
  addAgents(Workers);
  m_slowTasks = "slow";
  Step S = step(Workers, 1);
  S.m_perWorker = 1;
  submit("slow", jobOf({S}));
  for (int I = 0; I < 60; ++I) {
    const std::string Good = "good" + std::to_string(I);
    submit(Good, jobOf({step(4, 1)}));
    work(1500, [&](const std::string &, const std::string &Task, Millis AgeMs) {
      return isOf(Task, "good") && AgeMs >= 500 ? std::optional(EndKind::Done)
                                                : std::nullopt;
    });
    EXPECT_EQ(phaseOf(Good), JobPhase::Done);
    const auto OutOfUse =
        std::count_if(m_alive.begin(), m_alive.end(),
                      [&](const auto &Agent) { return quarantined(Agent); });
    EXPECT_LE(OutOfUse, (Workers + 2) / 3);
  }
}

TEST_F(WorkerHealthTest, AWorkerOnWhichTasksStandStillIsQuarantined) {
  addAgents(4);
  for (int I = 0; I < 8; ++I)
    submit("job" + std::to_string(I), jobOf({step(4, 1)}));
  pass(300);
  m_frozenAgent = "w1";
  work(4500, failingWorkers({}, 0, 3600000));
  EXPECT_TRUE(quarantined("w1"));
  EXPECT_EQ(m_quarantinedUntil.size(), 1u);
}

double processorMs() {
  timespec T{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &T);
  return static_cast<double>(T.tv_sec) * 1e3 +
         static_cast<double>(T.tv_nsec) / 1e6;
}

// A hopeless job as wide as a large fleet: each of its faults is compared with
// the other tasks and workers. On an eighth of a core, a review may take a
// tenth of the 200 ms between two reviews.
TEST_F(WorkerHealthTest, FaultsOfAWideJobAreReviewedQuickly) {
  constexpr int Workers = 240;
  constexpr int Reviews = 10;
  constexpr double MaxReviewMs = 2.5;
  addAgents(Workers);
  submit("bad", jobOf({step(8 * Workers, 1)}));
  work(1500, hopeless(1000, 500));
  ASSERT_GT(m_startsOn.size(), Workers * 9 / 10);
  double ReviewMs = 0;
  for (int I = 0; I < Reviews; ++I) {
    // Every second step of 100 ms has a review; the rest of both is the same.
    for (const int Sign : {-1, 1}) {
      m_now += 100;
      const double Begin = processorMs();
      m_leader->advance(m_now, wallNow());
      ReviewMs += Sign * (processorMs() - Begin);
    }
  }
  EXPECT_LT(ReviewMs / Reviews, MaxReviewMs);
}

// All runs of a wide hopeless job fail at the same time. Each report of faults
// was judged on its own, at a cost that grew with the number of all faults.
TEST_F(WorkerHealthTest, FaultsReportedTogetherCostInProportion) {
  m_timing.m_roundPauseMs = 10;
  m_timing.m_passPauseMs = 25;
  const auto BurstMs = [&](int Workers) {
    m_agents.clear();
    m_alive.clear();
    m_stored.clear();
    makeLeader();
    addAgents(Workers);
    submit("bad", jobOf({step(8 * Workers, 1)}));
    pass(300);
    for (const std::string &Agent : m_alive) {
      while (!m_agents[Agent].m_runs.empty())
        end(Agent, m_agents[Agent].m_runs.begin()->first, EndKind::Failed);
    }
    double Ms = 0;
    for (const std::string &Agent : m_alive) {
      const double Begin = processorMs();
      report(Agent);
      Ms += processorMs() - Begin;
    }
    return Ms;
  };
  // In proportion to the number of faults, with a margin of two.
  constexpr int Factor = 4;
  const auto LeastMs = [&](int Workers) {
    return std::min({BurstMs(Workers), BurstMs(Workers), BurstMs(Workers)});
  };
  const double Few = LeastMs(60);
  const double Many = LeastMs(60 * Factor);
  EXPECT_LT(Many, Few * Factor * 2);
}

// The next incarnation of a worker is another machine or has been repaired.
TEST_F(WorkerHealthTest, ARestartedWorkerIsInUseAtOnce) {
  addAgents(2);
  for (int I = 0; I < 4; ++I)
    submit("job" + std::to_string(I), jobOf({step(4, 1)}));
  work(300, failingWorkers({"w0"}, 50, 200));
  ASSERT_TRUE(quarantined("w0"));
  m_agents["w0"].m_workerIncarnation = "w0@2";
  m_agents["w0"].m_startTime = 2;
  m_agents["w0"].m_runs.clear();
  m_agents["w0"].m_ends.clear();
  submit("next", jobOf({step(16, 1)}));
  work(300, failingWorkers({}, 0, 5000));
  EXPECT_EQ(m_agents["w0"].m_runs.size(), 8u);
}

} // namespace
} // namespace pomelokeel::batch::tests
