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

// Together with the timeout of 2,000 ms this keeps the detection of a silent
// connection under the 3 s within which a configuration must be in force.
constexpr int PollWaitMs = 300;
constexpr int FirstRetryMs = 50;
constexpr int LongestRetryMs = 1000;
constexpr int PageValues = 256;
// Chunks have up to 200 KB, and a page must fit into the timeout on a link of
// 30 Mbit/s.
constexpr std::uint64_t SnapshotPageValues = 4;
// Bounds the memory for snapshots at about 100 MB.
constexpr std::uint64_t MaxSnapshotChunks = 512;
constexpr std::chrono::milliseconds OfferWait{50};

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
        m_retryMs = FirstRetryMs;
      else if (!stopped())
        failed(Outcome.error());
    }
  }

  void failed(const Error &E) {
    ++m_failures;
    // A page may be too large for the timeout on a slow link.
    m_pageValues = std::max(m_pageValues / 2, 1);
    LOG(WARNING) << "event=logReadFailed offset=" << m_position << " error=\""
                 << base::toString(E) << "\"";
    emit(ReadFailed{E});
    std::unique_lock Lock(m_mutex);
    m_wake.wait_for(Lock, std::chrono::milliseconds(m_retryMs),
                    [&] { return m_stop; });
    m_retryMs = std::min(2 * m_retryMs, LongestRetryMs);
  }

  Status poll() {
    auto Page = m_client.read("records", m_position, m_pageValues, PollWaitMs);
    if (!Page) {
      if (Page.error().m_kind != ErrorKind::LogTruncated)
        return Page.error();
      m_needSnapshot = true;
      return base::success();
    }
    m_pageValues = std::min(2 * m_pageValues, PageValues);
    if (Page->m_next < m_position)
      return Error{ErrorKind::LogUnavailable,
                   fmt::format("the log's end {} is before offset {}",
                               Page->m_next, m_position)};
    Batch B;
    B.m_end = Page->m_next;
    B.m_next = m_position;
    for (ReadPage::Value &V : Page->m_values) {
      if (V.m_offset != B.m_next)
        return Error{
            ErrorKind::LogUnavailable,
            fmt::format("got offset {} instead of {}", V.m_offset, B.m_next)};
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

  // Loads the newest usable snapshot, or starts at offset 0 if the log still
  // holds everything.
  Status loadSnapshot() {
    const auto Records = m_client.range("records");
    if (!Records)
      return Records.error();
    const auto Chunks = m_client.range("snapshots");
    if (!Chunks)
      return Chunks.error();
    const std::uint64_t Least = std::max(m_position, Records->m_first);
    auto Found = findSnapshot(*Chunks, Least);
    if (!Found)
      return Found.error();
    if (*Found) {
      const std::uint64_t Next = (*Found)->m_nextOffset;
      ++m_snapshots;
      LOG(INFO) << "event=snapshotLoaded offset=" << Next;
      if (emit(Loaded{std::move(**Found)}))
        m_position = Next;
    } else if (Least > m_position) {
      return Error{ErrorKind::BehindRetention,
                   fmt::format("no snapshot from offset {} on, which is the "
                               "first that the log holds",
                               Least)};
    }
    m_needSnapshot = false;
    return base::success();
  }

  // Reads chunks from the newest back until they contain a complete snapshot
  // that does not end before \p Least.
  base::Result<std::optional<state::State>>
  findSnapshot(const LogClient::Range &Held, std::uint64_t Least) {
    state::SnapshotReader Reader;
    const std::uint64_t Floor = std::max(
        Held.m_first, Held.m_next - std::min(Held.m_next, MaxSnapshotChunks));
    std::uint64_t End = Held.m_next;
    while (End > Floor) {
      const std::uint64_t Begin =
          End - std::min(End - Floor, SnapshotPageValues);
      if (const Status S = readChunks(Begin, End, Reader); !S)
        return S.error();
      auto Newest = Reader.newest();
      if (Newest && Newest->m_nextOffset >= Least)
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

  // Waits for room in the ring. Returns false when stopping.
  bool emit(FollowerEvent E) {
    while (!stopped() && !m_out.closed()) {
      if (m_out.tryPushFor(E, OfferWait))
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
  int m_pageValues = PageValues;
  int m_retryMs = FirstRetryMs;
  mutable std::mutex m_mutex;
  std::condition_variable m_wake;
  bool m_stop = false;
  std::mutex m_joinMutex;
  std::thread m_thread; // Last, so that it starts when all else exists.
};

Follower::Follower(const LogSettings &Settings, base::Ring<FollowerEvent> &Out,
                   base::Counters &Counters)
    : m_impl(std::make_unique<Impl>(Settings, Out, Counters)) {}

Follower::~Follower() { stop(); }

void Follower::stop() { m_impl->stop(); }

} // namespace pomelokeel::logclient
