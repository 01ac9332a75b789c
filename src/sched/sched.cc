#include "sched/sched.h"

#include "sched/guarantee.h"
#include "sched/placement.h"

#include <fmt/format.h>

#include <algorithm>

namespace pomelokeel::sched {
namespace {

using base::ErrorKind;
using namespace detail;

int acceleratorsOf(const model::JobSpec &Spec) {
  return Spec.m_members * Spec.m_accelerators;
}

// One planning pass.
class Pass {
public:
  Pass(const Snapshot &S, std::size_t MaxPlacements);

  Plan run();

private:
  std::vector<const WaitingView *> queue() const;
  void consider(const WaitingView &J);
  bool reject(const WaitingView &J);
  std::string holdBack(const WaitingView &J) const;
  bool canEverFit(const WaitingView &J) const;
  bool place(const WaitingView &J);
  Holding holdingOf(const WaitingView &J, std::vector<Place> Places) const;
  bool keepsGuarantees(const Holding &H);
  void commit(const WaitingView &J, Holding H);
  void wait(const WaitingView &J, std::string Reason) {
    m_plan.m_wait.push_back({J.m_id, std::move(Reason)});
  }
  const model::Account *accountOf(const WaitingView &J) const;

  const Snapshot &m_s;
  const std::size_t m_maxPlacements;
  Fleet m_fleet;
  Assignment m_assignment;
  std::vector<int> m_inUse; ///< Accelerators by account.
  Plan m_plan;
};

Pass::Pass(const Snapshot &S, std::size_t MaxPlacements)
    : m_s(S), m_maxPlacements(MaxPlacements),
      m_fleet(S.m_accounts, S.m_workers, S.m_running),
      m_assignment(assignBlocks(S.m_accounts, m_fleet, FullSearch)),
      m_inUse(S.m_accounts.size()) {
  for (const Holding &H : m_fleet.m_holdings) {
    for (const Place &P : H.m_places) {
      if (H.m_account >= 0)
        m_inUse[static_cast<std::size_t>(H.m_account)] += P.m_accelerators;
    }
  }
}

std::vector<const WaitingView *> Pass::queue() const {
  std::vector<const WaitingView *> Out;
  for (const WaitingView &J : m_s.m_waiting)
    Out.push_back(&J);
  std::stable_sort(Out.begin(), Out.end(), [](const auto *L, const auto *R) {
    return L->m_urgent > R->m_urgent;
  });
  return Out;
}

const model::Account *Pass::accountOf(const WaitingView &J) const {
  const int Index = m_fleet.accountIndex(J.m_spec.m_account);
  return Index < 0 ? nullptr : &m_s.m_accounts[static_cast<std::size_t>(Index)];
}

// Whether the empty fleet, with all its workers in service, holds the job.
bool Pass::canEverFit(const WaitingView &J) const {
  const Need N{J.m_spec.m_accelerators, J.m_spec.m_cores, J.m_spec.m_memoryMb};
  for (const Group &Region : m_fleet.m_regions) {
    int Room = 0;
    for (const int I : Region) {
      const WorkerView &W = m_s.m_workers[static_cast<std::size_t>(I)];
      Node Empty = m_fleet.m_nodes[static_cast<std::size_t>(I)];
      Empty.m_free = Empty.m_all;
      Empty.m_slots = W.m_slots;
      Empty.m_cores = W.m_cores;
      Empty.m_memoryMb = W.m_memoryMb;
      Empty.m_placeable = true;
      Empty.m_onProbation = false;
      Room += membersThatFit(Empty, N, J.m_spec.m_members);
      if (Room >= J.m_spec.m_members)
        return true;
    }
  }
  return m_fleet.m_nodes.empty();
}

bool Pass::reject(const WaitingView &J) {
  const auto Add = [&](ErrorKind Kind, std::string Message) {
    m_plan.m_reject.push_back({J.m_id, Kind, std::move(Message)});
    return true;
  };
  const model::JobSpec &Spec = J.m_spec;
  if (Spec.m_deadlineMs > 0 &&
      m_s.m_nowMs > J.m_submittedMs + Spec.m_deadlineMs)
    return Add(ErrorKind::DeadlinePassed,
               fmt::format("not started within {} ms of acceptance",
                           Spec.m_deadlineMs));
  const model::Account *A = accountOf(J);
  if (A != nullptr && A->m_maxAccelerators > 0 &&
      acceleratorsOf(Spec) > A->m_maxAccelerators)
    return Add(ErrorKind::CanNeverRun,
               fmt::format("needs {} accelerators, the quota of account "
                           "\"{}\" is {}",
                           acceleratorsOf(Spec), A->m_name,
                           A->m_maxAccelerators));
  if (!canEverFit(J))
    return Add(ErrorKind::CanNeverRun,
               fmt::format("no region has workers for {} members with {} "
                           "adjacent accelerators, {} cores and {} MB each, "
                           "even with all workers idle",
                           Spec.m_members, Spec.m_accelerators, Spec.m_cores,
                           Spec.m_memoryMb));
  return false;
}

// Why the job must not be placed now whatever is free, or an empty string.
std::string Pass::holdBack(const WaitingView &J) const {
  if (J.m_notBeforeMs > m_s.m_nowMs)
    return fmt::format("backoff after a failed attempt, next attempt in {} ms",
                       J.m_notBeforeMs - m_s.m_nowMs);
  const int Index = m_fleet.accountIndex(J.m_spec.m_account);
  if (Index < 0)
    return fmt::format("account \"{}\" does not exist", J.m_spec.m_account);
  const model::Account &A = m_s.m_accounts[static_cast<std::size_t>(Index)];
  const int InUse = m_inUse[static_cast<std::size_t>(Index)];
  const int Asked = acceleratorsOf(J.m_spec);
  if (A.m_maxAccelerators > 0 && Asked > 0 &&
      InUse + Asked > A.m_maxAccelerators)
    return fmt::format("account \"{}\" uses {} of its quota of {} accelerators "
                       "and the job needs {} more",
                       A.m_name, InUse, A.m_maxAccelerators, Asked);
  if (m_plan.m_place.size() >= m_maxPlacements)
    return "the limit of placements per pass is reached, the next pass goes on";
  return {};
}

Holding Pass::holdingOf(const WaitingView &J, std::vector<Place> Places) const {
  return {m_fleet.accountIndex(J.m_spec.m_account),
          J.m_preemptible,
          {J.m_spec.m_accelerators, J.m_spec.m_cores, J.m_spec.m_memoryMb},
          std::move(Places)};
}

// Only a job that cannot be preempted takes accelerators away from a promise.
bool Pass::keepsGuarantees(const Holding &H) {
  if (H.m_preemptible || H.m_need.m_accelerators == 0)
    return true;
  m_fleet.add(H);
  Assignment After = assignBlocks(m_s.m_accounts, m_fleet, ShortSearch);
  m_fleet.release(H);
  m_fleet.m_holdings.pop_back();
  if (After.missingAccelerators() > m_assignment.missingAccelerators())
    return false;
  m_assignment = std::move(After);
  return true;
}

void Pass::commit(const WaitingView &J, Holding H) {
  PlaceJob Out{J.m_id, {}, ""};
  for (const Place &P : H.m_places)
    Out.m_places.push_back(
        {m_s.m_workers[static_cast<std::size_t>(P.m_worker)].m_name, P.m_first,
         P.m_accelerators});
  Out.m_reason =
      fmt::format("{}, waited {} ms", base::nameOf(m_s.m_rule.m_strategy),
                  m_s.m_nowMs - J.m_submittedMs);
  m_inUse[static_cast<std::size_t>(H.m_account)] += acceleratorsOf(J.m_spec);
  m_fleet.add(std::move(H));
  m_plan.m_place.push_back(std::move(Out));
}

bool Pass::place(const WaitingView &J) {
  Request R{{J.m_spec.m_accelerators, J.m_spec.m_cores, J.m_spec.m_memoryMb},
            J.m_spec.m_members,
            {},
            nullptr};
  for (const std::string &Name : J.m_avoid)
    R.m_avoid.push_back(m_fleet.workerIndex(Name));
  std::vector<Place> Places = findPlaces(m_fleet, R, m_s.m_rule);
  if (Places.empty()) {
    wait(J, "no workers with enough free slots, cores, memory and adjacent "
            "accelerators");
    return false;
  }
  Holding H = holdingOf(J, std::move(Places));
  if (!keepsGuarantees(H)) {
    wait(J, "the free accelerators are needed to keep guarantees");
    return false;
  }
  commit(J, std::move(H));
  return true;
}

void Pass::consider(const WaitingView &J) {
  if (reject(J))
    return;
  if (std::string Reason = holdBack(J); !Reason.empty())
    return wait(J, std::move(Reason));
  place(J);
}

Plan Pass::run() {
  m_plan.m_shortfalls = m_assignment.m_shortfalls;
  for (const WaitingView *J : queue())
    consider(*J);
  return std::move(m_plan);
}

} // namespace

Plan plan(const Snapshot &S, std::size_t MaxPlacements) {
  return Pass(S, MaxPlacements).run();
}

} // namespace pomelokeel::sched
