#pragma once

#include "scenario/fleet.h"

#include <string>
#include <vector>

namespace pomelokeel::scenario {

/// Resource usage of one process. CPU time and bytes count from its start.
struct Usage {
  base::Millis m_atMs = 0;
  double m_cpuMs = 0;
  double m_residentMb = 0;
  double m_meshBytes = 0; ///< Sent and received on links between processes.
  double m_logBytes = 0;  ///< Sent to and received from the log service.
  double m_otherRegionBytes = 0; ///< Sent to processes of other regions.
};

/// Reads /proc and the counters of a process. \p Region is the region of the
/// process.
base::Result<Usage> readUsage(const Fleet &F, const std::string &Name,
                              const std::string &Region);

/// Prints the usage between two readings as `figure` lines.
void printUsage(const std::string &Label, const Usage &Begin, const Usage &End);

/// Prints the median and the largest of \p Values as `figure` lines.
void printMedianAndMax(const std::string &Label,
                       std::vector<base::Millis> Values);

} // namespace pomelokeel::scenario
