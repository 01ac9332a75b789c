#pragma once

#include "base/clock.h"
#include "state/state.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace pomelokeel::entry {

/// Decides when a standby claims leadership; docs/design.md, section 4.1. A
/// claim is safe at any time, so the decision affects only availability.
class Election {
public:
  Election(std::string Name, std::string Incarnation,
           base::Millis LeaderTimeoutMs);

  /// Records that a heartbeat of the leader of \p Epoch was received or one of
  /// its records was read.
  void recordLeaderContact(std::uint64_t Epoch, base::Millis NowMs);

  /// Records a heartbeat of the entry \p Name. Entries without recent
  /// heartbeats do not count for the rank; if this is never called, all members
  /// count.
  void recordMemberContact(const std::string &Name, base::Millis NowMs);

  /// \p ClosedForMs is the time since the leader closed its link, if the link
  /// could not be opened again since then, or -1.
  void updateLeaderLink(base::Millis ClosedForMs, base::Millis NowMs);

  /// The append of this process's claim was answered or failed.
  void onClaimAnswered(base::Millis NowMs);

  /// True if this process should append a claim now; it then waits for
  /// onClaimAnswered() and for its record to be read back. Always false for a
  /// process that \p S does not list: other standbys would regard it as a
  /// leader that has departed, and replace it.
  bool shouldClaim(const state::State &S, base::Millis NowMs);

  /// Whether this process is the leader according to \p S.
  bool isLeader(const state::State &S) const;

  /// Time without contact to the leader after which this process claims.
  base::Millis claimTimeout(const state::State &S) const;

  /// Time without a link to the leader and without contact to it, after which
  /// this process claims.
  base::Millis closedLinkTimeout(const state::State &S) const;

private:
  std::string m_name;
  std::string m_incarnation;
  base::Millis m_leaderTimeoutMs;
  std::size_t rank(const state::State &S) const;
  base::Millis rankDelay(const state::State &S) const;
  void enterEpoch(std::uint64_t Epoch);
  void observe(const state::State &S, base::Millis NowMs);
  bool leaderHasEnded(const state::State &S, base::Millis NowMs) const;

  /// Of the last contact with the leader, or when waiting for it began.
  base::Millis m_lastContactMs = -1;
  base::Millis m_lastCheckMs = -1;
  std::uint64_t m_epoch = 0; ///< Highest known epoch.
  std::map<std::string, base::Millis> m_memberContactMs;
  bool m_claiming = false;
  /// When the leader closed its link. Absent if the link is open.
  std::optional<base::Millis> m_linkClosedMs;
  /// When the leader's departure was read. Absent if it has not departed.
  std::optional<base::Millis> m_departedMs;
  /// When the append of the last claim of this epoch was answered.
  std::optional<base::Millis> m_claimAnsweredMs;
};

} // namespace pomelokeel::entry
