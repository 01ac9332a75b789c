#pragma once

#include "http/async_client.h"
#include "http/reactor.h"
#include "node/election.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pomelokeel::node {

/// The status that an entry reports to other processes.
struct EntryStatus {
  LeaderRecord m_leader; ///< The leader that this entry knows.
  bool m_storeReachable = false;
  std::int64_t m_configVersion = -1; ///< -1: none yet.
  /// This entry leads, and the store has confirmed that lately.
  bool m_leads = false;
  /// Agents that do not reach the leader and have asked this entry lately.
  std::int64_t m_agentsAsking = 0;
  /// Data centres being evacuated, as of this offset of the operator's stream;
  /// -1 if the entry has not read it.
  std::vector<std::string> m_evacuated;
  std::int64_t m_evacuatedAsOf = -1;

  static constexpr auto fields() {
    return std::tuple{
        base::required("leader", &EntryStatus::m_leader),
        base::required("storeReachable", &EntryStatus::m_storeReachable),
        base::optional("configVersion", &EntryStatus::m_configVersion),
        base::optional("leads", &EntryStatus::m_leads),
        base::optional("agentsAsking", &EntryStatus::m_agentsAsking),
        base::optional("evacuated", &EntryStatus::m_evacuated),
        base::optional("evacuatedAsOf", &EntryStatus::m_evacuatedAsOf)};
  }
};

/// The configuration record of the operator, as it is stored.
struct ConfigRecord {
  std::string m_key;
  std::string m_value;

  static constexpr auto fields() {
    return std::tuple{base::required("key", &ConfigRecord::m_key),
                      base::required("value", &ConfigRecord::m_value)};
  }
};

/// A leader's request to another entry to replace it as leader.
struct TakeoverRequest {
  std::int64_t m_epoch = 0; ///< Of the leader to be replaced.

  static constexpr auto fields() {
    return std::tuple{base::required("epoch", &TakeoverRequest::m_epoch)};
  }
};

/// HTTP clients for the other processes of this system, one for each address.
/// They are created on first use.
class Clients {
public:
  explicit Clients(http::Reactor &R) : m_reactor(R) {}
  http::AsyncClient &at(const std::string &Address);

private:
  http::Reactor &m_reactor;
  std::map<std::string, std::shared_ptr<http::AsyncClient>> m_clients;
};

/// Calls to the other entries, made while the store cannot be reached. The
/// store may be unreachable from some machines only, so other entries may still
/// know the current leader and configuration.
class Peers {
public:
  using OnStatus =
      std::function<void(const std::string &Address, const EntryStatus &)>;

  Peers(Clients &C, std::string OwnAddress, OnStatus Done);

  void setAddresses(const std::vector<std::string> &Addresses);

  /// Requests the status of a few other entries, in round-robin order.
  void queryStatus();

  /// Requests the status of the entry at \p Address. Calls \p Done once; there
  /// is no status if no answer comes within \p TimeoutMs.
  void
  queryStatus(const std::string &Address, Millis TimeoutMs,
              std::function<void(const std::optional<EntryStatus> &)> Done);

  /// Fetches the configuration record from the entry at \p Address.
  void fetchConfig(const std::string &Address,
                   std::function<void(const KeyedRecord &)> Done);

  /// Asks the entry at \p Address to replace the leader of \p Epoch.
  void requestTakeover(const std::string &Address, std::int64_t Epoch);

private:
  Clients &m_clients;
  std::string m_ownAddress;
  OnStatus m_onStatus;
  std::vector<std::string> m_addresses;
  std::size_t m_nextPeer = 0;
  /// Callbacks hold it weakly and do nothing after this object is destroyed.
  std::shared_ptr<int> m_alive = std::make_shared<int>();
};

} // namespace pomelokeel::node
