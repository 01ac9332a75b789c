#include "sched/queue.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace pomelokeel::sched::detail {

bool isAcceleratorGang(const model::JobSpec &Spec) {
  return Spec.m_members > 1 && Spec.m_accelerators > 0;
}

namespace {

// Waiting time in ms added to that of every job, so that jobs that have just
// been submitted are ordered by their run time.
constexpr double StartCreditMs = 1000;
// Lower bound in ms of the run time by which jobs are ordered: the estimates of
// shorter jobs have errors larger than the differences between them.
constexpr double ShortestRunMs = 1000;

// Waiting time divided by the work that the job asks for. Small jobs come
// first, but every job reaches the front as it ages. With a higher
// fragmentation weight the size counts less, so that large jobs get blocks
// before small jobs split them.
double priorityByAge(const WaitingView &J, Millis NowMs,
                     const model::PlacementRule &Rule) {
  const auto Waited = static_cast<double>(NowMs - J.m_submittedMs);
  const auto Run = static_cast<double>(J.m_expectedRunMs);
  const double Size = std::max(J.m_spec.m_members * J.m_spec.m_accelerators, 1);
  const double Weights = Rule.m_completionWeight + Rule.m_fragmentationWeight;
  const double SizePower =
      Weights > 0 ? 2 * Rule.m_completionWeight / Weights : 1;
  return (Waited + StartCreditMs) /
         (std::max(Run, ShortestRunMs) * std::pow(Size, SizePower));
}

struct QueuedJob {
  const WaitingView *m_job = nullptr;
  double m_priority = 0;
};

} // namespace

std::vector<const WaitingView *> queueOrder(const Snapshot &S) {
  const bool ByAge = S.m_rule.m_strategy == model::PlacementStrategy::Balanced;
  std::vector<QueuedJob> Queue;
  Queue.reserve(S.m_waiting.size());
  for (const WaitingView &J : S.m_waiting)
    Queue.push_back({&J, ByAge ? priorityByAge(J, S.m_nowMs, S.m_rule) : 0});
  std::stable_sort(Queue.begin(), Queue.end(),
                   [](const QueuedJob &L, const QueuedJob &R) {
                     return std::tuple(L.m_job->m_urgent, L.m_priority) >
                            std::tuple(R.m_job->m_urgent, R.m_priority);
                   });
  std::vector<const WaitingView *> Out;
  Out.reserve(Queue.size());
  for (const QueuedJob &Q : Queue)
    Out.push_back(Q.m_job);
  return Out;
}

std::vector<const WaitingView *> agedGangs(const Snapshot &S) {
  std::vector<const WaitingView *> Out;
  for (const WaitingView &J : S.m_waiting) {
    if (!J.m_urgent && isAcceleratorGang(J.m_spec) &&
        J.m_notBeforeMs <= S.m_nowMs &&
        S.m_nowMs - J.m_submittedMs >= S.m_rule.m_reserveAfterMs)
      Out.push_back(&J);
  }
  std::stable_sort(Out.begin(), Out.end(), [](const auto *L, const auto *R) {
    return L->m_submittedMs < R->m_submittedMs;
  });
  return Out;
}

} // namespace pomelokeel::sched::detail
