#include "batch/worker_speed.h"

#include "leader_fixture.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace pomelokeel::batch::tests {
namespace {

constexpr double Third = 1.0 / 3;

/// Options of a fleet at work.
struct FleetOptions {
  double m_slowShare = Third;
  double m_slowness = 1.3;
  double m_spread = 0.3; ///< Of the logarithm of run times within a step.
  bool m_tasks = true;
  bool m_gangs = true;
  /// Of the logarithm of declared estimates, for each of two queues.
  std::pair<double, double> m_estimateSpread = {0.2, 0.9};
  double m_estimateFactor = 1; ///< By which all estimates are wrong.
  Millis m_changeAt = -1;      ///< When the slow workers become others.
};

/// Shares of the fleet.
struct Classified {
  double m_falselySlow = 0;
  double m_missed = 0;
  double right() const { return 1 - m_falselySlow - m_missed; }
};

/// A fleet of 60 workers that runs steps of 39 tasks of about 8 s and gangs of
/// five tasks of about 1.5 s. Of the tasks, 3% take seven times as long.
class FleetAtWork {
public:
  FleetAtWork(const FleetOptions &O, unsigned Seed)
      : m_options(O), m_random(Seed), m_trueSlowness(WorkerCount, 1),
        m_used(WorkerCount, 0) {
    std::fill_n(m_trueSlowness.begin(),
                std::lround(O.m_slowShare * WorkerCount), O.m_slowness);
    shuffle(m_trueSlowness);
  }

  void runUntil(Millis End) {
    for (; m_now < End; m_now += StepMs) {
      if (m_now == m_options.m_changeAt)
        shuffle(m_trueSlowness);
      if (m_options.m_tasks)
        startTasks();
      if (m_options.m_gangs && m_now % GangEveryMs == 0)
        startGang();
      report();
      if (m_now % UpdateEveryMs == 0)
        m_speeds.update(m_now);
    }
  }

  Classified classified() const {
    Classified Out;
    for (int I = 0; I < WorkerCount; ++I) {
      const bool Truth = m_trueSlowness[static_cast<std::size_t>(I)] > 1;
      const bool Found = m_speeds.of(nameOf(I)).m_slow;
      Out.m_falselySlow += Found && !Truth ? 1.0 / WorkerCount : 0;
      Out.m_missed += Truth && !Found ? 1.0 / WorkerCount : 0;
    }
    return Out;
  }

  double endsPerWorker() const {
    return static_cast<double>(m_ends) / WorkerCount;
  }

private:
  static constexpr int WorkerCount = 60;
  static constexpr int StepTasks = 39;
  static constexpr int GangTasks = 5;
  static constexpr int Slots = 5; ///< For tasks, by worker.
  static constexpr int StartsOfStep = 3;
  static constexpr Millis StepMs = 50;
  static constexpr Millis GangEveryMs = 400;
  static constexpr Millis UpdateEveryMs = 500;
  /// Reports are early or late by up to this much.
  static constexpr double ReportErrorMs = 100;

  struct Run {
    TaskName m_name;
    std::vector<int> m_workers; ///< Several for a gang.
    double m_estimateMs = 0;    ///< Of a gang.
    std::string m_queue;
    Millis m_begin = 0;
    double m_durationMs = 0;
  };

  static std::string nameOf(int Worker) { return "w" + std::to_string(Worker); }

  void shuffle(std::vector<double> &V) {
    std::shuffle(V.begin(), V.end(), m_random);
  }

  double normal() { return m_normal(m_random); }
  double uniform() { return m_uniform(m_random); }

  std::vector<int> workersWithRoom(int Room) {
    std::vector<int> Out;
    for (int I = 0; I < WorkerCount; ++I) {
      if (m_used[static_cast<std::size_t>(I)] < Room)
        Out.push_back(I);
    }
    std::shuffle(Out.begin(), Out.end(), m_random);
    return Out;
  }

  void begin(Run R, double WorkMs) {
    double Slowest = 1;
    for (const int W : R.m_workers) {
      Slowest = std::max(Slowest, m_trueSlowness[static_cast<std::size_t>(W)]);
      ++m_used[static_cast<std::size_t>(W)];
    }
    R.m_begin = m_now;
    R.m_durationMs = WorkMs * Slowest;
    m_runs.push_back(std::move(R));
  }

  void startTasks() {
    constexpr double UsualMs = 8000;
    constexpr double SpreadOfSteps = 0.2;
    constexpr double TailShare = 0.03;
    constexpr double TailFactor = 7;
    for (int N = 0; N < StartsOfStep; ++N) {
      const std::vector<int> Free = workersWithRoom(Slots);
      if (Free.empty())
        return;
      if (m_nextTask == 0) {
        ++m_job;
        m_workMs = UsualMs * std::exp(SpreadOfSteps * normal());
      }
      Run R;
      R.m_name = {"t" + std::to_string(m_job), 0, 0, m_nextTask};
      R.m_workers = {Free.front()};
      begin(R, m_workMs * std::exp(m_options.m_spread * normal()) *
                   (uniform() < TailShare ? TailFactor : 1));
      m_nextTask = (m_nextTask + 1) % StepTasks;
    }
  }

  void startGang() {
    constexpr double UsualMs = 1500;
    constexpr double SpreadOfGangs = 0.5;
    std::vector<int> Free = workersWithRoom(Slots + 1);
    if (Free.size() < GangTasks)
      return;
    Free.resize(GangTasks);
    const bool First = m_gang++ % 2 == 0;
    const auto &[SpreadA, SpreadB] = m_options.m_estimateSpread;
    const double WorkMs = UsualMs * std::exp(SpreadOfGangs * normal());
    Run R;
    R.m_name = {"g" + std::to_string(m_gang), 0, 0, 0};
    R.m_workers = std::move(Free);
    R.m_queue = First ? "a" : "b";
    R.m_estimateMs = WorkMs * m_options.m_estimateFactor *
                     std::exp((First ? SpreadA : SpreadB) * normal());
    begin(std::move(R), WorkMs);
  }

  void report() {
    constexpr double Whole = 100;
    constexpr double MinPercent = 20;
    constexpr double MinMs = 500;
    std::erase_if(m_runs, [&](const Run &R) {
      const auto SinceMs = static_cast<double>(m_now - R.m_begin);
      const bool Done = SinceMs >= R.m_durationMs;
      const double Percent =
          Done ? Whole : std::floor(SinceMs * Whole / R.m_durationMs);
      const double SeenMs = (Done ? R.m_durationMs : SinceMs) +
                            ReportErrorMs * (2 * uniform() - 1);
      if ((Done || m_now % UpdateEveryMs == 0) && Percent >= MinPercent &&
          SeenMs >= MinMs)
        add(R, SeenMs * Whole / Percent);
      if (!Done)
        return false;
      ++m_ends;
      for (const int W : R.m_workers)
        --m_used[static_cast<std::size_t>(W)];
      return true;
    });
  }

  void add(const Run &R, double RunMs) {
    if (R.m_queue.empty())
      return m_speeds.addTask(nameOf(R.m_workers.front()), R.m_name, RunMs,
                              m_now);
    std::vector<std::string> Agents;
    Agents.reserve(R.m_workers.size());
    for (const int W : R.m_workers)
      Agents.push_back(nameOf(W));
    m_speeds.addGang(Agents, R.m_name, R.m_queue, RunMs / R.m_estimateMs,
                     m_now);
  }

  FleetOptions m_options;
  std::mt19937 m_random;
  std::normal_distribution<> m_normal;
  std::uniform_real_distribution<> m_uniform;
  std::vector<double> m_trueSlowness;
  std::vector<int> m_used;
  std::vector<Run> m_runs;
  WorkerSpeeds m_speeds;
  Millis m_now = 0;
  int m_job = 0;
  int m_nextTask = 0;
  double m_workMs = 0;
  int m_gang = 0;
  int m_ends = 0;
};

constexpr unsigned SeedCount = 10;

/// Mean over several seeds at each of the given times.
std::vector<Classified> classifyAt(const char *Figure, const FleetOptions &O,
                                   const std::vector<Millis> &Times) {
  std::vector<Classified> Out(Times.size());
  std::vector<double> Ends(Times.size());
  for (unsigned Seed = 0; Seed < SeedCount; ++Seed) {
    FleetAtWork F(O, Seed);
    for (std::size_t I = 0; I < Times.size(); ++I) {
      F.runUntil(Times[I] + 1);
      const Classified C = F.classified();
      Out[I].m_falselySlow += C.m_falselySlow / SeedCount;
      Out[I].m_missed += C.m_missed / SeedCount;
      Ends[I] += F.endsPerWorker() / SeedCount;
    }
  }
  for (std::size_t I = 0; I < Times.size(); ++I)
    std::printf("figure %s after %lld s, %.1f ends per worker: %.0f%% right, "
                "%.0f%% falsely slow, %.0f%% missed\n",
                Figure, static_cast<long long>(Times[I] / 1000), Ends[I],
                100 * Out[I].right(), 100 * Out[I].m_falselySlow,
                100 * Out[I].m_missed);
  return Out;
}

// Guards against a fleet of which a third is slower all day without notice.
// Most slow workers are to be known after three to five ends.
TEST(WorkerSpeeds, FindsTheSlowThirdOfAFleet) {
  const auto At = classifyAt("slowThird", {}, {10000, 15000, 20000, 40000});
  for (const Classified &C : At)
    EXPECT_LT(C.m_falselySlow, 0.1);
  // Fewer than half of the slow workers are missed.
  EXPECT_LT(At[1].m_missed, Third / 2);
  EXPECT_GT(At[2].right(), 0.8);
  EXPECT_GT(At[3].right(), 0.9);
}

// Guards against noise that marks workers of a uniform fleet.
TEST(WorkerSpeeds, MarksFewWorkersOfAUniformFleet) {
  FleetOptions O;
  O.m_slowShare = 0;
  for (const Classified &C :
       classifyAt("uniform", O, {10000, 20000, 40000, 90000}))
    EXPECT_LT(C.m_falselySlow, 0.1);
}

// Guards against estimates that stay once other workers are slow. The runs that
// began before the change still take up to 10 s.
TEST(WorkerSpeeds, FollowsWorkersThatTurnSlowAndRecover) {
  FleetOptions O;
  O.m_slowness = 2;
  O.m_changeAt = 20000;
  const auto At = classifyAt("change", O, {19900, 45000, 60000});
  EXPECT_GT(At[0].right(), 0.9);
  EXPECT_GT(At[1].right(), 0.8);
  EXPECT_GT(At[2].right(), 0.9);
}

// Guards against declared estimates that make workers look slow: all ten times
// too short, and half of a queue's estimates off by a factor of ten.
TEST(WorkerSpeeds, WrongEstimatesBlameNobody) {
  FleetOptions O;
  O.m_slowShare = 0;
  O.m_tasks = false;
  O.m_estimateFactor = 0.1;
  for (const Classified &C : classifyAt("tenTimes", O, {20000, 40000, 90000}))
    EXPECT_LT(C.m_falselySlow, 0.1);
  O.m_estimateFactor = 1;
  O.m_estimateSpread = {std::log(10), std::log(10)};
  for (const Classified &C : classifyAt("anyFactor", O, {20000, 40000, 90000}))
    EXPECT_LT(C.m_falselySlow, 0.1);
}

/// Workers "w0" to "w7" that run one task each of a step.
class SpeedsOfSteps : public testing::Test {
protected:
  static constexpr int Count = 8;

  /// The task on "w0" takes \p Slowness times as long as the others.
  void runStep(const std::string &Job, double Slowness, double UsualMs = 1000) {
    m_now += 1000;
    for (int I = 0; I < Count; ++I)
      m_speeds.addTask("w" + std::to_string(I), {Job, 0, 0, I},
                       I == 0 ? UsualMs * Slowness : UsualMs, m_now);
    m_speeds.update(m_now);
  }

  bool isSlow() const { return m_speeds.of("w0").m_slow; }

  void makeSlow() {
    for (int I = 0; I < 8; ++I)
      runStep("before" + std::to_string(m_nextJob++), 1.5);
    ASSERT_TRUE(isSlow());
  }

  int runsToRecover() {
    constexpr int Most = 100;
    int Runs = 0;
    while (isSlow() && Runs++ < Most)
      runStep("after" + std::to_string(m_nextJob++), 1);
    return Runs;
  }

  WorkerSpeeds m_speeds;
  Millis m_now = 1000;
  int m_nextJob = 0;
};

// Guards against a slow job that marks the workers of its tasks.
TEST_F(SpeedsOfSteps, AJobThatIsSlowBlamesNobody) {
  for (int I = 0; I < 10; ++I)
    runStep("a" + std::to_string(I), 1, I % 2 == 0 ? 1000 : 10000);
  for (const auto &[Agent, E] : m_speeds.all())
    EXPECT_FALSE(E.m_slow) << Agent;
}

// Guards against one job, with data that is far for example, that marks a
// worker however many tasks it runs there.
TEST_F(SpeedsOfSteps, OneJobAloneMarksNoWorker) {
  // Other workers are known to be slow, so that one more is likely.
  for (int Job = 0; Job < 8; ++Job) {
    m_now += 1000;
    for (int I = 1; I < Count; ++I)
      m_speeds.addTask("w" + std::to_string(I),
                       {"before" + std::to_string(Job), 0, 0, I},
                       I <= 3 ? 1500 : 1000, m_now);
    m_speeds.update(m_now);
  }
  ASSERT_TRUE(m_speeds.of("w1").m_slow);
  for (int I = 0; I < 80; ++I)
    m_speeds.addTask("w" + std::to_string(I % Count), {"a", 0, 0, I},
                     I % Count <= 3 ? 1500 : 1000, m_now);
  m_speeds.update(m_now);
  EXPECT_FALSE(isSlow());
  for (int I = 0; I < 80; ++I)
    m_speeds.addTask("w" + std::to_string(I % Count), {"b", 0, 0, I},
                     I % Count <= 3 ? 1500 : 1000, m_now);
  m_speeds.update(m_now);
  EXPECT_TRUE(isSlow());
}

// Guards against a single run of the tail that marks its worker.
TEST_F(SpeedsOfSteps, OneLongRunMarksNoWorker) {
  runStep("a", 7);
  runStep("b", 1);
  EXPECT_FALSE(isSlow());
}

// Guards against a worker that is avoided for long after it has recovered.
TEST_F(SpeedsOfSteps, AWorkerRecoversAfterAFewRuns) {
  makeSlow();
  EXPECT_LE(runsToRecover(), 5);
}

// Guards against an estimate of the machine that the next incarnation of its
// worker has to live with.
TEST_F(SpeedsOfSteps, ANewIncarnationKeepsTheEstimateForShort) {
  makeSlow();
  const int Without = runsToRecover();
  makeSlow();
  m_speeds.renew("w0");
  EXPECT_TRUE(isSlow());
  m_speeds.update(++m_now);
  EXPECT_TRUE(isSlow());
  EXPECT_LT(runsToRecover(), Without);
}

// Guards against memory that grows with all runs ever.
TEST_F(SpeedsOfSteps, OldRunsAreForgotten) {
  makeSlow();
  m_now += 120000;
  m_speeds.update(m_now);
  EXPECT_FALSE(isSlow());
  EXPECT_EQ(m_speeds.of("w0").m_evidence, 0);
}

/// A leader whose workers run tasks at different speeds.
class LeaderSpeedTest : public LeaderTest {
protected:
  static constexpr int WorkerCount = 9;
  static constexpr int SlowCount = 3;
  static constexpr double WorkMs = 1000;

  void SetUp() override {
    m_timing.m_learnSpeed = true;
    LeaderTest::SetUp();
    m_progress = [this](const std::string &Agent, const std::string &Task) {
      const auto [It, New] = m_startedAt.try_emplace(Task, m_now);
      if (New)
        m_runMs[Task] = runMsOf(Agent, Task);
      const auto SinceMs = static_cast<double>(m_now - It->second);
      return std::min(static_cast<int>(100 * SinceMs / m_runMs[Task]), 100);
    };
    addWorkers();
  }

  virtual void addWorkers() {
    for (int I = 0; I < WorkerCount; ++I) {
      // The slow ones come first in the order of names.
      const std::string Name = "w" + std::to_string(I);
      m_slowness[Name] = I < SlowCount ? 1.5 : 1;
      addAgent(Name);
    }
  }

  /// Run time of a task that starts.
  virtual double runMsOf(const std::string &Agent, const std::string &) {
    return WorkMs * m_slowness[Agent];
  }

  void append(const JournalBatch &B) override {
    for (const KeyedRecord &R : B.m_records) {
      if (R.m_key.starts_with(SpeedKey) && !R.m_value.empty())
        m_writtenAt[R.m_key].push_back(m_now);
    }
    LeaderTest::append(B);
  }

  /// Lets the fleet work, and ends the runs that have reached 100%.
  void work(Millis Ms) {
    for (const Millis End = m_now + Ms; m_now < End;) {
      pass(50);
      for (auto &[Name, B] : m_agents) {
        std::vector<std::string> Done;
        for (const auto &[Task, Run] : B.m_runs) {
          if (Run.m_percent >= 100)
            Done.push_back(Task);
        }
        for (const std::string &Task : Done)
          end(Name, Task, EndKind::Done);
      }
    }
  }

  /// Runs jobs whose tasks occupy all workers.
  void runJobs(int Count) {
    for (int I = 0; I < Count; ++I) {
      submit("job" + std::to_string(m_nextJob++),
             jobOf({step(WorkerCount * 4, 2)}));
      work(2500);
    }
  }

  std::set<std::string> agentsOf(const std::string &Job) const {
    std::set<std::string> Out;
    for (const Task &T :
         m_leader->jobs().at(Job).m_progress.m_occurrences[0][0]) {
      if (T.m_phase == TaskPhase::Placed)
        Out.insert(T.m_agent);
    }
    return Out;
  }

  std::set<std::string> placeGang(const std::string &Job, int Count) {
    Step Gang = step(Count, 8);
    Gang.m_gang = true;
    submit(Job, jobOf({Gang}), 0);
    pass(300);
    return agentsOf(Job);
  }

  bool anySlow(const std::set<std::string> &Agents) {
    return std::any_of(Agents.begin(), Agents.end(),
                       [&](const auto &A) { return m_slowness[A] > 1; });
  }

  std::int64_t slowWorkers() { return m_counters.get("slow_workers"); }

  std::map<std::string, double> m_slowness;
  std::map<std::string, Millis> m_startedAt;
  std::map<std::string, double> m_runMs;                  ///< By task.
  std::map<std::string, std::vector<Millis>> m_writtenAt; ///< Speed records.
  int m_nextJob = 0;
};

// Guards against gangs that are late since one member is on a slow worker.
TEST_F(LeaderSpeedTest, GangsAvoidSlowWorkers) {
  runJobs(4);
  EXPECT_EQ(slowWorkers(), SlowCount);
  EXPECT_EQ(std::count(m_events.begin(), m_events.end(), "workerSpeed"),
            SlowCount);
  const auto Agents = placeGang("gang", WorkerCount - SlowCount);
  EXPECT_EQ(Agents.size(), static_cast<std::size_t>(WorkerCount - SlowCount));
  EXPECT_FALSE(anySlow(Agents));
}

// Guards against changes to deployments that did not ask for it.
TEST_F(LeaderSpeedTest, NothingIsLearnedUnlessAskedFor) {
  m_timing.m_learnSpeed = false;
  m_leader->setTiming(m_timing);
  runJobs(4);
  EXPECT_EQ(slowWorkers(), 0);
  EXPECT_TRUE(m_writtenAt.empty());
}

// Guards against a new leader that has to learn anew, and against records that
// are written with each run.
TEST_F(LeaderSpeedTest, TheNextLeaderKnowsTheSlowWorkers) {
  runJobs(8);
  EXPECT_TRUE(m_stored.contains("speed/w0"));
  for (const auto &[Key, Times] : m_writtenAt) {
    for (std::size_t I = 1; I < Times.size(); ++I)
      EXPECT_GE(Times[I] - Times[I - 1], 5000) << Key;
  }
  restartLeader();
  pass(500);
  EXPECT_EQ(slowWorkers(), SlowCount);
  EXPECT_FALSE(anySlow(placeGang("gang", WorkerCount - SlowCount)));
}

// Guards against a new leader that cannot load its journal, or that takes an
// impossible value for the speed of a worker.
TEST_F(LeaderSpeedTest, UnreadableRecordsAreRemoved) {
  m_stored["speed/w0"] = "{";
  m_stored["speed/w1"] = R"(["w1@1",-5])";
  restartLeader();
  pass(500);
  EXPECT_EQ(slowWorkers(), 0);
  EXPECT_FALSE(m_stored.contains("speed/w0"));
  EXPECT_FALSE(m_stored.contains("speed/w1"));
}

// Guards against records of agents that are gone and fill the journal.
TEST_F(LeaderSpeedTest, RecordsOfAgentsThatAreGoneAreRemoved) {
  runJobs(4);
  ASSERT_TRUE(m_stored.contains("speed/w0"));
  std::erase(m_alive, "w0");
  m_timing.m_retentionMs = 20000;
  m_leader->setTiming(m_timing);
  pass(10000);
  EXPECT_TRUE(m_stored.contains("speed/w0"));
  pass(15000);
  EXPECT_FALSE(m_stored.contains("speed/w0"));
  EXPECT_TRUE(m_stored.contains("speed/w1"));
}

// Guards against gangs on workers that are slow after their start, and against
// runs of that time that mark the worker for later.
TEST_F(LeaderSpeedTest, ColdWorkersCountAsSlowWhileItLasts) {
  for (auto &[Name, B] : m_agents)
    B.m_coldLeftMs = m_slowness[Name] > 1 ? 60000 : 0;
  pass(600);
  EXPECT_EQ(slowWorkers(), SlowCount);
  runJobs(4);
  EXPECT_FALSE(anySlow(placeGang("gang", WorkerCount - SlowCount)));
  for (auto &[Name, B] : m_agents) {
    B.m_coldLeftMs = 0;
    m_slowness[Name] = 1;
  }
  pass(600);
  EXPECT_EQ(slowWorkers(), 0);
}

// Guards against runs that resumed and are short or long for that reason.
TEST_F(LeaderSpeedTest, RestartedRunsDoNotCount) {
  for (int I = 0; I < 4; ++I) {
    submit("job" + std::to_string(I), jobOf({step(WorkerCount * 4, 2)}));
    pass(300);
    for (auto &[Name, B] : m_agents) {
      const auto Runs = B.m_runs;
      for (const auto &[Task, Run] : Runs) {
        end(Name, Task, EndKind::Stopped);
        m_startedAt.erase(Task);
      }
    }
    work(2500);
  }
  EXPECT_EQ(slowWorkers(), 0);
}

// Guards against the record of one worker that the journal writes for another
// machine: the next incarnation on the same machine keeps the estimate.
TEST_F(LeaderSpeedTest, ARestartedWorkerKeepsItsEstimate) {
  runJobs(4);
  ASSERT_EQ(slowWorkers(), SlowCount);
  m_agents["w0"].m_workerIncarnation = "w0@2";
  m_agents["w0"].m_startTime = 2;
  pass(600);
  EXPECT_EQ(slowWorkers(), SlowCount);
}

/// A fleet of 60 workers, a third of them slow, under steps of tasks that can
/// wait and gangs that cannot.
class BusyFleetTest : public LeaderSpeedTest {
protected:
  static constexpr int FleetSize = 60;
  static constexpr double Slowness = 1.3;
  static constexpr Millis DayMs = 50000;

  void addWorkers() override {
    for (int I = 0; I < FleetSize; ++I) {
      const std::string Name = "w" + std::to_string(I);
      m_slowness[Name] = I % 3 == 0 ? Slowness : 1;
      addAgent(Name);
    }
  }

  double runMsOf(const std::string &Agent, const std::string &Task) override {
    constexpr double TaskMs = 8000;
    constexpr double Spread = 0.3;
    const std::string Job = Task.substr(0, Task.find('.'));
    if (Job[0] != 'g')
      return TaskMs * m_slowness[Agent] * std::exp(Spread * m_normal(m_random));
    double Slowest = 1;
    for (const std::string &Member : agentsOf(Job))
      Slowest = std::max(Slowest, m_slowness[Member]);
    return GangMs * Slowest;
  }

  /// Returns the share of gangs that ran with a slow member, of those that were
  /// placed in the second half of the day.
  double shareOfSlowGangs() {
    constexpr Millis GangEveryMs = 500;
    constexpr Millis StepEveryMs = 1300;
    int Gangs = 0;
    int Slow = 0;
    std::map<std::string, bool> Seen;
    for (Millis At = 0; At < DayMs; At += 100) {
      if (At % StepEveryMs == 0)
        submit("t" + std::to_string(At), jobOf({step(39, 1)}), 2);
      if (At % GangEveryMs == 0) {
        Step Gang = step(5, 1);
        Gang.m_gang = true;
        Gang.m_perWorker = 1;
        Gang.m_estimateMs = static_cast<Millis>(
            GangMs * std::exp(EstimateSpread * m_normal(m_random)));
        submit("g" + std::to_string(At), jobOf({Gang}), 1);
      }
      work(100);
      for (const auto &[Id, J] : m_leader->jobs()) {
        if (Id[0] != 'g' || isEnded(J.m_progress.m_phase) || Seen[Id])
          continue;
        const auto Agents = agentsOf(Id);
        if (Agents.empty())
          continue;
        Seen[Id] = true;
        if (At < DayMs / 2)
          continue;
        ++Gangs;
        Slow += anySlow(Agents) ? 1 : 0;
      }
    }
    EXPECT_GT(Gangs, 30);
    return static_cast<double>(Slow) / std::max(Gangs, 1);
  }

  static constexpr double GangMs = 1500;
  static constexpr double EstimateSpread = 0.2;

  std::mt19937 m_random{1};
  std::normal_distribution<> m_normal;
};

// Guards against an estimator that works by itself and a leader that makes no
// use of it: with a third of the workers slow, seven of eight gangs of five
// have a slow member by chance.
TEST_F(BusyFleetTest, FewGangsHaveASlowMember) {
  const double Learned = shareOfSlowGangs();
  std::printf("figure slowGangs %.0f%% of the gangs have a slow member, %lld "
              "workers are marked\n",
              100 * Learned, static_cast<long long>(slowWorkers()));
  EXPECT_LT(Learned, 0.5);
}

} // namespace
} // namespace pomelokeel::batch::tests
