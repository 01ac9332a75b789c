#pragma once

#include "sched/guarantee.h"
#include "sched/placement.h"
#include "sched/reserve.h"

#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace pomelokeel::sched::detail {

/// One planning pass over a snapshot.
class Pass {
public:
  Pass(const Snapshot &S, std::size_t MaxPlacements);

  Plan run();

private:
  /// Jobs of one shape and account fail for the same reason in a pass, because
  /// a pass only takes resources.
  using Shape = std::tuple<int, int, int, int, int, bool, bool, bool>;

  void consider(const WaitingView &J);
  bool reject(const WaitingView &J);
  std::string holdBack(const WaitingView &J) const;
  bool canEverFit(const model::JobSpec &Spec) const;
  bool place(const WaitingView &J);
  bool placeOn(const WaitingView &J, const Request &R);
  bool reclaim(const WaitingView &J, const Request &R);
  void reserveFor(const WaitingView &J);
  std::size_t considerGangs(const std::vector<const WaitingView *> &Aged);
  void claimBlocks();
  void claimBlocks(int Account, int Needed);
  bool isEntitled(const WaitingView &J) const;
  bool delaysReservation(const WaitingView &J) const;
  Shape shapeOf(const WaitingView &J) const;
  Request requestOf(const WaitingView &J) const;
  Holding holdingOf(const WaitingView &J, std::vector<Place> Places) const;
  bool keepsGuarantees(const Holding &H);
  void commit(const WaitingView &J, Holding H);
  void wait(const WaitingView &J, std::string Reason);

  const Snapshot &m_s;
  const std::size_t m_maxPlacements;
  Fleet m_fleet;
  Assignment m_assignment;
  Promises m_promises;
  std::vector<int> m_inUse;       ///< Accelerators by account.
  std::vector<int> m_guaranteed;  ///< Accelerators by account.
  std::vector<bool> m_reclaiming; ///< By running job.
  /// By running job: whether it lay in its own account's blocks when the pass
  /// began. Later assignments of the pass must not expose it to reclaims.
  std::vector<bool> m_insideOwn;
  /// By worker: blocks that the account has waiting work for.
  std::vector<std::vector<std::pair<int, Mask>>> m_claims;
  std::vector<Mask> m_pending; ///< Accelerators kept for reclaiming jobs.
  std::vector<ExpectedEnd> m_ends;
  std::vector<Reservation> m_reservations;
  std::map<Shape, std::string> m_failed;
  Plan m_plan;
};

} // namespace pomelokeel::sched::detail
