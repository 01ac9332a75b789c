#pragma once

#include "base/events.h"

#include <optional>
#include <string>
#include <vector>

namespace pomelokeel::report {

using base::Millis;

/// A process whose events were requested for a time line, and whether they
/// could be read.
struct TimelineSource {
  std::string m_process;
  std::string m_address;
  bool m_reachable = false;
  std::uint64_t m_overwritten = 0; ///< Number of older events that were lost
                                   ///< because its event ring is bounded.
  std::string m_problem;           ///< Error of the read, if it failed.

  static constexpr auto fields() {
    return std::tuple{
        base::required("process", &TimelineSource::m_process),
        base::required("address", &TimelineSource::m_address),
        base::required("reachable", &TimelineSource::m_reachable),
        base::optional("overwritten", &TimelineSource::m_overwritten),
        base::optional("problem", &TimelineSource::m_problem)};
  }
};

/// Events of many processes. filterAndSort puts them in causal order.
struct Timeline {
  std::vector<TimelineSource> m_sources;
  std::vector<base::Event> m_events;

  static constexpr auto fields() {
    return std::tuple{base::required("sources", &Timeline::m_sources),
                      base::required("events", &Timeline::m_events)};
  }
};

/// Conditions that an event has to meet. Empty strings and absent times match
/// every event.
struct TimelineFilter {
  std::string m_job;
  std::string m_account;
  std::string m_worker;
  std::optional<Millis> m_from; ///< Wall clock, ms since 1970, inclusive.
  std::optional<Millis> m_to;   ///< Wall clock, ms since 1970, inclusive.
};

/// Adds the events of one process.
void addEvents(Timeline &T, const std::string &Address,
               const base::EventPage &Page);

/// Adds a process whose events could not be read because of \p Problem.
void addUnreachable(Timeline &T, const std::string &Process,
                    const std::string &Address, const std::string &Problem);

/// Removes the events that \p F does not select and sorts the others by hybrid
/// logical clock, so that a cause precedes its effect even if the wall clocks
/// of the processes disagree. A filter by job removes events of the job's
/// worker that do not name the job.
void filterAndSort(Timeline &T, const TimelineFilter &F);

/// Renders one line per event, after a line `# ...` for each process whose
/// events are missing or incomplete.
std::string renderText(const Timeline &T);

/// Renders a self-contained HTML page that shows the events in one lane
/// (column) for each process.
std::string renderHtml(const Timeline &T);

/// Output formats of a time line.
enum class TimelineFormat { Text, Json, Html };

std::string render(const Timeline &T, TimelineFormat Format);

} // namespace pomelokeel::report

namespace pomelokeel::base {
template <> struct NameTable<report::TimelineFormat> {
  static constexpr std::array<std::string_view, 3> Names = {"text", "json",
                                                            "html"};
};
} // namespace pomelokeel::base
