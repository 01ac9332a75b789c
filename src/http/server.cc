#include "base/error.h"
#include "http/caller_budget.h"
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

#include <sys/socket.h>

namespace pomelokeel::http {
namespace {

namespace net = boost::asio;
namespace beast = boost::beast;
using Tcp = net::ip::tcp;
using Code = boost::system::error_code;
using base::ErrorKind;

// Sizes of reads. Most headers fit in the smaller one.
constexpr std::size_t HeaderReadBytes = 2 * 1024;
constexpr std::size_t BodyReadBytes = 16 * 1024;
// Memory of a connection besides buffers: the session, its timer and socket.
constexpr std::size_t SessionBytes = 2 * 1024;
// Memory of a header field besides its text, in the parser and in Request.
constexpr std::size_t FieldBytes = 192;
// Receive buffer of an accepted connection. The kernel doubles it, so 1,500
// connections bind 48 MB at most. It passes 256 KiB in 0.4 s over a round trip
// of 24 ms between regions.
constexpr int ReceiveBufferBytes = 16 * 1024;
// How long input is discarded after an error response to a request that was not
// read whole. Closing a socket with unread input resets the connection, and the
// client may lose the response.
constexpr int DiscardTimeoutMs = 1000;
// At most this many connections over the limit are sent an error response at
// the same time; further ones are closed without a response.
constexpr std::size_t MaxRefusedSessions = 64;
// How long idle connections stay open after stop(). It exceeds a round trip
// between regions, so a request that was already sent is still answered.
constexpr int StopIdleTimeoutMs = 100;
// Delay before accepting again after a failure such as running out of file
// descriptors, which would fail again at once.
constexpr int AcceptRetryMs = 50;

std::chrono::milliseconds millis(int Ms) {
  return std::chrono::milliseconds(Ms);
}

class Session;

// The part of the server that its sessions use. Called on the server thread
// only.
class SessionOwner {
public:
  virtual ~SessionOwner() = default;
  virtual const ServerLimits &limits() const = 0;
  virtual bool stopping() const = 0;
  virtual void handle(Request R, const std::shared_ptr<Session> &S,
                      std::uint64_t RequestNumber) = 0;
  virtual void onSessionClosed(const std::shared_ptr<Session> &S) = 0;
};

// Reads requests from one connection and writes the responses, one request at
// a time.
class Session : public std::enable_shared_from_this<Session> {
public:
  Session(Tcp::socket Socket, SessionOwner &H, std::uint64_t Number)
      : m_socket(std::move(Socket)), m_timer(m_socket.get_executor()),
        m_owner(H), m_connectionNumber(Number), m_buffer(maxBufferBytes()) {
    Code Ignored;
    m_socket.set_option(Tcp::no_delay(true), Ignored);
  }

  // Takes part in the budget until it is closed.
  void joinBudget() {
    CallerBudget *B = m_owner.limits().m_budget;
    if (B == nullptr)
      return;
    m_budgetId = B->add(&m_owner, [Weak = weak_from_this()](CloseReason) {
      if (const auto S = Weak.lock())
        S->close();
    });
    charge();
  }

  // Waits for the next request.
  void awaitRequest() {
    if (m_buffer.size() > 0)
      return readRequest();
    m_phase = Phase::Idle;
    releaseBuffer();
    setActivity(CallerBudget::Activity::Idle);
    charge();
    setDeadline(m_owner.stopping() ? StopIdleTimeoutMs
                                   : m_owner.limits().m_idleTimeoutMs);
    m_socket.async_wait(Tcp::socket::wait_read,
                        [Self = shared_from_this()](Code E) {
                          if (Self->m_phase != Phase::Idle)
                            return;
                          if (E)
                            return Self->close();
                          Self->readRequest();
                        });
  }

  // Sends an error response before a whole request was read, then closes the
  // connection.
  void refuse(ErrorKind Kind, const std::string &Message) {
    refuse(errorResponse({Kind, Message}));
  }

  void refuse(Response R) {
    m_keepAlive = false;
    m_discardInput = true;
    m_parser.reset();
    write(std::move(R));
  }

  void refuse(CloseReason Reason, ErrorKind Kind, const std::string &Message) {
    countClosed(Reason);
    refuse(Kind, Message);
  }

  // Responds to request \p RequestNumber, unless it already has a response.
  // Status 0 closes the connection instead.
  void answer(std::uint64_t RequestNumber, Response R) {
    if (m_phase != Phase::Handling || RequestNumber != m_requestNumber)
      return;
    if (R.m_status == 0)
      return close();
    write(std::move(R));
  }

  // True if the client has sent more requests while one is handled.
  bool sendsAhead() const {
    return m_phase == Phase::Handling && m_keepAlive && m_buffer.size() > 0;
  }

  // Closes the connection after the response to the request being handled. What
  // the client has sent after it is not handled.
  void endAfterResponse() {
    m_keepAlive = false;
    m_discardInput = true;
  }

  std::uint64_t number() const { return m_connectionNumber; }

  void shortenIdleTimeout() {
    if (m_phase == Phase::Idle)
      setDeadline(StopIdleTimeoutMs);
  }

  void close() {
    if (m_phase == Phase::Closed)
      return;
    m_phase = Phase::Closed;
    Code Ignored;
    m_socket.close(Ignored);
    m_timer.cancel();
    if (CallerBudget *B = m_owner.limits().m_budget)
      B->remove(m_budgetId);
    m_owner.onSessionClosed(shared_from_this());
  }

private:
  enum class Phase { Idle, Reading, Handling, Writing, Discarding, Closed };
  using Parser = beast::http::request_parser<beast::http::string_body>;
  using Message = beast::http::response<beast::http::string_body>;

  std::size_t maxBufferBytes() const {
    return m_owner.limits().m_maxHeaderBytes +
           m_owner.limits().m_readAheadBytes;
  }

  int requestTimeoutMs() const {
    const ServerLimits &L = m_owner.limits();
    return L.m_requestTimeoutMs > 0 ? L.m_requestTimeoutMs : L.m_idleTimeoutMs;
  }

  int writeTimeoutMs() const {
    const ServerLimits &L = m_owner.limits();
    return L.m_writeTimeoutMs > 0 ? L.m_writeTimeoutMs : L.m_idleTimeoutMs;
  }

  void setActivity(CallerBudget::Activity A) {
    if (CallerBudget *B = m_owner.limits().m_budget)
      B->setActivity(m_budgetId, A);
  }

  void countClosed(CloseReason Reason) {
    if (const CallerBudget *B = m_owner.limits().m_budget)
      B->countClosed(Reason);
  }

  // Charges what the connection binds now. Returns false if an unfinished
  // request of it is to be refused.
  bool charge() {
    CallerBudget *B = m_owner.limits().m_budget;
    if (B == nullptr)
      return true;
    std::size_t Bytes = SessionBytes + m_buffer.capacity() + m_requestBytes +
                        m_message.body().capacity();
    if (m_parser) {
      // The body may have reserved its declared size, which binds memory only
      // as far as it was written.
      const std::string &Body = m_parser->get().body();
      Bytes += m_headerBytes + std::min(Body.capacity(), 2 * Body.size());
    }
    return B->charge(m_budgetId, Bytes);
  }

  void releaseBuffer() {
    if (m_buffer.capacity() > 0 && m_buffer.size() == 0)
      m_buffer = beast::flat_buffer(maxBufferBytes());
  }

  void setDeadline(int Ms) {
    m_timer.expires_after(millis(Ms));
    m_timer.async_wait([Self = shared_from_this()](Code E) {
      // If the deadline was extended after this handler was queued, the timer
      // expires later and another handler waits for it.
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
    if (m_phase == Phase::Writing)
      countClosed(CloseReason::ResponseTime);
    if (m_phase == Phase::Handling)
      return write(errorResponse(
          {ErrorKind::Timeout,
           "no response within " +
               std::to_string(m_owner.limits().m_responseTimeoutMs) + " ms"}));
    close();
  }

  void readRequest() {
    m_phase = Phase::Reading;
    setActivity(CallerBudget::Activity::Unfinished);
    setDeadline(requestTimeoutMs());
    m_parser.emplace();
    m_headerBytes = 0;
    m_parser->header_limit(
        static_cast<std::uint32_t>(m_owner.limits().m_maxHeaderBytes));
    m_parser->body_limit(m_owner.limits().m_maxBodyBytes);
    parse();
  }

  void receive() {
    const std::size_t Free = m_buffer.max_size() - m_buffer.size();
    if (Free == 0)
      return onReadError(beast::http::error::buffer_overflow);
    const std::size_t Size =
        m_parser->is_header_done() ? BodyReadBytes : HeaderReadBytes;
    m_socket.async_read_some(
        m_buffer.prepare(std::min(Size, Free)),
        [Self = shared_from_this()](Code E, std::size_t Received) {
          Self->onReceived(E, Received);
        });
  }

  void onReceived(Code E, std::size_t Received) {
    if (m_phase != Phase::Reading)
      return;
    if (E || m_readTimedOut)
      return onReadError(E);
    m_buffer.commit(Received);
    if (CallerBudget *B = m_owner.limits().m_budget)
      B->received(m_budgetId, Received);
    parse();
  }

  // Parses what was received. A request is handled only when the whole of it
  // was read, so closing the connection before means that it has no effect.
  void parse() {
    while (m_buffer.size() > 0 && !m_parser->is_done()) {
      const bool HadHeader = m_parser->is_header_done();
      Code E;
      const std::size_t Used = m_parser->put(m_buffer.data(), E);
      m_buffer.consume(Used);
      if (E && E != beast::http::error::need_more)
        return onReadError(E);
      if (!HadHeader && m_parser->is_header_done())
        return onHeader();
      if (E || Used == 0)
        break;
    }
    if (!charge())
      return refuse(CloseReason::Budget, ErrorKind::Overloaded,
                    "requests bind all memory that is meant for them");
    if (m_parser->is_done())
      return onRequest();
    receive();
  }

  static Request headOf(const Parser::value_type &Received) {
    Request R;
    R.m_method = std::string(Received.method_string());
    R.m_target = std::string(Received.target());
    R.m_contentType = std::string(Received[beast::http::field::content_type]);
    for (const auto &Field : Received)
      R.m_headers.push_back(
          {std::string(Field.name_string()), std::string(Field.value())});
    return R;
  }

  void onHeader() {
    std::size_t Fields = 0;
    std::size_t TextBytes = 0;
    for (const auto &Field : m_parser->get()) {
      ++Fields;
      TextBytes += Field.name_string().size() + Field.value().size();
    }
    // The text is kept twice for a while, in the parser and in Request.
    m_headerBytes = Fields * FieldBytes + 2 * TextBytes;
    const std::size_t MaxFields = m_owner.limits().m_maxHeaderFields;
    if (Fields > MaxFields)
      return refuse(CloseReason::HeaderFields, ErrorKind::TooLarge,
                    "the request has more than " + std::to_string(MaxFields) +
                        " header fields");
    if (m_parser->is_done())
      return parse();
    if (const HeadCheck &Check = m_owner.limits().m_checkHead) {
      auto Verdict = Check(headOf(m_parser->get()));
      if (auto *Refusal = std::get_if<Response>(&Verdict)) {
        countClosed(CloseReason::Head);
        return refuse(std::move(*Refusal));
      }
      m_maxBodyBytes = std::min(std::get<std::size_t>(Verdict),
                                m_owner.limits().m_maxBodyBytes);
    } else {
      m_maxBodyBytes = m_owner.limits().m_maxBodyBytes;
    }
    m_parser->body_limit(m_maxBodyBytes);
    const auto Declared = m_parser->content_length();
    if (Declared && *Declared > m_maxBodyBytes)
      return onReadError(beast::http::error::body_limit);
    const auto Expect = m_parser->get()[beast::http::field::expect];
    if (!beast::iequals(Expect, "100-continue"))
      return parse();
    static const std::string Continue = "HTTP/1.1 100 Continue\r\n\r\n";
    net::async_write(m_socket, net::buffer(Continue),
                     [Self = shared_from_this()](Code Failed, std::size_t) {
                       if (Self->m_phase != Phase::Reading)
                         return;
                       if (Failed)
                         return Self->close();
                       Self->parse();
                     });
  }

  void onRequest() {
    auto Received = m_parser->release();
    m_parser.reset();
    m_keepAlive = Received.keep_alive();
    m_headOnly = Received.method() == beast::http::verb::head;
    Request R = headOf(Received);
    R.m_body = std::move(Received.body());
    R.m_connection = m_connectionNumber;
    m_requestBytes =
        R.m_body.size() * m_owner.limits().m_handledCopies + m_headerBytes;
    releaseBuffer();
    // The request may have waited while this process was suspended. Its client
    // has given up and may rely on the request having had no effect.
    if (closedByClient())
      return close();
    m_phase = Phase::Handling;
    setActivity(CallerBudget::Activity::Handled);
    charge();
    ++m_requestNumber;
    setDeadline(m_owner.limits().m_responseTimeoutMs);
    watchForClose();
    m_owner.handle(std::move(R), shared_from_this(), m_requestNumber);
  }

  // True if the client has closed its side and everything it sent was read.
  bool closedByClient() {
    char Next = 0;
    return m_buffer.size() == 0 && ::recv(m_socket.native_handle(), &Next, 1,
                                          MSG_PEEK | MSG_DONTWAIT) == 0;
  }

  void onReadError(Code E) {
    namespace bh = beast::http;
    if (m_readTimedOut)
      return refuse(CloseReason::RequestTime, ErrorKind::BadRequest,
                    "the request did not arrive within " +
                        std::to_string(requestTimeoutMs()) + " ms");
    if (E == bh::error::header_limit || E == bh::error::buffer_overflow)
      return refuse(CloseReason::Size, ErrorKind::TooLarge,
                    "the request header exceeds " +
                        std::to_string(m_owner.limits().m_maxHeaderBytes) +
                        " bytes");
    if (E == bh::error::body_limit)
      return refuse(CloseReason::Size, ErrorKind::TooLarge,
                    "the request body exceeds " +
                        std::to_string(m_maxBodyBytes) + " bytes");
    if (E.category() == bh::make_error_code(bh::error::bad_method).category() &&
        E != bh::error::end_of_stream && E != bh::error::partial_message)
      return refuse(ErrorKind::BadRequest,
                    "not an HTTP request: " + E.message());
    close();
  }

  // Closes the session if the client closes its connection before the response.
  // Otherwise the connection would count against the limit until the response
  // timeout.
  void watchForClose() {
    m_socket.async_wait(
        Tcp::socket::wait_read,
        [Self = shared_from_this(), RequestNumber = m_requestNumber](Code E) {
          if (E || Self->m_phase != Phase::Handling ||
              RequestNumber != Self->m_requestNumber)
            return;
          Code Failed;
          if (Self->m_socket.available(Failed) == 0 || Failed)
            Self->close();
        });
  }

  void write(Response R) {
    m_phase = Phase::Writing;
    setDeadline(writeTimeoutMs());
    m_keepAlive = m_keepAlive && !m_owner.stopping();
    m_message = Message(static_cast<beast::http::status>(R.m_status), 11);
    m_message.set(beast::http::field::content_type, R.m_contentType);
    for (const Header &H : R.m_headers)
      m_message.set(H.m_name, H.m_value);
    m_message.keep_alive(m_keepAlive);
    m_message.body() = std::move(R.m_body);
    m_message.prepare_payload();
    if (m_headOnly)
      m_message.body().clear();
    m_requestBytes = 0;
    setActivity(CallerBudget::Activity::Unfinished);
    // The response is sent even if nothing else can be closed, since the
    // request may have had an effect. Later charges may close the connection.
    charge();
    beast::http::async_write(m_socket, m_message,
                             [Self = shared_from_this()](Code E, std::size_t) {
                               if (Self->m_phase != Phase::Writing)
                                 return;
                               Self->onWritten(E);
                             });
  }

  void onWritten(Code E) {
    if (E)
      return close();
    m_message = {};
    if (m_keepAlive)
      return awaitRequest();
    if (!m_discardInput)
      return close();
    m_phase = Phase::Discarding;
    m_buffer.clear();
    releaseBuffer();
    charge();
    Code Ignored;
    m_socket.shutdown(Tcp::socket::shutdown_send, Ignored);
    setDeadline(DiscardTimeoutMs);
    discardInput();
  }

  void discardInput() {
    m_buffer.clear();
    m_socket.async_read_some(m_buffer.prepare(HeaderReadBytes),
                             [Self = shared_from_this()](Code E, std::size_t) {
                               if (E)
                                 return Self->close();
                               if (Self->m_phase == Phase::Discarding)
                                 Self->discardInput();
                             });
  }

  Tcp::socket m_socket;
  net::steady_timer m_timer;
  SessionOwner &m_owner;
  std::uint64_t m_connectionNumber;
  beast::flat_buffer m_buffer;
  std::optional<Parser> m_parser;
  Message m_message;
  CallerBudget::Id m_budgetId = 0;
  std::size_t m_headerBytes = 0;  // Of the request that is being read.
  std::size_t m_maxBodyBytes = 0; // Of the request that is being read.
  std::size_t m_requestBytes = 0; // Of the request that is being handled.

  Phase m_phase = Phase::Idle;
  std::uint64_t m_requestNumber = 0; // Requests read so far.
  bool m_keepAlive = true;
  bool m_headOnly = false;
  bool m_discardInput = false;
  bool m_readTimedOut = false;
};

// The state that the copies of a Responder share. It owns the io_context,
// because a Responder may outlive the server.
class ReplyState {
public:
  ReplyState(std::shared_ptr<net::io_context> Io, std::weak_ptr<Session> S,
             std::uint64_t RequestNumber)
      : m_io(std::move(Io)), m_session(std::move(S)),
        m_requestNumber(RequestNumber) {}
  ReplyState(const ReplyState &) = delete;
  ReplyState &operator=(const ReplyState &) = delete;
  ~ReplyState() {
    send(errorResponse({ErrorKind::Internal,
                        "the handler dropped the request without a response"}));
  }

  void send(Response R) {
    if (m_done.exchange(true))
      return;
    net::post(*m_io, [Weak = m_session, RequestNumber = m_requestNumber,
                      R = std::move(R)]() mutable {
      if (const auto S = Weak.lock())
        S->answer(RequestNumber, std::move(R));
    });
  }

private:
  std::shared_ptr<net::io_context> m_io;
  std::weak_ptr<Session> m_session;
  std::uint64_t m_requestNumber;
  std::atomic<bool> m_done = false;
};

class ServerImpl final : public Server, public SessionOwner {
public:
  ServerImpl(ServerLimits Limits, Handler H)
      : m_limits(std::move(Limits)), m_handler(std::move(H)) {}
  ServerImpl(std::shared_ptr<net::io_context> Io, ServerLimits Limits,
             Handler H)
      : m_io(std::move(Io)), m_onReactor(true), m_limits(std::move(Limits)),
        m_handler(std::move(H)) {}
  ~ServerImpl() override {
    if (m_onReactor)
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
    if (m_onReactor)
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
    if (m_onReactor)
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
    // Accepted connections inherit it. Set later, it would not bound the window
    // that the kernel has announced.
    if (!E && m_limits.m_budget != nullptr)
      m_acceptor.set_option(
          net::socket_base::receive_buffer_size(ReceiveBufferBytes), E);
    if (!E)
      m_acceptor.bind(Endpoint, E);
    if (!E)
      m_acceptor.listen(net::socket_base::max_listen_connections, E);
    if (!E)
      m_endpoint = m_acceptor.local_endpoint(E);
  }

  void accept() {
    m_acceptor.async_accept([this, Alive = std::weak_ptr<int>(m_lifetime)](
                                Code E, Tcp::socket Socket) {
      if (Alive.expired() || m_stopping)
        return;
      if (!E) {
        addSession(std::move(Socket));
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

  void addSession(Tcp::socket Socket) {
    const std::size_t Open = m_sessions.size() - m_refused.size();
    CallerBudget *Budget = m_limits.m_budget;
    const bool Refuse =
        Open >= m_limits.m_maxConnections &&
        (m_stopping || Budget == nullptr ||
         !(Budget->makeRoom(static_cast<SessionOwner *>(this)) ||
           (Open < m_limits.m_maxConnections + MaxRefusedSessions &&
            endOneThatSendsAhead())));
    if (Refuse && Budget != nullptr)
      Budget->countClosed(CloseReason::Refused);
    if (Refuse && m_refused.size() >= MaxRefusedSessions)
      return;
    const auto S = std::make_shared<Session>(std::move(Socket), *this,
                                             ++m_connectionCount);
    m_sessions.insert(S);
    S->joinBudget();
    if (!Refuse)
      return S->awaitRequest();
    m_refused.insert(S.get());
    S->refuse(ErrorKind::Overloaded,
              "the limit of " + std::to_string(m_limits.m_maxConnections) +
                  " connections is reached");
  }

  // While all connections have a request that is being handled, those that send
  // further ones without waiting would keep all others out. Ends the oldest of
  // them after its response; until then a new one exceeds the limit.
  bool endOneThatSendsAhead() {
    Session *Oldest = nullptr;
    for (const auto &S : m_sessions) {
      if (S->sendsAhead() &&
          (Oldest == nullptr || S->number() < Oldest->number()))
        Oldest = S.get();
    }
    if (Oldest == nullptr)
      return false;
    Oldest->endAfterResponse();
    m_limits.m_budget->countClosed(CloseReason::Connections);
    return true;
  }

  void beginStop(int GraceMs) {
    if (m_stopping && GraceMs > 0)
      return;
    m_stopping = true;
    Code E;
    // Accepts the connections that clients have already established.
    m_acceptor.non_blocking(true, E);
    for (;;) {
      Tcp::socket Socket(*m_io);
      m_acceptor.accept(Socket, E);
      if (E)
        break;
      addSession(std::move(Socket));
    }
    m_acceptor.close(E);
    m_acceptTimer.cancel();
    if (GraceMs <= 0 || m_sessions.empty())
      return closeAll();
    for (const auto &S : m_sessions)
      S->shortenIdleTimeout();
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
    onAllClosed();
  }

  // Called when all connections are closed.
  void onAllClosed() {
    if (!m_onReactor)
      return m_io->stop();
    if (m_onStopped)
      net::post(*m_io, std::exchange(m_onStopped, nullptr));
  }

  const ServerLimits &limits() const override { return m_limits; }
  bool stopping() const override { return m_stopping; }

  void handle(Request R, const std::shared_ptr<Session> &S,
              std::uint64_t RequestNumber) override {
    const auto Shared = std::make_shared<ReplyState>(m_io, S, RequestNumber);
    try {
      m_handler(std::move(R),
                [Shared](Response Answer) { Shared->send(std::move(Answer)); });
    } catch (const std::exception &E) {
      // Destroying the unused responder sends `internal`.
      LOG(ERROR) << "event=handlerFailed error=\"" << E.what() << "\"";
    }
  }

  void onSessionClosed(const std::shared_ptr<Session> &S) override {
    m_refused.erase(S.get());
    m_sessions.erase(S);
    if (m_stopping && m_sessions.empty())
      onAllClosed();
  }

  std::shared_ptr<net::io_context> m_io = std::make_shared<net::io_context>(1);
  bool m_onReactor = false; // Runs on the thread of a Reactor.
  std::function<void()> m_onStopped;
  // Expires with the server. On a Reactor, handlers may run after the server is
  // destroyed and check this first.
  std::shared_ptr<int> m_lifetime = std::make_shared<int>();
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

base::Result<std::unique_ptr<Server>>
listenAndRun(std::unique_ptr<ServerImpl> S, const std::string &Address) {
  if (auto Listening = S->listen(Address); !Listening)
    return Listening.error();
  S->run();
  return std::unique_ptr<Server>(std::move(S));
}

} // namespace

base::Result<std::unique_ptr<Server>>
Server::start(const std::string &Address, ServerLimits Limits, Handler H) {
  return listenAndRun(
      std::make_unique<ServerImpl>(std::move(Limits), std::move(H)), Address);
}

base::Result<std::unique_ptr<Server>> Server::start(Reactor &R,
                                                    const std::string &Address,
                                                    ServerLimits Limits,
                                                    Handler H) {
  return listenAndRun(std::make_unique<ServerImpl>(detail::ioContextOf(R),
                                                   std::move(Limits),
                                                   std::move(H)),
                      Address);
}

} // namespace pomelokeel::http
