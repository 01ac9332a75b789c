#pragma once

#include "entry/attempts.h"

namespace pomelokeel::entry {

/// State of the steps that make a running attempt give up its resources:
/// checkpoint, throttle, stop.
struct Reclaim {
  std::string m_forJob;
  std::string m_reason;
  model::ReclaimStep m_step = model::ReclaimStep::Checkpoint;
  Millis m_stepMs = 0;
  std::vector<bool> m_acked; ///< By member, for the current step.
  std::vector<Millis> m_nextSendMs;
  bool m_overdue = false; ///< Not proven to have ended by the stop deadline.
};

/// Whether the attempt may be reclaimed. It may not once Start may have been
/// sent to a member of a job that is not idempotent.
bool mayReclaim(const Attempt &A);

Reclaim makeReclaim(const Attempt &A, std::string ForJob, std::string Reason,
                    Millis NowMs);

/// Records the reply of an agent to Checkpoint or Throttle.
void applyReclaimReply(Reclaim &R, const model::CommandReply &Reply);

/// Advances to the next step when all agents have answered or the deadline of
/// the step has passed. The last step stops the attempt. Returns the commands
/// to send.
std::vector<DueCommand> advanceReclaim(Reclaim &R, Attempt &A, Millis RetryMs,
                                       Millis NowMs);

/// Whether the reclaim can still be abandoned. A throttled job cannot be
/// restored to full speed, so it is stopped and requeued.
bool canAbandon(const Reclaim &R);

} // namespace pomelokeel::entry
