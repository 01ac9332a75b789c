#pragma once

#include "base/clock.h"
#include "base/compact.h"
#include "base/fields.h"
#include "model/job.h"
#include "model/worker.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pomelokeel::model {

/// Kinds of messages between processes; docs/design.md, section 7.
enum class MessageKind {
  Ping,
  Pong,
  Attach,
  Attached,
  Report,
  ReportAck,
  Command,
  CommandReply,
  Digest,
  ConfigNotice,
  GangBeat,
  GangReply,
  GangStop,
  AgentHeartbeat,
};

/// A message between two processes. Names are process names.
struct Message {
  MessageKind m_kind = MessageKind::Ping;
  std::string m_from;
  /// Final receiver of a message that an entry relays; may be empty otherwise.
  std::string m_to;
  std::string m_replyAddress; ///< Mesh address of the sender.
  std::uint64_t m_epoch = 0;
  std::uint64_t m_requestId = 0; ///< Repeated in the reply.
  base::Stamp m_stamp;
  Json m_body = Json::object();

  static constexpr auto fields() {
    return std::tuple{base::required("kind", &Message::m_kind),
                      base::required("from", &Message::m_from),
                      base::optional("replyAddress", &Message::m_replyAddress),
                      base::optional("stamp", &Message::m_stamp),
                      base::optional("requestId", &Message::m_requestId),
                      base::optional("epoch", &Message::m_epoch),
                      base::optional("body", &Message::m_body),
                      base::optional("to", &Message::m_to)};
  }
};

/// Encodes a message as a msgpack array of its fields (base::encodeCompact).
std::vector<std::uint8_t> encodeMessage(const Message &M);

/// Decodes the output of encodeMessage(). Errors: badRequest and those of
/// base::decodeCompact.
base::Result<Message> decodeMessage(const std::uint8_t *Data, std::size_t Size);

/// Body of Ping and Pong.
struct Heartbeat {
  std::string m_role; ///< "leader", "standby" or "agent".
  std::uint64_t m_appliedOffset = 0;
  std::uint64_t m_configVersion = 0;
  /// Sent by a leader: time since the last moment at which it is certain that
  /// no other leader had replaced it; -1 if there is none.
  Millis m_leaderAgeMs = -1;

  static constexpr auto fields() {
    return std::tuple{
        base::required("role", &Heartbeat::m_role),
        base::optional("appliedOffset", &Heartbeat::m_appliedOffset),
        base::optional("configVersion", &Heartbeat::m_configVersion),
        base::optional("leaderAgeMs", &Heartbeat::m_leaderAgeMs)};
  }
};

/// State of one task (a member of an attempt) at an agent.
enum class HoldState { Reserved, Paused, Running, Succeeded, Failed, Stopped };

/// A reservation or task that an agent holds. The agent keeps an ended task
/// until the leader releases it.
struct Hold {
  std::string m_job;
  int m_attempt = 0;
  int m_member = 0;
  std::uint64_t m_fence = 0;
  HoldState m_state = HoldState::Reserved;
  bool m_everRan = false; ///< False proves that the task did not run.
  std::string m_reason;   ///< Why the task is in state Failed or Stopped.
  Json m_answer;          ///< Only in state Succeeded.
  Json m_checkpoint;      ///< Latest checkpoint.
  MemberPlace m_place;

  static constexpr auto fields() {
    return std::tuple{base::required("job", &Hold::m_job),
                      base::required("attempt", &Hold::m_attempt),
                      base::required("member", &Hold::m_member),
                      base::required("fence", &Hold::m_fence),
                      base::required("state", &Hold::m_state),
                      base::optional("everRan", &Hold::m_everRan),
                      base::optional("reason", &Hold::m_reason),
                      base::optional("answer", &Hold::m_answer),
                      base::optional("checkpoint", &Hold::m_checkpoint),
                      base::optional("place", &Hold::m_place)};
  }
};

/// Use of a worker's resources as the worker measured it a short time ago.
struct Usage {
  double m_cores = 0;
  int m_memoryMb = 0;
  int m_busyAccelerators = 0;
  int m_busySlots = 0;

  bool operator==(const Usage &) const = default;

  static constexpr auto fields() {
    return std::tuple{
        base::optional("cores", &Usage::m_cores),
        base::optional("memoryMb", &Usage::m_memoryMb),
        base::optional("busyAccelerators", &Usage::m_busyAccelerators),
        base::optional("busySlots", &Usage::m_busySlots)};
  }
};

/// Body of Attach and Report (agent to its entry, relayed to the leader).
/// A Report is always complete. The agent sends one when its content changes
/// and at a long interval otherwise; between reports it sends AgentHeartbeat.
struct AgentReport {
  Worker m_worker;
  std::vector<Hold> m_holds;
  Usage m_usage;
  bool m_draining = false;
  bool m_workerReachable = true;
  std::uint64_t m_configVersion = 0;
  /// Number of the report within the agent's incarnation, from 1; 0 if the
  /// report has no number.
  std::uint64_t m_sequence = 0;

  static constexpr auto fields() {
    return std::tuple{
        base::required("worker", &AgentReport::m_worker),
        base::optional("holds", &AgentReport::m_holds),
        base::optional("usage", &AgentReport::m_usage),
        base::optional("draining", &AgentReport::m_draining),
        base::optional("workerReachable", &AgentReport::m_workerReachable),
        base::optional("configVersion", &AgentReport::m_configVersion),
        base::optional("sequence", &AgentReport::m_sequence)};
  }
};

/// Body of AgentHeartbeat (agent to its entry): the agent is alive, and its
/// last report is still accurate.
struct AgentHeartbeat {
  std::uint64_t m_sequence = 0;      ///< Number of the last report.
  std::uint32_t m_incarnation = 0;   ///< incarnationHash() of the agent.
  std::uint64_t m_configVersion = 0; ///< As in AgentReport.

  static constexpr auto fields() {
    return std::tuple{
        base::required("sequence", &AgentHeartbeat::m_sequence),
        base::required("incarnation", &AgentHeartbeat::m_incarnation),
        base::optional("configVersion", &AgentHeartbeat::m_configVersion)};
  }
};

/// Returns the hash that stands for an incarnation in heartbeats.
std::uint32_t incarnationHash(const std::string &Incarnation);

/// Body of Attached and ReportAck (entry to agent).
struct AttachAnswer {
  bool m_accepted = false;
  std::string m_reason;
  std::vector<Member> m_members;
  std::uint64_t m_configVersion = 0;
  bool m_draining = false; ///< The agent must drain its endpoint.
  /// Time since the entry last heard from the leader; -1 if unknown.
  Millis m_leaderAgeMs = -1;
  /// The heartbeat names a report that the entry does not have; the agent must
  /// send a complete one.
  bool m_reportWanted = false;

  static constexpr auto fields() {
    return std::tuple{
        base::required("accepted", &AttachAnswer::m_accepted),
        base::optional("configVersion", &AttachAnswer::m_configVersion),
        base::optional("leaderAgeMs", &AttachAnswer::m_leaderAgeMs),
        base::optional("draining", &AttachAnswer::m_draining),
        base::optional("reportWanted", &AttachAnswer::m_reportWanted),
        base::optional("reason", &AttachAnswer::m_reason),
        base::optional("members", &AttachAnswer::m_members)};
  }
};

/// What the leader asks of an agent.
enum class CommandKind { Reserve, Start, Stop, Checkpoint, Throttle, Release };

/// Body of Command. Commands are idempotent. If the agent does not hold the
/// attempt that a Stop names, it records a hold in state Stopped, so that it
/// refuses a late Reserve or Start of that attempt until Release. After
/// Release, the agent refuses a Reserve or Start of that job whose fence is not
/// above the released one.
struct Command {
  CommandKind m_kind = CommandKind::Reserve;
  std::string m_job;
  int m_attempt = 0;
  int m_member = 0;
  std::uint64_t m_fence = 0;
  // Only Reserve and Start use the fields up to m_checkpoint.
  JobSpec m_spec;
  std::vector<MemberPlace>
      m_places; ///< Places of all members, in member order.
  std::vector<std::string>
      m_peers; ///< Mesh addresses of the agents, in member order.
  Millis m_orphanLimitMs = 0;
  Millis m_startTimeoutMs = 0;
  Json m_checkpoint; ///< Checkpoint to resume from.
  std::string m_reason;
  /// Agent incarnation that the command is meant for. Any other incarnation
  /// refuses it, because it does not know which attempts its predecessor
  /// stopped.
  std::string m_incarnation;

  static constexpr auto fields() {
    return std::tuple{
        base::required("kind", &Command::m_kind),
        base::required("job", &Command::m_job),
        base::required("attempt", &Command::m_attempt),
        base::required("member", &Command::m_member),
        base::required("fence", &Command::m_fence),
        base::optional("spec", &Command::m_spec),
        base::optional("places", &Command::m_places),
        base::optional("peers", &Command::m_peers),
        base::optional("orphanLimitMs", &Command::m_orphanLimitMs),
        base::optional("startTimeoutMs", &Command::m_startTimeoutMs),
        base::optional("checkpoint", &Command::m_checkpoint),
        base::optional("incarnation", &Command::m_incarnation),
        base::optional("reason", &Command::m_reason)};
  }
};

/// Body of CommandReply.
struct CommandReply {
  CommandKind m_kind = CommandKind::Reserve;
  std::string m_worker;
  std::string m_job;
  int m_attempt = 0;
  int m_member = 0;
  bool m_accepted = false;
  std::optional<base::ErrorKind> m_error;
  std::string m_message;
  std::string m_incarnation; ///< Incarnation of the agent.
  /// Number of the last report that the agent sent before this reply.
  std::uint64_t m_sequence = 0;

  static constexpr auto fields() {
    return std::tuple{
        base::required("kind", &CommandReply::m_kind),
        base::required("worker", &CommandReply::m_worker),
        base::required("job", &CommandReply::m_job),
        base::required("attempt", &CommandReply::m_attempt),
        base::required("member", &CommandReply::m_member),
        base::required("accepted", &CommandReply::m_accepted),
        base::optional("error", &CommandReply::m_error),
        base::optional("message", &CommandReply::m_message),
        base::optional("incarnation", &CommandReply::m_incarnation),
        base::optional("sequence", &CommandReply::m_sequence)};
  }
};

/// One attached agent in a Digest.
struct DigestEntry {
  std::string m_worker;
  Millis m_silentMs = 0; ///< Time since the entry last heard from the agent.

  static constexpr auto fields() {
    return std::tuple{base::required("worker", &DigestEntry::m_worker),
                      base::optional("silentMs", &DigestEntry::m_silentMs)};
  }
};

/// Body of Digest (entry to leader): all agents attached to the entry.
struct Digest {
  std::vector<DigestEntry> m_agents;

  static constexpr auto fields() {
    return std::tuple{base::required("agents", &Digest::m_agents)};
  }
};

/// Body of GangBeat and GangStop (parent to child in the heartbeat tree of the
/// gang, model/gang.h) and of GangReply (child to parent).
struct GangStatus {
  std::string m_job;
  int m_attempt = 0;
  int m_member = 0; ///< Member number of the child.
  int m_parent = 0;
  bool m_ready = false;   ///< The member's task is paused at the start barrier.
  bool m_release = false; ///< Tells the child that all are ready to run.
  bool m_stopped = false;
  bool m_done = false; ///< The member's task has succeeded.
  std::string m_reason;

  static constexpr auto fields() {
    return std::tuple{base::required("job", &GangStatus::m_job),
                      base::required("attempt", &GangStatus::m_attempt),
                      base::required("member", &GangStatus::m_member),
                      base::optional("parent", &GangStatus::m_parent),
                      base::optional("ready", &GangStatus::m_ready),
                      base::optional("release", &GangStatus::m_release),
                      base::optional("stopped", &GangStatus::m_stopped),
                      base::optional("done", &GangStatus::m_done),
                      base::optional("reason", &GangStatus::m_reason)};
  }
};

/// Builds a message with an encoded body.
template <typename Body>
Message makeMessage(MessageKind Kind, std::string To, const Body &B) {
  Message M;
  M.m_kind = Kind;
  M.m_to = std::move(To);
  M.m_body = base::encodeCompact(B);
  return M;
}

/// Decodes the body of a message. Returns std::nullopt if it is invalid.
template <typename Body> std::optional<Body> readBody(const Message &M) {
  Body Out;
  if (!base::decodeCompact(M.m_body, "", Out))
    return std::nullopt;
  return Out;
}

} // namespace pomelokeel::model

namespace pomelokeel::base {
template <> struct NameTable<model::MessageKind> {
  static constexpr std::array<std::string_view, 14> Names = {
      "ping",      "pong",      "attach",       "attached",      "report",
      "reportAck", "command",   "commandReply", "digest",        "configNotice",
      "gangBeat",  "gangReply", "gangStop",     "agentHeartbeat"};
};
template <> struct NameTable<model::HoldState> {
  static constexpr std::array<std::string_view, 6> Names = {
      "reserved", "paused", "running", "succeeded", "failed", "stopped"};
};
template <> struct NameTable<model::CommandKind> {
  static constexpr std::array<std::string_view, 6> Names = {
      "reserve", "start", "stop", "checkpoint", "throttle", "release"};
};
} // namespace pomelokeel::base
