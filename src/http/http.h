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

/// An HTTP/1.1 server and clients on Boost.Beast with limits on sizes, times
/// and connections. No Boost types appear in the interface, because Beast
/// compiles slowly.
namespace pomelokeel::http {

class CallerBudget;
class Reactor;

struct Header {
  std::string m_name;
  std::string m_value;
};

/// A request, received or to be sent. The method is upper case; the target
/// includes the query.
struct Request {
  std::string m_method = "GET";
  std::string m_target = "/";
  std::string m_body;
  std::string m_contentType = "application/json";
  std::uint64_t m_connection = 0; ///< Set by Server, counted from 1.
  std::vector<Header> m_headers;  ///< Client does not send them.
};

/// Status 0 is never sent: it makes the server close the connection without a
/// response.
struct Response {
  int m_status = 200;
  std::string m_body;
  std::string m_contentType = "application/json";
  std::vector<Header> m_headers; ///< Sent besides Content-Type and -Length.
};

/// Returns the value of the first header \p Name, compared without regard to
/// case, or "".
std::string_view headerOf(const std::vector<Header> &Headers,
                          std::string_view Name);

/// Returns a response with status 0, which closes the connection without a
/// response. Stand-ins use it to simulate a lost response.
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

/// Sends the response to one request. May be called from any thread; only the
/// first call has an effect. If all copies are destroyed without a call, the
/// client gets `internal`.
using Responder = std::function<void(Response)>;

/// Handles one request. Called on the server thread; must not block.
using Handler = std::function<void(Request, Responder)>;

/// Decides by the header of a request that has a body whether the body is read:
/// returns the largest size of the body, or the response that refuses the
/// request. The body of \p Head is empty.
using HeadCheck =
    std::function<std::variant<std::size_t, Response>(const Request &Head)>;

struct ServerLimits {
  std::size_t m_maxConnections = 256;
  std::size_t m_maxHeaderBytes = 16 * 1024;
  std::size_t m_maxHeaderFields = 100;
  std::size_t m_maxBodyBytes = 1024 * 1024;
  /// Most bytes beyond the header that are read ahead: the start of the body
  /// and further requests.
  std::size_t m_readAheadBytes = 16 * 1024;
  /// Applies separately to the wait for a request, to reading it and to writing
  /// the response.
  int m_idleTimeoutMs = 30000;
  /// Time in which a request must arrive and a response be read; 0:
  /// m_idleTimeoutMs.
  int m_requestTimeoutMs = 0;
  int m_writeTimeoutMs = 0;
  /// Time from a received request to its response, after which the client gets
  /// `timeout`.
  int m_responseTimeoutMs = 90000;
  /// Bounds the memory of the connections of all servers that share it. If it
  /// is set, a new connection over the limit takes the place of the one that
  /// has been idle or unfinished for longest. It must outlive the server.
  CallerBudget *m_budget = nullptr;
  /// How often the body of a request is in memory while it is handled.
  std::size_t m_handledCopies = 1;
  /// May be empty: then all bodies up to m_maxBodyBytes are read.
  HeadCheck m_checkHead;
};

/// Serves on one thread of its own, or on that of a Reactor. A connection over
/// the limit gets `overloaded`, a request that is too large `tooLarge`, and one
/// that is malformed or does not arrive in time `badRequest`; then the
/// connection is closed. If a client closes its side of the connection while it
/// waits for a response, the server closes the connection without one. If it
/// has done so before its request is read, the request is not handled. A
/// request is handled only after the whole of it was read.
class Server {
public:
  /// Binds to `host:port`. For port 0 the system chooses the port. Error:
  /// badSettings.
  static base::Result<std::unique_ptr<Server>>
  start(const std::string &Address, ServerLimits Limits, Handler H);

  /// Serves on the thread of \p R, which must outlive the server. stop() must
  /// be called on that thread; it returns at once, and the onStopped() function
  /// runs when the last connection is closed.
  static base::Result<std::unique_ptr<Server>>
  start(Reactor &R, const std::string &Address, ServerLimits Limits, Handler H);

  virtual ~Server() = default;

  /// The bound `host:port`.
  virtual std::string address() const = 0;

  /// Stops accepting, waits at most \p GraceMs for requests in flight to be
  /// answered, then closes all connections and joins the thread. Idle
  /// connections stay open for a short time, for requests that were already
  /// sent. Must not be called on the server's own thread.
  virtual void stop(int GraceMs) = 0;

  /// Sets the function that runs once when a server on a Reactor has stopped.
  virtual void onStopped(std::function<void()> Run) = 0;
};

/// Whether any of the request may have been sent when a call failed. If so, it
/// may have had an effect.
enum class Sent { No, Maybe };

/// A failed call.
struct CallError {
  base::Error m_error; ///< `unreachable` or `timeout`.
  Sent m_sent = Sent::Maybe;
};

/// Sends requests over one connection, one at a time, and keeps it open. A call
/// that fails or times out closes the connection; the next call opens a new
/// one. The client never resends a request of which it has sent any part. Not
/// thread-safe, except for cancel().
class Client {
public:
  /// \p Address is `host:port`.
  static std::unique_ptr<Client> create(const std::string &Address);

  virtual ~Client() = default;

  /// Sends \p R and waits at most \p TimeoutMs for the whole response.
  virtual std::variant<Response, CallError> call(const Request &R,
                                                 int TimeoutMs) = 0;

  /// Makes a call in progress on another thread and all later calls fail.
  virtual void cancel() = 0;

  /// Bytes sent and received over all connections so far.
  virtual std::uint64_t bytesSent() const = 0;
  virtual std::uint64_t bytesReceived() const = 0;
};

} // namespace pomelokeel::http
