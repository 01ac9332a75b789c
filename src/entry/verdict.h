#pragma once

#include "entry/attempts.h"
#include "model/record.h"

#include <optional>

namespace pomelokeel::entry {

/// The consequence of an attempt that has ended: exactly one member is set.
struct Verdict {
  std::optional<model::Finish> m_finish;
  std::optional<model::Requeue> m_requeue;
};

/// Inputs of conclude() that are not part of the attempt.
struct RetryContext {
  bool m_workerAtFault = false; ///< The failure does not count against the job.
  Millis m_backoffMs = 0;       ///< Delay before the next attempt.
};

/// Decides whether the job \p J is finished or requeued after its attempt;
/// docs/design.md, section 4.3. Returns nothing while a member may still run.
std::optional<Verdict> conclude(const Attempt &A, const model::Job &J,
                                const RetryContext &C);

/// The result of a waiting job that will not be placed again: `notRun` if no
/// earlier attempt may have run, otherwise \p IfMayHaveRun.
model::JobResult resultOfWaiting(const model::Job &J, base::ErrorKind Reason,
                                 std::string Message,
                                 model::Outcome IfMayHaveRun);

} // namespace pomelokeel::entry
