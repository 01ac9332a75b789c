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
  std::string m_name;   ///< Process name, sender of all messages.
  std::string m_listen; ///< `host:port`; port 0 is chosen by the system. The
                        ///< host is the source of outgoing connections, unless
                        ///< it is a name, IPv6 or 0.0.0.0.
  std::string m_advertise; ///< Where peers dial; empty: the bound address.
  std::size_t m_maxMessageBytes = 4 * 1024 * 1024;
  int m_sendQueue = 256;         ///< Messages queued per link.
  Millis m_heartbeatMs = 500;    ///< Between pings on an open link.
  Millis m_linkTimeoutMs = 2000; ///< Silence after which a link is redialled.
  std::size_t m_maxLinks = 4096;
};

/// A message that arrived.
struct Incoming {
  model::Message m_message;
  std::size_t m_bytes = 0;
};

/// Sends and receives messages. Thread-safe.
///
/// A link is a connection that this process dialled to a peer's listening
/// address. Ping and Pong of a kept link are answered inside the mesh; a kept
/// link that gets no Pong for the link timeout is closed and dialled anew.
/// Pings and pongs carry Heartbeat, which is also delivered to the receive ring
/// for the core thread.
class Mesh {
public:
  /// \p Beat supplies the content of pings and pongs; called on a mesh thread.
  static base::Result<std::unique_ptr<Mesh>>
  start(MeshSettings Settings, base::HybridClock &Clock,
        base::Counters &Counters, base::Ring<Incoming> &Received,
        std::function<model::Heartbeat()> Beat);

  virtual ~Mesh() = default;

  /// The `host:port` that peers dial: the advertised or the bound one.
  virtual std::string address() const = 0;

  /// Queues \p M for the process listening at \p Address, dialling if needed.
  /// Returns false if the queue of the link is full or the mesh stops; the
  /// message is then lost. Delivery is not guaranteed in any case. Sets from
  /// and replyAddress, and the stamp except in pings and heartbeats.
  virtual bool send(const std::string &Address, model::Message M) = 0;

  /// Keeps an open link to \p Address until drop(), with pings every \p PingMs,
  /// or every heartbeat interval if that is 0. The link timeout grows by what
  /// the interval exceeds that of heartbeats. May be called again to change the
  /// interval.
  virtual void keep(const std::string &Address, Millis PingMs = 0) = 0;

  /// Closes the link to \p Address.
  virtual void drop(const std::string &Address) = 0;

  /// Time since the last message from the process at \p Address, or -1 if none
  /// came.
  virtual Millis silence(const std::string &Address) const = 0;

  /// Time since the peer closed its end of the link to \p Address, if the link
  /// could not be opened again since then, or else -1. A peer that is frozen or
  /// cut off does not close its end.
  virtual Millis closedFor(const std::string &Address) const = 0;

  /// Labels counted bytes of \p Address with a region:
  /// `mesh_bytes_sent{region="..."}`.
  virtual void setRegion(const std::string &Address,
                         const std::string &Region) = 0;

  virtual void stop() = 0;
};

} // namespace pomelokeel::mesh
