#pragma once

#include "base/clock.h"
#include "model/message.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pomelokeel::entry {

using base::Millis;

/// Intervals and limits of the relay.
struct RelayTiming {
  Millis m_agentTimeoutMs = 3000; ///< Silence that is reported as a change.
  Millis m_digestMs = 500;        ///< Between digests if something changed.
  /// Between a digest that reported a change and its repetitions. The first one
  /// may be lost on a connection that is dead but not yet closed.
  Millis m_repeatDigestMs = 2000;
  Millis m_unchangedDigestMs = 10000; ///< Between digests if nothing changed.
  Millis m_reportMs = 10000;          ///< Between unchanged reports.
  /// Between unchanged reports that carry a result. The agent keeps a result
  /// until the leader has recorded it, and a forwarded report may be lost.
  Millis m_resultReportMs = 2000;
  Millis m_forgetMs = 30000; ///< Silence after which an agent is dropped.
  /// Age up to which a digest is valid if its entry still sends messages.
  Millis m_digestValidMs = 25000;
};

/// What the entry has to do after a report of an agent.
struct ReportActions {
  bool m_attached = false; ///< New at this entry, or a new incarnation.
  bool m_forward = false;  ///< Send this report to the leader.
  bool m_announce = false; ///< Append workerAnnounced.
};

/// What the entry has to do after a heartbeat of an agent.
struct HeartbeatActions {
  bool m_reportWanted = false; ///< Ask the agent for its report.
  bool m_forward = false;      ///< Send the stored report to the leader.
  bool m_announce = false;     ///< Append workerAnnounced.
};

/// Where to send a command for a worker.
struct RelayRoute {
  bool m_local = false;  ///< The agent is attached to this entry.
  std::string m_entry;   ///< Otherwise the entry the agent is attached to.
  std::string m_address; ///< Mesh address of the agent or of that entry.
};

/// Tracks the agents attached to this entry and, at the leader, the agents that
/// other entries reported in digests. Uses no sockets and no clock.
class Relay {
public:
  explicit Relay(RelayTiming Timing);

  /// Stores a report that came from the agent itself.
  ReportActions onReport(const model::AgentReport &R, Millis NowMs);

  /// Handles a heartbeat of the agent of \p Worker.
  HeartbeatActions onHeartbeat(const std::string &Worker,
                               const model::AgentHeartbeat &H, Millis NowMs);

  /// The report of \p Worker was sent to the leader.
  void onReportForwarded(const std::string &Worker, Millis NowMs);

  /// Marks the first report of \p Worker after \p Sequence for forwarding even
  /// if it is unchanged. Called when the agent answered a command, because the
  /// leader compares that answer with the next report.
  void expectReport(const std::string &Worker, std::uint64_t Sequence);

  /// Marks the report of \p Worker for forwarding even if it is unchanged.
  void repeatReport(const std::string &Worker);

  /// Requests a new announcement of \p Worker with its next report or
  /// heartbeat, because the log has no usable one.
  void requestAnnouncement(const std::string &Worker);

  /// Records the result of an announcement of \p Worker. If \p Done is false,
  /// the announcement is repeated.
  void onAnnouncementAnswered(const std::string &Worker, bool Done);

  /// Removes agents that were silent for m_forgetMs. Returns their workers.
  std::vector<std::string> dropSilent(Millis NowMs);

  /// The digest of attached agents if one is due.
  std::optional<model::Digest> digestDue(Millis NowMs);

  /// Makes all reports and the digest due again, for a new leader.
  void onLeaderChanged();

  /// Latest reports of attached agents, for a leader in this process.
  std::vector<const model::AgentReport *> reports() const;

  /// The latest report of an attached agent, or null.
  const model::AgentReport *findReport(const std::string &Worker) const;

  std::size_t attached() const { return m_agents.size(); }

  /// Makes the digest due again after it could not be sent.
  void digestNotSent() { m_changed = true; }

  /// At the leader: stores a digest of \p Entry at \p Address.
  void onDigest(const std::string &Entry, const std::string &Address,
                const model::Digest &D, Millis NowMs);

  /// At the leader: the stored digests that are still valid, without the agents
  /// that were silent in them. \p Silence gives the time since the last message
  /// from an address. An entry sends a digest promptly when an agent becomes
  /// silent and rarely otherwise, so between two digests its agents count as
  /// alive for as long as the entry does.
  std::vector<model::Digest>
  liveDigests(const std::function<Millis(const std::string &)> &Silence,
              Millis NowMs);

  /// At the leader: removes the routes through \p Entry.
  void forgetEntry(const std::string &Entry);

  /// At the leader: where the agent of \p Worker is attached, by the latest
  /// contact with it at any entry.
  std::optional<RelayRoute> route(const std::string &Worker) const;

private:
  struct Agent {
    model::AgentReport m_report;
    Millis m_lastContactMs = 0;
    std::uint64_t m_reportHash = 0;    ///< Of the latest report.
    std::uint64_t m_forwardedHash = 0; ///< Of the last forwarded report.
    std::optional<Millis> m_forwardedMs;
    /// The first report after this sequence is forwarded in any case.
    std::optional<std::uint64_t> m_expectedAfter;
    bool m_announceDue = true;
    bool m_announcing = false;
    bool m_silent = false; ///< As reported in the last digest.
  };
  struct Remote {
    std::string m_entry;
    std::string m_address;
    Millis m_lastContactMs = 0;
  };
  struct ReceivedDigest {
    std::string m_address;
    model::Digest m_digest;
    Millis m_receivedMs = 0;
    Millis m_deliveredMs = 0; ///< When liveDigests() last returned it.
  };

  bool shouldForward(const Agent &A, Millis NowMs) const;
  static bool isExpected(const Agent &A);
  static bool startAnnouncing(Agent &A);

  RelayTiming m_timing;
  std::map<std::string, Agent> m_agents;
  std::map<std::string, Remote> m_remote;                  ///< By worker.
  std::map<std::string, ReceivedDigest> m_receivedDigests; ///< By entry.
  std::optional<Millis> m_lastDigestMs; ///< When the last digest was made.
  bool m_changed = true;
  int m_digestRepeats = 0; ///< Repetitions of the last change that are due.
};

} // namespace pomelokeel::entry
