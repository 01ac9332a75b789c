#pragma once

#include "base/clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace pomelokeel::batch {

using base::Millis;

/// A record of the journal. The newest value of each key is kept; an empty
/// value removes the key.
struct KeyedRecord {
  std::string m_key;
  std::string m_value;
};

/// Key prefixes of the two records of a job: the JobSpec as submitted, and the
/// Progress that changes.
constexpr std::string_view SpecKey = "spec/";
constexpr std::string_view StateKey = "state/";
/// Key prefix of the Tombstone of a job that was cancelled before it was
/// submitted.
constexpr std::string_view TombstoneKey = "cancelled/";
/// Key prefix of the SpeedRecord of an agent's worker.
constexpr std::string_view SpeedKey = "speed/";

inline std::string journalKey(std::string_view Prefix, const std::string &Job) {
  return std::string(Prefix) + Job;
}

/// Records that are appended atomically. The epoch and the number make repeated
/// appends idempotent and fence off the appends of a replaced leader.
struct JournalBatch {
  std::uint64_t m_epoch = 0;
  std::uint64_t m_number = 0; ///< Counts the batches of an epoch from 1.
  std::vector<KeyedRecord> m_records;
};

enum class AppendOutcome {
  Done,
  NotDone, ///< This attempt had no effect.
  Unknown, ///< It may have taken effect, or still may.
  Fenced,  ///< A leader of a later epoch writes the journal.
};

/// Writes one batch at a time and repeats its append until it is stored.
/// durable() says which changes are stored.
class JournalWriter {
public:
  using Append = std::function<void(const JournalBatch &)>;

  JournalWriter(std::uint64_t Epoch, Append Send);

  /// Number of the batch that changes made now will be part of.
  std::uint64_t nextBatch() const { return m_newest + 1; }

  /// Number of the newest stored batch. All earlier ones are stored too.
  std::uint64_t durable() const { return m_durable; }

  /// True while a batch is not stored yet.
  bool busy() const { return m_newest > m_durable; }

  /// Makes a batch of \p Records and sends it. Requires !busy().
  void write(std::vector<KeyedRecord> Records, Millis Now);

  /// Handles the outcome of the last append.
  void onOutcome(AppendOutcome Outcome, Millis Now);

  /// Takes the values of \p Key out of the current batch; the removal of an
  /// older value stays. If no record is left, the batch is discarded and counts
  /// as stored. Requires withdrawable().
  void withdraw(const std::string &Key);

  /// True if no attempt to append the current batch can have taken effect.
  bool withdrawable() const { return busy() && !m_sending && !m_maybeDone; }

  /// Repeats the append if it is due.
  void advance(Millis Now);

  /// Time since write() of the current batch in ms, or 0 if there is none.
  Millis pendingMs(Millis Now) const { return busy() ? Now - m_writtenAt : 0; }

  bool fenced() const { return m_fenced; }

private:
  void send(Millis Now);

  Append m_append;
  JournalBatch m_batch;
  /// Number of the newest batch. Never goes back, since changes wait for it.
  std::uint64_t m_newest = 0;
  std::uint64_t m_durable = 0;
  /// Number of the newest batch in the store's count, which leaves out those
  /// that were discarded.
  std::uint64_t m_sequence = 0;
  bool m_sending = false;
  bool m_maybeDone = false; ///< An attempt had the outcome Unknown.
  bool m_fenced = false;
  Millis m_writtenAt = 0; ///< When write() was called.
  Millis m_retryAt = 0;
};

} // namespace pomelokeel::batch
