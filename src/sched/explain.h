#pragma once

#include "sched/placement.h"

#include <string>

namespace pomelokeel::sched::detail {

/// Says for an operator which resource keeps \p R from being placed.
std::string whyNoPlace(const Fleet &F, const Request &R);

} // namespace pomelokeel::sched::detail
