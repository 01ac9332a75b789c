#include "batch/overload.h"
#include "leader_fixture.h"

#include <gtest/gtest.h>

#include <cmath>
#include <string>
#include <utility>
#include <vector>

namespace pomelokeel::batch::tests {
namespace {

JobSpec spec(const std::string &Id, int Priority, std::vector<Step> Steps,
             const std::string &Account = "acc") {
  JobSpec S;
  S.m_id = Id;
  S.m_account = Account;
  S.m_queue.m_name = "q" + std::to_string(Priority);
  S.m_queue.m_service = "s";
  S.m_queue.m_priority = Priority;
  S.m_queue.m_stretch = 2;
  S.m_steps = std::move(Steps);
  return S;
}

Step stepOf(std::int64_t Count, const Resources &Each, Millis EstimateMs) {
  Step S;
  S.m_count = Count;
  S.m_each = Each;
  S.m_estimateMs = EstimateMs;
  return S;
}

/// Four workers with 64 cores, 256 GB and 8 accelerators each, and waiting
/// jobs.
class AdmissionTest : public testing::Test {
protected:
  static constexpr Millis Now = 50000;
  static constexpr Millis WallNow = 1000000;

  AdmissionTest() {
    for (int I = 0; I < 4; ++I) {
      CandidateWorker W;
      W.m_agent = "w" + std::to_string(I);
      W.m_service = "s";
      W.m_capacity = {64000, 256000, 8};
      m_workers.push_back(W);
    }
  }

  void addWaiting(JobSpec S) {
    JobState J;
    S.m_acceptedMs = WallNow;
    J.m_progress.m_occurrences = {makeOccurrence(S)};
    J.m_spec = std::move(S);
    m_jobs[J.m_spec.m_id] = std::move(J);
  }

  // Accelerator work that keeps the fleet busy for the given time.
  void addBacklog(const std::string &Id, int Priority, Millis Ms,
                  const std::string &Account = "acc") {
    addWaiting(
        spec(Id, Priority, {stepOf(Ms / 500, {1000, 100, 8}, 2000)}, Account));
  }

  Admittance decide(JobSpec S) {
    S.m_acceptedMs = WallNow;
    return Admission("s", openJobs(m_jobs), m_workers, m_guarantees, m_learned,
                     Now, WallNow)
        .decide(S, Now);
  }

  JobTable m_jobs;
  std::vector<CandidateWorker> m_workers;
  Guarantees m_guarantees;
  Experience m_learned;
};

TEST(OverloadCost, AResultIsOfUseUntilThreeTimesTheObjective) {
  JobSpec S = spec("a", 1, {stepOf(1, {1000, 100, 0}, 1000)});
  S.m_queue.m_slackMs = 500;
  EXPECT_EQ(objectiveOf(S).m_onTimeMs, 2500);
  EXPECT_EQ(objectiveOf(S).m_limitMs, 7500);
  EXPECT_EQ(lossAt(S, 2500), 0);
  EXPECT_GT(lossAt(S, 7500), 0);
  EXPECT_GT(lossAt(S, 7501), lossAt(S, 7500));
  // It cannot become worse any more.
  EXPECT_EQ(costOfDelay(S, 8000, 10000), 0);
  JobSpec Urgent = S;
  Urgent.m_queue.m_priority = 0;
  EXPECT_GT(costOfDelay(Urgent, 2000, 10000), costOfDelay(S, 2000, 10000));
}

// A conversion of an objective beyond the range of an integer is undefined.
TEST(OverloadCost, AnObjectiveOfAnyStretchIsANumber) {
  for (const double Stretch : {1e300, -1.0, std::nan("")}) {
    JobSpec S = spec("a", 1, {stepOf(1, {1000, 100, 0}, 1000)});
    S.m_queue.m_stretch = Stretch;
    EXPECT_GE(objectiveOf(S).m_limitMs, objectiveOf(S).m_onTimeMs);
  }
}

TEST_F(AdmissionTest, AcceptsWhenThereIsNoWorkAhead) {
  // It needs all accelerators for longer than its limit, alone.
  EXPECT_TRUE(
      decide(spec("a", 2, {stepOf(400, {1000, 100, 1}, 1000)})).m_accepted);
}

TEST_F(AdmissionTest, RefusesBehindABacklogBeyondTheLimit) {
  const JobSpec S = spec("a", 1, {stepOf(1, {1000, 100, 1}, 2000)});
  addBacklog("ahead", 1, 5000);
  EXPECT_TRUE(decide(S).m_accepted);
  addBacklog("more", 0, 20000);
  const Admittance A = decide(S);
  EXPECT_FALSE(A.m_accepted);
  EXPECT_GT(A.m_backlogMs, 20000);
  // One account alone uses its fair share, and 0.8 of 12 s applies.
  EXPECT_EQ(A.m_limitMs, 9600);
  EXPECT_EQ(A.m_retryAfterMs, A.m_expectedMs - A.m_limitMs);
}

// If all callers returned when there is room for one, most would be refused
// again.
TEST(ExperienceTest, RefusedCallersReturnOneAfterTheOther) {
  Experience E;
  const JobSpec S = spec("a", 1, {stepOf(1, {1000, 100, 1}, 2000)});
  const Shares TwoSeconds = {0.1, 0.1, 2};
  EXPECT_EQ(E.returnAfter(S, TwoSeconds, 500, 10000), 1000);
  EXPECT_EQ(E.returnAfter(S, TwoSeconds, 500, 10000), 2500);
  EXPECT_EQ(E.returnAfter(S, TwoSeconds, 500, 10000), 4500);
  EXPECT_EQ(E.returnAfter(S, TwoSeconds, 500, 13000), 3500);
  // More urgent callers do not wait for others.
  JobSpec Urgent = S;
  Urgent.m_queue.m_priority = 0;
  EXPECT_EQ(E.returnAfter(Urgent, TwoSeconds, 1500, 10000), 1500);
  const Millis Far = E.returnAfter(S, TwoSeconds, 100000, 10000);
  EXPECT_GE(Far, 15000);
  EXPECT_LE(Far, 30000);
}

// Work of lower priority runs later, so it is no reason to refuse.
TEST_F(AdmissionTest, WorkOfLowerPriorityIsNotAhead) {
  addBacklog("low", 2, 60000);
  EXPECT_TRUE(
      decide(spec("a", 1, {stepOf(1, {1000, 100, 1}, 2000)})).m_accepted);
}

// A job that can no longer be of use is done last, so it keeps nobody out.
TEST_F(AdmissionTest, WorkWithoutUseIsNotAhead) {
  addBacklog("old", 1, 60000);
  m_jobs["old"].m_spec.m_acceptedMs = WallNow - 60000;
  EXPECT_TRUE(
      decide(spec("a", 1, {stepOf(1, {1000, 100, 1}, 2000)})).m_accepted);
}

// A fleet of 256 GB workers runs one task of 140 GB per worker, although two
// thirds of all memory would hold more of them.
TEST_F(AdmissionTest, CountsTasksOfWhichAWorkerHoldsOne) {
  // 40 tasks of 2 s on four workers take 20 s, by memory alone 11 s.
  addWaiting(spec("ahead", 1, {stepOf(40, {8000, 140000, 0}, 2000)}));
  EXPECT_FALSE(
      decide(spec("a", 1, {stepOf(1, {8000, 140000, 0}, 2000)})).m_accepted);
  // Small tasks fit beside them.
  EXPECT_TRUE(
      decide(spec("b", 1, {stepOf(1, {8000, 1000, 0}, 2000)})).m_accepted);
}

TEST_F(AdmissionTest, OneScarceResourceKeepsOutOnlyWhatNeedsIt) {
  addBacklog("accelerators", 1, 60000);
  EXPECT_TRUE(
      decide(spec("a", 1, {stepOf(1, {8000, 1000, 0}, 2000)})).m_accepted);
  EXPECT_FALSE(
      decide(spec("b", 1, {stepOf(1, {8000, 1000, 1}, 2000)})).m_accepted);
}

TEST_F(AdmissionTest, CountsOnlyWorkersWithTheLabel) {
  m_workers[0].m_labels = {"big"};
  Step Labelled = stepOf(10, {1000, 100, 8}, 2000);
  Labelled.m_label = "big";
  addWaiting(spec("ahead", 1, {Labelled}));
  Labelled.m_count = 1;
  EXPECT_FALSE(decide(spec("a", 1, {Labelled})).m_accepted);
  EXPECT_TRUE(
      decide(spec("b", 1, {stepOf(1, {1000, 100, 1}, 2000)})).m_accepted);
}

TEST_F(AdmissionTest, CapacityThatAcceptsNoWorkDoesNotCount) {
  addBacklog("ahead", 1, 6000);
  const JobSpec S = spec("a", 1, {stepOf(1, {1000, 100, 1}, 2000)});
  EXPECT_TRUE(decide(S).m_accepted);
  m_workers[0].m_usable = m_workers[1].m_usable = false;
  EXPECT_FALSE(decide(S).m_accepted);
}

// Workers may come, and the job waits for them as before.
TEST_F(AdmissionTest, AcceptsWhatNoPresentWorkerCouldHold) {
  addBacklog("ahead", 0, 60000);
  EXPECT_TRUE(
      decide(spec("a", 1, {stepOf(1, {1000, 100, 16}, 2000)})).m_accepted);
  Step Labelled = stepOf(1, {1000, 100, 1}, 2000);
  Labelled.m_label = "new";
  EXPECT_TRUE(decide(spec("b", 1, {Labelled})).m_accepted);
  m_workers.clear();
  EXPECT_TRUE(
      decide(spec("c", 1, {stepOf(1, {1000, 100, 1}, 2000)})).m_accepted);
}

// The guarantee is a promise; a refusal would break it.
TEST_F(AdmissionTest, NeverRefusesWithinTheGuarantee) {
  addBacklog("ahead", 0, 60000, "other");
  m_guarantees = {{"acc", 8}};
  const JobSpec S = spec("a", 0, {stepOf(2, {1000, 100, 4}, 2000)});
  EXPECT_TRUE(decide(S).m_accepted);
  // The guarantee is in use.
  addWaiting(spec("first", 0, {stepOf(1, {1000, 100, 4}, 2000)}));
  EXPECT_FALSE(decide(S).m_accepted);
  JobSpec Lower = S;
  Lower.m_queue.m_priority = 1;
  EXPECT_FALSE(decide(Lower).m_accepted);
}

TEST_F(AdmissionTest, NeverRefusesRecurringAndLongRunningJobs) {
  addBacklog("ahead", 0, 60000);
  JobSpec Recurring = spec("a", 2, {stepOf(1, {1000, 100, 1}, 2000)});
  Recurring.m_occurrenceCount = 3;
  EXPECT_TRUE(decide(Recurring).m_accepted);
  JobSpec Service = spec("b", 2, {stepOf(1, {1000, 100, 1}, 2000)});
  Service.m_steps[0].m_longRunning = true;
  EXPECT_TRUE(decide(Service).m_accepted);
}

// An account that floods the service is refused before one that uses little.
TEST_F(AdmissionTest, RefusesTheAccountThatUsesMostFirst) {
  addBacklog("flood", 1, 7500, "greedy");
  addBacklog("small", 1, 500, "modest");
  const std::vector<Step> One = {stepOf(1, {1000, 100, 1}, 2000)};
  EXPECT_FALSE(decide(spec("a", 1, One, "greedy")).m_accepted);
  EXPECT_TRUE(decide(spec("b", 1, One, "modest")).m_accepted);
  EXPECT_TRUE(decide(spec("c", 1, One, "new")).m_accepted);
}

// A wide job must not be refused because it is wide: behind the same work, one
// that needs much of the fleet is accepted where a single task is.
TEST_F(AdmissionTest, WidthIsNoReasonToRefuse) {
  addBacklog("ahead", 1, 4000);
  EXPECT_TRUE(
      decide(spec("a", 1, {stepOf(1, {1000, 100, 1}, 2000)})).m_accepted);
  EXPECT_TRUE(
      decide(spec("b", 1, {stepOf(500, {1000, 100, 1}, 2000)})).m_accepted);
}

// Declared times that are ten times too long must not lead to refusals, and
// such that are too short must lead to some.
TEST_F(AdmissionTest, LearnsTheRunTimesOfAQueue) {
  const JobSpec S = spec("a", 1, {stepOf(1, {1000, 100, 1}, 2000)});
  addBacklog("ahead", 1, 30000);
  EXPECT_FALSE(decide(S).m_accepted);
  for (int I = 0; I < 20; ++I)
    m_learned.noteRun(S, S.m_steps[0], 200);
  EXPECT_TRUE(decide(S).m_accepted);
  for (int I = 0; I < 40; ++I)
    m_learned.noteRun(S, S.m_steps[0], 20000);
  m_jobs.clear();
  addBacklog("ahead", 1, 5000);
  EXPECT_FALSE(decide(S).m_accepted);
}

TEST(ExperienceTest, OneJobMovesARatioLittle) {
  Experience E;
  const QueueRatios &R = E.m_runTimes;
  EXPECT_EQ(R.ratioOf("q1"), 1);
  const Step Wide = stepOf(500, {1000, 100, 1}, 1000);
  for (int I = 0; I < 500; ++I)
    E.noteRun(spec("a", 1, {Wide}), Wide, 1000000);
  EXPECT_GT(R.ratioOf("q1"), 1);
  EXPECT_LT(R.ratioOf("q1"), 2);
  const Step One = stepOf(1, {1000, 100, 1}, 1000);
  for (int I = 0; I < 1000; ++I)
    E.noteRun(spec("b", 1, {One}), One, 1000000);
  EXPECT_LE(R.ratioOf("q1"), 10.001);
}

// Later work of higher priority takes its part of the fleet from a job that
// waits.
TEST_F(AdmissionTest, CountsTheRateOfMoreUrgentWork) {
  addBacklog("ahead", 1, 6000);
  const JobSpec S = spec("a", 1, {stepOf(1, {1000, 100, 1}, 2000)});
  EXPECT_TRUE(decide(S).m_accepted);
  // Half of the fleet's accelerators for 60 s.
  for (Millis T = Now - 60000; T <= Now; T += 1000)
    m_learned.m_arrivals.add(0, {0, 0, 0.5}, T);
  EXPECT_NEAR(m_learned.m_arrivals.above(1, Now)[2], 0.5, 0.05);
  EXPECT_EQ(m_learned.m_arrivals.above(0, Now), Shares{});
  EXPECT_FALSE(decide(S).m_accepted);
}

// Gangs may wait several times longer than the estimate, since small tasks take
// what becomes free. Jobs that still wait count too: those of a queue that is
// never served are never done.
TEST_F(AdmissionTest, LearnsTheWaitsOfAQueue) {
  const JobSpec S = spec("a", 1, {stepOf(1, {1000, 100, 1}, 2000)});
  addBacklog("ahead", 1, 6000);
  EXPECT_TRUE(decide(S).m_accepted);
  for (int I = 0; I < 8; ++I) {
    JobState &J = m_jobs["waits" + std::to_string(I)];
    J.m_spec = S;
    J.m_spec.m_id = "waits" + std::to_string(I);
    J.m_spec.m_acceptedMs = WallNow - 9000;
    J.m_acceptedAt = Now - 9000;
    J.m_expectedMs = 3000;
    J.m_expectedWaitMs = 1000;
    J.m_progress.m_occurrences = {makeOccurrence(J.m_spec)};
  }
  EXPECT_FALSE(decide(S).m_accepted);
  JobState Done = m_jobs["waits0"];
  for (int I = 0; I < 8; ++I)
    m_jobs.erase("waits" + std::to_string(I));
  EXPECT_TRUE(decide(S).m_accepted);
  for (int I = 0; I < 10; ++I)
    m_learned.noteDone(Done, 9000);
  EXPECT_FALSE(decide(S).m_accepted);
  for (int I = 0; I < 30; ++I)
    m_learned.noteDone(Done, 2100);
  EXPECT_TRUE(decide(S).m_accepted);
}

/// A leader with the policy, and a worker with 8 accelerators that is kept
/// busy.
class LeaderAdmissionTest : public LeaderTest {
protected:
  void SetUp() override {
    LeaderTest::SetUp();
    m_leader->setPolicy(OverloadPolicy::CostAware);
    addAgent("w");
    pass(5000);
  }

  // Accepted jobs that keep the worker busy for 20 s.
  void fill() {
    for (int I = 0; I < 2; ++I) {
      Step S = step(1, 8);
      S.m_estimateMs = 10000;
      submit("full" + std::to_string(I), jobOf({S}), 0);
    }
    pass(500);
    ASSERT_TRUE(m_leader->jobs().contains("full1"));
  }

  bool journalNames(const std::string &Id) const {
    for (const auto &[Key, Value] : m_stored) {
      if (Key.find(Id) != std::string::npos)
        return true;
    }
    return false;
  }
};

TEST_F(LeaderAdmissionTest, ARefusedJobLeavesNoTraceAndNeverRuns) {
  fill();
  const auto Reply = submit("late", jobOf({step(1, 1)}));
  ASSERT_TRUE(Reply->has_value());
  EXPECT_EQ((*Reply)->m_verdict, Verdict::Overloaded);
  EXPECT_GE((*Reply)->m_retryAfterMs, 1000);
  EXPECT_FALSE(m_leader->jobs().contains("late"));
  EXPECT_FALSE(journalNames("late"));
  EXPECT_EQ(m_counters.get("jobs_refused{reason=\"room\"}"), 1);
  // Also not after a change of the leader.
  restartLeader();
  m_leader->setPolicy(OverloadPolicy::CostAware);
  pass(10000);
  EXPECT_FALSE(m_leader->jobs().contains("late"));
  EXPECT_EQ(m_starts.count("late.0.0.0"), 0u);
}

// A copy of the submission that arrives when there is room is a new
// submission.
TEST_F(LeaderAdmissionTest, ALaterCopyOfARefusedSubmissionIsAccepted) {
  fill();
  ASSERT_EQ((*submit("late", jobOf({step(1, 1)})))->m_verdict,
            Verdict::Overloaded);
  for (int I = 0; I < 2; ++I)
    ask(request(CallerRequestKind::Cancel, "full" + std::to_string(I)));
  pass(1000);
  EXPECT_EQ((*submit("late", jobOf({step(1, 1)})))->m_verdict, Verdict::Ok);
  pass(1000);
  EXPECT_EQ(m_starts["late.0.0.0"], 1);
}

// The repeat of an accepted submission is answered from the job, or the caller
// would be told that a job never runs that does.
TEST_F(LeaderAdmissionTest, ARepeatOfAnAcceptedJobIsNotRefused) {
  ASSERT_EQ((*submit("first", jobOf({step(1, 1)})))->m_verdict, Verdict::Ok);
  fill();
  EXPECT_EQ((*submit("first", jobOf({step(1, 1)})))->m_verdict, Verdict::Ok);
  ASSERT_EQ((*submit("late", jobOf({step(1, 1)})))->m_verdict,
            Verdict::Overloaded);
}

// If an earlier attempt of the same submission may still arrive, a refusal
// might be untrue.
TEST_F(LeaderAdmissionTest, ASubmissionThatMayHaveBeenTakenIsNotRefused) {
  fill();
  CallerRequest R = request(CallerRequestKind::Submit, "late");
  R.m_queue.m_priority = 1;
  R.m_spec = jobOf({step(1, 1)});
  R.m_maybeDone = true;
  EXPECT_EQ((*ask(R))->m_verdict, Verdict::Ok);
}

// A new leader has not heard from the workers yet. What it sees of the capacity
// is no reason to refuse.
TEST_F(LeaderAdmissionTest, ANewLeaderRefusesNobody) {
  fill();
  restartLeader();
  m_leader->setPolicy(OverloadPolicy::CostAware);
  pass(100);
  EXPECT_EQ((*submit("late", jobOf({step(1, 1)})))->m_verdict, Verdict::Ok);
}

// The successor of a leader that is cut off may have accepted the job. A
// refusal for lack of capacity would be passed on at once; one for lack of
// leadership names the epoch, so that attempts at a later leader stay in doubt.
TEST_F(LeaderAdmissionTest, ALeaderThatIsNotConfirmedRefusesNobodyForCapacity) {
  fill();
  m_now += m_timing.m_confirmMs;
  report("w");
  m_outcome = AppendOutcome::Unknown;
  const auto Reply = submit("late", jobOf({step(1, 1)}));
  EXPECT_EQ(m_counters.get("jobs_refused{reason=\"room\"}"), 0);
  ASSERT_TRUE(Reply->has_value());
  EXPECT_EQ((*Reply)->m_verdict, Verdict::Unavailable);
  EXPECT_EQ((*Reply)->m_unknownToEpoch, m_epoch);
}

// The deployments that do not ask for the policy are served as before.
TEST_F(LeaderAdmissionTest, ThePriorityPolicyRefusesNobody) {
  m_leader->setPolicy(OverloadPolicy::Priority);
  fill();
  EXPECT_EQ((*submit("late", jobOf({step(1, 1)})))->m_verdict, Verdict::Ok);
}

} // namespace
} // namespace pomelokeel::batch::tests
