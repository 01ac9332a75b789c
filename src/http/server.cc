#include "base/error.h"
#include "http/detail.h"
#include "http/http.h"
#include "http/reactor_impl.h"

#include <boost/asio.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <glog/logging.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <exception>
#include <mutex>
#include <optional>
#include <set>
#include <thread>
#include <utility>

namespace pomelokeel::http {
namespace {

namespace net = boost::asio;
namespace beast = boost::beast;
using Tcp = net::ip::tcp;
using Code = boost::system::error_code;
using base::ErrorKind;

// Room in the read buffer above the header limit, for the body that follows.
constexpr std::size_t ReadAheadBytes = 64 * 1024;
// After an early answer, input is discarded for this long: closing a socket
// with unread input resets the connection, and the client may lose the answer.
constexpr int DiscardMs = 1000;
// Refused connections that are being answered at the same time; those above
// are closed without an answer.
constexpr std::size_t MaxRefusals = 64;
// How long idle connections stay open after stop(): more than a round trip
// between regions, so a request already sent is still answered.
constexpr int StopIdleMs = 100;
// Pause after a failed accept, which has no room for a descriptor.
constexpr int AcceptRetryMs = 50;

std::chrono::milliseconds millis(int Ms) {
  return std::chrono::milliseconds(Ms);
}

class Session;

// What a session needs of its server. Used on the server thread only.
class Host {
public:
  virtual ~Host() = default;
  virtual const ServerLimits &limits() const = 0;
  virtual bool stopping() const = 0;
  virtual void handle(Request R, const std::shared_ptr<Session> &S,
                      std::uint64_t Generation) = 0;
  virtual void closed(const std::shared_ptr<Session> &S) = 0;
};

class Session : public std::enable_shared_from_this<Session> {
public:
  Session(Tcp::socket Socket, Host &H, std::uint64_t Number)
      : m_socket(std::move(Socket)), m_timer(m_socket.get_executor()),
        m_host(H), m_number(Number),
        m_buffer(H.limits().m_maxHeaderBytes + ReadAheadBytes) {
    Code Ignored;
    m_socket.set_option(Tcp::no_delay(true), Ignored);
  }

  // Waits for the next request.
  void awaitRequest() {
    m_phase = Phase::Idle;
    if (m_buffer.size() > 0)
      return readRequest();
    setDeadline(m_host.stopping() ? StopIdleMs
                                  : m_host.limits().m_idleTimeoutMs);
    m_socket.async_wait(Tcp::socket::wait_read,
                        [Self = shared_from_this()](Code E) {
                          if (Self->m_phase != Phase::Idle)
                            return;
                          if (E)
                            return Self->close();
                          Self->readRequest();
                        });
  }

  // Answers an error without having read a request, then closes.
  void refuse(ErrorKind Kind, const std::string &Message) {
    m_keepAlive = false;
    m_discard = true;
    write(errorResponse({Kind, Message}));
  }

  // Answers the request of \p Generation, unless it was answered already.
  void answer(std::uint64_t Generation, Response R) {
    if (m_phase != Phase::Handling || Generation != m_generation)
      return;
    if (R.m_status == 0)
      return close();
    write(std::move(R));
  }

  void stopWhenIdle() {
    if (m_phase == Phase::Idle)
      setDeadline(StopIdleMs);
  }

  void close() {
    if (m_phase == Phase::Closed)
      return;
    m_phase = Phase::Closed;
    Code Ignored;
    m_socket.close(Ignored);
    m_timer.cancel();
    m_host.closed(shared_from_this());
  }

private:
  enum class Phase { Idle, Reading, Handling, Writing, Discarding, Closed };
  using Parser = beast::http::request_parser<beast::http::string_body>;
  using Message = beast::http::response<beast::http::string_body>;

  void setDeadline(int Ms) {
    m_timer.expires_after(millis(Ms));
    m_timer.async_wait([Self = shared_from_this()](Code E) {
      // A deadline that was moved after this handler was queued lies ahead.
      if (!E && Self->m_timer.expiry() <= std::chrono::steady_clock::now())
        Self->onDeadline();
    });
  }

  void onDeadline() {
    if (m_phase == Phase::Closed)
      return;
    if (m_phase == Phase::Reading) {
      m_readTimedOut = true;
      Code Ignored;
      m_socket.cancel(Ignored);
      return;
    }
    if (m_phase == Phase::Handling)
      return write(errorResponse(
          {ErrorKind::Timeout,
           "no answer within " +
               std::to_string(m_host.limits().m_responseTimeoutMs) + " ms"}));
    close();
  }

  void readRequest() {
    m_phase = Phase::Reading;
    setDeadline(m_host.limits().m_idleTimeoutMs);
    m_parser.emplace();
    m_parser->header_limit(
        static_cast<std::uint32_t>(m_host.limits().m_maxHeaderBytes));
    m_parser->body_limit(m_host.limits().m_maxBodyBytes);
    beast::http::async_read_header(
        m_socket, m_buffer, *m_parser,
        [Self = shared_from_this()](Code E, std::size_t) {
          Self->onHeader(E);
        });
  }

  void onHeader(Code E) {
    if (m_phase != Phase::Reading)
      return;
    if (E)
      return readFailed(E);
    const auto Expect = m_parser->get()[beast::http::field::expect];
    if (!beast::iequals(Expect, "100-continue"))
      return readBody();
    static const std::string Continue = "HTTP/1.1 100 Continue\r\n\r\n";
    net::async_write(m_socket, net::buffer(Continue),
                     [Self = shared_from_this()](Code Failed, std::size_t) {
                       if (Self->m_phase != Phase::Reading)
                         return;
                       if (Failed)
                         return Self->close();
                       Self->readBody();
                     });
  }

  void readBody() {
    beast::http::async_read(m_socket, m_buffer, *m_parser,
                            [Self = shared_from_this()](Code E, std::size_t) {
                              Self->onRequest(E);
                            });
  }

  void onRequest(Code E) {
    if (m_phase != Phase::Reading)
      return;
    if (E)
      return readFailed(E);
    auto Received = m_parser->release();
    m_keepAlive = Received.keep_alive();
    m_headOnly = Received.method() == beast::http::verb::head;
    Request R;
    R.m_method = std::string(Received.method_string());
    R.m_target = std::string(Received.target());
    R.m_contentType = std::string(Received[beast::http::field::content_type]);
    R.m_body = std::move(Received.body());
    R.m_connection = m_number;
    for (const auto &Field : Received)
      R.m_headers.push_back(
          {std::string(Field.name_string()), std::string(Field.value())});
    m_phase = Phase::Handling;
    ++m_generation;
    setDeadline(m_host.limits().m_responseTimeoutMs);
    watchForClose();
    m_host.handle(std::move(R), shared_from_this(), m_generation);
  }

  void readFailed(Code E) {
    namespace bh = beast::http;
    if (m_readTimedOut)
      return refuse(ErrorKind::BadRequest,
                    "the request did not arrive within " +
                        std::to_string(m_host.limits().m_idleTimeoutMs) +
                        " ms");
    if (E == bh::error::header_limit || E == bh::error::buffer_overflow)
      return refuse(ErrorKind::TooLarge,
                    "the header is over " +
                        std::to_string(m_host.limits().m_maxHeaderBytes) +
                        " bytes");
    if (E == bh::error::body_limit)
      return refuse(ErrorKind::TooLarge,
                    "the body is over " +
                        std::to_string(m_host.limits().m_maxBodyBytes) +
                        " bytes");
    if (E.category() == bh::make_error_code(bh::error::bad_method).category() &&
        E != bh::error::end_of_stream && E != bh::error::partial_message)
      return refuse(ErrorKind::BadRequest,
                    "not an HTTP request: " + E.message());
    close();
  }

  // Notices that the client gave up, so that its connection does not count
  // against the limit until the response timeout.
  void watchForClose() {
    m_socket.async_wait(
        Tcp::socket::wait_read,
        [Self = shared_from_this(), Generation = m_generation](Code E) {
          if (E || Self->m_phase != Phase::Handling ||
              Generation != Self->m_generation)
            return;
          Code Failed;
          if (Self->m_socket.available(Failed) == 0 || Failed)
            Self->close();
        });
  }

  void write(Response R) {
    m_phase = Phase::Writing;
    setDeadline(m_host.limits().m_idleTimeoutMs);
    m_keepAlive = m_keepAlive && !m_host.stopping();
    m_message = Message(static_cast<beast::http::status>(R.m_status), 11);
    m_message.set(beast::http::field::content_type, R.m_contentType);
    for (const Header &H : R.m_headers)
      m_message.set(H.m_name, H.m_value);
    m_message.keep_alive(m_keepAlive);
    m_message.body() = std::move(R.m_body);
    m_message.prepare_payload();
    if (m_headOnly)
      m_message.body().clear();
    beast::http::async_write(m_socket, m_message,
                             [Self = shared_from_this()](Code E, std::size_t) {
                               if (Self->m_phase != Phase::Writing)
                                 return;
                               Self->written(E);
                             });
  }

  void written(Code E) {
    if (E)
      return close();
    if (m_keepAlive)
      return awaitRequest();
    if (!m_discard)
      return close();
    m_phase = Phase::Discarding;
    Code Ignored;
    m_socket.shutdown(Tcp::socket::shutdown_send, Ignored);
    setDeadline(DiscardMs);
    discard();
  }

  void discard() {
    m_buffer.clear();
    m_socket.async_read_some(m_buffer.prepare(ReadAheadBytes),
                             [Self = shared_from_this()](Code E, std::size_t) {
                               if (E)
                                 return Self->close();
                               if (Self->m_phase == Phase::Discarding)
                                 Self->discard();
                             });
  }

  Tcp::socket m_socket;
  net::steady_timer m_timer;
  Host &m_host;
  std::uint64_t m_number;
  beast::flat_buffer m_buffer;
  std::optional<Parser> m_parser;
  Message m_message;

  Phase m_phase = Phase::Idle;
  std::uint64_t m_generation = 0; // Counts requests.
  bool m_keepAlive = true;
  bool m_headOnly = false;
  bool m_discard = false;
  bool m_readTimedOut = false;
};

// The state behind a Responder. Holds the io_context, because it may outlive
// the server.
class Reply {
public:
  Reply(std::shared_ptr<net::io_context> Io, std::weak_ptr<Session> S,
        std::uint64_t Generation)
      : m_io(std::move(Io)), m_session(std::move(S)), m_generation(Generation) {
  }
  Reply(const Reply &) = delete;
  Reply &operator=(const Reply &) = delete;
  ~Reply() {
    send(errorResponse({ErrorKind::Internal, "the request was dropped"}));
  }

  void send(Response R) {
    if (m_done.exchange(true))
      return;
    net::post(*m_io, [Weak = m_session, Generation = m_generation,
                      R = std::move(R)]() mutable {
      if (const auto S = Weak.lock())
        S->answer(Generation, std::move(R));
    });
  }

private:
  std::shared_ptr<net::io_context> m_io;
  std::weak_ptr<Session> m_session;
  std::uint64_t m_generation;
  std::atomic<bool> m_done = false;
};

class ServerImpl final : public Server, public Host {
public:
  ServerImpl(ServerLimits Limits, Handler H)
      : m_limits(Limits), m_handler(std::move(H)) {}
  ServerImpl(std::shared_ptr<net::io_context> Io, ServerLimits Limits,
             Handler H)
      : m_io(std::move(Io)), m_shared(true), m_limits(Limits),
        m_handler(std::move(H)) {}
  ~ServerImpl() override {
    if (m_shared)
      beginStop(0);
    else
      ServerImpl::stop(0);
  }

  base::Status listen(const std::string &Address) {
    const auto Split = detail::splitHostPort(Address);
    if (!Split)
      return Split.error();
    Code E;
    Tcp::resolver Resolver(*m_io);
    const auto Found =
        Resolver.resolve(Split->m_host, std::to_string(Split->m_port),
                         Tcp::resolver::passive, E);
    if (!E && Found.empty())
      E = net::error::host_not_found;
    if (!E)
      bind(Found.begin()->endpoint(), E);
    if (E)
      return base::Error{ErrorKind::BadSettings,
                         "cannot listen on " + Address + ": " + E.message()};
    return base::success();
  }

  void run() {
    accept();
    if (m_shared)
      return;
    m_thread = std::thread([this] { m_io->run(); });
  }

  std::string address() const override {
    const std::string Host = m_endpoint.address().to_string();
    const std::string Port = std::to_string(m_endpoint.port());
    return m_endpoint.address().is_v6() ? "[" + Host + "]:" + Port
                                        : Host + ":" + Port;
  }

  void onStopped(std::function<void()> Run) override {
    m_onStopped = std::move(Run);
  }

  void stop(int GraceMs) override {
    if (m_shared)
      return beginStop(GraceMs);
    const std::lock_guard Lock(m_stopMutex);
    if (!m_thread.joinable())
      return;
    net::post(*m_io, [this, GraceMs] { beginStop(GraceMs); });
    m_thread.join();
    m_sessions.clear();
  }

private:
  void bind(const Tcp::endpoint &Endpoint, Code &E) {
    m_acceptor.open(Endpoint.protocol(), E);
    if (!E)
      m_acceptor.set_option(net::socket_base::reuse_address(true), E);
    if (!E)
      m_acceptor.bind(Endpoint, E);
    if (!E)
      m_acceptor.listen(net::socket_base::max_listen_connections, E);
    if (!E)
      m_endpoint = m_acceptor.local_endpoint(E);
  }

  void accept() {
    m_acceptor.async_accept([this, Alive = std::weak_ptr<int>(m_alive)](
                                Code E, Tcp::socket Socket) {
      if (Alive.expired() || m_stopping)
        return;
      if (!E) {
        add(std::move(Socket));
        return accept();
      }
      LOG(WARNING) << "event=acceptFailed error=\"" << E.message() << "\"";
      m_acceptTimer.expires_after(millis(AcceptRetryMs));
      m_acceptTimer.async_wait([this](Code Cancelled) {
        if (!Cancelled && !m_stopping)
          accept();
      });
    });
  }

  void add(Tcp::socket Socket) {
    const std::size_t Open = m_sessions.size() - m_refused.size();
    const bool Refuse = Open >= m_limits.m_maxConnections;
    if (Refuse && m_refused.size() >= MaxRefusals)
      return;
    const auto S = std::make_shared<Session>(std::move(Socket), *this,
                                             ++m_connectionCount);
    m_sessions.insert(S);
    if (!Refuse)
      return S->awaitRequest();
    m_refused.insert(S.get());
    S->refuse(ErrorKind::Overloaded,
              "over " + std::to_string(m_limits.m_maxConnections) +
                  " connections");
  }

  void beginStop(int GraceMs) {
    if (m_stopping && GraceMs > 0)
      return;
    m_stopping = true;
    Code E;
    // Connections that were established but not accepted yet.
    m_acceptor.non_blocking(true, E);
    for (;;) {
      Tcp::socket Socket(*m_io);
      m_acceptor.accept(Socket, E);
      if (E)
        break;
      add(std::move(Socket));
    }
    m_acceptor.close(E);
    m_acceptTimer.cancel();
    if (GraceMs <= 0 || m_sessions.empty())
      return closeAll();
    for (const auto &S : m_sessions)
      S->stopWhenIdle();
    m_graceTimer.expires_after(millis(GraceMs));
    m_graceTimer.async_wait([this](Code Cancelled) {
      if (!Cancelled)
        closeAll();
    });
  }

  void closeAll() {
    const auto Open = m_sessions; // close() changes the set.
    for (const auto &S : Open)
      S->close();
    ended();
  }

  // All connections are closed.
  void ended() {
    if (!m_shared)
      return m_io->stop();
    if (m_onStopped)
      net::post(*m_io, std::exchange(m_onStopped, nullptr));
  }

  const ServerLimits &limits() const override { return m_limits; }
  bool stopping() const override { return m_stopping; }

  void handle(Request R, const std::shared_ptr<Session> &S,
              std::uint64_t Generation) override {
    const auto Shared = std::make_shared<Reply>(m_io, S, Generation);
    try {
      m_handler(std::move(R),
                [Shared](Response Answer) { Shared->send(std::move(Answer)); });
    } catch (const std::exception &E) {
      // Without an answer the request gets `internal`.
      LOG(ERROR) << "event=handlerFailed error=\"" << E.what() << "\"";
    }
  }

  void closed(const std::shared_ptr<Session> &S) override {
    m_refused.erase(S.get());
    m_sessions.erase(S);
    if (m_stopping && m_sessions.empty())
      ended();
  }

  std::shared_ptr<net::io_context> m_io = std::make_shared<net::io_context>(1);
  bool m_shared = false; // The thread serves others too.
  std::function<void()> m_onStopped;
  // For handlers on a shared thread, which may run after the destructor.
  std::shared_ptr<int> m_alive = std::make_shared<int>();
  ServerLimits m_limits;
  Handler m_handler;
  Tcp::acceptor m_acceptor{*m_io};
  Tcp::endpoint m_endpoint;
  net::steady_timer m_graceTimer{*m_io};
  net::steady_timer m_acceptTimer{*m_io};
  std::set<std::shared_ptr<Session>> m_sessions;
  std::set<Session *> m_refused;
  std::uint64_t m_connectionCount = 0;
  bool m_stopping = false;
  std::mutex m_stopMutex;
  std::thread m_thread;
};

base::Result<std::unique_ptr<Server>> begin(std::unique_ptr<ServerImpl> S,
                                            const std::string &Address) {
  if (auto Listening = S->listen(Address); !Listening)
    return Listening.error();
  S->run();
  return std::unique_ptr<Server>(std::move(S));
}

} // namespace

base::Result<std::unique_ptr<Server>>
Server::start(const std::string &Address, ServerLimits Limits, Handler H) {
  return begin(std::make_unique<ServerImpl>(Limits, std::move(H)), Address);
}

base::Result<std::unique_ptr<Server>> Server::start(Reactor &R,
                                                    const std::string &Address,
                                                    ServerLimits Limits,
                                                    Handler H) {
  return begin(
      std::make_unique<ServerImpl>(detail::ioOf(R), Limits, std::move(H)),
      Address);
}

} // namespace pomelokeel::http
