#pragma once

#include "batch/job_table.h"
#include "batch/placement.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace pomelokeel::batch {

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
