#pragma once

#include "base/counters.h"
#include "batch/messages.h"

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace pomelokeel::batch {

/// Times in ms that bound what an agent does. The lease time comes from the
/// settings.
struct AgentTiming {
  Millis m_leaseMs = 6000; ///< Length of the lease that each poll renews.
  /// The lease is renewed for this long after the last contact with the leader.
  Millis m_autonomyMs = 4000;
  /// Start orders are sent for this long after the last contact with the
  /// leader, which may have withdrawn them since.
  Millis m_startAutonomyMs = SilentAgentMs;
  /// How long the worker may hold a poll until a run ends.
  Millis m_pollWaitMs = 1000;
  Millis m_orderTimeoutMs = 600; ///< Timeout of a start or stop order.
};

/// Starts a run and grants a lease until the deadline.
struct StartCall {
  StartOrder m_order;
  Millis m_deadline = 0; ///< Lease end on the worker's clock.
  std::uint64_t m_fence = 0;
  std::string m_worker; ///< Id of the worker that the call is for.
};

struct StopCall {
  std::string m_task;
  int m_run = 0;
  std::uint64_t m_fence = 0;
  std::string m_worker; ///< Id of the worker that the call is for.
};

/// Asks for the runs and ends of the worker and renews the lease if a deadline
/// is given.
struct PollCall {
  std::uint64_t m_serial = 0;
  std::optional<Millis> m_deadline; ///< Lease end on the worker's clock.
  std::uint64_t m_fence = 0;
  /// The worker may forget ends up to this number.
  std::int64_t m_acknowledged = 0;
  Millis m_waitMs = 0;  ///< How long the answer may wait for an end.
  std::string m_worker; ///< Id of the worker that the call is for.
};

enum class OrderOutcome {
  Done,
  Refused,    ///< The worker rejected the order and did nothing.
  Ended,      ///< This run or a later run of the task has ended.
  Unanswered, ///< The order may have taken effect, or still may.
};

struct OrderResult {
  OrderOutcome m_outcome = OrderOutcome::Unanswered;
  std::string m_reason;
  Millis m_clock = -1; ///< The worker's clock in ms, or -1 if unknown.
};

using RunKey = std::pair<std::string, int>; ///< A task and its run number.

/// What the malformed rows in a worker's answer may stand for.
struct MalformedRows {
  int m_count = 0;
  std::vector<RunKey> m_runs; ///< The runs named by rows that are malformed.
  bool m_anyRun = false;      ///< A row may stand for any run.
  /// Lowest number that an end in a malformed row may have.
  std::int64_t m_lowestEnd = std::numeric_limits<std::int64_t>::max();

  /// Adds a row about the run \p Key, or about any run.
  void add(std::optional<RunKey> Key);
  /// Adds a row about an end with a number from \p LowestNumber on.
  void addEnd(std::optional<RunKey> Key, std::int64_t LowestNumber);
  bool mayContain(const RunKey &Key) const;
};

struct PollResult {
  bool m_answered = false;
  std::string m_workerIncarnation; ///< The one that answered.
  Millis m_clock = -1;
  std::vector<RunReport> m_runs;
  std::vector<EndReport> m_ends;
  bool m_moreEnds = false; ///< More ends than these may be listed later.
  MalformedRows m_malformed;
};

/// Calls of the agent to the process around it. Results are passed to
/// onStartResult(), onStopResult(), onPollResult() and onReportReply(), always
/// after the call has returned.
class AgentPorts {
public:
  virtual ~AgentPorts() = default;
  virtual void start(const StartCall &C) = 0;
  virtual void stop(const StopCall &C) = 0;
  virtual void poll(const PollCall &C) = 0;
  virtual void report(const AgentReport &R) = 0;
  virtual void event(const std::string &Name, const std::string &Job,
                     const std::string &Detail) = 0;
};

/// Controls one worker and is the only sender of orders to it. Carries out the
/// orders of the leader, renews the lease of the worker while the agent is in
/// contact with the leader, and reports the runs. The end of a run is reported
/// again until the leader has stored it.
class Agent {
public:
  Agent(std::string Name, std::int64_t Incarnation, const AgentTiming &T,
        AgentPorts &Ports, base::Counters &Counters);

  /// Sets the length of the leases granted from now on.
  void setLease(Millis LeaseMs) { m_timing.m_leaseMs = LeaseMs; }

  /// Handles a heartbeat, in which the worker describes itself. A new
  /// incarnation counts only once the worker has named it in answer to a poll,
  /// because another program may have sent the heartbeat.
  void onWorkerInfo(const WorkerInfo &W, Millis Now);

  /// Handles the notice of the worker with this id that it is shutting down.
  /// Its runs end as soon as it does not answer any more.
  void onWorkerLeft(const std::string &Id, Millis Now);

  /// Handles the outcome of a start order.
  void onStartResult(const std::string &Task, int Run, const OrderResult &A,
                     Millis Now);
  /// Handles the outcome of a stop order.
  void onStopResult(const std::string &Task, int Run, const OrderResult &A,
                    Millis Now);
  /// Handles the answer to the poll \p Serial.
  void onPollResult(std::uint64_t Serial, const PollResult &A, Millis Now);

  /// Handles the reply to the report \p Sequence; nullopt if the report failed.
  void onReportReply(std::uint64_t Sequence, const std::optional<AgentReply> &R,
                     Millis Now);

  /// Sends the orders, polls and reports that are due and ends the runs of a
  /// worker whose lease has run out.
  void advance(Millis Now);

  /// Polls the worker a last time and carries out no further orders. The poll
  /// renews the lease, so that the runs are still alive when the next agent
  /// process starts. The leader is told when the last lease ends.
  void beginStop(Millis Now);
  /// After beginStop(): whether the leader knows all that the next process of
  /// this agent could not find out from the worker.
  bool mayEnd(Millis Now) const;

  bool knowsWorker() const { return m_worker.has_value(); }

private:
  struct Run {
    /// The payload is empty if only the worker listed the run.
    StartOrder m_order;
    RunReport m_report;
    bool m_orderPending = false; ///< A start or stop order has no outcome yet.
    bool m_stopWanted = false;
    /// The worker has answered a stop order and did not refuse it.
    bool m_stopAnswered = false;
    /// Serial of the newest poll when the worker answered the last order; only
    /// later polls show its effect. 0 if there was no such answer.
    std::uint64_t m_answeredAtPoll = 0;
    Millis m_retryAt = 0;
  };
  struct OpenReport {
    Millis m_sentAt = 0;
    bool m_longPoll = false;
    bool m_describesWorker = false;
    bool m_last = false; ///< Says when the leases end.
  };
  using Key = RunKey;

  /// Consecutive failed polls after which the worker counts as unhealthy.
  static constexpr int FailedPollsToUnhealthy = 2;

  // agent.cc
  void applyReply(const AgentReply &R, const OpenReport &Report, Millis Now);
  void raiseFence(std::uint64_t Fence, Millis Now);
  void handleStartOrder(const StartOrder &O, Millis SentAt, Millis Now);
  void handleStopOrder(const StopOrder &O, Millis Now);
  void setEvacuated(bool Evacuated);
  /// Why the worker may start no run, or nullptr.
  const char *reasonAgainstStarts() const;
  void withdrawUnstartedRuns(Millis Now);
  void withdrawStart(const Key &K, const char *Reason, Millis Now);
  void removeAcknowledgedEnds(const std::vector<EndReport> &Acknowledged);
  void sendStart(Run &R, Millis Now);
  void sendStop(Run &R, Millis Now);
  void sendReport(bool LongPoll, Millis Now);
  /// Notes that a lease granted at \p Now may be in force.
  void recordLease(Millis LeaseMs, Millis Now);
  /// Returns the end of a new lease on the worker's clock.
  Millis extendLease(Millis Now);

  // agent_worker.cc
  void sendPoll(Millis WaitMs, Millis Now);
  void sendProbe();
  void settleCandidate(std::uint64_t Serial);
  void resetForNewIncarnation(Millis Now);
  void keepEndsAsDone();
  void recordLateStart(const Key &K, Millis Now);
  void reconcile(const PollResult &A);
  void addEnd(const EndReport &E);
  void endUnreportedRun(const Key &K, EndKind Kind, const std::string &Detail);
  void expireLease(Millis Now);
  void countFailureAfterNotice(std::uint64_t Serial, Millis Now);
  void endRunsOfLeftWorker(Millis Now);
  void setClock(Millis Clock, Millis Now);

  /// Whether the worker may have restarted since it last answered.
  bool inDoubt() const {
    return m_candidate && m_candidate->m_id == m_worker->m_id;
  }
  /// Whether the worker has ended after its notice.
  bool isWorkerGone() const {
    return m_workerLeft && m_failedPollsAfterNotice >= FailedPollsToUnhealthy;
  }
  bool inContact(Millis Now, Millis WithinMs) const {
    return m_contactAt >= 0 && Now - m_contactAt < WithinMs;
  }

  const std::string m_name;
  const std::int64_t m_incarnation;
  AgentTiming m_timing;
  AgentPorts &m_ports;
  base::Counters &m_counters;

  std::optional<WorkerInfo> m_worker;
  /// Whether a heartbeat described the current incarnation.
  bool m_described = false;
  /// The incarnation of a heartbeat that the worker has not confirmed.
  std::optional<WorkerInfo> m_candidate;
  /// The open polls that ask for a candidate: the worker's id by serial.
  std::map<std::uint64_t, std::string> m_probes;
  /// The worker gave notice of its end and has not been found alive since.
  bool m_workerLeft = false;
  Millis m_workerLeftAt = 0;
  int m_failedPollsAfterNotice = 0; ///< One after another.
  /// Only polls with a later serial count as the next one.
  std::uint64_t m_noticeSerial = 0;
  bool m_synced = false;    ///< A poll of the current incarnation was answered.
  Millis m_clock = 0;       ///< The worker's clock at m_clockAt.
  Millis m_clockAt = -1;    ///< On the agent's clock; -1: not known.
  Millis m_leaseUntil = -1; ///< All leases granted so far have ended by then.
  std::uint64_t m_epoch = 0; ///< Highest epoch of a leader that replied.
  std::uint64_t m_fence = 0; ///< Of all calls from now on.
  /// Serial of the first poll with the fence m_fence.
  std::uint64_t m_fenceSerial = 0;
  /// Highest fence of a poll that the current incarnation has answered.
  std::uint64_t m_answeredFence = 0;
  /// Send time of the newest report with a description of the worker that the
  /// leader answered, or -1.
  Millis m_contactAt = -1;
  std::map<Key, Run> m_runs;
  /// Start orders without an answer, and until when the worker may still carry
  /// them out.
  std::map<Key, Millis> m_lateStarts;
  /// Until when the worker may still carry out start orders of an earlier
  /// process of this agent, which are not known here.
  Millis m_inheritedStartsUntil = 0;
  /// Not acknowledged by the leader yet. Those of earlier incarnations of the
  /// worker have number 0.
  std::vector<EndReport> m_ends;
  std::int64_t m_highestEnd = 0;
  /// Numbers of stored ends above m_acknowledged. The worker lists them again.
  std::set<std::int64_t> m_storedEnds;
  MalformedRows m_malformed;       ///< Of the newest answered poll.
  std::int64_t m_acknowledged = 0; ///< All ends up to this number are stored.
  /// The worker has forgotten all ends up to this number.
  std::int64_t m_forgotten = 0;
  /// What polls without an answer acknowledge, by their serial.
  std::map<std::uint64_t, std::int64_t> m_sentAcknowledgements;
  /// The worker may have restarted until this poll or a later one is answered.
  std::uint64_t m_restartCheckSerial = 0;

  std::uint64_t m_serial = 0;         ///< Of the newest poll.
  std::uint64_t m_answeredSerial = 0; ///< Of the newest answered poll.
  /// Serial of the open poll that delays the next one, or 0.
  std::uint64_t m_waitingPoll = 0;
  Millis m_pollAt = 0;   ///< When the next poll is due.
  int m_failedPolls = 0; ///< In a row.

  std::uint64_t m_sequence = 0; ///< Of the newest report.
  /// Reports without a reply, by sequence.
  std::map<std::uint64_t, OpenReport> m_openReports;
  bool m_changed = false; ///< There is news to report without delay.
  Millis m_reportAt = 0;  ///< No report is sent before this time.
  /// The worker's data centre is being evacuated, as the leader said last.
  bool m_evacuated = false;
  bool m_stopping = false;
  Millis m_stoppingSince = 0;
  bool m_lastReportAnswered = false; ///< By the leader.
};

} // namespace pomelokeel::batch
