#include "entry/verdict.h"

#include <algorithm>
#include <utility>

namespace pomelokeel::entry {
namespace {

using base::ErrorKind;
using model::Json;
using model::Outcome;

// Before a job is placed again that was refused without having run.
constexpr Millis NeverRanBackoffMs = 300;

bool hasMember(const Attempt &A, MemberEnd End) {
  return std::ranges::any_of(
      A.m_members, [&](const MemberTrack &M) { return M.m_end == End; });
}

Json answersOf(const Attempt &A) {
  Json Out = Json::array();
  for (const MemberTrack &M : A.m_members)
    Out.push_back(M.m_answer);
  return Out;
}

// One entry for each member. A gang resumes from a checkpoint only if every
// member has one.
Json checkpointOf(const Attempt &A) {
  Json Out = Json::array();
  for (const MemberTrack &M : A.m_members) {
    if (M.m_checkpoint.is_null())
      return {};
    Out.push_back(M.m_checkpoint);
  }
  return Out;
}

// A failure of a task says more than its consequences at other members.
std::string reasonOf(const Attempt &A) {
  for (const MemberEnd End : {MemberEnd::Failed, MemberEnd::Gone,
                              MemberEnd::Stopped, MemberEnd::NeverRan}) {
    for (const MemberTrack &M : A.m_members) {
      if (M.m_end == End)
        return std::string(base::nameOf(End)) + " on " + M.m_worker +
               (M.m_reason.empty() ? "" : ": " + M.m_reason);
    }
  }
  return A.m_stopReason;
}

Verdict finished(const Attempt &A, model::JobResult Result) {
  return {model::Finish{A.m_job, A.m_attempt, std::move(Result)}, std::nullopt};
}

Verdict requeued(const Attempt &A, Millis BackoffMs) {
  model::Requeue R;
  R.m_job = A.m_job;
  R.m_attempt = A.m_attempt;
  R.m_reason = A.m_stopReason.empty() ? reasonOf(A) : A.m_stopReason;
  R.m_backoffMs = BackoffMs;
  R.m_mayHaveRun = mayHaveRun(A);
  R.m_checkpoint = checkpointOf(A);
  return {std::nullopt, std::move(R)};
}

Verdict cancelled(const Attempt &A, const model::Job &J) {
  if (mayHaveRun(A) || J.m_mayHaveRun)
    return finished(A, {Outcome::Cancelled, ErrorKind::Cancelled,
                        "stopped after it may have started", Json()});
  return finished(A, {Outcome::NotRun, ErrorKind::Cancelled,
                      "cancelled before it started", Json()});
}

Verdict endedOnce(const Attempt &A) {
  if (hasMember(A, MemberEnd::Gone))
    return finished(A, {Outcome::Unknown, ErrorKind::WorkerLost,
                        "it may have run; " + reasonOf(A), Json()});
  return finished(
      A, {Outcome::Failed, ErrorKind::AttemptsExhausted,
          reasonOf(A) + "; not repeated because its class is not idempotent",
          Json()});
}

Verdict retried(const Attempt &A, const model::Job &J, const Circumstances &C) {
  Verdict V = requeued(A, C.m_backoffMs);
  V.m_requeue->m_reason = reasonOf(A);
  if (C.m_blameWorker)
    return V;
  if (J.m_failures + 1 >= A.m_class.m_maxAttempts)
    return finished(
        A,
        {Outcome::Failed, ErrorKind::AttemptsExhausted,
         "attempt " + std::to_string(A.m_attempt) + " " + reasonOf(A), Json()});
  V.m_requeue->m_countsAsFailure = true;
  return V;
}

} // namespace

std::optional<Verdict> conclude(const Attempt &A, const model::Job &J,
                                const Circumstances &C) {
  if (allSucceeded(A))
    return finished(A, {Outcome::Completed, std::nullopt, "", answersOf(A)});
  if (!allEnded(A))
    return std::nullopt;
  if (J.m_cancelRequested)
    return cancelled(A, J);
  if (!mayHaveRun(A))
    return requeued(A, NeverRanBackoffMs);
  if (!A.m_class.m_idempotent)
    return endedOnce(A);
  if (A.m_cause == StopCause::Reclaimed && !hasMember(A, MemberEnd::Failed)) {
    Verdict V = requeued(A, 0);
    V.m_requeue->m_preempted = true;
    return V;
  }
  return retried(A, J, C);
}

model::JobResult resultOfWaiting(const model::Job &J, base::ErrorKind Reason,
                                 std::string Message, model::Outcome IfItRan) {
  return {J.m_mayHaveRun ? IfItRan : Outcome::NotRun, Reason,
          std::move(Message), Json()};
}

} // namespace pomelokeel::entry
