#pragma once

#include "batch/job.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace pomelokeel::batch {

/// A run that failed or made no progress. Its worker or its job may be the
/// cause.
struct RunFault {
  TaskName m_task;
  Millis m_at = 0;
  Millis m_placedAt = 0;
  bool m_stuck = false; ///< It made no progress. False: it failed.
  /// The task is long-running and was at work. Such tasks may fail at any time.
  bool m_atWork = false;
  /// The worker has completed other work since.
  bool m_refuted = false;

  Millis ranMs() const { return m_at - m_placedAt; }
};

/// True if a run of this age shows that a failure as early as \p F is not
/// usual.
bool outlives(Millis AgeMs, const RunFault &F);

/// What works on other workers: nothing of the step of a fault, other tasks of
/// the step, or the task itself. For a task that failed at work, other tasks of
/// the step work if most of them have run much longer.
enum class WorksElsewhere { Nothing, Step, Task };

/// The runs of the step of a fault on other workers.
struct RunsElsewhere {
  WorksElsewhere m_works = WorksElsewhere::Nothing;
  std::size_t m_agents = 0; ///< Agents on which tasks of the step work.
};

/// Compares a fault on \p Agent with the other runs of its step.
using CompareRuns =
    std::function<RunsElsewhere(const RunFault &F, const std::string &Agent)>;

/// How much speaks for the worker, rather than the jobs, as the cause.
struct WorkerEvidence {
  /// Tasks that failed although their job works on other workers, up to two.
  int m_proven = 0;
  /// Jobs that work nowhere so far, weighted by how likely they are sound, and
  /// series of tasks that failed at work much earlier than others do.
  int m_unproven = 0;

  int total() const { return m_proven + m_unproven; }
};

/// The recent faults of all workers, by agent. Tells faults of workers from
/// faults of jobs: what fails on one worker only speaks against the worker,
/// what fails on several against the job. Recording or judging a fault costs
/// the same on a fleet of any size.
class FaultLog {
public:
  void add(const std::string &Agent, RunFault F);

  /// Records that the worker completed a run that was placed at \p PlacedAt.
  /// Faults of earlier runs do not count against it any more.
  void refute(const std::string &Agent, Millis PlacedAt);

  /// The same for a run that is at work, for failures that it has outlived.
  void refuteOutlived(const std::string &Agent, Millis PlacedAt, Millis AgeMs);

  /// Forgets the faults of a worker that was replaced.
  void forget(const std::string &Agent);

  /// Forgets faults that are too old to count.
  void prune(Millis Now);

  /// Returns nullptr if the worker has no fault.
  const RunFault *newest(const std::string &Agent) const;

  /// The steps with faults of \p MinTasks tasks or more on the worker, in any
  /// occurrence. Each is given by the task of its newest fault.
  std::vector<TaskName> faultySteps(const std::string &Agent,
                                    std::size_t MinTasks) const;

  /// Number of tasks with a fault on the worker after \p Since.
  std::size_t faultyTasksAfter(const std::string &Agent, Millis Since) const;

  /// Counts the faults of runs that were placed at \p PlacedSince or later.
  WorkerEvidence evidenceAgainst(const std::string &Agent, Millis PlacedSince,
                                 const CompareRuns &Compare) const;

private:
  /// The likely cause of a fault. ProbablyJob: it also fails on other workers,
  /// which have completed nothing since.
  enum class Cause { Worker, Unknown, ProbablyJob, Job };

  /// Numbers of faults of one job or task on one worker.
  struct Tally {
    int m_faults = 0;
    int m_refuted = 0; ///< That do not speak against the worker.
  };

  /// The faults of one job or task on all workers.
  struct Spread {
    std::map<std::string, Tally> m_agents;
    std::size_t m_refutedAgents = 0; ///< Agents with m_refuted > 0.

    void add(const std::string &Agent, int Faults, int Refuted);
  };

  using ByJob = std::map<std::string, Spread>;
  using ByTask = std::map<TaskName, Spread>;

  /// A fault with its places in the indices.
  struct Entry {
    RunFault m_fault;
    ByJob::iterator m_job;
    ByTask::iterator m_task;
  };

  using Entries = std::vector<Entry>;

  const Entries &entriesOf(const std::string &Agent) const;
  void setRefuted(const std::string &Agent, Entry &E);
  void removeFromIndices(const std::string &Agent, const Entry &E);
  int earlyEnds(const std::string &Agent, Millis PlacedSince,
                const CompareRuns &Compare) const;
  static Cause causeOf(const Entry &E, const std::string &Agent,
                       WorksElsewhere Works);

  std::map<std::string, Entries> m_faults; ///< By agent, oldest first.
  ByJob m_byJob;
  ByTask m_byTask;
};

} // namespace pomelokeel::batch
