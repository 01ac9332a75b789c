#include "entry/core.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace pomelokeel::entry {
namespace {

using model::MessageKind;

// Silence after which the leader removes an entry from the state. An entry that
// still runs announces itself again.
constexpr Millis MemberLostMs = 600000;

// Ping interval between standbys, in heartbeat intervals.
constexpr Millis StandbyPingFactor = 4;

} // namespace

void Core::onMessage(const model::Message &M, Millis NowMs) {
  switch (M.m_kind) {
  case MessageKind::Ping:
  case MessageKind::Pong:
    onPingOrPong(M, NowMs);
    break;
  case MessageKind::Attach:
  case MessageKind::Report:
    onAgentReport(M, NowMs);
    break;
  case MessageKind::AgentHeartbeat:
    onAgentHeartbeat(M, NowMs);
    break;
  case MessageKind::Command:
    onCommand(M);
    break;
  case MessageKind::CommandReply:
    onCommandReply(M, NowMs);
    break;
  case MessageKind::Digest:
    onDigest(M, NowMs);
    break;
  default:
    ++m_counters.get("messages_unexpected");
    break;
  }
}

void Core::onPingOrPong(const model::Message &M, Millis NowMs) {
  const auto H = model::readBody<model::Heartbeat>(M);
  if (!H || H->m_role == "agent" || M.m_from == m_self.m_name)
    return;
  m_replica.recordPeerOffset(H->m_appliedOffset, NowMs);
  m_leadership.recordMemberContact(M.m_from, NowMs);
  // Only pongs count: a ping may have been delayed in an interrupted link,
  // while a pong answers a recent ping.
  if (M.m_kind == MessageKind::Pong &&
      H->m_appliedOffset <= m_replica.nextOffset())
    m_notAheadMs[M.m_from] = NowMs;
  if (M.m_from != state().m_leader || H->m_role != "leader")
    return;
  m_leadership.recordLeaderContact(state(), NowMs);
  // Only a pong proves that messages of this entry reach the leader. The orphan
  // limit of the agents attached here depends on that.
  if (M.m_kind == MessageKind::Pong && H->m_leaderAgeMs >= 0) {
    m_leaderPongMs = NowMs;
    m_leaderPongAgeMs = H->m_leaderAgeMs;
  }
}

void Core::onAgentReport(const model::Message &M, Millis NowMs) {
  const auto R = model::readBody<model::AgentReport>(M);
  if (!R)
    return;
  if (M.m_from == R->m_worker.m_name)
    onAttachedReport(M, *R, NowMs);
  else
    onRelayedReport(M, *R, NowMs);
}

void Core::onRelayedReport(const model::Message &M, const model::AgentReport &R,
                           Millis NowMs) {
  if (m_leadership.leads())
    m_leadership.onReport(state(), R, NowMs);
  else
    bufferEarlyMessage(M);
}

// Another entry may read this entry's claim before this entry does, and sends
// the reports of its agents only once.
void Core::bufferEarlyMessage(const model::Message &M) {
  if (M.m_epoch >= state().m_epoch &&
      m_earlyMessages.size() <
          static_cast<std::size_t>(m_settings.m_queueLength))
    m_earlyMessages.push_back(M);
}

// If this entry does not lead the current epoch, the messages of that epoch
// were meant for another leader and are dropped.
void Core::processEarlyMessages(Millis NowMs) {
  const std::vector<model::Message> Early = std::exchange(m_earlyMessages, {});
  for (const model::Message &M : Early) {
    if (M.m_epoch > state().m_epoch)
      m_earlyMessages.push_back(M);
    else if (M.m_epoch == state().m_epoch && m_leadership.leads())
      onMessage(M, NowMs);
  }
}

void Core::onAttachedReport(const model::Message &M,
                            const model::AgentReport &R, Millis NowMs) {
  const std::string Refusal = attachRefusal(NowMs);
  const bool Known = m_relay.findReport(R.m_worker.m_name) != nullptr;
  // An agent attaches if it is new here or got no answer for a while. In the
  // latter case an open connection to it may be dead.
  if (M.m_kind == MessageKind::Attach)
    m_out.m_drop(M.m_replyAddress);
  // Reports of an agent that is already attached are still relayed after a
  // refusal, until the agent has moved to another entry.
  if (Refusal.empty() || Known) {
    requestAnnouncement(R.m_worker.m_name);
    const ReportActions Actions = m_relay.onReport(R, NowMs);
    if (Actions.m_attached) {
      m_out.m_setRegion(R.m_worker.m_agentAddress, R.m_worker.m_region);
      m_events.record("agentAttached", {"", "", R.m_worker.m_name},
                      "incarnation=" + R.m_worker.m_incarnation);
    }
    if (Actions.m_announce)
      announceWorker(R.m_worker);
    if (Actions.m_forward && forwardReport(R, NowMs))
      m_relay.onReportForwarded(R.m_worker.m_name, NowMs);
  }
  answerAgent(M, R.m_worker.m_name, Refusal, false, NowMs);
}

void Core::onAgentHeartbeat(const model::Message &M, Millis NowMs) {
  const auto H = model::readBody<model::AgentHeartbeat>(M);
  if (!H)
    return;
  requestAnnouncement(M.m_from);
  const HeartbeatActions Actions = m_relay.onHeartbeat(M.m_from, *H, NowMs);
  if (const model::AgentReport *R = m_relay.findReport(M.m_from)) {
    if (Actions.m_announce)
      announceWorker(R->m_worker);
    if (Actions.m_forward && forwardReport(*R, NowMs))
      m_relay.onReportForwarded(M.m_from, NowMs);
  }
  answerAgent(M, M.m_from, attachRefusal(NowMs), Actions.m_reportWanted, NowMs);
}

std::string Core::attachRefusal(Millis NowMs) const {
  return m_stopping ? "this entry is shutting down"
                    : m_replica.attachRefusal(NowMs);
}

// The relay announces each incarnation once. A lost worker with a known
// incarnation is restored only by the leader.
void Core::requestAnnouncement(const std::string &Worker) {
  if (!state().m_workers.contains(Worker))
    m_relay.requestAnnouncement(Worker);
}

void Core::announceWorker(const model::Worker &W) {
  const auto It = state().m_workers.find(W.m_name);
  if (It != state().m_workers.end() && It->second.m_worker == W &&
      It->second.m_standing != model::WorkerStanding::Lost) {
    m_relay.onAnnouncementAnswered(W.m_name, true);
    return;
  }
  if (!append(
          {AppendOwner::Worker, W.m_name},
          m_records.make(model::RecordKind::WorkerAnnounced, base::encode(W))))
    m_relay.onAnnouncementAnswered(W.m_name, false);
}

model::AttachAnswer Core::attachAnswer(const std::string &Worker,
                                       Millis NowMs) const {
  model::AttachAnswer Out;
  Out.m_accepted = true;
  Out.m_configVersion = state().m_configVersion;
  Out.m_draining = state::isDraining(state(), Worker);
  Out.m_leaderAgeMs = leaderAge(NowMs);
  return Out;
}

void Core::answerAgent(const model::Message &M, const std::string &Worker,
                       const std::string &Refusal, bool ReportWanted,
                       Millis NowMs) {
  model::AttachAnswer Out = attachAnswer(Worker, NowMs);
  Out.m_accepted = Refusal.empty();
  Out.m_reason = Refusal;
  Out.m_reportWanted = ReportWanted;
  // The list of entries is large and rarely changes, so it is not sent with
  // every answer.
  const bool Attach = M.m_kind == MessageKind::Attach;
  if (Attach || m_sentMembersVersion[Worker] != m_membersVersion) {
    for (const auto &[Name, Member] : state().m_members)
      Out.m_members.push_back(Member);
    m_sentMembersVersion[Worker] = m_membersVersion;
  }
  model::Message Reply = model::makeMessage(
      Attach ? MessageKind::Attached : MessageKind::ReportAck, "", Out);
  Reply.m_epoch = state().m_epoch;
  Reply.m_requestId = M.m_requestId;
  if (!m_out.m_send(M.m_replyAddress, std::move(Reply)))
    ++m_counters.get("messages_dropped");
}

// Notifies attached agents of a new configuration without waiting for their
// next message.
void Core::notifyAgents(Millis NowMs) {
  if (m_notifiedConfig == state().m_configVersion)
    return;
  m_notifiedConfig = state().m_configVersion;
  for (const model::AgentReport *R : m_relay.reports()) {
    const model::Worker &W = R->m_worker;
    model::Message M = model::makeMessage(MessageKind::ConfigNotice, W.m_name,
                                          attachAnswer(W.m_name, NowMs));
    M.m_epoch = state().m_epoch;
    if (!m_out.m_send(W.m_agentAddress, std::move(M)))
      ++m_counters.get("messages_dropped");
  }
}

bool Core::forwardReport(const model::AgentReport &R, Millis NowMs) {
  if (m_leadership.leads()) {
    m_leadership.onReport(state(), R, NowMs);
    return true;
  }
  return sendToLeader(
      model::makeMessage(MessageKind::Report, state().m_leader, R));
}

// A new leader places nothing on a worker whose report it does not have. The
// stored reports may be out of date, so they are not marked as forwarded, and
// the next report of each agent is forwarded in any case.
void Core::forwardAllReports(Millis NowMs) {
  if (m_leadership.leads())
    return;
  for (const model::AgentReport *R : m_relay.reports())
    forwardReport(*R, NowMs);
}

bool Core::sendToLeader(model::Message M) {
  const Peer *Leader = leaderPeer();
  if (!Leader)
    return false;
  M.m_epoch = state().m_epoch;
  return m_out.m_send(Leader->m_address, std::move(M));
}

const Core::Peer *Core::leaderPeer() const {
  const auto It = m_peers.find(state().m_leader);
  return It == m_peers.end() ? nullptr : &It->second;
}

void Core::sendCommand(const AgentCommand &C) {
  const auto Route = m_relay.route(C.m_worker);
  if (!Route) {
    ++m_counters.get("commands_unroutable");
    return;
  }
  model::Message M =
      model::makeMessage(MessageKind::Command, C.m_worker, C.m_command);
  M.m_epoch = state().m_epoch;
  M.m_requestId = m_nextRequest++;
  if (!m_out.m_send(Route->m_address, std::move(M)))
    ++m_counters.get("messages_dropped");
}

// Relays a command of the leader to an agent that is attached here.
void Core::onCommand(const model::Message &M) {
  if (M.m_epoch < state().m_epoch) {
    ++m_counters.get("commands_stale");
    return;
  }
  const model::AgentReport *R = m_relay.findReport(M.m_to);
  if (!R) {
    ++m_counters.get("commands_unroutable");
    return;
  }
  if (!m_out.m_send(R->m_worker.m_agentAddress, M))
    ++m_counters.get("messages_dropped");
}

void Core::onCommandReply(const model::Message &M, Millis NowMs) {
  const auto Reply = model::readBody<model::CommandReply>(M);
  if (!Reply)
    return;
  m_relay.expectReport(Reply->m_worker, Reply->m_sequence);
  if (m_leadership.leads()) {
    m_leadership.onReply(state(), *Reply, NowMs);
    return;
  }
  // Only replies of agents are forwarded. A reply that another entry forwarded
  // was meant for an earlier leader. The new leader repeats its commands.
  if (M.m_from == Reply->m_worker && !sendToLeader(M))
    ++m_counters.get("messages_dropped");
}

// The sender need not be a member yet: its announcement goes through the log,
// and its first digest may arrive earlier.
void Core::onDigest(const model::Message &M, Millis NowMs) {
  const auto D = model::readBody<model::Digest>(M);
  if (!D || M.m_from == m_self.m_name)
    return;
  if (!m_leadership.leads())
    return bufferEarlyMessage(M);
  m_relay.onDigest(M.m_from, M.m_replyAddress, *D, NowMs);
  m_leadership.onDigest(*D, NowMs);
}

void Core::tickDigests(Millis NowMs) {
  if (const auto D = m_relay.digestDue(NowMs)) {
    if (m_leadership.leads())
      m_leadership.onDigest(*D, NowMs);
    else if (!sendToLeader(
                 model::makeMessage(MessageKind::Digest, state().m_leader, *D)))
      m_relay.digestNotSent();
  }
  if (!m_leadership.leads())
    return;
  for (const model::Digest &D : m_relay.liveDigests(m_out.m_silence, NowMs))
    m_leadership.onDigest(D, NowMs);
}

void Core::updatePeers(Millis NowMs) {
  if (!m_membersChanged)
    return;
  m_membersChanged = false;
  ++m_membersVersion;
  const auto &Members = state().m_members;
  std::erase_if(m_peers, [&](const auto &Item) {
    const auto It = Members.find(Item.first);
    if (It != Members.end() &&
        It->second.m_meshAddress == Item.second.m_address)
      return false;
    m_out.m_drop(Item.second.m_address);
    m_relay.forgetEntry(Item.first);
    return true;
  });
  for (const auto &[Name, M] : Members) {
    if (Name == m_self.m_name || m_peers.contains(Name))
      continue;
    m_peers[Name] = {M.m_meshAddress, NowMs};
    m_out.m_setRegion(M.m_meshAddress, M.m_region);
  }
  setPingIntervals();
}

// The leader and the standbys ping each other at the heartbeat interval.
// Between standbys, pings serve only the rank at a claim and the highest
// applied offset. The rank counts entries whose last contact is at most twice
// the leader timeout ago.
void Core::setPingIntervals() {
  const std::string &Leader = state().m_leader;
  const Millis StandbyMs =
      std::max(m_settings.m_heartbeatMs,
               std::min(StandbyPingFactor * m_settings.m_heartbeatMs,
                        m_settings.m_leaderTimeoutMs));
  const bool PingAllOften = Leader.empty() || Leader == m_self.m_name;
  for (const auto &[Name, P] : m_peers)
    m_out.m_keep(P.m_address, PingAllOften || Name == Leader
                                  ? m_settings.m_heartbeatMs
                                  : StandbyMs);
}

// Removes entries that were killed and not replaced under their name, so that
// the list and the links do not grow forever.
void Core::dropLostMembers(Millis NowMs) {
  for (auto &[Name, P] : m_peers) {
    const Millis Silence = m_out.m_silence(P.m_address);
    if (NowMs - P.m_sinceMs < MemberLostMs ||
        (Silence >= 0 && Silence < MemberLostMs))
      continue;
    P.m_sinceMs = NowMs; // Avoids a second record before this one is read back.
    const auto It = state().m_members.find(Name);
    if (It == state().m_members.end())
      continue;
    m_events.record("entryLost", {}, "entry=" + Name);
    if (!append({AppendOwner::Leader, ""},
                m_records.make(model::RecordKind::EntryLeft,
                               base::encode(model::Departure{
                                   Name, It->second.m_incarnation}))))
      ++m_counters.get("leader_records_dropped");
  }
}

void Core::tickMesh(Millis NowMs) {
  updatePeers(NowMs);
  const Peer *Leader = leaderPeer();
  m_leadership.updateLeaderLink(
      Leader ? m_out.m_closedFor(Leader->m_address) : -1, NowMs);
  if (m_reportedEpoch != state().m_epoch) {
    m_reportedEpoch = state().m_epoch;
    m_leaderPongMs = -1;
    m_relay.onLeaderChanged();
    forwardAllReports(NowMs);
    setPingIntervals();
  }
  notifyAgents(NowMs);
  for (const std::string &Worker : m_relay.dropSilent(NowMs)) {
    m_sentMembersVersion.erase(Worker);
    m_events.record("agentDetached", {"", "", Worker}, "reason=silent");
  }
  tickDigests(NowMs);
  if (m_leadership.leads())
    dropLostMembers(NowMs);
}

Millis Core::leaderAge(Millis NowMs) const {
  if (m_leadership.leads())
    return confirmedAge(NowMs);
  return m_leaderPongMs < 0 ? -1 : NowMs - m_leaderPongMs + m_leaderPongAgeMs;
}

// Time since it was last certain that no other entry had replaced this leader,
// or -1. A leader that is cut off from the log does not read a newer claim.
// Without this age its agents would run tasks beyond the orphan limit, after
// which the new leader counts them as ended. If the log service itself is down,
// no entry can claim leadership, and pongs show that the other entries have
// read no more of the log either.
Millis Core::confirmedAge(Millis NowMs) const {
  const Millis ReadMs = m_replica.endReadAge(NowMs);
  Millis PeersMs = -1;
  for (const auto &[Name, Member] : state().m_members) {
    if (Name == m_self.m_name)
      continue;
    const auto It = m_notAheadMs.find(Name);
    if (It == m_notAheadMs.end())
      return ReadMs;
    PeersMs = std::max(PeersMs, NowMs - It->second);
  }
  if (ReadMs < 0 || PeersMs < 0)
    return std::max(ReadMs, PeersMs);
  return std::min(ReadMs, PeersMs);
}

} // namespace pomelokeel::entry
