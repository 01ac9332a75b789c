#pragma once

#include "entry/attempts.h"
#include "model/record.h"

#include <optional>

namespace pomelokeel::entry {

/// What follows from the end of an attempt: exactly one of both is set.
struct Verdict {
  std::optional<model::Finish> m_finish;
  std::optional<model::Requeue> m_requeue;
};

/// Circumstances that the attempt itself does not know.
struct Circumstances {
  bool m_blameWorker = false; ///< The job is not at fault for its failure.
  Millis m_backoffMs = 0;     ///< Before the attempt after this one.
};

/// Concludes the attempt of \p J; docs/design.md, section 4.3. Returns nothing
/// while a member may still run.
std::optional<Verdict> conclude(const Attempt &A, const model::Job &J,
                                const Circumstances &C);

/// The result of a job that waits and will not be placed again: `notRun` only
/// if no earlier attempt may have run, else \p IfItRan.
model::JobResult resultOfWaiting(const model::Job &J, base::ErrorKind Reason,
                                 std::string Message, model::Outcome IfItRan);

} // namespace pomelokeel::entry
