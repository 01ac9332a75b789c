#pragma once

#include "batch/job.h"
#include "batch/placement.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace pomelokeel::batch {

/// An accepted job and what its leader remembers of it.
struct JobState {
  JobSpec m_spec;
  Progress m_progress;
  JobPhase m_shown = JobPhase::Queued; ///< Phase that is stored.
  std::uint64_t m_batch = 0;           ///< Of its last change.
  std::uint64_t m_acceptBatch = 0;     ///< Of its acceptance.
  bool m_specStored = false;
  Millis m_acceptedAt = 0;
};

using JobTable = std::map<std::string, JobState>;

/// Guaranteed accelerators by account.
using Guarantees = std::map<std::string, std::int64_t>;

struct Start {
  Unit m_unit;
  Assignment m_sites; ///< Indices of the sites given to plan().
};

/// What to do now.
struct Plan {
  std::vector<Start> m_starts;
  std::vector<TaskName> m_preempted; ///< Runs to stop for more urgent units.
};

/// Expected time that a run still needs by its progress, or -1 if there is
/// nothing to go by.
Millis remainingOf(const Task &T, Millis Now);

/// True for a run that is about to end: waiting for it frees its room about as
/// fast as stopping another one, and nothing is thrown away.
bool endsSoon(const Task &T, Millis Now);

/// Decides what starts where and what is stopped for it: guaranteed jobs of
/// priority 0 first, then by priority, then by due time. Jobs within their
/// account's guarantee displace any others, other jobs of priority 0 those of
/// lower priority, unless that throws away more work than their own.
///
/// A gang that no stop makes room for keeps the sites where it will fit
/// soonest; one within its guarantee leaves its rack in time to begin within
/// \p ReclaimMs.
Plan plan(const JobTable &Jobs, const std::vector<Site> &Sites,
          const Guarantees &Promised, Millis ReclaimMs, Millis Now);

} // namespace pomelokeel::batch
