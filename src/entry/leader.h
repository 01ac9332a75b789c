#pragma once

#include "base/clock.h"
#include "base/counters.h"
#include "base/events.h"
#include "model/message.h"
#include "model/record.h"
#include "sched/sched.h"
#include "state/state.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace pomelokeel::entry {

using base::Millis;

/// A command for the agent of a worker.
struct AgentCommand {
  std::string m_worker;
  model::Command m_command;
};

/// Output of the leader. The calling code sets id, by, epoch and stamp of the
/// records, appends them, and sends the commands to the agents.
struct Actions {
  std::vector<model::Record> m_records;
  std::vector<AgentCommand> m_commands;
};

/// Times and state of the log for one tick.
struct TickInput {
  Millis m_nowMs = 0;         ///< Monotonic.
  Millis m_logTimeMs = 0;     ///< Estimate of the log service's clock now.
  bool m_logAvailable = true; ///< No placement is made without the log.
};

/// Timeouts and intervals of the leader.
struct LeaderTiming {
  /// Silence after which an agent gets no new work.
  Millis m_agentTimeoutMs = 3000;
  Millis m_gangLeaseMs = 3000;
  Millis m_commandRetryMs = 500; ///< Repeats a command without reply.
  /// Log time after which a lost worker is removed. A job is rejected as
  /// impossible if no known worker, lost ones included, could run it. So this
  /// has to leave time to replace a worker.
  Millis m_workerLeftMs = 24LL * 3600 * 1000;
};

/// What the leader reports about its current decisions and the agents.
struct LeaderReport {
  std::vector<sched::WaitReason> m_waiting;
  std::vector<sched::Shortfall> m_shortfalls;
  std::vector<sched::BlockAssignment> m_blocks;
  /// Time since the last message of each worker's agent, or -1 if the agent has
  /// not reported in this epoch.
  std::map<std::string, Millis> m_silentMs;
};

/// Makes the decisions of the entry that holds the current epoch: placement,
/// attempts from reservation to proven end, reclaim, retries and outcomes.
/// Uses no sockets and no clock. Every decision is a record; a command that
/// starts work is sent only after its record was read back from the log.
class Leader {
public:
  using Planner = std::function<sched::Plan(const sched::Snapshot &)>;

  Leader(LeaderTiming Timing, base::Counters &Counters, base::EventLog &Events);

  /// Replaces the planner, for tests of decisions that sched::plan rarely
  /// makes.
  Leader(LeaderTiming Timing, base::Counters &Counters, base::EventLog &Events,
         Planner Plan);
  ~Leader();

  /// Starts to lead the epoch of \p S and takes over its placed and running
  /// attempts. None is assumed to have ended: the reports of agents show
  /// their state.
  void start(const state::State &S, Millis NowMs);

  /// Stops leading and drops all state, after another process has claimed the
  /// epoch.
  void stop();

  /// Handles a record that was applied to \p S.
  Actions onApplied(const state::State &S, const model::LogEntry &Entry,
                    const state::Applied &Applied, Millis NowMs);

  /// Handles the report of an agent, received directly or through another
  /// entry.
  Actions onReport(const state::State &S, const model::AgentReport &Report,
                   Millis NowMs);

  /// Handles the message in which an entry lists the agents attached to it and
  /// for how long each has been silent.
  void onDigest(const model::Digest &Digest, Millis NowMs);

  /// Handles the reply of an agent to a command.
  Actions onReply(const state::State &S, const model::CommandReply &Reply,
                  Millis NowMs);

  /// Handles deadlines and retries, and runs a planning pass if one is due.
  Actions tick(const state::State &S, const TickInput &Input);

  LeaderReport report(const state::State &S, Millis NowMs) const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace pomelokeel::entry
