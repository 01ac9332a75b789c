#include "batch/agent.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace pomelokeel::batch {
namespace {

/// A lease lasts up to this many times longer on a worker whose clock is slow.
constexpr double ClockSlowness = 1.03;
/// Covers the transmission of the last lease renewal and late timers.
constexpr Millis LeaseMarginMs = 300;

/// Pause before an order that was not carried out is repeated.
constexpr Millis OrderRetryMs = 150;
/// Pause before a failed poll is repeated.
constexpr Millis PollRetryMs = 200;
/// Pause between polls while ends are not acknowledged: the worker then answers
/// a poll at once instead of holding it.
constexpr Millis PollPauseMs = 250;
/// Consecutive failed polls after which the worker counts as unhealthy.
constexpr int FailedPollsToUnhealthy = 2;
/// Pause between orders and the next report, so that it contains their outcome.
constexpr Millis AfterOrdersMs = 30;
/// Pause before the next report after one that failed or that an entry which is
/// not the leader answered.
constexpr Millis ReportRetryMs = 200;

} // namespace

void MalformedRows::add(std::optional<RunKey> Key) {
  ++m_count;
  if (Key)
    m_runs.push_back(std::move(*Key));
  else
    m_anyRun = true;
}

void MalformedRows::addEnd(std::optional<RunKey> Key,
                           std::int64_t LowestNumber) {
  add(std::move(Key));
  m_lowestEnd = std::min(m_lowestEnd, LowestNumber);
}

bool MalformedRows::mayContain(const RunKey &Key) const {
  return m_anyRun ||
         std::find(m_runs.begin(), m_runs.end(), Key) != m_runs.end();
}

Agent::Agent(std::string Name, std::int64_t Incarnation, const AgentTiming &T,
             AgentPorts &Ports, base::Counters &Counters)
    : m_name(std::move(Name)), m_incarnation(Incarnation), m_timing(T),
      m_ports(Ports), m_counters(Counters) {}

void Agent::onWorkerInfo(const WorkerInfo &W, Millis Now) {
  if (!m_worker) {
    m_ports.event("workerSeen", "",
                  fmt::format("life={} before=", W.m_workerIncarnation));
    m_inheritedStartsUntil = Now + LateOrderMs;
    m_changed = true;
  } else if (m_worker->m_workerIncarnation != W.m_workerIncarnation) {
    m_candidate = W;
    sendProbe();
    return advance(Now);
  } else {
    m_changed =
        m_changed || !m_described || (W.m_draining && !m_worker->m_draining);
  }
  m_worker = W;
  m_described = true;
  advance(Now);
}

// Asks the worker whether it is the candidate. The call grants no lease and
// acknowledges no end, because the ends of each incarnation have their own
// numbers.
void Agent::sendProbe() {
  PollCall C;
  C.m_serial = ++m_serial;
  C.m_fence = m_fence;
  C.m_worker = m_candidate->m_id;
  m_probes[C.m_serial] = C.m_worker;
  m_ports.poll(C);
}

// Drops the candidate if the answer to the poll Serial or to a later one shows
// that the worker is another one.
void Agent::settleCandidate(std::uint64_t Serial) {
  if (!m_candidate || (!m_probes.empty() && m_probes.rbegin()->first > Serial))
    return;
  m_ports.event("heartbeatIgnored", "",
                fmt::format("life={} known={} reason=\"not confirmed\"",
                            m_candidate->m_workerIncarnation,
                            m_worker->m_workerIncarnation));
  // A report may have left out the worker.
  m_changed = m_changed || inDoubt();
  m_candidate.reset();
}

void Agent::recordLateStart(const Key &K, Millis Now) {
  std::erase_if(m_lateStarts, [&](const auto &L) { return L.second < Now; });
  m_lateStarts[K] = Now + LateOrderMs;
}

// No run of the previous incarnation is left. Start orders that were not
// answered may still reach the new incarnation, even if their runs have ended
// since. Each of them is stopped there, so that the worker rejects a late
// start.
void Agent::resetForNewIncarnation(Millis Now) {
  for (const auto &[K, R] : m_runs) {
    if (R.m_orderPending)
      recordLateStart(K, Now);
  }
  std::map<Key, Run> Unsettled;
  for (const auto &[K, Until] : m_lateStarts) {
    if (Until < Now)
      continue;
    Run &R = Unsettled[K];
    R.m_report = {K.first, K.second, RunPhase::Stopping, 0, "", 0};
    R.m_stopWanted = true;
    R.m_retryAt = Now;
  }
  m_runs = std::move(Unsettled);
  keepEndsAsDone();
  m_highestEnd = m_acknowledged = m_forgotten = 0;
  m_sentAcknowledgements.clear();
  m_storedEnds.clear();
  m_malformed = {};
  m_synced = false;
  m_clockAt = -1;
  m_leaseUntil = -1;
  m_waitingPoll = 0;
  m_answeredSerial = m_serial;
  m_answeredFence = 0;
  m_pollAt = Now;
}

// The work of these runs is done, and nobody else can report it any more. Other
// ends are dropped: the leader counts their runs as lost, which costs the task
// no attempt.
void Agent::keepEndsAsDone() {
  std::erase_if(m_ends,
                [](const EndReport &E) { return E.m_kind != EndKind::Done; });
  for (EndReport &E : m_ends)
    E.m_number = 0;
  if (!m_ends.empty())
    m_ports.event("endsKept", "",
                  fmt::format("ends={} life={}", m_ends.size(),
                              m_worker->m_workerIncarnation));
}

void Agent::setClock(Millis Clock, Millis Now) {
  if (Clock < 0)
    return;
  // The clock starts anew with each incarnation, and only a poll tells which
  // one has answered. Newer answers overtake one to an order by less than its
  // timeout.
  const bool Restarted =
      m_clockAt >= 0 && Clock + m_timing.m_orderTimeoutMs < m_clock;
  m_clock = Clock;
  m_clockAt = Now;
  if (!Restarted)
    return;
  m_restartCheckSerial = m_serial + 1;
  m_ports.event("workerClockReset", "", fmt::format("clock={}", Clock));
  sendPoll(0, Now);
}

void Agent::recordLease(Millis Now) {
  const auto LongestLeaseMs = static_cast<Millis>(
      static_cast<double>(m_timing.m_leaseMs) * ClockSlowness);
  m_leaseUntil = std::max(m_leaseUntil, Now + LongestLeaseMs + LeaseMarginMs);
}

Millis Agent::extendLease(Millis Now) {
  recordLease(Now);
  return m_clock + (Now - m_clockAt) + m_timing.m_leaseMs;
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
  if (m_worker->m_draining)
    return endUnreportedRun(K, EndKind::NeverStarted, "draining");
  Run &R = m_runs[K];
  R.m_order = O;
  R.m_report = {O.m_task, O.m_run, RunPhase::Starting, 0, "", 0};
  sendStart(R, Now);
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
  if (m_clockAt < 0 || !m_synced || inDoubt()) {
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

void Agent::sendPoll(Millis WaitMs, Millis Now) {
  PollCall C;
  C.m_serial = ++m_serial;
  C.m_fence = m_fence;
  // The next incarnation of the worker may carry out the poll and forget ends
  // of its own, so nothing is acknowledged without need.
  if (m_acknowledged > m_forgotten && m_answeredSerial >= m_restartCheckSerial)
    C.m_acknowledged = m_sentAcknowledgements[C.m_serial] = m_acknowledged;
  C.m_waitMs = WaitMs;
  C.m_worker = m_worker->m_id;
  // A worker that may be lost gets no new lease, so that there is a time by
  // which all leases have ended.
  if (m_synced && m_clockAt >= 0 && m_failedPolls == 0 && !inDoubt() &&
      inContact(Now))
    C.m_deadline = extendLease(Now);
  if (WaitMs > 0 || m_waitingPoll == 0)
    m_waitingPoll = C.m_serial;
  m_ports.poll(C);
}

void Agent::onPollResult(std::uint64_t Serial, const PollResult &A,
                         Millis Now) {
  if (Serial == m_waitingPoll) {
    m_waitingPoll = 0;
    m_pollAt = A.m_answered ? Now : Now + PollRetryMs;
  }
  const auto Probe = m_probes.extract(Serial);
  if (Probe && m_worker &&
      (!A.m_answered || (Probe.mapped() != m_worker->m_id &&
                         (!m_candidate || m_candidate->m_workerIncarnation !=
                                              A.m_workerIncarnation)))) {
    // The worker refuses a call for another one. Under its own id it may be
    // restarting.
    if (m_candidate && !inDoubt())
      settleCandidate(Serial);
    return advance(Now);
  }
  if (!A.m_answered) {
    m_sentAcknowledgements.erase(Serial);
    if (++m_failedPolls == FailedPollsToUnhealthy) {
      m_ports.event("workerSilent", "", "polls failed");
      m_changed = true;
    }
    return advance(Now);
  }
  if (!m_worker || Serial <= m_answeredSerial)
    return advance(Now);
  if (A.m_workerIncarnation != m_worker->m_workerIncarnation) {
    m_described = m_candidate &&
                  m_candidate->m_workerIncarnation == A.m_workerIncarnation;
    m_ports.event("workerSeen", "",
                  fmt::format("life={} before={} described={}",
                              A.m_workerIncarnation,
                              m_worker->m_workerIncarnation, m_described));
    resetForNewIncarnation(Now);
    // If no heartbeat has described this incarnation yet, the next one does.
    if (m_described)
      m_worker = *std::exchange(m_candidate, std::nullopt);
    m_worker->m_workerIncarnation = A.m_workerIncarnation;
    m_changed = true;
  }
  settleCandidate(Serial);
  if (m_failedPolls >= FailedPollsToUnhealthy) {
    m_ports.event("workerAnswers", "", fmt::format("after={}", m_failedPolls));
    m_changed = true;
  }
  m_failedPolls = 0;
  m_answeredSerial = Serial;
  setClock(A.m_clock, Now);
  // An earlier process of this agent may have granted a lease until now.
  if (!m_synced)
    recordLease(Now);
  m_changed = m_changed || !m_synced;
  m_synced = true;
  if (const auto Sent = m_sentAcknowledgements.find(Serial);
      Sent != m_sentAcknowledgements.end())
    m_forgotten = std::max(m_forgotten, Sent->second);
  m_sentAcknowledgements.erase(m_sentAcknowledgements.begin(),
                               m_sentAcknowledgements.upper_bound(Serial));
  if (Serial >= m_fenceSerial && m_answeredFence < m_fence) {
    m_answeredFence = m_fence;
    m_changed = true;
    m_ports.event("fenceRaised", "",
                  fmt::format("fence={} life={}", m_fence,
                              m_worker->m_workerIncarnation));
  }
  reconcile(A);
  if (m_waitingPoll == 0 &&
      (!m_ends.empty() || !m_storedEnds.empty() || A.m_malformed.m_count > 0))
    m_pollAt = Now + PollPauseMs;
  advance(Now);
}

// Updates m_runs and m_ends to what the worker listed.
void Agent::reconcile(const PollResult &A) {
  if (A.m_malformed.m_count != m_malformed.m_count)
    m_ports.event("rowsIgnored", "",
                  fmt::format("malformed={} before={}", A.m_malformed.m_count,
                              m_malformed.m_count));
  m_malformed = A.m_malformed;
  for (const EndReport &E : A.m_ends) {
    m_runs.erase({E.m_task, E.m_run});
    if (E.m_number <= m_acknowledged || m_storedEnds.contains(E.m_number))
      continue;
    m_highestEnd = std::max(m_highestEnd, E.m_number);
    addEnd(E);
  }
  for (const RunReport &Reported : A.m_runs) {
    Run &R = m_runs[{Reported.m_task, Reported.m_run}];
    const RunPhase Before = R.m_report.m_phase;
    const bool Known = !R.m_report.m_task.empty();
    R.m_report = Reported;
    R.m_report.m_phase =
        Known && Before == RunPhase::Stopping ? Before : RunPhase::Running;
  }
  std::vector<Key> NotListed;
  for (const auto &Entry : m_runs) {
    const Key &K = Entry.first;
    const Run &R = Entry.second;
    const bool ResultKnown =
        R.m_answeredAtPoll > 0 && m_answeredSerial > R.m_answeredAtPoll;
    if (!ResultKnown || R.m_orderPending || A.m_moreEnds ||
        A.m_malformed.mayContain(K))
      continue;
    if (std::none_of(A.m_runs.begin(), A.m_runs.end(), [&](const RunReport &L) {
          return L.m_task == K.first && L.m_run == K.second;
        }))
      NotListed.push_back(K);
  }
  for (const Key &K : NotListed)
    endUnreportedRun(K,
                     m_runs[K].m_stopAnswered ? EndKind::NeverStarted
                                              : EndKind::LeaseExpired,
                     "notListed");
}

void Agent::addEnd(const EndReport &E) {
  if (std::any_of(m_ends.begin(), m_ends.end(), [&](const EndReport &Known) {
        return Known.m_number == E.m_number && Known.m_task == E.m_task &&
               Known.m_run == E.m_run;
      }))
    return;
  m_ends.push_back(E);
  m_changed = true;
  const auto Name = parseTaskName(E.m_task);
  m_ports.event("runEnded", Name ? Name->m_job : "",
                fmt::format("task={} run={} kind={} number={}", E.m_task,
                            E.m_run, base::nameOf(E.m_kind), E.m_number));
}

// Ends a run for which the worker has reported no end.
void Agent::endUnreportedRun(const Key &K, EndKind Kind,
                             const std::string &Detail) {
  std::string Checkpoint;
  if (const auto It = m_runs.find(K); It != m_runs.end())
    Checkpoint = It->second.m_report.m_checkpoint;
  m_runs.erase(K);
  addEnd({K.first, K.second, Kind, Checkpoint, 0, Detail});
}

// A worker kills its runs when its lease ends, also if it does not answer.
void Agent::expireLease(Millis Now) {
  if (m_failedPolls == 0 || m_leaseUntil < 0 || Now <= m_leaseUntil)
    return;
  std::vector<Key> All;
  for (const auto &[K, R] : m_runs)
    All.push_back(K);
  for (const Key &K : All)
    endUnreportedRun(K, EndKind::LeaseExpired, "leaseExpired");
  m_leaseUntil = -1;
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
  m_changed = false;
  m_openReports[R.m_sequence] = {Now, LongPoll, R.m_worker.has_value()};
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
  applyReply(*R, Report, Now);
  advance(Now);
}

void Agent::advance(Millis Now) {
  if (m_stopping)
    return;
  expireLease(Now);
  if (!m_worker)
    return;
  for (auto &[K, R] : m_runs) {
    if (R.m_orderPending || Now < R.m_retryAt)
      continue;
    if (R.m_stopWanted && !R.m_stopAnswered)
      sendStop(R, Now);
    else if (!R.m_stopWanted && R.m_report.m_phase == RunPhase::Starting)
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
  m_stopping = true;
  if (m_worker)
    sendPoll(0, Now);
}

} // namespace pomelokeel::batch
