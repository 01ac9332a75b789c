#pragma once

#include <vector>

namespace pomelokeel::base {

/// Holds back these signals for the calling thread and those that it starts
/// later. A signal that has arrived is delivered by releaseSignals().
void holdSignals(const std::vector<int> &Signals);
void releaseSignals(const std::vector<int> &Signals);

} // namespace pomelokeel::base
