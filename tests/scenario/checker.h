#pragma once

#include "base/clock.h"
#include "model/job.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pomelokeel::scenario {

using base::Millis;

/// An outcome that the system reported to a caller.
struct ReportedOutcome {
  Millis m_atMs = 0; ///< Monotonic time.
  model::Outcome m_outcome = model::Outcome::Unknown;
  base::Json m_answer;
};

/// A job as its caller saw it.
struct CallerView {
  /// Name in the scenario. The payload contains it, and it is the idempotency
  /// key.
  std::string m_name;
  std::string m_job; ///< Job id; empty if it is unknown.
  int m_members = 1;
  bool m_idempotent = true;
  bool m_accepted = false;
  /// Calls without an answer whose request may have been sent.
  int m_unansweredCalls = 0;
  std::vector<ReportedOutcome> m_outcomes;
};

/// One period in which a worker ran a task.
struct Run {
  std::string m_worker;
  std::string m_task; ///< model::taskId.
  Millis m_beginMs = 0;
  std::optional<Millis> m_endMs; ///< Absent while it runs.
  std::vector<int> m_accelerators;
};

/// A configuration version that a process reported; 0 if it has not read the
/// configuration yet.
struct ReportedVersion {
  std::string m_process;
  std::string m_incarnation;
  Millis m_atMs = 0;
  std::uint64_t m_version = 0;
};

/// A worker for which a drain record was accepted.
struct AcceptedDrain {
  std::string m_worker;
  Millis m_atMs = 0;
};

/// Everything that the runner recorded in a scenario.
struct History {
  std::vector<CallerView> m_callers;
  std::vector<Run> m_runs;
  std::vector<ReportedVersion> m_versions;
  std::vector<AcceptedDrain> m_drains;
};

/// The optional checks and the time limits.
struct CheckOptions {
  Millis m_partialGangMs = 7000;  ///< Twice the gang lease, plus a margin.
  Millis m_drainMs = 4000;        ///< G6 requires "a few seconds".
  bool m_requireAnswers = false;  ///< G7: each call is answered.
  bool m_requireEnded = false;    ///< No task runs on after its job's outcome.
  Millis m_endToleranceMs = 1000; ///< How late an end may be recorded.
};

/// Returns one line for each violation of G2 to G8 (docs/design.md), for each
/// accelerator that two tasks used at the same time, and for each accepted job
/// that has no outcome or several. Empty if the history is allowed.
std::vector<std::string> check(const History &H,
                               const CheckOptions &Options = {});

} // namespace pomelokeel::scenario
