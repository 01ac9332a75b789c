#include "sched/supply.h"

#include <algorithm>
#include <tuple>

namespace pomelokeel::sched::detail {
namespace {

int largestWorker(const Fleet &F) {
  int Largest = 0;
  for (const WorkerResources &W : F.m_resources)
    Largest = std::max(Largest, W.m_accelerators);
  return Largest;
}

void addSlot(std::vector<std::pair<int, int>> &Slots, int Account) {
  const auto It = std::find_if(Slots.begin(), Slots.end(), [&](const auto &S) {
    return S.first == Account;
  });
  if (It == Slots.end())
    Slots.emplace_back(Account, 1);
  else
    ++It->second;
}

} // namespace

Supply::Supply(const Fleet &F)
    : m_common(F.m_resources.size()), m_own(F.m_resources.size()),
      m_ownSlots(F.m_resources.size()) {
  std::vector<int> Held(F.m_resources.size());
  for (std::size_t I = 0; I < F.m_resources.size(); ++I)
    m_common[I] = F.m_resources[I].m_healthy ? F.m_resources[I].m_all : 0;
  for (const Holding &H : F.m_holdings) {
    if (H.m_preemptible)
      continue;
    m_hasNonPreemptible = true;
    for (const Place &P : H.m_places) {
      const auto Worker = static_cast<std::size_t>(P.m_worker);
      ++Held[Worker];
      if (H.m_account >= 0)
        addSlot(m_ownSlots[Worker], H.m_account);
      m_common[Worker] &= ~P.mask();
      if (H.m_account >= 0 && F.m_resources[Worker].m_healthy)
        m_own[Worker].emplace_back(H.m_account,
                                   P.mask() & F.m_resources[Worker].m_all);
    }
  }
  for (std::size_t I = 0; I < F.m_resources.size(); ++I) {
    const WorkerResources &W = F.m_resources[I];
    const bool Used = Held[I] > 0 && W.m_allSlots <= Held[I];
    m_slots.push_back(
        Used ? 0 : std::max(W.m_allSlots, W.m_accelerators) - Held[I]);
  }
}

int Supply::slots(int Account, int Worker) const {
  int Out = m_slots[static_cast<std::size_t>(Worker)];
  for (const auto &[Owner, Held] : m_ownSlots[static_cast<std::size_t>(Worker)])
    Out += Owner == Account ? Held : 0;
  return Out;
}

Mask Supply::usable(int Account, int Worker) const {
  if (slots(Account, Worker) <= 0)
    return 0;
  Mask Out = m_common[static_cast<std::size_t>(Worker)];
  for (const auto &[Owner, Held] : m_own[static_cast<std::size_t>(Worker)])
    Out |= Owner == Account ? Held : 0;
  return Out;
}

void Supply::remove(int Account, const Place &P) {
  m_common[static_cast<std::size_t>(P.m_worker)] &= ~P.mask();
  for (auto &[Owner, Held] : m_own[static_cast<std::size_t>(P.m_worker)])
    Held &= ~P.mask();
  for (auto &[Owner, Held] : m_ownSlots[static_cast<std::size_t>(P.m_worker)]) {
    if (Owner == Account && Held > 0) {
      --Held;
      return;
    }
  }
  --m_slots[static_cast<std::size_t>(P.m_worker)];
}

// Larger blocks come first: a smaller block that is placed earlier could split
// the last place of a larger one, but a larger block cannot harm a smaller one
// in this way.
std::vector<Demand> demandsOf(const std::vector<model::Account> &Accounts,
                              const Fleet &F) {
  const int LargestWorker = largestWorker(F);
  std::vector<Demand> Out;
  for (std::size_t A = 0; A < Accounts.size(); ++A) {
    for (const model::BlockDemand &D : Accounts[A].m_guarantee) {
      if (D.m_count > 0 && D.m_size > 0)
        Out.push_back({static_cast<int>(A), D.m_size, D.m_count,
                       D.m_size > LargestWorker});
    }
  }
  std::stable_sort(Out.begin(), Out.end(), [](const auto &L, const auto &R) {
    return std::tuple(alignmentOf(L.m_size), L.m_size) >
           std::tuple(alignmentOf(R.m_size), R.m_size);
  });
  return Out;
}

} // namespace pomelokeel::sched::detail
