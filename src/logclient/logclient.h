#pragma once

#include "base/counters.h"
#include "base/error.h"
#include "base/ring.h"
#include "model/record.h"
#include "state/state.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <variant>
#include <vector>

/// Client of the platform's log service.
namespace pomelokeel::logclient {

using base::Json;
using base::Millis;

/// Whether an append took effect, as far as the client knows.
enum class AppendFate {
  Done,        ///< The log service confirmed it.
  NoEffect,    ///< It did not take effect.
  Unconfirmed, ///< It may have taken effect; only reading the log can tell.
};

struct AppendOutcome {
  AppendFate m_fate = AppendFate::Unconfirmed;
  std::uint64_t m_first = 0; ///< Offset of the first value; only for Done.
  /// Set unless the fate is Done. Its kind is logUnconfirmed for Unconfirmed,
  /// and for NoEffect one of overloaded (the log service's append rate limit is
  /// exceeded), tooLarge and logUnavailable.
  base::Error m_error;
};

/// Limits of one append.
constexpr std::size_t MaxAppendValues = 256;
constexpr std::size_t MaxAppendBytes = 512 * 1024; ///< Size of the JSON body.

/// A page of values read from a stream.
struct ReadPage {
  struct Value {
    std::uint64_t m_offset = 0;
    Millis m_timeMs = 0;
    Json m_value;
  };
  std::vector<Value> m_values;
  std::uint64_t m_first = 0; ///< Earliest offset still held.
  std::uint64_t m_next = 0;  ///< Offset of the next append.
};

struct LogSettings {
  std::string m_address;  ///< `host:port` of the log service.
  int m_timeoutMs = 2000; ///< Of one call; a read's wait is added to it.
};

/// Synchronous calls to the log service over one connection. Only
/// cancel() and the byte counts may be used from other threads.
class LogClient {
public:
  explicit LogClient(LogSettings Settings);
  ~LogClient();

  /// Appends \p Values in order, all or none. Never retries: the
  /// values could be stored twice if only the answer was lost.
  AppendOutcome append(const std::string &Stream,
                       const std::vector<Json> &Values);

  /// As append(), with \p Body as the encoded request body.
  AppendOutcome appendEncoded(const std::string &Stream, std::string Body);

  /// Reads at most \p Max values from \p From on, waiting up to \p WaitMs for
  /// the first. A \p From beyond the end gives an empty page. Errors:
  /// logTruncated (From was dropped by retention), logUnavailable. After an
  /// error the next call uses a new connection.
  base::Result<ReadPage> read(const std::string &Stream, std::uint64_t From,
                              int Max, int WaitMs);

  /// The offsets that \p Stream holds, without its values.
  struct Range {
    std::uint64_t m_first = 0; ///< Earliest offset still held.
    std::uint64_t m_next = 0;  ///< Offset of the next append.
  };
  /// Error: logUnavailable.
  base::Result<Range> range(const std::string &Stream);

  /// Makes a call in progress on another thread and all later calls fail.
  void cancel();

  std::uint64_t bytesSent() const;
  std::uint64_t bytesReceived() const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

/// Appends records on a thread of its own. Records waiting at the same time go
/// into one append (group commit), in the order of submission for each stream.
/// An append without an answer is reported Unconfirmed and not retried. An
/// append that exceeds the log service's append rate limit is retried for at
/// most LogSettings::m_timeoutMs.
class Writer {
public:
  using Callback = std::function<void(const AppendOutcome &)>;

  /// \p Capacity is the number of submissions that may be queued.
  Writer(const LogSettings &Settings, std::size_t Capacity,
         base::Counters &Counters);
  ~Writer();

  /// Queues values for one append to \p Stream. \p OnDone is called on the
  /// writer's thread, exactly once. While available() is false, it
  /// is called with NoEffect and nothing is sent. Values over the limits of one
  /// append or of base::MaxRecordNesting get NoEffect with tooLarge. Returns
  /// false, without effect, if the queue is full or the writer is stopping.
  [[nodiscard]] bool submit(std::string Stream, const std::vector<Json> &Values,
                            Callback OnDone);

  /// False from an append that failed for another reason than the append rate
  /// limit until a probe of the log service succeeds.
  bool available() const;

  /// Stops the threads after the queued submissions are appended or \p GraceMs
  /// has passed. Submissions still queued then get NoEffect. Must not be called
  /// from a callback: it joins the thread that runs the callbacks.
  void stop(int GraceMs);

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

/// Events of a Follower, in log order.
struct Loaded { ///< A snapshot that replaces the state. Contains at least all
                ///< records that were delivered before.
  state::State m_state;
};
struct Batch { ///< Consecutive records to apply. Empty if a read succeeded at
               ///< the end of the log.
  std::vector<model::LogEntry> m_entries;
  /// Offset of the next append at the time of the read.
  std::uint64_t m_end = 0;
  /// First offset after this batch. Invalid records at the end of the batch
  /// are counted, although m_entries omits them.
  std::uint64_t m_next = 0;
};
struct ReadFailed { ///< A read failed. Sent again for each failed retry.
  /// Its kind is logUnavailable, or behindRetention if retention has dropped
  /// the next records and no snapshot replaces them.
  base::Error m_error;
};
using FollowerEvent = std::variant<Loaded, Batch, ReadFailed>;

/// Reads the newest snapshot and then follows the stream "records", on a thread
/// of its own. A value that is not a valid record is skipped, counted and
/// logged. If the next offset was dropped by retention it loads a newer
/// snapshot.
class Follower {
public:
  Follower(const LogSettings &Settings, base::Ring<FollowerEvent> &Out,
           base::Counters &Counters);
  ~Follower();

  /// Cancels a read in progress and waits for the thread to end.
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace pomelokeel::logclient
