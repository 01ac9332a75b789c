#include "entry/leadership.h"

#include "base/id.h"

#include <algorithm>
#include <utility>

namespace pomelokeel::entry {
namespace {

// After a change, planning waits until PlanAfterChangeMs after the previous
// pass, so that a burst of records causes few passes. Without a change it runs
// every PlanEveryMs, for deadlines.
constexpr Millis PlanAfterChangeMs = 20;
constexpr Millis PlanEveryMs = 100;

// Snapshots take at most 1/SnapshotCostFactor of the core thread's time. With a
// large state, a burst of records would otherwise block the thread. Only the
// processor time counts: a busy machine must not delay the next snapshot, or
// the log may drop records that no snapshot includes.
constexpr Millis SnapshotCostFactor = 20;

LeaderTiming leaderTiming(const settings::EntrySettings &S) {
  LeaderTiming T;
  T.m_agentTimeoutMs = S.m_agentTimeoutMs;
  T.m_gangLeaseMs = S.m_gangLeaseMs;
  return T;
}

} // namespace

RecordMaker::RecordMaker(std::string Process, base::HybridClock &Clock)
    : m_process(std::move(Process)), m_clock(Clock) {}

model::Record RecordMaker::make(model::RecordKind Kind, base::Json Body,
                                std::uint64_t Epoch) const {
  return {base::randomId(), Kind,           m_process, Epoch,
          m_clock.tick(),   std::move(Body)};
}

Leadership::Leadership(const settings::EntrySettings &Settings,
                       const std::string &Incarnation,
                       const RecordMaker &Records, const Ports &Out,
                       SendCommand Send, base::Counters &Counters,
                       base::EventLog &Events)
    : m_settings(Settings), m_incarnation(Incarnation), m_records(Records),
      m_out(Out), m_send(std::move(Send)), m_counters(Counters),
      m_election(Settings.m_name, Incarnation, Settings.m_leaderTimeoutMs),
      m_leader(leaderTiming(Settings), Counters, Events) {}

base::Json Leadership::claimBody() const {
  return base::encode(model::LeaderClaim{m_settings.m_name, m_incarnation});
}

void Leadership::recordLeaderContact(const state::State &S, Millis NowMs) {
  m_election.recordLeaderContact(S.m_epoch, NowMs);
}

void Leadership::onApplied(const state::State &S, const model::LogEntry &Entry,
                           const state::Applied &Applied, Millis NowMs) {
  m_dirty = true;
  if (model::isLeaderKind(Entry.m_record.m_kind) && Applied.m_accepted)
    m_election.recordLeaderContact(S.m_epoch, NowMs);
  if (leads() && S.m_epoch != m_leadingEpoch)
    stop();
  if (leads())
    executeActions(S, m_leader.onApplied(S, Entry, Applied, NowMs), NowMs);
}

void Leadership::onSnapshotLoaded() {
  if (leads())
    stop();
}

void Leadership::onReport(const state::State &S, const model::AgentReport &R,
                          Millis NowMs) {
  if (!leads())
    return;
  m_dirty = true;
  executeActions(S, m_leader.onReport(S, R, NowMs), NowMs);
}

void Leadership::onDigest(const model::Digest &D, Millis NowMs) {
  if (leads())
    m_leader.onDigest(D, NowMs);
}

void Leadership::onReply(const state::State &S, const model::CommandReply &R,
                         Millis NowMs) {
  if (!leads())
    return;
  m_dirty = true;
  executeActions(S, m_leader.onReply(S, R, NowMs), NowMs);
}

void Leadership::onAppendAnswered(const AppendTag &Tag, bool Done,
                                  Millis NowMs) {
  if (Tag.m_owner == AppendOwner::Claim)
    m_election.onClaimAnswered(NowMs);
  if (Tag.m_owner == AppendOwner::Renewal)
    m_renewing = false;
  if (Tag.m_owner != AppendOwner::Snapshot)
    return;
  --m_snapshotAppends;
  if (!Done)
    m_snapshotOffset = 0; // An incomplete snapshot cannot be loaded.
}

void Leadership::executeActions(const state::State &S, Actions A,
                                Millis NowMs) {
  if (!A.m_records.empty()) {
    std::vector<base::Json> Values;
    for (model::Record &R : A.m_records)
      Values.push_back(base::encode(
          m_records.make(R.m_kind, std::move(R.m_body), S.m_epoch)));
    if (m_out.m_append({AppendOwner::Leader, ""}, "records", std::move(Values)))
      m_lastRecordMs = NowMs;
    else
      ++m_counters.get("leader_records_dropped");
  }
  for (const AgentCommand &C : A.m_commands)
    m_send(C);
}

void Leadership::stop() {
  m_leader.stop();
  m_leadingEpoch = 0;
}

bool Leadership::startOrStop(const state::State &S,
                             const LeadershipInput &Input) {
  const bool Leads = m_election.isLeader(S) && Input.m_logEndRead;
  if (leads() && (!Leads || S.m_epoch != m_leadingEpoch))
    stop();
  if (!Leads || leads())
    return false;
  m_leadingEpoch = S.m_epoch;
  m_snapshotOffset = 0;
  m_snapshotMs = Input.m_nowMs;
  m_renewing = false;
  m_leader.start(S, Input.m_nowMs);
  return true;
}

bool Leadership::tick(const state::State &S, const LeadershipInput &Input) {
  const bool Started = startOrStop(S, Input);
  if (!leads()) {
    claim(S, Input);
    return Started;
  }
  renew(S, Input.m_nowMs);
  planIfDue(S, Input);
  if (Input.m_logAvailable)
    snapshotIfDue(S, Input.m_nowMs);
  return Started;
}

void Leadership::claim(const state::State &S, const LeadershipInput &Input) {
  if (!Input.m_mayClaim || !Input.m_logEndRead || !Input.m_logAvailable ||
      m_election.isLeader(S) || !m_election.shouldClaim(S, Input.m_nowMs))
    return;
  const auto Record = m_records.make(model::RecordKind::LeaderClaimed,
                                     claimBody(), S.m_epoch + 1);
  ++m_counters.get("claims");
  if (!m_out.m_append({AppendOwner::Claim, ""}, "records",
                      {base::encode(Record)}))
    m_election.onClaimAnswered(Input.m_nowMs);
}

void Leadership::renew(const state::State &S, Millis NowMs) {
  if (m_renewing || NowMs - m_lastRecordMs < m_settings.m_leaderTimeoutMs / 2)
    return;
  const auto Record =
      m_records.make(model::RecordKind::LeaderRenewed, claimBody(), S.m_epoch);
  m_renewing = m_out.m_append({AppendOwner::Renewal, ""}, "records",
                              {base::encode(Record)});
  m_lastRecordMs = NowMs;
}

void Leadership::planIfDue(const state::State &S,
                           const LeadershipInput &Input) {
  const Millis Interval = m_dirty ? PlanAfterChangeMs : PlanEveryMs;
  if (Input.m_nowMs - m_plannedMs < Interval)
    return;
  m_plannedMs = Input.m_nowMs;
  m_dirty = false;
  executeActions(S,
                 m_leader.tick(S, {Input.m_nowMs, Input.m_logTimeMs,
                                   Input.m_logAvailable}),
                 Input.m_nowMs);
}

void Leadership::snapshotIfDue(const state::State &S, Millis NowMs) {
  const std::uint64_t New =
      S.m_nextOffset - std::min(S.m_nextOffset, m_snapshotOffset);
  const Millis Age = NowMs - m_snapshotMs;
  const bool Due =
      New >= static_cast<std::uint64_t>(m_settings.m_snapshotEveryRecords) ||
      (New > 0 && Age >= m_settings.m_snapshotEveryMs);
  if (!Due || m_snapshotAppends > 0 ||
      Age < m_snapshotCostMs * SnapshotCostFactor)
    return;
  const Millis Begin = base::threadCpuNow();
  writeSnapshot(S);
  m_snapshotCostMs = base::threadCpuNow() - Begin;
  m_snapshotMs = NowMs;
}

void Leadership::writeSnapshot(const state::State &S) {
  m_snapshotOffset = S.m_nextOffset;
  for (const state::SnapshotChunk &Chunk :
       state::encodeSnapshot(S, base::randomId())) {
    if (!m_out.m_append({AppendOwner::Snapshot, ""}, "snapshots",
                        {base::encode(Chunk)})) {
      m_snapshotOffset = 0;
      return;
    }
    ++m_snapshotAppends;
  }
  ++m_counters.get("snapshots");
}

LeaderReport Leadership::report(const state::State &S, Millis NowMs) const {
  return m_leader.report(S, NowMs);
}

} // namespace pomelokeel::entry
