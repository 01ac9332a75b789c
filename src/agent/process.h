#pragma once

#include "agent/core.h"
#include "agent/worker_client.h"
#include "base/clock.h"
#include "base/counters.h"
#include "base/events.h"
#include "http/http.h"
#include "mesh/mesh.h"
#include "settings/settings.h"

#include <atomic>
#include <memory>
#include <string>
#include <thread>

namespace pomelokeel::agent {

/// An agent process: its threads, servers and the queues between them.
class Process {
public:
  /// Error: badSettings if an address cannot be bound.
  static base::Result<std::unique_ptr<Process>>
  start(const settings::AgentSettings &Settings);

  /// Ends at once without notice to the worker or the entry. Running tasks keep
  /// their leases.
  ~Process();

  /// Starts the graceful stop.
  void requestStop() { m_stopRequested = true; }

  /// True when the graceful stop is complete.
  bool finished() const { return m_core && m_core->finished(); }

  AgentStatus status() const { return m_core->status(); }
  std::string httpAddress() const { return m_server->address(); }
  std::string meshAddress() const { return m_mesh->address(); }

private:
  explicit Process(const settings::AgentSettings &Settings);

  base::Status open();
  void serveAdmin(const http::Request &R, const http::Responder &Answer);
  void forwardMessages();
  void runCore();

  const settings::AgentSettings m_settings;
  base::HybridClock m_clock;
  base::Counters m_counters;
  base::EventLog m_events;
  base::Ring<mesh::Incoming> m_received;
  Inbox m_inbox;
  std::atomic<bool> m_stopRequested = false;
  std::atomic<bool> m_closing = false;
  /// Null until the core exists. The server and mesh threads start earlier.
  std::atomic<Core *> m_coreForCallbacks = nullptr;
  std::unique_ptr<http::Server> m_server;
  std::unique_ptr<mesh::Mesh> m_mesh;
  std::unique_ptr<WorkerClient> m_worker;
  std::unique_ptr<EntryFinder> m_finder;
  std::unique_ptr<Core> m_core;
  std::thread m_forwardThread;
  std::thread m_coreThread;
};

} // namespace pomelokeel::agent
