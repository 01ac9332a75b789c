#include "entry/verdict.h"

#include <algorithm>
#include <utility>

namespace pomelokeel::entry {
namespace {

using base::ErrorKind;
using model::Json;
using model::Outcome;

// Delay before the next placement of a job whose attempt ended without running.
constexpr Millis NeverRanBackoffMs = 300;

bool hasMember(const Attempt &A, MemberEnd End) {
  return std::ranges::any_of(
      A.m_members, [&](const MemberStatus &M) { return M.m_end == End; });
}

Json answersOf(const Attempt &A) {
  Json Out = Json::array();
  for (const MemberStatus &M : A.m_members)
    Out.push_back(M.m_answer);
  return Out;
}

// One entry for each member. A gang resumes from a checkpoint only if every
// member has one.
Json checkpointOf(const Attempt &A) {
  Json Out = Json::array();
  for (const MemberStatus &M : A.m_members) {
    if (M.m_checkpoint.is_null())
      return {};
    Out.push_back(M.m_checkpoint);
  }
  return Out;
}

// The failure of one task causes the other members to stop, so failures come
// first.
std::string reasonOf(const Attempt &A) {
  for (const MemberEnd End : {MemberEnd::Failed, MemberEnd::RunUnknown,
                              MemberEnd::Stopped, MemberEnd::NeverRan}) {
    for (const MemberStatus &M : A.m_members) {
      if (M.m_end == End)
        return std::string(base::nameOf(End)) + " on " + M.m_worker +
               (M.m_reason.empty() ? "" : ": " + M.m_reason);
    }
  }
  return A.m_stopReason;
}

Verdict finishVerdict(const Attempt &A, model::JobResult Result) {
  return {model::Finish{A.m_job, A.m_attempt, std::move(Result)}, std::nullopt};
}

Verdict requeueVerdict(const Attempt &A, Millis BackoffMs) {
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
    return finishVerdict(A, {Outcome::Cancelled, ErrorKind::Cancelled,
                             "stopped after it may have started", Json()});
  return finishVerdict(A, {Outcome::NotRun, ErrorKind::Cancelled,
                           "cancelled before it started", Json()});
}

Verdict concludeAtMostOnce(const Attempt &A) {
  if (hasMember(A, MemberEnd::RunUnknown))
    return finishVerdict(A, {Outcome::Unknown, ErrorKind::WorkerLost,
                             "it may have run; " + reasonOf(A), Json()});
  return finishVerdict(
      A, {Outcome::Failed, ErrorKind::AttemptsExhausted,
          reasonOf(A) + "; not repeated because its class is not idempotent",
          Json()});
}

Verdict concludeRetryable(const Attempt &A, const model::Job &J,
                          const RetryContext &C) {
  Verdict V = requeueVerdict(A, C.m_backoffMs);
  V.m_requeue->m_reason = reasonOf(A);
  if (C.m_workerAtFault)
    return V;
  if (J.m_failures + 1 >= A.m_class.m_maxAttempts)
    return finishVerdict(
        A,
        {Outcome::Failed, ErrorKind::AttemptsExhausted,
         "attempt " + std::to_string(A.m_attempt) + " " + reasonOf(A), Json()});
  V.m_requeue->m_countsAsFailure = true;
  return V;
}

} // namespace

std::optional<Verdict> conclude(const Attempt &A, const model::Job &J,
                                const RetryContext &C) {
  if (allSucceeded(A))
    return finishVerdict(A,
                         {Outcome::Completed, std::nullopt, "", answersOf(A)});
  if (!allEnded(A))
    return std::nullopt;
  if (J.m_cancelRequested)
    return cancelled(A, J);
  if (!mayHaveRun(A))
    return requeueVerdict(A, NeverRanBackoffMs);
  if (!A.m_class.m_idempotent)
    return concludeAtMostOnce(A);
  if (A.m_cause == StopCause::Reclaimed && !hasMember(A, MemberEnd::Failed)) {
    Verdict V = requeueVerdict(A, 0);
    V.m_requeue->m_preempted = true;
    return V;
  }
  return concludeRetryable(A, J, C);
}

model::JobResult resultOfWaiting(const model::Job &J, base::ErrorKind Reason,
                                 std::string Message,
                                 model::Outcome IfMayHaveRun) {
  return {J.m_mayHaveRun ? IfMayHaveRun : Outcome::NotRun, Reason,
          std::move(Message), Json()};
}

} // namespace pomelokeel::entry
