#pragma once

#include <string>

/// Benchmarks of the scheduler's decisions and of the fold.
namespace pomelokeel::bench {

/// Prints one figure as `figure NAME VALUE UNIT`.
void figure(const std::string &Name, double Value, const std::string &Unit);

/// Completion time and fragmentation of the placement policies.
void runPolicies();

/// Time of a planning pass and of the guarantee check by size of the fleet.
void runScale();

/// Memory of the state and time to fold a day's log.
void runState();

} // namespace pomelokeel::bench
