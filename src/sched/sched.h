#pragma once

#include "base/clock.h"
#include "base/error.h"
#include "model/config.h"
#include "model/job.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// Scheduling decisions without sockets, clocks or logging. The time is always
/// passed in.
namespace pomelokeel::sched {

using base::Millis;

/// A worker as the scheduler sees it.
struct WorkerView {
  std::string m_name;
  std::string m_dataCentre;
  std::string m_region;
  std::string m_rack;
  int m_accelerators = 0;
  int m_slots = 0;
  int m_cores = 0;
  int m_memoryMb = 0;
  /// False if the worker is out of contact, quarantined or draining.
  bool m_placeable = true;
  bool m_healthy = true;      ///< Its accelerators can back guarantees.
  bool m_onProbation = false; ///< Takes one job at a time.
};

/// A job that holds resources: placed or running, and not known to have ended.
struct RunningView {
  std::string m_id;
  std::string m_account;
  std::string m_class;
  bool m_preemptible = true;
  bool m_urgent = false;
  bool m_reclaiming = false; ///< It has already been asked to stop.
  std::vector<model::MemberPlace> m_places;
  int m_cores = 0; ///< Per member.
  int m_memoryMb = 0;
  Millis m_startedMs = 0;
  Millis m_expectedEndMs = 0; ///< From the corrected run time.
};

/// A waiting job.
struct WaitingView {
  std::string m_id;
  model::JobSpec m_spec;
  bool m_urgent = false;
  bool m_preemptible = true;
  Millis m_submittedMs = 0;
  Millis m_notBeforeMs = 0; ///< End of the backoff after a failure.
  Millis m_expectedRunMs = 0;
  std::vector<std::string> m_avoid; ///< Workers on which it failed before.
};

/// Input of one scheduling pass.
struct Snapshot {
  Millis m_nowMs = 0;
  model::PlacementRule m_rule;
  std::vector<model::Account> m_accounts;
  std::vector<WorkerView> m_workers;
  std::vector<RunningView> m_running;
  std::vector<WaitingView> m_waiting; ///< In order of submission.
};

/// Decision to place a job now.
struct PlaceJob {
  std::string m_job;
  std::vector<model::MemberPlace> m_places;
  std::string m_reason;
};

/// Decision to reclaim the resources of a running job for another job.
struct ReclaimJob {
  std::string m_job;
  std::string m_forJob;
  std::string m_reason;
};

/// Decision to finish a waiting job without running it.
struct RejectJob {
  std::string m_job;
  base::ErrorKind m_kind = base::ErrorKind::CanNeverRun;
  std::string m_message;
};

/// Why a job was not placed in this pass.
struct WaitReason {
  std::string m_job;
  std::string m_reason;
};

/// A guarantee that cannot be kept with the healthy workers.
struct Shortfall {
  std::string m_account;
  int m_blockSize = 0;
  int m_missingBlocks = 0;
};

/// Output of one scheduling pass.
struct Plan {
  std::vector<PlaceJob> m_place;
  std::vector<ReclaimJob> m_reclaim;
  std::vector<RejectJob> m_reject;
  std::vector<WaitReason> m_wait;
  std::vector<Shortfall> m_shortfalls;
};

/// Runs one scheduling pass, which places at most \p MaxPlacements jobs. The
/// result depends only on the arguments.
Plan plan(const Snapshot &S, std::size_t MaxPlacements = 64);

/// A block currently reserved for an account.
struct BlockAssignment {
  std::string m_account;
  std::string m_worker; ///< First worker, for blocks larger than a worker.
  int m_firstAccelerator = 0;
  int m_size = 0;
  std::vector<std::string> m_workers; ///< All of them, the first one included.
};

/// One assignment of disjoint blocks to all guarantees, and the blocks that are
/// missing.
struct GuaranteeCheck {
  std::vector<BlockAssignment> m_blocks;
  std::vector<Shortfall> m_shortfalls;
};

/// Assigns blocks of the given fleet to all guarantees; see docs/design.md,
/// section 9.
GuaranteeCheck checkGuarantees(const std::vector<model::Account> &Accounts,
                               const std::vector<WorkerView> &Workers,
                               const std::vector<RunningView> &Running);

/// Learned corrections of declared run times, per class and account. A
/// correction is the factor from the declared to the actual run time. Jobs
/// declared longer than usual for their class are corrected downwards and
/// others upwards, as far as earlier runs of the class show this trend.
class RunTimeEstimates {
public:
  /// Corrected run time of a job declared with \p DeclaredMs.
  Millis estimate(const std::string &Class, const std::string &Account,
                  Millis DeclaredMs) const;

  /// Learns from a completed run.
  void learn(const std::string &Class, const std::string &Account,
             Millis DeclaredMs, Millis ActualMs);

private:
  /// Means of the logarithms of the declared time and of the correction.
  struct Means {
    int m_runs = 0;
    double m_logDeclared = 0;
    double m_logFactor = 0;
  };
  /// Linear fit of the correction over the declared time, both as logarithms.
  struct Trend {
    int m_runs = 0;
    double m_logDeclared = 0;
    double m_logFactor = 0;
    double m_variance = 0; ///< Variance of the declared time.
    double m_covariance = 0;

    double slope() const;
  };
  std::map<std::string, Means> m_means;  ///< By `class/account`.
  std::map<std::string, Trend> m_trends; ///< By class.
};

/// Detects workers on which tasks of different jobs fail one after another.
class FailureTracker {
public:
  struct Verdict {
    bool m_quarantine = false;
    Millis m_untilMs = 0;
  };

  /// Records the end of a task on \p Worker. A job that fails on several
  /// workers counts against none but the first of them. The worker is not
  /// quarantined unless \p MayQuarantine.
  Verdict record(const std::string &Worker, const std::string &Job, bool Failed,
                 Millis NowMs, bool MayQuarantine = true);

  /// True if \p Worker has been quarantined and a failure of \p Job on it is
  /// attributed to the worker.
  bool isWorkerFault(const std::string &Worker, const std::string &Job) const;

  /// True if \p Worker has been quarantined and has completed nothing since.
  bool wasQuarantined(const std::string &Worker) const;

private:
  struct History {
    std::vector<std::string> m_failedJobs;
    int m_quarantines = 0;
  };
  std::map<std::string, History> m_workers;
};

/// Backoff before the next attempt after \p Failures failed ones. It starts at
/// the backoff of the class and doubles with each failure up to five minutes.
Millis retryBackoff(const model::JobClass &C, int Failures);

} // namespace pomelokeel::sched
