#include "sched/placement.h"

#include <algorithm>
#include <array>
#include <bit>

namespace pomelokeel::sched::detail {
namespace {

double firstBlock(const Node &, const Need &, int, const Weights &) {
  return 0;
}

double firstGroup(int, int) { return 0; }

// Prefers the block that leaves the least room beside it, and for jobs without
// accelerators the worker with the fewest free ones.
double tightestBlock(const Node &W, const Need &N, int First, const Weights &) {
  const int Free = std::popcount(W.m_free);
  if (First < 0)
    return Free * MaxAccelerators + W.m_slots;
  return enclosingBlock(W.m_free, First, N.m_accelerators) * MaxAccelerators +
         Free;
}

double tightestGroup(int Room, int Members) { return Room - Members; }

double balancedBlock(const Node &W, const Need &N, int First,
                     const Weights &Weights) {
  return Weights.m_fragmentation * tightestBlock(W, N, First, Weights);
}

// In the order of model::PlacementStrategy.
constexpr std::array<Strategy, 3> Strategies = {
    Strategy{firstBlock, firstGroup}, Strategy{tightestBlock, tightestGroup},
    Strategy{balancedBlock, tightestGroup}};

// A worker with the accelerators that the request may use.
Node visible(const Fleet &F, const Request &R, int Worker) {
  Node W = F.m_nodes[static_cast<std::size_t>(Worker)];
  if (R.m_blocked != nullptr)
    W.m_free &= ~(*R.m_blocked)[static_cast<std::size_t>(Worker)];
  if (std::find(R.m_avoid.begin(), R.m_avoid.end(), Worker) != R.m_avoid.end())
    W.m_placeable = false;
  return W;
}

struct Choice {
  double m_cost = 0;
  Place m_place;
};

// The cheapest block on one worker.
Choice cheapestBlock(const Node &W, int Worker, const Need &N,
                     const Strategy &How, const Weights &Weights) {
  if (N.m_accelerators == 0)
    return {How.m_blockCost(W, N, -1, Weights), {Worker, 0, 0}};
  Choice Best;
  bool Found = false;
  for (Mask Starts = blockStarts(W.m_free, N.m_accelerators); Starts != 0;
       Starts &= Starts - 1) {
    const int First = std::countr_zero(Starts);
    const double Cost = How.m_blockCost(W, N, First, Weights);
    if (Found && Best.m_cost <= Cost)
      continue;
    Best = {Cost, {Worker, First, N.m_accelerators}};
    Found = true;
  }
  return Best;
}

void takeOne(Node &W, const Need &N, const Place &P) {
  W.m_free &= ~P.mask();
  W.m_slots -= 1;
  W.m_cores -= N.m_cores;
  W.m_memoryMb -= N.m_memoryMb;
  W.m_jobs += 1;
}

// Places the members one after another, each at the cheapest block of the
// group.
std::vector<Place> fillGroup(const Fleet &F, const Request &R,
                             const Strategy &How, const Weights &Weights,
                             const Group &Workers) {
  struct Open {
    Node m_node;
    Choice m_next;
  };
  std::vector<Open> Candidates;
  for (const int I : Workers) {
    const Node W = visible(F, R, I);
    if (membersThatFit(W, R.m_need, 1) > 0)
      Candidates.push_back({W, cheapestBlock(W, I, R.m_need, How, Weights)});
  }
  std::vector<Place> Out;
  while (std::cmp_less(Out.size(), R.m_members) && !Candidates.empty()) {
    const auto Best = std::min_element(
        Candidates.begin(), Candidates.end(), [](const Open &L, const Open &R) {
          return L.m_next.m_cost < R.m_next.m_cost;
        });
    const Place Taken = Best->m_next.m_place;
    Out.push_back(Taken);
    takeOne(Best->m_node, R.m_need, Taken);
    if (membersThatFit(Best->m_node, R.m_need, 1) == 0)
      Candidates.erase(Best);
    else
      Best->m_next =
          cheapestBlock(Best->m_node, Taken.m_worker, R.m_need, How, Weights);
  }
  if (std::cmp_less(Out.size(), R.m_members))
    Out.clear();
  return Out;
}

// The cheapest group with room for all members, or null.
const Group *chooseGroup(const std::vector<Group> &Groups,
                         const std::vector<int> &Room, int Members,
                         const Strategy &How) {
  const Group *Best = nullptr;
  double BestCost = 0;
  for (const Group &G : Groups) {
    int Total = 0;
    for (const int I : G)
      Total += Room[static_cast<std::size_t>(I)];
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

std::vector<Place> findGang(const Fleet &F, const Request &R,
                            const Strategy &How, const Weights &Weights) {
  std::vector<int> Room;
  Room.reserve(F.m_nodes.size());
  for (int I = 0; std::cmp_less(I, F.m_nodes.size()); ++I)
    Room.push_back(membersThatFit(visible(F, R, I), R.m_need, R.m_members));
  for (const auto *Level : {&F.m_racks, &F.m_dataCentres, &F.m_regions}) {
    const Group *G = chooseGroup(*Level, Room, R.m_members, How);
    if (G != nullptr)
      return fillGroup(F, R, How, Weights, *G);
  }
  return {};
}

std::vector<Place> findSingle(const Fleet &F, const Request &R,
                              const Strategy &How, const Weights &Weights) {
  Choice Best;
  bool Found = false;
  for (int I = 0; std::cmp_less(I, F.m_nodes.size()); ++I) {
    const Node W = visible(F, R, I);
    if (membersThatFit(W, R.m_need, 1) == 0)
      continue;
    const Choice C = cheapestBlock(W, I, R.m_need, How, Weights);
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
  const Strategy &How = strategyOf(Rule.m_strategy);
  const Weights W{Rule.m_completionWeight, Rule.m_fragmentationWeight};
  return R.m_members == 1 ? findSingle(F, R, How, W) : findGang(F, R, How, W);
}

} // namespace pomelokeel::sched::detail
