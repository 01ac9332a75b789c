#pragma once

#include "batch/job.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Messages between entries (one of them is the leader) and agents. A message
/// is encoded as an array in the order of its field table, so new fields go at
/// the end.
namespace pomelokeel::batch {

enum class CallerRequestKind { Submit, Query, Cancel, CountPending };

/// A request of a caller, as its entry forwards it to the leader.
struct CallerRequest {
  CallerRequestKind m_kind = CallerRequestKind::Query;
  std::string m_id;
  Queue m_queue;
  std::string m_account;
  std::optional<JobSpec> m_spec; ///< Only for Submit.
  Millis m_remainingMs = 0;      ///< How long the caller will still wait.
  /// Epoch of the leader that the request is sent to; no other carries it out.
  /// 0: any.
  std::uint64_t m_epoch = 0;
  /// An earlier attempt may have taken effect.
  bool m_maybeDone = false;
  /// Not sent. Highest epoch of the leaders that such an attempt was sent to.
  std::uint64_t m_maybeDoneEpoch = 0;
  Millis m_arrivedAt = 0; ///< Not sent. Arrival time at the entry.

  static constexpr auto fields() {
    return std::tuple{
        base::required("kind", &CallerRequest::m_kind),
        base::required("id", &CallerRequest::m_id),
        base::required("queue", &CallerRequest::m_queue),
        base::required("account", &CallerRequest::m_account),
        base::optional("spec", &CallerRequest::m_spec),
        base::optional("remainingMs", &CallerRequest::m_remainingMs),
        base::optional("epoch", &CallerRequest::m_epoch),
        base::optional("maybeDone", &CallerRequest::m_maybeDone)};
  }
};

/// Outcome of a caller's request. Those after Unknown mean that the request had
/// no effect.
enum class Verdict {
  Ok,
  Unknown,      ///< It may have taken effect; the caller should ask again.
  Gone,         ///< The job does not exist.
  NoQueue,      ///< The queue does not exist.
  Unauthorized, ///< The key belongs to no account.
  BadRequest,   ///< The request is invalid; a retry does not help.
  Overloaded,   ///< Not accepted; the caller may retry later.
  Unavailable,  ///< Not accepted; the job cannot be stored now.
};

/// True if the request was not accepted but may be accepted later.
inline bool isRefusal(Verdict V) {
  return V == Verdict::Overloaded || V == Verdict::Unavailable;
}

struct CallerReply {
  Verdict m_verdict = Verdict::Unknown;
  JobPhase m_phase = JobPhase::Queued;
  std::int64_t m_pending = 0;
  Millis m_retryAfterMs = 0;
  std::string m_reason;
  /// The leader of this epoch refuses a submission and has no record of its
  /// job, so no attempt in an earlier epoch has taken effect or will. 0: not
  /// said.
  std::uint64_t m_unknownToEpoch = 0;

  static constexpr auto fields() {
    return std::tuple{
        base::required("verdict", &CallerReply::m_verdict),
        base::optional("phase", &CallerReply::m_phase),
        base::optional("pending", &CallerReply::m_pending),
        base::optional("retryAfterMs", &CallerReply::m_retryAfterMs),
        base::optional("reason", &CallerReply::m_reason),
        base::optional("unknownToEpoch", &CallerReply::m_unknownToEpoch)};
  }
};

/// State of a run at its agent.
enum class RunPhase { Starting, Running, Stopping };

/// Reason given when a worker refuses an order, without effect, because it is
/// unhealthy.
constexpr const char *UnhealthyReason = "unhealthy";

/// How a run ended.
enum class EndKind {
  Done,
  Failed,
  Stopped,
  LeaseExpired, ///< The worker killed it when the lease ended, or lost it.
  Broken,
  /// Reported by workers as "alone". Does not count as a failure of the task.
  Alone,
  NeverStarted ///< It never ran and cannot start any more.
};

struct RunReport {
  std::string m_task;
  int m_run = 0;
  RunPhase m_phase = RunPhase::Starting;
  int m_percent = 0;
  std::string m_checkpoint; ///< Newest checkpoint, or "".
  std::int64_t m_usage = 0; ///< Tail latency in ms or milli-cores in use.

  static constexpr auto fields() {
    return std::tuple{base::required("task", &RunReport::m_task),
                      base::required("run", &RunReport::m_run),
                      base::optional("phase", &RunReport::m_phase),
                      base::optional("percent", &RunReport::m_percent),
                      base::optional("saved", &RunReport::m_checkpoint),
                      base::optional("usage", &RunReport::m_usage)};
  }
};

struct EndReport {
  std::string m_task;
  int m_run = 0;
  EndKind m_kind = EndKind::Stopped;
  std::string m_checkpoint; ///< Newest checkpoint, or "".
  /// Number that the worker gave the end; 0 if the agent recorded it.
  std::int64_t m_number = 0;
  std::string m_detail;

  static constexpr auto fields() {
    return std::tuple{base::required("task", &EndReport::m_task),
                      base::required("run", &EndReport::m_run),
                      base::required("kind", &EndReport::m_kind),
                      base::optional("saved", &EndReport::m_checkpoint),
                      base::optional("number", &EndReport::m_number),
                      base::optional("detail", &EndReport::m_detail)};
  }
};

/// Description of a worker, from its heartbeat.
struct WorkerInfo {
  std::string m_id;
  std::string m_workerIncarnation; ///< Made of the worker's id and start time.
  /// Unix time of the worker's start in ms.
  std::int64_t m_startTime = 0;
  std::string m_service;
  std::string m_dataCentre;
  Resources m_capacity;
  std::vector<std::string> m_labels;
  std::string m_rack;
  bool m_draining = false;
  Millis m_remainingMs = 0; ///< Time left until a draining worker stops.
  /// For how long it will be slower than usual after its start.
  Millis m_coldLeftMs = 0;

  static constexpr auto fields() {
    return std::tuple{base::required("id", &WorkerInfo::m_id),
                      base::required("life", &WorkerInfo::m_workerIncarnation),
                      base::required("service", &WorkerInfo::m_service),
                      base::required("dataCentre", &WorkerInfo::m_dataCentre),
                      base::required("capacity", &WorkerInfo::m_capacity),
                      base::optional("labels", &WorkerInfo::m_labels),
                      base::optional("rack", &WorkerInfo::m_rack),
                      base::optional("draining", &WorkerInfo::m_draining),
                      base::optional("remainingMs", &WorkerInfo::m_remainingMs),
                      base::optional("born", &WorkerInfo::m_startTime),
                      base::optional("coldLeftMs", &WorkerInfo::m_coldLeftMs)};
  }
};

/// Time since the last contact of the leader and an agent, in ms, after which
/// the one places no new runs and the other starts none. It covers the time for
/// which a report is held, and is below the 3 s in which a cancel takes effect.
constexpr Millis SilentAgentMs = 2500;

/// How long a worker may still carry out an order that was not answered, in ms.
/// The platform specifies seconds; 12 s have been observed.
constexpr Millis LateOrderMs = 20000;

/// A worker's clock may run slower by this factor, so that a lease lasts longer
/// there.
constexpr double ClockSlowness = 1.03;

/// Returns the fence number of generation \p Generation in an epoch. A worker
/// ignores calls with a lower number than the highest that it has seen, so a
/// call with a new number makes all unanswered calls before it void. Beyond
/// 2^20 generations the number stays, which costs that guarantee, but no calls.
constexpr std::uint64_t fenceOf(std::uint64_t Epoch, std::uint64_t Generation) {
  constexpr int GenerationBits = 20;
  constexpr std::uint64_t MaxGeneration = (1ULL << GenerationBits) - 1;
  return (Epoch << GenerationBits) | std::min(Generation, MaxGeneration);
}

/// State of a worker, its runs and their ends, as known to its agent.
struct AgentReport {
  std::string m_agent;
  std::int64_t m_incarnation = 0; ///< Increases with each start of the agent.
  /// Increases with each report of an incarnation.
  std::uint64_t m_sequence = 0;
  std::optional<WorkerInfo> m_worker;
  std::vector<RunReport> m_runs;
  std::vector<EndReport> m_ends; ///< Ends that are not acknowledged yet.
  /// The leader may hold its reply until there are orders.
  bool m_longPoll = false;
  bool m_unhealthy = false; ///< The worker does not answer polls.
  /// Highest fence number of a poll that this incarnation of the worker has
  /// answered; the runs and ends are at least as new as that answer.
  std::uint64_t m_fence = 0;
  /// Set by an agent process that is stopping: it grants no further leases, and
  /// all that it has granted end within this time in ms.
  std::optional<Millis> m_leasesEndInMs;

  static constexpr auto fields() {
    return std::tuple{
        base::required("agent", &AgentReport::m_agent),
        base::required("incarnation", &AgentReport::m_incarnation),
        base::required("sequence", &AgentReport::m_sequence),
        base::optional("worker", &AgentReport::m_worker),
        base::optional("runs", &AgentReport::m_runs),
        base::optional("ends", &AgentReport::m_ends),
        base::optional("waits", &AgentReport::m_longPoll),
        base::optional("unhealthy", &AgentReport::m_unhealthy),
        base::optional("fence", &AgentReport::m_fence),
        base::optional("leasesEndInMs", &AgentReport::m_leasesEndInMs)};
  }
};

struct StartOrder {
  std::string m_task;
  int m_run = 0;
  std::string m_payload;
  std::string m_checkpoint; ///< Checkpoint to resume from, or "".

  static constexpr auto fields() {
    return std::tuple{base::required("task", &StartOrder::m_task),
                      base::required("run", &StartOrder::m_run),
                      base::required("payload", &StartOrder::m_payload),
                      base::optional("saved", &StartOrder::m_checkpoint)};
  }
};

struct StopOrder {
  std::string m_task;
  int m_run = 0;

  static constexpr auto fields() {
    return std::tuple{base::required("task", &StopOrder::m_task),
                      base::required("run", &StopOrder::m_run)};
  }
};

/// The leader's reply to a report.
struct AgentReply {
  std::uint64_t m_epoch = 0;
  bool m_leads = false; ///< The sender was certainly still the leader.
  std::string m_workerIncarnation; ///< The one that the orders are meant for.
  std::vector<StartOrder> m_starts;
  std::vector<StopOrder> m_stops;
  /// Reported ends that the leader has stored.
  std::vector<EndReport> m_acknowledged;
  /// Entries that can be asked for the leader.
  std::vector<std::string> m_entries;
  /// Number for the calls to the worker from now on.
  std::uint64_t m_fence = 0;
  /// The worker's data centre is being evacuated: no run may start on it. Not
  /// set by a leader that does not know it yet, or is of an earlier version.
  std::optional<bool> m_evacuated;

  static constexpr auto fields() {
    return std::tuple{base::required("epoch", &AgentReply::m_epoch),
                      base::required("leads", &AgentReply::m_leads),
                      base::optional("life", &AgentReply::m_workerIncarnation),
                      base::optional("starts", &AgentReply::m_starts),
                      base::optional("stops", &AgentReply::m_stops),
                      base::optional("noted", &AgentReply::m_acknowledged),
                      base::optional("entries", &AgentReply::m_entries),
                      base::optional("fence", &AgentReply::m_fence),
                      base::optional("evacuated", &AgentReply::m_evacuated)};
  }
};

} // namespace pomelokeel::batch

namespace pomelokeel::base {

template <> struct NameTable<batch::CallerRequestKind> {
  static constexpr std::array<std::string_view, 4> Names = {
      "submit", "query", "cancel", "countPending"};
};
template <> struct NameTable<batch::Verdict> {
  static constexpr std::array<std::string_view, 8> Names = {
      "ok",           "unknown",    "gone",       "noQueue",
      "unauthorized", "badRequest", "overloaded", "unavailable"};
};
template <> struct NameTable<batch::RunPhase> {
  static constexpr std::array<std::string_view, 3> Names = {
      "starting", "running", "stopping"};
};
template <> struct NameTable<batch::EndKind> {
  static constexpr std::array<std::string_view, 7> Names = {
      "done", "failed", "stopped", "lapsed", "broken", "alone", "void"};
};

} // namespace pomelokeel::base
