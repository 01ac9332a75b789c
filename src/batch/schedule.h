#pragma once

#include "base/names.h"
#include "batch/job_table.h"
#include "batch/overload.h"
#include "batch/placement.h"

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace pomelokeel::batch {

/// Guaranteed accelerators by account.
using Guarantees = std::map<std::string, std::int64_t>;

/// A unit to start, and where.
struct Start {
  Unit m_unit;
  Assignment m_workers; ///< Indices of the workers given to plan().
};

/// Why a unit was not started by a scheduling pass.
enum class WaitReason {
  NoRoom,     ///< It does not fit, and nothing is kept for it.
  Freeing,    ///< Runs that make room for it are ending or preempted.
  Reserved,   ///< It keeps the workers where it fits soonest.
  NoReserve,  ///< Gangs before it keep all that may be reserved.
  NotPossible ///< It would not fit even if all runs ended.
};

/// Of the workers of a service that are up.
struct Load {
  Resources m_capacity;
  Resources m_inUse;
};

/// A unit that has waited for long, with what it found when it was tried.
struct LongWait {
  Unit m_unit;
  WaitReason m_reason = WaitReason::NoRoom;
  Fit m_fit; ///< Without what more urgent units have taken or reserved.
  Load m_load;
};

/// Result of a scheduling pass.
struct Plan {
  std::vector<Start> m_starts;
  /// Units of jobs whose wait is due to be logged, at most one for each job.
  std::vector<LongWait> m_longWaits;
  std::vector<TaskName> m_preempted; ///< Runs to stop for more urgent units.
  double m_lostCoreSeconds = 0;      ///< Work that stopping them loses.
  /// Jobs that have nothing at work and room on a fleet that is not busy, but
  /// only where it is kept for gangs.
  std::set<std::string> m_haveRoom;
};

/// A job whose unit waits is logged this often.
constexpr Millis WaitLogEveryMs = 5000;

/// Estimates from the progress of a run how long it still takes, in ms.
/// Returns -1 if the run has not started or has made no progress yet.
Millis estimateRemainingMs(const Task &T, Millis Now);

/// True for a run that is about to end. Waiting for it frees its resources
/// about as fast as stopping another run, and loses no work.
bool endsSoon(const Task &T, Millis Now);

/// With OverloadPolicy::CostAware a run is preempted at most this often. A job
/// within its guarantee may exceed it if nothing else makes room.
constexpr int MaxPreemptions = 2;

/// What a scheduling pass goes by when the work exceeds the capacity.
struct PassPolicy {
  OverloadPolicy m_overload = OverloadPolicy::Priority;
  Millis m_wallNow = 0;
};

/// Decides which units start on which workers and which runs are preempted for
/// them. Jobs of priority 0 within their account's guarantee come first, then
/// all others by priority and due time. Guaranteed jobs may preempt any job
/// that is not guaranteed. Other jobs of priority 0 may preempt jobs of lower
/// priority, unless that loses more work than their own.
///
/// A gang that does not fit even after preemption reserves the workers where
/// it will fit soonest. A gang within its guarantee may span racks early enough
/// to begin within \p ReclaimMs of its acceptance.
///
/// With OverloadPolicy::CostAware, gangs of one priority that can still be done
/// on time come before those that will be late, and these before those whose
/// result is of no use any more.
Plan plan(const OpenJobs &Jobs, const std::vector<CandidateWorker> &Workers,
          const Guarantees &AccountGuarantees, Millis ReclaimMs, Millis Now,
          const PassPolicy &Policy = {});

} // namespace pomelokeel::batch

namespace pomelokeel::base {

template <> struct NameTable<batch::WaitReason> {
  static constexpr std::array<std::string_view, 5> Names = {
      "noRoom", "freeing", "reserved", "noReserve", "notPossible"};
};

} // namespace pomelokeel::base
