#include "restart_simulation.h"

#include <fmt/format.h>

#include <algorithm>

namespace pomelokeel::batch::tests {
namespace {

/// Longest time from the acknowledgement of a cancellation until an order to
/// start one of its tasks can reach a worker: an agent retries for its autonomy
/// time after it has lost the leader, and a replaced leader acts until it is
/// not confirmed any more.
constexpr Millis CancelBoundMs = 8000;
constexpr Millis ShownDoneBoundMs = 1000;

constexpr std::size_t MaxPrintedLines = 60;

} // namespace

void RestartSimulation::log(const std::string &JobId, const std::string &Text) {
  m_lines.push_back({m_now, JobId, Text});
}

void RestartSimulation::fail(const std::string &JobId,
                             const std::string &What) {
  if (!m_violation.empty())
    return;
  std::vector<std::string> Lines;
  for (auto It = m_lines.rbegin();
       It != m_lines.rend() && Lines.size() < MaxPrintedLines; ++It) {
    if (It->m_job.empty() || JobId.empty() || It->m_job == JobId)
      Lines.push_back(fmt::format("{:7} {}\n", It->m_at, It->m_text));
  }
  std::string Events;
  for (auto It = Lines.rbegin(); It != Lines.rend(); ++It)
    Events += *It;
  m_violation =
      fmt::format("seed {} at {} ms: {}\n{}", m_seed, m_now, What, Events);
}

// Whether a task, or a member of its gang in the same run, has ended as done.
bool RestartSimulation::endedDone(const std::string &Id, int Step,
                                  int Index) const {
  const auto DoneRun = [&](int I) {
    const auto It = m_tasks.find(toString({Id, 0, Step, I}));
    return It != m_tasks.end() &&
           std::any_of(
               It->second.m_ends.begin(), It->second.m_ends.end(),
               [](const Ended &E) { return E.m_kind == EndKind::Done; });
  };
  const batch::Step &S =
      m_jobs.at(Id)->m_spec.m_steps[static_cast<std::size_t>(Step)];
  if (!S.m_gang)
    return DoneRun(Index);
  for (int I = 0; I < S.m_count; ++I) {
    if (DoneRun(I))
      return true;
  }
  return false;
}

void RestartSimulation::handleShown(const std::string &Id, JobPhase Phase,
                                    Millis SentAt) {
  Job &J = *m_jobs[Id];
  if (J.m_shown != Phase)
    log(Id, fmt::format("caller: is shown {}", base::nameOf(Phase)));
  // Replies may overtake each other.
  if (J.m_shown && isEnded(*J.m_shown) && Phase != *J.m_shown &&
      SentAt > J.m_shownAt)
    fail(Id, fmt::format("job {} was shown as {} and then as {}", Id,
                         base::nameOf(*J.m_shown), base::nameOf(Phase)));
  if (J.m_shown && isEnded(*J.m_shown))
    return;
  J.m_shown = Phase;
  J.m_shownAt = m_now;
  if (Phase == JobPhase::Done) {
    if (J.m_doneAt < 0)
      J.m_doneAt = m_now;
    for (std::size_t S = 0; S < J.m_spec.m_steps.size(); ++S) {
      for (int I = 0; I < J.m_spec.m_steps[S].m_count; ++I) {
        if (!endedDone(Id, static_cast<int>(S), I))
          fail(Id, fmt::format("job {} is shown as done before its task {}", Id,
                               toString({Id, 0, static_cast<int>(S), I})));
      }
    }
  }
  if (Phase == JobPhase::Cancelled && !J.m_cancelSent)
    fail(Id, fmt::format("job {} is shown as cancelled without cause", Id));
  if (Phase != JobPhase::Failed)
    return;
  std::size_t MostFailures = 0;
  for (std::size_t S = 0; S < J.m_spec.m_steps.size(); ++S) {
    std::set<int> GangRuns;
    for (int I = 0; I < J.m_spec.m_steps[S].m_count; ++I) {
      std::set<int> Runs;
      for (const Ended &E :
           m_tasks[toString({Id, 0, static_cast<int>(S), I})].m_ends) {
        if (E.m_kind == EndKind::Failed)
          Runs.insert(E.m_run);
      }
      MostFailures = std::max(MostFailures, Runs.size());
      if (J.m_spec.m_steps[S].m_gang)
        GangRuns.merge(Runs);
    }
    MostFailures = std::max(MostFailures, GangRuns.size());
  }
  if (static_cast<int>(MostFailures) < J.m_attempts)
    fail(Id, fmt::format("job {} is shown as failed after {} of {} failures",
                         Id, MostFailures, J.m_attempts));
}

void RestartSimulation::checkStart(const Worker &W, const StartCall &C,
                                   bool Late) {
  const std::string &Task = C.m_order.m_task;
  const TaskName Name = *parseTaskName(Task);
  const auto It = m_jobs.find(Name.m_job);
  if (It == m_jobs.end())
    return fail(Name.m_job, "a task that nobody submitted starts: " + Task);
  const Job &J = *It->second;
  const auto Fail = [&](const std::string &What) {
    fail(Name.m_job, fmt::format("{} starts {}", toString(Name), What));
  };
  if (C.m_order.m_payload != J.m_spec.m_payload)
    Fail("with another payload");
  for (const Worker &Other : m_workers) {
    for (const auto &[K, L] : Other.m_runs) {
      if (K.first == Task)
        Fail(fmt::format("as run {} on {} while run {} is on {}",
                         C.m_order.m_run, W.incarnation(), K.second,
                         Other.incarnation()));
    }
  }
  if (J.m_doneAt >= 0 && !Late && m_now - J.m_doneAt > ShownDoneBoundMs)
    Fail("after its job was shown as done");
  if (J.m_cancelledAt >= 0 && !Late && m_now - J.m_cancelledAt > CancelBoundMs)
    Fail("after its job was cancelled");
  if (J.m_openSubmissions == 0 && J.m_unrefused == 0)
    Fail("although every submission was refused");
  const Step &S = J.m_spec.m_steps[static_cast<std::size_t>(Name.m_step)];
  for (const int Earlier : S.m_dependencies) {
    for (int I = 0;
         I < J.m_spec.m_steps[static_cast<std::size_t>(Earlier)].m_count; ++I) {
      if (!endedDone(Name.m_job, Earlier, I))
        Fail("before step " + std::to_string(Earlier) + " is done");
    }
  }
  // The start counts against the ends that were acknowledged before.
  TaskHistory &H = m_tasks[Task];
  H.m_starts.emplace_back(m_now, C.m_order.m_run);
  checkAcknowledged(Task);
  H.m_starts.pop_back();
}

// Checks the starts of a task against its acknowledged ends. One end as done
// stands for all members of a gang.
void RestartSimulation::checkAcknowledged(const std::string &Task) {
  const TaskName Name = *parseTaskName(Task);
  const Job &J = *m_jobs[Name.m_job];
  const Step &S = J.m_spec.m_steps[static_cast<std::size_t>(Name.m_step)];
  Millis DoneAt = -1;
  for (int I = 0; I < S.m_count; ++I) {
    if (!S.m_gang && I != Name.m_index)
      continue;
    TaskName Member = Name;
    Member.m_index = I;
    for (const Ended &E : m_tasks[toString(Member)].m_ends) {
      if (E.m_kind == EndKind::Done && E.m_acknowledged && !E.m_lapsedBefore)
        DoneAt = DoneAt < 0 ? E.m_at : std::min(DoneAt, E.m_at);
    }
  }
  std::vector<Millis> FailedAt;
  for (const Ended &E : m_tasks[Task].m_ends) {
    if (E.m_kind == EndKind::Failed && E.m_acknowledged)
      FailedAt.push_back(E.m_at);
  }
  std::sort(FailedAt.begin(), FailedAt.end());
  const auto Attempts = static_cast<std::size_t>(J.m_attempts);
  for (const auto &[At, Run] : m_tasks[Task].m_starts) {
    if (DoneAt >= 0 && At > DoneAt)
      fail(Name.m_job, fmt::format("{} run {} started although an end as done "
                                   "was acknowledged",
                                   Task, Run));
    if (FailedAt.size() >= Attempts && At > FailedAt[Attempts - 1])
      fail(Name.m_job,
           fmt::format("{} run {} started although {} failures of {} were "
                       "acknowledged",
                       Task, Run, FailedAt.size(), Attempts));
  }
}

bool RestartSimulation::settled() {
  for (const auto &[Id, J] : m_jobs) {
    if (J->m_openSubmissions > 0 || (!J->m_accepted && !J->m_givenUp))
      return false;
    if (J->m_accepted && !(J->m_shown && isEnded(*J->m_shown)))
      return false;
    if (J->m_cancelSent && J->m_cancelledAt < 0)
      return false;
  }
  return std::all_of(m_workers.begin(), m_workers.end(), [](const Worker &W) {
    return W.m_runs.empty() && W.m_ends.empty();
  });
}

void RestartSimulation::checkEnd() {
  for (const auto &[Id, J] : m_jobs) {
    if (J->m_accepted && !(J->m_shown && isEnded(*J->m_shown)))
      fail(Id, fmt::format("accepted job {} does not end", Id));
    if (J->m_openSubmissions > 0 || (!J->m_accepted && !J->m_givenUp))
      fail(Id, fmt::format("the submission of job {} gets no answer", Id));
    if (J->m_cancelSent && J->m_cancelledAt < 0)
      fail(Id, fmt::format("the cancellation of job {} gets no answer", Id));
  }
  for (const Worker &W : m_workers) {
    for (const auto &[K, L] : W.m_runs)
      fail(parseTaskName(K.first)->m_job,
           fmt::format("{} run {} goes on on {}", K.first, K.second,
                       W.incarnation()));
    for (const EndReport &E : W.m_ends)
      fail(parseTaskName(E.m_task)->m_job,
           fmt::format("the end of {} run {} is not acknowledged", E.m_task,
                       E.m_run));
  }
}

} // namespace pomelokeel::batch::tests
