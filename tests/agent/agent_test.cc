#include "agent/agent.h"

#include "agent/fake_entry.h"
#include "agent/process.h"
#include "standin/wait.h"
#include "standin/worker.h"

#include <gtest/gtest.h>

#include <csignal>
#include <set>

using namespace pomelokeel;
using namespace pomelokeel::agent;
using base::Millis;
using model::Command;
using model::CommandKind;
using model::HoldState;
using standin::eventually;

namespace {

constexpr Millis TaskLease = 900;
constexpr Millis GangLease = 900;
/// Time for three reports with a result, which are sent every 2 s.
constexpr Millis ResultDeadlineMs = 20000;
/// Shorter than the interval of unchanged reports (10 s), so that a report
/// within this time is not a periodic one.
constexpr Millis SoonMs = 3000;
/// Shorter than the interval of reports with a result (2 s).
constexpr Millis AtOnceMs = 1500;

settings::AgentSettings settingsFor(const std::string &Name,
                                    const standin::WorkerStandin &Worker,
                                    const FakeEntry &Entry) {
  settings::AgentSettings S;
  S.m_name = Name;
  S.m_dataCentre = "dc1";
  S.m_region = "pacifico";
  S.m_rack = "r1";
  S.m_httpListen = "127.0.0.1:0";
  S.m_meshListen = "127.0.0.1:0";
  S.m_worker = Worker.address();
  S.m_entries = {Entry.http()};
  S.m_cores = 8;
  S.m_memoryMb = 1024;
  S.m_accelerators = 8;
  S.m_heartbeatMs = 100;
  S.m_linkTimeoutMs = 1000;
  S.m_gangLeaseMs = GangLease;
  S.m_taskLeaseMs = TaskLease;
  S.m_stopGraceMs = 1000;
  return S;
}

std::unique_ptr<Process> startAgent(const settings::AgentSettings &S) {
  auto Started = Process::start(S);
  return Started ? std::move(*Started) : nullptr;
}

Command commandOf(CommandKind Kind, const std::string &Job,
                  const std::vector<std::string> &Workers, int Member = 0,
                  std::vector<std::string> Peers = {}, Millis RunMs = 60000) {
  Command C;
  C.m_kind = Kind;
  C.m_job = Job;
  C.m_attempt = 1;
  C.m_member = Member;
  C.m_fence = 10;
  C.m_spec.m_payload = {{"runMs", RunMs}, {"answer", Job + "!"}};
  for (const std::string &W : Workers)
    C.m_places.push_back({W, 0, 4});
  Peers.resize(Workers.size());
  C.m_peers = std::move(Peers);
  C.m_orphanLimitMs = 60000;
  C.m_startTimeoutMs = 5000;
  return C;
}

// A worker, its agent and an entry.
class AgentTest : public testing::Test {
protected:
  void SetUp() override {
    m_settings = settingsFor("w1", m_worker, m_entry);
    m_agent = startAgent(m_settings);
    ASSERT_TRUE(m_agent);
    ASSERT_TRUE(attached());
  }
  bool attached() {
    return eventually([&] { return m_entry.report("w1").has_value(); });
  }
  Command command(CommandKind Kind, const std::string &Job = "j1",
                  Millis RunMs = 60000) {
    return commandOf(Kind, Job, {"w1"}, 0, {}, RunMs);
  }
  void run(const std::string &Job, Millis RunMs, Millis OrphanLimit = 60000) {
    for (const CommandKind Kind : {CommandKind::Reserve, CommandKind::Start}) {
      Command C = command(Kind, Job, RunMs);
      C.m_orphanLimitMs = OrphanLimit;
      ASSERT_TRUE(m_entry.accepts("w1", C));
    }
    ASSERT_TRUE(m_entry.reportsState("w1", Job, HoldState::Running) ||
                m_entry.reportsState("w1", Job, HoldState::Succeeded, 0));
  }
  // Waits for the number of heartbeats that the agent sends in a period.
  bool heartbeatsFor(Millis Period) {
    const int Last = m_entry.m_heartbeats +
                     static_cast<int>(Period / m_settings.m_heartbeatMs);
    return eventually([&] { return m_entry.m_heartbeats > Last; });
  }
  // Returns the times of the events with this name in the worker's history.
  std::vector<Millis> times(const std::string &Event) const {
    std::vector<Millis> Out;
    for (const auto &E : m_worker.history().m_events) {
      if (E.m_event == Event)
        Out.push_back(E.m_atMs);
    }
    return Out;
  }

  standin::WorkerStandin m_worker;
  FakeEntry m_entry{"e1"};
  settings::AgentSettings m_settings;
  std::unique_ptr<Process> m_agent;
};

} // namespace

TEST_F(AgentTest, RunsATaskAndKeepsItsResultUntilRelease) {
  ASSERT_TRUE(m_entry.accepts("w1", command(CommandKind::Reserve, "j1", 50)));
  ASSERT_TRUE(m_entry.accepts("w1", command(CommandKind::Start, "j1", 50)));
  ASSERT_TRUE(m_entry.reportsState("w1", "j1", HoldState::Succeeded));
  const auto First = m_entry.report("w1")->m_sequence;
  ASSERT_TRUE(
      eventually([&] { return m_entry.report("w1")->m_sequence > First + 2; },
                 ResultDeadlineMs));
  EXPECT_EQ(m_entry.hold("w1", "j1")->m_answer, base::Json("j1!"));
  ASSERT_TRUE(m_entry.accepts("w1", command(CommandKind::Release)));
  EXPECT_TRUE(eventually([&] { return !m_entry.hold("w1", "j1"); }));
  EXPECT_FALSE(m_entry.accepts("w1", command(CommandKind::Reserve)));
  EXPECT_EQ(m_worker.history().m_misfits, 0);
}

// Guards against complete reports instead of heartbeats, and against a change
// that is only sent with the next periodic report.
TEST_F(AgentTest, SendsHeartbeatsBetweenChangesAndReportsChangesAtOnce) {
  run("j1", 60000);
  ASSERT_TRUE(heartbeatsFor(0));
  const auto Sequence = m_entry.report("w1")->m_sequence;
  ASSERT_TRUE(heartbeatsFor(SoonMs));
  EXPECT_EQ(m_entry.report("w1")->m_sequence, Sequence);
  ASSERT_TRUE(m_entry.accepts("w1", command(CommandKind::Stop)));
  EXPECT_TRUE(m_entry.reportsState("w1", "j1", HoldState::Stopped, AtOnceMs));
}

// Guards against a change that reaches the entry 10 s late because its report
// was lost.
TEST_F(AgentTest, RepeatsALostReport) {
  ASSERT_TRUE(m_entry.accepts("w1", command(CommandKind::Reserve)));
  m_entry.m_loseReports = true;
  ASSERT_TRUE(m_entry.accepts("w1", command(CommandKind::Start)));
  ASSERT_TRUE(eventually([&] {
    const auto Holds = m_agent->status().m_holds;
    return Holds.size() == 1 && Holds[0].m_state == HoldState::Running;
  }));
  // The report of the last change is sent before the second heartbeat from now.
  ASSERT_TRUE(heartbeatsFor(m_settings.m_heartbeatMs));
  EXPECT_GT(m_entry.m_lostReports, 0);
  m_entry.m_loseReports = false;
  EXPECT_TRUE(m_entry.reportsState("w1", "j1", HoldState::Running, SoonMs));
}

// Guards against an entry that restarts with the same address and never
// receives the reports of the agents that continue to send heartbeats to it.
TEST_F(AgentTest, RestartedEntryGetsTheReport) {
  run("j1", 60000);
  ASSERT_TRUE(heartbeatsFor(0));
  m_entry.deleteReports();
  EXPECT_TRUE(m_entry.reportsState("w1", "j1", HoldState::Running, SoonMs));
}

// Guards against a missing report after the reply to a command that changed
// nothing, because the leader waits for that report.
TEST_F(AgentTest, ReportsAfterACommandWithoutEffect) {
  run("j1", 60000);
  ASSERT_TRUE(m_entry.accepts("w1", command(CommandKind::Stop)));
  ASSERT_TRUE(m_entry.reportsState("w1", "j1", HoldState::Stopped));
  ASSERT_TRUE(m_entry.accepts("w1", command(CommandKind::Release)));
  ASSERT_TRUE(eventually([&] { return !m_entry.hold("w1", "j1"); }));
  ASSERT_TRUE(heartbeatsFor(0));
  const auto Reply = m_entry.sendCommand("w1", command(CommandKind::Stop));
  ASSERT_TRUE(Reply);
  EXPECT_TRUE(eventually(
      [&] { return m_entry.report("w1")->m_sequence > Reply->m_sequence; },
      SoonMs));
}

// Guards against a task that ends with its agent although the agent is
// restarted within the task lease.
TEST_F(AgentTest, RestartedAgentAdoptsRunningTasks) {
  run("j1", 60000);
  m_agent.reset();
  m_agent = startAgent(m_settings);
  ASSERT_TRUE(m_agent);
  ASSERT_TRUE(eventually([&] {
    const auto R = m_entry.report("w1");
    return R->m_worker.m_incarnation == m_agent->status().m_incarnation;
  }));
  EXPECT_EQ(m_entry.hold("w1", "j1")->m_state, HoldState::Running);
  EXPECT_EQ(m_entry.hold("w1", "j1")->m_fence, 10u);
  ASSERT_TRUE(heartbeatsFor(2 * TaskLease));
  EXPECT_EQ(m_entry.hold("w1", "j1")->m_state, HoldState::Running);
  ASSERT_TRUE(m_entry.accepts("w1", command(CommandKind::Stop)));
  EXPECT_TRUE(m_entry.reportsState("w1", "j1", HoldState::Stopped));
  EXPECT_TRUE(m_entry.hold("w1", "j1")->m_everRan);
  EXPECT_EQ(times("start").size(), 1u);
}

// Guards against a worker that does not answer but whose tasks are reported as
// ended, and against new reservations on such a worker.
TEST_F(AgentTest, FrozenWorkerIsReportedAndItsTaskIsNotDeclaredEnded) {
  run("j1", 60000);
  standin::WorkerFaults Frozen;
  Frozen.m_freeze = true;
  m_worker.setFaults(Frozen);
  ASSERT_TRUE(
      eventually([&] { return !m_entry.report("w1")->m_workerReachable; }));
  Command C = command(CommandKind::Reserve, "j2");
  C.m_places[0].m_firstAccelerator = 4;
  const auto Reply = m_entry.sendCommand("w1", C);
  ASSERT_TRUE(Reply);
  EXPECT_EQ(Reply->m_error, base::ErrorKind::Unreachable);
  ASSERT_TRUE(m_entry.accepts("w1", command(CommandKind::Stop)));
  EXPECT_FALSE(m_entry.reportsState("w1", "j1", HoldState::Stopped, 300));
  m_worker.setFaults({});
  EXPECT_TRUE(m_entry.reportsState("w1", "j1", HoldState::Stopped));
  EXPECT_TRUE(
      eventually([&] { return m_entry.report("w1")->m_workerReachable; }));
}

// Guards against a task that still runs when the leader already considers it
// lost.
TEST_F(AgentTest, StopsTasksAfterTheOrphanLimit) {
  constexpr Millis Limit = 1500;
  run("j1", 60000, Limit);
  ASSERT_TRUE(heartbeatsFor(2 * Limit));
  ASSERT_TRUE(times("end").empty());
  m_entry.answerWith({true, "", {}, 1, false, -1}); // Entry without a leader.
  const Millis Cut = base::monotonicNow();
  ASSERT_TRUE(eventually([&] { return !times("end").empty(); }));
  EXPECT_GE(times("end")[0], Cut + Limit - 500);
  EXPECT_LE(times("end")[0], Cut + Limit + 500);
  EXPECT_TRUE(m_entry.reportsState("w1", "j1", HoldState::Stopped));
}

TEST_F(AgentTest, RefusesStaleCommands) {
  run("j1", 60000);
  m_entry.m_epoch = 4;
  EXPECT_EQ(m_entry.sendCommand("w1", command(CommandKind::Stop))->m_error,
            base::ErrorKind::StaleEpoch);
  m_entry.m_epoch = 5;
  Command Late = command(CommandKind::Reserve);
  Late.m_attempt = 0;
  Late.m_fence = 9;
  EXPECT_EQ(m_entry.sendCommand("w1", Late)->m_error,
            base::ErrorKind::StaleFence);
}

// Guards against new work at an agent that is stopping, and against a graceful
// stop that interrupts running tasks.
TEST_F(AgentTest, GracefulStopWaitsForWorkAndLeavesTheRest) {
  run("short", 600);
  Command C = command(CommandKind::Reserve, "long");
  C.m_places[0].m_firstAccelerator = 4;
  ASSERT_TRUE(m_entry.accepts("w1", C));
  C.m_kind = CommandKind::Start;
  ASSERT_TRUE(m_entry.accepts("w1", C));
  ASSERT_TRUE(m_entry.reportsState("w1", "long", HoldState::Running));
  m_agent->requestStop();
  ASSERT_TRUE(eventually([&] { return m_entry.report("w1")->m_draining; }));
  EXPECT_EQ(
      m_entry.sendCommand("w1", command(CommandKind::Reserve, "new"))->m_error,
      base::ErrorKind::ShuttingDown);
  EXPECT_TRUE(m_entry.reportsState("w1", "short", HoldState::Succeeded));
  ASSERT_TRUE(eventually([&] { return m_agent->finished(); }));
  m_agent.reset();
  EXPECT_EQ(times("end").size(), 1u);
  m_agent = startAgent(m_settings);
  EXPECT_TRUE(eventually([&] {
    const auto H = m_entry.hold("w1", "long");
    return m_entry.report("w1")->m_worker.m_incarnation ==
               m_agent->status().m_incarnation &&
           H && H->m_state == HoldState::Running;
  }));
}

// Guards against an agent that stays with an entry that has stopped or that has
// an older configuration.
TEST_F(AgentTest, MovesToAnotherEntry) {
  FakeEntry Other{"e2"};
  Other.answerWith({true, "", {}, 3, true, 0});
  m_settings.m_entries = {Other.http()};
  m_agent.reset();
  m_agent = startAgent(m_settings);
  ASSERT_TRUE(eventually([&] { return m_agent->status().m_draining; }));
  EXPECT_EQ(m_agent->status().m_configVersion, 3u);
  Other.answerWith({true, "", {}, 2, false, 0});
  EXPECT_TRUE(eventually([&] { return m_agent->status().m_entry.empty(); }));
  EXPECT_EQ(m_agent->status().m_configVersion, 3u);
  EXPECT_TRUE(m_agent->status().m_draining);
}

TEST(AgentRun, ExitsWithZeroOnSignals) {
  standin::WorkerStandin Worker;
  FakeEntry Entry("e1");
  // The signals are also blocked here, so that only the thread of run()
  // receives them.
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  for (const int Signal : {SIGTERM, SIGINT}) {
    const std::string Name = "w" + std::to_string(Signal);
    int Code = -1;
    std::thread Agent([&] { Code = run(settingsFor(Name, Worker, Entry)); });
    EXPECT_TRUE(eventually([&] { return Entry.report(Name).has_value(); }));
    pthread_kill(Agent.native_handle(), Signal);
    Agent.join();
    EXPECT_EQ(Code, 0);
  }
}

namespace {

// Two workers, each with an agent, and a gang job on both.
class GangProcesses : public testing::Test {
protected:
  void SetUp() override {
    m_agents[0] = startAgent(settingsFor("w1", m_workers[0], m_entry));
    m_agents[1] = startAgent(settingsFor("w2", m_workers[1], m_entry));
    ASSERT_TRUE(eventually(
        [&] { return m_entry.report("w1") && m_entry.report("w2"); }));
    m_peers = {m_agents[0]->meshAddress(), m_agents[1]->meshAddress()};
  }
  Command command(CommandKind Kind, int Member, Millis RunMs) {
    return commandOf(Kind, "g", {"w1", "w2"}, Member, m_peers, RunMs);
  }
  void send(CommandKind Kind, int Member, Millis RunMs = 60000) {
    ASSERT_TRUE(m_entry.accepts(Member == 0 ? "w1" : "w2",
                                command(Kind, Member, RunMs)));
  }

  standin::WorkerStandin m_workers[2];
  FakeEntry m_entry{"e1"};
  std::unique_ptr<Process> m_agents[2];
  std::vector<std::string> m_peers;
};

} // namespace

TEST_F(GangProcesses, RunOnlyWhenAllAreReadyAndStopTogether) {
  send(CommandKind::Reserve, 0);
  send(CommandKind::Reserve, 1);
  send(CommandKind::Start, 0);
  ASSERT_TRUE(m_entry.reportsState("w1", "g", HoldState::Paused));
  EXPECT_FALSE(m_entry.reportsState("w1", "g", HoldState::Running, 300));
  send(CommandKind::Start, 1);
  ASSERT_TRUE(m_entry.reportsState("w1", "g", HoldState::Running));
  ASSERT_TRUE(m_entry.reportsState("w2", "g", HoldState::Running));
  m_agents[1].reset();
  EXPECT_TRUE(
      m_entry.reportsState("w1", "g", HoldState::Stopped, 3 * GangLease));
  EXPECT_TRUE(
      eventually([&] { return m_workers[1].history().m_events.size() == 2; },
                 2 * TaskLease));
}

// Guards against a gang that is stopped when its first member succeeds.
TEST_F(GangProcesses, MemberMaySucceedEarlier) {
  send(CommandKind::Reserve, 0);
  send(CommandKind::Reserve, 1);
  send(CommandKind::Start, 0, 3 * GangLease);
  send(CommandKind::Start, 1, 10);
  ASSERT_TRUE(m_entry.reportsState("w2", "g", HoldState::Succeeded));
  EXPECT_TRUE(m_entry.reportsState("w1", "g", HoldState::Succeeded));
}
