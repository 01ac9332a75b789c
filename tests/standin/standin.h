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

/// Small stand-ins of the platform's services, for tests.
namespace pomelokeel::standin {

using base::Json;
using base::Millis;

constexpr Millis Never = std::numeric_limits<Millis>::max();

/// A JSON server with one lock and a timer thread. A derived class calls
/// start() last in its constructor and stop() first in its destructor.
class Standin {
public:
  virtual ~Standin() = default;

  /// The bound `host:port`.
  std::string address() const { return m_server->address(); }

protected:
  /// Handles a request. Called with the lock held.
  virtual void handle(const http::Request &R, http::Responder Answer) = 0;

  /// Does what is due at \p Now and returns when to be called next. Called with
  /// the lock held.
  virtual Millis tick(Millis Now) = 0;

  /// Throws std::runtime_error if the address cannot be bound.
  void start(const std::string &Listen);
  void stop();

  /// Answers after \p DelayMs. The lock must be held.
  void answerLater(http::Responder Answer, http::Response R, Millis DelayMs);

  /// Never answers; the connection stays open. The lock must be held.
  void hold(http::Responder Answer) { m_held.push_back(std::move(Answer)); }

  /// Makes the timer thread call tick(). The lock must be held.
  void wake();

  mutable std::mutex m_mutex;

private:
  void run();

  std::multimap<Millis, std::function<void()>> m_delayed;
  std::vector<http::Responder> m_held;
  std::condition_variable m_changed;
  bool m_wake = false;
  bool m_stop = false;
  std::unique_ptr<http::Server> m_server;
  std::thread m_thread;
};

/// A JSON response.
http::Response jsonResponse(const Json &Body);

/// The unsigned query parameter \p Name, or \p Default.
std::uint64_t numberOf(const http::Request &R, const char *Name,
                       std::uint64_t Default);

} // namespace pomelokeel::standin
