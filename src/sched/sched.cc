#include "sched/sched.h"

#include "sched/pass.h"

namespace pomelokeel::sched {

Plan plan(const Snapshot &S, std::size_t MaxPlacements) {
  return detail::Pass(S, MaxPlacements).run();
}

} // namespace pomelokeel::sched
