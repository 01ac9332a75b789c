#include "agent/tasks.h"

#include <algorithm>

namespace pomelokeel::agent {
namespace {

using model::HoldState;
using model::MessageKind;

constexpr Millis RetryMs = 200;
constexpr Millis RenewMinMs = 20;
constexpr Millis RenewalsPerLease = 3;

constexpr std::size_t indexOf(CallKind Kind) {
  return static_cast<std::size_t>(Kind);
}

std::vector<int> acceleratorsOf(const model::MemberPlace &Place) {
  std::vector<int> Out;
  Out.reserve(static_cast<std::size_t>(std::max(Place.m_accelerators, 0)));
  for (int I = 0; I < Place.m_accelerators; ++I)
    Out.push_back(Place.m_firstAccelerator + I);
  return Out;
}

} // namespace

void TaskTable::createGang(Task &T, bool Adopted, Millis Now) {
  const int Member = T.m_hold.m_member;
  T.m_gang.emplace(Member, model::gangLinks(T.m_record.m_places, Member),
                   m_limits.m_gang, T.m_startBy, Adopted, Now);
}

// A task that was never released has not run and will not run, so it ends at
// once; the Stop call to the worker follows.
void TaskTable::requestTaskStop(Task &T, const std::string &Reason) {
  if (T.m_stopReason || isEnded(T.m_hold))
    return;
  T.m_stopReason = Reason;
  if (!T.m_releaseIssued)
    return end(T, HoldState::Stopped, T.m_duplicate, Reason);
  recordEvent("stopping", T, "reason=\"" + Reason + "\"");
}

bool TaskTable::isDue(const Task &T, CallKind Kind, Millis Now) const {
  return !T.m_inFlight[indexOf(Kind)] && Now >= T.m_nextAt[indexOf(Kind)];
}

void TaskTable::issueCall(Task &T, WorkerCall Call, Millis RetryAt) {
  Call.m_task =
      model::taskId(T.m_hold.m_job, T.m_hold.m_attempt, T.m_hold.m_member);
  T.m_inFlight[indexOf(Call.m_kind)] = true;
  T.m_nextAt[indexOf(Call.m_kind)] = RetryAt;
  m_effects.m_calls.push_back(std::move(Call));
}

Millis TaskTable::gangLeaseEnd(const Task &T) const {
  return T.m_gang ? T.m_gang->leaseEnd() : Forever;
}

Millis TaskTable::orphanEnd(const Task &T) const {
  if (m_leaderContactKnown)
    return m_leaderContactAt + T.m_record.m_orphanLimitMs;
  return std::min(T.m_orphanEnd, m_startedAt + T.m_record.m_orphanLimitMs);
}

// Returns the time after which the task must not run, whatever lease the worker
// grants.
Millis TaskTable::runLimit(const Task &T) const {
  return std::min(orphanEnd(T), gangLeaseEnd(T));
}

void TaskTable::renew(Task &T, Millis Now) {
  const Millis End = std::min(Now + m_limits.m_taskLeaseMs, runLimit(T));
  if (End <= Now)
    return;
  WorkerCall Call;
  Call.m_kind = CallKind::Renew;
  Call.m_leaseEnd = End;
  Call.m_notAfter = End;
  const Millis Next =
      Now + std::max((End - Now) / RenewalsPerLease, RenewMinMs);
  issueCall(T, std::move(Call), Next);
}

void TaskTable::advanceActive(Task &T, Millis Now) {
  if (Now >= orphanEnd(T))
    requestTaskStop(T, "the orphan limit has passed");
  if (T.m_confirmed && Now >= T.m_leaseEnd)
    requestTaskStop(T, "the worker did not renew the task lease");
  const bool MayBegin =
      m_drainingSince < 0 || Now < m_drainingSince + m_limits.m_reserveTtlMs;
  if (!T.m_releaseIssued && !MayBegin)
    requestTaskStop(T, "the worker is draining");
  if (T.m_stopReason)
    return;
  if (!T.m_confirmed && isDue(T, CallKind::Start, Now)) {
    WorkerCall Call;
    Call.m_kind = CallKind::Start;
    Call.m_start = {
        model::taskId(T.m_hold.m_job, T.m_hold.m_attempt, T.m_hold.m_member),
        acceleratorsOf(T.m_hold.m_place),
        T.m_payload,
        true,
        0,
        base::encode(T.m_record)};
    Call.m_notAfter = T.m_startBy;
    Call.m_leaseEnd = std::min(Now + m_limits.m_taskLeaseMs, orphanEnd(T));
    issueCall(T, std::move(Call), Now + RetryMs);
    T.m_nextAt[indexOf(CallKind::Renew)] =
        Now + m_limits.m_taskLeaseMs / RenewalsPerLease;
  }
  if (T.m_confirmed && isDue(T, CallKind::Renew, Now))
    renew(T, Now);
}

void TaskTable::advanceGang(Task &T, Millis Now) {
  LocalTaskState Local = LocalTaskState::Starting;
  if (T.m_hold.m_state == HoldState::Succeeded)
    Local = LocalTaskState::Succeeded;
  else if (isEnded(T.m_hold) || T.m_stopReason)
    Local = LocalTaskState::Stopped;
  else if (T.m_hold.m_state == HoldState::Running)
    Local = LocalTaskState::Running;
  else if (T.m_confirmed && T.m_lastInfoAt >= 0)
    Local = LocalTaskState::Ready;
  GangActions Actions;
  if (T.m_gang)
    Actions = T.m_gang->advance(Local, Now);
  for (MemberMessage &S : Actions.m_messages)
    sendToMember(T, std::move(S));
  if (isEnded(T.m_hold))
    return;
  if (Actions.m_stop)
    return requestTaskStop(T, *Actions.m_stop);
  if (!Actions.m_release || !isDue(T, CallKind::Release, Now))
    return;
  WorkerCall Call;
  Call.m_kind = CallKind::Release;
  Call.m_notAfter = std::min(runLimit(T), T.m_leaseEnd);
  T.m_releaseIssued = true;
  issueCall(T, std::move(Call), Now + RetryMs);
}

void TaskTable::sendToMember(const Task &T, MemberMessage Message) {
  const auto To = static_cast<std::size_t>(Message.m_toMember);
  if (To >= T.m_record.m_peers.size() || To >= T.m_record.m_places.size())
    return;
  Message.m_memberStatus.m_job = T.m_hold.m_job;
  Message.m_memberStatus.m_attempt = T.m_hold.m_attempt;
  if (T.m_record.m_places[To].m_worker == m_limits.m_worker)
    m_localMessages.push_back({Message.m_kind, Message.m_heartbeatId,
                               std::move(Message.m_memberStatus)});
  else
    m_effects.m_gangMessages.push_back({T.m_record.m_peers[To], Message.m_kind,
                                        Message.m_heartbeatId,
                                        std::move(Message.m_memberStatus)});
}

// Replies to these messages are delivered by the next call of advance().
void TaskTable::deliverLocalMessages(Millis Now) {
  for (const LocalMessage &N : std::exchange(m_localMessages, {}))
    onGangMessage(N.m_kind, "", N.m_heartbeatId, N.m_memberStatus, Now);
}

void TaskTable::advanceTask(Task &T, Millis Now) {
  if (!isEnded(T.m_hold))
    advanceActive(T, Now);
  advanceGang(T, Now);
  const bool Stops = T.m_started && T.m_stopReason && !T.m_workerEnded;
  if (!Stops || !isDue(T, CallKind::Stop, Now))
    return;
  WorkerCall Call;
  Call.m_kind = CallKind::Stop;
  Call.m_reason = *T.m_stopReason;
  issueCall(T, std::move(Call), Now + RetryMs);
}

void TaskTable::advanceRemovals(Millis Now) {
  for (auto &[Id, F] : m_pendingRemovals) {
    if (F.m_inFlight || Now < F.m_nextAt)
      continue;
    F.m_inFlight = true;
    WorkerCall Call;
    Call.m_kind = F.m_stopFirst ? CallKind::Stop : CallKind::Forget;
    Call.m_task = Id;
    Call.m_reason = "not held by the agent";
    m_effects.m_calls.push_back(std::move(Call));
  }
}

Effects TaskTable::advance(Millis Now) {
  if (!m_draining)
    m_drainingSince = -1;
  else if (m_drainingSince < 0)
    m_drainingSince = Now;
  for (auto It = m_tasks.begin(); It != m_tasks.end();) {
    Task &T = It->second;
    if (T.m_hold.m_state == HoldState::Reserved) {
      const bool Expired = Now >= T.m_reservedUntil;
      if (Expired)
        recordEvent("reservationExpired", T, "");
      It = Expired ? m_tasks.erase(It) : std::next(It);
      continue;
    }
    if (T.m_started)
      advanceTask(T, Now);
    ++It;
  }
  deliverLocalMessages(Now);
  advanceRemovals(Now);
  return std::exchange(m_effects, {});
}

void TaskTable::prepareExit(Millis Now) {
  for (auto &[Id, T] : m_tasks) {
    if (isEnded(T.m_hold) || !T.m_started)
      continue;
    if (T.m_hold.m_state == HoldState::Running && !T.m_stopReason)
      renew(T, Now);
    else
      requestTaskStop(T, "the agent is stopping");
  }
}

void TaskTable::onGangMessage(MessageKind Kind, const std::string &From,
                              std::uint64_t RequestId,
                              const model::GangStatus &Status, Millis Now) {
  const bool ToParent = Kind == MessageKind::GangReply;
  const int Receiver = ToParent ? Status.m_parent : Status.m_member;
  const int Sender = ToParent ? Status.m_member : Status.m_parent;
  const auto It =
      m_tasks.find(model::taskId(Status.m_job, Status.m_attempt, Receiver));
  if (It == m_tasks.end()) {
    if (Kind == MessageKind::GangBeat && m_tasksKnown)
      refuseHeartbeat(From, RequestId, Status);
    return;
  }
  Task &T = It->second;
  // A restarted agent may have another address than the one in the command.
  const auto Peer = static_cast<std::size_t>(Sender);
  if (Peer < T.m_record.m_peers.size() && !From.empty())
    T.m_record.m_peers[Peer] = From;
  if (!T.m_gang)
    return;
  if (ToParent)
    T.m_gang->onReply(RequestId, Status, Now);
  if (Kind == MessageKind::GangBeat)
    T.m_gang->onHeartbeat(RequestId, Status, Now);
  if (Kind == MessageKind::GangStop)
    T.m_gang->onStop(Status);
}

// Replies that the member has stopped, so that its parent need not wait for the
// start timeout.
void TaskTable::refuseHeartbeat(const std::string &From,
                                std::uint64_t RequestId,
                                const model::GangStatus &Status) {
  model::GangStatus Answer;
  Answer.m_job = Status.m_job;
  Answer.m_attempt = Status.m_attempt;
  Answer.m_member = Status.m_member;
  Answer.m_parent = Status.m_parent;
  Answer.m_stopped = true;
  Answer.m_reason = "the agent does not hold the task";
  if (From.empty()) // from a member on this worker
    return m_localMessages.push_back(
        {MessageKind::GangReply, RequestId, std::move(Answer)});
  m_effects.m_gangMessages.push_back(
      {From, MessageKind::GangReply, RequestId, std::move(Answer)});
}

} // namespace pomelokeel::agent
