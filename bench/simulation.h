#pragma once

#include "stream.h"

#include <map>

namespace pomelokeel::bench {

/// What became of the jobs of one run.
struct Outcome {
  std::map<std::string, std::vector<double>> m_completionMs; ///< By class.
  std::map<std::string, std::vector<double>> m_waitMs; ///< Time not running.
  double m_fragmentedMs = 0;  ///< Share of scattered accelerators times time.
  double m_gangWaitingMs = 0; ///< Time during which a large gang waited.
  long m_reclaims = 0;
  long m_passes = 0;
};

/// Drives plan() through the stream with a virtual clock and a list of running
/// jobs.
Outcome simulate(const Stream &In, const model::PlacementRule &Rule);

} // namespace pomelokeel::bench
