#pragma once

#include "base/clock.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace pomelokeel::soak {

using base::Millis;

/// Failed runs of a task, or a gang, after which its job has failed.
constexpr int Attempts = 3;

/// Time from the acknowledgement of an evacuation after which no task starts.
constexpr Millis EvacuationMs = 5000;

/// Time from the acknowledgement of a worker's draining after which no task
/// starts there.
constexpr Millis DrainMs = 2500;

/// Records what callers and workers observe and checks it at once. Each event
/// is one line that is passed to \p Log. Violations are also stored.
class History {
public:
  explicit History(std::function<void(const std::string &)> Log)
      : m_log(std::move(Log)) {}

  /// A caller submits the job, possibly not for the first time.
  void submitted(const std::string &Job);
  void accepted(const std::string &Job);
  /// The caller knows that this submission was not accepted: it was refused or
  /// not sent.
  void refused(const std::string &Job);
  /// A caller is about to ask for the job's cancellation.
  void cancelRequested(const std::string &Job);
  /// An entry has answered that the job is cancelled.
  void cancelAcknowledged(const std::string &Job);
  /// An entry has answered a query with \p State. The job has \p Tasks tasks.
  void stateShown(const std::string &Job, const std::string &State, int Tasks);

  /// \p LateMs is the delay after which the worker has carried out the order,
  /// usually 0.
  void runStarted(const std::string &Worker, const std::string &DataCentre,
                  const std::string &Task, int Run, Millis LateMs);
  void runEnded(const std::string &Worker, const std::string &Task, int Run,
                const std::string &EndKind);
  /// The worker was told that the end of the run has been stored, so that it no
  /// longer reports it. \p LeaseLapsed if the worker's lease lapsed between the
  /// end and this acknowledgement, which then does not count.
  void endAcknowledged(const std::string &Worker, const std::string &Task,
                       int Run, bool LeaseLapsed);
  /// The worker has started a run beyond its capacity.
  void overCapacity(const std::string &Worker, const std::string &Task);

  /// The store has acknowledged that \p DataCentre is to be evacuated.
  void evacuationBegun(const std::string &DataCentre);
  /// The operator is about to end the evacuation.
  void evacuationEnded(const std::string &DataCentre);

  /// The agent of \p Worker has acknowledged that it drains.
  void drainAcknowledged(const std::string &Worker);
  /// The worker has restarted and does not drain any more.
  void drainEnded(const std::string &Worker) {
    m_drainAcknowledgedAt.erase(Worker);
  }

  /// A process that serves \p Worker has started.
  void agentStarted(const std::string &Worker);
  /// The worker's agent does not run freely at this time.
  void agentDisturbed(const std::string &Worker);
  void storeDisturbed();

  /// A disruption that is not planned work, or a delay of the soak itself.
  void unplanned() { m_unplannedAt = base::bootNow(); }
  /// A connection to \p Entry has ended without a complete answer to the
  /// request whose last byte was sent at \p SentAt.
  void requestCut(const std::string &Entry, Millis SentAt);
  /// A process did not end in time, or ended by itself.
  void processFault(const std::string &Text) { violation(Text); }

  /// \p Count jobs had not ended when the soak timed out.
  void notEndedInTime(std::size_t Count);
  /// Checks that no run of an ended job is still in progress. Called after all
  /// faults.
  void checkNoRunsOfEndedJobs();

  void log(const std::string &Text) { m_log(Text); }
  const std::vector<std::string> &violations() const { return m_violations; }
  /// Number of runs that workers have started.
  std::size_t starts() const { return m_starts; }
  /// Number of runs that have ended.
  std::size_t ends() const { return m_ends; }

private:
  struct Job {
    /// Submissions that were accepted, are under way or have an unknown
    /// outcome.
    int m_notRefused = 0;
    bool m_accepted = false;
    bool m_cancelled = false;
    Millis m_cancelAcknowledgedAt = -1; ///< -1 if it is not acknowledged.
    bool m_started = false;
    bool m_shownDone = false;
    bool m_ended = false; ///< As an entry has answered.
    int m_failures = 0;
  };
  /// A run that a worker has started.
  struct Run {
    std::string m_worker;
    int m_number = 0;
    std::string m_endKind; ///< "" while it runs.
    std::size_t m_startOrder = 0;
    std::size_t m_endOrder = 0; ///< Comparable to m_startOrder.
    bool m_endAcknowledged = false;
    bool m_reported = false; ///< Its start is known to be a violation.
  };
  struct Agent {
    Millis m_startedAt = 0;
    Millis m_disturbedAt = 0;
  };

  void violation(const std::string &Text);
  Run *findRun(const std::string &Worker, const std::string &Task, int Number);
  /// Checks the starts of \p Task against its acknowledged ends.
  void checkStarts(const std::string &Task);
  void checkStartOfCancelledJob(const std::string &Worker,
                                const std::string &Task, const Job &J);
  void checkStartInEvacuation(const std::string &Worker,
                              const std::string &DataCentre,
                              const std::string &Task, Millis LateMs);

  void checkStartWhileDraining(const std::string &Worker,
                               const std::string &Task, Millis LateMs);

  std::function<void(const std::string &)> m_log;
  std::vector<std::string> m_violations;
  std::map<std::string, Job> m_jobs;
  /// Runs in progress: the run's number by task and worker.
  std::map<std::string, std::map<std::string, int>> m_running;
  /// All runs by task, in the order of their starts.
  std::map<std::string, std::vector<Run>> m_runs;
  /// Tasks of which a run ended as done, by job.
  std::map<std::string, std::set<std::string>> m_done;
  std::map<std::string, Agent> m_agents; ///< By the first id of its worker.
  std::map<std::string, Millis> m_drainAcknowledgedAt; ///< By worker.
  std::map<std::string, Millis> m_evacuatedSince;      ///< By data centre.
  Millis m_storeDisturbedAt = 0;
  Millis m_unplannedAt = 0;
  std::size_t m_starts = 0;
  std::size_t m_ends = 0;
};

} // namespace pomelokeel::soak
