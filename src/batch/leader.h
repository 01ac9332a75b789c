#pragma once

#include "base/counters.h"
#include "batch/attention_clock.h"
#include "batch/config.h"
#include "batch/job.h"
#include "batch/journal.h"
#include "batch/messages.h"
#include "batch/overload.h"
#include "batch/run_comparison.h"
#include "batch/schedule.h"
#include "batch/worker_speed.h"

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace pomelokeel::batch {

/// Time limits of the leader, in ms, from the settings.
struct Timing {
  Millis m_leaseMs = 6000; ///< Length of the leases that agents grant.
  /// How long agents grant leases after the last contact with the leader.
  Millis m_autonomyMs = 4000;
  /// How long a leader stays confirmed after confirm().
  Millis m_confirmMs = 3000;
  Millis m_stopGraceMs = 900;
  Millis m_gangTimeoutMs = 3000;
  /// From acceptance until a job within its account's guarantee has begun.
  Millis m_reclaimMs = 3000;
  /// Time since the last contact after which an agent gets no new runs.
  Millis m_silentMs = SilentAgentMs;
  Millis m_retentionMs = 180000; ///< How long ended jobs are kept.
  Millis m_longPollMs = 1000;    ///< Longest time that a report is held.
  /// Shortest time between two rounds of decisions. What arrives in between is
  /// handled in the next round.
  Millis m_roundPauseMs = 0;
  /// Shortest time between two scheduling passes.
  Millis m_passPauseMs = 0;
  /// Whether to learn the speed of the workers and place by it.
  bool m_learnSpeed = false;
};

/// Services that the process provides to its leader.
class LeaderPorts {
public:
  virtual ~LeaderPorts() = default;
  /// Appends to the journal; the outcome goes to Leader::appended().
  virtual void append(const JournalBatch &Batch) = 0;
  /// Calls Leader::runRound() after \p Ms, which replaces the time of an
  /// earlier call.
  virtual void wakeAfter(Millis Ms) = 0;
  /// Writes one line to the event log.
  virtual void event(const std::string &Name, const std::string &Job,
                     const std::string &Detail) = 0;
};

using CallerAnswer = std::function<void(CallerReply)>;
using AgentAnswer = std::function<void(AgentReply)>;

namespace detail {

/// A report that is not answered yet (long poll).
struct HeldReport {
  Millis m_until = 0;
  /// True: held until there are orders. False: until its ends are stored.
  bool m_longPoll = false;
  AgentAnswer m_answer;
};

/// Identifies a reported end: task, run and number.
using EndKey = std::tuple<std::string, int, std::int64_t>;

/// The end as done of a run after which the task was placed again. It counts
/// once the later run has ended, and is not acknowledged before.
struct EarlierResult {
  TaskName m_task;
  std::string m_agent;
  EndKey m_end;
};

/// An end that an agent reports until it is acknowledged.
struct ReportedEnd {
  /// Number of the journal batch that must be stored before the end is
  /// acknowledged.
  std::uint64_t m_batch = 0;
  Millis m_reportedAt = 0;
  bool m_acknowledged = false; ///< An acknowledgement was sent.
};

/// A run that an agent has reported, with the parsed name of its task.
struct KnownRun {
  RunReport m_report;
  std::optional<TaskName> m_name;
};

/// The last report of an agent, and what is still to be sent to it.
struct AgentView {
  std::string m_name;
  std::int64_t m_incarnation = -1;
  std::uint64_t m_sequence = 0;
  WorkerInfo m_worker;
  /// Fence number for the present agent process and worker incarnation. Neither
  /// has sent or carried out a call with it before.
  std::uint64_t m_fence = 0;
  std::uint64_t m_fenceGeneration = 0; ///< Of m_fence, within the epoch.
  std::uint64_t m_fenceSent = 0;       ///< Last fence sent to the agent.
  bool m_evacuatedSent = false;        ///< AgentReply::m_evacuated, last sent.
  /// The worker has answered a poll with m_fence: no call of an earlier agent
  /// process, or to an earlier worker incarnation, takes effect any more.
  bool m_fenced = false;
  Millis m_workerSeenAt = 0; ///< First report of the worker's incarnation.
  bool m_unhealthy = false;
  Millis m_lastContactAt = 0;
  /// Last report that described the worker. Only an agent that knows its
  /// worker's runs carries out orders and renews leases.
  Millis m_workerReportedAt = 0;
  /// The same moments on the leader's AttentionClock.
  Millis m_contactAttention = 0;
  bool m_silenceLogged = false; ///< Of the present silence.
  Millis m_workerAttention = 0;
  /// Set while its process is stopping: all leases have ended by then, on the
  /// AttentionClock.
  std::optional<Millis> m_leasesEndAt;
  std::vector<KnownRun> m_runs;
  std::map<EndKey, ReportedEnd> m_ends; ///< Reported ends.
  /// Runs of a done gang whose own end is not reported yet, by task and run:
  /// their resources, and when the gang was done.
  std::map<std::pair<std::string, int>, std::pair<Resources, Millis>>
      m_endingGangRuns;
  std::vector<HeldReport> m_heldReports;
  bool m_hasPendingOrders = false;        ///< To be sent with its next report.
  std::uint64_t m_entriesVersionSent = 0; ///< Last version of m_entries sent.
  Millis m_quarantinedUntil = 0;
  /// Length of the last quarantine; 0 once the worker has passed its probation.
  Millis m_quarantineMs = 0;
  /// Faults of runs that were placed before do not count: the end of the last
  /// quarantine, or of the one before while the worker is quarantined.
  Millis m_faultsSince = 0;
  bool m_hasNewFaults = false; ///< Faults that are not judged yet.
  int m_evidence = 0;          ///< That the worker fails sound work.
  /// Last completed run or end of a quarantine.
  Millis m_clearedAt = 0;
  Millis m_provenAt = -1; ///< CandidateWorker::m_provenAt.
  /// Evidence without which the quarantine ends; 0 if the worker refused
  /// orders.
  int m_evidenceNeeded = 0;
  Millis m_coldUntil = 0; ///< Slower than usual until then.
};

/// A speed record of the journal.
struct RecordedSpeed {
  double m_value = 1;
  Millis m_at = 0; ///< When it was last written.
};

/// A caller whose request is answered once \c m_batch is stored.
struct WaitingCaller {
  std::uint64_t m_batch = 0;
  std::string m_job;
  bool m_submission = false;
  Millis m_deadline = 0;
  CallerAnswer m_answer;
};

/// Retry-after time if the journal does not accept records. Outages last
/// seconds, and one try after the outage is better than many during it.
constexpr Millis RetryJournalMs = 2000;

/// Which of the submissions that are certainly not stored are refused, and what
/// their callers are told.
struct Withdrawal {
  /// No attempt to append the current batch can have taken effect.
  bool m_ofCurrentBatch = false;
  /// Only jobs with a caller who must be answered by then.
  Millis m_dueBy = std::numeric_limits<Millis>::max();
  const char *m_reason = "journalRefused"; ///< For the log.
  const char *m_text = "the log does not accept records";
  Millis m_retryAfterMs = RetryJournalMs;
};

/// How many workers of a service can receive orders, and how many of these are
/// quarantined.
struct ServiceUse {
  std::size_t m_reachable = 0;
  std::size_t m_quarantined = 0;
};

/// What the judgements of several workers at one moment have in common.
struct HealthReview {
  RunComparison m_runs;
  std::map<std::string, ServiceUse> m_services; ///< Filled when needed.
};

} // namespace detail

/// Accepts jobs, places their tasks and handles the end of runs. Each change is
/// stored in the journal before it is acted on or sent to anybody.
class Leader {
public:
  Leader(const Timing &T, LeaderPorts &Ports, base::Counters &Counters,
         std::uint64_t Epoch, Millis Now, Millis WallNow);

  /// Loads the newest records of the journal. Error: internal, naming the key
  /// of the first record that cannot be read; the others are loaded. Requests
  /// for a job with an unreadable record are refused.
  base::Status load(const std::vector<KeyedRecord> &Records);

  /// Replaces the time limits. The lease length never decreases, since agents
  /// may have granted leases of the former length.
  void setTiming(const Timing &T);
  void configure(const Config &C);
  void setPolicy(OverloadPolicy P);

  /// Places nothing and starts no run until setEvacuated() is called with a
  /// current state.
  void awaitEvacuations() { m_awaitsEvacuations = true; }
  /// Sets the data centres that are being evacuated. Runs there go on, and no
  /// run starts there. \p Current if the store was read since this leader was
  /// elected; what another entry knows may be older.
  void setEvacuated(std::set<std::string> DataCentres, bool Current = true);
  void setEntries(std::vector<std::string> Entries);

  /// To be called when the store, or all other entries, have confirmed that
  /// there is no leader of a later epoch.
  void confirm(Millis Now) { m_confirmedAt = Now; }
  bool confirmed(Millis Now) const {
    return Now - m_confirmedAt < m_timing.m_confirmMs;
  }

  void handle(const CallerRequest &R, Millis Now, Millis WallNow,
              CallerAnswer Answer);
  void report(const AgentReport &R, Millis Now, Millis WallNow,
              AgentAnswer Answer);
  void appended(AppendOutcome Outcome, Millis Now);
  void advance(Millis Now, Millis WallNow);

  /// Acts on all changes since the last round: schedules, writes the journal,
  /// answers callers and agents.
  void runRound(Millis Now);

  /// True once another leader writes the journal.
  bool fenced() const { return m_journal.fenced(); }
  std::uint64_t epoch() const { return m_epoch; }

  /// Number of agents with a recent contact, and of all known agents. Time in
  /// which the leader itself was late does not count.
  std::pair<std::size_t, std::size_t> agentsInContact() const;

  /// Gives up leadership. Refuses submissions that are certainly not stored,
  /// and answers other waiting callers with Verdict::Unknown and waiting agents
  /// with an empty reply.
  void resign();

  const JobTable &jobs() const { return m_jobs; }

private:
  using Job = JobState;
  using AgentView = detail::AgentView;
  using HealthReview = detail::HealthReview;
  using ServiceUse = detail::ServiceUse;

  static void stopBrokenGangs(Job &J);
  void adoptRuns(const AgentReport &R);
  void renewFence(AgentView &A, const char *Reason);
  void noteLeasesEnd(AgentView &A, std::optional<Millis> InMs);

  // leader_callers.cc
  void submit(const CallerRequest &R, Millis Now, Millis WallNow,
              CallerAnswer Answer);
  void query(const CallerRequest &R, const CallerAnswer &Answer) const;
  void cancel(const CallerRequest &R, Millis Now, Millis WallNow,
              CallerAnswer Answer);
  void cancelUnknown(const CallerRequest &R, Millis Now, Millis WallNow,
                     CallerAnswer Answer);
  void addTombstone(const std::string &Id, const std::string &Account,
                    Millis WallNow);
  void countPending(const CallerRequest &R, const CallerAnswer &Answer) const;
  void answerWaitingCallers(Millis Now);
  CallerReply replyOnceStored(const detail::WaitingCaller &W) const;
  void withdrawSubmissions(const detail::Withdrawal &How);
  CallerReply refuseUnknownJob(Millis RetryAfterMs, std::string Reason) const;
  void handleStall(Millis Now);
  bool refuseUnreadable(const CallerRequest &R, const CallerAnswer &Answer);

  // leader_runs.cc
  void handleEndReport(AgentView &A, const EndReport &E, Millis Now,
                       Millis WallNow);
  void endRun(Job &J, const TaskName &Name, EndKind Kind,
              const std::string &Saved, Millis Now, Millis WallNow);
  void endGang(Job &J, const TaskName &Name, EndKind Kind, Millis Now,
               Millis WallNow);
  void loseRuns(const std::string &Agent, const std::string &Incarnation,
                const char *Reason, Millis Now, Millis WallNow);
  const char *reasonForLoss(const Task &T, Millis Now) const;
  bool isUnusedResult(const EndReport &E, const TaskName &Name) const;
  bool isEarlierResult(const EndReport &E, const TaskName &Name) const;
  bool useEarlierResult(const detail::EarlierResult &R, Millis Now,
                        Millis WallNow);
  void useEarlierResults(Millis Now, Millis WallNow);
  void loseUnreachableRuns(Millis Now, Millis WallNow);
  void logSilentAgents(Millis Now);
  void resetTask(Task &T);
  void stopRun(Task &T, const TaskName &Name, StopReason Reason);
  void stopAllRuns(Job &J, StopReason Reason);
  void finishJob(Job &J, JobPhase Phase, Millis WallNow);
  void updateRuns(AgentView &A, Millis Now);
  void checkRuns(Millis Now);
  void stopGangs(Job &J, const std::set<std::pair<int, int>> &Gangs);
  StopReason reasonToStop(const Step &Kind, Task &T, const TaskName &Name,
                          Millis Now);
  void addOccurrences(Millis WallNow);
  const Task *findTask(const TaskName &Name) const;
  Task *findTask(const TaskName &Name);
  /// Returns nullptr if the task has no such run on the agent's worker now.
  const Task *findCurrent(const AgentView &A,
                          const std::optional<TaskName> &Name, int Run) const;
  bool isCurrent(const AgentView &A, const std::optional<TaskName> &Name,
                 int Run) const;

  // leader_health.cc
  void updateWorkerHealth(AgentView &A, const TaskName &Name,
                          const EndReport &E, Millis Now);
  void recordFault(AgentView &A, const TaskName &Name, bool Stuck, Millis Now);
  HealthReview makeReview(Millis Now) const;
  WorkerEvidence evidenceAgainst(const AgentView &A,
                                 HealthReview &Review) const;
  ServiceUse useOfService(const std::string &Service, Millis Now) const;
  ServiceUse &useOfService(const std::string &Service, HealthReview &Review,
                           Millis Now) const;
  bool isLongRunAtWork(const TaskName &Name) const;
  void judgeWorker(AgentView &A, HealthReview &Review, Millis Now);
  void judgeNewFaults(Millis Now);
  static void avoid(Task &T, const AvoidedWorker &W);
  void avoidForStep(const TaskName &OfStep, const AvoidedWorker &W);
  static bool mayQuarantine(const WorkerEvidence &E, const ServiceUse &Use);
  void quarantine(AgentView &A, const std::string &Job, const char *Reason,
                  const WorkerEvidence &E, Millis Now);
  void reviewWorkerHealth(Millis Now);
  void reviewRuns(AgentView &A, Millis Now);
  void reinstate(AgentView &A, Millis Now);
  void resetWorkerHealth(AgentView &A);
  bool isReachable(const AgentView &A, Millis Now) const;
  bool acceptsWork(const AgentView &A, Millis Now) const;
  bool isEvacuated(const AgentView &A) const {
    return m_evacuated.contains(A.m_worker.m_dataCentre);
  }

  // leader_speed.cc
  void loadSpeed(const KeyedRecord &R);
  bool isCold(const AgentView &A, Millis Now) const;
  double slownessOf(const AgentView &A, Millis Now) const;
  bool showsSpeed(const Task &T, const Step &Kind) const;
  void noteRunTime(const JobState &J, const TaskName &Name, bool Done,
                   Millis Now);
  void reviewSpeeds(Millis Now);
  void recordSpeeds(Millis Now);
  void addSpeedRecords(std::vector<KeyedRecord> &Out);

  // leader_orders.cc
  void answerAgents(Millis Now);
  void recordAcknowledgements(AgentView &A, const AgentReply &R, Millis Now);
  /// Orders for agents with held reports, by agent.
  using Orders = std::map<std::string, AgentReply>;
  Orders collectOrders(Millis Now);
  void addOrder(const Job &J, int K, int S, int I, Task &T, Millis Now,
                Orders &Out);
  void addStopsOfUnwantedRuns(const AgentView &A, Orders &Out) const;
  void completeReply(const AgentView &A, Millis Now, AgentReply &Out) const;

  // leader_admission.cc
  Admission &admissionTo(const std::string &Service, Millis Now,
                         Millis WallNow);
  bool refuseForRoom(Job &J, Millis Now, Millis WallNow,
                     const CallerAnswer &Answer);
  void noteAccepted(const JobSpec &S, Millis Now, Millis WallNow);
  void noteRunDone(const Job &J, const Step &Kind, const Task &T, Millis Now);
  void noteJobDone(const Job &J, Millis WallNow);

  // leader_schedule.cc
  void schedule(Millis Now);
  std::vector<CandidateWorker> makeCandidateWorkers(Millis Now) const;
  static void noteRoom(Job &J, Millis Now);
  void logLongWaits(const Plan &P, const std::vector<CandidateWorker> &Workers,
                    Millis Now);
  void startUnit(const Unit &U, const Assignment &A,
                 const std::vector<CandidateWorker> &Workers, Millis Now);

  void markChanged(Job &J);
  /// Number of the batch that must be stored before an answer may rely on the
  /// present state of \p Job.
  std::uint64_t batchOfState(const std::string &Job) const;
  void processChanges(Millis Now);
  void requestRound(Millis InMs, Millis Now);
  void removeClosedJobs();
  void flush(Millis Now);
  void purge(Millis WallNow);

  Timing m_timing;
  LeaderPorts &m_ports;
  base::Counters &m_counters;
  const std::uint64_t m_epoch;
  const Millis m_startedAt;
  Millis m_confirmedAt;
  AttentionClock m_attention;
  JournalWriter m_journal;
  Guarantees m_guarantees;
  OverloadPolicy m_policy = OverloadPolicy::Priority;
  std::map<std::string, Experience> m_experience; ///< By service.
  /// By service. Rebuilt when too old.
  std::map<std::string, std::unique_ptr<Admission>> m_admissions;
  Millis m_admissionsAt = 0;         ///< When they were built.
  std::set<std::string> m_evacuated; ///< Data centres.
  bool m_awaitsEvacuations = false;
  std::vector<std::string> m_entries;
  std::uint64_t m_entriesVersion = 0;
  JobTable m_jobs;
  OpenJobs m_openJobs;
  std::map<std::string, Tombstone> m_tombstones; ///< By job.
  /// Jobs and tombstones to write with the next batch.
  std::set<std::string> m_dirty;
  std::set<std::string> m_unreadable; ///< Jobs with an unreadable record.
  std::vector<std::string> m_dropped; ///< Keys to delete from the journal.
  std::map<std::string, JobPhase> m_flushedPhases; ///< Of the current batch.
  bool m_journalStalled = false; ///< Was logged for the current batch.
  std::map<std::string, AgentView> m_agents;
  FaultLog m_faults;
  WorkerSpeeds m_speeds;
  Millis m_speedsDueAt = 0; ///< When the speeds are computed next.
  std::map<std::string, detail::RecordedSpeed> m_speedRecords; ///< By agent.
  std::set<std::string> m_dirtySpeeds; ///< Agents with a record to write.
  std::vector<detail::EarlierResult> m_earlierResults;
  std::vector<detail::WaitingCaller> m_waitingCallers;
  bool m_ordersDue = true;
  Millis m_ordersAt = 0;
  bool m_scheduleDue = true;
  Millis m_scheduledAt = 0;
  Millis m_healthReviewedAt = 0;
  Millis m_roundAt = 0;                ///< Time of the last round.
  Millis m_wallNow = 0;                ///< Wall clock time of the last call.
  std::optional<Millis> m_nextRoundAt; ///< Requested from the process.
};

} // namespace pomelokeel::batch
