#pragma once

#include "batch/agent.h"
#include "batch/leader.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace pomelokeel::batch::tests {

/// Runs the real leader and agents against simulated workers, callers and a
/// simulated journal, without sockets or threads. Processes and workers
/// restart, and calls and appends are lost, refused or delayed, as chosen by a
/// seed. What workers and callers see is checked against the promises to them.
class RestartSimulation {
public:
  struct Options {
    /// Pause of the leaders between rounds and between scheduling passes.
    Millis m_pauseMs = 0;
    /// Some callers give up a submission and cancel the job. A copy of the
    /// submission arrives before or after that.
    bool m_callersGiveUp = false;
  };

  RestartSimulation(std::uint64_t Seed, const Options &O);
  ~RestartSimulation();

  /// Plays the faults and then a calm period in which every job must end.
  /// Returns the first violation with the events of its job, or "".
  std::string run();

private:
  struct LeaderProcess;
  struct AgentProcess;
  struct Journal;

  /// A worker looks this often whether a run has ended.
  static constexpr Millis WorkerTickMs = 20;
  /// Members of a gang that wait for longer end.
  static constexpr Millis GangTimeoutMs = 3000;
  /// A late call is carried out by then.
  static constexpr Millis MaxLateMs = 6000;

  /// A job as its caller knows it.
  struct Job {
    JobSpec m_spec;
    int m_attempts = 1;
    bool m_hopeless = false; ///< Its tasks always fail.
    int m_openSubmissions = 0;
    int m_unrefused = 0; ///< Submissions that were not refused.
    int m_sent = 0;
    bool m_accepted = false;
    bool m_givenUp = false;
    bool m_cancelSent = false;
    Millis m_cancelledAt = -1; ///< When a cancellation was acknowledged.
    Millis m_doneAt = -1;      ///< When it was first shown as done.
    std::optional<JobPhase> m_shown;
    Millis m_shownAt = -1;
  };

  /// A task at work on a worker.
  struct LiveRun {
    Millis m_startedAt = 0;
    Millis m_worksSince = -1; ///< For a gang: when all members were there.
    Millis m_durationMs = 0;
    EndKind m_end = EndKind::Done; ///< How it ends unless it is stopped.
    Millis m_stopAt = -1;
    std::string m_checkpoint;
  };
  using RunKey = std::pair<std::string, int>; ///< Task and run.

  struct Worker {
    std::string m_name;
    std::string m_rack;
    bool m_up = true;
    std::int64_t m_startTime = 0;
    Millis m_bornAt = 0;
    std::map<RunKey, LiveRun> m_runs;
    std::vector<EndReport> m_ends;
    std::int64_t m_lastEnd = 0;
    std::uint64_t m_fence = 0;
    Millis m_deadline = 0; ///< On its own clock.
    Millis m_lapsedAt = -1;
    std::map<std::string, int> m_newestEnded; ///< By task.
    std::string incarnation() const {
      return m_name + "@" + std::to_string(m_startTime);
    }
  };

  /// What happens to a call.
  enum class Fate { Answered, Lost, AnswerLost, Late, Refused };

  /// An end as a worker has listed it, for the checks.
  struct Ended {
    std::string m_incarnation; ///< Of the worker.
    std::int64_t m_number = 0;
    int m_run = 0;
    EndKind m_kind = EndKind::Done;
    Millis m_at = 0;
    bool m_acknowledged = false;
    bool m_lapsedBefore = false; ///< The lease lapsed before that.
  };
  struct TaskHistory {
    std::vector<std::pair<Millis, int>> m_starts;
    std::vector<Ended> m_ends;
  };

  struct Line {
    Millis m_at = 0;
    std::string m_job;
    std::string m_text;
  };

  // Time and chance.
  Millis between(Millis Low, Millis High);
  bool chance(double Share);
  void after(Millis Ms, std::function<void()> Do);
  void every(Millis Ms, std::function<void()> Do);
  Millis wallNow() const;
  Fate chooseFate();

  // Processes.
  void startAgent(std::size_t I);
  void stopAgent(std::size_t I, bool Gracefully);
  void restartAgent(std::size_t I);
  void startLeader();
  void replaceLeader(bool KeepOld);
  void restartAll();
  void removeLeader(std::uint64_t Epoch);
  LeaderProcess *currentLeader();

  // Workers.
  Millis clockOf(const Worker &W) const;
  void sendHeartbeats();
  void tickWorkers();
  void tickWorker(Worker &W);
  void endRun(Worker &W, const RunKey &K, EndKind Kind);
  void endGang(const RunKey &K, EndKind Kind);
  void crashWorker(Worker &W);
  void renewLease(Worker &W, std::optional<Millis> Deadline);
  OrderResult carryOutStart(Worker &W, const StartCall &C, bool Late);
  OrderResult carryOutStop(Worker &W, const StopCall &C);
  bool carryOutPoll(Worker &W, const PollCall &C);
  const Step *stepOf(const std::string &Task) const;
  std::string gangOf(const RunKey &K) const;

  // Callers.
  void submitJob();
  void sendSubmission(const std::string &Id);
  void sendCopy(const std::string &Id);
  void giveUp(const std::string &Id);
  void sendCancel(const std::string &Id);
  void sendQuery(const std::string &Id);
  void ask(CallerRequest R,
           const std::function<void(const CallerReply &)> &Then);

  // Faults.
  void playFaults();
  void injectFault();

  // Checks.
  void handleShown(const std::string &Id, JobPhase Phase, Millis SentAt);
  void checkStart(const Worker &W, const StartCall &C, bool Late);
  void checkAcknowledged(const std::string &Task);
  void checkEnd();
  bool endedDone(const std::string &Id, int Step, int Index) const;
  bool settled();
  void fail(const std::string &JobId, const std::string &What);
  void log(const std::string &JobId, const std::string &Text);

  const std::uint64_t m_seed;
  const Options m_options;
  std::mt19937_64 m_random;
  Millis m_now = 1000;
  bool m_calm = false;
  double m_noise = 0; ///< Share of calls that go wrong.
  std::multimap<Millis, std::function<void()>> m_events;
  base::Counters m_counters;
  std::unique_ptr<Journal> m_journal;
  std::deque<Worker> m_workers;
  std::vector<std::unique_ptr<AgentProcess>> m_agents;
  std::map<std::uint64_t, std::unique_ptr<LeaderProcess>> m_leaders;
  std::uint64_t m_epoch = 0;
  bool m_leaderWanted = false; ///< A takeover is under way.
  std::map<std::string, std::unique_ptr<Job>> m_jobs;
  std::map<std::string, TaskHistory> m_tasks;
  std::deque<Line> m_lines;
  std::string m_violation;
};

} // namespace pomelokeel::batch::tests
