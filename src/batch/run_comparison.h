#pragma once

#include "batch/fault_log.h"
#include "batch/job_table.h"

#include <functional>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace pomelokeel::batch {

/// Compares faults with the other runs of their step at one moment. How often
/// it looks at the tasks of a step does not depend on the number of its faults.
class RunComparison {
public:
  /// True if the agent can be heard, so that its runs are at work.
  using IsReachable = std::function<bool(const std::string &Agent)>;

  /// \p Jobs must outlive it.
  RunComparison(const JobTable &Jobs, IsReachable R, Millis Now)
      : m_jobs(Jobs), m_isReachable(std::move(R)), m_now(Now) {}

  RunsElsewhere compare(const RunFault &F, const std::string &Agent);

private:
  /// The highest values of two agents.
  class Highest {
  public:
    void add(const std::string &Agent, Millis Value);
    /// False if adding \p Value has no effect, for any agent.
    bool isChangedBy(Millis Value) const { return Value > m_second; }
    /// The highest value of any agent but \p Agent, or -1.
    Millis without(const std::string &Agent) const {
      return Agent == m_agent ? m_second : m_first;
    }

  private:
    std::string m_agent; ///< Of m_first.
    Millis m_first = -1;
    Millis m_second = -1; ///< Of another agent.
  };

  /// What the tasks of one step, or one task, have achieved.
  struct Achievements {
    Highest m_done;       ///< 0 for an agent on which a task is done.
    Highest m_ageMs;      ///< Of runs at work.
    Highest m_progressAt; ///< Of runs at work that have progressed.
  };

  /// The agents on which tasks of one step are done, and the highest values of
  /// the others, in descending order.
  struct AgentsAtWork {
    std::size_t m_done = 0;
    std::vector<Millis> m_agesMs;
    std::vector<Millis> m_progressAt;
  };

  void add(const Task &T, Achievements &Out) const;
  bool works(const Achievements &Of, const RunFault &F,
             const std::string &Agent) const;
  const Achievements &ofStep(const JobState &J, const TaskName &Name);
  bool isAtWork(const Task &T) const;
  const AgentsAtWork &agentsOfStep(const JobState &J, const TaskName &Name);
  std::size_t countAgents(const AgentsAtWork &Of, const RunFault &F) const;
  bool hasRecentProgress(Millis ProgressAt) const;
  bool mostOutlive(const RunFault &F);

  const JobTable &m_jobs;
  IsReachable m_isReachable;
  Millis m_now;
  using StepKey = std::tuple<std::string, int, int>; ///< Job, occurrence, step.
  std::map<StepKey, Achievements> m_steps;
  std::map<StepKey, AgentsAtWork> m_agentsOfSteps; ///< Filled when needed.
  std::map<StepKey, Millis> m_medianAgesMs;        ///< Of runs at work.
};

} // namespace pomelokeel::batch
