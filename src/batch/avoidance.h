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

Millis waitMs(Patience P);

/// Agents of the workers that \p U may not use now. Empty if the others cannot
/// hold it, or if it failed on so many that the job is the likelier cause.
std::vector<std::string> excludedAgents(const Unit &U, const Fleet &F,
                                        Patience P, Millis Now);

/// Time until the first of the workers in Unit::m_excluded may be used again.
Millis exclusionLeftMs(const Unit &U, Patience P, Millis Now);

} // namespace pomelokeel::batch
