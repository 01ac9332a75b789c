#include "entry/leadership.h"

#include <gtest/gtest.h>

#include <chrono>
#include <thread>

namespace pomelokeel::entry {
namespace {

constexpr int SnapshotEveryRecords = 20;
constexpr std::chrono::milliseconds Preemption{20};

class LeadershipTest : public testing::Test {
protected:
  LeadershipTest() {
    m_settings.m_name = "e1";
    m_settings.m_snapshotEveryRecords = SnapshotEveryRecords;
    m_ports.m_append = [this](const AppendTag &Tag, const std::string &,
                              const std::vector<base::Json> &) {
      if (Tag.m_owner != AppendOwner::Snapshot)
        return true;
      ++m_snapshots;
      std::this_thread::sleep_for(Preemption);
      return true;
    };
    m_state.m_epoch = 1;
    m_state.m_leader = "e1";
    m_state.m_leaderIncarnation = "i1";
  }

  void tick(Leadership &L, Millis NowMs) {
    LeadershipInput Input;
    Input.m_nowMs = NowMs;
    Input.m_logTimeMs = NowMs;
    Input.m_logEndRead = true;
    Input.m_logAvailable = true;
    L.tick(m_state, Input);
  }

  settings::EntrySettings m_settings;
  base::HybridClock m_clock;
  base::Counters m_counters;
  base::EventLog m_events{"e1", 16, m_clock};
  RecordMaker m_records{"e1", m_clock};
  Ports m_ports;
  state::State m_state;
  int m_snapshots = 0;
};

// Guards against a log that outruns its snapshots: the time for which the core
// thread did not run delayed the next snapshot by a multiple.
TEST_F(LeadershipTest, APreemptedSnapshotDoesNotDelayTheNext) {
  Leadership L(
      m_settings, "i1", m_records, m_ports, [](const AgentCommand &) {},
      m_counters, m_events);
  m_state.m_nextOffset = SnapshotEveryRecords;
  tick(L, 1000);
  ASSERT_EQ(m_snapshots, 1);
  L.onAppendAnswered({AppendOwner::Snapshot, ""}, true, 1020);
  m_state.m_nextOffset = 2 * SnapshotEveryRecords;
  tick(L, 1040);
  EXPECT_EQ(m_snapshots, 2);
}

} // namespace
} // namespace pomelokeel::entry
