#include "base/error.h"
#include "http/detail.h"
#include "http/http.h"

#include <boost/asio.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <optional>
#include <utility>

namespace pomelokeel::http {
namespace {

namespace net = boost::asio;
namespace beast = boost::beast;
using Tcp = net::ip::tcp;
using Code = boost::system::error_code;
using Clock = std::chrono::steady_clock;
using base::ErrorKind;

constexpr std::uint32_t MaxHeaderBytes = 64 * 1024;
constexpr std::uint64_t MaxBodyBytes = 64 * 1024 * 1024;
constexpr std::size_t ReadBytes = 64 * 1024;

std::string serialize(const Request &R, const std::string &Host) {
  return fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\nContent-Type: {}\r\n"
                     "Content-Length: {}\r\n\r\n{}",
                     R.m_method, R.m_target, Host, R.m_contentType,
                     R.m_body.size(), R.m_body);
}

class ClientImpl final : public Client {
public:
  explicit ClientImpl(const std::string &Address)
      : m_address(Address), m_target(detail::splitHostPort(Address)) {}

  std::variant<Response, CallError> call(const Request &R,
                                         int TimeoutMs) override {
    m_deadline = Clock::now() + std::chrono::milliseconds(TimeoutMs);
    m_written = 0;
    m_aborted = false;
    const std::string Text = serialize(R, m_address);
    if (m_socket.is_open() && !stillOpen())
      close();
    const bool Reused = m_socket.is_open();
    if (!Reused) {
      if (auto E = connect())
        return fail(*E, "connect");
    }
    auto E = write(Text);
    // The peer closed the reused connection after the check above. Nothing of
    // this request was written, so it is safe to send it on a new connection.
    if (E && Reused && m_written == 0 && !m_aborted) {
      close();
      E = connect();
      if (!E)
        E = write(Text);
    }
    if (E)
      return fail(*E, "send");
    return receive(R.m_method == "HEAD");
  }

  void cancel() override {
    m_cancelled = true;
    m_io.stop();
  }

  std::uint64_t bytesSent() const override { return m_sent; }
  std::uint64_t bytesReceived() const override { return m_received; }

private:
  // Runs the event loop until the pending operation sets \p Done. On timeout or
  // cancel(), closes the socket and waits until the operation is aborted.
  std::optional<Code> awaitOrAbort(std::optional<Code> &Done) {
    if (auto E = runUntil(Done); !m_aborted)
      return E;
    // The handler of the aborted operation refers to local variables of its
    // caller, so it must run before this function returns.
    while (!Done) {
      m_io.restart(); // cancel() may stop it at any time.
      m_io.run_one();
    }
    return abortCode();
  }

  // Like awaitOrAbort, but does not wait for an aborted operation.
  std::optional<Code> runUntil(std::optional<Code> &Done) {
    m_io.restart();
    while (!Done && !m_cancelled && Clock::now() < m_deadline)
      m_io.run_one_until(m_deadline);
    if (Done)
      return *Done ? Done : std::nullopt;
    m_aborted = true;
    close();
    return abortCode();
  }

  Code abortCode() const {
    return m_cancelled ? Code(net::error::operation_aborted)
                       : Code(net::error::timed_out);
  }

  // Returns false if the peer closed the connection or sent data without a
  // request.
  bool stillOpen() {
    char Byte = 0;
    Code E;
    m_socket.non_blocking(true, E);
    if (!E)
      m_socket.receive(net::buffer(&Byte, 1), Tcp::socket::message_peek, E);
    return E == net::error::would_block;
  }

  std::optional<Code> connect() {
    if (!m_target)
      return Code(net::error::host_not_found);
    Tcp::endpoint Endpoint;
    if (auto E = resolve(Endpoint))
      return E;
    std::optional<Code> Done;
    m_socket.async_connect(Endpoint, [&](Code E) { Done = E; });
    if (auto E = awaitOrAbort(Done)) {
      close();
      return E;
    }
    Code Ignored;
    m_socket.set_option(Tcp::no_delay(true), Ignored);
    return std::nullopt;
  }

  std::optional<Code> resolve(Tcp::endpoint &Out) {
    Code NotNumeric;
    const auto Numeric = net::ip::make_address(m_target->m_host, NotNumeric);
    if (!NotNumeric) {
      Out = Tcp::endpoint(Numeric, m_target->m_port);
      return std::nullopt;
    }
    // The system's resolver cannot be interrupted. Its handler may run long
    // after the timeout, so the handler shares ownership of the result.
    struct Lookup {
      std::optional<Code> m_done;
      Tcp::endpoint m_endpoint;
    };
    const auto L = std::make_shared<Lookup>();
    m_resolver.async_resolve(m_target->m_host, std::to_string(m_target->m_port),
                             [L](Code E, const auto &Found) {
                               if (!E)
                                 L->m_endpoint = Found.begin()->endpoint();
                               L->m_done = E;
                             });
    auto E = runUntil(L->m_done);
    Out = L->m_endpoint;
    return E;
  }

  std::optional<Code> write(const std::string &Text) {
    while (m_written < Text.size()) {
      std::optional<Code> Done;
      m_socket.async_write_some(
          net::buffer(Text.data() + m_written, Text.size() - m_written),
          [&](Code E, std::size_t Count) {
            m_written += Count;
            m_sent += Count;
            Done = E;
          });
      if (auto E = awaitOrAbort(Done))
        return E;
    }
    return std::nullopt;
  }

  std::variant<Response, CallError> receive(bool HeadOnly) {
    beast::http::response_parser<beast::http::string_body> Parser;
    Parser.header_limit(MaxHeaderBytes);
    Parser.body_limit(MaxBodyBytes);
    Parser.skip(HeadOnly);
    beast::flat_buffer Buffer;
    while (!Parser.is_done()) {
      if (auto E = receiveSome(Buffer, Parser))
        return fail(*E, "receive");
    }
    auto &Message = Parser.get();
    if (!Message.keep_alive() || Buffer.size() > 0)
      close();
    Response R;
    R.m_status = static_cast<int>(Message.result_int());
    R.m_contentType = std::string(Message[beast::http::field::content_type]);
    R.m_body = std::move(Message.body());
    return R;
  }

  template <typename Parser>
  std::optional<Code> receiveSome(beast::flat_buffer &Buffer, Parser &P) {
    std::optional<Code> Done;
    m_socket.async_read_some(Buffer.prepare(ReadBytes),
                             [&](Code E, std::size_t Count) {
                               Buffer.commit(Count);
                               m_received += Count;
                               Done = E;
                             });
    auto E = awaitOrAbort(Done);
    Code Parsed;
    if (E == Code(net::error::eof)) {
      // put_eof() would treat a connection without any input as a complete
      // message.
      if (!P.is_header_done())
        return E;
      // A response without a length ends when the peer closes the connection.
      P.put_eof(Parsed);
      return Parsed || !P.is_done() ? E : std::nullopt;
    }
    if (E)
      return E;
    while (Buffer.size() > 0 && !P.is_done() && !Parsed)
      Buffer.consume(P.put(Buffer.data(), Parsed));
    if (!Parsed || Parsed == beast::http::error::need_more)
      return std::nullopt;
    return Parsed;
  }

  CallError fail(Code E, const char *Step) {
    close();
    const ErrorKind Kind = E == net::error::timed_out ? ErrorKind::Timeout
                                                      : ErrorKind::Unreachable;
    return {
        {Kind, fmt::format("{}: {} failed: {}", m_address, Step, E.message())},
        m_written == 0 ? Sent::No : Sent::Maybe};
  }

  void close() {
    Code Ignored;
    m_socket.close(Ignored);
  }

  std::string m_address;
  base::Result<detail::HostPort> m_target;
  net::io_context m_io{1};
  Tcp::socket m_socket{m_io};
  Tcp::resolver m_resolver{m_io};
  Clock::time_point m_deadline;
  std::size_t m_written = 0; // Bytes of the current request.
  bool m_aborted = false;    // The current call, by timeout or cancel().
  std::atomic<bool> m_cancelled = false;
  std::atomic<std::uint64_t> m_sent = 0;
  std::atomic<std::uint64_t> m_received = 0;
};

} // namespace

std::unique_ptr<Client> Client::create(const std::string &Address) {
  return std::make_unique<ClientImpl>(Address);
}

} // namespace pomelokeel::http
