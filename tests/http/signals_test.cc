#include "base/signals.h"
#include "http/reactor.h"

#include <gtest/gtest.h>

#include <vector>

#include <signal.h>

namespace pomelokeel::http::tests {
namespace {

// Guards against requests that end without an answer: a signal that arrived
// before its handler was installed ended the process.
TEST(SignalsTest, SignalsBeforeTheirHandlerAreHandled) {
  base::holdSignals({SIGTERM, SIGHUP});
  raise(SIGHUP);
  raise(SIGTERM);
  const auto R = Reactor::create();
  std::vector<int> Handled;
  R->onSignals({SIGTERM, SIGHUP}, [&](int Number) {
    Handled.push_back(Number);
    if (Handled.size() == 2)
      R->stop();
  });
  raise(SIGHUP);
  const auto Limit = R->timer();
  Limit->start(5000, [&] { R->stop(); });
  R->run();
  EXPECT_EQ(Handled.size(), 2u);
}

} // namespace
} // namespace pomelokeel::http::tests
