#include "batch/fault_log.h"

#include <algorithm>
#include <set>
#include <utility>

namespace pomelokeel::batch {
namespace {

/// Faults count for this long, and longer if the run took long: two runs that
/// fail one after the other are that far apart. It exceeds the longest
/// quarantine, so that the reasons for one outlast it.
constexpr Millis FaultWindowMs = 40000;
constexpr Millis WindowRuns = 4;

/// Older faults of a worker are forgotten.
constexpr std::size_t MaxFaultsPerWorker = 64;

/// Runs seldom stand still through their own fault while others of their step
/// go on, so one of them counts as much as this many failures.
constexpr int StuckWeight = 2;

/// So many jobs that fail on several workers speak against each of the workers
/// as much as one that fails on this worker only.
constexpr std::size_t JobsPerDoubt = 2;

/// A run outlives a failure if it is older by this factor and this margin,
/// which allows for the time that reports take.
constexpr Millis OutliveFactor = 4;
constexpr Millis OutliveMarginMs = 500;

} // namespace

bool outlives(Millis AgeMs, const RunFault &F) {
  return AgeMs > OutliveFactor * F.ranMs() + OutliveMarginMs;
}

void FaultLog::add(const std::string &Agent, RunFault F) {
  auto &Faults = m_faults[Agent];
  if (Faults.size() >= MaxFaultsPerWorker)
    Faults.erase(Faults.begin());
  Faults.push_back(std::move(F));
}

void FaultLog::refute(const std::string &Agent, Millis PlacedAt) {
  const auto It = m_faults.find(Agent);
  if (It == m_faults.end())
    return;
  for (RunFault &F : It->second)
    F.m_refuted = F.m_refuted || F.m_placedAt <= PlacedAt;
}

void FaultLog::refuteOutlived(const std::string &Agent, Millis PlacedAt,
                              Millis AgeMs) {
  const auto It = m_faults.find(Agent);
  if (It == m_faults.end())
    return;
  for (RunFault &F : It->second)
    F.m_refuted = F.m_refuted || (!F.m_stuck && F.m_placedAt <= PlacedAt &&
                                  outlives(AgeMs, F));
}

std::size_t FaultLog::faultyTasks(const std::string &Agent,
                                  const TaskName &OfStep) const {
  std::set<TaskName> Out;
  for (const RunFault &F : faultsOf(Agent)) {
    if (!F.m_refuted && F.m_task.m_job == OfStep.m_job &&
        F.m_task.m_step == OfStep.m_step)
      Out.insert(F.m_task);
  }
  return Out.size();
}

void FaultLog::prune(Millis Now) {
  for (auto It = m_faults.begin(); It != m_faults.end();) {
    std::erase_if(It->second, [&](const RunFault &F) {
      return Now - F.m_at > FaultWindowMs + WindowRuns * F.ranMs();
    });
    It = It->second.empty() ? m_faults.erase(It) : std::next(It);
  }
}

const std::vector<RunFault> &
FaultLog::faultsOf(const std::string &Agent) const {
  static const std::vector<RunFault> None;
  const auto It = m_faults.find(Agent);
  return It == m_faults.end() ? None : It->second;
}

FaultLog::Cause FaultLog::causeOf(const RunFault &F, const std::string &Agent,
                                  WorksElsewhere Works) const {
  if (Works == WorksElsewhere::Task)
    return Cause::Worker;
  bool Elsewhere = false;
  for (const auto &[Other, Faults] : m_faults) {
    if (Other == Agent)
      continue;
    for (const RunFault &O : Faults) {
      const bool Same = Works == WorksElsewhere::Step
                            ? O.m_task == F.m_task
                            : O.m_task.m_job == F.m_task.m_job;
      if (Same && O.m_refuted)
        return Cause::Job;
      Elsewhere = Elsewhere || Same;
    }
  }
  if (Elsewhere)
    return Cause::ProbablyJob;
  return Works == WorksElsewhere::Step ? Cause::Worker : Cause::Unknown;
}

WorkerEvidence FaultLog::evidenceAgainst(const std::string &Agent,
                                         Millis PlacedSince,
                                         const CompareRuns &Compare) const {
  WorkerEvidence Out;
  std::set<TaskName> Counted;
  std::set<std::string> Unknown;
  std::set<std::string> ProbablyJob;
  for (const RunFault &F : faultsOf(Agent)) {
    if (F.m_refuted || F.m_placedAt < PlacedSince ||
        !Counted.insert(F.m_task).second)
      continue;
    switch (causeOf(F, Agent, Compare(F, Agent))) {
    case Cause::Worker:
      Out.m_proven += F.m_stuck ? StuckWeight : 1;
      break;
    case Cause::Unknown:
      Unknown.insert(F.m_task.m_job);
      break;
    case Cause::ProbablyJob:
      ProbablyJob.insert(F.m_task.m_job);
      break;
    case Cause::Job:
      break;
    }
  }
  Out.m_unproven =
      static_cast<int>(Unknown.size() + ProbablyJob.size() / JobsPerDoubt);
  return Out;
}

} // namespace pomelokeel::batch
