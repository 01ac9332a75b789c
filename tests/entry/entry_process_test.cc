#include "entry_fixture.h"

#include <string>

using namespace pomelokeel;
using namespace pomelokeel::entry;

namespace {

std::string outcomeOf(const http::Response &R) {
  const Json J = jsonOf(R);
  return J.contains("result") ? J["result"]["outcome"] : "";
}

} // namespace

// Guards the whole path from a submission to the answer of its caller.
TEST(EntryProcess, RunsAJobAndAnswersItsCaller) {
  EntryFleet Fleet;
  EntryProcess &E = Fleet.add("e1");
  ASSERT_TRUE(Fleet.awaitLeader("e1"));
  Fleet.configure("e1");
  FakeAgent Agent("w1");
  ASSERT_TRUE(Agent.reportUntil(E, [&] { return Agent.m_answer.m_accepted; }));
  EXPECT_EQ(Agent.m_answer.m_configVersion, 2U);
  EXPECT_EQ(Agent.m_answer.m_leaderAgeMs, 0);
  ASSERT_EQ(Agent.m_answer.m_members.size(), 1U);
  EXPECT_EQ(Agent.m_answer.m_members[0].m_httpAddress, E.httpAddress());
  auto Answer = std::async(std::launch::async, [&] {
    return Fleet.submit("e1", "k1", "?waitMs=15000");
  });
  ASSERT_TRUE(Agent.reportUntil(E, [&] {
    return Answer.wait_for(std::chrono::seconds(0)) ==
           std::future_status::ready;
  }));
  const auto R = Answer.get();
  EXPECT_EQ(R.m_status, 200) << R.m_body;
  EXPECT_EQ(outcomeOf(R), "completed") << R.m_body;
}
