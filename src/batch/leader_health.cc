#include "batch/leader.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <utility>

namespace pomelokeel::batch {
namespace {

constexpr Millis QuarantineMs = 3000; ///< Doubles each time.
constexpr Millis MaxQuarantineMs = 30000;

/// A run that was placed after a quarantine and is at work for this long ends
/// the probation of its worker, as a completed run does.
constexpr Millis ProbationMs = MaxQuarantineMs;

/// Evidence that quarantines a worker, and one on probation.
constexpr int EvidenceToQuarantine = 2;
constexpr int EvidenceOnProbation = 1;

/// Share of a service's workers that may be quarantined for failures of jobs
/// that have worked nowhere else. If more of them fail alike, the jobs are the
/// likelier cause.
constexpr std::size_t UnprovenPerService = 3;

/// Once so many tasks of a step have failed on a worker, and it has completed
/// nothing since, the others avoid it. They avoid a limited number of workers.
constexpr std::size_t FaultyTasksToAvoid = 2;
constexpr std::size_t MaxAvoided = 4;

/// Interval between reviews of the evidence against workers.
constexpr Millis ReviewEveryMs = 200;

std::size_t divideUp(std::size_t Number, std::size_t By) {
  return (Number + By - 1) / By;
}

} // namespace

// True if the worker can receive orders, whether it is quarantined or not.
bool Leader::isReachable(const AgentView &A, Millis Now) const {
  return !A.m_worker.m_workerIncarnation.empty() &&
         Now - A.m_workerReportedAt < m_timing.m_silentMs &&
         !A.m_worker.m_draining && !A.m_unhealthy && !A.m_leasesEndAt;
}

bool Leader::acceptsWork(const AgentView &A, Millis Now) const {
  return isReachable(A, Now) && Now >= A.m_quarantinedUntil && !isEvacuated(A);
}

Leader::HealthReview Leader::makeReview(Millis Now) const {
  return {{m_jobs,
           [this, Now](const std::string &Agent) {
             const auto It = m_agents.find(Agent);
             return It != m_agents.end() && isReachable(It->second, Now);
           },
           Now},
          {}};
}

WorkerEvidence Leader::evidenceAgainst(const AgentView &A,
                                       HealthReview &Review) const {
  return m_faults.evidenceAgainst(
      A.m_name, A.m_faultsSince, [&](const RunFault &F, const std::string &Of) {
        return Review.m_runs.compare(F, Of);
      });
}

Leader::ServiceUse Leader::useOfService(const std::string &Service,
                                        Millis Now) const {
  ServiceUse Out;
  for (const auto &[Name, A] : m_agents) {
    if (A.m_worker.m_service != Service || !isReachable(A, Now))
      continue;
    ++Out.m_reachable;
    Out.m_quarantined += Now < A.m_quarantinedUntil ? 1 : 0;
  }
  return Out;
}

Leader::ServiceUse &Leader::useOfService(const std::string &Service,
                                         HealthReview &Review,
                                         Millis Now) const {
  const auto [It, New] = Review.m_services.try_emplace(Service);
  if (New)
    It->second = useOfService(Service, Now);
  return It->second;
}

void Leader::updateWorkerHealth(AgentView &A, const TaskName &Name,
                                const EndReport &E, Millis Now) {
  const Millis PlacedAt = findTask(Name)->m_placedAt;
  // An unhealthy worker would refuse the next order too.
  if (E.m_kind == EndKind::NeverStarted && E.m_detail == UnhealthyReason &&
      Now >= A.m_quarantinedUntil) {
    A.m_evidenceNeeded = 0;
    // If the others are out of use too, a long quarantine would outlast the
    // cause.
    if (!mayQuarantine({}, useOfService(A.m_worker.m_service, Now)))
      A.m_quarantineMs = 0;
    return quarantine(A, Name.m_job, "refuses", {}, Now);
  }
  if (E.m_kind == EndKind::Done) {
    m_faults.refute(A.m_name, PlacedAt);
    A.m_clearedAt = Now;
    A.m_provenAt = std::max(A.m_provenAt, PlacedAt);
    if (PlacedAt >= A.m_quarantinedUntil)
      A.m_quarantineMs = 0;
  }
  if (E.m_kind == EndKind::Failed)
    recordFault(A, Name, false, Now);
}

// Long-running tasks may fail at any time once they are at work.
bool Leader::isLongRunAtWork(const TaskName &Name) const {
  constexpr int AtWorkPercent = 100;
  const Step &Kind = m_jobs.at(Name.m_job)
                         .m_spec.m_steps[static_cast<std::size_t>(Name.m_step)];
  return Kind.m_longRunning && findTask(Name)->m_percent >= AtWorkPercent;
}

void Leader::recordFault(AgentView &A, const TaskName &Name, bool Stuck,
                         Millis Now) {
  m_faults.add(A.m_name, {Name, Now, findTask(Name)->m_placedAt, Stuck,
                          isLongRunAtWork(Name)});
  A.m_hasNewFaults = true;
}

// Runs that were placed before the last quarantine ended do not count, so only
// a failed probation makes the next one longer.
void Leader::judgeWorker(AgentView &A, HealthReview &Review, Millis Now) {
  if (std::exchange(A.m_hasNewFaults, false)) {
    for (const TaskName &OfStep :
         m_faults.faultySteps(A.m_name, FaultyTasksToAvoid))
      avoidForStep(OfStep, {A.m_name, A.m_worker.m_workerIncarnation, Now});
  }
  if (Now < A.m_quarantinedUntil)
    return;
  A.m_faultsSince = A.m_quarantinedUntil;
  A.m_evidenceNeeded =
      A.m_quarantineMs > 0 ? EvidenceOnProbation : EvidenceToQuarantine;
  const WorkerEvidence E = evidenceAgainst(A, Review);
  A.m_evidence = E.total();
  const RunFault *Newest = m_faults.newest(A.m_name);
  if (Newest == nullptr || A.m_evidence < A.m_evidenceNeeded)
    return;
  ServiceUse &Use = useOfService(A.m_worker.m_service, Review, Now);
  if (!mayQuarantine(E, Use))
    return;
  quarantine(A, Newest->m_task.m_job,
             Newest->m_stuck ? "noProgress" : "failures", E, Now);
  Use.m_quarantined += isReachable(A, Now) ? 1 : 0;
}

// The runs of many workers may fail at the same time, so their faults are
// judged together.
void Leader::judgeNewFaults(Millis Now) {
  HealthReview Review = makeReview(Now);
  for (auto &[Name, A] : m_agents) {
    if (A.m_hasNewFaults)
      judgeWorker(A, Review, Now);
  }
}

// Only a failure of the task itself makes it wait again for other workers.
void Leader::avoid(Task &T, const AvoidedWorker &W) {
  const auto Known = std::find_if(
      T.m_avoid.begin(), T.m_avoid.end(),
      [&](const AvoidedWorker &A) { return A.m_agent == W.m_agent; });
  if (Known == T.m_avoid.end())
    T.m_avoid.push_back(W);
  else
    *Known = W;
}

// A worker that fails what it starts is the first to be free again, and would
// get all tasks of the step.
void Leader::avoidForStep(const TaskName &OfStep, const AvoidedWorker &W) {
  if (findTask(OfStep) == nullptr) // The job is gone.
    return;
  Occurrence &O =
      m_jobs.at(OfStep.m_job)
          .m_progress
          .m_occurrences[static_cast<std::size_t>(OfStep.m_occurrence)];
  for (Task &T : O[static_cast<std::size_t>(OfStep.m_step)]) {
    const bool Known = std::any_of(
        T.m_avoid.begin(), T.m_avoid.end(), [&](const AvoidedWorker &A) {
          return A.m_agent == W.m_agent &&
                 A.m_workerIncarnation == W.m_workerIncarnation;
        });
    if (T.m_phase == TaskPhase::Waiting && !Known &&
        T.m_avoid.size() < MaxAvoided)
      avoid(T, W);
  }
}

// For failures, at least one worker of each service stays in use.
bool Leader::mayQuarantine(const WorkerEvidence &E, const ServiceUse &Use) {
  const std::size_t Most = Use.m_reachable > 0 ? Use.m_reachable - 1 : 0;
  const bool Proven = E.m_proven >= EvidenceToQuarantine;
  const std::size_t Limit =
      Proven ? Most
             : std::min(Most, divideUp(Use.m_reachable, UnprovenPerService));
  return Use.m_quarantined < Limit;
}

void Leader::quarantine(AgentView &A, const std::string &Job,
                        const char *Reason, const WorkerEvidence &E,
                        Millis Now) {
  A.m_quarantineMs =
      std::clamp(A.m_quarantineMs * 2, QuarantineMs, MaxQuarantineMs);
  A.m_quarantinedUntil = A.m_clearedAt = Now + A.m_quarantineMs;
  m_counters.get("quarantines")++;
  m_ports.event("workerQuarantined", Job,
                fmt::format("agent={} reason={} proven={} unproven={} forMs={}",
                            A.m_name, Reason, E.m_proven, E.m_unproven,
                            A.m_quarantineMs));
}

// Later runs may show whether the jobs or the worker were the cause.
void Leader::reviewWorkerHealth(Millis Now) {
  if (Now - m_healthReviewedAt < ReviewEveryMs)
    return;
  m_healthReviewedAt = Now;
  m_faults.prune(Now);
  HealthReview Review = makeReview(Now);
  for (auto &[Name, A] : m_agents) {
    if (A.m_evidence == 0 && A.m_quarantineMs == 0 &&
        m_faults.newest(Name) == nullptr)
      continue;
    reviewRuns(A, Now);
    if (Now >= A.m_quarantinedUntil) {
      judgeWorker(A, Review, Now);
      continue;
    }
    A.m_evidence = evidenceAgainst(A, Review).total();
    if (A.m_evidence >= A.m_evidenceNeeded)
      continue;
    ServiceUse &Use = useOfService(A.m_worker.m_service, Review, Now);
    reinstate(A, Now);
    Use.m_quarantined -= isReachable(A, Now) ? 1 : 0;
  }
}

// Runs that have been at work for some time speak for their worker.
void Leader::reviewRuns(AgentView &A, Millis Now) {
  std::set<Millis> PlacedAt;
  for (const auto &[R, Name] : A.m_runs) {
    const Task *T = findCurrent(A, Name, R.m_run);
    if (T != nullptr && R.m_phase == RunPhase::Running)
      PlacedAt.insert(T->m_placedAt);
  }
  for (const Millis At : PlacedAt) {
    m_faults.refuteOutlived(A.m_name, At, Now - At);
    if (At >= A.m_quarantinedUntil && Now - At > ProbationMs)
      A.m_quarantineMs = 0;
  }
}

void Leader::reinstate(AgentView &A, Millis Now) {
  A.m_quarantinedUntil = A.m_clearedAt = Now;
  A.m_quarantineMs = A.m_quarantineMs > QuarantineMs ? A.m_quarantineMs / 2 : 0;
  m_scheduleDue = true;
  m_ports.event("workerReinstated", "",
                fmt::format("agent={} reason=jobsFailElsewhere", A.m_name));
}

// The next incarnation of a worker may be sound.
void Leader::resetWorkerHealth(AgentView &A) {
  m_faults.forget(A.m_name);
  A.m_quarantinedUntil = A.m_quarantineMs = A.m_faultsSince = 0;
  A.m_clearedAt = 0;
  A.m_provenAt = -1;
  A.m_evidence = A.m_evidenceNeeded = 0;
}

} // namespace pomelokeel::batch
