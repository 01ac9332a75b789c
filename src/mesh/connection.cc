#include "mesh/connection.h"

#include <arpa/inet.h>
#include <nng/protocol/pipeline0/push.h>

#include <cstring>

namespace pomelokeel::mesh::detail {
namespace {

constexpr nng_duration ReconnectMinMs = 50;
constexpr nng_duration ReconnectMaxMs = 500;

// Sets the source address of outgoing connections. Otherwise the system chooses
// it, and on a host with several addresses a peer could not identify the sender
// by it.
bool setSource(nng_dialer Dialer, const std::string &Host) {
  nng_sockaddr Source{};
  Source.s_in.sa_family = NNG_AF_INET;
  if (::inet_pton(AF_INET, Host.c_str(), &Source.s_in.sa_addr) != 1 ||
      Source.s_in.sa_addr == INADDR_ANY)
    return true;
  return nng_dialer_set_addr(Dialer, NNG_OPT_LOCADDR, &Source) == 0;
}

} // namespace

std::unique_ptr<Connection> Connection::dial(const std::string &Address,
                                             const std::string &SourceHost,
                                             Limits Limits,
                                             base::Millis ClosedAt) {
  std::unique_ptr<Connection> Out(new Connection(Limits));
  Out->m_closedAt = ClosedAt;
  if (nng_push0_open(&Out->m_socket) != 0)
    return nullptr;
  if (nng_aio_alloc(&Out->m_aio, &Connection::onSent, Out.get()) != 0)
    return nullptr;
  for (const nng_pipe_ev Event : {NNG_PIPE_EV_ADD_POST, NNG_PIPE_EV_REM_POST})
    nng_pipe_notify(Out->m_socket, Event, &Connection::onPipe, Out.get());
  nng_socket_set_ms(Out->m_socket, NNG_OPT_RECONNMINT, ReconnectMinMs);
  nng_socket_set_ms(Out->m_socket, NNG_OPT_RECONNMAXT, ReconnectMaxMs);
  const std::string Url = "tcp://" + Address;
  nng_dialer Dialer = NNG_DIALER_INITIALIZER;
  if (nng_dialer_create(&Dialer, Out->m_socket, Url.c_str()) != 0 ||
      !setSource(Dialer, SourceHost) ||
      nng_dialer_start(Dialer, NNG_FLAG_NONBLOCK) != 0)
    return nullptr;
  return Out;
}

Connection::~Connection() {
  if (nng_socket_id(m_socket) > 0) {
    for (const nng_pipe_ev Event : {NNG_PIPE_EV_ADD_POST, NNG_PIPE_EV_REM_POST})
      nng_pipe_notify(m_socket, Event, nullptr, nullptr);
    nng_close(m_socket);
  }
  if (m_aio != nullptr) {
    nng_aio_stop(m_aio);
    nng_aio_free(m_aio);
  }
  for (nng_msg *Message : m_queue)
    nng_msg_free(Message);
}

bool Connection::enqueue(const std::vector<std::uint8_t> &Bytes) {
  nng_msg *Message = nullptr;
  if (nng_msg_alloc(&Message, Bytes.size()) != 0)
    return false;
  std::memcpy(nng_msg_body(Message), Bytes.data(), Bytes.size());
  {
    const std::lock_guard Lock(m_mutex);
    if (m_queue.size() >= m_limits.m_messages ||
        m_queuedBytes + Bytes.size() > m_limits.m_bytes) {
      nng_msg_free(Message);
      return false;
    }
    m_queuedBytes += Bytes.size();
    if (m_sending) {
      m_queue.push_back(Message);
      return true;
    }
    m_sending = true;
  }
  sendNext(Message);
  return true;
}

// Called only by the thread that set m_sending or when the previous send has
// completed, so only one thread at a time uses m_aio.
void Connection::sendNext(nng_msg *Next) {
  nng_aio_set_msg(m_aio, Next);
  nng_send_aio(m_socket, m_aio);
}

// nng adds the pipe after its own handshake, which a frozen peer does not
// complete although its kernel accepts the TCP connection.
void Connection::onPipe(nng_pipe, nng_pipe_ev Event, void *Self) {
  static_cast<Connection *>(Self)->m_closedAt =
      Event == NNG_PIPE_EV_ADD_POST ? -1 : base::monotonicNow();
}

void Connection::onSent(void *Self) {
  static_cast<Connection *>(Self)->handleSendCompletion();
}

void Connection::handleSendCompletion() {
  if (nng_aio_result(m_aio) != 0) {
    // The socket was closed. The destructor frees the queued messages.
    nng_msg_free(nng_aio_get_msg(m_aio));
    return;
  }
  const std::size_t Size = nng_aio_count(m_aio);
  if (base::Counter *Sent = m_sentBytes.load())
    *Sent += static_cast<std::int64_t>(Size);
  nng_msg *Next = nullptr;
  {
    const std::lock_guard Lock(m_mutex);
    m_queuedBytes -= Size;
    if (m_queue.empty()) {
      m_sending = false;
      return;
    }
    Next = m_queue.front();
    m_queue.pop_front();
  }
  sendNext(Next);
}

} // namespace pomelokeel::mesh::detail
