#pragma once

#include "sched/placement.h"

#include <unordered_map>
#include <vector>

namespace pomelokeel::sched::detail {

/// Resources kept for a waiting gang.
struct Reservation {
  Millis m_startMs = 0; ///< When the gang is expected to fit.
  std::vector<Place> m_places;
  /// By worker: what other jobs may use beyond the start.
  std::unordered_map<int, Node> m_spare;
};

/// The end of a running job, by holding.
struct ExpectedEnd {
  Millis m_endMs = 0;
  int m_holding = 0;
};

/// Reserves for \p R the places at which it fits first when running jobs end as
/// expected. Places are empty if it does not fit even then.
Reservation reserve(const Fleet &F, Request R, std::vector<ExpectedEnd> Ends,
                    const model::PlacementRule &Rule);

} // namespace pomelokeel::sched::detail
