#pragma once

#include "sched/fleet.h"
#include "sched/guarantee.h"

#include <optional>
#include <utility>
#include <vector>

namespace pomelokeel::sched::detail {

/// Blocks of one size for one account.
struct Demand {
  int m_account = 0;
  int m_size = 0;
  int m_count = 0;
  bool m_wholeWorkers = false;
};

/// Which accelerators and slots the blocks of each account may use.
struct Supply {
  explicit Supply(const Fleet &F);

  /// Blocks on \p Worker that still have a slot for \p Account.
  int slots(int Account, int Worker) const;

  /// Accelerators of \p Worker that a block of \p Account may use.
  Mask usable(int Account, int Worker) const;

  /// Takes out the accelerators and the slot of a block's part.
  void remove(int Account, const Place &P);

  bool m_limited = false;     ///< Some job is not preemptible.
  std::vector<Mask> m_common; ///< Free, or held by a preemptible job.
  /// Held by jobs that are not preemptible: account and its accelerators.
  std::vector<std::vector<std::pair<int, Mask>>> m_own;
  /// Slots that are free or held by a preemptible job. A worker with fewer
  /// slots than accelerators counts one for each accelerator while one is left.
  std::vector<int> m_slots;
  /// Slots held by jobs that are not preemptible, by account.
  std::vector<std::vector<std::pair<int, int>>> m_ownSlots;
};

/// All guarantees, the largest blocks first.
std::vector<Demand> demandsOf(const std::vector<model::Account> &Accounts,
                              const Fleet &F);

/// Searches exhaustively for a complete assignment, trying at most \p MaxTries
/// places. Empty if there is none or the limit was reached.
std::optional<Assignment>
searchBlocks(const std::vector<model::Account> &Accounts, const Fleet &F,
             int MaxTries);

} // namespace pomelokeel::sched::detail
