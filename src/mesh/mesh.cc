#include "mesh/mesh.h"

#include "mesh/closer.h"
#include "mesh/connection.h"

#include <fmt/format.h>
#include <glog/logging.h>
#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <thread>
#include <utility>

namespace pomelokeel::mesh {
namespace {

using base::Error;
using base::ErrorKind;
using detail::Closer;
using detail::Connection;
using model::Message;
using model::MessageKind;

constexpr Millis TickMinMs = 5;
constexpr Millis TickMaxMs = 100;
/// Links that only send() uses are closed when idle for this time.
constexpr Millis IdleLinkMs = 60000;
/// Peers without a link are removed after this time without a message.
constexpr Millis IdlePeerMs = 600000;
/// Time that stop() waits for sockets to close.
constexpr Millis CloseTimeoutMs = 500;
/// The queued bytes of a link are limited to this multiple of the maximum
/// message size.
constexpr std::size_t QueuedBytesFactor = 2;

struct Link {
  std::shared_ptr<Connection> m_connection;
  bool m_kept = false;
  Millis m_pingMs = 0; ///< Ping interval; only of a kept link.
  Millis m_lastUsedAt = 0;
  Millis m_pingedAt = 0;
  /// When an answer last confirmed that the link works, or when the link was
  /// dialled.
  Millis m_confirmedAt = 0;
  std::uint32_t m_lastPing = 0;     ///< Number of the last ping sent.
  std::uint32_t m_lastAnswered = 0; ///< Number of the last answered ping.
};

struct Peer {
  Millis m_lastReceivedAt = -1; ///< -1 before the first message.
  /// Number of the peer's last answered ping, as the peer reported it.
  std::uint32_t m_acknowledged = 0;
  base::Counter *m_sentBytes = nullptr;
  base::Counter *m_receivedBytes = nullptr;
};

// The request id of a ping carries its number and, in the low half, the number
// of the last ping that was answered on the link. Answers travel on the link in
// the other direction, so the low half tells the receiver of the ping that its
// own link to the sender works.
std::uint64_t pingId(const Link &L) {
  return (std::uint64_t{L.m_lastPing} << 32) | L.m_lastAnswered;
}

// Pings, pongs and heartbeats are most of the messages. They cause no event
// whose order matters, and a stamp would be a quarter of their bytes.
bool carriesStamp(MessageKind Kind) {
  return Kind != MessageKind::Ping && Kind != MessageKind::Pong &&
         Kind != MessageKind::AgentHeartbeat;
}

class NngMesh final : public Mesh {
public:
  NngMesh(MeshSettings Settings, base::HybridClock &Clock,
          base::Counters &Counters, base::Ring<Incoming> &Received,
          std::function<model::Heartbeat()> MakeHeartbeat)
      : m_settings(std::move(Settings)), m_clock(Clock), m_counters(Counters),
        m_received(Received), m_makeHeartbeat(std::move(MakeHeartbeat)),
        m_tickMs(
            std::clamp(m_settings.m_heartbeatMs / 4, TickMinMs, TickMaxMs)),
        m_damagedMessages(Counters.get("mesh_damaged_messages")),
        m_sendRefused(Counters.get("mesh_send_refused")),
        m_receiveQueueFull(Counters.get("mesh_receive_queue_full")),
        m_redials(Counters.get("mesh_redials")) {}

  ~NngMesh() override { stopThread(); }

  base::Status listen();
  std::string address() const override { return m_address; }
  bool send(const std::string &Address, Message M) override;
  void keep(const std::string &Address, Millis PingMs) override;
  void drop(const std::string &Address) override;
  Millis silence(const std::string &Address) const override;
  Millis closedFor(const std::string &Address) const override;
  void setRegion(const std::string &Address,
                 const std::string &Region) override;
  void stop() override { stopThread(); }

private:
  void stopThread();
  void run();
  void receiveOne();
  void handle(const nng_msg *Raw);
  void recordArrival(const Message &M, std::size_t Bytes);
  void tick(Millis Now);
  void tickLink(const std::string &Address, Link &L, Millis Now,
                std::vector<std::string> &Pings);
  void removeIdle(Millis Now);
  void ping(const std::string &Address);
  void redial(const std::string &Address, Link &L, Millis Now);
  void dial(const std::string &Address, Link &L, Millis Now);
  std::shared_ptr<Connection> share(std::unique_ptr<Connection> Dialled) const;
  Link *openLink(const std::string &Address, Millis Now);
  Peer &peer(const std::string &Address);
  void setCounters(Peer &P, const std::string &Region);
  bool sendEncoded(const std::string &Address, Message &M);

  const MeshSettings m_settings;
  base::HybridClock &m_clock;
  base::Counters &m_counters;
  base::Ring<Incoming> &m_received;
  const std::function<model::Heartbeat()> m_makeHeartbeat;
  const Millis m_tickMs;
  base::Counter &m_damagedMessages;
  base::Counter &m_sendRefused;
  base::Counter &m_receiveQueueFull;
  base::Counter &m_redials;
  nng_socket m_pull = NNG_SOCKET_INITIALIZER;
  std::string m_host; ///< Of the listening address.
  std::string m_address;
  std::thread m_thread;
  std::atomic<bool> m_stopping = false;
  mutable std::mutex m_mutex;
  std::map<std::string, Link> m_links;
  std::map<std::string, Peer> m_peers;
  /// Runs the destructors of connections that are no longer used.
  std::shared_ptr<Closer> m_closer = std::make_shared<Closer>();
};

Error listenError(const std::string &Address, int Code) {
  return {ErrorKind::BadSettings,
          fmt::format("cannot listen on {}: {}", Address, nng_strerror(Code))};
}

base::Status NngMesh::listen() {
  if (const int Code = nng_pull0_open(&m_pull); Code != 0)
    return listenError(m_settings.m_listen, Code);
  nng_socket_set_ms(m_pull, NNG_OPT_RECVTIMEO,
                    static_cast<nng_duration>(m_tickMs));
  nng_socket_set_size(m_pull, NNG_OPT_RECVMAXSZ, m_settings.m_maxMessageBytes);
  nng_listener Listener = NNG_LISTENER_INITIALIZER;
  const std::string Url = "tcp://" + m_settings.m_listen;
  if (const int Code = nng_listen(m_pull, Url.c_str(), &Listener, 0);
      Code != 0) {
    nng_close(m_pull);
    return listenError(m_settings.m_listen, Code);
  }
  int Port = 0;
  nng_listener_get_int(Listener, NNG_OPT_TCP_BOUND_PORT, &Port);
  const auto Colon = m_settings.m_listen.rfind(':');
  m_host = m_settings.m_listen.substr(0, Colon);
  m_address = m_settings.m_advertise.empty()
                  ? fmt::format("{}:{}", m_host, Port)
                  : m_settings.m_advertise;
  m_thread = std::thread([this] { run(); });
  return base::success();
}

void NngMesh::stopThread() {
  m_stopping = true;
  if (!m_thread.joinable())
    return;
  m_thread.join();
  m_closer->add([Socket = m_pull] { nng_close(Socket); });
  {
    const std::lock_guard Lock(m_mutex);
    m_links.clear();
  }
  if (!m_closer->finish(CloseTimeoutMs))
    LOG(WARNING) << "event=socketsNotClosed process=" << m_settings.m_name;
}

void NngMesh::run() {
  Millis NextTick = base::monotonicNow();
  while (!m_stopping) {
    receiveOne();
    const Millis Now = base::monotonicNow();
    if (Now < NextTick)
      continue;
    tick(Now);
    NextTick = Now + m_tickMs;
  }
}

void NngMesh::receiveOne() {
  nng_msg *Raw = nullptr;
  if (nng_recvmsg(m_pull, &Raw, 0) != 0)
    return;
  handle(Raw);
  nng_msg_free(Raw);
}

void NngMesh::handle(const nng_msg *Raw) {
  const std::size_t Bytes = nng_msg_len(Raw);
  auto *Mutable = const_cast<nng_msg *>(Raw);
  auto Decoded = model::decodeMessage(
      static_cast<const std::uint8_t *>(nng_msg_body(Mutable)), Bytes);
  if (!Decoded) {
    ++m_damagedMessages;
    return;
  }
  if (carriesStamp(Decoded->m_kind))
    m_clock.observe(Decoded->m_stamp);
  recordArrival(*Decoded, Bytes);
  if (Decoded->m_kind == MessageKind::Ping &&
      !Decoded->m_replyAddress.empty()) {
    Message Pong = model::makeMessage(MessageKind::Pong, Decoded->m_from,
                                      m_makeHeartbeat());
    Pong.m_requestId = Decoded->m_requestId;
    send(Decoded->m_replyAddress, std::move(Pong));
  }
  if (!m_received.tryPush({std::move(*Decoded), Bytes}))
    ++m_receiveQueueFull;
}

void NngMesh::recordArrival(const Message &M, std::size_t Bytes) {
  if (M.m_replyAddress.empty())
    return;
  const Millis Now = base::monotonicNow();
  const std::lock_guard Lock(m_mutex);
  Peer &P = peer(M.m_replyAddress);
  P.m_lastReceivedAt = Now;
  *P.m_receivedBytes += static_cast<std::int64_t>(Bytes);
  const auto It = m_links.find(M.m_replyAddress);
  if (It == m_links.end())
    return;
  Link &L = It->second;
  if (M.m_kind == MessageKind::Pong) {
    L.m_lastAnswered = std::max(
        L.m_lastAnswered, static_cast<std::uint32_t>(M.m_requestId >> 32));
    L.m_confirmedAt = Now;
    return;
  }
  if (M.m_kind != MessageKind::Ping || L.m_kept)
    return;
  const auto Acknowledged = static_cast<std::uint32_t>(M.m_requestId);
  if (Acknowledged != P.m_acknowledged)
    L.m_confirmedAt = Now;
  P.m_acknowledged = Acknowledged;
  // The peer sends pings but receives no pongs, so the link to it does not
  // carry data any more.
  if (Now - L.m_confirmedAt > m_settings.m_linkTimeoutMs)
    redial(M.m_replyAddress, L, Now);
}

void NngMesh::tick(Millis Now) {
  std::vector<std::string> Pings;
  {
    const std::lock_guard Lock(m_mutex);
    for (auto &[Address, L] : m_links)
      tickLink(Address, L, Now, Pings);
    removeIdle(Now);
  }
  for (const std::string &Address : Pings)
    ping(Address);
}

void NngMesh::tickLink(const std::string &Address, Link &L, Millis Now,
                       std::vector<std::string> &Pings) {
  if (!L.m_kept)
    return;
  const Millis Timeout =
      m_settings.m_linkTimeoutMs + (L.m_pingMs - m_settings.m_heartbeatMs);
  if (Now - L.m_confirmedAt > Timeout)
    redial(Address, L, Now);
  if (Now - L.m_pingedAt < L.m_pingMs)
    return;
  L.m_pingedAt = Now;
  ++L.m_lastPing;
  Pings.push_back(Address);
}

void NngMesh::removeIdle(Millis Now) {
  for (auto It = m_links.begin(); It != m_links.end();) {
    Link &L = It->second;
    if (L.m_kept || Now - L.m_lastUsedAt < IdleLinkMs) {
      ++It;
      continue;
    }
    It = m_links.erase(It);
  }
  std::erase_if(m_peers, [&](const auto &Item) {
    return !m_links.contains(Item.first) &&
           Now - Item.second.m_lastReceivedAt > IdlePeerMs;
  });
}

void NngMesh::ping(const std::string &Address) {
  Message M = model::makeMessage(MessageKind::Ping, "", m_makeHeartbeat());
  {
    const std::lock_guard Lock(m_mutex);
    const auto It = m_links.find(Address);
    if (It == m_links.end())
      return;
    M.m_requestId = pingId(It->second);
  }
  sendEncoded(Address, M);
}

// Needs m_mutex.
void NngMesh::redial(const std::string &Address, Link &L, Millis Now) {
  ++m_redials;
  dial(Address, L, Now);
}

// Needs m_mutex.
void NngMesh::dial(const std::string &Address, Link &L, Millis Now) {
  L.m_confirmedAt = Now;
  L.m_pingedAt = 0;
  // The new connection inherits the time, so that closedFor() goes on counting
  // while the link to a peer that has ended is redialled.
  const Millis ClosedAt = L.m_connection ? L.m_connection->closedAt() : -1;
  auto Dialled =
      Connection::dial(Address, m_host,
                       {static_cast<std::size_t>(m_settings.m_sendQueue),
                        QueuedBytesFactor * m_settings.m_maxMessageBytes},
                       ClosedAt);
  if (Dialled)
    Dialled->setSentCounter(peer(Address).m_sentBytes);
  L.m_connection = share(std::move(Dialled));
}

// The last reference may be released by any thread, and the destructor may
// block, so it runs on the closer's thread.
std::shared_ptr<Connection>
NngMesh::share(std::unique_ptr<Connection> Dialled) const {
  if (!Dialled)
    return nullptr;
  return {Dialled.release(), [Closer = m_closer](Connection *C) {
            C->setSentCounter(nullptr);
            Closer->add([C] { delete C; });
          }};
}

// Needs m_mutex.
Link *NngMesh::openLink(const std::string &Address, Millis Now) {
  if (m_stopping ||
      (m_links.size() >= m_settings.m_maxLinks && !m_links.contains(Address)))
    return nullptr;
  Link &L = m_links[Address];
  L.m_lastUsedAt = Now;
  if (!L.m_connection)
    dial(Address, L, Now);
  return &L;
}

// Needs m_mutex.
Peer &NngMesh::peer(const std::string &Address) {
  Peer &P = m_peers[Address];
  if (P.m_sentBytes == nullptr)
    setCounters(P, "unknown");
  return P;
}

void NngMesh::setCounters(Peer &P, const std::string &Region) {
  P.m_sentBytes = &m_counters.get("mesh_bytes_sent{region=\"" + Region + "\"}");
  P.m_receivedBytes =
      &m_counters.get("mesh_bytes_received{region=\"" + Region + "\"}");
}

bool NngMesh::send(const std::string &Address, Message M) {
  return sendEncoded(Address, M);
}

bool NngMesh::sendEncoded(const std::string &Address, Message &M) {
  M.m_from = m_settings.m_name;
  M.m_replyAddress = m_address;
  if (carriesStamp(M.m_kind))
    M.m_stamp = m_clock.tick();
  const std::vector<std::uint8_t> Bytes = model::encodeMessage(M);
  std::shared_ptr<Connection> Target;
  if (Bytes.size() <= m_settings.m_maxMessageBytes) {
    const Millis Now = base::monotonicNow();
    const std::lock_guard Lock(m_mutex);
    if (const Link *L = openLink(Address, Now))
      Target = L->m_connection;
  }
  if (Target && Target->enqueue(Bytes))
    return true;
  ++m_sendRefused;
  return false;
}

// Restarts the timeout when the interval changes: the last pong may be older
// than the timeout of a shorter interval allows.
void NngMesh::keep(const std::string &Address, Millis PingMs) {
  const Millis Now = base::monotonicNow();
  const Millis Interval = std::max(PingMs, m_settings.m_heartbeatMs);
  const std::lock_guard Lock(m_mutex);
  Link *L = openLink(Address, Now);
  if (L == nullptr || (L->m_kept && L->m_pingMs == Interval))
    return;
  L->m_pingMs = Interval;
  L->m_kept = true;
  L->m_confirmedAt = Now;
}

void NngMesh::drop(const std::string &Address) {
  const std::lock_guard Lock(m_mutex);
  const auto It = m_links.find(Address);
  if (It == m_links.end())
    return;
  m_links.erase(It);
}

Millis NngMesh::silence(const std::string &Address) const {
  const std::lock_guard Lock(m_mutex);
  const auto It = m_peers.find(Address);
  if (It == m_peers.end() || It->second.m_lastReceivedAt < 0)
    return -1;
  return base::monotonicNow() - It->second.m_lastReceivedAt;
}

Millis NngMesh::closedFor(const std::string &Address) const {
  const std::lock_guard Lock(m_mutex);
  const auto It = m_links.find(Address);
  if (It == m_links.end() || !It->second.m_connection)
    return -1;
  const Millis ClosedAt = It->second.m_connection->closedAt();
  return ClosedAt < 0 ? -1 : base::monotonicNow() - ClosedAt;
}

void NngMesh::setRegion(const std::string &Address, const std::string &Region) {
  const std::lock_guard Lock(m_mutex);
  Peer &P = peer(Address);
  setCounters(P, Region);
  const auto It = m_links.find(Address);
  if (It != m_links.end() && It->second.m_connection)
    It->second.m_connection->setSentCounter(P.m_sentBytes);
}

} // namespace

base::Result<std::unique_ptr<Mesh>>
Mesh::start(MeshSettings Settings, base::HybridClock &Clock,
            base::Counters &Counters, base::Ring<Incoming> &Received,
            std::function<model::Heartbeat()> MakeHeartbeat) {
  auto Out = std::make_unique<NngMesh>(std::move(Settings), Clock, Counters,
                                       Received, std::move(MakeHeartbeat));
  if (auto Listening = Out->listen(); !Listening)
    return Listening.error();
  return std::unique_ptr<Mesh>(std::move(Out));
}

} // namespace pomelokeel::mesh
