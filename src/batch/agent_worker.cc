#include "batch/agent.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

// What the worker says: heartbeats, answers to polls, and what follows for its
// runs.

namespace pomelokeel::batch {
namespace {

/// Pause before a failed poll is repeated.
constexpr Millis PollRetryMs = 200;
/// Pause between polls while ends are not acknowledged: the worker then answers
/// a poll at once instead of holding it.
constexpr Millis PollPauseMs = 250;
/// A worker ends right after its notice. If it answers later than this, the
/// notice was one of an earlier incarnation.
constexpr Millis LeftWorkerAnswersMs = 300;

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

// The notice names no incarnation, so it alone proves nothing. Polls tell
// whether the worker has ended; they grant no lease meanwhile.
void Agent::onWorkerLeft(const std::string &Id, Millis Now) {
  const bool Known = m_worker && m_worker->m_id == Id;
  m_ports.event("workerLeft", "",
                fmt::format("worker={} known={} runs={} ends={} leaseMs={}", Id,
                            Known, m_runs.size(), m_ends.size(),
                            std::max<Millis>(m_leaseUntil - Now, 0)));
  if (!Known || !m_synced || m_workerLeft)
    return;
  m_workerLeft = true;
  m_workerLeftAt = Now;
  m_failedPollsAfterNotice = 0;
  m_noticeSerial = m_serial;
  m_waitingPoll = 0; // An open poll may wait for its timeout.
  sendPoll(0, Now);
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
  m_workerLeft = false;
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
      !m_workerLeft && !m_stopping && inContact(Now, m_timing.m_autonomyMs))
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
    countFailureAfterNotice(Serial, Now);
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
  m_failedPollsAfterNotice = 0;
  if (m_workerLeft && Now - m_workerLeftAt > LeftWorkerAnswersMs) {
    m_workerLeft = false;
    m_ports.event("workerStays", "",
                  fmt::format("life={} afterMs={}",
                              m_worker->m_workerIncarnation,
                              Now - m_workerLeftAt));
  }
  if (m_failedPolls >= FailedPollsToUnhealthy) {
    m_ports.event("workerAnswers", "", fmt::format("after={}", m_failedPolls));
    m_changed = true;
  }
  m_failedPolls = 0;
  m_answeredSerial = Serial;
  setClock(A.m_clock, Now);
  // An earlier process of this agent may have granted a lease until now.
  if (!m_synced)
    recordLease(m_timing.m_leaseMs, Now);
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

// One disturbance may fail all calls that are under way, so each failure counts
// only for a poll that was sent after the one before had failed.
void Agent::countFailureAfterNotice(std::uint64_t Serial, Millis Now) {
  if (!m_workerLeft || Serial <= m_noticeSerial)
    return;
  m_noticeSerial = m_serial;
  ++m_failedPollsAfterNotice;
  if (isWorkerGone())
    endRunsOfLeftWorker(Now);
}

// Whether a start that was not answered is carried out by the next incarnation
// is not known, so such a run ends with the lease.
void Agent::endRunsOfLeftWorker(Millis Now) {
  std::vector<Key> Ended;
  for (const auto &[K, R] : m_runs) {
    const auto Late = m_lateStarts.find(K);
    if (!R.m_orderPending && (Late == m_lateStarts.end() || Late->second < Now))
      Ended.push_back(K);
  }
  for (const Key &K : Ended)
    endUnreportedRun(K, EndKind::LeaseExpired, "workerLeft");
}

// A worker kills its runs when its lease ends, also if it does not answer.
void Agent::expireLease(Millis Now) {
  if (m_failedPolls == 0 || !m_synced || Now <= m_leaseUntil)
    return;
  std::vector<Key> All;
  for (const auto &[K, R] : m_runs)
    All.push_back(K);
  for (const Key &K : All)
    endUnreportedRun(K, EndKind::LeaseExpired, "leaseExpired");
  m_leaseUntil = -1;
}

} // namespace pomelokeel::batch
