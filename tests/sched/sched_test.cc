#include "sched/sched.h"

#include <gtest/gtest.h>

using namespace pomelokeel;
using namespace pomelokeel::sched;

namespace {

WorkerView worker(const std::string &Name, const std::string &Rack = "r1",
                  int Accelerators = 8) {
  WorkerView W;
  W.m_name = Name;
  W.m_rack = Rack;
  W.m_dataCentre = "milano-a";
  W.m_region = "nord-ovest";
  W.m_accelerators = Accelerators;
  W.m_slots = 8;
  W.m_cores = 32;
  W.m_memoryMb = 64000;
  return W;
}

WaitingView job(const std::string &Id, int Members, int Accelerators,
                const std::string &Account = "a") {
  WaitingView J;
  J.m_id = Id;
  J.m_spec.m_account = Account;
  J.m_spec.m_members = Members;
  J.m_spec.m_accelerators = Accelerators;
  J.m_expectedRunMs = 1000;
  return J;
}

RunningView running(const std::string &Id, const std::string &Account,
                    std::vector<model::MemberPlace> Places,
                    bool Preemptible = true) {
  RunningView R;
  R.m_id = Id;
  R.m_account = Account;
  R.m_places = std::move(Places);
  R.m_preemptible = Preemptible;
  return R;
}

Snapshot fleetOf(std::vector<WorkerView> Workers) {
  Snapshot S;
  S.m_nowMs = 100000;
  S.m_accounts = {{"a", {}}, {"b", {}}};
  S.m_workers = std::move(Workers);
  return S;
}

} // namespace

TEST(Plan, placesAGangInOneRack) {
  // Guards against gangs that cross racks although one rack has enough
  // free capacity.
  Snapshot S =
      fleetOf({worker("w1", "r1"), worker("w2", "r2"), worker("w3", "r2")});
  S.m_waiting = {job("j1", 2, 8)};
  const Plan P = plan(S);
  ASSERT_EQ(P.m_place.size(), 1U);
  EXPECT_EQ(P.m_place[0].m_places[0].m_worker, "w2");
  EXPECT_EQ(P.m_place[0].m_places[1].m_worker, "w3");
}

TEST(Plan, doesNotSpanRegions) {
  // Guards against a gang whose members lie in two regions.
  Snapshot S = fleetOf({worker("w1"), worker("w2"), worker("w3")});
  S.m_workers[1].m_region = "nord-est";
  S.m_workers[2].m_region = "sud";
  S.m_waiting = {job("j1", 2, 8)};
  const Plan P = plan(S);
  EXPECT_TRUE(P.m_place.empty());
  ASSERT_EQ(P.m_reject.size(), 1U);
  EXPECT_EQ(P.m_reject[0].m_kind, base::ErrorKind::CanNeverRun);
}

TEST(Plan, alignsBlocks) {
  // Guards against blocks that split the places of larger ones.
  Snapshot S = fleetOf({worker("w1")});
  S.m_running = {running("r1", "a", {{"w1", 0, 1}})};
  S.m_waiting = {job("j1", 1, 4)};
  const Plan P = plan(S);
  ASSERT_EQ(P.m_place.size(), 1U);
  EXPECT_EQ(P.m_place[0].m_places[0], (model::MemberPlace{"w1", 4, 4}));
}

TEST(Plan, avoidsListedAndUnplaceableWorkers) {
  // Guards against a retry on the worker that has just failed the job.
  Snapshot S = fleetOf({worker("w1"), worker("w2"), worker("w3")});
  S.m_workers[1].m_placeable = false;
  S.m_waiting = {job("j1", 1, 1)};
  S.m_waiting[0].m_avoid = {"w1"};
  const Plan P = plan(S);
  ASSERT_EQ(P.m_place.size(), 1U);
  EXPECT_EQ(P.m_place[0].m_places[0].m_worker, "w3");
}

TEST(Plan, takesUrgentJobsFirst) {
  // Guards against urgent jobs that wait behind batch jobs submitted earlier.
  Snapshot S = fleetOf({worker("w1")});
  S.m_waiting = {job("batch", 1, 8), job("urgent", 1, 8)};
  S.m_waiting[1].m_urgent = true;
  const Plan P = plan(S);
  ASSERT_EQ(P.m_place.size(), 1U);
  EXPECT_EQ(P.m_place[0].m_job, "urgent");
  ASSERT_EQ(P.m_wait.size(), 1U);
  EXPECT_EQ(P.m_wait[0].m_job, "batch");
}

TEST(Plan, rejectsJobsWhoseDeadlineHasPassed) {
  // Guards against a job that starts after its caller gave up.
  Snapshot S = fleetOf({worker("w1")});
  S.m_waiting = {job("j1", 1, 1)};
  S.m_waiting[0].m_spec.m_deadlineMs = 99999;
  EXPECT_EQ(plan(S).m_reject.size(), 1U);
  S.m_waiting[0].m_spec.m_deadlineMs = 100000;
  EXPECT_EQ(plan(S).m_place.size(), 1U);
}

TEST(Plan, keepsQuotas) {
  // Guards against an account that takes more than its quota in one pass.
  Snapshot S = fleetOf({worker("w1")});
  S.m_accounts[0].m_maxAccelerators = 4;
  S.m_waiting = {job("j1", 1, 3), job("j2", 1, 2), job("j3", 1, 5)};
  const Plan P = plan(S);
  EXPECT_EQ(P.m_place.size(), 1U);
  EXPECT_EQ(P.m_wait.size(), 1U);
  EXPECT_EQ(P.m_reject.size(), 1U);
}

TEST(Plan, givesOneJobToAWorkerOnProbation) {
  // Guards against a suspect worker that fails several jobs at once.
  Snapshot S = fleetOf({worker("w1")});
  S.m_workers[0].m_onProbation = true;
  S.m_waiting = {job("j1", 1, 1), job("j2", 1, 1)};
  EXPECT_EQ(plan(S).m_place.size(), 1U);
}

TEST(Plan, refusesAPlacementThatBreaksAGuarantee) {
  // Guards against jobs that cannot be preempted on guaranteed accelerators.
  Snapshot S = fleetOf({worker("w1"), worker("w2")});
  S.m_accounts[1].m_guarantee = {{8, 2}};
  S.m_waiting = {job("j1", 1, 1)};
  S.m_waiting[0].m_preemptible = false;
  EXPECT_TRUE(plan(S).m_place.empty());
  S.m_waiting[0].m_preemptible = true;
  EXPECT_EQ(plan(S).m_place.size(), 1U);
}

TEST(CheckGuarantees, countsJobsOfOthersThatCannotBePreempted) {
  // Guards against guarantees that count accelerators which cannot be
  // reclaimed.
  const Snapshot S = fleetOf({worker("w1"), worker("w2")});
  const std::vector<model::Account> Accounts = {{"a", {}}, {"b", {{8, 2}}}};
  const auto Place = std::vector<model::MemberPlace>{{"w1", 0, 1}};
  EXPECT_TRUE(checkGuarantees(Accounts, S.m_workers, {}).m_shortfalls.empty());
  EXPECT_EQ(checkGuarantees(Accounts, S.m_workers, {}).m_blocks.size(), 2U);
  EXPECT_TRUE(
      checkGuarantees(Accounts, S.m_workers, {running("r", "b", Place, false)})
          .m_shortfalls.empty());
  EXPECT_TRUE(
      checkGuarantees(Accounts, S.m_workers, {running("r", "a", Place, true)})
          .m_shortfalls.empty());
  const auto Short =
      checkGuarantees(Accounts, S.m_workers, {running("r", "a", Place, false)})
          .m_shortfalls;
  ASSERT_EQ(Short.size(), 1U);
  EXPECT_EQ(Short[0].m_account, "b");
  EXPECT_EQ(Short[0].m_missingBlocks, 1);
}

TEST(CheckGuarantees, givesWholeWorkersOfOneRack) {
  // Guards against a large block that is scattered across racks.
  const std::vector<model::Account> Accounts = {{"a", {{16, 1}}}};
  EXPECT_FALSE(
      checkGuarantees(Accounts, {worker("w1", "r1"), worker("w2", "r2")}, {})
          .m_shortfalls.empty());
  EXPECT_TRUE(
      checkGuarantees(Accounts, {worker("w1", "r1"), worker("w2", "r1")}, {})
          .m_shortfalls.empty());
}

TEST(RunTimeEstimates, learnsAndStaysInBounds) {
  // Guards against a single outlier that makes all later estimates useless.
  RunTimeEstimates E;
  EXPECT_EQ(E.estimate("c", "a", 1000), 1000);
  E.learn("c", "a", 1000, 1000000);
  EXPECT_EQ(E.estimate("c", "a", 1000), 8000);
  for (int I = 0; I < 40; ++I)
    E.learn("c", "a", 1000, 1);
  EXPECT_NEAR(static_cast<double>(E.estimate("c", "a", 1000)), 125, 2);
  EXPECT_EQ(E.estimate("c", "other", 1000), 1000);
}

TEST(RunTimeEstimates, trustsLongDeclarationsLess) {
  // Guards against estimates that rely on a declared time far from all earlier
  // runs of the class, and against estimates that ignore declared times that
  // were accurate.
  RunTimeEstimates E;
  for (int I = 0; I < 40; ++I) {
    E.learn("alike", "a", 1000, 2000);
    E.learn("alike", "a", 4000, 2000);
    E.learn("true", "a", 1000, 1000);
    E.learn("true", "a", 4000, 4000);
  }
  EXPECT_NEAR(static_cast<double>(E.estimate("alike", "a", 1000)), 2000, 200);
  EXPECT_NEAR(static_cast<double>(E.estimate("alike", "a", 4000)), 2000, 200);
  EXPECT_EQ(E.estimate("true", "a", 4000), 4000);
  EXPECT_EQ(E.estimate("alike", "a", 1000000), 125000);
}

TEST(FailureTracker, quarantinesAWorkerThatFailsDifferentJobs) {
  // Guards against a broken worker on which every queued job is placed and
  // fails.
  FailureTracker T;
  EXPECT_FALSE(T.record("w1", "j1", true, 0).m_quarantine);
  EXPECT_FALSE(T.record("w1", "j1", true, 0).m_quarantine);
  EXPECT_FALSE(T.record("w1", "j2", true, 0).m_quarantine);
  const auto V = T.record("w1", "j3", true, 0);
  EXPECT_TRUE(V.m_quarantine);
  EXPECT_GT(V.m_untilMs, 0);
  EXPECT_TRUE(T.isWorkerFault("w1", "j1"));
  EXPECT_FALSE(T.isWorkerFault("w2", "j1"));
  const auto Again = T.record("w1", "j4", true, 0);
  EXPECT_TRUE(Again.m_quarantine);
  EXPECT_GT(Again.m_untilMs, V.m_untilMs);
}

TEST(FailureTracker, doesNotBlameWorkersForABadJob) {
  // Guards against one broken job that quarantines every worker.
  FailureTracker T;
  for (const std::string Worker : {"w1", "w2", "w3", "w4"})
    EXPECT_FALSE(T.record(Worker, "bad", true, 0).m_quarantine);
  for (const std::string Worker : {"w2", "w3", "w4"}) {
    EXPECT_FALSE(T.record(Worker, "x" + Worker, true, 0).m_quarantine);
    EXPECT_FALSE(T.record(Worker, "y" + Worker, true, 0).m_quarantine);
  }
}

TEST(FailureTracker, forgetsFailuresAfterASuccess) {
  // Guards against a quarantine from failures that are far apart.
  FailureTracker T;
  T.record("w1", "j1", true, 0);
  T.record("w1", "j2", true, 0);
  T.record("w1", "j5", false, 0);
  EXPECT_FALSE(T.record("w1", "j3", true, 0).m_quarantine);
}

TEST(RetryBackoff, doublesUpToACap) {
  // Guards against overflow and against waits of days.
  model::JobClass C;
  C.m_backoffMs = 1000;
  EXPECT_EQ(retryBackoff(C, 0), 0);
  EXPECT_EQ(retryBackoff(C, 1), 1000);
  EXPECT_EQ(retryBackoff(C, 3), 4000);
  EXPECT_EQ(retryBackoff(C, 1000), 300000);
}
