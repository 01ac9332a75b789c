#include "standin/standin.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <stdexcept>

namespace pomelokeel::standin {

void Standin::start(const std::string &Listen) {
  http::ServerLimits Limits;
  Limits.m_maxConnections = 1000;
  Limits.m_maxBodyBytes = 4 * 1024 * 1024;
  Limits.m_idleTimeoutMs = 600 * 1000;
  Limits.m_responseTimeoutMs = 3600 * 1000;
  auto Started =
      http::Server::start(Listen, Limits, [this](auto R, auto Answer) {
        const std::lock_guard Lock(m_mutex);
        handle(R, std::move(Answer));
      });
  if (!Started)
    throw std::runtime_error(base::toString(Started.error()));
  m_server = std::move(Started.value());
  m_timerThread = std::thread([this] { runTimer(); });
}

void Standin::stop() {
  {
    const std::lock_guard Lock(m_mutex);
    m_stopRequested = true;
    m_wakeOrStop.notify_all();
  }
  if (m_timerThread.joinable())
    m_timerThread.join();
  if (m_server)
    m_server->stop(0);
}

void Standin::answerLater(http::Responder Answer, http::Response R,
                          Millis DelayMs) {
  if (DelayMs <= 0)
    return Answer(std::move(R));
  m_delayedAnswers.emplace(
      base::monotonicNow() + DelayMs,
      [Answer = std::move(Answer), R = std::move(R)] { Answer(R); });
  wake();
}

void Standin::wake() {
  m_wakeRequested = true;
  m_wakeOrStop.notify_all();
}

void Standin::runTimer() {
  std::unique_lock Lock(m_mutex);
  while (!m_stopRequested) {
    const Millis Now = base::monotonicNow();
    m_wakeRequested = false;
    Millis Due = tick(Now);
    while (!m_delayedAnswers.empty() &&
           m_delayedAnswers.begin()->first <= Now) {
      m_delayedAnswers.begin()->second();
      m_delayedAnswers.erase(m_delayedAnswers.begin());
    }
    if (!m_delayedAnswers.empty())
      Due = std::min(Due, m_delayedAnswers.begin()->first);
    const Millis Wait = std::clamp<Millis>(Due - Now, 0, 1000);
    m_wakeOrStop.wait_for(Lock, std::chrono::milliseconds(Wait),
                          [&] { return m_wakeRequested || m_stopRequested; });
  }
}

http::Response jsonResponse(const Json &Body) {
  return {200, base::dumpJson(Body)};
}

std::uint64_t unsignedQueryOf(const http::Request &R, const char *Name,
                              std::uint64_t DefaultValue) {
  const std::string Text = http::queryOf(R.m_target, Name);
  std::uint64_t Value = DefaultValue;
  std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return Value;
}

} // namespace pomelokeel::standin
