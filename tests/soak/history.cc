#include "soak/history.h"

#include <fmt/format.h>

namespace pomelokeel::soak {
namespace {

std::string jobOf(const std::string &Task) {
  return Task.substr(0, Task.find('.'));
}

} // namespace

void History::violation(const std::string &Text) {
  m_violations.push_back(Text);
  m_log("VIOLATION " + Text);
}

void History::attempted(const std::string &Job) { ++m_jobs[Job].m_open; }

void History::accepted(const std::string &Job) {
  m_jobs[Job].m_accepted = true;
  line("accepted " + Job);
}

void History::refused(const std::string &Job) {
  struct Job &J = m_jobs[Job];
  --J.m_open;
  line("refused " + Job);
  if (J.m_open == 0 && J.m_started && !J.m_accepted)
    violation("refused " + Job + ": it was told not run, and had run");
}

void History::cancelAcknowledged(const std::string &Job) {
  m_jobs[Job].m_cancelled = true;
  line("cancelled " + Job);
}

void History::shown(const std::string &Job, const std::string &State,
                    int Tasks) {
  struct Job &J = m_jobs[Job];
  line("shown " + Job + " " + State);
  if (State == "gone" && J.m_accepted)
    violation("gone " + Job + ": an accepted job is not known");
  if (State == "cancelled" && !J.m_cancelled)
    violation("cancelled " + Job + ": nobody has asked for it");
  if (State == "done" && static_cast<int>(m_done[Job].size()) < Tasks)
    violation(fmt::format("done {}: {} of {} tasks have ended done", Job,
                          m_done[Job].size(), Tasks));
  if (State == "failed" && J.m_failures == 0)
    violation("failed " + Job + ": no run has failed");
  J.m_over =
      J.m_over || State == "done" || State == "failed" || State == "cancelled";
}

void History::started(const std::string &Worker, const std::string &Task,
                      int Run) {
  ++m_starts;
  line(fmt::format("start {} run={} worker={}", Task, Run, Worker));
  const auto It = m_jobs.find(jobOf(Task));
  if (It == m_jobs.end())
    return violation("unasked " + Task + ": nobody has submitted it");
  Job &J = It->second;
  J.m_started = true;
  if (J.m_open == 0 && !J.m_accepted)
    violation("refused " + Task +
              ": it starts, and its caller was told not run");
  if (m_notedDone.contains(Task))
    violation("twice " + Task + ": it starts after its end was noted");
  for (const auto &[Other, OtherRun] : m_running[Task])
    violation(fmt::format("twice {}: run {} on {} beside run {} on {}", Task,
                          Run, Worker, OtherRun, Other));
  m_running[Task][Worker] = Run;
}

void History::ended(const std::string &Worker, const std::string &Task, int Run,
                    const std::string &How) {
  line(fmt::format("end {} run={} worker={} how={}", Task, Run, Worker, How));
  m_running[Task].erase(Worker);
  if (How == "done")
    m_done[jobOf(Task)].insert(Task);
  if (How == "failed")
    ++m_jobs[jobOf(Task)].m_failures;
}

void History::noted(const std::string &Task, const std::string &How) {
  if (How == "done")
    m_notedDone.insert(Task);
}

void History::overCapacity(const std::string &Worker, const std::string &Task) {
  violation(fmt::format("limit {}: {} has no room for it", Task, Worker));
}

void History::unfinished(std::size_t Count) {
  violation(std::to_string(Count) + " jobs have no outcome in time");
}

void History::checkQuiet() {
  for (const auto &[Task, Workers] : m_running) {
    const auto It = m_jobs.find(jobOf(Task));
    if (!Workers.empty() && It != m_jobs.end() && It->second.m_over)
      violation("running " + Task + ": its job has ended");
  }
}

} // namespace pomelokeel::soak
