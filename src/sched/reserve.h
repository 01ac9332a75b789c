#pragma once

#include "sched/placement.h"

#include <unordered_map>
#include <vector>

namespace pomelokeel::sched::detail {

/// Resources reserved for a waiting gang.
struct Reservation {
  Millis m_startMs = 0; ///< When the gang is expected to fit.
  std::vector<Place> m_places;
  /// By worker: resources that other jobs may still use after the start.
  std::unordered_map<int, WorkerResources> m_spare;
};

/// When a running job is expected to release its resources.
struct ExpectedEnd {
  Millis m_endMs = 0;
  int m_holding = 0;
};

/// Reserves the places where \p R fits earliest if running jobs end as
/// expected. The places are empty if it would not fit even after all of them
/// have ended.
Reservation reserve(const Fleet &F, Request R, std::vector<ExpectedEnd> Ends,
                    const model::PlacementRule &Rule);

} // namespace pomelokeel::sched::detail
