#pragma once

#include "base/counters.h"
#include "base/events.h"
#include "batch/agent.h"
#include "http/async_client.h"
#include "http/reactor.h"
#include "node/election.h"
#include "node/settings.h"
#include "node/store.h"

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace pomelokeel::node {

/// The worker's interface, as an agent uses it. Answers come on the reactor's
/// thread, not within the call.
class WorkerLink {
public:
  virtual ~WorkerLink() = default;
  virtual void start(const batch::StartCall &C, Millis TimeoutMs,
                     std::function<void(batch::OrderResult)> Done) = 0;
  virtual void stop(const batch::StopCall &C, Millis TimeoutMs,
                    std::function<void(batch::OrderResult)> Done) = 0;
  virtual void look(const batch::PollCall &C, Millis TimeoutMs,
                    std::function<void(batch::PollResult)> Done) = 0;
  /// The worker that orders are for.
  virtual void setWorker(const batch::WorkerInfo &W) = 0;
};

/// The process beside a worker: finds the leader, reports to it and carries out
/// its orders.
class AgentNode : public batch::AgentPorts {
public:
  AgentNode(http::Reactor &R, const Settings &S, Store &Platform,
            WorkerLink &Worker, base::EventLog &Events,
            base::Counters &Counters);
  ~AgentNode() override;

  /// The worker has described itself.
  void heartbeat(const batch::WorkerInfo &W);
  /// The worker has said that it ends.
  void farewell(const std::string &Worker);

  /// Answers a request of another process or an operator.
  void control(const http::Request &R, const http::Responder &Answer) const;

  /// Takes the bounds of a changed settings file. Addresses stay as they are.
  void reload(const Bounds &B);

  void beginStop();

private:
  void start(const batch::StartCall &C) override;
  void stop(const batch::StopCall &C) override;
  void poll(const batch::PollCall &C) override;
  void report(const batch::AgentReport &R) override;
  void event(const std::string &Name, const std::string &Job,
             const std::string &Detail) override;

  void replied(std::uint64_t Sequence, const http::CallResult &Result);
  void takeLeader(const LeaderRecord &L);
  void askEntries();
  void tick();

  http::Reactor &m_reactor;
  const Settings m_settings;
  WorkerLink &m_worker;
  base::EventLog &m_events;
  base::Counters &m_counters;
  batch::AgentTiming m_timing;
  std::unique_ptr<batch::Agent> m_agent;
  std::unique_ptr<Follower> m_leaders;
  std::unique_ptr<http::Timer> m_tick;
  LeaderRecord m_leader;
  std::shared_ptr<http::AsyncClient> m_client; ///< To the leader.
  std::set<std::uint64_t> m_open;              ///< Reports on their way to it.
  std::vector<std::string> m_entries; ///< Where to ask without the store.
  std::size_t m_nextEntry = 0;
  std::shared_ptr<http::AsyncClient> m_asking;
  int m_failures = 0; ///< Reports that failed in a row.
  std::shared_ptr<int> m_alive = std::make_shared<int>();
};

} // namespace pomelokeel::node
