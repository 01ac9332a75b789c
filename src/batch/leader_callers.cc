#include "batch/leader.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace pomelokeel::batch {
namespace {

/// If an append takes longer than this, the store is slow or down. New jobs are
/// then refused at once, so that callers can try again later.
constexpr Millis JournalStallMs = 600;

/// Retry-after time if the leader resigns; an election takes about this long.
constexpr Millis RetryNewLeaderMs = 1000;

/// Part of a caller's remaining time that is left for delivering the answer.
constexpr Millis AnswerMarginMs = 150;

/// Retry-after time if the caller left too little time for an answer.
constexpr Millis RetryNoTimeMs = 1000;

/// Limit for the tombstones, which bounds their part of the journal.
constexpr std::size_t MaxTombstones = 4096;
/// Limit for those of one account, so that it leaves room for the others.
constexpr std::ptrdiff_t MaxTombstonesOfAccount = MaxTombstones / 4;

constexpr const char *CancelledReason =
    "the job was cancelled before it was submitted";

CallerReply refusal(Verdict V, Millis RetryAfterMs, std::string Reason) {
  CallerReply Out;
  Out.m_verdict = V;
  Out.m_retryAfterMs = RetryAfterMs;
  Out.m_reason = std::move(Reason);
  return Out;
}

// The properties that decide where and when a job can run.
std::string describe(const JobSpec &S) {
  std::string Steps;
  for (const Step &Each : S.m_steps)
    Steps += fmt::format("{}{}x{}", Steps.empty() ? "" : ",", Each.m_count,
                         Each.m_each.m_accelerators);
  return fmt::format("queue={} account={} priority={} gang={} steps={} "
                     "estimateMs={}",
                     S.m_queue.m_name, S.m_account, S.m_queue.m_priority,
                     S.m_steps.front().m_gang, Steps, criticalPathMs(S));
}

/// The phase to show to callers. An end is final, so it is shown only once it
/// is stored.
JobPhase visiblePhase(const JobState &J) {
  return isEnded(J.m_progress.m_phase) ? J.m_storedPhase : J.m_progress.m_phase;
}

} // namespace

CallerReply Leader::refuseUnknownJob(Millis RetryAfterMs,
                                     std::string Reason) const {
  CallerReply Out =
      refusal(Verdict::Unavailable, RetryAfterMs, std::move(Reason));
  Out.m_unknownToEpoch = m_epoch;
  return Out;
}

// If this version cannot read the record of a job, it can neither answer that
// the job is gone nor accept it as a new one.
bool Leader::refuseUnreadable(const CallerRequest &R,
                              const CallerAnswer &Answer) {
  if (!m_unreadable.contains(R.m_id))
    return false;
  m_ports.event("jobRefused", R.m_id, "reason=recordUnreadable");
  m_counters.get("jobs_refused{reason=\"record\"}")++;
  Answer(refusal(Verdict::Unavailable, detail::RetryJournalMs,
                 "the record of the job cannot be read"));
  return true;
}

void Leader::submit(const CallerRequest &R, Millis Now, Millis WallNow,
                    CallerAnswer Answer) {
  if (!R.m_spec)
    return Answer(
        refusal(Verdict::BadRequest, 0, "the request contains no job"));
  auto It = m_jobs.find(R.m_id);
  if (const auto T = m_tombstones.find(R.m_id);
      T != m_tombstones.end() && It == m_jobs.end()) {
    m_ports.event("jobRefused", R.m_id, "reason=cancelledBefore");
    m_counters.get("jobs_refused{reason=\"cancelled\"}")++;
    m_waitingCallers.push_back({T->second.m_batch, R.m_id, true,
                                Now + R.m_remainingMs - AnswerMarginMs,
                                std::move(Answer)});
    return;
  }
  if (It == m_jobs.end()) {
    // Nothing that this leader stores now is likely to count.
    if (!confirmed(Now)) {
      m_ports.event("jobRefused", R.m_id, "reason=notConfirmed");
      m_counters.get("jobs_refused{reason=\"leadership\"}")++;
      return Answer(refuseUnknownJob(detail::RetryJournalMs,
                                     "leadership is not confirmed"));
    }
    // The caller would stop waiting before the job is stored and would not
    // know the outcome.
    if (R.m_remainingMs <= AnswerMarginMs) {
      m_ports.event("jobRefused", R.m_id,
                    fmt::format("reason=noTime leftMs={}", R.m_remainingMs));
      m_counters.get("jobs_refused{reason=\"time\"}")++;
      return Answer(refuseUnknownJob(RetryNoTimeMs,
                                     "too little time left to store the job"));
    }
    if (m_journal.pendingMs(Now) > JournalStallMs) {
      m_ports.event("jobRefused", R.m_id,
                    fmt::format("reason=journalStalled forMs={}",
                                m_journal.pendingMs(Now)));
      m_counters.get("jobs_refused{reason=\"journal\"}")++;
      return Answer(
          refuseUnknownJob(detail::RetryJournalMs, "the log does not answer"));
    }
    if (auto Checked = check(*R.m_spec); !Checked) {
      m_ports.event("jobRefused", R.m_id,
                    "reason=\"" + Checked.error().m_message + "\"");
      return Answer(refusal(Verdict::BadRequest, 0, Checked.error().m_message));
    }
    Job J;
    J.m_spec = *R.m_spec;
    J.m_spec.m_id = R.m_id;
    J.m_spec.m_queue = R.m_queue;
    J.m_spec.m_account = R.m_account;
    J.m_spec.m_acceptedMs = WallNow;
    // An earlier attempt of this submission may still be accepted, so a refusal
    // might be untrue.
    if (!R.m_maybeDone && refuseForRoom(J, Now, WallNow, Answer))
      return;
    J.m_acceptedAt = Now;
    J.m_acceptBatch = m_journal.nextBatch();
    if (J.m_spec.m_occurrenceCount == 0)
      J.m_progress.m_occurrences.push_back(makeOccurrence(J.m_spec));
    noteAccepted(J.m_spec, Now, WallNow);
    It = m_jobs.emplace(R.m_id, std::move(J)).first;
    m_openJobs[R.m_id] = &It->second;
    markChanged(It->second);
    addOccurrences(WallNow);
    m_ports.event("jobSubmitted", R.m_id, describe(It->second.m_spec));
    m_counters.get("jobs_submitted")++;
  }
  m_waitingCallers.push_back({It->second.m_acceptBatch, R.m_id, true,
                              Now + R.m_remainingMs - AnswerMarginMs,
                              std::move(Answer)});
}

void Leader::query(const CallerRequest &R, const CallerAnswer &Answer) const {
  const auto It = m_jobs.find(R.m_id);
  CallerReply Out;
  Out.m_verdict = It == m_jobs.end() ? Verdict::Gone : Verdict::Ok;
  if (It != m_jobs.end())
    Out.m_phase = visiblePhase(It->second);
  Answer(std::move(Out));
}

void Leader::cancel(const CallerRequest &R, Millis Now, Millis WallNow,
                    CallerAnswer Answer) {
  const auto It = m_jobs.find(R.m_id);
  if (It == m_jobs.end())
    return cancelUnknown(R, Now, WallNow, std::move(Answer));
  Job &J = It->second;
  if (!isEnded(J.m_progress.m_phase)) {
    m_ports.event("jobCancelled", R.m_id,
                  fmt::format("phase={}", base::nameOf(J.m_progress.m_phase)));
    m_counters.get("jobs_cancelled")++;
    finishJob(J, JobPhase::Cancelled, WallNow);
    stopAllRuns(J, StopReason::Cancelled);
  }
  m_waitingCallers.push_back({batchOfState(R.m_id), R.m_id, false,
                              Now + R.m_remainingMs - AnswerMarginMs,
                              std::move(Answer)});
}

// The submission may still be on its way through another entry. Once the caller
// was told that there is no such job, it must not run.
void Leader::cancelUnknown(const CallerRequest &R, Millis Now, Millis WallNow,
                           CallerAnswer Answer) {
  if (!m_tombstones.contains(R.m_id)) {
    const auto OfAccount = std::count_if(
        m_tombstones.begin(), m_tombstones.end(), [&](const auto &Entry) {
          return Entry.second.m_account == R.m_account;
        });
    if (m_tombstones.size() >= MaxTombstones ||
        OfAccount >= MaxTombstonesOfAccount) {
      m_ports.event("cancelRefused", R.m_id,
                    fmt::format("reason=tooMany account={} ofAccount={} all={}",
                                R.m_account, OfAccount, m_tombstones.size()));
      return Answer(refusal(Verdict::Overloaded, detail::RetryJournalMs,
                            "too many unknown jobs were cancelled"));
    }
    addTombstone(R.m_id, R.m_account, WallNow);
  }
  m_waitingCallers.push_back({m_tombstones[R.m_id].m_batch, R.m_id, false,
                              Now + R.m_remainingMs - AnswerMarginMs,
                              std::move(Answer)});
}

void Leader::addTombstone(const std::string &Id, const std::string &Account,
                          Millis WallNow) {
  m_ports.event("jobCancelled", Id, "phase=unknown");
  m_counters.get("jobs_cancelled")++;
  m_tombstones[Id] = {WallNow, Account, m_journal.nextBatch()};
  m_dirty.insert(Id);
}

void Leader::countPending(const CallerRequest &R,
                          const CallerAnswer &Answer) const {
  CallerReply Out;
  Out.m_verdict = Verdict::Ok;
  for (const auto &[Id, J] : m_openJobs) {
    if (J->m_progress.m_phase == JobPhase::Queued &&
        J->m_spec.m_queue.m_name == R.m_queue.m_name)
      ++Out.m_pending;
  }
  Answer(std::move(Out));
}

CallerReply Leader::replyOnceStored(const detail::WaitingCaller &W) const {
  CallerReply Out;
  Out.m_verdict = Verdict::Ok;
  if (const auto It = m_jobs.find(W.m_job); It != m_jobs.end())
    Out.m_phase = visiblePhase(It->second);
  else if (m_tombstones.contains(W.m_job))
    Out = refusal(Verdict::Gone, 0, W.m_submission ? CancelledReason : "");
  return Out;
}

void Leader::answerWaitingCallers(Millis Now) {
  detail::Withdrawal Late;
  Late.m_dueBy = Now;
  Late.m_reason = "journalBusy";
  withdrawSubmissions(Late);
  std::vector<std::pair<CallerAnswer, CallerReply>> Ready;
  std::erase_if(m_waitingCallers, [&](detail::WaitingCaller &W) {
    CallerReply Out;
    if (W.m_batch <= m_journal.durable()) {
      Out = replyOnceStored(W);
    } else if (Now >= W.m_deadline) {
      Out.m_verdict = Verdict::Unknown;
      Out.m_reason = "the log has not answered in time";
      m_ports.event("answerUnknown", W.m_job, "reason=journalUnanswered");
    } else {
      return false;
    }
    Ready.emplace_back(std::move(W.m_answer), std::move(Out));
    return true;
  });
  for (auto &[Answer, Reply] : Ready)
    Answer(std::move(Reply));
}

void Leader::handleStall(Millis Now) {
  const Millis PendingMs = m_journal.pendingMs(Now);
  if (PendingMs <= JournalStallMs)
    return;
  if (!std::exchange(m_journalStalled, true))
    m_ports.event("journalStalled", "",
                  fmt::format("batch={} stored={} forMs={}",
                              m_journal.nextBatch() - 1, m_journal.durable(),
                              PendingMs));
  withdrawSubmissions({});
}

// The changes of a leader that resigns are not written any more.
void Leader::resign() {
  detail::Withdrawal How;
  How.m_ofCurrentBatch = m_journal.withdrawable();
  How.m_reason = "leaderResigned";
  How.m_text = "the leader has changed";
  How.m_retryAfterMs = RetryNewLeaderMs;
  withdrawSubmissions(How);
  for (auto &W : m_waitingCallers) {
    CallerReply Out;
    Out.m_verdict = Verdict::Unknown;
    Out.m_reason = How.m_text;
    W.m_answer(std::move(Out));
  }
  m_waitingCallers.clear();
  for (auto &[Name, A] : m_agents) {
    for (auto &P : A.m_heldReports)
      P.m_answer({});
    A.m_heldReports.clear();
  }
}

// Refuses jobs that are certainly not stored now instead of waiting until the
// store answers: new jobs that are in no batch yet, and those of the current
// batch if every attempt to append it certainly had no effect.
void Leader::withdrawSubmissions(const detail::Withdrawal &How) {
  std::set<std::string> Withdrawn;
  for (const detail::WaitingCaller &W : m_waitingCallers) {
    const auto It = m_jobs.find(W.m_job);
    if (W.m_submission && It != m_jobs.end() && !It->second.m_specStored &&
        (How.m_ofCurrentBatch || W.m_batch >= m_journal.nextBatch()) &&
        W.m_deadline <= How.m_dueBy)
      Withdrawn.insert(W.m_job);
  }
  // A job with several submissions runs for all of them or for none.
  std::vector<CallerAnswer> Refused;
  std::erase_if(m_waitingCallers, [&](detail::WaitingCaller &W) {
    if (!W.m_submission || !Withdrawn.contains(W.m_job))
      return false;
    Refused.push_back(std::move(W.m_answer));
    return true;
  });
  for (const std::string &Id : Withdrawn) {
    m_ports.event("jobRefused", Id, fmt::format("reason={}", How.m_reason));
    m_counters.get("jobs_refused{reason=\"journal\"}")++;
    m_openJobs.erase(Id);
    m_jobs.erase(Id);
    m_dirty.erase(Id);
    m_flushedPhases.erase(Id);
    for (const std::string_view Kind : {SpecKey, StateKey}) {
      if (How.m_ofCurrentBatch && m_journal.busy())
        m_journal.withdraw(journalKey(Kind, Id));
    }
  }
  // Another copy of a refused submission may arrive after its cancelling.
  for (detail::WaitingCaller &W : m_waitingCallers) {
    if (!Withdrawn.contains(W.m_job))
      continue;
    if (!m_tombstones.contains(W.m_job))
      addTombstone(W.m_job, "", m_wallNow);
    W.m_batch = m_tombstones[W.m_job].m_batch;
  }
  for (const CallerAnswer &Answer : Refused)
    Answer(refuseUnknownJob(How.m_retryAfterMs, How.m_text));
}

} // namespace pomelokeel::batch
