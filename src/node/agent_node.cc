#include "node/agent_node.h"

#include "base/clock.h"
#include "node/control.h"
#include "node/peers.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace pomelokeel::node {
namespace {

constexpr Millis TickMs = 100;

/// Wait of a read of the leader stream. A connection that went silent is also
/// noticed by reports that fail, so this may be long.
constexpr Millis FollowWaitMs = 25000;

/// Timeout of a report: the leader holds it for a second, and the way to
/// another region is short against the rest.
constexpr Millis ReportMs = 2000;

/// Reports that fail in a row until other entries are asked who leads.
constexpr int FailuresToAsk = 2;
constexpr Millis AskMs = 500;

/// A look takes its wait and this at most.
constexpr Millis LookMarginMs = 800;

} // namespace

AgentNode::AgentNode(http::Reactor &R, const Settings &S, Store &Platform,
                     WorkerLink &Worker, base::EventLog &Events,
                     base::Counters &Counters)
    : m_reactor(R), m_settings(S), m_worker(Worker), m_events(Events),
      m_counters(Counters), m_tick(R.timer()) {
  m_timing.m_leaseMs = leaseOf(S.m_bounds);
  m_agent = std::make_unique<batch::Agent>(S.m_name, base::wallNow(), m_timing,
                                           *this, Counters);
  Follower::Handlers F;
  F.m_record = [this](const KeyedRecord &Record) {
    if (const auto L = parseLeader(Record))
      takeLeader(*L);
    else
      event("recordIgnored", "", "key=" + Record.m_key);
  };
  F.m_caughtUp = [](std::int64_t) {};
  F.m_reachabilityChanged = [this](bool Reachable) {
    event(Reachable ? "storeRegained" : "storeLost", "", "by=leaderStream");
  };
  m_leaders =
      std::make_unique<Follower>(R, Platform, Stream::Leaders, FollowWaitMs, F);
  tick();
}

AgentNode::~AgentNode() = default;

void AgentNode::event(const std::string &Name, const std::string &Job,
                      const std::string &Detail) {
  m_events.record(Name, {Job, "", ""}, Detail);
}

void AgentNode::takeLeader(const LeaderRecord &L) {
  if (L.m_epoch < m_leader.m_epoch ||
      (L.m_epoch == m_leader.m_epoch && L.m_address == m_leader.m_address))
    return;
  event("leaderChanged", "",
        fmt::format("epoch={} leader={}", L.m_epoch, L.m_name));
  m_leader = L;
  m_failures = 0;
  m_client = L.m_address.empty()
                 ? nullptr
                 : http::AsyncClient::create(m_reactor, L.m_address);
  // The calls to the leader before went with its client.
  for (const std::uint64_t Sequence : std::exchange(m_open, {}))
    m_agent->onReply(Sequence, std::nullopt, base::bootNow());
}

void AgentNode::heartbeat(const batch::WorkerInfo &W) {
  m_worker.setWorker(W);
  m_agent->onWorker(W, base::bootNow());
}

void AgentNode::farewell(const std::string &Worker) {
  event("workerLeft", "", "worker=" + Worker);
}

void AgentNode::start(const batch::StartCall &C) {
  m_worker.start(
      C, m_timing.m_callMs,
      [this, Task = C.m_order.m_task, Run = C.m_order.m_run,
       Alive = std::weak_ptr<int>(m_alive)](const batch::OrderAnswer &A) {
        if (!Alive.expired())
          m_agent->onStart(Task, Run, A, base::bootNow());
      });
}

void AgentNode::stop(const batch::StopCall &C) {
  m_worker.stop(
      C, m_timing.m_callMs,
      [this, Task = C.m_task, Run = C.m_run,
       Alive = std::weak_ptr<int>(m_alive)](const batch::OrderAnswer &A) {
        if (!Alive.expired())
          m_agent->onStop(Task, Run, A, base::bootNow());
      });
}

void AgentNode::look(const batch::LookCall &C) {
  m_worker.look(
      C, C.m_waitMs + LookMarginMs,
      [this, Serial = C.m_serial,
       Alive = std::weak_ptr<int>(m_alive)](const batch::LookAnswer &A) {
        if (!Alive.expired())
          m_agent->onLook(Serial, A, base::bootNow());
      });
}

void AgentNode::report(const batch::AgentReport &R) {
  const auto Weak = std::weak_ptr<int>(m_alive);
  if (!m_client) {
    m_reactor.post([this, Sequence = R.m_sequence, Weak] {
      if (!Weak.expired())
        m_agent->onReply(Sequence, std::nullopt, base::bootNow());
    });
    return;
  }
  m_open.insert(R.m_sequence);
  m_client->call(
      toRequest(ReportPath, R), ReportMs,
      [this, Sequence = R.m_sequence, Weak](const http::CallResult &Result) {
        if (!Weak.expired())
          replied(Sequence, Result);
      });
}

void AgentNode::replied(std::uint64_t Sequence,
                        const http::CallResult &Result) {
  m_open.erase(Sequence);
  std::optional<batch::AgentReply> Out;
  const auto *Got = std::get_if<http::Response>(&Result);
  if (Got != nullptr && Got->m_status == 200) {
    if (auto Reply = unpackMessage<batch::AgentReply>(Got->m_body))
      Out = std::move(*Reply);
  }
  if (Out) {
    if (m_failures >= FailuresToAsk)
      event("leaderRegained", "", fmt::format("after={}", m_failures));
    m_failures = 0;
    if (!Out->m_entries.empty())
      m_entries = Out->m_entries;
  } else if (++m_failures == FailuresToAsk) {
    event("leaderLost", "",
          fmt::format("leader={} epoch={}", m_leader.m_name, m_leader.m_epoch));
    // An idle connection to the store may be silent too.
    m_leaders->restart();
  }
  if (m_failures >= FailuresToAsk)
    askEntries();
  m_agent->onReply(Sequence, Out, base::bootNow());
}

// Without the store, any entry that reaches it tells who leads.
void AgentNode::askEntries() {
  if (m_asking || m_entries.empty())
    return;
  m_asking = http::AsyncClient::create(
      m_reactor, m_entries[m_nextEntry++ % m_entries.size()]);
  http::Request R;
  R.m_target = LeaderPath;
  m_asking->call(R, AskMs,
                 [this, Alive = std::weak_ptr<int>(m_alive)](
                     const http::CallResult &Result) {
                   if (Alive.expired())
                     return;
                   m_asking = nullptr;
                   const auto *Got = std::get_if<http::Response>(&Result);
                   if (Got == nullptr || Got->m_status != 200)
                     return;
                   if (const auto S = base::parse<EntryStatus>(Got->m_body))
                     takeLeader(S->m_leader);
                 });
}

void AgentNode::tick() {
  m_tick->start(TickMs, [this] { tick(); });
  m_agent->advance(base::bootNow());
}

void AgentNode::control(const http::Request &R,
                        const http::Responder &Answer) const {
  const std::string Path = http::pathOf(R.m_target);
  if (const auto Seen = answerReader(Path, m_events, m_counters))
    return Answer(*Seen);
  Answer(http::errorResponse({base::ErrorKind::NotFound, Path}));
}

void AgentNode::reload(const Bounds &B) { m_agent->setLease(leaseOf(B)); }

void AgentNode::beginStop() {
  event("stopping", "", "");
  m_agent->beginStop(base::bootNow());
}

} // namespace pomelokeel::node
