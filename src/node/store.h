#pragma once

#include "base/error.h"
#include "batch/journal.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

/// The processes around the decisions of `batch`: entries, one of which leads,
/// and agents, on one reactor each.
namespace pomelokeel::node {

using base::Millis;
using batch::AppendOutcome;
using batch::KeyedRecord;

/// Streams of keyed records in the store.
enum class Stream {
  Operator, ///< Written by the operator only.
  Leaders,  ///< Who leads; written under a condition.
  Jobs,     ///< The journal of the leader.
};

/// Newest records of a stream, and its end.
struct Snapshot {
  std::vector<KeyedRecord> m_records;
  std::int64_t m_end = 0;
};

/// Records from an offset on.
struct Page {
  std::vector<KeyedRecord> m_records;
  std::int64_t m_next = 0;
  bool m_truncated = false; ///< The offset was dropped; take a snapshot.
};

/// The outcome of an append at a given end.
struct ConditionalAppend {
  AppendOutcome m_outcome = AppendOutcome::Unknown;
  bool m_moved = false; ///< NotDone: the stream ends elsewhere.
  std::int64_t m_offset = 0;
};

/// Changes with the members of the group.
struct Membership {
  std::int64_t m_generation = 0;
};

/// The platform's store, as this product uses it. Answers come on the
/// reactor's thread, not within the call. Errors: timeout, unreachable,
/// logUnavailable (refused without effect).
class Store {
public:
  template <typename T> using Done = std::function<void(base::Result<T>)>;

  virtual ~Store() = default;

  /// Appends to the journal under the batch's epoch and number.
  virtual void append(const batch::JournalBatch &Batch,
                      std::function<void(AppendOutcome)> Done) = 0;

  /// Makes the journal refuse appends of earlier epochs.
  virtual void fence(std::uint64_t Epoch,
                     std::function<void(AppendOutcome)> Done) = 0;

  /// Appends if the stream ends at \p End.
  virtual void appendAt(Stream S, const KeyedRecord &R, std::int64_t End,
                        std::function<void(ConditionalAppend)> Done) = 0;

  virtual void snapshot(Stream S, Done<Snapshot> Done) = 0;

  /// Answers as soon as there are records from \p From on, or after \p WaitMs.
  virtual void follow(Stream S, std::int64_t From, Millis WaitMs,
                      Done<Page> Done) = 0;

  /// Joins the group of entries or stays in it for \p TtlMs.
  virtual void join(const std::string &Member, Millis TtlMs,
                    std::int64_t Generation, Done<Membership> Done) = 0;
  virtual void leave(const std::string &Member, std::function<void()> Done) = 0;

  /// Members of the group of entries that hold a part of it.
  virtual void members(Done<std::vector<std::string>> Done) = 0;
};

} // namespace pomelokeel::node
