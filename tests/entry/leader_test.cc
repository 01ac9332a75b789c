#include "entry/leader.h"

#include "leader_sim.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace pomelokeel;
using model::Outcome;

namespace {

bool sent(const sim::Fleet &F, const std::string &Command) {
  return std::ranges::find(F.m_commands, Command) != F.m_commands.end();
}

} // namespace

// Guards G3: a gang job is answered with one entry for each member, in member
// order, and its holds are released only after the record was read back.
TEST(Leader, TakesAGangJobFromPlacementToRelease) {
  sim::Fleet F(3, 1, {});
  F.submit("j1", "batch", 3, 8, 1000);
  ASSERT_TRUE(F.runUntil([&] { return F.finished("j1"); }, 5000));
  EXPECT_EQ(F.outcome("j1"), Outcome::Completed);
  EXPECT_EQ(F.job("j1").m_result->m_answer,
            base::Json::array({"j1/0", "j1/1", "j1/2"}));
  EXPECT_EQ(F.m_records["jobPlaced"], 1);
  EXPECT_EQ(F.m_records["jobStarted"], 1);
  EXPECT_TRUE(F.runUntil([&] { return F.holds() == 0; }, 1000));
  EXPECT_TRUE(sent(F, "release w1") && sent(F, "release w3"));
  EXPECT_EQ(F.m_violations, std::vector<std::string>{});
}
