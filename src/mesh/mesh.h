#pragma once

#include "base/clock.h"
#include "base/counters.h"
#include "base/error.h"
#include "base/ring.h"
#include "model/message.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

/// Links between processes over nng push/pull sockets.
namespace pomelokeel::mesh {

using base::Millis;

struct MeshSettings {
  std::string m_name;   ///< Process name, the sender in all its messages.
  std::string m_listen; ///< `host:port`; for port 0 the system chooses one.
                        ///< The host is also the source address of outgoing
                        ///< connections, unless it is a name, IPv6 or 0.0.0.0.
  std::string m_advertise; ///< Address that peers dial; empty: the bound one.
  std::size_t m_maxMessageBytes = 4 * 1024 * 1024;
  int m_sendQueue = 256;         ///< Messages queued per link.
  Millis m_heartbeatMs = 500;    ///< Default and shortest ping interval.
  Millis m_linkTimeoutMs = 2000; ///< Redial after this time without a pong.
  std::size_t m_maxLinks = 4096;
};

/// A received message and the size of its encoding.
struct Incoming {
  model::Message m_message;
  std::size_t m_bytes = 0;
};

/// Sends and receives messages. Thread-safe.
///
/// A link is a connection that this process dialled to a peer's listening
/// address. The mesh sends Ping on the links that keep() was called for, and
/// answers a received Ping with Pong. A kept link without a Pong for the link
/// timeout is closed and redialled. Pings and pongs carry a Heartbeat. Like all
/// messages they are also pushed to the receive ring, so that the process that
/// uses the mesh can read the Heartbeat.
class Mesh {
public:
  /// Received messages are pushed to \p Received; they are dropped and counted
  /// while it is full. \p MakeHeartbeat returns the content of pings and pongs
  /// and is called on the mesh's thread. Error: badSettings if the address
  /// cannot be bound.
  static base::Result<std::unique_ptr<Mesh>>
  start(MeshSettings Settings, base::HybridClock &Clock,
        base::Counters &Counters, base::Ring<Incoming> &Received,
        std::function<model::Heartbeat()> MakeHeartbeat);

  virtual ~Mesh() = default;

  /// The `host:port` that peers dial: the advertised or the bound one.
  virtual std::string address() const = 0;

  /// Queues \p M for the process listening at \p Address, dialling if needed.
  /// Returns false if the message is dropped: it is too large, the link's queue
  /// is full, no link can be opened, or the mesh is stopping. A queued message
  /// may be lost as well. Sets the message's from and replyAddress, and its
  /// stamp (the time of the hybrid clock) except in pings, pongs and agents'
  /// heartbeats.
  virtual bool send(const std::string &Address, model::Message M) = 0;

  /// Keeps a link to \p Address open until drop() and sends a ping every
  /// \p PingMs, but not more often than every m_heartbeatMs. A longer interval
  /// extends the link timeout by the difference. Another call changes the
  /// interval.
  virtual void keep(const std::string &Address, Millis PingMs = 0) = 0;

  /// Closes the link to \p Address.
  virtual void drop(const std::string &Address) = 0;

  /// Milliseconds since the last message from the process at \p Address, or -1
  /// if none was received.
  virtual Millis silence(const std::string &Address) const = 0;

  /// Milliseconds since the link to \p Address was closed by the peer, or -1 if
  /// it was not or has been established again. A peer that is frozen or cut off
  /// from the network does not close its end.
  virtual Millis closedFor(const std::string &Address) const = 0;

  /// Counts the bytes sent to and received from \p Address under a region, such
  /// as `mesh_bytes_sent{region="..."}`. Before the first call, the region is
  /// "unknown".
  virtual void setRegion(const std::string &Address,
                         const std::string &Region) = 0;

  /// Ends the mesh's thread and closes the sockets. Later calls of send()
  /// return false. A socket that does not close in time is left open.
  virtual void stop() = 0;
};

} // namespace pomelokeel::mesh
