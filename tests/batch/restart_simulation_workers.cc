#include "restart_simulation.h"

#include <fmt/format.h>

#include <algorithm>

namespace pomelokeel::batch::tests {
namespace {

constexpr Millis MaxLeaseMs = 6000;
constexpr Millis MaxStopMs = 300;

} // namespace

Millis RestartSimulation::clockOf(const Worker &W) const {
  return m_now - W.m_bornAt + 1;
}

const Step *RestartSimulation::stepOf(const std::string &Task) const {
  const auto Name = parseTaskName(Task);
  const auto It = m_jobs.find(Name->m_job);
  if (It == m_jobs.end())
    return nullptr;
  return &It->second->m_spec.m_steps[static_cast<std::size_t>(Name->m_step)];
}

// Name of the run's gang, or "".
std::string RestartSimulation::gangOf(const RunKey &K) const {
  const Step *S = stepOf(K.first);
  if (S == nullptr || !S->m_gang)
    return "";
  return fmt::format("{}#{}", K.first.substr(0, K.first.rfind('.')), K.second);
}

void RestartSimulation::renewLease(Worker &W, std::optional<Millis> Deadline) {
  if (Deadline)
    W.m_deadline =
        std::max(W.m_deadline, std::min(*Deadline, clockOf(W) + MaxLeaseMs));
}

OrderResult RestartSimulation::carryOutStart(Worker &W, const StartCall &C,
                                             bool Late) {
  const std::string &Task = C.m_order.m_task;
  const int Run = C.m_order.m_run;
  const Millis Clock = clockOf(W);
  const std::string JobId = parseTaskName(Task)->m_job;
  const auto Refuse = [&](OrderOutcome O, const char *Reason) {
    log(JobId, fmt::format("worker {}: refuses {} run {}: {}", W.incarnation(),
                           Task, Run, Reason));
    return OrderResult{O, Reason, Clock};
  };
  if (C.m_fence < W.m_fence)
    return Refuse(OrderOutcome::Refused, "fence");
  W.m_fence = C.m_fence;
  if (C.m_deadline <= Clock)
    return Refuse(OrderOutcome::Refused, "late");
  renewLease(W, C.m_deadline);
  if (W.m_runs.contains({Task, Run}))
    return {OrderOutcome::Done, "", Clock};
  if (W.m_newestEnded[Task] >= Run)
    return Refuse(OrderOutcome::Ended, "old");
  log(JobId, fmt::format("worker {}: starts {} run {}{}", W.incarnation(), Task,
                         Run, Late ? " (late)" : ""));
  checkStart(W, C, Late);
  LiveRun L;
  L.m_startedAt = m_now;
  L.m_checkpoint = C.m_order.m_checkpoint;
  const Job &J = *m_jobs[JobId];
  L.m_durationMs = between(200, 4000);
  if (J.m_hopeless || (!m_calm && chance(0.15)))
    L.m_end = EndKind::Failed;
  const RunKey K(Task, Run);
  const std::string Gang = gangOf(K);
  if (Gang.empty())
    L.m_worksSince = m_now;
  W.m_runs[K] = L;
  m_tasks[Task].m_starts.emplace_back(m_now, Run);
  if (Gang.empty())
    return {OrderOutcome::Done, "", Clock};
  std::vector<LiveRun *> Members;
  for (Worker &Each : m_workers) {
    for (auto &[Key, Live] : Each.m_runs) {
      if (gangOf(Key) == Gang)
        Members.push_back(&Live);
    }
  }
  if (static_cast<std::int64_t>(Members.size()) == stepOf(Task)->m_count) {
    for (LiveRun *M : Members) {
      M->m_worksSince = m_now;
      M->m_durationMs = L.m_durationMs;
      if (M != Members.front())
        M->m_end = EndKind::Done;
    }
  }
  return {OrderOutcome::Done, "", Clock};
}

OrderResult RestartSimulation::carryOutStop(Worker &W, const StopCall &C) {
  const Millis Clock = clockOf(W);
  if (C.m_fence < W.m_fence)
    return {OrderOutcome::Refused, "fence", Clock};
  W.m_fence = C.m_fence;
  int &Newest = W.m_newestEnded[C.m_task];
  Newest = std::max(Newest, C.m_run);
  const auto It = W.m_runs.find({C.m_task, C.m_run});
  if (It != W.m_runs.end() && It->second.m_stopAt < 0)
    It->second.m_stopAt = m_now + between(0, MaxStopMs);
  return {OrderOutcome::Done, "", Clock};
}

bool RestartSimulation::carryOutPoll(Worker &W, const PollCall &C) {
  if (C.m_fence < W.m_fence)
    return false;
  W.m_fence = C.m_fence;
  renewLease(W, C.m_deadline);
  std::vector<std::string> Acknowledged;
  for (const EndReport &E : W.m_ends) {
    if (E.m_number > C.m_acknowledged)
      continue;
    for (Ended &Known : m_tasks[E.m_task].m_ends) {
      if (Known.m_incarnation != W.incarnation() ||
          Known.m_number != E.m_number)
        continue;
      Known.m_acknowledged = true;
      Known.m_lapsedBefore = W.m_lapsedAt > Known.m_at;
    }
    log(parseTaskName(E.m_task)->m_job,
        fmt::format("worker {}: end of {} run {} is acknowledged",
                    W.incarnation(), E.m_task, E.m_run));
    Acknowledged.push_back(E.m_task);
  }
  std::erase_if(W.m_ends, [&](const EndReport &E) {
    return E.m_number <= C.m_acknowledged;
  });
  for (const std::string &Task : Acknowledged)
    checkAcknowledged(Task);
  return true;
}

void RestartSimulation::endRun(Worker &W, const RunKey &K, EndKind Kind) {
  const LiveRun L = W.m_runs[K];
  W.m_runs.erase(K);
  int &Newest = W.m_newestEnded[K.first];
  Newest = std::max(Newest, K.second);
  W.m_ends.push_back(
      {K.first, K.second, Kind, L.m_checkpoint, ++W.m_lastEnd, ""});
  m_tasks[K.first].m_ends.push_back(
      {W.incarnation(), W.m_lastEnd, K.second, Kind, m_now, false, false});
  log(parseTaskName(K.first)->m_job,
      fmt::format("worker {}: {} run {} ends {}", W.incarnation(), K.first,
                  K.second, base::nameOf(Kind)));
}

// Ends the other members of a gang when one has ended. Members that still wait
// for the others are not broken; they end alone.
void RestartSimulation::endGang(const RunKey &K, EndKind Kind) {
  const std::string Gang = gangOf(K);
  if (Gang.empty())
    return;
  for (Worker &W : m_workers) {
    std::vector<RunKey> Members;
    for (const auto &[Key, L] : W.m_runs) {
      if (gangOf(Key) == Gang && (Kind == EndKind::Done || L.m_worksSince >= 0))
        Members.push_back(Key);
    }
    for (const RunKey &Key : Members)
      endRun(W, Key, Kind);
  }
}

void RestartSimulation::tickWorkers() {
  for (Worker &W : m_workers) {
    if (W.m_up)
      tickWorker(W);
  }
}

void RestartSimulation::tickWorker(Worker &W) {
  if (clockOf(W) > W.m_deadline && W.m_deadline > 0) {
    W.m_lapsedAt = m_now;
    while (!W.m_runs.empty()) {
      const RunKey K = W.m_runs.begin()->first;
      endRun(W, K, EndKind::LeaseExpired);
      endGang(K, EndKind::Broken);
    }
  }
  std::vector<std::pair<RunKey, EndKind>> Ends;
  for (const auto &[K, L] : W.m_runs) {
    if (L.m_stopAt >= 0 && m_now >= L.m_stopAt)
      Ends.emplace_back(K, EndKind::Stopped);
    else if (L.m_worksSince >= 0 && m_now - L.m_worksSince >= L.m_durationMs)
      Ends.emplace_back(K, L.m_end);
    else if (L.m_worksSince < 0 && m_now - L.m_startedAt >= GangTimeoutMs)
      Ends.emplace_back(K, EndKind::Alone);
  }
  for (const auto &[K, Kind] : Ends) {
    if (!W.m_runs.contains(K))
      continue;
    endRun(W, K, Kind);
    endGang(K, Kind == EndKind::Done ? EndKind::Done : EndKind::Broken);
  }
}

void RestartSimulation::crashWorker(Worker &W) {
  if (!W.m_up)
    return;
  log("", fmt::format("worker {}: crashes", W.incarnation()));
  W.m_up = false;
  std::vector<RunKey> Lost;
  for (const auto &[K, L] : W.m_runs) {
    if (L.m_worksSince >= 0)
      Lost.push_back(K);
  }
  W.m_runs.clear();
  for (const RunKey &K : Lost)
    endGang(K, EndKind::Broken);
  after(between(50, 3000), [this, &W] {
    W.m_up = true;
    W.m_startTime = wallNow();
    W.m_bornAt = m_now;
    W.m_ends.clear();
    W.m_lastEnd = 0;
    W.m_fence = 0;
    W.m_deadline = 0;
    W.m_lapsedAt = -1;
    W.m_newestEnded.clear();
    log("", fmt::format("worker {}: starts", W.incarnation()));
  });
}

} // namespace pomelokeel::batch::tests
