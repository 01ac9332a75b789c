#include "entry/submissions.h"

#include "base/id.h"
#include "entry/answers.h"

#include <algorithm>
#include <utility>

namespace pomelokeel::entry {
namespace {

using base::Error;
using base::ErrorKind;
using logclient::AppendFate;

const char *const UnconfirmedMessage =
    "the log service did not confirm the submission";

http::Response unconfirmed(const model::JobSpec &Spec) {
  return unconfirmedAnswer(Spec, UnconfirmedMessage);
}

bool sameSpec(const model::JobSpec &A, const model::JobSpec &B) {
  return base::encode(A) == base::encode(B);
}

Error conflictError(const model::JobSpec &Spec) {
  return {ErrorKind::VersionConflict,
          "key \"" + Spec.m_key + "\" of account \"" + Spec.m_account +
              "\" belongs to a job with a different specification"};
}

} // namespace

Submissions::Submissions(SubmissionLimits Limits) : m_limits(Limits) {}

bool Submissions::rejectIfConflicting(const model::JobSpec &Known,
                                      const model::JobSpec &Given,
                                      const Waiter &W) const {
  if (sameSpec(Known, Given))
    return false;
  W.m_respond(http::errorResponse(conflictError(Given)));
  return true;
}

// The answer does not say `notRun`, because an earlier append for the same key
// may take effect.
bool Submissions::rejectIfFull(const Waiter &W) const {
  if (m_waiterCount < m_limits.m_waiters)
    return false;
  W.m_respond(
      lookupError({ErrorKind::QueueFull, "too many callers wait here"}));
  return true;
}

std::optional<model::Submission> Submissions::submit(const model::JobSpec &Spec,
                                                     Waiter W, Millis NowMs) {
  const Key K{Spec.m_account, Spec.m_key};
  auto It = m_pending.find(K);
  if (It != m_pending.end()) {
    if (rejectIfConflicting(It->second.m_spec, Spec, W) || rejectIfFull(W))
      return std::nullopt;
  } else if (m_pending.size() >= m_limits.m_pending ||
             m_waiterCount >= m_limits.m_waiters) {
    W.m_respond(http::errorResponse(
        {ErrorKind::QueueFull, "too many submissions wait for the log"}));
    return std::nullopt;
  } else {
    It = m_pending.try_emplace(K).first;
    It->second.m_job = base::randomId();
    It->second.m_spec = Spec;
    m_keyByJob[It->second.m_job] = K;
  }
  Pending &P = It->second;
  P.m_waiters.push_back(std::move(W));
  ++m_waiterCount;
  if (P.m_appends > 0)
    return std::nullopt;
  // A repeated append has the same job id, so both records describe one job.
  ++P.m_appends;
  P.m_lastAppendMs = NowMs;
  return model::Submission{P.m_job, P.m_spec};
}

void Submissions::onAppendAnswered(const std::string &Job,
                                   const logclient::AppendOutcome &Outcome,
                                   Millis NowMs) {
  const auto Found = m_keyByJob.find(Job);
  if (Found == m_keyByJob.end())
    return; // It was read back before the answer arrived.
  const Key K = Found->second;
  Pending &P = m_pending.at(K);
  --P.m_appends;
  P.m_lastAppendMs = NowMs;
  if (Outcome.m_fate == AppendFate::NoEffect && !P.m_mayHaveEffect) {
    answerPending(P, http::errorResponse(Outcome.m_error));
    m_keyByJob.erase(Found);
    m_pending.erase(K);
    return;
  }
  P.m_mayHaveEffect = true;
  if (Outcome.m_fate == AppendFate::Done)
    return;
  // Callers that wait for the outcome keep waiting, because the record may
  // still be read back.
  std::vector<Waiter> Remaining;
  for (Waiter &W : P.m_waiters) {
    if (W.m_forOutcome) {
      W.m_acceptMs = W.m_deadlineMs;
      Remaining.push_back(std::move(W));
      continue;
    }
    --m_waiterCount;
    W.m_respond(unconfirmed(P.m_spec));
  }
  P.m_waiters = std::move(Remaining);
}

void Submissions::onApplied(const state::State &S,
                            const model::Submission &Record) {
  const auto It =
      m_pending.find({Record.m_spec.m_account, Record.m_spec.m_key});
  if (It == m_pending.end())
    return;
  const auto *J =
      state::findJobByKey(S, Record.m_spec.m_account, Record.m_spec.m_key);
  if (!J)
    return;
  Pending P = std::move(It->second);
  m_pending.erase(It);
  m_keyByJob.erase(P.m_job);
  attachToJob(std::move(P), *J);
}

void Submissions::onSnapshotLoaded(const state::State &S) {
  std::vector<model::Submission> Found;
  for (const auto &[K, P] : m_pending) {
    if (state::findJobByKey(S, K.first, K.second))
      Found.push_back({P.m_job, P.m_spec});
  }
  for (const model::Submission &Record : Found)
    onApplied(S, Record);
  std::vector<std::string> Jobs;
  for (const auto &[Job, Waiters] : m_outcomes)
    Jobs.push_back(Job);
  for (const std::string &Job : Jobs) {
    const auto It = S.m_jobs.find(Job);
    if (It != S.m_jobs.end() && It->second.m_result)
      onFinished(It->second);
  }
}

// Answers the callers of a pending submission from the job of their key, or
// lets them wait for its outcome.
void Submissions::attachToJob(Pending P, const model::Job &J) {
  m_waiterCount -= P.m_waiters.size();
  for (Waiter &W : P.m_waiters) {
    if (rejectIfConflicting(J.m_spec, P.m_spec, W))
      continue;
    if (W.m_forOutcome)
      await(J, std::move(W));
    else
      W.m_respond(jobAnswer(J));
  }
}

void Submissions::await(const model::Job &J, Waiter W) {
  if (J.m_phase == model::JobPhase::Finished || !W.m_forOutcome) {
    W.m_respond(jobAnswer(J));
    return;
  }
  if (rejectIfFull(W))
    return;
  ++m_waiterCount;
  m_outcomes[J.m_id].push_back(std::move(W));
}

bool Submissions::awaitKey(const std::string &Account, const std::string &K,
                           Waiter &W) {
  const auto It = m_pending.find({Account, K});
  if (It == m_pending.end())
    return false;
  if (!W.m_forOutcome) {
    W.m_respond(unconfirmed(It->second.m_spec));
    return true;
  }
  if (rejectIfFull(W))
    return true;
  ++m_waiterCount;
  It->second.m_waiters.push_back(std::move(W));
  return true;
}

void Submissions::onFinished(const model::Job &J) {
  const auto It = m_outcomes.find(J.m_id);
  if (It == m_outcomes.end())
    return;
  const std::vector<Waiter> Waiters = std::move(It->second);
  m_outcomes.erase(It);
  m_waiterCount -= Waiters.size();
  const http::Response Answer = jobAnswer(J);
  for (const Waiter &W : Waiters)
    W.m_respond(Answer);
}

void Submissions::answerPending(Pending &P, const http::Response &R) {
  m_waiterCount -= P.m_waiters.size();
  for (const Waiter &W : P.m_waiters)
    W.m_respond(R);
  P.m_waiters.clear();
}

namespace {

Millis outcomeDeadline(const Waiter &W) { return W.m_deadlineMs; }

Millis acceptDeadline(const Waiter &W) {
  return std::max(W.m_deadlineMs, W.m_acceptMs);
}

// Removes the waiters whose deadline has passed and returns them.
std::vector<Waiter> takeExpired(std::vector<Waiter> &Waiters,
                                Millis (*Deadline)(const Waiter &),
                                Millis NowMs) {
  const auto Middle = std::stable_partition(
      Waiters.begin(), Waiters.end(),
      [&](const Waiter &W) { return Deadline(W) > NowMs; });
  std::vector<Waiter> Expired(std::make_move_iterator(Middle),
                              std::make_move_iterator(Waiters.end()));
  Waiters.erase(Middle, Waiters.end());
  return Expired;
}

} // namespace

void Submissions::expirePending(Millis NowMs) {
  for (auto It = m_pending.begin(); It != m_pending.end();) {
    Pending &P = It->second;
    for (const Waiter &W : takeExpired(P.m_waiters, acceptDeadline, NowMs)) {
      --m_waiterCount;
      W.m_respond(unconfirmed(P.m_spec));
    }
    const bool Forget = P.m_appends == 0 && P.m_waiters.empty() &&
                        NowMs - P.m_lastAppendMs >= m_limits.m_keepMs;
    if (!Forget) {
      ++It;
      continue;
    }
    m_keyByJob.erase(P.m_job);
    It = m_pending.erase(It);
  }
}

void Submissions::tick(const state::State &S, Millis NowMs) {
  expirePending(NowMs);
  for (auto It = m_outcomes.begin(); It != m_outcomes.end();) {
    for (const Waiter &W : takeExpired(It->second, outcomeDeadline, NowMs)) {
      --m_waiterCount;
      const auto J = S.m_jobs.find(It->first);
      W.m_respond(J == S.m_jobs.end()
                      ? lookupError({ErrorKind::NotFound,
                                     "the job's outcome is no longer kept"})
                      : jobAnswer(J->second));
    }
    It = It->second.empty() ? m_outcomes.erase(It) : std::next(It);
  }
}

void Submissions::answerAll(const state::State &S) {
  for (auto &[K, P] : m_pending)
    answerPending(P, unconfirmed(P.m_spec));
  for (auto &[Job, Waiters] : m_outcomes) {
    for (Waiter &W : Waiters)
      W.m_deadlineMs = 0;
  }
  tick(S, 0);
}

bool Submissions::isPending(const std::string &Account,
                            const std::string &K) const {
  return m_pending.contains({Account, K});
}

std::size_t Submissions::inFlight() const {
  return static_cast<std::size_t>(
      std::count_if(m_pending.begin(), m_pending.end(), [](const auto &Item) {
        return Item.second.m_appends > 0;
      }));
}

PendingRecords::PendingRecords(std::size_t Limit) : m_limit(Limit) {}

void PendingRecords::add(const std::string &RecordId, Waiter W, Answer A) {
  m_pending[RecordId] = {std::move(W), std::move(A)};
}

void PendingRecords::onAppendAnswered(const std::string &RecordId,
                                      const logclient::AppendOutcome &Outcome) {
  const auto It = m_pending.find(RecordId);
  if (It == m_pending.end() || Outcome.m_fate != AppendFate::NoEffect)
    return;
  It->second.m_waiter.m_respond(http::errorResponse(Outcome.m_error));
  m_pending.erase(It);
}

void PendingRecords::onApplied(const state::State &S,
                               const std::string &RecordId,
                               const state::Applied &A) {
  const auto It = m_pending.find(RecordId);
  if (It == m_pending.end())
    return;
  It->second.m_waiter.m_respond(It->second.m_answer(S, A));
  m_pending.erase(It);
}

void PendingRecords::tick(Millis NowMs) {
  for (auto It = m_pending.begin(); It != m_pending.end();) {
    if (It->second.m_waiter.m_deadlineMs > NowMs) {
      ++It;
      continue;
    }
    It->second.m_waiter.m_respond(lookupError(
        {ErrorKind::LogUnconfirmed,
         "record " + It->first + " was not read back from the log in time"}));
    It = m_pending.erase(It);
  }
}

void PendingRecords::answerAll() {
  for (auto &[Id, P] : m_pending)
    P.m_waiter.m_deadlineMs = 0;
  tick(0);
}

} // namespace pomelokeel::entry
