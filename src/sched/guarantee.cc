#include "sched/guarantee.h"

#include <algorithm>
#include <bit>
#include <map>
#include <tuple>

namespace pomelokeel::sched::detail {
namespace {

// Blocks of one size for one account.
struct Demand {
  int m_account = 0;
  int m_size = 0;
  int m_count = 0;
  bool m_wholeWorkers = false;
};

// Which accelerators a block may use.
struct Supply {
  explicit Supply(const Fleet &F);

  Mask usable(int Account, int Worker) const;
  void remove(const Place &P);

  std::vector<Mask> m_common; ///< Free, or held by a preemptible job.
  /// Held by jobs that are not preemptible: account and its accelerators.
  std::vector<std::vector<std::pair<int, Mask>>> m_own;
};

Supply::Supply(const Fleet &F)
    : m_common(F.m_nodes.size()), m_own(F.m_nodes.size()) {
  for (std::size_t I = 0; I < F.m_nodes.size(); ++I)
    m_common[I] = F.m_nodes[I].m_healthy ? F.m_nodes[I].m_all : 0;
  for (const Holding &H : F.m_holdings) {
    if (H.m_preemptible)
      continue;
    for (const Place &P : H.m_places) {
      const auto Worker = static_cast<std::size_t>(P.m_worker);
      m_common[Worker] &= ~P.mask();
      if (H.m_account >= 0 && F.m_nodes[Worker].m_healthy)
        m_own[Worker].emplace_back(H.m_account,
                                   P.mask() & F.m_nodes[Worker].m_all);
    }
  }
}

Mask Supply::usable(int Account, int Worker) const {
  Mask Out = m_common[static_cast<std::size_t>(Worker)];
  for (const auto &[Owner, Held] : m_own[static_cast<std::size_t>(Worker)])
    Out |= Owner == Account ? Held : 0;
  return Out;
}

void Supply::remove(const Place &P) {
  m_common[static_cast<std::size_t>(P.m_worker)] &= ~P.mask();
  for (auto &[Owner, Held] : m_own[static_cast<std::size_t>(P.m_worker)])
    Held &= ~P.mask();
}

int largestWorker(const Fleet &F) {
  int Largest = 0;
  for (const Node &W : F.m_nodes)
    Largest = std::max(Largest, W.m_accelerators);
  return Largest;
}

// Larger blocks come first: a smaller one that is placed earlier could split
// the last place of a larger one, and never the other way round.
std::vector<Demand> demandsOf(const std::vector<model::Account> &Accounts,
                              int LargestWorker) {
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

// A possible place of a block, best first.
struct Candidate {
  int m_common = 0;  ///< Accelerators that another account could use.
  int m_foreign = 0; ///< Accelerators held by other accounts.
  int m_own = 0;     ///< Accelerators held by the account, negated.
  int m_waste = 0;   ///< Usable accelerators beside the block, inside its
                     ///< alignment.
  Place m_place;

  auto rank() const {
    return std::tuple(m_common, m_foreign, m_own, m_waste, m_place.m_worker,
                      m_place.m_first);
  }
};

class Assigner {
public:
  Assigner(const std::vector<model::Account> &Accounts, const Fleet &F)
      : m_accounts(Accounts), m_fleet(F), m_supply(F),
        m_demands(demandsOf(Accounts, largestWorker(F))),
        m_held(F.m_nodes.size()) {
    for (const Holding &H : F.m_holdings) {
      for (const Place &P : H.m_places)
        m_held[static_cast<std::size_t>(P.m_worker)].emplace_back(H.m_account,
                                                                  P.mask());
    }
  }

  Assignment greedy();

private:
  std::vector<Candidate> candidates(const Demand &D) const;
  Candidate rate(const Demand &D, const Place &P, Mask Usable) const;
  int placeOnWorkers(const Demand &D, bool OwnOnly, int Count, Assignment &Out);
  bool placeWholeWorkers(const Demand &D, Assignment &Out);
  std::vector<Place> wholeWorkers(const Demand &D, const Group &Rack) const;

  const std::vector<model::Account> &m_accounts;
  const Fleet &m_fleet;
  Supply m_supply;
  std::vector<Demand> m_demands;
  /// By worker: who holds which accelerators.
  std::vector<std::vector<std::pair<int, Mask>>> m_held;
};

Candidate Assigner::rate(const Demand &D, const Place &P, Mask Usable) const {
  const auto Worker = static_cast<std::size_t>(P.m_worker);
  Candidate C;
  C.m_place = P;
  const Mask Block = P.mask();
  // Accelerators that only this account can use come first, so that the common
  // ones stay for the others.
  C.m_common = std::popcount(Block & m_supply.m_common[Worker]);
  for (const auto &[Owner, Held] : m_held[Worker]) {
    if (Owner == D.m_account)
      C.m_own -= std::popcount(Held & Block);
    else
      C.m_foreign += std::popcount(Held & Block);
  }
  const Mask Aligned = maskOf(P.m_first, alignmentOf(D.m_size));
  C.m_waste = std::popcount(Usable & Aligned & ~Block);
  return C;
}

std::vector<Candidate> Assigner::candidates(const Demand &D) const {
  std::vector<Candidate> Out;
  for (int I = 0; std::cmp_less(I, m_fleet.m_nodes.size()); ++I) {
    const Mask Usable = m_supply.usable(D.m_account, I);
    for (Mask Starts = blockStarts(Usable, D.m_size); Starts != 0;
         Starts &= Starts - 1)
      Out.push_back(rate(D, {I, std::countr_zero(Starts), D.m_size}, Usable));
  }
  std::sort(Out.begin(), Out.end(),
            [](const auto &L, const auto &R) { return L.rank() < R.rank(); });
  return Out;
}

// Returns the number of blocks placed. OwnOnly leaves out blocks of which the
// account holds nothing.
int Assigner::placeOnWorkers(const Demand &D, bool OwnOnly, int Count,
                             Assignment &Out) {
  int Placed = 0;
  for (const Candidate &C : candidates(D)) {
    if (Placed == Count)
      break;
    if (OwnOnly && (C.m_own == 0 || C.m_foreign > 0))
      continue;
    m_supply.remove(C.m_place);
    Out.m_blocks.push_back({D.m_account, D.m_size, {C.m_place}});
    ++Placed;
  }
  return Placed;
}

// Whole workers of equal size in one rack, or nothing.
std::vector<Place> Assigner::wholeWorkers(const Demand &D,
                                          const Group &Rack) const {
  std::map<int, std::vector<Candidate>> ByWidth;
  for (const int I : Rack) {
    const Node &W = m_fleet.m_nodes[static_cast<std::size_t>(I)];
    const Mask Usable = m_supply.usable(D.m_account, I);
    if (W.m_accelerators > 0 && Usable == W.m_all)
      ByWidth[-W.m_accelerators].push_back(
          rate(D, {I, 0, W.m_accelerators}, Usable));
  }
  for (auto &[Negated, Workers] : ByWidth) {
    const int Needed = (D.m_size - Negated - 1) / -Negated;
    if (std::cmp_less(Workers.size(), Needed))
      continue;
    std::sort(Workers.begin(), Workers.end(),
              [](const auto &L, const auto &R) { return L.rank() < R.rank(); });
    std::vector<Place> Parts;
    Parts.reserve(static_cast<std::size_t>(Needed));
    for (int I = 0; I < Needed; ++I)
      Parts.push_back(Workers[static_cast<std::size_t>(I)].m_place);
    return Parts;
  }
  return {};
}

bool Assigner::placeWholeWorkers(const Demand &D, Assignment &Out) {
  std::vector<Place> Best;
  std::tuple<int, int> BestRank;
  for (const Group &Rack : m_fleet.m_racks) {
    std::vector<Place> Parts = wholeWorkers(D, Rack);
    if (Parts.empty())
      continue;
    int Foreign = 0;
    for (const Place &P : Parts)
      Foreign += rate(D, P, P.mask()).m_foreign;
    const std::tuple Rank(Foreign, static_cast<int>(Rack.size()));
    if (!Best.empty() && BestRank <= Rank)
      continue;
    Best = std::move(Parts);
    BestRank = Rank;
  }
  if (Best.empty())
    return false;
  for (const Place &P : Best)
    m_supply.remove(P);
  Out.m_blocks.push_back({D.m_account, D.m_size, std::move(Best)});
  return true;
}

Assignment Assigner::greedy() {
  Assignment Out;
  for (std::size_t I = 0; I < m_demands.size();) {
    std::size_t End = I;
    while (End < m_demands.size() && alignmentOf(m_demands[End].m_size) ==
                                         alignmentOf(m_demands[I].m_size))
      ++End;
    // Every account takes what it holds itself before anyone takes more, so
    // that no block lies on a job inside another account's promise.
    std::vector<int> Missing;
    for (std::size_t D = I; D < End; ++D) {
      const Demand &Now = m_demands[D];
      Missing.push_back(Now.m_count);
      if (!Now.m_wholeWorkers)
        Missing.back() -= placeOnWorkers(Now, true, Now.m_count, Out);
    }
    for (std::size_t D = I; D < End; ++D) {
      const Demand &Now = m_demands[D];
      int &Left = Missing[D - I];
      if (Now.m_wholeWorkers) {
        while (Left > 0 && placeWholeWorkers(Now, Out))
          --Left;
      } else if (Left > 0) {
        Left -= placeOnWorkers(Now, false, Left, Out);
      }
      if (Left > 0)
        Out.m_shortfalls.push_back(
            {m_accounts[static_cast<std::size_t>(Now.m_account)].m_name,
             Now.m_size, Left});
    }
    I = End;
  }
  return Out;
}

} // namespace

int Assignment::missingAccelerators() const {
  int Missing = 0;
  for (const Shortfall &S : m_shortfalls)
    Missing += S.m_blockSize * S.m_missingBlocks;
  return Missing;
}

Assignment assignBlocks(const std::vector<model::Account> &Accounts,
                        const Fleet &F, int SearchSteps) {
  (void)SearchSteps;
  return Assigner(Accounts, F).greedy();
}

} // namespace pomelokeel::sched::detail

namespace pomelokeel::sched {

GuaranteeCheck checkGuarantees(const std::vector<model::Account> &Accounts,
                               const std::vector<WorkerView> &Workers,
                               const std::vector<RunningView> &Running) {
  const detail::Fleet F(Accounts, Workers, Running);
  detail::Assignment Found =
      detail::assignBlocks(Accounts, F, detail::FullSearch);
  GuaranteeCheck Out;
  for (const detail::Block &B : Found.m_blocks) {
    const detail::Place &First = B.m_parts.front();
    Out.m_blocks.push_back(
        {Accounts[static_cast<std::size_t>(B.m_account)].m_name,
         Workers[static_cast<std::size_t>(First.m_worker)].m_name,
         First.m_first, B.m_size});
  }
  Out.m_shortfalls = std::move(Found.m_shortfalls);
  return Out;
}

} // namespace pomelokeel::sched
