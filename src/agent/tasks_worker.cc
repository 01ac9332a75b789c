#include "agent/tasks.h"

#include <algorithm>

namespace pomelokeel::agent {
namespace {

using base::ErrorKind;
using model::HoldState;
using model::TaskInfo;
using model::TaskState;

/// Time that an adopted task may run before the first contact with the leader.
/// The leader adds more than this to the orphan limit, which may have been
/// nearly used up before the restart.
constexpr Millis AdoptGraceMs = 4000;
constexpr Millis RetryMs = 200;
constexpr std::size_t MaxForgetting = 4096;

} // namespace

void TaskTable::end(Task &T, HoldState State, bool EverRan,
                    const std::string &Reason) {
  T.m_hold.m_state = State;
  T.m_hold.m_everRan = EverRan;
  T.m_hold.m_reason = Reason;
  T.m_payload = {};
  noteEvent("ended", T,
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

// The worker does not have the task (any more).
void TaskTable::gone(Task &T, const std::string &Reason) {
  T.m_workerEnded = true;
  if (!isEnded(T.m_hold))
    end(T, HoldState::Stopped, T.m_releaseIssued || T.m_duplicate, Reason);
}

void TaskTable::onInfo(Task &T, const TaskInfo &Info, Millis Now) {
  T.m_seenAt = Now;
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
    noteEvent("checkpointed", T, "");
  }
  const std::string Stopped = T.m_stopReason.value_or(Info.m_reason);
  switch (Info.m_state) {
  case TaskState::Paused:
    break;
  case TaskState::Running:
    if (T.m_hold.m_state != HoldState::Running)
      noteEvent("running", T, "");
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

void TaskTable::onChanges(const model::TaskPage &Page, Millis Now) {
  for (const TaskInfo &Info : Page.m_tasks) {
    const auto It = m_tasks.find(Info.m_task);
    if (It != m_tasks.end())
      onInfo(It->second, Info, Now);
    else
      stray(Info, Now);
  }
}

void TaskTable::onList(const model::TaskPage &Page, Millis SentAt, Millis Now) {
  const bool NewWorker = Page.m_incarnation != m_workerIncarnation;
  m_workerIncarnation = Page.m_incarnation;
  std::map<std::string, const TaskInfo *> Listed;
  for (const TaskInfo &Info : Page.m_tasks)
    Listed[Info.m_task] = &Info;
  for (auto &[Id, T] : m_tasks) {
    if (NewWorker)
      T.m_sequence = 0;
    if (Listed.contains(Id))
      onInfo(T, *Listed[Id], Now);
    else if (T.m_confirmed && !T.m_workerEnded && T.m_seenAt < SentAt)
      gone(T, "the worker has restarted and lost the task");
  }
  for (const auto &[Id, Info] : Listed) {
    if (m_tasks.contains(Id))
      continue;
    if (m_listed)
      stray(*Info, Now);
    else
      adopt(*Info, Now);
  }
  m_effects.m_changed = m_effects.m_changed || !m_listed;
  m_listed = true;
}

// A task that was found at the first list. One that is still paused is stopped:
// the previous agent may have reported that it never ran. Whether it does run,
// by a release that is still on its way, only the worker knows.
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
  noteEvent("adopted", T, "state=" + std::string(base::nameOf(Info.m_state)));
  onInfo(T, Info, Now);
  if (Info.m_state == TaskState::Paused)
    wantStop(T, "the agent restarted before the task ran");
  m_tasks.emplace(Info.m_task, std::move(T));
}

// A task that this agent does not hold, for example because a start whose
// answer was lost took effect after the stop. It is removed from the worker.
void TaskTable::stray(const TaskInfo &Info, Millis Now) {
  if (m_forgetting.contains(Info.m_task) ||
      m_forgetting.size() >= MaxForgetting)
    return;
  m_forgetting[Info.m_task] = {!model::isFinal(Info.m_state), false, Now,
                               Now + ForgetForMs};
}

void TaskTable::onForgetAnswer(const WorkerAnswer &A, Millis Now) {
  const auto It = m_forgetting.find(A.m_task);
  if (It == m_forgetting.end())
    return;
  Forgetting &F = It->second;
  F.m_inFlight = false;
  F.m_nextAt = Now + RetryMs;
  const bool Gone = A.m_error == ErrorKind::NotFound ||
                    (A.m_kind == CallKind::Forget && !A.m_error);
  if (Gone || Now > F.m_until) {
    m_forgetting.erase(It);
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
    return onForgetAnswer(A, Now);
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
    onInfo(T, *A.m_info, Now);
}

void TaskTable::onFailedCall(Task &T, const WorkerAnswer &A) {
  if (A.m_kind == CallKind::Start) {
    if (A.m_error != ErrorKind::DuplicateTask)
      return;
    // The first call took effect, or the id was used before this agent
    // started. The changes of the worker tell; until then nothing is proven.
    T.m_confirmed = true;
    T.m_duplicate = T.m_seenAt < 0;
    return;
  }
  if (A.m_error != ErrorKind::NotFound)
    return;
  const bool StartOpen =
      !T.m_confirmed && T.m_inFlight[static_cast<std::size_t>(CallKind::Start)];
  if (!StartOpen && T.m_seenAt <= A.m_sentAt)
    gone(T, T.m_stopReason.value_or("the worker does not know the task"));
}

} // namespace pomelokeel::agent
