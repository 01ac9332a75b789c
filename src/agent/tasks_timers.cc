#include "agent/tasks.h"

#include <algorithm>

namespace pomelokeel::agent {
namespace {

using model::HoldState;
using model::MessageKind;

constexpr Millis RetryMs = 200;
constexpr Millis RenewMinMs = 20;
/// Renewals per lease.
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
  const int Members = static_cast<int>(T.m_record.m_places.size());
  if (T.m_hold.m_member == 0)
    T.m_gang.emplace<GangHead>(Members, m_limits.m_gang, T.m_startBy, Adopted,
                               Now);
  else
    T.m_gang.emplace<GangMember>(T.m_hold.m_member, m_limits.m_gang,
                                 T.m_startBy, Adopted, Now);
}

// A task that was never released has not run and will not, so it ends here at
// once; the worker is told afterwards.
void TaskTable::wantStop(Task &T, const std::string &Reason) {
  if (T.m_stopReason || isEnded(T.m_hold))
    return;
  T.m_stopReason = Reason;
  if (!T.m_releaseIssued)
    return end(T, HoldState::Stopped, T.m_duplicate, Reason);
  noteEvent("stopping", T, "reason=\"" + Reason + "\"");
}

bool TaskTable::due(const Task &T, CallKind Kind, Millis Now) const {
  return !T.m_inFlight[indexOf(Kind)] && Now >= T.m_nextAt[indexOf(Kind)];
}

void TaskTable::issue(Task &T, WorkerCall Call, Millis RetryAt) {
  Call.m_task =
      model::taskId(T.m_hold.m_job, T.m_hold.m_attempt, T.m_hold.m_member);
  T.m_inFlight[indexOf(Call.m_kind)] = true;
  T.m_nextAt[indexOf(Call.m_kind)] = RetryAt;
  m_effects.m_calls.push_back(std::move(Call));
}

Millis TaskTable::gangLeaseEnd(const Task &T) const {
  if (const auto *Head = std::get_if<GangHead>(&T.m_gang))
    return Head->leaseEnd();
  if (const auto *Member = std::get_if<GangMember>(&T.m_gang))
    return Member->leaseEnd();
  return Forever;
}

Millis TaskTable::orphanEnd(const Task &T) const {
  if (m_contactKnown)
    return m_contactAt + T.m_record.m_orphanLimitMs;
  return std::min(T.m_orphanEnd, m_startedAt + T.m_record.m_orphanLimitMs);
}

// The task must not run past this time, whatever lease the worker grants.
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
  issue(T, std::move(Call), Next);
}

void TaskTable::advanceLive(Task &T, Millis Now) {
  if (Now >= orphanEnd(T))
    wantStop(T, "the orphan limit has passed");
  if (T.m_confirmed && Now >= T.m_leaseEnd)
    wantStop(T, "the worker did not renew the task lease");
  if (T.m_stopReason)
    return;
  if (!T.m_confirmed && due(T, CallKind::Start, Now)) {
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
    issue(T, std::move(Call), Now + RetryMs);
    T.m_nextAt[indexOf(CallKind::Renew)] =
        Now + m_limits.m_taskLeaseMs / RenewalsPerLease;
  }
  if (T.m_confirmed && due(T, CallKind::Renew, Now))
    renew(T, Now);
}

void TaskTable::advanceGang(Task &T, Millis Now) {
  OwnTask Own = OwnTask::Starting;
  if (T.m_hold.m_state == HoldState::Succeeded)
    Own = OwnTask::Succeeded;
  else if (isEnded(T.m_hold) || T.m_stopReason)
    Own = OwnTask::Stopped;
  else if (T.m_hold.m_state == HoldState::Running)
    Own = OwnTask::Running;
  else if (T.m_confirmed && T.m_seenAt >= 0)
    Own = OwnTask::Ready;
  GangStep Step;
  if (auto *Head = std::get_if<GangHead>(&T.m_gang))
    Step = Head->advance(Own, Now);
  else if (auto *Member = std::get_if<GangMember>(&T.m_gang))
    Step = Member->advance(Own, Now);
  for (GangSend &S : Step.m_sends) {
    const auto To = static_cast<std::size_t>(S.m_to);
    if (To >= T.m_record.m_peers.size())
      continue;
    S.m_note.m_job = T.m_hold.m_job;
    S.m_note.m_attempt = T.m_hold.m_attempt;
    m_effects.m_notes.push_back(
        {T.m_record.m_peers[To], S.m_kind, S.m_beat, std::move(S.m_note)});
  }
  if (isEnded(T.m_hold))
    return;
  if (Step.m_stop)
    return wantStop(T, *Step.m_stop);
  if (!Step.m_release || !due(T, CallKind::Release, Now))
    return;
  WorkerCall Call;
  Call.m_kind = CallKind::Release;
  Call.m_notAfter = std::min(runLimit(T), T.m_leaseEnd);
  T.m_releaseIssued = true;
  issue(T, std::move(Call), Now + RetryMs);
}

void TaskTable::advanceTask(Task &T, Millis Now) {
  if (!isEnded(T.m_hold))
    advanceLive(T, Now);
  advanceGang(T, Now);
  const bool Stops = T.m_started && T.m_stopReason && !T.m_workerEnded;
  if (!Stops || !due(T, CallKind::Stop, Now))
    return;
  WorkerCall Call;
  Call.m_kind = CallKind::Stop;
  Call.m_reason = *T.m_stopReason;
  issue(T, std::move(Call), Now + RetryMs);
}

void TaskTable::advanceForgetting(Millis Now) {
  for (auto &[Id, F] : m_forgetting) {
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
  for (auto It = m_tasks.begin(); It != m_tasks.end();) {
    Task &T = It->second;
    if (T.m_hold.m_state == HoldState::Reserved) {
      const bool Expired = Now >= T.m_reservedUntil;
      if (Expired)
        noteEvent("reservationExpired", T, "");
      It = Expired ? m_tasks.erase(It) : std::next(It);
      continue;
    }
    if (T.m_started)
      advanceTask(T, Now);
    ++It;
  }
  advanceForgetting(Now);
  return std::exchange(m_effects, {});
}

void TaskTable::prepareExit(Millis Now) {
  for (auto &[Id, T] : m_tasks) {
    if (isEnded(T.m_hold) || !T.m_started)
      continue;
    if (T.m_hold.m_state == HoldState::Running && !T.m_stopReason)
      renew(T, Now);
    else
      wantStop(T, "the agent is stopping");
  }
}

void TaskTable::onGang(MessageKind Kind, const std::string &From,
                       std::uint64_t RequestId, const model::GangNote &Note,
                       Millis Now) {
  const bool ToHead = Kind == MessageKind::GangReply;
  const auto It = m_tasks.find(
      model::taskId(Note.m_job, Note.m_attempt, ToHead ? 0 : Note.m_member));
  if (It == m_tasks.end()) {
    if (Kind == MessageKind::GangBeat && m_listed)
      refuseBeat(From, RequestId, Note);
    return;
  }
  Task &T = It->second;
  // A restarted agent may have another address than the command told.
  const auto Peer = static_cast<std::size_t>(ToHead ? Note.m_member : 0);
  if (Peer < T.m_record.m_peers.size() && !From.empty())
    T.m_record.m_peers[Peer] = From;
  auto *Head = std::get_if<GangHead>(&T.m_gang);
  auto *Member = std::get_if<GangMember>(&T.m_gang);
  if (ToHead && Head != nullptr)
    Head->onReply(Note.m_member, RequestId, Note, Now);
  if (Kind == MessageKind::GangBeat && Member != nullptr)
    Member->onBeat(RequestId, Note, Now);
  if (Kind == MessageKind::GangStop && Member != nullptr)
    Member->onStop(Note);
}

// Tells a head at once that a member will never be ready.
void TaskTable::refuseBeat(const std::string &From, std::uint64_t RequestId,
                           const model::GangNote &Note) {
  model::GangNote Answer;
  Answer.m_job = Note.m_job;
  Answer.m_attempt = Note.m_attempt;
  Answer.m_member = Note.m_member;
  Answer.m_stopped = true;
  Answer.m_reason = "the agent does not hold the task";
  m_effects.m_notes.push_back(
      {From, MessageKind::GangReply, RequestId, std::move(Answer)});
}

} // namespace pomelokeel::agent
