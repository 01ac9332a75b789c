#pragma once

#include "batch/job.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pomelokeel::batch {

/// A worker counts as slow from this run time relative to a usual worker on.
/// It lies half way to the slowness of 1.3 that has been observed.
constexpr double SlowFrom = 1.15;

/// A worker with its capacity and free resources.
struct CandidateWorker {
  std::string m_agent;
  std::string m_workerIncarnation;
  std::string m_service;
  std::string m_rack;
  std::vector<std::string> m_labels;
  Resources m_capacity;
  Resources m_free;     ///< Not in use now.
  Resources m_freeSoon; ///< Free once all runs that are stopping have ended.
  Resources m_lasting;  ///< In use by long-running tasks.
  bool m_usable = true; ///< Accepts new runs.
  bool m_up = true;     ///< Its agent was in contact recently.
  int m_failures = 0;   ///< Failed tasks since the last success.
  /// When the newest run that it completed was placed, or -1.
  Millis m_provenAt = -1;
  double m_slowness = 1; ///< Run time relative to a healthy worker.
};

/// Waiting tasks of one step. A gang starts as a whole, other tasks start one
/// by one.
struct Unit {
  TaskName m_name; ///< Name of its first task.
  std::vector<int> m_indices;
  const JobSpec *m_spec = nullptr;
  const Step *m_step = nullptr;
  /// Tasks of the same step and occurrence that each worker already runs. Empty
  /// if the step has no limit per worker.
  std::vector<int> m_running;
  std::vector<AvoidedWorker> m_avoid; ///< Used after all others.
  /// Agents of avoided workers that it may not use yet. See avoidance.h.
  std::vector<std::string> m_excluded;
  bool m_anyRack = false; ///< May span racks even if it runs much slower.
};

/// Which free resources of a worker to place against: m_free for Now,
/// m_freeSoon for Soon. Later: when further runs have ended.
enum class Horizon { Now, Soon, Later };

/// Indices of workers that a unit may be spread over.
using Scope = std::vector<std::size_t>;

/// All workers, with the indices of those on each rack.
struct Fleet {
  std::vector<CandidateWorker> m_workers;
  std::vector<Scope> m_racks;
  std::vector<std::size_t> m_rackOf; ///< Index of the rack, by worker.
  Scope m_all;
};

Fleet makeFleet(std::vector<CandidateWorker> Workers);

/// Index of the worker for each of the unit's tasks.
using Assignment = std::vector<std::size_t>;

/// Chooses workers for all tasks of \p U. Returns nothing if they do not fit.
/// Packs onto the fullest workers, so that whole workers stay free for large
/// tasks. Keeps rack-local gangs on one rack unless no rack could ever hold
/// them, and prefers workers where the unit has not failed.
std::optional<Assignment> place(const Unit &U, const Fleet &F, Horizon When);

/// How many tasks of a unit fit on the workers that may run it.
struct Fit {
  std::int64_t m_workers = 0; ///< That may run it.
  /// Tasks that fit on these now and if they were idle. For a rack-local gang,
  /// on the best of the racks that it may use.
  std::int64_t m_now = 0;
  std::int64_t m_idle = 0;
};

Fit fitOf(const Unit &U, const Fleet &F);

/// True if the workers that \p U may use could hold all its tasks if they were
/// idle.
bool fitsWhenIdle(const Unit &U, const Fleet &F);

/// True if they could hold it once all runs but those of long-running tasks
/// have ended.
bool fitsBesideLasting(const Unit &U, const Fleet &F);

/// True if \p W has the service and the label that \p U needs and accepts runs.
bool isEligible(const Unit &U, const CandidateWorker &W);

/// Resources that become free on a worker when a run there ends.
struct Release {
  Millis m_inMs = 0; ///< Expected time until the run ends.
  Resources m_freed;
};

/// Expected releases by worker.
using Releases = std::vector<std::vector<Release>>;

/// Where a unit fits first, and when.
struct EarliestFit {
  Assignment m_workers;
  Millis m_inMs = 0;
};

/// Chooses the workers where all tasks of \p U fit soonest as runs end. Returns
/// nothing if they never fit. Starts from the resources of Horizon::Soon.
std::optional<EarliestFit> placeEarliest(const Unit &U, const Fleet &F,
                                         const Releases &R);

/// Subtracts the resources of \p A from the free resources of its workers. With
/// Horizon::Soon and Later they stay reserved until the runs that hold them
/// have ended.
void allocate(const Unit &U, const Assignment &A, Horizon When, Fleet &F);

/// A run or gang that may be preempted by a more urgent unit.
struct Victim {
  std::size_t m_unit = 0; ///< Number chosen by the calling code, one per gang.
  std::vector<std::pair<std::size_t, Resources>> m_freed; ///< By worker.
  double m_cost = 0; ///< Lost work in core-seconds.
};

/// Runs that may be preempted, cheapest first.
struct Victims {
  std::vector<const Victim *> m_all;
  std::vector<Scope> m_byRack; ///< Positions in m_all, by rack of the fleet.
};

/// Requires \p Cheapest to be sorted by cost.
Victims makeVictims(std::vector<const Victim *> Cheapest, const Fleet &F);

/// Chooses the cheapest runs whose end makes \p U fit, leaving out those that
/// are not needed. Returns positions in Victims::m_all, or nothing if \p U does
/// not fit.
std::optional<std::vector<std::size_t>>
chooseVictims(const Unit &U, const Fleet &F, const Victims &V);

} // namespace pomelokeel::batch
