#pragma once

#include "agent/gang.h"
#include "base/clock.h"
#include "model/message.h"
#include "model/task.h"

#include <array>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pomelokeel::agent {

constexpr Millis Forever = std::numeric_limits<Millis>::max();
/// How long the agent tries to remove a task that it no longer holds from the
/// worker.
constexpr Millis ForgetForMs = 60000;

/// Limits of a task table and durations of its leases.
struct TaskLimits {
  std::string m_worker;
  std::string m_incarnation; ///< Of this agent.
  int m_slots = 8;
  int m_accelerators = 0;
  Millis m_reserveTtlMs = 3000;
  Millis m_taskLeaseMs = 3000;
  GangTiming m_gang;
  std::size_t m_maxHolds = 1024;         ///< Reservations, tasks and results.
  std::size_t m_maxFences = 8192;        ///< Jobs whose highest fence is known.
  std::size_t m_maxAnswerBytes = 200000; ///< Result of one task, as JSON.
};

/// Requests of the worker protocol.
enum class CallKind {
  Start,
  Renew,
  Release,
  Stop,
  Checkpoint,
  Throttle,
  Forget,
};
constexpr std::size_t CallKindCount = 7;

/// A call to the worker. Each call produces one WorkerAnswer.
struct WorkerCall {
  CallKind m_kind = CallKind::Renew;
  std::string m_task;
  model::TaskStart m_start;    ///< For Start; the client sets its lease.
  std::string m_reason;        ///< For Stop.
  double m_speed = 1;          ///< For Throttle, as a fraction.
  Millis m_notAfter = Forever; ///< The call is dropped if not sent by then.
  Millis m_leaseEnd = 0;       ///< For Start and Renew.
};

/// The outcome of a WorkerCall: an error or, on success, the state of the task.
struct WorkerAnswer {
  CallKind m_kind = CallKind::Renew;
  std::string m_task;
  Millis m_sentAt = 0;
  Millis m_leaseMs = 0; ///< Granted, from m_sentAt on.
  std::optional<model::TaskInfo> m_info;
  std::optional<base::ErrorKind> m_error;
};

/// A gang message to the mesh address of another agent.
struct GangMessage {
  std::string m_address;
  model::MessageKind m_kind = model::MessageKind::GangBeat;
  std::uint64_t m_requestId = 0;
  model::GangStatus m_memberStatus;
};

/// An entry for the event log of the agent.
struct TaskEvent {
  std::string m_name;
  std::string m_job;
  std::string m_detail;
};

/// What the owner of a task table has to send and to record.
struct Effects {
  std::vector<WorkerCall> m_calls;
  std::vector<GangMessage> m_gangMessages;
  std::vector<TaskEvent> m_events;
  bool m_changed = false; ///< The holds have changed: report them at once.
};

/// Metadata that the worker stores with a task, so that a restarted agent can
/// adopt the task.
struct TaskRecord {
  std::string m_job;
  int m_attempt = 0;
  int m_member = 0;
  std::uint64_t m_fence = 0;
  std::vector<model::MemberPlace> m_places;
  std::vector<std::string> m_peers;
  Millis m_orphanLimitMs = 0;

  static constexpr auto fields() {
    return std::tuple{
        base::required("job", &TaskRecord::m_job),
        base::required("attempt", &TaskRecord::m_attempt),
        base::required("member", &TaskRecord::m_member),
        base::required("fence", &TaskRecord::m_fence),
        base::required("places", &TaskRecord::m_places),
        base::optional("peers", &TaskRecord::m_peers),
        base::optional("orphanLimitMs", &TaskRecord::m_orphanLimitMs)};
  }
};

/// The tasks, reservations and results of one agent. No sockets and no clock:
/// Now is monotonic time in milliseconds and never decreases.
///
/// A task is started paused and runs only after a Release call to the worker.
/// As long as that call was not issued, the task has certainly not run,
/// whatever the worker answers.
class TaskTable {
public:
  TaskTable(TaskLimits Limits, Millis Now);

  /// Executes a command of the leader with \p Epoch and returns the reply.
  model::CommandReply command(const model::Command &C, std::uint64_t Epoch,
                              Millis Now);

  /// The highest epoch seen; commands with a lower one are refused.
  void observeEpoch(std::uint64_t Epoch);
  std::uint64_t epoch() const { return m_epoch; }

  /// Handles the complete list of the worker's tasks, requested at \p SentAt.
  void onTaskList(const model::TaskPage &Page, Millis SentAt, Millis Now);
  /// Handles tasks that have changed at the worker.
  void onTaskChanges(const model::TaskPage &Page, Millis Now);
  /// Handles the outcome of a call to the worker.
  void onAnswer(const WorkerAnswer &A, Millis Now);

  /// Handles a gang message from the agent at \p From, or from a member on this
  /// worker if \p From is empty.
  void onGangMessage(model::MessageKind Kind, const std::string &From,
                     std::uint64_t RequestId, const model::GangStatus &Status,
                     Millis Now);

  /// An entry that was connected to the leader at \p At has received a message
  /// of this agent. Extends the orphan limit of the tasks.
  void onLeaderContact(Millis At);

  /// While draining, new reservations are refused, and tasks that have not been
  /// released by the time that a reservation lasts are stopped.
  void setDraining(bool Draining) { m_draining = Draining; }
  /// Reservations are refused while the worker does not answer.
  void setWorkerReachable(bool Reachable) { m_workerReachable = Reachable; }
  /// Refuses reservations and starts from now on and drops reservations.
  void beginStop();
  /// Renews the leases of running tasks for the last time and stops the others.
  void prepareExit(Millis Now);

  /// Runs the timers that are due. Returns their effects and those of all calls
  /// since the last advance().
  Effects advance(Millis Now);

  std::vector<model::Hold> holds() const;
  /// True once the worker has listed its tasks, so that holds() is complete.
  bool tasksKnown() const { return m_tasksKnown; }
  /// True if there is no reservation and no task that may still run.
  bool idle() const;

private:
  struct Task {
    model::Hold m_hold;
    TaskRecord m_record;
    base::Json m_payload;
    Millis m_reservedUntil = 0;
    Millis m_startBy = 0;
    Millis m_orphanEnd = Forever; ///< For adopted tasks until the first
                                  ///< contact with the leader.
    Millis m_leaseEnd = Forever;  ///< The worker's lease lasts at least until
                                  ///< then.
    Millis m_lastInfoAt = -1;     ///< Receipt of the worker's last task info.
    std::uint64_t m_sequence = 0;
    bool m_started = false;       ///< Start was accepted, or task adopted.
    bool m_confirmed = false;     ///< The worker knows the task.
    bool m_releaseIssued = false; ///< Release was issued, so the task may run.
    bool m_duplicate = false;     ///< The worker knew the id before the Start.
    bool m_workerEnded = false;   ///< Final at the worker, or unknown to it.
    std::optional<std::string> m_stopReason;
    std::array<bool, CallKindCount> m_inFlight{};
    std::array<Millis, CallKindCount> m_nextAt{};
    std::optional<GangNode> m_gang;
  };
  /// A gang message between members on this worker.
  struct LocalMessage {
    model::MessageKind m_kind = model::MessageKind::GangBeat;
    std::uint64_t m_heartbeatId = 0;
    model::GangStatus m_memberStatus;
  };
  /// A task that is not held and has to be removed from the worker.
  struct PendingRemoval {
    bool m_stopFirst = false;
    bool m_inFlight = false;
    Millis m_nextAt = 0;
    Millis m_until = 0;
  };
  using Refusal = std::optional<base::Error>;

  // Commands of the leader (tasks.cc).
  Refusal execute(const model::Command &C, std::uint64_t Epoch, Millis Now);
  Refusal checkFence(const model::Command &C) const;
  Refusal reserve(const model::Command &C, Millis Now);
  Refusal checkCapacity(const model::Command &C) const;
  Refusal start(const model::Command &C, Millis Now);
  Refusal stop(const model::Command &C, Millis Now);
  Refusal release(const model::Command &C, Millis Now);
  Refusal checkpointOrThrottle(const model::Command &C);
  Task *find(const model::Command &C);
  void raiseFence(const std::string &Job, std::uint64_t Fence);
  void recordEvent(const char *Name, const Task &T, const std::string &Detail);

  // Information from the worker (tasks_worker.cc).
  void onTaskInfo(Task &T, const model::TaskInfo &Info, Millis Now);
  void adopt(const model::TaskInfo &Info, Millis Now);
  void removeUnknownTask(const model::TaskInfo &Info, Millis Now);
  void onRemovalAnswer(const WorkerAnswer &A, Millis Now);
  void onFailedCall(Task &T, const WorkerAnswer &A);
  void markTaskLost(Task &T, const std::string &Reason);
  void end(Task &T, model::HoldState State, bool EverRan,
           const std::string &Reason);
  void succeed(Task &T, const model::TaskInfo &Info);

  // Timers (tasks_timers.cc).
  void advanceTask(Task &T, Millis Now);
  void advanceGang(Task &T, Millis Now);
  void advanceActive(Task &T, Millis Now);
  void advanceRemovals(Millis Now);
  void requestTaskStop(Task &T, const std::string &Reason);
  void renew(Task &T, Millis Now);
  void issueCall(Task &T, WorkerCall Call, Millis RetryAt);
  bool isDue(const Task &T, CallKind Kind, Millis Now) const;
  Millis orphanEnd(const Task &T) const;
  Millis runLimit(const Task &T) const;
  Millis gangLeaseEnd(const Task &T) const;
  void refuseHeartbeat(const std::string &From, std::uint64_t RequestId,
                       const model::GangStatus &Status);
  void sendToMember(const Task &T, MemberMessage Message);
  void deliverLocalMessages(Millis Now);
  void createGang(Task &T, bool Adopted, Millis Now);

  const TaskLimits m_limits;
  const Millis m_startedAt;
  Millis m_leaderContactAt;
  bool m_leaderContactKnown = false;
  std::uint64_t m_epoch = 0;
  bool m_tasksKnown = false;
  bool m_workerReachable = true;
  bool m_draining = false;
  Millis m_drainingSince = -1; ///< As advance() has seen it; -1: not draining.
  bool m_stopping = false;
  std::string m_workerIncarnation;
  std::map<std::string, Task> m_tasks; ///< By task id.
  std::map<std::string, PendingRemoval> m_pendingRemovals;
  std::map<std::string, std::uint64_t> m_fences;   ///< Highest seen, by job.
  std::map<std::string, std::uint64_t> m_released; ///< Highest released fence.
  std::uint64_t m_forgottenFence = 0; ///< Highest fence dropped from m_fences.
  std::vector<LocalMessage> m_localMessages;
  Effects m_effects;
};

/// True if the task of the hold has succeeded, failed or stopped.
inline bool isEnded(const model::Hold &H) {
  return H.m_state > model::HoldState::Running;
}

} // namespace pomelokeel::agent
