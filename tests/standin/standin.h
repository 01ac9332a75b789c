#pragma once

#include "base/clock.h"
#include "base/fields.h"
#include "http/http.h"

#include <condition_variable>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

/// Small stand-ins of the log service and of a worker, for tests.
namespace pomelokeel::standin {

using base::Json;
using base::Millis;

/// A due time that never comes.
constexpr Millis Never = std::numeric_limits<Millis>::max();

/// An HTTP server that answers with JSON. One mutex guards the whole state, and
/// a timer thread calls tick(). A derived class calls start() last in its
/// constructor and stop() first in its destructor, since requests and ticks
/// call its virtual functions.
class Standin {
public:
  virtual ~Standin() = default;

  /// Returns the `host:port` that the server listens on.
  std::string address() const { return m_server->address(); }

protected:
  /// Handles a request. Called with the mutex held.
  virtual void handle(const http::Request &R, http::Responder Answer) = 0;

  /// Does the work that is due at \p Now and returns the monotonic time of the
  /// next call, or Never. It may be called earlier than that. Called with the
  /// mutex held.
  virtual Millis tick(Millis Now) = 0;

  /// Throws std::runtime_error if the address cannot be bound.
  void start(const std::string &Listen);

  /// Stops the timer thread and the server.
  void stop();

  /// Sends \p R after \p DelayMs. The mutex must be held.
  void answerLater(http::Responder Answer, http::Response R, Millis DelayMs);

  /// Keeps the connection open without ever sending a response. The mutex must
  /// be held.
  void leaveUnanswered(http::Responder Answer) {
    m_unanswered.push_back(std::move(Answer));
  }

  /// Makes the timer thread call tick() at once. The mutex must be held.
  void wake();

  mutable std::mutex m_mutex;

private:
  void runTimer();

  /// Answers to send, by the monotonic time at which they are due.
  std::multimap<Millis, std::function<void()>> m_delayedAnswers;
  /// Kept alive so that their connections stay open.
  std::vector<http::Responder> m_unanswered;
  std::condition_variable m_wakeOrStop;
  bool m_wakeRequested = false;
  bool m_stopRequested = false;
  std::unique_ptr<http::Server> m_server;
  std::thread m_timerThread;
};

/// Returns a response with status 200 and \p Body.
http::Response jsonResponse(const Json &Body);

/// Returns the query parameter \p Name as an unsigned number, or
/// \p DefaultValue if it is missing or no number.
std::uint64_t unsignedQueryOf(const http::Request &R, const char *Name,
                              std::uint64_t DefaultValue);

} // namespace pomelokeel::standin
