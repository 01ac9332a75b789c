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

/// What the leader wants done. The caller sets id, by, epoch and stamp of the
/// records, appends them, and sends the commands to the agents.
struct Actions {
  std::vector<model::Record> m_records;
  std::vector<AgentCommand> m_commands;
};

/// Conditions of one tick.
struct TickInput {
  Millis m_nowMs = 0;         ///< Monotonic.
  Millis m_logTimeMs = 0;     ///< Estimate of the log service's clock now.
  bool m_logAvailable = true; ///< No placement is made without the log.
};

/// Timing of the leader that comes from the settings.
struct LeaderTiming {
  Millis m_agentTimeoutMs =
      3000; ///< Silence after which an agent gets no new work.
  Millis m_gangLeaseMs = 3000;
  Millis m_commandRetryMs = 500; ///< Repeats a command without reply.
  /// Log time that a worker stays lost before it is removed. Jobs are judged as
  /// impossible against all workers, so that a replacement must fit in.
  Millis m_workerLeftMs = 24LL * 3600 * 1000;
};

/// Live view of the leader for reports.
struct LeaderReport {
  std::vector<sched::WaitReason> m_waiting;
  std::vector<sched::Shortfall> m_shortfalls;
  std::vector<sched::BlockAssignment> m_blocks;
  std::map<std::string, Millis> m_silentMs; ///< By worker; -1 if never heard.
};

/// The duties of the entry that holds the current epoch: placement, attempts
/// from reservation to proven end, reclaim, retries, outcomes. No sockets and
/// no clock of its own; every decision is a record, and a command that starts
/// work is sent only after its record was read back from the log.
class Leader {
public:
  using Planner = std::function<sched::Plan(const sched::Snapshot &)>;

  Leader(LeaderTiming Timing, base::Counters &Counters, base::EventLog &Events);

  /// A leader with its own planner, for tests of decisions that sched::plan
  /// makes seldom.
  Leader(LeaderTiming Timing, base::Counters &Counters, base::EventLog &Events,
         Planner Plan);
  ~Leader();

  /// Starts a new epoch. Attempts that run are taken over from \p S: agents are
  /// asked by their reports, nothing is assumed to have ended.
  void start(const state::State &S, Millis NowMs);

  /// Forgets everything after another process has claimed the epoch.
  void stop();

  /// A record was applied to \p S.
  Actions onApplied(const state::State &S, const model::LogEntry &Entry,
                    const state::Applied &Applied, Millis NowMs);

  /// An agent's report arrived, directly or relayed.
  Actions onReport(const state::State &S, const model::AgentReport &Report,
                   Millis NowMs);

  /// An entry told which agents are attached to it and since when each is
  /// silent.
  void onDigest(const model::Digest &Digest, Millis NowMs);

  Actions onReply(const state::State &S, const model::CommandReply &Reply,
                  Millis NowMs);

  /// Deadlines, retries and one planning pass.
  Actions tick(const state::State &S, const TickInput &Input);

  LeaderReport report(const state::State &S, Millis NowMs) const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace pomelokeel::entry
