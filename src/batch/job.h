#pragma once

#include "base/clock.h"
#include "base/fields.h"
#include "base/names.h"

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

/// Jobs made of steps that depend on one another, and the decisions about them.
/// Nothing here has a socket or a clock; times are passed in.
namespace pomelokeel::batch {

using base::Millis;

/// What a task occupies on a worker, or a worker offers.
struct Resources {
  std::int64_t m_milliCores = 0;
  std::int64_t m_memoryMb = 0;
  std::int64_t m_accelerators = 0;

  bool operator==(const Resources &) const = default;

  static constexpr auto fields() {
    return std::tuple{
        base::optional("milliCores", &Resources::m_milliCores),
        base::optional("memoryMb", &Resources::m_memoryMb),
        base::optional("accelerators", &Resources::m_accelerators)};
  }
};

inline Resources operator+(const Resources &A, const Resources &B) {
  return {A.m_milliCores + B.m_milliCores, A.m_memoryMb + B.m_memoryMb,
          A.m_accelerators + B.m_accelerators};
}

inline Resources operator-(const Resources &A, const Resources &B) {
  return {A.m_milliCores - B.m_milliCores, A.m_memoryMb - B.m_memoryMb,
          A.m_accelerators - B.m_accelerators};
}

/// True if \p Need is within \p Free in every dimension.
inline bool fits(const Resources &Need, const Resources &Free) {
  return Need.m_milliCores <= Free.m_milliCores &&
         Need.m_memoryMb <= Free.m_memoryMb &&
         Need.m_accelerators <= Free.m_accelerators;
}

/// Tasks that are alike. They start when all tasks of the steps `after` are
/// done.
struct Step {
  std::int64_t m_count = 1;
  Resources m_each;
  Millis m_estimateMs = 0; ///< As declared; may be far off.
  std::vector<int> m_after;
  bool m_checkpoints = false;
  bool m_gang = false;      ///< All tasks run at the same time or none does.
  bool m_rackLocal = false; ///< Much slower on more than one rack.
  std::string m_label;      ///< Label that the worker must have, or "".
  std::string m_dataRack;   ///< Much slower on other racks, unless "".
  std::int64_t m_perWorker = 0; ///< Most tasks on one worker; 0: any number.
  bool m_speculative = false;
  bool m_longRunning = false; ///< Runs until cancelled, restarted when it ends.
  std::string m_image;
  Millis m_targetMs = 0;     ///< Tail latency of a long-running task, or 0.
  bool m_bestEffort = false; ///< Its cores do not count.
  std::int64_t m_mayBeAway = 0;

  static constexpr auto fields() {
    return std::tuple{base::required("count", &Step::m_count),
                      base::optional("each", &Step::m_each),
                      base::optional("estimateMs", &Step::m_estimateMs),
                      base::optional("after", &Step::m_after),
                      base::optional("checkpoints", &Step::m_checkpoints),
                      base::optional("gang", &Step::m_gang),
                      base::optional("rackLocal", &Step::m_rackLocal),
                      base::optional("label", &Step::m_label),
                      base::optional("dataRack", &Step::m_dataRack),
                      base::optional("perWorker", &Step::m_perWorker),
                      base::optional("speculative", &Step::m_speculative),
                      base::optional("longRunning", &Step::m_longRunning),
                      base::optional("image", &Step::m_image),
                      base::optional("targetMs", &Step::m_targetMs),
                      base::optional("bestEffort", &Step::m_bestEffort),
                      base::optional("mayBeAway", &Step::m_mayBeAway)};
  }
};

/// What a task of \p S takes from its worker's capacity.
Resources chargeOf(const Step &S);

/// The part of a queue's configuration that a job keeps from its acceptance.
struct Queue {
  std::string m_name;
  std::string m_service; ///< Names the workers that run its tasks.
  int m_priority = 0;    ///< 0 is the most urgent.
  int m_attempts = 1;    ///< Runs of a task that may end failed.
  double m_stretch = 1;  ///< Objective: this times the longest chain of work,
  Millis m_slackMs = 0;  ///< and this.

  static constexpr auto fields() {
    return std::tuple{base::required("name", &Queue::m_name),
                      base::required("service", &Queue::m_service),
                      base::optional("priority", &Queue::m_priority),
                      base::optional("attempts", &Queue::m_attempts),
                      base::optional("stretch", &Queue::m_stretch),
                      base::optional("slackMs", &Queue::m_slackMs)};
  }
};

/// A job as submitted. Does not change after its acceptance.
struct JobSpec {
  std::string m_id;
  Queue m_queue;
  std::string m_account;
  std::string m_payload;
  std::vector<Step> m_steps;
  std::int64_t m_times = 0; ///< Occurrences of a recurring job, or 0.
  Millis m_firstMs = 0;     ///< Wall clock time when occurrence 0 is due.
  Millis m_intervalMs = 0;
  Millis m_acceptedMs = 0; ///< Wall clock time at the leader.

  static constexpr auto fields() {
    return std::tuple{base::required("id", &JobSpec::m_id),
                      base::required("queue", &JobSpec::m_queue),
                      base::required("account", &JobSpec::m_account),
                      base::required("payload", &JobSpec::m_payload),
                      base::required("steps", &JobSpec::m_steps),
                      base::optional("times", &JobSpec::m_times),
                      base::optional("firstMs", &JobSpec::m_firstMs),
                      base::optional("intervalMs", &JobSpec::m_intervalMs),
                      base::optional("acceptedMs", &JobSpec::m_acceptedMs)};
  }
};

/// Checks \p S on its own: steps refer to earlier ones, counts are positive and
/// within limits. Error: badRequest, outOfRange or tooLarge.
base::Status check(const JobSpec &S);

/// A task's position in its job: `ID.occurrence.step.index`.
struct TaskName {
  std::string m_job;
  int m_occurrence = 0;
  int m_step = 0;
  int m_index = 0;

  auto operator<=>(const TaskName &) const = default;
};

std::string toString(const TaskName &Name);
std::optional<TaskName> parseTaskName(std::string_view Text);

enum class TaskPhase { Waiting, Placed, Done };

/// Why the leader wants a placed run to end.
enum class StopReason { None, Cancelled, Preempted, Drain, Broken, Unwanted };

/// One task. The fields of the table are stored; the others are the leader's
/// memory of the current run.
struct Task {
  TaskPhase m_phase = TaskPhase::Waiting;
  int m_run = 0; ///< Highest run number that was issued.
  int m_failures = 0;
  std::string m_saved; ///< Newest checkpoint, or "".
  std::string m_agent; ///< Of the current run.
  std::string m_life;  ///< Worker and its incarnation, of the current run.
  int m_failedRun = 0; ///< Newest run of a gang that was counted as failed.

  std::string m_text;        ///< Its name, while it is placed.
  std::uint64_t m_batch = 0; ///< Journal batch that carries the placement.
  StopReason m_stop = StopReason::None;
  bool m_seen = false;    ///< An agent has reported the current run.
  bool m_running = false; ///< The worker has listed the current run.
  Millis m_placedAt = 0;
  Millis m_startSentAt = -1;
  Millis m_stopSentAt = -1;
  Millis m_seenAt = 0; ///< When its progress last changed.
  int m_percent = 0;
  int m_firstPercent = 0; ///< When it was first seen at work.
  Millis m_firstSeenAt = 0;
  std::vector<std::string> m_avoid; ///< Agents whose workers failed it.

  static constexpr auto fields() {
    return std::tuple{base::required("phase", &Task::m_phase),
                      base::optional("run", &Task::m_run),
                      base::optional("failures", &Task::m_failures),
                      base::optional("saved", &Task::m_saved),
                      base::optional("agent", &Task::m_agent),
                      base::optional("life", &Task::m_life),
                      base::optional("failedRun", &Task::m_failedRun)};
  }
};

enum class JobPhase { Queued, Running, Done, Failed, Cancelled };

/// Tasks by step and index.
using Occurrence = std::vector<std::vector<Task>>;

/// What changes of a job after its acceptance. Stored.
struct Progress {
  JobPhase m_phase = JobPhase::Queued;
  Millis m_endedMs = 0; ///< Wall clock time of the end, or 0.
  std::vector<Occurrence> m_occurrences;

  static constexpr auto fields() {
    return std::tuple{base::required("phase", &Progress::m_phase),
                      base::optional("endedMs", &Progress::m_endedMs),
                      base::optional("occurrences", &Progress::m_occurrences)};
  }
};

/// Calls \p Visit with occurrence, step, index and each task of \p P.
template <typename P, typename F> void forEachTask(P &Of, F Visit) {
  int K = 0;
  for (auto &Steps : Of.m_occurrences) {
    int S = 0;
    for (auto &Tasks : Steps) {
      int I = 0;
      for (auto &T : Tasks)
        Visit(K, S, I++, T);
      ++S;
    }
    ++K;
  }
}

constexpr bool isEnded(JobPhase P) { return P >= JobPhase::Done; }

/// Tasks of a new occurrence of \p S.
Occurrence makeOccurrence(const JobSpec &S);

/// True if all tasks of the steps that \p Step comes after are done.
bool isReady(const JobSpec &S, const Occurrence &O, int Step);

bool isDone(const Occurrence &O);

/// Declared length of the longest chain of steps in ms.
Millis chainMs(const JobSpec &S);

} // namespace pomelokeel::batch

namespace pomelokeel::base {

template <> struct NameTable<batch::TaskPhase> {
  static constexpr std::array<std::string_view, 3> Names = {"waiting", "placed",
                                                            "done"};
};
template <> struct NameTable<batch::JobPhase> {
  static constexpr std::array<std::string_view, 5> Names = {
      "queued", "running", "done", "failed", "cancelled"};
};
template <> struct NameTable<batch::StopReason> {
  static constexpr std::array<std::string_view, 6> Names = {
      "none", "cancelled", "preempted", "drain", "broken", "unwanted"};
};

} // namespace pomelokeel::base
