#include "logclient/logclient.h"

#include "standin/log.h"
#include "standin/wait.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <future>
#include <mutex>

using namespace pomelokeel;
using namespace pomelokeel::logclient;
using base::ErrorKind;
using standin::eventually;
using standin::LogStandin;

namespace {

constexpr int LongMs = 10000;
constexpr int ShortMs = 150;
// Timeout of calls that must succeed. Far above the pauses of a busy machine.
constexpr int CallMs = 2000;
constexpr int DeadlineMs = 15000;
// Delay of an answer during which a test submits more values. Must be below the
// default call timeout.
constexpr int AnswerDelayMs = 1500;

std::string addressOfNoServer() { return LogStandin().address(); }

// Submits values and collects their outcomes.
class Submitter {
public:
  explicit Submitter(const LogSettings &Settings, std::size_t Capacity = 1000)
      : m_writer(Settings, Capacity, m_counters) {}

  bool submit(const std::vector<Json> &Values,
              const std::string &Stream = "records") {
    return m_writer.submit(Stream, Values, [this](const AppendOutcome &O) {
      const std::lock_guard Lock(m_mutex);
      m_outcomes.push_back(O);
    });
  }

  std::vector<AppendOutcome> wait(std::size_t Count) {
    EXPECT_TRUE(eventually([&] { return outcomes().size() >= Count; }));
    return outcomes();
  }

  AppendOutcome append(const Json &Value) {
    const std::size_t Before = outcomes().size();
    EXPECT_TRUE(submit({Value}));
    return wait(Before + 1).back();
  }

  std::vector<AppendOutcome> outcomes() {
    const std::lock_guard Lock(m_mutex);
    return m_outcomes;
  }

  base::Counters m_counters;
  std::mutex m_mutex;
  std::vector<AppendOutcome> m_outcomes;
  Writer m_writer; // Declared last: its callbacks use the members above.
};

// Runs a Follower and checks for every event that no offset is delivered twice
// or out of order.
class Follow : public testing::Test {
protected:
  void start(int TimeoutMs = CallMs, std::size_t Capacity = 64) {
    m_ring = std::make_unique<base::Ring<FollowerEvent>>(Capacity);
    m_follower = std::make_unique<Follower>(
        LogSettings{m_log.address(), TimeoutMs}, *m_ring, m_counters);
  }

  void append(int Count) {
    for (int I = 0; I < Count; ++I) {
      model::Record R;
      R.m_id = std::to_string(++m_appended);
      R.m_by = "test";
      m_log.append("records", base::encode(R));
    }
  }

  void snapshot(std::uint64_t NextOffset, std::size_t Chunks = 1,
                std::size_t Missing = 0) {
    state::State S;
    S.m_nextOffset = NextOffset;
    const std::size_t Size = base::encode(S).dump().size();
    const auto Encoded = state::encodeSnapshot(
        S, "s" + std::to_string(++m_snapshots), (Size + Chunks - 1) / Chunks);
    for (std::size_t I = Missing; I < Encoded.size(); ++I)
      m_log.append("snapshots", base::encode(Encoded[I]));
  }

  void handleEvent(const Loaded &L) {
    EXPECT_GE(L.m_state.m_nextOffset, m_position);
    m_position = L.m_state.m_nextOffset;
    ++m_snapshotsLoaded;
  }

  void handleEvent(const Batch &B) {
    for (const model::LogEntry &E : B.m_entries) {
      EXPECT_GE(E.m_offset, m_position);
      EXPECT_LT(E.m_offset, B.m_next);
    }
    EXPECT_GE(B.m_end, B.m_next);
    m_entries += B.m_entries.size();
    m_position = B.m_next;
    m_emptyAtEnd += B.m_entries.empty() && B.m_end == B.m_next ? 1 : 0;
    m_failed.reset();
  }

  void handleEvent(const ReadFailed &F) {
    m_failed = F.m_error.m_kind;
    ++m_failures;
  }

  // Handles events until Holds() is true or DeadlineMs has passed.
  template <typename Condition> bool until(Condition Holds) {
    return eventually(
        [&] {
          if (Holds())
            return true;
          const auto E = m_ring->pop(std::chrono::milliseconds(10));
          if (E)
            std::visit([&](const auto &Event) { handleEvent(Event); }, *E);
          return Holds();
        },
        DeadlineMs);
  }

  bool reaches(std::uint64_t Position) {
    return until([&] { return m_position >= Position; });
  }

  LogStandin m_log;
  base::Counters m_counters;
  std::unique_ptr<base::Ring<FollowerEvent>> m_ring;
  std::unique_ptr<Follower> m_follower;
  int m_appended = 0;
  int m_snapshots = 0;
  std::uint64_t m_position = 0;
  int m_emptyAtEnd = 0; // Number of empty batches at the end of the log.
  std::size_t m_entries = 0;
  int m_snapshotsLoaded = 0;
  int m_failures = 0;
  std::optional<ErrorKind> m_failed; // Last failure since the last batch.
};

} // namespace

TEST(LogClient, AppendsAndReadsInOrder) {
  LogStandin Log;
  LogClient Client({Log.address()});
  EXPECT_EQ(Client.append("a/b", {1, 2}).m_first, 0U);
  const auto Second = Client.append("a/b", {3});
  EXPECT_EQ(Second.m_fate, AppendFate::Done);
  EXPECT_EQ(Second.m_first, 2U);
  const auto Page = Client.read("a/b", 1, 10, 0);
  ASSERT_TRUE(Page.ok());
  ASSERT_EQ(Page->m_values.size(), 2U);
  EXPECT_EQ(Page->m_values[1].m_offset, 2U);
  EXPECT_EQ(Page->m_values[1].m_value, 3);
  EXPECT_EQ(Page->m_next, 3U);
  EXPECT_EQ(Client.read("a/b", 0, 2, 0)->m_values.size(), 2U);
  EXPECT_TRUE(Client.read("a/b", 9, 2, 0)->m_values.empty());
}

TEST(LogClient, LongPollEndsWithTheNextAppend) {
  LogStandin Log;
  LogClient Client({Log.address()});
  auto Read = std::async(std::launch::async,
                         [&] { return Client.read("records", 0, 10, LongMs); });
  ASSERT_TRUE(eventually([&] { return Log.requestCount() == 1; }));
  const Millis Appended = base::monotonicNow();
  Log.append("records", "x");
  const auto Page = Read.get();
  ASSERT_TRUE(Page.ok());
  EXPECT_EQ(Page->m_values.size(), 1U);
  EXPECT_LT(base::monotonicNow() - Appended, LongMs / 2);
}

TEST(LogClient, DroppedOffsetIsTruncated) {
  LogStandin Log;
  LogClient Client({Log.address()});
  Client.append("records", {1, 2, 3});
  Log.dropBefore("records", 2);
  EXPECT_EQ(Client.read("records", 1, 10, 0).error().m_kind,
            ErrorKind::LogTruncated);
  const auto Range = Client.range("records");
  ASSERT_TRUE(Range.ok());
  EXPECT_EQ(Range->m_first, 2U);
  EXPECT_EQ(Range->m_next, 3U);
}

// On NoEffect, callers are told that their request was not run (notRun), so an
// append whose answer is lost must not be reported as NoEffect (invariant G4).
TEST(LogClient, FateTellsWhetherTheAppendTookEffect) {
  LogStandin Log;
  LogClient Client({Log.address(), CallMs});
  Log.setFaults({.m_loseAppendAnswers = 1});
  const auto Lost = Client.append("records", {1});
  EXPECT_EQ(Lost.m_fate, AppendFate::Unconfirmed);
  EXPECT_EQ(Lost.m_error.m_kind, ErrorKind::LogUnconfirmed);
  EXPECT_EQ(Log.values("records").size(), 1U);
  Log.setFaults({.m_delayMs = LongMs});
  EXPECT_EQ(Client.append("records", {2}).m_fate, AppendFate::Unconfirmed);
  EXPECT_EQ(Log.values("records").size(), 2U);
  Log.setFaults({.m_outage = true});
  EXPECT_EQ(Client.append("records", {3}).m_fate, AppendFate::Unconfirmed);
  Log.setFaults({.m_refuse = true});
  const auto Refused = Client.append("records", {4});
  EXPECT_EQ(Refused.m_fate, AppendFate::NoEffect);
  EXPECT_EQ(Refused.m_error.m_kind, ErrorKind::LogUnavailable);
  LogClient NoServer({addressOfNoServer()});
  EXPECT_EQ(NoServer.append("records", {5}).m_fate, AppendFate::NoEffect);
  EXPECT_EQ(Log.values("records").size(), 2U);
}

TEST(LogClient, AppendOverTheLimitHasNoEffect) {
  LogStandin Log({.m_maxAppendsPerSecond = 1});
  LogClient Client({Log.address()});
  EXPECT_EQ(Client.append("records", {1}).m_fate, AppendFate::Done);
  const auto Second = Client.append("records", {2});
  EXPECT_EQ(Second.m_fate, AppendFate::NoEffect);
  EXPECT_EQ(Second.m_error.m_kind, ErrorKind::Overloaded);
}

TEST(LogClient, SilentConnectionIsReplaced) {
  LogStandin Log;
  LogClient Client({Log.address(), CallMs});
  ASSERT_TRUE(Client.read("records", 0, 1, 0).ok());
  Log.setFaults({.m_silentConnections = true});
  EXPECT_EQ(Client.read("records", 0, 1, 0).error().m_kind,
            ErrorKind::LogUnavailable);
  EXPECT_TRUE(Client.read("records", 0, 1, 0).ok());
}

// A load balancer may have assigned the connection to an instance of the log
// service that refuses every request, so a retry must open a new connection.
TEST(LogClient, RefusedReadIsRepeatedOnANewConnection) {
  LogStandin Log;
  LogClient Client({Log.address()});
  Log.setFaults({.m_refuse = true});
  EXPECT_FALSE(Client.read("records", 0, 1, 0).ok());
  EXPECT_EQ(Log.lastConnection(), 1U);
  Log.setFaults({});
  EXPECT_TRUE(Client.read("records", 0, 1, 0).ok());
  EXPECT_EQ(Log.lastConnection(), 2U);
}

TEST(LogClient, CancelEndsALongPoll) {
  LogStandin Log;
  LogClient Client({Log.address()});
  auto Read = std::async(std::launch::async, [&] {
    return Client.read("records", 0, 10, LongMs).ok();
  });
  ASSERT_TRUE(eventually([&] { return Log.requestCount() == 1; }));
  Client.cancel();
  EXPECT_FALSE(Read.get());
}

TEST(Writer, WaitingValuesShareAnAppend) {
  LogStandin Log;
  Submitter S({Log.address()});
  // Keeps the first append in flight.
  Log.setFaults({.m_delayMs = AnswerDelayMs});
  for (int I = 0; I < 300; ++I)
    ASSERT_TRUE(S.submit({I}, I % 3 == 0 ? "other" : "records"));
  ASSERT_TRUE(eventually([&] { return Log.appendCount() == 1; }));
  Log.setFaults({});
  const auto Outcomes = S.wait(300);
  EXPECT_LE(Log.appendCount(), 4);
  std::uint64_t Sum = 0;
  for (const auto &O : Outcomes) {
    EXPECT_EQ(O.m_fate, AppendFate::Done);
    Sum += O.m_first;
  }
  EXPECT_EQ(Sum, 200U * 199 / 2 + 100U * 99 / 2); // Each offset once.
  const auto Stored = Log.values("records");
  ASSERT_EQ(Stored.size(), 200U);
  EXPECT_TRUE(std::is_sorted(Stored.begin(), Stored.end()));
}

// Guards against joining submissions into an append that the log service would
// refuse as too large.
TEST(Writer, AppendsKeepToTheLimits) {
  LogStandin Log;
  Submitter S({Log.address()});
  Log.setFaults({.m_delayMs = AnswerDelayMs});
  ASSERT_TRUE(S.submit({0}));
  ASSERT_TRUE(eventually([&] { return Log.appendCount() == 1; }));
  Log.setFaults({});
  for (int I = 0; I < 3; ++I) // Two fit into one append.
    ASSERT_TRUE(S.submit({std::string(200 * 1024, 'x')}));
  ASSERT_TRUE(S.submit({std::string(MaxAppendBytes, 'x')}));
  ASSERT_TRUE(S.submit(std::vector<Json>(MaxAppendValues + 1, 1)));
  ASSERT_TRUE(S.submit(std::vector<Json>(MaxAppendValues, 1)));
  const auto Outcomes = S.wait(7);
  EXPECT_EQ(Log.values("records").size(), 4 + MaxAppendValues);
  EXPECT_EQ(Log.appendCount(), 4);
  EXPECT_EQ(std::count_if(Outcomes.begin(), Outcomes.end(),
                          [](const auto &O) {
                            return O.m_fate == AppendFate::NoEffect &&
                                   O.m_error.m_kind == ErrorKind::TooLarge;
                          }),
            2);
}

// Guards against storing a record twice because the answer to its append was
// lost.
TEST(Writer, LostAnswerIsUnconfirmedAndNotRepeated) {
  LogStandin Log;
  Submitter S({Log.address()});
  Log.setFaults({.m_loseAppendAnswers = 1});
  EXPECT_EQ(S.append(1).m_fate, AppendFate::Unconfirmed);
  ASSERT_TRUE(eventually([&] { return S.m_writer.available(); }));
  EXPECT_EQ(S.append(2).m_fate, AppendFate::Done);
  EXPECT_EQ(Log.values("records"), (std::vector<Json>{1, 2}));
}

// In an outage, callers must get the answer notRun at once instead of each
// waiting for a timeout.
TEST(Writer, OutageIsKnownAndEndsByItself) {
  LogStandin Log;
  Submitter S({Log.address(), 500});
  Log.setFaults({.m_outage = true});
  EXPECT_EQ(S.append(1).m_fate, AppendFate::Unconfirmed);
  EXPECT_FALSE(S.m_writer.available());
  const Millis Begin = base::monotonicNow();
  for (int I = 0; I < 20; ++I)
    EXPECT_EQ(S.append(2).m_fate, AppendFate::NoEffect);
  EXPECT_LT(base::monotonicNow() - Begin, 500);
  Log.setFaults({});
  ASSERT_TRUE(eventually([&] { return S.m_writer.available(); }));
  EXPECT_EQ(S.append(3).m_fate, AppendFate::Done);
  EXPECT_EQ(Log.values("records"), std::vector<Json>{3});
}

TEST(Writer, RecoversFromASilentConnection) {
  LogStandin Log;
  Submitter S({Log.address(), CallMs});
  EXPECT_EQ(S.append(1).m_fate, AppendFate::Done);
  Log.setFaults({.m_silentConnections = true});
  EXPECT_EQ(S.append(2).m_fate, AppendFate::Unconfirmed);
  ASSERT_TRUE(eventually([&] { return S.m_writer.available(); }));
  EXPECT_EQ(S.append(3).m_fate, AppendFate::Done);
}

// Guards against answering a burst of requests with notRun where a short delay
// would bring the append rate below the limit.
TEST(Writer, WaitsWhileOverTheAppendLimit) {
  LogStandin Log({.m_maxAppendsPerSecond = 10});
  Submitter S({Log.address()});
  // A pause of the test refills at most the 10 tokens of the stand-in, so the
  // last values are over the limit in any case.
  for (int I = 0; I < 23; ++I)
    EXPECT_EQ(S.append(I).m_fate, AppendFate::Done);
  EXPECT_GT(Log.appendCount(), 23);
  EXPECT_TRUE(S.m_writer.available());
}

TEST(Writer, FullQueueRefuses) {
  LogStandin Log;
  Submitter S({Log.address()}, 2);
  Log.setFaults({.m_outage = true});
  ASSERT_TRUE(S.submit({0}));
  ASSERT_TRUE(eventually([&] { return Log.appendCount() == 1; }));
  EXPECT_TRUE(S.submit({1}));
  EXPECT_TRUE(S.submit({2}));
  EXPECT_FALSE(S.submit({3}));
  S.m_writer.stop(0);
  const auto Outcomes = S.outcomes();
  ASSERT_EQ(Outcomes.size(), 3U);
  EXPECT_EQ(Outcomes[0].m_fate, AppendFate::Unconfirmed);
  EXPECT_EQ(Outcomes[1].m_fate, AppendFate::NoEffect);
  EXPECT_EQ(Outcomes[2].m_fate, AppendFate::NoEffect);
}

TEST(Writer, StopAppendsWhatIsQueued) {
  LogStandin Log;
  Submitter S({Log.address()});
  Log.setFaults({.m_delayMs = ShortMs});
  for (int I = 0; I < 3; ++I)
    ASSERT_TRUE(S.submit({I}));
  S.m_writer.stop(LongMs);
  EXPECT_FALSE(S.submit({3}));
  ASSERT_EQ(S.outcomes().size(), 3U);
  EXPECT_EQ(S.outcomes()[2].m_fate, AppendFate::Done);
}

TEST_F(Follow, StartsAtTheBeginningAndFollows) {
  append(600);
  start();
  ASSERT_TRUE(reaches(600));
  EXPECT_EQ(m_entries, 600U);
  append(1);
  ASSERT_TRUE(reaches(601));
  EXPECT_EQ(m_snapshotsLoaded, 0);
}

// An entry recognises by an empty batch that it has read the log to its end.
TEST_F(Follow, EmptyBatchesShowTheEnd) {
  append(1);
  start();
  ASSERT_TRUE(reaches(1));
  m_emptyAtEnd = 0;
  EXPECT_TRUE(until([&] { return m_emptyAtEnd >= 2; }));
}

// An invalid record must not keep every entry from reading the records after
// it.
TEST_F(Follow, InvalidRecordIsSkippedAndCounted) {
  append(1);
  m_log.append("records", {{"id", 7}});
  m_log.append("records", "text");
  start();
  ASSERT_TRUE(reaches(3));
  EXPECT_EQ(m_entries, 1U);
  EXPECT_EQ(m_counters.get("log_invalid_records"), 2);
}

// If applied, a record that is nested too deeply would make every later
// snapshot unreadable.
TEST_F(Follow, DeeplyNestedRecordIsSkipped) {
  constexpr int Levels = 2 * base::MaxRecordNesting;
  const std::string Body = R"({"records":[)" + std::string(Levels, '[') +
                           std::string(Levels, ']') + "]}";
  LogClient Raw({m_log.address(), CallMs});
  ASSERT_EQ(Raw.appendEncoded("records", Body).m_fate, AppendFate::Done);
  append(1);
  start();
  ASSERT_TRUE(reaches(2));
  EXPECT_EQ(m_entries, 1U);
  Submitter S({m_log.address()});
  Json Deep;
  for (int I = 0; I <= base::MaxRecordNesting; ++I)
    Deep = Json::array({Deep});
  EXPECT_EQ(S.append(Deep).m_error.m_kind, ErrorKind::TooLarge);
}

TEST_F(Follow, LoadsTheSnapshotThenTheTail) {
  append(10);
  snapshot(3, 9);
  snapshot(8, 9);
  snapshot(9, 9, 1); // Incomplete.
  start();
  ASSERT_TRUE(reaches(10));
  EXPECT_EQ(m_snapshotsLoaded, 1);
  EXPECT_EQ(m_entries, 2U);
}

TEST_F(Follow, WithoutAUsableSnapshotItIsBehindRetention) {
  append(10);
  snapshot(3);
  m_log.dropBefore("records", 5);
  start();
  ASSERT_TRUE(until([&] { return m_failed == ErrorKind::BehindRetention; }));
  EXPECT_EQ(m_position, 0U);
  snapshot(6);
  ASSERT_TRUE(reaches(10));
  EXPECT_EQ(m_entries, 4U);
}

// Guards against an older state replacing a newer one after retention has
// dropped records that a slow process had not read.
TEST_F(Follow, RetentionPassedLoadsOnlyANewerSnapshot) {
  append(5);
  start();
  ASSERT_TRUE(reaches(5));
  m_log.setFaults({.m_refuse = true});
  ASSERT_TRUE(until([&] { return m_failed == ErrorKind::LogUnavailable; }));
  append(10);
  m_log.dropBefore("records", 9);
  snapshot(12);
  snapshot(4); // Older, but written last by a leader that was frozen.
  m_log.setFaults({});
  ASSERT_TRUE(reaches(15));
  EXPECT_EQ(m_snapshotsLoaded, 1);
  EXPECT_EQ(m_entries, 8U);
}

// If the log ends before the snapshot's next offset, an outdated replica of the
// log service has answered.
TEST_F(Follow, TailThatEndsBeforeTheSnapshotIsNotDelivered) {
  append(3);
  snapshot(6);
  start();
  ASSERT_TRUE(until([&] { return m_failed == ErrorKind::LogUnavailable; }));
  EXPECT_EQ(m_position, 6U);
  EXPECT_EQ(m_entries, 0U);
  append(5);
  ASSERT_TRUE(reaches(8));
  EXPECT_EQ(m_entries, 2U);
}

TEST_F(Follow, OutageIsReportedAndEndsByItself) {
  append(5);
  start(ShortMs);
  ASSERT_TRUE(reaches(5));
  m_log.setFaults({.m_outage = true});
  ASSERT_TRUE(until([&] { return m_failures >= 3; }));
  append(5);
  m_log.setFaults({});
  ASSERT_TRUE(reaches(10));
  EXPECT_EQ(m_entries, 10U);
}

// A configuration must take effect within 3 s even if the connection
// stops carrying data just before it is published (invariant G8).
TEST_F(Follow, SilentConnectionDelaysARecordByLessThanThreeSeconds) {
  start(CallMs);
  append(1);
  ASSERT_TRUE(reaches(1));
  m_log.setFaults({.m_silentConnections = true});
  append(1);
  const Millis Appended = base::monotonicNow();
  ASSERT_TRUE(reaches(2));
  EXPECT_LT(base::monotonicNow() - Appended, 3000);
}

// Guards against gaps while the consumer is slow, and against a stop() that
// waits for the consumer.
TEST_F(Follow, FullRingHoldsBackWithoutGaps) {
  append(700);
  start(CallMs, 1);
  // Two range() calls, the page in the ring and the page that waits for space.
  ASSERT_TRUE(eventually([&] { return m_log.requestCount() == 4; }));
  EXPECT_FALSE(eventually([&] { return m_log.requestCount() > 4; }, ShortMs));
  ASSERT_TRUE(reaches(700));
  EXPECT_EQ(m_entries, 700U);
  ASSERT_TRUE(eventually([&] { return m_ring->size() == 1; }));
  m_follower->stop();
}
