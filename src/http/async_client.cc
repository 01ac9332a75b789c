#include "http/async_client.h"

#include "http/detail.h"
#include "http/reactor_impl.h"

#include <boost/asio.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>

#include <chrono>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace pomelokeel::http {
namespace {

namespace net = boost::asio;
namespace beast = boost::beast;
using Tcp = net::ip::tcp;
using Code = boost::system::error_code;
using base::ErrorKind;

constexpr std::uint32_t MaxHeaderBytes = 64 * 1024;
constexpr std::uint64_t MaxBodyBytes = 64 * 1024 * 1024;
/// At most this many idle connections are kept open. More simultaneous calls
/// are rare.
constexpr std::size_t MaxIdleConnections = 4;

std::string serialize(const Request &R, const std::string &Address) {
  std::string Out = fmt::format("{} {} HTTP/1.1\r\n", R.m_method, R.m_target);
  bool HasHost = false;
  for (const Header &H : R.m_headers) {
    HasHost = HasHost || beast::iequals(H.m_name, "Host");
    Out += fmt::format("{}: {}\r\n", H.m_name, H.m_value);
  }
  if (!HasHost)
    Out += fmt::format("Host: {}\r\n", Address);
  if (!R.m_body.empty() || R.m_method != "GET")
    Out += fmt::format("Content-Type: {}\r\nContent-Length: {}\r\n",
                       R.m_contentType, R.m_body.size());
  return Out + "\r\n" + R.m_body;
}

// One connection and its current call, if any. Its pending handlers keep it
// alive.
class Connection : public std::enable_shared_from_this<Connection> {
public:
  using OnEnd = std::function<void(std::shared_ptr<Connection>, CallResult,
                                   bool /*Reusable*/)>;
  using OnPeerClosed = std::function<void(std::shared_ptr<Connection>)>;

  Connection(net::io_context &Io, std::string Address)
      : m_socket(Io), m_timer(Io), m_address(std::move(Address)) {}

  void begin(const Request &R, Millis TimeoutMs, OnEnd Done) {
    m_done = std::move(Done);
    m_requestText = serialize(R, m_address);
    m_written = false;
    m_timer.expires_after(std::chrono::milliseconds(TimeoutMs));
    m_timer.async_wait(
        [Self = shared_from_this(), Call = ++m_callNumber](Code E) {
          if (!E && Call == Self->m_callNumber)
            Self->fail(net::error::timed_out, "call");
        });
    if (m_socket.is_open())
      return write();
    connect();
  }

  // Calls \p Lost when the peer closes the connection, or sends data, while it
  // is idle.
  void watchForClose(OnPeerClosed Lost) {
    m_socket.async_wait(Tcp::socket::wait_read,
                        [Self = shared_from_this(), Call = m_callNumber,
                         Lost = std::move(Lost)](Code) {
                          if (Call == Self->m_callNumber && !Self->m_done)
                            Lost(Self);
                        });
  }

  void close() {
    ++m_callNumber;
    m_done = nullptr;
    Code Ignored;
    m_socket.close(Ignored);
    m_timer.cancel();
  }

private:
  // Wraps a handler so that it does nothing if the current call has ended
  // by the time it runs.
  template <typename F> auto forCurrentCall(F Run) {
    return [Self = shared_from_this(), Call = m_callNumber,
            Run = std::move(Run)](Code E, std::size_t Count = 0) mutable {
      if (Call == Self->m_callNumber)
        Run(E, Count);
    };
  }

  void connect() {
    const auto Target = detail::splitHostPort(m_address);
    Code Bad;
    const auto Ip = Target ? net::ip::make_address(Target->m_host, Bad)
                           : net::ip::address();
    if (!Target || Bad) {
      // The result must not arrive before call() has returned.
      net::post(m_socket.get_executor(),
                [Run = forCurrentCall([this](Code E, std::size_t) {
                   fail(E, "resolve");
                 })]() mutable { Run(net::error::host_not_found); });
      return;
    }
    m_socket.async_connect(Tcp::endpoint(Ip, Target->m_port),
                           forCurrentCall([this](Code E, std::size_t) {
                             if (E)
                               return fail(E, "connect");
                             Code Ignored;
                             m_socket.set_option(Tcp::no_delay(true), Ignored);
                             write();
                           }));
  }

  void write() {
    m_written = true;
    net::async_write(m_socket, net::buffer(m_requestText),
                     forCurrentCall([this](Code E, std::size_t) {
                       if (E)
                         return fail(E, "send");
                       read();
                     }));
  }

  void read() {
    m_parser.emplace();
    m_parser->header_limit(MaxHeaderBytes);
    m_parser->body_limit(MaxBodyBytes);
    beast::http::async_read(m_socket, m_buffer, *m_parser,
                            forCurrentCall([this](Code E, std::size_t) {
                              if (E)
                                return fail(E, "receive");
                              onResponse();
                            }));
  }

  void onResponse() {
    auto Message = m_parser->release();
    Response R;
    R.m_status = static_cast<int>(Message.result_int());
    for (const auto &Field : Message)
      R.m_headers.push_back(
          {std::string(Field.name_string()), std::string(Field.value())});
    const bool Reusable = Message.keep_alive() && m_buffer.size() == 0;
    R.m_body = std::move(Message.body());
    end(std::move(R), Reusable);
  }

  void fail(Code E, const char *Step) {
    const bool TimedOut = E == net::error::timed_out;
    end(CallError{{TimedOut ? ErrorKind::Timeout : ErrorKind::Unreachable,
                   fmt::format("{}: {}: {}", m_address, Step, E.message())},
                  m_written ? Sent::Maybe : Sent::No},
        false);
  }

  void end(CallResult Result, bool Reusable) {
    const auto Self = shared_from_this();
    OnEnd Done = std::move(m_done);
    m_done = nullptr;
    ++m_callNumber;
    m_timer.cancel();
    if (!Reusable)
      close();
    if (Done)
      Done(Self, std::move(Result), Reusable);
  }

  Tcp::socket m_socket;
  net::steady_timer m_timer;
  std::string m_address;
  std::string m_requestText;
  beast::flat_buffer m_buffer;
  std::optional<beast::http::response_parser<beast::http::string_body>>
      m_parser;
  OnEnd m_done;                   // Null while the connection is idle.
  std::uint64_t m_callNumber = 0; // Incremented at the begin and end of a call.
  bool m_written = false;
};

class AsyncClientImpl final
    : public AsyncClient,
      public std::enable_shared_from_this<AsyncClientImpl> {
public:
  AsyncClientImpl(Reactor &R, std::string Address)
      : m_io(detail::ioContextOf(R)), m_address(std::move(Address)) {}

  ~AsyncClientImpl() override {
    for (const auto &C : m_busy)
      C->close();
    for (const auto &C : m_idle)
      C->close();
  }

  void call(Request R, Millis TimeoutMs, Handler Done) override {
    std::shared_ptr<Connection> C;
    if (m_idle.empty()) {
      C = std::make_shared<Connection>(*m_io, m_address);
      ++m_connectionsOpened;
    } else {
      C = m_idle.back();
      m_idle.pop_back();
    }
    m_busy.insert(C);
    C->begin(R, TimeoutMs,
             [Weak = weak_from_this(),
              Done = std::move(Done)](const std::shared_ptr<Connection> &Ended,
                                      CallResult Result, bool Reusable) {
               if (const auto Self = Weak.lock())
                 Self->onCallEnded(Ended, Result, Reusable);
               Done(std::move(Result));
             });
  }

  const std::string &address() const override { return m_address; }
  std::size_t connectionsOpened() const override { return m_connectionsOpened; }

private:
  void onCallEnded(const std::shared_ptr<Connection> &C,
                   const CallResult &Result, bool Reusable) {
    m_busy.erase(C);
    const auto *Failed = std::get_if<CallError>(&Result);
    if (Failed != nullptr && Failed->m_error.m_kind == ErrorKind::Timeout)
      closeIdle();
    if (!Reusable || m_idle.size() >= MaxIdleConnections)
      return C->close();
    m_idle.push_back(C);
    C->watchForClose([Weak = weak_from_this()](const auto &Lost) {
      if (const auto Self = Weak.lock())
        std::erase(Self->m_idle, Lost);
      Lost->close();
    });
  }

  void closeIdle() {
    for (const auto &C : m_idle)
      C->close();
    m_idle.clear();
  }

  std::shared_ptr<net::io_context> m_io;
  std::string m_address;
  std::vector<std::shared_ptr<Connection>> m_idle;
  std::set<std::shared_ptr<Connection>> m_busy;
  std::size_t m_connectionsOpened = 0;
};

} // namespace

std::shared_ptr<AsyncClient> AsyncClient::create(Reactor &R,
                                                 std::string Address) {
  return std::make_shared<AsyncClientImpl>(R, std::move(Address));
}

} // namespace pomelokeel::http
