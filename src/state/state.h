#pragma once

#include "model/record.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// The state machine that every entry runs by applying the records of the log,
/// and its snapshots. It uses no sockets and no clock: the time is that of the
/// log records.
namespace pomelokeel::state {

using base::Json;
using base::Millis;

/// An announced worker and its standing.
struct AnnouncedWorker {
  model::Worker m_worker;
  std::uint64_t m_sinceOffset = 0; ///< First record of this incarnation.
  model::WorkerStanding m_standing = model::WorkerStanding::Healthy;
  std::string m_standingReason;
  /// Log time at which the probation of a quarantined worker starts, or from
  /// which a lost worker may be removed; 0 if there is none.
  Millis m_standingUntilMs = 0;

  static constexpr auto fields() {
    return std::tuple{
        base::required("worker", &AnnouncedWorker::m_worker),
        base::optional("sinceOffset", &AnnouncedWorker::m_sinceOffset),
        base::optional("standing", &AnnouncedWorker::m_standing),
        base::optional("standingReason", &AnnouncedWorker::m_standingReason),
        base::optional("standingUntilMs", &AnnouncedWorker::m_standingUntilMs)};
  }
};

/// The latest accepted versions of one configuration record, oldest first. The
/// number is limited by Retention.
struct ConfigHistory {
  std::vector<model::ConfigRecord> m_versions;

  static constexpr auto fields() {
    return std::tuple{base::required("versions", &ConfigHistory::m_versions)};
  }
};

/// Whether a published configuration record was accepted, and why not. The
/// number of verdicts kept is limited by Retention.
struct ConfigVerdict {
  bool m_accepted = false;
  std::optional<base::ErrorKind> m_error;
  std::string m_message;
  std::uint64_t m_configVersion = 0; ///< Version in force after the record.

  static constexpr auto fields() {
    return std::tuple{
        base::required("accepted", &ConfigVerdict::m_accepted),
        base::optional("error", &ConfigVerdict::m_error),
        base::optional("message", &ConfigVerdict::m_message),
        base::optional("configVersion", &ConfigVerdict::m_configVersion)};
  }
};

/// The result of applying all records of the log up to an offset.
struct State {
  std::uint64_t m_nextOffset = 0; ///< First offset that is not applied yet.
  Millis m_timeMs = 0;            ///< Log time of the last applied record.
  std::uint64_t m_epoch = 0;      ///< Of the last accepted leader claim.
  std::string m_leader;
  std::string m_leaderIncarnation;
  /// Log times of the accepted leader claims of the last minute. Older ones are
  /// removed when the next claim is accepted.
  std::vector<Millis> m_recentClaimsMs;
  std::uint64_t m_configVersion = 0;
  Millis m_configTimeMs = 0; ///< Log time of the last accepted change.
  std::map<std::string, ConfigHistory> m_config;   ///< By `kind/name`.
  std::map<std::string, ConfigVerdict> m_verdicts; ///< By record id.
  std::vector<std::string> m_verdictOrder;        ///< Record ids, oldest first.
  std::map<std::string, model::Member> m_members; ///< Entries, by name.
  std::map<std::string, AnnouncedWorker> m_workers;
  std::map<std::string, model::Job> m_jobs;
  /// `account/key` to job id, with "~0" for "~" and "~1" for "/" in the
  /// account.
  std::map<std::string, std::string> m_jobByKey;
  std::vector<std::string> m_finishedOrder; ///< Job ids, oldest outcome first.

  static constexpr auto fields() {
    return std::tuple{
        base::required("nextOffset", &State::m_nextOffset),
        base::required("timeMs", &State::m_timeMs),
        base::required("epoch", &State::m_epoch),
        base::required("leader", &State::m_leader),
        base::required("leaderIncarnation", &State::m_leaderIncarnation),
        base::required("recentClaimsMs", &State::m_recentClaimsMs),
        base::required("configVersion", &State::m_configVersion),
        base::required("configTimeMs", &State::m_configTimeMs),
        base::required("config", &State::m_config),
        base::required("verdicts", &State::m_verdicts),
        base::required("verdictOrder", &State::m_verdictOrder),
        base::required("members", &State::m_members),
        base::required("workers", &State::m_workers),
        base::required("jobs", &State::m_jobs),
        base::required("jobByKey", &State::m_jobByKey),
        base::required("finishedOrder", &State::m_finishedOrder)};
  }
};

/// Limits of what the state keeps. All entries must use the same values, so
/// that they compute the same state.
struct Retention {
  Millis m_outcomeMs = 24LL * 3600 * 1000;
  std::size_t m_verdicts = 1000;
  std::size_t m_versionsPerRecord = 20;
};

/// The result of applying one record.
struct Applied {
  bool m_accepted = false;
  std::optional<base::ErrorKind> m_error; ///< Why the record was ignored.
  std::string m_message;
  std::string m_job; ///< Id of the job that the record concerns, if any.
};

/// Applies the record at State.m_nextOffset or later. A refused record changes
/// only the offset, the time and, if it is a configuration record, its verdict.
/// Outcomes older than the retention are dropped after each record.
Applied apply(State &S, const model::LogEntry &Entry,
              const Retention &Limits = {});

/// Checks whether \p R would be accepted now. Errors: versionConflict,
/// unknownSchema, guaranteeExceedsCapacity and those of model::checkRecord.
base::Status checkConfig(const State &S, const model::ConfigRecord &R);

/// The version of a configuration record in force, or null.
const model::ConfigRecord *findConfig(const State &S, model::ConfigKind Kind,
                                      const std::string &Name);

/// Read the configuration in force. A missing placement rule has the default
/// values.
std::optional<model::Account> findAccount(const State &S,
                                          const std::string &Name);
std::optional<model::JobClass> findJobClass(const State &S,
                                            const std::string &Name);
model::PlacementRule placementRule(const State &S);
bool isDraining(const State &S, const std::string &Worker);

/// Finds a job by account and idempotency key, or null.
const model::Job *findJobByKey(const State &S, const std::string &Account,
                               const std::string &Key);

/// Rebuilds State.m_jobByKey from the jobs. A snapshot of an older version may
/// contain keys without escapes.
void indexKeys(State &S);

/// Checks a submission against the configuration in force. Errors:
/// unknownAccount, unknownClass, quotaExceeded, canNeverRun and those of
/// model::checkSpec.
base::Status checkSubmission(const State &S, const model::JobSpec &Spec);

/// One part of a snapshot on the stream "snapshots".
struct SnapshotChunk {
  std::string m_snapshot;         ///< Identifier of the snapshot.
  std::uint64_t m_nextOffset = 0; ///< That of the state in the snapshot.
  int m_index = 0;                ///< Position of this chunk, from 0.
  int m_count = 0;                ///< Number of chunks of the snapshot.
  std::string m_data;

  static constexpr auto fields() {
    return std::tuple{
        base::required("snapshot", &SnapshotChunk::m_snapshot),
        base::required("nextOffset", &SnapshotChunk::m_nextOffset),
        base::required("index", &SnapshotChunk::m_index),
        base::required("count", &SnapshotChunk::m_count),
        base::required("data", &SnapshotChunk::m_data)};
  }
};

/// Splits the state into chunks of at most \p MaxBytes of data.
std::vector<SnapshotChunk> encodeSnapshot(const State &S, const std::string &Id,
                                          std::size_t MaxBytes = 200 * 1024);

/// Collects chunks in any order and decodes the complete snapshot with the
/// highest offset. Damaged or incomplete snapshots are skipped.
class SnapshotReader {
public:
  void add(SnapshotChunk Chunk);

  /// Returns the newest complete snapshot, if there is one.
  std::optional<State> newest() const;

private:
  std::map<std::string, std::vector<SnapshotChunk>> m_snapshots;
};

} // namespace pomelokeel::state
