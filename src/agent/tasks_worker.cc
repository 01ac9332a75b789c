#include "agent/tasks.h"

#include <algorithm>

namespace pomelokeel::agent {
namespace {

using base::ErrorKind;
using model::HoldState;
using model::TaskInfo;
using model::TaskState;

/// Time that an adopted task may run before the first contact with the leader.
/// Its orphan limit may have been nearly reached before the restart; the leader
/// allows for that by adding more than this time to the limit.
constexpr Millis AdoptGraceMs = 4000;
constexpr Millis RetryMs = 200;
constexpr std::size_t MaxPendingRemovals = 4096;

} // namespace

void TaskTable::end(Task &T, HoldState State, bool EverRan,
                    const std::string &Reason) {
  T.m_hold.m_state = State;
  T.m_hold.m_everRan = EverRan;
  T.m_hold.m_reason = Reason;
  T.m_payload = {};
  recordEvent("ended", T,
              "state=" + std::string(base::nameOf(State)) +
                  " everRan=" + (EverRan ? "true" : "false") +
                  (Reason.empty() ? "" : " reason=\"" + Reason + "\""));
}

void TaskTable::succeed(Task &T, const TaskInfo &Info) {
  if (base::dumpJson(Info.m_answer).size() > m_limits.m_maxAnswerBytes) {
    end(T, HoldState::Failed, true,
        "the answer exceeds " + std::to_string(m_limits.m_maxAnswerBytes) +
            " bytes");
    return;
  }
  if (base::nestedDeeperThan(Info.m_answer, base::MaxPayloadNesting)) {
    end(T, HoldState::Failed, true,
        "the answer is nested in more than " +
            std::to_string(base::MaxPayloadNesting) + " levels");
    return;
  }
  T.m_hold.m_answer = Info.m_answer;
  end(T, HoldState::Succeeded, true, "");
}

// Handles a task that the worker does not have or no longer has.
void TaskTable::markTaskLost(Task &T, const std::string &Reason) {
  T.m_workerEnded = true;
  if (!isEnded(T.m_hold))
    end(T, HoldState::Stopped, T.m_releaseIssued || T.m_duplicate, Reason);
}

void TaskTable::onTaskInfo(Task &T, const TaskInfo &Info, Millis Now) {
  T.m_lastInfoAt = Now;
  T.m_duplicate = false;
  if (Info.m_sequence < T.m_sequence)
    return;
  T.m_sequence = Info.m_sequence;
  T.m_confirmed = true;
  T.m_workerEnded = model::isFinal(Info.m_state);
  if (isEnded(T.m_hold))
    return;
  if (!Info.m_checkpoint.is_null() &&
      Info.m_checkpoint != T.m_hold.m_checkpoint) {
    T.m_hold.m_checkpoint = Info.m_checkpoint;
    recordEvent("checkpointed", T, "");
  }
  const std::string Stopped = T.m_stopReason.value_or(Info.m_reason);
  switch (Info.m_state) {
  case TaskState::Paused:
    break;
  case TaskState::Running:
    if (T.m_hold.m_state != HoldState::Running)
      recordEvent("running", T, "");
    T.m_hold.m_state = HoldState::Running;
    T.m_hold.m_everRan = true;
    break;
  case TaskState::Succeeded:
    succeed(T, Info);
    break;
  case TaskState::Failed:
    end(T, HoldState::Failed, Info.m_everRan, Info.m_reason);
    break;
  case TaskState::Stopped:
    end(T, HoldState::Stopped, Info.m_everRan, Stopped);
    break;
  case TaskState::Lapsed:
    end(T, HoldState::Stopped, Info.m_everRan,
        T.m_stopReason.value_or("the task lease lapsed"));
    break;
  }
}

void TaskTable::onTaskChanges(const model::TaskPage &Page, Millis Now) {
  for (const TaskInfo &Info : Page.m_tasks) {
    const auto It = m_tasks.find(Info.m_task);
    if (It != m_tasks.end())
      onTaskInfo(It->second, Info, Now);
    else
      removeUnknownTask(Info, Now);
  }
}

void TaskTable::onTaskList(const model::TaskPage &Page, Millis SentAt,
                           Millis Now) {
  const bool NewWorker = Page.m_incarnation != m_workerIncarnation;
  m_workerIncarnation = Page.m_incarnation;
  std::map<std::string, const TaskInfo *> Listed;
  for (const TaskInfo &Info : Page.m_tasks)
    Listed[Info.m_task] = &Info;
  for (auto &[Id, T] : m_tasks) {
    if (NewWorker)
      T.m_sequence = 0;
    if (Listed.contains(Id))
      onTaskInfo(T, *Listed[Id], Now);
    else if (T.m_confirmed && !T.m_workerEnded && T.m_lastInfoAt < SentAt)
      markTaskLost(T, "the worker has restarted and lost the task");
  }
  for (const auto &[Id, Info] : Listed) {
    if (m_tasks.contains(Id))
      continue;
    if (m_tasksKnown)
      removeUnknownTask(*Info, Now);
    else
      adopt(*Info, Now);
  }
  m_effects.m_changed = m_effects.m_changed || !m_tasksKnown;
  m_tasksKnown = true;
}

// Takes over a task from the first list of the worker. A paused task is
// stopped, because the previous agent may have reported that it never ran. It
// is treated as released: a Release call of that agent may still reach the
// worker, so only the worker knows whether the task ran.
void TaskTable::adopt(const TaskInfo &Info, Millis Now) {
  TaskRecord Record;
  const bool Readable =
      base::decode(Info.m_metadata, "", Record).ok() && Record.m_member >= 0 &&
      static_cast<std::size_t>(Record.m_member) < Record.m_places.size();
  if (!Readable) {
    m_effects.m_events.push_back({"foreignTask", "", "task=" + Info.m_task});
    return;
  }
  Task T;
  T.m_hold.m_job = Record.m_job;
  T.m_hold.m_attempt = Record.m_attempt;
  T.m_hold.m_member = Record.m_member;
  T.m_hold.m_fence = Record.m_fence;
  T.m_hold.m_place = Record.m_places[static_cast<std::size_t>(Record.m_member)];
  T.m_hold.m_state = HoldState::Paused;
  T.m_record = std::move(Record);
  T.m_started = true;
  T.m_releaseIssued = true;
  T.m_startBy = Now;
  T.m_orphanEnd = Now + std::min(T.m_record.m_orphanLimitMs, AdoptGraceMs);
  raiseFence(T.m_hold.m_job, T.m_hold.m_fence);
  createGang(T, true, Now);
  recordEvent("adopted", T, "state=" + std::string(base::nameOf(Info.m_state)));
  onTaskInfo(T, Info, Now);
  if (Info.m_state == TaskState::Paused)
    requestTaskStop(T, "the agent restarted before the task ran");
  m_tasks.emplace(Info.m_task, std::move(T));
}

// Removes a task that this agent does not hold from the worker. Such a task
// appears, for example, if a start whose answer was lost takes effect after the
// stop.
void TaskTable::removeUnknownTask(const TaskInfo &Info, Millis Now) {
  if (m_pendingRemovals.contains(Info.m_task) ||
      m_pendingRemovals.size() >= MaxPendingRemovals)
    return;
  m_pendingRemovals[Info.m_task] = {!model::isFinal(Info.m_state), false, Now,
                                    Now + ForgetForMs};
}

void TaskTable::onRemovalAnswer(const WorkerAnswer &A, Millis Now) {
  const auto It = m_pendingRemovals.find(A.m_task);
  if (It == m_pendingRemovals.end())
    return;
  PendingRemoval &F = It->second;
  F.m_inFlight = false;
  F.m_nextAt = Now + RetryMs;
  const bool Gone = A.m_error == ErrorKind::NotFound ||
                    (A.m_kind == CallKind::Forget && !A.m_error);
  if (Gone || Now > F.m_until) {
    m_pendingRemovals.erase(It);
    return;
  }
  if (A.m_kind == CallKind::Stop && !A.m_error)
    F = {false, false, Now, F.m_until};
  if (A.m_kind == CallKind::Forget && A.m_error == ErrorKind::BadRequest)
    F.m_stopFirst = true;
}

void TaskTable::onAnswer(const WorkerAnswer &A, Millis Now) {
  const auto It = m_tasks.find(A.m_task);
  if (It == m_tasks.end())
    return onRemovalAnswer(A, Now);
  Task &T = It->second;
  T.m_inFlight[static_cast<std::size_t>(A.m_kind)] = false;
  if (A.m_error)
    return onFailedCall(T, A);
  const bool Leases =
      A.m_kind == CallKind::Start || A.m_kind == CallKind::Renew;
  if (Leases)
    T.m_leaseEnd = A.m_sentAt + A.m_leaseMs;
  T.m_confirmed = true;
  if (A.m_info)
    onTaskInfo(T, *A.m_info, Now);
}

void TaskTable::onFailedCall(Task &T, const WorkerAnswer &A) {
  if (A.m_kind == CallKind::Start) {
    if (A.m_error != ErrorKind::DuplicateTask)
      return;
    // Either an earlier Start call took effect, or the id was used before this
    // agent started. Until the worker reports the task, it may have run.
    T.m_confirmed = true;
    T.m_duplicate = T.m_lastInfoAt < 0;
    return;
  }
  if (A.m_error != ErrorKind::NotFound)
    return;
  const bool StartOpen =
      !T.m_confirmed && T.m_inFlight[static_cast<std::size_t>(CallKind::Start)];
  if (!StartOpen && T.m_lastInfoAt <= A.m_sentAt)
    markTaskLost(T,
                 T.m_stopReason.value_or("the worker does not know the task"));
}

} // namespace pomelokeel::agent
