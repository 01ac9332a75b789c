#pragma once

#include "scenario/fleet.h"

#include <string>
#include <vector>

namespace pomelokeel::scenario {

/// Use of resources by one process.
struct Usage {
  base::Millis m_atMs = 0;
  double m_cpuMs = 0;
  double m_residentMb = 0;
  double m_meshBytes = 0;   ///< Sent and received on links between processes.
  double m_logBytes = 0;    ///< Sent to and received from the log service.
  double m_regionBytes = 0; ///< Sent to processes of other regions.
};

/// Reads /proc and the counters of a process. \p Region is its own region.
base::Result<Usage> readUsage(const Fleet &F, const std::string &Name,
                              const std::string &Region);

/// Prints `figure` lines for the time between two readings.
void printUsage(const std::string &Label, const Usage &Begin, const Usage &End);

/// Prints the median and the largest of \p Values as figures.
void printSpread(const std::string &Label, std::vector<base::Millis> Values);

} // namespace pomelokeel::scenario
