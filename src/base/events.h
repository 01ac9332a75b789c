#pragma once

#include "base/clock.h"
#include "base/fields.h"

#include <boost/circular_buffer.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace pomelokeel::base {

/// Something that happened to a job, an account, a worker or the process
/// itself. The events of all processes, ordered by stamp, form the timeline.
struct Event {
  std::uint64_t m_sequence = 0; ///< Number of the event in its process, from 0.
  Stamp m_stamp;
  std::string m_process;
  std::string m_name;
  std::string m_job;
  std::string m_account;
  std::string m_worker;
  std::string m_detail; ///< Further key=value pairs, separated by spaces.

  static constexpr auto fields() {
    return std::tuple{required("sequence", &Event::m_sequence),
                      required("stamp", &Event::m_stamp),
                      required("process", &Event::m_process),
                      required("name", &Event::m_name),
                      optional("job", &Event::m_job),
                      optional("account", &Event::m_account),
                      optional("worker", &Event::m_worker),
                      optional("detail", &Event::m_detail)};
  }
};

/// The events that the EventLog of a process still holds, oldest first.
struct EventPage {
  std::string m_process;
  std::uint64_t m_overwritten = 0; ///< Number of older events that are no
                                   ///< longer held.
  std::vector<Event> m_events;

  static constexpr auto fields() {
    return std::tuple{required("process", &EventPage::m_process),
                      required("overwritten", &EventPage::m_overwritten),
                      required("events", &EventPage::m_events)};
  }
};

/// The job, account and worker that an event concerns. Empty fields are omitted
/// from the log line.
struct EventSubject {
  std::string m_job;
  std::string m_account;
  std::string m_worker;
};

/// Receives the name of an event and its log line.
using LineSink =
    std::function<void(const std::string &Name, const std::string &Line)>;

/// Keeps the latest events of a process in a ring buffer and writes each event
/// as a log line of key=value pairs to the sink or, without one, to glog.
/// Thread-safe if the sink is.
class EventLog {
public:
  /// Keeps the latest \p Capacity events and takes their stamps from \p Clock,
  /// which must outlive the EventLog.
  EventLog(std::string Process, std::size_t Capacity, HybridClock &Clock,
           LineSink Sink = nullptr);

  /// Stamps, logs and keeps an event. \p Detail holds further key=value pairs.
  void record(const std::string &Name, const EventSubject &Subject,
              const std::string &Detail = "");

  /// Returns a copy of the events held.
  EventPage page() const;

private:
  mutable std::mutex m_mutex;
  std::string m_process;
  HybridClock &m_clock;
  boost::circular_buffer<Event> m_events;
  LineSink m_sink;
  std::uint64_t m_nextSequence = 0;
};

} // namespace pomelokeel::base
