#include "restart_simulation.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>
#include <string>
#include <utility>

namespace pomelokeel::batch::tests {
namespace {

using SeedRange = std::pair<std::uint64_t, std::uint64_t>;

constexpr SeedRange UsualSeeds = {1, 200};

/// The environment variable RESTART_SEEDS, e.g. "1-5000", replaces the range.
SeedRange seedRange() {
  const char *Text = std::getenv("RESTART_SEEDS");
  if (Text == nullptr)
    return UsualSeeds;
  char *End = nullptr;
  const std::uint64_t First = std::strtoull(Text, &End, 10);
  return {First, *End == '-' ? std::strtoull(End + 1, nullptr, 10) : First};
}

// Guards against anything that was promised to a worker or a caller and is
// forgotten when processes restart while the store fails.
TEST(RestartTest, PromisesOutliveRestartsOfAllProcesses) {
  const auto [First, Last] = seedRange();
  int Failed = 0;
  for (std::uint64_t Seed = First; Seed <= Last; ++Seed) {
    const std::string Violation = RestartSimulation(Seed).run();
    if (Violation.empty())
      continue;
    if (Failed++ == 0)
      ADD_FAILURE() << Violation;
    std::cout << Violation.substr(0, Violation.find('\n')) << '\n';
  }
  EXPECT_EQ(Failed, 0) << "of seeds " << First << " to " << Last;
}

} // namespace
} // namespace pomelokeel::batch::tests
