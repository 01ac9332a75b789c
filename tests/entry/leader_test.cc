#include "entry/leader.h"

#include "leader_sim.h"

#include <gtest/gtest.h>

using namespace pomelokeel;
using model::Outcome;
using sim::Agent;

namespace {

bool sent(const sim::Fleet &F, const std::string &Command) {
  return std::ranges::find(F.m_commands, Command) != F.m_commands.end();
}

} // namespace

// Guards G3: a gang job is answered with one entry for each member, in member
// order, and its holds are released only after the record was read back.
TEST(Leader, TakesAGangJobFromPlacementToRelease) {
  sim::Fleet F(3, 1, {});
  F.submit("j1", "batch", 3, 8, 1000);
  ASSERT_TRUE(F.runUntil([&] { return F.finished("j1"); }, 5000));
  EXPECT_EQ(F.outcome("j1"), Outcome::Completed);
  EXPECT_EQ(F.job("j1").m_result->m_answer,
            base::Json::array({"j1/0", "j1/1", "j1/2"}));
  EXPECT_EQ(F.m_records["jobPlaced"], 1);
  EXPECT_EQ(F.m_records["jobStarted"], 1);
  EXPECT_TRUE(F.runUntil([&] { return F.holds() == 0; }, 1000));
  EXPECT_TRUE(sent(F, "release w1") && sent(F, "release w3"));
  EXPECT_EQ(F.m_violations, std::vector<std::string>{});
}

// Guards against a leader that ends by itself: a record of its own epoch with a
// body of another type raised an exception.
TEST(Leader, AMalformedRecordOfItsOwnEpochIsIgnored) {
  sim::Fleet F(2, 1, {});
  F.submit("j1", "batch");
  EXPECT_TRUE(F.runUntil(
      [&] {
        for (const auto Kind :
             {model::RecordKind::JobPlaced, model::RecordKind::JobStarted,
              model::RecordKind::JobFinished})
          F.appendAsLeader(Kind, {{"job", "j1"}, {"attempt", "1"}});
        return F.finished("j1");
      },
      10000));
  EXPECT_EQ(F.m_records["jobStarted"], 1);
}

// Guards G2: no member is started before all are reserved.
TEST(Leader, StartsOnlyAfterEveryReservation) {
  sim::Fleet F(2, 1, {});
  F.runFor(500);
  F.m_agents["w2"].m_cutUntilMs = F.m_nowMs + 800;
  F.submit("j1", "batch", 2, 8);
  F.runFor(700);
  EXPECT_TRUE(sent(F, "reserve w1") && sent(F, "reserve w2"));
  EXPECT_FALSE(sent(F, "start w1") || sent(F, "start w2"));
  EXPECT_TRUE(F.runUntil([&] { return F.finished("j1"); }, 3000));
  EXPECT_EQ(F.job("j1").m_attempt, 1);
}

// A worker that refuses a reservation does not count as a failure of the job,
// and the next attempt uses another worker.
TEST(Leader, RefusedReservationIsPlacedElsewhere) {
  sim::Fleet F(2, 1, {});
  F.m_agents["w1"].m_refuses = true;
  for (int I = 0; I < 4; ++I)
    F.submit("j" + std::to_string(I), "pay");
  ASSERT_TRUE(F.runUntil([&] { return F.allFinished(); }, 10000));
  for (const auto &[Id, J] : F.m_state.m_jobs) {
    EXPECT_EQ(F.outcome(Id), Outcome::Completed);
    EXPECT_EQ(J.m_failures, 0);
    EXPECT_FALSE(J.m_mayHaveRun);
  }
}

// Guards G5 and G4: a payment whose worker crashed is neither retried nor
// reported as not run.
TEST(Leader, LostWorkerMakesAPaymentUnknown) {
  sim::Fleet F(1, 1, {});
  F.submit("j1", "pay", 1, 1, 5000);
  ASSERT_TRUE(F.runUntil([&] { return F.m_runs.contains("j1"); }, 2000));
  F.m_agents["w1"].restart(true, 3600000, F.m_nowMs);
  F.runFor(sim::OrphanLimitMs);
  EXPECT_FALSE(F.finished("j1"));
  ASSERT_TRUE(F.runUntil([&] { return F.finished("j1"); }, 8000));
  EXPECT_EQ(F.outcome("j1"), Outcome::Unknown);
  EXPECT_EQ(F.job("j1").m_result->m_reason, base::ErrorKind::WorkerLost);
  // Without holds the worker is marked as lost until its agent reports again.
  const auto Standing = [&] { return F.m_state.m_workers["w1"].m_standing; };
  EXPECT_TRUE(F.runUntil(
      [&] { return Standing() == model::WorkerStanding::Lost; }, 60000));
  F.m_agents["w1"].m_downUntilMs = 0;
  F.submit("j2", "pay");
  EXPECT_TRUE(F.runUntil([&] { return F.finished("j2"); }, 5000));
}

// A change of leader must not stop or repeat a running attempt.
TEST(Leader, NextLeaderContinuesARunningAttempt) {
  sim::Fleet F(2, 1, {});
  F.submit("j1", "pay", 2, 8, 3000);
  ASSERT_TRUE(F.runUntil([&] { return F.m_runs.contains("j1"); }, 2000));
  F.claim(1);
  ASSERT_TRUE(F.runUntil([&] { return F.finished("j1"); }, 6000));
  EXPECT_EQ(F.outcome("j1"), Outcome::Completed);
  EXPECT_EQ(F.job("j1").m_attempt, 1);
}

TEST(Leader, CancellationReportsWhetherTheJobRan) {
  sim::Fleet F(1, 1, {});
  F.submit("j1", "batch", 1, 8, 5000);
  ASSERT_TRUE(F.runUntil([&] { return F.m_runs.contains("j1"); }, 2000));
  F.submit("j2", "batch", 1, 8);
  F.m_agents["w1"].m_refuses = true;
  F.cancel("j1");
  ASSERT_TRUE(F.runUntil([&] { return F.finished("j1"); }, 2000));
  EXPECT_EQ(F.outcome("j1"), Outcome::Cancelled);
  ASSERT_TRUE(F.runUntil([&] { return F.job("j2").m_attempt > 0; }, 2000));
  F.cancel("j2");
  ASSERT_TRUE(F.runUntil([&] { return F.finished("j2"); }, 2000));
  EXPECT_EQ(F.outcome("j2"), Outcome::NotRun);
}

// Many simultaneous cancellations of placed and waiting jobs must not delay the
// placement of another job.
TEST(Leader, CancellationsDoNotDelayPlacement) {
  sim::Fleet F(4, 1, {});
  for (int I = 0; I < 300; ++I)
    F.submit("c" + std::to_string(I), "batch", 1, 1, 60000);
  F.runFor(1000);
  for (int I = 0; I < 300; ++I)
    F.cancel("c" + std::to_string(I));
  F.submit("j1", "batch");
  EXPECT_TRUE(F.runUntil([&] { return F.m_runs.contains("j1"); }, 1500));
  EXPECT_TRUE(F.runUntil([&] { return F.allFinished(); }, 5000));
}

// Guards G6: no new work for a worker that is draining or silent.
TEST(Leader, DrainingAndSilentWorkersGetNoWork) {
  sim::Fleet F(3, 1, {});
  F.append(
      sim::RecordKind::ConfigPublished,
      model::ConfigRecord{
          model::ConfigKind::Drain, "w1", 1, 0, 2, "op", {{"draining", true}}});
  F.m_agents["w2"].m_cutUntilMs = F.m_nowMs + 60000;
  F.runFor(2000);
  for (int I = 0; I < 6; ++I)
    F.submit("j" + std::to_string(I), "batch");
  ASSERT_TRUE(F.runUntil([&] { return F.allFinished(); }, 10000));
  EXPECT_FALSE(sent(F, "reserve w1") || sent(F, "reserve w2"));
}

// A worker that fails every task is quarantined, so that its failures do not
// use up the attempts of jobs.
TEST(Leader, FailingWorkerIsQuarantinedAndJobsComplete) {
  sim::Fleet F(2, 1, {});
  F.m_agents["w1"].m_failTask = [] { return true; };
  for (int I = 0; I < 10; ++I)
    F.submit("j" + std::to_string(I), "batch", 1, 4, 300);
  ASSERT_TRUE(F.runUntil([&] { return F.allFinished(); }, 20000));
  EXPECT_EQ(F.m_state.m_workers["w1"].m_standing,
            model::WorkerStanding::Quarantined);
  for (const auto &[Id, J] : F.m_state.m_jobs)
    EXPECT_EQ(F.outcome(Id), Outcome::Completed) << Id;
}

// A wave of jobs that fail wherever they run quarantined all workers for a
// minute, and sound jobs waited on an idle fleet.
TEST(Leader, HopelessJobsLeaveWorkersInUse) {
  sim::Fleet F(6, 1, {});
  for (auto &[Name, A] : F.m_agents)
    A.m_failTask = [] { return true; };
  for (int I = 0; I < 60; ++I)
    F.submit("bad" + std::to_string(I), "batch");
  ASSERT_TRUE(F.runUntil([&] { return F.allFinished(); }, 60000));
  for (auto &[Name, A] : F.m_agents)
    A.m_failTask = [] { return false; };
  F.submit("good", "batch");
  EXPECT_TRUE(F.runUntil([&] { return F.finished("good"); }, 5000));
  const auto InUse = std::count_if(
      F.m_state.m_workers.begin(), F.m_state.m_workers.end(),
      [](const auto &W) {
        return W.second.m_standing == model::WorkerStanding::Healthy;
      });
  EXPECT_GE(InUse, 4);
}

TEST(Leader, FailingJobUsesUpItsAttempts) {
  sim::Fleet F(2, 1, {});
  for (auto &[Name, A] : F.m_agents)
    A.m_failTask = [] { return true; };
  F.submit("j1", "batch");
  ASSERT_TRUE(F.runUntil([&] { return F.finished("j1"); }, 20000));
  EXPECT_EQ(F.outcome("j1"), Outcome::Failed);
  EXPECT_EQ(F.job("j1").m_attempt, 3);
  EXPECT_EQ(F.job("j1").m_result->m_reason, base::ErrorKind::AttemptsExhausted);
  EXPECT_NE(F.job("j1").m_result->m_message.find("exit 1"), std::string::npos);
}

TEST(Leader, MissedDeadlineIsReportedAsNotRun) {
  sim::Fleet F(1, 1, {});
  F.submit("j1", "batch", 1, 8, 5000);
  F.runFor(500);
  F.submit("j2", "batch", 1, 8, 500, 1000);
  ASSERT_TRUE(F.runUntil([&] { return F.finished("j2"); }, 2000));
  EXPECT_EQ(F.outcome("j2"), Outcome::NotRun);
  EXPECT_EQ(F.job("j2").m_result->m_reason, base::ErrorKind::DeadlinePassed);
}

// Guards section 4.7: without the log nothing is placed, running tasks
// continue and their results are recorded afterwards.
TEST(Leader, LogOutageStopsPlacementAndKeepsResults) {
  sim::Fleet F(1, 1, {});
  F.submit("j1", "batch", 1, 1, 1000);
  F.runFor(500);
  F.submit("j2", "batch");
  F.stopLog(5000);
  F.runFor(4900);
  EXPECT_EQ(F.m_records["jobPlaced"], 1);
  ASSERT_TRUE(F.runUntil([&] { return F.allFinished(); }, 3000));
  EXPECT_EQ(F.outcome("j1"), Outcome::Completed);
  EXPECT_EQ(F.m_runs["j1"][0], 1);
}

// The announcement of a new incarnation counts as contact with the worker.
// Otherwise the leader would record the loss again at each announcement of an
// agent whose reports do not reach it yet.
TEST(Leader, NewIncarnationRestoresALostWorker) {
  sim::Fleet F(1, 1, {});
  F.m_agents["w1"].m_downUntilMs = F.m_nowMs + 3600000;
  const auto Standing = [&] { return F.m_state.m_workers["w1"].m_standing; };
  ASSERT_TRUE(F.runUntil(
      [&] { return Standing() == model::WorkerStanding::Lost; }, 60000));
  sim::Agent &A = F.m_agents["w1"];
  F.append(sim::RecordKind::WorkerAnnounced, A.worker());
  F.runFor(1000);
  EXPECT_EQ(Standing(), model::WorkerStanding::Lost);
  EXPECT_EQ(F.m_records["workerStandingChanged"], 1);
  ++A.m_incarnation;
  F.append(sim::RecordKind::WorkerAnnounced, A.worker());
  F.runFor(3000);
  EXPECT_EQ(Standing(), model::WorkerStanding::Healthy);
  EXPECT_EQ(F.m_records["workerStandingChanged"], 1);
  // Without a report it is lost again after its limit.
  EXPECT_TRUE(F.runUntil(
      [&] { return Standing() == model::WorkerStanding::Lost; }, 60000));
  EXPECT_EQ(F.m_records["workerStandingChanged"], 2);
}

// Workers that never return must not stay in the state, but a lost worker stays
// for a day, so that jobs are not rejected as impossible while it is replaced.
TEST(Leader, LostWorkerLeavesAfterADay) {
  constexpr base::Millis HourMs = 3600000;
  sim::Fleet F(1, 1, {});
  F.m_agents["w1"].m_downUntilMs = F.m_nowMs + 100 * HourMs;
  const auto Present = [&] { return F.m_state.m_workers.contains("w1"); };
  ASSERT_TRUE(F.runUntil(
      [&] {
        return F.m_state.m_workers["w1"].m_standing ==
               model::WorkerStanding::Lost;
      },
      60000));
  F.m_nowMs += 12 * HourMs;
  F.runFor(30000);
  // The time is counted from the loss, also after a change of leader.
  F.claim(1);
  F.m_nowMs += 11 * HourMs;
  F.runFor(30000);
  EXPECT_TRUE(Present());
  F.m_nowMs += HourMs;
  F.runFor(1000);
  EXPECT_FALSE(Present());
  EXPECT_EQ(F.m_records["workerLeft"], 1);
  F.append(sim::RecordKind::WorkerAnnounced, F.m_agents["w1"].worker());
  F.m_agents["w1"].m_downUntilMs = 0;
  F.submit("j1", "batch");
  EXPECT_TRUE(F.runUntil([&] { return F.finished("j1"); }, 5000));
  EXPECT_EQ(F.outcome("j1"), Outcome::Completed);
}

// Workers that were drained and never return must not stay in the state.
TEST(Leader, DrainedWorkerLeavesWhenItIsLost) {
  sim::Fleet F(2, 1, {});
  F.append(
      sim::RecordKind::ConfigPublished,
      model::ConfigRecord{
          model::ConfigKind::Drain, "w1", 1, 0, 2, "op", {{"draining", true}}});
  F.runFor(60000);
  EXPECT_EQ(F.m_state.m_workers.size(), 2U);
  for (auto &[Name, A] : F.m_agents)
    A.m_downUntilMs = F.m_nowMs + 3600000;
  F.runFor(60000);
  EXPECT_FALSE(F.m_state.m_workers.contains("w1"));
  ASSERT_TRUE(F.m_state.m_workers.contains("w2"));
  EXPECT_EQ(F.m_state.m_workers["w2"].m_standing, model::WorkerStanding::Lost);
}

// A worker that still holds a job must not be removed.
TEST(Leader, WorkerThatHoldsAJobDoesNotLeave) {
  sim::Fleet F(1, 1, {});
  F.append(sim::RecordKind::ConfigPublished,
           model::ConfigRecord{model::ConfigKind::JobClass,
                               "long",
                               1,
                               0,
                               2,
                               "op",
                               {{"orphanLimitMs", 7200000}}});
  F.submit("j1", "long", 1, 8, 10800000);
  ASSERT_TRUE(F.runUntil([&] { return F.m_runs.contains("j1"); }, 2000));
  F.append(
      sim::RecordKind::ConfigPublished,
      model::ConfigRecord{
          model::ConfigKind::Drain, "w1", 1, 0, 2, "op", {{"draining", true}}});
  F.m_agents["w1"].m_cutUntilMs = F.m_nowMs + 360000000;
  F.m_nowMs += 7100000;
  F.runFor(30000);
  EXPECT_FALSE(F.finished("j1"));
  EXPECT_TRUE(F.m_state.m_workers.contains("w1"));
}

namespace {

// A job j1 that uses the whole worker, and a planner that reclaims it for j2.
struct ReclaimFleet : sim::Fleet {
  explicit ReclaimFleet(const std::string &Class);
};

ReclaimFleet::ReclaimFleet(const std::string &Class) : Fleet(1, 1, {}) {
  m_entries[0]->m_plan = [](sched::Snapshot S) {
    const bool Waits = std::ranges::any_of(
        S.m_waiting, [](const auto &J) { return J.m_id == "j2"; });
    if (Waits)
      std::erase_if(S.m_waiting, [](const auto &J) { return J.m_id == "j1"; });
    sched::Plan P = sched::plan(S);
    if (Waits)
      P.m_reclaim.push_back({"j1", "j2", "test"});
    return P;
  };
  submit("j1", Class, 1, 8, 4000);
  runUntil([&] { return m_runs.contains("j1"); }, 2000);
}

} // namespace

// Guards G1: resources are reclaimed by checkpoint, throttle and stop, and the
// preempted job resumes later without a counted failure.
TEST(Leader, ReclaimStopsInStepsAndRequeues) {
  ReclaimFleet F("batch");
  F.submit("j2", "batch", 1, 8);
  ASSERT_TRUE(F.runUntil([&] { return F.m_runs.contains("j2"); }, 2000));
  EXPECT_EQ(F.job("j1").m_preemptions, 1);
  EXPECT_EQ(F.job("j1").m_failures, 0);
  EXPECT_TRUE(F.job("j1").m_checkpoint.is_array());
  const auto At = [&](const char *Command) {
    return std::ranges::find(F.m_commands, Command) - F.m_commands.begin();
  };
  EXPECT_LT(At("checkpoint w1"), At("throttle w1"));
  EXPECT_LT(At("throttle w1"), At("stop w1"));
  ASSERT_TRUE(F.runUntil([&] { return F.allFinished(); }, 20000));
  EXPECT_EQ(F.outcome("j1"), Outcome::Completed);
}

// Guards G1 if a worker does not answer: each step ends at its deadline and the
// next one begins.
TEST(Leader, ReclaimPassesDeadlinesOfASilentWorker) {
  ReclaimFleet F("batch");
  F.m_agents["w1"].m_cutUntilMs = F.m_nowMs + 60000;
  F.submit("j2", "batch", 1, 8);
  ASSERT_TRUE(F.runUntil([&] { return sent(F, "checkpoint w1"); }, 1000));
  ASSERT_TRUE(F.runUntil([&] { return sent(F, "throttle w1"); }, 2500));
  EXPECT_TRUE(F.runUntil([&] { return sent(F, "stop w1"); }, 1500));
}

TEST(Leader, ReclaimIsAbandonedWhenItsJobIsCancelled) {
  ReclaimFleet F("batch");
  F.m_agents["w1"].m_cutUntilMs = F.m_nowMs + 1500;
  F.submit("j2", "batch", 1, 8);
  F.runFor(500);
  F.cancel("j2");
  ASSERT_TRUE(F.runUntil([&] { return F.allFinished(); }, 8000));
  EXPECT_EQ(F.outcome("j1"), Outcome::Completed);
  EXPECT_FALSE(sent(F, "throttle w1"));
}

// Guards G5: a payment that may have started is never reclaimed.
TEST(Leader, ReclaimSkipsNonIdempotentJobs) {
  ReclaimFleet F("pay");
  F.submit("j2", "pay", 1, 8);
  ASSERT_TRUE(F.runUntil([&] { return F.allFinished(); }, 10000));
  EXPECT_EQ(F.outcome("j1"), Outcome::Completed);
  EXPECT_FALSE(sent(F, "checkpoint w1") || sent(F, "stop w1"));
}

namespace {

// A leader e1 with one worker w1; the test sends the messages of its agent.
class SingleWorkerLeader {
public:
  SingleWorkerLeader() {
    for (const auto &[Kind, Name, Body] :
         {std::tuple{model::ConfigKind::JobClass, "batch",
                     base::Json{{"backoffMs", 200}}},
          {model::ConfigKind::Account, "acct",
           base::Json{{"guarantee", base::Json::array()}}}})
      append(model::RecordKind::ConfigPublished,
             model::ConfigRecord{Kind, Name, 1, 0, 2, "op", Body});
    m_agent.m_name = "w1";
    append(model::RecordKind::WorkerAnnounced, m_agent.worker());
    append(model::RecordKind::LeaderClaimed, model::LeaderClaim{"e1", "i1"}, 1);
    m_leader.start(m_state, m_nowMs);
  }

  template <typename Body>
  void append(model::RecordKind Kind, const Body &B, std::uint64_t Epoch = 0) {
    push(Kind, base::encode(B), Epoch);
  }

  void submit() {
    model::JobSpec S;
    S.m_key = "k";
    S.m_account = "acct";
    S.m_class = "batch";
    S.m_members = 1;
    S.m_accelerators = 8;
    append(model::RecordKind::JobSubmitted, model::Submission{"j1", S});
  }

  void report(const std::vector<model::Hold> &Holds = {}) {
    model::AgentReport R = m_agent.report();
    R.m_holds = Holds;
    collect(m_leader.onReport(m_state, R, m_nowMs));
  }

  void reply(const model::Command &C, bool Accepted) {
    model::CommandReply R;
    R.m_kind = C.m_kind;
    R.m_worker = "w1";
    R.m_job = C.m_job;
    R.m_attempt = C.m_attempt;
    R.m_member = C.m_member;
    R.m_accepted = Accepted;
    if (!Accepted)
      R.m_error = base::ErrorKind::Overloaded;
    R.m_incarnation = m_agent.worker().m_incarnation;
    R.m_sequence = m_agent.m_sequence;
    collect(m_leader.onReply(m_state, R, m_nowMs));
  }

  /// A step in which the leader reads its own records.
  void step(bool LogAvailable = true) {
    m_nowMs += sim::StepMs;
    collect(m_leader.tick(m_state, {m_nowMs, m_nowMs, LogAvailable}));
    const std::vector<model::Record> Unread = std::exchange(m_unread, {});
    for (const model::Record &R : Unread)
      push(R.m_kind, R.m_body, m_state.m_epoch);
  }

  /// The last command of the kind, or null.
  const model::Command *last(model::CommandKind Kind) const {
    const auto It = std::ranges::find_if(
        m_commands.rbegin(), m_commands.rend(),
        [&](const model::Command &C) { return C.m_kind == Kind; });
    return It == m_commands.rend() ? nullptr : &*It;
  }

  int attempt() const { return m_state.m_jobs.at("j1").m_attempt; }

  Agent m_agent;
  int m_plans = 0;
  std::vector<model::Record> m_unread; ///< Written by the leader.

private:
  void push(model::RecordKind Kind, base::Json Body, std::uint64_t Epoch) {
    model::LogEntry E;
    E.m_offset = m_state.m_nextOffset;
    E.m_timeMs = m_nowMs;
    E.m_record.m_id = "r" + std::to_string(E.m_offset);
    E.m_record.m_kind = Kind;
    E.m_record.m_epoch = Epoch;
    E.m_record.m_body = std::move(Body);
    const auto Applied = state::apply(m_state, E);
    EXPECT_TRUE(Applied.m_accepted) << base::nameOf(Kind);
    collect(m_leader.onApplied(m_state, E, Applied, m_nowMs));
  }

  void collect(entry::Actions A) {
    for (entry::AgentCommand &C : A.m_commands)
      m_commands.push_back(std::move(C.m_command));
    for (model::Record &R : A.m_records)
      m_unread.push_back(std::move(R));
  }

  base::Millis m_nowMs = 100000;
  state::State m_state;
  base::Counters m_counters;
  base::HybridClock m_clock;
  base::EventLog m_events{"e1", 64, m_clock};
  entry::Leader m_leader{{1500, sim::GangLeaseMs, 200},
                         m_counters,
                         m_events,
                         [this](const sched::Snapshot &S) {
                           ++m_plans;
                           return sched::plan(S);
                         }};
  std::vector<model::Command> m_commands; ///< As sent.
};

} // namespace

// Guards G5: an agent that restarted refuses commands for its previous
// incarnation, because each command that starts work names the incarnation.
TEST(Leader, CommandsThatStartWorkNameTheIncarnation) {
  SingleWorkerLeader L;
  L.report();
  L.submit();
  L.step();
  const model::Command *Reserve = L.last(model::CommandKind::Reserve);
  ASSERT_TRUE(Reserve);
  EXPECT_EQ(Reserve->m_incarnation, "i1");
  L.reply(model::Command(*Reserve), true);
  L.step();
  const model::Command *Start = L.last(model::CommandKind::Start);
  ASSERT_TRUE(Start);
  EXPECT_EQ(Start->m_incarnation, "i1");
}

// Guards G2 and G4: a late answer to an earlier attempt on the same worker does
// not count as the reservation of the current one.
TEST(Leader, RepliesToAnEarlierAttemptDoNotCount) {
  SingleWorkerLeader L;
  L.report();
  L.submit();
  L.step();
  ASSERT_TRUE(L.last(model::CommandKind::Reserve));
  const model::Command First = *L.last(model::CommandKind::Reserve);
  L.reply(First, false);
  for (int I = 0; I < 400 && L.attempt() == 1; ++I) {
    L.report();
    if (const model::Command *Stop = L.last(model::CommandKind::Stop))
      L.reply(model::Command(*Stop), true);
    L.step();
  }
  ASSERT_EQ(L.attempt(), 2);
  L.reply(First, true);
  L.step();
  EXPECT_FALSE(L.last(model::CommandKind::Start));
  ASSERT_EQ(L.last(model::CommandKind::Reserve)->m_attempt, 2);
  L.reply(model::Command(*L.last(model::CommandKind::Reserve)), true);
  L.step();
  EXPECT_TRUE(L.last(model::CommandKind::Start));
}

// A worker gets no job while a task that belongs to no current attempt still
// uses its accelerators.
TEST(Leader, StrayTaskBlocksItsWorkerUntilItHasEnded) {
  SingleWorkerLeader L;
  model::Hold UnownedHold;
  UnownedHold.m_job = "gone";
  UnownedHold.m_attempt = 1;
  UnownedHold.m_state = model::HoldState::Running;
  L.report({UnownedHold});
  EXPECT_TRUE(L.last(model::CommandKind::Stop));
  L.submit();
  for (int I = 0; I < 10; ++I)
    L.step();
  EXPECT_EQ(L.attempt(), 0);
  L.report();
  L.step();
  EXPECT_EQ(L.attempt(), 1);
}

// Guards section 4.7: without the log nothing is planned, so that no event or
// reclaim results from a decision that cannot be recorded.
TEST(Leader, PlansNothingWhileTheLogIsDown) {
  SingleWorkerLeader L;
  L.report();
  L.submit();
  const int Before = L.m_plans;
  for (int I = 0; I < 10; ++I) {
    L.step(false);
    EXPECT_EQ(L.m_unread.size(), 0U);
  }
  EXPECT_EQ(L.m_plans, Before);
  EXPECT_EQ(L.attempt(), 0);
  L.step();
  EXPECT_GT(L.m_plans, Before);
  EXPECT_EQ(L.attempt(), 1);
}
