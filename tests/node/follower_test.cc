#include "node/follower.h"

#include "fake_store.h"

#include <gtest/gtest.h>

namespace pomelokeel::node::tests {
namespace {

constexpr Millis WaitMs = 2500;

class FollowerTest : public testing::Test {
protected:
  FollowerTest() {
    Follower::Handlers H;
    H.m_record = [this](const KeyedRecord &R) { m_seen.push_back(R.m_value); };
    H.m_caughtUp = [](std::int64_t, Millis) {};
    H.m_reachabilityChanged = [this](bool Reachable) {
      m_reachable = Reachable;
    };
    m_follower = std::make_unique<Follower>(*m_reactor, m_store,
                                            Stream::Operator, WaitMs, H);
  }

  bool until(std::function<bool()> Ready, Millis LimitMs) {
    return runUntil(*m_reactor, std::move(Ready), LimitMs);
  }

  std::unique_ptr<http::Reactor> m_reactor = http::Reactor::create();
  std::shared_ptr<FakeStreams> m_shared = std::make_shared<FakeStreams>();
  FakeStore m_store{*m_reactor, m_shared};
  std::vector<std::string> m_seen;
  bool m_reachable = true;
  std::unique_ptr<Follower> m_follower;
};

TEST_F(FollowerTest, DeliversRecordsAsTheyArrive) {
  m_store.add(Stream::Operator, {{"config", "1"}});
  ASSERT_TRUE(until([&] { return m_seen.size() == 1; }, 2000));
  m_store.add(Stream::Operator, {{"config", "2"}});
  EXPECT_TRUE(until([&] { return m_seen.size() == 2; }, 2000));
}

// A read that was sent during an outage hung for its whole long-poll timeout
// after the store was reachable again, so a configuration came into force late.
TEST_F(FollowerTest, ReadsAgainSoonAfterAnOutage) {
  m_store.add(Stream::Operator, {{"config", "1"}});
  ASSERT_TRUE(until([&] { return m_seen.size() == 1; }, 2000));
  m_store.m_unreachable = true;
  ASSERT_TRUE(until([&] { return !m_reachable; }, 7000));
  // The next read is pending when the store becomes reachable again.
  const int Before = m_store.m_followCalls;
  ASSERT_TRUE(until([&] { return m_store.m_followCalls > Before; }, 2000));
  m_store.m_unreachable = false;
  m_store.add(Stream::Operator, {{"config", "2"}});
  EXPECT_TRUE(until([&] { return m_seen.size() == 2; }, 1500));
}

// The store does not wake a long poll that arrives while a record is being
// appended. The configuration came into force only after the read's timeout of
// 5 s.
TEST_F(FollowerTest, ARecordThatWokeNoReadIsDeliveredWithinTheTimeout) {
  ASSERT_TRUE(until([&] { return m_store.m_followCalls > 0; }, 1000));
  m_store.m_dropsWakeUps = true;
  m_store.add(Stream::Operator, {{"config", "1"}});
  EXPECT_TRUE(until([&] { return m_seen.size() == 1; }, WaitMs + 500));
}

} // namespace
} // namespace pomelokeel::node::tests
