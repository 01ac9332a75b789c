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
  /// An entry has answered a query with \p State. The job has \p Tasks tasks.
  void stateShown(const std::string &Job, const std::string &State, int Tasks);

  void runStarted(const std::string &Worker, const std::string &Task, int Run);
  void runEnded(const std::string &Worker, const std::string &Task, int Run,
                const std::string &EndKind);
  /// The worker was told that the end of the run has been stored, so that it no
  /// longer reports it.
  void endAcknowledged(const std::string &Task, const std::string &EndKind);
  /// The worker has started a run beyond its capacity.
  void overCapacity(const std::string &Worker, const std::string &Task);

  /// \p Count jobs had not ended when the soak timed out.
  void notEndedInTime(std::size_t Count);
  /// Checks that no run of an ended job is still in progress. Called after all
  /// faults.
  void checkNoRunsOfEndedJobs();

  void log(const std::string &Text) { m_log(Text); }
  const std::vector<std::string> &violations() const { return m_violations; }
  /// Number of runs that workers have started.
  std::size_t starts() const { return m_starts; }

private:
  struct Job {
    /// Submissions that were accepted, are under way or have an unknown
    /// outcome.
    int m_notRefused = 0;
    bool m_accepted = false;
    bool m_cancelled = false;
    bool m_started = false;
    bool m_ended = false; ///< As an entry has answered.
    int m_failures = 0;
  };

  void violation(const std::string &Text);

  std::function<void(const std::string &)> m_log;
  std::vector<std::string> m_violations;
  std::map<std::string, Job> m_jobs;
  /// Runs in progress: the run's number by task and worker.
  std::map<std::string, std::map<std::string, int>> m_running;
  /// Tasks of which a run ended as done and the end was acknowledged.
  std::set<std::string> m_acknowledgedDone;
  /// Tasks of which a run ended as done, by job.
  std::map<std::string, std::set<std::string>> m_done;
  std::size_t m_starts = 0;
};

} // namespace pomelokeel::soak
