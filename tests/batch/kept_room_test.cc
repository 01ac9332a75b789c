#include "leader_fixture.h"

namespace pomelokeel::batch::tests {
namespace {

class KeptRoomTest : public LeaderTest {
protected:
  /// Six workers, two of them in use, and a gang that waits for five.
  void keepFourWorkers() {
    for (const char *Name : {"u", "v", "w", "x", "y", "z"})
      addAgent(Name);
    submit("running", jobOf({step(2, 8)}), 0);
    pass(300);
    Step Wide = step(5, 8);
    Wide.m_gang = true;
    submit("wide", jobOf({Wide}), 0);
    pass(300);
  }

  static JobSpec pair() {
    Step Gang = step(2, 8);
    Gang.m_gang = true;
    return jobOf({Gang});
  }
};

// Guards against an accepted job that is never started on an idle fleet: a gang
// that waited for many workers kept those that were idle. 14 s after the last
// submission no job may have been without a run for 3 s if there is room for it
// twice over and less than half of the fleet in use.
TEST_F(KeptRoomTest, AJobThatHasWaitedStartsOnAnIdleFleet) {
  keepFourWorkers();
  submit("pair", pair());
  pass(5000);
  EXPECT_EQ(m_starts["pair.0.0.0"], 0);
  pass(6000);
  EXPECT_EQ(m_starts["pair.0.0.0"], 1);
  EXPECT_EQ(m_starts["wide.0.0.0"], 0);
}

// The gang that keeps the room comes first as soon as it fits.
TEST_F(KeptRoomTest, AGangThatStartsInTimeKeepsItsRoom) {
  keepFourWorkers();
  submit("pair", pair());
  pass(9000);
  for (const char *Name : {"u", "v", "w", "x", "y", "z"})
    end(Name, "running.0.0.0", EndKind::Done);
  pass(2000);
  EXPECT_EQ(m_starts["wide.0.0.0"], 1);
  EXPECT_EQ(m_starts["pair.0.0.0"], 0);
}

} // namespace
} // namespace pomelokeel::batch::tests
