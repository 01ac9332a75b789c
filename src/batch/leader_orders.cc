#include "batch/leader.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace pomelokeel::batch {
namespace {

/// An order is sent again if the agent's reports do not confirm it within this
/// time. Agents report at least every second and ignore repeated orders.
constexpr Millis ResendMs = 700;

/// Longest time that a report is held until its ends are stored. After that the
/// agent reports them again.
constexpr Millis StoreWaitMs = 800;

/// Longest time between two searches for orders to send again. Changes cause a
/// search at once.
constexpr Millis OrdersEveryMs = 100;

bool isDue(Millis SentAt, Millis Now) {
  return SentAt < 0 || Now - SentAt >= ResendMs;
}

const RunReport *findReportedRun(const std::vector<detail::KnownRun> &Runs,
                                 const std::string &Task, int Run) {
  const auto It =
      std::find_if(Runs.begin(), Runs.end(), [&](const detail::KnownRun &R) {
        return R.m_report.m_run == Run && R.m_report.m_task == Task;
      });
  return It == Runs.end() ? nullptr : &It->m_report;
}

} // namespace

void Leader::addOrder(const Job &J, int K, int S, int I, Task &T, Millis Now,
                      Orders &Out) {
  const bool Stops = T.m_stop != StopReason::None;
  Millis &SentAt = Stops ? T.m_stopSentAt : T.m_startSentAt;
  if (T.m_batch > m_journal.durable() || !isDue(SentAt, Now))
    return;
  AgentView &A = m_agents[T.m_agent];
  if (A.m_worker.m_workerIncarnation != T.m_workerIncarnation ||
      (!Stops && (m_awaitsEvacuations || isEvacuated(A))))
    return;
  if (T.m_fullName.empty())
    T.m_fullName = toString(TaskName{J.m_spec.m_id, K, S, I});
  const RunReport *Seen = findReportedRun(A.m_runs, T.m_fullName, T.m_run);
  if (Seen != nullptr && (!Stops || Seen->m_phase == RunPhase::Stopping))
    return;
  if (A.m_heldReports.empty()) {
    A.m_hasPendingOrders = true;
    return;
  }
  SentAt = Now;
  AgentReply &Reply = Out[T.m_agent];
  if (Stops)
    Reply.m_stops.push_back({T.m_fullName, T.m_run});
  else
    Reply.m_starts.push_back(
        {T.m_fullName, T.m_run, J.m_spec.m_payload, T.m_checkpoint});
}

// Orders the agent to stop runs that are no task's current run any more. The
// members of a done gang are left alone, since they end on their own, and so
// are runs of jobs whose record cannot be read, as they may be current.
void Leader::addStopsOfUnwantedRuns(const AgentView &A, Orders &Out) const {
  for (const auto &[R, Name] : A.m_runs) {
    if (R.m_phase == RunPhase::Stopping || isCurrent(A, Name, R.m_run) ||
        A.m_endingGangRuns.contains({R.m_task, R.m_run}) ||
        m_unreadable.contains(Name.value_or(TaskName{}).m_job))
      continue;
    Out[A.m_name].m_stops.push_back({R.m_task, R.m_run});
  }
}

Leader::Orders Leader::collectOrders(Millis Now) {
  Orders Out;
  if (!confirmed(Now) || (!m_ordersDue && Now - m_ordersAt < OrdersEveryMs))
    return Out;
  m_ordersDue = false;
  m_ordersAt = Now;
  for (const auto &Entry : m_openJobs) {
    Job &J = *Entry.second;
    forEachTask(J.m_progress, [&](int K, int S, int I, Task &T) {
      if (T.m_phase == TaskPhase::Placed)
        addOrder(J, K, S, I, T, Now, Out);
    });
  }
  for (const auto &[Name, A] : m_agents) {
    if (!A.m_heldReports.empty())
      addStopsOfUnwantedRuns(A, Out);
  }
  return Out;
}

// Fills in everything but the orders.
void Leader::completeReply(const AgentView &A, Millis Now,
                           AgentReply &Out) const {
  Out.m_epoch = m_epoch;
  Out.m_leads = confirmed(Now);
  Out.m_workerIncarnation = A.m_worker.m_workerIncarnation;
  Out.m_fence = A.m_fence;
  if (isEvacuated(A) || !m_awaitsEvacuations)
    Out.m_evacuated = isEvacuated(A);
  if (A.m_entriesVersionSent != m_entriesVersion)
    Out.m_entries = m_entries;
  for (const auto &[Key, End] : A.m_ends) {
    if (End.m_batch <= m_journal.durable())
      Out.m_acknowledged.push_back({std::get<0>(Key), std::get<1>(Key),
                                    EndKind::Done, "", std::get<2>(Key), ""});
  }
}

// An acknowledged end is forgotten by the worker for good, so the log says what
// the decision relied on.
void Leader::recordAcknowledgements(AgentView &A, const AgentReply &R,
                                    Millis Now) {
  // The agent ignores a reply of a leader that is not confirmed.
  if (!R.m_leads)
    return;
  for (const EndReport &E : R.m_acknowledged) {
    detail::ReportedEnd &End = A.m_ends.at({E.m_task, E.m_run, E.m_number});
    if (std::exchange(End.m_acknowledged, true))
      continue;
    m_ports.event(
        "endAcknowledged", parseTaskName(E.m_task).value_or(TaskName{}).m_job,
        fmt::format("task={} run={} agent={} number={} batch={} "
                    "stored={} afterMs={}",
                    E.m_task, E.m_run, A.m_name, E.m_number, End.m_batch,
                    m_journal.durable(), Now - End.m_reportedAt));
  }
}

void Leader::answerAgents(Millis Now) {
  const bool Leads = confirmed(Now);
  Orders Due = collectOrders(Now);
  std::vector<std::pair<AgentAnswer, AgentReply>> Ready;
  for (auto &[Name, A] : m_agents) {
    if (A.m_heldReports.empty())
      continue;
    const auto Ordered = Due.find(Name);
    const bool Urgent = Ordered != Due.end() ||
                        (Leads && (A.m_fence != A.m_fenceSent ||
                                   isEvacuated(A) != A.m_evacuatedSent));
    const bool AllEndsStored =
        std::all_of(A.m_ends.begin(), A.m_ends.end(), [&](const auto &E) {
          return E.second.m_batch <= m_journal.durable();
        });
    const auto Held = std::find_if(
        A.m_heldReports.begin(), A.m_heldReports.end(),
        [&](const detail::HeldReport &P) {
          const Millis Waited = m_timing.m_longPollMs - (P.m_until - Now);
          const bool NothingToWaitFor =
              !P.m_longPoll && (AllEndsStored || Waited >= StoreWaitMs);
          return Urgent || NothingToWaitFor || Now >= P.m_until;
        });
    if (Held == A.m_heldReports.end())
      continue;
    AgentReply Reply =
        Ordered == Due.end() ? AgentReply{} : std::move(Ordered->second);
    completeReply(A, Now, Reply);
    if (Leads) {
      A.m_fenceSent = Reply.m_fence;
      A.m_evacuatedSent = isEvacuated(A);
    }
    A.m_entriesVersionSent = m_entriesVersion;
    recordAcknowledgements(A, Reply, Now);
    Ready.emplace_back(std::move(Held->m_answer), std::move(Reply));
    A.m_heldReports.erase(Held);
  }
  for (auto &[Answer, Reply] : Ready)
    Answer(std::move(Reply));
}

} // namespace pomelokeel::batch
