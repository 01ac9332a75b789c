#include "batch/placement.h"

#include <algorithm>
#include <limits>
#include <map>
#include <numeric>
#include <tuple>

namespace pomelokeel::batch {
namespace {

bool contains(const std::vector<std::string> &All, const std::string &One) {
  return std::find(All.begin(), All.end(), One) != All.end();
}

bool hasLabel(const Site &S, const std::string &Label) {
  return Label.empty() || contains(S.m_labels, Label);
}

bool mayRun(const Unit &U, const Site &S) {
  return S.m_usable && S.m_service == U.m_spec->m_queue.m_service &&
         hasLabel(S, U.m_step->m_label);
}

// How many tasks of the step fit into Room.
std::int64_t roomFor(const Resources &Each, const Resources &Room) {
  std::int64_t Count = std::numeric_limits<std::int64_t>::max();
  auto Limit = [&](std::int64_t Need, std::int64_t Free) {
    if (Need > 0)
      Count = std::min(Count, std::max<std::int64_t>(Free, 0) / Need);
  };
  Limit(Each.m_milliCores, Room.m_milliCores);
  Limit(Each.m_memoryMb, Room.m_memoryMb);
  Limit(Each.m_accelerators, Room.m_accelerators);
  return Count;
}

using Rooms = std::vector<std::int64_t>; // Tasks that fit, by site.

// With Idle, rooms are those of workers that run nothing else.
Rooms roomsOf(const Unit &U, const std::vector<Site> &Sites, Horizon When,
              bool Idle) {
  Rooms Out(Sites.size(), 0);
  const Resources Each = chargeOf(*U.m_step);
  for (std::size_t I = 0; I < Sites.size(); ++I) {
    const Site &S = Sites[I];
    if (!mayRun(U, S))
      continue;
    const Resources &Room = Idle                   ? S.m_capacity
                            : When == Horizon::Now ? S.m_free
                                                   : S.m_soon;
    Out[I] = roomFor(Each, Room);
    if (U.m_step->m_perWorker > 0) {
      const int Running = I < U.m_running.size() ? U.m_running[I] : 0;
      Out[I] = std::min(
          Out[I], std::max<std::int64_t>(U.m_step->m_perWorker - Running, 0));
    }
  }
  return Out;
}

std::int64_t total(const Rooms &R, const std::vector<std::size_t> &Sites) {
  std::int64_t Sum = 0;
  for (const std::size_t I : Sites)
    Sum += std::min<std::int64_t>(R[I], 1 << 20);
  return Sum;
}

using Scope = std::vector<std::size_t>; // Sites that a unit may be spread over.

// The racks for units that must stay on one, else one scope of all sites.
std::vector<Scope> scopesOf(const Unit &U, const std::vector<Site> &Sites) {
  Scope All(Sites.size());
  std::iota(All.begin(), All.end(), 0);
  if (!U.m_step->m_gang || !U.m_step->m_rackLocal)
    return {All};
  std::map<std::string, Scope> Racks;
  for (const std::size_t I : All)
    Racks[Sites[I].m_rack].push_back(I);
  const Rooms Idle = roomsOf(U, Sites, Horizon::Now, true);
  const auto Needed = static_cast<std::int64_t>(U.m_indices.size());
  std::vector<Scope> Out;
  for (auto &[Name, Rack] : Racks) {
    if (total(Idle, Rack) >= Needed)
      Out.push_back(std::move(Rack));
  }
  return Out.empty() ? std::vector<Scope>{All} : Out;
}

// Lower is better: data nearby, not where it failed, sound, then fullest.
auto rankOf(const Unit &U, const Site &S) {
  const bool Far =
      !U.m_step->m_dataRack.empty() && U.m_step->m_dataRack != S.m_rack;
  const bool Avoided = contains(U.m_avoid, S.m_agent);
  return std::tuple(Far, Avoided, S.m_failures, S.m_slowness,
                    S.m_free.m_accelerators, S.m_free.m_milliCores,
                    S.m_free.m_memoryMb);
}

std::optional<Assignment> fill(const Unit &U, const std::vector<Site> &Sites,
                               const Rooms &Room, Scope Order) {
  const std::size_t Needed = U.m_indices.size();
  if (total(Room, Order) < static_cast<std::int64_t>(Needed))
    return std::nullopt;
  std::stable_sort(Order.begin(), Order.end(),
                   [&](std::size_t A, std::size_t B) {
                     return rankOf(U, Sites[A]) < rankOf(U, Sites[B]);
                   });
  Assignment Out;
  for (const std::size_t I : Order) {
    for (std::int64_t N = 0; N < Room[I] && Out.size() < Needed; ++N)
      Out.push_back(I);
  }
  return Out;
}

// Accelerators that stay free on the sites of the assignment, and how slow the
// slowest of them is: a gang waits for its last member.
auto costOf(const Assignment &A, const std::vector<Site> &Sites,
            const Scope &Within) {
  double Slowest = 1;
  for (const std::size_t I : A)
    Slowest = std::max(Slowest, Sites[I].m_slowness);
  std::int64_t Left = 0;
  for (const std::size_t I : Within)
    Left += Sites[I].m_free.m_accelerators;
  return std::tuple(Slowest, Left);
}

std::vector<Site> without(const std::vector<Site> &Sites,
                          const std::vector<Victim> &Victims,
                          const std::vector<std::size_t> &Chosen) {
  std::vector<Site> Out = Sites;
  for (const std::size_t V : Chosen) {
    for (const auto &[Index, Room] : Victims[V].m_room)
      Out[Index].m_soon = Out[Index].m_soon + Room;
  }
  return Out;
}

// Drops victims, dearest first, that the unit can do without.
void prune(const Unit &U, const std::vector<Site> &Sites,
           const std::vector<Victim> &Victims,
           std::vector<std::size_t> &Chosen) {
  std::vector<std::size_t> Dearest = Chosen;
  std::stable_sort(Dearest.begin(), Dearest.end(),
                   [&](std::size_t A, std::size_t B) {
                     return Victims[A].m_cost > Victims[B].m_cost;
                   });
  for (const std::size_t V : Dearest) {
    std::vector<std::size_t> Rest = Chosen;
    std::erase(Rest, V);
    if (place(U, without(Sites, Victims, Rest), Horizon::Soon))
      Chosen = std::move(Rest);
  }
}

bool touches(const Victim &V, const Scope &S) {
  return std::any_of(V.m_room.begin(), V.m_room.end(), [&](const auto &Room) {
    return std::find(S.begin(), S.end(), Room.first) != S.end();
  });
}

} // namespace

std::optional<Assignment> place(const Unit &U, const std::vector<Site> &Sites,
                                Horizon When) {
  if (!U.m_avoid.empty()) {
    std::vector<Site> Others = Sites;
    for (Site &S : Others)
      S.m_usable = S.m_usable && !contains(U.m_avoid, S.m_agent);
    Unit Anywhere = U;
    Anywhere.m_avoid.clear();
    if (canEverFit(Anywhere, Others))
      return place(Anywhere, Others, When);
  }
  const Rooms Room = roomsOf(U, Sites, When, false);
  std::optional<Assignment> Best;
  std::tuple<double, std::int64_t> BestCost;
  for (const Scope &S : scopesOf(U, Sites)) {
    auto Found = fill(U, Sites, Room, S);
    if (!Found)
      continue;
    const auto Cost = costOf(*Found, Sites, S);
    if (!Best || Cost < BestCost) {
      Best = std::move(Found);
      BestCost = Cost;
    }
  }
  return Best;
}

bool canEverFit(const Unit &U, const std::vector<Site> &Sites) {
  const Rooms Idle = roomsOf(U, Sites, Horizon::Now, true);
  const auto Scopes = scopesOf(U, Sites);
  return std::any_of(Scopes.begin(), Scopes.end(), [&](const Scope &S) {
    return total(Idle, S) >= static_cast<std::int64_t>(U.m_indices.size());
  });
}

void take(const Unit &U, const Assignment &A, Horizon When,
          std::vector<Site> &Sites) {
  const Resources Each = chargeOf(*U.m_step);
  for (const std::size_t I : A) {
    Site &S = Sites[I];
    S.m_soon = S.m_soon - Each;
    if (When == Horizon::Now) {
      S.m_free = S.m_free - Each;
      continue;
    }
    S.m_free.m_milliCores =
        std::min(S.m_free.m_milliCores, S.m_soon.m_milliCores);
    S.m_free.m_memoryMb = std::min(S.m_free.m_memoryMb, S.m_soon.m_memoryMb);
    S.m_free.m_accelerators =
        std::min(S.m_free.m_accelerators, S.m_soon.m_accelerators);
  }
}

std::optional<std::vector<std::size_t>>
chooseVictims(const Unit &U, const std::vector<Site> &Sites,
              const std::vector<Victim> &Victims) {
  std::vector<std::size_t> Cheapest(Victims.size());
  std::iota(Cheapest.begin(), Cheapest.end(), 0);
  std::stable_sort(Cheapest.begin(), Cheapest.end(),
                   [&](std::size_t A, std::size_t B) {
                     return Victims[A].m_cost < Victims[B].m_cost;
                   });
  std::optional<std::vector<std::size_t>> Best;
  double BestCost = 0;
  for (const Scope &S : scopesOf(U, Sites)) {
    std::vector<std::size_t> Chosen;
    bool Fits = false;
    for (const std::size_t V : Cheapest) {
      if (!touches(Victims[V], S))
        continue;
      Chosen.push_back(V);
      Fits =
          place(U, without(Sites, Victims, Chosen), Horizon::Soon).has_value();
      if (Fits)
        break;
    }
    if (!Fits)
      continue;
    prune(U, Sites, Victims, Chosen);
    double Cost = 0;
    for (const std::size_t V : Chosen)
      Cost += Victims[V].m_cost;
    if (!Best || Cost < BestCost) {
      Best = std::move(Chosen);
      BestCost = Cost;
    }
  }
  return Best;
}

} // namespace pomelokeel::batch
