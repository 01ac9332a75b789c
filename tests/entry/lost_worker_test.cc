#include "entry/core.h"

#include <gtest/gtest.h>

#include <array>
#include <memory>

using namespace pomelokeel;
using namespace pomelokeel::entry;
using model::RecordKind;

namespace {

/// A leader e1 and a standby e2 that share a log and cannot reach each other
/// directly. Time is simulated.
class SplitEntries {
public:
  SplitEntries() {
    for (std::size_t I = 0; I < m_nodes.size(); ++I)
      start(m_nodes[I], "e" + std::to_string(I + 1),
            I == 0 ? Millis{600} : Millis{60000});
  }

  void run(Millis Ms, const std::string &Incarnation = "") {
    for (const Millis End = m_nowMs + Ms; m_nowMs < End; m_nowMs += 20) {
      if (!Incarnation.empty())
        report(Incarnation);
      for (Node &N : m_nodes) {
        N.m_core->tick(m_nowMs);
        read(N);
      }
    }
  }

  std::size_t records(RecordKind Kind) const {
    std::size_t Count = 0;
    for (const model::LogEntry &E : m_log)
      Count += E.m_record.m_kind == Kind ? 1 : 0;
    return Count;
  }

  model::WorkerStanding standing() const {
    return m_nodes[0].m_core->state().m_workers.at("w1").m_standing;
  }

private:
  struct Node {
    base::Counters m_counters;
    std::unique_ptr<base::EventLog> m_events;
    std::unique_ptr<Core> m_core;
    std::vector<AppendTag>
        m_unconfirmed; ///< Appends that are not confirmed yet.
    std::size_t m_position = 0;
  };

  void start(Node &N, const std::string &Name, Millis LeaderTimeoutMs) {
    settings::EntrySettings S;
    S.m_name = Name;
    S.m_leaderTimeoutMs = LeaderTimeoutMs;
    N.m_events = std::make_unique<base::EventLog>(Name, 100, m_clock);
    Ports P;
    P.m_append = [this, &N](const AppendTag &Tag, const std::string &Stream,
                            const std::vector<base::Json> &Values) {
      N.m_unconfirmed.push_back(Tag);
      for (const base::Json &V : Values) {
        if (Stream == "records")
          append(V);
      }
      return true;
    };
    P.m_logWritable = [] { return true; };
    P.m_send = [](const std::string &, const model::Message &) {
      return false;
    };
    P.m_keep = [](const std::string &, Millis) {};
    P.m_drop = [](const std::string &) {};
    P.m_silence = [](const std::string &) { return Millis{0}; };
    P.m_closedFor = [](const std::string &) { return Millis{-1}; };
    P.m_setRegion = [](const std::string &, const std::string &) {};
    P.m_logBacklog = [] { return std::size_t{1}; };
    N.m_core = std::make_unique<Core>(
        S, model::Member{Name, "i", Name + ":1", Name + ":2", "dc", "region"},
        P, m_clock, N.m_counters, *N.m_events);
  }

  void append(const base::Json &Value) {
    model::LogEntry E{m_log.size(), 1000 + m_nowMs, {}};
    EXPECT_TRUE(base::decode(Value, "", E.m_record).ok());
    m_log.push_back(std::move(E));
  }

  void read(Node &N) {
    std::vector<AppendTag> Open;
    Open.swap(N.m_unconfirmed);
    for (const AppendTag &Tag : Open) {
      logclient::AppendOutcome Done;
      Done.m_fate = logclient::AppendFate::Done;
      N.m_core->handle(AppendAnswered{Tag, Done}, m_nowMs);
    }
    logclient::Batch B;
    B.m_entries.assign(
        m_log.begin() + static_cast<std::ptrdiff_t>(N.m_position), m_log.end());
    N.m_position = m_log.size();
    B.m_end = B.m_next = m_log.size();
    N.m_core->handle(logclient::FollowerEvent(std::move(B)), m_nowMs);
  }

  // The agent of w1 reports to the standby.
  void report(const std::string &Incarnation) {
    model::AgentReport R;
    R.m_worker.m_name = "w1";
    R.m_worker.m_incarnation = Incarnation;
    R.m_worker.m_agentAddress = "w1:1";
    R.m_sequence = ++m_sequence;
    model::Message M = model::makeMessage(model::MessageKind::Report, "e2", R);
    M.m_from = "w1";
    M.m_replyAddress = "w1:1";
    m_nodes[1].m_core->handle(mesh::Incoming{M, 0}, m_nowMs);
  }

  base::HybridClock m_clock;
  std::vector<model::LogEntry> m_log;
  std::array<Node, 2> m_nodes;
  std::uint64_t m_sequence = 0;
  Millis m_nowMs = 1000;
};

} // namespace

// Guards against unbounded records when only a standby receives the reports of
// an agent: the standby announces the lost worker at each report, and the
// leader records the loss again each time.
TEST(LostWorker, IsAnnouncedOncePerIncarnation) {
  SplitEntries E;
  E.run(1000);
  E.run(1000, "1");
  ASSERT_EQ(E.records(RecordKind::WorkerAnnounced), 1U);
  E.run(9000);
  ASSERT_EQ(E.standing(), model::WorkerStanding::Lost);
  E.run(2000, "1");
  EXPECT_EQ(E.standing(), model::WorkerStanding::Lost);
  EXPECT_EQ(E.records(RecordKind::WorkerAnnounced), 1U);
  E.run(2000, "2");
  EXPECT_EQ(E.standing(), model::WorkerStanding::Healthy);
  EXPECT_EQ(E.records(RecordKind::WorkerAnnounced), 2U);
  EXPECT_EQ(E.records(RecordKind::WorkerStandingChanged), 1U);
}
