#pragma once

#include "sched/sched.h"

#include <vector>

namespace pomelokeel::sched::detail {

/// True for gangs with accelerators, which starve when free accelerators are
/// scattered.
bool isLargeGang(const model::JobSpec &Spec);

/// The waiting jobs in the order in which a pass considers them: urgent jobs
/// first, then the order of the placement strategy.
std::vector<const WaitingView *> queueOrder(const Snapshot &S);

/// The large gangs that have waited for at least m_reserveAfterMs and are not
/// in backoff or urgent, oldest first. The first one that does not fit gets a
/// reservation.
std::vector<const WaitingView *> agedGangs(const Snapshot &S);

} // namespace pomelokeel::sched::detail
