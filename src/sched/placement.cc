#include "sched/placement.h"

#include <algorithm>
#include <array>
#include <bit>

namespace pomelokeel::sched::detail {
namespace {

double firstBlock(const WorkerResources &, const Need &, int, const Weights &) {
  return 0;
}

double firstGroup(int, int) { return 0; }

// Prefers the block that leaves the fewest free accelerators beside it. For
// jobs without accelerators it prefers the worker with the fewest free
// accelerators.
double tightestBlock(const WorkerResources &W, const Need &N, int First,
                     const Weights &) {
  const int Free = std::popcount(W.m_free);
  if (First < 0)
    return Free * MaxAccelerators + W.m_slots;
  return enclosingBlock(W.m_free, First, N.m_accelerators) * MaxAccelerators +
         Free;
}

double tightestGroup(int Capacity, int Members) { return Capacity - Members; }

double balancedBlock(const WorkerResources &W, const Need &N, int First,
                     const Weights &Weights) {
  return Weights.m_fragmentation * tightestBlock(W, N, First, Weights);
}

// In the order of model::PlacementStrategy.
constexpr std::array<Strategy, 3> Strategies = {
    Strategy{firstBlock, firstGroup}, Strategy{tightestBlock, tightestGroup},
    Strategy{balancedBlock, tightestGroup}};

// Returns the worker reduced to the resources that the request may use.
WorkerResources usableResources(const Fleet &F, const Request &R, int Worker) {
  const auto Index = static_cast<std::size_t>(Worker);
  WorkerResources W =
      R.m_resources != nullptr ? (*R.m_resources)[Index] : F.m_resources[Index];
  if (!R.m_blocked.empty())
    W.m_free &= ~R.m_blocked[Index];
  for (const auto *Bounds : R.m_bounds) {
    const auto It = Bounds->find(Worker);
    if (It == Bounds->end())
      continue;
    const WorkerResources &Bound = It->second;
    W.m_free &= Bound.m_free;
    W.m_slots = std::min(W.m_slots, Bound.m_slots);
    W.m_cores = std::min(W.m_cores, Bound.m_cores);
    W.m_memoryMb = std::min(W.m_memoryMb, Bound.m_memoryMb);
  }
  if (std::find(R.m_avoid.begin(), R.m_avoid.end(), Worker) != R.m_avoid.end())
    W.m_placeable = false;
  return W;
}

// Cost of the jobs that would be reclaimed. Each costs more than any difference
// in block costs.
double victimCost(const Request &R, int Worker, Mask Block) {
  constexpr double PerVictim = 1e9;
  if (R.m_victims == nullptr)
    return 0;
  double Cost = 0;
  for (const Victim &V : (*R.m_victims)[static_cast<std::size_t>(Worker)])
    Cost += (V.m_place.mask() & Block) != 0 ? V.m_cost * PerVictim : 0;
  return Cost;
}

struct Choice {
  double m_cost = 0;
  Place m_place;
};

// The cost functions and weights by which a request is placed.
struct Policy {
  const Strategy &m_strategy;
  Weights m_weights;
};

// The cheapest block on one worker.
Choice cheapestBlock(const WorkerResources &W, int Worker, const Request &R,
                     const Policy &P) {
  const int Size = R.m_need.m_accelerators;
  if (Size == 0)
    return {P.m_strategy.m_blockCost(W, R.m_need, -1, P.m_weights),
            {Worker, 0, 0}};
  Choice Best;
  bool Found = false;
  for (Mask Starts = blockStarts(W.m_free, Size); Starts != 0;
       Starts &= Starts - 1) {
    const int First = std::countr_zero(Starts);
    const double Cost =
        P.m_strategy.m_blockCost(W, R.m_need, First, P.m_weights) +
        victimCost(R, Worker, maskOf(First, Size));
    if (Found && Best.m_cost <= Cost)
      continue;
    Best = {Cost, {Worker, First, Size}};
    Found = true;
  }
  return Best;
}

// Places the members one after another, each on the cheapest block of the
// group. Returns nothing if not all of them fit.
std::vector<Place> placeInGroup(const Fleet &F, const Request &R,
                                const Policy &How, const Group &Workers) {
  struct Candidate {
    WorkerResources m_resources;
    Choice m_cheapest;
  };
  std::vector<Candidate> Candidates;
  for (const int I : Workers) {
    const WorkerResources W = usableResources(F, R, I);
    if (membersThatFit(W, R.m_need, 1) > 0)
      Candidates.push_back({W, cheapestBlock(W, I, R, How)});
  }
  std::vector<Place> Out;
  while (std::cmp_less(Out.size(), R.m_members) && !Candidates.empty()) {
    const auto Best =
        std::min_element(Candidates.begin(), Candidates.end(),
                         [](const Candidate &L, const Candidate &R) {
                           return L.m_cheapest.m_cost < R.m_cheapest.m_cost;
                         });
    const Place Taken = Best->m_cheapest.m_place;
    Out.push_back(Taken);
    allocateMember(Best->m_resources, R.m_need, Taken);
    if (membersThatFit(Best->m_resources, R.m_need, 1) == 0)
      Candidates.erase(Best);
    else
      Best->m_cheapest =
          cheapestBlock(Best->m_resources, Taken.m_worker, R, How);
  }
  if (std::cmp_less(Out.size(), R.m_members))
    Out.clear();
  return Out;
}

// Returns the number of members that fit on each worker.
std::vector<int> capacityOfWorkers(const Fleet &F, const Request &R) {
  std::vector<int> Capacity;
  Capacity.reserve(F.m_resources.size());
  for (int I = 0; std::cmp_less(I, F.m_resources.size()); ++I)
    Capacity.push_back(
        membersThatFit(usableResources(F, R, I), R.m_need, R.m_members));
  return Capacity;
}

int capacityOfGroup(const Group &G, const std::vector<int> &Capacity) {
  int Total = 0;
  for (const int I : G)
    Total += Capacity[static_cast<std::size_t>(I)];
  return Total;
}

// Returns the cheapest group in which all members fit, or null.
const Group *chooseGroup(const std::vector<Group> &Groups,
                         const std::vector<int> &Capacity, int Members,
                         const Strategy &How) {
  const Group *Best = nullptr;
  double BestCost = 0;
  for (const Group &G : Groups) {
    const int Total = capacityOfGroup(G, Capacity);
    if (Total < Members)
      continue;
    const double Cost = How.m_groupCost(Total, Members);
    if (Best != nullptr && BestCost <= Cost)
      continue;
    Best = &G;
    BestCost = Cost;
  }
  return Best;
}

double victimCost(const Request &R, const std::vector<Place> &Places) {
  double Cost = 0;
  for (const Place &P : Places)
    Cost += victimCost(R, P.m_worker, P.mask());
  return Cost;
}

// Returns the places in the group in which the fewest members of other jobs
// would be reclaimed.
std::vector<Place> placeWithFewestVictims(const Fleet &F, const Request &R,
                                          const Policy &How,
                                          const std::vector<Group> &Groups,
                                          const std::vector<int> &Capacity) {
  std::vector<Place> Best;
  for (const Group &G : Groups) {
    if (capacityOfGroup(G, Capacity) < R.m_members)
      continue;
    std::vector<Place> Places = placeInGroup(F, R, How, G);
    if (Places.empty() ||
        (!Best.empty() && victimCost(R, Best) <= victimCost(R, Places)))
      continue;
    Best = std::move(Places);
  }
  return Best;
}

std::vector<Place> findGang(const Fleet &F, const Request &R,
                            const Policy &How) {
  const std::vector<int> Capacity = capacityOfWorkers(F, R);
  for (const auto *Level : {&F.m_racks, &F.m_dataCentres, &F.m_regions}) {
    if (R.m_victims != nullptr) {
      std::vector<Place> Places =
          placeWithFewestVictims(F, R, How, *Level, Capacity);
      if (!Places.empty())
        return Places;
      continue;
    }
    const Group *G = chooseGroup(*Level, Capacity, R.m_members, How.m_strategy);
    if (G != nullptr)
      return placeInGroup(F, R, How, *G);
  }
  return {};
}

std::vector<Place> findSingle(const Fleet &F, const Request &R,
                              const Policy &How) {
  Choice Best;
  bool Found = false;
  for (int I = 0; std::cmp_less(I, F.m_resources.size()); ++I) {
    const WorkerResources W = usableResources(F, R, I);
    if (membersThatFit(W, R.m_need, 1) == 0)
      continue;
    const Choice C = cheapestBlock(W, I, R, How);
    if (Found && Best.m_cost <= C.m_cost)
      continue;
    Best = C;
    Found = true;
  }
  return Found ? std::vector{Best.m_place} : std::vector<Place>{};
}

} // namespace

const Strategy &strategyOf(model::PlacementStrategy Kind) {
  return Strategies[static_cast<std::size_t>(Kind)];
}

int enclosingBlock(Mask Free, int First, int Size) {
  int Best = alignmentOf(Size);
  for (int Width = Best * 2; Width <= MaxAccelerators; Width *= 2) {
    const Mask Around = maskOf(First & ~(Width - 1), Width);
    if ((Free & Around) != Around)
      break;
    Best = Width;
  }
  return Best;
}

std::vector<Place> findPlaces(const Fleet &F, const Request &R,
                              const model::PlacementRule &Rule) {
  const Policy How{strategyOf(Rule.m_strategy),
                   {Rule.m_completionWeight, Rule.m_fragmentationWeight}};
  return R.m_members == 1 ? findSingle(F, R, How) : findGang(F, R, How);
}

int membersThatFitInBestRegion(const Fleet &F, const Request &R) {
  const std::vector<int> Capacity = capacityOfWorkers(F, R);
  int Best = 0;
  for (const Group &G : F.m_regions)
    Best = std::max(Best, capacityOfGroup(G, Capacity));
  return Best;
}

bool hasPlaces(const Fleet &F, const Request &R) {
  return membersThatFitInBestRegion(F, R) >= R.m_members;
}

} // namespace pomelokeel::sched::detail
