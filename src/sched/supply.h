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

/// Which accelerators the blocks of each account may use.
struct Supply {
  explicit Supply(const Fleet &F);

  /// Accelerators of \p Worker that a block of \p Account may use.
  Mask usable(int Account, int Worker) const;

  /// Takes out the accelerators of a block.
  void remove(const Place &P);

  std::vector<Mask> m_common; ///< Free, or held by a preemptible job.
  /// Held by jobs that are not preemptible: account and its accelerators.
  std::vector<std::vector<std::pair<int, Mask>>> m_own;
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
