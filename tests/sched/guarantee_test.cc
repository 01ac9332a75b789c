#include "sched/guarantee.h"

#include "sched/exhaustive.h"
#include "sched/generators.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace pomelokeel;
using namespace pomelokeel::sched;

namespace {

// Checks that every block lies on accelerators of healthy workers that its
// account may use, and no two blocks overlap.
void checkBlocks(const detail::Assignment &A, const detail::Fleet &F) {
  std::vector<detail::Mask> Taken(F.m_resources.size());
  for (const detail::Block &B : A.m_blocks) {
    for (const detail::Place &P : B.m_parts) {
      const auto Worker = static_cast<std::size_t>(P.m_worker);
      RC_ASSERT(F.m_resources[Worker].m_healthy);
      RC_ASSERT((P.mask() & ~F.m_resources[Worker].m_all) == 0U);
      RC_ASSERT((P.mask() & Taken[Worker]) == 0U);
      RC_ASSERT(P.m_first % detail::alignmentOf(P.m_accelerators) == 0);
      Taken[Worker] |= P.mask();
      for (const detail::Holding &H : F.m_holdings) {
        for (const detail::Place &Held : H.m_places) {
          if (Held.m_worker == P.m_worker && (Held.mask() & P.mask()) != 0)
            RC_ASSERT(H.m_preemptible || H.m_account == B.m_account);
        }
      }
    }
  }
}

int demanded(const std::vector<model::Account> &Accounts) {
  int Sum = 0;
  for (const model::Account &A : Accounts) {
    for (const model::BlockDemand &D : A.m_guarantee)
      Sum += D.m_count;
  }
  return Sum;
}

} // namespace

RC_GTEST_PROP(CheckGuarantees, agreesWithExhaustiveSearch, ()) {
  // Guards against guarantees that are reported as unmet although an assignment
  // exists, or as met although none exists.
  for (int I = 0; I < SnapshotsPerCase; ++I) {
    const Snapshot S = pickSnapshot(4, 2, 8, 0);
    const bool Feasible =
        ExhaustiveSearch(S.m_accounts, S.m_workers, S.m_running).feasible();
    const auto Check = checkGuarantees(S.m_accounts, S.m_workers, S.m_running);
    RC_ASSERT(Check.m_shortfalls.empty() == Feasible);
  }
}

RC_GTEST_PROP(AssignBlocks, givesDisjointUsableBlocks, ()) {
  // Guards against accelerators that are reserved for two accounts.
  const Snapshot S = pickSnapshot(6, 4, 12, 0);
  const detail::Fleet F(S.m_accounts, S.m_workers, S.m_running);
  const auto A = detail::assignBlocks(S.m_accounts, F, detail::FullSearchTries);
  checkBlocks(A, F);
  int Missing = 0;
  for (const Shortfall &Short : A.m_shortfalls)
    Missing += Short.m_missingBlocks;
  RC_ASSERT(static_cast<int>(A.m_blocks.size()) + Missing ==
            demanded(S.m_accounts));
}

TEST(AssignBlocks, leavesEveryAccountItsOwnJobs) {
  // Guards against a block that is assigned to accelerators on which another
  // account runs a job within its guarantee, although other accelerators are
  // only borrowed.
  Snapshot S;
  S.m_accounts = {{"a", {{8, 1}}}, {"b", {{8, 1}}}, {"c", {}}};
  for (const char *Name : {"w0", "w1"}) {
    WorkerView W;
    W.m_name = Name;
    W.m_accelerators = 8;
    S.m_workers.push_back(W);
  }
  S.m_running.resize(2);
  S.m_running[0].m_account = "b";
  S.m_running[0].m_places = {{"w0", 0, 8}};
  S.m_running[1].m_account = "c";
  S.m_running[1].m_places = {{"w1", 0, 8}};
  const auto Check = checkGuarantees(S.m_accounts, S.m_workers, S.m_running);
  ASSERT_EQ(Check.m_blocks.size(), 2U);
  for (const BlockAssignment &B : Check.m_blocks)
    EXPECT_EQ(B.m_worker, B.m_account == "b" ? "w0" : "w1");
}
