#include "batch/leader.h"

#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <optional>
#include <utility>

namespace pomelokeel::batch {
namespace {

/// Allows for the delivery of the last grant and for late timers.
constexpr Millis LeaseMarginMs = 500;

/// A run without progress for this long counts as stuck. Even at a tenth of the
/// usual speed, a run of 11 s gains a percent every 1.1 s.
constexpr Millis NoProgressMs = 4000;

/// A run that has not started within this share of the gang timeout after its
/// placement is stopped. That is before workers end the gang members that wait
/// for it.
constexpr double StartShare = 0.6;

/// How long the resources of a member of a done gang stay reserved if its end
/// is not reported.
constexpr Millis EndingGangRunMs = 3000;

/// A job gets no further occurrence while the others have this many tasks in
/// all, as many as one may have. If its times are long past, all are due.
constexpr std::size_t MaxOpenTasks = 2000;

std::size_t taskCount(const Occurrence &O) {
  std::size_t Out = 0;
  for (const auto &Tasks : O)
    Out += Tasks.size();
  return Out;
}

std::size_t openTasks(const Progress &P) {
  std::size_t Out = 0;
  for (const Occurrence &O : P.m_occurrences)
    Out += isDone(O) ? 0 : taskCount(O);
  return Out;
}

} // namespace

const Task *Leader::findTask(const TaskName &Name) const {
  return batch::findTask(m_jobs, Name);
}

Task *Leader::findTask(const TaskName &Name) {
  return const_cast<Task *>(std::as_const(*this).findTask(Name));
}

void Leader::resetTask(Task &T) {
  Task Fresh;
  Fresh.m_run = T.m_run;
  Fresh.m_failures = T.m_failures;
  Fresh.m_preemptions =
      T.m_preemptions + (T.m_stop == StopReason::Preempted ? 1 : 0);
  Fresh.m_failedRun = T.m_failedRun;
  Fresh.m_checkpoint = std::move(T.m_checkpoint);
  Fresh.m_avoid = std::move(T.m_avoid);
  T = std::move(Fresh);
}

void Leader::stopRun(Task &T, const TaskName &Name, StopReason Reason) {
  if (T.m_phase != TaskPhase::Placed || T.m_stop != StopReason::None)
    return;
  m_ports.event("runStopped", Name.m_job,
                fmt::format("task={} run={} agent={} reason={}", toString(Name),
                            T.m_run, T.m_agent, base::nameOf(Reason)));
  // As long as no start order was sent, there is no run to stop.
  if (T.m_startSentAt < 0) {
    resetTask(T);
    return markChanged(m_jobs[Name.m_job]);
  }
  T.m_stop = Reason;
  m_ordersDue = true;
}

void Leader::stopAllRuns(Job &J, StopReason Reason) {
  forEachTask(J.m_progress, [&](int K, int S, int I, Task &T) {
    stopRun(T, {J.m_spec.m_id, K, S, I}, Reason);
  });
}

void Leader::finishJob(Job &J, JobPhase Phase, Millis WallNow) {
  J.m_progress.m_phase = Phase;
  J.m_progress.m_endedMs = WallNow;
  markChanged(J);
  if (Phase == JobPhase::Done)
    noteJobDone(J, WallNow);
  m_counters.get(
      fmt::format("jobs_ended{{phase=\"{}\"}}", base::nameOf(Phase)))++;
  m_ports.event("jobEnded", J.m_spec.m_id,
                fmt::format("phase={} afterMs={}", base::nameOf(Phase),
                            WallNow - J.m_spec.m_acceptedMs));
}

const Task *Leader::findCurrent(const AgentView &A,
                                const std::optional<TaskName> &Name,
                                int Run) const {
  const batch::Task *T = Name ? findTask(*Name) : nullptr;
  const bool Current = T != nullptr && T->m_phase == TaskPhase::Placed &&
                       T->m_run == Run && T->m_agent == A.m_name &&
                       T->m_workerIncarnation == A.m_worker.m_workerIncarnation;
  return Current ? T : nullptr;
}

bool Leader::isCurrent(const AgentView &A, const std::optional<TaskName> &Name,
                       int Run) const {
  return findCurrent(A, Name, Run) != nullptr;
}

void Leader::updateRuns(AgentView &A, Millis Now) {
  for (const auto &[R, Name] : A.m_runs) {
    if (!isCurrent(A, Name, R.m_run)) {
      m_ordersDue = true;
      continue;
    }
    Task &T = *findTask(*Name);
    if (!T.m_reported || R.m_percent != T.m_percent)
      T.m_progressAt = Now;
    if (!T.m_running && R.m_phase != RunPhase::Starting) {
      T.m_firstPercent = R.m_percent;
      T.m_firstSeenAt = Now;
    }
    T.m_reported = true;
    T.m_percent = R.m_percent;
    if (!R.m_checkpoint.empty())
      T.m_checkpoint = R.m_checkpoint;
    if (R.m_phase == RunPhase::Starting || T.m_running)
      continue;
    T.m_running = true;
    Job &J = m_jobs[Name->m_job];
    // This is not stored: the reports of the run reach the next leader too.
    if (J.m_progress.m_phase == JobPhase::Queued)
      J.m_progress.m_phase = JobPhase::Running;
    m_ports.event("runStarted", Name->m_job,
                  fmt::format("task={} run={} agent={} afterMs={}", R.m_task,
                              R.m_run, A.m_name, Now - T.m_placedAt));
  }
  std::erase_if(A.m_endingGangRuns, [&](const auto &L) {
    return Now - L.second.second > EndingGangRunMs;
  });
}

// True for the end as done of a run that counted as lost, if the task has not
// started again since. The work is done and must not be repeated.
bool Leader::isUnusedResult(const EndReport &E, const TaskName &Name) const {
  const batch::Task *T = findTask(Name);
  if (E.m_kind != EndKind::Done || T == nullptr ||
      T->m_phase == TaskPhase::Done)
    return false;
  const JobState &J = m_jobs.at(Name.m_job);
  const Step &Kind = J.m_spec.m_steps[static_cast<std::size_t>(Name.m_step)];
  if (isEnded(J.m_progress.m_phase) || Kind.m_longRunning)
    return false;
  if (T->m_phase == TaskPhase::Waiting)
    return Kind.m_gang ? T->m_run == E.m_run : T->m_run >= E.m_run;
  return !Kind.m_gang && T->m_startSentAt < 0 && T->m_run > E.m_run;
}

// True for the end as done of a run after which the task was placed again. The
// later run may be at work, so the task cannot be done yet.
bool Leader::isEarlierResult(const EndReport &E, const TaskName &Name) const {
  const batch::Task *T = findTask(Name);
  if (E.m_kind != EndKind::Done || T == nullptr ||
      T->m_phase != TaskPhase::Placed || E.m_run >= T->m_run)
    return false;
  const JobState &J = m_jobs.at(Name.m_job);
  return !isEnded(J.m_progress.m_phase) &&
         !J.m_spec.m_steps[static_cast<std::size_t>(Name.m_step)].m_longRunning;
}

// Takes an earlier result as the end of its task or gang once that waits again.
bool Leader::useEarlierResult(const detail::EarlierResult &R, Millis Now,
                              Millis WallNow) {
  const Task *T = findTask(R.m_task);
  if (T == nullptr || T->m_phase == TaskPhase::Done)
    return true;
  Job &J = m_jobs.at(R.m_task.m_job);
  if (isEnded(J.m_progress.m_phase))
    return true;
  const auto Step = static_cast<std::size_t>(R.m_task.m_step);
  const auto &Members =
      J.m_progress
          .m_occurrences[static_cast<std::size_t>(R.m_task.m_occurrence)][Step];
  const auto Waits = [](const Task &Each) {
    return Each.m_phase == TaskPhase::Waiting;
  };
  if (J.m_spec.m_steps[Step].m_gang
          ? !std::all_of(Members.begin(), Members.end(), Waits)
          : !Waits(*T))
    return false;
  m_ports.event("earlierResultUsed", R.m_task.m_job,
                fmt::format("task={} run={} agent={}", std::get<0>(R.m_end),
                            std::get<1>(R.m_end), R.m_agent));
  endRun(J, R.m_task, EndKind::Done, "", Now, WallNow);
  return true;
}

void Leader::useEarlierResults(Millis Now, Millis WallNow) {
  // Ending a run calls this function again.
  std::vector<detail::EarlierResult> Known;
  Known.swap(m_earlierResults);
  for (detail::EarlierResult &R : Known) {
    if (!useEarlierResult(R, Now, WallNow)) {
      m_earlierResults.push_back(std::move(R));
      continue;
    }
    auto &Ends = m_agents[R.m_agent].m_ends;
    if (const auto It = Ends.find(R.m_end); It != Ends.end())
      It->second.m_batch = batchOfState(R.m_task.m_job);
  }
}

void Leader::handleEndReport(AgentView &A, const EndReport &E, Millis Now,
                             Millis WallNow) {
  const detail::EndKey Key(E.m_task, E.m_run, E.m_number);
  if (A.m_ends.contains(Key))
    return;
  A.m_endingGangRuns.erase({E.m_task, E.m_run});
  const auto Parsed = parseTaskName(E.m_task);
  const TaskName Name = Parsed.value_or(TaskName{});
  const bool Current = isCurrent(A, Parsed, E.m_run) || isUnusedResult(E, Name);
  // An end that changes nothing relies on earlier changes of its job, which may
  // not be stored yet.
  const bool Earlier = !Current && isEarlierResult(E, Name);
  const std::uint64_t Batch = Current ? m_journal.nextBatch()
                              : Earlier
                                  ? std::numeric_limits<std::uint64_t>::max()
                                  : batchOfState(Name.m_job);
  m_ports.event(
      "runEnded", Name.m_job,
      fmt::format("task={} run={} agent={} kind={} number={} current={} "
                  "batch={} stored={}{}{}",
                  E.m_task, E.m_run, A.m_name, base::nameOf(E.m_kind),
                  E.m_number, Current, Batch, m_journal.durable(),
                  E.m_detail.empty() ? "" : " detail=", E.m_detail));
  if (Current) {
    updateWorkerHealth(A, Name, E, Now);
    Job &J = m_jobs[Name.m_job];
    if (E.m_kind == EndKind::Done && m_timing.m_learnSpeed)
      noteRunTime(J, Name, true, Now);
    if (E.m_kind == EndKind::Failed) {
      batch::Task &T = *findTask(Name);
      if (isLongRunAtWork(Name))
        T.m_avoid.clear();
      avoid(T, {A.m_name, T.m_workerIncarnation, Now});
    }
    endRun(J, Name, E.m_kind, E.m_checkpoint, Now, WallNow);
  }
  A.m_ends[Key] = {Batch, Now, false};
  if (Earlier)
    m_earlierResults.push_back({Name, A.m_name, Key});
}

void Leader::endRun(Job &J, const TaskName &Name, EndKind Kind,
                    const std::string &Saved, Millis Now, Millis WallNow) {
  const Step &S = J.m_spec.m_steps[static_cast<std::size_t>(Name.m_step)];
  Task &T = *findTask(Name);
  if (!Saved.empty())
    T.m_checkpoint = Saved;
  markChanged(J);
  if (Kind == EndKind::Done)
    noteRunDone(J, S, T, Now);
  if (S.m_gang && !S.m_longRunning) {
    endGang(J, Name, Kind, Now, WallNow);
  } else if (Kind == EndKind::Done && !S.m_longRunning) {
    T.m_phase = TaskPhase::Done;
    T.m_checkpoint.clear();
  } else {
    if (Kind == EndKind::Failed)
      ++T.m_failures;
    resetTask(T);
  }
  useEarlierResults(Now, WallNow);
  if (isEnded(J.m_progress.m_phase))
    return;
  const bool Exhausted = !S.m_longRunning && Kind == EndKind::Failed &&
                         T.m_phase != TaskPhase::Done &&
                         T.m_failures >= J.m_spec.m_queue.m_attempts;
  if (Exhausted) {
    finishJob(J, JobPhase::Failed, WallNow);
    return stopAllRuns(J, StopReason::Cancelled);
  }
  const auto &Occurrences = J.m_progress.m_occurrences;
  const auto Wanted = std::max<std::int64_t>(J.m_spec.m_occurrenceCount, 1);
  if (static_cast<std::int64_t>(Occurrences.size()) == Wanted &&
      std::all_of(Occurrences.begin(), Occurrences.end(), isDone))
    finishJob(J, JobPhase::Done, WallNow);
}

// A gang is done as soon as one member reports it. Otherwise all members must
// end before the next run, and a failed run counts once for the whole gang.
void Leader::endGang(Job &J, const TaskName &Name, EndKind Kind, Millis Now,
                     Millis /*WallNow*/) {
  auto &Members =
      J.m_progress.m_occurrences[static_cast<std::size_t>(Name.m_occurrence)]
                                [static_cast<std::size_t>(Name.m_step)];
  const Step &S = J.m_spec.m_steps[static_cast<std::size_t>(Name.m_step)];
  Task &Ended = Members[static_cast<std::size_t>(Name.m_index)];
  const int Run = Ended.m_run;
  if (Kind == EndKind::Done) {
    for (std::size_t I = 0; I < Members.size(); ++I) {
      Task &M = Members[I];
      if (M.m_phase == TaskPhase::Placed && &M != &Ended) {
        TaskName Other = Name;
        Other.m_index = static_cast<int>(I);
        m_agents[M.m_agent].m_endingGangRuns[{toString(Other), M.m_run}] = {
            allocationOf(S), Now};
      }
      M.m_phase = TaskPhase::Done;
      M.m_checkpoint.clear();
    }
    return;
  }
  const std::string Saved = Ended.m_checkpoint;
  const bool Counted =
      std::any_of(Members.begin(), Members.end(),
                  [&](const Task &M) { return M.m_failedRun == Run; });
  for (std::size_t I = 0; I < Members.size(); ++I) {
    Task &M = Members[I];
    if (Kind == EndKind::Failed && !Counted) {
      ++M.m_failures;
      M.m_failedRun = Run;
      M.m_avoid = Ended.m_avoid;
    }
    if (!Saved.empty())
      M.m_checkpoint = Saved;
    TaskName Other = Name;
    Other.m_index = static_cast<int>(I);
    if (&M != &Ended)
      stopRun(M, Other, StopReason::Broken);
  }
  resetTask(Ended);
}

void Leader::loseRuns(const std::string &Agent, const std::string &Incarnation,
                      const char *Reason, Millis Now, Millis WallNow) {
  std::vector<TaskName> Lost;
  for (const auto &[Id, J] : m_openJobs) {
    const std::string &Job = Id;
    forEachTask(J->m_progress, [&](int K, int S, int I, const Task &T) {
      if (T.m_phase == TaskPhase::Placed && T.m_agent == Agent &&
          T.m_workerIncarnation == Incarnation)
        Lost.push_back({Job, K, S, I});
    });
  }
  for (const TaskName &Name : Lost) {
    const Task *T = findTask(Name);
    // The end of another gang member may have ended this run too.
    if (T == nullptr || T->m_phase != TaskPhase::Placed ||
        T->m_agent != Agent || T->m_workerIncarnation != Incarnation)
      continue;
    m_ports.event("runLost", Name.m_job,
                  fmt::format("task={} run={} agent={} life={} reason={}",
                              toString(Name), T->m_run, Agent, Incarnation,
                              Reason));
    m_counters.get("runs_lost")++;
    endRun(m_jobs[Name.m_job], Name, EndKind::LeaseExpired, T->m_checkpoint,
           Now, WallNow);
  }
}

// After the last report of an agent process, its leases end no later than it
// says, even if the machine is gone before.
void Leader::noteLeasesEnd(AgentView &A, std::optional<Millis> InMs) {
  if (!InMs) {
    A.m_leasesEndAt.reset();
    return;
  }
  const Millis Until =
      m_attention.now() +
      static_cast<Millis>(static_cast<double>(*InMs) * ClockSlowness);
  if (!A.m_leasesEndAt)
    m_ports.event("agentStopping", "",
                  fmt::format("agent={} runs={} leasesEndInMs={}", A.m_name,
                              A.m_runs.size(), *InMs));
  A.m_leasesEndAt = Until;
}

// Returns why a placed run cannot be alive or start any more, or nullptr.
const char *Leader::reasonForLoss(const Task &T, Millis Now) const {
  const auto It = m_agents.find(T.m_agent);
  const bool Known =
      It != m_agents.end() && !It->second.m_worker.m_workerIncarnation.empty();
  // A start order for the earlier incarnation may be carried out by the present
  // one, which lists the run then and grants it a lease of its own.
  if (Known && It->second.m_worker.m_workerIncarnation != T.m_workerIncarnation)
    return It->second.m_fenced || Now - It->second.m_workerSeenAt > LateOrderMs
               ? "workerRestarted"
               : nullptr;
  if (Known && It->second.m_leasesEndAt &&
      m_attention.now() > *It->second.m_leasesEndAt + LeaseMarginMs)
    return "agentStopped";
  // After the last report that described its worker, an agent grants leases for
  // the autonomy time. Its runs end with the last of these leases at the
  // latest. The agent may have been in contact with the previous leader until
  // that one was not confirmed any more.
  const auto LeaseMs = static_cast<Millis>(
      static_cast<double>(m_timing.m_leaseMs) * ClockSlowness);
  // Reports that this process was too late to read are no silence of the agent.
  const Millis ReportedAt =
      Known ? It->second.m_workerAttention : m_timing.m_confirmMs;
  return m_attention.now() - ReportedAt >
                 m_timing.m_autonomyMs + LeaseMs + LeaseMarginMs
             ? "leaseExpired"
             : nullptr;
}

void Leader::loseUnreachableRuns(Millis Now, Millis WallNow) {
  std::map<std::pair<std::string, std::string>, const char *> Reasons;
  for (const auto &[Id, J] : m_openJobs) {
    forEachTask(J->m_progress, [&](int, int, int, const Task &T) {
      if (T.m_phase != TaskPhase::Placed)
        return;
      if (const char *Reason = reasonForLoss(T, Now))
        Reasons.emplace(std::pair(T.m_agent, T.m_workerIncarnation), Reason);
    });
  }
  for (const auto &[Key, Reason] : Reasons)
    loseRuns(Key.first, Key.second, Reason, Now, WallNow);
}

void Leader::logSilentAgents(Millis Now) {
  for (auto &[Name, A] : m_agents) {
    if (A.m_silenceLogged ||
        m_attention.now() - A.m_contactAttention < m_timing.m_silentMs)
      continue;
    A.m_silenceLogged = true;
    m_ports.event("agentSilent", "",
                  fmt::format("agent={} runs={} ends={} draining={} "
                              "unhealthy={} workerReportedMs={}",
                              Name, A.m_runs.size(), A.m_ends.size(),
                              A.m_worker.m_draining, A.m_unhealthy,
                              Now - A.m_workerReportedAt));
  }
}

void Leader::addOccurrences(Millis WallNow) {
  for (const auto &Entry : m_openJobs) {
    Job &J = *Entry.second;
    if (isEnded(J.m_progress.m_phase))
      continue;
    auto &Occurrences = J.m_progress.m_occurrences;
    std::optional<std::size_t> Open;
    while (static_cast<std::int64_t>(Occurrences.size()) <
               J.m_spec.m_occurrenceCount &&
           WallNow >=
               J.m_spec.m_firstMs + static_cast<Millis>(Occurrences.size()) *
                                        J.m_spec.m_intervalMs) {
      Occurrence Next = makeOccurrence(J.m_spec);
      const std::size_t Count = taskCount(Next);
      if (!Open)
        Open = openTasks(J.m_progress);
      if (*Open > 0 && *Open + Count > MaxOpenTasks)
        break;
      *Open += Count;
      Occurrences.push_back(std::move(Next));
      markChanged(J);
    }
  }
}

// Returns why a run should be stopped, or StopReason::None.
StopReason Leader::reasonToStop(const Step &Kind, Task &T, const TaskName &Name,
                                Millis Now) {
  const auto StartMs = static_cast<Millis>(
      static_cast<double>(m_timing.m_gangTimeoutMs) * StartShare);
  AgentView &A = m_agents[T.m_agent];
  // Whether the run is lost is open until the worker has seen a higher fence.
  if (A.m_worker.m_workerIncarnation != T.m_workerIncarnation)
    return StopReason::None;
  // The agent may be of a version that does not know of evacuations, or the
  // reply that told it may be lost.
  if (!T.m_running && isEvacuated(A))
    return StopReason::Evacuated;
  if (!T.m_running)
    return T.m_startSentAt >= 0 && Now - T.m_placedAt > StartMs
               ? StopReason::Stalled
               : StopReason::None;
  if (A.m_worker.m_draining) {
    const Millis Left = estimateRemainingMs(T, Now);
    if (Left < 0 || Left > A.m_worker.m_remainingMs)
      return StopReason::Drain;
  }
  if (Kind.m_longRunning || Now - T.m_progressAt < NoProgressMs ||
      A.m_unhealthy || Now - A.m_workerReportedAt > m_timing.m_silentMs)
    return StopReason::None;
  recordFault(A, Name, true, Now);
  avoid(T, {T.m_agent, T.m_workerIncarnation, Now});
  return StopReason::Stalled;
}

void Leader::stopGangs(Job &J, const std::set<std::pair<int, int>> &Gangs) {
  if (Gangs.empty())
    return;
  forEachTask(J.m_progress, [&](int K, int S, int I, Task &T) {
    if (Gangs.contains({K, S}))
      stopRun(T, {J.m_spec.m_id, K, S, I}, StopReason::Broken);
  });
}

void Leader::checkRuns(Millis Now) {
  for (const auto &Entry : m_openJobs) {
    const std::string &Id = Entry.first;
    Job &J = *Entry.second;
    std::set<std::pair<int, int>> BrokenGangs;
    forEachTask(J.m_progress, [&](int K, int S, int I, Task &T) {
      if (T.m_phase != TaskPhase::Placed || T.m_stop != StopReason::None)
        return;
      const Step &Kind = J.m_spec.m_steps[static_cast<std::size_t>(S)];
      const StopReason Reason = reasonToStop(Kind, T, {Id, K, S, I}, Now);
      if (Reason == StopReason::None)
        return;
      stopRun(T, {Id, K, S, I}, Reason);
      if (Kind.m_gang)
        BrokenGangs.emplace(K, S);
    });
    stopGangs(J, BrokenGangs);
  }
}

} // namespace pomelokeel::batch
