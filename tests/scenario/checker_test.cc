#include "scenario/checker.h"

#include <gtest/gtest.h>

using namespace pomelokeel;
using namespace pomelokeel::scenario;
using model::Outcome;

namespace {

// A payment and a gang of two that ran as they should.
History goodHistory() {
  History H;
  H.m_callers = {
      {"pay",
       "p",
       1,
       false,
       true,
       0,
       {{50, Outcome::Completed, base::Json::array({{{"caller", "pay"}}})}}},
      {"gang",
       "g",
       2,
       true,
       true,
       0,
       {{50, Outcome::Completed,
         base::Json::array({{{"caller", "gang"}}, {{"caller", "gang"}}})}}},
      {"none", "n", 1, false, true, 0, {{60, Outcome::NotRun, {}}}}};
  H.m_runs = {{"w1", "p.1.0", 10, 20, {}},
              {"w1", "g.1.0", 10, 30, {0, 1}},
              {"w2", "g.1.1", 12, 35, {0, 1}}};
  H.m_versions = {{"e1", "a", 1, 3},
                  {"e2", "b", 2, 2},
                  {"e1", "a", 3, 4},
                  {"e1", "c", 4, 0},
                  {"e1", "c", 5, 4}};
  H.m_drains = {{"w2", 5}};
  return H;
}

bool finds(const History &H, const std::string &Text,
           const CheckLimits &Limits = {}) {
  for (const std::string &Line : check(H, Limits)) {
    if (Line.find(Text) != std::string::npos)
      return true;
  }
  return false;
}

} // namespace

TEST(Checker, AllowedHistoryPasses) {
  EXPECT_TRUE(check(goodHistory()).empty());
}

// Guards against a checker that passes everything: each planted violation is
// found.
TEST(Checker, FindsEachViolation) {
  History H = goodHistory();
  H.m_runs.push_back({"w2", "p.2.0", 40, 45, {}});
  EXPECT_TRUE(finds(H, "G5 pay"));

  H = goodHistory();
  H.m_runs.push_back({"w2", "n.1.0", 40, 45, {}});
  EXPECT_TRUE(finds(H, "G4 none"));

  H = goodHistory();
  H.m_callers[0].m_told[0].m_answer = base::Json::array({{{"caller", "x"}}});
  EXPECT_TRUE(finds(H, "G3 pay"));

  H = goodHistory();
  H.m_callers[1].m_told[0].m_answer.erase(0);
  EXPECT_TRUE(finds(H, "G3 gang"));

  H = goodHistory();
  H.m_callers[0].m_told.push_back({55, Outcome::NotRun, {}});
  EXPECT_TRUE(finds(H, "pay: told different outcomes"));

  H = goodHistory();
  H.m_callers[0].m_told.clear();
  EXPECT_TRUE(finds(H, "pay: accepted, but no outcome"));

  H = goodHistory();
  H.m_runs[2].m_beginMs = 9000;
  H.m_runs[2].m_endMs = 9500;
  EXPECT_TRUE(finds(H, "G2 gang"));

  H = goodHistory();
  H.m_runs.pop_back();
  H.m_runs[1].m_endMs.reset();
  EXPECT_TRUE(finds(H, "G2 gang: 1 of 2 members"));

  H = goodHistory();
  H.m_runs.push_back({"w1", "x.1.0", 25, 28, {1}});
  EXPECT_TRUE(finds(H, "accelerator 1 of w1"));

  H = goodHistory();
  H.m_versions.push_back({"e1", "c", 9, 3});
  EXPECT_TRUE(finds(H, "G8 e1"));

  H = goodHistory();
  H.m_versions.push_back({"e1", "c", 9, 0});
  EXPECT_TRUE(finds(H, "G8 e1"));

  H = goodHistory();
  H.m_versions.push_back({"e1", "d", 9, 3});
  EXPECT_TRUE(finds(H, "G8 e1"));

  H = goodHistory();
  H.m_drains[0].m_atMs = -5000;
  EXPECT_TRUE(finds(H, "G6 w2"));

  H = goodHistory();
  H.m_callers[1].m_cutCalls = 1;
  EXPECT_TRUE(finds(H, "G7 gang", {.m_uncut = true}));

  H = goodHistory();
  H.m_runs[0].m_endMs = 1100;
  EXPECT_TRUE(finds(H, "G4 pay", {.m_ended = true}));
}
