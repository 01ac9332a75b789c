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
// Delays before an append over the log service's rate limit is retried.
constexpr int FirstRetryDelayMs = 20;
constexpr int MaxRetryDelayMs = 200;
constexpr std::string_view BodyBegin = "{\"records\":[";
constexpr std::string_view BodyEnd = "]}";

// The values of one submit() call, encoded. m_bytes includes a separator for
// each value. A value that is nested too deeply counts as MaxAppendBytes, so
// that the submission fits into no append.
struct Submission {
  std::string m_stream;
  std::vector<std::string> m_values;
  std::size_t m_bytes = 0;
  Writer::Callback m_onDone;
};

// Submissions of one stream that go into one append.
struct Group {
  std::vector<Submission> m_submissions;
  std::size_t m_values = 0;
  std::size_t m_bytes = BodyBegin.size() + BodyEnd.size();

  bool fits(const Submission &S) const {
    return m_values + S.m_values.size() <= MaxAppendValues &&
           m_bytes + S.m_bytes <= MaxAppendBytes;
  }

  void add(Submission S) {
    m_values += S.m_values.size();
    m_bytes += S.m_bytes;
    m_submissions.push_back(std::move(S));
  }

  std::string body() const {
    std::string Out(BodyBegin);
    Out.reserve(m_bytes);
    for (const Submission &S : m_submissions) {
      for (const std::string &Value : S.m_values) {
        if (Out.size() > BodyBegin.size())
          Out += ',';
        Out += Value;
      }
    }
    return Out.append(BodyEnd);
  }

  // Calls the callback of each submission with the offset of its first value.
  void notify(AppendOutcome Outcome) const {
    for (const Submission &S : m_submissions) {
      S.m_onDone(Outcome);
      if (Outcome.m_fate == AppendFate::Done)
        Outcome.m_first += S.m_values.size();
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

  bool submit(Submission S) {
    {
      const std::lock_guard Lock(m_mutex);
      if (m_stopping || m_queue.size() >= m_capacity)
        return false;
      m_queue.push_back(std::move(S));
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
      if (!m_available || m_graceExpired) {
        for (Submission &S : m_queue)
          G.m_submissions.push_back(std::move(S));
        m_queue.clear();
        Lock.unlock();
        refuse(G, ErrorKind::LogUnavailable, "the log service is unavailable");
      } else if (addQueued(G); G.m_submissions.empty()) {
        G.m_submissions.push_back(std::move(m_queue.front()));
        m_queue.pop_front();
        Lock.unlock();
        refuse(G, ErrorKind::TooLarge,
               "the values exceed the limits of one append");
      } else {
        send(G, Lock);
        Lock.unlock();
      }
      m_bytesSent = static_cast<std::int64_t>(m_client.bytesSent());
      m_bytesReceived = static_cast<std::int64_t>(m_client.bytesReceived());
      Lock.lock();
    }
    m_senderDone = true;
    m_changed.notify_all();
  }

  void refuse(const Group &G, ErrorKind Kind, const char *Message) {
    m_refused += static_cast<std::int64_t>(G.m_submissions.size());
    G.notify({AppendFate::NoEffect, 0, {Kind, Message}});
  }

  // Moves queued submissions to G's stream into G, in order, up to the first
  // that does not fit. An empty G takes the stream of the first in the queue.
  // Needs m_mutex.
  void addQueued(Group &G) {
    if (m_queue.empty())
      return;
    const std::string Stream = G.m_submissions.empty()
                                   ? m_queue.front().m_stream
                                   : G.m_submissions.front().m_stream;
    std::deque<Submission> Rest;
    bool Full = false;
    for (Submission &S : m_queue) {
      const bool SameStream = S.m_stream == Stream;
      Full = Full || (SameStream && !G.fits(S));
      if (SameStream && !Full)
        G.add(std::move(S));
      else
        Rest.push_back(std::move(S));
    }
    m_queue.swap(Rest);
  }

  // Appends G. While the log service's rate limit is exceeded, waits and
  // retries together with the values submitted meanwhile. Releases Lock during
  // the calls and returns with it held.
  void send(Group &G, std::unique_lock<std::mutex> &Lock) {
    const Millis Deadline = base::monotonicNow() + m_settings.m_timeoutMs;
    int RetryDelayMs = FirstRetryDelayMs;
    AppendOutcome Outcome;
    for (;;) {
      Lock.unlock();
      Outcome =
          m_client.appendEncoded(G.m_submissions.front().m_stream, G.body());
      Lock.lock();
      const bool Throttled = Outcome.m_fate == AppendFate::NoEffect &&
                             Outcome.m_error.m_kind == ErrorKind::Overloaded;
      m_available = Throttled || Outcome.m_fate == AppendFate::Done;
      if (!Throttled || m_graceExpired ||
          base::monotonicNow() + RetryDelayMs > Deadline)
        break;
      m_changed.wait_for(Lock, std::chrono::milliseconds(RetryDelayMs),
                         [&] { return m_graceExpired; });
      RetryDelayMs = std::min(2 * RetryDelayMs, MaxRetryDelayMs);
      addQueued(G);
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
      LOG(WARNING) << "event=appendFailed stream="
                   << G.m_submissions.front().m_stream
                   << " values=" << G.m_values << " error=\""
                   << base::toString(Outcome.m_error) << "\"";
    }
    G.notify(Outcome);
  }

  // Runs on a separate thread, so that the sender can refuse submissions at
  // once while a probe waits for its answer.
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
                              [&] { return m_senderDone; })) {
        m_graceExpired = true;
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
  std::deque<Submission> m_queue;
  std::atomic<bool> m_available = true; // Changed with the lock held.
  bool m_stopping = false;
  bool m_graceExpired = false; // Set by stop().
  bool m_senderDone = false;
  std::mutex m_joinMutex;
  std::thread m_sender;
  std::thread m_prober;
};

Writer::Writer(const LogSettings &Settings, std::size_t Capacity,
               base::Counters &Counters)
    : m_impl(std::make_unique<Impl>(Settings, Capacity, Counters)) {}

Writer::~Writer() { stop(0); }

bool Writer::submit(std::string Stream, const std::vector<Json> &Values,
                    Callback OnDone) {
  Submission S{std::move(Stream), {}, 0, std::move(OnDone)};
  for (const Json &Value : Values) {
    const bool Fits = !base::nestedDeeperThan(Value, base::MaxRecordNesting);
    S.m_values.push_back(Fits ? base::dumpJson(Value) : "");
    S.m_bytes += Fits ? S.m_values.back().size() + 1 : MaxAppendBytes;
  }
  return m_impl->submit(std::move(S));
}

bool Writer::available() const { return m_impl->m_available; }

void Writer::stop(int GraceMs) { m_impl->stop(GraceMs); }

} // namespace pomelokeel::logclient
