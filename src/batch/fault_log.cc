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

/// A step that works on fewer than this many workers for each one on which its
/// job has faults is the likelier cause.
constexpr std::size_t WorkingPerFaulty = 2;

/// So many jobs that fail on several workers speak against each of the workers
/// as much as one that fails on this worker only.
constexpr std::size_t JobsPerDoubt = 2;

/// A run outlives a failure if it is older by this factor and this margin,
/// which allows for the time that reports take.
constexpr Millis OutliveFactor = 4;
constexpr Millis OutliveMarginMs = 500;

/// So many tasks in a row that failed at work much earlier than others do count
/// as one piece of evidence. Tasks that fail at random seldom do so by chance.
constexpr int EarlyEndsPerDoubt = 3;
constexpr int MaxEarlyEnds = 2 * EarlyEndsPerDoubt;

// True if the fault does not speak against its worker on its own.
bool isExcused(const RunFault &F) { return F.m_refuted || F.m_atWork; }

} // namespace

bool outlives(Millis AgeMs, const RunFault &F) {
  return AgeMs > OutliveFactor * F.ranMs() + OutliveMarginMs;
}

void FaultLog::Spread::add(const std::string &Agent, int Faults, int Refuted) {
  const auto It = m_agents.try_emplace(Agent).first;
  Tally &T = It->second;
  const bool WasRefuted = T.m_refuted > 0;
  T.m_faults += Faults;
  T.m_refuted += Refuted;
  const bool IsRefuted = T.m_refuted > 0;
  if (IsRefuted && !WasRefuted)
    ++m_refutedAgents;
  if (WasRefuted && !IsRefuted)
    --m_refutedAgents;
  if (T.m_faults == 0)
    m_agents.erase(It);
}

void FaultLog::add(const std::string &Agent, RunFault F) {
  Entries &Known = m_faults[Agent];
  if (Known.size() >= MaxFaultsPerWorker) {
    removeFromIndices(Agent, Known.front());
    Known.erase(Known.begin());
  }
  const auto Job = m_byJob.try_emplace(F.m_task.m_job).first;
  const auto Task = m_byTask.try_emplace(F.m_task).first;
  const int Refuted = isExcused(F) ? 1 : 0;
  Job->second.add(Agent, 1, Refuted);
  Task->second.add(Agent, 1, Refuted);
  Known.push_back({std::move(F), Job, Task});
}

void FaultLog::setRefuted(const std::string &Agent, Entry &E) {
  const bool WasExcused = isExcused(E.m_fault);
  E.m_fault.m_refuted = true;
  if (WasExcused)
    return;
  E.m_job->second.add(Agent, 0, 1);
  E.m_task->second.add(Agent, 0, 1);
}

void FaultLog::removeFromIndices(const std::string &Agent, const Entry &E) {
  const int Refuted = isExcused(E.m_fault) ? -1 : 0;
  E.m_job->second.add(Agent, -1, Refuted);
  E.m_task->second.add(Agent, -1, Refuted);
  if (E.m_job->second.m_agents.empty())
    m_byJob.erase(E.m_job);
  if (E.m_task->second.m_agents.empty())
    m_byTask.erase(E.m_task);
}

void FaultLog::refute(const std::string &Agent, Millis PlacedAt) {
  const auto It = m_faults.find(Agent);
  if (It == m_faults.end())
    return;
  for (Entry &E : It->second) {
    if (E.m_fault.m_placedAt <= PlacedAt)
      setRefuted(Agent, E);
  }
}

void FaultLog::refuteOutlived(const std::string &Agent, Millis PlacedAt,
                              Millis AgeMs) {
  const auto It = m_faults.find(Agent);
  if (It == m_faults.end())
    return;
  for (Entry &E : It->second) {
    const RunFault &F = E.m_fault;
    if (!F.m_stuck && F.m_placedAt <= PlacedAt && outlives(AgeMs, F))
      setRefuted(Agent, E);
  }
}

std::vector<TaskName> FaultLog::faultySteps(const std::string &Agent,
                                            std::size_t MinTasks) const {
  struct Step {
    std::set<const Spread *> m_tasks;
    const TaskName *m_newest = nullptr;
  };
  std::map<std::pair<const Spread *, int>, Step> Steps; // By job and number.
  for (const Entry &E : entriesOf(Agent)) {
    if (isExcused(E.m_fault))
      continue;
    const TaskName &Name = E.m_fault.m_task;
    Step &S = Steps[{&E.m_job->second, Name.m_step}];
    S.m_tasks.insert(&E.m_task->second);
    S.m_newest = &Name;
  }
  std::vector<TaskName> Out;
  for (const auto &[Key, S] : Steps) {
    if (S.m_tasks.size() >= MinTasks)
      Out.push_back(*S.m_newest);
  }
  return Out;
}

std::size_t FaultLog::faultyTasksAfter(const std::string &Agent,
                                       Millis Since) const {
  std::set<const Spread *> Tasks;
  for (const Entry &E : entriesOf(Agent)) {
    if (!isExcused(E.m_fault) && E.m_fault.m_at > Since)
      Tasks.insert(&E.m_task->second);
  }
  return Tasks.size();
}

void FaultLog::forget(const std::string &Agent) {
  for (const Entry &E : entriesOf(Agent))
    removeFromIndices(Agent, E);
  m_faults.erase(Agent);
}

void FaultLog::prune(Millis Now) {
  for (auto It = m_faults.begin(); It != m_faults.end();) {
    const std::string &Agent = It->first;
    Entries &Known = It->second;
    std::erase_if(Known, [&](const Entry &E) {
      const RunFault &F = E.m_fault;
      if (Now - F.m_at <= FaultWindowMs + WindowPerRun * F.ranMs())
        return false;
      removeFromIndices(Agent, E);
      return true;
    });
    It = Known.empty() ? m_faults.erase(It) : std::next(It);
  }
}

const FaultLog::Entries &FaultLog::entriesOf(const std::string &Agent) const {
  static const Entries None;
  const auto It = m_faults.find(Agent);
  return It == m_faults.end() ? None : It->second;
}

const RunFault *FaultLog::newest(const std::string &Agent) const {
  const Entries &Known = entriesOf(Agent);
  return Known.empty() ? nullptr : &Known.back().m_fault;
}

FaultLog::Cause FaultLog::causeOf(const Entry &E, const std::string &Agent,
                                  WorksElsewhere Works) {
  if (Works == WorksElsewhere::Task)
    return Cause::Worker;
  const Spread &S =
      Works == WorksElsewhere::Step ? E.m_task->second : E.m_job->second;
  if (S.m_agents.size() == 1)
    return Works == WorksElsewhere::Step ? Cause::Worker : Cause::Unknown;
  const std::size_t RefutedHere = S.m_agents.at(Agent).m_refuted > 0 ? 1 : 0;
  return S.m_refutedAgents > RefutedHere ? Cause::Job : Cause::ProbablyJob;
}

WorkerEvidence FaultLog::evidenceAgainst(const std::string &Agent,
                                         Millis PlacedSince,
                                         const CompareRuns &Compare) const {
  WorkerEvidence Out;
  std::set<const Spread *> Counted; // Tasks.
  // Job and step; of these nothing works on other workers.
  std::set<std::pair<const Spread *, int>> StepsThatFail;
  std::set<const Spread *> Unknown; // Jobs.
  std::set<const Spread *> ProbablyJob;
  for (const Entry &E : entriesOf(Agent)) {
    if (Out.m_proven >= MaxProven)
      break;
    const RunFault &F = E.m_fault;
    const Spread *Job = &E.m_job->second;
    const std::pair Step(Job, F.m_task.m_step);
    if (isExcused(F) || F.m_placedAt < PlacedSince ||
        StepsThatFail.contains(Step) ||
        !Counted.insert(&E.m_task->second).second)
      continue;
    const RunsElsewhere Others = Compare(F, Agent);
    WorksElsewhere Works = Others.m_works;
    // A slow task seems to stand still now and then, on any worker. That it has
    // just progressed on another one proves nothing.
    const bool Widespread =
        Job->m_agents.size() * WorkingPerFaulty > Others.m_agents;
    if (Widespread && (Works == WorksElsewhere::Step || F.m_stuck))
      Works = WorksElsewhere::Nothing;
    if (Works == WorksElsewhere::Nothing)
      StepsThatFail.insert(Step);
    switch (causeOf(E, Agent, Works)) {
    case Cause::Worker:
      Out.m_proven += F.m_stuck ? StuckWeight : 1;
      break;
    case Cause::Unknown:
      Unknown.insert(Job);
      break;
    case Cause::ProbablyJob:
      ProbablyJob.insert(Job);
      break;
    case Cause::Job:
      break;
    }
  }
  Out.m_unproven =
      static_cast<int>(Unknown.size() + ProbablyJob.size() / JobsPerDoubt) +
      earlyEnds(Agent, PlacedSince, Compare) / EarlyEndsPerDoubt;
  return Out;
}

// Counts the newest tasks in a row that failed at work much earlier than others
// do. A run that lasts on this worker ends the series.
int FaultLog::earlyEnds(const std::string &Agent, Millis PlacedSince,
                        const CompareRuns &Compare) const {
  int Out = 0;
  const Entries &Known = entriesOf(Agent);
  for (auto It = Known.rbegin(); It != Known.rend(); ++It) {
    const RunFault &F = It->m_fault;
    if (!F.m_atWork)
      continue;
    if (Out >= MaxEarlyEnds || F.m_refuted || F.m_placedAt < PlacedSince ||
        Compare(F, Agent).m_works == WorksElsewhere::Nothing)
      break;
    ++Out;
  }
  return Out;
}

} // namespace pomelokeel::batch
