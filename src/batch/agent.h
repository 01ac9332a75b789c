#pragma once

#include "base/counters.h"
#include "batch/messages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace pomelokeel::batch {

/// Bounds that an agent keeps, from the settings.
struct AgentTiming {
  Millis m_leaseMs = 6000;    ///< Granted to the worker with each look at it.
  Millis m_autonomyMs = 4000; ///< Grants go on so long without the leader.
  Millis m_lookMs = 1000; ///< A look at the worker waits so long for an end.
  Millis m_callMs = 600;  ///< Timeout of an order to the worker.
};

struct StartCall {
  StartOrder m_order;
  Millis m_deadline = 0; ///< Lease end on the worker's clock.
  std::uint64_t m_fence = 0;
};

struct StopCall {
  std::string m_task;
  int m_run = 0;
  std::uint64_t m_fence = 0;
};

/// Grants a lease, if there is a deadline, and lists what the worker runs.
struct LookCall {
  std::uint64_t m_serial = 0;
  std::optional<Millis> m_deadline;
  std::uint64_t m_fence = 0;
  std::int64_t m_noted = 0; ///< Ends up to this number may be forgotten.
  Millis m_waitMs = 0;
};

enum class OrderOutcome {
  Done,
  Refused,    ///< The worker has answered that it does not do it.
  Ended,      ///< This run or a later one has ended there.
  Unanswered, ///< It may have been done, or may still be.
};

struct OrderAnswer {
  OrderOutcome m_outcome = OrderOutcome::Unanswered;
  std::string m_reason;
  Millis m_clock = -1; ///< The worker's clock, or -1.
};

struct LookAnswer {
  bool m_answered = false;
  std::string m_life; ///< That has answered.
  Millis m_clock = -1;
  std::vector<RunReport> m_runs;
  std::vector<EndReport> m_ends;
};

/// What the agent needs of its process. Answers come back through the on...
/// functions of Agent, not within the call.
class AgentPorts {
public:
  virtual ~AgentPorts() = default;
  virtual void start(const StartCall &C) = 0;
  virtual void stop(const StopCall &C) = 0;
  virtual void look(const LookCall &C) = 0;
  virtual void report(const AgentReport &R) = 0;
  virtual void event(const std::string &Name, const std::string &Job,
                     const std::string &Detail) = 0;
};

/// Beside a worker: the only one that gives it orders. Carries out what the
/// leader wants, keeps the lease while the leader is heard, and reports what
/// runs and what has ended until the leader has stored it.
class Agent {
public:
  Agent(std::string Name, std::int64_t Incarnation, const AgentTiming &T,
        AgentPorts &Ports, base::Counters &Counters);

  /// Leases from now on have this length.
  void setLease(Millis LeaseMs) { m_timing.m_leaseMs = LeaseMs; }

  /// The worker has described itself.
  void onWorker(const WorkerInfo &W, Millis Now);

  void onStart(const std::string &Task, int Run, const OrderAnswer &A,
               Millis Now);
  void onStop(const std::string &Task, int Run, const OrderAnswer &A,
              Millis Now);
  void onLook(std::uint64_t Serial, const LookAnswer &A, Millis Now);

  /// The answer to the report of \p Sequence; none if it failed.
  void onReply(std::uint64_t Sequence, const std::optional<AgentReply> &R,
               Millis Now);

  void advance(Millis Now);

  /// Gives the worker a last full lease, so that the process that replaces this
  /// one finds it at work, and stops acting.
  void beginStop(Millis Now);

  bool knowsWorker() const { return m_worker.has_value(); }

private:
  struct Run {
    StartOrder m_order; ///< Empty payload if learned from the worker.
    RunReport m_report;
    bool m_calling = false; ///< A start or stop is on its way.
    bool m_stopWanted = false;
    bool m_stopped = false;        ///< The worker has answered a stop.
    std::uint64_t m_settledBy = 0; ///< Looks after this one tell its state.
    Millis m_retryAt = 0;
  };
  using Key = std::pair<std::string, int>;

  void takeReply(const AgentReply &R, Millis SentAt, Millis Now);
  void takeStart(const StartOrder &O, Millis SentAt, Millis Now);
  void takeStop(const StopOrder &O, Millis Now);
  void takeNoted(const std::vector<EndReport> &Noted);
  void sendStart(Run &R, Millis Now);
  void sendStop(Run &R, Millis Now);
  void sendLook(Millis WaitMs, Millis Now);
  void sendReport(bool Waits, Millis Now);
  void addEnd(const EndReport &E);
  void endWithout(const Key &K, EndKind Kind, const std::string &Detail);
  void forgetLife(Millis Now);
  void noteLate(const Key &K, Millis Now);
  void expireLease(Millis Now);
  void reconcile(const LookAnswer &A);
  void setClock(Millis Clock, Millis Now);
  Millis deadline(Millis Now);
  bool inContact(Millis Now) const {
    return m_contactAt >= 0 && Now - m_contactAt < m_timing.m_autonomyMs;
  }

  const std::string m_name;
  const std::int64_t m_incarnation;
  AgentTiming m_timing;
  AgentPorts &m_ports;
  base::Counters &m_counters;

  std::optional<WorkerInfo> m_worker;
  bool m_synced = false; ///< The worker was looked at in its current life.
  Millis m_clock = 0;    ///< Of the worker, at m_clockAt.
  Millis m_clockAt = -1;
  Millis m_leaseUntil = -1; ///< All grants so far have run out by then.
  std::uint64_t m_epoch = 0;
  Millis m_contactAt = -1; ///< When a report was sent that was answered.
  std::map<Key, Run> m_runs;
  /// Starts that were not answered and may still be carried out, until then.
  std::map<Key, Millis> m_late;
  std::vector<EndReport> m_ends;
  std::int64_t m_highestEnd = 0;
  std::int64_t m_noted = 0;

  std::uint64_t m_serial = 0; ///< Of looks.
  std::uint64_t m_lookedSerial = 0;
  std::uint64_t m_longLook = 0; ///< Serial of the look that waits, or 0.
  Millis m_lookAt = 0;
  int m_looksFailed = 0;

  std::uint64_t m_sequence = 0;                            ///< Of reports.
  std::map<std::uint64_t, std::pair<Millis, bool>> m_sent; ///< When, and waits.
  bool m_changed = false; ///< Something the leader should know at once.
  Millis m_reportAt = 0;
  bool m_stopping = false;
};

} // namespace pomelokeel::batch
