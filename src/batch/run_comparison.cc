#include "batch/run_comparison.h"

#include <algorithm>
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

void RunComparison::add(const Task &T, Achievements &Out) const {
  if (T.m_phase == TaskPhase::Done)
    Out.m_done.add(T.m_agent, 0);
  if (T.m_phase != TaskPhase::Placed || !T.m_running ||
      T.m_stop != StopReason::None)
    return;
  const Millis AgeMs = m_now - T.m_placedAt;
  const bool Matters = Out.m_ageMs.isChangedBy(AgeMs) ||
                       Out.m_progressAt.isChangedBy(T.m_progressAt);
  if (!Matters || !m_isReachable(T.m_agent))
    return;
  Out.m_ageMs.add(T.m_agent, AgeMs);
  Out.m_progressAt.add(T.m_agent, T.m_progressAt);
}

bool RunComparison::works(const Achievements &Of, const RunFault &F,
                          const std::string &Agent) const {
  if (Of.m_done.without(Agent) >= 0)
    return true;
  const Millis ProgressAt = Of.m_progressAt.without(Agent);
  return F.m_stuck ? ProgressAt >= 0 && m_now - ProgressAt < RecentProgressMs
                   : outlives(Of.m_ageMs.without(Agent), F);
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

WorksElsewhere RunComparison::compare(const RunFault &F,
                                      const std::string &Agent) {
  const Task *Faulty = findTask(m_jobs, F.m_task);
  if (Faulty == nullptr)
    return WorksElsewhere::Nothing;
  if (F.m_atWork)
    return mostOutlive(F) ? WorksElsewhere::Step : WorksElsewhere::Nothing;
  Achievements OfTask;
  add(*Faulty, OfTask);
  if (works(OfTask, F, Agent))
    return WorksElsewhere::Task;
  const JobState &J = m_jobs.at(F.m_task.m_job);
  TaskName Name = F.m_task;
  if (works(ofStep(J, Name), F, Agent))
    return WorksElsewhere::Step;
  // The occurrence before may have shown that the step works.
  if (--Name.m_occurrence >= 0 && works(ofStep(J, Name), F, Agent))
    return WorksElsewhere::Step;
  return WorksElsewhere::Nothing;
}

} // namespace pomelokeel::batch
