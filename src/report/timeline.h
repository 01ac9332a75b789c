#pragma once

#include "base/events.h"

#include <optional>
#include <string>
#include <vector>

/// Reports for operators.
namespace pomelokeel::report {

using base::Millis;

/// What one process contributed to a time line.
struct Source {
  std::string m_process;
  std::string m_address;
  bool m_reachable = false;
  std::uint64_t m_overwritten = 0; ///< Older events that it no longer holds.
  std::string m_problem;           ///< Why it could not be read.

  static constexpr auto fields() {
    return std::tuple{base::required("process", &Source::m_process),
                      base::required("address", &Source::m_address),
                      base::required("reachable", &Source::m_reachable),
                      base::optional("overwritten", &Source::m_overwritten),
                      base::optional("problem", &Source::m_problem)};
  }
};

/// The events of many processes in causal order.
struct Timeline {
  std::vector<Source> m_sources;
  std::vector<base::Event> m_events;

  static constexpr auto fields() {
    return std::tuple{base::required("sources", &Timeline::m_sources),
                      base::required("events", &Timeline::m_events)};
  }
};

/// Selects events. Empty strings and absent times select all.
struct TimelineFilter {
  std::string m_job;
  std::string m_account;
  std::string m_worker;
  std::optional<Millis> m_from; ///< Wall clock, inclusive.
  std::optional<Millis> m_to;   ///< Wall clock, inclusive.
};

/// Adds the events of one process.
void addPage(Timeline &T, const std::string &Address,
             const base::EventPage &Page);

/// Notes a process that could not be read.
void addUnreachable(Timeline &T, const std::string &Process,
                    const std::string &Address, const std::string &Problem);

/// Sorts by hybrid logical clock, so that causes precede effects on processes
/// with wrong wall clocks, and removes what \p F does not select. An event of
/// the worker of a selected job is kept only if it names the job.
void finish(Timeline &T, const TimelineFilter &F);

/// One line per event, with notes on missing parts first.
std::string renderText(const Timeline &T);

/// One self-contained page with a lane for each process.
std::string renderHtml(const Timeline &T);

/// Ways to write a time line.
enum class TimelineFormat { Text, Json, Html };

std::string render(const Timeline &T, TimelineFormat Format);

} // namespace pomelokeel::report

namespace pomelokeel::base {
template <> struct NameTable<report::TimelineFormat> {
  static constexpr std::array<std::string_view, 3> Names = {"text", "json",
                                                            "html"};
};
} // namespace pomelokeel::base
