#include "agent/process.h"

#include "base/id.h"

#include <algorithm>
#include <chrono>

namespace pomelokeel::agent {
namespace {

constexpr Millis TickMinMs = 5;
constexpr Millis TickMaxMs = 50;
/// Ticks in the shortest interval of the settings.
constexpr Millis TicksPerInterval = 5;
constexpr std::chrono::milliseconds ForwardWait{500};
constexpr int MaxAdminConnections = 16;
constexpr int MaxAdminBodyBytes = 16 * 1024;
constexpr Millis CallTimeoutMinMs = 100;
constexpr Millis CallTimeoutMaxMs = 1000;
constexpr int RenewalsPerLease = 3;
/// Links to gang members and entries.
constexpr std::size_t MaxLinks = 512;
constexpr int LinkQueue = 256;

Millis tickOf(const settings::AgentSettings &S) {
  const Millis Shortest =
      std::min({S.m_heartbeatMs, S.m_gangLeaseMs / 6, S.m_taskLeaseMs / 6});
  return std::clamp(Shortest / TicksPerInterval, TickMinMs, TickMaxMs);
}

WorkerClient::Timing workerTiming(const settings::AgentSettings &S) {
  WorkerClient::Timing T;
  T.m_pollMs = S.m_heartbeatMs;
  T.m_callTimeoutMs = std::clamp(S.m_taskLeaseMs / RenewalsPerLease,
                                 CallTimeoutMinMs, CallTimeoutMaxMs);
  T.m_queue = static_cast<std::size_t>(S.m_queueLength);
  return T;
}

mesh::MeshSettings meshSettings(const settings::AgentSettings &S) {
  mesh::MeshSettings M;
  M.m_name = S.m_name;
  M.m_listen = S.m_meshListen;
  M.m_advertise = S.m_meshAdvertise;
  M.m_sendQueue = LinkQueue;
  M.m_heartbeatMs = S.m_heartbeatMs;
  M.m_linkTimeoutMs = S.m_linkTimeoutMs;
  M.m_maxLinks = MaxLinks;
  return M;
}

model::Worker workerOf(const settings::AgentSettings &S,
                       const std::string &Mesh, const std::string &Http) {
  model::Worker W;
  W.m_name = S.m_name;
  W.m_incarnation = base::randomId();
  W.m_agentAddress = Mesh;
  W.m_agentHttp = Http;
  W.m_endpoint = S.m_worker;
  W.m_dataCentre = S.m_dataCentre;
  W.m_region = S.m_region;
  W.m_rack = S.m_rack;
  W.m_cores = S.m_cores;
  W.m_memoryMb = S.m_memoryMb;
  W.m_accelerators = S.m_accelerators;
  W.m_slots = S.m_slots;
  W.m_connections = S.m_connections;
  return W;
}

} // namespace

Process::Process(const settings::AgentSettings &Settings)
    : m_settings(Settings),
      m_events(Settings.m_name, static_cast<std::size_t>(Settings.m_eventRing),
               m_clock),
      m_received(static_cast<std::size_t>(Settings.m_queueLength)),
      m_inbox(static_cast<std::size_t>(Settings.m_queueLength)) {}

base::Result<std::unique_ptr<Process>>
Process::start(const settings::AgentSettings &Settings) {
  std::unique_ptr<Process> Out(new Process(Settings));
  if (auto Opened = Out->open(); !Opened)
    return Opened.error();
  return Out;
}

base::Status Process::open() {
  http::ServerLimits Limits;
  Limits.m_maxConnections = MaxAdminConnections;
  Limits.m_maxBodyBytes = MaxAdminBodyBytes;
  auto Server = http::Server::start(
      m_settings.m_httpListen, Limits,
      [this](const http::Request &R, const http::Responder &Answer) {
        serveAdmin(R, Answer);
      });
  if (!Server)
    return Server.error();
  m_server = std::move(*Server);
  auto Mesh = mesh::Mesh::start(
      meshSettings(m_settings), m_clock, m_counters, m_received, [this] {
        const Core *C = m_coreForCallbacks;
        return model::Heartbeat{"agent", 0,
                                C == nullptr ? 0 : C->configVersion()};
      });
  if (!Mesh)
    return Mesh.error();
  m_mesh = std::move(*Mesh);
  m_worker = std::make_unique<WorkerClient>(m_settings.m_worker,
                                            workerTiming(m_settings), m_inbox);
  m_finder = std::make_unique<EntryFinder>(m_settings.m_entries, m_inbox);
  m_core = std::make_unique<Core>(
      m_settings, workerOf(m_settings, m_mesh->address(), m_server->address()),
      CorePorts{*m_mesh, *m_worker, *m_finder, m_counters, m_events},
      base::monotonicNow());
  m_coreForCallbacks = m_core.get();
  m_forwardThread = std::thread([this] { forwardMessages(); });
  m_coreThread = std::thread([this] { runCore(); });
  return base::success();
}

Process::~Process() {
  m_closing = true;
  m_received.close();
  m_inbox.close();
  if (m_forwardThread.joinable())
    m_forwardThread.join();
  if (m_coreThread.joinable())
    m_coreThread.join();
  if (m_finder)
    m_finder->stop();
  if (m_worker)
    m_worker->stop();
  if (m_mesh)
    m_mesh->stop();
  if (m_server)
    m_server->stop(0);
}

// Moves mesh messages to the inbox, because the core thread can wait on only
// one ring.
void Process::forwardMessages() {
  while (!m_closing) {
    auto In = m_received.pop(ForwardWait);
    if (In && !m_inbox.push(std::move(*In)))
      return;
  }
}

void Process::runCore() {
  const Millis Tick = tickOf(m_settings);
  Millis NextTick = base::monotonicNow();
  while (!m_closing) {
    Millis Now = base::monotonicNow();
    const Millis Wait = std::clamp<Millis>(NextTick - Now, 0, Tick);
    auto Event = m_inbox.pop(std::chrono::milliseconds(Wait));
    Now = base::monotonicNow();
    if (Event)
      m_core->handle(std::move(*Event), Now);
    // While more events wait, timers run only once per tick.
    if (m_inbox.size() > 0 && Now < NextTick)
      continue;
    if (m_stopRequested)
      m_core->beginStop(Now);
    m_core->advance(Now);
    NextTick = Now + Tick;
  }
}

void Process::serveAdmin(const http::Request &R,
                         const http::Responder &Answer) {
  const std::string Path = http::pathOf(R.m_target);
  http::Response Out;
  const Core *C = m_coreForCallbacks;
  if (R.m_method != "GET" || C == nullptr) {
    return Answer(http::errorResponse(
        {C == nullptr ? base::ErrorKind::NotReady : base::ErrorKind::BadRequest,
         "only GET requests are served, once the agent has started"}));
  }
  if (Path == "/v1/events")
    Out.m_body = base::dumpJson(base::encode(m_events.page()));
  else if (Path == "/v1/status")
    Out.m_body = base::dumpJson(base::encode(C->status()));
  else if (Path == "/metrics") {
    Out.m_contentType = "text/plain; version=0.0.4";
    Out.m_body = m_counters.render();
  } else {
    Out = http::errorResponse({base::ErrorKind::NotFound, Path});
  }
  Answer(std::move(Out));
}

} // namespace pomelokeel::agent
