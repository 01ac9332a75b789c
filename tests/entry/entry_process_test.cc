#include "entry_fixture.h"
#include "model/record.h"

#include <string>

using namespace pomelokeel;
using namespace pomelokeel::entry;

namespace {

std::string outcomeOf(const http::Response &R) {
  const Json J = jsonOf(R);
  return J.contains("result") ? J["result"]["outcome"] : "";
}

bool saysNotRun(const http::Response &R) {
  const Json J = jsonOf(R);
  return J.contains("error") && J["error"]["notRun"] == true;
}

template <typename T> bool isReady(const std::future<T> &F) {
  return F.wait_for(std::chrono::seconds(0)) == std::future_status::ready;
}

std::future<http::Response> submitAsync(EntryFleet &Fleet,
                                        const std::string &Entry,
                                        const std::string &Key,
                                        const std::string &Query) {
  return std::async(std::launch::async, [&Fleet, Entry, Key, Query] {
    return Fleet.submit(Entry, Key, Query);
  });
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
  // The leader confirms its own age by reads of the log's end.
  EXPECT_GE(Agent.m_answer.m_leaderAgeMs, 0);
  EXPECT_LT(Agent.m_answer.m_leaderAgeMs, 2000);
  ASSERT_EQ(Agent.m_answer.m_members.size(), 1U);
  EXPECT_EQ(Agent.m_answer.m_members[0].m_httpAddress, E.httpAddress());
  auto Answer = submitAsync(Fleet, "e1", "k1", "?waitMs=15000");
  ASSERT_TRUE(Agent.reportUntil(E, [&] { return isReady(Answer); }));
  const auto R = Answer.get();
  EXPECT_EQ(R.m_status, 200) << R.m_body;
  EXPECT_EQ(outcomeOf(R), "completed") << R.m_body;
}

// Guards the relay in both directions: both the agent and the caller are
// connected to a standby.
TEST(EntryProcess, RunsAJobAtAnAgentOfAStandby) {
  EntryFleet Fleet;
  Fleet.add("e1");
  ASSERT_TRUE(Fleet.awaitLeader("e1"));
  Fleet.configure("e1");
  EntryProcess &Standby = Fleet.add("e2");
  ASSERT_TRUE(Fleet.awaitReady("e2"));
  FakeAgent Agent("w1");
  ASSERT_TRUE(Agent.reportUntil(
      Standby, [&] { return Agent.m_answer.m_leaderAgeMs >= 0; }));
  auto Answer = submitAsync(Fleet, "e2", "k1", "?waitMs=15000");
  ASSERT_TRUE(Agent.reportUntil(Standby, [&] { return isReady(Answer); }));
  EXPECT_EQ(outcomeOf(Answer.get()), "completed");
  EXPECT_EQ(Fleet.status("e2").m_role, "standby");
  EXPECT_EQ(Fleet.status("e2").m_askLeader, Fleet.at("e1").httpAddress());
}

// Guards G5 against a caller that retries at another entry.
TEST(EntryProcess, SameKeyAtAnotherEntryIsTheSameJob) {
  EntryFleet Fleet;
  Fleet.add("e1");
  ASSERT_TRUE(Fleet.awaitLeader("e1"));
  Fleet.configure("e1");
  Fleet.add("e2");
  ASSERT_TRUE(Fleet.awaitReady("e2"));
  const auto First = Fleet.submit("e1", "k1");
  EXPECT_EQ(First.m_status, 202) << First.m_body;
  const auto Second = Fleet.submit("e2", "k1");
  EXPECT_EQ(Second.m_status, 202) << Second.m_body;
  EXPECT_EQ(jsonOf(First)["job"], jsonOf(Second)["job"]);
  Json Other = EntryFleet::job("k1");
  Other["cores"] = 7;
  EXPECT_EQ(kindOf(Fleet.call("e2", "POST", "/v1/jobs", Other)),
            "versionConflict");
}

// Guards G4 against lost answers of appends that took effect: the caller must
// not be told that the job was not run, and a retry must find the same job.
TEST(EntryProcess, LostAppendAnswersLeadToOneJob) {
  EntryFleet Fleet;
  Fleet.add("e1");
  ASSERT_TRUE(Fleet.awaitLeader("e1"));
  Fleet.configure("e1");
  standin::LogFaults Faults;
  Faults.m_loseAppendAnswers = 1000;
  Fleet.m_log.setFaults(Faults);
  // The submission may also be refused: after a lost answer to another append
  // the log counts as unavailable for a while.
  ASSERT_TRUE(waitUntil([&] {
    const auto R = Fleet.submit("e1", "k1");
    EXPECT_EQ(saysNotRun(R), kindOf(R) == "logUnavailable") << R.m_body;
    return R.m_status == 202;
  }));
  EXPECT_TRUE(waitUntil([&] {
    const auto Found = Fleet.call("e1", "GET", "/v1/keys/acct/k1");
    return jsonOf(Found).contains("phase");
  }));
  EXPECT_EQ(Fleet.submit("e1", "k1").m_status, 202);
  EXPECT_EQ(Fleet.records("jobSubmitted"), 1U);
}

// Guards against accepting work that cannot be recorded, and against an entry
// that does not recover by itself.
TEST(EntryProcess, RefusesJobsWhileTheLogIsDownAndRecovers) {
  EntryFleet Fleet;
  Fleet.add("e1");
  ASSERT_TRUE(Fleet.awaitLeader("e1"));
  Fleet.configure("e1");
  ASSERT_EQ(Fleet.submit("e1", "before").m_status, 202);
  standin::LogFaults Down;
  Down.m_refuse = true;
  Fleet.m_log.setFaults(Down);
  ASSERT_TRUE(waitUntil([&] { return !Fleet.status("e1").m_log.m_writable; }));
  const auto Refused = Fleet.submit("e1", "during");
  EXPECT_EQ(kindOf(Refused), "logUnavailable");
  EXPECT_TRUE(saysNotRun(Refused));
  EXPECT_EQ(Fleet.submit("e1", "before").m_status, 202);
  Fleet.m_log.setFaults({});
  EXPECT_TRUE(
      waitUntil([&] { return Fleet.submit("e1", "during").m_status == 202; }));
  EXPECT_EQ(Fleet.records("jobSubmitted"), 2U);
}

// Guards against two operators who are both told that their version was
// published.
TEST(EntryProcess, OnlyOneOfTwoConcurrentPublishersSucceeds) {
  EntryFleet Fleet;
  Fleet.add("e1");
  ASSERT_TRUE(Fleet.awaitLeader("e1"));
  Fleet.add("e2");
  ASSERT_TRUE(Fleet.awaitReady("e2"));
  const auto Publish = [&](const std::string &Entry) {
    return Fleet.publish(Entry, "jobClass", "c", 0, Json::object());
  };
  auto One = std::async(std::launch::async, Publish, "e1");
  auto Two = std::async(std::launch::async, Publish, "e2");
  const auto A = One.get();
  const auto B = Two.get();
  EXPECT_EQ((A.m_status == 200) + (B.m_status == 200), 1);
  const auto &Rejected = A.m_status == 200 ? B : A;
  EXPECT_EQ(kindOf(Rejected), "versionConflict");
  EXPECT_NE(Rejected.m_body.find("at version 1"), std::string::npos)
      << Rejected.m_body;
  EXPECT_EQ(jsonOf(Fleet.call("e2", "GET", "/v1/config/jobClass/c"))["records"]
                .size(),
            1U);
}

// Guards against entries that remain without a leader after it was killed.
TEST(EntryProcess, StandbyTakesOverFromAHaltedLeader) {
  EntryFleet Fleet;
  Fleet.add("e1");
  ASSERT_TRUE(Fleet.awaitLeader("e1"));
  Fleet.configure("e1");
  Fleet.add("e2");
  ASSERT_TRUE(Fleet.awaitReady("e2"));
  ASSERT_EQ(Fleet.submit("e2", "k1").m_status, 202);
  Fleet.at("e1").halt();
  ASSERT_TRUE(Fleet.awaitLeader("e2"));
  EXPECT_EQ(Fleet.status("e2").m_epoch, 2U);
  EntryProcess &E = Fleet.at("e2");
  FakeAgent Agent("w1");
  ASSERT_TRUE(Agent.reportUntil(E, [&] {
    return outcomeOf(Fleet.call("e2", "GET", "/v1/keys/acct/k1")) ==
           "completed";
  }));
}

// Guards G7: a planned stop answers the request in flight, refuses new jobs
// with `notRun` and announces the departure.
TEST(EntryProcess, GracefulStopAnswersRequestsInFlight) {
  EntryFleet Fleet;
  EntryProcess &E = Fleet.add("e1");
  ASSERT_TRUE(Fleet.awaitLeader("e1"));
  Fleet.configure("e1");
  auto InFlight = submitAsync(Fleet, "e1", "k1", "?waitMs=60000");
  ASSERT_TRUE(waitUntil([&] { return Fleet.records("jobSubmitted") == 1; }));
  auto Stopped = std::async(std::launch::async, [&] { return E.stop(); });
  ASSERT_TRUE(waitUntil([&] { return Fleet.status("e1").m_stopping; }));
  const auto Refused = Fleet.submit("e1", "k2");
  EXPECT_EQ(kindOf(Refused), "shuttingDown") << Refused.m_body;
  EXPECT_TRUE(saysNotRun(Refused));
  const auto R = InFlight.get();
  EXPECT_EQ(R.m_status, 202) << R.m_body;
  EXPECT_EQ(jsonOf(R)["phase"], "waiting");
  EXPECT_EQ(Stopped.get(), 0);
  EXPECT_EQ(Fleet.records("entryLeft"), 1U);
  EXPECT_EQ(Fleet.records("jobSubmitted"), 1U);
}

// Guards against an entry that serves an empty state because the log has
// dropped its records.
TEST(EntryProcess, BehindRetentionServesNothing) {
  EntryFleet Fleet;
  model::Record R;
  R.m_id = "r";
  R.m_by = "test";
  for (int I = 0; I < 5; ++I)
    Fleet.m_log.append("records", base::encode(R));
  Fleet.m_log.dropBefore("records", 3);
  Fleet.add("e1");
  ASSERT_TRUE(
      waitUntil([&] { return Fleet.status("e1").m_log.m_behindRetention; }));
  const auto Refused = Fleet.submit("e1", "k1");
  EXPECT_EQ(kindOf(Refused), "notReady") << Refused.m_body;
  EXPECT_TRUE(saysNotRun(Refused));
  EXPECT_EQ(kindOf(Fleet.call("e1", "GET", "/v1/members")), "notReady");
  EXPECT_FALSE(Fleet.status("e1").m_ready);
}

// Guards against a new entry that needs records that the log has dropped: it
// must start from the leader's snapshot and know the job.
TEST(EntryProcess, FreshEntryStartsFromASnapshot) {
  EntryFleet Fleet;
  auto S = Fleet.settings("e1");
  S.m_snapshotEveryRecords = 5;
  Fleet.add(S);
  ASSERT_TRUE(Fleet.awaitLeader("e1"));
  Fleet.configure("e1");
  ASSERT_EQ(Fleet.submit("e1", "k1").m_status, 202);
  const auto Offset = Fleet.status("e1").m_log.m_nextOffset;
  ASSERT_TRUE(waitUntil([&] {
    const auto Chunks = Fleet.m_log.values("snapshots");
    return !Chunks.empty() && Chunks.back()["nextOffset"] >= Offset;
  }));
  Fleet.m_log.dropBefore("records", Offset);
  Fleet.add("e2");
  ASSERT_TRUE(Fleet.awaitReady("e2"));
  EXPECT_EQ(Fleet.call("e2", "GET", "/v1/keys/acct/k1").m_status, 202);
  EXPECT_EQ(Fleet.status("e2").m_leader, "e1");
}
