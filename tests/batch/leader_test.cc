#include "batch/leader.h"

#include "leader_fixture.h"

namespace pomelokeel::batch::tests {
namespace {

TEST_F(LeaderTest, AcceptsAJobOnlyOnceItIsStored) {
  m_outcome.reset();
  const auto Reply = submit("a", jobOf({step(1, 1)}));
  EXPECT_FALSE(Reply->has_value());
  m_outcome = AppendOutcome::Done;
  answerAppends();
  ASSERT_TRUE(Reply->has_value());
  EXPECT_EQ((*Reply)->m_verdict, Verdict::Ok);
}

TEST_F(LeaderTest, StartsNothingBeforeThePlacementIsStored) {
  addAgent("w");
  m_outcome.reset();
  submit("a", jobOf({step(1, 1)}));
  pass(300);
  EXPECT_TRUE(m_starts.empty());
  m_outcome = AppendOutcome::Done;
  pass(300);
  EXPECT_EQ(m_starts["a.0.0.0"], 1);
}

TEST_F(LeaderTest, AJobThatWasRefusedNeverRuns) {
  addAgent("w");
  m_outcome = AppendOutcome::NotDone;
  const auto Reply = submit("a", jobOf({step(1, 1)}));
  ASSERT_TRUE(Reply->has_value());
  EXPECT_EQ((*Reply)->m_verdict, Verdict::Unavailable);
  EXPECT_GT((*Reply)->m_retryAfterMs, 0);
  m_outcome = AppendOutcome::Done;
  pass(2000);
  EXPECT_TRUE(m_starts.empty());
  EXPECT_TRUE(m_stored.empty());
}

TEST_F(LeaderTest, AnAppendWithoutAnswerLeavesTheJobUnknown) {
  m_outcome = AppendOutcome::Unknown;
  const auto Reply = submit("a", jobOf({step(1, 1)}));
  pass(4000);
  ASSERT_TRUE(Reply->has_value());
  EXPECT_EQ((*Reply)->m_verdict, Verdict::Unknown);
}

// A job submitted while an earlier append was outstanding was answered
// "unknown", though it was certainly not stored. Callers can't try again after
// "unknown", so it must be refused.
TEST_F(LeaderTest, AJobBehindAnOpenAppendIsRefusedInsteadOfLeftUnknown) {
  addAgent("w");
  m_outcome = AppendOutcome::Unknown;
  submit("a", jobOf({step(1, 1)}));
  const auto Reply = submit("b", jobOf({step(1, 1)}));
  pass(1000);
  ASSERT_TRUE(Reply->has_value());
  EXPECT_EQ((*Reply)->m_verdict, Verdict::Unavailable);
  m_outcome = AppendOutcome::Done;
  pass(1000);
  EXPECT_EQ(m_starts.count("b.0.0.0"), 0u);
}

// Guards against "unknown" for a job that was in no batch when its caller had
// to be answered: the store was slow, but had not stalled.
TEST_F(LeaderTest, AJobInNoBatchIsRefusedAtItsDeadline) {
  addAgent("w");
  m_outcome.reset();
  submit("a", jobOf({step(1, 1)}));
  CallerRequest R = request(CallerRequestKind::Submit, "b");
  R.m_spec = jobOf({step(1, 1)});
  const auto Patient = ask(R);
  R.m_remainingMs = 400;
  const auto Reply = ask(R);
  pass(300);
  ASSERT_TRUE(Reply->has_value());
  EXPECT_EQ((*Reply)->m_verdict, Verdict::Unavailable);
  EXPECT_GT((*Reply)->m_retryAfterMs, 0);
  ASSERT_TRUE(Patient->has_value());
  EXPECT_EQ((*Patient)->m_verdict, Verdict::Unavailable);
  m_outcome = AppendOutcome::Done;
  answerAppends();
  pass(1000);
  EXPECT_EQ(m_starts.count("a.0.0.0"), 1u);
  EXPECT_EQ(m_starts.count("b.0.0.0"), 0u);
  EXPECT_FALSE(m_stored.contains("spec/b"));
}

// Guards against "unknown" for the first job of an outage that the leader knows
// of: the store has not confirmed it for seconds.
TEST_F(LeaderTest, ALeaderThatIsNotConfirmedRefusesNewJobs) {
  m_outcome.reset();
  m_now += m_timing.m_confirmMs + 1;
  const auto Reply = submit("a", jobOf({step(1, 1)}));
  ASSERT_TRUE(Reply->has_value());
  EXPECT_EQ((*Reply)->m_verdict, Verdict::Unavailable);
  EXPECT_TRUE(m_appends.empty());
}

// Guards against "unknown" for jobs that a leader which is replaced has never
// sent to the store.
TEST_F(LeaderTest, ALeaderThatResignsRefusesJobsThatAreInNoBatch) {
  m_outcome.reset();
  const auto Sent = submit("a", jobOf({step(1, 1)}));
  const auto Unsent = submit("b", jobOf({step(1, 1)}));
  m_leader->resign();
  ASSERT_TRUE(Sent->has_value());
  EXPECT_EQ((*Sent)->m_verdict, Verdict::Unknown);
  ASSERT_TRUE(Unsent->has_value());
  EXPECT_EQ((*Unsent)->m_verdict, Verdict::Unavailable);
  EXPECT_GT((*Unsent)->m_retryAfterMs, 0);
}

// Guards against changes that wait for a batch which is never written: when the
// store refused a batch of new jobs only, its number was used again, and what
// had been marked with the next number was not acted on until another change.
TEST_F(LeaderTest, ChangesDuringARefusedBatchAreActedOnOnceStored) {
  addAgent("w");
  submit("a", jobOf({step(2, 8)}));
  pass(300);
  ASSERT_EQ(m_starts["a.0.0.0"], 1);
  m_outcome.reset();
  const auto Refused = submit("b", jobOf({step(1, 8)}));
  end("w", "a.0.0.0", EndKind::Done);
  report("w");
  m_outcome = AppendOutcome::NotDone;
  answerAppends();
  ASSERT_TRUE(Refused->has_value());
  EXPECT_EQ((*Refused)->m_verdict, Verdict::Unavailable);
  m_outcome = AppendOutcome::Done;
  pass(500);
  EXPECT_EQ(m_starts["a.0.0.1"], 1);
  EXPECT_FALSE(m_agents["w"].m_acknowledged.empty());
}

// A caller with little time left got "unknown", though the leader could have
// refused the job (incident inc-cd4f).
TEST_F(LeaderTest, ASubmissionWithoutTimeForAnAnswerIsRefused) {
  CallerRequest R = request(CallerRequestKind::Submit, "00000000000000aa");
  R.m_spec = jobOf({step(1, 1)});
  R.m_remainingMs = 20;
  EXPECT_EQ((*ask(R))->m_verdict, Verdict::Unavailable);
  EXPECT_TRUE(m_leader->jobs().empty());
}

TEST_F(LeaderTest, TheSameIdIsOneJob) {
  addAgent("w");
  submit("a", jobOf({step(1, 1)}));
  const auto Again = submit("a", jobOf({step(1, 1)}));
  pass(500);
  EXPECT_EQ((*Again)->m_verdict, Verdict::Ok);
  EXPECT_EQ(m_starts["a.0.0.0"], 1);
}

TEST_F(LeaderTest, AnEndIsAcknowledgedOnlyOnceItIsStored) {
  startTaskOn("w", 500);
  end("w", "a.0.0.0", EndKind::Done);
  m_outcome.reset();
  report("w");
  EXPECT_TRUE(m_agents["w"].m_acknowledged.empty());
  EXPECT_NE(phaseOf("a"), JobPhase::Done);
  m_outcome = AppendOutcome::Done;
  pass(200);
  EXPECT_FALSE(m_agents["w"].m_acknowledged.empty());
  EXPECT_EQ(phaseOf("a"), JobPhase::Done);
}

// Ends of the other members of a done gang were acknowledged before the gang's
// end was stored. After a restart of all processes the members ran again.
TEST_F(LeaderTest, EndsOfADoneGangAreAcknowledgedOnlyOnceTheyAreStored) {
  startGang(500);
  ASSERT_EQ(m_starts["a.0.0.0"], 1);
  ASSERT_EQ(m_starts["a.0.0.1"], 1);
  m_outcome = AppendOutcome::NotDone;
  for (const char *Agent : {"v", "w"}) {
    for (const char *Task : {"a.0.0.0", "a.0.0.1"})
      end(Agent, Task, EndKind::Done);
  }
  pass(300);
  EXPECT_TRUE(m_agents["v"].m_acknowledged.empty());
  EXPECT_TRUE(m_agents["w"].m_acknowledged.empty());
  // The worker of the end that was current is lost too.
  m_alive = {"w"};
  restartLeader();
  addAgent("x");
  pass(20000);
  EXPECT_EQ(m_starts["a.0.0.0"], 1);
  EXPECT_EQ(m_starts["a.0.0.1"], 1);
  EXPECT_EQ(phaseOf("a"), JobPhase::Done);
}

// An end that a restarted agent reported again was acknowledged before it was
// stored, since the first report had already changed the task.
TEST_F(LeaderTest, AnEndReportedAgainIsAcknowledgedOnlyOnceItIsStored) {
  addAgent("w");
  for (const EndKind Kind : {EndKind::Done, EndKind::Failed}) {
    const std::string Job(base::nameOf(Kind));
    SCOPED_TRACE(Job);
    submit(Job, jobOf({step(1, 1)}));
    pass(500);
    ASSERT_EQ(m_starts[Job + ".0.0.0"], 1);
    m_agents["w"].m_acknowledged.clear();
    m_outcome = AppendOutcome::NotDone;
    end("w", Job + ".0.0.0", Kind);
    report("w");
    restartAgent("w");
    pass(300);
    EXPECT_TRUE(m_agents["w"].m_acknowledged.empty());
    m_outcome = AppendOutcome::Done;
    pass(300);
    EXPECT_FALSE(m_agents["w"].m_acknowledged.empty());
  }
}

// During a long outage of the store, a job was dropped before its end was
// stored. It was unknown to callers, and the next leader ran it again.
TEST_F(LeaderTest, AJobIsDroppedOnlyOnceItsEndIsStored) {
  startTaskOn("w", 500);
  m_outcome = AppendOutcome::NotDone;
  end("w", "a.0.0.0", EndKind::Done);
  pass(Timing{}.m_retentionMs + 1000);
  EXPECT_EQ(m_leader->jobs().count("a"), 1u);
  m_outcome = AppendOutcome::Done;
  pass(1000);
  EXPECT_TRUE(m_leader->jobs().empty());
  EXPECT_TRUE(m_stored.empty());
}

// The identifier of a dropped job was submitted again before its removal was
// stored. The removal then also removed the new job.
TEST_F(LeaderTest, AnIdThatIsUsedAgainOutlivesTheRemovalOfTheDroppedJob) {
  startTaskOn("w", 500);
  end("w", "a.0.0.0", EndKind::Done);
  pass(Timing{}.m_retentionMs - 200);
  ASSERT_EQ(m_leader->jobs().count("a"), 1u);
  m_outcome.reset();
  submit("b", jobOf({step(1, 1)}));
  pass(400);
  ASSERT_EQ(m_leader->jobs().count("a"), 0u);
  const auto Again = submit("a", jobOf({step(1, 1)}));
  m_outcome = AppendOutcome::Done;
  answerAppends();
  ASSERT_TRUE(Again->has_value());
  EXPECT_EQ((*Again)->m_verdict, Verdict::Ok);
  restartLeader();
  EXPECT_EQ(m_leader->jobs().count("a"), 1u);
}

// The removal of a dropped job was forgotten when a new job of the same id was
// refused. The next leader showed the end of the dropped job for the new one.
TEST_F(LeaderTest, ARefusedSubmissionKeepsTheRemovalOfADroppedJob) {
  addAgent("w");
  submit("a", jobOf({step(1, 1)}));
  pass(500);
  end("w", "a.0.0.0", EndKind::Done);
  pass(Timing{}.m_retentionMs - 200);
  ASSERT_EQ(m_leader->jobs().count("a"), 1u);
  m_outcome.reset();
  submit("b", jobOf({step(1, 1)}));
  pass(400);
  ASSERT_EQ(m_leader->jobs().count("a"), 0u);
  const auto Again = submit("a", jobOf({step(1, 1)}));
  // The first batch is refused and discarded, the next one removes the job.
  m_outcome = AppendOutcome::NotDone;
  answerAppends();
  ASSERT_TRUE(Again->has_value());
  EXPECT_EQ((*Again)->m_verdict, Verdict::Unavailable);
  m_outcome.reset();
  const auto Later = submit("a", jobOf({step(1, 1)}));
  m_outcome = AppendOutcome::NotDone;
  pass(500);
  ASSERT_TRUE(Later->has_value());
  EXPECT_EQ((*Later)->m_verdict, Verdict::Unavailable);
  m_outcome = AppendOutcome::Done;
  pass(500);
  restartLeader();
  EXPECT_EQ(m_leader->jobs().count("a"), 0u);
}

// The cancelling of a job whose submission was refused waited for the next
// batch and then counted as done, also if the job had been submitted again.
TEST_F(LeaderTest, CancellingARefusedSubmissionFindsNoJob) {
  addAgent("w");
  m_outcome.reset();
  const auto Refused = submit("a", jobOf({step(1, 1)}));
  const auto Cancelled = ask(request(CallerRequestKind::Cancel, "a"));
  m_outcome = AppendOutcome::NotDone;
  answerAppends();
  ASSERT_TRUE(Refused->has_value());
  EXPECT_EQ((*Refused)->m_verdict, Verdict::Unavailable);
  submit("a", jobOf({step(1, 1)}));
  m_outcome = AppendOutcome::Done;
  pass(500);
  ASSERT_TRUE(Cancelled->has_value());
  EXPECT_EQ((*Cancelled)->m_verdict, Verdict::Gone);
}

// An end of a job whose record this version cannot read was acknowledged, and
// its run stopped. A version that can read the record would run the task again.
TEST_F(LeaderTest, EndsOfAJobWithAnUnreadableRecordAreNotAcknowledged) {
  addAgent("w");
  submit("a", jobOf({step(2, 1)}));
  pass(500);
  ASSERT_EQ(m_starts.size(), 2u);
  const std::string State = std::exchange(m_stored["state/a"], "{");
  EXPECT_FALSE(load().ok());
  end("w", "a.0.0.0", EndKind::Done);
  pass(2000);
  EXPECT_TRUE(m_agents["w"].m_acknowledged.empty());
  EXPECT_TRUE(m_agents["w"].m_stops.empty());
  m_stored["state/a"] = State;
  restartLeader();
  end("w", "a.0.0.1", EndKind::Done);
  pass(2000);
  EXPECT_EQ(phaseOf("a"), JobPhase::Done);
  EXPECT_EQ(m_starts["a.0.0.0"], 1);
}

// A repeated submission was answered with an end that was not stored and that
// the next leader did not know (restart simulation, seed 9).
TEST_F(LeaderTest, ARepeatedSubmissionShowsAnEndOnlyOnceItIsStored) {
  startTaskOn("w", 500);
  end("w", "a.0.0.0", EndKind::Done);
  m_outcome.reset();
  report("w");
  const auto Before = submit("a", jobOf({step(1, 1)}));
  ASSERT_TRUE(Before->has_value());
  EXPECT_NE((*Before)->m_phase, JobPhase::Done);
  m_outcome = AppendOutcome::Done;
  pass(200);
  EXPECT_EQ((*submit("a", jobOf({step(1, 1)})))->m_phase, JobPhase::Done);
}

TEST_F(LeaderTest, FailsAJobAfterItsAttempts) {
  startTaskOn("w", 300);
  end("w", "a.0.0.0", EndKind::Failed);
  pass(4000);
  ASSERT_EQ(m_starts["a.0.0.0"], 2);
  end("w", "a.0.0.0", EndKind::Failed);
  pass(4000);
  EXPECT_EQ(m_starts["a.0.0.0"], 2);
  EXPECT_EQ(phaseOf("a"), JobPhase::Failed);
}

TEST_F(LeaderTest, ACancelledJobStopsAndStartsNoMore) {
  addAgent("w");
  submit("a", jobOf({step(9, 1)}));
  pass(300);
  const auto Reply = ask(request(CallerRequestKind::Cancel, "a"));
  EXPECT_EQ((*Reply)->m_verdict, Verdict::Ok);
  pass(1000);
  EXPECT_EQ(m_agents["w"].m_runs.size(), 0u);
  EXPECT_EQ(m_starts.size(), 8u);
}

TEST_F(LeaderTest, AGangIsDoneWhenOneMemberReportsDone) {
  startGang(300);
  ASSERT_EQ(m_starts.size(), 2u);
  end("v", m_agents["v"].m_runs.begin()->first, EndKind::Done);
  pass(100);
  EXPECT_EQ(phaseOf("a"), JobPhase::Done);
  // The other member ends on its own; nothing stops it.
  EXPECT_TRUE(m_agents["w"].m_stops.empty());
}

TEST_F(LeaderTest, AGangRunsAgainOnlyWhenAllMembersHaveEnded) {
  startGang(300);
  m_stopsWork = false;
  end("v", m_agents["v"].m_runs.begin()->first, EndKind::Failed);
  pass(1000);
  EXPECT_EQ(m_starts["a.0.0.0"] + m_starts["a.0.0.1"], 2);
  end("w", m_agents["w"].m_runs.begin()->first, EndKind::Broken);
  pass(1000);
  EXPECT_EQ(m_starts["a.0.0.0"], 2);
  EXPECT_EQ(m_starts["a.0.0.1"], 2);
}

// A new leader did not know that the rest of a gang was being stopped because
// one member had ended. The gang did not run again while the others went on.
TEST_F(LeaderTest, ANewLeaderStopsTheRestOfAGangThatLostAMember) {
  addAgent("v");
  addAgent("w");
  Step S = step(2, 8);
  S.m_gang = true;
  submit("a", jobOf({S}));
  pass(300);
  m_stopsWork = false;
  end("v", m_agents["v"].m_runs.begin()->first, EndKind::Failed);
  pass(300);
  ASSERT_EQ(m_agents["w"].m_stops.size(), 1u);
  m_stopsWork = true;
  restartLeader();
  pass(1000);
  EXPECT_EQ(m_starts["a.0.0.0"], 2);
  EXPECT_EQ(m_starts["a.0.0.1"], 2);
}

TEST_F(LeaderTest, ARunOfASilentAgentIsStartedElsewhereOnlyAfterItsLease) {
  startTaskOn("v", 300);
  m_alive.clear();
  addAgent("w");
  const Timing T;
  pass(T.m_autonomyMs + T.m_leaseMs);
  EXPECT_EQ(m_starts["a.0.0.0"], 1);
  pass(2000);
  EXPECT_EQ(m_starts["a.0.0.0"], 2);
}

TEST_F(LeaderTest, ANewLeaderKeepsRunsThatGoOn) {
  startTaskOn("w", 300);
  makeLeader();
  pass(15000);
  EXPECT_EQ(m_starts["a.0.0.0"], 1);
  end("w", "a.0.0.0", EndKind::Done);
  pass(100);
  EXPECT_EQ(phaseOf("a"), JobPhase::Done);
}

TEST_F(LeaderTest, ARestartedWorkerHasLostItsRuns) {
  startTaskOn("w", 300);
  m_agents["w"].m_workerIncarnation = "w@2";
  m_agents["w"].m_runs.clear();
  pass(300);
  EXPECT_EQ(m_starts["a.0.0.0"], 2);
}

TEST_F(LeaderTest, ARunStartedInTheNextWorkerIncarnationIsAdopted) {
  startTaskOn("w", 300);
  m_agents["w"].m_workerIncarnation = "w@2";
  pass(1000);
  EXPECT_EQ(m_starts["a.0.0.0"], 1);
  EXPECT_TRUE(m_agents["w"].m_stops.empty());
}

// Guards against a task that runs twice: a start order of an earlier agent
// process is carried out by the worker's next incarnation after the leader has
// counted the run as lost (restart simulation, seed 1590).
TEST_F(LeaderTest, ARunOfARestartedWorkerIsLostOnlyOnceTheWorkerIsFenced) {
  startTaskOn("w", 300);
  m_agents["w"].m_workerSilent = true;
  restartAgent("w");
  m_agents["w"].m_workerIncarnation = "w@2";
  const auto LateRuns = std::exchange(m_agents["w"].m_runs, {});
  addAgent("x");
  pass(1000);
  EXPECT_EQ(m_starts["a.0.0.0"], 1);
  m_agents["w"].m_runs = LateRuns;
  pass(1000);
  EXPECT_EQ(m_starts["a.0.0.0"], 1);
  EXPECT_TRUE(m_agents["w"].m_stops.empty());
  m_agents["w"].m_workerSilent = false;
  pass(1000);
  EXPECT_EQ(m_starts["a.0.0.0"], 1);
}

// Guards against a task that never runs again: its worker has restarted, but
// its agent never confirms a fence, as one of an earlier version.
TEST_F(LeaderTest, ARunOfARestartedWorkerIsLostOnceLateOrdersAreVoid) {
  startTaskOn("w", 300);
  m_agents["w"].m_workerSilent = true;
  m_agents["w"].m_workerIncarnation = "w@2";
  m_agents["w"].m_runs.clear();
  pass(LateOrderMs - 500);
  EXPECT_EQ(m_starts["a.0.0.0"], 1);
  pass(1000);
  EXPECT_EQ(m_starts["a.0.0.0"], 2);
}

// A late start order of the earlier incarnation brought the next one over its
// capacity: other work had been placed there before the worker was fenced.
TEST_F(LeaderTest, ARestartedWorkerKeepsRoomForARunThatMayStillStart) {
  addAgent("w");
  submit("a", jobOf({step(1, 8)}));
  pass(300);
  ASSERT_EQ(m_starts["a.0.0.0"], 1);
  m_agents["w"].m_workerSilent = true;
  m_agents["w"].m_workerIncarnation = "w@2";
  const auto LateRuns = std::exchange(m_agents["w"].m_runs, {});
  submit("b", jobOf({step(1, 8)}));
  pass(1000);
  EXPECT_EQ(m_starts["b.0.0.0"], 0);
  m_agents["w"].m_runs.insert(LateRuns.begin(), LateRuns.end());
  pass(1000);
  EXPECT_EQ(m_starts["b.0.0.0"], 0);
  end("w", "a.0.0.0", EndKind::Done);
  pass(500);
  EXPECT_EQ(m_starts["b.0.0.0"], 1);
}

// The same for the number of tasks of a step that a worker may run.
TEST_F(LeaderTest, ARunThatMayStillStartCountsAsOneOfItsStepOnTheWorker) {
  addAgent("w");
  Step S = step(2, 1);
  S.m_perWorker = 1;
  submit("a", jobOf({S}));
  pass(300);
  ASSERT_EQ(m_starts.size(), 1u);
  m_agents["w"].m_workerSilent = true;
  m_agents["w"].m_workerIncarnation = "w@2";
  m_agents["w"].m_runs.clear();
  pass(1000);
  EXPECT_EQ(m_starts.size(), 1u);
  m_agents["w"].m_workerSilent = false;
  pass(1000);
  EXPECT_EQ(m_starts["a.0.0.0"] + m_starts["a.0.0.1"], 2);
}

// A run of a restarted worker counted as lost with the lease of a silent agent,
// although a late start order may still be carried out by the new incarnation,
// which then grants the run a lease of its own.
TEST_F(LeaderTest,
       ARunOfARestartedWorkerWithASilentAgentIsNotLostWithItsLease) {
  addAgent("w");
  submit("a", jobOf({step(1, 1)}));
  pass(300);
  m_agents["w"].m_workerSilent = true;
  m_agents["w"].m_workerIncarnation = "w@2";
  const auto LateRuns = std::exchange(m_agents["w"].m_runs, {});
  report("w");
  m_alive.clear();
  addAgent("x");
  const Timing T;
  pass(T.m_autonomyMs + T.m_leaseMs + 1500);
  EXPECT_EQ(m_starts["a.0.0.0"], 1);
  m_agents["w"].m_runs = LateRuns;
  m_alive.emplace_back("w");
  pass(LateOrderMs);
  EXPECT_EQ(m_starts["a.0.0.0"], 1);
  EXPECT_TRUE(m_agents["w"].m_stops.empty());
}

TEST_F(LeaderTest, ARunOfARestartedWorkerWithASilentAgentIsLostInTheEnd) {
  addAgent("w");
  submit("a", jobOf({step(1, 1)}));
  pass(300);
  m_agents["w"].m_workerSilent = true;
  m_agents["w"].m_workerIncarnation = "w@2";
  m_agents["w"].m_runs.clear();
  report("w");
  m_alive.clear();
  addAgent("x");
  pass(LateOrderMs + 500);
  EXPECT_EQ(m_starts["a.0.0.0"], 2);
}

TEST_F(LeaderTest, RenewsTheFenceForEachAgentProcessAndWorkerIncarnation) {
  addAgent("w");
  const std::uint64_t First = m_agents["w"].m_fence;
  EXPECT_GT(First, 0u);
  pass(500);
  EXPECT_EQ(m_agents["w"].m_fence, First);
  m_agents["w"].m_workerIncarnation = "w@2";
  pass(500);
  const std::uint64_t Second = m_agents["w"].m_fence;
  EXPECT_GT(Second, First);
  restartAgent("w");
  pass(500);
  const std::uint64_t Third = m_agents["w"].m_fence;
  EXPECT_GT(Third, Second);
  makeLeader();
  pass(500);
  EXPECT_GT(m_agents["w"].m_fence, Third);
}

// Guards against a log that claims an acknowledgement which no agent has taken.
TEST_F(LeaderTest, LogsAnAcknowledgementOnlyWhileConfirmed) {
  const auto Acknowledged = [&] {
    return std::count(m_events.begin(), m_events.end(), "endAcknowledged");
  };
  startTaskOn("w", 500);
  end("w", "a.0.0.0", EndKind::Done);
  m_now += Timing{}.m_confirmMs + 1;
  report("w");
  report("w");
  EXPECT_EQ(Acknowledged(), 0);
  pass(200);
  EXPECT_EQ(Acknowledged(), 1);
}

// A leader that had never seen the earlier incarnation declared the run lost
// and started it elsewhere (restart simulation, seeds 332 and 662).
TEST_F(LeaderTest, ANewLeaderAdoptsARunOfTheNextWorkerIncarnation) {
  startTaskOn("w", 300);
  m_agents["w"].m_workerIncarnation = "w@2";
  makeLeader();
  pass(1000);
  EXPECT_EQ(m_starts["a.0.0.0"], 1);
  EXPECT_TRUE(m_agents["w"].m_stops.empty());
}

// The end of such a run was acknowledged without effect, and the task started
// again although it was done (restart simulation, seed 165).
TEST_F(LeaderTest, ANewLeaderTakesTheEndOfARunOfTheNextWorkerIncarnation) {
  startTaskOn("w", 300);
  m_agents["w"].m_workerIncarnation = "w@2";
  end("w", "a.0.0.0", EndKind::Done);
  makeLeader();
  pass(1000);
  EXPECT_EQ(m_starts["a.0.0.0"], 1);
  EXPECT_EQ(phaseOf("a"), JobPhase::Done);
}

// The run of an order for the previous incarnation was over before the leader
// heard of the new one. It counted as lost, and the task ran again.
TEST_F(LeaderTest, ARunThatEndedInTheNextWorkerIncarnationIsNotStartedAgain) {
  startTaskOn("w", 300);
  ASSERT_EQ(m_starts["a.0.0.0"], 1);
  m_agents["w"].m_workerIncarnation = "w@2";
  end("w", "a.0.0.0", EndKind::Done);
  pass(1000);
  EXPECT_EQ(m_starts["a.0.0.0"], 1);
  EXPECT_EQ(phaseOf("a"), JobPhase::Done);
}

// An agent that had been restarted reported without having heard from its
// worker, which was gone for good. Its runs were never counted as lost.
TEST_F(LeaderTest,
       RunsOfAnAgentWithoutAWorkerAreStartedElsewhereAfterTheirLease) {
  startTaskOn("w", 500);
  ASSERT_EQ(m_starts["a.0.0.0"], 1);
  m_alive.clear();
  addAgent("x");
  const Timing T;
  for (Millis Passed = 0; Passed < T.m_autonomyMs + T.m_leaseMs;
       Passed += 500) {
    restartAgent("w");
    pass(500);
  }
  EXPECT_EQ(m_starts["a.0.0.0"], 1);
  for (Millis Passed = 0; Passed < 3000; Passed += 500) {
    restartAgent("w");
    pass(500);
  }
  EXPECT_EQ(m_starts["a.0.0.0"], 2);
}

// A busy leader read reports late, by minutes of work, and out of order. A
// report from before a worker's restart made it give up the runs of the current
// incarnation, which then ran twice.
TEST_F(LeaderTest, ALateReportOfAnEarlierWorkerIncarnationIsIgnored) {
  addAgent("w");
  AgentReport Late;
  Late.m_agent = "w";
  Late.m_incarnation = 5;
  Late.m_sequence = 1000;
  WorkerInfo W;
  W.m_id = "w";
  W.m_workerIncarnation = "w@1";
  W.m_startTime = 1;
  W.m_service = "s";
  W.m_capacity = {16000, 10000, 8};
  W.m_draining = true;
  Late.m_worker = W;
  m_agents["w"].m_workerIncarnation = "w@2";
  m_agents["w"].m_startTime = 2;
  m_agents["w"].m_incarnation = 6;
  report("w");
  submit("a", jobOf({step(1, 1)}));
  pass(300);
  ASSERT_EQ(m_starts["a.0.0.0"], 1);
  m_leader->report(Late, m_now, wallNow(), [](const AgentReply &) {});
  Late.m_incarnation = 6;
  Late.m_sequence = 100000;
  m_leader->report(Late, m_now, wallNow(), [](const AgentReply &) {});
  m_alive.clear();
  addAgent("v");
  pass(1000);
  EXPECT_EQ(m_starts["a.0.0.0"], 1);
}

// The reply to a report that the leader had ignored let the agent grant leases
// that the leader did not count. A run could then count as lost before its
// lease had ended. Such reports come from an agent that was restarted after the
// clock of its machine was set back.
TEST_F(LeaderTest, AReportThatIsIgnoredPermitsNoLeases) {
  m_agents["w"].m_incarnation = 5;
  addAgent("w");
  pass(100);
  m_alive.clear();
  AgentReport R;
  R.m_agent = "w";
  R.m_incarnation = 4;
  R.m_worker.emplace();
  R.m_worker->m_id = "w";
  R.m_worker->m_workerIncarnation = "w@1";
  R.m_worker->m_startTime = 1;
  R.m_worker->m_service = "s";
  R.m_worker->m_capacity = {16000, 10000, 8};
  std::vector<AgentReply> Replies;
  const auto Report = [&] {
    ++R.m_sequence;
    m_leader->report(R, m_now, wallNow(), [&Replies](const AgentReply &Reply) {
      Replies.push_back(Reply);
    });
    pass(100);
  };
  Report();
  ASSERT_EQ(Replies.size(), 1u);
  EXPECT_FALSE(Replies.back().m_leads);
  pass(Timing{}.m_silentMs);
  Report();
  ASSERT_EQ(Replies.size(), 2u);
  EXPECT_TRUE(Replies.back().m_leads);
  // The same holds for a worker that seems to have started earlier.
  R.m_worker->m_workerIncarnation = "w@0";
  R.m_worker->m_startTime = 0;
  Report();
  ASSERT_EQ(Replies.size(), 3u);
  EXPECT_FALSE(Replies.back().m_leads);
}

TEST_F(LeaderTest, StopsRunsThatAreNotCurrent) {
  addAgent("w");
  m_agents["w"].m_runs["zz.0.0.0"] = {"zz.0.0.0", 1,  RunPhase::Running,
                                      0,          "", 0};
  pass(100);
  EXPECT_FALSE(m_agents["w"].m_stops.empty());
}

TEST_F(LeaderTest, ADrainingWorkerGetsNothingNew) {
  addAgent("w");
  m_agents["w"].m_draining = true;
  report("w");
  submit("a", jobOf({step(1, 1)}));
  pass(1000);
  EXPECT_TRUE(m_starts.empty());
}

// An unhealthy worker refuses orders at once, so it is the first to be free
// again. Each waiting task was sent to it again and again.
TEST_F(LeaderTest, AWorkerThatRefusesOrdersGetsNoneForAWhile) {
  addAgent("a");
  submit("00000000000000aa", jobOf({step(1, 1)}));
  pass(100);
  const std::string Task = "00000000000000aa.0.0.0";
  ASSERT_EQ(m_starts[Task], 1);
  end("a", Task, EndKind::NeverStarted);
  m_agents["a"].m_ends.back().m_detail = UnhealthyReason;
  pass(1000);
  EXPECT_EQ(m_starts[Task], 1);
  pass(3000);
  EXPECT_EQ(m_starts[Task], 2);
}

TEST_F(LeaderTest, OccurrencesStartWhenTheyAreDue) {
  addAgent("w");
  JobSpec S = jobOf({step(1, 1)});
  S.m_occurrenceCount = 2;
  S.m_firstMs = wallNow() + 1000;
  S.m_intervalMs = 1000;
  submit("a", S);
  pass(800);
  EXPECT_TRUE(m_starts.empty());
  pass(400);
  EXPECT_EQ(m_starts["a.0.0.0"], 1);
  pass(1000);
  EXPECT_EQ(m_starts["a.1.0.0"], 1);
}

TEST_F(LeaderTest, ASecondReadOfTheJournalGivesTheSameState) {
  addAgent("w");
  submit("a", jobOf({step(3, 1), step(2, 2)}));
  pass(500);
  end("w", "a.0.0.0", EndKind::Done);
  pass(300);
  const auto Before =
      base::dumpJson(base::encode(m_leader->jobs().at("a").m_progress));
  makeLeader();
  EXPECT_EQ(base::dumpJson(base::encode(m_leader->jobs().at("a").m_progress)),
            Before);
}

// A job whose record this version could not read was missing after the load,
// and its caller was told that the job is gone.
TEST_F(LeaderTest, AJobWhoseRecordCannotBeReadIsNeitherGoneNorSubmittedAnew) {
  m_leader = std::make_unique<Leader>(Timing{}, *this, m_counters, ++m_epoch,
                                      m_now, wallNow());
  const std::string Id = "00000000000000aa";
  EXPECT_FALSE(m_leader
                   ->load({{journalKey(SpecKey, Id), "[1,2]"},
                           {journalKey(StateKey, "00000000000000bb"), "{"}})
                   .ok());
  m_leader->confirm(m_now);
  EXPECT_EQ((*ask(request(CallerRequestKind::Query, Id)))->m_verdict,
            Verdict::Unavailable);
  EXPECT_EQ((*submit(Id, jobOf({step(1, 1)})))->m_verdict,
            Verdict::Unavailable);
  EXPECT_EQ(
      (*ask(request(CallerRequestKind::Cancel, "00000000000000bb")))->m_verdict,
      Verdict::Unavailable);
}

TEST_F(LeaderTest, KnowsThatAJobIsGoneOnlyWhileConfirmed) {
  m_now += 10000;
  const auto Reply = ask(request(CallerRequestKind::Query, "a"));
  EXPECT_EQ((*Reply)->m_verdict, Verdict::Unavailable);
  m_leader->confirm(m_now);
  const auto Sure = ask(request(CallerRequestKind::Query, "a"));
  EXPECT_EQ((*Sure)->m_verdict, Verdict::Gone);
}

// Guards against a leader that ends by lack of memory, and every next one with
// it: a job whose occurrences are all overdue got the tasks of all of them.
TEST_F(LeaderTest, OverdueOccurrencesAreAddedAsTasksEnd) {
  constexpr std::int64_t MaxOpenTasks = 2000;
  for (const Millis First : {Millis{0}, -1'000'000'000'000'000}) {
    JobSpec S = jobOf({step(250, 8)});
    S.m_firstMs = First;
    S.m_intervalMs = 1;
    S.m_occurrenceCount = 1000;
    const std::string Id = First == 0 ? "00000000000000aa" : "00000000000000bb";
    submit(Id, S);
    pass(300);
    const auto &Occurrences = m_leader->jobs().at(Id).m_progress.m_occurrences;
    EXPECT_EQ(Occurrences.size(), MaxOpenTasks / 250);
    restartLeader();
    pass(300);
    EXPECT_EQ(m_leader->jobs().at(Id).m_progress.m_occurrences.size(),
              MaxOpenTasks / 250);
    ask(request(CallerRequestKind::Cancel, Id));
  }
}

// The occurrences that wait for room are not forgotten.
TEST_F(LeaderTest, AllOverdueOccurrencesRun) {
  addAgent("w");
  JobSpec S = jobOf({step(2000, 0)});
  S.m_steps[0].m_each = {};
  S.m_intervalMs = 1;
  S.m_occurrenceCount = 3;
  const std::string Id = "00000000000000aa";
  submit(Id, S);
  for (std::size_t Round = 1; Round <= 3; ++Round) {
    pass(2000);
    EXPECT_EQ(m_leader->jobs().at(Id).m_progress.m_occurrences.size(), Round);
    const auto Runs = m_agents["w"].m_runs;
    EXPECT_EQ(Runs.size(), 2000u);
    for (const auto &[Task, Run] : Runs)
      end("w", Task, EndKind::Done);
  }
  pass(1000);
  EXPECT_EQ(phaseOf(Id), JobPhase::Done);
}

// Guards against a limit on preemptions that starts anew with each leader.
TEST_F(LeaderTest, PreemptionsAreCountedAcrossLeaders) {
  addAgent("w");
  submit("low", jobOf({step(1, 8)}), 2);
  pass(300);
  submit("urgent", jobOf({step(1, 8)}), 0);
  pass(500);
  ASSERT_EQ(m_starts["urgent.0.0.0"], 1);
  restartLeader();
  const Task &T =
      m_leader->jobs().at("low").m_progress.m_occurrences[0][0].front();
  EXPECT_EQ(T.m_preemptions, 1);
}

} // namespace
} // namespace pomelokeel::batch::tests
