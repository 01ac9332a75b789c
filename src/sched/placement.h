#pragma once

#include "sched/fleet.h"

#include <unordered_map>
#include <vector>

namespace pomelokeel::sched::detail {

/// A running job that could be reclaimed.
struct Victim {
  int m_holding = 0;
  Place m_place;  ///< Place of one of its members.
  int m_cost = 1; ///< Members of the job; 0 if it is already being reclaimed.
};

/// A job to place.
struct Request {
  Need m_need; ///< Of each member.
  int m_members = 1;
  std::vector<int> m_avoid; ///< Worker indices.
  /// Accelerators that must not be used, by worker; may be empty.
  std::vector<Mask> m_blocked;
  /// Upper limits of the resources that may be used, by worker.
  std::vector<const std::unordered_map<int, WorkerResources> *> m_bounds;
  /// Resources to use instead of the fleet's, or null.
  const std::vector<WorkerResources> *m_resources = nullptr;
  /// Jobs that would be reclaimed if the request were placed on them, by
  /// worker, or null.
  const std::vector<std::vector<Victim>> *m_victims = nullptr;
};

/// Weights of the balanced strategy.
struct Weights {
  double m_completion = 1;
  double m_fragmentation = 1;
};

/// Cost functions to choose among workers, blocks and groups that fit. The
/// first one of the lowest cost is taken.
struct Strategy {
  /// Cost of the block at \p First on \p W. First is -1 for a job without
  /// accelerators.
  double (*m_blockCost)(const WorkerResources &W, const Need &N, int First,
                        const Weights &Weights);
  /// Cost of a group of workers on which \p Capacity members fit, for a job of
  /// \p Members.
  double (*m_groupCost)(int Capacity, int Members);
};

/// The cost functions of a placement strategy.
const Strategy &strategyOf(model::PlacementStrategy Kind);

/// One place for each member, all in the same rack if possible, else in the
/// same data centre, else in the same region; empty if there is none.
std::vector<Place> findPlaces(const Fleet &F, const Request &R,
                              const model::PlacementRule &Rule);

/// True if findPlaces would find places.
bool hasPlaces(const Fleet &F, const Request &R);

/// Number of members of \p R that fit now in the region with the most free
/// capacity.
int membersThatFitInBestRegion(const Fleet &F, const Request &R);

/// Size of the largest aligned free block that contains the one at \p First.
int enclosingBlock(Mask Free, int First, int Size);

} // namespace pomelokeel::sched::detail
