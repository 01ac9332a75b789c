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

const RunReport *findReportedRun(const std::vector<RunReport> &Runs,
                                 const std::string &Task, int Run) {
  const auto It =
      std::find_if(Runs.begin(), Runs.end(), [&](const RunReport &R) {
        return R.m_task == Task && R.m_run == Run;
      });
  return It == Runs.end() ? nullptr : &*It;
}

} // namespace

void Leader::addOrder(const Job &J, int K, int S, int I, Task &T, Millis Now,
                      std::map<std::string, AgentReply> &Out) {
  AgentView &A = m_agents[T.m_agent];
  const bool Stops = T.m_stop != StopReason::None;
  Millis &SentAt = Stops ? T.m_stopSentAt : T.m_startSentAt;
  if (A.m_worker.m_workerIncarnation != T.m_workerIncarnation ||
      T.m_batch > m_journal.durable() || !isDue(SentAt, Now))
    return;
  if (T.m_fullName.empty())
    T.m_fullName = toString(TaskName{J.m_spec.m_id, K, S, I});
  const RunReport *Seen = findReportedRun(A.m_runs, T.m_fullName, T.m_run);
  if (Seen != nullptr && (!Stops || Seen->m_phase == RunPhase::Stopping))
    return;
  const auto Order = Out.find(T.m_agent);
  if (Order == Out.end()) {
    A.m_hasPendingOrders = true;
    return;
  }
  SentAt = Now;
  if (Stops)
    Order->second.m_stops.push_back({T.m_fullName, T.m_run});
  else
    Order->second.m_starts.push_back(
        {T.m_fullName, T.m_run, J.m_spec.m_payload, T.m_checkpoint});
}

// Orders the agent to stop runs that are no task's current run any more. The
// members of a done gang are left alone, since they end on their own, and so
// are runs of jobs whose record cannot be read, as they may be current.
void Leader::addStopsOfUnwantedRuns(AgentView &A, AgentReply &Out) const {
  for (const RunReport &R : A.m_runs) {
    if (R.m_phase == RunPhase::Stopping || isCurrent(A, R.m_task, R.m_run) ||
        A.m_endingGangRuns.contains({R.m_task, R.m_run}) ||
        m_unreadable.contains(
            parseTaskName(R.m_task).value_or(TaskName{}).m_job))
      continue;
    Out.m_stops.push_back({R.m_task, R.m_run});
  }
}

std::map<std::string, AgentReply> Leader::collectOrders(Millis Now) {
  std::map<std::string, AgentReply> Out;
  for (auto &[Name, A] : m_agents) {
    if (A.m_heldReports.empty())
      continue;
    AgentReply &R = Out[Name];
    R.m_epoch = m_epoch;
    R.m_leads = confirmed(Now);
    R.m_workerIncarnation = A.m_worker.m_workerIncarnation;
    R.m_fence = A.m_fence;
    if (A.m_entriesVersionSent != m_entriesVersion)
      R.m_entries = m_entries;
    for (const auto &[Key, End] : A.m_ends) {
      if (End.m_batch <= m_journal.durable())
        R.m_acknowledged.push_back({std::get<0>(Key), std::get<1>(Key),
                                    EndKind::Done, "", std::get<2>(Key), ""});
    }
  }
  if (Out.empty() || !confirmed(Now) ||
      (!m_ordersDue && Now - m_ordersAt < OrdersEveryMs))
    return Out;
  m_ordersDue = false;
  m_ordersAt = Now;
  for (auto &Entry : m_jobs) {
    Job &J = Entry.second;
    forEachTask(J.m_progress, [&](int K, int S, int I, Task &T) {
      if (T.m_phase == TaskPhase::Placed)
        addOrder(J, K, S, I, T, Now, Out);
    });
  }
  for (auto &[Name, R] : Out)
    addStopsOfUnwantedRuns(m_agents[Name], R);
  return Out;
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
  std::vector<std::pair<AgentAnswer, AgentReply>> Ready;
  for (const auto &Entry : collectOrders(Now)) {
    const AgentReply &Reply = Entry.second;
    AgentView &A = m_agents[Entry.first];
    const bool Urgent = !Reply.m_starts.empty() || !Reply.m_stops.empty() ||
                        (Reply.m_leads && Reply.m_fence != A.m_fenceSent);
    const bool AllEndsStored =
        std::all_of(A.m_ends.begin(), A.m_ends.end(), [&](const auto &E) {
          return E.second.m_batch <= m_journal.durable();
        });
    bool Answered = false;
    std::erase_if(A.m_heldReports, [&](detail::HeldReport &P) {
      const Millis Waited = m_timing.m_longPollMs - (P.m_until - Now);
      const bool NothingToWaitFor =
          !P.m_longPoll && (AllEndsStored || Waited >= StoreWaitMs);
      if (Answered || (!Urgent && !NothingToWaitFor && Now < P.m_until))
        return false;
      Answered = true;
      if (Reply.m_leads)
        A.m_fenceSent = Reply.m_fence;
      A.m_entriesVersionSent = m_entriesVersion;
      recordAcknowledgements(A, Reply, Now);
      Ready.emplace_back(std::move(P.m_answer), Reply);
      return true;
    });
  }
  for (auto &[Answer, Reply] : Ready)
    Answer(std::move(Reply));
}

} // namespace pomelokeel::batch
