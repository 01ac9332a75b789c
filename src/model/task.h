#pragma once

#include "base/clock.h"
#include "base/fields.h"
#include "model/message.h"

#include <cstdint>
#include <string>
#include <vector>

/// Worker protocol (docs/design.md, section 5), spoken by agent and worker over
/// HTTP with JSON. A worker refuses a request with the body of
/// http::errorResponse: duplicateTask if a task with this id was started
/// before, notFound if there is no task with this id.
namespace pomelokeel::model {

/// State of a task at its worker. All but Paused and Running are final.
enum class TaskState { Paused, Running, Succeeded, Failed, Stopped, Lapsed };

/// True for states that a task never leaves.
constexpr bool isFinal(TaskState State) { return State > TaskState::Running; }

/// Body of `POST /tasks`, answered with TaskInfo. The worker starts the task
/// even if its free resources do not suffice. If the task resumes, m_payload
/// has a field "checkpoint".
struct TaskStart {
  std::string m_task;
  std::vector<int> m_accelerators; ///< Indices on the worker.
  Json m_payload = Json::object();
  bool m_paused = false; ///< Do not run before TaskAction::Release.
  Millis m_leaseMs = 0;  ///< The task lapses unless renewed within this time.
  Json m_metadata;       ///< Data of the agent; `GET /tasks` returns it.

  static constexpr auto fields() {
    return std::tuple{
        base::required("task", &TaskStart::m_task),
        base::optional("accelerators", &TaskStart::m_accelerators),
        base::optional("payload", &TaskStart::m_payload),
        base::optional("paused", &TaskStart::m_paused),
        base::required("leaseMs", &TaskStart::m_leaseMs),
        base::optional("metadata", &TaskStart::m_metadata)};
  }
};

/// A task as its worker reports it.
struct TaskInfo {
  std::string m_task;
  TaskState m_state = TaskState::Paused;
  bool m_everRan = false;       ///< False proves that the task did not run.
  std::uint64_t m_sequence = 0; ///< Sequence of the task's last change.
  std::vector<int> m_accelerators;
  std::string m_reason; ///< Why the task failed, stopped or lapsed.
  Json m_answer;        ///< Only in state Succeeded.
  Json m_checkpoint;    ///< Latest checkpoint; null if there is none.
  Json m_metadata;      ///< From TaskStart; only in the answer of `GET /tasks`.

  static constexpr auto fields() {
    return std::tuple{base::required("task", &TaskInfo::m_task),
                      base::required("state", &TaskInfo::m_state),
                      base::optional("everRan", &TaskInfo::m_everRan),
                      base::optional("sequence", &TaskInfo::m_sequence),
                      base::optional("accelerators", &TaskInfo::m_accelerators),
                      base::optional("reason", &TaskInfo::m_reason),
                      base::optional("answer", &TaskInfo::m_answer),
                      base::optional("checkpoint", &TaskInfo::m_checkpoint),
                      base::optional("metadata", &TaskInfo::m_metadata)};
  }
};

/// Answer of `GET /tasks` (all tasks) and `GET /changes?after=N&waitMs=T` (the
/// tasks whose last change has a sequence above N, in order). Sequences start
/// at 1 in every incarnation: when the incarnation changes, the agent reads
/// from 0 again.
struct TaskPage {
  std::string m_incarnation; ///< New for every start of the worker.
  std::uint64_t m_last = 0;  ///< Sequence of the worker's last change.
  std::vector<TaskInfo> m_tasks;
  Usage m_usage;

  static constexpr auto fields() {
    return std::tuple{base::required("incarnation", &TaskPage::m_incarnation),
                      base::required("last", &TaskPage::m_last),
                      base::required("tasks", &TaskPage::m_tasks),
                      base::optional("usage", &TaskPage::m_usage)};
  }
};

/// What `POST /tasks/{id}/{action}` does. The answer is the TaskInfo
/// after the action. On a final task only Forget has an effect.
enum class TaskAction {
  Renew,      ///< Extends the lease; body LeaseRenewal.
  Release,    ///< Lets a paused task run.
  Stop,       ///< Ends the task; body TaskStop.
  Checkpoint, ///< Stores the progress in TaskInfo::m_checkpoint.
  Throttle,   ///< Limits the task's speed; body TaskThrottle.
  Forget,     ///< Removes a final task; its id cannot be used again.
};

/// Body of Renew: the lease ends this long after the worker receives it.
struct LeaseRenewal {
  Millis m_leaseMs = 0;

  static constexpr auto fields() {
    return std::tuple{base::required("leaseMs", &LeaseRenewal::m_leaseMs)};
  }
};

/// Body of Stop.
struct TaskStop {
  std::string m_reason;

  static constexpr auto fields() {
    return std::tuple{base::optional("reason", &TaskStop::m_reason)};
  }
};

/// Body of Throttle: the task runs at this fraction of its speed, above 0 and
/// at most 1.
struct TaskThrottle {
  double m_speed = 1;

  static constexpr auto fields() {
    return std::tuple{base::required("speed", &TaskThrottle::m_speed)};
  }
};

} // namespace pomelokeel::model

namespace pomelokeel::base {
template <> struct NameTable<model::TaskState> {
  static constexpr std::array<std::string_view, 6> Names = {
      "paused", "running", "succeeded", "failed", "stopped", "lapsed"};
};
template <> struct NameTable<model::TaskAction> {
  static constexpr std::array<std::string_view, 6> Names = {
      "renew", "release", "stop", "checkpoint", "throttle", "forget"};
};
} // namespace pomelokeel::base

namespace pomelokeel::model {

/// Returns the request target of `POST /tasks/{id}/{action}`. Task ids
/// (model::taskId) need no percent-encoding.
inline std::string actionTarget(const std::string &Task, TaskAction Action) {
  return "/tasks/" + Task + "/" + std::string(base::nameOf(Action));
}

/// Returns the request target of the long poll for changes.
inline std::string changesTarget(std::uint64_t After, Millis WaitMs) {
  return "/changes?after=" + std::to_string(After) +
         "&waitMs=" + std::to_string(WaitMs);
}

} // namespace pomelokeel::model
