#pragma once

#include "base/clock.h"
#include "state/state.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace pomelokeel::entry {

/// Decides when a standby claims leadership; docs/design.md, section 4.1. A
/// claim is safe at any time, the decision affects only availability.
class Election {
public:
  Election(std::string Name, std::string Incarnation,
           base::Millis LeaderTimeoutMs);

  /// A heartbeat of the leader of \p Epoch arrived, or one of its records was
  /// read.
  void heardLeader(std::uint64_t Epoch, base::Millis NowMs);

  /// A heartbeat of the entry \p Name arrived. Entries that are silent do not
  /// count for the rank; if this is never called, all members count.
  void heardMember(const std::string &Name, base::Millis NowMs);

  /// The leader closed its link \p ClosedForMs ago and the link could not be
  /// opened again since then; -1 if that is not so.
  void leaderLink(base::Millis ClosedForMs, base::Millis NowMs);

  /// The claim that this process appended had its answer, or failed.
  void claimSettled(base::Millis NowMs);

  /// True if this process should append a claim now; it then waits for
  /// claimSettled() and for its record to be read back. Always false for a
  /// process that \p S does not list: the next standby would take it for one
  /// that has departed.
  bool shouldClaim(const state::State &S, base::Millis NowMs);

  /// Whether this process is the leader according to \p S.
  bool isLeader(const state::State &S) const;

  /// Silence after which this process claims.
  base::Millis claimTimeout(const state::State &S) const;

  /// Time without a link to the leader, and without a sign of life from it,
  /// after which this process claims.
  base::Millis closedLinkTimeout(const state::State &S) const;

private:
  std::string m_name;
  std::string m_incarnation;
  base::Millis m_leaderTimeoutMs;
  std::size_t rank(const state::State &S) const;
  base::Millis rankDelay(const state::State &S) const;
  void enterEpoch(std::uint64_t Epoch);
  void observe(const state::State &S, base::Millis NowMs);
  bool leaderIsGone(const state::State &S, base::Millis NowMs) const;

  base::Millis m_lastHeardMs = -1; ///< Of the leader, or the start of waiting.
  base::Millis m_lastCallMs = -1;
  std::uint64_t m_epoch = 0; ///< Highest epoch that was heard of.
  std::map<std::string, base::Millis> m_membersMs;
  bool m_claiming = false;
  /// When the leader closed its link. Absent if the link is open.
  std::optional<base::Millis> m_linkClosedMs;
  /// When the leader's departure was read. Absent if it has not departed.
  std::optional<base::Millis> m_departedMs;
  /// When the last claim of this epoch was settled.
  std::optional<base::Millis> m_settledMs;
};

} // namespace pomelokeel::entry
