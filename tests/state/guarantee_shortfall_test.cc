#include "state/guarantee_shortfall.h"

#include "sched/exhaustive.h"
#include "sched/generators.h"
#include "state/state.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

using namespace pomelokeel;

namespace {

std::vector<model::Worker>
announced(const std::vector<sched::WorkerView> &Views) {
  std::vector<model::Worker> Out;
  Out.reserve(Views.size());
  for (const sched::WorkerView &V : Views) {
    model::Worker W;
    W.m_name = V.m_name;
    W.m_incarnation = "1";
    W.m_dataCentre = V.m_dataCentre;
    W.m_region = V.m_region;
    W.m_rack = V.m_rack;
    W.m_accelerators = V.m_accelerators;
    W.m_slots = V.m_slots;
    Out.push_back(W);
  }
  return Out;
}

bool fits(const std::vector<model::Account> &Accounts,
          const std::vector<sched::WorkerView> &Views) {
  const std::vector<model::Worker> Workers = announced(Views);
  std::vector<const model::Worker *> Pointers;
  Pointers.reserve(Workers.size());
  for (const model::Worker &W : Workers)
    Pointers.push_back(&W);
  return !state::findGuaranteeShortfall(Accounts, Pointers);
}

sched::Snapshot idleFleet(int Workers, int Blocks) {
  sched::Snapshot S = sched::pickSnapshot(Workers, Blocks, 0, 0);
  for (sched::WorkerView &W : S.m_workers)
    W.m_healthy = W.m_placeable = true;
  return S;
}

// Gives workers any number of accelerators, also more than those that count.
void widen(sched::Snapshot &S) {
  for (sched::WorkerView &W : S.m_workers)
    W.m_accelerators = sched::pick(0, 80);
  for (model::Account &A : S.m_accounts) {
    for (model::BlockDemand &D : A.m_guarantee)
      D = {sched::pick(1, sched::pick(0, 1) == 0 ? 20 : 130),
           sched::pick(1, 4)};
  }
}

/// Applies records one after another.
struct Log {
  template <typename Body>
  state::Applied append(model::RecordKind Kind, const Body &B) {
    model::Record R;
    R.m_id = "r" + std::to_string(m_state.m_nextOffset);
    R.m_kind = Kind;
    R.m_body = base::encode(B);
    return state::apply(m_state, {m_state.m_nextOffset, 1000, R});
  }

  state::State m_state;
};

model::ConfigRecord recordOf(const model::Account &A) {
  model::ConfigRecord R;
  R.m_name = A.m_name;
  R.m_version = 1;
  R.m_body = {{"guarantee", base::encode(A.m_guarantee)}};
  return R;
}

} // namespace

RC_GTEST_PROP(FindGuaranteeShortfall, acceptsOnlyWhatThePlannerCanAssign, ()) {
  // Guards against an accepted guarantee that the planner cannot assign on an
  // idle fleet.
  for (int I = 0; I < 50; ++I) {
    sched::Snapshot S = idleFleet(I % 2 == 0 ? 5 : 12, 6);
    if (I % 5 == 0)
      widen(S);
    if (fits(S.m_accounts, S.m_workers))
      RC_ASSERT(sched::checkGuarantees(S.m_accounts, S.m_workers, {})
                    .m_shortfalls.empty());
  }
}

RC_GTEST_PROP(FindGuaranteeShortfall, agreesWithExhaustiveSearchWithinWorkers,
              ()) {
  // Guards against a count that refuses blocks up to the size of a worker
  // although an assignment exists.
  for (int I = 0; I < sched::SnapshotsPerCase; ++I) {
    sched::Snapshot S = idleFleet(4, 2);
    int Widest = 0;
    for (const sched::WorkerView &W : S.m_workers)
      Widest = std::max(Widest, W.m_accelerators);
    for (model::Account &A : S.m_accounts)
      std::erase_if(A.m_guarantee,
                    [&](const auto &D) { return D.m_size > Widest; });
    RC_ASSERT(
        fits(S.m_accounts, S.m_workers) ==
        sched::ExhaustiveSearch(S.m_accounts, S.m_workers, {}).feasible());
  }
}

RC_GTEST_PROP(CheckConfig, dryRunAgreesWithPublication, ()) {
  // Guards against a dry run whose result differs from that of the publication.
  Log L;
  const sched::Snapshot S = idleFleet(6, 4);
  for (const model::Worker &W : announced(S.m_workers))
    L.append(model::RecordKind::WorkerAnnounced, W);
  for (const model::Account &A : S.m_accounts) {
    const auto Checked = state::checkConfig(L.m_state, recordOf(A));
    const auto Applied =
        L.append(model::RecordKind::ConfigPublished, recordOf(A));
    RC_ASSERT(Applied.m_accepted == Checked.ok());
    if (!Checked)
      RC_ASSERT(Applied.m_message == Checked.error().m_message);
  }
}

TEST(FindGuaranteeShortfall, TakesWholeWorkersOfOneRack) {
  // Guards against a block larger than a worker that is counted across racks,
  // and against smaller blocks on its workers.
  std::vector<sched::WorkerView> Workers(4);
  for (std::size_t I = 0; I < Workers.size(); ++I) {
    Workers[I].m_name = "w" + std::to_string(I);
    Workers[I].m_rack = I < 2 ? "r1" : "r2";
    Workers[I].m_accelerators = 8;
    Workers[I].m_slots = 8;
  }
  EXPECT_TRUE(fits({{"a", {{16, 2}}}}, Workers));
  EXPECT_TRUE(fits({{"a", {{12, 1}}}, {"b", {{8, 1}, {3, 2}}}}, Workers));
  EXPECT_FALSE(fits({{"a", {{12, 1}}}, {"b", {{8, 1}, {3, 3}}}}, Workers));
  EXPECT_FALSE(fits({{"a", {{24, 1}}}}, Workers));
}

TEST(FindGuaranteeShortfall, UsesTheRestBesideOddBlocks) {
  // Guards against accelerators beside a block that smaller blocks cannot use:
  // a block of 5 out of 8 leaves one aligned pair and one accelerator.
  std::vector<sched::WorkerView> Workers(1);
  Workers[0].m_accelerators = 8;
  EXPECT_TRUE(fits({{"a", {{5, 1}, {2, 1}, {1, 1}}}}, Workers));
  EXPECT_FALSE(fits({{"a", {{5, 1}, {1, 4}}}}, Workers));
  EXPECT_FALSE(fits({{"a", {{5, 1}, {3, 1}}}}, Workers));
}

TEST(FindGuaranteeShortfall, NamesTheAccountAndTheMissingBlocks) {
  // Guards against a result that does not say which guarantee does not fit.
  model::Worker W;
  W.m_accelerators = 8;
  const auto Missing =
      state::findGuaranteeShortfall({{"a", {{4, 1}}}, {"b", {{2, 3}}}}, {&W});
  ASSERT_TRUE(Missing.has_value());
  EXPECT_EQ(Missing->m_account, "b");
  EXPECT_EQ(Missing->m_blockSize, 2);
  EXPECT_EQ(Missing->m_missingBlocks, 1);
}
