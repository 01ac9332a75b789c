#pragma once

#include "base/error.h"
#include "batch/journal.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

/// The processes that run the scheduling logic of namespace batch: entries, one
/// of which is the leader, and agents. Each process has one reactor.
namespace pomelokeel::node {

using base::Millis;
using batch::AppendOutcome;
using batch::KeyedRecord;

/// Streams of keyed records in the store.
enum class Stream {
  Operator, ///< Written by the operator only.
  Leaders,  ///< Leader records; conditional appends only.
  Jobs,     ///< The journal of the leader.
};

/// The newest record of each key of a stream, and the end offset of the stream.
struct Snapshot {
  std::vector<KeyedRecord> m_records;
  std::int64_t m_end = 0;
};

/// The records of a stream after an offset.
struct Page {
  std::vector<KeyedRecord> m_records;
  std::int64_t m_next = 0;  ///< Offset to read from next.
  bool m_truncated = false; ///< The offset is no longer retained.
};

/// The result of appendAt().
struct ConditionalAppend {
  AppendOutcome m_outcome = AppendOutcome::Unknown;
  bool m_endMoved = false;   ///< NotDone: the end differs.
  std::int64_t m_offset = 0; ///< Of the appended record.
};

/// The result of a join. The generation changes with the members of the group.
struct Membership {
  std::int64_t m_generation = 0;
};

/// Interface to the platform's store. Callbacks run on the reactor's thread,
/// never within the call itself. Errors: timeout, unreachable,
/// logUnavailable (refused without effect).
class Store {
public:
  template <typename T> using Done = std::function<void(base::Result<T>)>;

  virtual ~Store() = default;

  /// Appends to the journal with the epoch and the number of the batch.
  virtual void append(const batch::JournalBatch &Batch,
                      std::function<void(AppendOutcome)> Done) = 0;

  /// Makes the journal refuse appends of earlier epochs.
  virtual void fence(std::uint64_t Epoch,
                     std::function<void(AppendOutcome)> Done) = 0;

  /// Appends only if the stream ends at offset \p End.
  virtual void appendAt(Stream S, const KeyedRecord &R, std::int64_t End,
                        std::function<void(ConditionalAppend)> Done) = 0;

  /// Reads the newest record of each key.
  virtual void snapshot(Stream S, Done<Snapshot> Done) = 0;

  /// Long poll: answers when there are records at or after \p From, at the
  /// latest after \p WaitMs.
  virtual void follow(Stream S, std::int64_t From, Millis WaitMs,
                      Done<Page> Done) = 0;

  /// Joins the group of entries, or extends the membership, for \p TtlMs.
  virtual void join(const std::string &Member, Millis TtlMs,
                    std::int64_t Generation, Done<Membership> Done) = 0;
  virtual void leave(const std::string &Member, std::function<void()> Done) = 0;

  /// Lists the members of the group of entries that own a partition of it.
  virtual void members(Done<std::vector<std::string>> Done) = 0;
};

} // namespace pomelokeel::node
