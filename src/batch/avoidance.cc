#include "batch/avoidance.h"

#include <algorithm>

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

Millis waitMs(Patience P) {
  return P == Patience::Long ? LongWaitMs : ShortWaitMs;
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

bool keepsOff(const AvoidedWorker &A, const CandidateWorker &W, Patience P,
              Millis Now) {
  return isSame(A, W) && Now - A.m_failedAt < waitMs(P) && !isProven(A, W);
}

Millis exclusionLeftMs(const std::vector<AvoidedWorker> &Avoided, Patience P,
                       Millis Now) {
  Millis Left = waitMs(P);
  for (const AvoidedWorker &A : Avoided) {
    const Millis OfThis = A.m_failedAt + waitMs(P) - Now;
    if (OfThis > 0)
      Left = std::min(Left, OfThis);
  }
  return Left;
}

bool mayWaitForOthers(const Unit &U, const Fleet &F) {
  return !failedOnMany(U, F) && fitsWhenIdle(U, F);
}

} // namespace pomelokeel::batch
