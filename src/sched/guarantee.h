#pragma once

#include "sched/fleet.h"

#include <vector>

namespace pomelokeel::sched::detail {

/// A block promised to an account. A block larger than a worker has one part
/// for each of its workers.
struct Block {
  int m_account = 0;
  int m_size = 0;
  std::vector<Place> m_parts;
};

/// One assignment of blocks to all guarantees.
struct Assignment {
  std::vector<Block> m_blocks;
  std::vector<Shortfall> m_shortfalls;
  /// By worker: slots beside those of the blocks that are free or held by a
  /// preemptible job.
  std::vector<int> m_slotsLeft;

  int missingAccelerators() const;
};

/// Places that the exact search may try after the greedy assignment has failed.
constexpr int FullSearch = 400000;
constexpr int ShortSearch = 20000;

/// Assigns disjoint blocks to all guarantees. Minimises neither the number of
/// missing blocks nor the jobs to reclaim, but prefers accelerators that the
/// account itself holds, then free ones.
Assignment assignBlocks(const std::vector<model::Account> &Accounts,
                        const Fleet &F, int SearchSteps);

/// An assignment by worker.
class Promises {
public:
  Promises(const Assignment &A, const Fleet &F);

  /// Accelerators of \p Worker promised to \p Account, or to any other one.
  Mask toAccount(int Account, int Worker) const;
  Mask toOthers(int Account, int Worker) const;

  /// True if all accelerators of \p H lie in blocks of its own account.
  bool isInsideOwn(const Holding &H) const;

  /// True if \p H lies partly in blocks of other accounts, or takes a slot
  /// that one of them needs.
  bool touchesOthers(const Holding &H) const;

  /// Slots of \p Worker that a job of \p Account may take for good without
  /// touching the blocks of others.
  int slotsLeft(int Account, int Worker) const;

  /// Counts the slots of \p H, which is not preemptible, as taken.
  void takeSlots(const Holding &H);

private:
  std::vector<int> m_slotsLeft;
  std::vector<std::vector<std::pair<int, Mask>>> m_byWorker;
};

} // namespace pomelokeel::sched::detail
