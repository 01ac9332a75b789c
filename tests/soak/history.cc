#include "soak/history.h"

#include <fmt/format.h>

#include <algorithm>

namespace pomelokeel::soak {
namespace {

/// Time from the acknowledgement of a cancel after which no task starts.
constexpr Millis CancelMs = 3000;
/// Time without disturbances after which bounds of time hold.
constexpr Millis ContactMs = 4000;
/// A request that was sent this long before its connection ended was read.
constexpr Millis LossSlackMs = 200;

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

void History::cancelAcknowledged(const std::string &Job) {
  m_jobs[Job].m_cancelAcknowledgedAt = base::bootNow();
  log("cancel-acknowledged " + Job);
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
  if (State == "failed" && J.m_failures < Attempts)
    violation(
        fmt::format("failed {}: only {} runs have failed", Job, J.m_failures));
  J.m_shownDone = J.m_shownDone || State == "done";
  J.m_ended =
      J.m_ended || State == "done" || State == "failed" || State == "cancelled";
}

History::Run *History::findRun(const std::string &Worker,
                               const std::string &Task, int Number) {
  auto &Runs = m_runs[Task];
  const auto It =
      std::find_if(Runs.rbegin(), Runs.rend(), [&](const struct Run &R) {
        return R.m_worker == Worker && R.m_number == Number;
      });
  return It == Runs.rend() ? nullptr : &*It;
}

// An end that is acknowledged after the start counts too, so this runs after
// each start and each acknowledgement.
void History::checkStarts(const std::string &Task) {
  auto &Runs = m_runs[Task];
  for (struct Run &Start : Runs) {
    if (Start.m_reported)
      continue;
    int Failures = 0;
    const struct Run *Done = nullptr;
    for (const struct Run &End : Runs) {
      if (!End.m_endAcknowledged || End.m_endOrder > Start.m_startOrder)
        continue;
      Failures += End.m_endKind == "failed" ? 1 : 0;
      Done = End.m_endKind == "done" ? &End : Done;
    }
    Start.m_reported = Done != nullptr || Failures >= Attempts;
    if (Done != nullptr)
      violation(fmt::format("twice {}: run {} started on {} after run {} had "
                            "ended as done on {}, and that end was "
                            "acknowledged",
                            Task, Start.m_number, Start.m_worker,
                            Done->m_number, Done->m_worker));
    else if (Failures >= Attempts)
      violation(fmt::format("budget {}: run {} started on {} after {} "
                            "acknowledged failures",
                            Task, Start.m_number, Start.m_worker, Failures));
  }
}

// An order can be older than the cancel only if the agent has run since before
// and was not told of the cancel in time.
void History::checkStartOfCancelledJob(const std::string &Worker,
                                       const std::string &Task, const Job &J) {
  const Millis Now = base::bootNow();
  if (J.m_cancelAcknowledgedAt < 0 ||
      Now <= J.m_cancelAcknowledgedAt + CancelMs)
    return;
  const Agent &A = m_agents[Worker.substr(0, Worker.find('.'))];
  const bool Calm =
      Now - std::max(A.m_disturbedAt, m_storeDisturbedAt) >= ContactMs;
  if (Calm || A.m_startedAt > J.m_cancelAcknowledgedAt)
    violation(fmt::format("cancelled {}: started on {} {} ms after the cancel "
                          "of its job was acknowledged",
                          Task, Worker, Now - J.m_cancelAcknowledgedAt));
}

// The bound holds while the machines are in contact with the store. An order
// that the worker had received in time may be carried out later.
void History::checkStartInEvacuation(const std::string &Worker,
                                     const std::string &DataCentre,
                                     const std::string &Task, Millis LateMs) {
  const auto It = m_evacuatedSince.find(DataCentre);
  if (It == m_evacuatedSince.end())
    return;
  const Millis Now = base::bootNow();
  const Millis Since = std::max(It->second, m_storeDisturbedAt + ContactMs);
  if (Now - LateMs > Since + EvacuationMs)
    violation(fmt::format("evacuated {}: started on {} in {} {} ms after the "
                          "operator's record was acknowledged",
                          Task, Worker, DataCentre, Now - It->second));
}

void History::drainAcknowledged(const std::string &Worker) {
  m_drainAcknowledgedAt[Worker] = base::bootNow();
  log("drain-acknowledged " + Worker);
}

void History::checkStartWhileDraining(const std::string &Worker,
                                      const std::string &Task, Millis LateMs) {
  const auto It = m_drainAcknowledgedAt.find(Worker);
  const Millis Now = base::bootNow();
  if (It == m_drainAcknowledgedAt.end() ||
      Now - LateMs <= It->second + DrainMs ||
      Now - m_agents[Worker.substr(0, Worker.find('.'))].m_disturbedAt <
          ContactMs)
    return;
  violation(fmt::format("drain {}: started on {} {} ms after its draining was "
                        "acknowledged",
                        Task, Worker, Now - It->second));
}

void History::evacuationBegun(const std::string &DataCentre) {
  m_evacuatedSince[DataCentre] = base::bootNow();
  log("evacuation of " + DataCentre + " begins");
}

void History::evacuationEnded(const std::string &DataCentre) {
  m_evacuatedSince.erase(DataCentre);
  log("evacuation of " + DataCentre + " ends");
}

void History::runStarted(const std::string &Worker,
                         const std::string &DataCentre, const std::string &Task,
                         int Run, Millis LateMs) {
  ++m_starts;
  log(fmt::format("start {} run={} worker={}{}", Task, Run, Worker,
                  LateMs > 0 ? " late" : ""));
  checkStartInEvacuation(Worker, DataCentre, Task, LateMs);
  checkStartWhileDraining(Worker, Task, LateMs);
  struct Run New;
  New.m_worker = Worker;
  New.m_number = Run;
  New.m_startOrder = m_starts + m_ends;
  m_runs[Task].push_back(New);
  const auto It = m_jobs.find(jobOf(Task));
  if (It == m_jobs.end())
    return violation("unasked " + Task +
                     ": started, but no caller submitted its job");
  Job &J = It->second;
  J.m_started = true;
  if (J.m_notRefused == 0 && !J.m_accepted)
    violation("refused " + Task +
              ": started although every submission of its job was refused");
  checkStarts(Task);
  if (J.m_shownDone)
    violation("twice " + Task + ": started after its job was shown as done");
  if (LateMs == 0)
    checkStartOfCancelledJob(Worker, Task, J);
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
  ++m_ends;
  if (struct Run *R = findRun(Worker, Task, Run)) {
    R->m_endKind = EndKind;
    R->m_endOrder = m_starts + m_ends;
  }
  if (EndKind == "done")
    m_done[jobOf(Task)].insert(Task);
  if (EndKind == "failed")
    ++m_jobs[jobOf(Task)].m_failures;
}

void History::endAcknowledged(const std::string &Worker,
                              const std::string &Task, int Run,
                              bool LeaseLapsed) {
  log(fmt::format("end-acknowledged {} run={} worker={}{}", Task, Run, Worker,
                  LeaseLapsed ? " after the lease" : ""));
  struct Run *R = findRun(Worker, Task, Run);
  if (R == nullptr || LeaseLapsed)
    return;
  R->m_endAcknowledged = true;
  checkStarts(Task);
}

void History::agentStarted(const std::string &Worker) {
  m_agents[Worker].m_startedAt = base::bootNow();
}

void History::agentDisturbed(const std::string &Worker) {
  m_agents[Worker].m_disturbedAt = base::bootNow();
}

void History::storeDisturbed() { m_storeDisturbedAt = base::bootNow(); }

void History::requestCut(const std::string &Entry, Millis SentAt) {
  const Millis Now = base::bootNow();
  log(fmt::format("cut by {} after {} ms", Entry, Now - SentAt));
  if (Now - SentAt > LossSlackMs && SentAt - m_unplannedAt >= ContactMs)
    violation(fmt::format("lost: {} cut a request that was sent {} ms before",
                          Entry, Now - SentAt));
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
