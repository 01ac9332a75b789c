#pragma once

#include "sched/sched.h"

#include <algorithm>
#include <cstdint>
#include <vector>

namespace pomelokeel::sched {

/// Reference implementation that decides by exhaustive search whether all
/// guarantees can be kept. It follows docs/design.md, section 9, and shares no
/// assignment code with src/sched.
class ExhaustiveSearch {
public:
  ExhaustiveSearch(const std::vector<model::Account> &Accounts,
                   const std::vector<WorkerView> &Workers,
                   const std::vector<RunningView> &Running)
      : m_workers(Workers) {
    for (const WorkerView &W : Workers)
      m_widest = std::max(m_widest, W.m_accelerators);
    for (const model::Account &A : Accounts) {
      for (const model::BlockDemand &D : A.m_guarantee) {
        for (int I = 0; I < D.m_count; ++I)
          m_units.push_back({usableBy(A.m_name, Running), D.m_size,
                             static_cast<std::size_t>(&A - Accounts.data())});
      }
    }
    m_taken.resize(Workers.size());
    countSlots(Accounts, Running);
  }

  bool feasible() { return place(0); }

private:
  using Masks = std::vector<std::uint32_t>;
  struct Unit {
    Masks m_usable;
    int m_size = 0;
    std::size_t m_account = 0;
  };

  // Each block needs a slot on each of its workers.
  void countSlots(const std::vector<model::Account> &Accounts,
                  const std::vector<RunningView> &Running) {
    m_ownSlots.resize(Accounts.size(), std::vector<int>(m_workers.size()));
    for (std::size_t W = 0; W < m_workers.size(); ++W) {
      int Held = 0;
      for (const RunningView &R : Running) {
        for (const model::MemberPlace &P : R.m_places) {
          if (P.m_worker != m_workers[W].m_name || R.m_preemptible)
            continue;
          ++Held;
          for (std::size_t A = 0; A < Accounts.size(); ++A)
            m_ownSlots[A][W] += Accounts[A].m_name == R.m_account ? 1 : 0;
        }
      }
      const int All = m_workers[W].m_slots;
      const bool Full = Held > 0 && Held >= All;
      m_slots.push_back(
          Full ? 0 : std::max(All, m_workers[W].m_accelerators) - Held);
    }
  }

  // Takes a slot. Returns the counter that it was taken from, or null.
  int *takeSlot(std::size_t Account, std::size_t Worker) {
    int &Own = m_ownSlots[Account][Worker];
    int *From = Own > 0 ? &Own : &m_slots[Worker];
    if (*From <= 0)
      return nullptr;
    --*From;
    return From;
  }

  Masks usableBy(const std::string &Account,
                 const std::vector<RunningView> &Running) const {
    Masks Out;
    for (const WorkerView &W : m_workers) {
      std::uint32_t Usable = W.m_healthy ? (1U << W.m_accelerators) - 1 : 0;
      for (const RunningView &R : Running) {
        for (const model::MemberPlace &P : R.m_places) {
          if (P.m_worker == W.m_name && !R.m_preemptible &&
              R.m_account != Account)
            Usable &= ~(((1U << P.m_accelerators) - 1) << P.m_firstAccelerator);
        }
      }
      Out.push_back(Usable);
    }
    return Out;
  }

  bool place(std::size_t Index) {
    if (Index == m_units.size())
      return true;
    return m_units[Index].m_size > m_widest ? placeWholeWorkers(Index, 0, 0, 0)
                                            : placeBlock(Index);
  }

  bool placeBlock(std::size_t Index) {
    const Unit &U = m_units[Index];
    int Step = 1;
    while (Step < U.m_size)
      Step *= 2;
    for (std::size_t W = 0; W < m_workers.size(); ++W) {
      for (int First = 0; First + U.m_size <= m_workers[W].m_accelerators;
           First += Step) {
        const std::uint32_t Block = ((1U << U.m_size) - 1) << First;
        if ((U.m_usable[W] & ~m_taken[W] & Block) != Block)
          continue;
        int *Slot = takeSlot(U.m_account, W);
        if (Slot == nullptr)
          continue;
        m_taken[W] |= Block;
        const bool Found = place(Index + 1);
        m_taken[W] &= ~Block;
        ++*Slot;
        if (Found)
          return true;
      }
    }
    return false;
  }

  // Whole workers of equal width in one rack, chosen in ascending order.
  bool placeWholeWorkers(std::size_t Index, std::size_t From, std::size_t Last,
                         int Covered) {
    const Unit &U = m_units[Index];
    if (Covered >= U.m_size)
      return place(Index + 1);
    for (std::size_t W = From; W < m_workers.size(); ++W) {
      const WorkerView &V = m_workers[W];
      const std::uint32_t All = (1U << V.m_accelerators) - 1;
      const bool Matches = Covered == 0 || sameWidthAndRack(V, m_workers[Last]);
      if (All == 0 || !Matches || (U.m_usable[W] & ~m_taken[W]) != All)
        continue;
      int *Slot = takeSlot(U.m_account, W);
      if (Slot == nullptr)
        continue;
      m_taken[W] = All;
      const bool Found =
          placeWholeWorkers(Index, W + 1, W, Covered + V.m_accelerators);
      m_taken[W] = 0;
      ++*Slot;
      if (Found)
        return true;
    }
    return false;
  }

  static bool sameWidthAndRack(const WorkerView &L, const WorkerView &R) {
    return L.m_accelerators == R.m_accelerators && L.m_rack == R.m_rack &&
           L.m_dataCentre == R.m_dataCentre && L.m_region == R.m_region;
  }

  const std::vector<WorkerView> &m_workers;
  std::vector<Unit> m_units;
  Masks m_taken;
  std::vector<int> m_slots;                 ///< By worker.
  std::vector<std::vector<int>> m_ownSlots; ///< By account and worker.
  int m_widest = 0;
};

} // namespace pomelokeel::sched
