#include "leader_sim.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace pomelokeel;
using model::Outcome;

namespace {

sim::Faults allFaults() {
  sim::Faults F;
  F.m_lossPercent = 10;
  F.m_repeatPercent = 10;
  F.m_maxDelayMs = 400;
  F.m_restartPercent = 1;
  F.m_wipePercent = 1;
  F.m_cutPercent = 1;
  F.m_leaderPercent = 1;
  F.m_pausePercent = 1;
  F.m_logPercent = 1;
  F.m_failPercent = 10;
  return F;
}

void submitAtRandom(sim::Fleet &F, std::mt19937 &Random, int Number) {
  const std::string Id = "j" + std::to_string(Number);
  const bool Once = Random() % 2 == 0;
  const int Members = 1 + static_cast<int>(Random() % 3);
  const int Accelerators = 1 << (Random() % 4);
  // Long jobs outlive the orphan limit.
  const unsigned LongestMs = Random() % 4 == 0 ? 15000 : 3000;
  F.submit(Id, Once ? "pay" : "batch", Members, Accelerators,
           100 + static_cast<base::Millis>(Random() % LongestMs),
           Random() % 4 == 0 ? 3000 : 0);
}

base::Json wholeAnswer(const model::Job &J) {
  base::Json Out = base::Json::array();
  for (int I = 0; I < J.m_spec.m_members; ++I)
    Out.push_back(J.m_id + "/" + std::to_string(I));
  return Out;
}

// Checks what must hold for each job under all faults.
void checkJob(sim::Fleet &F, const model::Job &J) {
  RC_ASSERT(J.m_result.has_value());
  RC_LOG() << J.m_id << " " << base::encode(J).dump() << "\n";
  int Most = 0;
  for (const auto &[Member, Runs] : F.m_runs[J.m_id])
    Most = std::max(Most, Runs);
  if (J.m_spec.m_class == "pay")
    RC_ASSERT(Most <= 1);
  if (J.m_result->m_outcome == Outcome::NotRun)
    RC_ASSERT(Most == 0);
  if (J.m_result->m_outcome == Outcome::Completed)
    RC_ASSERT(J.m_result->m_answer == wholeAnswer(J));
}

} // namespace

// Guards G2 to G5 against loss, delay, repetition and reordering of messages,
// restarts of agents, crashed workers, cut links, log outages and changes of
// leader.
RC_GTEST_PROP(LeaderProperty, EveryJobEndsWithACorrectOutcomeUnderFaults,
              (std::uint32_t Seed)) {
  sim::Fleet F(4, Seed, allFaults());
  std::mt19937 Random(Seed);
  for (int I = 0; I < 12; ++I) {
    submitAtRandom(F, Random, I);
    F.runFor(static_cast<base::Millis>(Random() % 2000), true);
    if (Random() % 4 == 0)
      F.cancel("j" + std::to_string(Random() % 12));
  }
  const bool Ended = F.runUntil([&] { return F.allFinished(); }, 120000);
  for (const auto &[Id, J] : F.m_state.m_jobs) {
    if (!J.m_result)
      RC_LOG() << "unfinished " << base::encode(J).dump() << "\n";
  }
  RC_ASSERT(Ended);
  // A cut that began under faults lasts for up to 12 s of the phase without.
  RC_ASSERT(
      F.runUntil([&] { return !F.anyActive() && F.holds() == 0; }, 30000));
  RC_ASSERT(F.m_violations == std::vector<std::string>{});
  for (const auto &[Id, J] : F.m_state.m_jobs)
    checkJob(F, J);
}
