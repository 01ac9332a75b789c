#pragma once

#include "entry/leader.h"
#include "entry/reclaim.h"
#include "entry/verdict.h"
#include "entry/view.h"

#include <map>
#include <set>
#include <string>

namespace pomelokeel::entry {

/// State of the leader in memory. The next leader can rebuild all of it from
/// the replicated state and the reports of agents.
struct Leader::Impl {
  Impl(LeaderTiming Timing, base::Counters &Counters, base::EventLog &Events,
       Planner Plan);

  /// Whether this leader still holds the current epoch.
  bool active(const state::State &S) const;
  void refreshConfig(const state::State &S);

  // Attempts: leader_attempts.cc.
  void addAttempt(const model::Job &J, bool TakenOver, Millis NowMs);
  void eraseAttempt(const std::string &Job);
  void updateAttempt(const state::State &S, const std::string &Job,
                     Millis NowMs, Actions &Out);
  void updateReclaim(const state::State &S, Attempt &A, Millis NowMs,
                     Actions &Out);
  void recordAttemptProgress(const state::State &S, const model::Job &J,
                             Attempt &A, Millis NowMs, Actions &Out);
  bool mayQuarantine(const state::State &S, const std::string &Worker) const;
  bool updateWorkerHealth(const state::State &S, const Attempt &A, Millis NowMs,
                          Actions &Out);
  void avoidWorkers(const Attempt &A, Millis UntilMs);
  void releaseHolds(const state::State &S, const Attempt &A, Actions &Out);
  void clearStrayHolds(const state::State &S, const model::AgentReport &R,
                       LiveWorker &Live, Actions &Out);
  void queueCommand(const state::State &S, const Attempt &A,
                    const DueCommand &Due, Actions &Out);

  // Records and waiting jobs: leader_records.cc.
  template <typename Body>
  bool emit(model::RecordKind Kind, const std::string &Key, int Attempt,
            const Body &B, Millis NowMs, Actions &Out) {
    return emitRecord(Kind, Key, Attempt, base::encode(B), NowMs, Out);
  }
  bool emitRecord(model::RecordKind Kind, const std::string &Key, int Attempt,
                  base::Json Body, Millis NowMs, Actions &Out);
  void removeConfirmed(const model::LogEntry &Entry);
  void repeatPendingRecords(Millis NowMs, Actions &Out);
  bool finishWaiting(const model::Job &J, const model::JobResult &Result,
                     Millis NowMs, Actions &Out);
  void finishCancelled(const state::State &S, Millis NowMs, Actions &Out);
  void finishPastDeadline(const state::State &S, Millis NowMs, Actions &Out);
  void changeStanding(const std::string &Worker, model::WorkerStanding Standing,
                      const std::string &Reason, Millis UntilMs, Millis NowMs,
                      Actions &Out);
  void applyWorkerRecord(const state::State &S, const model::LogEntry &Entry,
                         const state::Applied &Applied, Millis NowMs);
  void checkWorkers(const state::State &S, Millis NowMs, Actions &Out);
  void removeWorker(const state::AnnouncedWorker &W, Millis NowMs,
                    Actions &Out);
  ViewInput viewInput(const state::State &S, Millis NowMs) const;
  void runPlanningPass(const state::State &S, Millis NowMs, Actions &Out);
  void placeJob(const state::State &S, const sched::PlaceJob &P, Millis NowMs,
                Actions &Out);
  void startReclaim(const state::State &S, const sched::ReclaimJob &R,
                    Millis NowMs);

  void event(const std::string &Name, const model::Job *J,
             const std::string &Detail, const std::string &Worker = "");
  void count(const std::string &Name) { ++m_counters.get(Name); }

  LeaderTiming m_timing;
  AttemptTiming m_attemptTiming;
  base::Counters &m_counters;
  base::EventLog &m_events;
  Planner m_plan;

  std::uint64_t m_epoch = 0; ///< 0 while not leading.
  Millis m_startMs = 0;
  Millis m_logOffsetMs = 0; ///< Log time minus monotonic time.
  bool m_logAvailable = false;
  bool m_planDue = true;
  Millis m_lastPlanMs = 0;
  ConfigView m_config;
  std::map<std::string, LiveWorker> m_live;
  std::map<std::string, Attempt> m_attempts; ///< By job.
  std::map<std::string, std::set<std::string>> m_jobsByWorker;
  /// By the job that gives up its resources.
  std::map<std::string, Reclaim> m_reclaims;
  std::map<std::string, PendingRecord> m_pending;
  PendingPlaces m_pendingPlaces;
  std::map<std::uint64_t, std::string> m_waiting; ///< Job by offset.
  AvoidedWorkers m_avoid;
  sched::FailureTracker m_failures;
  sched::RunTimeEstimates m_estimates;
  sched::Plan m_lastPlan;

  Millis logTime(Millis NowMs) const { return NowMs + m_logOffsetMs; }
};

} // namespace pomelokeel::entry
