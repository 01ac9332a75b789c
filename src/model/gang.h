#pragma once

#include "model/job.h"

#include <vector>

namespace pomelokeel::model {

/// The members with which a gang member exchanges heartbeats, by member number.
struct GangLinks {
  int m_parent = -1; ///< -1 for the gang head, member 0.
  std::vector<int> m_children;

  bool operator==(const GangLinks &) const = default;
};

/// Returns the links of \p Member in the heartbeat tree of a gang, or no links
/// if there is no such member. \p Places is indexed by member number. The first
/// member on each worker is the parent of the other members there. The parent
/// of a first member is the gang head or, in large gangs, a relay, which is the
/// first member on another worker.
GangLinks gangLinks(const std::vector<MemberPlace> &Places, int Member);

/// Returns the depth of the heartbeat tree: the number of links between the
/// gang head and the member that is farthest from it; 0 for a single member.
int gangTreeDepth(const std::vector<MemberPlace> &Places);

} // namespace pomelokeel::model
