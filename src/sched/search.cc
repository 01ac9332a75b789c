#include "sched/supply.h"

#include <algorithm>
#include <bit>
#include <map>
#include <set>
#include <tuple>

namespace pomelokeel::sched::detail {
namespace {

// Maximum number of blocks to place. Each one is a level of recursion.
constexpr long MaxUnits = 5000;

// Returns a lower bound of the blocks of R accelerators that the demands need.
// Demands of whole workers are not included.
long neededBlocks(const std::vector<Demand> &Demands, int R) {
  long Needed = 0;
  for (const Demand &D : Demands) {
    if (!D.m_wholeWorkers && D.m_size >= R)
      Needed += static_cast<long>(D.m_count) * (D.m_size / R);
  }
  return Needed;
}

// Returns an upper bound of the blocks of R accelerators that the accounts can
// use together.
long possibleBlocks(const Supply &S, int R) {
  long Possible = 0;
  for (std::size_t I = 0; I < S.m_common.size(); ++I) {
    Mask Any = S.m_common[I];
    for (const auto &[Owner, Held] : S.m_own[I])
      Any |= Held;
    Possible += std::popcount(blockStarts(Any, R));
  }
  return Possible;
}

// Returns true if counting blocks already shows that no assignment exists.
bool isInfeasible(const std::vector<Demand> &Demands, const Supply &S) {
  for (int R = 1; R <= MaxAccelerators; R *= 2) {
    if (neededBlocks(Demands, R) > possibleBlocks(S, R))
      return true;
  }
  return false;
}

// Returns true if the greedy assignment finds an assignment whenever one
// exists: all running jobs are preemptible, and all blocks fit on single
// workers and have sizes that are powers of two.
bool isGreedyExact(const std::vector<Demand> &Demands, const Supply &S) {
  const bool Simple =
      std::all_of(Demands.begin(), Demands.end(), [](const Demand &D) {
        return !D.m_wholeWorkers && alignmentOf(D.m_size) == D.m_size;
      });
  return Simple && !S.m_hasNonPreemptible;
}

// Depth-first search that places one block after another.
class Search {
public:
  Search(const Fleet &F, Supply S, const std::vector<Demand> &Demands,
         int MaxTries)
      : m_fleet(F), m_supply(std::move(S)), m_triesLeft(MaxTries) {
    for (const Demand &D : Demands)
      m_units.insert(m_units.end(), static_cast<std::size_t>(D.m_count), D);
  }

  bool solve(std::size_t Unit);
  const std::vector<int> &slotsLeft() const { return m_supply.m_slots; }

  std::vector<Block> m_blocks;

private:
  /// Workers of equal signature are interchangeable for the remaining blocks.
  using Signature = std::tuple<Mask, std::vector<std::pair<int, Mask>>, int,
                               std::vector<std::pair<int, int>>, int>;

  bool solveOnWorkers(std::size_t Unit);
  bool solveWholeWorkers(std::size_t Unit);
  bool chooseWorkers(std::size_t Unit, const Group &Usable, std::size_t From,
                     int Needed, std::vector<Place> &Chosen);
  bool take(std::size_t Unit, std::vector<Place> Parts);
  Place lowestPlace(std::size_t Unit) const;
  Signature signature(int Worker, int First) const;

  const Fleet &m_fleet;
  Supply m_supply;
  std::vector<Demand> m_units; ///< One for each block to place.
  int m_triesLeft;
};

Search::Signature Search::signature(int Worker, int First) const {
  const auto Index = static_cast<std::size_t>(Worker);
  return {m_supply.m_common[Index], m_supply.m_own[Index],
          m_supply.m_slots[Index], m_supply.m_ownSlots[Index], First};
}

// Returns the lowest place at which a block may be tried. Blocks of equal
// demands are placed in ascending order, so that no set of places is tried
// twice.
Place Search::lowestPlace(std::size_t Unit) const {
  if (Unit == 0 || m_units[Unit].m_account != m_units[Unit - 1].m_account ||
      m_units[Unit].m_size != m_units[Unit - 1].m_size)
    return {-1, 0, 0};
  return m_blocks.back().m_parts.front();
}

bool Search::take(std::size_t Unit, std::vector<Place> Parts) {
  const Demand &D = m_units[Unit];
  std::vector<std::pair<std::size_t, Signature>> Before;
  for (const Place &P : Parts) {
    const auto Index = static_cast<std::size_t>(P.m_worker);
    Before.emplace_back(Index, signature(P.m_worker, 0));
    m_supply.remove(D.m_account, P);
  }
  m_blocks.push_back({D.m_account, D.m_size, std::move(Parts)});
  if (solve(Unit + 1))
    return true;
  m_blocks.pop_back();
  for (auto &[Index, Was] : Before) {
    m_supply.m_common[Index] = std::get<0>(Was);
    m_supply.m_own[Index] = std::move(std::get<1>(Was));
    m_supply.m_slots[Index] = std::get<2>(Was);
    m_supply.m_ownSlots[Index] = std::move(std::get<3>(Was));
  }
  return false;
}

bool Search::solveOnWorkers(std::size_t Unit) {
  const Demand D = m_units[Unit];
  const Place Low = lowestPlace(Unit);
  std::set<Signature> Tried;
  for (int I = std::max(Low.m_worker, 0);
       std::cmp_less(I, m_fleet.m_resources.size()); ++I) {
    for (Mask Starts = blockStarts(m_supply.usable(D.m_account, I), D.m_size);
         Starts != 0; Starts &= Starts - 1) {
      const int First = std::countr_zero(Starts);
      if (I == Low.m_worker && First < Low.m_first)
        continue;
      if (--m_triesLeft < 0)
        return false;
      if (I != Low.m_worker && !Tried.insert(signature(I, First)).second)
        continue;
      if (take(Unit, {{I, First, D.m_size}}))
        return true;
    }
  }
  return false;
}

bool Search::chooseWorkers(std::size_t Unit, const Group &Usable,
                           std::size_t From, int Needed,
                           std::vector<Place> &Chosen) {
  if (Needed == 0)
    return take(Unit, Chosen);
  std::set<Signature> Tried;
  for (std::size_t I = From; I < Usable.size(); ++I) {
    if (--m_triesLeft < 0)
      return false;
    if (!Tried.insert(signature(Usable[I], 0)).second)
      continue;
    const WorkerResources &W =
        m_fleet.m_resources[static_cast<std::size_t>(Usable[I])];
    Chosen.push_back({Usable[I], 0, W.m_accelerators});
    if (chooseWorkers(Unit, Usable, I + 1, Needed - 1, Chosen))
      return true;
    Chosen.pop_back();
  }
  return false;
}

bool Search::solveWholeWorkers(std::size_t Unit) {
  const Demand D = m_units[Unit];
  for (const Group &Rack : m_fleet.m_racks) {
    std::map<int, Group> ByWidth;
    for (const int I : Rack) {
      const WorkerResources &W =
          m_fleet.m_resources[static_cast<std::size_t>(I)];
      if (W.m_accelerators > 0 && m_supply.usable(D.m_account, I) == W.m_all)
        ByWidth[W.m_accelerators].push_back(I);
    }
    for (const auto &[Width, Usable] : ByWidth) {
      std::vector<Place> Chosen;
      if (chooseWorkers(Unit, Usable, 0, (D.m_size + Width - 1) / Width,
                        Chosen))
        return true;
    }
  }
  return false;
}

bool Search::solve(std::size_t Unit) {
  if (Unit == m_units.size())
    return true;
  if (m_triesLeft < 0)
    return false;
  return m_units[Unit].m_wholeWorkers ? solveWholeWorkers(Unit)
                                      : solveOnWorkers(Unit);
}

} // namespace

std::optional<Assignment>
searchBlocks(const std::vector<model::Account> &Accounts, const Fleet &F,
             int MaxTries) {
  const std::vector<Demand> Demands = demandsOf(Accounts, F);
  Supply S(F);
  if (isGreedyExact(Demands, S) || isInfeasible(Demands, S))
    return std::nullopt;
  long Units = 0;
  for (const Demand &D : Demands)
    Units += D.m_count;
  if (Units > MaxUnits)
    return std::nullopt;
  Search Found(F, std::move(S), Demands, MaxTries);
  if (!Found.solve(0))
    return std::nullopt;
  return Assignment{std::move(Found.m_blocks), {}, Found.slotsLeft()};
}

} // namespace pomelokeel::sched::detail
