#include "logclient/logclient.h"

#include <glog/logging.h>

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <utility>

namespace pomelokeel::logclient {
namespace {

using base::ErrorKind;

constexpr int ProbeIntervalMs = 250;
// Pauses before an append over the log's append limit is repeated.
constexpr int FirstPauseMs = 20;
constexpr int LongestPauseMs = 200;
constexpr std::string_view BodyBegin = "{\"records\":[";
constexpr std::string_view BodyEnd = "]}";

// One submission. The bytes include a separator for each value, and are over
// the limit if a value is nested too deeply.
struct Item {
  std::string m_stream;
  std::vector<std::string> m_values;
  std::size_t m_bytes = 0;
  Writer::Done m_onDone;
};

// Submissions of one stream that go into one append.
struct Group {
  std::vector<Item> m_items;
  std::size_t m_values = 0;
  std::size_t m_bytes = BodyBegin.size() + BodyEnd.size();

  bool fits(const Item &I) const {
    return m_values + I.m_values.size() <= MaxAppendValues &&
           m_bytes + I.m_bytes <= MaxAppendBytes;
  }

  void add(Item I) {
    m_values += I.m_values.size();
    m_bytes += I.m_bytes;
    m_items.push_back(std::move(I));
  }

  std::string body() const {
    std::string Out(BodyBegin);
    Out.reserve(m_bytes);
    for (const Item &I : m_items) {
      for (const std::string &Value : I.m_values) {
        if (Out.size() > BodyBegin.size())
          Out += ',';
        Out += Value;
      }
    }
    return Out.append(BodyEnd);
  }

  void finish(AppendOutcome Outcome) const {
    for (const Item &I : m_items) {
      I.m_onDone(Outcome);
      if (Outcome.m_fate == AppendFate::Done)
        Outcome.m_first += I.m_values.size();
    }
  }
};

} // namespace

struct Writer::Impl {
  Impl(const LogSettings &Settings, std::size_t Capacity,
       base::Counters &Counters)
      : m_settings(Settings), m_capacity(Capacity), m_client(Settings),
        m_probeClient(Settings), m_appends(Counters.get("log_appends")),
        m_values(Counters.get("log_append_values")),
        m_unconfirmed(Counters.get("log_appends_unconfirmed")),
        m_refused(Counters.get("log_appends_without_effect")),
        m_bytesSent(Counters.get("log_writer_bytes_sent")),
        m_bytesReceived(Counters.get("log_writer_bytes_received")) {
    m_sender = std::thread([this] { sendLoop(); });
    m_prober = std::thread([this] { probeLoop(); });
  }

  bool submit(Item I) {
    {
      const std::lock_guard Lock(m_mutex);
      if (m_stopping || m_queue.size() >= m_capacity)
        return false;
      m_queue.push_back(std::move(I));
    }
    m_changed.notify_all();
    return true;
  }

  void sendLoop() {
    std::unique_lock Lock(m_mutex);
    for (;;) {
      m_changed.wait(Lock, [&] { return m_stopping || !m_queue.empty(); });
      if (m_queue.empty())
        break;
      Group G;
      if (!m_available || m_abandon) {
        for (Item &I : m_queue)
          G.m_items.push_back(std::move(I));
        m_queue.clear();
        Lock.unlock();
        refuse(G, ErrorKind::LogUnavailable, "the log service is unavailable");
      } else if (gather(G); G.m_items.empty()) {
        G.m_items.push_back(std::move(m_queue.front()));
        m_queue.pop_front();
        Lock.unlock();
        refuse(G, ErrorKind::TooLarge, "over the limits of one append");
      } else {
        send(G, Lock);
        Lock.unlock();
      }
      m_bytesSent = static_cast<std::int64_t>(m_client.bytesSent());
      m_bytesReceived = static_cast<std::int64_t>(m_client.bytesReceived());
      Lock.lock();
    }
    m_sendDone = true;
    m_changed.notify_all();
  }

  void refuse(const Group &G, ErrorKind Kind, const char *Message) {
    m_refused += static_cast<std::int64_t>(G.m_items.size());
    G.finish({AppendFate::NoEffect, 0, {Kind, Message}});
  }

  // Moves waiting items of the first one's stream into G while they fit.
  // Called with the lock held.
  void gather(Group &G) {
    if (m_queue.empty())
      return;
    const std::string Stream = G.m_items.empty() ? m_queue.front().m_stream
                                                 : G.m_items.front().m_stream;
    std::deque<Item> Rest;
    bool Full = false;
    for (Item &I : m_queue) {
      const bool Mine = I.m_stream == Stream;
      Full = Full || (Mine && !G.fits(I));
      if (Mine && !Full)
        G.add(std::move(I));
      else
        Rest.push_back(std::move(I));
    }
    m_queue.swap(Rest);
  }

  // Appends G. While the log answers that its limit is exceeded, waits and
  // tries again with what was submitted meanwhile. Returns with the lock held.
  void send(Group &G, std::unique_lock<std::mutex> &Lock) {
    const Millis Deadline = base::monotonicNow() + m_settings.m_timeoutMs;
    int PauseMs = FirstPauseMs;
    AppendOutcome Outcome;
    for (;;) {
      Lock.unlock();
      Outcome = m_client.appendEncoded(G.m_items.front().m_stream, G.body());
      Lock.lock();
      const bool Throttled = Outcome.m_fate == AppendFate::NoEffect &&
                             Outcome.m_error.m_kind == ErrorKind::Overloaded;
      m_available = Throttled || Outcome.m_fate == AppendFate::Done;
      if (!Throttled || m_abandon || base::monotonicNow() + PauseMs > Deadline)
        break;
      m_changed.wait_for(Lock, std::chrono::milliseconds(PauseMs),
                         [&] { return m_abandon; });
      PauseMs = std::min(2 * PauseMs, LongestPauseMs);
      gather(G);
    }
    m_changed.notify_all();
    Lock.unlock();
    report(G, Outcome);
    Lock.lock();
  }

  void report(const Group &G, const AppendOutcome &Outcome) {
    if (Outcome.m_fate == AppendFate::Done) {
      ++m_appends;
      m_values += static_cast<std::int64_t>(G.m_values);
    } else {
      ++(Outcome.m_fate == AppendFate::NoEffect ? m_refused : m_unconfirmed);
      LOG(WARNING) << "event=appendFailed stream=" << G.m_items.front().m_stream
                   << " values=" << G.m_values << " error=\""
                   << base::toString(Outcome.m_error) << "\"";
    }
    G.finish(Outcome);
  }

  // A thread of its own, so that submissions are refused at once while a probe
  // waits for an answer.
  void probeLoop() {
    std::unique_lock Lock(m_mutex);
    while (!m_stopping) {
      m_changed.wait(Lock, [&] { return m_stopping || !m_available; });
      if (m_stopping)
        return;
      Lock.unlock();
      const bool Answered = m_probeClient.range("records").ok();
      Lock.lock();
      if (Answered) {
        m_available = true;
        LOG(INFO) << "event=logAvailable";
        continue;
      }
      m_changed.wait_for(Lock, std::chrono::milliseconds(ProbeIntervalMs),
                         [&] { return m_stopping; });
    }
  }

  void stop(int GraceMs) {
    {
      std::unique_lock Lock(m_mutex);
      m_stopping = true;
      m_changed.notify_all();
      m_probeClient.cancel();
      if (!m_changed.wait_for(Lock, std::chrono::milliseconds(GraceMs),
                              [&] { return m_sendDone; })) {
        m_abandon = true;
        m_client.cancel();
        m_changed.notify_all();
      }
    }
    const std::lock_guard Joining(m_joinMutex);
    if (m_sender.joinable())
      m_sender.join();
    if (m_prober.joinable())
      m_prober.join();
  }

  const LogSettings m_settings;
  const std::size_t m_capacity;
  LogClient m_client;
  LogClient m_probeClient;
  base::Counter &m_appends;
  base::Counter &m_values;
  base::Counter &m_unconfirmed;
  base::Counter &m_refused;
  base::Counter &m_bytesSent;
  base::Counter &m_bytesReceived;

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::deque<Item> m_queue;
  std::atomic<bool> m_available = true; // Changed with the lock held.
  bool m_stopping = false;
  bool m_abandon = false; // The grace time of stop() is over.
  bool m_sendDone = false;
  std::mutex m_joinMutex;
  std::thread m_sender;
  std::thread m_prober;
};

Writer::Writer(const LogSettings &Settings, std::size_t Capacity,
               base::Counters &Counters)
    : m_impl(std::make_unique<Impl>(Settings, Capacity, Counters)) {}

Writer::~Writer() { stop(0); }

bool Writer::submit(std::string Stream, const std::vector<Json> &Values,
                    Done OnDone) {
  Item I{std::move(Stream), {}, 0, std::move(OnDone)};
  for (const Json &Value : Values) {
    const bool Fits = !base::nestedDeeperThan(Value, base::MaxRecordNesting);
    I.m_values.push_back(Fits ? base::dumpJson(Value) : "");
    I.m_bytes += Fits ? I.m_values.back().size() + 1 : MaxAppendBytes;
  }
  return m_impl->submit(std::move(I));
}

bool Writer::available() const { return m_impl->m_available; }

void Writer::stop(int GraceMs) { m_impl->stop(GraceMs); }

} // namespace pomelokeel::logclient
