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

/// Reads the events of all entries and agents that the system knows, and
/// renders them merged. Processes that do not answer are named in the output.
base::Result<std::string> readTimeline(const Client &C,
                                       const TimelineOptions &Options);

} // namespace pomelokeel::ctl
