#include "sched/guarantee.h"

#include "sched/supply.h"

#include <algorithm>
#include <bit>
#include <limits>
#include <map>
#include <tuple>

namespace pomelokeel::sched::detail {
namespace {

// A possible place of a block. Lower ranks are better.
struct Candidate {
  int m_common = 0;  ///< Accelerators that another account could use.
  int m_victims = 0; ///< Members of other accounts that would have to stop.
  int m_foreign = 0; ///< Accelerators held by other accounts.
  int m_own = 0;     ///< Accelerators held by the account, negated.
  int m_waste = 0;   ///< Usable accelerators beside the block, inside its
                     ///< alignment.
  Place m_place;

  auto rank() const {
    return std::tuple(m_common, m_victims, m_foreign, m_own, m_waste,
                      m_place.m_worker, m_place.m_first);
  }
};

class Assigner {
public:
  Assigner(const std::vector<model::Account> &Accounts, const Fleet &F)
      : m_accounts(Accounts), m_fleet(F), m_supply(F),
        m_demands(demandsOf(Accounts, F)), m_held(F.m_resources.size()),
        m_heldBy(Accounts.size()) {
    for (const Holding &H : F.m_holdings) {
      for (const Place &P : H.m_places)
        addHeld(H, P);
    }
    for (std::vector<int> &Workers : m_heldBy) {
      std::sort(Workers.begin(), Workers.end());
      Workers.erase(std::unique(Workers.begin(), Workers.end()), Workers.end());
    }
  }

  Assignment greedy();

private:
  void addHeld(const Holding &H, const Place &P) {
    if (P.m_accelerators == 0)
      return;
    m_held[static_cast<std::size_t>(P.m_worker)].push_back(
        {H.m_account, P.mask(),
         H.m_reclaiming ? 0 : static_cast<int>(H.m_places.size())});
    if (H.m_account >= 0)
      m_heldBy[static_cast<std::size_t>(H.m_account)].push_back(P.m_worker);
  }
  int addCandidates(const Demand &D, int Worker,
                    std::vector<Candidate> &Out) const;
  std::vector<Candidate> candidates(const Demand &D, bool OwnOnly,
                                    int Count) const;
  Candidate rate(const Demand &D, const Place &P, Mask Usable) const;
  int placeOnWorkers(const Demand &D, bool OwnOnly, int Count, Assignment &Out);
  bool placeWholeWorkers(const Demand &D, Assignment &Out);
  std::vector<Place> wholeWorkers(const Demand &D, const Group &Rack) const;

  const std::vector<model::Account> &m_accounts;
  const Fleet &m_fleet;
  Supply m_supply;
  std::vector<Demand> m_demands;
  /// Accelerators of a worker that an account holds.
  struct Held {
    int m_account;
    Mask m_mask;
    int m_members; ///< Members of the job; 0 if it is being reclaimed.
  };
  std::vector<std::vector<Held>> m_held;  ///< By worker.
  std::vector<std::vector<int>> m_heldBy; ///< Workers by account, ascending.
};

Candidate Assigner::rate(const Demand &D, const Place &P, Mask Usable) const {
  const auto Worker = static_cast<std::size_t>(P.m_worker);
  Candidate C;
  C.m_place = P;
  const Mask Block = P.mask();
  // Accelerators that only this account can use are preferred, so that those
  // that every account can use stay available to the others.
  C.m_common = std::popcount(Block & m_supply.m_common[Worker]);
  for (const Held &H : m_held[Worker]) {
    const int Shared = std::popcount(H.m_mask & Block);
    if (H.m_account == D.m_account) {
      C.m_own -= Shared;
      continue;
    }
    C.m_foreign += Shared;
    C.m_victims += Shared > 0 ? H.m_members : 0;
  }
  const Mask Aligned = maskOf(P.m_first, alignmentOf(D.m_size));
  C.m_waste = std::popcount(Usable & Aligned & ~Block);
  return C;
}

// Adds the possible places on one worker. Returns how many of them are perfect:
// not held by another account and without waste.
int Assigner::addCandidates(const Demand &D, int Worker,
                            std::vector<Candidate> &Out) const {
  int Perfect = 0;
  const Mask Usable = m_supply.usable(D.m_account, Worker);
  for (Mask Starts = blockStarts(Usable, D.m_size); Starts != 0;
       Starts &= Starts - 1) {
    Out.push_back(
        rate(D, {Worker, std::countr_zero(Starts), D.m_size}, Usable));
    const Candidate &C = Out.back();
    Perfect += C.m_foreign == 0 && C.m_waste == 0 ? 1 : 0;
  }
  return std::min(Perfect, m_supply.slots(D.m_account, Worker));
}

// Returns the candidates in order of rank, at least Count if there are as many.
// Only accelerators that the account holds rank before perfect places, so the
// scan of the other workers ends after Count perfect places.
std::vector<Candidate> Assigner::candidates(const Demand &D, bool OwnOnly,
                                            int Count) const {
  std::vector<Candidate> Out;
  const std::vector<int> &Own = m_heldBy[static_cast<std::size_t>(D.m_account)];
  for (const int I : Own)
    addCandidates(D, I, Out);
  int Perfect = 0;
  for (int I = 0; !OwnOnly && Perfect < Count &&
                  std::cmp_less(I, m_fleet.m_resources.size());
       ++I) {
    if (!std::binary_search(Own.begin(), Own.end(), I))
      Perfect += addCandidates(D, I, Out);
  }
  std::sort(Out.begin(), Out.end(),
            [](const auto &L, const auto &R) { return L.rank() < R.rank(); });
  return Out;
}

// Returns the number of blocks placed. OwnOnly skips places of which the
// account holds nothing, and those of which another account holds a part.
int Assigner::placeOnWorkers(const Demand &D, bool OwnOnly, int Count,
                             Assignment &Out) {
  int Placed = 0;
  for (const Candidate &C : candidates(D, OwnOnly, Count)) {
    if (Placed == Count)
      break;
    if (OwnOnly && (C.m_own == 0 || C.m_foreign > 0))
      continue;
    if (m_supply.slots(D.m_account, C.m_place.m_worker) <= 0)
      continue;
    m_supply.remove(D.m_account, C.m_place);
    Out.m_blocks.push_back({D.m_account, D.m_size, {C.m_place}});
    ++Placed;
  }
  return Placed;
}

// Returns enough whole workers of equal size in the rack, or nothing.
std::vector<Place> Assigner::wholeWorkers(const Demand &D,
                                          const Group &Rack) const {
  std::map<int, std::vector<Candidate>> ByWidth;
  for (const int I : Rack) {
    const WorkerResources &W = m_fleet.m_resources[static_cast<std::size_t>(I)];
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
  std::tuple<int, int, int> BestRank;
  for (const Group &Rack : m_fleet.m_racks) {
    std::vector<Place> Parts = wholeWorkers(D, Rack);
    if (Parts.empty())
      continue;
    std::tuple Rank(0, 0, static_cast<int>(Rack.size()));
    for (const Place &P : Parts) {
      const Candidate C = rate(D, P, P.mask());
      std::get<0>(Rank) += C.m_victims;
      std::get<1>(Rank) += C.m_foreign;
    }
    if (!Best.empty() && BestRank <= Rank)
      continue;
    Best = std::move(Parts);
    BestRank = Rank;
  }
  if (Best.empty())
    return false;
  for (const Place &P : Best)
    m_supply.remove(D.m_account, P);
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
    // All accounts are assigned what they hold before any account is assigned
    // more, so that no block covers a job that is within the guarantee of
    // another account.
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
  Out.m_slotsLeft = std::move(m_supply.m_slots);
  return Out;
}

} // namespace

int Assignment::missingAccelerators() const {
  int Missing = 0;
  for (const Shortfall &S : m_shortfalls)
    Missing += S.m_blockSize * S.m_missingBlocks;
  return Missing;
}

ReservedBlocks::ReservedBlocks(const Assignment &A, const Fleet &F)
    : m_slotsLeft(A.m_slotsLeft), m_byWorker(F.m_resources.size()) {
  // A worker with fewer slots than accelerators keeps all its slots for its
  // blocks.
  for (std::size_t I = 0; I < m_slotsLeft.size(); ++I) {
    const WorkerResources &W = F.m_resources[I];
    if (W.m_allSlots < W.m_accelerators)
      m_slotsLeft[I] = 0;
  }
  for (const Block &B : A.m_blocks) {
    for (const Place &P : B.m_parts)
      m_byWorker[static_cast<std::size_t>(P.m_worker)].emplace_back(B.m_account,
                                                                    P.mask());
  }
}

Mask ReservedBlocks::reservedFor(int Account, int Worker) const {
  Mask Out = 0;
  for (const auto &[Owner, Held] : m_byWorker[static_cast<std::size_t>(Worker)])
    Out |= Owner == Account ? Held : 0;
  return Out;
}

Mask ReservedBlocks::reservedForOthers(int Account, int Worker) const {
  Mask Out = 0;
  for (const auto &[Owner, Held] : m_byWorker[static_cast<std::size_t>(Worker)])
    Out |= Owner == Account ? 0 : Held;
  return Out;
}

bool ReservedBlocks::isInsideOwnBlocks(const Holding &H) const {
  if (H.m_account < 0)
    return false;
  bool HasAccelerators = false;
  for (const Place &P : H.m_places) {
    if ((P.mask() & ~reservedFor(H.m_account, P.m_worker)) != 0)
      return false;
    HasAccelerators |= P.m_accelerators > 0;
  }
  return HasAccelerators;
}

bool ReservedBlocks::conflictsWithOthers(const Holding &H) const {
  return std::any_of(H.m_places.begin(), H.m_places.end(), [&](const Place &P) {
    if ((P.mask() & reservedForOthers(H.m_account, P.m_worker)) != 0)
      return true;
    const auto Members =
        std::count_if(H.m_places.begin(), H.m_places.end(),
                      [&](const Place &Q) { return Q.m_worker == P.m_worker; });
    return Members > slotsLeft(H.m_account, P.m_worker);
  });
}

int ReservedBlocks::slotsLeft(int Account, int Worker) const {
  if (reservedForOthers(Account, Worker) == 0)
    return std::numeric_limits<int>::max();
  return m_slotsLeft[static_cast<std::size_t>(Worker)];
}

void ReservedBlocks::takeSlots(const Holding &H) {
  for (const Place &P : H.m_places)
    --m_slotsLeft[static_cast<std::size_t>(P.m_worker)];
}

Assignment assignBlocks(const std::vector<model::Account> &Accounts,
                        const Fleet &F, int MaxTries) {
  Assignment Out = Assigner(Accounts, F).greedy();
  if (Out.m_shortfalls.empty())
    return Out;
  if (auto Exact = searchBlocks(Accounts, F, MaxTries))
    return std::move(*Exact);
  return Out;
}

} // namespace pomelokeel::sched::detail

namespace pomelokeel::sched {

GuaranteeCheck checkGuarantees(const std::vector<model::Account> &Accounts,
                               const std::vector<WorkerView> &Workers,
                               const std::vector<RunningView> &Running) {
  const detail::Fleet F(Accounts, Workers, Running);
  detail::Assignment Found =
      detail::assignBlocks(Accounts, F, detail::FullSearchTries);
  GuaranteeCheck Out;
  for (const detail::Block &B : Found.m_blocks) {
    const detail::Place &First = B.m_parts.front();
    Out.m_blocks.push_back(
        {Accounts[static_cast<std::size_t>(B.m_account)].m_name,
         Workers[static_cast<std::size_t>(First.m_worker)].m_name,
         First.m_first,
         B.m_size,
         {}});
    for (const detail::Place &P : B.m_parts)
      Out.m_blocks.back().m_workers.push_back(
          Workers[static_cast<std::size_t>(P.m_worker)].m_name);
  }
  Out.m_shortfalls = std::move(Found.m_shortfalls);
  return Out;
}

} // namespace pomelokeel::sched
