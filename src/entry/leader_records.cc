#include "entry/leader_impl.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <utility>

namespace pomelokeel::entry {
namespace {

using base::ErrorKind;
using model::JobPhase;
using model::Outcome;
using model::RecordKind;
using model::WorkerStanding;

// Appending a record again is safe: state::apply() ignores a second copy, which
// has the same attempt number.
constexpr Millis RecordRepeatMs = 2000;
// Bounds the work of one tick when many jobs are cancelled at once.
constexpr std::size_t MaxCancelledPerTick = 64;
// An agent may keep its tasks for this long after the limit; see OrphanMarginMs
// in attempts.cc.
constexpr Millis LostMarginMs = 5000;

std::string workerKey(const std::string &Worker) { return "worker/" + Worker; }

} // namespace

bool Leader::Impl::emitRecord(RecordKind Kind, const std::string &Key,
                              int Attempt, base::Json Body, Millis NowMs,
                              Actions &Out) {
  if (!m_logAvailable || m_pending.contains(Key))
    return false;
  PendingRecord P;
  P.m_record.m_kind = Kind;
  P.m_record.m_body = std::move(Body);
  P.m_attempt = Attempt;
  P.m_sentMs = NowMs;
  Out.m_records.push_back(P.m_record);
  m_pending.emplace(Key, std::move(P));
  count("leader_records{kind=\"" + std::string(base::nameOf(Kind)) + "\"}");
  return true;
}

void Leader::Impl::removeConfirmed(const model::LogEntry &Entry) {
  const model::Record &R = Entry.m_record;
  const bool Left = R.m_kind == RecordKind::WorkerLeft;
  if (R.m_epoch != m_epoch || !(Left || model::isLeaderKind(R.m_kind)))
    return;
  const bool Standing = R.m_kind == RecordKind::WorkerStandingChanged;
  const auto Name = R.m_body.find(Left ? "name" : Standing ? "worker" : "job");
  if (Name == R.m_body.end() || !Name->is_string())
    return;
  const bool OfWorker = Left || Standing;
  const std::string Subject = Name->get<std::string>();
  const auto It = m_pending.find(OfWorker ? workerKey(Subject) : Subject);
  if (It == m_pending.end() || It->second.m_record.m_kind != R.m_kind)
    return;
  constexpr std::int64_t MaxAttempt = std::numeric_limits<int>::max();
  if (!OfWorker && base::integerIn(R.m_body.value("attempt", base::Json(0)), 0,
                                   MaxAttempt) != It->second.m_attempt)
    return;
  m_pending.erase(It);
  m_pendingPlaces.erase(Subject);
}

void Leader::Impl::repeatPendingRecords(Millis NowMs, Actions &Out) {
  if (!m_logAvailable)
    return;
  for (auto &[Key, P] : m_pending) {
    if (NowMs - P.m_sentMs < RecordRepeatMs)
      continue;
    P.m_sentMs = NowMs;
    Out.m_records.push_back(P.m_record);
    count("leader_records_repeated");
  }
}

bool Leader::Impl::finishWaiting(const model::Job &J,
                                 const model::JobResult &Result, Millis NowMs,
                                 Actions &Out) {
  if (!emit(RecordKind::JobFinished, J.m_id, J.m_attempt,
            model::Finish{J.m_id, J.m_attempt, Result}, NowMs, Out))
    return false;
  event("jobFinished", &J,
        "outcome=" + std::string(base::nameOf(Result.m_outcome)) +
            " message=\"" + Result.m_message + '"');
  return true;
}

void Leader::Impl::finishCancelled(const state::State &S, Millis NowMs,
                                   Actions &Out) {
  std::size_t Finished = 0;
  for (const auto &[Offset, Id] : m_waiting) {
    const auto J = S.m_jobs.find(Id);
    if (J == S.m_jobs.end() || !J->second.m_cancelRequested)
      continue;
    const auto Result =
        resultOfWaiting(J->second, ErrorKind::Cancelled,
                        "cancelled while it waited", Outcome::Cancelled);
    Finished += finishWaiting(J->second, Result, NowMs, Out) ? 1 : 0;
    if (Finished >= MaxCancelledPerTick)
      return;
  }
}

void Leader::Impl::finishPastDeadline(const state::State &S, Millis NowMs,
                                      Actions &Out) {
  for (const auto &[Offset, Id] : m_waiting) {
    const auto J = S.m_jobs.find(Id);
    if (J == S.m_jobs.end() || J->second.m_spec.m_deadlineMs <= 0)
      continue;
    const Millis DeadlineMs =
        J->second.m_submittedMs + J->second.m_spec.m_deadlineMs;
    if (logTime(NowMs) < DeadlineMs)
      continue;
    finishWaiting(J->second,
                  resultOfWaiting(J->second, ErrorKind::DeadlinePassed,
                                  "not started within its deadline",
                                  Outcome::Failed),
                  NowMs, Out);
  }
}

void Leader::Impl::changeStanding(const std::string &Worker,
                                  WorkerStanding Standing,
                                  const std::string &Reason, Millis UntilMs,
                                  Millis NowMs, Actions &Out) {
  const model::StandingChange Change{Worker, Standing, Reason, UntilMs};
  if (!emit(RecordKind::WorkerStandingChanged, workerKey(Worker), 0, Change,
            NowMs, Out))
    return;
  event("workerStandingChanged", nullptr,
        "standing=" + std::string(base::nameOf(Standing)) + " reason=\"" +
            Reason + '"',
        Worker);
}

// The agent of a new incarnation was started before it was announced, so the
// announcement counts as contact with the worker, even if no report of the
// agent has arrived yet.
void Leader::Impl::applyWorkerRecord(const state::State &S,
                                     const model::LogEntry &Entry,
                                     const state::Applied &Applied,
                                     Millis NowMs) {
  const model::Record &R = Entry.m_record;
  if (!Applied.m_accepted)
    return;
  if (R.m_kind == RecordKind::WorkerLeft)
    m_live.erase(R.m_body.at("name").get<std::string>());
  if (R.m_kind != RecordKind::WorkerAnnounced)
    return;
  const auto W = S.m_workers.find(R.m_body.at("name").get<std::string>());
  if (W != S.m_workers.end() && W->second.m_sinceOffset == Entry.m_offset)
    m_live[W->first].m_lastContactMs = NowMs;
}

// A draining worker is removed as soon as it is lost, because it is not
// expected to return. It is not removed earlier: the last report of its agent
// does not show whether the agent stopped or only drains.
void Leader::Impl::removeWorker(const state::AnnouncedWorker &W, Millis NowMs,
                                Actions &Out) {
  const std::string &Name = W.m_worker.m_name;
  const bool Drained = m_config.m_draining.contains(Name);
  // Leaders of an older version recorded no removal time with a loss.
  const Millis DueMs = W.m_standingUntilMs > 0
                           ? W.m_standingUntilMs
                           : logTime(m_startMs) + m_timing.m_workerLeftMs;
  if (!Drained && logTime(NowMs) < DueMs)
    return;
  const model::Departure Left{Name, W.m_worker.m_incarnation};
  if (emit(RecordKind::WorkerLeft, workerKey(Name), 0, Left, NowMs, Out))
    event("workerLeft", nullptr,
          Drained ? "reason=\"lost while draining\"" : "reason=\"lost\"", Name);
}

void Leader::Impl::checkWorkers(const state::State &S, Millis NowMs,
                                Actions &Out) {
  Millis LimitMs = m_timing.m_agentTimeoutMs;
  for (const auto &[Name, Orphan] : m_config.m_orphanLimits)
    LimitMs = std::max(LimitMs, Orphan);
  for (const auto &[Name, W] : S.m_workers) {
    LiveWorker &Live = m_live[Name];
    if (Live.m_lastContactMs == 0)
      Live.m_lastContactMs = NowMs;
    const bool Silent = NowMs - Live.m_lastContactMs >= LimitMs + LostMarginMs;
    const bool Lost = W.m_standing == WorkerStanding::Lost;
    // An announcement restores a lost worker only if its incarnation is new.
    if (Lost && Live.m_hasReported && !Silent)
      changeStanding(Name, WorkerStanding::Healthy, "in contact again", 0,
                     NowMs, Out);
    const auto Jobs = m_jobsByWorker.find(Name);
    const bool Holds = Jobs != m_jobsByWorker.end() && !Jobs->second.empty();
    if (Silent && !Holds && !Lost)
      changeStanding(Name, WorkerStanding::Lost, "silent",
                     logTime(NowMs) + m_timing.m_workerLeftMs, NowMs, Out);
    if (Silent && !Holds && Lost)
      removeWorker(W, NowMs, Out);
  }
}

ViewInput Leader::Impl::viewInput(const state::State &S, Millis NowMs) const {
  return {S,
          m_config,
          m_live,
          m_attempts,
          m_reclaims,
          m_pending,
          m_pendingPlaces,
          m_waiting,
          m_avoid,
          m_estimates,
          m_timing.m_agentTimeoutMs,
          NowMs,
          logTime(NowMs)};
}

void Leader::Impl::runPlanningPass(const state::State &S, Millis NowMs,
                                   Actions &Out) {
  m_planDue = false;
  m_lastPlanMs = NowMs;
  m_lastPlan = m_plan(buildSnapshot(viewInput(S, NowMs)));
  for (const sched::PlaceJob &P : m_lastPlan.m_place)
    placeJob(S, P, NowMs, Out);
  for (const sched::ReclaimJob &R : m_lastPlan.m_reclaim)
    startReclaim(S, R, NowMs);
  for (const sched::RejectJob &R : m_lastPlan.m_reject) {
    const auto J = S.m_jobs.find(R.m_job);
    if (J != S.m_jobs.end() && J->second.m_phase == JobPhase::Waiting)
      finishWaiting(
          J->second,
          resultOfWaiting(J->second, R.m_kind, R.m_message, Outcome::Failed),
          NowMs, Out);
  }
}

void Leader::Impl::placeJob(const state::State &S, const sched::PlaceJob &P,
                            Millis NowMs, Actions &Out) {
  const auto J = S.m_jobs.find(P.m_job);
  if (J == S.m_jobs.end() || J->second.m_phase != JobPhase::Waiting)
    return;
  const int Attempt = J->second.m_attempt + 1;
  const model::Placement Body{P.m_job, Attempt, P.m_places, P.m_reason};
  if (!emit(RecordKind::JobPlaced, P.m_job, Attempt, Body, NowMs, Out))
    return;
  m_pendingPlaces[P.m_job] = P.m_places;
  std::string Workers;
  for (const model::MemberPlace &M : P.m_places)
    Workers += (Workers.empty() ? "" : ",") + M.m_worker;
  event("jobPlaced", &J->second,
        "attempt=" + std::to_string(Attempt) + " workers=" + Workers +
            " reason=\"" + P.m_reason + '"');
}

void Leader::Impl::startReclaim(const state::State &S,
                                const sched::ReclaimJob &R, Millis NowMs) {
  const auto A = m_attempts.find(R.m_job);
  const auto J = S.m_jobs.find(R.m_job);
  if (A == m_attempts.end() || J == S.m_jobs.end() ||
      m_reclaims.contains(R.m_job) || !mayReclaim(A->second))
    return;
  m_reclaims.emplace(R.m_job,
                     makeReclaim(A->second, R.m_forJob, R.m_reason, NowMs));
  count("leader_reclaims");
  event("jobReclaimed", &J->second,
        "forJob=" + R.m_forJob + " reason=\"" + R.m_reason + '"');
}

} // namespace pomelokeel::entry
