#include "model/gang.h"

#include <gtest/gtest.h>

#include <set>

using namespace pomelokeel::model;

namespace {

// Returns the places of a gang on \p Workers workers with \p PerWorker members
// each.
std::vector<MemberPlace> places(int Workers, int PerWorker) {
  std::vector<MemberPlace> Out;
  Out.reserve(static_cast<std::size_t>(Workers) *
              static_cast<std::size_t>(PerWorker));
  for (int I = 0; I < Workers * PerWorker; ++I)
    Out.push_back({"w" + std::to_string(I / PerWorker), I % PerWorker, 1});
  return Out;
}

} // namespace

TEST(GangLinks, SmallGangsHaveTheHeadAsParent) {
  EXPECT_EQ(gangLinks(places(1, 1), 0), (GangLinks{-1, {}}));
  EXPECT_EQ(gangTreeDepth(places(1, 1)), 0);
  EXPECT_EQ(gangLinks(places(3, 1), 0), (GangLinks{-1, {1, 2}}));
  EXPECT_EQ(gangTreeDepth(places(3, 1)), 1);
  // The parent of the members on one worker is the first of them.
  EXPECT_EQ(gangLinks(places(2, 3), 0), (GangLinks{-1, {1, 2, 3}}));
  EXPECT_EQ(gangLinks(places(2, 3), 3), (GangLinks{0, {4, 5}}));
  EXPECT_EQ(gangLinks(places(2, 3), 9), GangLinks());
}

// Guards against a tree that leaves a member out, against a parent and a child
// that disagree about their link, and against more links at a worker than its
// traffic budget allows.
TEST(GangLinks, AreATreeWithFewLinksPerWorker) {
  for (const int Workers : {2, 12, 13, 14, 50, 128}) {
    const auto P = places(Workers, 1);
    std::set<int> Reached = {0};
    for (int I = 0; I < Workers; ++I) {
      const GangLinks L = gangLinks(P, I);
      EXPECT_LE(L.m_children.size(), 12U);
      for (const int Child : L.m_children) {
        EXPECT_EQ(gangLinks(P, Child).m_parent, I);
        EXPECT_TRUE(Reached.insert(Child).second);
      }
    }
    EXPECT_EQ(Reached.size(), P.size());
    EXPECT_EQ(gangTreeDepth(P), Workers > 13 ? 2 : 1);
  }
}
