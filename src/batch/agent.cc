#include "batch/agent.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace pomelokeel::batch {
namespace {

/// Covers the transmission of the last lease renewal and late timers.
constexpr Millis LeaseMarginMs = 300;

/// Pause before an order that was not carried out is repeated.
constexpr Millis OrderRetryMs = 150;
/// Pause between orders and the next report, so that it contains their outcome.
constexpr Millis AfterOrdersMs = 30;
/// Pause before the next report after one that failed or that an entry which is
/// not the leader answered.
constexpr Millis ReportRetryMs = 200;

/// Length of the leases of a draining worker. It may be gone without notice, so
/// its runs must be known to have ended soon. Covers the wait of a poll and the
/// restart of the agent, which then waits for a heartbeat.
constexpr Millis DrainLeaseMs = 4500;

/// How long an agent that stops waits for the acknowledgement of its ends while
/// its worker goes on, which needs the next agent to renew its lease.
constexpr Millis HandOverMs = 1000;

} // namespace
Agent::Agent(std::string Name, std::int64_t Incarnation, const AgentTiming &T,
             AgentPorts &Ports, base::Counters &Counters)
    : m_name(std::move(Name)), m_incarnation(Incarnation), m_timing(T),
      m_ports(Ports), m_counters(Counters) {}

void Agent::recordLease(Millis LeaseMs, Millis Now) {
  const auto LongestLeaseMs =
      static_cast<Millis>(static_cast<double>(LeaseMs) * ClockSlowness);
  m_leaseUntil = std::max(m_leaseUntil, Now + LongestLeaseMs + LeaseMarginMs);
}

Millis Agent::extendLease(Millis Now) {
  const Millis LeaseMs = m_worker->m_draining
                             ? std::min(m_timing.m_leaseMs, DrainLeaseMs)
                             : m_timing.m_leaseMs;
  recordLease(LeaseMs, Now);
  return m_clock + (Now - m_clockAt) + LeaseMs;
}

void Agent::applyReply(const AgentReply &R, const OpenReport &Report,
                       Millis Now) {
  if (!R.m_leads || R.m_epoch < m_epoch) {
    m_ports.event("replyIgnored", "",
                  fmt::format("epoch={} known={} leads={}", R.m_epoch, m_epoch,
                              R.m_leads));
    return;
  }
  if (R.m_epoch > m_epoch) {
    m_ports.event("leaderSeen", "", fmt::format("epoch={}", R.m_epoch));
    m_epoch = R.m_epoch;
  }
  // A leader of an earlier version sends no fence.
  raiseFence(std::max(R.m_fence, fenceOf(R.m_epoch, 0)), Now);
  // The leader counts leases from the last report that described the worker, so
  // replies to other reports permit neither leases nor starts.
  if (Report.m_describesWorker)
    m_contactAt = std::max(m_contactAt, Report.m_sentAt);
  if (!m_worker || R.m_workerIncarnation != m_worker->m_workerIncarnation)
    return;
  removeAcknowledgedEnds(R.m_acknowledged);
  // A leader that does not know yet sends no starts.
  if (R.m_evacuated || !R.m_starts.empty())
    setEvacuated(R.m_evacuated.value_or(false));
  for (const StopOrder &O : R.m_stops)
    handleStopOrder(O, Now);
  if (!Report.m_describesWorker)
    return;
  for (const StartOrder &O : R.m_starts)
    handleStartOrder(O, Report.m_sentAt, Now);
}

// The leader waits for the lists of a worker that has seen the new fence, so
// the worker is polled at once.
void Agent::raiseFence(std::uint64_t Fence, Millis Now) {
  if (Fence <= m_fence)
    return;
  m_fence = Fence;
  m_fenceSerial = m_serial + 1;
  if (m_synced)
    sendPoll(0, Now);
}

void Agent::handleStartOrder(const StartOrder &O, Millis SentAt, Millis Now) {
  const Key K(O.m_task, O.m_run);
  if (m_runs.contains(K) ||
      std::any_of(m_ends.begin(), m_ends.end(), [&](const EndReport &E) {
        return E.m_task == O.m_task && E.m_run == O.m_run;
      }))
    return;
  // The leader relies on an agent only for the autonomy time after its last
  // report. This reply answers the report that was sent at SentAt.
  if (Now - SentAt >= m_timing.m_autonomyMs)
    return;
  // The leader repeats the order to the next process of this agent.
  if (m_stopping)
    return;
  if (const char *Reason = reasonAgainstStarts())
    return withdrawStart(K, Reason, Now);
  Run &R = m_runs[K];
  R.m_order = O;
  R.m_report = {O.m_task, O.m_run, RunPhase::Starting, 0, "", 0};
  sendStart(R, Now);
}

void Agent::setEvacuated(bool Evacuated) {
  if (std::exchange(m_evacuated, Evacuated) != Evacuated)
    m_ports.event("evacuation", "",
                  fmt::format("state={}", Evacuated ? "begun" : "ended"));
}

const char *Agent::reasonAgainstStarts() const {
  if (m_workerLeft)
    return "workerLeft";
  if (m_worker->m_draining)
    return "draining";
  return m_evacuated ? "evacuated" : nullptr;
}

// Start orders are repeated without the leader, so the reason against them is
// looked for whenever one may be sent again, however the agent has learned of
// it. An order under way is left alone: if the worker answers it, the run has
// begun, and the leader decides whether it can end in time.
void Agent::withdrawUnstartedRuns(Millis Now) {
  const char *Reason = reasonAgainstStarts();
  if (Reason == nullptr)
    return;
  std::vector<Key> Unstarted;
  for (const auto &[K, R] : m_runs) {
    if (R.m_report.m_phase == RunPhase::Starting && !R.m_orderPending)
      Unstarted.push_back(K);
  }
  for (const Key &K : Unstarted)
    withdrawStart(K, Reason, Now);
}

// A copy of the order that the worker has not answered, also one of an earlier
// process of this agent, may still be carried out. Only a stop order prevents
// that.
void Agent::withdrawStart(const Key &K, const char *Reason, Millis Now) {
  const auto Late = m_lateStarts.find(K);
  const bool MayStart = (Late != m_lateStarts.end() && Now <= Late->second) ||
                        Now < m_inheritedStartsUntil;
  const auto Name = parseTaskName(K.first);
  m_ports.event("startWithdrawn", Name ? Name->m_job : "",
                fmt::format("task={} run={} reason={} sent={}", K.first,
                            K.second, Reason, MayStart ? "maybe" : "no"));
  if (MayStart)
    return handleStopOrder({K.first, K.second}, Now);
  endUnreportedRun(K, EndKind::NeverStarted, Reason);
}

void Agent::handleStopOrder(const StopOrder &O, Millis Now) {
  const Key K(O.m_task, O.m_run);
  if (std::any_of(m_ends.begin(), m_ends.end(), [&](const EndReport &E) {
        return E.m_task == O.m_task && E.m_run == O.m_run;
      }))
    return;
  Run &R = m_runs[K];
  if (R.m_stopWanted)
    return;
  R.m_report.m_task = O.m_task;
  R.m_report.m_run = O.m_run;
  R.m_report.m_phase = RunPhase::Stopping;
  R.m_stopWanted = true;
  if (!R.m_orderPending)
    sendStop(R, Now);
}

void Agent::removeAcknowledgedEnds(const std::vector<EndReport> &Acknowledged) {
  for (const EndReport &N : Acknowledged) {
    const auto Erased = std::erase_if(m_ends, [&](const EndReport &E) {
      return E.m_number == N.m_number && E.m_task == N.m_task &&
             E.m_run == N.m_run;
    });
    if (Erased > 0 && N.m_number > 0)
      m_storedEnds.insert(N.m_number);
  }
  // The worker forgets what is acknowledged, so an end that could not be read
  // stays above.
  std::int64_t Lowest = std::min(m_highestEnd + 1, m_malformed.m_lowestEnd);
  for (const EndReport &E : m_ends) {
    if (E.m_number > 0)
      Lowest = std::min(Lowest, E.m_number);
  }
  if (Lowest - 1 > m_acknowledged) {
    m_acknowledged = Lowest - 1;
    m_ports.event("endsAcknowledged", "",
                  fmt::format("through={} highest={} epoch={} life={}",
                              m_acknowledged, m_highestEnd, m_epoch,
                              m_worker->m_workerIncarnation));
  }
  std::erase_if(m_storedEnds,
                [&](std::int64_t N) { return N <= m_acknowledged; });
  if (m_ends.empty() && !Acknowledged.empty())
    m_pollAt = 0;
}

void Agent::sendStart(Run &R, Millis Now) {
  // A start grants a lease, which a worker that may be lost must not get. A
  // leader that is not heard may have been asked to cancel the job.
  if (m_clockAt < 0 || !m_synced || inDoubt() ||
      !inContact(Now, m_timing.m_startAutonomyMs) ||
      m_failedPolls >= FailedPollsToUnhealthy) {
    R.m_retryAt = Now + OrderRetryMs;
    return;
  }
  R.m_orderPending = true;
  m_ports.start({R.m_order, extendLease(Now), m_fence, m_worker->m_id});
}

void Agent::sendStop(Run &R, Millis Now) {
  R.m_orderPending = true;
  R.m_retryAt = Now + OrderRetryMs;
  m_ports.stop({R.m_report.m_task, R.m_report.m_run, m_fence, m_worker->m_id});
}

void Agent::onStartResult(const std::string &Task, int RunNumber,
                          const OrderResult &A, Millis Now) {
  const auto It = m_runs.find({Task, RunNumber});
  setClock(A.m_clock, Now);
  if (It == m_runs.end() || !It->second.m_orderPending)
    return;
  Run &R = It->second;
  R.m_orderPending = false;
  R.m_retryAt = Now + OrderRetryMs;
  m_counters.get(fmt::format("worker_starts{{outcome=\"{}\"}}",
                             static_cast<int>(A.m_outcome)))++;
  switch (A.m_outcome) {
  case OrderOutcome::Done:
    R.m_answeredAtPoll = m_serial;
    if (!R.m_stopWanted)
      R.m_report.m_phase = RunPhase::Running;
    break;
  case OrderOutcome::Refused:
  case OrderOutcome::Ended:
    m_ports.event(
        "startRefused", "",
        fmt::format("task={} run={} reason={}", Task, RunNumber, A.m_reason));
    // An earlier attempt may still be carried out, or the run may have ended.
    // A stop order and the next poll settle which.
    if (m_lateStarts.contains(It->first) || Now < m_inheritedStartsUntil ||
        A.m_outcome == OrderOutcome::Ended)
      R.m_stopWanted = true;
    else if (!R.m_stopWanted)
      return endUnreportedRun({Task, RunNumber}, EndKind::NeverStarted,
                              A.m_reason);
    break;
  case OrderOutcome::Unanswered:
    recordLateStart(It->first, Now);
    break;
  }
  if (R.m_stopWanted)
    sendStop(R, Now);
}

void Agent::onStopResult(const std::string &Task, int RunNumber,
                         const OrderResult &A, Millis Now) {
  const auto It = m_runs.find({Task, RunNumber});
  setClock(A.m_clock, Now);
  if (It == m_runs.end() || !It->second.m_orderPending)
    return;
  Run &R = It->second;
  R.m_orderPending = false;
  R.m_retryAt = Now + OrderRetryMs;
  m_counters.get(fmt::format("worker_stops{{outcome=\"{}\"}}",
                             static_cast<int>(A.m_outcome)))++;
  // A worker that refuses a stop has done nothing, so the stop is repeated.
  if (A.m_outcome == OrderOutcome::Refused)
    m_ports.event(
        "stopRefused", "",
        fmt::format("task={} run={} reason={}", Task, RunNumber, A.m_reason));
  if (A.m_outcome == OrderOutcome::Unanswered ||
      A.m_outcome == OrderOutcome::Refused)
    return;
  R.m_stopAnswered = true;
  R.m_answeredAtPoll = m_serial;
  sendPoll(0, Now);
}

void Agent::sendReport(bool LongPoll, Millis Now) {
  AgentReport R;
  R.m_agent = m_name;
  R.m_incarnation = m_incarnation;
  R.m_sequence = ++m_sequence;
  R.m_longPoll = LongPoll;
  R.m_unhealthy = m_failedPolls >= FailedPollsToUnhealthy;
  // The runs are unknown until the worker has answered a poll.
  if (m_synced && m_described && !inDoubt()) {
    R.m_worker = m_worker;
    for (const auto &[K, Known] : m_runs)
      R.m_runs.push_back(Known.m_report);
    R.m_ends = m_ends;
    R.m_fence = m_answeredFence;
  }
  if (m_stopping)
    R.m_leasesEndInMs = std::max<Millis>(m_leaseUntil - Now, 0);
  m_changed = false;
  m_openReports[R.m_sequence] = {Now, LongPoll, R.m_worker.has_value(),
                                 m_stopping && R.m_worker.has_value()};
  m_ports.report(R);
}

void Agent::onReportReply(std::uint64_t Sequence,
                          const std::optional<AgentReply> &R, Millis Now) {
  const auto It = m_openReports.find(Sequence);
  if (It == m_openReports.end())
    return;
  const OpenReport Report = It->second;
  m_openReports.erase(It);
  if (!R) {
    m_reportAt = Now + ReportRetryMs;
    // The content of the failed report must be sent again.
    m_changed = m_changed || !Report.m_longPoll || !m_ends.empty();
    return;
  }
  if (!R->m_starts.empty() || !R->m_stops.empty())
    m_reportAt = Now + AfterOrdersMs;
  if (!R->m_leads)
    m_reportAt = Now + ReportRetryMs;
  m_lastReportAnswered = m_lastReportAnswered ||
                         (Report.m_last && R->m_leads && R->m_epoch >= m_epoch);
  applyReply(*R, Report, Now);
  advance(Now);
}

void Agent::advance(Millis Now) {
  if (m_stopping && mayEnd(Now))
    return;
  expireLease(Now);
  if (!m_worker)
    return;
  withdrawUnstartedRuns(Now);
  for (auto &[K, R] : m_runs) {
    if (R.m_orderPending || Now < R.m_retryAt)
      continue;
    if (R.m_stopWanted && !R.m_stopAnswered)
      sendStop(R, Now);
    else if (!m_stopping && !R.m_stopWanted &&
             R.m_report.m_phase == RunPhase::Starting)
      sendStart(R, Now);
  }
  if (m_waitingPoll == 0 && Now >= m_pollAt)
    sendPoll(m_synced ? m_timing.m_pollWaitMs : 0, Now);
  if (Now < m_reportAt)
    return;
  const bool LongPollOpen =
      std::any_of(m_openReports.begin(), m_openReports.end(),
                  [](const auto &S) { return S.second.m_longPoll; });
  const bool ReportOpen =
      std::any_of(m_openReports.begin(), m_openReports.end(),
                  [](const auto &S) { return !S.second.m_longPoll; });
  if (m_changed && !ReportOpen)
    sendReport(false, Now);
  else if (!LongPollOpen)
    sendReport(true, Now);
}

void Agent::beginStop(Millis Now) {
  m_ports.event("stopping", "",
                fmt::format("runs={} ends={} workerLeft={} leaseMs={}",
                            m_runs.size(), m_ends.size(), m_workerLeft,
                            std::max<Millis>(m_leaseUntil - Now, 0)));
  if (m_worker)
    sendPoll(0, Now);
  m_stopping = true;
  m_stoppingSince = Now;
  if (m_worker)
    sendReport(false, Now);
}

bool Agent::mayEnd(Millis Now) const {
  if (m_failedPolls == 0 && !m_workerLeft) {
    // The next process finds out the rest from the worker.
    const bool OnlyKnownHere =
        std::any_of(m_ends.begin(), m_ends.end(),
                    [](const EndReport &E) { return E.m_number == 0; });
    return !OnlyKnownHere || Now - m_stoppingSince >= HandOverMs;
  }
  if (!m_ends.empty())
    return false;
  if (m_workerLeft && !isWorkerGone() && !m_runs.empty())
    return false;
  return m_runs.empty() || m_lastReportAnswered;
}

} // namespace pomelokeel::batch
