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
/// How long the worker is asked to forget a task that is not held any more.
constexpr Millis ForgetForMs = 60000;

/// What a task table may hold and how long its leases last.
struct TaskLimits {
  std::string m_worker;
  std::string m_incarnation; ///< Of this agent.
  int m_slots = 8;
  int m_accelerators = 0;
  Millis m_reserveTtlMs = 3000;
  Millis m_taskLeaseMs = 3000;
  GangTiming m_gang;
  std::size_t m_maxHolds = 1024;         ///< Live and ended ones.
  std::size_t m_maxFences = 8192;        ///< Jobs whose highest fence is known.
  std::size_t m_maxAnswerBytes = 200000; ///< Of one task, as JSON.
};

enum class CallKind {
  Start,
  Renew,
  Release,
  Stop,
  Checkpoint,
  Throttle,
  Forget,
};
constexpr std::size_t CallKinds = 7;

/// A call to the worker. Each is answered by one WorkerAnswer.
struct WorkerCall {
  CallKind m_kind = CallKind::Renew;
  std::string m_task;
  model::TaskStart m_start;    ///< Of Start; its lease is set when it is sent.
  std::string m_reason;        ///< Of Stop.
  double m_speed = 1;          ///< Of Throttle.
  Millis m_notAfter = Forever; ///< Dropped if not sent by then.
  Millis m_leaseEnd = 0;       ///< Of Start and Renew.
};

struct WorkerAnswer {
  CallKind m_kind = CallKind::Renew;
  std::string m_task;
  Millis m_sentAt = 0;
  Millis m_leaseMs = 0; ///< Granted from the sending on.
  std::optional<model::TaskInfo> m_info;
  std::optional<base::ErrorKind> m_error;
};

/// A gang note to send to the mesh address of another agent.
struct GangMessage {
  std::string m_address;
  model::MessageKind m_kind = model::MessageKind::GangBeat;
  std::uint64_t m_requestId = 0;
  model::GangNote m_note;
};

struct TaskEvent {
  std::string m_name;
  std::string m_job;
  std::string m_detail;
};

/// What the owner of a task table has to do.
struct Effects {
  std::vector<WorkerCall> m_calls;
  std::vector<GangMessage> m_notes;
  std::vector<TaskEvent> m_events;
  bool m_changed = false; ///< The hold list; report at once.
};

/// What a worker keeps with a task so that a restarted agent can adopt it.
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
/// Without that call it is proven that the task did not run, whatever the
/// worker answers or does not answer.
class TaskTable {
public:
  TaskTable(TaskLimits Limits, Millis Now);

  /// Executes a command that came with \p Epoch and tells what happened.
  model::CommandReply command(const model::Command &C, std::uint64_t Epoch,
                              Millis Now);

  /// The highest epoch seen; commands with a lower one are refused.
  void observeEpoch(std::uint64_t Epoch);
  std::uint64_t epoch() const { return m_epoch; }

  /// The complete list of the worker's tasks, requested at \p SentAt.
  void onList(const model::TaskPage &Page, Millis SentAt, Millis Now);
  /// Tasks that have changed at the worker.
  void onChanges(const model::TaskPage &Page, Millis Now);
  void onAnswer(const WorkerAnswer &A, Millis Now);

  /// A gang message arrived from the agent at \p From.
  void onGang(model::MessageKind Kind, const std::string &From,
              std::uint64_t RequestId, const model::GangNote &Note, Millis Now);

  /// An entry that was connected to the leader at \p At has heard this agent.
  void onLeaderContact(Millis At);

  /// No new reservations from now on, or again.
  void setDraining(bool Draining) { m_draining = Draining; }
  /// Reservations are refused while the worker does not answer.
  void setWorkerReachable(bool Reachable) { m_workerReachable = Reachable; }
  /// No new reservations and no starts, for good. Drops reservations.
  void beginStop();
  /// Stops what never ran and renews what runs for the last time.
  void prepareExit(Millis Now);

  /// Does what is due and returns it with all that has come up since the last
  /// call.
  Effects advance(Millis Now);

  std::vector<model::Hold> holds() const;
  /// The worker's tasks are known, so holds() is complete.
  bool listed() const { return m_listed; }
  /// No reservation and no task that may still run.
  bool idle() const;

private:
  struct Task {
    model::Hold m_hold;
    TaskRecord m_record;
    base::Json m_payload;
    Millis m_reservedUntil = 0;
    Millis m_startBy = 0;
    Millis m_orphanEnd = Forever; ///< Of adopted tasks before any contact.
    Millis m_leaseEnd = Forever;  ///< At the worker, at least until then.
    Millis m_seenAt = -1;         ///< Last information from the worker.
    std::uint64_t m_sequence = 0;
    bool m_started = false;       ///< Start was called for.
    bool m_confirmed = false;     ///< The worker knows the task.
    bool m_releaseIssued = false; ///< The task may run.
    bool m_duplicate = false;     ///< The worker had known the id before.
    bool m_workerEnded = false;   ///< Final, or gone, at the worker.
    std::optional<std::string> m_stopReason;
    std::array<bool, CallKinds> m_inFlight{};
    std::array<Millis, CallKinds> m_nextAt{};
    std::optional<GangNode> m_gang;
  };
  /// A gang note between members on this worker.
  struct LocalNote {
    model::MessageKind m_kind = model::MessageKind::GangBeat;
    std::uint64_t m_beat = 0;
    model::GangNote m_note;
  };
  struct Forgetting {
    bool m_stopFirst = false;
    bool m_inFlight = false;
    Millis m_nextAt = 0;
    Millis m_until = 0;
  };
  using Refusal = std::optional<base::Error>;

  // Commands (tasks.cc).
  Refusal execute(const model::Command &C, std::uint64_t Epoch, Millis Now);
  Refusal checkFence(const model::Command &C) const;
  Refusal reserve(const model::Command &C, Millis Now);
  Refusal checkRoom(const model::Command &C) const;
  Refusal start(const model::Command &C, Millis Now);
  Refusal stop(const model::Command &C, Millis Now);
  Refusal release(const model::Command &C, Millis Now);
  Refusal adjust(const model::Command &C);
  Task *find(const model::Command &C);
  void raiseFence(const std::string &Job, std::uint64_t Fence);
  void noteEvent(const char *Name, const Task &T, const std::string &Detail);

  // Information from the worker (tasks_worker.cc).
  void onInfo(Task &T, const model::TaskInfo &Info, Millis Now);
  void adopt(const model::TaskInfo &Info, Millis Now);
  void stray(const model::TaskInfo &Info, Millis Now);
  void onForgetAnswer(const WorkerAnswer &A, Millis Now);
  void onFailedCall(Task &T, const WorkerAnswer &A);
  void gone(Task &T, const std::string &Reason);
  void end(Task &T, model::HoldState State, bool EverRan,
           const std::string &Reason);
  void succeed(Task &T, const model::TaskInfo &Info);

  // Timers (tasks_timers.cc).
  void advanceTask(Task &T, Millis Now);
  void advanceGang(Task &T, Millis Now);
  void advanceLive(Task &T, Millis Now);
  void advanceForgetting(Millis Now);
  void wantStop(Task &T, const std::string &Reason);
  void renew(Task &T, Millis Now);
  void issue(Task &T, WorkerCall Call, Millis RetryAt);
  bool due(const Task &T, CallKind Kind, Millis Now) const;
  Millis orphanEnd(const Task &T) const;
  Millis runLimit(const Task &T) const;
  Millis gangLeaseEnd(const Task &T) const;
  void refuseBeat(const std::string &From, std::uint64_t RequestId,
                  const model::GangNote &Note);
  void sendGang(const Task &T, GangSend Send);
  void deliverLocal(Millis Now);
  void createGang(Task &T, bool Adopted, Millis Now);

  const TaskLimits m_limits;
  const Millis m_startedAt;
  Millis m_contactAt;
  bool m_contactKnown = false;
  std::uint64_t m_epoch = 0;
  bool m_listed = false;
  bool m_workerReachable = true;
  bool m_draining = false;
  bool m_stopping = false;
  std::string m_workerIncarnation;
  std::map<std::string, Task> m_tasks; ///< By task id.
  std::map<std::string, Forgetting> m_forgetting;
  std::map<std::string, std::uint64_t> m_fences;   ///< Highest seen, by job.
  std::map<std::string, std::uint64_t> m_released; ///< Highest released fence.
  std::uint64_t m_forgottenFence = 0; ///< Highest one dropped from m_fences.
  std::vector<LocalNote> m_localNotes;
  Effects m_effects;
};

/// True if the hold has a result or has stopped.
inline bool isEnded(const model::Hold &H) {
  return H.m_state > model::HoldState::Running;
}

} // namespace pomelokeel::agent
