#include "sched/queue.h"

#include <algorithm>

namespace pomelokeel::sched::detail {

bool isLargeGang(const model::JobSpec &Spec) {
  return Spec.m_members > 1 || Spec.m_accelerators > 1;
}

std::vector<const WaitingView *> queueOrder(const Snapshot &S) {
  std::vector<const WaitingView *> Out;
  Out.reserve(S.m_waiting.size());
  for (const WaitingView &J : S.m_waiting)
    Out.push_back(&J);
  std::stable_sort(Out.begin(), Out.end(), [](const auto *L, const auto *R) {
    return L->m_urgent > R->m_urgent;
  });
  return Out;
}

} // namespace pomelokeel::sched::detail
