#include "agent/gang.h"

#include <algorithm>

namespace pomelokeel::agent {
namespace {

using model::GangNote;
using model::MessageKind;

/// Stop notes are repeated for this many leases; members stop by silence too.
constexpr int StopNoteLeases = 2;

} // namespace

GangHead::GangHead(int Self, const std::vector<int> &Children,
                   GangTiming Timing, Millis StartBy, bool Adopted, Millis Now)
    : m_self(Self), m_timing(Timing), m_startBy(StartBy), m_nextBeat(Now),
      m_released(Adopted) {
  m_children.reserve(Children.size());
  for (const int Child : Children) {
    View &V = m_children.emplace_back();
    V.m_member = Child;
    V.m_heardAt = Adopted ? Now : -1;
  }
}

void GangHead::onReply(int Member, std::uint64_t Beat, const GangNote &Note,
                       Millis Now) {
  const auto It =
      std::find_if(m_children.begin(), m_children.end(),
                   [&](const View &V) { return V.m_member == Member; });
  if (It == m_children.end())
    return;
  View &V = *It;
  // A member's lease runs from the receipt of a beat, so it lasts at least a
  // lease from the sending. A reply that waited in a buffer proves no more.
  const auto Sent =
      std::find_if(m_sent.begin(), m_sent.end(),
                   [&](const auto &Item) { return Item.first == Beat; });
  if (Sent != m_sent.end())
    V.m_heardAt = std::max(V.m_heardAt, Sent->second);
  else if (V.m_heardAt < 0 && !m_released)
    V.m_heardAt = Now;
  if (V.m_done || V.m_stopped)
    return;
  V.m_ready = V.m_ready || Note.m_ready;
  V.m_done = Note.m_done;
  V.m_stopped = Note.m_stopped && !Note.m_done;
  V.m_reason = Note.m_reason;
}

std::optional<std::string> GangHead::fault(OwnTask Own, Millis Now) const {
  if (Own == OwnTask::Stopped)
    return "the task of member " + std::to_string(m_self) + " has ended";
  for (const View &V : m_children) {
    const std::string Name = "member " + std::to_string(V.m_member);
    if (V.m_stopped)
      return Name + " has stopped: " + V.m_reason;
    if (!V.m_done && V.m_heardAt >= 0 &&
        Now - V.m_heardAt >= m_timing.m_leaseMs)
      return Name + " is silent";
  }
  if (!m_released && Now >= m_startBy)
    return "the gang was not complete within the start timeout";
  return std::nullopt;
}

bool GangHead::allReady() const {
  return std::all_of(m_children.begin(), m_children.end(), [](const View &V) {
    return V.m_ready && !V.m_done && !V.m_stopped;
  });
}

bool GangHead::allDone() const {
  return std::all_of(m_children.begin(), m_children.end(),
                     [](const View &V) { return V.m_done; });
}

void GangHead::stop(const std::string &Reason, Millis Now) {
  if (m_stop)
    return;
  m_stop = Reason;
  m_stopNotesUntil = Now + StopNoteLeases * m_timing.m_leaseMs;
  m_nextBeat = Now;
}

void GangHead::beat(GangStep &Step, Millis Now) {
  m_nextBeat = Now + m_timing.m_beatMs;
  m_sent.emplace_back(++m_beat, Now);
  while (Now - m_sent.front().second >= m_timing.m_leaseMs)
    m_sent.pop_front();
  const bool Stopping = m_stop.has_value();
  if (Stopping && Now > m_stopNotesUntil)
    return;
  for (const View &V : m_children) {
    if (V.m_done || (Stopping && V.m_stopped))
      continue;
    GangSend Send;
    Send.m_to = V.m_member;
    Send.m_kind = Stopping ? MessageKind::GangStop : MessageKind::GangBeat;
    Send.m_beat = m_beat;
    Send.m_note.m_member = V.m_member;
    Send.m_note.m_parent = m_self;
    Send.m_note.m_release = m_released && !Stopping;
    Send.m_note.m_stopped = Stopping;
    Send.m_note.m_reason = m_stop.value_or("");
    Step.m_sends.push_back(std::move(Send));
  }
}

GangStep GangHead::advance(OwnTask Own, Millis Now, bool MayRelease) {
  GangStep Step;
  if (const auto Fault = fault(Own, Now))
    stop(*Fault, Now);
  if (!m_stop && !m_released && MayRelease && Own == OwnTask::Ready &&
      allReady()) {
    m_released = true;
    m_nextBeat = Now;
  }
  Step.m_stop = m_stop;
  Step.m_release = !m_stop && m_released && Own == OwnTask::Ready;
  if (Now >= m_nextBeat)
    beat(Step, Now);
  return Step;
}

Millis GangHead::leaseEnd() const {
  Millis End = m_released ? INT64_MAX : m_startBy;
  for (const View &V : m_children) {
    if (!V.m_done && V.m_heardAt >= 0)
      End = std::min(End, V.m_heardAt + m_timing.m_leaseMs);
  }
  return End;
}

GangMember::GangMember(int Member, int Parent, GangTiming Timing,
                       Millis StartBy, bool Adopted, Millis Now)
    : m_member(Member), m_parent(Parent), m_timing(Timing), m_startBy(StartBy),
      m_heardAt(Adopted ? Now : -1), m_released(Adopted), m_nextReply(Now) {}

void GangMember::checkLease(Millis Now) {
  if (m_stop)
    return;
  if (m_heardAt >= 0 && Now - m_heardAt >= m_timing.m_leaseMs)
    m_stop = "member " + std::to_string(m_parent) + " is silent";
  else if (!m_released && Now >= m_startBy)
    m_stop = "the gang was not complete within the start timeout";
}

// The lease is checked first: a beat that is read after the lease has lapsed,
// for example after the process was frozen, must not renew it.
void GangMember::onBeat(std::uint64_t Beat, const GangNote &Note, Millis Now) {
  checkLease(Now);
  m_beat = std::max(m_beat, Beat);
  m_replyDue = true;
  if (m_stop)
    return;
  m_heardAt = Now;
  m_released = m_released || Note.m_release;
}

void GangMember::onStop(const GangNote &Note) {
  if (!m_stop)
    m_stop = "stopped by the gang: " + Note.m_reason;
  m_replyDue = true;
}

void GangMember::fail(const std::string &Reason) {
  if (m_stop)
    return;
  m_stop = Reason;
  m_replyDue = true;
}

GangNote GangMember::note(OwnTask Own) const {
  GangNote Note;
  Note.m_member = m_member;
  Note.m_parent = m_parent;
  Note.m_ready = Own == OwnTask::Ready || Own == OwnTask::Running;
  Note.m_done = Own == OwnTask::Succeeded;
  Note.m_stopped = !Note.m_done && (m_stop || Own == OwnTask::Stopped);
  if (Note.m_stopped)
    Note.m_reason = m_stop.value_or("its task has ended");
  return Note;
}

GangStep GangMember::advance(OwnTask Own, Millis Now) {
  GangStep Step;
  if (Own != OwnTask::Succeeded)
    checkLease(Now);
  if (Own == OwnTask::Stopped && !m_stop)
    m_stop = "its task has ended";
  Step.m_release = !m_stop && m_released && Own == OwnTask::Ready;
  if (Own != OwnTask::Succeeded)
    Step.m_stop = m_stop;
  if (!m_replyDue && Own == m_told && Now < m_nextReply)
    return Step;
  m_replyDue = false;
  m_told = Own;
  m_nextReply = Now + 2 * m_timing.m_beatMs;
  Step.m_sends.push_back({m_parent, MessageKind::GangReply, m_beat, note(Own)});
  return Step;
}

Millis GangMember::leaseEnd() const {
  return m_heardAt < 0 ? m_startBy : m_heardAt + m_timing.m_leaseMs;
}

GangNode::GangNode(int Member, const model::GangLinks &Links, GangTiming Timing,
                   Millis StartBy, bool Adopted, Millis Now)
    : m_down(Member, Links.m_children, Timing, StartBy, Adopted, Now) {
  if (Links.m_parent >= 0)
    m_up.emplace(Member, Links.m_parent, Timing, StartBy, Adopted, Now);
}

void GangNode::onReply(std::uint64_t Beat, const GangNote &Note, Millis Now) {
  m_down.onReply(Note.m_member, Beat, Note, Now);
}

void GangNode::onBeat(std::uint64_t Beat, const GangNote &Note, Millis Now) {
  if (m_up)
    m_up->onBeat(Beat, Note, Now);
}

void GangNode::onStop(const GangNote &Note) {
  if (m_up)
    m_up->onStop(Note);
}

// The state of the own task and those below as one: ready or done only if all
// are.
OwnTask GangNode::subtree(OwnTask Own) const {
  if (m_down.stopped())
    return OwnTask::Stopped;
  if (Own == OwnTask::Ready && !m_down.allReady())
    return OwnTask::Starting;
  if (Own == OwnTask::Succeeded && !m_down.allDone())
    return OwnTask::Running;
  return Own;
}

GangStep GangNode::advance(OwnTask Own, Millis Now) {
  if (!m_up)
    return m_down.advance(Own, Now);
  GangStep Up = m_up->advance(subtree(Own), Now);
  if (Up.m_stop)
    m_down.stop(*Up.m_stop, Now);
  GangStep Step = m_down.advance(Own, Now, m_up->released());
  if (Step.m_stop)
    m_up->fail(*Step.m_stop);
  Step.m_sends.insert(Step.m_sends.end(), Up.m_sends.begin(), Up.m_sends.end());
  return Step;
}

Millis GangNode::leaseEnd() const {
  return m_up ? std::min(m_up->leaseEnd(), m_down.leaseEnd())
              : m_down.leaseEnd();
}

} // namespace pomelokeel::agent
