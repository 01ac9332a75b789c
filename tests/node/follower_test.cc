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
    H.m_current = [](std::int64_t) {};
    H.m_reachable = [this](bool Reachable) { m_reachable = Reachable; };
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

TEST_F(FollowerTest, HandsOverRecordsAsTheyCome) {
  m_store.add(Stream::Operator, {{"config", "1"}});
  ASSERT_TRUE(until([&] { return m_seen.size() == 1; }, 2000));
  m_store.add(Stream::Operator, {{"config", "2"}});
  EXPECT_TRUE(until([&] { return m_seen.size() == 2; }, 2000));
}

// A read that was sent during an outage used to wait for the whole of its long
// wait after the store was back, and a configuration came into force too late.
TEST_F(FollowerTest, AnOutageInTheMiddleIsShortAfterItsEnd) {
  m_store.add(Stream::Operator, {{"config", "1"}});
  ASSERT_TRUE(until([&] { return m_seen.size() == 1; }, 2000));
  m_store.m_silent = true;
  ASSERT_TRUE(until([&] { return !m_reachable; }, 7000));
  // The next read is on its way when the store comes back.
  const int Before = m_store.m_follows;
  ASSERT_TRUE(until([&] { return m_store.m_follows > Before; }, 2000));
  m_store.m_silent = false;
  m_store.add(Stream::Operator, {{"config", "2"}});
  EXPECT_TRUE(until([&] { return m_seen.size() == 2; }, 1500));
}

// The store does not wake a read that arrives while a record is being appended:
// the configuration came into force only when the read's 5 s were over.
TEST_F(FollowerTest, ARecordThatWokeNoReadIsSeenWithinTheWait) {
  ASSERT_TRUE(until([&] { return m_store.m_follows > 0; }, 1000));
  m_store.m_losesWakeUps = true;
  m_store.add(Stream::Operator, {{"config", "1"}});
  EXPECT_TRUE(until([&] { return m_seen.size() == 1; }, WaitMs + 500));
}

} // namespace
} // namespace pomelokeel::node::tests
