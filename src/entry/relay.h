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

/// Intervals of the relay.
struct RelayTiming {
  Millis m_agentTimeoutMs = 3000; ///< Silence that is reported as a change.
  Millis m_digestMs = 500;        ///< Between digests if something changed.
  /// Between a digest that told a change and its repetitions, in case it was
  /// lost with a connection that had gone silent.
  Millis m_repeatDigestMs = 2000;
  Millis m_quietDigestMs = 10000; ///< Between digests if nothing changed.
  Millis m_reportMs = 10000;      ///< Between unchanged reports.
  /// Between unchanged reports that carry a result: it waits at the agent until
  /// the leader has recorded it, and the relayed report may have been lost.
  Millis m_resultMs = 2000;
  Millis m_forgetMs = 30000; ///< Silence after which an agent is dropped.
  /// Age up to which a digest is still true while its entry is heard.
  Millis m_listingMs = 25000;
};

/// What to do with a message of an agent.
struct ReportSteps {
  bool m_attached = false; ///< New at this entry, or a new incarnation.
  bool m_passOn = false;   ///< The leader must see this report.
  bool m_announce = false; ///< Append workerAnnounced.
};

/// What to do with a heartbeat of an agent.
struct HeartbeatSteps {
  bool m_reportWanted = false; ///< The entry does not have the agent's report.
  bool m_passOn = false;       ///< The leader must see the report held here.
  bool m_announce = false;     ///< Append workerAnnounced.
};

/// Where to send a command for a worker.
struct RelayRoute {
  bool m_local = false;  ///< The agent is attached to this entry.
  std::string m_entry;   ///< Otherwise the entry that listed it last.
  std::string m_address; ///< Mesh address of the agent or of that entry.
};

/// The agents attached to this entry, and at the leader, what other entries
/// told about theirs. No sockets and no clock of its own.
class Relay {
public:
  explicit Relay(RelayTiming Timing);

  /// A message with a report arrived from the agent itself.
  ReportSteps onReport(const model::AgentReport &R, Millis NowMs);

  /// A heartbeat of the agent of \p Worker arrived.
  HeartbeatSteps onHeartbeat(const std::string &Worker,
                             const model::AgentHeartbeat &H, Millis NowMs);

  /// The report of \p Worker was sent to the leader.
  void passedOn(const std::string &Worker, Millis NowMs);

  /// The agent of \p Worker answered a command: its first report after
  /// \p Sequence is passed on, changed or not, because the leader compares
  /// both.
  void expectReport(const std::string &Worker, std::uint64_t Sequence);

  /// The report of \p Worker is passed on once more, changed or not.
  void repeatReport(const std::string &Worker);

  /// The log has no usable announcement of \p Worker: the next report asks for
  /// one.
  void requestAnnouncement(const std::string &Worker);

  /// The announcement of \p Worker is in the log, or failed and must be
  /// repeated.
  void announced(const std::string &Worker, bool Done);

  /// Forgets agents that are silent for long. Returns their names.
  std::vector<std::string> dropSilent(Millis NowMs);

  /// The digest of attached agents if one is due.
  std::optional<model::Digest> digestDue(Millis NowMs);

  /// Another process leads: everything must be told again.
  void leaderChanged();

  /// Latest reports of attached agents, for a leader in this process.
  std::vector<const model::AgentReport *> reports() const;

  /// The latest report of an attached agent, or null.
  const model::AgentReport *find(const std::string &Worker) const;

  std::size_t attached() const { return m_agents.size(); }

  /// The last digest could not be sent.
  void digestLost() { m_changed = true; }

  /// At the leader: the entry \p Entry at \p Address listed its agents.
  void onDigest(const std::string &Entry, const std::string &Address,
                const model::Digest &D, Millis NowMs);

  /// At the leader: digests of entries that are still true, by the silence of
  /// each entry, without the agents that were silent in them. An entry sends a
  /// digest at once when an agent falls silent and else seldom, so in between
  /// its agents are as alive as the entry itself.
  std::vector<model::Digest>
  liveDigests(const std::function<Millis(const std::string &)> &Silence,
              Millis NowMs);

  /// At the leader: forgets what \p Entry listed.
  void forgetEntry(const std::string &Entry);

  /// At the leader: where the agent of \p Worker is attached, by the latest
  /// sign of life.
  std::optional<RelayRoute> route(const std::string &Worker) const;

private:
  struct Agent {
    model::AgentReport m_report;
    Millis m_heardMs = 0;
    std::uint64_t m_print = 0;       ///< Of the latest report.
    std::uint64_t m_passedPrint = 0; ///< Of the one that was passed on.
    std::optional<Millis> m_passedMs;
    /// A report after this sequence is due to the leader.
    std::optional<std::uint64_t> m_expectedAfter;
    bool m_announceDue = true;
    bool m_announcing = false;
    bool m_silent = false; ///< As told in the last digest.
  };
  struct Remote {
    std::string m_entry;
    std::string m_address;
    Millis m_heardMs = 0;
  };
  struct Listing {
    std::string m_address;
    model::Digest m_digest;
    Millis m_listedMs = 0;
    Millis m_repeatedMs = 0; ///< When it was last given to the leader.
  };

  bool shouldPassOn(const Agent &A, Millis NowMs) const;
  static bool isExpected(const Agent &A);
  static bool startAnnouncing(Agent &A);

  RelayTiming m_timing;
  std::map<std::string, Agent> m_agents;
  std::map<std::string, Remote> m_remote;    ///< By worker.
  std::map<std::string, Listing> m_listings; ///< By entry.
  std::optional<Millis> m_digestMs;          ///< When the last digest was made.
  bool m_changed = true;
  int m_digestRepeats = 0; ///< Still due of the digest that told a change.
};

} // namespace pomelokeel::entry
