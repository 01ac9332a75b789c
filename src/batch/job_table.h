#pragma once

#include "batch/job.h"

#include <cstdint>
#include <map>
#include <string>

namespace pomelokeel::batch {

/// An accepted job and the leader's in-memory state of it.
struct JobState {
  JobSpec m_spec;
  Progress m_progress;
  JobPhase m_storedPhase = JobPhase::Queued; ///< Phase in the journal.
  std::uint64_t m_batch = 0;       ///< Journal batch of its last change.
  std::uint64_t m_acceptBatch = 0; ///< Journal batch of its acceptance.
  bool m_specStored = false;
  /// Acceptance, or start of a leader that loaded the job, by the leader's
  /// clock.
  Millis m_acceptedAt = 0;
  /// Since when scheduling passes have found kept room for it, and when the
  /// last one did; 0 if none has.
  Millis m_roomSince = 0;
  Millis m_roomSeenAt = 0;
  /// What admission expected at its acceptance: until it is done, and how much
  /// of that it waits. 0 if it was not estimated.
  Millis m_expectedMs = 0;
  Millis m_expectedWaitMs = 0;
  Millis m_waitLoggedAt = 0; ///< When a unitWaits line was written last.
};

using JobTable = std::map<std::string, JobState>;

/// Returns nullptr if there is no such task.
const Task *findTask(const JobTable &Jobs, const TaskName &Name);

/// The jobs of a table that planning has to consider, by id.
using OpenJobs = std::map<std::string, JobState *>;

/// True if the job has not ended, or one of its tasks is still placed.
bool isOpen(const JobState &J);

OpenJobs openJobs(JobTable &Jobs);

} // namespace pomelokeel::batch
