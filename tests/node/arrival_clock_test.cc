#include "node/arrival_clock.h"

#include <gtest/gtest.h>

namespace pomelokeel::node::tests {
namespace {

TEST(ArrivalClock, ARequestArrivesWhenItIsReadIfTheLoopIsInTime) {
  ArrivalClock C(1000);
  EXPECT_EQ(C.earliestArrival(1050), 1050);
  C.tick(1100);
  // A step is late on a busy machine.
  EXPECT_EQ(C.earliestArrival(1900), 1900);
  C.tick(1900);
  EXPECT_EQ(C.earliestArrival(1950), 1950);
}

// Guards against a fresh deadline for a submission that waited in the socket of
// an entry that was frozen. It is read before or after the late step.
TEST(ArrivalClock, ARequestMayHaveWaitedSinceTheLastStepBeforeASuspension) {
  ArrivalClock C(1000);
  C.tick(1100);
  EXPECT_EQ(C.earliestArrival(5100), 1100);
  C.tick(5100);
  EXPECT_EQ(C.earliestArrival(5150), 1100);
  C.tick(5200);
  EXPECT_EQ(C.earliestArrival(5250), 5250);
  // Frozen again before the next step.
  EXPECT_EQ(C.earliestArrival(9000), 5200);
}

} // namespace
} // namespace pomelokeel::node::tests
