#include "sched/reclaim.h"

#include <algorithm>

namespace pomelokeel::sched::detail {
namespace {

using Victims = std::vector<std::vector<Victim>>;

// Returns the jobs that may be reclaimed from the account's blocks, by worker.
// Jobs without accelerators are included: they hold slots, cores and memory
// without which the blocks cannot be used.
Victims possibleVictims(const Fleet &F, const ReservedBlocks &Blocks,
                        int Account, const std::vector<bool> &Reclaiming,
                        const std::vector<bool> &Protected) {
  Victims Out(F.m_resources.size());
  for (std::size_t I = 0; I < Reclaiming.size(); ++I) {
    const Holding &H = F.m_holdings[I];
    if (!H.m_preemptible || H.m_account == Account || Protected[I] ||
        Blocks.isInsideOwnBlocks(H))
      continue;
    for (const Place &At : H.m_places) {
      const Mask Reserved = Blocks.reservedFor(Account, At.m_worker);
      const bool Conflicts =
          At.m_accelerators == 0 ? Reserved != 0 : (Reserved & At.mask()) != 0;
      if (Conflicts)
        Out[static_cast<std::size_t>(At.m_worker)].push_back(
            {static_cast<int>(I), At,
             Reclaiming[I] ? 0 : static_cast<int>(H.m_places.size())});
    }
  }
  return Out;
}

// Collects the jobs to reclaim on one worker.
class WorkerVictims {
public:
  WorkerVictims(const Fleet &F, const Request &R, int Worker,
                const std::vector<Victim> &Victims)
      : m_fleet(F), m_request(R),
        m_resources(F.m_resources[static_cast<std::size_t>(Worker)]),
        m_victims(Victims) {}

  void collect(const std::vector<Place> &Here, std::vector<int> &Out) {
    Mask Wanted = 0;
    for (const Place &P : Here)
      Wanted |= P.mask();
    for (const Victim &V : m_victims) {
      if ((V.m_place.mask() & Wanted) != 0)
        add(V, Out);
    }
    // Slots, cores and memory may still be missing.
    const Need &N = m_request.m_need;
    const int Members = static_cast<int>(Here.size());
    for (const Victim &V : m_victims) {
      if (m_resources.m_slots >= Members &&
          m_resources.m_cores >= Members * N.m_cores &&
          m_resources.m_memoryMb >= Members * N.m_memoryMb)
        return;
      if ((V.m_place.mask() & Wanted) == 0)
        add(V, Out);
    }
  }

private:
  void add(const Victim &V, std::vector<int> &Out) {
    releaseMember(
        m_resources,
        m_fleet.m_holdings[static_cast<std::size_t>(V.m_holding)].m_need,
        V.m_place);
    if (std::find(Out.begin(), Out.end(), V.m_holding) == Out.end())
      Out.push_back(V.m_holding);
  }

  const Fleet &m_fleet;
  const Request &m_request;
  WorkerResources m_resources;
  const std::vector<Victim> &m_victims;
};

std::vector<int> victimsOf(const Fleet &F, const Request &R,
                           const Victims &Possible,
                           const std::vector<Place> &Places) {
  std::vector<int> Out;
  std::vector<int> Done;
  for (const Place &P : Places) {
    if (std::find(Done.begin(), Done.end(), P.m_worker) != Done.end())
      continue;
    Done.push_back(P.m_worker);
    std::vector<Place> Here;
    std::copy_if(Places.begin(), Places.end(), std::back_inserter(Here),
                 [&](const Place &Q) { return Q.m_worker == P.m_worker; });
    WorkerVictims(F, R, P.m_worker,
                  Possible[static_cast<std::size_t>(P.m_worker)])
        .collect(Here, Out);
  }
  return Out;
}

} // namespace

ReclaimChoice chooseReclaim(const Fleet &F, const ReservedBlocks &Blocks,
                            int Account, Request R,
                            const std::vector<bool> &Reclaiming,
                            const std::vector<bool> &Protected,
                            const model::PlacementRule &Rule) {
  const Victims Possible =
      possibleVictims(F, Blocks, Account, Reclaiming, Protected);
  std::vector<WorkerResources> Resources = F.m_resources;
  if (R.m_blocked.empty())
    R.m_blocked.resize(Resources.size());
  for (std::size_t I = 0; I < Resources.size(); ++I) {
    R.m_blocked[I] |= Blocks.reservedForOthers(Account, static_cast<int>(I));
    for (const Victim &V : Possible[I])
      releaseMember(Resources[I],
                    F.m_holdings[static_cast<std::size_t>(V.m_holding)].m_need,
                    V.m_place);
  }
  R.m_resources = &Resources;
  R.m_victims = &Possible;
  ReclaimChoice Out;
  Out.m_places = findPlaces(F, R, Rule);
  Out.m_holdings = victimsOf(F, R, Possible, Out.m_places);
  return Out;
}

} // namespace pomelokeel::sched::detail
