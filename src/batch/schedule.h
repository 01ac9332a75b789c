#pragma once

#include "batch/job.h"
#include "batch/placement.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

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
};

using JobTable = std::map<std::string, JobState>;

/// Returns nullptr if there is no such task.
const Task *findTask(const JobTable &Jobs, const TaskName &Name);

/// The jobs of a table that planning has to consider, by id.
using OpenJobs = std::map<std::string, JobState *>;

/// True if the job has not ended, or one of its tasks is still placed.
bool isOpen(const JobState &J);

OpenJobs openJobs(JobTable &Jobs);

/// Guaranteed accelerators by account.
using Guarantees = std::map<std::string, std::int64_t>;

/// A unit to start, and where.
struct Start {
  Unit m_unit;
  Assignment m_workers; ///< Indices of the workers given to plan().
};

/// Result of a scheduling pass.
struct Plan {
  std::vector<Start> m_starts;
  std::vector<TaskName> m_preempted; ///< Runs to stop for more urgent units.
};

/// Estimates from the progress of a run how long it still takes, in ms.
/// Returns -1 if the run has not started or has made no progress yet.
Millis estimateRemainingMs(const Task &T, Millis Now);

/// True for a run that is about to end. Waiting for it frees its resources
/// about as fast as stopping another run, and loses no work.
bool endsSoon(const Task &T, Millis Now);

/// Decides which units start on which workers and which runs are preempted for
/// them. Jobs of priority 0 within their account's guarantee come first, then
/// all others by priority and due time. Guaranteed jobs may preempt any job
/// that is not guaranteed. Other jobs of priority 0 may preempt jobs of lower
/// priority, unless that loses more work than their own.
///
/// A gang that does not fit even after preemption reserves the workers where
/// it will fit soonest. A gang within its guarantee may span racks early enough
/// to begin within \p ReclaimMs of its acceptance.
Plan plan(const OpenJobs &Jobs, const std::vector<CandidateWorker> &Workers,
          const Guarantees &AccountGuarantees, Millis ReclaimMs, Millis Now);

} // namespace pomelokeel::batch
