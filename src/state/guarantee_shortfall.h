#pragma once

#include "model/config.h"
#include "model/worker.h"

#include <optional>
#include <string>
#include <vector>

namespace pomelokeel::state {

/// The first guarantee that does not fit, and how many of its blocks of
/// adjacent accelerators are missing.
struct GuaranteeShortfall {
  std::string m_account;
  int m_blockSize = 0; ///< Accelerators per block.
  int m_missingBlocks = 0;
};

/// Checks whether the guarantees of all accounts fit on \p Workers if no job
/// runs there; see docs/design.md, section 4.6. Returns nothing if they fit.
/// The result decides whether an account record is accepted, so all entries
/// must compute the same one. \p Workers are in ascending order of their names.
std::optional<GuaranteeShortfall>
findGuaranteeShortfall(const std::vector<model::Account> &Accounts,
                       const std::vector<const model::Worker *> &Workers);

} // namespace pomelokeel::state
