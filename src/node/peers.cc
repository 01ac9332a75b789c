#include "node/peers.h"

#include "node/control.h"

#include <algorithm>
#include <utility>

namespace pomelokeel::node {
namespace {

/// Number of entries that one queryStatus() asks: enough that one of them
/// reaches the store, independent of the number of entries.
constexpr std::size_t PeersPerQuery = 2;

/// Timeout of a call to another entry.
constexpr Millis PeerCallMs = 400;

} // namespace

http::AsyncClient &Clients::at(const std::string &Address) {
  auto &Client = m_clients[Address];
  if (!Client)
    Client = http::AsyncClient::create(m_reactor, Address);
  return *Client;
}

Peers::Peers(Clients &C, std::string OwnAddress, OnStatus Done)
    : m_clients(C), m_ownAddress(std::move(OwnAddress)),
      m_onStatus(std::move(Done)) {}

void Peers::setAddresses(const std::vector<std::string> &Addresses) {
  m_addresses.clear();
  std::copy_if(Addresses.begin(), Addresses.end(),
               std::back_inserter(m_addresses),
               [&](const std::string &A) { return A != m_ownAddress; });
}

void Peers::queryStatus() {
  const std::size_t Count = std::min(PeersPerQuery, m_addresses.size());
  for (std::size_t I = 0; I < Count; ++I) {
    const std::string Address = m_addresses[m_nextPeer++ % m_addresses.size()];
    queryStatus(Address, PeerCallMs,
                [this, Address](const std::optional<EntryStatus> &Status) {
                  if (Status)
                    m_onStatus(Address, *Status);
                });
  }
}

void Peers::queryStatus(
    const std::string &Address, Millis TimeoutMs,
    std::function<void(const std::optional<EntryStatus> &)> Done) {
  http::Request R;
  R.m_target = LeaderPath;
  m_clients.at(Address).call(
      std::move(R), TimeoutMs,
      [Done = std::move(Done),
       Alive = std::weak_ptr<int>(m_alive)](const http::CallResult &C) {
        if (Alive.expired())
          return;
        const auto *Got = std::get_if<http::Response>(&C);
        const auto Status = Got == nullptr
                                ? base::Result<EntryStatus>(base::Error{})
                                : base::parse<EntryStatus>(Got->m_body);
        Done(Status ? std::optional(*Status) : std::nullopt);
      });
}

void Peers::fetchConfig(const std::string &Address,
                        std::function<void(const KeyedRecord &)> Done) {
  http::Request R;
  R.m_target = ConfigPath;
  m_clients.at(Address).call(
      std::move(R), PeerCallMs,
      [Done = std::move(Done),
       Alive = std::weak_ptr<int>(m_alive)](const http::CallResult &C) {
        const auto *Got = std::get_if<http::Response>(&C);
        if (Alive.expired() || Got == nullptr)
          return;
        if (const auto Record = unpackMessage<ConfigRecord>(Got->m_body))
          Done({Record->m_key, Record->m_value});
      });
}

void Peers::requestTakeover(const std::string &Address, std::int64_t Epoch) {
  TakeoverRequest T;
  T.m_epoch = Epoch;
  // The reply is ignored: the status of the other entries shows the result.
  m_clients.at(Address).call(toRequest(TakeoverPath, T), PeerCallMs,
                             [](const http::CallResult &) {});
}

} // namespace pomelokeel::node
