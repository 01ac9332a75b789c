#pragma once

#include "base/clock.h"
#include "model/gang.h"
#include "model/message.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace pomelokeel::agent {

using base::Millis;

/// Intervals of the heartbeats within a gang.
struct GangTiming {
  Millis m_leaseMs = 3000; ///< Time without contact after which a gang stops.
  Millis m_heartbeatIntervalMs = 500; ///< From parent to children.
};

/// State of the local task of a gang member.
enum class LocalTaskState {
  Starting, ///< Not yet confirmed by the worker.
  Ready,    ///< Paused at the start barrier.
  Running,
  Succeeded,
  Stopped, ///< Stopped, failed or about to be stopped.
};

/// A gang message to the agent of another member. The caller of advance() fills
/// in the job and the attempt.
struct MemberMessage {
  int m_toMember = 0; ///< Member number of the receiver.
  model::MessageKind m_kind = model::MessageKind::GangBeat;
  std::uint64_t m_heartbeatId = 0; ///< Request id of the message.
  model::GangStatus m_memberStatus;
};

/// What the agent has to do for a gang member.
struct GangActions {
  bool m_release = false;            ///< Let the local task run.
  std::optional<std::string> m_stop; ///< Reason to stop the local task.
  std::vector<MemberMessage> m_messages;
};

/// The side of a gang member towards its children in the heartbeat tree.
/// It sends heartbeats, releases the children when all of them are ready, and
/// stops all of them when one stops or does not reply for the gang lease. Time
/// is a parameter, in monotonic milliseconds.
class GangParent {
public:
  /// The gang stops if not all members are ready at \p StartBy. An adopted gang
  /// was released before; its members have one lease to reply.
  GangParent(int Self, const std::vector<int> &Children, GangTiming Timing,
             Millis StartBy, bool Adopted, Millis Now);

  /// Handles the status of a child. \p HeartbeatId is the number of the
  /// heartbeat that it answers, 0 for none.
  void onReply(int Member, std::uint64_t HeartbeatId,
               const model::GangStatus &Status, Millis Now);

  /// Stops the local task and the children.
  void stop(const std::string &Reason, Millis Now);

  /// Returns what is due. \p MayRelease is false until the parent of this
  /// member has released it.
  GangActions advance(LocalTaskState Local, Millis Now, bool MayRelease = true);

  /// Time after which the local task must not run, unless the children reply
  /// again.
  Millis leaseEnd() const;

  bool allReady() const;
  bool allDone() const;
  bool stopped() const { return m_stop.has_value(); }

private:
  struct ChildState {
    int m_member = 0;
    bool m_ready = false;
    bool m_done = false;
    bool m_stopped = false;
    /// Sending time of the last heartbeat that the child answered.
    Millis m_lastContactAt = -1;
    std::string m_reason;
  };

  /// Returns why the gang must stop, if it must.
  std::optional<std::string> stopReason(LocalTaskState Local, Millis Now) const;
  void sendHeartbeats(GangActions &Actions, Millis Now);

  const int m_self;
  const GangTiming m_timing;
  const Millis m_startBy;
  std::vector<ChildState> m_children;
  /// Id and sending time of the heartbeats of the last lease.
  std::deque<std::pair<std::uint64_t, Millis>> m_sentHeartbeats;
  std::uint64_t m_heartbeatId = 0;
  Millis m_nextHeartbeatAt = 0;
  bool m_released = false;
  std::optional<std::string> m_stop;
  Millis m_repeatStopUntil = 0;
};

/// The side of a gang member towards its parent in the heartbeat tree. The task
/// runs only from a heartbeat that releases it until one lease after the last
/// heartbeat.
class GangChild {
public:
  GangChild(int Member, int Parent, GangTiming Timing, Millis StartBy,
            bool Adopted, Millis Now);

  void onHeartbeat(std::uint64_t HeartbeatId, const model::GangStatus &Status,
                   Millis Now);
  void onStop(const model::GangStatus &Status);

  /// Handles a stop of this member's subtree, which ends the whole gang.
  void fail(const std::string &Reason);

  GangActions advance(LocalTaskState Local, Millis Now);

  /// Time after which the local task must not run, unless the parent sends
  /// another heartbeat.
  Millis leaseEnd() const;

  bool released() const { return m_released; }

private:
  void checkLease(Millis Now);
  model::GangStatus statusFor(LocalTaskState Local) const;

  const int m_member;
  const int m_parent;
  const GangTiming m_timing;
  const Millis m_startBy;
  Millis m_lastContactAt = -1; ///< Receipt of the last heartbeat.
  std::uint64_t m_heartbeatId = 0;
  bool m_released = false;
  bool m_replyDue = true;
  Millis m_nextReply = 0;
  LocalTaskState m_reported = LocalTaskState::Starting;
  std::optional<std::string> m_stop;
};

/// A member of the heartbeat tree. The status that it reports to its parent
/// covers its whole subtree. The gang head has no parent; the only member of a
/// gang has neither parent nor children.
class GangNode {
public:
  GangNode(int Member, const model::GangLinks &Links, GangTiming Timing,
           Millis StartBy, bool Adopted, Millis Now);

  void onReply(std::uint64_t HeartbeatId, const model::GangStatus &Status,
               Millis Now);
  void onHeartbeat(std::uint64_t HeartbeatId, const model::GangStatus &Status,
                   Millis Now);
  void onStop(const model::GangStatus &Status);

  GangActions advance(LocalTaskState Local, Millis Now);

  /// Time after which the local task must not run, unless the parent or the
  /// children send again.
  Millis leaseEnd() const;

private:
  /// Combines the local state with those of the subtree.
  LocalTaskState subtreeState(LocalTaskState Local) const;

  std::optional<GangChild> m_toParent;
  GangParent m_toChildren;
};

} // namespace pomelokeel::agent
