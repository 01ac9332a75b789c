#include "batch/leader.h"

#include <fmt/format.h>

#include <memory>

namespace pomelokeel::batch {
namespace {

/// How long the work ahead and the capacity are not read again. Jobs accepted
/// in between are added.
constexpr Millis AdmissionAgeMs = 100;

/// After its start a leader does not know the capacity before the agents have
/// reported. They find it within this time, and refuse nobody until then.
constexpr Millis AgentsReportMs = 4000;

std::string amountText(const Resources &R) {
  return fmt::format("{}/{}/{}", R.m_milliCores, R.m_memoryMb,
                     R.m_accelerators);
}

} // namespace

Admission &Leader::admissionTo(const std::string &Service, Millis Now,
                               Millis WallNow) {
  if (Now - m_admissionsAt >= AdmissionAgeMs) {
    m_admissions.clear();
    m_admissionsAt = Now;
  }
  std::unique_ptr<Admission> &Out = m_admissions[Service];
  if (!Out)
    Out = std::make_unique<Admission>(Service, m_openJobs,
                                      makeCandidateWorkers(Now), m_guarantees,
                                      m_experience[Service], Now, WallNow);
  return *Out;
}

// Returns true if the job was refused because it could not be done in time. A
// leader that may have been replaced does not know whether its successor has
// accepted the job, so it refuses none.
bool Leader::refuseForRoom(Job &J, Millis Now, Millis WallNow,
                           const CallerAnswer &Answer) {
  const JobSpec &S = J.m_spec;
  if (m_policy != OverloadPolicy::CostAware || !confirmed(Now) ||
      Now - m_startedAt < AgentsReportMs)
    return false;
  const Admission &Here = admissionTo(S.m_queue.m_service, Now, WallNow);
  const Admittance A = Here.decide(S, Now);
  J.m_expectedMs = A.m_expectedMs;
  J.m_expectedWaitMs = A.m_backlogMs;
  if (A.m_accepted)
    return false;
  const Millis RetryMs = m_experience[S.m_queue.m_service].returnAfter(
      S, Here.fleetSeconds(S), A.m_retryAfterMs, Now);
  m_ports.event("jobRefused", S.m_id,
                fmt::format("reason=noRoom queue={} account={} need={} room={} "
                            "backlogMs={} expectedMs={} limitMs={} retryMs={}",
                            S.m_queue.m_name, S.m_account, amountText(A.m_need),
                            amountText(A.m_capacity), A.m_backlogMs,
                            A.m_expectedMs, A.m_limitMs, RetryMs));
  m_counters.get("jobs_refused{reason=\"room\"}")++;
  CallerReply Out;
  Out.m_verdict = Verdict::Overloaded;
  Out.m_retryAfterMs = RetryMs;
  Out.m_reason = "the job could not be done in time";
  Answer(std::move(Out));
  return true;
}

void Leader::noteAccepted(const JobSpec &S, Millis Now, Millis WallNow) {
  if (m_policy != OverloadPolicy::CostAware)
    return;
  Admission &A = admissionTo(S.m_queue.m_service, Now, WallNow);
  m_experience[S.m_queue.m_service].m_arrivals.add(S.m_queue.m_priority,
                                                   A.fleetSeconds(S), Now);
  A.add(S);
}

// Only first runs count: later ones may resume from a checkpoint. A run that an
// earlier leader placed began at an unknown time.
void Leader::noteRunDone(const Job &J, const Step &Kind, const Task &T,
                         Millis Now) {
  if (m_policy == OverloadPolicy::CostAware && T.m_run == 1 &&
      T.m_phase == TaskPhase::Placed && T.m_placedAt > m_startedAt)
    m_experience[J.m_spec.m_queue.m_service].noteRun(J.m_spec, Kind,
                                                     Now - T.m_placedAt);
}

void Leader::noteJobDone(const Job &J, Millis WallNow) {
  if (m_policy == OverloadPolicy::CostAware)
    m_experience[J.m_spec.m_queue.m_service].noteDone(
        J, WallNow - J.m_spec.m_acceptedMs);
}

} // namespace pomelokeel::batch
