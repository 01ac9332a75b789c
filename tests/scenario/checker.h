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

/// What a caller was told about its job.
struct Told {
  Millis m_atMs = 0; ///< Monotonic.
  model::Outcome m_outcome = model::Outcome::Unknown;
  base::Json m_answer;
};

/// A job as its caller saw it.
struct CallerView {
  std::string m_name; ///< Name in the scenario; payload and idempotency key.
  std::string m_job;  ///< Job id; empty if it was never learned.
  int m_members = 1;
  bool m_idempotent = true;
  bool m_accepted = false;
  int m_cutCalls = 0; ///< Connections that closed before the answer.
  std::vector<Told> m_told;
};

/// One period in which a worker ran a task.
struct Run {
  std::string m_worker;
  std::string m_task; ///< model::taskId.
  Millis m_beginMs = 0;
  std::optional<Millis> m_endMs; ///< Absent while it runs.
  std::vector<int> m_accelerators;
};

/// A configuration version that a process reported. 0 means that it has none
/// yet.
struct VersionSeen {
  std::string m_process;
  std::string m_incarnation;
  Millis m_atMs = 0;
  std::uint64_t m_version = 0;
};

/// Worker that got a drain record accepted at a time.
struct DrainSeen {
  std::string m_worker;
  Millis m_atMs = 0;
};

/// Everything that was recorded in a scenario.
struct History {
  std::vector<CallerView> m_callers;
  std::vector<Run> m_runs;
  std::vector<VersionSeen> m_versions;
  std::vector<DrainSeen> m_drains;
};

/// Bounds from the requirements.
struct CheckLimits {
  Millis m_partialGangMs = 7000; ///< Twice the gang lease and a margin.
  Millis m_drainMs = 4000;       ///< "After a few seconds".
  bool m_uncut = false;          ///< G7: no call may be cut off.
  bool m_ended = false;          ///< No task runs on after its job's outcome.
  Millis m_endedMs = 1000;       ///< Within which the end may be recorded.
};

/// Returns one line for each violation of G2 to G8 and for
/// each accelerator used twice. Empty if the history is allowed.
std::vector<std::string> check(const History &H,
                               const CheckLimits &Limits = {});

} // namespace pomelokeel::scenario
