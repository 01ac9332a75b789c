#include "logclient/logclient.h"

#include <fmt/format.h>
#include <glog/logging.h>

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <utility>

namespace pomelokeel::logclient {
namespace {

using base::Error;
using base::ErrorKind;
using base::Status;

// With the call timeout of 2,000 ms, a connection that stopped carrying data is
// detected within the 3 s in which a new configuration must take effect.
constexpr int PollWaitMs = 300;
constexpr int FirstRetryDelayMs = 50;
constexpr int MaxRetryDelayMs = 1000;
constexpr int MaxPageValues = 256;
// A chunk has up to 200 KB, and reading a page over a link of 30 Mbit/s must
// not exceed the call timeout.
constexpr std::uint64_t SnapshotPageValues = 4;
// Limits the memory for snapshot chunks to about 100 MB.
constexpr std::uint64_t MaxSnapshotChunks = 512;
// While the ring is full, emit() checks at this interval whether to stop.
constexpr std::chrono::milliseconds PushTimeout{50};

Status decodeRecord(const Json &Value, model::Record &Out) {
  if (base::nestedDeeperThan(Value, base::MaxRecordNesting))
    return Error{ErrorKind::TooLarge, "nested too deeply"};
  return base::decode(Value, "", Out);
}

} // namespace

struct Follower::Impl {
  Impl(const LogSettings &Settings, base::Ring<FollowerEvent> &Out,
       base::Counters &Counters)
      : m_client(Settings), m_out(Out),
        m_failures(Counters.get("log_read_failures")),
        m_invalid(Counters.get("log_invalid_records")),
        m_snapshots(Counters.get("log_snapshots_loaded")),
        m_bytesSent(Counters.get("log_reader_bytes_sent")),
        m_bytesReceived(Counters.get("log_reader_bytes_received")),
        m_thread([this] { run(); }) {}

  void run() {
    while (!stopped()) {
      const Status Outcome = m_needSnapshot ? loadSnapshot() : poll();
      m_bytesSent = static_cast<std::int64_t>(m_client.bytesSent());
      m_bytesReceived = static_cast<std::int64_t>(m_client.bytesReceived());
      if (Outcome)
        m_retryDelayMs = FirstRetryDelayMs;
      else if (!stopped())
        handleReadFailure(Outcome.error());
    }
  }

  void handleReadFailure(const Error &E) {
    ++m_failures;
    // On a slow link, the read may have timed out because of the page's size.
    m_pageValues = std::max(m_pageValues / 2, 1);
    LOG(WARNING) << "event=logReadFailed offset=" << m_position << " error=\""
                 << base::toString(E) << "\"";
    emit(ReadFailed{E});
    std::unique_lock Lock(m_mutex);
    m_wake.wait_for(Lock, std::chrono::milliseconds(m_retryDelayMs),
                    [&] { return m_stop; });
    m_retryDelayMs = std::min(2 * m_retryDelayMs, MaxRetryDelayMs);
  }

  Status poll() {
    auto Page = m_client.read("records", m_position, m_pageValues, PollWaitMs);
    if (!Page) {
      if (Page.error().m_kind != ErrorKind::LogTruncated)
        return Page.error();
      m_needSnapshot = true;
      return base::success();
    }
    m_pageValues = std::min(2 * m_pageValues, MaxPageValues);
    if (Page->m_next < m_position)
      return Error{
          ErrorKind::LogUnavailable,
          fmt::format(
              "the log ends at offset {}, before the expected offset {}",
              Page->m_next, m_position)};
    Batch B;
    B.m_end = Page->m_next;
    B.m_next = m_position;
    for (ReadPage::Value &V : Page->m_values) {
      if (V.m_offset != B.m_next)
        return Error{
            ErrorKind::LogUnavailable,
            fmt::format("expected offset {}, got {}", B.m_next, V.m_offset)};
      ++B.m_next;
      addEntry(V, B);
    }
    const std::uint64_t Next = B.m_next;
    if (emit(std::move(B)))
      m_position = Next;
    return base::success();
  }

  void addEntry(const ReadPage::Value &V, Batch &B) {
    model::LogEntry Entry{V.m_offset, V.m_timeMs, {}};
    if (const Status S = decodeRecord(V.m_value, Entry.m_record); !S) {
      ++m_invalid;
      LOG(ERROR) << "event=recordSkipped offset=" << V.m_offset << " error=\""
                 << base::toString(S.error()) << "\"";
      return;
    }
    B.m_entries.push_back(std::move(Entry));
  }

  // Loads the newest usable snapshot. Without one, continues at m_position if
  // the log still holds that offset.
  Status loadSnapshot() {
    const auto Records = m_client.range("records");
    if (!Records)
      return Records.error();
    const auto Chunks = m_client.range("snapshots");
    if (!Chunks)
      return Chunks.error();
    const std::uint64_t MinNextOffset = std::max(m_position, Records->m_first);
    auto Found = findSnapshot(*Chunks, MinNextOffset);
    if (!Found)
      return Found.error();
    if (*Found) {
      const std::uint64_t Next = (*Found)->m_nextOffset;
      ++m_snapshots;
      LOG(INFO) << "event=snapshotLoaded offset=" << Next;
      if (emit(Loaded{std::move(**Found)}))
        m_position = Next;
    } else if (MinNextOffset > m_position) {
      return Error{
          ErrorKind::BehindRetention,
          fmt::format("no snapshot covers the records before offset {}, "
                      "the first that the log holds",
                      MinNextOffset)};
    }
    m_needSnapshot = false;
    return base::success();
  }

  // Reads chunks from the newest backwards until they contain a complete
  // snapshot whose next offset is at least MinNextOffset.
  base::Result<std::optional<state::State>>
  findSnapshot(const LogClient::Range &Held, std::uint64_t MinNextOffset) {
    state::SnapshotReader Reader;
    const std::uint64_t FirstChunk = std::max(
        Held.m_first, Held.m_next - std::min(Held.m_next, MaxSnapshotChunks));
    std::uint64_t End = Held.m_next;
    while (End > FirstChunk) {
      const std::uint64_t Begin =
          End - std::min(End - FirstChunk, SnapshotPageValues);
      if (const Status S = readChunks(Begin, End, Reader); !S)
        return S.error();
      auto Newest = Reader.newest();
      if (Newest && Newest->m_nextOffset >= MinNextOffset)
        return Newest;
      End = Begin;
    }
    return std::optional<state::State>();
  }

  Status readChunks(std::uint64_t Begin, std::uint64_t End,
                    state::SnapshotReader &Reader) {
    while (Begin < End) {
      const auto Page =
          m_client.read("snapshots", Begin, static_cast<int>(End - Begin), 0);
      if (!Page)
        return Page.error();
      if (Page->m_values.empty() || Page->m_values.front().m_offset != Begin)
        return Error{ErrorKind::LogUnavailable,
                     fmt::format("no snapshot chunk at offset {}", Begin)};
      for (const ReadPage::Value &V : Page->m_values) {
        state::SnapshotChunk Chunk;
        if (!base::nestedDeeperThan(V.m_value, base::MaxRecordNesting) &&
            base::decode(V.m_value, "", Chunk))
          Reader.add(std::move(Chunk));
        else
          ++m_invalid;
      }
      Begin = Page->m_values.back().m_offset + 1;
    }
    return base::success();
  }

  // Waits while the ring is full. Returns false if the follower stops or the
  // ring is closed.
  bool emit(FollowerEvent E) {
    while (!stopped() && !m_out.closed()) {
      if (m_out.tryPushFor(E, PushTimeout))
        return true;
    }
    return false;
  }

  bool stopped() const {
    const std::lock_guard Lock(m_mutex);
    return m_stop;
  }

  void stop() {
    {
      const std::lock_guard Lock(m_mutex);
      m_stop = true;
    }
    m_wake.notify_all();
    m_client.cancel();
    const std::lock_guard Joining(m_joinMutex);
    if (m_thread.joinable())
      m_thread.join();
  }

  LogClient m_client;
  base::Ring<FollowerEvent> &m_out;
  base::Counter &m_failures;
  base::Counter &m_invalid;
  base::Counter &m_snapshots;
  base::Counter &m_bytesSent;
  base::Counter &m_bytesReceived;
  std::uint64_t m_position = 0; // Next offset to deliver.
  bool m_needSnapshot = true;
  int m_pageValues = MaxPageValues;
  int m_retryDelayMs = FirstRetryDelayMs;
  mutable std::mutex m_mutex;
  std::condition_variable m_wake;
  bool m_stop = false;
  std::mutex m_joinMutex;
  std::thread m_thread; // Declared last: it uses all other members.
};

Follower::Follower(const LogSettings &Settings, base::Ring<FollowerEvent> &Out,
                   base::Counters &Counters)
    : m_impl(std::make_unique<Impl>(Settings, Out, Counters)) {}

Follower::~Follower() { stop(); }

void Follower::stop() { m_impl->stop(); }

} // namespace pomelokeel::logclient
