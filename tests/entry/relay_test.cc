#include "entry/relay.h"

#include <gtest/gtest.h>

using namespace pomelokeel;
using namespace pomelokeel::entry;

namespace {

model::AgentReport report(const std::string &Worker) {
  model::AgentReport R;
  R.m_worker.m_name = Worker;
  R.m_worker.m_incarnation = "1";
  R.m_worker.m_agentAddress = Worker + ":1";
  return R;
}

model::Hold hold(model::HoldState State) {
  model::Hold H;
  H.m_job = "j";
  H.m_state = State;
  return H;
}

// Handles a report at \p NowMs. Returns whether it was forwarded.
bool forwards(Relay &R, const model::AgentReport &Report, Millis NowMs) {
  const bool Pass = R.onReport(Report, NowMs).m_forward;
  if (Pass)
    R.onReportForwarded(Report.m_worker.m_name, NowMs);
  return Pass;
}

model::AgentHeartbeat heartbeat(const std::string &Incarnation,
                                std::uint64_t Sequence) {
  return {Sequence, model::incarnationHash(Incarnation), 0};
}

model::Digest digest(const std::string &Worker, Millis SilentMs) {
  return {{{Worker, SilentMs}}};
}

} // namespace

// Guards against an entry that forwards unchanged reports every second, also
// across regions.
TEST(Relay, ForwardsChangesAtOnceAndElseRarely) {
  Relay R({});
  auto Report = report("w1");
  EXPECT_TRUE(forwards(R, Report, 0));
  Report.m_usage.m_cores = 3;
  Report.m_sequence = 2;
  EXPECT_FALSE(forwards(R, Report, 1000));
  Report.m_holds.push_back(hold(model::HoldState::Running));
  EXPECT_TRUE(forwards(R, Report, 2000));
  EXPECT_FALSE(forwards(R, Report, 3000));
  Report.m_draining = true;
  EXPECT_TRUE(forwards(R, Report, 4000));
  EXPECT_FALSE(forwards(R, Report, 13999));
  EXPECT_TRUE(forwards(R, Report, 14000));
  R.onLeaderChanged();
  EXPECT_TRUE(forwards(R, Report, 14001));
}

// Guards against a result that is delayed by 10 s because one forwarded report
// was lost.
TEST(Relay, RepeatsResultsSooner) {
  Relay R({});
  auto Report = report("w1");
  Report.m_holds.push_back(hold(model::HoldState::Succeeded));
  EXPECT_TRUE(forwards(R, Report, 0));
  EXPECT_FALSE(forwards(R, Report, 1999));
  EXPECT_TRUE(forwards(R, Report, 2000));
}

// After a command's reply the leader compares it with the next report. Guards
// against a leader that waits long for this report or gets an older one.
TEST(Relay, ForwardsTheReportAfterAReply) {
  Relay R({});
  auto Report = report("w1");
  Report.m_sequence = 4;
  EXPECT_TRUE(forwards(R, Report, 0));
  R.expectReport("w1", 4);
  EXPECT_FALSE(R.onHeartbeat("w1", heartbeat("1", 4), 1).m_forward);
  EXPECT_FALSE(forwards(R, Report, 2));
  Report.m_sequence = 5;
  EXPECT_TRUE(forwards(R, Report, 3));
  Report.m_sequence = 6;
  EXPECT_FALSE(forwards(R, Report, 4));
}

// The leader ignores reports of a worker that is not announced yet. Guards
// against a report that is not repeated after the announcement.
TEST(Relay, RepeatsAReportOnRequest) {
  Relay R({});
  EXPECT_TRUE(forwards(R, report("w1"), 0));
  R.repeatReport("w1");
  EXPECT_TRUE(R.onHeartbeat("w1", heartbeat("1", 0), 1).m_forward);
  EXPECT_TRUE(forwards(R, report("w1"), 2));
  EXPECT_FALSE(R.onHeartbeat("w1", heartbeat("1", 0), 3).m_forward);
}

// Guards against an entry that considers its stored report current although a
// newer one was lost, the agent restarted, or the entry itself restarted.
TEST(Relay, HeartbeatRequestsAMissingReport) {
  Relay R({});
  EXPECT_TRUE(R.onHeartbeat("w1", heartbeat("1", 3), 0).m_reportWanted);
  EXPECT_EQ(R.findReport("w1"), nullptr);
  auto Report = report("w1");
  Report.m_sequence = 3;
  forwards(R, Report, 100);
  EXPECT_FALSE(R.onHeartbeat("w1", heartbeat("1", 3), 200).m_reportWanted);
  R.onLeaderChanged();
  const auto Lost = R.onHeartbeat("w1", heartbeat("1", 4), 300);
  EXPECT_TRUE(Lost.m_reportWanted);
  EXPECT_FALSE(Lost.m_forward);
  EXPECT_TRUE(R.onHeartbeat("w1", heartbeat("2", 3), 400).m_reportWanted);
  // This heartbeat was sent before the stored report and arrived after it.
  EXPECT_FALSE(R.onHeartbeat("w1", heartbeat("1", 2), 500).m_reportWanted);
}

// Guards against an agent that counts as silent while it sends heartbeats, and
// against a replaced agent that counts as alive because its successor sends
// heartbeats.
TEST(Relay, HeartbeatCountsOnlyForItsIncarnation) {
  Relay R({});
  auto Report = report("w1");
  Report.m_sequence = 1;
  forwards(R, Report, 0);
  R.onHeartbeat("w1", heartbeat("1", 1), 2000);
  EXPECT_EQ(R.digestDue(2500)->m_agents.at(0).m_silentMs, 500);
  R.onHeartbeat("w1", heartbeat("2", 1), 4000);
  EXPECT_EQ(R.digestDue(5000)->m_agents.at(0).m_silentMs, 3000);
  R.onHeartbeat("w1", heartbeat("1", 1), 5600);
  EXPECT_EQ(R.digestDue(5600)->m_agents.at(0).m_silentMs, 0);
}

// Guards against an entry that waits for the next complete report of the agent
// although it could forward the stored one: to a new leader, or again because
// the forwarded report with a result was lost.
TEST(Relay, HeartbeatForwardsTheStoredReport) {
  Relay R({});
  auto Report = report("w1");
  Report.m_sequence = 1;
  EXPECT_TRUE(forwards(R, Report, 0));
  EXPECT_FALSE(R.onHeartbeat("w1", heartbeat("1", 1), 1000).m_forward);
  R.onLeaderChanged();
  EXPECT_TRUE(R.onHeartbeat("w1", heartbeat("1", 1), 2000).m_forward);
  Report.m_sequence = 2;
  Report.m_holds.push_back(hold(model::HoldState::Succeeded));
  EXPECT_TRUE(forwards(R, Report, 3000));
  EXPECT_FALSE(R.onHeartbeat("w1", heartbeat("1", 2), 4999).m_forward);
  EXPECT_TRUE(R.onHeartbeat("w1", heartbeat("1", 2), 5000).m_forward);
}

// Guards against a worker that stays unannounced until the next complete report
// because an append failed.
TEST(Relay, HeartbeatRepeatsAFailedAnnouncement) {
  Relay R({});
  EXPECT_TRUE(R.onReport(report("w1"), 0).m_announce);
  EXPECT_FALSE(R.onHeartbeat("w1", heartbeat("1", 0), 1).m_announce);
  R.onAnnouncementAnswered("w1", false);
  EXPECT_TRUE(R.onHeartbeat("w1", heartbeat("1", 0), 2).m_announce);
  EXPECT_FALSE(R.onHeartbeat("w1", heartbeat("1", 0), 3).m_announce);
}

// Guards against an append for every report, and against two agents with one
// name that overwrite each other's announcement forever.
TEST(Relay, AnnouncesOncePerDescriptor) {
  Relay R({});
  EXPECT_TRUE(R.onReport(report("w1"), 0).m_announce);
  EXPECT_FALSE(R.onReport(report("w1"), 1).m_announce);
  R.onAnnouncementAnswered("w1", false);
  EXPECT_TRUE(R.onReport(report("w1"), 2).m_announce);
  R.onAnnouncementAnswered("w1", true);
  EXPECT_FALSE(R.onReport(report("w1"), 3).m_announce);
  auto Restarted = report("w1");
  Restarted.m_worker.m_incarnation = "2";
  const auto Actions = R.onReport(Restarted, 4);
  EXPECT_TRUE(Actions.m_attached);
  EXPECT_TRUE(Actions.m_announce);
}

// Guards against a leader that learns late or never that an agent is silent,
// because one digest was lost, and against frequent digests without a change.
TEST(Relay, DigestIsPromptForChangesAndElseRare) {
  Relay R({});
  R.onReport(report("w1"), 0);
  ASSERT_TRUE(R.digestDue(0).has_value());
  for (Millis Now = 0; Now < 20000; Now += 1000)
    R.onHeartbeat("w1", heartbeat("1", 0), Now);
  EXPECT_FALSE(R.digestDue(1999).has_value());
  EXPECT_TRUE(R.digestDue(2000).has_value());
  EXPECT_FALSE(R.digestDue(3999).has_value());
  EXPECT_TRUE(R.digestDue(4000).has_value());
  EXPECT_FALSE(R.digestDue(13999).has_value());
  EXPECT_TRUE(R.digestDue(14000).has_value());
  const auto Silent = R.digestDue(22000);
  ASSERT_TRUE(Silent.has_value());
  EXPECT_EQ(Silent->m_agents.at(0).m_silentMs, 3000);
  R.onReport(report("w1"), 22100);
  EXPECT_FALSE(R.digestDue(22499).has_value());
  EXPECT_EQ(R.digestDue(22500)->m_agents.at(0).m_silentMs, 400);
  EXPECT_EQ(R.dropSilent(60000), std::vector<std::string>{"w1"});
  EXPECT_TRUE(R.digestDue(60000)->m_agents.empty());
}

// Guards against commands that are sent to an entry that the agent has left.
TEST(Relay, RoutesToTheEntryWithTheLatestContact) {
  Relay R({});
  EXPECT_FALSE(R.route("w1").has_value());
  R.onDigest("e2", "e2:1", digest("w1", 0), 1000);
  EXPECT_EQ(R.route("w1")->m_address, "e2:1");
  R.onDigest("e3", "e3:1", digest("w1", 0), 2000);
  R.onDigest("e2", "e2:1", digest("w1", 1500), 2500);
  EXPECT_EQ(R.route("w1")->m_address, "e3:1");
  R.onReport(report("w1"), 3000);
  EXPECT_TRUE(R.route("w1")->m_local);
  EXPECT_EQ(R.route("w1")->m_address, "w1:1");
  R.onDigest("e3", "e3:1", digest("w1", 0), 4000);
  EXPECT_FALSE(R.route("w1")->m_local);
  R.forgetEntry("e3");
  EXPECT_TRUE(R.route("w1")->m_local);
}

// Guards against agents that count as silent between two digests of an entry
// that is alive, or as alive after the entry became silent.
TEST(Relay, DigestIsValidWhileItsEntrySendsMessages) {
  Relay R({});
  Millis Silence = 100;
  const auto Silent = [&](const std::string &) { return Silence; };
  R.onDigest("e2", "e2:1", {{{"w1", 50}, {"w2", 4000}}}, 0);
  EXPECT_TRUE(R.liveDigests(Silent, 499).empty());
  const auto Live = R.liveDigests(Silent, 500);
  ASSERT_EQ(Live.size(), 1U);
  ASSERT_EQ(Live[0].m_agents.size(), 1U);
  EXPECT_EQ(Live[0].m_agents[0].m_worker, "w1");
  Silence = 1001;
  EXPECT_TRUE(R.liveDigests(Silent, 1000).empty());
  Silence = 100;
  EXPECT_EQ(R.liveDigests(Silent, 25000).size(), 1U);
  EXPECT_TRUE(R.liveDigests(Silent, 25501).empty());
}
