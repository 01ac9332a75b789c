#pragma once

#include "model/task.h"
#include "standin/standin.h"

#include <list>
#include <set>

namespace pomelokeel::standin {

struct WorkerOptions {
  std::string m_listen = "127.0.0.1:0";
  /// A start that exceeds the accelerators or the slots is counted as a misfit
  /// but not refused.
  int m_accelerators = 8;
  int m_slots = 8; ///< Number of tasks that fit at the same time.
};

/// Faults that the worker stand-in simulates. `POST /faults` replaces all of
/// them.
struct WorkerFaults {
  bool m_failAll = false; ///< Tasks fail as soon as they begin to run.
  /// Requests have no effect and are never answered; tasks run on.
  bool m_freeze = false;
  bool m_refuse = false; ///< Requests have no effect and get status 503.
  Millis m_delayMs = 0;  ///< Delay of answers; effects are not delayed.
  /// How many of the next task starts take effect without an answer; their
  /// connections are closed. Counts down.
  int m_loseStartAnswers = 0;

  static constexpr auto fields() {
    return std::tuple{
        base::optional("failAll", &WorkerFaults::m_failAll),
        base::optional("freeze", &WorkerFaults::m_freeze),
        base::optional("refuse", &WorkerFaults::m_refuse),
        base::optional("delayMs", &WorkerFaults::m_delayMs),
        base::optional("loseStartAnswers", &WorkerFaults::m_loseStartAnswers)};
  }
};

/// One event in the answer of `GET /history`: a task began to run or ended.
struct HistoryEvent {
  std::string m_task;
  std::string m_event; ///< "start" or "end".
  /// Monotonic time, comparable between all processes of the machine.
  Millis m_atMs = 0;
  std::vector<int> m_accelerators;
  model::TaskState m_state = model::TaskState::Running;
  bool m_everRan = false;

  static constexpr auto fields() {
    return std::tuple{
        base::required("task", &HistoryEvent::m_task),
        base::required("event", &HistoryEvent::m_event),
        base::required("atMs", &HistoryEvent::m_atMs),
        base::required("accelerators", &HistoryEvent::m_accelerators),
        base::required("state", &HistoryEvent::m_state),
        base::required("everRan", &HistoryEvent::m_everRan)};
  }
};

/// Answer of `GET /history`.
struct History {
  std::vector<HistoryEvent> m_events;
  /// Number of starts that did not fit: no slot was free, or an accelerator was
  /// in use or does not exist.
  int m_misfits = 0;

  static constexpr auto fields() {
    return std::tuple{base::required("events", &History::m_events),
                      base::required("misfits", &History::m_misfits)};
  }
};

/// Stand-in of a worker. Its protocol is in docs/design.md, section 5. The
/// payload of a task says how the task behaves; all fields are optional:
/// - "runMs": run time until the task ends, 0 if missing
/// - "fail": true makes it fail at its end
/// - "answer": what it answers if it succeeds, the payload itself if missing
/// - "exitAfterMs": makes it fail after that run time if "runMs" is longer
/// - "checkpoint": a checkpoint from which it continues
/// - "cores", "memoryMb": its reported usage, 1 and 256 if missing
class WorkerStandin : public Standin {
public:
  explicit WorkerStandin(const WorkerOptions &Options = {});
  ~WorkerStandin() override { stop(); }

  void setFaults(const WorkerFaults &Faults);
  History history() const;

private:
  struct Task {
    model::TaskInfo m_info;
    Json m_payload;
    Json m_metadata;
    double m_endAfterMs = 0; ///< Run time after which the task ends.
    double m_ranMs = 0;      ///< Run time so far, with that of its checkpoint.
    double m_speed = 1;      ///< Factor of run time to time; set by throttle.
    Millis m_progressAtMs = 0; ///< Monotonic time up to which m_ranMs counts.
    Millis m_leaseEndMs = 0;
  };
  /// A `GET /changes` that is not answered yet.
  struct PendingPoll {
    std::uint64_t m_afterSequence = 0;
    Millis m_deadlineMs = 0;
    http::Responder m_answer;
  };

  void handle(const http::Request &R, http::Responder Answer) override;
  Millis tick(Millis Now) override;
  /// Handles `/faults`.
  http::Response handleFaults(const http::Request &R);
  http::Response startTask(const http::Request &R);
  /// Handles `/tasks/{id}/{action}`.
  http::Response handleAction(const http::Request &R, const std::string &Path);
  base::Status performAction(Task &T, model::TaskAction Action,
                             const Json &Body);
  /// Returns the usage and the tasks that changed after sequence number
  /// \p After, with their metadata if \p Metadata is set.
  http::Response taskPage(std::uint64_t After, bool Metadata) const;
  /// Sends \p R subject to the faults in force.
  void respond(const http::Responder &Answer, http::Response R);
  /// Returns whether a start on \p Accelerators would not fit; see
  /// History::m_misfits.
  bool isMisfit(const std::vector<int> &Accelerators) const;
  void beginRun(Task &T);
  void endTask(Task &T, model::TaskState State, const std::string &Reason);
  /// Brings the progress and the state of \p T up to \p Now.
  void advanceTask(Task &T, Millis Now);
  /// Gives \p T a new sequence number and wakes the long polls.
  void recordChange(Task &T);
  /// Returns when \p T ends or its lease expires, whichever is first.
  Millis nextDueMs(const Task &T) const;
  /// Refreshes the reported usage if it is UsagePeriodMs old.
  void updateUsage(Millis Now);

  WorkerOptions m_options;
  WorkerFaults m_faults;
  std::string m_incarnation;
  std::uint64_t m_lastSequence = 0;
  std::map<std::string, Task> m_tasks;
  std::set<std::string> m_startedTasks; ///< Ids, also of forgotten tasks.
  std::list<PendingPoll> m_pendingPolls;
  model::Usage m_usage;
  Millis m_usageUpdatedMs = 0;
  History m_history;
};

} // namespace pomelokeel::standin
