#include "sched/sched.h"

#include <algorithm>

namespace pomelokeel::sched {
namespace {

// A worker is quarantined after this many different jobs have failed on it in a
// row.
constexpr std::size_t FailedJobsToQuarantine = 3;
constexpr std::size_t MaxFailedJobs = 16;
constexpr Millis QuarantineMs = 60000;
// The quarantine of a worker that fails again on probation doubles at most this
// many times.
constexpr int MaxDoublings = 5;
constexpr Millis MaxBackoffMs = 300000;

bool contains(const std::vector<std::string> &Names, const std::string &Name) {
  return std::find(Names.begin(), Names.end(), Name) != Names.end();
}

} // namespace

FailureTracker::Verdict FailureTracker::record(const std::string &Worker,
                                               const std::string &Job,
                                               bool Failed, Millis NowMs,
                                               bool MayQuarantine) {
  History &H = m_workers[Worker];
  if (!Failed) {
    m_workers.erase(Worker);
    return {};
  }
  if (contains(H.m_failedJobs, Job))
    return {};
  bool JobSuspect = false;
  for (auto &[Other, OtherHistory] : m_workers) {
    if (Other == Worker || !contains(OtherHistory.m_failedJobs, Job))
      continue;
    JobSuspect = true;
  }
  if (JobSuspect)
    return {};
  if (H.m_failedJobs.size() >= MaxFailedJobs)
    H.m_failedJobs.erase(H.m_failedJobs.begin());
  H.m_failedJobs.push_back(Job);
  // After a quarantine, a single failure on probation starts the next one.
  const std::size_t Needed = H.m_quarantines > 0 ? 1 : FailedJobsToQuarantine;
  if (H.m_failedJobs.size() < Needed || !MayQuarantine)
    return {};
  const Millis Length = QuarantineMs << std::min(H.m_quarantines, MaxDoublings);
  ++H.m_quarantines;
  return {true, NowMs + Length};
}

bool FailureTracker::isWorkerFault(const std::string &Worker,
                                   const std::string &Job) const {
  return wasQuarantined(Worker) &&
         contains(m_workers.at(Worker).m_failedJobs, Job);
}

bool FailureTracker::wasQuarantined(const std::string &Worker) const {
  const auto It = m_workers.find(Worker);
  return It != m_workers.end() && It->second.m_quarantines > 0;
}

Millis retryBackoff(const model::JobClass &C, int Failures) {
  Millis Backoff = std::max<Millis>(C.m_backoffMs, 0);
  for (int I = 1; I < Failures && Backoff < MaxBackoffMs; ++I)
    Backoff *= 2;
  return Failures <= 0 ? 0 : std::min(Backoff, MaxBackoffMs);
}

} // namespace pomelokeel::sched
