#pragma once

#include "sched/guarantee.h"
#include "sched/placement.h"
#include "sched/reserve.h"

#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace pomelokeel::sched::detail {

/// One scheduling pass over a snapshot.
class Pass {
public:
  Pass(const Snapshot &S, std::size_t MaxPlacements);

  Plan run();

private:
  /// Properties of a job that decide whether it fits. A job of the same shape
  /// as one that did not fit is not tried again in the same pass, because a
  /// pass only allocates resources and never releases any.
  using Shape = std::tuple<int, int, int, int, int, bool, bool, bool>;

  void consider(const WaitingView &J);
  bool reject(const WaitingView &J);
  std::string reasonToDefer(const WaitingView &J) const;
  bool canEverFit(const model::JobSpec &Spec) const;
  bool place(const WaitingView &J);
  bool placeOn(const WaitingView &J, const Request &R);
  bool reclaim(const WaitingView &J, const Request &R);
  void reserveFor(const WaitingView &J);
  std::size_t considerGangs(const std::vector<const WaitingView *> &Aged);
  void claimBlocks();
  void claimBlocks(int Account, int Needed);
  bool isWithinGuarantee(const WaitingView &J) const;
  bool delaysReservation(const WaitingView &J) const;
  Shape shapeOf(const WaitingView &J) const;
  Request requestOf(const WaitingView &J) const;
  Holding holdingOf(const WaitingView &J, std::vector<Place> Places) const;
  bool keepsGuarantees(const Holding &H);
  void commit(const WaitingView &J, Holding H);
  void recordWait(const WaitingView &J, std::string Reason);

  const Snapshot &m_snapshot;
  const std::size_t m_maxPlacements;
  Fleet m_fleet;
  Assignment m_assignment;
  ReservedBlocks m_reservedBlocks;
  std::vector<int> m_inUse;       ///< Accelerators by account.
  std::vector<int> m_guaranteed;  ///< Accelerators by account.
  std::vector<bool> m_reclaiming; ///< By running job.
  /// By running job: whether it was inside its own account's blocks when the
  /// pass began. It must not be reclaimed even if a later assignment of the
  /// pass moves these blocks.
  std::vector<bool> m_insideOwnBlocks;
  /// By worker: accounts and the reserved blocks that their waiting jobs need.
  std::vector<std::vector<std::pair<int, Mask>>> m_claims;
  /// By worker: accelerators kept for the jobs for which others are reclaimed.
  std::vector<Mask> m_keptForReclaim;
  std::vector<ExpectedEnd> m_expectedEnds;
  std::vector<Reservation> m_reservations;
  std::map<Shape, std::string> m_waitReasons;
  Plan m_plan;
};

} // namespace pomelokeel::sched::detail
