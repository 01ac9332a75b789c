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

/// The state built from the records of the log, and how current it is. Uses no
/// clock; times passed in are monotonic.
class Replica {
public:
  /// Called after each record was applied.
  using OnApplied =
      std::function<void(const model::LogEntry &, const state::Applied &)>;

  const state::State &state() const { return m_state; }

  /// Replaces the state by that of a snapshot. Returns false and keeps the
  /// state if the snapshot is older.
  bool load(state::State S);

  /// Applies the records of \p B and calls \p Each after each of them.
  void apply(const logclient::Batch &B, Millis NowMs, const OnApplied &Each);

  /// Handles a read of the log that failed.
  void onReadFailed(const base::Error &E);

  /// Records that a peer has applied all records before \p NextOffset.
  void recordPeerOffset(std::uint64_t NextOffset, Millis NowMs);

  /// Handles the end of a freeze of this process. The next \p Backlog events
  /// may have been read before the freeze, so they do not show the log's end.
  void onResumed(std::size_t Backlog);

  /// Why this entry cannot serve requests, or "" if it is ready.
  std::string notReadyReason() const;
  bool ready() const { return notReadyReason().empty(); }

  /// Whether the log's end was read since the start or the last freeze. Before
  /// that, this process must neither lead nor claim.
  bool logEndRead() const { return m_logEndRead && m_staleEvents == 0; }

  /// Why agents must not attach here, or "" if they may; docs/design.md, 4.6.
  std::string attachRefusal(Millis NowMs) const;

  bool readable() const { return m_readable; }
  bool behindRetention() const { return m_behindRetention; }
  /// First offset that was not read. Higher than the state's if values that
  /// are not valid records follow its last record.
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
  bool m_logEndRead = false;
  /// Events still to come that may have been read before a freeze.
  std::size_t m_staleEvents = 0;
  std::uint64_t m_next = 0;
  std::uint64_t m_end = 0;
  std::optional<Millis> m_endReadMs;
  std::uint64_t m_peersOffset = 0;
  std::optional<Millis> m_behindSinceMs; ///< When a peer was first ahead.
  Millis m_timeAnchorMs = 0; ///< Monotonic time when m_logTimeMs was read.
  Millis m_logTimeMs = 0;
};

} // namespace pomelokeel::entry
