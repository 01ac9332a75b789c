#pragma once

#include "base/clock.h"
#include "logclient/logclient.h"
#include "state/state.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace pomelokeel::entry {

using base::Millis;

/// The state folded from the log, and how current it is. No clock of its own;
/// times are monotonic.
class Replica {
public:
  /// Called after each record was applied.
  using OnApplied =
      std::function<void(const model::LogEntry &, const state::Applied &)>;

  const state::State &state() const { return m_state; }

  /// A snapshot replaces the state. Returns false, without effect, if it is
  /// older than what was applied.
  bool load(state::State S);

  /// Applies the records of \p B.
  void apply(const logclient::Batch &B, Millis NowMs, const OnApplied &Each);

  void readFailed(const base::Error &E);

  /// A peer has applied all records before \p NextOffset.
  void heardPeer(std::uint64_t NextOffset, Millis NowMs);

  /// This process was frozen. Up to \p Backlog events were read before that,
  /// and do not show the log's end.
  void resumed(std::size_t Backlog);

  /// Why this entry serves nothing, or "" if it is ready.
  std::string notReadyReason() const;
  bool ready() const { return notReadyReason().empty(); }

  /// Whether the log's end was read since the start or the last freeze. A
  /// process that did not must neither lead nor claim.
  bool sawEnd() const { return m_sawEnd && m_stale == 0; }

  /// Why agents must not attach here, or "" if they may; docs/design.md, 4.6.
  std::string attachRefusal(Millis NowMs) const;

  bool readable() const { return m_readable; }
  bool behindRetention() const { return m_behindRetention; }
  /// First offset that was not read. Above the state's if values that are not
  /// valid records follow its last one.
  std::uint64_t nextOffset() const { return m_next; }
  std::uint64_t endOffset() const { return m_end; }
  std::uint64_t peersOffset() const { return m_peersOffset; }
  Millis endReadAge(Millis NowMs) const;

  /// Estimate of the log service's clock now.
  Millis logTime(Millis NowMs) const;

private:
  state::State m_state;
  bool m_readable = false;
  bool m_behindRetention = false;
  bool m_sawEnd = false;
  std::size_t m_stale = 0; ///< Events that may have been read before a freeze.
  std::uint64_t m_next = 0;
  std::uint64_t m_end = 0;
  std::optional<Millis> m_endReadMs;
  std::uint64_t m_peersOffset = 0;
  std::optional<Millis> m_behindSinceMs; ///< When a peer was first ahead.
  Millis m_timeAnchorMs = 0; ///< Monotonic time when the log time was learnt.
  Millis m_logTimeMs = 0;
};

} // namespace pomelokeel::entry
