#include "restart_simulation_processes.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace pomelokeel::batch::tests {
namespace {

constexpr Millis WallAtZero = 1700000000000;
constexpr Millis FaultsMs = 30000;
/// Every job must have ended this long after the last fault. Quarantines last
/// up to 30 s, and runs of lost workers end with their leases.
constexpr Millis CalmMs = 90000;
constexpr std::size_t WorkerCount = 4;
constexpr std::int64_t WorkerAccelerators = 8;

constexpr Millis AgentTickMs = 100;
constexpr Millis LeaderTickMs = 100;
constexpr Millis HeartbeatMs = 500;
constexpr Millis ConfirmMs = 300;
constexpr Millis QueryEveryMs = 700;

} // namespace

RestartSimulation::RestartSimulation(std::uint64_t Seed, const Options &O)
    : m_seed(Seed), m_options(O), m_random(Seed),
      m_journal(std::make_unique<Journal>(*this)) {
  m_agents.resize(WorkerCount);
  for (std::size_t I = 0; I < WorkerCount; ++I) {
    Worker &W = m_workers.emplace_back();
    W.m_name = fmt::format("w-{}", I);
    W.m_rack = fmt::format("r-{}", I / 2);
    W.m_startTime = wallNow();
    W.m_bornAt = m_now;
  }
}

RestartSimulation::~RestartSimulation() = default;

Millis RestartSimulation::between(Millis Low, Millis High) {
  return Low + static_cast<Millis>(m_random() %
                                   static_cast<std::uint64_t>(High - Low + 1));
}

bool RestartSimulation::chance(double Share) {
  constexpr std::uint64_t Parts = 1000000;
  return static_cast<double>(m_random() % Parts) <
         Share * static_cast<double>(Parts);
}

void RestartSimulation::after(Millis Ms, std::function<void()> Do) {
  m_events.emplace(m_now + Ms, std::move(Do));
}

void RestartSimulation::every(Millis Ms, std::function<void()> Do) {
  after(Ms, [this, Ms, Do = std::move(Do)] {
    Do();
    every(Ms, Do);
  });
}

Millis RestartSimulation::wallNow() const { return WallAtZero + m_now; }

RestartSimulation::Fate RestartSimulation::chooseFate() {
  if (!chance(m_noise))
    return Fate::Answered;
  static constexpr std::array<Fate, 4> Wrong = {Fate::Lost, Fate::AnswerLost,
                                                Fate::Late, Fate::Refused};
  return Wrong[static_cast<std::size_t>(between(0, 3))];
}

// Faults.

void RestartSimulation::injectFault() {
  const Millis Choice = between(0, 99);
  Worker &W = m_workers[static_cast<std::size_t>(
      between(0, static_cast<Millis>(WorkerCount) - 1))];
  const auto RandomJob = [&]() -> std::string {
    auto It = m_jobs.begin();
    std::advance(It, between(0, static_cast<Millis>(m_jobs.size()) - 1));
    return It->first;
  };
  if (Choice < 35 || m_jobs.empty())
    return submitJob();
  if (Choice < 40) {
    const std::string Id = RandomJob();
    if (m_jobs[Id]->m_accepted && !m_jobs[Id]->m_cancelSent)
      sendCancel(Id);
    return;
  }
  if (Choice < 55)
    return restartAgent(static_cast<std::size_t>(
        between(0, static_cast<Millis>(WorkerCount) - 1)));
  if (Choice < 63)
    return replaceLeader(chance(0.5));
  if (Choice < 70)
    return restartAll();
  if (Choice < 80)
    return crashWorker(W);
  if (Choice < 90) {
    if (!m_journal->up() || m_journal->m_mode != Journal::Mode::Up)
      return;
    using Mode = Journal::Mode;
    static constexpr std::array<Mode, 3> Modes = {Mode::Lossy, Mode::Refusing,
                                                  Mode::Silent};
    m_journal->m_mode = Modes[static_cast<std::size_t>(between(0, 2))];
    log("",
        fmt::format("store: fault {}", static_cast<int>(m_journal->m_mode)));
    const bool RestartsAll = chance(0.4);
    after(between(300, 6000), [this, RestartsAll] {
      if (RestartsAll)
        restartAll();
      m_journal->m_mode = Mode::Up;
      log("", "store: up");
    });
    return;
  }
  m_noise = 0.1;
  after(between(1000, 5000), [this] { m_noise = 0; });
}

void RestartSimulation::playFaults() {
  if (m_calm)
    return;
  injectFault();
  after(between(50, 1200), [this] { playFaults(); });
}

void RestartSimulation::sendHeartbeats() {
  for (auto &A : m_agents) {
    if (!A || !A->m_worker.m_up)
      continue;
    const Worker &W = A->m_worker;
    WorkerInfo I;
    I.m_id = W.m_name;
    I.m_workerIncarnation = W.incarnation();
    I.m_startTime = W.m_startTime;
    I.m_service = "s";
    I.m_dataCentre = "a";
    I.m_rack = W.m_rack;
    I.m_capacity = {64000, 10000, WorkerAccelerators};
    A->m_agent.onWorkerInfo(I, m_now);
  }
}

std::string RestartSimulation::run() {
  startLeader();
  for (std::size_t I = 0; I < WorkerCount; ++I)
    startAgent(I);
  every(WorkerTickMs, [this] { tickWorkers(); });
  every(AgentTickMs, [this] {
    for (auto &A : m_agents) {
      if (A)
        A->m_agent.advance(m_now);
    }
  });
  every(HeartbeatMs, [this] { sendHeartbeats(); });
  every(ConfirmMs, [this] {
    if (LeaderProcess *L = currentLeader(); L != nullptr && !m_leaderWanted)
      L->m_leader->confirm(m_now);
  });
  every(LeaderTickMs, [this] {
    for (auto &Entry : m_leaders)
      Entry.second->m_leader->advance(m_now, wallNow());
  });
  every(QueryEveryMs, [this] {
    for (const auto &Entry : m_jobs)
      sendQuery(Entry.first);
    // A leader that was fenced or lost is replaced.
    if (currentLeader() == nullptr && !m_leaderWanted)
      replaceLeader(false);
  });
  after(1500, [this] { playFaults(); });
  after(FaultsMs, [this] {
    m_calm = true;
    log("", "calm");
  });
  const Millis End = m_now + FaultsMs + CalmMs;
  // Late calls are carried out and faults end by then.
  const Millis Earliest = m_now + FaultsMs + 2 * MaxLateMs;
  while (m_violation.empty() && m_now < End && !m_events.empty()) {
    auto Next = m_events.extract(m_events.begin());
    m_now = Next.key();
    if (m_calm)
      m_noise = 0;
    Next.mapped()();
    if (m_now > Earliest && settled())
      break;
  }
  if (m_violation.empty())
    checkEnd();
  return m_violation;
}

} // namespace pomelokeel::batch::tests
