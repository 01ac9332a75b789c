#pragma once

#include "ctl/client.h"
#include "report/timeline.h"

#include <string>

namespace pomelokeel::ctl {

/// Options of `ctl timeline`.
struct TimelineOptions {
  report::TimelineFilter m_filter;
  std::string m_format = "text";
};

/// Reads the events of the entries that `/v1/members` lists and of the agents
/// of the workers in `/v1/status`, and renders them as one time line. The
/// output names the processes that could not be read. Fails if the format is
/// unknown or if no entry returns these lists.
base::Result<std::string> readTimeline(const Client &C,
                                       const TimelineOptions &Options);

} // namespace pomelokeel::ctl
