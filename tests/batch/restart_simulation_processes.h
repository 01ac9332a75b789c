#pragma once

#include "restart_simulation.h"

namespace pomelokeel::batch::tests {

/// The store's stream of the journal. An append may fail in any way that its
/// outcome allows.
struct RestartSimulation::Journal {
  enum class Mode { Up, Lossy, Refusing, Silent };

  explicit Journal(RestartSimulation &S) : m_simulation(S) {}

  void append(const JournalBatch &B,
              const std::function<void(AppendOutcome)> &Done);
  AppendOutcome apply(const JournalBatch &B);
  void fence(std::uint64_t Epoch);
  bool up() const { return m_mode == Mode::Up || m_mode == Mode::Lossy; }

  RestartSimulation &m_simulation;
  Mode m_mode = Mode::Up;
  std::uint64_t m_epoch = 0;
  std::uint64_t m_last = 0; ///< Number of the last batch of the epoch.
  std::map<std::string, std::string> m_records;
};

/// A process with the real leader.
struct RestartSimulation::LeaderProcess final : LeaderPorts {
  LeaderProcess(RestartSimulation &S, std::uint64_t Epoch);

  void append(const JournalBatch &B) override;
  void wakeAfter(Millis Ms) override;
  void event(const std::string &Name, const std::string &Job,
             const std::string &Detail) override;

  RestartSimulation &m_simulation;
  const std::uint64_t m_epoch;
  std::unique_ptr<Leader> m_leader;
  Millis m_wakeAt = 0;
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

/// A process with the real agent of a worker.
struct RestartSimulation::AgentProcess final : AgentPorts {
  AgentProcess(RestartSimulation &S, Worker &W);

  /// Runs Do unless this process has ended by then.
  void later(Millis Ms, std::function<void()> Do);

  void start(const StartCall &C) override;
  void stop(const StopCall &C) override;
  void poll(const PollCall &C) override;
  void report(const AgentReport &R) override;
  void event(const std::string &Name, const std::string &Job,
             const std::string &Detail) override;

  /// The worker may carry out an order after this process has ended.
  template <typename Call>
  void order(const Call &C, const std::string &Task, int Run, const char *What,
             std::function<OrderResult(const Call &, bool)> CarryOut,
             std::function<void(const Call &, const OrderResult &)> Done);
  void answerPoll(const PollCall &C, std::int64_t StartTime, Millis Until);
  void finishPoll(std::uint64_t Serial, const PollResult &R);

  RestartSimulation &m_simulation;
  Worker &m_worker;
  std::uint64_t m_leaderEpoch = 0; ///< Of the leader that it reports to.
  std::set<std::uint64_t> m_finishedPolls;
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
  Agent m_agent;
};

} // namespace pomelokeel::batch::tests
