#pragma once

#include "sched/sched.h"

#include <vector>

namespace pomelokeel::sched::detail {

/// True for jobs that starve when free accelerators are scattered.
bool isLargeGang(const model::JobSpec &Spec);

/// The waiting jobs in the order in which a pass considers them: urgent ones
/// first, then as the strategy of the rule says.
std::vector<const WaitingView *> queueOrder(const Snapshot &S);

/// The large gangs that have waited for m_reserveAfterMs, oldest first. The
/// first that does not fit gets a reservation.
std::vector<const WaitingView *> agedGangs(const Snapshot &S);

} // namespace pomelokeel::sched::detail
