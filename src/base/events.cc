#include "base/events.h"

#include <glog/logging.h>

#include <utility>

namespace pomelokeel::base {
namespace {

void appendPair(std::string &Line, const char *Key, const std::string &Value) {
  if (Value.empty())
    return;
  Line += ' ';
  Line += Key;
  Line += '=';
  Line += Value;
}

std::string logLine(const Event &E) {
  std::string Line = "event=" + E.m_name;
  appendPair(Line, "process", E.m_process);
  appendPair(Line, "job", E.m_job);
  appendPair(Line, "account", E.m_account);
  appendPair(Line, "worker", E.m_worker);
  if (!E.m_detail.empty())
    Line += ' ' + E.m_detail;
  return Line;
}

} // namespace

EventLog::EventLog(std::string Process, std::size_t Capacity,
                   HybridClock &Clock, LineSink Sink)
    : m_process(std::move(Process)), m_clock(Clock), m_events(Capacity),
      m_sink(std::move(Sink)) {}

void EventLog::record(const std::string &Name, const EventSubject &Subject,
                      const std::string &Detail) {
  Event E{0,
          m_clock.tick(),
          m_process,
          Name,
          Subject.m_job,
          Subject.m_account,
          Subject.m_worker,
          Detail};
  if (m_sink)
    m_sink(Name, logLine(E));
  else
    LOG(INFO) << logLine(E);
  const std::lock_guard Lock(m_mutex);
  E.m_sequence = m_nextSequence++;
  m_events.push_back(std::move(E));
}

EventPage EventLog::page() const {
  const std::lock_guard Lock(m_mutex);
  return {m_process,
          m_nextSequence - m_events.size(),
          {m_events.begin(), m_events.end()}};
}

} // namespace pomelokeel::base
