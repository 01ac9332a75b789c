#pragma once

#include "model/config.h"
#include "model/worker.h"

#include <optional>
#include <string>
#include <vector>

namespace pomelokeel::state {

/// The first guarantee that does not fit.
struct PromiseGap {
  std::string m_account;
  int m_blockSize = 0;
  int m_missingBlocks = 0;
};

/// Counts whether the guarantees of all accounts fit on the idle workers, by
/// the rule of docs/design.md, section 4.6. The rule is part of the meaning of
/// account records: all entries must fold it alike. \p Workers are in ascending
/// order of their names.
std::optional<PromiseGap>
findPromiseGap(const std::vector<model::Account> &Accounts,
               const std::vector<const model::Worker *> &Workers);

} // namespace pomelokeel::state
