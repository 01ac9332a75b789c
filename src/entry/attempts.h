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

/// How one member's task is proven to have ended; docs/design.md, section 4.2.
enum class MemberEnd {
  Open,       ///< Not proven to have ended.
  NeverRan,   ///< Ended, and it did not run.
  Stopped,    ///< Ended after it had started, without a result.
  Failed,     ///< Ended with a failure of its own.
  Succeeded,  ///< Ended with an answer.
  RunUnknown, ///< Ended; it is not known whether it ran.
};

/// Steps of an attempt. Adopting is the first step of an attempt that an
/// earlier leader placed and whose start is not recorded: the leader waits for
/// agents to report its holds.
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

/// Identifies one report of an agent: the process that sent it and its number.
struct ReportPosition {
  std::string m_incarnation;
  std::uint64_t m_sequence = 0;
};

/// The leader's view of one member of an attempt, from reports and replies.
struct MemberStatus {
  std::string m_worker;
  MemberEnd m_end = MemberEnd::Open;
  Millis m_endedMs = 0;
  bool m_reserved = false;   ///< The agent has held this member's task.
  bool m_startAcked = false; ///< Start was accepted.
  bool m_running = false;    ///< Was reported as running or succeeded.
  /// Latest report or reply in which the agent knew this attempt.
  std::optional<ReportPosition> m_lastConfirmed;
  ReportPosition m_lastAbsent; ///< Last counted report without the hold.
  int m_absentReports = 0;
  Millis m_nextSendMs = 0; ///< When the next command may be sent.
  std::string m_reason;
  model::Json m_answer;
  model::Json m_checkpoint;
};

/// Intervals and timeouts of attempts.
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
  std::vector<MemberStatus> m_members;
  AttemptStep m_step = AttemptStep::Reserving;
  Millis m_stepMs = 0; ///< Time at which the step began.
  StopCause m_cause = StopCause::None;
  std::string m_stopReason;
  bool m_startSent = false;     ///< Start may have been sent to a member.
  bool m_recordedStart = false; ///< jobStarted was read back.
  /// Workers whose agents refused to reserve or sent no reply.
  std::vector<std::string> m_refusingWorkers;
};

/// Creates the attempt for a job that was just placed, or that was taken over
/// from an earlier leader, which may already have sent Start.
Attempt makeAttempt(const model::Job &J, const model::JobClass &C,
                    bool TakenOver, Millis NowMs);

/// The agent process that the log names as the current one of a worker.
struct AnnouncedAgent {
  std::string m_incarnation;
  std::uint64_t m_sinceOffset = 0; ///< Of the record that announced it first.
};

/// Updates \p Member from a report of its agent.
void applyReport(Attempt &A, std::size_t Member, const model::AgentReport &R,
                 const AnnouncedAgent &Announced, Millis NowMs);

/// Updates a member from the reply of its agent to a command. The reply must
/// belong to this attempt.
void applyReply(Attempt &A, const model::CommandReply &R, Millis NowMs);

/// Stops the attempt on all members. The first cause is kept, except that a
/// cancellation replaces others.
void stopAttempt(Attempt &A, StopCause Cause, const std::string &Reason,
                 Millis NowMs);

/// A command that is due for a member.
struct DueCommand {
  model::CommandKind m_kind = model::CommandKind::Reserve;
  std::size_t m_member = 0;
};

/// Advances the attempt to the next step that its members allow, and returns
/// the commands to send. \p LastContactMs gives for each member the time of the
/// last message from its agent.
std::vector<DueCommand> advance(Attempt &A, const AttemptTiming &T,
                                const std::vector<Millis> &LastContactMs,
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
