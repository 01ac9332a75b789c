#include "mesh/closer.h"

#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>
#include <utility>

namespace pomelokeel::mesh::detail {

// Shared with the detached thread, which may outlive the Closer.
struct Closer::State {
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::deque<std::function<void()>> m_queue;
  bool m_closing = false;
  bool m_stopping = false;
};

Closer::Closer() : m_state(std::make_shared<State>()) {
  std::thread([S = m_state] { run(S); }).detach();
}

Closer::~Closer() {
  const std::lock_guard Lock(m_state->m_mutex);
  m_state->m_stopping = true;
  m_state->m_changed.notify_all();
}

void Closer::run(const std::shared_ptr<State> &S) {
  std::unique_lock Lock(S->m_mutex);
  for (;;) {
    S->m_changed.wait(Lock,
                      [&] { return S->m_stopping || !S->m_queue.empty(); });
    if (S->m_queue.empty())
      return;
    std::function<void()> Close = std::move(S->m_queue.front());
    S->m_queue.pop_front();
    S->m_closing = true;
    Lock.unlock();
    Close();
    Close = nullptr;
    Lock.lock();
    S->m_closing = false;
    S->m_changed.notify_all();
  }
}

void Closer::add(std::function<void()> Close) {
  const std::lock_guard Lock(m_state->m_mutex);
  m_state->m_queue.push_back(std::move(Close));
  m_state->m_changed.notify_all();
}

bool Closer::finish(base::Millis TimeoutMs) {
  std::unique_lock Lock(m_state->m_mutex);
  return m_state->m_changed.wait_for(
      Lock, std::chrono::milliseconds(TimeoutMs),
      [&] { return m_state->m_queue.empty() && !m_state->m_closing; });
}

} // namespace pomelokeel::mesh::detail
