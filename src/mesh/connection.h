#pragma once

#include "base/clock.h"
#include "base/counters.h"

#include <nng/nng.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace pomelokeel::mesh::detail {

/// One push socket that dials one peer, with a bounded queue. Thread-safe.
/// The destructor closes the socket, which may block (see Closer), and discards
/// the queued messages.
class Connection {
public:
  struct Limits {
    std::size_t m_messages = 0;
    std::size_t m_bytes = 0; ///< Of all queued messages.
  };

  /// Starts to dial \p Address (`host:port`) in the background, from the local
  /// address \p SourceHost if that is a numeric IPv4 address other than
  /// 0.0.0.0. Returns null if nng rejects an address or is out of resources.
  /// closedAt() returns \p ClosedAt until a connection is established: the
  /// closedAt() of the connection that this one replaces, or -1 without one.
  static std::unique_ptr<Connection> dial(const std::string &Address,
                                          const std::string &SourceHost,
                                          Limits Limits, base::Millis ClosedAt);

  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;
  ~Connection();

  /// Queues an encoded message. Returns false if the queue is full or memory
  /// for the message cannot be allocated.
  bool enqueue(const std::vector<std::uint8_t> &Bytes);

  /// From now on, adds the size of each message that the transport accepts to
  /// \p Sent, in bytes. \p Sent must outlive the connection; null stops the
  /// counting.
  void setSentCounter(base::Counter *Sent) { m_sentBytes = Sent; }

  /// Monotonic time, in milliseconds, at which the established connection was
  /// closed, or -1 while one is open. Before the first is established, the time
  /// given to dial(). nng keeps redialling after a close.
  base::Millis closedAt() const { return m_closedAt; }

private:
  explicit Connection(Limits Limits) : m_limits(Limits) {}

  static void onSent(void *Self);
  static void onPipe(nng_pipe Pipe, nng_pipe_ev Event, void *Self);
  void handleSendCompletion();
  void sendNext(nng_msg *Next);

  const Limits m_limits;
  nng_socket m_socket = NNG_SOCKET_INITIALIZER;
  nng_aio *m_aio = nullptr;
  std::atomic<base::Counter *> m_sentBytes = nullptr;
  std::atomic<base::Millis> m_closedAt = -1;
  std::mutex m_mutex;
  std::deque<nng_msg *> m_queue;
  std::size_t m_queuedBytes = 0; ///< Including the message being sent.
  bool m_sending = false;
};

} // namespace pomelokeel::mesh::detail
