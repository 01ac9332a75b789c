#pragma once

#include "scenario/checker.h"
#include "scenario/fleet.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace pomelokeel::scenario {

/// The job that a caller submits, and how it submits it.
struct CallerOptions {
  std::string m_name;  ///< Also the idempotency key of the job.
  std::string m_entry; ///< Entry of the first call; empty for any.
  base::Json m_spec;
  bool m_idempotent = true;
  /// Whether the caller calls again after a retryable refusal. If not, it takes
  /// the refusal as the outcome notRun.
  bool m_retry = true;
  Millis m_timeoutMs = 60000; ///< After which it stops calling.
};

/// Submits one job on a thread of its own. While it knows no outcome it calls
/// the entries in turn with the same idempotency key.
class Caller {
public:
  Caller(const Fleet &F, CallerOptions Options);
  ~Caller();

  CallerView view() const;
  void stop();

private:
  void run();
  bool submitOnce(const std::string &Entry);
  void recordAnswer(const base::Json &Answer);
  void recordError(const base::Error &E);
  std::string nextEntry();

  const Fleet &m_fleet;
  CallerOptions m_options;
  mutable std::mutex m_mutex;
  CallerView m_view;
  std::size_t m_calls = 0;
  std::atomic<bool> m_stopping = false;
  std::thread m_thread;
};

} // namespace pomelokeel::scenario
