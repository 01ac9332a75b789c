#include "restart_simulation.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>
#include <string>
#include <utility>
#include <vector>

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

int countViolations(const std::vector<std::uint64_t> &Seeds,
                    const RestartSimulation::Options &O = {}) {
  int Failed = 0;
  for (const std::uint64_t Seed : Seeds) {
    const std::string Violation = RestartSimulation(Seed, O).run();
    if (Violation.empty())
      continue;
    if (Failed++ == 0)
      ADD_FAILURE() << Violation;
    std::cout << Violation.substr(0, Violation.find('\n')) << '\n';
  }
  return Failed;
}

// Guards against anything that was promised to a worker or a caller and is
// forgotten when processes restart while the store fails.
TEST(RestartTest, PromisesOutliveRestartsOfAllProcesses) {
  const auto [First, Last] = seedRange();
  std::vector<std::uint64_t> Seeds;
  for (std::uint64_t Seed = First; Seed <= Last; ++Seed)
    Seeds.push_back(Seed);
  EXPECT_EQ(countViolations(Seeds), 0)
      << "of seeds " << First << " to " << Last;
}

// Guards against promises that do not hold while changes wait for the next
// round of decisions.
TEST(RestartTest, PromisesOutliveRestartsOfLeadersThatPause) {
  const auto [First, Last] = seedRange();
  std::vector<std::uint64_t> Seeds;
  for (std::uint64_t Seed = First; Seed <= Last; ++Seed)
    Seeds.push_back(Seed);
  EXPECT_EQ(countViolations(Seeds, {25}), 0)
      << "of seeds " << First << " to " << Last;
}

// Guards against a submission that is accepted after the cancel of its job was
// answered, over changes of the leader and faults of the store.
TEST(RestartTest, CancelledSubmissionsNeverRun) {
  const auto [First, Last] = seedRange();
  std::vector<std::uint64_t> Seeds;
  for (std::uint64_t Seed = First; Seed <= Last; ++Seed)
    Seeds.push_back(Seed);
  EXPECT_EQ(countViolations(Seeds, {0, true}), 0)
      << "of seeds " << First << " to " << Last;
}

// What a seed plays changes with the code, and a list may come to guard
// nothing. Its newer seeds were found with the code that they guard taken out.

// Guards against a task that runs again although an earlier run had ended as
// done while a later one, which was lost, was placed.
TEST(RestartTest, EarlierResultsAreUsed) {
  EXPECT_EQ(countViolations({1272}, {25}), 0);
}

// Guards against ends that are acknowledged before they are stored.
TEST(RestartTest, EndsThatAreAcknowledgedAreStored) {
  EXPECT_EQ(countViolations({2, 10, 24, 34, 71, 122, 144, 171, 212, 733, 986,
                             1712, 1755, 1926}),
            0);
}

// Guards against an end that is shown to a caller before it is stored.
TEST(RestartTest, EndsThatAreShownAreStored) {
  EXPECT_EQ(countViolations({9, 73, 90, 194, 213, 281, 764}), 0);
}

// Guards against runs in the next incarnation of a worker that a new leader
// counts as lost.
TEST(RestartTest, RunsOfTheNextWorkerIncarnationAreAdopted) {
  EXPECT_EQ(countViolations({165, 332, 349, 451, 468, 662, 870, 1006, 1529, 2,
                             8, 69, 206, 271, 438, 482, 680, 839, 964}),
            0);
}

// Guards against a late order to an earlier incarnation of a worker that is
// carried out after the agent, which sent it, has restarted too.
TEST(RestartTest, LateStartsAreVoidedAfterRestartsOfWorkerAndAgent) {
  EXPECT_EQ(countViolations({805, 948, 1351, 1590, 1821, 2392, 2776, 3938, 4270,
                             1438, 1671, 1838}),
            0);
}

// Guards against a late poll, sent before the agent knew that its worker had
// restarted, which makes the next incarnation forget ends.
TEST(RestartTest, ALatePollAcknowledgesNoEndOfTheNextIncarnation) {
  EXPECT_EQ(countViolations({1456, 3054, 4852}), 0);
}

} // namespace
} // namespace pomelokeel::batch::tests
