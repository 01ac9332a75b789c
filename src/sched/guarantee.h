#pragma once

#include "sched/fleet.h"

#include <vector>

namespace pomelokeel::sched::detail {

/// A block of adjacent accelerators reserved for an account. A block larger
/// than every worker has one part for each of its workers.
struct Block {
  int m_account = 0;
  int m_size = 0;
  std::vector<Place> m_parts;
};

/// Blocks reserved for all guarantees, and those that could not be assigned.
struct Assignment {
  std::vector<Block> m_blocks;
  std::vector<Shortfall> m_shortfalls;
  /// By worker: slots that are free or held by a preemptible job and not
  /// needed by a block.
  std::vector<int> m_slotsLeft;

  int missingAccelerators() const;
};

/// Limits of the places that the exact search tries after the greedy
/// assignment has failed. The short one is for checks of single placements, of
/// which a pass may make many.
constexpr int FullSearchTries = 400000;
constexpr int ShortSearchTries = 20000;

/// Assigns disjoint blocks to all guarantees. Prefers accelerators that the
/// account itself holds, then free ones, but minimises neither the number of
/// missing blocks nor the number of jobs to reclaim. \p MaxTries limits the
/// places that the exact search tries.
Assignment assignBlocks(const std::vector<model::Account> &Accounts,
                        const Fleet &F, int MaxTries);

/// The reserved blocks of an assignment, indexed by worker.
class ReservedBlocks {
public:
  ReservedBlocks(const Assignment &A, const Fleet &F);

  /// Accelerators of \p Worker reserved for \p Account, or for any other
  /// account.
  Mask reservedFor(int Account, int Worker) const;
  Mask reservedForOthers(int Account, int Worker) const;

  /// True if all accelerators of \p H lie in blocks of its own account.
  bool isInsideOwnBlocks(const Holding &H) const;

  /// True if \p H lies partly in blocks of other accounts, or uses a slot
  /// that one of these blocks needs.
  bool conflictsWithOthers(const Holding &H) const;

  /// Slots of \p Worker that jobs of \p Account that are not preemptible may
  /// use without conflict with the blocks of other accounts; the maximum of int
  /// if other accounts have no blocks there.
  int slotsLeft(int Account, int Worker) const;

  /// Removes the slots of \p H, which is not preemptible, from those left.
  void takeSlots(const Holding &H);

private:
  std::vector<int> m_slotsLeft;
  std::vector<std::vector<std::pair<int, Mask>>> m_byWorker;
};

} // namespace pomelokeel::sched::detail
