#include "batch/run_comparison.h"

#include <algorithm>
#include <string_view>
#include <utility>
#include <vector>

namespace pomelokeel::batch {
namespace {

/// A run that has made no progress for this long does not show that a stuck
/// one is unusual.
constexpr Millis RecentProgressMs = 4000;

const std::vector<Task> &tasksOfStep(const JobState &J, const TaskName &Name) {
  const Occurrence &O =
      J.m_progress.m_occurrences[static_cast<std::size_t>(Name.m_occurrence)];
  return O[static_cast<std::size_t>(Name.m_step)];
}

// When the run last progressed, or -1 if it has not since its start.
Millis progressedAt(const Task &T) {
  return T.m_percent != T.m_firstPercent ? T.m_progressAt : -1;
}

} // namespace

void RunComparison::Highest::add(const std::string &Agent, Millis Value) {
  if (Agent == m_agent) {
    m_first = std::max(m_first, Value);
  } else if (Value > m_first) {
    m_second = std::exchange(m_first, Value);
    m_agent = Agent;
  } else {
    m_second = std::max(m_second, Value);
  }
}

// The reachability of the agent is not checked.
bool RunComparison::isAtWork(const Task &T) const {
  return T.m_phase == TaskPhase::Placed && T.m_running &&
         T.m_stop == StopReason::None;
}

void RunComparison::add(const Task &T, Achievements &Out) const {
  if (T.m_phase == TaskPhase::Done)
    Out.m_done.add(T.m_agent, 0);
  if (!isAtWork(T))
    return;
  const Millis AgeMs = m_now - T.m_placedAt;
  const Millis ProgressAt = progressedAt(T);
  const bool Matters = Out.m_ageMs.isChangedBy(AgeMs) ||
                       Out.m_progressAt.isChangedBy(ProgressAt);
  if (!Matters || !m_isReachable(T.m_agent))
    return;
  Out.m_ageMs.add(T.m_agent, AgeMs);
  Out.m_progressAt.add(T.m_agent, ProgressAt);
}

bool RunComparison::hasRecentProgress(Millis ProgressAt) const {
  return ProgressAt >= 0 && m_now - ProgressAt < RecentProgressMs;
}

bool RunComparison::works(const Achievements &Of, const RunFault &F,
                          const std::string &Agent) const {
  if (Of.m_done.without(Agent) >= 0)
    return true;
  return F.m_stuck ? hasRecentProgress(Of.m_progressAt.without(Agent))
                   : outlives(Of.m_ageMs.without(Agent), F);
}

const RunComparison::AgentsAtWork &
RunComparison::agentsOfStep(const JobState &J, const TaskName &Name) {
  const auto [It, New] =
      m_agentsOfSteps.try_emplace({Name.m_job, Name.m_occurrence, Name.m_step});
  AgentsAtWork &Out = It->second;
  if (!New)
    return Out;
  struct Highest {
    bool m_done = false;
    Millis m_ageMs = -1;
    Millis m_progressAt = -1;
  };
  std::map<std::string_view, Highest> ByAgent;
  for (const Task &T : tasksOfStep(J, Name)) {
    if (T.m_phase == TaskPhase::Done)
      ByAgent[T.m_agent].m_done = true;
    if (!isAtWork(T))
      continue;
    Highest &H = ByAgent[T.m_agent];
    H.m_ageMs = std::max(H.m_ageMs, m_now - T.m_placedAt);
    H.m_progressAt = std::max(H.m_progressAt, progressedAt(T));
  }
  for (const auto &[Agent, H] : ByAgent) {
    if (H.m_done) {
      ++Out.m_done;
    } else if (m_isReachable(std::string(Agent))) {
      Out.m_agesMs.push_back(H.m_ageMs);
      Out.m_progressAt.push_back(H.m_progressAt);
    }
  }
  std::sort(Out.m_agesMs.rbegin(), Out.m_agesMs.rend());
  std::sort(Out.m_progressAt.rbegin(), Out.m_progressAt.rend());
  return Out;
}

std::size_t RunComparison::countAgents(const AgentsAtWork &Of,
                                       const RunFault &F) const {
  const auto Count = [](const std::vector<Millis> &Descending, auto Works) {
    return static_cast<std::size_t>(
        std::partition_point(Descending.begin(), Descending.end(), Works) -
        Descending.begin());
  };
  if (F.m_stuck)
    return Of.m_done + Count(Of.m_progressAt,
                             [&](Millis At) { return hasRecentProgress(At); });
  return Of.m_done +
         Count(Of.m_agesMs, [&](Millis AgeMs) { return outlives(AgeMs, F); });
}

const RunComparison::Achievements &RunComparison::ofStep(const JobState &J,
                                                         const TaskName &Name) {
  const auto [It, New] =
      m_steps.try_emplace({Name.m_job, Name.m_occurrence, Name.m_step});
  if (New) {
    for (const Task &T : tasksOfStep(J, Name))
      add(T, It->second);
  }
  return It->second;
}

// Compares with the median, as some tasks that fail at random outlive most.
bool RunComparison::mostOutlive(const RunFault &F) {
  const TaskName &Name = F.m_task;
  const auto [It, New] = m_medianAgesMs.try_emplace(
      {Name.m_job, Name.m_occurrence, Name.m_step}, 0);
  if (New) {
    std::vector<Millis> AgesMs;
    for (const Task &T : tasksOfStep(m_jobs.at(Name.m_job), Name)) {
      if (T.m_phase == TaskPhase::Placed && T.m_running)
        AgesMs.push_back(m_now - T.m_placedAt);
    }
    const auto Middle =
        AgesMs.begin() + static_cast<std::ptrdiff_t>(AgesMs.size() / 2);
    if (Middle != AgesMs.end()) {
      std::nth_element(AgesMs.begin(), Middle, AgesMs.end());
      It->second = *Middle;
    }
  }
  return outlives(It->second, F);
}

RunsElsewhere RunComparison::compare(const RunFault &F,
                                     const std::string &Agent) {
  const Task *Faulty = findTask(m_jobs, F.m_task);
  if (Faulty == nullptr)
    return {};
  if (F.m_atWork)
    return {mostOutlive(F) ? WorksElsewhere::Step : WorksElsewhere::Nothing, 0};
  Achievements OfTask;
  add(*Faulty, OfTask);
  const JobState &J = m_jobs.at(F.m_task.m_job);
  if (works(OfTask, F, Agent))
    return {WorksElsewhere::Task, countAgents(agentsOfStep(J, F.m_task), F)};
  // The occurrence before may have shown that the step works.
  for (TaskName Name = F.m_task;
       Name.m_occurrence >= 0 && Name.m_occurrence + 1 >= F.m_task.m_occurrence;
       --Name.m_occurrence) {
    if (works(ofStep(J, Name), F, Agent))
      return {WorksElsewhere::Step, countAgents(agentsOfStep(J, Name), F)};
  }
  return {};
}

} // namespace pomelokeel::batch
