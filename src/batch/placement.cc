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
  // Most sites of a busy fleet have none, and divisions are slow.
  if (!fits(Each, Room))
    return 0;
  std::int64_t Count = std::numeric_limits<std::int64_t>::max();
  auto Limit = [&](std::int64_t Need, std::int64_t Free) {
    if (Need > 0)
      Count = std::min(Count, Free / Need);
  };
  Limit(Each.m_milliCores, Room.m_milliCores);
  Limit(Each.m_memoryMb, Room.m_memoryMb);
  Limit(Each.m_accelerators, Room.m_accelerators);
  return Count;
}

/// When the room of Horizon::Soon is expected on average.
constexpr Millis SoonMs = 500;

Resources least(const Resources &A, const Resources &B) {
  return {std::min(A.m_milliCores, B.m_milliCores),
          std::min(A.m_memoryMb, B.m_memoryMb),
          std::min(A.m_accelerators, B.m_accelerators)};
}

using Rooms = std::vector<std::int64_t>; // Tasks that fit, by site.

// What stays the same while one unit is fitted into a fleet whose room changes.
struct Fit {
  Fit(const Unit &U, const Fleet &F);

  const Unit &m_unit;
  const Fleet &m_fleet;
  Resources m_each;
  std::int64_t m_needed = 0;
  std::vector<bool> m_mayRun; ///< By site.
  std::vector<const Scope *> m_scopes;
};

std::int64_t limitOf(const Unit &U, std::size_t Index) {
  if (U.m_step->m_perWorker <= 0)
    return std::numeric_limits<std::int64_t>::max();
  const int Running = Index < U.m_running.size() ? U.m_running[Index] : 0;
  return std::max<std::int64_t>(U.m_step->m_perWorker - Running, 0);
}

// How many of the unit's tasks a site takes if Room is free there.
std::int64_t tasksIn(const Fit &X, std::size_t Index, const Resources &Room) {
  if (!X.m_mayRun[Index])
    return 0;
  return std::min(
      {roomFor(X.m_each, Room), limitOf(X.m_unit, Index), X.m_needed});
}

// How many of them the sites of a scope take when they are idle.
std::int64_t idleTasks(const Fit &X, const Scope &S) {
  std::int64_t Sum = 0;
  for (const std::size_t I : S)
    Sum += tasksIn(X, I, X.m_fleet.m_sites[I].m_capacity);
  return Sum;
}

const Resources &roomOf(const Site &S, Horizon When) {
  return When == Horizon::Now ? S.m_free : S.m_soon;
}

std::int64_t total(const Rooms &R, const Scope &Sites) {
  std::int64_t Sum = 0;
  for (const std::size_t I : Sites)
    Sum += R[I];
  return Sum;
}

// The racks for units that must stay on one and that could hold it when idle,
// else one scope of all sites.
std::vector<const Scope *> scopesOf(const Fit &X) {
  const Fleet &F = X.m_fleet;
  if (!X.m_unit.m_step->m_gang || !X.m_unit.m_step->m_rackLocal ||
      X.m_unit.m_anyRack)
    return {&F.m_all};
  std::vector<const Scope *> Out;
  for (const Scope &Rack : F.m_racks) {
    if (idleTasks(X, Rack) >= X.m_needed)
      Out.push_back(&Rack);
  }
  return Out.empty() ? std::vector<const Scope *>{&F.m_all} : Out;
}

Fit::Fit(const Unit &U, const Fleet &F)
    : m_unit(U), m_fleet(F), m_each(allocationOf(*U.m_step)),
      m_needed(static_cast<std::int64_t>(U.m_indices.size())),
      m_mayRun(F.m_sites.size()) {
  for (std::size_t I = 0; I < F.m_sites.size(); ++I)
    m_mayRun[I] = mayRun(U, F.m_sites[I]);
  m_scopes = scopesOf(*this);
}

// Lower is better: data nearby, not where it failed, sound, then fullest. With
// Horizon::Soon the emptiest: what is free there would be given away, and the
// unit would go on to wait for another site.
auto rankOf(const Unit &U, const Site &S, Horizon When) {
  const bool Far =
      !U.m_step->m_dataRack.empty() && U.m_step->m_dataRack != S.m_rack;
  const bool Avoided = contains(U.m_avoid, S.m_agent);
  const std::int64_t Sign = When == Horizon::Now ? 1 : -1;
  return std::tuple(Far, Avoided, S.m_failures, S.m_slowness,
                    Sign * S.m_free.m_accelerators,
                    Sign * S.m_free.m_milliCores, Sign * S.m_free.m_memoryMb);
}

std::optional<Assignment> fill(const Unit &U, const std::vector<Site> &Sites,
                               Horizon When, const Rooms &Room, Scope Order) {
  const std::size_t Needed = U.m_indices.size();
  if (total(Room, Order) < static_cast<std::int64_t>(Needed))
    return std::nullopt;
  std::stable_sort(
      Order.begin(), Order.end(), [&](std::size_t A, std::size_t B) {
        return rankOf(U, Sites[A], When) < rankOf(U, Sites[B], When);
      });
  Assignment Out;
  for (const std::size_t I : Order) {
    for (std::int64_t N = 0; N < Room[I] && Out.size() < Needed; ++N)
      Out.push_back(I);
  }
  return Out;
}

// How slow the slowest site of the assignment is, since a gang waits for its
// last member, then accelerators that stay free in the scope. With
// Horizon::Soon the most that are free on the sites: a unit that changed its
// rack in each look gave the room away that others had been stopped for.
auto costOf(const Assignment &A, const std::vector<Site> &Sites, Horizon When,
            const Scope &Within) {
  double Slowest = 1;
  for (const std::size_t I : A)
    Slowest = std::max(Slowest, Sites[I].m_slowness);
  std::int64_t Free = 0;
  if (When == Horizon::Now) {
    for (const std::size_t I : Within)
      Free += Sites[I].m_free.m_accelerators;
    return std::tuple(Slowest, Free);
  }
  for (const std::size_t I : A)
    Free += Sites[I].m_free.m_accelerators;
  return std::tuple(Slowest, -Free);
}

// Room that becomes free as victims are added, within one scope.
class Gain {
public:
  Gain(const Fit &X, const Scope &S)
      : m_fit(X), m_inScope(X.m_mayRun.size(), false),
        m_room(X.m_mayRun.size()), m_tasks(X.m_mayRun.size(), 0) {
    for (const std::size_t I : S) {
      m_inScope[I] = true;
      m_room[I] = X.m_fleet.m_sites[I].m_soon;
      m_tasks[I] = tasksIn(X, I, m_room[I]);
      m_total += m_tasks[I];
    }
  }

  bool enough() const { return m_total >= m_fit.m_needed; }

  /// Adds or removes the room of \p V. False if that changes nothing.
  bool change(const Victim &V, bool Add) {
    const std::int64_t Before = m_total;
    bool Touches = false;
    for (const auto &[Index, Room] : V.m_room) {
      if (!m_inScope[Index])
        continue;
      Touches = true;
      m_room[Index] = Add ? m_room[Index] + Room : m_room[Index] - Room;
      m_total -= m_tasks[Index];
      m_tasks[Index] = tasksIn(m_fit, Index, m_room[Index]);
      m_total += m_tasks[Index];
    }
    return Touches || m_total != Before;
  }

private:
  const Fit &m_fit;
  std::vector<bool> m_inScope;
  std::vector<Resources> m_room;
  Rooms m_tasks;
  std::int64_t m_total = 0;
};

// Sites where the unit may not run hold nothing worth stopping for it.
bool useful(const Fit &X, const Victim &V) {
  return std::any_of(V.m_room.begin(), V.m_room.end(),
                     [&](const auto &Room) { return X.m_mayRun[Room.first]; });
}

Fleet without(const Fleet &F, const std::vector<std::string> &Agents) {
  Fleet Out = F;
  for (Site &S : Out.m_sites)
    S.m_usable = S.m_usable && !contains(Agents, S.m_agent);
  return Out;
}

// The unit and the fleet without the agents that failed it, if others could
// hold it.
std::optional<std::pair<Unit, Fleet>> avoiding(const Unit &U, const Fleet &F) {
  if (U.m_avoid.empty())
    return std::nullopt;
  std::pair Out(U, without(F, U.m_avoid));
  Out.first.m_avoid.clear();
  if (!canEverFit(Out.first, Out.second))
    return std::nullopt;
  return Out;
}

} // namespace

Fleet makeFleet(std::vector<Site> Sites) {
  Fleet Out;
  Out.m_sites = std::move(Sites);
  std::map<std::string, Scope> Racks;
  for (std::size_t I = 0; I < Out.m_sites.size(); ++I) {
    Out.m_all.push_back(I);
    Racks[Out.m_sites[I].m_rack].push_back(I);
  }
  Out.m_rackOf.resize(Out.m_sites.size());
  for (auto &[Name, Rack] : Racks) {
    for (const std::size_t I : Rack)
      Out.m_rackOf[I] = Out.m_racks.size();
    Out.m_racks.push_back(std::move(Rack));
  }
  return Out;
}

std::optional<Assignment> place(const Unit &U, const Fleet &F, Horizon When) {
  if (const auto Elsewhere = avoiding(U, F))
    return place(Elsewhere->first, Elsewhere->second, When);
  const Fit X(U, F);
  Rooms Room(F.m_sites.size(), 0);
  for (std::size_t I = 0; I < Room.size(); ++I)
    Room[I] = tasksIn(X, I, roomOf(F.m_sites[I], When));
  std::optional<Assignment> Best;
  std::tuple<double, std::int64_t> BestCost;
  for (const Scope *S : X.m_scopes) {
    auto Found = fill(U, F.m_sites, When, Room, *S);
    if (!Found)
      continue;
    const auto Cost = costOf(*Found, F.m_sites, When, *S);
    if (!Best || Cost < BestCost) {
      Best = std::move(Found);
      BestCost = Cost;
    }
  }
  return Best;
}

std::optional<Assignment> placeAfter(const Unit &U, const Fleet &F,
                                     const Releases &R) {
  if (const auto Elsewhere = avoiding(U, F))
    return placeAfter(Elsewhere->first, Elsewhere->second, R);
  const Fit X(U, F);
  std::optional<Assignment> Best;
  Millis BestMs = std::numeric_limits<Millis>::max();
  for (const Scope *S : X.m_scopes) {
    std::vector<std::pair<Millis, std::size_t>> Slots; // A task fits from then.
    for (const std::size_t I : *S) {
      const Site &Here = F.m_sites[I];
      const std::int64_t Idle = tasksIn(X, I, least(Here.m_free, Here.m_soon));
      std::int64_t Tasks = tasksIn(X, I, Here.m_soon);
      Slots.insert(Slots.end(), static_cast<std::size_t>(Idle), {0, I});
      Slots.insert(Slots.end(), static_cast<std::size_t>(Tasks - Idle),
                   {SoonMs, I});
      Resources Room = Here.m_soon;
      for (const Release &Next : R[I]) {
        Room = Room + Next.m_room;
        // Most of it is not enough yet, and the rest is more than is needed.
        if (Tasks >= X.m_needed)
          break;
        if (!fits(X.m_each, Room))
          continue;
        const std::int64_t More = tasksIn(X, I, Room) - Tasks;
        if (More <= 0)
          continue;
        Slots.insert(Slots.end(), static_cast<std::size_t>(More),
                     {Next.m_inMs, I});
        Tasks += More;
      }
    }
    const std::size_t Needed = U.m_indices.size();
    if (Slots.size() < Needed)
      continue;
    std::stable_sort(Slots.begin(), Slots.end());
    if (Slots[Needed - 1].first >= BestMs)
      continue;
    BestMs = Slots[Needed - 1].first;
    Best.emplace();
    for (std::size_t N = 0; N < Needed; ++N)
      Best->push_back(Slots[N].second);
  }
  return Best;
}

bool canEverFit(const Unit &U, const Fleet &F) {
  const Fit X(U, F);
  return std::any_of(X.m_scopes.begin(), X.m_scopes.end(), [&](const Scope *S) {
    return idleTasks(X, *S) >= X.m_needed;
  });
}

void take(const Unit &U, const Assignment &A, Horizon When, Fleet &F) {
  const Resources Each = allocationOf(*U.m_step);
  for (const std::size_t I : A) {
    Site &S = F.m_sites[I];
    S.m_soon = S.m_soon - Each;
    // What is free there now would only be lost to others.
    if (When != Horizon::Soon) {
      S.m_free = S.m_free - Each;
      continue;
    }
    S.m_free = least(S.m_free, S.m_soon);
  }
}

Victims makeVictims(std::vector<const Victim *> Cheapest, const Fleet &F) {
  Victims Out{std::move(Cheapest), std::vector<Scope>(F.m_racks.size())};
  for (std::size_t V = 0; V < Out.m_all.size(); ++V) {
    for (const auto &[Index, Room] : Out.m_all[V]->m_room) {
      Scope &Rack = Out.m_byRack[F.m_rackOf[Index]];
      if (Rack.empty() || Rack.back() != V)
        Rack.push_back(V);
    }
  }
  return Out;
}

std::optional<std::vector<std::size_t>>
chooseVictims(const Unit &U, const Fleet &F, const Victims &All) {
  const Fit X(U, F);
  const std::vector<const Victim *> &Victims = All.m_all;
  Scope Everywhere;
  if (X.m_scopes.front() == &F.m_all) {
    Everywhere.resize(Victims.size());
    std::iota(Everywhere.begin(), Everywhere.end(), std::size_t(0));
  }
  std::optional<std::vector<std::size_t>> Best;
  double BestCost = 0;
  for (const Scope *S : X.m_scopes) {
    const Scope &Cheapest =
        S == &F.m_all ? Everywhere : All.m_byRack[F.m_rackOf[S->front()]];
    Gain G(X, *S);
    std::vector<std::size_t> Chosen;
    for (const std::size_t V : Cheapest) {
      if (G.enough())
        break;
      if (useful(X, *Victims[V]) && G.change(*Victims[V], true))
        Chosen.push_back(V);
    }
    if (!G.enough())
      continue;
    // Dearest first: those that the unit can do without go on.
    for (std::size_t I = Chosen.size(); I-- > 0;) {
      G.change(*Victims[Chosen[I]], false);
      if (G.enough())
        Chosen.erase(Chosen.begin() + static_cast<std::ptrdiff_t>(I));
      else
        G.change(*Victims[Chosen[I]], true);
    }
    double Cost = 0;
    for (const std::size_t V : Chosen)
      Cost += Victims[V]->m_cost;
    if (!Best || Cost < BestCost) {
      Best = std::move(Chosen);
      BestCost = Cost;
    }
  }
  return Best;
}

} // namespace pomelokeel::batch
