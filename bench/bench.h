#pragma once

#include <string>

/// Benchmarks of the scheduling decisions and of the state machine.
namespace pomelokeel::bench {

/// Prints one result as a line `figure NAME VALUE UNIT`.
void printFigure(const std::string &Name, double Value,
                 const std::string &Unit);

/// Compares what becomes of jobs under several designs when there is more work
/// than capacity. Also writes the plot overload.svg to the working directory.
void benchmarkOverload();

/// Compares the completion times and the fragmentation of the placement
/// policies in simulations.
void benchmarkPolicies();

/// Measures the time of a scheduling pass and of a guarantee check for fleets
/// of several sizes.
void benchmarkScale();

/// Measures the memory that the state takes and the time to apply a day's
/// records to it.
void benchmarkState();

} // namespace pomelokeel::bench
