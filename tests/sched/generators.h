#pragma once

#include "sched/sched.h"

#include <rapidcheck.h>

#include <map>
#include <string>
#include <vector>

namespace pomelokeel::sched {

/// A uniformly distributed random number from \p Low to \p High, independent of
/// the size that RapidCheck grows from case to case.
inline int pick(int Low, int High) {
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(Low, High + 1));
}

/// Snapshots that each case of a property checks. RapidCheck runs 100 cases,
/// but faults in the exact search show only after some thousand snapshots.
constexpr int SnapshotsPerCase = 20;

/// Workers of several widths in a few racks of two regions.
inline std::vector<WorkerView> pickWorkers(int Most) {
  static constexpr int Widths[] = {0, 1, 2, 4, 6, 8};
  std::vector<WorkerView> Out;
  const int Count = pick(1, Most);
  for (int I = 0; I < Count; ++I) {
    WorkerView W;
    W.m_name = "w" + std::to_string(I);
    W.m_rack = "r" + std::to_string(pick(0, 1));
    W.m_region = pick(0, 5) == 0 ? "south" : "north";
    W.m_dataCentre = W.m_region + "1";
    W.m_accelerators = Widths[pick(0, 5)];
    W.m_slots = pick(2, 8);
    W.m_cores = pick(4, 16);
    W.m_memoryMb = 4096;
    W.m_healthy = pick(0, 9) != 0;
    W.m_placeable = W.m_healthy && pick(0, 9) != 0;
    W.m_onProbation = pick(0, 9) == 0;
    Out.push_back(W);
  }
  return Out;
}

/// Accounts with up to \p MostBlocks guaranteed blocks each.
inline std::vector<model::Account> pickAccounts(int Most, int MostBlocks) {
  static constexpr int Sizes[] = {1, 2, 3, 4, 6, 8, 12, 16};
  std::vector<model::Account> Out;
  const int Count = pick(1, Most);
  for (int I = 0; I < Count; ++I) {
    model::Account A;
    A.m_name = "a" + std::to_string(I);
    for (int Left = pick(0, MostBlocks); Left > 0; --Left)
      A.m_guarantee.push_back({Sizes[pick(0, 7)], 1});
    A.m_maxAccelerators = pick(0, 3) == 0 ? pick(1, 12) : 0;
    Out.push_back(A);
  }
  return Out;
}

inline std::string pickName(const std::vector<model::Account> &Accounts) {
  return Accounts[static_cast<std::size_t>(
                      pick(0, static_cast<int>(Accounts.size()) - 1))]
      .m_name;
}

/// Running jobs of one member each that do not overlap.
inline std::vector<RunningView>
pickRunning(const std::vector<model::Account> &Accounts,
            const std::vector<WorkerView> &Workers, int Most) {
  static constexpr int Sizes[] = {1, 2, 4};
  std::map<std::string, std::vector<bool>> Used;
  std::map<std::string, int> Members;
  std::vector<RunningView> Out;
  for (int I = pick(0, Most); I > 0; --I) {
    const WorkerView &W = Workers[static_cast<std::size_t>(
        pick(0, static_cast<int>(Workers.size()) - 1))];
    const int Size = Sizes[pick(0, 2)];
    const int First = Size * pick(0, 8 / Size - 1);
    std::vector<bool> &Taken = Used[W.m_name];
    Taken.resize(16);
    bool Fits =
        First + Size <= W.m_accelerators && Members[W.m_name] < W.m_slots;
    for (int A = First; A < First + Size; ++A)
      Fits = Fits && !Taken[static_cast<std::size_t>(A)];
    if (!Fits)
      continue;
    for (int A = First; A < First + Size; ++A)
      Taken[static_cast<std::size_t>(A)] = true;
    ++Members[W.m_name];
    RunningView R;
    R.m_id = "run" + std::to_string(I);
    R.m_account = pickName(Accounts);
    R.m_preemptible = pick(0, 1) == 0;
    R.m_places = {{W.m_name, First, Size}};
    R.m_expectedEndMs = 100000 + 1000 * pick(-5, 50);
    Out.push_back(R);
  }
  return Out;
}

/// Waiting jobs, some of them gangs.
inline std::vector<WaitingView>
pickWaiting(const std::vector<model::Account> &Accounts, int Most) {
  std::vector<WaitingView> Out;
  for (int I = pick(0, Most); I > 0; --I) {
    WaitingView J;
    J.m_id = "job" + std::to_string(I);
    J.m_spec.m_account = pickName(Accounts);
    J.m_spec.m_members = pick(0, 2) == 0 ? pick(2, 4) : 1;
    J.m_spec.m_accelerators = pick(0, 4);
    J.m_spec.m_cores = pick(1, 4);
    J.m_urgent = pick(0, 3) == 0;
    J.m_preemptible = pick(0, 1) == 0;
    J.m_submittedMs = 1000 * pick(0, 99);
    J.m_expectedRunMs = 1000 * pick(1, 60);
    if (pick(0, 4) == 0)
      J.m_avoid = {"w0"};
    Out.push_back(J);
  }
  return Out;
}

/// A snapshot at time 100,000 ms.
inline Snapshot pickSnapshot(int Workers, int Blocks, int Running,
                             int Waiting) {
  static constexpr model::PlacementStrategy Strategies[] = {
      model::PlacementStrategy::FirstFit, model::PlacementStrategy::BestFit,
      model::PlacementStrategy::Balanced};
  Snapshot S;
  S.m_nowMs = 100000;
  S.m_rule.m_strategy = Strategies[pick(0, 2)];
  S.m_workers = pickWorkers(Workers);
  S.m_accounts = pickAccounts(3, Blocks);
  S.m_running = pickRunning(S.m_accounts, S.m_workers, Running);
  S.m_waiting = pickWaiting(S.m_accounts, Waiting);
  return S;
}

} // namespace pomelokeel::sched
