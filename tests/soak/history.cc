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

void History::submitted(const std::string &Job) { ++m_jobs[Job].m_notRefused; }

void History::accepted(const std::string &Job) {
  m_jobs[Job].m_accepted = true;
  log("accepted " + Job);
}

void History::refused(const std::string &Job) {
  struct Job &J = m_jobs[Job];
  --J.m_notRefused;
  log("refused " + Job);
  if (J.m_notRefused == 0 && J.m_started && !J.m_accepted)
    violation("refused " + Job +
              ": a task had started although every submission was refused");
}

void History::cancelRequested(const std::string &Job) {
  m_jobs[Job].m_cancelled = true;
  log("cancelled " + Job);
}

void History::stateShown(const std::string &Job, const std::string &State,
                         int Tasks) {
  struct Job &J = m_jobs[Job];
  log("shown " + Job + " " + State);
  if (State == "gone" && J.m_accepted)
    violation("gone " + Job + ": an entry does not know this accepted job");
  if (State == "cancelled" && !J.m_cancelled)
    violation("cancelled " + Job + ": no caller asked for its cancellation");
  if (State == "done" && static_cast<int>(m_done[Job].size()) < Tasks)
    violation(fmt::format("done {}: only {} of {} tasks are done", Job,
                          m_done[Job].size(), Tasks));
  if (State == "failed" && J.m_failures == 0)
    violation("failed " + Job + ": no run has failed");
  J.m_ended =
      J.m_ended || State == "done" || State == "failed" || State == "cancelled";
}

void History::runStarted(const std::string &Worker, const std::string &Task,
                         int Run) {
  ++m_starts;
  log(fmt::format("start {} run={} worker={}", Task, Run, Worker));
  const auto It = m_jobs.find(jobOf(Task));
  if (It == m_jobs.end())
    return violation("unasked " + Task +
                     ": started, but no caller submitted its job");
  Job &J = It->second;
  J.m_started = true;
  if (J.m_notRefused == 0 && !J.m_accepted)
    violation("refused " + Task +
              ": started although every submission of its job was refused");
  if (m_acknowledgedDone.contains(Task))
    violation("twice " + Task + ": started after its end was acknowledged");
  for (const auto &[Other, OtherRun] : m_running[Task])
    violation(fmt::format("twice {}: run {} started on {} during run {} on {}",
                          Task, Run, Worker, OtherRun, Other));
  m_running[Task][Worker] = Run;
}

void History::runEnded(const std::string &Worker, const std::string &Task,
                       int Run, const std::string &EndKind) {
  log(fmt::format("end {} run={} worker={} how={}", Task, Run, Worker,
                  EndKind));
  m_running[Task].erase(Worker);
  if (EndKind == "done")
    m_done[jobOf(Task)].insert(Task);
  if (EndKind == "failed")
    ++m_jobs[jobOf(Task)].m_failures;
}

void History::endAcknowledged(const std::string &Task,
                              const std::string &EndKind) {
  if (EndKind == "done")
    m_acknowledgedDone.insert(Task);
}

void History::overCapacity(const std::string &Worker, const std::string &Task) {
  violation(
      fmt::format("limit {}: started beyond the capacity of {}", Task, Worker));
}

void History::notEndedInTime(std::size_t Count) {
  violation(std::to_string(Count) + " jobs have not ended in time");
}

void History::checkNoRunsOfEndedJobs() {
  for (const auto &[Task, Workers] : m_running) {
    const auto It = m_jobs.find(jobOf(Task));
    if (!Workers.empty() && It != m_jobs.end() && It->second.m_ended)
      violation("running " + Task + ": still runs although its job has ended");
  }
}

} // namespace pomelokeel::soak
