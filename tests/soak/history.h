#pragma once

#include "base/clock.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace pomelokeel::soak {

using base::Millis;

/// What callers and workers have seen, checked while it is recorded. Every line
/// goes to \p Log; violations are kept as well.
class History {
public:
  explicit History(std::function<void(const std::string &)> Log)
      : m_log(std::move(Log)) {}

  void attempted(const std::string &Job);
  void accepted(const std::string &Job);
  /// The caller was told that this attempt has not run.
  void refused(const std::string &Job);
  void cancelAcknowledged(const std::string &Job);
  void shown(const std::string &Job, const std::string &State, int Tasks);

  void started(const std::string &Worker, const std::string &Task, int Run);
  void ended(const std::string &Worker, const std::string &Task, int Run,
             const std::string &How);
  /// The worker was told that the end may be forgotten.
  void noted(const std::string &Task, const std::string &How);
  void overCapacity(const std::string &Worker, const std::string &Task);

  /// \p Count accepted jobs have not ended in time.
  void unfinished(std::size_t Count);
  /// After all faults: nothing of an ended job runs any more.
  void checkQuiet();

  void line(const std::string &Text) { m_log(Text); }
  const std::vector<std::string> &violations() const { return m_violations; }
  std::size_t starts() const { return m_starts; }

private:
  struct Job {
    int m_open = 0; ///< Attempts without an answer that tells their outcome.
    bool m_accepted = false;
    bool m_cancelled = false;
    bool m_started = false;
    bool m_over = false; ///< Shown as ended.
    int m_failures = 0;
  };

  void violation(const std::string &Text);

  std::function<void(const std::string &)> m_log;
  std::vector<std::string> m_violations;
  std::map<std::string, Job> m_jobs;
  /// Workers that run a task, with the run.
  std::map<std::string, std::map<std::string, int>> m_running;
  std::set<std::string> m_notedDone;                   ///< Tasks.
  std::map<std::string, std::set<std::string>> m_done; ///< Tasks by job.
  std::size_t m_starts = 0;
};

} // namespace pomelokeel::soak
