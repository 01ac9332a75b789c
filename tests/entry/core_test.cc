#include "entry/core.h"

#include <gtest/gtest.h>

#include <deque>
#include <map>

using namespace pomelokeel;
using namespace pomelokeel::entry;
using model::MessageKind;
using model::RecordKind;

namespace {

/// A Core with a log that applies appends when the test calls read(). Sent
/// messages are recorded.
class CoreHarness {
public:
  CoreHarness() {
    m_settings.m_name = "e1";
    m_settings.m_leaderTimeoutMs = 600;
    model::Member Self{"e1", "i1", "e1:1", "e1:2", "dc", "region"};
    Ports P;
    P.m_append = [this](AppendTag Tag, const std::string &Stream,
                        std::vector<base::Json> Values) {
      if (Stream == "records")
        m_appends.push_back({std::move(Tag), std::move(Values)});
      return true;
    };
    P.m_logWritable = [this] { return m_writable; };
    P.m_send = [this](const std::string &Address, model::Message M) {
      m_sent.emplace_back(Address, std::move(M));
      return true;
    };
    P.m_keep = [this](const std::string &Address, Millis PingMs) {
      m_pingMs[Address] = PingMs;
    };
    P.m_drop = [this](const std::string &Address) {
      m_dropped.push_back(Address);
    };
    P.m_silence = [](const std::string &) { return Millis{0}; };
    P.m_closedFor = [this](const std::string &) {
      return m_closedAtMs < 0 ? Millis{-1} : m_nowMs - m_closedAtMs;
    };
    P.m_setRegion = [](const std::string &, const std::string &) {};
    P.m_logBacklog = [this] { return m_backlog; };
    m_core = std::make_unique<Core>(m_settings, Self, P, m_clock, m_counters,
                                    m_events);
  }

  /// Confirms what was appended and reads the log to its end.
  void read() {
    logclient::Batch B;
    std::deque<Append> Appends;
    Appends.swap(m_appends);
    for (Append &A : Appends) {
      for (base::Json &V : A.m_values) {
        model::LogEntry E{m_next++, 1000 + m_nowMs, {}};
        EXPECT_TRUE(base::decode(V, "", E.m_record).ok());
        B.m_entries.push_back(std::move(E));
      }
      logclient::AppendOutcome Done;
      Done.m_fate = logclient::AppendFate::Done;
      m_core->handle(AppendAnswered{A.m_tag, Done}, m_nowMs);
    }
    B.m_end = B.m_next = m_next;
    m_core->handle(logclient::FollowerEvent(std::move(B)), m_nowMs);
  }

  /// Advances the time by \p Ms in steps of 20 ms, with a tick and a read each.
  void run(Millis Ms) {
    for (const Millis End = m_nowMs + Ms; m_nowMs < End; m_nowMs += 20) {
      m_core->tick(m_nowMs);
      read();
    }
  }

  /// Appends a record of another process and reads it.
  template <typename Body>
  void appendFromOtherEntry(RecordKind Kind, const Body &B,
                            std::uint64_t Epoch = 0) {
    model::Record R;
    R.m_id = "other" + std::to_string(m_next);
    R.m_kind = Kind;
    R.m_by = "e2";
    R.m_epoch = Epoch;
    R.m_body = base::encode(B);
    m_appends.push_back({{AppendOwner::Leader, ""}, {base::encode(R)}});
    read();
  }

  http::Response call(ApiRequest Request) {
    http::Response Out;
    Out.m_status = 0;
    m_answers.push_back(Out);
    http::Response &Slot = m_answers.back();
    m_core->handle(ApiCall{std::move(Request),
                           [&Slot](http::Response R) { Slot = std::move(R); }},
                   m_nowMs);
    return Slot;
  }

  void sendAgentReport(MessageKind Kind, std::uint64_t Sequence = 0) {
    model::AgentReport R;
    R.m_worker.m_name = "w1";
    R.m_worker.m_incarnation = "1";
    R.m_worker.m_agentAddress = "w1:1";
    R.m_sequence = Sequence;
    receiveFromAgent(model::makeMessage(Kind, "e1", R));
  }

  void sendAgentHeartbeat(std::uint64_t Sequence) {
    receiveFromAgent(model::makeMessage(
        MessageKind::AgentHeartbeat, "",
        model::AgentHeartbeat{Sequence, model::incarnationHash("1"), 0}));
  }

  void receiveFromAgent(model::Message M) {
    M.m_from = "w1";
    M.m_replyAddress = "w1:1";
    m_core->handle(mesh::Incoming{std::move(M), 0}, m_nowMs);
  }

  /// The last answer to the agent.
  model::AttachAnswer answer() const {
    model::AttachAnswer Out;
    for (const auto &[Address, M] : m_sent) {
      if (M.m_kind == MessageKind::Attached ||
          M.m_kind == MessageKind::ReportAck) {
        Out = {};
        EXPECT_TRUE(base::decodeCompact(M.m_body, "", Out).ok());
      }
    }
    return Out;
  }

  std::size_t sent(MessageKind Kind) const {
    std::size_t Count = 0;
    for (const auto &[Address, M] : m_sent)
      Count += M.m_kind == Kind ? 1 : 0;
    return Count;
  }

  struct Append {
    AppendTag m_tag;
    std::vector<base::Json> m_values;
  };

  settings::EntrySettings m_settings;
  base::HybridClock m_clock;
  base::Counters m_counters;
  base::EventLog m_events{"e1", 100, m_clock};
  std::deque<Append> m_appends;
  std::vector<std::pair<std::string, model::Message>> m_sent;
  std::vector<std::string> m_dropped;     ///< Addresses of links.
  std::map<std::string, Millis> m_pingMs; ///< By address.
  std::deque<http::Response> m_answers;
  std::uint64_t m_next = 0;
  Millis m_nowMs = 1000;
  std::size_t m_backlog = 1;
  Millis m_closedAtMs = -1;
  bool m_writable = true;
  std::unique_ptr<Core> m_core;
};

bool leads(const CoreHarness &B) {
  return B.m_core->heartbeat(B.m_nowMs).m_role == "leader";
}

bool contains(const http::Response &R, const std::string &Text) {
  return R.m_body.find(Text) != std::string::npos;
}

model::JobSpec spec() {
  model::JobSpec S;
  S.m_key = "k";
  S.m_account = "acct";
  S.m_class = "batch";
  return S;
}

} // namespace

// Guards against a leader whose process was frozen while another entry claimed
// leadership, and that acts again before it has read the log.
TEST(Core, FrozenLeaderReadsTheEndBeforeItActs) {
  CoreHarness B;
  B.run(1000);
  ASSERT_TRUE(leads(B));
  B.m_nowMs += 5000;
  B.m_core->tick(B.m_nowMs);
  EXPECT_FALSE(leads(B));
  B.sendAgentReport(MessageKind::Attach);
  EXPECT_FALSE(B.answer().m_accepted);
  B.read(); // Was read before the freeze.
  B.m_core->tick(B.m_nowMs += 20);
  EXPECT_FALSE(leads(B));
  B.read();
  B.m_core->tick(B.m_nowMs += 20);
  EXPECT_TRUE(leads(B));
  B.sendAgentReport(MessageKind::Attach);
  EXPECT_TRUE(B.answer().m_accepted);
}

// Guards against commands of a deposed leader that reach agents.
TEST(Core, RelaysNoCommandOfAnOlderEpoch) {
  CoreHarness B;
  B.run(100);
  B.sendAgentReport(MessageKind::Attach);
  B.appendFromOtherEntry(RecordKind::LeaderClaimed,
                         model::LeaderClaim{"e2", "i2"},
                         B.m_core->state().m_epoch + 1);
  model::Message M =
      model::makeMessage(MessageKind::Command, "w1", model::Command{});
  M.m_from = "e3";
  M.m_epoch = B.m_core->state().m_epoch - 1;
  B.m_core->handle(mesh::Incoming{M, 0}, B.m_nowMs);
  EXPECT_EQ(B.sent(MessageKind::Command), 0U);
  M.m_epoch = B.m_core->state().m_epoch;
  B.m_core->handle(mesh::Incoming{M, 0}, B.m_nowMs);
  EXPECT_EQ(B.sent(MessageKind::Command), 1U);
}

// Guards against agents that attach to an entry with an outdated state.
TEST(Core, RefusesAgentsWhileBehindAPeer) {
  CoreHarness B;
  B.run(100);
  model::Heartbeat PeerHeartbeat;
  PeerHeartbeat.m_role = "standby";
  PeerHeartbeat.m_appliedOffset = B.m_next + 100;
  model::Message M = model::makeMessage(MessageKind::Ping, "e1", PeerHeartbeat);
  M.m_from = "e2";
  B.m_core->handle(mesh::Incoming{M, 0}, B.m_nowMs);
  B.run(1000);
  B.sendAgentReport(MessageKind::Attach);
  EXPECT_FALSE(B.answer().m_accepted);
  EXPECT_NE(B.answer().m_reason.find("peer"), std::string::npos);
}

// Guards against a restarted entry that does not ask for a report because it
// gets heartbeats, and against answers that repeat what the agent already has.
TEST(Core, RequestsTheReportOfAnUnknownAgent) {
  CoreHarness B;
  B.run(100);
  B.sendAgentHeartbeat(3);
  EXPECT_TRUE(B.answer().m_accepted);
  EXPECT_TRUE(B.answer().m_reportWanted);
  B.sendAgentReport(MessageKind::Report, 3);
  EXPECT_FALSE(B.answer().m_reportWanted);
  B.sendAgentHeartbeat(3);
  EXPECT_FALSE(B.answer().m_reportWanted);
  EXPECT_TRUE(B.answer().m_members.empty());
  constexpr std::size_t LargestAnswerBytes = 48;
  EXPECT_LE(model::encodeMessage(B.m_sent.back().second).size(),
            LargestAnswerBytes);
  B.sendAgentHeartbeat(4);
  EXPECT_TRUE(B.answer().m_reportWanted);
}

// Guards against an agent that stays attached to an entry with an outdated
// state because its heartbeats are accepted.
TEST(Core, RefusesHeartbeatsWhileItDoesNotReadTheLog) {
  CoreHarness B;
  B.run(1000);
  B.sendAgentReport(MessageKind::Attach, 1);
  B.sendAgentHeartbeat(1);
  EXPECT_TRUE(B.answer().m_accepted);
  B.m_nowMs += 5000;
  B.m_core->tick(B.m_nowMs);
  B.sendAgentHeartbeat(1);
  EXPECT_FALSE(B.answer().m_accepted);
}

// Guards against an entry that keeps using a dead connection for answers and
// commands to an agent. Only the agent notices that it gets no answers, and
// attaches again.
TEST(Core, AttachClosesTheLinkToTheAgent) {
  CoreHarness B;
  B.run(100);
  B.sendAgentReport(MessageKind::Report, 1);
  B.sendAgentHeartbeat(1);
  EXPECT_TRUE(B.m_dropped.empty());
  B.sendAgentReport(MessageKind::Attach, 2);
  EXPECT_EQ(B.m_dropped, std::vector<std::string>{"w1:1"});
}

// Guards against standbys that ping each other as often as the leader, and
// against a new leader that is still pinged at the longer interval.
TEST(Core, PingsStandbysRarely) {
  CoreHarness B;
  B.run(100);
  for (const std::string Name : {"e2", "e3"})
    B.appendFromOtherEntry(
        RecordKind::EntryAnnounced,
        model::Member{Name, "i" + Name, Name + ":1", "", "dc", "region"});
  B.run(100);
  const Millis HeartbeatMs = B.m_settings.m_heartbeatMs;
  EXPECT_EQ(B.m_pingMs["e2:1"], HeartbeatMs);
  EXPECT_EQ(B.m_pingMs["e3:1"], HeartbeatMs);
  B.appendFromOtherEntry(RecordKind::LeaderClaimed,
                         model::LeaderClaim{"e2", "ie2"},
                         B.m_core->state().m_epoch + 1);
  B.m_core->tick(B.m_nowMs += 20);
  EXPECT_EQ(B.m_pingMs["e2:1"], HeartbeatMs);
  EXPECT_EQ(B.m_pingMs["e3:1"], B.m_settings.m_leaderTimeoutMs);
  B.appendFromOtherEntry(RecordKind::LeaderClaimed,
                         model::LeaderClaim{"e3", "ie3"},
                         B.m_core->state().m_epoch + 1);
  B.m_core->tick(B.m_nowMs += 20);
  EXPECT_EQ(B.m_pingMs["e3:1"], HeartbeatMs);
}

// While the log is known to be unavailable, a submission must be refused with
// `notRun` at once and must cause no append.
TEST(Core, UnavailableLogGetsNoAppend) {
  CoreHarness B;
  EXPECT_TRUE(contains(B.call(SubmitJob{spec(), 0}), "notReady"));
  B.run(1000);
  B.m_writable = false;
  B.m_appends.clear();
  const auto R = B.call(SubmitJob{spec(), 0});
  EXPECT_TRUE(contains(R, "logUnavailable"));
  EXPECT_TRUE(contains(R, "\"notRun\":true"));
  EXPECT_TRUE(B.m_appends.empty());
}

// Guards G4 against a lookup that is answered with `notRun` because this entry
// does not know the key. Another entry may be appending the submission.
TEST(Core, UnknownKeyIsNotReportedAsNotRun) {
  CoreHarness B;
  B.run(100);
  const auto R = B.call(GetByKey{"acct", "k", 0});
  EXPECT_EQ(R.m_status, 404);
  EXPECT_TRUE(contains(R, "\"notRun\":false"));
}

// Guards against renewals on top of other leader records, and against a leader
// that stops renewing.
TEST(Core, RenewsOncePerHalfTimeout) {
  CoreHarness B;
  B.run(1000);
  ASSERT_TRUE(leads(B));
  const auto Before = B.m_next;
  B.run(3000);
  EXPECT_GE(B.m_next - Before, 8U);
  EXPECT_LE(B.m_next - Before, 11U);
}

// Guards G7: the departure is the last record, and a leader that leaves makes
// no new claim.
TEST(Core, LeavesAfterItsCallersWereAnswered) {
  CoreHarness B;
  B.run(1000);
  B.m_core->beginStop(B.m_nowMs + 1000);
  EXPECT_TRUE(contains(B.call(SubmitJob{spec(), 0}), "shuttingDown"));
  EXPECT_TRUE(B.m_core->drained());
  EXPECT_TRUE(B.m_core->leave());
  EXPECT_FALSE(B.m_core->departed());
  B.read();
  EXPECT_TRUE(B.m_core->departed());
  EXPECT_TRUE(B.m_core->state().m_members.empty());
}

namespace {

// A standby e1 whose leader e2 renews its leadership and has an open link.
struct StandbyHarness : CoreHarness {
  StandbyHarness() {
    run(100);
    appendFromOtherEntry(
        RecordKind::EntryAnnounced,
        model::Member{"e2", "i2", "e2:1", "e2:2", "dc", "region"});
    appendFromOtherEntry(RecordKind::LeaderClaimed,
                         model::LeaderClaim{"e2", "i2"},
                         m_core->state().m_epoch + 1);
    run(100);
  }
};

} // namespace

// Guards the orphan limit of tasks whose leader was replaced but cannot read
// the log and so does not know it. Without the log, the leader is confirmed
// only by pongs of peers that have read no more of the log.
TEST(Core, LeaderWithoutTheLogIsConfirmedOnlyByPeers) {
  CoreHarness B;
  B.run(1000);
  ASSERT_TRUE(leads(B));
  B.appendFromOtherEntry(
      RecordKind::EntryAnnounced,
      model::Member{"e2", "i2", "e2:1", "e2:2", "dc", "region"});
  B.sendAgentReport(MessageKind::Attach, 1);
  EXPECT_LE(B.answer().m_leaderAgeMs, 20);
  B.m_core->handle(logclient::FollowerEvent(logclient::ReadFailed{
                       {base::ErrorKind::LogUnavailable, "cut off"}}),
                   B.m_nowMs);
  const auto AgeAfter = [&](std::optional<std::uint64_t> PeerOffset) {
    for (const Millis End = B.m_nowMs + 1000; B.m_nowMs < End;
         B.m_nowMs += 100) {
      B.m_core->tick(B.m_nowMs);
      if (!PeerOffset)
        continue;
      model::Message Pong = model::makeMessage(
          MessageKind::Pong, "", model::Heartbeat{"standby", *PeerOffset, 0});
      Pong.m_from = "e2";
      B.m_core->handle(mesh::Incoming{Pong, 0}, B.m_nowMs);
    }
    B.sendAgentHeartbeat(1);
    return B.answer().m_leaderAgeMs;
  };
  EXPECT_GE(AgeAfter(std::nullopt), 1000);
  EXPECT_LE(AgeAfter(B.m_next), 100);
  EXPECT_GE(AgeAfter(B.m_next + 1), 1000);
}

// Guards against a long time without a leader after its graceful stop.
TEST(Core, ClaimsWhenTheDepartureOfTheLeaderIsRead) {
  StandbyHarness B;
  ASSERT_FALSE(leads(B));
  B.appendFromOtherEntry(RecordKind::EntryLeft, model::Departure{"e2", "i2"});
  B.run(100);
  EXPECT_TRUE(leads(B));
}

// Guards against a long time without a leader after its process died.
TEST(Core, ClaimsWhenTheLeaderClosedItsLink) {
  StandbyHarness B;
  B.m_closedAtMs = B.m_nowMs;
  // Shorter than the silence after two claims, which is twice 600 ms.
  B.run(1000);
  EXPECT_TRUE(leads(B));
}

namespace {

// A worker w1 with an agent that is attached to e3, a job class and an account.
model::Worker announceWorkerAndConfig(CoreHarness &B) {
  B.appendFromOtherEntry(
      RecordKind::EntryAnnounced,
      model::Member{"e3", "i3", "e3:1", "e3:2", "dc", "region"});
  model::Worker W;
  W.m_name = "w1";
  W.m_incarnation = "1";
  W.m_agentAddress = "w1:1";
  W.m_dataCentre = "dc";
  W.m_region = "region";
  W.m_rack = "rack";
  W.m_cores = 8;
  W.m_memoryMb = 65536;
  W.m_slots = 4;
  B.appendFromOtherEntry(RecordKind::WorkerAnnounced, W);
  B.appendFromOtherEntry(RecordKind::ConfigPublished,
                         model::ConfigRecord{model::ConfigKind::JobClass,
                                             "batch", 1, 0, 2, "op",
                                             base::Json::object()});
  B.appendFromOtherEntry(
      RecordKind::ConfigPublished,
      model::ConfigRecord{model::ConfigKind::Account,
                          "acct",
                          1,
                          0,
                          2,
                          "op",
                          {{"guarantee", base::Json::array()}}});
  return W;
}

template <typename Body>
void receiveFromEntry3(CoreHarness &B, MessageKind Kind, const Body &Content,
                       std::uint64_t Epoch) {
  model::Message M = model::makeMessage(Kind, "e1", Content);
  M.m_from = "e3";
  M.m_replyAddress = "e3:1";
  M.m_epoch = Epoch;
  B.m_core->handle(mesh::Incoming{M, 0}, B.m_nowMs);
}

} // namespace

// Another entry may read a claim before the new leader does, and sends its
// digest and reports once. Guards against losing them, which delays urgent
// jobs.
TEST(Core, HandlesReportsThatArriveBeforeItsClaimIsRead) {
  StandbyHarness B;
  const model::Worker W = announceWorkerAndConfig(B);
  const std::uint64_t Next = B.m_core->state().m_epoch + 1;
  model::AgentReport Report;
  Report.m_worker = W;
  Report.m_sequence = 1;
  model::Digest Digest;
  Digest.m_agents.push_back({"w1", 0});
  receiveFromEntry3(B, MessageKind::Digest, Digest, Next);
  receiveFromEntry3(B, MessageKind::Report, Report, Next);
  B.appendFromOtherEntry(RecordKind::EntryLeft, model::Departure{"e2", "i2"});
  B.run(200);
  ASSERT_TRUE(leads(B));
  B.call(SubmitJob{spec(), 0});
  B.run(200);
  EXPECT_GT(B.sent(MessageKind::Command), 0U);
}

// Guards against a new leader that has to wait for the next report of each
// agent before it can place urgent jobs.
TEST(Core, ForwardsReportsWhenTheLeaderChanges) {
  StandbyHarness B;
  announceWorkerAndConfig(B);
  B.sendAgentReport(MessageKind::Attach);
  B.run(100);
  const auto Before = B.sent(MessageKind::Report);
  B.appendFromOtherEntry(RecordKind::LeaderClaimed,
                         model::LeaderClaim{"e3", "i3"},
                         B.m_core->state().m_epoch + 1);
  B.run(100);
  EXPECT_EQ(B.sent(MessageKind::Report), Before + 1);
}
