#pragma once

#include "sched/placement.h"

#include <string>

namespace pomelokeel::sched::detail {

/// Describes for an operator which resource \p R lacks to be placed.
std::string explainNoFit(const Fleet &F, const Request &R);

} // namespace pomelokeel::sched::detail
