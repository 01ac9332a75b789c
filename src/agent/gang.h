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

struct GangTiming {
  Millis m_leaseMs = 3000; ///< Silence after which a gang stops.
  Millis m_beatMs = 500;   ///< Between beats of the head.
};

/// State of the task of this agent, as its gang sees it.
enum class OwnTask {
  Starting, ///< Not confirmed by the worker.
  Ready,    ///< Paused at the start barrier.
  Running,
  Succeeded,
  Stopped, ///< Or failed, or about to be stopped.
};

/// A note for the agent of a member; job and attempt are filled in by the
/// caller.
struct GangSend {
  int m_to = 0; ///< Member.
  model::MessageKind m_kind = model::MessageKind::GangBeat;
  std::uint64_t m_beat = 0; ///< Request id of the message.
  model::GangNote m_note;
};

/// What a gang asks of its agent.
struct GangStep {
  bool m_release = false;            ///< Let the own task run.
  std::optional<std::string> m_stop; ///< Stop the own task, with the reason.
  std::vector<GangSend> m_sends;
};

/// The side of a gang member towards its children in the heartbeat tree.
/// Releases when all children are ready, and stops all when one stops or is
/// silent for the lease. Time is a parameter, in monotonic milliseconds.
class GangHead {
public:
  /// \p StartBy is when the gang must be complete. An adopted gang was released
  /// before; its members get one lease to be heard.
  GangHead(int Self, const std::vector<int> &Children, GangTiming Timing,
           Millis StartBy, bool Adopted, Millis Now);

  /// \p Beat is the number of the beat that the note answers, 0 for none.
  void onReply(int Member, std::uint64_t Beat, const model::GangNote &Note,
               Millis Now);

  /// Stops the children, too.
  void stop(const std::string &Reason, Millis Now);

  /// \p MayRelease is false as long as a member above has not released this
  /// one.
  GangStep advance(OwnTask Own, Millis Now, bool MayRelease = true);

  /// The own task must not run after this time unless members are heard again.
  Millis leaseEnd() const;

  bool allReady() const;
  bool allDone() const;
  bool stopped() const { return m_stop.has_value(); }

private:
  struct View {
    int m_member = 0;
    bool m_ready = false;
    bool m_done = false;
    bool m_stopped = false;
    Millis m_heardAt = -1; ///< Sending time of the last beat it answered.
    std::string m_reason;
  };

  std::optional<std::string> fault(OwnTask Own, Millis Now) const;
  void beat(GangStep &Step, Millis Now);

  const int m_self;
  const GangTiming m_timing;
  const Millis m_startBy;
  std::vector<View> m_children;
  std::deque<std::pair<std::uint64_t, Millis>> m_sent; ///< Recent beats.
  std::uint64_t m_beat = 0;
  Millis m_nextBeat = 0;
  bool m_released = false;
  std::optional<std::string> m_stop;
  Millis m_stopNotesUntil = 0;
};

/// The side of a gang member towards its parent. Its task runs only between a
/// beat that releases it and a lease after the last beat.
class GangMember {
public:
  GangMember(int Member, int Parent, GangTiming Timing, Millis StartBy,
             bool Adopted, Millis Now);

  void onBeat(std::uint64_t Beat, const model::GangNote &Note, Millis Now);
  void onStop(const model::GangNote &Note);

  /// A member below has stopped.
  void fail(const std::string &Reason);

  GangStep advance(OwnTask Own, Millis Now);

  /// The own task must not run after this time unless the parent is heard
  /// again.
  Millis leaseEnd() const;

  bool released() const { return m_released; }

private:
  void checkLease(Millis Now);
  model::GangNote note(OwnTask Own) const;

  const int m_member;
  const int m_parent;
  const GangTiming m_timing;
  const Millis m_startBy;
  Millis m_heardAt = -1; ///< Time of the last beat.
  std::uint64_t m_beat = 0;
  bool m_released = false;
  bool m_replyDue = true;
  Millis m_nextReply = 0;
  OwnTask m_told = OwnTask::Starting;
  std::optional<std::string> m_stop;
};

/// A member's place in the heartbeat tree: what it tells its parent covers all
/// members below it. The gang head has no parent, a single member neither
/// parent nor children.
class GangNode {
public:
  GangNode(int Member, const model::GangLinks &Links, GangTiming Timing,
           Millis StartBy, bool Adopted, Millis Now);

  void onReply(std::uint64_t Beat, const model::GangNote &Note, Millis Now);
  void onBeat(std::uint64_t Beat, const model::GangNote &Note, Millis Now);
  void onStop(const model::GangNote &Note);

  GangStep advance(OwnTask Own, Millis Now);

  /// The own task must not run after this time unless others are heard again.
  Millis leaseEnd() const;

private:
  OwnTask subtree(OwnTask Own) const;

  std::optional<GangMember> m_up;
  GangHead m_down;
};

} // namespace pomelokeel::agent
