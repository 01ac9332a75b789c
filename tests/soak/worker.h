#pragma once

#include "http/async_client.h"
#include "http/http.h"
#include "soak/history.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace pomelokeel::soak {

/// Stand-ins of the users' workers. They check fences, run numbers and leases,
/// but start runs beyond their capacity too, so that the history can record
/// such a violation. A task's payload says how long it takes, how many members
/// its gang has and how many of its runs fail.
class Workers;

/// A worker with 8 accelerators. It receives orders from one agent.
class Worker {
public:
  Worker(Workers &Owner, http::Reactor &R, std::string Name,
         std::string DataCentre, const std::string &Address,
         const std::string &AgentAddress);

  // Faults.
  bool m_refusesOrders = false; ///< Answers orders with 503, without effect.
  /// Carries out orders after 2 s and never answers them.
  bool m_delaysOrders = false;

  /// Crashes and restarts at once with the same id, a new start time and no
  /// state.
  void crash();
  /// Crashes for good. A worker with a new id takes its place.
  void replace();
  /// Reports that it drains. Some time after the acknowledgement it announces
  /// its end, and a worker with a new id takes its place.
  void drain();
  bool draining() const { return m_drainingSince >= 0; }

private:
  friend class Workers;

  struct Run {
    int m_number = 0;
    std::string m_payload;
    Millis m_startedAt = 0;
    /// When all members of its gang had started, or -1. Work begins then.
    Millis m_workStartedAt = -1;
    bool m_stopping = false;
    Millis m_stopAt = 0;
  };
  struct End {
    std::int64_t m_number = 0; ///< Counts the ends of an incarnation.
    std::string m_task;
    int m_run = 0;
    std::string m_kind;
    bool m_leaseLapsed = false; ///< After the end.
  };
  struct Poll {
    Millis m_deadline = 0;
    http::Responder m_answer;
  };

  void serve(const http::Request &R, const http::Responder &Answer);
  http::Response start(const std::string &Body, bool Late);
  http::Response stop(const std::string &Body);
  http::Response carryOut(const http::Request &Order, bool Late);
  void poll(const std::string &Body, const http::Responder &Answer);
  /// Records for all ends whether the lease has lapsed. Called before each
  /// renewal.
  void checkLease();
  http::Response listRuns() const;
  void heartbeat();
  void leaveIfDrained(Millis Now);
  void tick(Millis Now);
  void end(const std::string &Task, const std::string &EndKind);
  /// Time since this incarnation started.
  Millis clock() const;

  Workers &m_owner;
  const std::string m_firstName;
  std::string m_name; ///< Its id.
  int m_replacements = 0;
  const std::string m_dataCentre;
  const std::string m_address;
  http::Reactor &m_reactor;
  std::unique_ptr<http::Server> m_server;
  std::shared_ptr<http::AsyncClient> m_agent;
  Millis m_heartbeatAt = 0;
  std::int64_t m_heartbeatSequence = 0;
  Millis m_drainingSince = -1; ///< -1: it is not draining.
  Millis m_drainAcknowledgedAt = -1;
  std::int64_t m_startTime = 0; ///< Unix time in ms; tells incarnations apart.
  Millis m_clockStart = 0;      ///< Time at which clock() was 0.
  Millis m_leaseEnd = 0;        ///< In terms of clock().
  std::uint64_t m_fence = 0;    ///< Highest fence received.
  std::map<std::string, Run> m_runs;
  /// By task: the highest run that ended or was ordered to stop.
  std::map<std::string, int> m_highestEndedRun;
  std::vector<End> m_ends; ///< Ends that are not acknowledged yet.
  std::int64_t m_lastEndNumber = 0;
  std::vector<Poll> m_polls;
};

class Workers {
public:
  Workers(http::Reactor &R, History &H) : m_reactor(R), m_history(H) {}

  /// Orders delayed at a worker that crashes are carried out by its next
  /// incarnation.
  bool m_ordersOutliveCrashes = false;

  Worker &add(const std::string &Name, const std::string &DataCentre,
              const std::string &Address, const std::string &AgentAddress);
  void tick();
  /// True if the work of a gang's run ends within \p DurationMs.
  bool gangEndsWithin(Millis DurationMs) const;
  std::vector<std::unique_ptr<Worker>> &all() { return m_workers; }

private:
  friend class Worker;

  /// True if \p Members members of the task's gang are running.
  bool gangIsComplete(const std::string &Task, int Run, int Members) const;
  /// Ends all members of the task's gang that have the same run number.
  void endGang(const std::string &Task, int Run, const std::string &EndKind);

  http::Reactor &m_reactor;
  History &m_history;
  std::vector<std::unique_ptr<Worker>> m_workers;
};

} // namespace pomelokeel::soak
