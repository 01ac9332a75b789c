#include "agent/tasks.h"

#include <algorithm>

namespace pomelokeel::agent {
namespace {

using base::Error;
using base::ErrorKind;
using model::Command;
using model::CommandKind;
using model::HoldState;

constexpr Millis DefaultStartTimeoutMs = 10000;
constexpr Millis DefaultOrphanLimitMs = 60000;
/// Speed of a throttled task, as a fraction of full speed.
constexpr double ThrottledSpeed = 0.5;

bool overlaps(const model::MemberPlace &A, const model::MemberPlace &B) {
  return A.m_firstAccelerator < B.m_firstAccelerator + B.m_accelerators &&
         B.m_firstAccelerator < A.m_firstAccelerator + A.m_accelerators;
}

TaskRecord recordOf(const Command &C) {
  return {C.m_job,
          C.m_attempt,
          C.m_member,
          C.m_fence,
          C.m_places,
          C.m_peers,
          C.m_orphanLimitMs > 0 ? C.m_orphanLimitMs : DefaultOrphanLimitMs};
}

model::Hold holdOf(const Command &C) {
  model::Hold H;
  H.m_job = C.m_job;
  H.m_attempt = C.m_attempt;
  H.m_member = C.m_member;
  H.m_fence = C.m_fence;
  const auto Member = static_cast<std::size_t>(std::max(C.m_member, 0));
  if (Member < C.m_places.size())
    H.m_place = C.m_places[Member];
  return H;
}

} // namespace

TaskTable::TaskTable(TaskLimits Limits, Millis Now)
    : m_limits(std::move(Limits)), m_startedAt(Now), m_leaderContactAt(Now) {}

void TaskTable::observeEpoch(std::uint64_t Epoch) {
  m_epoch = std::max(m_epoch, Epoch);
}

void TaskTable::onLeaderContact(Millis At) {
  m_leaderContactKnown = true;
  m_leaderContactAt = std::max(m_leaderContactAt, At);
}

model::CommandReply TaskTable::command(const Command &C, std::uint64_t Epoch,
                                       Millis Now) {
  model::CommandReply R;
  R.m_kind = C.m_kind;
  R.m_worker = m_limits.m_worker;
  R.m_job = C.m_job;
  R.m_attempt = C.m_attempt;
  R.m_member = C.m_member;
  R.m_incarnation = m_limits.m_incarnation;
  const Refusal Refused = execute(C, Epoch, Now);
  R.m_accepted = !Refused;
  if (!Refused)
    return R;
  R.m_error = Refused->m_kind;
  R.m_message = Refused->m_message;
  m_effects.m_events.push_back(
      {"commandRefused", C.m_job,
       "kind=" + std::string(base::nameOf(C.m_kind)) +
           " error=" + std::string(base::errorInfo(Refused->m_kind).m_name)});
  return R;
}

TaskTable::Refusal TaskTable::execute(const Command &C, std::uint64_t Epoch,
                                      Millis Now) {
  if (Epoch < m_epoch)
    return Error{ErrorKind::StaleEpoch,
                 "the highest epoch seen is " + std::to_string(m_epoch)};
  m_epoch = Epoch;
  if (!C.m_incarnation.empty() && C.m_incarnation != m_limits.m_incarnation)
    return Error{ErrorKind::StaleFence,
                 "the command is for another incarnation of the agent"};
  if (!m_tasksKnown)
    return Error{ErrorKind::NotReady,
                 "the tasks of the worker are not known yet"};
  switch (C.m_kind) {
  case CommandKind::Reserve:
    return reserve(C, Now);
  case CommandKind::Start:
    return start(C, Now);
  case CommandKind::Stop:
    return stop(C, Now);
  case CommandKind::Release:
    return release(C, Now);
  case CommandKind::Checkpoint:
  case CommandKind::Throttle:
    return checkpointOrThrottle(C);
  }
  return Error{ErrorKind::BadRequest, "unknown command"};
}

// Returns the task with the job, attempt, member and fence of the command, or
// null.
TaskTable::Task *TaskTable::find(const Command &C) {
  const auto It = m_tasks.find(model::taskId(C.m_job, C.m_attempt, C.m_member));
  if (It == m_tasks.end() || It->second.m_hold.m_fence != C.m_fence)
    return nullptr;
  return &It->second;
}

TaskTable::Refusal TaskTable::checkFence(const Command &C) const {
  const auto Released = m_released.find(C.m_job);
  const bool WasReleased =
      Released != m_released.end() && C.m_fence <= Released->second;
  const auto It = m_fences.find(C.m_job);
  const std::uint64_t Floor =
      It == m_fences.end() ? m_forgottenFence : It->second;
  if (!WasReleased && C.m_fence >= Floor)
    return std::nullopt;
  return Error{ErrorKind::StaleFence,
               "fence " + std::to_string(C.m_fence) +
                   " was released or is below the highest seen"};
}

// When the table is full, the lowest fence is dropped. Fences are log offsets,
// so later placements have higher ones.
void TaskTable::raiseFence(const std::string &Job, std::uint64_t Fence) {
  std::uint64_t &Highest = m_fences[Job];
  Highest = std::max(Highest, Fence);
  if (m_fences.size() <= m_limits.m_maxFences)
    return;
  const auto Lowest = std::min_element(
      m_fences.begin(), m_fences.end(),
      [](const auto &A, const auto &B) { return A.second < B.second; });
  m_forgottenFence = std::max(m_forgottenFence, Lowest->second);
  m_released.erase(Lowest->first);
  m_fences.erase(Lowest);
}

void TaskTable::recordEvent(const char *Name, const Task &T,
                            const std::string &Detail) {
  m_effects.m_changed = true;
  m_effects.m_events.push_back(
      {Name, T.m_hold.m_job,
       "attempt=" + std::to_string(T.m_hold.m_attempt) +
           " member=" + std::to_string(T.m_hold.m_member) +
           (Detail.empty() ? "" : " " + Detail)});
}

TaskTable::Refusal TaskTable::checkCapacity(const Command &C) const {
  const auto Member = static_cast<std::size_t>(std::max(C.m_member, 0));
  if (C.m_member < 0 || Member >= C.m_places.size() ||
      C.m_peers.size() != C.m_places.size())
    return Error{ErrorKind::BadRequest,
                 "places and peers do not match the member"};
  const model::MemberPlace &Place = C.m_places[Member];
  if (Place.m_worker != m_limits.m_worker)
    return Error{ErrorKind::BadRequest,
                 "the place is on worker " + Place.m_worker};
  if (Place.m_firstAccelerator < 0 || Place.m_accelerators < 0 ||
      Place.m_firstAccelerator + Place.m_accelerators > m_limits.m_accelerators)
    return Error{ErrorKind::OutOfRange,
                 "the accelerators are beyond those of the worker"};
  if (m_tasks.size() >= m_limits.m_maxHolds)
    return Error{ErrorKind::Overloaded,
                 "the limit of held tasks and results is reached"};
  int Slots = 0;
  for (const auto &[Id, T] : m_tasks) {
    if (isEnded(T.m_hold) && (T.m_workerEnded || !T.m_started))
      continue;
    ++Slots;
    if (overlaps(T.m_hold.m_place, Place))
      return Error{ErrorKind::Overloaded, "accelerators are held by " + Id};
  }
  if (Slots >= m_limits.m_slots)
    return Error{ErrorKind::Overloaded, "all slots are held"};
  return std::nullopt;
}

TaskTable::Refusal TaskTable::reserve(const Command &C, Millis Now) {
  if (Task *T = find(C)) {
    if (isEnded(T->m_hold))
      return Error{ErrorKind::Cancelled, "the attempt has ended here"};
    if (T->m_hold.m_state == HoldState::Reserved && !m_draining)
      T->m_reservedUntil = Now + m_limits.m_reserveTtlMs;
    return std::nullopt;
  }
  if (m_draining || m_stopping)
    return Error{ErrorKind::ShuttingDown,
                 "the worker is draining or its agent is stopping"};
  if (!m_workerReachable)
    return Error{ErrorKind::Unreachable, "the worker does not answer"};
  if (Refusal R = checkFence(C))
    return R;
  const std::string Id = model::taskId(C.m_job, C.m_attempt, C.m_member);
  if (m_tasks.contains(Id))
    return Error{ErrorKind::StaleFence,
                 "the attempt is held with a fence of " +
                     std::to_string(m_tasks[Id].m_hold.m_fence)};
  if (Refusal R = checkCapacity(C))
    return R;
  raiseFence(C.m_job, C.m_fence);
  Task T;
  T.m_hold = holdOf(C);
  T.m_record = recordOf(C);
  T.m_reservedUntil = Now + m_limits.m_reserveTtlMs;
  recordEvent("reserved", T, "");
  m_tasks.emplace(Id, std::move(T));
  return std::nullopt;
}

TaskTable::Refusal TaskTable::start(const Command &C, Millis Now) {
  Task *T = find(C);
  if (T == nullptr) {
    if (Refusal R = checkFence(C))
      return R;
    return Error{ErrorKind::ReservationExpired,
                 "the attempt has no reservation on this worker"};
  }
  if (T->m_started)
    return std::nullopt;
  if (isEnded(T->m_hold))
    return Error{ErrorKind::Cancelled, "the attempt was stopped before"};
  if (m_stopping)
    return Error{ErrorKind::ShuttingDown, "the agent is stopping"};
  if (Refusal R = checkFence(C))
    return R;
  if (Now >= T->m_reservedUntil)
    return Error{ErrorKind::ReservationExpired, "the reservation has expired"};
  if (C.m_places.size() != T->m_record.m_places.size() ||
      C.m_peers.size() != C.m_places.size())
    return Error{ErrorKind::BadRequest,
                 "places or peers differ in number from the reservation"};
  T->m_record = recordOf(C);
  T->m_payload = C.m_spec.m_payload;
  if (!C.m_checkpoint.is_null() && T->m_payload.is_object())
    T->m_payload["checkpoint"] = C.m_checkpoint;
  T->m_startBy = Now + (C.m_startTimeoutMs > 0 ? C.m_startTimeoutMs
                                               : DefaultStartTimeoutMs);
  T->m_started = true;
  T->m_hold.m_state = HoldState::Paused;
  createGang(*T, false, Now);
  recordEvent("starting", *T, "");
  return std::nullopt;
}

TaskTable::Refusal TaskTable::stop(const Command &C, Millis Now) {
  const std::string Reason = C.m_reason.empty() ? "stopped" : C.m_reason;
  if (Task *T = find(C)) {
    if (!isEnded(T->m_hold))
      requestTaskStop(*T, Reason);
    return std::nullopt;
  }
  const std::string Id = model::taskId(C.m_job, C.m_attempt, C.m_member);
  const auto Released = m_released.find(C.m_job);
  if (Released != m_released.end() && C.m_fence <= Released->second)
    return std::nullopt;
  if (m_tasks.contains(Id))
    return Error{ErrorKind::StaleFence,
                 "the attempt is held with another fence"};
  if (Refusal R = checkFence(C))
    return R;
  if (m_tasks.size() >= m_limits.m_maxHolds)
    return Error{ErrorKind::Overloaded,
                 "the limit of held tasks and results is reached"};
  raiseFence(C.m_job, C.m_fence);
  Task T;
  T.m_hold = holdOf(C);
  T.m_record = recordOf(C);
  T.m_lastInfoAt = Now;
  Task &Kept = m_tasks.emplace(Id, std::move(T)).first->second;
  end(Kept, HoldState::Stopped, false, Reason);
  return std::nullopt;
}

TaskTable::Refusal TaskTable::release(const Command &C, Millis Now) {
  Task *T = find(C);
  if (T == nullptr)
    return std::nullopt;
  if (!isEnded(T->m_hold))
    return Error{ErrorKind::BadRequest, "the task has not ended"};
  const std::string Id = model::taskId(C.m_job, C.m_attempt, C.m_member);
  if (T->m_started)
    m_pendingRemovals[Id] = {!T->m_workerEnded, false, Now, Now + ForgetForMs};
  std::uint64_t &Released = m_released[C.m_job];
  Released = std::max(Released, C.m_fence);
  raiseFence(C.m_job, C.m_fence);
  m_tasks.erase(Id);
  m_effects.m_changed = true;
  return std::nullopt;
}

TaskTable::Refusal TaskTable::checkpointOrThrottle(const Command &C) {
  Task *T = find(C);
  if (T == nullptr)
    return Error{ErrorKind::NotFound, "the agent does not hold the task"};
  if (T->m_hold.m_state != HoldState::Running)
    return Error{ErrorKind::NotReady, "the task is not running"};
  WorkerCall Call;
  Call.m_kind = C.m_kind == CommandKind::Checkpoint ? CallKind::Checkpoint
                                                    : CallKind::Throttle;
  Call.m_speed = ThrottledSpeed;
  if (!T->m_inFlight[static_cast<std::size_t>(Call.m_kind)])
    issueCall(*T, std::move(Call), 0);
  return std::nullopt;
}

void TaskTable::beginStop() {
  m_stopping = true;
  for (auto &[Id, T] : m_tasks) {
    if (T.m_hold.m_state == HoldState::Reserved)
      end(T, HoldState::Stopped, false, "the agent is stopping");
  }
}

bool TaskTable::idle() const {
  return std::all_of(m_tasks.begin(), m_tasks.end(), [](const auto &Item) {
    return isEnded(Item.second.m_hold);
  });
}

std::vector<model::Hold> TaskTable::holds() const {
  std::vector<model::Hold> Out;
  Out.reserve(m_tasks.size());
  for (const auto &[Id, T] : m_tasks)
    Out.push_back(T.m_hold);
  return Out;
}

} // namespace pomelokeel::agent
