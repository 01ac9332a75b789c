#pragma once

#include "sched/fleet.h"
#include "sched/guarantee.h"

#include <optional>
#include <utility>
#include <vector>

namespace pomelokeel::sched::detail {

/// Guaranteed blocks of one size of one account. A block larger than every
/// worker consists of whole workers.
struct Demand {
  int m_account = 0;
  int m_size = 0;
  int m_count = 0;
  bool m_wholeWorkers = false;
};

/// Accelerators and slots that the blocks of each account may use.
struct Supply {
  explicit Supply(const Fleet &F);

  /// Number of slots of \p Worker left for blocks of \p Account.
  int slots(int Account, int Worker) const;

  /// Accelerators of \p Worker that a block of \p Account may use.
  Mask usable(int Account, int Worker) const;

  /// Removes the accelerators and the slot of one part of a block.
  void remove(int Account, const Place &P);

  bool m_hasNonPreemptible = false; ///< Some job cannot be preempted.
  std::vector<Mask>
      m_common; ///< Usable by all: free or held by a preemptible job.
  /// Accelerators held by jobs that are not preemptible, by account.
  std::vector<std::vector<std::pair<int, Mask>>> m_own;
  /// Slots that are free or held by a preemptible job. A worker with fewer
  /// slots than accelerators counts one slot for each accelerator as long as
  /// at least one slot is left.
  std::vector<int> m_slots;
  /// Slots held by jobs that are not preemptible, by account.
  std::vector<std::vector<std::pair<int, int>>> m_ownSlots;
};

/// All guarantees, the largest blocks first.
std::vector<Demand> demandsOf(const std::vector<model::Account> &Accounts,
                              const Fleet &F);

/// Searches exhaustively for a complete assignment, trying at most \p MaxTries
/// places. Returns nothing if there is none, if the limit is reached, or if the
/// greedy assignment is already exact.
std::optional<Assignment>
searchBlocks(const std::vector<model::Account> &Accounts, const Fleet &F,
             int MaxTries);

} // namespace pomelokeel::sched::detail
