#pragma once

#include "base/clock.h"
#include "base/fields.h"
#include "model/config.h"
#include "model/job.h"
#include "model/worker.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// Response bodies of the HTTP API of an entry, and the reports that `ctl`
/// renders from them. An entry encodes these structs as JSON, and `ctl` decodes
/// them.
namespace pomelokeel::report {

using base::Millis;

/// State of the connection of an entry to the log service, and how far the
/// entry has read.
struct LogStatus {
  bool m_readable = false;         ///< The last read was answered.
  bool m_writable = false;         ///< The last append was answered.
  bool m_behindRetention = false;  ///< Retention removed records
                                   ///< that the entry has not read.
  std::uint64_t m_nextOffset = 0;  ///< First offset that was not read.
  std::uint64_t m_endOffset = 0;   ///< Offset of the next append, as
                                   ///< last read.
  Millis m_endReadAgeMs = -1;      ///< Since m_endOffset was read, or
                                   ///< -1 if it never was.
  std::uint64_t m_peersOffset = 0; ///< Highest nextOffset that a peer
                                   ///< has reported.

  static constexpr auto fields() {
    return std::tuple{
        base::required("readable", &LogStatus::m_readable),
        base::required("writable", &LogStatus::m_writable),
        base::required("behindRetention", &LogStatus::m_behindRetention),
        base::required("nextOffset", &LogStatus::m_nextOffset),
        base::required("endOffset", &LogStatus::m_endOffset),
        base::required("endReadAgeMs", &LogStatus::m_endReadAgeMs),
        base::required("peersOffset", &LogStatus::m_peersOffset)};
  }
};

/// Number of jobs in each phase.
struct JobCounts {
  std::int64_t m_waiting = 0;
  std::int64_t m_placed = 0;
  std::int64_t m_running = 0;
  std::int64_t m_finished = 0;

  static constexpr auto fields() {
    return std::tuple{base::required("waiting", &JobCounts::m_waiting),
                      base::required("placed", &JobCounts::m_placed),
                      base::required("running", &JobCounts::m_running),
                      base::required("finished", &JobCounts::m_finished)};
  }
};

/// Guarantee, quota and usage of one client account. All but m_unfinishedJobs
/// are numbers of accelerators.
struct AccountStatus {
  std::string m_account;
  int m_guaranteed = 0;
  int m_maximum = 0; ///< Quota, or 0 for no limit.
  int m_inUse = 0;   ///< Held by jobs that are placed or running.
  std::int64_t m_unfinishedJobs = 0;

  static constexpr auto fields() {
    return std::tuple{
        base::required("account", &AccountStatus::m_account),
        base::required("guaranteed", &AccountStatus::m_guaranteed),
        base::required("maximum", &AccountStatus::m_maximum),
        base::required("inUse", &AccountStatus::m_inUse),
        base::required("unfinishedJobs", &AccountStatus::m_unfinishedJobs)};
  }
};

/// A worker as recorded in the log. If the leader answers, it adds the time
/// since it last heard from the agent of the worker.
struct WorkerStatus {
  std::string m_worker;
  std::string m_dataCentre;
  std::string m_region;
  std::string m_rack;
  std::string m_agentHttp; ///< Admin HTTP address of the agent.
  model::WorkerStanding m_standing = model::WorkerStanding::Healthy;
  std::string m_standingReason;
  int m_accelerators = 0;
  int m_inUse = 0; ///< Accelerators held by jobs that are placed or running.
  bool m_draining = false;
  std::optional<Millis> m_silentMs; ///< Since the last message of the
                                    ///< agent, or -1 if it sent none in
                                    ///< this epoch. Set by the leader only.

  static constexpr auto fields() {
    return std::tuple{
        base::required("worker", &WorkerStatus::m_worker),
        base::required("dataCentre", &WorkerStatus::m_dataCentre),
        base::required("region", &WorkerStatus::m_region),
        base::required("rack", &WorkerStatus::m_rack),
        base::optional("agentHttp", &WorkerStatus::m_agentHttp),
        base::required("standing", &WorkerStatus::m_standing),
        base::optional("standingReason", &WorkerStatus::m_standingReason),
        base::required("accelerators", &WorkerStatus::m_accelerators),
        base::required("inUse", &WorkerStatus::m_inUse),
        base::required("draining", &WorkerStatus::m_draining),
        base::optional("silentMs", &WorkerStatus::m_silentMs)};
  }
};

/// A guarantee that the healthy workers cannot satisfy: m_missingBlocks blocks
/// of m_blockSize adjacent accelerators cannot be reserved.
struct ShortfallStatus {
  std::string m_account;
  int m_blockSize = 0;
  int m_missingBlocks = 0;

  static constexpr auto fields() {
    return std::tuple{
        base::required("account", &ShortfallStatus::m_account),
        base::required("blockSize", &ShortfallStatus::m_blockSize),
        base::required("missingBlocks", &ShortfallStatus::m_missingBlocks)};
  }
};

/// A block of adjacent accelerators of one worker that the leader currently
/// assigns to the guarantee of an account.
struct BlockStatus {
  std::string m_account;
  std::string m_worker;
  int m_firstAccelerator = 0;
  int m_size = 0;

  static constexpr auto fields() {
    return std::tuple{
        base::required("account", &BlockStatus::m_account),
        base::required("worker", &BlockStatus::m_worker),
        base::required("firstAccelerator", &BlockStatus::m_firstAccelerator),
        base::required("size", &BlockStatus::m_size)};
  }
};

/// The part of the status that only the leader can compute.
struct LeaderView {
  /// By job id. The entry limits their number.
  std::map<std::string, std::string> m_waitReasons;
  std::vector<ShortfallStatus> m_shortfalls;
  std::vector<BlockStatus> m_blocks;

  static constexpr auto fields() {
    return std::tuple{base::required("waitReasons", &LeaderView::m_waitReasons),
                      base::required("shortfalls", &LeaderView::m_shortfalls),
                      base::required("blocks", &LeaderView::m_blocks)};
  }
};

/// Answer of `GET /v1/status`.
struct Status {
  std::string m_process;
  std::string m_incarnation;
  std::string m_dataCentre;
  std::string m_region;
  std::string m_role; ///< "leader" or "standby".
  bool m_ready = false;
  std::string m_notReadyReason;
  bool m_stopping = false;
  std::uint64_t m_epoch = 0;
  std::string m_leader;
  std::string m_askLeader;   ///< HTTP address of the leader, which can fill in
                             ///< m_leaderView. Empty if the leader answers.
  Millis m_leaderAgeMs = -1; ///< Since the leader was last heard from, or -1.
  std::uint64_t m_configVersion = 0;
  Millis m_configTimeMs = 0; ///< Log time of the last accepted change.
  Millis m_rulesAgeMs = -1;  ///< Since the configuration was last known to be
                             ///< current, or -1 if it never was.
  LogStatus m_log;
  JobCounts m_jobs;
  std::int64_t m_attachedAgents = 0;
  std::vector<AccountStatus> m_accounts;
  std::vector<WorkerStatus> m_workers;
  std::optional<LeaderView> m_leaderView;

  static constexpr auto fields() {
    return std::tuple{
        base::required("process", &Status::m_process),
        base::required("incarnation", &Status::m_incarnation),
        base::required("dataCentre", &Status::m_dataCentre),
        base::required("region", &Status::m_region),
        base::required("role", &Status::m_role),
        base::required("ready", &Status::m_ready),
        base::optional("notReadyReason", &Status::m_notReadyReason),
        base::optional("stopping", &Status::m_stopping),
        base::required("epoch", &Status::m_epoch),
        base::required("leader", &Status::m_leader),
        base::optional("askLeader", &Status::m_askLeader),
        base::required("leaderAgeMs", &Status::m_leaderAgeMs),
        base::required("configVersion", &Status::m_configVersion),
        base::required("configTimeMs", &Status::m_configTimeMs),
        base::required("rulesAgeMs", &Status::m_rulesAgeMs),
        base::required("log", &Status::m_log),
        base::required("jobs", &Status::m_jobs),
        base::required("attachedAgents", &Status::m_attachedAgents),
        base::required("accounts", &Status::m_accounts),
        base::required("workers", &Status::m_workers),
        base::optional("leaderView", &Status::m_leaderView)};
  }
};

/// Answer of `GET /v1/jobs/{id}` and `GET /v1/keys/{account}/{key}`: the state
/// of a job for its caller.
struct JobStatus {
  std::string m_job;
  std::string m_account;
  std::string m_key;
  std::string m_class;
  model::JobPhase m_phase = model::JobPhase::Waiting;
  int m_attempt = 0;
  bool m_cancelRequested = false;
  std::optional<model::JobResult> m_result; ///< Set once the job has finished.

  static constexpr auto fields() {
    return std::tuple{
        base::required("job", &JobStatus::m_job),
        base::required("account", &JobStatus::m_account),
        base::required("key", &JobStatus::m_key),
        base::required("class", &JobStatus::m_class),
        base::required("phase", &JobStatus::m_phase),
        base::required("attempt", &JobStatus::m_attempt),
        base::optional("cancelRequested", &JobStatus::m_cancelRequested),
        base::optional("result", &JobStatus::m_result)};
  }
};

/// Answer of `GET /v1/jobs`: jobs from newest to oldest, without their results.
struct JobPage {
  std::vector<JobStatus> m_jobs;
  bool m_more = false; ///< Older jobs were left out because of the limit.

  static constexpr auto fields() {
    return std::tuple{base::required("jobs", &JobPage::m_jobs),
                      base::required("more", &JobPage::m_more)};
  }
};

/// Answer of `GET /v1/jobs/{id}/explain`: why a job waits, runs where it does,
/// or ended. Times are times of the log service's clock.
struct Explanation {
  std::string m_job;
  std::string m_account;
  std::string m_class;
  model::JobPhase m_phase = model::JobPhase::Waiting;
  int m_attempts = 0;
  int m_failures = 0; ///< Attempts that count against maxAttempts.
  int m_preemptions = 0;
  Millis m_submittedMs = 0;
  Millis m_placedMs = 0;
  Millis m_startedMs = 0;
  Millis m_finishedMs = 0;
  Millis m_notBeforeMs = 0; ///< No new attempt before it (backoff).
  std::vector<model::MemberPlace> m_places;
  std::string m_placementReason; ///< Set while placed or running.
  std::string m_waitReason;      ///< Set while waiting, by the leader only.
  std::string m_lastReason;      ///< Why the last attempt ended.
  std::optional<model::JobResult> m_result;
  std::string m_askLeader; ///< HTTP address of the leader, which knows the wait
                           ///< reason. Empty if this answer is complete.

  static constexpr auto fields() {
    return std::tuple{
        base::required("job", &Explanation::m_job),
        base::required("account", &Explanation::m_account),
        base::required("class", &Explanation::m_class),
        base::required("phase", &Explanation::m_phase),
        base::required("attempts", &Explanation::m_attempts),
        base::required("failures", &Explanation::m_failures),
        base::required("preemptions", &Explanation::m_preemptions),
        base::required("submittedMs", &Explanation::m_submittedMs),
        base::optional("placedMs", &Explanation::m_placedMs),
        base::optional("startedMs", &Explanation::m_startedMs),
        base::optional("finishedMs", &Explanation::m_finishedMs),
        base::optional("notBeforeMs", &Explanation::m_notBeforeMs),
        base::optional("places", &Explanation::m_places),
        base::optional("placementReason", &Explanation::m_placementReason),
        base::optional("waitReason", &Explanation::m_waitReason),
        base::optional("lastReason", &Explanation::m_lastReason),
        base::optional("result", &Explanation::m_result),
        base::optional("askLeader", &Explanation::m_askLeader)};
  }
};

using model::MemberPage;

/// Answer of `GET /v1/config` (versions in force) and
/// `GET /v1/config/{kind}/{name}` (history, oldest first).
struct ConfigPage {
  std::uint64_t m_configVersion = 0;
  std::vector<model::ConfigRecord> m_records;

  static constexpr auto fields() {
    return std::tuple{
        base::required("configVersion", &ConfigPage::m_configVersion),
        base::required("records", &ConfigPage::m_records)};
  }
};

/// Answer of `POST /v1/config` for an accepted record.
struct PublishResult {
  std::string m_recordId;
  bool m_accepted = false;
  std::uint64_t m_configVersion = 0; ///< In force once the record is applied.

  static constexpr auto fields() {
    return std::tuple{
        base::required("recordId", &PublishResult::m_recordId),
        base::required("accepted", &PublishResult::m_accepted),
        base::required("configVersion", &PublishResult::m_configVersion)};
  }
};

/// Guarantee of one account before and after a configuration record, in
/// accelerators.
struct GuaranteeChange {
  std::string m_account;
  int m_before = 0;
  int m_after = 0;

  static constexpr auto fields() {
    return std::tuple{base::required("account", &GuaranteeChange::m_account),
                      base::required("before", &GuaranteeChange::m_before),
                      base::required("after", &GuaranteeChange::m_after)};
  }
};

/// Answer of `POST /v1/config/check`: whether the record would be accepted, and
/// the guarantees, in accelerators, before and after it.
struct ConfigCheck {
  bool m_accepted = false;
  std::optional<base::ErrorKind> m_error;
  std::string m_message;
  /// Version in force of the record of this kind and name, or 0 if there is
  /// none.
  std::uint64_t m_currentVersion = 0;
  int m_capacity = 0; ///< Accelerators of all workers.
  int m_guaranteedBefore = 0;
  int m_guaranteedAfter = 0;
  std::vector<GuaranteeChange> m_accounts; ///< Accounts whose guarantee the
                                           ///< record sets.

  static constexpr auto fields() {
    return std::tuple{
        base::required("accepted", &ConfigCheck::m_accepted),
        base::optional("error", &ConfigCheck::m_error),
        base::optional("message", &ConfigCheck::m_message),
        base::required("currentVersion", &ConfigCheck::m_currentVersion),
        base::required("capacity", &ConfigCheck::m_capacity),
        base::required("guaranteedBefore", &ConfigCheck::m_guaranteedBefore),
        base::required("guaranteedAfter", &ConfigCheck::m_guaranteedAfter),
        base::required("accounts", &ConfigCheck::m_accounts)};
  }
};

} // namespace pomelokeel::report
