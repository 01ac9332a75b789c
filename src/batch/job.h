#pragma once

#include "base/clock.h"
#include "base/fields.h"
#include "base/names.h"

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

/// Jobs, which consist of dependent steps, and the decisions about them. Code
/// in this namespace uses no sockets and reads no clock; callers pass the time.
namespace pomelokeel::batch {

using base::Millis;

/// Resources that a task needs or a worker has.
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

/// Most steps of a job, so that its stored progress fits into one record of the
/// journal.
constexpr std::size_t MaxSteps = 64;

/// A set of identical tasks. They can start when all tasks of the steps in
/// m_dependencies are done.
struct Step {
  std::int64_t m_count = 1; ///< Number of tasks.
  Resources m_each;         ///< Needed by each task.
  /// Run time that the caller declared; may be far off.
  Millis m_estimateMs = 0;
  std::vector<int> m_dependencies; ///< Indices of earlier steps.
  bool m_checkpoints = false;      ///< Its tasks save checkpoints.
  bool m_gang = false;      ///< Either all tasks run at the same time or none.
  bool m_rackLocal = false; ///< Much slower if spread over several racks.
  std::string m_label;      ///< Label that the worker must have, or "".
  std::string m_dataRack;   ///< Much slower on other racks, unless "".
  /// Maximum number of tasks on one worker; 0: no limit.
  std::int64_t m_perWorker = 0;
  bool m_speculative = false;
  bool m_longRunning = false; ///< Runs until cancelled, restarted when it ends.
  std::string m_image;
  Millis m_targetMs = 0;     ///< Tail latency of a long-running task, or 0.
  bool m_bestEffort = false; ///< Its cores are not charged to the worker.
  std::int64_t m_maxUnavailable = 0; ///< Declared by the caller; not enforced.

  static constexpr auto fields() {
    return std::tuple{base::required("count", &Step::m_count),
                      base::optional("each", &Step::m_each),
                      base::optional("estimateMs", &Step::m_estimateMs),
                      base::optional("after", &Step::m_dependencies),
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
                      base::optional("mayBeAway", &Step::m_maxUnavailable)};
  }
};

/// Resources that a task of \p S is charged for on its worker: those of the
/// step, without the cores if it is best effort.
Resources allocationOf(const Step &S);

/// The part of a queue's configuration that a job copies when it is accepted.
struct Queue {
  std::string m_name;
  std::string m_service; ///< Service of the workers that run its tasks.
  int m_priority = 0;    ///< 0 is the most urgent.
  int m_attempts = 1;    ///< Maximum number of failed runs of a task.
  /// Objective of a job's completion time: m_stretch times its critical path
  /// plus m_slackMs.
  double m_stretch = 1;
  Millis m_slackMs = 0;

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
  std::int64_t m_occurrenceCount = 0; ///< Occurrences of a recurring job, or 0.
  Millis m_firstMs = 0; ///< Wall clock time at which occurrence 0 is due.
  Millis m_intervalMs = 0;
  Millis m_acceptedMs = 0; ///< Wall clock time of acceptance at the leader.

  static constexpr auto fields() {
    return std::tuple{base::required("id", &JobSpec::m_id),
                      base::required("queue", &JobSpec::m_queue),
                      base::required("account", &JobSpec::m_account),
                      base::required("payload", &JobSpec::m_payload),
                      base::required("steps", &JobSpec::m_steps),
                      base::optional("times", &JobSpec::m_occurrenceCount),
                      base::optional("firstMs", &JobSpec::m_firstMs),
                      base::optional("intervalMs", &JobSpec::m_intervalMs),
                      base::optional("acceptedMs", &JobSpec::m_acceptedMs)};
  }
};

/// Checks \p S by itself: steps depend only on earlier steps, and counts are
/// positive and within limits. Error: badRequest, outOfRange or tooLarge.
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

/// Why the leader stops a placed run. Broken: another task of its gang ended or
/// is being stopped. Stalled: it did not start in time or makes no progress.
/// Evacuated: it had not started when its data centre was to be evacuated.
enum class StopReason {
  None,
  Cancelled,
  Preempted,
  Drain,
  Broken,
  Stalled,
  Evacuated
};

/// A worker on which a task failed or stalled.
struct AvoidedWorker {
  std::string m_agent;
  std::string m_workerIncarnation;
  Millis m_failedAt = 0; ///< When it last failed or was found stalled there.
};

/// One task. The members in fields() are stored; the others describe the
/// current run and are kept only in the memory of the leader.
struct Task {
  TaskPhase m_phase = TaskPhase::Waiting;
  int m_run = 0; ///< Highest run number assigned so far.
  int m_failures = 0;
  std::string m_checkpoint;        ///< Newest checkpoint, or "".
  std::string m_agent;             ///< Agent of the current run.
  std::string m_workerIncarnation; ///< Of the current run.
  int m_failedRun = 0;   ///< Newest run of a gang that was counted as failed.
  int m_preemptions = 0; ///< Runs that were stopped for more urgent ones.

  /// Its TaskName as text, set once it is first needed.
  std::string m_fullName;
  /// Number of the journal batch with the placement.
  std::uint64_t m_batch = 0;
  StopReason m_stop = StopReason::None;
  bool m_reported = false; ///< An agent has reported the current run.
  bool m_running = false;  ///< The worker has listed the current run.
  Millis m_placedAt = 0;
  Millis m_startSentAt = -1;
  Millis m_stopSentAt = -1;
  Millis m_progressAt = 0; ///< When its progress last changed.
  int m_percent = 0;
  int m_firstPercent = 0;   ///< m_percent when first reported as running.
  Millis m_firstSeenAt = 0; ///< When first reported as running.
  /// Workers on which it, or several tasks of its step, failed or stalled.
  std::vector<AvoidedWorker> m_avoid;

  static constexpr auto fields() {
    return std::tuple{base::required("phase", &Task::m_phase),
                      base::optional("run", &Task::m_run),
                      base::optional("failures", &Task::m_failures),
                      base::optional("saved", &Task::m_checkpoint),
                      base::optional("agent", &Task::m_agent),
                      base::optional("life", &Task::m_workerIncarnation),
                      base::optional("failedRun", &Task::m_failedRun),
                      base::optional("preemptions", &Task::m_preemptions)};
  }
};

enum class JobPhase { Queued, Running, Done, Failed, Cancelled };

/// Tasks of one execution of a job, by step and index.
using Occurrence = std::vector<std::vector<Task>>;

/// The state of a job that changes after its acceptance. Stored.
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

/// Stands for a job that was cancelled before its submission arrived, so that
/// the submission is refused.
struct Tombstone {
  Millis m_cancelledMs = 0; ///< Wall clock time.
  std::string m_account;    ///< Of the caller, or "" if not known.
  /// Number of the journal batch that stores it; 0 if it is stored.
  std::uint64_t m_batch = 0;

  static constexpr auto fields() {
    return std::tuple{base::required("cancelledMs", &Tombstone::m_cancelledMs),
                      base::optional("account", &Tombstone::m_account)};
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

/// Makes the tasks of a new occurrence of \p S.
Occurrence makeOccurrence(const JobSpec &S);

/// True if all tasks of the steps that \p Step depends on are done.
bool isReady(const JobSpec &S, const Occurrence &O, int Step);

bool isDone(const Occurrence &O);

/// Length of the critical path in ms: the largest sum of declared estimates
/// along a chain of dependent steps.
Millis criticalPathMs(const JobSpec &S);

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
  static constexpr std::array<std::string_view, 7> Names = {
      "none",   "cancelled", "preempted", "drain",
      "broken", "unwanted",  "evacuated"};
};

} // namespace pomelokeel::base
