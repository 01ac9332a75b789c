#pragma once

#include "base/line_log.h"
#include "fake_store.h"
#include "http/http.h"
#include "node/control.h"
#include "node/entry_node.h"

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>

namespace pomelokeel::node::tests {

/// Decodes a test configuration: the value is its version, and each version has
/// its own API key.
inline base::Result<batch::Config> readConfig(const KeyedRecord &R) {
  if (R.m_key != "config")
    return base::Error{base::ErrorKind::NotFound, R.m_key};
  batch::Config C;
  C.m_version = std::stoll(R.m_value);
  batch::Route Route;
  Route.m_host = "h";
  Route.m_prefix = "/q/";
  Route.m_queue.m_name = "q";
  Route.m_queue.m_service = "s";
  C.m_routes = {Route};
  C.m_accounts = {{"acc", {"key" + R.m_value}, 0}};
  return C;
}

inline std::optional<std::string> readEvacuationKey(const std::string &Key) {
  return Key.starts_with("evacuate/") ? std::optional(Key.substr(9))
                                      : std::nullopt;
}

/// An entry with a control server on a free port.
struct Entry {
  Entry(http::Reactor &R, const std::shared_ptr<FakeStreams> &Shared,
        const std::string &Name, const Bounds &Limits = {})
      : m_store(R, Shared),
        m_events(Name, 100, m_clock,
                 [](const std::string &, const std::string &) {}) {
    auto Server = http::Server::start(
        R, "127.0.0.1:0", {},
        [this](const http::Request &Request, const http::Responder &Answer) {
          if (http::pathOf(Request.m_target) == CallerPath && m_onForwarded)
            return m_onForwarded(Request, Answer);
          m_node->control(Request, Answer);
        });
    EXPECT_TRUE(Server.ok());
    m_server = std::move(*Server);
    Settings S;
    S.m_name = Name;
    S.m_controlListen = m_server->address();
    S.m_bounds = Limits;
    m_node = std::make_unique<EntryNode>(
        R, S, m_store, readConfig, readEvacuationKey, m_events, m_counters);
  }

  /// Calls with the API key of configuration \p Version. The verdict is set
  /// when the answer arrives.
  std::shared_ptr<std::optional<batch::Verdict>>
  call(CallerCall::Method M, const std::string &Version,
       Millis RemainingMs = 3000) {
    CallerCall C;
    C.m_method = M;
    C.m_host = "h";
    C.m_path = "/q/00000000000000aa";
    C.m_key = "key" + Version;
    C.m_remainingMs = RemainingMs;
    batch::JobSpec S;
    S.m_steps = {batch::Step{}};
    if (M == CallerCall::Method::Submit)
      C.m_spec = S;
    auto Out = std::make_shared<std::optional<batch::Verdict>>();
    m_node->answer(C,
                   [Out](const batch::CallerReply &R) { *Out = R.m_verdict; });
    return Out;
  }

  /// Handles forwarded calls instead of the entry, if set.
  http::Handler m_onForwarded;
  FakeStore m_store;
  base::HybridClock m_clock;
  base::Counters m_counters;
  base::EventLog m_events;
  std::unique_ptr<http::Server> m_server;
  std::unique_ptr<EntryNode> m_node;
};

} // namespace pomelokeel::node::tests
