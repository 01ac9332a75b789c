#include "scenario/checker.h"

#include <gtest/gtest.h>

using namespace pomelokeel;
using namespace pomelokeel::scenario;
using model::Outcome;

namespace {

// A payment and a gang of two that ran correctly, and a job that did not run.
History allowedHistory() {
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

bool reports(const History &H, const std::string &Text,
             const CheckOptions &Options = {}) {
  for (const std::string &Line : check(H, Options)) {
    if (Line.find(Text) != std::string::npos)
      return true;
  }
  return false;
}

} // namespace

TEST(Checker, AllowedHistoryPasses) {
  EXPECT_TRUE(check(allowedHistory()).empty());
}

// Guards against a checker that accepts every history: each violation is added
// to an allowed history and must be reported.
TEST(Checker, FindsEachViolation) {
  History H = allowedHistory();
  H.m_runs.push_back({"w2", "p.2.0", 40, 45, {}});
  EXPECT_TRUE(reports(H, "G5 pay"));

  H = allowedHistory();
  H.m_runs.push_back({"w2", "n.1.0", 40, 45, {}});
  EXPECT_TRUE(reports(H, "G4 none"));

  H = allowedHistory();
  H.m_callers[0].m_outcomes[0].m_answer =
      base::Json::array({{{"caller", "x"}}});
  EXPECT_TRUE(reports(H, "G3 pay"));

  H = allowedHistory();
  H.m_callers[1].m_outcomes[0].m_answer.erase(0);
  EXPECT_TRUE(reports(H, "G3 gang"));

  H = allowedHistory();
  H.m_callers[0].m_outcomes.push_back({55, Outcome::NotRun, {}});
  EXPECT_TRUE(reports(H, "pay: told different outcomes"));

  H = allowedHistory();
  H.m_callers[0].m_outcomes.clear();
  EXPECT_TRUE(reports(H, "pay: accepted, but no outcome"));

  H = allowedHistory();
  H.m_runs[2].m_beginMs = 9000;
  H.m_runs[2].m_endMs = 9500;
  EXPECT_TRUE(reports(H, "G2 gang"));

  H = allowedHistory();
  H.m_runs.pop_back();
  H.m_runs[1].m_endMs.reset();
  EXPECT_TRUE(reports(H, "G2 gang: 1 of 2 members"));

  H = allowedHistory();
  H.m_runs.push_back({"w1", "x.1.0", 25, 28, {1}});
  EXPECT_TRUE(reports(H, "accelerator 1 of w1"));

  H = allowedHistory();
  H.m_versions.push_back({"e1", "c", 9, 3});
  EXPECT_TRUE(reports(H, "G8 e1"));

  H = allowedHistory();
  H.m_versions.push_back({"e1", "c", 9, 0});
  EXPECT_TRUE(reports(H, "G8 e1"));

  H = allowedHistory();
  H.m_versions.push_back({"e1", "d", 9, 3});
  EXPECT_TRUE(reports(H, "G8 e1"));

  H = allowedHistory();
  H.m_drains[0].m_atMs = -5000;
  EXPECT_TRUE(reports(H, "G6 w2"));

  H = allowedHistory();
  H.m_callers[1].m_unansweredCalls = 1;
  EXPECT_TRUE(reports(H, "G7 gang", {.m_requireAnswers = true}));

  H = allowedHistory();
  H.m_runs[0].m_endMs = 1100;
  EXPECT_TRUE(reports(H, "G4 pay", {.m_requireEnded = true}));
}
