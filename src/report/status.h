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

/// The JSON answers of an entry, as structs with field tables. `ctl` reads the
/// same structs.
namespace pomelokeel::report {

using base::Millis;

/// The log service as an entry sees it.
struct LogStatus {
  bool m_readable = false;         ///< The last read had an answer.
  bool m_writable = false;         ///< The last append had an answer.
  bool m_behindRetention = false;  ///< Records that are needed were dropped.
  std::uint64_t m_nextOffset = 0;  ///< First offset that is not applied yet.
  std::uint64_t m_endOffset = 0;   ///< Offset of the next append, last known.
  Millis m_endReadAgeMs = -1;      ///< Since the end was read; -1 is never.
  std::uint64_t m_peersOffset = 0; ///< Highest nextOffset heard from a peer.

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

/// Numbers of jobs by phase.
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

/// Promise and use of one client account, in accelerators.
struct AccountStatus {
  std::string m_account;
  int m_guaranteed = 0;
  int m_maximum = 0; ///< Quota; 0 is no limit.
  int m_inUse = 0;   ///< Of jobs that are placed or running.
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

/// A worker by the log, and by the leader if it answers itself.
struct WorkerStatus {
  std::string m_worker;
  std::string m_dataCentre;
  std::string m_region;
  std::string m_rack;
  std::string m_agentHttp; ///< Admin HTTP address of the agent.
  model::WorkerStanding m_standing = model::WorkerStanding::Healthy;
  std::string m_standingReason;
  int m_accelerators = 0;
  int m_inUse = 0; ///< Accelerators of jobs that are placed or running.
  bool m_draining = false;
  std::optional<Millis> m_silentMs; ///< Only from the leader; -1 is never.

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

/// A guarantee that cannot be kept with the healthy workers.
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

/// A block that is promised to an account at this moment.
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

/// What only the leader knows.
struct LeaderView {
  std::map<std::string, std::string> m_waitReasons; ///< By job; bounded.
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
  std::string m_askLeader; ///< HTTP address of the leader, which alone knows
                           ///< m_leaderView. Empty from the leader itself.
  Millis m_leaderAgeMs = -1;
  std::uint64_t m_configVersion = 0;
  Millis m_configTimeMs = 0; ///< Log time of the last accepted change.
  Millis m_rulesAgeMs = -1;  ///< Since the rules were known to be current.
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

/// A job as its caller sees it: answer of `/v1/jobs/{id}` and `/v1/keys/...`.
struct JobStatus {
  std::string m_job;
  std::string m_account;
  std::string m_key;
  std::string m_class;
  model::JobPhase m_phase = model::JobPhase::Waiting;
  int m_attempt = 0;
  bool m_cancelRequested = false;
  std::optional<model::JobResult> m_result; ///< Once finished.

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

/// Answer of `GET /v1/jobs`, newest first, without results.
struct JobPage {
  std::vector<JobStatus> m_jobs;
  bool m_more = false; ///< The limit cut off older jobs.

  static constexpr auto fields() {
    return std::tuple{base::required("jobs", &JobPage::m_jobs),
                      base::required("more", &JobPage::m_more)};
  }
};

/// Answer of `GET /v1/jobs/{id}/explain`. Times are log times.
struct Explanation {
  std::string m_job;
  std::string m_account;
  std::string m_class;
  model::JobPhase m_phase = model::JobPhase::Waiting;
  int m_attempts = 0;
  int m_failures = 0;
  int m_preemptions = 0;
  Millis m_submittedMs = 0;
  Millis m_placedMs = 0;
  Millis m_startedMs = 0;
  Millis m_finishedMs = 0;
  Millis m_notBeforeMs = 0;
  std::vector<model::MemberPlace> m_places;
  std::string m_placementReason; ///< While placed or running.
  std::string m_waitReason;      ///< While waiting; only from the leader.
  std::string m_lastReason;      ///< Why the last attempt ended.
  std::optional<model::JobResult> m_result;
  std::string m_askLeader; ///< HTTP address that knows the wait reason; empty
                           ///< if this answer is complete.

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
struct Published {
  std::string m_recordId;
  bool m_accepted = false;
  std::uint64_t m_configVersion = 0; ///< In force after the record.

  static constexpr auto fields() {
    return std::tuple{
        base::required("recordId", &Published::m_recordId),
        base::required("accepted", &Published::m_accepted),
        base::required("configVersion", &Published::m_configVersion)};
  }
};

/// What a record would change for one account, in accelerators.
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

/// Answer of `POST /v1/config/check`.
struct ConfigCheck {
  bool m_accepted = false;
  std::optional<base::ErrorKind> m_error;
  std::string m_message;
  std::uint64_t m_currentVersion = 0; ///< Of the record's name; 0 is none.
  int m_capacity = 0;                 ///< Accelerators of all workers.
  int m_guaranteedBefore = 0;
  int m_guaranteedAfter = 0;
  std::vector<GuaranteeChange> m_accounts; ///< Accounts touched.

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
