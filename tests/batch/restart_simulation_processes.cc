#include "restart_simulation_processes.h"

#include <fmt/format.h>

#include <algorithm>

namespace pomelokeel::batch::tests {
namespace {

/// A replaced leader may act until it is not confirmed any more.
constexpr Millis OldLeaderMs = 3500;

} // namespace

RestartSimulation::LeaderProcess::LeaderProcess(RestartSimulation &S,
                                                std::uint64_t Epoch)
    : m_simulation(S), m_epoch(Epoch) {
  Timing T;
  T.m_gangTimeoutMs = GangTimeoutMs;
  T.m_roundPauseMs = T.m_passPauseMs = S.m_options.m_pauseMs;
  m_leader = std::make_unique<Leader>(T, *this, S.m_counters, Epoch, S.m_now,
                                      S.wallNow());
}

void RestartSimulation::LeaderProcess::append(const JournalBatch &B) {
  m_simulation.m_journal->append(
      B, [this, &S = m_simulation,
          Alive = std::weak_ptr<int>(m_alive)](AppendOutcome O) {
        if (Alive.expired())
          return;
        m_leader->appended(O, S.m_now);
        if (m_leader->fenced())
          S.after(0, [&S, Epoch = m_epoch] { S.removeLeader(Epoch); });
      });
}

void RestartSimulation::LeaderProcess::wakeAfter(Millis Ms) {
  m_wakeAt = m_simulation.m_now + Ms;
  m_simulation.after(
      Ms, [this, At = m_wakeAt, Alive = std::weak_ptr<int>(m_alive)] {
        if (!Alive.expired() && At == m_wakeAt)
          m_leader->runRound(m_simulation.m_now);
      });
}

void RestartSimulation::LeaderProcess::event(const std::string &Name,
                                             const std::string &Job,
                                             const std::string &Detail) {
  m_simulation.log(Job, fmt::format("leader {}: {} {}", m_epoch, Name, Detail));
}

void RestartSimulation::startAgent(std::size_t I) {
  m_agents[I] = std::make_unique<AgentProcess>(*this, m_workers[I]);
  AgentProcess &A = *m_agents[I];
  log("", fmt::format("agent {}: starts", A.m_worker.m_name));
  A.later(between(20, 300), [this, &A] {
    if (LeaderProcess *L = currentLeader())
      A.m_leaderEpoch = std::max(A.m_leaderEpoch, L->m_epoch);
  });
}

void RestartSimulation::stopAgent(std::size_t I, bool Gracefully) {
  if (!m_agents[I])
    return;
  log("", fmt::format("agent {}: ends", m_workers[I].m_name));
  if (Gracefully)
    m_agents[I]->m_agent.beginStop(m_now);
  m_agents[I] = nullptr;
}

void RestartSimulation::restartAgent(std::size_t I) {
  if (!m_agents[I])
    return;
  stopAgent(I, chance(0.5));
  after(between(50, 1500), [this, I] {
    if (!m_agents[I])
      startAgent(I);
  });
}

RestartSimulation::LeaderProcess *RestartSimulation::currentLeader() {
  const auto It = m_leaders.find(m_epoch);
  return It == m_leaders.end() ? nullptr : It->second.get();
}

void RestartSimulation::startLeader() {
  if (!m_journal->up()) {
    after(200, [this] { startLeader(); });
    return;
  }
  m_leaderWanted = false;
  ++m_epoch;
  log("", fmt::format("leader {}: starts", m_epoch));
  m_journal->fence(m_epoch);
  auto L = std::make_unique<LeaderProcess>(*this, m_epoch);
  std::vector<KeyedRecord> Records;
  for (const auto &[Key, Value] : m_journal->m_records)
    Records.push_back({Key, Value});
  if (auto Loaded = L->m_leader->load(Records); !Loaded)
    fail("", "journal not readable: " + Loaded.error().m_message);
  m_leaders[m_epoch] = std::move(L);
  for (auto &A : m_agents) {
    if (!A)
      continue;
    A->later(between(10, 1000), [&P = *A, Epoch = m_epoch] {
      P.m_leaderEpoch = std::max(P.m_leaderEpoch, Epoch);
    });
  }
}

void RestartSimulation::replaceLeader(bool KeepOld) {
  if (m_leaderWanted)
    return;
  m_leaderWanted = true;
  const std::uint64_t Old = m_epoch;
  if (!KeepOld)
    removeLeader(Old);
  const Millis Ms = between(100, 2500);
  after(Ms, [this] { startLeader(); });
  after(Ms + OldLeaderMs, [this, Old] { removeLeader(Old); });
}

void RestartSimulation::removeLeader(std::uint64_t Epoch) {
  if (m_leaders.erase(Epoch) > 0)
    log("", fmt::format("leader {}: ends", Epoch));
}

void RestartSimulation::restartAll() {
  log("", "all processes end");
  m_leaders.clear();
  for (std::size_t I = 0; I < m_agents.size(); ++I) {
    stopAgent(I, false);
    after(between(100, 1500), [this, I] {
      if (!m_agents[I])
        startAgent(I);
    });
  }
  if (!std::exchange(m_leaderWanted, true))
    after(between(200, 2500), [this] { startLeader(); });
}

} // namespace pomelokeel::batch::tests
