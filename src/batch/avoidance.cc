#include "batch/avoidance.h"

#include <algorithm>
#include <limits>

namespace pomelokeel::batch {
namespace {

/// On a fleet with room, a task must have started when it has had room for 3 s.
constexpr Millis ShortWaitMs = 2000;

/// Lets a worker that fails what it starts be found by other tasks, and runs of
/// some seconds end on the others, before a task risks an attempt there again.
constexpr Millis LongWaitMs = 10000;

/// A unit that has failed on more than this part of the workers is the likelier
/// cause. It would wait for few workers while the others have room.
constexpr std::ptrdiff_t MaxAvoidedPart = 3;

bool isSame(const AvoidedWorker &A, const CandidateWorker &W) {
  return A.m_agent == W.m_agent &&
         A.m_workerIncarnation == W.m_workerIncarnation;
}

// A worker that has completed a run begun later is not the likely cause.
bool isProven(const AvoidedWorker &A, const CandidateWorker &W) {
  return W.m_provenAt >= A.m_failedAt;
}

std::ptrdiff_t countEligible(const Unit &U, const Fleet &F) {
  return std::count_if(
      F.m_workers.begin(), F.m_workers.end(),
      [&](const CandidateWorker &W) { return isEligible(U, W); });
}

bool failedOnMany(const Unit &U, const Fleet &F) {
  const auto MaxAvoided =
      (countEligible(U, F) + MaxAvoidedPart - 1) / MaxAvoidedPart;
  return std::count_if(F.m_workers.begin(), F.m_workers.end(),
                       [&](const CandidateWorker &W) {
                         return isEligible(U, W) && isAvoided(U, W);
                       }) > MaxAvoided;
}

} // namespace

bool isAvoided(const Unit &U, const CandidateWorker &W) {
  return std::any_of(U.m_avoid.begin(), U.m_avoid.end(),
                     [&](const AvoidedWorker &A) { return isSame(A, W); });
}

Millis waitMs(Patience P) {
  return P == Patience::Long ? LongWaitMs : ShortWaitMs;
}

// Long-running tasks have no limited number of attempts and need not wait.
std::vector<std::string> excludedAgents(const Unit &U, const Fleet &F,
                                        Patience P, Millis Now) {
  if (U.m_avoid.empty() || U.m_step->m_longRunning)
    return {};
  Unit Kept = U;
  Kept.m_excluded.clear();
  for (const AvoidedWorker &A : U.m_avoid) {
    if (Now - A.m_failedAt >= waitMs(P))
      continue;
    const auto W = std::find_if(
        F.m_workers.begin(), F.m_workers.end(),
        [&](const CandidateWorker &Each) { return isSame(A, Each); });
    if (W != F.m_workers.end() && !isProven(A, *W))
      Kept.m_excluded.push_back(A.m_agent);
  }
  if (Kept.m_excluded.empty() || failedOnMany(U, F) || !fitsWhenIdle(Kept, F))
    return {};
  return std::move(Kept.m_excluded);
}

Millis exclusionLeftMs(const Unit &U, Patience P, Millis Now) {
  Millis Left = std::numeric_limits<Millis>::max();
  for (const AvoidedWorker &A : U.m_avoid) {
    if (std::find(U.m_excluded.begin(), U.m_excluded.end(), A.m_agent) !=
        U.m_excluded.end())
      Left = std::min(Left, A.m_failedAt + waitMs(P) - Now);
  }
  return Left;
}

} // namespace pomelokeel::batch
