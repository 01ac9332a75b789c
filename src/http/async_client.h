#pragma once

#include "http/http.h"
#include "http/reactor.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace pomelokeel::http {

using CallResult = std::variant<Response, CallError>;

/// Sends requests to one address from the reactor's thread, any number at a
/// time, each over a connection of its own. Connections are kept open for later
/// calls. A call that times out closes its connection and all idle ones: a
/// connection that no longer delivers data is only detected by a timeout, and
/// the idle ones may have the same fault.
class AsyncClient {
public:
  using Handler = std::function<void(CallResult)>;

  /// \p Address is `host:port`, numeric.
  static std::shared_ptr<AsyncClient> create(Reactor &R, std::string Address);

  virtual ~AsyncClient() = default;

  /// Sends \p R and calls \p Done once, never before call() returns. The result
  /// is the whole response or the error `timeout` or `unreachable`. If the
  /// client is destroyed first, \p Done is not called.
  virtual void call(Request R, Millis TimeoutMs, Handler Done) = 0;

  virtual const std::string &address() const = 0;

  /// Returns how many connections were opened so far, including failed
  /// attempts.
  virtual std::size_t connectionsOpened() const = 0;
};

} // namespace pomelokeel::http
