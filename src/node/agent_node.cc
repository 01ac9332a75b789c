#include "node/agent_node.h"

#include "base/clock.h"
#include "node/control.h"
#include "node/peers.h"

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <utility>

namespace pomelokeel::node {
namespace {

constexpr Millis TickMs = 100;

/// Long-poll timeout of a read of the leader stream. It may be long, because
/// failed reports also reveal a dead connection.
constexpr Millis FollowWaitMs = 25000;

/// Timeout of a report. The leader holds a report for one second; the round
/// trip to another region is short compared to the rest.
constexpr Millis ReportTimeoutMs = 2000;

/// Consecutive failed reports before other entries are asked for the leader.
constexpr int FailuresBeforeQuery = 2;
/// Timeout of such a query.
constexpr Millis EntryQueryMs = 500;

/// Added to the wait of a poll to get its timeout.
constexpr Millis PollMarginMs = 800;

} // namespace

AgentNode::AgentNode(http::Reactor &R, const Settings &S, Store &SharedStore,
                     WorkerLink &Worker, base::EventLog &Events,
                     base::Counters &Counters)
    : m_reactor(R), m_settings(S), m_worker(Worker), m_events(Events),
      m_counters(Counters), m_tick(R.timer()),
      m_nextEntry(std::hash<std::string>{}(S.m_name)) {
  m_timing.m_leaseMs = leaseOf(S.m_bounds);
  m_agent = std::make_unique<batch::Agent>(S.m_name, base::wallNow(), m_timing,
                                           *this, Counters);
  Follower::Handlers F;
  F.m_record = [this](const KeyedRecord &Record) {
    if (const auto L = parseLeader(Record, m_leaderFollower->end()))
      updateLeader(*L);
    else
      event("recordIgnored", "", "key=" + Record.m_key);
  };
  F.m_caughtUp = [](std::int64_t, Millis) {};
  F.m_reachabilityChanged = [this](bool Reachable) {
    event(Reachable ? "storeRegained" : "storeLost", "", "by=leaderStream");
  };
  m_leaderFollower = std::make_unique<Follower>(R, SharedStore, Stream::Leaders,
                                                FollowWaitMs, F);
  tick();
}

AgentNode::~AgentNode() = default;

void AgentNode::event(const std::string &Name, const std::string &Job,
                      const std::string &Detail) {
  m_events.record(Name, {Job, "", ""}, Detail);
}

void AgentNode::updateLeader(const LeaderRecord &L) {
  if (L.m_epoch < m_leader.m_epoch ||
      (L.m_epoch == m_leader.m_epoch && L.m_address == m_leader.m_address))
    return;
  event("leaderChanged", "",
        fmt::format("epoch={} leader={}", L.m_epoch, L.m_name));
  m_leader = L;
  m_reportFailures = 0;
  m_client = L.m_address.empty()
                 ? nullptr
                 : http::AsyncClient::create(m_reactor, L.m_address);
  // The pending calls to the previous leader were dropped with its client.
  for (const std::uint64_t Sequence : std::exchange(m_pendingReports, {}))
    m_agent->onReportReply(Sequence, std::nullopt, base::bootNow());
}

void AgentNode::handleHeartbeat(const batch::WorkerInfo &W) {
  m_agent->onWorkerInfo(W, base::bootNow());
}

void AgentNode::handleWorkerLeft(const std::string &Worker) {
  m_agent->onWorkerLeft(Worker, base::bootNow());
}

void AgentNode::start(const batch::StartCall &C) {
  m_worker.start(
      C, m_timing.m_orderTimeoutMs,
      [this, Task = C.m_order.m_task, Run = C.m_order.m_run,
       Alive = std::weak_ptr<int>(m_alive)](const batch::OrderResult &A) {
        if (!Alive.expired())
          m_agent->onStartResult(Task, Run, A, base::bootNow());
      });
}

void AgentNode::stop(const batch::StopCall &C) {
  m_worker.stop(
      C, m_timing.m_orderTimeoutMs,
      [this, Task = C.m_task, Run = C.m_run,
       Alive = std::weak_ptr<int>(m_alive)](const batch::OrderResult &A) {
        if (!Alive.expired())
          m_agent->onStopResult(Task, Run, A, base::bootNow());
      });
}

void AgentNode::poll(const batch::PollCall &C) {
  m_worker.poll(
      C, C.m_waitMs + PollMarginMs,
      [this, Serial = C.m_serial,
       Alive = std::weak_ptr<int>(m_alive)](const batch::PollResult &A) {
        if (!Alive.expired())
          m_agent->onPollResult(Serial, A, base::bootNow());
      });
}

void AgentNode::report(const batch::AgentReport &R) {
  const auto Weak = std::weak_ptr<int>(m_alive);
  if (!m_client) {
    m_reactor.post([this, Sequence = R.m_sequence, Weak] {
      if (!Weak.expired())
        m_agent->onReportReply(Sequence, std::nullopt, base::bootNow());
    });
    return;
  }
  m_pendingReports.insert(R.m_sequence);
  m_client->call(
      toRequest(ReportPath, R), ReportTimeoutMs,
      [this, Sequence = R.m_sequence, Weak](const http::CallResult &Result) {
        if (!Weak.expired())
          handleReply(Sequence, Result);
      });
}

void AgentNode::handleReply(std::uint64_t Sequence,
                            const http::CallResult &Result) {
  m_pendingReports.erase(Sequence);
  std::optional<batch::AgentReply> Out;
  const auto *Got = std::get_if<http::Response>(&Result);
  if (Got != nullptr && Got->m_status == 200) {
    if (auto Reply = unpackMessage<batch::AgentReply>(Got->m_body))
      Out = std::move(*Reply);
  }
  if (Out) {
    if (m_reportFailures >= FailuresBeforeQuery)
      event("leaderRegained", "", fmt::format("after={}", m_reportFailures));
    m_reportFailures = 0;
    if (!Out->m_entries.empty())
      m_entryAddresses = Out->m_entries;
  } else if (++m_reportFailures == FailuresBeforeQuery) {
    event("leaderLost", "",
          fmt::format("leader={} epoch={}", m_leader.m_name, m_leader.m_epoch));
    // An idle connection to the store may be dead too.
    m_leaderFollower->restart();
  }
  if (m_reportFailures >= FailuresBeforeQuery)
    queryEntries();
  m_agent->onReportReply(Sequence, Out, base::bootNow());
}

// While this process cannot reach the store, another entry may know the leader.
// An entry that answers is asked again, so that it can count the agents that
// would reach it if it led.
void AgentNode::queryEntries() {
  if (m_queryClient || m_entryAddresses.empty())
    return;
  m_queryClient = http::AsyncClient::create(
      m_reactor, m_entryAddresses[m_nextEntry % m_entryAddresses.size()]);
  http::Request R;
  R.m_target = leaderQuery(m_settings.m_name);
  m_queryClient->call(
      R, EntryQueryMs,
      [this,
       Alive = std::weak_ptr<int>(m_alive)](const http::CallResult &Result) {
        if (Alive.expired())
          return;
        m_queryClient = nullptr;
        const auto *Got = std::get_if<http::Response>(&Result);
        if (Got == nullptr || Got->m_status != 200) {
          ++m_nextEntry;
          return;
        }
        if (const auto S = base::parse<EntryStatus>(Got->m_body))
          updateLeader(S->m_leader);
      });
}

void AgentNode::tick() {
  m_tick->start(TickMs, [this] { tick(); });
  m_agent->advance(base::bootNow());
}

void AgentNode::control(const http::Request &R,
                        const http::Responder &Answer) const {
  const std::string Path = http::pathOf(R.m_target);
  if (const auto Diagnostics = answerDiagnostics(Path, m_events, m_counters))
    return Answer(*Diagnostics);
  Answer(http::errorResponse({base::ErrorKind::NotFound, Path}));
}

void AgentNode::reload(const Bounds &B) { m_agent->setLease(leaseOf(B)); }

void AgentNode::beginStop() { m_agent->beginStop(base::bootNow()); }

} // namespace pomelokeel::node
