#include "batch/placement.h"

#include "batch/avoidance.h"

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

bool hasLabel(const CandidateWorker &W, const std::string &Label) {
  return Label.empty() || contains(W.m_labels, Label);
}

bool mayRun(const Unit &U, const CandidateWorker &W) {
  return isEligible(U, W) && !contains(U.m_excluded, W.m_agent);
}

// How many tasks fit into the free resources.
std::int64_t countThatFit(const Resources &Each, const Resources &Free) {
  // On a busy fleet most workers have none free, and divisions are slow.
  if (!fits(Each, Free))
    return 0;
  std::int64_t Count = std::numeric_limits<std::int64_t>::max();
  auto Limit = [&](std::int64_t Need, std::int64_t Available) {
    if (Need > 0)
      Count = std::min(Count, Available / Need);
  };
  Limit(Each.m_milliCores, Free.m_milliCores);
  Limit(Each.m_memoryMb, Free.m_memoryMb);
  Limit(Each.m_accelerators, Free.m_accelerators);
  return Count;
}

/// Average time until the resources of Horizon::Soon are free.
constexpr Millis SoonMs = 500;

Resources elementwiseMin(const Resources &A, const Resources &B) {
  return {std::min(A.m_milliCores, B.m_milliCores),
          std::min(A.m_memoryMb, B.m_memoryMb),
          std::min(A.m_accelerators, B.m_accelerators)};
}

using TaskCounts = std::vector<std::int64_t>; // Tasks that fit, by worker.

// What does not depend on the free resources while a unit is being placed.
struct FitContext {
  FitContext(const Unit &U, const Fleet &F);

  const Unit &m_unit;
  const Fleet &m_fleet;
  Resources m_each;
  std::int64_t m_needed = 0;
  std::vector<bool> m_mayRun; ///< By worker.
  std::vector<const Scope *> m_scopes;
};

std::int64_t perWorkerLimit(const Unit &U, std::size_t Index) {
  if (U.m_step->m_perWorker <= 0)
    return std::numeric_limits<std::int64_t>::max();
  const int Running = Index < U.m_running.size() ? U.m_running[Index] : 0;
  return std::max<std::int64_t>(U.m_step->m_perWorker - Running, 0);
}

// How many of the unit's tasks fit on a worker with these free resources.
std::int64_t tasksThatFit(const FitContext &X, std::size_t Index,
                          const Resources &Free) {
  if (!X.m_mayRun[Index])
    return 0;
  return std::min({countThatFit(X.m_each, Free),
                   perWorkerLimit(X.m_unit, Index), X.m_needed});
}

// How many of the unit's tasks fit on the workers of a scope when all are idle.
std::int64_t tasksWhenIdle(const FitContext &X, const Scope &S) {
  std::int64_t Sum = 0;
  for (const std::size_t I : S)
    Sum += tasksThatFit(X, I, X.m_fleet.m_workers[I].m_capacity);
  return Sum;
}

const Resources &freeResources(const CandidateWorker &W, Horizon When) {
  return When == Horizon::Now ? W.m_free : W.m_freeSoon;
}

std::int64_t total(const TaskCounts &R, const Scope &Workers) {
  std::int64_t Sum = 0;
  for (const std::size_t I : Workers)
    Sum += R[I];
  return Sum;
}

// For a rack-local gang, the racks that could hold it when idle. For other
// units, or if no rack could, one scope of all workers.
std::vector<const Scope *> scopesOf(const FitContext &X) {
  const Fleet &F = X.m_fleet;
  if (!X.m_unit.m_step->m_gang || !X.m_unit.m_step->m_rackLocal ||
      X.m_unit.m_anyRack)
    return {&F.m_all};
  std::vector<const Scope *> Out;
  for (const Scope &Rack : F.m_racks) {
    if (tasksWhenIdle(X, Rack) >= X.m_needed)
      Out.push_back(&Rack);
  }
  return Out.empty() ? std::vector<const Scope *>{&F.m_all} : Out;
}

FitContext::FitContext(const Unit &U, const Fleet &F)
    : m_unit(U), m_fleet(F), m_each(allocationOf(*U.m_step)),
      m_needed(static_cast<std::int64_t>(U.m_indices.size())),
      m_mayRun(F.m_workers.size()) {
  for (std::size_t I = 0; I < F.m_workers.size(); ++I)
    m_mayRun[I] = mayRun(U, F.m_workers[I]);
  m_scopes = scopesOf(*this);
}

/// Which workers a unit prefers by their speed.
enum class SpeedPreference { Fast, None, Slow };

/// From this priority on, tasks can wait and prefer slow workers, so that fast
/// ones stay free for gangs and urgent tasks.
constexpr int PatientPriority = 2;

SpeedPreference speedPreferenceOf(const Unit &U) {
  const int Priority = U.m_spec->m_queue.m_priority;
  if (U.m_step->m_gang || Priority <= 0)
    return SpeedPreference::Fast;
  return Priority >= PatientPriority ? SpeedPreference::Slow
                                     : SpeedPreference::None;
}

// Speeds are compared in two classes. Learned values differ a little between
// all workers, and would leave no workers to choose the fullest of.
bool isSlow(const CandidateWorker &W) { return W.m_slowness >= SlowFrom; }

int speedKey(const CandidateWorker &W, SpeedPreference P) {
  switch (P) {
  case SpeedPreference::Fast:
    return isSlow(W) ? 1 : 0;
  case SpeedPreference::Slow:
    return isSlow(W) ? 0 : 1;
  case SpeedPreference::None:
    break;
  }
  return 0;
}

// Lower is better: prefers the rack of the data, then workers where the unit
// has not failed, then healthy workers, then those of the preferred speed, then
// the fullest. With Horizon::Soon it prefers the emptiest: otherwise their free
// resources would go to other units, and the unit would have to wait for
// another worker.
auto preferenceOf(const Unit &U, const CandidateWorker &W, Horizon When,
                  SpeedPreference Speed) {
  const bool Far =
      !U.m_step->m_dataRack.empty() && U.m_step->m_dataRack != W.m_rack;
  const bool Avoided = isAvoided(U, W);
  const std::int64_t Sign = When == Horizon::Now ? 1 : -1;
  return std::tuple(Far, Avoided, W.m_failures, speedKey(W, Speed),
                    Sign * W.m_free.m_accelerators,
                    Sign * W.m_free.m_milliCores, Sign * W.m_free.m_memoryMb);
}

std::optional<Assignment>
assignInOrder(const Unit &U, const std::vector<CandidateWorker> &Workers,
              Horizon When, const TaskCounts &Counts, Scope Order,
              SpeedPreference Speed) {
  const std::size_t Needed = U.m_indices.size();
  if (total(Counts, Order) < static_cast<std::int64_t>(Needed))
    return std::nullopt;
  // On a busy fleet most workers have no room.
  std::erase_if(Order, [&](std::size_t I) { return Counts[I] == 0; });
  std::stable_sort(Order.begin(), Order.end(),
                   [&](std::size_t A, std::size_t B) {
                     return preferenceOf(U, Workers[A], When, Speed) <
                            preferenceOf(U, Workers[B], When, Speed);
                   });
  Assignment Out;
  for (const std::size_t I : Order) {
    for (std::int64_t N = 0; N < Counts[I] && Out.size() < Needed; ++N)
      Out.push_back(I);
  }
  return Out;
}

bool hasSlow(const Assignment &A, const std::vector<CandidateWorker> &Workers) {
  return std::any_of(A.begin(), A.end(),
                     [&](std::size_t I) { return isSlow(Workers[I]); });
}

std::optional<Assignment> assign(const Unit &U,
                                 const std::vector<CandidateWorker> &Workers,
                                 Horizon When, const TaskCounts &Counts,
                                 const Scope &Within) {
  auto Out =
      assignInOrder(U, Workers, When, Counts, Within, speedPreferenceOf(U));
  // A gang is as slow as its slowest member. If it needs a slow worker, fast
  // ones are of no use to it.
  if (Out && U.m_step->m_gang && hasSlow(*Out, Workers))
    return assignInOrder(U, Workers, When, Counts, Within,
                         SpeedPreference::Slow);
  return Out;
}

// Lower is better. Compares the slowest worker first, since a gang waits for
// its last member, then the free accelerators of the whole scope, fewest first.
// With Horizon::Soon the most free accelerators on the chosen workers win:
// otherwise a unit could change its rack in each scheduling pass and give away
// the resources that runs had been preempted for.
auto costOf(const Assignment &A, const std::vector<CandidateWorker> &Workers,
            Horizon When, const Scope &Within) {
  const bool Slow = hasSlow(A, Workers);
  std::int64_t Free = 0;
  if (When == Horizon::Now) {
    for (const std::size_t I : Within)
      Free += Workers[I].m_free.m_accelerators;
    return std::tuple(Slow, Free);
  }
  for (const std::size_t I : A)
    Free += Workers[I].m_free.m_accelerators;
  return std::tuple(Slow, -Free);
}

// Resources of one scope that become free as victims are added.
class FreedCapacity {
public:
  FreedCapacity(const FitContext &X, const Scope &S)
      : m_fit(X), m_inScope(X.m_mayRun.size(), false),
        m_available(X.m_mayRun.size()), m_tasks(X.m_mayRun.size(), 0) {
    for (const std::size_t I : S) {
      m_inScope[I] = true;
      m_available[I] = X.m_fleet.m_workers[I].m_freeSoon;
      m_tasks[I] = tasksThatFit(X, I, m_available[I]);
      m_total += m_tasks[I];
    }
  }

  bool enough() const { return m_total >= m_fit.m_needed; }

  /// Adds or removes the resources of \p V. Returns false if that changes
  /// nothing.
  bool change(const Victim &V, bool Add) {
    const std::int64_t Before = m_total;
    bool Touches = false;
    for (const auto &[Index, Freed] : V.m_freed) {
      if (!m_inScope[Index])
        continue;
      Touches = true;
      m_available[Index] =
          Add ? m_available[Index] + Freed : m_available[Index] - Freed;
      m_total -= m_tasks[Index];
      m_tasks[Index] = tasksThatFit(m_fit, Index, m_available[Index]);
      m_total += m_tasks[Index];
    }
    return Touches || m_total != Before;
  }

private:
  const FitContext &m_fit;
  std::vector<bool> m_inScope;
  std::vector<Resources> m_available;
  TaskCounts m_tasks;
  std::int64_t m_total = 0;
};

// Runs on workers where the unit may not run are not worth preempting.
bool isOnEligibleWorker(const FitContext &X, const Victim &V) {
  return std::any_of(
      V.m_freed.begin(), V.m_freed.end(),
      [&](const auto &Freed) { return X.m_mayRun[Freed.first]; });
}

} // namespace

Fleet makeFleet(std::vector<CandidateWorker> Workers) {
  Fleet Out;
  Out.m_workers = std::move(Workers);
  std::map<std::string, Scope> Racks;
  for (std::size_t I = 0; I < Out.m_workers.size(); ++I) {
    Out.m_all.push_back(I);
    Racks[Out.m_workers[I].m_rack].push_back(I);
  }
  Out.m_rackOf.resize(Out.m_workers.size());
  for (auto &[Name, Rack] : Racks) {
    for (const std::size_t I : Rack)
      Out.m_rackOf[I] = Out.m_racks.size();
    Out.m_racks.push_back(std::move(Rack));
  }
  return Out;
}

std::optional<Assignment> place(const Unit &U, const Fleet &F, Horizon When) {
  const FitContext X(U, F);
  TaskCounts Counts(F.m_workers.size(), 0);
  for (std::size_t I = 0; I < Counts.size(); ++I)
    Counts[I] = tasksThatFit(X, I, freeResources(F.m_workers[I], When));
  std::optional<Assignment> Best;
  std::tuple<bool, std::int64_t> BestCost;
  for (const Scope *S : X.m_scopes) {
    auto Found = assign(U, F.m_workers, When, Counts, *S);
    if (!Found)
      continue;
    const auto Cost = costOf(*Found, F.m_workers, When, *S);
    if (!Best || Cost < BestCost) {
      Best = std::move(Found);
      BestCost = Cost;
    }
  }
  return Best;
}

bool isEligible(const Unit &U, const CandidateWorker &W) {
  return W.m_usable && W.m_service == U.m_spec->m_queue.m_service &&
         hasLabel(W, U.m_step->m_label);
}

bool fitsBesideLasting(const Unit &U, const Fleet &F) {
  const FitContext X(U, F);
  return std::any_of(X.m_scopes.begin(), X.m_scopes.end(), [&](const Scope *S) {
    std::int64_t Sum = 0;
    for (const std::size_t I : *S) {
      const CandidateWorker &W = F.m_workers[I];
      Sum += tasksThatFit(X, I, W.m_capacity - W.m_lasting);
    }
    return Sum >= X.m_needed;
  });
}

bool fitsWhenIdle(const Unit &U, const Fleet &F) {
  const FitContext X(U, F);
  return std::any_of(X.m_scopes.begin(), X.m_scopes.end(), [&](const Scope *S) {
    return tasksWhenIdle(X, *S) >= X.m_needed;
  });
}

Fit fitOf(const Unit &U, const Fleet &F) {
  /// Of tasks that need nothing, any number fits.
  constexpr std::int64_t MaxCounted = 1'000'000;
  const FitContext X(U, F);
  const auto Count = [&](std::size_t I, const Resources &Free) {
    return X.m_mayRun[I] ? std::min({countThatFit(X.m_each, Free),
                                     perWorkerLimit(U, I), MaxCounted})
                         : 0;
  };
  Fit Out;
  Out.m_workers = std::count(X.m_mayRun.begin(), X.m_mayRun.end(), true);
  for (const Scope *S : X.m_scopes) {
    std::int64_t Now = 0;
    std::int64_t Idle = 0;
    for (const std::size_t I : *S) {
      Now += Count(I, F.m_workers[I].m_free);
      Idle += Count(I, F.m_workers[I].m_capacity);
    }
    Out.m_now = std::max(Out.m_now, Now);
    Out.m_idle = std::max(Out.m_idle, Idle);
  }
  return Out;
}

std::optional<EarliestFit> placeEarliest(const Unit &U, const Fleet &F,
                                         const Releases &R) {
  const FitContext X(U, F);
  std::optional<EarliestFit> Best;
  for (const Scope *S : X.m_scopes) {
    // For each task that fits: from when, on a worker of which speed, and on
    // which worker.
    std::vector<std::tuple<Millis, int, std::size_t>> Slots;
    for (const std::size_t I : *S) {
      const CandidateWorker &Here = F.m_workers[I];
      const int Speed = speedKey(Here, speedPreferenceOf(U));
      const std::int64_t Idle =
          tasksThatFit(X, I, elementwiseMin(Here.m_free, Here.m_freeSoon));
      std::int64_t Tasks = tasksThatFit(X, I, Here.m_freeSoon);
      Slots.insert(Slots.end(), static_cast<std::size_t>(Idle), {0, Speed, I});
      Slots.insert(Slots.end(), static_cast<std::size_t>(Tasks - Idle),
                   {SoonMs, Speed, I});
      Resources Free = Here.m_freeSoon;
      for (const Release &Next : R[I]) {
        Free = Free + Next.m_freed;
        // Skips the releases that are not needed any more and those after which
        // not even one task fits: most of them on a busy fleet.
        if (Tasks >= X.m_needed)
          break;
        if (!fits(X.m_each, Free))
          continue;
        const std::int64_t More = tasksThatFit(X, I, Free) - Tasks;
        if (More <= 0)
          continue;
        Slots.insert(Slots.end(), static_cast<std::size_t>(More),
                     {Next.m_inMs, Speed, I});
        Tasks += More;
      }
    }
    const std::size_t Needed = U.m_indices.size();
    if (Slots.size() < Needed)
      continue;
    std::stable_sort(Slots.begin(), Slots.end());
    const Millis LastMs = std::get<0>(Slots[Needed - 1]);
    if (Best && LastMs >= Best->m_inMs)
      continue;
    Best = EarliestFit{{}, LastMs};
    for (std::size_t N = 0; N < Needed; ++N)
      Best->m_workers.push_back(std::get<2>(Slots[N]));
  }
  return Best;
}

void allocate(const Unit &U, const Assignment &A, Horizon When, Fleet &F) {
  const Resources Each = allocationOf(*U.m_step);
  for (const std::size_t I : A) {
    CandidateWorker &W = F.m_workers[I];
    W.m_freeSoon = W.m_freeSoon - Each;
    // With Horizon::Later this reserves what is free now, or other units would
    // take it.
    if (When != Horizon::Soon) {
      W.m_free = W.m_free - Each;
      continue;
    }
    W.m_free = elementwiseMin(W.m_free, W.m_freeSoon);
  }
}

Victims makeVictims(std::vector<const Victim *> Cheapest, const Fleet &F) {
  Victims Out{std::move(Cheapest), std::vector<Scope>(F.m_racks.size())};
  for (std::size_t V = 0; V < Out.m_all.size(); ++V) {
    for (const auto &[Index, Freed] : Out.m_all[V]->m_freed) {
      Scope &Rack = Out.m_byRack[F.m_rackOf[Index]];
      if (Rack.empty() || Rack.back() != V)
        Rack.push_back(V);
    }
  }
  return Out;
}

std::optional<std::vector<std::size_t>>
chooseVictims(const Unit &U, const Fleet &F, const Victims &All) {
  const FitContext X(U, F);
  const std::vector<const Victim *> &Victims = All.m_all;
  Scope AllPositions;
  if (X.m_scopes.front() == &F.m_all) {
    AllPositions.resize(Victims.size());
    std::iota(AllPositions.begin(), AllPositions.end(), std::size_t(0));
  }
  std::optional<std::vector<std::size_t>> Best;
  double BestCost = 0;
  for (const Scope *S : X.m_scopes) {
    const Scope &Cheapest =
        S == &F.m_all ? AllPositions : All.m_byRack[F.m_rackOf[S->front()]];
    FreedCapacity G(X, *S);
    std::vector<std::size_t> Chosen;
    for (const std::size_t V : Cheapest) {
      if (G.enough())
        break;
      if (isOnEligibleWorker(X, *Victims[V]) && G.change(*Victims[V], true))
        Chosen.push_back(V);
    }
    if (!G.enough())
      continue;
    // Drops victims that are not needed, the most expensive first.
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
