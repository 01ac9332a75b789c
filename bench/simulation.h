#pragma once

#include "stream.h"

#include <map>

namespace pomelokeel::bench {

/// Figures of one simulated job stream.
struct SimulationResult {
  std::map<std::string, std::vector<double>>
      m_completionMs; ///< From submission to end, by class.
  std::map<std::string, std::vector<double>>
      m_waitMs; ///< Completion time minus run time, by class.
  /// The share of the free accelerators that are fragmented, integrated over
  /// the time during which a gang waited. Fragmented are those outside every
  /// free aligned block of the size that the largest waiting gang member needs.
  double m_fragmentedMs = 0;
  /// Time during which a gang that needs accelerators waited.
  double m_gangWaitingMs = 0;
  long m_reclaims = 0;
  long m_passes = 0;
};

/// Simulates \p Stream under \p Rule: sched::plan() decides, and a virtual
/// clock and a list of running jobs stand for the fleet.
SimulationResult simulate(const JobStream &Stream,
                          const model::PlacementRule &Rule);

} // namespace pomelokeel::bench
