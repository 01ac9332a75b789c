#include "sched/pass.h"

#include "sched/exhaustive.h"
#include "sched/generators.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

using namespace pomelokeel;
using namespace pomelokeel::sched;

namespace {

const WaitingView &waitingJob(const Snapshot &S, const std::string &Id) {
  return *std::find_if(S.m_waiting.begin(), S.m_waiting.end(),
                       [&](const WaitingView &J) { return J.m_id == Id; });
}

// Returns the running jobs after the placements of the plan.
std::vector<RunningView> applied(const Snapshot &S, const Plan &P) {
  std::vector<RunningView> Out = S.m_running;
  for (const PlaceJob &Placed : P.m_place) {
    const WaitingView &J = waitingJob(S, Placed.m_job);
    RunningView R;
    R.m_id = J.m_id;
    R.m_account = J.m_spec.m_account;
    R.m_preemptible = J.m_preemptible;
    R.m_places = Placed.m_places;
    R.m_cores = J.m_spec.m_cores;
    R.m_memoryMb = J.m_spec.m_memoryMb;
    Out.push_back(R);
  }
  return Out;
}

int membersOn(const WorkerView &W, const std::vector<RunningView> &Running) {
  int Count = 0;
  for (const RunningView &R : Running) {
    for (const model::MemberPlace &P : R.m_places)
      Count += P.m_worker == W.m_name ? 1 : 0;
  }
  return Count;
}

// A worker that held more members than it has slots must not get another one.
void checkWorker(const WorkerView &W, const std::vector<RunningView> &Before,
                 const std::vector<RunningView> &Running) {
  std::set<int> Used;
  const int Members = membersOn(W, Running);
  int Cores = 0;
  int Memory = 0;
  for (const RunningView &R : Running) {
    for (const model::MemberPlace &P : R.m_places) {
      if (P.m_worker != W.m_name)
        continue;
      Cores += R.m_cores;
      Memory += R.m_memoryMb;
      for (int A = 0; A < P.m_accelerators; ++A)
        RC_ASSERT(Used.insert(P.m_firstAccelerator + A).second);
    }
  }
  const int Last = Used.empty() ? -1 : *Used.rbegin();
  RC_ASSERT(Last < W.m_accelerators);
  RC_ASSERT(Members <= W.m_slots || Members == membersOn(W, Before));
  RC_ASSERT(Cores <= W.m_cores);
  RC_ASSERT(Memory <= W.m_memoryMb);
}

void checkPlacement(const Snapshot &S, const PlaceJob &Placed) {
  const WaitingView &J = waitingJob(S, Placed.m_job);
  RC_ASSERT(static_cast<int>(Placed.m_places.size()) == J.m_spec.m_members);
  std::set<std::string> Regions;
  for (const model::MemberPlace &P : Placed.m_places) {
    const auto W = std::find_if(
        S.m_workers.begin(), S.m_workers.end(),
        [&](const WorkerView &V) { return V.m_name == P.m_worker; });
    RC_ASSERT(W != S.m_workers.end());
    RC_ASSERT(W->m_placeable);
    RC_ASSERT(std::find(J.m_avoid.begin(), J.m_avoid.end(), P.m_worker) ==
              J.m_avoid.end());
    RC_ASSERT(P.m_accelerators == J.m_spec.m_accelerators);
    if (P.m_accelerators > 0)
      RC_ASSERT(P.m_firstAccelerator % detail::alignmentOf(P.m_accelerators) ==
                0);
    Regions.insert(W->m_region);
  }
  RC_ASSERT(Regions.size() == 1U);
}

int acceleratorsInUse(const std::vector<RunningView> &Running,
                      const std::string &Account) {
  int Sum = 0;
  for (const RunningView &R : Running) {
    for (const model::MemberPlace &P : R.m_places)
      Sum += R.m_account == Account ? P.m_accelerators : 0;
  }
  return Sum;
}

} // namespace

RC_GTEST_PROP(Pass, placesWithinEveryLimit, ()) {
  // Guards against overlaps, workers that get more than they have, partial
  // gangs, gangs across regions and accounts beyond their quota.
  const Snapshot S = pickSnapshot(8, 2, 10, 12);
  const Plan P = plan(S);
  const auto After = applied(S, P);
  for (const PlaceJob &Placed : P.m_place)
    checkPlacement(S, Placed);
  for (const WorkerView &W : S.m_workers) {
    checkWorker(W, S.m_running, After);
    const int Now = membersOn(W, After);
    if (W.m_onProbation && Now > membersOn(W, S.m_running))
      RC_ASSERT(Now == 1);
  }
  for (const model::Account &A : S.m_accounts) {
    const int Before = acceleratorsInUse(S.m_running, A.m_name);
    const int Now = acceleratorsInUse(After, A.m_name);
    if (A.m_maxAccelerators > 0 && Now > Before)
      RC_ASSERT(Now <= A.m_maxAccelerators);
  }
}

RC_GTEST_PROP(Pass, keepsGuarantees, ()) {
  // Guards against a placement after which a guarantee can no longer be met.
  for (int I = 0; I < SnapshotsPerCase; ++I) {
    const Snapshot S = pickSnapshot(4, 2, 6, 6);
    if (!ExhaustiveSearch(S.m_accounts, S.m_workers, S.m_running).feasible())
      continue;
    const auto After = applied(S, plan(S));
    RC_ASSERT(ExhaustiveSearch(S.m_accounts, S.m_workers, After).feasible());
  }
}

RC_GTEST_PROP(Pass, accountsForEveryWaitingJob, ()) {
  // Guards against jobs that a pass leaves out: each one must be placed,
  // rejected or get a reason to wait.
  const Snapshot S = pickSnapshot(8, 2, 10, 12);
  const Plan P = plan(S, 3);
  RC_ASSERT(P.m_place.size() <= 3U);
  std::multiset<std::string> Seen;
  for (const PlaceJob &J : P.m_place)
    Seen.insert(J.m_job);
  for (const RejectJob &J : P.m_reject)
    Seen.insert(J.m_job);
  for (const WaitReason &J : P.m_wait) {
    RC_ASSERT(!J.m_reason.empty());
    Seen.insert(J.m_job);
  }
  RC_ASSERT(Seen.size() == S.m_waiting.size());
  for (const WaitingView &J : S.m_waiting)
    RC_ASSERT(Seen.count(J.m_id) == 1U);
}

namespace {

// Checks the reclaims of one plan and returns their number.
std::size_t checkReclaims(const Snapshot &S) {
  const Plan P = plan(S);
  const detail::Fleet F(S.m_accounts, S.m_workers, S.m_running);
  const detail::ReservedBlocks Blocks(
      detail::assignBlocks(S.m_accounts, F, detail::FullSearchTries), F);
  for (const ReclaimJob &R : P.m_reclaim) {
    const auto At =
        std::find_if(S.m_running.begin(), S.m_running.end(),
                     [&](const RunningView &V) { return V.m_id == R.m_job; });
    const auto Index =
        static_cast<std::size_t>(std::distance(S.m_running.begin(), At));
    RC_ASSERT(At->m_preemptible);
    RC_ASSERT(At->m_account != waitingJob(S, R.m_forJob).m_spec.m_account);
    RC_ASSERT(!Blocks.isInsideOwnBlocks(F.m_holdings[Index]));
  }
  return P.m_reclaim.size();
}

} // namespace

RC_GTEST_PROP(Pass, reclaimsOnlyJobsOnBorrowedAccelerators, ()) {
  // Guards against preemption of jobs that are not preemptible, belong to the
  // same account, or lie in their own account's blocks.
  std::size_t Reclaims = 0;
  for (int I = 0; I < SnapshotsPerCase; ++I)
    Reclaims += checkReclaims(pickSnapshot(3, 3, 24, 8));
  RC_CLASSIFY(Reclaims > 0);
}

namespace {

WorkerView worker(const std::string &Name) {
  WorkerView W;
  W.m_name = Name;
  W.m_accelerators = 8;
  W.m_slots = 8;
  W.m_cores = 32;
  W.m_memoryMb = 64000;
  return W;
}

RunningView running(const std::string &Id, const std::string &Account,
                    std::vector<model::MemberPlace> Places) {
  RunningView R;
  R.m_id = Id;
  R.m_account = Account;
  R.m_places = std::move(Places);
  R.m_expectedEndMs = 160000;
  return R;
}

WaitingView waiting(const std::string &Id, const std::string &Account,
                    int Members, int Accelerators) {
  WaitingView J;
  J.m_id = Id;
  J.m_spec.m_account = Account;
  J.m_spec.m_members = Members;
  J.m_spec.m_accelerators = Accelerators;
  J.m_expectedRunMs = 600000;
  return J;
}

Snapshot twoWorkers() {
  Snapshot S;
  S.m_nowMs = 100000;
  S.m_accounts = {{"a", {{8, 1}}}, {"b", {}}};
  S.m_workers = {worker("w0"), worker("w1")};
  return S;
}

} // namespace

TEST(Pass, reclaimsTheFewestJobs) {
  // Guards against a reclaim that stops eight jobs where one is enough.
  Snapshot S = twoWorkers();
  for (int I = 0; I < 8; ++I)
    S.m_running.push_back(
        running("small" + std::to_string(I), "b", {{"w0", I, 1}}));
  S.m_running.push_back(running("large", "b", {{"w1", 0, 8}}));
  S.m_waiting = {waiting("j", "a", 1, 8)};
  const Plan P = plan(S);
  ASSERT_EQ(P.m_reclaim.size(), 1U);
  EXPECT_EQ(P.m_reclaim[0].m_job, "large");
  EXPECT_EQ(P.m_reclaim[0].m_forJob, "j");
}

TEST(Pass, doesNotReclaimTwice) {
  // Guards against another job that is reclaimed in each pass until the first
  // one has stopped.
  Snapshot S = twoWorkers();
  S.m_running = {running("x", "b", {{"w0", 0, 8}}),
                 running("y", "b", {{"w1", 0, 8}})};
  S.m_running[1].m_reclaiming = true;
  S.m_waiting = {waiting("j", "a", 1, 8)};
  const Plan P = plan(S);
  EXPECT_TRUE(P.m_reclaim.empty());
  ASSERT_EQ(P.m_wait.size(), 1U);
}

TEST(Pass, doesNotLendWhatItHasJustReclaimed) {
  // Guards against a borrower that takes the accelerators before the account
  // for which another job was stopped.
  Snapshot S = twoWorkers();
  S.m_running = {running("x", "b", {{"w0", 0, 8}})};
  S.m_waiting = {waiting("borrower", "b", 1, 4), waiting("owner", "a", 1, 8)};
  S.m_waiting[0].m_urgent = true;
  const Plan P = plan(S);
  ASSERT_EQ(P.m_place.size(), 1U);
  EXPECT_EQ(P.m_place[0].m_job, "owner");
}

TEST(Pass, reclaimsSlotsOnReservedBlocks) {
  // Guards against a reserved block that cannot be used because jobs without
  // accelerators hold all slots of its worker.
  Snapshot S = twoWorkers();
  S.m_workers.pop_back();
  for (int I = 0; I < 8; ++I)
    S.m_running.push_back(
        running("cpu" + std::to_string(I), "b", {{"w0", 0, 0}}));
  S.m_waiting = {waiting("j", "a", 1, 8)};
  EXPECT_EQ(plan(S).m_reclaim.size(), 1U);
}

TEST(Pass, keepsASlotForEachReservedBlock) {
  // Guards against a reserved block that its owner cannot use because jobs
  // without accelerators that cannot be preempted hold all slots of its worker.
  Snapshot S = twoWorkers();
  S.m_accounts[0].m_guarantee = {{4, 3}};
  for (int I = 0; I < 20; ++I) {
    S.m_waiting.push_back(waiting("cpu" + std::to_string(I), "b", 1, 0));
    S.m_waiting.back().m_preemptible = false;
  }
  S.m_waiting.push_back(waiting("gang", "b", 6, 0));
  S.m_waiting.back().m_preemptible = false;
  const Plan P = plan(S);
  EXPECT_EQ(P.m_place.size(), 13U);
  Snapshot After = S;
  After.m_running = applied(S, P);
  After.m_waiting = {waiting("owner", "a", 3, 4)};
  EXPECT_EQ(plan(After).m_place.size(), 1U);
}

TEST(Pass, reservesForTheGangAtTheHead) {
  // Guards against a large gang that starves because smaller jobs take every
  // accelerator that becomes free.
  Snapshot S = twoWorkers();
  S.m_accounts[0].m_guarantee.clear();
  S.m_running = {running("x", "b", {{"w0", 0, 8}})};
  S.m_waiting = {waiting("gang", "a", 2, 8), waiting("long", "b", 1, 4),
                 waiting("short", "b", 1, 4)};
  S.m_waiting[2].m_expectedRunMs = 50000;
  const Plan P = plan(S);
  ASSERT_EQ(P.m_place.size(), 1U);
  EXPECT_EQ(P.m_place[0].m_job, "short");
  S.m_rule.m_reserveAfterMs = 1000000;
  EXPECT_EQ(plan(S).m_place.size(), 2U);
}

TEST(Pass, reportsLostWorkersAsShortfall) {
  // Guards against a job of another account that increases the shortfall of a
  // guarantee.
  Snapshot S = twoWorkers();
  S.m_accounts[0].m_guarantee = {{8, 2}};
  S.m_workers[1].m_healthy = false;
  S.m_workers[1].m_placeable = false;
  S.m_waiting = {waiting("j", "b", 1, 1)};
  S.m_waiting[0].m_preemptible = false;
  const Plan P = plan(S);
  ASSERT_EQ(P.m_shortfalls.size(), 1U);
  EXPECT_EQ(P.m_shortfalls[0].m_missingBlocks, 1);
  EXPECT_TRUE(P.m_place.empty());
}
