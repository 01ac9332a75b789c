#pragma once

#include "entry/attempts.h"

namespace pomelokeel::entry {

/// The steps by which a running attempt gives up its resources.
struct Reclaim {
  std::string m_forJob;
  std::string m_reason;
  model::ReclaimStep m_step = model::ReclaimStep::Checkpoint;
  Millis m_stepMs = 0;
  std::vector<bool> m_acked; ///< By member, for the current step.
  std::vector<Millis> m_nextSendMs;
  bool m_overdue = false; ///< The stop deadline has passed without proof.
};

/// Whether the attempt may be reclaimed: never after Start may have been sent
/// to a member of a job that is not idempotent.
bool mayReclaim(const Attempt &A);

Reclaim makeReclaim(const Attempt &A, std::string ForJob, std::string Reason,
                    Millis NowMs);

/// Takes in the reply of an agent to Checkpoint or Throttle.
void noteReclaimReply(Reclaim &R, const model::CommandReply &Reply);

/// Moves the steps on; each also ends at its deadline if an agent does not
/// answer. The last one stops the attempt. Returns the commands that are due.
std::vector<DueCommand> advanceReclaim(Reclaim &R, Attempt &A, Millis RetryMs,
                                       Millis NowMs);

/// Whether the reclaim can still be given up. A throttled job cannot be
/// restored to full speed, so it is stopped and requeued.
bool canAbandon(const Reclaim &R);

} // namespace pomelokeel::entry
