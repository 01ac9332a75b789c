#include "node/graceful_stop.h"

#include <gtest/gtest.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace pomelokeel::node::tests {
namespace {

/// Keeps the function that it was started with, for the test to run.
class FakeTimer final : public http::Timer {
public:
  explicit FakeTimer(std::vector<Millis> &Starts) : m_starts(Starts) {}
  void start(Millis AfterMs, std::function<void()> Run) override {
    m_starts.push_back(AfterMs);
    m_run = std::move(Run);
  }
  void cancel() override { m_run = nullptr; }
  void expire() { std::exchange(m_run, nullptr)(); }

private:
  std::vector<Millis> &m_starts;
  std::function<void()> m_run;
};

class GracefulStopTest : public testing::Test {
protected:
  GracefulStopTest() : m_ownedTimer(new FakeTimer(m_starts)) {}

  std::vector<Millis> m_starts; ///< Times for which the timer was started.
  std::unique_ptr<FakeTimer> m_ownedTimer;
  FakeTimer &m_timer = *m_ownedTimer;
  std::vector<std::string> m_steps;
  bool m_idle = false;
  GracefulStop m_stop{std::move(m_ownedTimer),
                      {[this](Millis) { m_steps.emplace_back("begin"); },
                       [this](Millis) { m_steps.emplace_back("close"); },
                       [this] { return m_idle; },
                       [this] { m_steps.emplace_back("end"); }}};
};

TEST_F(GracefulStopTest, ServesThenClosesThenEndsWhenIdle) {
  using Steps = std::vector<std::string>;
  m_stop.begin(1500, 2300);
  EXPECT_EQ(m_starts, std::vector<Millis>{1500});
  EXPECT_EQ(m_steps, Steps{"begin"});
  m_timer.expire();
  EXPECT_EQ(m_steps, (Steps{"begin", "close"}));
  m_timer.expire();
  EXPECT_EQ(m_steps, (Steps{"begin", "close"}));
  m_idle = true;
  m_timer.expire();
  EXPECT_EQ(m_steps, (Steps{"begin", "close"}));
  m_timer.expire();
  EXPECT_EQ(m_steps, (Steps{"begin", "close", "end"}));
}

TEST_F(GracefulStopTest, EndsAtTheLimitThoughNotIdle) {
  m_stop.begin(0, 0);
  m_timer.expire();
  EXPECT_EQ(m_steps.back(), "end");
}

// Guards against a process that serves on after each further signal until the
// platform kills it together with the requests that it has read.
TEST_F(GracefulStopTest, FurtherSignalsDoNotStartItAgain) {
  m_stop.begin(1500, 2300);
  m_stop.begin(1500, 2300);
  EXPECT_EQ(m_starts, std::vector<Millis>{1500});
  EXPECT_EQ(m_steps, std::vector<std::string>{"begin"});
  m_timer.expire();
  m_stop.begin(1500, 2300);
  EXPECT_EQ(m_steps, (std::vector<std::string>{"begin", "close"}));
  EXPECT_EQ(m_starts.size(), 2U);
}

// Guards against an end before the last answer is sent: if the event loop is
// held up, a call can be answered and the process found idle at once, while the
// answer still waits to be sent.
TEST(GracefulStopOnReactor, SendsTheLastAnswerBeforeItEnds) {
  const auto R = http::Reactor::create();
  bool Idle = false;
  bool Sent = false;
  GracefulStop Stop(R->timer(), {[](Millis) {}, [](Millis) {},
                                 [&] { return Idle; }, [&] { R->stop(); }});
  const auto Answer = R->timer();
  const auto HeldUp = R->timer();
  Answer->start(30, [&] {
    Idle = true;
    R->post([&] { Sent = true; });
  });
  HeldUp->start(
      10, [] { std::this_thread::sleep_for(std::chrono::milliseconds(100)); });
  Stop.begin(0, 2000);
  R->run();
  EXPECT_TRUE(Sent);
}

} // namespace
} // namespace pomelokeel::node::tests
