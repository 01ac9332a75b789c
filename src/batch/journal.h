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

/// A record of the journal: the newest value of each key is kept for good, an
/// empty one drops the key.
struct KeyedRecord {
  std::string m_key;
  std::string m_value;
};

/// Begin of the keys of a job's records: as submitted, and what changes.
constexpr std::string_view SpecKey = "spec/";
constexpr std::string_view StateKey = "state/";

inline std::string keyOf(std::string_view Kind, const std::string &Job) {
  return std::string(Kind) + Job;
}

/// Records that are appended all or none. Number and epoch make an append that
/// is repeated take effect once, and one of a replaced leader never.
struct JournalBatch {
  std::uint64_t m_epoch = 0;
  std::uint64_t m_number = 0; ///< Counts the batches of an epoch from 1.
  std::vector<KeyedRecord> m_records;
};

enum class AppendOutcome {
  Done,
  NotDone, ///< This attempt certainly had no effect.
  Unknown, ///< It may have taken effect, or may still do so.
  Fenced,  ///< A later epoch writes the journal.
};

/// Writes batches one at a time and repeats each until its outcome is known.
/// The caller learns from durable() which of its changes are stored.
class JournalWriter {
public:
  using Append = std::function<void(const JournalBatch &)>;

  JournalWriter(std::uint64_t Epoch, Append Send);

  /// The batch that will carry changes made now.
  std::uint64_t nextBatch() const { return m_cut + 1; }

  /// All changes of batches up to this one are stored.
  std::uint64_t durable() const { return m_durable; }

  /// True while a batch is not stored yet.
  bool busy() const { return m_cut > m_durable; }

  /// Cuts a batch of \p Records and sends it. Not while busy().
  void write(std::vector<KeyedRecord> Records, Millis Now);

  /// Takes the outcome of the last send.
  void onOutcome(AppendOutcome Outcome, Millis Now);

  /// Removes records from the current batch, which is given up if none is left.
  /// Only while withdrawable().
  void withdraw(const std::string &Key);

  /// True if every attempt of the current batch certainly had no effect.
  bool withdrawable() const { return busy() && !m_sending && !m_maybeDone; }

  /// Sends again what is due.
  void advance(Millis Now);

  /// How long the current batch has been waiting, or 0.
  Millis waitingFor(Millis Now) const { return busy() ? Now - m_cutAt : 0; }

  bool fenced() const { return m_fenced; }

private:
  void send(Millis Now);

  Append m_append;
  JournalBatch m_batch;
  std::uint64_t m_cut = 0;
  std::uint64_t m_durable = 0;
  bool m_sending = false;
  bool m_maybeDone = false;
  bool m_fenced = false;
  Millis m_cutAt = 0;
  Millis m_retryAt = 0;
};

} // namespace pomelokeel::batch
