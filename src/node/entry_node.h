#pragma once

#include "base/counters.h"
#include "base/events.h"
#include "batch/leader.h"
#include "http/async_client.h"
#include "http/reactor.h"
#include "node/arrival_clock.h"
#include "node/election.h"
#include "node/evacuations.h"
#include "node/peers.h"
#include "node/router.h"
#include "node/settings.h"
#include "node/store.h"

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace pomelokeel::node {

/// Decodes a configuration record. Supplied by the platform adapter.
using ConfigReader =
    std::function<base::Result<batch::Config>(const KeyedRecord &)>;

/// An entry process. It takes the calls of callers and passes them to the
/// leader, which may be this process.
class EntryNode : public batch::LeaderPorts {
public:
  EntryNode(http::Reactor &R, const Settings &S, Store &SharedStore,
            ConfigReader ReadConfig, EvacuationKeyReader ReadEvacuationKey,
            base::EventLog &Events, base::Counters &Counters);
  ~EntryNode() override;

  /// Answers a call, immediately or when its outcome is known.
  void answer(CallerCall Call, batch::CallerAnswer Answer);

  /// Checks a call whose body was not read yet. Returns the reply that rejects
  /// it, or the largest size of its body (0: no limit in the configuration).
  std::variant<std::size_t, batch::CallerReply>
  checkHead(const CallerCall &Call);

  /// True if the load balancer should send new connections here.
  bool ready() const { return m_config.has_value() && !m_stopping; }

  /// Answers a control request of another process of this system.
  void control(const http::Request &R, const http::Responder &Answer);

  /// Applies the bounds of a changed settings file. Addresses do not change.
  void reload(const Bounds &B);

  /// Resigns leadership, leaves the group and reports not ready. Answers all
  /// calls within \p LimitMs, whatever time their callers have.
  void beginStop(Millis LimitMs);

  /// Number of unanswered calls of callers.
  std::size_t inFlight() const { return m_inFlight; }

private:
  void append(const batch::JournalBatch &Batch) override;
  void wakeAfter(Millis Ms) override;
  void event(const std::string &Name, const std::string &Job,
             const std::string &Detail) override;

  void startFollowingOperator(EvacuationKeyReader ReadEvacuationKey);
  Millis operatorWaitMs() const;
  void applyOperatorRecord(const KeyedRecord &R);
  void handleOperatorCaughtUp(Millis ReadSentAt);
  // The steps of a takeover, in order. stepDown() ends it or the leadership.
  void handleElected(std::int64_t Epoch);
  void fence(std::int64_t Epoch);
  void loadJournal(std::int64_t Epoch);
  void startLeading(std::int64_t Epoch, const Snapshot &S);
  void stepDown(const char *Reason);
  void leaveFencedJournal();
  void tick();
  void checkIsolation(Millis Now);
  void handOverIfIsolated(const std::string &Address, const EntryStatus &S);
  EntryStatus status();
  Millis deadlineOf(const CallerCall &Call, Millis Now) const;
  void dispatch(batch::CallerRequest R, Millis Deadline,
                batch::CallerAnswer Answer);
  void forward(batch::CallerRequest R, Millis Deadline,
               batch::CallerAnswer Answer);
  void recordRejection(const batch::CallerReply &R);
  void handleReply(batch::CallerRequest R, Millis Deadline,
                   batch::CallerAnswer Answer, batch::CallerReply Reply);
  void retryOrRefuse(batch::CallerRequest R, Millis Deadline,
                     batch::CallerAnswer Answer, bool LeaderAnswers);
  void redirectForwards();
  void noteUnavailable(Millis Now);
  void handlePeerStatus(const std::string &Address, const EntryStatus &S);
  void queryPeers(Millis Now);
  bool expectsLeaderSoon(const batch::CallerRequest &R, Millis Deadline,
                         Millis Now, bool LeaderAnswers) const;

  /// A request that was sent to the leader of \c m_epoch.
  struct Forward {
    std::int64_t m_epoch = 0;
    batch::CallerRequest m_request;
    Millis m_deadline = 0;
    batch::CallerAnswer m_answer;
  };

  http::Reactor &m_reactor;
  Settings m_settings;
  Store &m_store;
  ConfigReader m_readConfig;
  base::EventLog &m_events;
  base::Counters &m_counters;
  std::optional<batch::Config> m_config;
  KeyedRecord m_configRecord; ///< The source of m_config.
  std::unique_ptr<Evacuations> m_evacuations;
  std::unique_ptr<Election> m_election;
  std::unique_ptr<Follower> m_operatorFollower;
  std::unique_ptr<http::Timer> m_tick;
  std::unique_ptr<http::Timer> m_loadTimer;
  std::unique_ptr<http::Timer> m_roundTimer;
  std::shared_ptr<batch::Leader> m_leader;
  Millis m_electedAt = 0; ///< Time of the last election of this entry.
  std::int64_t m_takeoverEpoch = 0; ///< Epoch of a takeover in progress, or 0.
  std::int64_t m_electedEpoch = 0;  ///< Newest epoch that this entry has led.
  Clients m_clients;
  std::unique_ptr<Peers> m_peers;
  Millis m_peersQueriedAt = 0; ///< Time of the last query.
  /// Time of the first request that no leader served since the last one that
  /// was served, or -1.
  Millis m_unavailableSince = -1;
  Millis m_unavailableAt = -1; ///< Time of the last one of these requests.
  std::map<std::uint64_t, Forward> m_forwards; ///< Without an answer yet.
  std::uint64_t m_newestForward = 0;
  std::size_t m_inFlight = 0;
  ArrivalClock m_arrivals;
  Millis m_isolatedSince = -1;
  /// While this leader is isolated: agents that other entries hear, by address.
  std::map<std::string, std::int64_t> m_agentsAtPeers;
  /// When agents last asked this entry for the leader, by agent.
  std::map<std::string, Millis> m_agentsAsking;
  /// When the store last confirmed that this entry leads, or -1.
  Millis m_confirmedAt = -1;
  bool m_stopping = false;
  /// All calls are answered by this time; set by beginStop().
  Millis m_answerBy = std::numeric_limits<Millis>::max();
  /// When another entry last said that it reaches the store, or -1. Only asked
  /// while this one does not.
  Millis m_peerReachedStoreAt = -1;
  /// Callbacks hold it weakly and do nothing after this object is destroyed.
  std::shared_ptr<int> m_alive = std::make_shared<int>();
};

} // namespace pomelokeel::node
