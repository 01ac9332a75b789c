#include "batch/leader.h"

#include <fmt/format.h>

#include <utility>

namespace pomelokeel::batch {
namespace {

/// An append that takes longer than this means that the log is slow or down:
/// new jobs are refused at once, so that callers can come back later.
constexpr Millis JournalStallMs = 600;

/// When a caller that was refused for the journal's sake should come back:
/// outages last seconds, and a first try after one is worth more than many.
constexpr Millis RetryJournalMs = 2000;

/// Kept of a caller's time for the way back.
constexpr Millis AnswerMarginMs = 150;

/// When a caller that left no time for an answer should come back.
constexpr Millis RetryNoTimeMs = 1000;

CallerReply refusal(Verdict V, Millis RetryAfterMs, std::string Reason) {
  CallerReply Out;
  Out.m_verdict = V;
  Out.m_retryAfterMs = RetryAfterMs;
  Out.m_reason = std::move(Reason);
  return Out;
}

// What decides where and when a job can run.
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

} // namespace

// Nothing true can be said of a job whose record this version cannot read:
// neither that it is gone nor that it may be submitted anew.
bool Leader::refuseUnreadable(const CallerRequest &R,
                              const CallerAnswer &Answer) {
  if (!m_unreadable.contains(R.m_id))
    return false;
  m_ports.event("jobRefused", R.m_id, "reason=recordUnreadable");
  m_counters.get("jobs_refused{reason=\"record\"}")++;
  Answer(refusal(Verdict::Unavailable, RetryJournalMs,
                 "the record of the job cannot be read"));
  return true;
}

void Leader::submit(const CallerRequest &R, Millis Now, Millis Wall,
                    CallerAnswer Answer) {
  if (!R.m_spec)
    return Answer(refusal(Verdict::BadRequest, 0, "no job"));
  auto It = m_jobs.find(R.m_id);
  if (It == m_jobs.end()) {
    // Its caller would be gone before the job is stored, and would not know.
    if (R.m_remainingMs <= AnswerMarginMs) {
      m_ports.event("jobRefused", R.m_id,
                    fmt::format("reason=noTime leftMs={}", R.m_remainingMs));
      m_counters.get("jobs_refused{reason=\"time\"}")++;
      return Answer(refusal(Verdict::Unavailable, RetryNoTimeMs,
                            "too little time left to store it"));
    }
    if (m_journal.pendingMs(Now) > JournalStallMs) {
      m_ports.event("jobRefused", R.m_id,
                    fmt::format("reason=journalStalled forMs={}",
                                m_journal.pendingMs(Now)));
      m_counters.get("jobs_refused{reason=\"journal\"}")++;
      return Answer(refusal(Verdict::Unavailable, RetryJournalMs,
                            "the log does not answer"));
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
    J.m_spec.m_acceptedMs = Wall;
    J.m_acceptedAt = Now;
    J.m_acceptBatch = m_journal.nextBatch();
    if (J.m_spec.m_occurrenceCount == 0)
      J.m_progress.m_occurrences.push_back(makeOccurrence(J.m_spec));
    It = m_jobs.emplace(R.m_id, std::move(J)).first;
    changed(It->second);
    addOccurrences(Wall);
    m_ports.event("jobSubmitted", R.m_id, describe(It->second.m_spec));
    m_counters.get("jobs_submitted")++;
  }
  m_waiters.push_back({It->second.m_acceptBatch, R.m_id, true,
                       Now + R.m_remainingMs - AnswerMarginMs,
                       std::move(Answer)});
}

void Leader::query(const CallerRequest &R, const CallerAnswer &Answer) const {
  const auto It = m_jobs.find(R.m_id);
  CallerReply Out;
  Out.m_verdict = It == m_jobs.end() ? Verdict::Gone : Verdict::Ok;
  if (It != m_jobs.end()) {
    const Job &J = It->second;
    // An end is shown once it is stored, since it must stand for good.
    Out.m_phase =
        isEnded(J.m_progress.m_phase) ? J.m_shown : J.m_progress.m_phase;
  }
  Answer(std::move(Out));
}

void Leader::cancel(const CallerRequest &R, Millis Now, Millis Wall,
                    CallerAnswer Answer) {
  const auto It = m_jobs.find(R.m_id);
  if (It == m_jobs.end())
    return Answer(refusal(Verdict::Gone, 0, ""));
  Job &J = It->second;
  if (!isEnded(J.m_progress.m_phase)) {
    m_ports.event("jobCancelled", R.m_id,
                  fmt::format("phase={}", base::nameOf(J.m_progress.m_phase)));
    m_counters.get("jobs_cancelled")++;
    finishJob(J, JobPhase::Cancelled, Wall);
    stopAll(J, StopReason::Cancelled);
  }
  m_waiters.push_back({J.m_batch, R.m_id, false,
                       Now + R.m_remainingMs - AnswerMarginMs,
                       std::move(Answer)});
}

void Leader::countPending(const CallerRequest &R,
                          const CallerAnswer &Answer) const {
  CallerReply Out;
  Out.m_verdict = Verdict::Ok;
  for (const auto &[Id, J] : m_jobs) {
    if (J.m_progress.m_phase == JobPhase::Queued &&
        J.m_spec.m_queue.m_name == R.m_queue.m_name)
      ++Out.m_pending;
  }
  Answer(std::move(Out));
}

void Leader::answerWaiters(Millis Now) {
  std::vector<std::pair<CallerAnswer, CallerReply>> Ready;
  std::erase_if(m_waiters, [&](detail::Waiter &W) {
    CallerReply Out;
    if (W.m_batch <= m_journal.durable()) {
      Out.m_verdict = Verdict::Ok;
      if (const auto It = m_jobs.find(W.m_job); It != m_jobs.end())
        Out.m_phase = It->second.m_progress.m_phase;
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

void Leader::refuseWhileStalled(Millis Now) {
  if (m_journal.pendingMs(Now) > JournalStallMs)
    withdrawSubmissions(false);
}

// Jobs that surely are not stored are refused now instead of being kept until
// the log answers: all new ones if every attempt of the current batch certainly
// had no effect, else those that are in no batch yet.
void Leader::withdrawSubmissions(bool OfCurrentBatch) {
  std::vector<CallerAnswer> Refused;
  std::set<std::string> Withdrawn;
  std::erase_if(m_waiters, [&](detail::Waiter &W) {
    const auto It = m_jobs.find(W.m_job);
    if (!W.m_submission || It == m_jobs.end() || It->second.m_specStored ||
        (!OfCurrentBatch && W.m_batch < m_journal.nextBatch()))
      return false;
    Withdrawn.insert(W.m_job);
    Refused.push_back(std::move(W.m_answer));
    return true;
  });
  for (const std::string &Id : Withdrawn) {
    m_ports.event("jobRefused", Id, "reason=journalRefused");
    m_counters.get("jobs_refused{reason=\"journal\"}")++;
    m_jobs.erase(Id);
    m_dirty.erase(Id);
    m_flushedPhases.erase(Id);
    for (const std::string_view Kind : {SpecKey, StateKey}) {
      if (OfCurrentBatch && m_journal.busy())
        m_journal.withdraw(journalKey(Kind, Id));
    }
  }
  for (const CallerAnswer &Answer : Refused)
    Answer(refusal(Verdict::Unavailable, RetryJournalMs,
                   "the log takes no records"));
}

} // namespace pomelokeel::batch
