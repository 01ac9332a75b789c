#pragma once

#include "base/clock.h"
#include "base/fields.h"
#include "model/config.h"
#include "model/job.h"
#include "model/worker.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace pomelokeel::model {

/// Kinds of records on the stream "records". Only the leader writes
/// LeaderClaimed and the kinds after it; the state machine ignores them unless
/// their epoch is current.
enum class RecordKind {
  EntryAnnounced,
  EntryLeft,
  WorkerAnnounced,
  WorkerLeft,
  ConfigPublished,
  JobSubmitted,
  JobCancelRequested,
  LeaderClaimed,
  LeaderRenewed,
  WorkerStandingChanged,
  JobPlaced,
  JobStarted,
  JobRequeued,
  JobFinished,
};

/// True for kinds that only the leader may write.
constexpr bool isLeaderKind(RecordKind Kind) {
  return Kind >= RecordKind::LeaderClaimed;
}

/// A record on the log. The body is a struct encoded as JSON: Member for
/// EntryAnnounced, Worker for WorkerAnnounced, ConfigRecord for
/// ConfigPublished, and for the other kinds the struct below that names the
/// kind.
struct Record {
  std::string m_id; ///< The state machine ignores a repeated id.
  RecordKind m_kind = RecordKind::EntryAnnounced;
  std::string m_by; ///< Process that wrote it.
  std::uint64_t m_epoch = 0;
  base::Stamp m_stamp;
  Json m_body = Json::object();

  static constexpr auto fields() {
    return std::tuple{base::required("id", &Record::m_id),
                      base::required("kind", &Record::m_kind),
                      base::required("by", &Record::m_by),
                      base::optional("epoch", &Record::m_epoch),
                      base::optional("stamp", &Record::m_stamp),
                      base::required("body", &Record::m_body)};
  }
};

/// A record read back from the log.
struct LogEntry {
  std::uint64_t m_offset = 0;
  Millis m_timeMs = 0; ///< Time of the append by the log service's clock.
  Record m_record;
};

/// Body of EntryLeft and WorkerLeft.
struct Departure {
  std::string m_name;
  std::string m_incarnation;

  static constexpr auto fields() {
    return std::tuple{base::required("name", &Departure::m_name),
                      base::required("incarnation", &Departure::m_incarnation)};
  }
};

/// Body of JobSubmitted.
struct Submission {
  std::string m_job;
  JobSpec m_spec;

  static constexpr auto fields() {
    return std::tuple{base::required("job", &Submission::m_job),
                      base::required("spec", &Submission::m_spec)};
  }
};

/// Body of JobCancelRequested.
struct CancelRequest {
  std::string m_job;
  std::string m_author;

  static constexpr auto fields() {
    return std::tuple{base::required("job", &CancelRequest::m_job),
                      base::optional("author", &CancelRequest::m_author)};
  }
};

/// Body of LeaderClaimed and LeaderRenewed. Record::m_epoch has the epoch.
struct LeaderClaim {
  std::string m_leader;
  std::string m_incarnation;

  static constexpr auto fields() {
    return std::tuple{
        base::required("leader", &LeaderClaim::m_leader),
        base::required("incarnation", &LeaderClaim::m_incarnation)};
  }
};

/// Body of WorkerStandingChanged.
struct StandingChange {
  std::string m_worker;
  WorkerStanding m_standing = WorkerStanding::Healthy;
  std::string m_reason;
  /// Log time at which the probation of a quarantined worker starts, or after
  /// which a lost worker may leave; 0 if neither applies.
  Millis m_untilMs = 0;

  static constexpr auto fields() {
    return std::tuple{base::required("worker", &StandingChange::m_worker),
                      base::required("standing", &StandingChange::m_standing),
                      base::optional("reason", &StandingChange::m_reason),
                      base::optional("untilMs", &StandingChange::m_untilMs)};
  }
};

/// Body of JobPlaced. The state machine accepts it only if the job is waiting
/// and m_attempt is the number of its last attempt plus 1.
struct Placement {
  std::string m_job;
  int m_attempt = 0;
  std::vector<MemberPlace> m_places;
  std::string m_reason; ///< Why these places; `explain` prints it.

  static constexpr auto fields() {
    return std::tuple{base::required("job", &Placement::m_job),
                      base::required("attempt", &Placement::m_attempt),
                      base::required("places", &Placement::m_places),
                      base::optional("reason", &Placement::m_reason)};
  }
};

/// Body of JobStarted: all members are running.
struct JobStart {
  std::string m_job;
  int m_attempt = 0;

  static constexpr auto fields() {
    return std::tuple{base::required("job", &JobStart::m_job),
                      base::required("attempt", &JobStart::m_attempt)};
  }
};

/// Body of JobRequeued: the attempt has ended everywhere and the job waits
/// again.
struct Requeue {
  std::string m_job;
  int m_attempt = 0;
  std::string m_reason;
  bool m_countsAsFailure = false;
  bool m_preempted = false;
  Millis m_backoffMs = 0;
  Json m_checkpoint;
  bool m_mayHaveRun = true; ///< False if every agent proved the contrary.

  static constexpr auto fields() {
    return std::tuple{
        base::required("job", &Requeue::m_job),
        base::required("attempt", &Requeue::m_attempt),
        base::optional("reason", &Requeue::m_reason),
        base::optional("countsAsFailure", &Requeue::m_countsAsFailure),
        base::optional("preempted", &Requeue::m_preempted),
        base::optional("mayHaveRun", &Requeue::m_mayHaveRun),
        base::optional("backoffMs", &Requeue::m_backoffMs),
        base::optional("checkpoint", &Requeue::m_checkpoint)};
  }
};

/// Body of JobFinished. Attempt 0 means that the job was never placed.
struct Finish {
  std::string m_job;
  int m_attempt = 0;
  JobResult m_result;

  static constexpr auto fields() {
    return std::tuple{base::required("job", &Finish::m_job),
                      base::required("attempt", &Finish::m_attempt),
                      base::required("result", &Finish::m_result)};
  }
};

} // namespace pomelokeel::model

namespace pomelokeel::base {
template <> struct NameTable<model::RecordKind> {
  static constexpr std::array<std::string_view, 14> Names = {
      "entryAnnounced",     "entryLeft",
      "workerAnnounced",    "workerLeft",
      "configPublished",    "jobSubmitted",
      "jobCancelRequested", "leaderClaimed",
      "leaderRenewed",      "workerStandingChanged",
      "jobPlaced",          "jobStarted",
      "jobRequeued",        "jobFinished"};
};
} // namespace pomelokeel::base
