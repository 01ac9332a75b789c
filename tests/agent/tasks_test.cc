#include "agent/tasks.h"

#include "agent/simulation.h"
#include "model/gang.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace pomelokeel;
using namespace pomelokeel::agent;
using base::ErrorKind;
using model::Command;
using model::CommandKind;
using model::HoldState;
using model::TaskState;

namespace {

constexpr Millis Lease = 3000; ///< Gang and task lease of TaskLimits.

Command command(CommandKind Kind, int Members = 1, int Member = 0) {
  Command C;
  C.m_kind = Kind;
  C.m_job = "j";
  C.m_attempt = 1;
  C.m_member = Member;
  C.m_fence = 10;
  for (int I = 0; I < Members; ++I) {
    C.m_places.push_back({Simulation::nameOf(I), 0, 2});
    C.m_peers.push_back(std::to_string(I));
  }
  C.m_spec.m_payload = {{"runMs", 100000}};
  C.m_orphanLimitMs = 60000;
  C.m_startTimeoutMs = 10000;
  return C;
}

// One agent and its worker, without faults.
struct SingleAgent {
  std::optional<ErrorKind> send(const Command &C, std::uint64_t Epoch = 5) {
    return table().command(C, Epoch, m_sim.now()).m_error;
  }
  TaskTable &table() { return *m_sim.node(0).m_table; }
  void run(Millis Period) {
    for (const Millis End = m_sim.now() + Period; m_sim.now() < End;)
      m_sim.step();
  }
  model::Hold hold() { return table().holds().at(0); }
  void start() {
    ASSERT_EQ(send(command(CommandKind::Reserve)), std::nullopt);
    ASSERT_EQ(send(command(CommandKind::Start)), std::nullopt);
    run(500);
    ASSERT_EQ(hold().m_state, HoldState::Running);
  }
  Simulation m_sim{1, {}, 1};
};

} // namespace

TEST(TaskTable, CommandsMayBeRepeated) {
  SingleAgent S;
  for (const CommandKind Kind :
       {CommandKind::Reserve, CommandKind::Start, CommandKind::Checkpoint,
        CommandKind::Stop, CommandKind::Release}) {
    EXPECT_EQ(S.send(command(Kind)), std::nullopt);
    S.run(300);
    EXPECT_EQ(S.send(command(Kind)), std::nullopt);
    S.run(300);
  }
  EXPECT_TRUE(S.table().holds().empty());
  EXPECT_EQ(S.m_sim.node(0).m_worker.task("j.1.0"), nullptr);
  EXPECT_EQ(S.send(command(CommandKind::Reserve)), ErrorKind::StaleFence);
}

TEST(TaskTable, RefusesStaleEpochFenceAndIncarnation) {
  SingleAgent S;
  EXPECT_EQ(S.send(command(CommandKind::Reserve)), std::nullopt);
  EXPECT_EQ(S.send(command(CommandKind::Start), 4), ErrorKind::StaleEpoch);
  Command C = command(CommandKind::Reserve);
  C.m_attempt = 2;
  C.m_fence = 9;
  EXPECT_EQ(S.send(C), ErrorKind::StaleFence);
  C.m_fence = 11;
  C.m_incarnation = "another";
  EXPECT_EQ(S.send(C), ErrorKind::StaleFence);
  C.m_incarnation = "i";
  C.m_places[0].m_firstAccelerator = 2;
  EXPECT_EQ(S.send(C), std::nullopt);
  EXPECT_EQ(S.send(command(CommandKind::Start)), ErrorKind::StaleFence);
}

TEST(TaskTable, ReservationsExpireAndDoNotOverlap) {
  SingleAgent S;
  EXPECT_EQ(S.send(command(CommandKind::Reserve)), std::nullopt);
  Command Other = command(CommandKind::Reserve);
  Other.m_job = "k";
  Other.m_places[0].m_firstAccelerator = 1;
  EXPECT_EQ(S.send(Other), ErrorKind::Overloaded);
  Other.m_places[0].m_firstAccelerator = 7;
  EXPECT_EQ(S.send(Other), ErrorKind::OutOfRange);
  // The start is read before timers run, as after a freeze of the process.
  S.m_sim.node(0).m_frozenUntil = S.m_sim.now() + 2 * Lease;
  S.run(Lease);
  EXPECT_EQ(S.send(command(CommandKind::Start)), ErrorKind::ReservationExpired);
  S.run(2 * Lease);
  Other.m_places[0].m_firstAccelerator = 1;
  EXPECT_EQ(S.send(Other), std::nullopt);
}

// Guards G6: a start that the worker did not answer was repeated until its
// timeout, and a reservation renewed, while the worker drained.
TEST(TaskTable, ADrainingWorkerStartsNothingAfterTheTimeOfAReservation) {
  for (const bool Ordered : {true, false}) {
    SCOPED_TRACE(Ordered);
    SingleAgent S;
    const Millis ReservedMs = TaskLimits().m_reserveTtlMs;
    S.m_sim.node(0).m_workerSilent = true;
    EXPECT_EQ(S.send(command(CommandKind::Reserve)), std::nullopt);
    if (Ordered) {
      EXPECT_EQ(S.send(command(CommandKind::Start)), std::nullopt);
    }
    S.run(300);
    S.table().setDraining(true);
    S.run(ReservedMs / 2);
    S.send(command(CommandKind::Reserve));
    S.run(ReservedMs / 2 + 200);
    S.m_sim.node(0).m_workerSilent = false;
    S.send(command(CommandKind::Start));
    S.run(3000);
    EXPECT_FALSE(S.m_sim.node(0).m_worker.everRan("j.1.0"));
  }
}

// Guards G4: a stop that arrives before the start must prevent the attempt.
TEST(TaskTable, StopBeforeReserveBlocksTheAttempt) {
  SingleAgent S;
  EXPECT_EQ(S.send(command(CommandKind::Stop)), std::nullopt);
  EXPECT_EQ(S.hold().m_state, HoldState::Stopped);
  EXPECT_FALSE(S.hold().m_everRan);
  EXPECT_TRUE(S.send(command(CommandKind::Reserve)).has_value());
  EXPECT_TRUE(S.send(command(CommandKind::Start)).has_value());
  S.run(500);
  EXPECT_EQ(S.m_sim.node(0).m_worker.task("j.1.0"), nullptr);
}

// Guards against a task that continues to run while its agent is frozen beyond
// the lease, and against a renewal of the task after the freeze.
TEST(TaskTable, FrozenAgentLosesItsTask) {
  SingleAgent S;
  S.start();
  S.m_sim.node(0).m_frozenUntil = S.m_sim.now() + 3 * Lease;
  S.run(Lease + 100);
  EXPECT_EQ(S.m_sim.node(0).m_worker.task("j.1.0")->m_info.m_state,
            TaskState::Lapsed);
  S.run(3 * Lease);
  EXPECT_EQ(S.hold().m_state, HoldState::Stopped);
  EXPECT_TRUE(S.hold().m_everRan);
}

// Guards against a worker lease that outlives the orphan limit when the agent
// is frozen before the limit passes.
TEST(TaskTable, WorkerLeaseEndsWithTheOrphanLimit) {
  SingleAgent S;
  Command C = command(CommandKind::Reserve);
  C.m_orphanLimitMs = Lease / 2;
  EXPECT_EQ(S.send(C), std::nullopt);
  C.m_kind = CommandKind::Start;
  EXPECT_EQ(S.send(C), std::nullopt);
  S.run(2 * Lease);
  ASSERT_EQ(S.hold().m_state, HoldState::Running);
  S.m_sim.node(0).m_frozenUntil = S.m_sim.now() + Lease;
  S.run(Lease / 2 + 10);
  EXPECT_EQ(S.m_sim.node(0).m_worker.task("j.1.0")->m_info.m_state,
            TaskState::Lapsed);
}

// Guards against a gang that continues to run after the worker of a member has
// stopped answering and the lease of its task has expired.
TEST(TaskTable, StopsATaskThatTheWorkerDoesNotRenew) {
  SingleAgent S;
  S.start();
  const Effects E = S.table().advance(S.m_sim.now() + Lease);
  EXPECT_EQ(S.hold().m_state, HoldState::Running);
  EXPECT_TRUE(
      std::any_of(E.m_calls.begin(), E.m_calls.end(), [](const WorkerCall &W) {
        return W.m_kind == CallKind::Stop;
      }));
}

// Guards G4: the previous agent may have reported the task as not run.
TEST(TaskTable, AdoptsRunningTasksAndStopsPausedOnes) {
  SingleAgent S;
  S.start();
  model::TaskPage Page = S.m_sim.node(0).m_worker.page();
  model::TaskInfo Paused = Page.m_tasks[0];
  Paused.m_task = "p.1.0";
  Paused.m_state = TaskState::Paused;
  Paused.m_everRan = false;
  Paused.m_metadata["job"] = "p";
  Page.m_tasks.push_back(Paused);
  TaskLimits L;
  L.m_worker = "w0";
  TaskTable Next(L, 0);
  EXPECT_EQ(Next.command(command(CommandKind::Stop), 5, 0).m_error,
            ErrorKind::NotReady);
  Next.onTaskList(Page, 0, 0);
  const Effects E = Next.advance(0);
  const auto Calls = [&](CallKind Kind, const std::string &Task) {
    return std::count_if(E.m_calls.begin(), E.m_calls.end(),
                         [&](const WorkerCall &C) {
                           return C.m_kind == Kind && C.m_task == Task;
                         });
  };
  EXPECT_EQ(Calls(CallKind::Renew, "j.1.0"), 1);
  EXPECT_EQ(Calls(CallKind::Stop, "p.1.0"), 1);
  EXPECT_EQ(Calls(CallKind::Release, "p.1.0"), 0);
  EXPECT_EQ(Next.holds().size(), 2u);
  EXPECT_FALSE(isEnded(Next.holds()[1]));
}

// Guards against an old fence that is accepted because the table dropped it
// when full.
TEST(TaskTable, DroppedFencesStayRefused) {
  TaskLimits L;
  L.m_worker = "w0";
  L.m_accelerators = 8;
  L.m_maxFences = 2;
  TaskTable T(L, 0);
  T.onTaskList({}, 0, 0);
  for (std::uint64_t Fence = 10; Fence < 14; ++Fence) {
    Command C = command(CommandKind::Stop);
    C.m_job = "j" + std::to_string(Fence);
    C.m_fence = Fence;
    EXPECT_TRUE(T.command(C, 5, 0).m_accepted);
    C.m_kind = CommandKind::Release;
    EXPECT_TRUE(T.command(C, 5, 0).m_accepted);
  }
  Command Late = command(CommandKind::Reserve);
  Late.m_job = "j10";
  EXPECT_EQ(T.command(Late, 5, 0).m_error, ErrorKind::StaleFence);
}

namespace {

// Checks the tasks of one gang separately for each attempt.
class GangChecker {
public:
  explicit GangChecker(Simulation &Sim) : m_sim(Sim) {}

  void check(int Attempt) {
    int Running = 0;
    int Ended = 0;
    for (int I = 0; I < m_sim.size(); ++I) {
      const std::string Id = model::taskId("j", Attempt, I);
      const auto *T = m_sim.node(I).m_worker.task(Id);
      const TaskState State = T ? T->m_info.m_state : TaskState::Stopped;
      m_ready[Attempt] |= T && !model::isFinal(State) ? 1 << I : 0;
      Running += State == TaskState::Running ? 1 : 0;
      Ended += model::isFinal(State) && State != TaskState::Succeeded ? 1 : 0;
    }
    const bool Partial = Running > 0 && Ended > 0;
    if (Running > 0)
      RC_ASSERT(m_ready[Attempt] == (1 << m_sim.size()) - 1);
    if (!Partial)
      m_partialSince[Attempt] = m_sim.now();
    // A stop may take one lease on each link up to the gang head and down
    // again.
    const Millis Leases =
        2 *
        model::gangTreeDepth(command(CommandKind::Stop, m_sim.size()).m_places);
    RC_ASSERT(m_sim.now() - m_partialSince[Attempt] <= Leases * Lease + 1000);
    checkHolds(Attempt);
  }

private:
  void checkHolds(int Attempt) {
    for (int I = 0; I < m_sim.size(); ++I) {
      for (const model::Hold &H : m_sim.node(I).m_table->holds()) {
        const std::string Id = model::taskId(H.m_job, H.m_attempt, H.m_member);
        if (H.m_attempt == Attempt && isEnded(H) && !H.m_everRan)
          m_neverRan[I].insert(Id);
      }
      for (const std::string &Id : m_neverRan[I])
        RC_ASSERT(!m_sim.node(I).m_worker.everRan(Id));
    }
  }

  Simulation &m_sim;
  std::map<int, int> m_ready; ///< Bit set of members with a live task.
  std::map<int, Millis> m_partialSince;
  std::map<int, std::set<std::string>> m_neverRan;
};

} // namespace

// Guards G2 and G4 under loss, repetition, reordering and freezes. A gang never
// runs before all members are ready and never runs in part for longer than the
// leases. A task that was reported as not run never runs, and stale commands
// start nothing.
RC_GTEST_PROP(TaskTable, GangsAreAllOrNothing, ()) {
  SimulationFaults F;
  F.m_lossRate = *rc::gen::inRange(0, 40);
  F.m_repeatRate = *rc::gen::inRange(0, 40);
  F.m_maxDelayMs = *rc::gen::inRange(0, 400);
  F.m_freezesPer1000 = *rc::gen::inRange(0, 4);
  // A gang of 14 has members between the gang head and the leaves.
  const int Members = *rc::gen::weightedElement<int>({{11, 3}, {1, 14}});
  Simulation Sim(Members, F, *rc::gen::arbitrary<std::uint64_t>());
  GangChecker Checker(Sim);
  constexpr Millis AttemptMs = 15000;
  constexpr int Attempts = 3;
  std::map<int, std::uint64_t> Highest; // Epoch seen, by agent.
  while (Sim.now() < Attempts * AttemptMs) {
    const int Attempt = 1 + static_cast<int>(Sim.now() / AttemptMs);
    const Millis Age = Sim.now() % AttemptMs;
    if (Sim.now() % 250 == 0) {
      const int I = Sim.percent() % Members;
      const CommandKind Kind = Age < 1000    ? CommandKind::Reserve
                               : Age < 9000  ? CommandKind::Start
                               : Age < 14000 ? CommandKind::Stop
                                             : CommandKind::Release;
      // Some commands come from an earlier attempt or leader.
      const int Given = Sim.percent() < 15 ? std::max(1, Attempt - 1) : Attempt;
      const int LeadersSince = Sim.percent() < 10 ? 0 : 1;
      const auto Epoch = static_cast<std::uint64_t>(Given) +
                         static_cast<std::uint64_t>(LeadersSince);
      for (int To = 0; To < Members; ++To) {
        if (Kind == CommandKind::Stop && To != I)
          continue;
        Command C = command(Kind, Members, To);
        C.m_attempt = Given;
        C.m_fence = std::uint64_t{10} * static_cast<std::uint64_t>(Given);
        C.m_spec.m_payload["runMs"] = 1000 + 50 * Sim.percent();
        Sim.toAgent(To, [&Sim, &Highest, C, To, Epoch] {
          const auto R = Sim.node(To).m_table->command(C, Epoch, Sim.now());
          RC_ASSERT(!R.m_accepted || Epoch >= Highest[To]);
          Highest[To] = std::max(Highest[To], Epoch);
        });
      }
    }
    Sim.step();
    for (int A = 1; A <= Attempt; ++A)
      Checker.check(A);
  }
}

// Guards against errors in the simulation of the test above: without network
// faults, every gang must run.
TEST(TaskTable, GangRunsInTheSimulation) {
  for (const int Members : {3, 14}) {
    Simulation Sim(Members, {}, 1);
    for (const CommandKind Kind : {CommandKind::Reserve, CommandKind::Start}) {
      for (int I = 0; I < Members; ++I)
        EXPECT_TRUE(
            Sim.node(I)
                .m_table->command(command(Kind, Members, I), 5, Sim.now())
                .m_accepted);
    }
    while (Sim.now() < 20000)
      Sim.step();
    for (int I = 0; I < Members; ++I)
      EXPECT_EQ(Sim.node(I).m_table->holds().at(0).m_state, HoldState::Running);
  }
}

// Guards against lost gang messages between members on the same worker. A gang
// with three members on each of two workers runs and stops as a whole.
TEST(TaskTable, MembersOnOneWorkerFormOneGang) {
  Simulation Sim(2, {}, 1);
  const auto Send = [&](CommandKind Kind, int Member) {
    Command C = command(Kind, 6, Member);
    for (int I = 0; I < 6; ++I) {
      C.m_places[I] = {Simulation::nameOf(I / 3), 2 * (I % 3), 2};
      C.m_peers[I] = std::to_string(I / 3);
    }
    TaskTable &To = *Sim.node(Member / 3).m_table;
    EXPECT_TRUE(To.command(C, 5, Sim.now()).m_accepted);
  };
  const auto ExpectAll = [&](HoldState State) {
    for (int I = 0; I < 2; ++I) {
      const auto Holds = Sim.node(I).m_table->holds();
      ASSERT_EQ(Holds.size(), 3U);
      for (const model::Hold &H : Holds)
        EXPECT_EQ(H.m_state, State) << H.m_member;
    }
  };
  for (const CommandKind Kind : {CommandKind::Reserve, CommandKind::Start}) {
    for (int I = 0; I < 6; ++I)
      Send(Kind, I);
  }
  while (Sim.now() < 8000)
    Sim.step();
  ExpectAll(HoldState::Running);
  Send(CommandKind::Stop, 5);
  while (Sim.now() < 10000)
    Sim.step();
  ExpectAll(HoldState::Stopped);
}
