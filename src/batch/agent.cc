#include "batch/agent.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace pomelokeel::batch {
namespace {

/// A worker's clock may be this much slow, so a lease lasts longer there.
constexpr double ClockSlowness = 1.03;
/// For the way of the last grant and late timers.
constexpr Millis LeaseMarginMs = 300;

/// How long an order that was not answered may still be carried out. The
/// platform says seconds; 12 s were seen.
constexpr Millis LateOrderMs = 20000;

/// Pause before an order that was not answered is repeated.
constexpr Millis OrderRetryMs = 150;
/// Pause before a look that failed is repeated.
constexpr Millis LookRetryMs = 200;
/// Pause between looks while ends are not noted: the worker lists them again at
/// once instead of waiting.
constexpr Millis LookPauseMs = 250;
/// Looks that fail in a row until the worker counts as unhealthy.
constexpr int FailedLooksToUnhealthy = 2;
/// Pause after orders before the next report, which then tells their outcome.
constexpr Millis AfterOrdersMs = 30;
/// Pause before a report that failed is repeated.
constexpr Millis ReportRetryMs = 200;

} // namespace

Agent::Agent(std::string Name, std::int64_t Incarnation, const AgentTiming &T,
             AgentPorts &Ports, base::Counters &Counters)
    : m_name(std::move(Name)), m_incarnation(Incarnation), m_timing(T),
      m_ports(Ports), m_counters(Counters) {}

void Agent::onWorker(const WorkerInfo &W, Millis Now) {
  const bool NewLife = !m_worker || m_worker->m_life != W.m_life;
  const bool Drains = W.m_draining && (NewLife || !m_worker->m_draining);
  if (NewLife) {
    m_ports.event("workerSeen", "",
                  fmt::format("life={} before={}", W.m_life,
                              m_worker ? m_worker->m_life : ""));
    if (m_worker)
      forgetLife(Now);
  }
  m_worker = W;
  m_changed = m_changed || NewLife || Drains;
  advance(Now);
}

void Agent::noteLate(const Key &K, Millis Now) {
  std::erase_if(m_late, [&](const auto &L) { return L.second < Now; });
  m_late[K] = Now + LateOrderMs;
}

// The life before runs nothing any more. What may still reach the new one are
// starts that were not answered, even those of runs that have ended since: such
// runs are stopped there, so that it takes them no more.
void Agent::forgetLife(Millis Now) {
  for (const auto &[K, R] : m_runs) {
    if (R.m_calling)
      noteLate(K, Now);
  }
  std::map<Key, Run> Open;
  for (const auto &[K, Until] : m_late) {
    if (Until < Now)
      continue;
    Run &Void = Open[K];
    Void.m_report = {K.first, K.second, RunPhase::Stopping, 0, "", 0};
    Void.m_stopWanted = true;
    Void.m_retryAt = Now;
  }
  m_runs = std::move(Open);
  m_ends.clear();
  m_highestEnd = m_noted = 0;
  m_synced = false;
  m_clockAt = -1;
  m_leaseUntil = -1;
  m_longLook = 0;
  m_lookedSerial = m_serial;
  m_lookAt = Now;
}

void Agent::setClock(Millis Clock, Millis Now) {
  if (Clock < 0)
    return;
  m_clock = Clock;
  m_clockAt = Now;
}

Millis Agent::deadline(Millis Now) {
  const auto Longest = static_cast<Millis>(
      static_cast<double>(m_timing.m_leaseMs) * ClockSlowness);
  m_leaseUntil = std::max(m_leaseUntil, Now + Longest + LeaseMarginMs);
  return m_clock + (Now - m_clockAt) + m_timing.m_leaseMs;
}

void Agent::takeReply(const AgentReply &R, Millis SentAt, Millis Now) {
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
  m_contactAt = std::max(m_contactAt, SentAt);
  if (!m_worker || R.m_life != m_worker->m_life)
    return;
  takeNoted(R.m_noted);
  for (const StopOrder &O : R.m_stops)
    takeStop(O, Now);
  for (const StartOrder &O : R.m_starts)
    takeStart(O, SentAt, Now);
}

void Agent::takeStart(const StartOrder &O, Millis SentAt, Millis Now) {
  const Key K(O.m_task, O.m_run);
  if (m_runs.contains(K) ||
      std::any_of(m_ends.begin(), m_ends.end(), [&](const EndReport &E) {
        return E.m_task == O.m_task && E.m_run == O.m_run;
      }))
    return;
  // The leader counts on this agent only for so long after it was heard.
  if (Now - SentAt >= m_timing.m_autonomyMs)
    return;
  if (m_worker->m_draining)
    return endWithout(K, EndKind::Void, "draining");
  Run &R = m_runs[K];
  R.m_order = O;
  R.m_report = {O.m_task, O.m_run, RunPhase::Starting, 0, "", 0};
  sendStart(R, Now);
}

void Agent::takeStop(const StopOrder &O, Millis Now) {
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
  if (!R.m_calling)
    sendStop(R, Now);
}

void Agent::takeNoted(const std::vector<EndReport> &Noted) {
  for (const EndReport &N : Noted) {
    std::erase_if(m_ends, [&](const EndReport &E) {
      return E.m_number == N.m_number && E.m_task == N.m_task &&
             E.m_run == N.m_run;
    });
  }
  std::int64_t Lowest = m_highestEnd + 1;
  for (const EndReport &E : m_ends) {
    if (E.m_number > 0)
      Lowest = std::min(Lowest, E.m_number);
  }
  m_noted = std::max(m_noted, Lowest - 1);
  if (m_ends.empty() && !Noted.empty())
    m_lookAt = 0;
}

void Agent::sendStart(Run &R, Millis Now) {
  if (m_clockAt < 0 || !m_synced) {
    R.m_retryAt = Now + OrderRetryMs;
    return;
  }
  R.m_calling = true;
  m_ports.start({R.m_order, deadline(Now), m_epoch});
}

void Agent::sendStop(Run &R, Millis Now) {
  R.m_calling = true;
  R.m_retryAt = Now + OrderRetryMs;
  m_ports.stop({R.m_report.m_task, R.m_report.m_run, m_epoch});
}

void Agent::onStart(const std::string &Task, int RunNumber,
                    const OrderAnswer &A, Millis Now) {
  const auto It = m_runs.find({Task, RunNumber});
  setClock(A.m_clock, Now);
  if (It == m_runs.end() || !It->second.m_calling)
    return;
  Run &R = It->second;
  R.m_calling = false;
  R.m_retryAt = Now + OrderRetryMs;
  m_counters.get(fmt::format("worker_starts{{outcome=\"{}\"}}",
                             static_cast<int>(A.m_outcome)))++;
  switch (A.m_outcome) {
  case OrderOutcome::Done:
    R.m_settledBy = m_serial;
    if (!R.m_stopWanted)
      R.m_report.m_phase = RunPhase::Running;
    break;
  case OrderOutcome::Refused:
  case OrderOutcome::Ended:
    m_ports.event(
        "startRefused", "",
        fmt::format("task={} run={} reason={}", Task, RunNumber, A.m_reason));
    // An earlier attempt may still be carried out, or the run may have ended:
    // a stop and a look after it tell.
    if (m_late.contains(It->first) || A.m_outcome == OrderOutcome::Ended)
      R.m_stopWanted = true;
    else if (!R.m_stopWanted)
      return endWithout({Task, RunNumber}, EndKind::Void, A.m_reason);
    break;
  case OrderOutcome::Unanswered:
    noteLate(It->first, Now);
    break;
  }
  if (R.m_stopWanted)
    sendStop(R, Now);
}

void Agent::onStop(const std::string &Task, int RunNumber, const OrderAnswer &A,
                   Millis Now) {
  const auto It = m_runs.find({Task, RunNumber});
  setClock(A.m_clock, Now);
  if (It == m_runs.end() || !It->second.m_calling)
    return;
  Run &R = It->second;
  R.m_calling = false;
  R.m_retryAt = Now + OrderRetryMs;
  m_counters.get(fmt::format("worker_stops{{outcome=\"{}\"}}",
                             static_cast<int>(A.m_outcome)))++;
  // A worker that refuses a stop has done nothing: it is asked again.
  if (A.m_outcome == OrderOutcome::Refused)
    m_ports.event(
        "stopRefused", "",
        fmt::format("task={} run={} reason={}", Task, RunNumber, A.m_reason));
  if (A.m_outcome == OrderOutcome::Unanswered ||
      A.m_outcome == OrderOutcome::Refused)
    return;
  R.m_stopped = true;
  R.m_settledBy = m_serial;
  sendLook(0, Now);
}

void Agent::sendLook(Millis WaitMs, Millis Now) {
  LookCall C;
  C.m_serial = ++m_serial;
  C.m_fence = m_epoch;
  C.m_noted = m_noted;
  C.m_waitMs = WaitMs;
  // A worker that may be gone gets no further grants, so that there is a time
  // by which all have run out.
  if (m_synced && m_clockAt >= 0 && m_looksFailed == 0 && inContact(Now))
    C.m_deadline = deadline(Now);
  if (WaitMs > 0 || m_longLook == 0)
    m_longLook = C.m_serial;
  m_ports.look(C);
}

void Agent::onLook(std::uint64_t Serial, const LookAnswer &A, Millis Now) {
  if (Serial == m_longLook) {
    m_longLook = 0;
    m_lookAt = A.m_answered ? Now : Now + LookRetryMs;
  }
  if (!A.m_answered) {
    if (++m_looksFailed == FailedLooksToUnhealthy) {
      m_ports.event("workerSilent", "", "looks failed");
      m_changed = true;
    }
    return advance(Now);
  }
  if (!m_worker || Serial <= m_lookedSerial)
    return advance(Now);
  if (A.m_life != m_worker->m_life) {
    // Its next heartbeat describes the new life in full.
    m_ports.event(
        "workerSeen", "",
        fmt::format("life={} before={} by=look", A.m_life, m_worker->m_life));
    forgetLife(Now);
    m_worker->m_life = A.m_life;
    m_changed = true;
  }
  if (m_looksFailed >= FailedLooksToUnhealthy) {
    m_ports.event("workerAnswers", "", fmt::format("after={}", m_looksFailed));
    m_changed = true;
  }
  m_looksFailed = 0;
  m_lookedSerial = Serial;
  setClock(A.m_clock, Now);
  m_changed = m_changed || !m_synced;
  m_synced = true;
  reconcile(A);
  if (m_longLook == 0 && !m_ends.empty())
    m_lookAt = Now + LookPauseMs;
  advance(Now);
}

// Brings the table in line with what the worker lists.
void Agent::reconcile(const LookAnswer &A) {
  for (const EndReport &E : A.m_ends) {
    m_runs.erase({E.m_task, E.m_run});
    if (E.m_number <= m_noted)
      continue;
    m_highestEnd = std::max(m_highestEnd, E.m_number);
    addEnd(E);
  }
  for (const RunReport &Listed : A.m_runs) {
    Run &R = m_runs[{Listed.m_task, Listed.m_run}];
    const RunPhase Before = R.m_report.m_phase;
    const bool Known = !R.m_report.m_task.empty();
    R.m_report = Listed;
    R.m_report.m_phase =
        Known && Before == RunPhase::Stopping ? Before : RunPhase::Running;
  }
  std::vector<Key> Gone;
  for (const auto &Entry : m_runs) {
    const Key &K = Entry.first;
    const Run &R = Entry.second;
    const bool Settled = R.m_settledBy > 0 && m_lookedSerial > R.m_settledBy;
    if (!Settled || R.m_calling)
      continue;
    if (std::none_of(A.m_runs.begin(), A.m_runs.end(), [&](const RunReport &L) {
          return L.m_task == K.first && L.m_run == K.second;
        }))
      Gone.push_back(K);
  }
  for (const Key &K : Gone)
    endWithout(K, m_runs[K].m_stopped ? EndKind::Void : EndKind::Lapsed,
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

// Records the end of a run that the worker has none for.
void Agent::endWithout(const Key &K, EndKind Kind, const std::string &Detail) {
  std::string Saved;
  if (const auto It = m_runs.find(K); It != m_runs.end())
    Saved = It->second.m_report.m_saved;
  m_runs.erase(K);
  addEnd({K.first, K.second, Kind, Saved, 0, Detail});
}

// A worker that does not answer has killed what it ran when its lease ended.
void Agent::expireLease(Millis Now) {
  if (m_looksFailed == 0 || m_leaseUntil < 0 || Now <= m_leaseUntil)
    return;
  std::vector<Key> All;
  for (const auto &[K, R] : m_runs)
    All.push_back(K);
  for (const Key &K : All)
    endWithout(K, EndKind::Lapsed, "leaseExpired");
  m_leaseUntil = -1;
}

void Agent::sendReport(bool Waits, Millis Now) {
  AgentReport R;
  R.m_agent = m_name;
  R.m_incarnation = m_incarnation;
  R.m_sequence = ++m_sequence;
  R.m_waits = Waits;
  R.m_unhealthy = m_looksFailed >= FailedLooksToUnhealthy;
  // What runs is not known before the worker was looked at.
  if (m_synced) {
    R.m_worker = m_worker;
    for (const auto &[K, Known] : m_runs)
      R.m_runs.push_back(Known.m_report);
    R.m_ends = m_ends;
  }
  m_changed = false;
  m_sent[R.m_sequence] = {Now, Waits};
  m_ports.report(R);
}

void Agent::onReply(std::uint64_t Sequence, const std::optional<AgentReply> &R,
                    Millis Now) {
  const auto It = m_sent.find(Sequence);
  if (It == m_sent.end())
    return;
  const auto [SentAt, Waits] = It->second;
  m_sent.erase(It);
  if (!R) {
    m_reportAt = Now + ReportRetryMs;
    // What it told must be told again.
    m_changed = m_changed || !Waits || !m_ends.empty();
    return;
  }
  if (!R->m_starts.empty() || !R->m_stops.empty())
    m_reportAt = Now + AfterOrdersMs;
  if (!R->m_leads)
    m_reportAt = Now + ReportRetryMs;
  takeReply(*R, SentAt, Now);
  advance(Now);
}

void Agent::advance(Millis Now) {
  if (m_stopping)
    return;
  expireLease(Now);
  if (!m_worker)
    return;
  for (auto &[K, R] : m_runs) {
    if (R.m_calling || Now < R.m_retryAt)
      continue;
    if (R.m_stopWanted && !R.m_stopped)
      sendStop(R, Now);
    else if (!R.m_stopWanted && R.m_report.m_phase == RunPhase::Starting)
      sendStart(R, Now);
  }
  if (m_longLook == 0 && Now >= m_lookAt)
    sendLook(m_synced ? m_timing.m_lookMs : 0, Now);
  if (Now < m_reportAt)
    return;
  const bool Waiting =
      std::any_of(m_sent.begin(), m_sent.end(),
                  [](const auto &S) { return S.second.second; });
  const bool Telling =
      std::any_of(m_sent.begin(), m_sent.end(),
                  [](const auto &S) { return !S.second.second; });
  if (m_changed && !Telling)
    sendReport(false, Now);
  else if (!Waiting)
    sendReport(true, Now);
}

void Agent::beginStop(Millis Now) {
  m_stopping = true;
  if (m_worker)
    sendLook(0, Now);
}

} // namespace pomelokeel::batch
