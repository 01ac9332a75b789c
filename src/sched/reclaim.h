#pragma once

#include "sched/guarantee.h"
#include "sched/placement.h"

#include <vector>

namespace pomelokeel::sched::detail {

/// Running jobs to reclaim, and the places where the request fits afterwards.
struct ReclaimChoice {
  std::vector<int> m_holdings; ///< Empty if reclaiming does not help.
  std::vector<Place> m_places;
};

/// Chooses running jobs that \p Account may reclaim to place \p R, as few as
/// possible: preemptible jobs of other accounts on the blocks reserved for
/// \p Account that are not inside blocks of their own account. Jobs marked in
/// \p Reclaiming are already being reclaimed and cost nothing. Jobs marked in
/// \p Protected are not reclaimed.
ReclaimChoice chooseReclaim(const Fleet &F, const ReservedBlocks &Blocks,
                            int Account, Request R,
                            const std::vector<bool> &Reclaiming,
                            const std::vector<bool> &Protected,
                            const model::PlacementRule &Rule);

} // namespace pomelokeel::sched::detail
