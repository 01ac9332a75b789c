#pragma once

#include "base/error.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// A bounded HTTP/1.1 server and client on Boost.Beast. No Boost types appear
/// in the interface, because Beast compiles slowly.
namespace pomelokeel::http {

class Reactor;

struct Header {
  std::string m_name;
  std::string m_value;
};

/// A request as received or to send. Method is upper case; Target includes the
/// query.
struct Request {
  std::string m_method = "GET";
  std::string m_target = "/";
  std::string m_body;
  std::string m_contentType = "application/json";
  std::uint64_t m_connection = 0; ///< Set by Server: counts connections from 1.
  std::vector<Header> m_headers;  ///< Of AsyncClient and Server.
};

/// Status 0 is never sent: the server closes the connection without an answer.
struct Response {
  int m_status = 200;
  std::string m_body;
  std::string m_contentType = "application/json";
  std::vector<Header> m_headers; ///< Besides Content-Type and -Length.
};

/// Returns the value of header \p Name, or "".
std::string_view headerOf(const std::vector<Header> &Headers,
                          std::string_view Name);

/// Status 0; for stand-ins that lose answers.
inline Response noAnswer() { return {0, "", ""}; }

/// Returns the path of \p Target without the query.
std::string pathOf(const std::string &Target);

/// Returns the value of query parameter \p Name, percent-decoded, or "".
std::string queryOf(const std::string &Target, const std::string &Name);

/// Percent-encodes \p Text for use in a path or query.
std::string percentEncode(const std::string &Text);

/// Builds the JSON body {"error":{"kind","message","notRun","retryable"}} with
/// the kind's status.
Response errorResponse(const base::Error &E);

/// Answers one request. May be called from any thread, at most once. If it is
/// dropped without a call, the client gets `internal`.
using Responder = std::function<void(Response)>;

/// Called on the server thread; must not block.
using Handler = std::function<void(Request, Responder)>;

struct ServerLimits {
  std::size_t m_maxConnections = 256;
  std::size_t m_maxHeaderBytes = 16 * 1024;
  std::size_t m_maxBodyBytes = 1024 * 1024;
  /// Longest time between requests, for reading one and for writing a response.
  int m_idleTimeoutMs = 30000;
  /// From request to response; then `timeout`.
  int m_responseTimeoutMs = 90000;
};

/// Serves on one thread of its own. Connections over the limit get
/// `overloaded`, too large requests `tooLarge`, malformed ones and those that
/// do not arrive in time `badRequest`; then the connection is closed. A client
/// that closes its side of the connection gives up the answer it waits for.
class Server {
public:
  /// Binds to `host:port`; port 0 is chosen by the system. Error: badSettings.
  static base::Result<std::unique_ptr<Server>>
  start(const std::string &Address, ServerLimits Limits, Handler H);

  /// Serves on the thread of \p R, which outlives the server. stop() returns
  /// at once there and calls its handler when the last connection is closed.
  static base::Result<std::unique_ptr<Server>>
  start(Reactor &R, const std::string &Address, ServerLimits Limits, Handler H);

  virtual ~Server() = default;

  /// The bound `host:port`.
  virtual std::string address() const = 0;

  /// Stops accepting, waits at most \p GraceMs for requests in flight to be
  /// answered, then closes all connections and joins the thread. Idle
  /// connections stay open for a moment, for a request already on its way. Not
  /// to be called on the server thread.
  virtual void stop(int GraceMs) = 0;

  /// Calls \p Run once a server on a reactor has stopped.
  virtual void onStopped(std::function<void()> Run) = 0;
};

/// Whether the request may have had an effect when a call failed.
enum class Sent { No, Maybe };

/// A failed call.
struct CallError {
  base::Error m_error; ///< unreachable or timeout.
  Sent m_sent = Sent::Maybe;
};

/// Sends requests over a kept-open connection, one at a time. A call that
/// fails or times out closes the connection; the next one dials anew. It does
/// not repeat a request on its own. Not thread-safe.
class Client {
public:
  /// \p Address is `host:port`.
  static std::unique_ptr<Client> create(const std::string &Address);

  virtual ~Client() = default;

  /// Calls and waits at most \p TimeoutMs for the whole response.
  virtual std::variant<Response, CallError> call(const Request &R,
                                                 int TimeoutMs) = 0;

  /// Ends a call in progress on another thread, and all later ones.
  virtual void cancel() = 0;

  /// Bytes sent and received on sockets so far.
  virtual std::uint64_t bytesSent() const = 0;
  virtual std::uint64_t bytesReceived() const = 0;
};

} // namespace pomelokeel::http
