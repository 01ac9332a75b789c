#include "entry/leader.h"

#include "entry/leader_impl.h"

#include <algorithm>
#include <utility>

namespace pomelokeel::entry {
namespace {

using model::JobPhase;
using model::RecordKind;

// Planning interval while nothing changes: deadlines and backoffs still pass.
constexpr Millis PlanIntervalMs = 200;
// Shortest planning interval. Planning is the most expensive part of a tick, so
// changes that closely follow each other share a pass.
constexpr Millis MinPlanIntervalMs = 20;

sched::Plan planAll(const sched::Snapshot &S) { return sched::plan(S); }

} // namespace

Leader::Impl::Impl(LeaderTiming Timing, base::Counters &Counters,
                   base::EventLog &Events, Planner Plan)
    : m_timing(Timing), m_counters(Counters), m_events(Events),
      m_plan(std::move(Plan)) {
  m_attemptTiming.m_commandRetryMs = Timing.m_commandRetryMs;
  m_attemptTiming.m_gangLeaseMs = Timing.m_gangLeaseMs;
  m_attemptTiming.m_adoptTimeoutMs = 2 * Timing.m_agentTimeoutMs;
}

bool Leader::Impl::active(const state::State &S) const {
  return m_epoch != 0 && S.m_epoch == m_epoch;
}

void Leader::Impl::refreshConfig(const state::State &S) {
  if (m_config.m_version != S.m_configVersion || m_config.m_classes.empty())
    m_config = readConfig(S);
}

void Leader::Impl::event(const std::string &Name, const model::Job *J,
                         const std::string &Detail, const std::string &Worker) {
  base::EventSubject Subject;
  Subject.m_worker = Worker;
  if (J) {
    Subject.m_job = J->m_id;
    Subject.m_account = J->m_spec.m_account;
  }
  m_events.record(Name, Subject, Detail);
}

Leader::Leader(LeaderTiming Timing, base::Counters &Counters,
               base::EventLog &Events)
    : Leader(Timing, Counters, Events, planAll) {}

Leader::Leader(LeaderTiming Timing, base::Counters &Counters,
               base::EventLog &Events, Planner Plan)
    : m_impl(
          std::make_unique<Impl>(Timing, Counters, Events, std::move(Plan))) {}

Leader::~Leader() = default;

void Leader::start(const state::State &S, Millis NowMs) {
  stop();
  Impl &I = *m_impl;
  I.m_epoch = S.m_epoch;
  I.m_startMs = NowMs;
  I.m_logOffsetMs = S.m_timeMs - NowMs;
  I.refreshConfig(S);
  for (const auto &[Name, W] : S.m_workers)
    I.m_live[Name].m_lastContactMs = NowMs;
  for (const auto &[Id, J] : S.m_jobs) {
    if (J.m_phase == JobPhase::Waiting)
      I.m_waiting[J.m_offset] = Id;
    if (J.m_phase == JobPhase::Placed || J.m_phase == JobPhase::Running)
      I.addAttempt(J, true, NowMs);
  }
  I.event("leaderStarted", nullptr,
          "epoch=" + std::to_string(S.m_epoch) +
              " attempts=" + std::to_string(I.m_attempts.size()) +
              " waiting=" + std::to_string(I.m_waiting.size()));
}

void Leader::stop() {
  Impl &I = *m_impl;
  if (I.m_epoch != 0)
    I.event("leaderStopped", nullptr, "epoch=" + std::to_string(I.m_epoch));
  m_impl = std::make_unique<Impl>(I.m_timing, I.m_counters, I.m_events,
                                  std::move(I.m_plan));
}

Actions Leader::onApplied(const state::State &S, const model::LogEntry &Entry,
                          const state::Applied &Applied, Millis NowMs) {
  Actions Out;
  Impl &I = *m_impl;
  if (!I.active(S))
    return Out;
  I.m_planDue = true;
  I.refreshConfig(S);
  I.removeConfirmed(Entry);
  I.applyWorkerRecord(S, Entry, Applied, NowMs);
  const auto Found = S.m_jobs.find(Applied.m_job);
  if (!Applied.m_accepted || Found == S.m_jobs.end())
    return Out;
  const model::Job &J = Found->second;
  if (J.m_phase == JobPhase::Waiting)
    I.m_waiting[J.m_offset] = J.m_id;
  else
    I.m_waiting.erase(J.m_offset);
  const auto A = I.m_attempts.find(J.m_id);
  const RecordKind Kind = Entry.m_record.m_kind;
  if (Kind == RecordKind::JobPlaced)
    I.addAttempt(J, false, NowMs);
  if (Kind == RecordKind::JobStarted && A != I.m_attempts.end())
    A->second.m_recordedStart = true;
  const bool Ended =
      Kind == RecordKind::JobFinished || Kind == RecordKind::JobRequeued;
  if (Ended && A != I.m_attempts.end()) {
    I.releaseHolds(S, A->second, Out);
    I.eraseAttempt(J.m_id);
  }
  if (J.m_phase == JobPhase::Finished) {
    I.m_avoid.erase(J.m_id);
    if (J.m_result && J.m_result->m_outcome == model::Outcome::Completed)
      I.m_estimates.learn(
          J.m_spec.m_class, J.m_spec.m_account, J.m_spec.m_runMs,
          J.m_finishedMs - std::max(J.m_startedMs, J.m_placedMs));
  }
  I.updateAttempt(S, J.m_id, NowMs, Out);
  return Out;
}

Actions Leader::onReport(const state::State &S,
                         const model::AgentReport &Report, Millis NowMs) {
  Actions Out;
  Impl &I = *m_impl;
  const std::string &Name = Report.m_worker.m_name;
  const auto Known = S.m_workers.find(Name);
  if (!I.active(S) || Known == S.m_workers.end())
    return Out;
  const std::string &Announced = Known->second.m_worker.m_incarnation;
  // Reports of two incarnations cannot be ordered, so only those of the
  // incarnation that the log names are used.
  if (Report.m_worker.m_incarnation != Announced)
    return Out;
  LiveWorker &Live = I.m_live[Name];
  const bool Late = Live.m_incarnation == Announced && Report.m_sequence > 0 &&
                    Report.m_sequence <= Live.m_sequence;
  Live.m_lastContactMs = NowMs;
  if (!Late) {
    I.m_planDue = I.m_planDue || !Live.m_hasReported ||
                  Live.m_draining != Report.m_draining || Live.m_strayHolds;
    Live.m_hasReported = true;
    Live.m_incarnation = Announced;
    Live.m_sequence = Report.m_sequence;
    Live.m_draining = Report.m_draining;
    Live.m_reachable = Report.m_workerReachable;
    Live.m_usage = Report.m_usage;
    I.clearStrayHolds(S, Report, Live, Out);
  }
  const std::set<std::string> Jobs = I.m_jobsByWorker[Name];
  for (const std::string &Job : Jobs) {
    Attempt &A = I.m_attempts.at(Job);
    for (std::size_t M = 0; M < A.m_members.size(); ++M) {
      if (A.m_members[M].m_worker == Name)
        applyReport(A, M, Report, {Announced, Known->second.m_sinceOffset},
                    NowMs);
    }
    I.updateAttempt(S, Job, NowMs, Out);
  }
  return Out;
}

void Leader::onDigest(const model::Digest &Digest, Millis NowMs) {
  Impl &I = *m_impl;
  if (I.m_epoch == 0)
    return;
  for (const model::DigestEntry &E : Digest.m_agents) {
    const auto It = I.m_live.find(E.m_worker);
    if (It != I.m_live.end())
      It->second.m_lastContactMs =
          std::max(It->second.m_lastContactMs, NowMs - E.m_silentMs);
  }
}

Actions Leader::onReply(const state::State &S, const model::CommandReply &Reply,
                        Millis NowMs) {
  Actions Out;
  Impl &I = *m_impl;
  const auto Worker = S.m_workers.find(Reply.m_worker);
  if (!I.active(S) || Worker == S.m_workers.end())
    return Out;
  const std::string &Announced = Worker->second.m_worker.m_incarnation;
  if (!Reply.m_incarnation.empty() && Reply.m_incarnation != Announced)
    return Out;
  I.m_live[Reply.m_worker].m_lastContactMs = NowMs;
  const auto A = I.m_attempts.find(Reply.m_job);
  if (A == I.m_attempts.end() || A->second.m_attempt != Reply.m_attempt)
    return Out;
  applyReply(A->second, Reply, NowMs);
  if (const auto R = I.m_reclaims.find(Reply.m_job); R != I.m_reclaims.end())
    applyReclaimReply(R->second, Reply);
  I.updateAttempt(S, Reply.m_job, NowMs, Out);
  return Out;
}

Actions Leader::tick(const state::State &S, const TickInput &Input) {
  Actions Out;
  Impl &I = *m_impl;
  if (!I.active(S))
    return Out;
  const Millis NowMs = Input.m_nowMs;
  I.m_logOffsetMs = Input.m_logTimeMs - NowMs;
  I.m_logAvailable = Input.m_logAvailable;
  I.refreshConfig(S);
  I.repeatPendingRecords(NowMs, Out);
  std::vector<std::string> Jobs;
  for (const auto &[Job, A] : I.m_attempts)
    Jobs.push_back(Job);
  for (const std::string &Job : Jobs)
    I.updateAttempt(S, Job, NowMs, Out);
  if (!I.m_logAvailable)
    return Out;
  const Millis WaitMs = I.m_planDue ? MinPlanIntervalMs : PlanIntervalMs;
  if (NowMs - I.m_lastPlanMs >= WaitMs)
    I.runPlanningPass(S, NowMs, Out);
  I.finishCancelled(S, NowMs, Out);
  I.finishPastDeadline(S, NowMs, Out);
  I.checkWorkers(S, NowMs, Out);
  return Out;
}

LeaderReport Leader::report(const state::State &S, Millis NowMs) const {
  const Impl &I = *m_impl;
  LeaderReport Out;
  if (!I.active(S))
    return Out;
  Out.m_waiting = I.m_lastPlan.m_wait;
  Out.m_shortfalls = I.m_lastPlan.m_shortfalls;
  const sched::Snapshot View = buildSnapshot(I.viewInput(S, NowMs));
  Out.m_blocks =
      sched::checkGuarantees(View.m_accounts, View.m_workers, View.m_running)
          .m_blocks;
  for (const auto &[Name, Live] : I.m_live)
    Out.m_silentMs[Name] =
        Live.m_hasReported ? NowMs - Live.m_lastContactMs : -1;
  return Out;
}

} // namespace pomelokeel::entry
