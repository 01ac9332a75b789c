#include "entry/leader_impl.h"

#include <algorithm>

namespace pomelokeel::entry {
namespace {

using model::CommandKind;
using model::HoldState;
using model::RecordKind;

// A job that ends within this time gets no record of its start.
constexpr Millis StartRecordDelayMs = 200;
// Added to the backoff of a job: how long it avoids a worker on which it
// failed.
constexpr Millis AvoidMs = 5000;

bool isActive(HoldState S) {
  return S == HoldState::Reserved || S == HoldState::Paused ||
         S == HoldState::Running;
}

} // namespace

void Leader::Impl::addAttempt(const model::Job &J, bool TakenOver,
                              Millis NowMs) {
  model::JobClass C = classOf(m_config, J.m_spec.m_class);
  if (TakenOver) {
    const auto Limit = m_config.m_orphanLimits.find(C.m_name);
    if (Limit != m_config.m_orphanLimits.end())
      C.m_orphanLimitMs = std::max(C.m_orphanLimitMs, Limit->second);
  }
  Attempt A = makeAttempt(J, C, TakenOver, NowMs);
  for (const MemberStatus &M : A.m_members) {
    m_jobsByWorker[M.m_worker].insert(J.m_id);
    LiveWorker &Live = m_live[M.m_worker];
    if (Live.m_lastContactMs == 0)
      Live.m_lastContactMs = m_startMs;
  }
  m_attempts.insert_or_assign(J.m_id, std::move(A));
}

void Leader::Impl::eraseAttempt(const std::string &Job) {
  const auto It = m_attempts.find(Job);
  if (It == m_attempts.end())
    return;
  for (const MemberStatus &M : It->second.m_members)
    m_jobsByWorker[M.m_worker].erase(Job);
  m_attempts.erase(It);
  m_reclaims.erase(Job);
}

void Leader::Impl::queueCommand(const state::State &S, const Attempt &A,
                                const DueCommand &Due, Actions &Out) {
  const MemberStatus &M = A.m_members[Due.m_member];
  AgentCommand Cmd;
  Cmd.m_worker = M.m_worker;
  model::Command &C = Cmd.m_command;
  C.m_kind = Due.m_kind;
  C.m_job = A.m_job;
  C.m_attempt = A.m_attempt;
  C.m_member = static_cast<int>(Due.m_member);
  C.m_fence = A.m_fence;
  C.m_reason = A.m_stopReason;
  const auto J = S.m_jobs.find(A.m_job);
  const bool Starts =
      Due.m_kind == CommandKind::Reserve || Due.m_kind == CommandKind::Start;
  if (Starts && J != S.m_jobs.end()) {
    C.m_spec = J->second.m_spec;
    C.m_places = A.m_places;
    C.m_orphanLimitMs = A.m_class.m_orphanLimitMs;
    C.m_startTimeoutMs = A.m_class.m_startTimeoutMs;
    const base::Json &Checkpoint = J->second.m_checkpoint;
    if (Checkpoint.is_array() && Due.m_member < Checkpoint.size())
      C.m_checkpoint = Checkpoint[Due.m_member];
    for (const model::MemberPlace &P : A.m_places) {
      const auto W = S.m_workers.find(P.m_worker);
      const bool Known = W != S.m_workers.end();
      C.m_peers.push_back(Known ? W->second.m_worker.m_agentAddress : "");
      if (Known && P.m_worker == M.m_worker)
        C.m_incarnation = W->second.m_worker.m_incarnation;
    }
    if (M.m_lastConfirmed && !M.m_lastConfirmed->m_incarnation.empty())
      C.m_incarnation = M.m_lastConfirmed->m_incarnation;
  }
  count("leader_commands{kind=\"" + std::string(base::nameOf(Due.m_kind)) +
        "\"}");
  Out.m_commands.push_back(std::move(Cmd));
}

void Leader::Impl::updateReclaim(const state::State &S, Attempt &A,
                                 Millis NowMs, Actions &Out) {
  const auto It = m_reclaims.find(A.m_job);
  if (It == m_reclaims.end())
    return;
  Reclaim &R = It->second;
  const auto For = S.m_jobs.find(R.m_forJob);
  const bool Wanted = For != S.m_jobs.end() && !For->second.m_cancelRequested &&
                      For->second.m_phase == model::JobPhase::Waiting;
  if (!Wanted && canAbandon(R)) {
    event("reclaimAbandoned", &S.m_jobs.at(A.m_job), "forJob=" + R.m_forJob);
    m_reclaims.erase(It);
    return;
  }
  const bool WasOverdue = R.m_overdue;
  for (const DueCommand &Due :
       advanceReclaim(R, A, m_timing.m_commandRetryMs, NowMs))
    queueCommand(S, A, Due, Out);
  if (R.m_overdue && !WasOverdue) {
    count("leader_reclaims_overdue");
    event("reclaimOverdue", &S.m_jobs.at(A.m_job), "forJob=" + R.m_forJob);
  }
}

void Leader::Impl::updateAttempt(const state::State &S, const std::string &Job,
                                 Millis NowMs, Actions &Out) {
  const auto It = m_attempts.find(Job);
  const auto J = S.m_jobs.find(Job);
  if (It == m_attempts.end() || J == S.m_jobs.end())
    return;
  Attempt &A = It->second;
  const AttemptStep Before = A.m_step;
  if (J->second.m_cancelRequested && A.m_cause != StopCause::Cancelled)
    stopAttempt(A, StopCause::Cancelled, "cancelled", NowMs);
  updateReclaim(S, A, NowMs, Out);
  std::vector<Millis> LastContactMs;
  for (const MemberStatus &M : A.m_members)
    LastContactMs.push_back(m_live[M.m_worker].m_lastContactMs);
  for (const DueCommand &Due :
       advance(A, m_attemptTiming, LastContactMs, NowMs))
    queueCommand(S, A, Due, Out);
  if (A.m_step == AttemptStep::Stopping && Before != AttemptStep::Stopping)
    event("attemptStopping", &J->second,
          "attempt=" + std::to_string(A.m_attempt) +
              " cause=" + std::string(base::nameOf(A.m_cause)) + " reason=\"" +
              A.m_stopReason + '"');
  recordAttemptProgress(S, J->second, A, NowMs, Out);
}

void Leader::Impl::recordAttemptProgress(const state::State &S,
                                         const model::Job &J, Attempt &A,
                                         Millis NowMs, Actions &Out) {
  if (m_pending.contains(A.m_job) || !m_logAvailable)
    return;
  const bool Ended = allEnded(A);
  if (!Ended) {
    if (A.m_step == AttemptStep::Running && !A.m_recordedStart &&
        NowMs - A.m_stepMs >= StartRecordDelayMs)
      emit(RecordKind::JobStarted, A.m_job, A.m_attempt,
           model::JobStart{A.m_job, A.m_attempt}, NowMs, Out);
    return;
  }
  RetryContext C;
  C.m_workerAtFault = updateWorkerHealth(S, A, NowMs, Out);
  C.m_backoffMs = sched::retryBackoff(A.m_class, J.m_failures + 1);
  const auto V = conclude(A, J, C);
  if (!V)
    return;
  if (V->m_finish) {
    const model::JobResult &R = V->m_finish->m_result;
    emit(RecordKind::JobFinished, A.m_job, A.m_attempt, *V->m_finish, NowMs,
         Out);
    event("jobFinished", &J,
          "attempt=" + std::to_string(A.m_attempt) +
              " outcome=" + std::string(base::nameOf(R.m_outcome)) +
              " message=\"" + R.m_message + '"');
    return;
  }
  avoidWorkers(A, NowMs + V->m_requeue->m_backoffMs + AvoidMs);
  emit(RecordKind::JobRequeued, A.m_job, A.m_attempt, *V->m_requeue, NowMs,
       Out);
  event("jobRequeued", &J,
        "attempt=" + std::to_string(A.m_attempt) +
            " backoffMs=" + std::to_string(V->m_requeue->m_backoffMs) +
            " reason=\"" + V->m_requeue->m_reason + '"');
}

// If more than a third of the workers fail alike, the jobs are the likelier
// cause. At least one worker stays in use. Several workers may be quarantined
// before the records of it are applied, so the state alone does not tell.
bool Leader::Impl::mayQuarantine(const state::State &S,
                                 const std::string &Worker) const {
  constexpr std::size_t WorkersPerQuarantine = 3;
  std::size_t InContact = 0;
  std::size_t Others = 0;
  for (const auto &[Name, W] : S.m_workers) {
    if (W.m_standing == model::WorkerStanding::Lost)
      continue;
    ++InContact;
    Others +=
        Name != Worker && (W.m_standing == model::WorkerStanding::Quarantined ||
                           m_failures.wasQuarantined(Name))
            ? 1
            : 0;
  }
  const std::size_t Share =
      (InContact + WorkersPerQuarantine - 1) / WorkersPerQuarantine;
  return Others < Share && Others + 1 < InContact;
}

// Counts the results of the tasks, changes the standing of their workers, and
// returns whether a worker rather than the job caused a failure.
bool Leader::Impl::updateWorkerHealth(const state::State &S, const Attempt &A,
                                      Millis NowMs, Actions &Out) {
  bool WorkerAtFault = false;
  for (const MemberStatus &M : A.m_members) {
    const bool Failed = M.m_end == MemberEnd::Failed;
    if (!Failed && M.m_end != MemberEnd::Succeeded)
      continue;
    const auto W = S.m_workers.find(M.m_worker);
    if (W == S.m_workers.end())
      continue;
    const auto Verdict =
        m_failures.record(M.m_worker, A.m_job, Failed, logTime(NowMs),
                          mayQuarantine(S, M.m_worker));
    const bool Probation = onProbation(W->second, logTime(NowMs));
    if (Verdict.m_quarantine)
      changeStanding(M.m_worker, model::WorkerStanding::Quarantined,
                     "failed the tasks of several jobs", Verdict.m_untilMs,
                     NowMs, Out);
    else if (!Failed && Probation)
      changeStanding(M.m_worker, model::WorkerStanding::Healthy,
                     "passed probation", 0, NowMs, Out);
    WorkerAtFault = WorkerAtFault ||
                    (Failed && m_failures.isWorkerFault(M.m_worker, A.m_job));
  }
  return WorkerAtFault;
}

void Leader::Impl::avoidWorkers(const Attempt &A, Millis UntilMs) {
  std::map<std::string, Millis> &Avoid = m_avoid[A.m_job];
  for (const std::string &Worker : A.m_refusingWorkers)
    Avoid[Worker] = UntilMs;
  for (const MemberStatus &M : A.m_members) {
    if (M.m_end == MemberEnd::Failed || M.m_end == MemberEnd::RunUnknown)
      Avoid[M.m_worker] = UntilMs;
  }
}

void Leader::Impl::releaseHolds(const state::State &S, const Attempt &A,
                                Actions &Out) {
  for (std::size_t I = 0; I < A.m_members.size(); ++I) {
    const MemberEnd End = A.m_members[I].m_end;
    if (End != MemberEnd::Open && End != MemberEnd::RunUnknown)
      queueCommand(S, A, {CommandKind::Release, I}, Out);
  }
}

void Leader::Impl::clearStrayHolds(const state::State &S,
                                   const model::AgentReport &R,
                                   LiveWorker &Live, Actions &Out) {
  Live.m_strayHolds = false;
  for (const model::Hold &H : R.m_holds) {
    const auto A = m_attempts.find(H.m_job);
    const bool Current = A != m_attempts.end() &&
                         A->second.m_attempt == H.m_attempt &&
                         A->second.m_fence == H.m_fence;
    if (Current)
      continue;
    const bool Active = isActive(H.m_state);
    Live.m_strayHolds = Live.m_strayHolds || Active;
    // The record of this placement has not been applied here yet.
    if (H.m_fence >= S.m_nextOffset)
      continue;
    AgentCommand Cmd;
    Cmd.m_worker = R.m_worker.m_name;
    Cmd.m_command.m_kind = Active ? CommandKind::Stop : CommandKind::Release;
    Cmd.m_command.m_job = H.m_job;
    Cmd.m_command.m_attempt = H.m_attempt;
    Cmd.m_command.m_member = H.m_member;
    Cmd.m_command.m_fence = H.m_fence;
    Cmd.m_command.m_reason = "not a current attempt";
    Out.m_commands.push_back(std::move(Cmd));
    if (Active)
      event("strayTask", nullptr,
            "job=" + H.m_job + " attempt=" + std::to_string(H.m_attempt) +
                " state=" + std::string(base::nameOf(H.m_state)),
            R.m_worker.m_name);
  }
}

} // namespace pomelokeel::entry
