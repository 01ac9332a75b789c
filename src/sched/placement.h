#pragma once

#include "sched/fleet.h"

#include <vector>

namespace pomelokeel::sched::detail {

/// A job to place.
struct Request {
  Need m_need; ///< Of each member.
  int m_members = 1;
  std::vector<int> m_avoid; ///< Worker indices.
  /// Accelerators that must stay untouched, by worker; empty for none.
  const std::vector<Mask> *m_blocked = nullptr;
};

/// Weights of the balanced strategy.
struct Weights {
  double m_completion = 1;
  double m_fragmentation = 1;
};

/// A way to choose among workers, blocks and groups that fit. Costs: lower is
/// better, the first of equal ones is taken.
struct Strategy {
  /// Cost of the block at \p First on \p W. First is -1 for a job without
  /// accelerators.
  double (*m_blockCost)(const Node &W, const Need &N, int First,
                        const Weights &Weights);
  /// Cost of a group of workers with room for \p Room members, of which
  /// \p Members are needed.
  double (*m_groupCost)(int Room, int Members);
};

/// The strategy object of a rule.
const Strategy &strategyOf(model::PlacementStrategy Kind);

/// One place for each member, all in the same rack if possible, else in the
/// same data centre, else in the same region; empty if there is none.
std::vector<Place> findPlaces(const Fleet &F, const Request &R,
                              const model::PlacementRule &Rule);

/// Size of the largest aligned free block that contains the one at \p First.
int enclosingBlock(Mask Free, int First, int Size);

} // namespace pomelokeel::sched::detail
