#pragma once

#include "batch/placement.h"

#include <string>
#include <vector>

/// Which workers a unit may not use because it failed there, and until when. A
/// unit always prefers other workers. While it waits for them, it is kept off a
/// worker that has room; that ends after a limited time.
namespace pomelokeel::batch {

/// True for a worker on which the unit failed, until that worker restarts.
bool isAvoided(const Unit &U, const CandidateWorker &W);

/// How long a unit waits for other workers after it failed.
enum class Patience {
  Short, ///< Its job has nothing at work on a fleet with room.
  Long   ///< Otherwise, or if its last attempt can soon run elsewhere.
};

/// True while the failure keeps the task off \p W, on which it happened.
bool keepsOff(const AvoidedWorker &A, const CandidateWorker &W, Patience P,
              Millis Now);

/// Time until the first of these failures keeps the task off no more.
Millis exclusionLeftMs(const std::vector<AvoidedWorker> &Avoided, Patience P,
                       Millis Now);

/// True if \p U should wait rather than use Unit::m_excluded: the other workers
/// could hold it, and it has not failed on so many that the job is the likelier
/// cause.
bool mayWaitForOthers(const Unit &U, const Fleet &F);

} // namespace pomelokeel::batch
