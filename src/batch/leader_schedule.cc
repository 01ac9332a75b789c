#include "batch/avoidance.h"
#include "batch/leader.h"

#include <fmt/format.h>

#include <algorithm>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace pomelokeel::batch {
namespace {

// Percentages of cores, memory and accelerators.
std::string usageText(const Load &L) {
  const auto Percent = [](std::int64_t Used, std::int64_t Of) {
    return Of > 0 ? Used * 100 / Of : 0;
  };
  return fmt::format(
      "{}/{}/{}", Percent(L.m_inUse.m_milliCores, L.m_capacity.m_milliCores),
      Percent(L.m_inUse.m_memoryMb, L.m_capacity.m_memoryMb),
      Percent(L.m_inUse.m_accelerators, L.m_capacity.m_accelerators));
}

// The first of the agents that the unit may not use yet, and how many more.
std::string excludedText(const Unit &U) {
  constexpr std::size_t MaxNamed = 4;
  const auto Named = std::min(U.m_excluded.size(), MaxNamed);
  const auto End = U.m_excluded.begin() + static_cast<std::ptrdiff_t>(Named);
  std::string Out =
      fmt::format("{}", fmt::join(U.m_excluded.begin(), End, ","));
  if (U.m_excluded.size() > Named)
    Out += fmt::format(",+{}", U.m_excluded.size() - Named);
  return Out;
}

} // namespace

std::vector<CandidateWorker> Leader::makeCandidateWorkers(Millis Now) const {
  std::vector<CandidateWorker> Out;
  std::unordered_map<std::string_view, std::size_t> ByAgent;
  for (const auto &[Name, A] : m_agents) {
    if (A.m_worker.m_workerIncarnation.empty())
      continue;
    CandidateWorker W;
    W.m_agent = Name;
    W.m_workerIncarnation = A.m_worker.m_workerIncarnation;
    W.m_service = A.m_worker.m_service;
    W.m_rack = A.m_worker.m_rack;
    W.m_labels = A.m_worker.m_labels;
    W.m_capacity = W.m_free = W.m_freeSoon = A.m_worker.m_capacity;
    W.m_slowness = slownessOf(A, Now);
    // Workers on probation are used last.
    W.m_failures =
        static_cast<int>(m_faults.faultyTasksAfter(Name, A.m_clearedAt)) +
        (A.m_quarantineMs > 0 ? 1 : 0);
    W.m_provenAt = A.m_provenAt;
    W.m_usable = acceptsWork(A, Now);
    W.m_up = Now - A.m_workerReportedAt < m_timing.m_silentMs;
    for (const auto &[Key, Reserved] : A.m_endingGangRuns) {
      W.m_free = W.m_free - Reserved.first;
      W.m_freeSoon = W.m_freeSoon - Reserved.first;
    }
    // Runs that are no task's current run still occupy the worker.
    for (const auto &[R, Task] : A.m_runs) {
      if (!Task || isCurrent(A, Task, R.m_run) ||
          A.m_endingGangRuns.contains({R.m_task, R.m_run}))
        continue;
      const auto J = m_jobs.find(Task->m_job);
      const auto Step = static_cast<std::size_t>(Task->m_step);
      if (J != m_jobs.end() && Step < J->second.m_spec.m_steps.size())
        W.m_free = W.m_free - allocationOf(J->second.m_spec.m_steps[Step]);
      else
        W.m_usable = false;
    }
    ByAgent[Name] = Out.size();
    Out.push_back(std::move(W));
  }
  for (const auto &Entry : m_openJobs) {
    const Job &J = *Entry.second;
    forEachTask(J.m_progress, [&](int, int Step, int, const Task &T) {
      if (T.m_phase != TaskPhase::Placed)
        return;
      // A run of the worker's earlier incarnation may still be started in the
      // present one by a late order, until it counts as lost.
      const auto At = ByAgent.find(T.m_agent);
      if (At == ByAgent.end())
        return;
      const Resources Each =
          allocationOf(J.m_spec.m_steps[static_cast<std::size_t>(Step)]);
      CandidateWorker &W = Out[At->second];
      W.m_free = W.m_free - Each;
      if (T.m_stop != StopReason::None || endsSoon(T, Now))
        return;
      W.m_freeSoon = W.m_freeSoon - Each;
      if (J.m_spec.m_steps[static_cast<std::size_t>(Step)].m_longRunning)
        W.m_lasting = W.m_lasting + Each;
    });
  }
  return Out;
}

void Leader::startUnit(const Unit &U, const Assignment &A,
                       const std::vector<CandidateWorker> &Workers,
                       Millis Now) {
  Job &J = m_jobs[U.m_name.m_job];
  auto &Tasks = J.m_progress.m_occurrences[static_cast<std::size_t>(
      U.m_name.m_occurrence)][static_cast<std::size_t>(U.m_name.m_step)];
  int Run = 0;
  if (U.m_step->m_gang) {
    // All members must resume from the same checkpoint.
    std::string Saved;
    for (const Task &T : Tasks) {
      Run = std::max(Run, T.m_run);
      Saved = Saved.empty() ? T.m_checkpoint : Saved;
    }
    for (Task &T : Tasks)
      T.m_checkpoint = Saved;
  }
  markChanged(J);
  m_counters.observe(fmt::format("start_wait_ms{{priority=\"{}\"}}",
                                 J.m_spec.m_queue.m_priority),
                     Now - J.m_acceptedAt);
  std::string Where;
  std::int64_t Returned = 0;
  for (std::size_t I = 0; I < U.m_indices.size(); ++I) {
    Task &T = Tasks[static_cast<std::size_t>(U.m_indices[I])];
    const CandidateWorker &W = Workers[A[I]];
    T.m_run = std::max(Run, T.m_run) + 1;
    T.m_phase = TaskPhase::Placed;
    T.m_agent = W.m_agent;
    T.m_workerIncarnation = W.m_workerIncarnation;
    T.m_fullName.clear();
    T.m_batch = m_journal.nextBatch();
    T.m_placedAt = T.m_progressAt = Now;
    Where += (I == 0 ? "" : ",") + W.m_agent;
    Returned += isAvoided(U, W) ? 1 : 0;
  }
  m_counters.get("runs_placed") +=
      static_cast<std::int64_t>(U.m_indices.size());
  m_counters.get("runs_returned") += Returned;
  m_ports.event(
      "unitPlaced", U.m_name.m_job,
      fmt::format("task={} run={} tasks={} agents={} returned={} waitedMs={}",
                  toString(U.m_name),
                  Tasks[static_cast<std::size_t>(U.m_indices[0])].m_run,
                  U.m_indices.size(), Where, Returned, Now - J.m_acceptedAt));
}

void Leader::schedule(Millis Now) {
  m_scheduleDue = false;
  m_scheduledAt = Now;
  m_counters.get("scheduling_passes")++;
  judgeNewFaults(Now);
  const std::vector<CandidateWorker> Workers = makeCandidateWorkers(Now);
  const Plan P = plan(m_openJobs, Workers, m_guarantees, m_timing.m_reclaimMs,
                      Now, {m_policy, m_wallNow});
  for (const TaskName &Name : P.m_preempted)
    stopRun(*findTask(Name), Name, StopReason::Preempted);
  m_counters.get("preemptions") +=
      static_cast<std::int64_t>(P.m_preempted.size());
  constexpr double MsPerSecond = 1000;
  m_counters.get("preemption_lost_core_ms") +=
      static_cast<std::int64_t>(P.m_lostCoreSeconds * MsPerSecond);
  for (const std::string &Id : P.m_haveRoom)
    noteRoom(m_jobs.at(Id), Now);
  logLongWaits(P, Workers, Now);
  for (const Start &S : P.m_starts)
    startUnit(S.m_unit, S.m_workers, Workers, Now);
}

// Room comes and goes as other units are placed and end. Short gaps are of no
// use to anybody, so they do not interrupt the time for which a job has room.
void Leader::noteRoom(Job &J, Millis Now) {
  constexpr Millis LongestGapMs = 500;
  if (J.m_roomSince == 0 || Now - J.m_roomSeenAt > LongestGapMs)
    J.m_roomSince = Now;
  J.m_roomSeenAt = Now;
}

void Leader::logLongWaits(const Plan &P,
                          const std::vector<CandidateWorker> &Workers,
                          Millis Now) {
  if (P.m_longWaits.empty())
    return;
  const Fleet Before = makeFleet(Workers);
  for (const LongWait &L : P.m_longWaits) {
    const Unit &U = L.m_unit;
    Job &J = m_jobs[U.m_name.m_job];
    J.m_waitLoggedAt = Now;
    const Resources &Each = U.m_step->m_each;
    m_ports.event(
        "unitWaits", U.m_name.m_job,
        fmt::format("task={} reason={} tasks={} cores={} memMb={} "
                    "accelerators={} gang={} rackLocal={} label={} avoided={} "
                    "excluded={} workers={} fit={} fitUnreserved={} fitIdle={} "
                    "inUse={} waitedMs={}",
                    toString(U.m_name), base::nameOf(L.m_reason),
                    U.m_indices.size(), Each.m_milliCores, Each.m_memoryMb,
                    Each.m_accelerators, U.m_step->m_gang,
                    U.m_step->m_rackLocal, U.m_step->m_label, U.m_avoid.size(),
                    excludedText(U), L.m_fit.m_workers, L.m_fit.m_now,
                    fitOf(U, Before).m_now, L.m_fit.m_idle, usageText(L.m_load),
                    Now - J.m_acceptedAt));
  }
}

} // namespace pomelokeel::batch
