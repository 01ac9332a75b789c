#pragma once

#include "model/job.h"

#include <vector>

namespace pomelokeel::model {

/// Whom a gang member exchanges heartbeats with, by member number.
struct GangLinks {
  int m_parent = -1; ///< -1 for the gang head, member 0.
  std::vector<int> m_children;

  bool operator==(const GangLinks &) const = default;
};

/// The links of \p Member in the heartbeat tree of a gang with these places.
/// The first member on each worker stands for the others there; those first
/// members answer to the head directly or, in large gangs, through relays.
GangLinks gangLinks(const std::vector<MemberPlace> &Places, int Member);

/// Links between the head and the member that is farthest from it; 0 for a
/// single member.
int gangTreeDepth(const std::vector<MemberPlace> &Places);

} // namespace pomelokeel::model
