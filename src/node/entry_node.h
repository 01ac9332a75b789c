#pragma once

#include "base/counters.h"
#include "base/events.h"
#include "batch/leader.h"
#include "http/async_client.h"
#include "http/reactor.h"
#include "node/election.h"
#include "node/peers.h"
#include "node/router.h"
#include "node/settings.h"
#include "node/store.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace pomelokeel::node {

/// Reads a configuration from its record. Given by the adapter.
using ConfigReader =
    std::function<base::Result<batch::Config>(const KeyedRecord &)>;

/// An entry: answers callers, by the leader, which may be itself.
class EntryNode : public batch::LeaderPorts {
public:
  EntryNode(http::Reactor &R, const Settings &S, Store &Platform,
            ConfigReader ReadConfig, base::EventLog &Events,
            base::Counters &Counters);
  ~EntryNode() override;

  /// Answers a caller's call, at once or when its outcome is known.
  void answer(CallerCall Call, batch::CallerAnswer Answer);

  /// True if new connections should come here.
  bool ready() const { return m_config.has_value() && !m_stopping; }

  /// Answers a request of another process of this system.
  void control(const http::Request &R, const http::Responder &Answer);

  /// Takes the bounds of a changed settings file. Addresses stay as they are.
  void reload(const Bounds &B);

  /// Hands over leadership and takes itself out of rotation.
  void beginStop();

  std::size_t inFlight() const { return m_inFlight; }

private:
  void append(const batch::JournalBatch &Batch) override;
  void event(const std::string &Name, const std::string &Job,
             const std::string &Detail) override;

  void takeOperatorRecord(const KeyedRecord &R);
  void elected(std::int64_t Epoch);
  void fence(std::int64_t Epoch);
  void load(std::int64_t Epoch);
  void lead(std::int64_t Epoch, const Snapshot &S);
  void stepDown(const char *Reason);
  void tick();
  void checkStanding(Millis Now);
  void ask(batch::CallerRequest R, Millis Deadline, batch::CallerAnswer Answer);
  void forward(batch::CallerRequest R, Millis Deadline,
               batch::CallerAnswer Answer);
  void replied(batch::CallerRequest R, Millis Deadline,
               batch::CallerAnswer Answer, batch::CallerReply Reply);
  void askAgain(batch::CallerRequest R, Millis Deadline,
                batch::CallerAnswer Answer);
  void takeStatus(const std::string &Address, const EntryStatus &S);
  void askPeers(Millis Now);
  bool worthWaiting(const batch::CallerRequest &R, Millis Now) const;

  http::Reactor &m_reactor;
  Settings m_settings;
  Store &m_store;
  ConfigReader m_readConfig;
  base::EventLog &m_events;
  base::Counters &m_counters;
  std::optional<batch::Config> m_config;
  KeyedRecord m_configRecord; ///< That m_config was read from.
  std::unique_ptr<Election> m_election;
  std::unique_ptr<Follower> m_operator;
  std::unique_ptr<http::Timer> m_tick;
  std::unique_ptr<http::Timer> m_loadTimer;
  std::shared_ptr<batch::Leader> m_leader;
  std::int64_t m_loading = 0; ///< Epoch that is being taken over, or 0.
  Clients m_clients;
  std::unique_ptr<Peers> m_peers;
  Millis m_askedAt = 0;     ///< When peers were asked last.
  Millis m_unservedAt = -1; ///< Since when no request could be served, or -1.
  std::size_t m_inFlight = 0;
  Millis m_isolatedSince = -1;
  bool m_stopping = false;
  std::shared_ptr<int> m_alive = std::make_shared<int>();
};

} // namespace pomelokeel::node
