#include "model/gang.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <string>

namespace pomelokeel::model {
namespace {

// Maximum number of other workers for which the gang head exchanges heartbeats
// without relays. Each worker costs the head a heartbeat and a reply per
// interval. At about 200 bytes per message, 12 workers use 10 KB/s.
constexpr std::size_t MaxDirectWorkers = 12;

// Returns the lowest member number on each worker, in ascending order, and
// fills FirstOn with the same numbers by worker name.
std::vector<int> firstMembers(const std::vector<MemberPlace> &Places,
                              std::map<std::string, int> &FirstOn) {
  std::vector<int> Out;
  for (std::size_t I = 0; I < Places.size(); ++I) {
    if (FirstOn.emplace(Places[I].m_worker, static_cast<int>(I)).second)
      Out.push_back(static_cast<int>(I));
  }
  return Out;
}

// Returns the parent of Firsts[K], or -1 for the gang head. The number of
// relays is the square root of the number of workers, so that the head and each
// relay have about the same number of links.
int parentOfFirst(const std::vector<int> &Firsts, std::size_t K) {
  if (K == 0)
    return -1;
  if (Firsts.size() - 1 <= MaxDirectWorkers)
    return Firsts.front();
  const auto Relays = static_cast<std::size_t>(
      std::ceil(std::sqrt(static_cast<double>(Firsts.size()))));
  return K <= Relays ? Firsts.front() : Firsts[1 + (K - 1) % Relays];
}

// Returns the parent of each member, by member number; -1 for the gang head.
std::vector<int> parents(const std::vector<MemberPlace> &Places) {
  std::map<std::string, int> FirstOn;
  const std::vector<int> Firsts = firstMembers(Places, FirstOn);
  std::vector<int> Out(Places.size(), -1);
  for (std::size_t I = 0; I < Places.size(); ++I)
    Out[I] = FirstOn[Places[I].m_worker];
  for (std::size_t K = 0; K < Firsts.size(); ++K)
    Out[static_cast<std::size_t>(Firsts[K])] = parentOfFirst(Firsts, K);
  return Out;
}

} // namespace

GangLinks gangLinks(const std::vector<MemberPlace> &Places, int Member) {
  GangLinks Out;
  const std::vector<int> Parents = parents(Places);
  if (Member < 0 || static_cast<std::size_t>(Member) >= Parents.size())
    return Out;
  Out.m_parent = Parents[static_cast<std::size_t>(Member)];
  for (std::size_t I = 0; I < Parents.size(); ++I) {
    if (Parents[I] == Member)
      Out.m_children.push_back(static_cast<int>(I));
  }
  return Out;
}

int gangTreeDepth(const std::vector<MemberPlace> &Places) {
  const std::vector<int> Parents = parents(Places);
  int Levels = 0;
  for (int Member : Parents) {
    int Depth = 0;
    for (; Member >= 0; Member = Parents[static_cast<std::size_t>(Member)])
      ++Depth;
    Levels = std::max(Levels, Depth);
  }
  return Levels;
}

} // namespace pomelokeel::model
