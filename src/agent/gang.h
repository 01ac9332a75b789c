#pragma once

#include "base/clock.h"
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

/// A note for the agent of a member; job, attempt and member are filled in by
/// the caller.
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

/// The gang head, at the agent of member 0. Releases the members when all are
/// ready, and stops all when one stops or is silent for the lease. A single
/// member is a gang without others. Time is a parameter, in monotonic
/// milliseconds.
class GangHead {
public:
  /// \p StartBy is when the gang must be complete. An adopted gang was released
  /// before; its members get one lease to be heard.
  GangHead(int Members, GangTiming Timing, Millis StartBy, bool Adopted,
           Millis Now);

  /// \p Beat is the number of the beat that the note answers, 0 for none.
  void onReply(int Member, std::uint64_t Beat, const model::GangNote &Note,
               Millis Now);

  GangStep advance(OwnTask Own, Millis Now);

  /// The own task must not run after this time unless members are heard again.
  Millis leaseEnd() const;

  bool released() const { return m_released; }

private:
  struct View {
    bool m_ready = false;
    bool m_done = false;
    bool m_stopped = false;
    Millis m_heardAt = -1; ///< Sending time of the last beat it answered.
    std::string m_reason;
  };

  std::optional<std::string> fault(OwnTask Own, Millis Now) const;
  bool allReady() const;
  void beat(GangStep &Step, Millis Now);

  const GangTiming m_timing;
  const Millis m_startBy;
  std::vector<View> m_members;                         ///< Without member 0.
  std::deque<std::pair<std::uint64_t, Millis>> m_sent; ///< Recent beats.
  std::uint64_t m_beat = 0;
  Millis m_nextBeat = 0;
  bool m_released = false;
  std::optional<std::string> m_stop;
  Millis m_stopNotesUntil = 0;
};

/// Another member of a gang. Its task runs only between a beat that releases it
/// and a lease after the last beat.
class GangMember {
public:
  GangMember(int Member, GangTiming Timing, Millis StartBy, bool Adopted,
             Millis Now);

  void onBeat(std::uint64_t Beat, const model::GangNote &Note, Millis Now);
  void onStop(const model::GangNote &Note);

  GangStep advance(OwnTask Own, Millis Now);

  /// The own task must not run after this time unless the head is heard again.
  Millis leaseEnd() const;

private:
  void checkLease(Millis Now);
  model::GangNote note(OwnTask Own) const;

  const int m_member;
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

} // namespace pomelokeel::agent
