#include "model/gang.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <string>

namespace pomelokeel::model {
namespace {

// Workers that answer to the head directly. Each costs it a beat and a reply
// per interval; with about 200 bytes each, 12 use 10 KB/s.
constexpr std::size_t MaxDirect = 12;

// The first member on each worker, in member order.
std::vector<int> firstMembers(const std::vector<MemberPlace> &Places,
                              std::map<std::string, int> &FirstOn) {
  std::vector<int> Out;
  for (std::size_t I = 0; I < Places.size(); ++I) {
    if (FirstOn.emplace(Places[I].m_worker, static_cast<int>(I)).second)
      Out.push_back(static_cast<int>(I));
  }
  return Out;
}

// The parent of the first member number K among Firsts. The number of relays is
// the square root of that of workers, so that relays and the head have about as
// many links each.
int parentOfFirst(const std::vector<int> &Firsts, std::size_t K) {
  if (K == 0)
    return -1;
  if (Firsts.size() - 1 <= MaxDirect)
    return Firsts.front();
  const auto Relays = static_cast<std::size_t>(
      std::ceil(std::sqrt(static_cast<double>(Firsts.size()))));
  return K <= Relays ? Firsts.front() : Firsts[1 + (K - 1) % Relays];
}

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
