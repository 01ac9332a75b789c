#pragma once

#include "base/names.h"

#include <array>
#include <string_view>

namespace pomelokeel::batch {

/// What decides when the work exceeds the capacity. Priority: jobs run by
/// priority and due time, and none is refused for lack of capacity. CostAware:
/// the cost of delay decides, and a job that cannot be done while its result is
/// still of use is refused.
enum class OverloadPolicy { Priority, CostAware };

} // namespace pomelokeel::batch

namespace pomelokeel::base {

template <> struct NameTable<batch::OverloadPolicy> {
  static constexpr std::array<std::string_view, 2> Names = {"priority",
                                                            "costAware"};
};

} // namespace pomelokeel::base
