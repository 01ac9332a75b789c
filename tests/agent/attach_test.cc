#include "agent/attach.h"

#include <gtest/gtest.h>

using namespace pomelokeel;
using namespace pomelokeel::agent;

namespace {

model::Member member(const std::string &Name, const std::string &DataCentre,
                     const std::string &Region) {
  return {Name, "i", Name + ":1", "", DataCentre, Region};
}

const std::vector<model::Member> All = {member("far", "dc9", "caribe"),
                                        member("region", "dc2", "pacifico"),
                                        member("near", "dc1", "pacifico")};

Attachment attachment() { return {"dc1", "pacifico", {}, 1}; }

std::string nameOf(const Attachment &A) {
  return A.entry() == nullptr ? "" : A.entry()->m_name;
}

model::AttachAnswer answer(bool Accepted, Millis LeaderAge) {
  return {Accepted, "", {}, 1, false, LeaderAge};
}

} // namespace

TEST(Attachment, PrefersDataCentreThenRegion) {
  Attachment A = attachment();
  EXPECT_TRUE(A.advance(0).m_needMembers);
  A.setMembers(All);
  EXPECT_TRUE(A.advance(10).m_attachTo.has_value());
  EXPECT_EQ(nameOf(A), "near");
  A.onAnswer("near", 0, answer(false, 0), 20);
  EXPECT_EQ(A.advance(30).m_detachFrom->m_name, "near");
  EXPECT_EQ(nameOf(A), "region");
}

// Guards against an agent that stays attached to an entry in another data
// centre after one in its own accepts agents again.
TEST(Attachment, ReturnsToANearerEntry) {
  Attachment A = attachment();
  A.setMembers(All);
  A.advance(0);
  A.onAnswer("near", 0, answer(false, 0), 0);
  A.advance(0);
  for (Millis Now = 0; Now < 15000; Now += 1000) {
    A.onSent(static_cast<std::uint64_t>(Now), Now);
    A.onAnswer(nameOf(A), static_cast<std::uint64_t>(Now), answer(true, 0),
               Now);
    A.advance(Now);
  }
  EXPECT_EQ(nameOf(A), "near");
}

// Guards against attach attempts in quick succession while the only entry
// refuses.
TEST(Attachment, BacksOffFromTheOnlyEntry) {
  Attachment A = attachment();
  A.setMembers({All[2]});
  int Attempts = 0;
  for (Millis Now = 0; Now < 60000; Now += 10) {
    if (!A.advance(Now).m_attachTo)
      continue;
    ++Attempts;
    A.onAnswer("near", 0, answer(false, 0), Now);
  }
  EXPECT_GE(Attempts, 5);
  EXPECT_LE(Attempts, 15);
}

TEST(Attachment, LeavesASilentEntry) {
  Attachment A = attachment();
  A.setMembers(All);
  A.advance(0);
  EXPECT_FALSE(A.advance(1999).m_detachFrom);
  EXPECT_EQ(A.advance(2000).m_detachFrom->m_name, "near");
}

// Guards against a leader contact with too late a time, which would let a task
// run past its orphan limit.
TEST(Attachment, LeaderContactIsTheSendingTimeMinusTheAge) {
  Attachment A = attachment();
  A.setMembers(All);
  A.advance(0);
  A.onSent(1, 100);
  A.onSent(2, 1100);
  EXPECT_EQ(A.onAnswer("near", 1, answer(true, 40), 1900), 60);
  EXPECT_EQ(A.onAnswer("near", 2, answer(true, -1), 1900), std::nullopt);
  A.onSent(3, 2000);
  EXPECT_EQ(A.onAnswer("near", 3, answer(true, 3001), 2010), std::nullopt);
  EXPECT_EQ(A.onAnswer("near", 9, answer(true, 0), 2010), std::nullopt);
  EXPECT_EQ(A.onAnswer("far", 3, answer(true, 0), 2010), std::nullopt);
}

// Guards against an orphan limit that is extended by the answers of a restarted
// entry. Without the agent's report, it does not report the agent to the
// leader.
TEST(Attachment, AnswerWithoutTheReportIsNoLeaderContact) {
  Attachment A = attachment();
  A.setMembers(All);
  A.advance(0);
  model::AttachAnswer Wants = answer(true, 0);
  Wants.m_reportWanted = true;
  A.onSent(1, 100);
  EXPECT_FALSE(A.onAnswer("near", 1, Wants, 110).has_value());
  A.onSent(2, 1900);
  EXPECT_FALSE(A.onAnswer("near", 2, Wants, 1910).has_value());
  EXPECT_FALSE(A.advance(2200).m_detachFrom.has_value());
  A.onSent(3, 2900);
  EXPECT_EQ(A.onAnswer("near", 3, answer(true, 0), 2910), 2900);
}
