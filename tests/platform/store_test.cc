#include "platform/store.h"

#include "base/json.h"
#include "http/http.h"

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

} // namespace
} // namespace pomelokeel::platform::tests
