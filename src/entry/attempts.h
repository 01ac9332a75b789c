#pragma once

#include "base/clock.h"
#include "base/names.h"
#include "model/config.h"
#include "model/job.h"
#include "model/message.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pomelokeel::entry {

using base::Millis;

/// What is proven about the end of one member's task; docs/design.md, 4.2.
enum class MemberEnd {
  Open,      ///< Not proven to have ended.
  NeverRan,  ///< Ended, and it did not run.
  Stopped,   ///< Ended after it had started, without a result.
  Failed,    ///< Ended with a failure of its own.
  Succeeded, ///< Ended with an answer.
  Gone,      ///< Ended; whether it ran is not known.
};

/// Steps of an attempt. Adopting waits for the holds of an attempt that was
/// placed by an earlier leader.
enum class AttemptStep { Adopting, Reserving, Starting, Running, Stopping };

/// Why an attempt is stopped.
enum class StopCause {
  None,
  NotReserved,
  NotStarted,
  MemberEnded,
  Cancelled,
  Reclaimed,
};

/// A position in the reports of an agent.
struct ReportMark {
  std::string m_incarnation;
  std::uint64_t m_sequence = 0;
};

/// What the leader knows of one member.
struct MemberTrack {
  std::string m_worker;
  MemberEnd m_end = MemberEnd::Open;
  Millis m_endedMs = 0;
  bool m_reserved = false;   ///< The agent holds the attempt, or held it.
  bool m_startAcked = false; ///< Start was accepted.
  bool m_running = false;    ///< Reported as running, or later.
  std::optional<ReportMark> m_known; ///< Latest word about this attempt.
  ReportMark m_absent;               ///< Last report without the hold.
  int m_absentReports = 0;
  Millis m_nextSendMs = 0; ///< Earliest repetition of a command.
  std::string m_reason;
  model::Json m_answer;
  model::Json m_checkpoint;
};

/// Timing of attempts.
struct AttemptTiming {
  Millis m_commandRetryMs = 500;
  Millis m_gangLeaseMs = 3000;
  Millis m_adoptTimeoutMs = 6000;
};

/// One attempt of a job, from its placement to its proven end.
struct Attempt {
  std::string m_job;
  int m_attempt = 0;
  std::uint64_t m_fence = 0;
  model::JobClass m_class;
  std::vector<model::MemberPlace> m_places;
  std::vector<MemberTrack> m_members;
  AttemptStep m_step = AttemptStep::Reserving;
  Millis m_stepMs = 0; ///< Time at which the step began.
  StopCause m_cause = StopCause::None;
  std::string m_stopReason;
  bool m_startSent = false;     ///< Start may have been sent to some member.
  bool m_recordedStart = false; ///< jobStarted was read back.
  std::vector<std::string> m_refusers; ///< Workers that did not reserve.
};

/// The attempt of a job that was just placed, or taken over from an earlier
/// leader; the latter may have sent Start.
Attempt makeAttempt(const model::Job &J, const model::JobClass &C,
                    bool TakenOver, Millis NowMs);

/// The agent of a worker according to the log.
struct AnnouncedAgent {
  std::string m_incarnation;
  std::uint64_t m_sinceOffset = 0; ///< Of its first record.
};

/// Takes in a report of the agent of \p Member.
void noteReport(Attempt &A, std::size_t Member, const model::AgentReport &R,
                const AnnouncedAgent &Announced, Millis NowMs);

/// Takes in the reply of the agent of a member. Replies of other attempts must
/// not be passed.
void noteReply(Attempt &A, const model::CommandReply &R, Millis NowMs);

/// Stops the attempt on all members. The first cause is kept, except that a
/// cancellation replaces others.
void stopAttempt(Attempt &A, StopCause Cause, const std::string &Reason,
                 Millis NowMs);

/// A command that is due for a member.
struct DueCommand {
  model::CommandKind m_kind = model::CommandKind::Reserve;
  std::size_t m_member = 0;
};

/// Moves the attempt on and returns the commands that are due. \p HeardMs gives
/// for each member when the leader last heard from its agent.
std::vector<DueCommand> advance(Attempt &A, const AttemptTiming &T,
                                const std::vector<Millis> &HeardMs,
                                Millis NowMs);

/// True if every member is proven to have ended.
bool allEnded(const Attempt &A);

/// True if all members run or have succeeded.
bool allRunning(const Attempt &A);

/// True if all members have succeeded.
bool allSucceeded(const Attempt &A);

/// True unless it is proven that no member ran.
bool mayHaveRun(const Attempt &A);

} // namespace pomelokeel::entry

namespace pomelokeel::base {
template <> struct NameTable<entry::MemberEnd> {
  static constexpr std::array<std::string_view, 6> Names = {
      "open", "neverRan", "stopped", "failed", "succeeded", "gone"};
};
template <> struct NameTable<entry::StopCause> {
  static constexpr std::array<std::string_view, 6> Names = {
      "none",        "notReserved", "notStarted",
      "memberEnded", "cancelled",   "reclaimed"};
};
} // namespace pomelokeel::base
