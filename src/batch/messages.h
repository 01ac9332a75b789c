#pragma once

#include "batch/job.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Messages between entries, the leader among them, and agents. Encoded as
/// arrays in the order of the field tables; new fields go at the end.
namespace pomelokeel::batch {

enum class CallerRequestKind { Submit, Query, Cancel, CountPending };

/// What a caller asks, as an entry passes it to the leader.
struct CallerRequest {
  CallerRequestKind m_kind = CallerRequestKind::Query;
  std::string m_id;
  Queue m_queue;
  std::string m_account;
  std::optional<JobSpec> m_spec; ///< Of Submit.
  Millis m_remainingMs = 0;      ///< How long the caller still waits.
  bool m_maybeDone = false;      ///< Not sent: an earlier try may have worked.
  Millis m_arrivedAt = 0;        ///< Not sent: when it came to its entry.

  static constexpr auto fields() {
    return std::tuple{
        base::required("kind", &CallerRequest::m_kind),
        base::required("id", &CallerRequest::m_id),
        base::required("queue", &CallerRequest::m_queue),
        base::required("account", &CallerRequest::m_account),
        base::optional("spec", &CallerRequest::m_spec),
        base::optional("remainingMs", &CallerRequest::m_remainingMs)};
  }
};

/// Outcome of a caller's request. All after Unknown say that nothing was done.
enum class Verdict {
  Ok,
  Unknown,      ///< Whether it took effect is not known; ask again.
  Gone,         ///< There is no such job.
  NoQueue,      ///< There is no such queue.
  Unauthorized, ///< The key belongs to no account.
  BadRequest,   ///< Will never be accepted as it is.
  Overloaded,   ///< Not accepted; worth another try after a while.
  Unavailable,  ///< Not accepted; the system cannot store it now.
};

inline bool isRefusal(Verdict V) {
  return V == Verdict::Overloaded || V == Verdict::Unavailable;
}

struct CallerReply {
  Verdict m_verdict = Verdict::Unknown;
  JobPhase m_phase = JobPhase::Queued;
  std::int64_t m_pending = 0;
  Millis m_retryAfterMs = 0;
  std::string m_reason;

  static constexpr auto fields() {
    return std::tuple{
        base::required("verdict", &CallerReply::m_verdict),
        base::optional("phase", &CallerReply::m_phase),
        base::optional("pending", &CallerReply::m_pending),
        base::optional("retryAfterMs", &CallerReply::m_retryAfterMs),
        base::optional("reason", &CallerReply::m_reason)};
  }
};

/// How far an agent is with a run.
enum class RunPhase { Starting, Running, Stopping };

/// Why a worker refused an order: it is unhealthy and has done nothing.
constexpr const char *UnhealthyReason = "unhealthy";

/// How a run ended. Void: it was never there and cannot start any more.
enum class EndKind { Done, Failed, Stopped, Lapsed, Broken, Alone, Void };

struct RunReport {
  std::string m_task;
  int m_run = 0;
  RunPhase m_phase = RunPhase::Starting;
  int m_percent = 0;
  std::string m_saved;
  std::int64_t m_usage = 0; ///< Tail latency in ms, or milli-cores in use.

  static constexpr auto fields() {
    return std::tuple{base::required("task", &RunReport::m_task),
                      base::required("run", &RunReport::m_run),
                      base::optional("phase", &RunReport::m_phase),
                      base::optional("percent", &RunReport::m_percent),
                      base::optional("saved", &RunReport::m_saved),
                      base::optional("usage", &RunReport::m_usage)};
  }
};

struct EndReport {
  std::string m_task;
  int m_run = 0;
  EndKind m_kind = EndKind::Stopped;
  std::string m_saved;
  std::int64_t m_number = 0; ///< The worker's number; 0 if it has none.
  std::string m_detail;

  static constexpr auto fields() {
    return std::tuple{base::required("task", &EndReport::m_task),
                      base::required("run", &EndReport::m_run),
                      base::required("kind", &EndReport::m_kind),
                      base::optional("saved", &EndReport::m_saved),
                      base::optional("number", &EndReport::m_number),
                      base::optional("detail", &EndReport::m_detail)};
  }
};

/// A worker as it describes itself.
struct WorkerInfo {
  std::string m_id;
  std::string m_life;      ///< Id and incarnation: changes with each start.
  std::int64_t m_born = 0; ///< Rises with each start on a machine.
  std::string m_service;
  std::string m_dataCentre;
  Resources m_capacity;
  std::vector<std::string> m_labels;
  std::string m_rack;
  bool m_draining = false;
  Millis m_remainingMs = 0; ///< Of a draining one.

  static constexpr auto fields() {
    return std::tuple{base::required("id", &WorkerInfo::m_id),
                      base::required("life", &WorkerInfo::m_life),
                      base::required("service", &WorkerInfo::m_service),
                      base::required("dataCentre", &WorkerInfo::m_dataCentre),
                      base::required("capacity", &WorkerInfo::m_capacity),
                      base::optional("labels", &WorkerInfo::m_labels),
                      base::optional("rack", &WorkerInfo::m_rack),
                      base::optional("draining", &WorkerInfo::m_draining),
                      base::optional("remainingMs", &WorkerInfo::m_remainingMs),
                      base::optional("born", &WorkerInfo::m_born)};
  }
};

/// All that an agent knows of its worker.
struct AgentReport {
  std::string m_agent;
  std::int64_t m_incarnation = 0; ///< Rises with each start of the process.
  std::uint64_t m_sequence = 0;   ///< Rises with each report of an incarnation.
  std::optional<WorkerInfo> m_worker;
  std::vector<RunReport> m_runs;
  std::vector<EndReport> m_ends; ///< Those that were not noted yet.
  bool m_waits = false;     ///< The answer may wait until there are orders.
  bool m_unhealthy = false; ///< The worker does not answer its agent.

  static constexpr auto fields() {
    return std::tuple{
        base::required("agent", &AgentReport::m_agent),
        base::required("incarnation", &AgentReport::m_incarnation),
        base::required("sequence", &AgentReport::m_sequence),
        base::optional("worker", &AgentReport::m_worker),
        base::optional("runs", &AgentReport::m_runs),
        base::optional("ends", &AgentReport::m_ends),
        base::optional("waits", &AgentReport::m_waits),
        base::optional("unhealthy", &AgentReport::m_unhealthy)};
  }
};

struct StartOrder {
  std::string m_task;
  int m_run = 0;
  std::string m_payload;
  std::string m_saved;

  static constexpr auto fields() {
    return std::tuple{base::required("task", &StartOrder::m_task),
                      base::required("run", &StartOrder::m_run),
                      base::required("payload", &StartOrder::m_payload),
                      base::optional("saved", &StartOrder::m_saved)};
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

/// The leader's answer to a report.
struct AgentReply {
  std::uint64_t m_epoch = 0;
  bool m_leads = false; ///< The sender was surely not replaced yet.
  std::string m_life;   ///< The orders are for this life of the worker.
  std::vector<StartOrder> m_starts;
  std::vector<StopOrder> m_stops;
  std::vector<EndReport> m_noted;     ///< Ends that are stored.
  std::vector<std::string> m_entries; ///< Where to ask for the leader.

  static constexpr auto fields() {
    return std::tuple{base::required("epoch", &AgentReply::m_epoch),
                      base::required("leads", &AgentReply::m_leads),
                      base::optional("life", &AgentReply::m_life),
                      base::optional("starts", &AgentReply::m_starts),
                      base::optional("stops", &AgentReply::m_stops),
                      base::optional("noted", &AgentReply::m_noted),
                      base::optional("entries", &AgentReply::m_entries)};
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
