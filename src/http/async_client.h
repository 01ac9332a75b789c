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
/// calls. A call that times out closes its connection and all idle ones, since
/// a connection that went silent is only noticed by a deadline.
class AsyncClient {
public:
  using Handler = std::function<void(CallResult)>;

  /// \p Address is `host:port`, numeric.
  static std::shared_ptr<AsyncClient> create(Reactor &R, std::string Address);

  virtual ~AsyncClient() = default;

  /// Calls \p Done once, not within this call, with the whole response or
  /// `timeout` or `unreachable`. Dropping the client drops its calls.
  virtual void call(Request R, Millis TimeoutMs, Handler Done) = 0;

  virtual const std::string &address() const = 0;

  /// Connections opened so far.
  virtual std::size_t dials() const = 0;
};

} // namespace pomelokeel::http
