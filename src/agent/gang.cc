#include "agent/gang.h"

#include <algorithm>

namespace pomelokeel::agent {
namespace {

using model::GangStatus;
using model::MessageKind;

/// Stop messages are repeated for this many leases. A member that receives none
/// of them stops when its lease expires.
constexpr int StopRepeatLeases = 2;

} // namespace

GangParent::GangParent(int Self, const std::vector<int> &Children,
                       GangTiming Timing, Millis StartBy, bool Adopted,
                       Millis Now)
    : m_self(Self), m_timing(Timing), m_startBy(StartBy),
      m_nextHeartbeatAt(Now), m_released(Adopted) {
  m_children.reserve(Children.size());
  for (const int Member : Children) {
    ChildState &Child = m_children.emplace_back();
    Child.m_member = Member;
    Child.m_lastContactAt = Adopted ? Now : -1;
  }
}

void GangParent::onReply(int Member, std::uint64_t HeartbeatId,
                         const GangStatus &Status, Millis Now) {
  const auto It = std::find_if(
      m_children.begin(), m_children.end(),
      [&](const ChildState &Child) { return Child.m_member == Member; });
  if (It == m_children.end())
    return;
  ChildState &Child = *It;
  // The child's lease starts when it receives the heartbeat, so it lasts at
  // least until one lease after the sending time. The receipt of the reply
  // proves nothing later, because the reply may have waited in a buffer.
  const auto Sent =
      std::find_if(m_sentHeartbeats.begin(), m_sentHeartbeats.end(),
                   [&](const auto &Item) { return Item.first == HeartbeatId; });
  if (Sent != m_sentHeartbeats.end())
    Child.m_lastContactAt = std::max(Child.m_lastContactAt, Sent->second);
  else if (Child.m_lastContactAt < 0 && !m_released)
    Child.m_lastContactAt = Now;
  if (Child.m_done || Child.m_stopped)
    return;
  Child.m_ready = Child.m_ready || Status.m_ready;
  Child.m_done = Status.m_done;
  Child.m_stopped = Status.m_stopped && !Status.m_done;
  Child.m_reason = Status.m_reason;
}

std::optional<std::string> GangParent::stopReason(LocalTaskState Local,
                                                  Millis Now) const {
  if (Local == LocalTaskState::Stopped)
    return "the task of member " + std::to_string(m_self) + " has ended";
  for (const ChildState &Child : m_children) {
    const std::string Name = "member " + std::to_string(Child.m_member);
    if (Child.m_stopped)
      return Name + " has stopped: " + Child.m_reason;
    if (!Child.m_done && Child.m_lastContactAt >= 0 &&
        Now - Child.m_lastContactAt >= m_timing.m_leaseMs)
      return Name + " has not replied within the gang lease";
  }
  if (!m_released && Now >= m_startBy)
    return "the gang was not complete within the start timeout";
  return std::nullopt;
}

bool GangParent::allReady() const {
  return std::all_of(
      m_children.begin(), m_children.end(), [](const ChildState &Child) {
        return Child.m_ready && !Child.m_done && !Child.m_stopped;
      });
}

bool GangParent::allDone() const {
  return std::all_of(m_children.begin(), m_children.end(),
                     [](const ChildState &Child) { return Child.m_done; });
}

void GangParent::stop(const std::string &Reason, Millis Now) {
  if (m_stop)
    return;
  m_stop = Reason;
  m_repeatStopUntil = Now + StopRepeatLeases * m_timing.m_leaseMs;
  m_nextHeartbeatAt = Now;
}

void GangParent::sendHeartbeats(GangActions &Actions, Millis Now) {
  m_nextHeartbeatAt = Now + m_timing.m_heartbeatIntervalMs;
  m_sentHeartbeats.emplace_back(++m_heartbeatId, Now);
  while (Now - m_sentHeartbeats.front().second >= m_timing.m_leaseMs)
    m_sentHeartbeats.pop_front();
  const bool Stopping = m_stop.has_value();
  if (Stopping && Now > m_repeatStopUntil)
    return;
  for (const ChildState &Child : m_children) {
    if (Child.m_done || (Stopping && Child.m_stopped))
      continue;
    MemberMessage Message;
    Message.m_toMember = Child.m_member;
    Message.m_kind = Stopping ? MessageKind::GangStop : MessageKind::GangBeat;
    Message.m_heartbeatId = m_heartbeatId;
    Message.m_memberStatus.m_member = Child.m_member;
    Message.m_memberStatus.m_parent = m_self;
    Message.m_memberStatus.m_release = m_released && !Stopping;
    Message.m_memberStatus.m_stopped = Stopping;
    Message.m_memberStatus.m_reason = m_stop.value_or("");
    Actions.m_messages.push_back(std::move(Message));
  }
}

GangActions GangParent::advance(LocalTaskState Local, Millis Now,
                                bool MayRelease) {
  GangActions Actions;
  if (const auto Reason = stopReason(Local, Now))
    stop(*Reason, Now);
  if (!m_stop && !m_released && MayRelease && Local == LocalTaskState::Ready &&
      allReady()) {
    m_released = true;
    m_nextHeartbeatAt = Now;
  }
  Actions.m_stop = m_stop;
  Actions.m_release = !m_stop && m_released && Local == LocalTaskState::Ready;
  if (Now >= m_nextHeartbeatAt)
    sendHeartbeats(Actions, Now);
  return Actions;
}

Millis GangParent::leaseEnd() const {
  Millis End = m_released ? INT64_MAX : m_startBy;
  for (const ChildState &Child : m_children) {
    if (!Child.m_done && Child.m_lastContactAt >= 0)
      End = std::min(End, Child.m_lastContactAt + m_timing.m_leaseMs);
  }
  return End;
}

GangChild::GangChild(int Member, int Parent, GangTiming Timing, Millis StartBy,
                     bool Adopted, Millis Now)
    : m_member(Member), m_parent(Parent), m_timing(Timing), m_startBy(StartBy),
      m_lastContactAt(Adopted ? Now : -1), m_released(Adopted),
      m_nextReply(Now) {}

void GangChild::checkLease(Millis Now) {
  if (m_stop)
    return;
  if (m_lastContactAt >= 0 && Now - m_lastContactAt >= m_timing.m_leaseMs)
    m_stop = "member " + std::to_string(m_parent) +
             " has not sent a heartbeat within the gang lease";
  else if (!m_released && Now >= m_startBy)
    m_stop = "the gang was not complete within the start timeout";
}

// The lease is checked first: a heartbeat that is read after the lease has
// expired, for example after the process was frozen, must not renew it.
void GangChild::onHeartbeat(std::uint64_t HeartbeatId, const GangStatus &Status,
                            Millis Now) {
  checkLease(Now);
  m_heartbeatId = std::max(m_heartbeatId, HeartbeatId);
  m_replyDue = true;
  if (m_stop)
    return;
  m_lastContactAt = Now;
  m_released = m_released || Status.m_release;
}

void GangChild::onStop(const GangStatus &Status) {
  if (!m_stop)
    m_stop = "stopped by the gang: " + Status.m_reason;
  m_replyDue = true;
}

void GangChild::fail(const std::string &Reason) {
  if (m_stop)
    return;
  m_stop = Reason;
  m_replyDue = true;
}

GangStatus GangChild::statusFor(LocalTaskState Local) const {
  GangStatus Status;
  Status.m_member = m_member;
  Status.m_parent = m_parent;
  Status.m_ready =
      Local == LocalTaskState::Ready || Local == LocalTaskState::Running;
  Status.m_done = Local == LocalTaskState::Succeeded;
  Status.m_stopped =
      !Status.m_done && (m_stop || Local == LocalTaskState::Stopped);
  if (Status.m_stopped)
    Status.m_reason = m_stop.value_or("its task has ended");
  return Status;
}

GangActions GangChild::advance(LocalTaskState Local, Millis Now) {
  GangActions Actions;
  if (Local != LocalTaskState::Succeeded)
    checkLease(Now);
  if (Local == LocalTaskState::Stopped && !m_stop)
    m_stop = "its task has ended";
  Actions.m_release = !m_stop && m_released && Local == LocalTaskState::Ready;
  if (Local != LocalTaskState::Succeeded)
    Actions.m_stop = m_stop;
  if (!m_replyDue && Local == m_reported && Now < m_nextReply)
    return Actions;
  m_replyDue = false;
  m_reported = Local;
  m_nextReply = Now + 2 * m_timing.m_heartbeatIntervalMs;
  Actions.m_messages.push_back(
      {m_parent, MessageKind::GangReply, m_heartbeatId, statusFor(Local)});
  return Actions;
}

Millis GangChild::leaseEnd() const {
  return m_lastContactAt < 0 ? m_startBy : m_lastContactAt + m_timing.m_leaseMs;
}

GangNode::GangNode(int Member, const model::GangLinks &Links, GangTiming Timing,
                   Millis StartBy, bool Adopted, Millis Now)
    : m_toChildren(Member, Links.m_children, Timing, StartBy, Adopted, Now) {
  if (Links.m_parent >= 0)
    m_toParent.emplace(Member, Links.m_parent, Timing, StartBy, Adopted, Now);
}

void GangNode::onReply(std::uint64_t HeartbeatId, const GangStatus &Status,
                       Millis Now) {
  m_toChildren.onReply(Status.m_member, HeartbeatId, Status, Now);
}

void GangNode::onHeartbeat(std::uint64_t HeartbeatId, const GangStatus &Status,
                           Millis Now) {
  if (m_toParent)
    m_toParent->onHeartbeat(HeartbeatId, Status, Now);
}

void GangNode::onStop(const GangStatus &Status) {
  if (m_toParent)
    m_toParent->onStop(Status);
}

// The subtree is ready or done only if the local task and all children are.
LocalTaskState GangNode::subtreeState(LocalTaskState Local) const {
  if (m_toChildren.stopped())
    return LocalTaskState::Stopped;
  if (Local == LocalTaskState::Ready && !m_toChildren.allReady())
    return LocalTaskState::Starting;
  if (Local == LocalTaskState::Succeeded && !m_toChildren.allDone())
    return LocalTaskState::Running;
  return Local;
}

GangActions GangNode::advance(LocalTaskState Local, Millis Now) {
  if (!m_toParent)
    return m_toChildren.advance(Local, Now);
  GangActions ParentActions = m_toParent->advance(subtreeState(Local), Now);
  if (ParentActions.m_stop)
    m_toChildren.stop(*ParentActions.m_stop, Now);
  GangActions Actions =
      m_toChildren.advance(Local, Now, m_toParent->released());
  if (Actions.m_stop)
    m_toParent->fail(*Actions.m_stop);
  Actions.m_messages.insert(Actions.m_messages.end(),
                            ParentActions.m_messages.begin(),
                            ParentActions.m_messages.end());
  return Actions;
}

Millis GangNode::leaseEnd() const {
  return m_toParent ? std::min(m_toParent->leaseEnd(), m_toChildren.leaseEnd())
                    : m_toChildren.leaseEnd();
}

} // namespace pomelokeel::agent
