#pragma once

#include "scenario/checker.h"
#include "scenario/fleet.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace pomelokeel::scenario {

/// What a caller submits and how it behaves.
struct CallerPlan {
  std::string m_name;  ///< Also the idempotency key.
  std::string m_entry; ///< Entry to try first; empty for any.
  base::Json m_spec;
  bool m_idempotent = true;
  bool m_retry = true; ///< Repeats at other entries with the same key.
  Millis m_timeoutMs = 60000;
};

/// A caller on a thread of its own: submits once, repeats with the same key
/// while it has no answer, and records what it is told.
class Caller {
public:
  Caller(const Fleet &F, CallerPlan Plan);
  ~Caller();

  CallerView view() const;
  void stop();

private:
  void run();
  bool attempt(const std::string &Entry);
  void readAnswer(const base::Json &Answer);
  void readRefusal(const base::Error &E);
  std::string nextEntry();

  const Fleet &m_fleet;
  CallerPlan m_plan;
  mutable std::mutex m_mutex;
  CallerView m_view;
  std::size_t m_tries = 0;
  std::atomic<bool> m_stopping = false;
  std::thread m_thread;
};

} // namespace pomelokeel::scenario
