#include "sched/pass.h"

#include "sched/explain.h"
#include "sched/queue.h"
#include "sched/reclaim.h"

#include <fmt/format.h>

#include <algorithm>
#include <bit>
#include <unordered_map>
#include <utility>

namespace pomelokeel::sched::detail {
namespace {

using base::ErrorKind;

// Maximum number of aged gangs that are tried for the reservation. A gang that
// would not fit even after all jobs have ended must not prevent a reservation
// for the next ones.
constexpr std::size_t MaxGangsTried = 4;
// The remaining run time of a job that runs longer than expected is estimated
// as this share of its run time so far. With 0.25 reservations were expected to
// start too early: the mean completion time of small jobs in the ticketing
// benchmark was 1.26 times that of the better baseline instead of 1.03 times.
// With 1.5 the p95 wait of gangs there was 0.74 times that of the better
// baseline instead of 0.67 times.
constexpr double OverdueShare = 1;

int acceleratorsOf(const model::JobSpec &Spec) {
  return Spec.m_members * Spec.m_accelerators;
}

Need needOf(const model::JobSpec &Spec) {
  return {Spec.m_accelerators, Spec.m_cores, Spec.m_memoryMb};
}

// Scales OverdueShare by the weights of the rule. A higher completion weight
// gives later expected ends, so that more jobs fit before a reservation starts.
double overdueShare(const model::PlacementRule &Rule) {
  constexpr double MaxWeightRatio = 4;
  if (Rule.m_fragmentationWeight <= 0)
    return OverdueShare * MaxWeightRatio;
  return OverdueShare *
         std::clamp(Rule.m_completionWeight / Rule.m_fragmentationWeight,
                    1 / MaxWeightRatio, MaxWeightRatio);
}

Millis expectedEnd(const RunningView &R, Millis NowMs, double Share) {
  const double Run = static_cast<double>(NowMs - R.m_startedMs);
  const Millis Overdue = NowMs + static_cast<Millis>(Run * Share);
  return R.m_expectedEndMs > NowMs ? R.m_expectedEndMs : Overdue;
}

} // namespace

Pass::Pass(const Snapshot &S, std::size_t MaxPlacements)
    : m_snapshot(S), m_maxPlacements(MaxPlacements),
      m_fleet(S.m_accounts, S.m_workers, S.m_running),
      m_assignment(assignBlocks(S.m_accounts, m_fleet, FullSearchTries)),
      m_reservedBlocks(m_assignment, m_fleet), m_inUse(S.m_accounts.size()),
      m_claims(S.m_workers.size()), m_keptForReclaim(S.m_workers.size()) {
  for (const Holding &H : m_fleet.m_holdings) {
    for (const Place &P : H.m_places) {
      if (H.m_account >= 0)
        m_inUse[static_cast<std::size_t>(H.m_account)] += P.m_accelerators;
    }
  }
  for (const model::Account &A : S.m_accounts) {
    int Sum = 0;
    for (const model::BlockDemand &D : A.m_guarantee)
      Sum += D.m_size * D.m_count;
    m_guaranteed.push_back(Sum);
  }
  const double Share = overdueShare(S.m_rule);
  for (std::size_t I = 0; I < S.m_running.size(); ++I) {
    m_reclaiming.push_back(S.m_running[I].m_reclaiming);
    m_insideOwnBlocks.push_back(
        m_reservedBlocks.isInsideOwnBlocks(m_fleet.m_holdings[I]));
    m_expectedEnds.push_back(
        {expectedEnd(S.m_running[I], S.m_nowMs, Share), static_cast<int>(I)});
  }
}

// Returns true if the job fits into an idle fleet with all workers in service.
bool Pass::canEverFit(const model::JobSpec &Spec) const {
  for (const Group &Region : m_fleet.m_regions) {
    int Capacity = 0;
    for (const int I : Region) {
      const WorkerView &W = m_snapshot.m_workers[static_cast<std::size_t>(I)];
      WorkerResources Empty = m_fleet.m_resources[static_cast<std::size_t>(I)];
      Empty.m_free = Empty.m_all;
      Empty.m_slots = W.m_slots;
      Empty.m_cores = W.m_cores;
      Empty.m_memoryMb = W.m_memoryMb;
      Empty.m_placeable = true;
      Empty.m_onProbation = false;
      Capacity += membersThatFit(Empty, needOf(Spec), Spec.m_members);
      if (Capacity >= Spec.m_members)
        return true;
    }
  }
  // The fleet is not known yet while there are no workers.
  return m_fleet.m_resources.empty();
}

// Rejects a job that has passed its deadline or can never run. Returns whether
// it did.
bool Pass::reject(const WaitingView &J) {
  const auto Add = [&](ErrorKind Kind, std::string Message) {
    m_plan.m_reject.push_back({J.m_id, Kind, std::move(Message)});
    return true;
  };
  const model::JobSpec &Spec = J.m_spec;
  if (Spec.m_deadlineMs > 0 &&
      m_snapshot.m_nowMs > J.m_submittedMs + Spec.m_deadlineMs)
    return Add(ErrorKind::DeadlinePassed,
               fmt::format("not started within {} ms of acceptance",
                           Spec.m_deadlineMs));
  const int Account = m_fleet.accountIndex(Spec.m_account);
  const int Quota =
      Account < 0 ? 0
                  : m_snapshot.m_accounts[static_cast<std::size_t>(Account)]
                        .m_maxAccelerators;
  if (Quota > 0 && acceleratorsOf(Spec) > Quota)
    return Add(
        ErrorKind::CanNeverRun,
        fmt::format("needs {} accelerators, the quota of account \"{}\" is {}",
                    acceleratorsOf(Spec), Spec.m_account, Quota));
  if (!canEverFit(Spec))
    return Add(ErrorKind::CanNeverRun,
               fmt::format("no region has workers for {} members with {} "
                           "adjacent accelerators, {} cores and {} MB each, "
                           "even with all workers idle",
                           Spec.m_members, Spec.m_accelerators, Spec.m_cores,
                           Spec.m_memoryMb));
  return false;
}

// Returns why the job must not be placed now, independent of free capacity, or
// an empty string.
std::string Pass::reasonToDefer(const WaitingView &J) const {
  if (J.m_notBeforeMs > m_snapshot.m_nowMs)
    return fmt::format("backoff after a failed attempt, next attempt in {} ms",
                       J.m_notBeforeMs - m_snapshot.m_nowMs);
  const int Account = m_fleet.accountIndex(J.m_spec.m_account);
  if (Account < 0)
    return fmt::format("account \"{}\" does not exist", J.m_spec.m_account);
  const int Quota = m_snapshot.m_accounts[static_cast<std::size_t>(Account)]
                        .m_maxAccelerators;
  const int InUse = m_inUse[static_cast<std::size_t>(Account)];
  const int Asked = acceleratorsOf(J.m_spec);
  if (Quota > 0 && Asked > 0 && InUse + Asked > Quota)
    return fmt::format("account \"{}\" uses {} of its quota of {} accelerators "
                       "and the job needs {} more",
                       J.m_spec.m_account, InUse, Quota, Asked);
  if (m_plan.m_place.size() >= m_maxPlacements)
    return "the limit of placements per pass is reached, the next pass "
           "continues";
  return {};
}

// Returns true if the account does not exceed its guarantee with the job.
bool Pass::isWithinGuarantee(const WaitingView &J) const {
  const int Account = m_fleet.accountIndex(J.m_spec.m_account);
  const int Asked = acceleratorsOf(J.m_spec);
  return Account >= 0 && Asked > 0 &&
         m_inUse[static_cast<std::size_t>(Account)] + Asked <=
             m_guaranteed[static_cast<std::size_t>(Account)];
}

// Keeps the jobs of other accounts off the blocks for which an account has
// waiting jobs. Otherwise a job placed there first would have to be reclaimed,
// and the accelerators just reclaimed could go to the next job of another
// account.
void Pass::claimBlocks() {
  std::vector<int> Needed(m_snapshot.m_accounts.size());
  for (const WaitingView &J : m_snapshot.m_waiting) {
    if (!isWithinGuarantee(J) || J.m_notBeforeMs > m_snapshot.m_nowMs)
      continue;
    const int Account = m_fleet.accountIndex(J.m_spec.m_account);
    Needed[static_cast<std::size_t>(Account)] += acceleratorsOf(J.m_spec);
  }
  for (std::size_t A = 0; A < Needed.size(); ++A) {
    if (Needed[A] > 0)
      claimBlocks(static_cast<int>(A), Needed[A]);
  }
}

void Pass::claimBlocks(int Account, int Needed) {
  std::vector<Mask> Held(m_fleet.m_resources.size());
  for (const Holding &H : m_fleet.m_holdings) {
    for (const Place &P : H.m_places) {
      if (H.m_account == Account)
        Held[static_cast<std::size_t>(P.m_worker)] |= P.mask();
    }
  }
  for (const Block &B : m_assignment.m_blocks) {
    if (B.m_account != Account || Needed <= 0)
      continue;
    for (const Place &P : B.m_parts) {
      const auto Worker = static_cast<std::size_t>(P.m_worker);
      Needed -= std::popcount(P.mask() & ~Held[Worker]);
      m_claims[Worker].emplace_back(Account, P.mask());
    }
  }
}

Request Pass::requestOf(const WaitingView &J) const {
  Request R{
      needOf(J.m_spec), J.m_spec.m_members, {}, m_keptForReclaim, {}, {}, {}};
  for (const std::string &Name : J.m_avoid)
    R.m_avoid.push_back(m_fleet.workerIndex(Name));
  const int Account = m_fleet.accountIndex(J.m_spec.m_account);
  for (std::size_t I = 0; I < m_claims.size(); ++I) {
    for (const auto &[Owner, Claimed] : m_claims[I])
      R.m_blocked[I] |= Owner == Account ? 0 : Claimed;
  }
  if (J.m_urgent)
    return R;
  for (const Reservation &Reserved : m_reservations) {
    if (m_snapshot.m_nowMs + J.m_expectedRunMs > Reserved.m_startMs)
      R.m_bounds.push_back(&Reserved.m_spare);
  }
  return R;
}

Holding Pass::holdingOf(const WaitingView &J, std::vector<Place> Places) const {
  return {m_fleet.accountIndex(J.m_spec.m_account), J.m_preemptible,
          needOf(J.m_spec), std::move(Places), false};
}

// Returns true if all guarantees can still be kept with the job. Only a job
// that is not preemptible can use up accelerators or slots of a guarantee; if
// it conflicts with reserved blocks, a new assignment must be as complete as
// the current one.
bool Pass::keepsGuarantees(const Holding &H) {
  if (H.m_preemptible)
    return true;
  if (!m_reservedBlocks.conflictsWithOthers(H)) {
    m_reservedBlocks.takeSlots(H);
    return true;
  }
  m_fleet.add(H);
  Assignment After =
      assignBlocks(m_snapshot.m_accounts, m_fleet, ShortSearchTries);
  m_fleet.release(H);
  m_fleet.m_holdings.pop_back();
  if (After.missingAccelerators() > m_assignment.missingAccelerators())
    return false;
  m_assignment = std::move(After);
  m_reservedBlocks = ReservedBlocks(m_assignment, m_fleet);
  return true;
}

void Pass::commit(const WaitingView &J, Holding H) {
  PlaceJob Out{J.m_id, {}, ""};
  for (const Place &P : H.m_places) {
    Out.m_places.push_back(
        {m_snapshot.m_workers[static_cast<std::size_t>(P.m_worker)].m_name,
         P.m_first, P.m_accelerators});
    for (Reservation &Reserved : m_reservations) {
      const auto It = Reserved.m_spare.find(P.m_worker);
      if (It != Reserved.m_spare.end() &&
          m_snapshot.m_nowMs + J.m_expectedRunMs > Reserved.m_startMs)
        allocateMember(It->second, H.m_need, P);
    }
  }
  Out.m_reason = fmt::format("{}, waited {} ms",
                             base::nameOf(m_snapshot.m_rule.m_strategy),
                             m_snapshot.m_nowMs - J.m_submittedMs);
  m_inUse[static_cast<std::size_t>(H.m_account)] += acceleratorsOf(J.m_spec);
  const int Index = m_fleet.add(std::move(H));
  m_expectedEnds.push_back({m_snapshot.m_nowMs + J.m_expectedRunMs, Index});
  m_plan.m_place.push_back(std::move(Out));
}

void Pass::recordWait(const WaitingView &J, std::string Reason) {
  m_plan.m_wait.push_back({J.m_id, std::move(Reason)});
}

// Reclaims accelerators of the account's reserved blocks for the job. Returns
// false if the account is not entitled to them or the job would not fit there.
bool Pass::reclaim(const WaitingView &J, const Request &R) {
  const int Account = m_fleet.accountIndex(J.m_spec.m_account);
  if (!isWithinGuarantee(J))
    return false;
  const ReclaimChoice Choice =
      chooseReclaim(m_fleet, m_reservedBlocks, Account, R, m_reclaiming,
                    m_insideOwnBlocks, m_snapshot.m_rule);
  if (Choice.m_holdings.empty())
    return false;
  for (const int I : Choice.m_holdings) {
    const auto Index = static_cast<std::size_t>(I);
    if (m_reclaiming[Index])
      continue;
    m_reclaiming[Index] = true;
    m_plan.m_reclaim.push_back(
        {m_snapshot.m_running[Index].m_id, J.m_id,
         fmt::format("holds accelerators reserved for account \"{}\"",
                     J.m_spec.m_account)});
  }
  for (const Place &P : Choice.m_places)
    m_keptForReclaim[static_cast<std::size_t>(P.m_worker)] |= P.mask();
  m_inUse[static_cast<std::size_t>(Account)] += acceleratorsOf(J.m_spec);
  recordWait(
      J, fmt::format("reclaims guaranteed accelerators from {} running jobs",
                     Choice.m_holdings.size()));
  return true;
}

void Pass::reserveFor(const WaitingView &J) {
  if (!reasonToDefer(J).empty())
    return;
  Request R = requestOf(J);
  // Accelerators that are claimed or being reclaimed now will be in use by
  // their owner, or free, when the reservation starts.
  R.m_blocked.clear();
  Reservation New =
      reserve(m_fleet, std::move(R), m_expectedEnds, m_snapshot.m_rule);
  if (!New.m_places.empty())
    m_reservations.push_back(std::move(New));
}

// Returns true if the job is expected to run beyond the start of the
// reservation.
bool Pass::delaysReservation(const WaitingView &J) const {
  return !J.m_urgent && !m_reservations.empty() &&
         m_snapshot.m_nowMs + J.m_expectedRunMs >
             m_reservations.front().m_startMs;
}

Pass::Shape Pass::shapeOf(const WaitingView &J) const {
  const model::JobSpec &S = J.m_spec;
  return {m_fleet.accountIndex(S.m_account),
          S.m_members,
          S.m_accelerators,
          S.m_cores,
          S.m_memoryMb,
          J.m_preemptible,
          delaysReservation(J),
          m_reservations.empty()};
}

// Places the job where the request allows it and all guarantees are kept.
// Returns whether it did.
bool Pass::placeOn(const WaitingView &J, const Request &R) {
  std::vector<Place> Places = findPlaces(m_fleet, R, m_snapshot.m_rule);
  if (Places.empty())
    return false;
  Holding H = holdingOf(J, std::move(Places));
  if (!keepsGuarantees(H))
    return false;
  commit(J, std::move(H));
  return true;
}

// Places the job, or reclaims resources for it, or records why it waits.
// Returns whether it is placed.
bool Pass::place(const WaitingView &J) {
  const Request R = requestOf(J);
  // A job that is not preemptible should avoid the reserved blocks of other
  // accounts, and so should a gang, because it loses all its members if one of
  // them is reclaimed.
  const bool AvoidsReserved = !J.m_preemptible || isAcceleratorGang(J.m_spec);
  if (AvoidsReserved && (!J.m_preemptible || J.m_spec.m_accelerators > 0)) {
    Request Unreserved = R;
    std::unordered_map<int, WorkerResources> Slots;
    const int Account = m_fleet.accountIndex(J.m_spec.m_account);
    for (int I = 0; std::cmp_less(I, Unreserved.m_blocked.size()); ++I) {
      const auto Index = static_cast<std::size_t>(I);
      Unreserved.m_blocked[Index] |=
          m_reservedBlocks.reservedForOthers(Account, I);
      const int Left = m_reservedBlocks.slotsLeft(Account, I);
      if (J.m_preemptible || Left >= J.m_spec.m_members)
        continue;
      WorkerResources &Bound = Slots[I] = m_fleet.m_resources[Index];
      Bound.m_slots = Left;
    }
    Unreserved.m_bounds.push_back(&Slots);
    if (placeOn(J, Unreserved))
      return true;
  }
  if (placeOn(J, R))
    return true;
  if (reclaim(J, R))
    return false;
  std::string Reason =
      hasPlaces(m_fleet, R)
          ? "the free accelerators or slots that fit are needed to keep "
            "guarantees"
          : explainNoFit(m_fleet, R);
  if (!R.m_bounds.empty())
    Reason += "; a waiting gang has a reservation";
  recordWait(J, Reason);
  if (J.m_avoid.empty())
    m_waitReasons.emplace(shapeOf(J), std::move(Reason));
  return false;
}

void Pass::consider(const WaitingView &J) {
  if (reject(J))
    return;
  if (std::string Reason = reasonToDefer(J); !Reason.empty())
    return recordWait(J, std::move(Reason));
  const auto Known = m_waitReasons.find(shapeOf(J));
  if (Known != m_waitReasons.end() && J.m_avoid.empty())
    recordWait(J, Known->second);
  else
    place(J);
}

// Considers aged gangs until one has a reservation. Returns the number of gangs
// considered.
std::size_t Pass::considerGangs(const std::vector<const WaitingView *> &Aged) {
  std::size_t Count = 0;
  for (; Count < Aged.size() && Count < MaxGangsTried && m_reservations.empty();
       ++Count) {
    const std::size_t Waits = m_plan.m_wait.size();
    consider(*Aged[Count]);
    if (m_plan.m_wait.size() > Waits)
      reserveFor(*Aged[Count]);
  }
  return Count;
}

Plan Pass::run() {
  m_plan.m_shortfalls = m_assignment.m_shortfalls;
  claimBlocks();
  const std::vector<const WaitingView *> Queue = queueOrder(m_snapshot);
  // Urgent jobs are placed before a reservation is made; all others must not
  // delay it.
  for (const WaitingView *J : Queue) {
    if (J->m_urgent)
      consider(*J);
  }
  const std::vector<const WaitingView *> Aged = agedGangs(m_snapshot);
  const std::size_t Gangs = considerGangs(Aged);
  const auto Done = Aged.begin() + static_cast<std::ptrdiff_t>(Gangs);
  for (const WaitingView *J : Queue) {
    if (!J->m_urgent && std::find(Aged.begin(), Done, J) == Done)
      consider(*J);
  }
  return std::move(m_plan);
}

} // namespace pomelokeel::sched::detail
