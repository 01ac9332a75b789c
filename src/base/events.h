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

/// One entry of the time line.
struct Event {
  std::uint64_t m_sequence = 0; ///< Position in the process's event ring.
  Stamp m_stamp;
  std::string m_process;
  std::string m_name;
  std::string m_job;
  std::string m_account;
  std::string m_worker;
  std::string m_detail; ///< key=value pairs.

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

/// The events of a process that are still held.
struct EventPage {
  std::string m_process;
  std::uint64_t m_overwritten = 0; ///< Events lost since the process started.
  std::vector<Event> m_events;

  static constexpr auto fields() {
    return std::tuple{required("process", &EventPage::m_process),
                      required("overwritten", &EventPage::m_overwritten),
                      required("events", &EventPage::m_events)};
  }
};

/// What an event is about. Empty fields are left out.
struct EventSubject {
  std::string m_job;
  std::string m_account;
  std::string m_worker;
};

/// Takes the line of an event and its name.
using LineSink =
    std::function<void(const std::string &Name, const std::string &Line)>;

/// Bounded ring of events of one process. Writes each event to the log as one
/// line of key=value pairs as well, by glog unless a sink is given.
/// Thread-safe if the sink is.
class EventLog {
public:
  EventLog(std::string Process, std::size_t Capacity, HybridClock &Clock,
           LineSink Sink = nullptr);

  void record(const std::string &Name, const EventSubject &Subject,
              const std::string &Detail = "");

  EventPage page() const;

private:
  mutable std::mutex m_mutex;
  std::string m_process;
  HybridClock &m_clock;
  boost::circular_buffer<Event> m_events;
  LineSink m_sink;
  std::uint64_t m_next = 0;
};

} // namespace pomelokeel::base
