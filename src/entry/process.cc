#include "entry/process.h"

#include "base/id.h"
#include "entry/core.h"

#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <utility>

namespace pomelokeel::entry {
namespace {

using std::chrono::milliseconds;

// Room in the core's ring for log events, messages and answers of appends, so
// that callers alone cannot fill it.
constexpr std::size_t ReservedInputs = 1024;

// Batches that may wait for the core. The number is small, so that few stale
// batches wait after the process was frozen.
constexpr std::size_t LogRingCapacity = 8;

// Part of the grace time reserved for the departure and for closing.
constexpr Millis DepartureMs = 500;

// Log events that are in no ring: the pending read of the follower, the event
// that the pump moves, and the one that the core thread has just popped.
constexpr std::size_t UncountedLogEvents = 3;

// Wait of a pump before it checks whether its ring was closed.
constexpr milliseconds PumpWait{1000};

/// The content of pings, written by the core and read by the mesh.
class SharedHeartbeat {
public:
  explicit SharedHeartbeat(Millis LeaderTimeoutMs)
      : m_limitMs(LeaderTimeoutMs / 2) {
    m_heartbeat.m_role = "standby";
  }

  void set(model::Heartbeat H, Millis NowMs) {
    const std::lock_guard Lock(m_mutex);
    m_heartbeat = std::move(H);
    m_setMs = NowMs;
  }

  /// Reports the role standby if the core thread is stuck, so that other
  /// entries do not take this one for a working leader.
  model::Heartbeat get() const {
    const std::lock_guard Lock(m_mutex);
    model::Heartbeat Out = m_heartbeat;
    if (base::monotonicNow() - m_setMs > m_limitMs)
      Out.m_role = "standby";
    return Out;
  }

private:
  const Millis m_limitMs;
  mutable std::mutex m_mutex;
  model::Heartbeat m_heartbeat;
  Millis m_setMs = 0;
};

http::ServerLimits serverLimits(const settings::EntrySettings &S) {
  http::ServerLimits L;
  L.m_maxConnections = static_cast<std::size_t>(S.m_maxConnections);
  L.m_maxBodyBytes = static_cast<std::size_t>(S.m_maxBodyBytes);
  return L;
}

mesh::MeshSettings meshSettings(const settings::EntrySettings &S) {
  mesh::MeshSettings M;
  M.m_name = S.m_name;
  M.m_listen = S.m_meshListen;
  M.m_advertise = S.m_meshAdvertise;
  M.m_heartbeatMs = S.m_heartbeatMs;
  M.m_linkTimeoutMs = S.m_linkTimeoutMs;
  return M;
}

} // namespace

struct EntryProcess::Impl {
  explicit Impl(const settings::EntrySettings &S)
      : m_settings(S),
        m_events(S.m_name, static_cast<std::size_t>(S.m_eventRing), m_clock),
        m_heartbeat(S.m_leaderTimeoutMs),
        m_inputs(static_cast<std::size_t>(S.m_queueLength) + ReservedInputs),
        m_logEvents(LogRingCapacity),
        m_messages(static_cast<std::size_t>(S.m_queueLength)) {}

  base::Status begin();
  void onRequest(const http::Request &R, http::Responder Respond);
  void queueCall(ApiRequest Request, const http::Responder &Respond);
  Ports ports();
  void pumpLog();
  void pumpMessages();
  void runCore();
  void stepCore(std::optional<CoreInput> Input);
  void signalProgress();
  bool waitFor(const std::atomic<bool> &Flag, Millis DeadlineMs);
  int stop();
  void halt();
  void endThreads(int WriterGraceMs);

  settings::EntrySettings m_settings;
  base::HybridClock m_clock;
  base::Counters m_counters;
  base::EventLog m_events;
  SharedHeartbeat m_heartbeat;
  base::Ring<CoreInput> m_inputs;
  base::Ring<logclient::FollowerEvent> m_logEvents;
  base::Ring<mesh::Incoming> m_messages;
  std::atomic<int> m_queuedCalls = 0;
  std::atomic<int> m_queuedLog = 0;

  std::unique_ptr<mesh::Mesh> m_mesh;
  std::unique_ptr<http::Server> m_server;
  std::unique_ptr<logclient::Writer> m_writer;
  std::unique_ptr<Core> m_core;
  std::unique_ptr<logclient::Follower> m_follower;

  // Steps of the graceful stop, requested by stop() and executed by the core.
  std::atomic<Millis> m_drainDeadlineMs = 0; ///< 0 while not stopping.
  std::atomic<bool> m_drained = false;
  std::atomic<bool> m_leave = false;
  std::atomic<bool> m_departed = false;
  std::atomic<bool> m_end = false;
  std::mutex m_progressMutex;
  std::condition_variable m_progress;

  std::thread m_logPump;
  std::thread m_messagePump;
  std::thread m_coreThread;
  bool m_ended = false;
};

base::Status EntryProcess::Impl::begin() {
  auto Mesh =
      mesh::Mesh::start(meshSettings(m_settings), m_clock, m_counters,
                        m_messages, [this] { return m_heartbeat.get(); });
  if (!Mesh)
    return Mesh.error();
  m_mesh = std::move(*Mesh);
  auto Server = http::Server::start(
      m_settings.m_httpListen, serverLimits(m_settings),
      [this](const http::Request &R, http::Responder Respond) {
        onRequest(R, std::move(Respond));
      });
  if (!Server)
    return Server.error();
  m_server = std::move(*Server);
  const logclient::LogSettings Log{m_settings.m_logService,
                                   static_cast<int>(m_settings.m_logTimeoutMs)};
  m_writer = std::make_unique<logclient::Writer>(
      Log, static_cast<std::size_t>(m_settings.m_queueLength), m_counters);
  const model::Member Self{m_settings.m_name,       base::randomId(),
                           m_mesh->address(),       m_server->address(),
                           m_settings.m_dataCentre, m_settings.m_region};
  m_core = std::make_unique<Core>(m_settings, Self, ports(), m_clock,
                                  m_counters, m_events);
  m_follower =
      std::make_unique<logclient::Follower>(Log, m_logEvents, m_counters);
  m_coreThread = std::thread([this] { runCore(); });
  m_logPump = std::thread([this] { pumpLog(); });
  m_messagePump = std::thread([this] { pumpMessages(); });
  return base::success();
}

// Runs on the HTTP thread.
void EntryProcess::Impl::onRequest(const http::Request &R,
                                   http::Responder Respond) {
  auto Counted = [this, Respond = std::move(Respond)](http::Response Answer) {
    ++m_counters.get(
        fmt::format("http_requests{{status=\"{}\"}}", Answer.m_status));
    Respond(std::move(Answer));
  };
  auto Request = parseRequest(R);
  if (!Request) {
    Counted(http::errorResponse(Request.error()));
    return;
  }
  // Events and counters are readable from any thread, also when the core is
  // stuck.
  if (std::holds_alternative<GetEvents>(*Request)) {
    Counted(jsonResponse(200, base::encode(m_events.page())));
    return;
  }
  if (std::holds_alternative<GetMetrics>(*Request)) {
    Counted({200, m_counters.render(), "text/plain; version=0.0.4"});
    return;
  }
  queueCall(std::move(*Request), Counted);
}

void EntryProcess::Impl::queueCall(ApiRequest Request,
                                   const http::Responder &Respond) {
  if (++m_queuedCalls <= m_settings.m_queueLength &&
      m_inputs.tryPush(ApiCall{std::move(Request), Respond}))
    return;
  --m_queuedCalls;
  ++m_counters.get("ring_drops{ring=\"http\"}");
  Respond(http::errorResponse(
      {base::ErrorKind::QueueFull, "too many requests wait at this entry"}));
}

Ports EntryProcess::Impl::ports() {
  Ports P;
  P.m_append = [this](AppendTag Tag, const std::string &Stream,
                      const std::vector<base::Json> &Values) {
    ++m_counters.get("appends{stream=\"" + Stream + "\"}");
    return m_writer->submit(
        Stream, Values,
        [this, Tag = std::move(Tag)](const logclient::AppendOutcome &Outcome) {
          // Fails only when the process ends.
          (void)m_inputs.push(AppendAnswered{Tag, Outcome});
        });
  };
  P.m_logWritable = [this] { return m_writer->available(); };
  P.m_send = [this](const std::string &Address, model::Message M) {
    return m_mesh->send(Address, std::move(M));
  };
  P.m_keep = [this](const std::string &Address, Millis PingMs) {
    m_mesh->keep(Address, PingMs);
  };
  P.m_drop = [this](const std::string &Address) { m_mesh->drop(Address); };
  P.m_silence = [this](const std::string &Address) {
    return m_mesh->silence(Address);
  };
  P.m_closedFor = [this](const std::string &Address) {
    return m_mesh->closedFor(Address);
  };
  P.m_setRegion = [this](const std::string &Address,
                         const std::string &Region) {
    m_mesh->setRegion(Address, Region);
  };
  P.m_logBacklog = [this] {
    return m_logEvents.size() + static_cast<std::size_t>(m_queuedLog.load()) +
           UncountedLogEvents;
  };
  return P;
}

void EntryProcess::Impl::pumpLog() {
  while (!m_logEvents.closed() || m_logEvents.size() > 0) {
    auto Event = m_logEvents.pop(PumpWait);
    if (!Event)
      continue;
    ++m_queuedLog;
    if (!m_inputs.push(std::move(*Event)))
      return;
  }
}

void EntryProcess::Impl::pumpMessages() {
  while (!m_messages.closed()) {
    auto Message = m_messages.pop(PumpWait);
    if (Message && !m_inputs.push(std::move(*Message)))
      return;
  }
}

void EntryProcess::Impl::runCore() {
  Millis NextTickMs = base::monotonicNow();
  while (!m_end) {
    const Millis Wait = std::max<Millis>(0, NextTickMs - base::monotonicNow());
    auto Input = m_inputs.pop(milliseconds(Wait));
    const Millis NowMs = base::monotonicNow();
    // The tick must come first, because it detects that the process was frozen.
    if (NowMs >= NextTickMs) {
      m_core->tick(NowMs);
      NextTickMs = NowMs + Core::TickMs;
      m_heartbeat.set(m_core->heartbeat(NowMs), NowMs);
    }
    stepCore(std::move(Input));
  }
}

void EntryProcess::Impl::stepCore(std::optional<CoreInput> Input) {
  if (Input) {
    if (std::holds_alternative<ApiCall>(*Input))
      --m_queuedCalls;
    if (std::holds_alternative<logclient::FollowerEvent>(*Input))
      --m_queuedLog;
    m_core->handle(std::move(*Input), base::monotonicNow());
  }
  const Millis DrainMs = m_drainDeadlineMs;
  if (DrainMs == 0)
    return;
  if (!m_core->stopping())
    m_core->beginStop(DrainMs);
  if (!m_drained && m_core->drained() && m_queuedCalls == 0) {
    m_drained = true;
    signalProgress();
  }
  if (!m_leave || m_departed)
    return;
  if (!m_core->leaving() && !m_core->leave())
    m_departed = true;
  if (m_core->departed())
    m_departed = true;
  if (m_departed)
    signalProgress();
}

void EntryProcess::Impl::signalProgress() {
  { const std::lock_guard Lock(m_progressMutex); }
  m_progress.notify_all();
}

bool EntryProcess::Impl::waitFor(const std::atomic<bool> &Flag,
                                 Millis DeadlineMs) {
  std::unique_lock Lock(m_progressMutex);
  const Millis Wait = std::max<Millis>(0, DeadlineMs - base::monotonicNow());
  return m_progress.wait_for(Lock, milliseconds(Wait),
                             [&] { return Flag.load(); });
}

int EntryProcess::Impl::stop() {
  if (m_ended)
    return 0;
  const Millis EndMs = base::monotonicNow() + m_settings.m_stopGraceMs;
  const Millis Reserve = std::min(DepartureMs, m_settings.m_stopGraceMs / 2);
  m_drainDeadlineMs = EndMs - Reserve;
  const bool Drained = waitFor(m_drained, EndMs - Reserve / 2);
  // The answers are queued at the server. This waits until they are sent.
  m_server->stop(static_cast<int>(
      std::max<Millis>(Reserve, EndMs - base::monotonicNow())));
  m_leave = true;
  waitFor(m_departed, base::monotonicNow() + Reserve);
  endThreads(static_cast<int>(
      std::max<Millis>(Reserve, EndMs - base::monotonicNow())));
  return Drained ? 0 : 1;
}

void EntryProcess::Impl::halt() {
  if (m_ended)
    return;
  m_end = true;
  m_inputs.close();
  if (m_server)
    m_server->stop(0);
  endThreads(0);
}

void EntryProcess::Impl::endThreads(int WriterGraceMs) {
  m_ended = true;
  m_end = true;
  m_inputs.close();
  if (m_coreThread.joinable())
    m_coreThread.join();
  if (m_writer)
    m_writer->stop(WriterGraceMs);
  m_logEvents.close();
  if (m_follower)
    m_follower->stop();
  if (m_mesh)
    m_mesh->stop();
  m_messages.close();
  if (m_logPump.joinable())
    m_logPump.join();
  if (m_messagePump.joinable())
    m_messagePump.join();
}

base::Result<std::unique_ptr<EntryProcess>>
EntryProcess::start(const settings::EntrySettings &Settings) {
  auto I = std::make_unique<Impl>(Settings);
  if (auto S = I->begin(); !S) {
    I->halt();
    return S.error();
  }
  return std::unique_ptr<EntryProcess>(new EntryProcess(std::move(I)));
}

EntryProcess::EntryProcess(std::unique_ptr<Impl> I) : m_impl(std::move(I)) {}

EntryProcess::~EntryProcess() { m_impl->halt(); }

std::string EntryProcess::httpAddress() const {
  return m_impl->m_server->address();
}

std::string EntryProcess::meshAddress() const {
  return m_impl->m_mesh->address();
}

int EntryProcess::stop() { return m_impl->stop(); }

void EntryProcess::halt() { m_impl->halt(); }

} // namespace pomelokeel::entry
