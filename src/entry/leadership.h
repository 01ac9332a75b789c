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

/// Builds records of this process.
class RecordMaker {
public:
  RecordMaker(std::string Process, base::HybridClock &Clock);

  /// Fills id, author and stamp.
  model::Record make(model::RecordKind Kind, base::Json Body,
                     std::uint64_t Epoch = 0) const;

private:
  std::string m_process;
  base::HybridClock &m_clock;
};

/// Conditions for leading at one moment.
struct LeadershipInput {
  Millis m_nowMs = 0;
  Millis m_logTimeMs = 0;
  bool m_sawEnd = false;       ///< The log's end was read since any freeze.
  bool m_logAvailable = false; ///< Reads and appends have answers.
  bool m_mayClaim = true;      ///< False while stopping.
};

/// Runs Election and Leader: claims, renewals, records and commands of the
/// leader, and snapshots. Owned by the core thread.
class Leadership {
public:
  /// Sends a command to the agent of a worker.
  using SendCommand = std::function<void(const AgentCommand &)>;

  Leadership(const settings::EntrySettings &Settings,
             const std::string &Incarnation, const RecordMaker &Records,
             const Ports &Out, SendCommand Send, base::Counters &Counters,
             base::EventLog &Events);

  /// The leader of the current epoch sent a heartbeat.
  void heardLeader(const state::State &S, Millis NowMs);

  /// The leader closed its link \p ClosedForMs ago and it could not be opened
  /// again, or -1.
  void leaderLink(Millis ClosedForMs, Millis NowMs) {
    m_election.leaderLink(ClosedForMs, NowMs);
  }

  /// The entry \p Name sent a heartbeat.
  void heardMember(const std::string &Name, Millis NowMs) {
    m_election.heardMember(Name, NowMs);
  }

  /// A record was applied to \p S.
  void onApplied(const state::State &S, const model::LogEntry &Entry,
                 const state::Applied &Applied, Millis NowMs);

  /// A snapshot replaced the state: whatever was derived from it is dropped.
  void stateReplaced();

  void onReport(const state::State &S, const model::AgentReport &R,
                Millis NowMs);
  void onDigest(const model::Digest &D, Millis NowMs);
  void onReply(const state::State &S, const model::CommandReply &R,
               Millis NowMs);

  /// The append with \p Tag had its answer.
  void settled(const AppendTag &Tag, bool Done, Millis NowMs);

  /// Starts or stops leading, claims, renews, plans and writes snapshots.
  /// Returns true if this call started to lead: the caller then passes in what
  /// it knows of the agents.
  bool tick(const state::State &S, const LeadershipInput &Input);

  /// Whether this process acts as the leader.
  bool leads() const { return m_ledEpoch != 0; }

  LeaderReport report(const state::State &S, Millis NowMs) const;

private:
  bool startOrStop(const state::State &S, const LeadershipInput &Input);
  void stop();
  void claim(const state::State &S, const LeadershipInput &Input);
  void renew(const state::State &S, Millis NowMs);
  void planIfDue(const state::State &S, const LeadershipInput &Input);
  void snapshotIfDue(const state::State &S, Millis NowMs);
  void writeSnapshot(const state::State &S);
  void run(const state::State &S, Actions A, Millis NowMs);
  base::Json claimBody() const;

  settings::EntrySettings m_settings;
  std::string m_incarnation;
  const RecordMaker &m_records;
  const Ports &m_out;
  SendCommand m_send;
  base::Counters &m_counters;
  Election m_election;
  Leader m_leader;
  std::uint64_t m_ledEpoch = 0; ///< 0 while this process does not lead.
  Millis m_lastRecordMs = 0;    ///< Last append of a leader record.
  bool m_renewing = false;
  bool m_dirty = true; ///< Something changed since the last planning pass.
  Millis m_plannedMs = 0;
  std::uint64_t m_snapshotOffset = 0; ///< Of the last snapshot.
  Millis m_snapshotMs = 0;            ///< When it was written.
  Millis m_snapshotCostMs = 0;        ///< Time that writing it took.
  int m_snapshotAppends = 0;          ///< In flight.
};

} // namespace pomelokeel::entry
