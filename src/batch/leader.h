#pragma once

#include "base/counters.h"
#include "batch/config.h"
#include "batch/job.h"
#include "batch/journal.h"
#include "batch/messages.h"
#include "batch/schedule.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace pomelokeel::batch {

/// Bounds that the leader keeps, from the settings.
struct Timing {
  Millis m_leaseMs = 6000; ///< What agents grant their workers.
  /// How long agents grant leases without hearing from the leader.
  Millis m_autonomyMs = 4000;
  /// How long a leader counts as such after it was last confirmed.
  Millis m_confirmMs = 3000;
  Millis m_stopGraceMs = 900;
  Millis m_gangTimeoutMs = 3000;
  /// From acceptance until a job within its account's guarantee has begun.
  Millis m_reclaimMs = 3000;
  /// Silence of an agent after which it gets no new work.
  Millis m_silentMs = 2500;
  Millis m_retentionMs = 180000; ///< How long ended jobs are kept.
  Millis m_parkMs = 1000;        ///< How long a report that waits is held.
};

/// What the leader needs of its process.
class LeaderPorts {
public:
  virtual ~LeaderPorts() = default;
  /// Appends to the journal; the outcome goes to Leader::appended().
  virtual void append(const JournalBatch &Batch) = 0;
  /// Writes one line to the log of decisions.
  virtual void event(const std::string &Name, const std::string &Job,
                     const std::string &Detail) = 0;
};

using CallerAnswer = std::function<void(CallerReply)>;
using AgentAnswer = std::function<void(AgentReply)>;

namespace detail {

/// A report whose answer is held back until there is something to say.
struct ParkedReport {
  Millis m_until = 0;
  bool m_waits = false; ///< Else it is answered once its ends are stored.
  AgentAnswer m_answer;
};

/// What was last heard of an agent, and what it must still learn.
struct AgentView {
  std::string m_name;
  std::int64_t m_incarnation = -1;
  std::uint64_t m_sequence = 0;
  WorkerInfo m_worker;
  bool m_unhealthy = false;
  Millis m_heardAt = 0;
  std::vector<RunReport> m_runs;
  /// Ends that were reported, with the batch that stores them.
  std::map<std::tuple<std::string, int, std::int64_t>, std::uint64_t> m_ends;
  /// Runs of a done gang whose own end is still to come.
  std::map<std::pair<std::string, int>, std::pair<Resources, Millis>>
      m_lingering;
  std::vector<ParkedReport> m_parked;
  bool m_ordersWait = false;       ///< For its next report.
  std::uint64_t m_entriesTold = 0; ///< Version of the list of entries.
  /// Failed tasks since the last success, for quarantine.
  std::vector<std::pair<Millis, std::string>> m_failures;
  Millis m_quarantinedUntil = 0;
  Millis m_quarantineMs = 0;
  Millis m_lastStuck = -1;
  double m_slowness = 1;
};

struct Waiter {
  std::uint64_t m_batch = 0;
  std::string m_job;
  bool m_submission = false;
  Millis m_deadline = 0;
  CallerAnswer m_answer;
};

} // namespace detail

/// The process that decides: accepts jobs, places tasks, takes note of ends.
/// Each change is in the journal before anybody acts on it or hears of it.
class Leader {
public:
  Leader(const Timing &T, LeaderPorts &Ports, base::Counters &Counters,
         std::uint64_t Epoch, Millis Now, Millis Wall);

  /// Takes the newest records of the journal. Error: internal, naming the key
  /// of the first record that cannot be read; the others are taken. Requests
  /// for a job with such a record are refused.
  base::Status load(const std::vector<KeyedRecord> &Records);

  /// Takes other bounds; promises made before are kept by the longer ones.
  void setTiming(const Timing &T);
  void configure(const Config &C);
  void setEntries(std::vector<std::string> Entries);

  /// The store or all other entries have confirmed that none leads later.
  void confirm(Millis Now) { m_confirmedAt = Now; }
  bool confirmed(Millis Now) const {
    return Now - m_confirmedAt < m_timing.m_confirmMs;
  }

  void handle(const CallerRequest &R, Millis Now, Millis Wall,
              CallerAnswer Answer);
  void report(const AgentReport &R, Millis Now, Millis Wall,
              AgentAnswer Answer);
  void appended(AppendOutcome Outcome, Millis Now);
  void advance(Millis Now, Millis Wall);

  /// True once another leader writes the journal.
  bool fenced() const { return m_journal.fenced(); }
  std::uint64_t epoch() const { return m_epoch; }

  /// Agents that were heard lately, and all that are known.
  std::pair<std::size_t, std::size_t> agentsHeard(Millis Now) const;

  /// Gives up: answers all that wait with what is certain.
  void resign();

  const JobTable &jobs() const { return m_jobs; }

private:
  using Job = JobState;
  using AgentView = detail::AgentView;

  void adopt(const AgentReport &R, const std::string &Before);

  // leader_callers.cc
  void submit(const CallerRequest &R, Millis Now, Millis Wall,
              CallerAnswer Answer);
  void query(const CallerRequest &R, const CallerAnswer &Answer) const;
  void cancel(const CallerRequest &R, Millis Now, Millis Wall,
              CallerAnswer Answer);
  void countPending(const CallerRequest &R, const CallerAnswer &Answer) const;
  void answerWaiters(Millis Now);
  void withdrawSubmissions(bool OfCurrentBatch);
  void refuseWhileStalled(Millis Now);
  bool refuseUnreadable(const CallerRequest &R, const CallerAnswer &Answer);

  // leader_runs.cc
  void takeEnd(AgentView &A, const EndReport &E, Millis Now, Millis Wall);
  void endRun(Job &J, const TaskName &Name, EndKind Kind,
              const std::string &Saved, Millis Now, Millis Wall);
  void endGang(Job &J, const TaskName &Name, EndKind Kind, Millis Now,
               Millis Wall);
  void lose(const std::string &Agent, const std::string &Life,
            const char *Reason, Millis Now, Millis Wall);
  void loseSilent(Millis Now, Millis Wall);
  void reset(Task &T);
  void stop(Task &T, const TaskName &Name, StopReason Reason);
  void stopAll(Job &J, StopReason Reason);
  void finishJob(Job &J, JobPhase Phase, Millis Wall);
  void noteOutcome(AgentView &A, const TaskName &Name, const EndReport &E,
                   Millis Now);
  void matchRuns(AgentView &A, Millis Now);
  void watchRuns(Millis Now);
  StopReason judgeRun(const Step &Kind, Task &T, const std::string &Job,
                      Millis Now);
  void quarantine(AgentView &A, const std::string &Job, const char *Reason,
                  Millis Now);
  void addOccurrences(Millis Wall);
  const Task *find(const TaskName &Name) const;
  Task *find(const TaskName &Name);
  bool takesWork(const AgentView &A, Millis Now) const;
  bool isCurrent(const AgentView &A, const std::string &Task, int Run) const;

  // leader_orders.cc
  void answerAgents(Millis Now);
  std::map<std::string, AgentReply> collectOrders(Millis Now);
  void addOrder(const Job &J, int K, int S, int I, Task &T, Millis Now,
                std::map<std::string, AgentReply> &Out);
  void addUnwanted(AgentView &A, AgentReply &Out) const;

  // leader_schedule.cc
  void schedule(Millis Now);
  std::vector<Site> makeSites(Millis Now) const;
  void startUnit(const Unit &U, const Assignment &A,
                 const std::vector<Site> &Sites, Millis Now);

  void changed(Job &J);
  void settle(Millis Now);
  void flush(Millis Now);
  void purge(Millis Wall);

  Timing m_timing;
  LeaderPorts &m_ports;
  base::Counters &m_counters;
  const std::uint64_t m_epoch;
  const Millis m_startedAt;
  Millis m_confirmedAt;
  JournalWriter m_journal;
  Guarantees m_guarantees;
  std::vector<std::string> m_entries;
  std::uint64_t m_entriesVersion = 0;
  JobTable m_jobs;
  std::set<std::string> m_dirty;
  std::set<std::string> m_unreadable; ///< Jobs with such a record.
  std::vector<std::string> m_dropped; ///< Jobs whose keys are to be dropped.
  std::map<std::string, JobPhase> m_flushedPhases; ///< Of the current batch.
  std::map<std::string, AgentView> m_agents;
  std::vector<detail::Waiter> m_waiters;
  bool m_ordersWanted = true;
  Millis m_ordersAt = 0;
  bool m_scheduleWanted = true;
  Millis m_scheduledAt = 0;
};

} // namespace pomelokeel::batch
