#include "agent/core.h"

#include "base/id.h"

#include <algorithm>

namespace pomelokeel::agent {
namespace {

using model::Message;
using model::MessageKind;

/// Time for the last calls to the worker before the process exits.
constexpr Millis ExitCallsMs = 1000;
constexpr std::size_t MaxRedialTimes = 1024;
/// Interval of complete reports while nothing changes.
constexpr Millis ReportEveryMs = 10000;
/// Interval of complete reports while a result waits for its release. The
/// leader repeats a lost release when it sees the result in a newer report.
constexpr Millis ResultEveryMs = 2000;
constexpr Millis HeartbeatsPerGangLease = 6;

TaskLimits limitsOf(const settings::AgentSettings &S,
                    const model::Worker &Self) {
  TaskLimits L;
  L.m_worker = S.m_name;
  L.m_incarnation = Self.m_incarnation;
  L.m_slots = S.m_slots;
  L.m_accelerators = S.m_accelerators;
  L.m_reserveTtlMs = S.m_reserveTtlMs;
  L.m_taskLeaseMs = S.m_taskLeaseMs;
  L.m_gang = {S.m_gangLeaseMs,
              std::max<Millis>(S.m_gangLeaseMs / HeartbeatsPerGangLease, 1)};
  return L;
}

AttachTiming timingOf(const settings::AgentSettings &S) {
  AttachTiming T;
  // Longer than the heartbeat interval, so that at least one heartbeat can be
  // answered before the timeout.
  T.m_linkTimeoutMs = std::max(S.m_linkTimeoutMs, S.m_heartbeatMs + 1);
  return T;
}

} // namespace

Core::Core(const settings::AgentSettings &Settings, model::Worker Self,
           CorePorts Ports, Millis Now)
    : m_settings(Settings), m_self(std::move(Self)), m_ports(Ports),
      m_table(limitsOf(Settings, m_self), Now),
      m_attachment(Settings.m_dataCentre, Settings.m_region, timingOf(Settings),
                   base::stableHash(m_self.m_incarnation)) {
  publishStatus();
}

void Core::handle(CoreEvent Event, Millis Now) {
  if (const auto *In = std::get_if<mesh::Incoming>(&Event))
    return onMessage(In->m_message, Now);
  if (const auto *Answer = std::get_if<WorkerAnswer>(&Event)) {
    m_openCalls -= m_openCalls > 0 ? 1 : 0;
    const bool Silent = Answer->m_error == base::ErrorKind::Timeout ||
                        Answer->m_error == base::ErrorKind::Unreachable;
    if (Silent)
      setReachable(false);
    return m_table.onAnswer(*Answer, Now);
  }
  if (const auto *Page = std::get_if<WorkerPage>(&Event))
    return onTaskPage(*Page, Now);
  if (std::holds_alternative<WorkerUnreachable>(Event))
    return setReachable(false);
  if (auto *Found = std::get_if<EntriesFound>(&Event))
    m_attachment.setMembers(std::move(Found->m_members));
}

void Core::setReachable(bool Reachable) {
  if (m_reachable == Reachable)
    return;
  m_reachable = Reachable;
  m_changed = true;
  m_table.setWorkerReachable(Reachable);
  m_ports.m_events.record(Reachable ? "workerReachable" : "workerUnreachable",
                          {"", "", m_settings.m_name});
}

void Core::onTaskPage(const WorkerPage &Page, Millis Now) {
  setReachable(true);
  m_usage = Page.m_page.m_usage;
  if (Page.m_complete)
    m_table.onTaskList(Page.m_page, Page.m_sentAt, Now);
  else
    m_table.onTaskChanges(Page.m_page, Now);
}

void Core::onMessage(const Message &M, Millis Now) {
  switch (M.m_kind) {
  case MessageKind::Command:
    return onCommand(M, Now);
  case MessageKind::Attached:
  case MessageKind::ReportAck:
  case MessageKind::ConfigNotice:
    return onAttachAnswer(M, Now);
  case MessageKind::GangBeat:
  case MessageKind::GangReply:
  case MessageKind::GangStop:
    return onGangMessage(M, Now);
  case MessageKind::Ping:
  case MessageKind::Pong:
    return;
  default:
    ++m_ports.m_counters.get("agent_unexpected_messages");
  }
}

void Core::onCommand(const Message &M, Millis Now) {
  const auto C = model::readBody<model::Command>(M);
  if (!C) {
    ++m_ports.m_counters.get("agent_damaged_commands");
    return;
  }
  model::CommandReply Reply = m_table.command(*C, M.m_epoch, Now);
  Reply.m_sequence = m_sequence;
  m_repliedSinceReport = true;
  ++m_ports.m_counters.get(Reply.m_accepted ? "agent_commands_accepted"
                                            : "agent_commands_refused");
  Message Out = model::makeMessage(MessageKind::CommandReply, M.m_from, Reply);
  Out.m_epoch = m_table.epoch();
  Out.m_requestId = M.m_requestId;
  m_ports.m_mesh.send(M.m_replyAddress, std::move(Out));
}

// An entry with a lower configuration version than this agent is not up to
// date, so its answer counts as a refusal.
void Core::onAttachAnswer(const Message &M, Millis Now) {
  auto A = model::readBody<model::AttachAnswer>(M);
  if (!A)
    return;
  m_table.observeEpoch(M.m_epoch);
  const bool Behind = A->m_configVersion < m_configVersion;
  if (Behind)
    A->m_accepted = false;
  if (const auto Contact =
          m_attachment.onAnswer(M.m_from, M.m_requestId, *A, Now))
    m_table.onLeaderContact(*Contact);
  if (Behind)
    return;
  m_configVersion = A->m_configVersion;
  const model::Member *Entry = m_attachment.entry();
  if (Entry == nullptr || Entry->m_name != M.m_from)
    return;
  // If a report was sent after the message that is answered here, it may have
  // reached the entry since then, so no further report is sent.
  if (A->m_reportWanted)
    m_changed = m_changed || M.m_requestId > m_lastReportId;
  else
    m_acknowledgedId = std::max(m_acknowledgedId, M.m_requestId);
  if (m_drainWanted == A->m_draining)
    return;
  m_drainWanted = A->m_draining;
  m_changed = true;
  m_table.setDraining(m_drainWanted);
  m_ports.m_events.record(m_drainWanted ? "drainBegins" : "drainEnds",
                          {"", "", m_settings.m_name});
}

void Core::onGangMessage(const Message &M, Millis Now) {
  const auto Status = model::readBody<model::GangStatus>(M);
  if (Status)
    m_table.onGangMessage(M.m_kind, M.m_replyAddress, M.m_requestId, *Status,
                          Now);
}

// A gang stops after one lease without contact. After half a lease without a
// message from the peer, the connection is dialled again, in case it is dead.
void Core::sendGangMessage(const GangMessage &Outgoing, Millis Now) {
  if (Outgoing.m_address.empty())
    return;
  const Millis Silence = m_ports.m_mesh.silence(Outgoing.m_address);
  const auto [Found, New] = m_redialledAt.try_emplace(Outgoing.m_address);
  if (New) // A job never spans regions.
    m_ports.m_mesh.setRegion(Outgoing.m_address, m_settings.m_region);
  Millis &Redialled = Found->second;
  if (Silence > m_settings.m_gangLeaseMs / 2 &&
      Now - Redialled > m_settings.m_gangLeaseMs / 2) {
    m_ports.m_mesh.drop(Outgoing.m_address);
    Redialled = Now;
  }
  if (m_redialledAt.size() > MaxRedialTimes)
    m_redialledAt.clear();
  Message M = model::makeMessage(Outgoing.m_kind, "", Outgoing.m_memberStatus);
  M.m_requestId = Outgoing.m_requestId;
  m_ports.m_mesh.send(Outgoing.m_address, std::move(M));
}

// Performs the effects of the task table. Returns true if the holds changed.
bool Core::applyEffects(Millis Now) {
  Effects E = m_table.advance(Now);
  for (WorkerCall &Call : E.m_calls) {
    WorkerAnswer Refused;
    Refused.m_kind = Call.m_kind;
    Refused.m_task = Call.m_task;
    Refused.m_sentAt = Now;
    Refused.m_error = base::ErrorKind::Overloaded;
    if (m_ports.m_worker.call(std::move(Call)))
      ++m_openCalls;
    else
      m_table.onAnswer(Refused, Now);
  }
  for (const GangMessage &Outgoing : E.m_gangMessages)
    sendGangMessage(Outgoing, Now);
  for (const TaskEvent &Event : E.m_events)
    m_ports.m_events.record(Event.m_name, {Event.m_job, "", m_settings.m_name},
                            Event.m_detail);
  return E.m_changed;
}

void Core::advance(Millis Now) {
  if (applyEffects(Now))
    m_changed = true;
  if (m_changed)
    m_changeReportId = m_lastRequestId + 1;
  if (m_table.tasksKnown())
    attach(Now);
  const bool Due = m_changed || Now >= m_nextMessage;
  if (Due && m_table.tasksKnown() && m_attachment.entry() != nullptr)
    sendReportOrHeartbeat(Now);
  if (Due)
    publishStatus();
  advanceStop(Now);
}

// After a command that changed nothing, the next heartbeat is sent as a report.
void Core::sendReportOrHeartbeat(Millis Now) {
  if (m_changed || m_repliedSinceReport ||
      Now - m_reportedAt >= reportInterval())
    report(MessageKind::Report, Now);
  else
    heartbeat(Now);
}

Millis Core::reportInterval() const {
  const auto Holds = m_table.holds();
  const bool Result = std::any_of(Holds.begin(), Holds.end(), isEnded);
  return Result ? ResultEveryMs : ReportEveryMs;
}

void Core::attach(Millis Now) {
  AttachActions Actions = m_attachment.advance(Now);
  if (Actions.m_detachFrom) {
    m_ports.m_mesh.drop(Actions.m_detachFrom->m_meshAddress);
    m_ports.m_events.record("entryLeft", {"", "", m_settings.m_name},
                            "entry=" + Actions.m_detachFrom->m_name);
  }
  if (Actions.m_needMembers)
    m_ports.m_finder.find();
  if (!Actions.m_attachTo)
    return;
  const model::Member &Entry = *Actions.m_attachTo;
  m_ports.m_mesh.setRegion(Entry.m_meshAddress, Entry.m_region);
  m_ports.m_events.record("attaching", {"", "", m_settings.m_name},
                          "entry=" + Entry.m_name);
  report(MessageKind::Attach, Now);
}

void Core::report(MessageKind Kind, Millis Now) {
  model::AgentReport R;
  R.m_worker = m_self;
  R.m_holds = m_table.holds();
  R.m_usage = m_usage;
  R.m_draining = m_drainWanted || m_stopDeadline != Forever;
  R.m_workerReachable = m_reachable;
  R.m_configVersion = m_configVersion;
  R.m_sequence = ++m_sequence;
  m_reportedAt = Now;
  m_lastReportId = m_lastRequestId + 1;
  m_changed = false;
  m_repliedSinceReport = false;
  sendToEntry(model::makeMessage(Kind, "", R), Now);
}

void Core::heartbeat(Millis Now) {
  model::AgentHeartbeat H;
  H.m_sequence = m_sequence;
  H.m_incarnation = model::incarnationHash(m_self.m_incarnation);
  H.m_configVersion = m_configVersion;
  sendToEntry(model::makeMessage(MessageKind::AgentHeartbeat, "", H), Now);
}

// Reports and heartbeats also check the link: if the entry does not answer, the
// agent leaves it and closes the link. Attach makes an entry dial this agent
// again.
void Core::sendToEntry(Message M, Millis Now) {
  M.m_epoch = m_table.epoch();
  M.m_requestId = ++m_lastRequestId;
  m_attachment.onSent(m_lastRequestId, Now);
  m_ports.m_mesh.send(m_attachment.entry()->m_meshAddress, std::move(M));
  m_nextMessage = Now + m_settings.m_heartbeatMs;
}

void Core::beginStop(Millis Now) {
  if (m_stopDeadline != Forever)
    return;
  m_stopDeadline = Now + m_settings.m_stopGraceMs;
  m_changed = true;
  m_table.beginStop();
  m_ports.m_events.record("stopping", {"", "", m_settings.m_name});
}

// Waits until no task is left and the last change was acknowledged, at most for
// the grace period. Tasks that still run then continue until their lease ends.
void Core::advanceStop(Millis Now) {
  if (m_stopDeadline == Forever || m_finished)
    return;
  const bool Done =
      m_table.idle() && !m_changed && m_acknowledgedId >= m_changeReportId;
  if (m_exitDeadline == Forever && (Done || Now >= m_stopDeadline)) {
    m_exitDeadline = Now + ExitCallsMs;
    m_table.prepareExit(Now);
    m_changed = applyEffects(Now) || m_changed;
    if (m_changed && m_attachment.entry() != nullptr)
      report(MessageKind::Report, Now);
  }
  const bool Exiting = m_exitDeadline != Forever;
  m_finished = Exiting && (m_openCalls == 0 || Now >= m_exitDeadline);
}

void Core::publishStatus() {
  AgentStatus S;
  S.m_name = m_settings.m_name;
  S.m_incarnation = m_self.m_incarnation;
  S.m_meshAddress = m_self.m_agentAddress;
  const model::Member *Entry = m_attachment.entry();
  S.m_entry = Entry == nullptr ? "" : Entry->m_name;
  S.m_configVersion = m_configVersion;
  S.m_epoch = m_table.epoch();
  S.m_draining = m_drainWanted || m_stopDeadline != Forever;
  S.m_workerReachable = m_reachable;
  S.m_holds = m_table.holds();
  for (model::Hold &H : S.m_holds) {
    H.m_answer = {};
    H.m_checkpoint = {};
  }
  const std::lock_guard Lock(m_statusMutex);
  m_status = std::move(S);
}

AgentStatus Core::status() const {
  const std::lock_guard Lock(m_statusMutex);
  return m_status;
}

} // namespace pomelokeel::agent
