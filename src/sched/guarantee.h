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

  int missingAccelerators() const;
};

/// Steps that the exact search may take after the greedy one has failed.
constexpr int FullSearch = 20000;
constexpr int ShortSearch = 500;

/// Assigns disjoint blocks to all guarantees. Minimises neither the number of
/// missing blocks nor the jobs to reclaim, but prefers accelerators that the
/// account itself holds, then free ones.
Assignment assignBlocks(const std::vector<model::Account> &Accounts,
                        const Fleet &F, int SearchSteps);

} // namespace pomelokeel::sched::detail
