#pragma once

#include "base/fields.h"
#include "batch/placement.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace pomelokeel::batch {

/// Slowness of a worker that is known to be slow, but not by how much.
constexpr double UsualSlowness = 1.3;

/// What the journal keeps of a worker's speed.
struct SpeedRecord {
  std::string m_workerIncarnation;
  double m_slowness = 1;
  std::int64_t m_evidence = 0; ///< Number of runs that it is based on.

  static constexpr auto fields() {
    return std::tuple{base::required("life", &SpeedRecord::m_workerIncarnation),
                      base::required("slowness", &SpeedRecord::m_slowness),
                      base::optional("evidence", &SpeedRecord::m_evidence)};
  }
};

/// What is known of the speed of one worker.
struct SpeedEstimate {
  double m_slowness = 1; ///< Run time relative to a usual worker.
  bool m_slow = false;
  std::int64_t m_evidence = 0; ///< Runs and gangs that it is based on.
  std::int64_t m_jobs = 0;     ///< Jobs whose runs speak for a slow worker.
};

/// Learns which workers are slow from the time that their runs take.
///
/// For each worker it keeps the log odds of being slow against usual. A task's
/// run is compared with the runs of the same step on other workers. A gang is
/// as slow as its slowest member; its time relative to the declared estimate is
/// compared with the other gangs of the queue. Since the speed of the others is
/// estimated too, all estimates are computed together from the recent runs.
class WorkerSpeeds {
public:
  /// Adds the expected or final run time of a task's first run, replacing an
  /// earlier one. Must not be called for resumed runs.
  void addTask(const std::string &Agent, const TaskName &Name, double RunMs,
               Millis Now);

  /// Adds a gang's run time relative to its declared estimate, replacing an
  /// earlier one. \p Name names any of its tasks.
  void addGang(const std::vector<std::string> &Agents, const TaskName &Name,
               const std::string &Queue, double Ratio, Millis Now);

  /// Sets what an earlier leader had learned. Later runs outweigh it soon.
  void restore(const std::string &Agent, const SpeedRecord &R);

  /// To be called for a new incarnation of a worker on the same machine: the
  /// estimate stays, but later runs outweigh it soon.
  void renew(const std::string &Agent);

  void forget(const std::string &Agent);

  /// Computes the estimates. Returns the agents whose worker has become slow or
  /// usual.
  std::vector<std::string> update(Millis Now);

  SpeedEstimate of(const std::string &Agent) const;

  /// Number of runs and gangs that update() considers.
  std::size_t sampleCount() const;

  const std::map<std::string, SpeedEstimate> &all() const {
    return m_estimates;
  }

private:
  struct Sample {
    std::string m_agent;
    double m_logMs = 0;

    Millis m_at = 0;
  };
  struct GangSample {
    std::vector<std::string> m_agents; ///< Sorted, without duplicates.
    double m_logRatio = 0;
    std::string m_job;
    Millis m_at = 0;
  };
  /// Knowledge from before the samples.
  struct Prior {
    double m_odds = 0;
    double m_slowness = 1;
    std::int64_t m_jobs = 0;
    Millis m_since = 0; ///< Samples of earlier runs do not count.
  };
  struct Worker;
  struct Event;
  using Workers = std::unordered_map<std::string_view, Worker>;
  using StepKey = std::tuple<std::string, int, int>;

  void prune(Millis Now);
  void addTaskEvents(Workers &All, double Offset) const;
  void addGangEvents(Workers &All) const;
  void judge(Worker &W) const;

  /// By job, occurrence and step, then by task.
  std::map<StepKey, std::map<int, Sample>> m_steps;
  /// By queue, then by job, occurrence and step.
  std::map<std::string, std::map<StepKey, GangSample>> m_gangs;
  std::map<std::string, Prior> m_priors;
  std::map<std::string, double> m_odds; ///< Of the last update, by agent.
  std::map<std::string, SpeedEstimate> m_estimates;
  /// Share of slow workers in the fleet, as assumed until it is learned.
  double m_share = 0.25;
  Millis m_now = 0;
};

} // namespace pomelokeel::batch
