#include "batch/fault_log.h"

#include <algorithm>
#include <set>
#include <utility>

namespace pomelokeel::batch {
namespace {

/// Faults count for this long, which exceeds the longest quarantine, and longer
/// by a multiple of the time that the run took: two runs that fail one after
/// the other are at least that far apart.
constexpr Millis FaultWindowMs = 40000;
constexpr Millis WindowPerRun = 4;

/// Proven evidence beyond this is not counted.
constexpr int MaxProven = 2;

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
  m_indexed = false;
  auto &Faults = m_faults[Agent];
  if (Faults.size() >= MaxFaultsPerWorker)
    Faults.erase(Faults.begin());
  Faults.push_back(std::move(F));
}

void FaultLog::refute(const std::string &Agent, Millis PlacedAt) {
  const auto It = m_faults.find(Agent);
  if (It == m_faults.end())
    return;
  for (RunFault &F : It->second) {
    if (F.m_placedAt <= PlacedAt)
      setRefuted(F);
  }
}

void FaultLog::refuteOutlived(const std::string &Agent, Millis PlacedAt,
                              Millis AgeMs) {
  const auto It = m_faults.find(Agent);
  if (It == m_faults.end())
    return;
  for (RunFault &F : It->second) {
    if (!F.m_stuck && F.m_placedAt <= PlacedAt && outlives(AgeMs, F))
      setRefuted(F);
  }
}

void FaultLog::setRefuted(RunFault &F) {
  m_indexed = m_indexed && F.m_refuted;
  F.m_refuted = true;
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

int FaultLog::faultyTasksAfter(const std::string &Agent, Millis Since) const {
  std::set<TaskName> Out;
  for (const RunFault &F : faultsOf(Agent)) {
    if (!F.m_refuted && F.m_at > Since)
      Out.insert(F.m_task);
  }
  return static_cast<int>(Out.size());
}

void FaultLog::forget(const std::string &Agent) {
  m_indexed = false;
  m_faults.erase(Agent);
}

void FaultLog::prune(Millis Now) {
  for (auto It = m_faults.begin(); It != m_faults.end();) {
    const std::size_t Old = std::erase_if(It->second, [&](const RunFault &F) {
      return Now - F.m_at > FaultWindowMs + WindowPerRun * F.ranMs();
    });
    m_indexed = m_indexed && Old == 0;
    It = It->second.empty() ? m_faults.erase(It) : std::next(It);
  }
}

const std::vector<RunFault> &
FaultLog::faultsOf(const std::string &Agent) const {
  static const std::vector<RunFault> None;
  const auto It = m_faults.find(Agent);
  return It == m_faults.end() ? None : It->second;
}

void FaultLog::index() {
  if (std::exchange(m_indexed, true))
    return;
  m_byJob.clear();
  m_byTask.clear();
  for (const auto &[Agent, Faults] : m_faults) {
    for (const RunFault &F : Faults) {
      for (bool *Refuted :
           {&m_byJob[F.m_task.m_job][Agent], &m_byTask[F.m_task][Agent]})
        *Refuted = *Refuted || F.m_refuted;
    }
  }
}

FaultLog::Cause FaultLog::causeOf(const RunFault &F, const std::string &Agent,
                                  WorksElsewhere Works) const {
  if (Works == WorksElsewhere::Task)
    return Cause::Worker;
  const AgentsWithFault &Agents = Works == WorksElsewhere::Step
                                      ? m_byTask.at(F.m_task)
                                      : m_byJob.at(F.m_task.m_job);
  if (Agents.size() == 1)
    return Works == WorksElsewhere::Step ? Cause::Worker : Cause::Unknown;
  const bool Refuted =
      std::any_of(Agents.begin(), Agents.end(), [&](const auto &Entry) {
        return Entry.second && Entry.first != Agent;
      });
  return Refuted ? Cause::Job : Cause::ProbablyJob;
}

WorkerEvidence FaultLog::evidenceAgainst(const std::string &Agent,
                                         Millis PlacedSince,
                                         const CompareRuns &Compare) {
  index();
  WorkerEvidence Out;
  std::set<TaskName> Counted;
  std::set<std::pair<std::string, int>> StepsThatFail; // On all workers.
  std::set<std::string> Unknown;
  std::set<std::string> ProbablyJob;
  for (const RunFault &F : faultsOf(Agent)) {
    if (Out.m_proven >= MaxProven)
      break;
    const std::pair Step(F.m_task.m_job, F.m_task.m_step);
    if (F.m_refuted || F.m_placedAt < PlacedSince ||
        StepsThatFail.contains(Step) || !Counted.insert(F.m_task).second)
      continue;
    const WorksElsewhere Works = Compare(F, Agent);
    if (Works == WorksElsewhere::Nothing)
      StepsThatFail.insert(Step);
    switch (causeOf(F, Agent, Works)) {
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
