#include "platform/store.h"

#include "base/json.h"
#include "http/http.h"
#include "model/mutate.h"

#include <gtest/gtest.h>

#include <functional>
#include <optional>

namespace pomelokeel::platform::tests {
namespace {

using batch::AppendOutcome;

TEST(Records, FramingRoundTrips) {
  const std::vector<batch::KeyedRecord> Records = {
      {"a", "value"}, {"bb", ""}, {"c", std::string(300, 'x')}};
  const auto Read = parseRecords(frameRecords(Records));
  ASSERT_TRUE(Read.ok());
  ASSERT_EQ(Read->size(), Records.size());
  for (std::size_t I = 0; I < Records.size(); ++I) {
    EXPECT_EQ((*Read)[I].m_key, Records[I].m_key);
    EXPECT_EQ((*Read)[I].m_value, Records[I].m_value);
  }
}

TEST(Records, ATruncatedRecordIsAnError) {
  const std::string Data = frameRecords({{"a", "value"}});
  for (std::size_t Size = 1; Size < Data.size(); ++Size)
    EXPECT_FALSE(parseRecords(std::string_view(Data).substr(0, Size)).ok());
}

/// Runs a fake store that gives every call the answer in m_answer.
class StoreTest : public testing::Test {
protected:
  StoreTest() {
    auto Server = http::Server::start(
        *m_reactor, "127.0.0.1:0", {},
        [this](const http::Request &R, const http::Responder &Answer) {
          m_lastRequest = R;
          Answer(m_answer);
        });
    EXPECT_TRUE(Server.ok());
    m_server = std::move(*Server);
    m_store = connectStore(*m_reactor, m_server->address(), m_counters);
  }

  // Runs the loop until the call has been answered.
  template <typename T>
  T wait(std::function<void(std::function<void(T)>)> Call) {
    std::optional<T> Out;
    Call([&](T Value) {
      Out.emplace(std::move(Value));
      m_reactor->stop();
    });
    m_reactor->run();
    return std::move(*Out);
  }

  AppendOutcome append() {
    return wait<AppendOutcome>([&](std::function<void(AppendOutcome)> Done) {
      m_store->append({7, 3, {{"k", "v"}}}, std::move(Done));
    });
  }

  base::Result<node::Snapshot> snapshot(const std::string &Body) {
    m_answer.m_body = Body;
    return wait<base::Result<node::Snapshot>>([&](auto Done) {
      m_store->snapshot(node::Stream::Jobs, std::move(Done));
    });
  }

  std::unique_ptr<http::Reactor> m_reactor = http::Reactor::create();
  base::Counters m_counters;
  http::Request m_lastRequest;
  http::Response m_answer;
  std::unique_ptr<http::Server> m_server;
  std::unique_ptr<node::Store> m_store;
};

TEST_F(StoreTest, AnAppendCarriesEpochAndNumber) {
  EXPECT_EQ(append(), AppendOutcome::Done);
  EXPECT_EQ(http::queryOf(m_lastRequest.m_target, "epoch"), "7");
  EXPECT_EQ(http::queryOf(m_lastRequest.m_target, "seq"), "3");
  EXPECT_EQ(m_lastRequest.m_body, frameRecords({{"k", "v"}}));
}

TEST_F(StoreTest, DistinguishesRefusalsLostAnswersAndFencing) {
  m_answer.m_status = 503;
  EXPECT_EQ(append(), AppendOutcome::NotDone);
  m_answer.m_status = 429;
  EXPECT_EQ(append(), AppendOutcome::NotDone);
  m_answer.m_status = 409;
  EXPECT_EQ(append(), AppendOutcome::Fenced);
  m_answer = http::noAnswer();
  EXPECT_EQ(append(), AppendOutcome::Unknown);
  m_server.reset();
  EXPECT_EQ(append(), AppendOutcome::NotDone);
}

TEST_F(StoreTest, ReadsRecordsAfterTheTwoOffsets) {
  m_answer.m_body = std::string(16, '\0') + frameRecords({{"k", "v"}});
  const auto P = wait<base::Result<node::Page>>([&](auto Done) {
    m_store->follow(node::Stream::Jobs, 5, 0, std::move(Done));
  });
  ASSERT_TRUE(P.ok());
  EXPECT_EQ(P->m_next, 6);
  EXPECT_EQ(P->m_records[0].m_value, "v");
}

TEST_F(StoreTest, ReportsThatRecordsWereTruncated) {
  m_answer.m_status = 410;
  const auto P = wait<base::Result<node::Page>>([&](auto Done) {
    m_store->follow(node::Stream::Jobs, 5, 0, std::move(Done));
  });
  ASSERT_TRUE(P.ok());
  EXPECT_TRUE(P->m_truncated);
}

TEST_F(StoreTest, ASnapshotDecodesItsValues) {
  m_answer.m_body = R"({"items":[{"key":"k","value":"dmFsdWU=","offset":4}],)"
                    R"("hasMore":false,"end":9})";
  const auto S = wait<base::Result<node::Snapshot>>([&](auto Done) {
    m_store->snapshot(node::Stream::Jobs, std::move(Done));
  });
  ASSERT_TRUE(S.ok());
  EXPECT_EQ(S->m_end, 9);
  EXPECT_EQ(S->m_records[0].m_value, "value");
}

TEST_F(StoreTest, AMalformedAnswerIsAnError) {
  m_answer.m_body = "{}";
  const auto S = wait<base::Result<node::Snapshot>>([&](auto Done) {
    m_store->snapshot(node::Stream::Jobs, std::move(Done));
  });
  EXPECT_FALSE(S.ok());
}

// Guards against the end of the process: an item of another type raised an
// exception that nobody caught.
TEST_F(StoreTest, AnOddItemOfASnapshotDoesNotHideTheOthers) {
  const auto S =
      snapshot(R"({"items":[7,{"key":7,"value":"dmFsdWU="},)"
               R"({"key":"a","value":[1]},{"key":"b","value":"?"},)"
               R"({"key":"c","value":"dmFsdWU="}],"hasMore":false,"end":9})");
  ASSERT_TRUE(S.ok());
  ASSERT_EQ(S->m_records.size(), 5u);
  EXPECT_EQ(S->m_records[2].m_key, "a");
  EXPECT_EQ(S->m_records[2].m_value, "");
  EXPECT_EQ(S->m_records[3].m_value, "");
  EXPECT_EQ(S->m_records[4].m_key, "c");
  EXPECT_EQ(S->m_records[4].m_value, "value");
}

// Guards against a leader that cannot load its journal, and entries that follow
// the store no longer: one entry that cannot be read made the whole page so.
TEST_F(StoreTest, AnUnreadableItemDoesNotHideTheOthers) {
  const std::string Deep = std::string(100000, '[') + std::string(100000, ']');
  for (const std::string &Odd :
       {Deep, "{\"key\":\"x\",\"value\":" + Deep + "}",
        std::string("{\"key\":\"\xff\",\"value\":\"\"}"),
        std::string(R"({"key":"x","offset":1e999})"),
        std::string(R"({"key":"\ud800","value":""})")}) {
    const auto S =
        snapshot(R"({"items":[{"key":"a","value":"dmFsdWU="},)" + Odd +
                 R"(,{"key":"c","value":"dmFsdWU="}],"end":9})");
    ASSERT_TRUE(S.ok()) << Odd.substr(0, 80);
    ASSERT_EQ(S->m_records.size(), 3u);
    EXPECT_EQ(S->m_records[0].m_value, "value");
    EXPECT_EQ(S->m_records[1].m_value, "");
    EXPECT_EQ(S->m_records[2].m_key, "c");
    for (const bool Named : {false, true}) {
      const std::string Rows =
          R"([["t",0,"a@h:1",0],)" + Odd + R"(,["t",1,"b@h:1",0]])";
      m_answer.m_body = Named ? "{\"parts\":" + Rows + "}" : Rows;
      const auto M = wait<base::Result<std::vector<std::string>>>(
          [&](auto Done) { m_store->members(std::move(Done)); });
      ASSERT_TRUE(M.ok()) << Odd.substr(0, 80);
      EXPECT_EQ(*M, (std::vector<std::string>{"a@h:1", "b@h:1"}));
    }
  }
}

// Guards against a snapshot that is read only in part: a new leader would take
// the jobs that are missing from it for unknown.
TEST_F(StoreTest, ASnapshotWhoseNextPageIsUnknownIsAnError) {
  EXPECT_FALSE(snapshot(R"({"items":[],"hasMore":true,"end":9})").ok());
  EXPECT_FALSE(
      snapshot(R"({"items":[{"value":""}],"hasMore":true,"end":9})").ok());
  EXPECT_FALSE(snapshot(R"({"items":[],"hasMore":"yes","end":9})").ok());
  EXPECT_FALSE(
      snapshot(R"({"items":[{"key":"k"}],"hasMore":true,"end":9})").ok());
}

// Guards against an undefined conversion of numbers beyond 64 bits.
TEST_F(StoreTest, NumbersOutOfRangeAreErrors) {
  for (const char *Number : {"1e300", "18446744073709551615", "-1", "\"9\""}) {
    const std::string Text = Number;
    EXPECT_FALSE(snapshot(R"({"items":[],"end":)" + Text + "}").ok()) << Text;
    m_answer.m_body = R"({"generation":)" + Text + "}";
    const auto M = wait<base::Result<node::Membership>>(
        [&](auto Done) { m_store->join("m", 1000, 0, std::move(Done)); });
    EXPECT_FALSE(M.ok()) << Text;
  }
}

// Guards against a write past the end of the buffer, which was sized for whole
// groups of base64 only.
TEST_F(StoreTest, AValueWithoutPaddingIsDecodedWithinItsBuffer) {
  const std::string Groups(4000, 'A');
  const auto S = snapshot(R"({"items":[{"key":"k","value":")" + Groups +
                          R"(dmFsdWU"}],"end":9})");
  ASSERT_TRUE(S.ok());
  EXPECT_EQ(S->m_records[0].m_value, std::string(3000, '\0') + "value");
}

// Whatever the store answers, the call ends, and the items that were not
// changed are delivered.
TEST_F(StoreTest, MutatedAnswersNeverHideTheOtherItems) {
  const bool Passed = rc::check([&] {
    base::Json J = base::parseJson(
        R"({"items":[{"key":"a","value":"dmFsdWU=","offset":4},)"
        R"({"key":"b","value":"dmFsdWU=","offset":5},)"
        R"({"key":"c","value":"dmFsdWU=","offset":6}],)"
        R"("hasMore":false,"end":9})");
    model::detail::mutate(J["items"][1]);
    const auto S = snapshot(base::dumpJson(J));
    RC_ASSERT(S.ok());
    RC_ASSERT(S->m_records.size() == 3u);
    RC_ASSERT(S->m_records[0].m_value == "value");
    RC_ASSERT(S->m_records[2].m_key == "c");
    model::detail::mutate(J);
    std::string Text = base::dumpJson(J);
    if (*rc::gen::arbitrary<bool>())
      model::detail::mutateBytes(Text);
    snapshot(Text);
    m_answer.m_body = Text;
    wait<base::Result<std::vector<std::string>>>(
        [&](auto Done) { m_store->members(std::move(Done)); });
    wait<base::Result<node::Page>>([&](auto Done) {
      m_store->follow(node::Stream::Jobs, 5, 0, std::move(Done));
    });
  });
  EXPECT_TRUE(Passed);
}

} // namespace
} // namespace pomelokeel::platform::tests
