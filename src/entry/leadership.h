#pragma once

#include "entry/election.h"
#include "entry/leader.h"
#include "entry/ports.h"
#include "entry/relay.h"
#include "settings/settings.h"
#include "state/state.h"

#include <functional>
#include <optional>
#include <string>

namespace pomelokeel::entry {

/// Creates the records that this process appends.
class RecordMaker {
public:
  RecordMaker(std::string Process, base::HybridClock &Clock);

  /// Fills in id, author and stamp.
  model::Record make(model::RecordKind Kind, base::Json Body,
                     std::uint64_t Epoch = 0) const;

private:
  std::string m_process;
  base::HybridClock &m_clock;
};

/// Times, and conditions for leading or claiming, at one tick.
struct LeadershipInput {
  Millis m_nowMs = 0;
  Millis m_logTimeMs = 0;
  /// The end of the log was read since the start and the last freeze.
  bool m_logEndRead = false;
  bool m_logAvailable = false; ///< Reads and appends are answered.
  bool m_mayClaim = true;      ///< False while stopping.
};

/// Runs Election and Leader: appends claims, renewals, snapshots and the
/// leader's records, and sends its commands. Used only by the core thread.
class Leadership {
public:
  /// Sends a command to the agent of a worker.
  using SendCommand = std::function<void(const AgentCommand &)>;

  Leadership(const settings::EntrySettings &Settings,
             const std::string &Incarnation, const RecordMaker &Records,
             const Ports &Out, SendCommand Send, base::Counters &Counters,
             base::EventLog &Events);

  /// Handles a heartbeat of the leader of the current epoch.
  void recordLeaderContact(const state::State &S, Millis NowMs);

  /// See Election::updateLeaderLink().
  void updateLeaderLink(Millis ClosedForMs, Millis NowMs) {
    m_election.updateLeaderLink(ClosedForMs, NowMs);
  }

  /// Handles a heartbeat of the entry \p Name.
  void recordMemberContact(const std::string &Name, Millis NowMs) {
    m_election.recordMemberContact(Name, NowMs);
  }

  /// Handles a record that was applied to \p S.
  void onApplied(const state::State &S, const model::LogEntry &Entry,
                 const state::Applied &Applied, Millis NowMs);

  /// Stops leading, because a snapshot replaced the state from which the leader
  /// derived its own.
  void onSnapshotLoaded();

  void onReport(const state::State &S, const model::AgentReport &R,
                Millis NowMs);
  void onDigest(const model::Digest &D, Millis NowMs);
  void onReply(const state::State &S, const model::CommandReply &R,
               Millis NowMs);

  /// Handles the answer to the append with \p Tag.
  void onAppendAnswered(const AppendTag &Tag, bool Done, Millis NowMs);

  /// Starts or stops leading, claims, renews, plans and writes snapshots.
  /// Returns true if this call started to lead: the caller then has to pass in
  /// the reports of the agents that it knows.
  bool tick(const state::State &S, const LeadershipInput &Input);

  /// Whether this process acts as the leader.
  bool leads() const { return m_leadingEpoch != 0; }

  LeaderReport report(const state::State &S, Millis NowMs) const;

private:
  bool startOrStop(const state::State &S, const LeadershipInput &Input);
  void stop();
  void claim(const state::State &S, const LeadershipInput &Input);
  void renew(const state::State &S, Millis NowMs);
  void planIfDue(const state::State &S, const LeadershipInput &Input);
  void snapshotIfDue(const state::State &S, Millis NowMs);
  void writeSnapshot(const state::State &S);
  void executeActions(const state::State &S, Actions A, Millis NowMs);
  base::Json claimBody() const;

  settings::EntrySettings m_settings;
  std::string m_incarnation;
  const RecordMaker &m_records;
  const Ports &m_out;
  SendCommand m_send;
  base::Counters &m_counters;
  Election m_election;
  Leader m_leader;
  std::uint64_t m_leadingEpoch = 0; ///< 0 while this process does not lead.
  Millis m_lastRecordMs = 0;        ///< Last append of a leader record.
  bool m_renewing = false;
  bool m_dirty = true; ///< Something changed since the last planning pass.
  Millis m_plannedMs = 0;
  std::uint64_t m_snapshotOffset = 0; ///< Of the last snapshot.
  Millis m_snapshotMs = 0;            ///< When it was written.
  Millis m_snapshotCostMs = 0;        ///< Processor time of writing it.
  int m_snapshotAppends = 0;          ///< In flight.
};

} // namespace pomelokeel::entry
