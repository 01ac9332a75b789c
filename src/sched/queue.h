#pragma once

#include "sched/sched.h"

#include <vector>

namespace pomelokeel::sched::detail {

/// True for gangs, which are jobs of several members placed together, that need
/// accelerators. They starve when free accelerators are scattered.
bool isAcceleratorGang(const model::JobSpec &Spec);

/// The waiting jobs in the order in which a pass considers them: urgent jobs
/// first, then the order of the placement strategy.
std::vector<const WaitingView *> queueOrder(const Snapshot &S);

/// The gangs with accelerators that have waited for at least m_reserveAfterMs
/// and are not in backoff or urgent, oldest first. The first one that does not
/// fit gets a reservation.
std::vector<const WaitingView *> agedGangs(const Snapshot &S);

} // namespace pomelokeel::sched::detail
