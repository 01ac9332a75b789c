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

/// Interface of an agent to its worker. Callbacks run on the reactor's thread,
/// never within the call itself.
class WorkerLink {
public:
  virtual ~WorkerLink() = default;
  virtual void start(const batch::StartCall &C, Millis TimeoutMs,
                     std::function<void(batch::OrderResult)> Done) = 0;
  virtual void stop(const batch::StopCall &C, Millis TimeoutMs,
                    std::function<void(batch::OrderResult)> Done) = 0;
  /// Polls the state of the worker.
  virtual void poll(const batch::PollCall &C, Millis TimeoutMs,
                    std::function<void(batch::PollResult)> Done) = 0;
};

/// The agent process beside a worker. It finds the leader, sends reports to it
/// and carries out its orders.
class AgentNode : public batch::AgentPorts {
public:
  AgentNode(http::Reactor &R, const Settings &S, Store &SharedStore,
            WorkerLink &Worker, base::EventLog &Events,
            base::Counters &Counters);
  ~AgentNode() override;

  /// Handles a heartbeat, in which the worker describes itself.
  void handleHeartbeat(const batch::WorkerInfo &W);
  /// Handles the notice of a worker that it is shutting down.
  void handleWorkerLeft(const std::string &Worker);

  /// Answers a control request of another process or an operator.
  void control(const http::Request &R, const http::Responder &Answer) const;

  /// Applies the lease bound of a changed settings file. Other settings take
  /// effect at the next start.
  void reload(const Bounds &B);

  void beginStop();
  /// Whether the process may end without losing what only it knows.
  bool mayEnd() const { return m_agent->mayEnd(base::bootNow()); }

private:
  void start(const batch::StartCall &C) override;
  void stop(const batch::StopCall &C) override;
  void poll(const batch::PollCall &C) override;
  void report(const batch::AgentReport &R) override;
  void event(const std::string &Name, const std::string &Job,
             const std::string &Detail) override;

  void handleReply(std::uint64_t Sequence, const http::CallResult &Result);
  void updateLeader(const LeaderRecord &L);
  void queryEntries();
  void tick();

  http::Reactor &m_reactor;
  const Settings m_settings;
  WorkerLink &m_worker;
  base::EventLog &m_events;
  base::Counters &m_counters;
  batch::AgentTiming m_timing;
  std::unique_ptr<batch::Agent> m_agent;
  std::unique_ptr<Follower> m_leaderFollower;
  std::unique_ptr<http::Timer> m_tick;
  LeaderRecord m_leader;
  std::shared_ptr<http::AsyncClient> m_client; ///< To the leader.
  /// Sequence numbers of the reports that were sent and not answered yet.
  std::set<std::uint64_t> m_pendingReports;
  std::vector<std::string> m_entryAddresses; ///< Addresses from the last reply.
  std::size_t m_nextEntry = 0;
  std::shared_ptr<http::AsyncClient> m_queryClient; ///< Null: no query runs.
  int m_reportFailures = 0; ///< Consecutive failed reports.
  /// Callbacks hold it weakly and do nothing after this object is destroyed.
  std::shared_ptr<int> m_alive = std::make_shared<int>();
};

} // namespace pomelokeel::node
