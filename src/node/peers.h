#pragma once

#include "http/async_client.h"
#include "http/reactor.h"
#include "node/election.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace pomelokeel::node {

/// What an entry tells of itself.
struct EntryStatus {
  LeaderRecord m_leader; ///< As it knows.
  bool m_storeReachable = false;
  std::int64_t m_configVersion = -1; ///< -1: none yet.

  static constexpr auto fields() {
    return std::tuple{
        base::required("leader", &EntryStatus::m_leader),
        base::required("storeReachable", &EntryStatus::m_storeReachable),
        base::optional("configVersion", &EntryStatus::m_configVersion)};
  }
};

/// The operator's record of the configuration, as the store has it.
struct ConfigRecord {
  std::string m_key;
  std::string m_value;

  static constexpr auto fields() {
    return std::tuple{base::required("key", &ConfigRecord::m_key),
                      base::required("value", &ConfigRecord::m_value)};
  }
};

/// An entry's wish that another one leads instead of it.
struct TakeoverRequest {
  std::int64_t m_epoch = 0; ///< Of the leader that gives way.

  static constexpr auto fields() {
    return std::tuple{base::required("epoch", &TakeoverRequest::m_epoch)};
  }
};

/// Clients of other processes of this system, by address.
class Clients {
public:
  explicit Clients(http::Reactor &R) : m_reactor(R) {}
  http::AsyncClient &at(const std::string &Address);

private:
  http::Reactor &m_reactor;
  std::map<std::string, std::shared_ptr<http::AsyncClient>> m_clients;
};

/// Other entries, for when the store cannot be reached: it may refuse some
/// machines only, and the others know who leads.
class Peers {
public:
  using OnStatus =
      std::function<void(const std::string &Address, const EntryStatus &)>;

  Peers(Clients &C, std::string OwnAddress, OnStatus Done);

  void setAddresses(const std::vector<std::string> &Addresses);

  /// Asks a few of the others for their status, in turn.
  void ask();

  /// Fetches the operator's record of the configuration from \p Address.
  void fetchConfig(const std::string &Address,
                   std::function<void(const KeyedRecord &)> Done);

  /// Asks the entry at \p Address to lead instead of the leader of \p Epoch.
  void requestTakeover(const std::string &Address, std::int64_t Epoch);

private:
  Clients &m_clients;
  std::string m_own;
  OnStatus m_onStatus;
  std::vector<std::string> m_addresses;
  std::size_t m_next = 0;
  std::shared_ptr<int> m_alive = std::make_shared<int>();
};

} // namespace pomelokeel::node
