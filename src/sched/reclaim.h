#pragma once

#include "sched/guarantee.h"
#include "sched/placement.h"

#include <vector>

namespace pomelokeel::sched::detail {

/// Running jobs that have to make way, and where the request fits then.
struct ReclaimChoice {
  std::vector<int> m_holdings; ///< Empty if the promise does not help.
  std::vector<Place> m_places;
};

/// Chooses the fewest jobs that \p Account may take back for \p R: preemptible
/// jobs of other accounts on its promised blocks, outside their own ones. Jobs
/// marked in \p Reclaiming have been told already and cost nothing, those in
/// \p Protected are spared.
ReclaimChoice chooseReclaim(const Fleet &F, const Promises &P, int Account,
                            Request R, const std::vector<bool> &Reclaiming,
                            const std::vector<bool> &Protected,
                            const model::PlacementRule &Rule);

} // namespace pomelokeel::sched::detail
