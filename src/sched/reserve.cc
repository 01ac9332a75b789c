#include "sched/reserve.h"

#include <algorithm>

namespace pomelokeel::sched::detail {
namespace {

// Returns the free resources after the first Count jobs have ended.
std::vector<WorkerResources>
resourcesAfter(const Fleet &F, const std::vector<ExpectedEnd> &Ends,
               std::size_t Count) {
  std::vector<WorkerResources> Resources = F.m_resources;
  for (std::size_t I = 0; I < Count; ++I) {
    const Holding &H =
        F.m_holdings[static_cast<std::size_t>(Ends[I].m_holding)];
    for (const Place &P : H.m_places)
      releaseMember(Resources[static_cast<std::size_t>(P.m_worker)], H.m_need,
                    P);
  }
  return Resources;
}

bool fitsAfter(const Fleet &F, Request &R, const std::vector<ExpectedEnd> &Ends,
               std::size_t Count) {
  const std::vector<WorkerResources> Resources = resourcesAfter(F, Ends, Count);
  R.m_resources = &Resources;
  const bool Fits = hasPlaces(F, R);
  R.m_resources = nullptr;
  return Fits;
}

} // namespace

Reservation reserve(const Fleet &F, Request R, std::vector<ExpectedEnd> Ends,
                    const model::PlacementRule &Rule) {
  std::sort(Ends.begin(), Ends.end(), [](const auto &L, const auto &R) {
    return std::tie(L.m_endMs, L.m_holding) < std::tie(R.m_endMs, R.m_holding);
  });
  Reservation Out;
  if (!fitsAfter(F, R, Ends, Ends.size()))
    return Out;
  // Each job that ends only adds free resources, so a binary search finds the
  // smallest number of ended jobs that suffices.
  std::size_t Low = 0;
  std::size_t High = Ends.size();
  while (Low < High) {
    const std::size_t Middle = (Low + High) / 2;
    if (fitsAfter(F, R, Ends, Middle))
      High = Middle;
    else
      Low = Middle + 1;
  }
  std::vector<WorkerResources> Resources = resourcesAfter(F, Ends, Low);
  R.m_resources = &Resources;
  Out.m_places = findPlaces(F, R, Rule);
  Out.m_startMs = Low == 0 ? 0 : Ends[Low - 1].m_endMs;
  for (const Place &P : Out.m_places) {
    WorkerResources &W = Resources[static_cast<std::size_t>(P.m_worker)];
    allocateMember(W, R.m_need, P);
    Out.m_spare[P.m_worker] = W;
  }
  return Out;
}

} // namespace pomelokeel::sched::detail
