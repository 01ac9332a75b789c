#include "batch/leader.h"

#include "base/compact.h"

#include <fmt/format.h>

#include <algorithm>
#include <string_view>
#include <utility>

namespace pomelokeel::batch {
namespace {

/// Longest time between two looks at what could be started. Changes cause one
/// at once; this covers what only time changes (quarantine, silence).
constexpr Millis ScheduleEveryMs = 250;

template <typename T> std::string pack(const T &Value) {
  return base::dumpJson(base::encodeCompact(Value));
}

template <typename T> base::Status unpack(const KeyedRecord &R, T &Out) {
  const base::Json J = base::parseJson(R.m_value);
  if (J.is_discarded())
    return base::Error{base::ErrorKind::BadRequest, "not valid JSON"};
  return base::decodeCompact(J, "", Out);
}

} // namespace

Leader::Leader(const Timing &T, LeaderPorts &Ports, base::Counters &Counters,
               std::uint64_t Epoch, Millis Now, Millis Wall)
    : m_timing(T), m_ports(Ports), m_counters(Counters), m_epoch(Epoch),
      m_startedAt(Now), m_confirmedAt(Now),
      m_journal(Epoch, [this](const JournalBatch &B) { m_ports.append(B); }) {
  m_ports.event("leadershipTaken", "",
                fmt::format("epoch={} wall={}", Epoch, Wall));
}

base::Status Leader::load(const std::vector<KeyedRecord> &Records) {
  base::Status Out = base::success();
  auto Keep = [&](const KeyedRecord &R, const base::Status &S) {
    m_unreadable.insert(R.m_key.substr(R.m_key.find('/') + 1));
    if (!Out)
      return;
    Out = base::Error{base::ErrorKind::Internal,
                      R.m_key + ": " + S.error().m_message};
  };
  std::map<std::string, Progress> States;
  for (const KeyedRecord &R : Records) {
    if (R.m_key.starts_with(StateKey)) {
      Progress P;
      if (auto S = unpack(R, P); S)
        States[R.m_key.substr(StateKey.size())] = std::move(P);
      else
        Keep(R, S);
      continue;
    }
    if (!R.m_key.starts_with(SpecKey))
      continue;
    Job J;
    if (auto S = unpack(R, J.m_spec); S)
      m_jobs[J.m_spec.m_id] = std::move(J);
    else
      Keep(R, S);
  }
  for (const std::string &Id : m_unreadable)
    m_jobs.erase(Id);
  for (auto &[Id, J] : m_jobs) {
    J.m_specStored = true;
    J.m_acceptedAt = m_startedAt;
    if (const auto It = States.find(Id); It != States.end())
      J.m_progress = std::move(It->second);
    J.m_shown = J.m_progress.m_phase;
    // The journal does not say which orders were sent, so all may have been.
    const bool Ended = isEnded(J.m_progress.m_phase);
    forEachTask(J.m_progress, [&](int, int, int, Task &T) {
      T.m_startSentAt = T.m_placedAt = T.m_progressAt = m_startedAt;
      if (Ended && T.m_phase == TaskPhase::Placed)
        T.m_stop = StopReason::Cancelled;
    });
  }
  m_ports.event(
      "journalLoaded", "",
      fmt::format("records={} jobs={}", Records.size(), m_jobs.size()));
  return Out;
}

void Leader::setTiming(const Timing &T) {
  const Millis LeaseMs = std::max(m_timing.m_leaseMs, T.m_leaseMs);
  m_timing = T;
  // Agents may still grant leases of the former length.
  m_timing.m_leaseMs = LeaseMs;
}

void Leader::configure(const Config &C) {
  m_guarantees = guaranteesOf(C);
  m_scheduleWanted = true;
}

void Leader::setEntries(std::vector<std::string> Entries) {
  m_entries = std::move(Entries);
  ++m_entriesVersion;
}

void Leader::handle(const CallerRequest &R, Millis Now, Millis Wall,
                    CallerAnswer Answer) {
  if (!confirmed(Now) && R.m_kind != CallerRequestKind::Submit) {
    CallerReply Out;
    Out.m_verdict = Verdict::Unavailable;
    Out.m_reason = "leadership is not confirmed";
    return Answer(std::move(Out));
  }
  if (refuseUnreadable(R, Answer))
    return;
  switch (R.m_kind) {
  case CallerRequestKind::Submit:
    submit(R, Now, Wall, std::move(Answer));
    break;
  case CallerRequestKind::Query:
    query(R, Answer);
    break;
  case CallerRequestKind::Cancel:
    cancel(R, Now, Wall, std::move(Answer));
    break;
  case CallerRequestKind::CountPending:
    countPending(R, Answer);
    break;
  }
  settle(Now);
}

void Leader::report(const AgentReport &R, Millis Now, Millis Wall,
                    AgentAnswer Answer) {
  AgentView &A = m_agents[R.m_agent];
  const bool Reborn = A.m_incarnation != R.m_incarnation;
  // A late report of an earlier process, or of an earlier life of the worker,
  // must not undo what is known since. A machine whose clock was set back is
  // taken again once nothing is heard of it.
  const bool Silent = Now - A.m_heardAt > m_timing.m_silentMs;
  const bool Later = Reborn ? R.m_incarnation > A.m_incarnation || Silent
                            : R.m_sequence > A.m_sequence;
  const bool OfThisLife = !R.m_worker || Silent ||
                          R.m_worker->m_startNumber >= A.m_worker.m_startNumber;
  if (Later && OfThisLife) {
    if (Reborn)
      m_ports.event(
          "agentSeen", "",
          fmt::format("agent={} incarnation={}", R.m_agent, R.m_incarnation));
    if (Reborn)
      A.m_entriesTold = 0;
    A.m_name = R.m_agent;
    A.m_incarnation = R.m_incarnation;
    A.m_sequence = R.m_sequence;
    const bool Usable = takesWork(A, Now);
    A.m_heardAt = Now;
    A.m_unhealthy = R.m_unhealthy;
    if (R.m_worker) {
      const std::string Before = A.m_worker.m_workerIncarnation;
      const bool WasDraining = A.m_worker.m_draining;
      A.m_worker = *R.m_worker;
      if (!Before.empty() && Before != A.m_worker.m_workerIncarnation) {
        adopt(R, Before);
        lose(A.m_name, Before, "workerRestarted", Now, Wall);
      }
      if (A.m_worker.m_draining && !WasDraining)
        m_ports.event("workerDraining", "",
                      fmt::format("agent={} remainingMs={}", A.m_name,
                                  A.m_worker.m_remainingMs));
    }
    A.m_runs = R.m_runs;
    if (std::exchange(A.m_ordersWait, false))
      m_ordersWanted = true;
    matchRuns(A, Now);
    for (const EndReport &E : R.m_ends)
      takeEnd(A, E, Now, Wall);
    std::erase_if(A.m_ends, [&](const auto &Known) {
      return std::none_of(
          R.m_ends.begin(), R.m_ends.end(), [&](const EndReport &E) {
            return Known.first == std::tuple(E.m_task, E.m_run, E.m_number);
          });
    });
    m_scheduleWanted =
        m_scheduleWanted || !R.m_ends.empty() || takesWork(A, Now) != Usable;
  }
  A.m_parked.push_back(
      {Now + m_timing.m_parkMs, R.m_longPoll, std::move(Answer)});
  settle(Now);
}

void Leader::appended(AppendOutcome Outcome, Millis Now) {
  m_counters.get(fmt::format("journal_appends{{outcome=\"{}\"}}",
                             static_cast<int>(Outcome)))++;
  m_journal.onOutcome(Outcome, Now);
  if (Outcome == AppendOutcome::Done) {
    m_ordersWanted = true;
    for (const auto &[Id, Phase] : m_flushedPhases) {
      if (const auto It = m_jobs.find(Id); It != m_jobs.end()) {
        It->second.m_shown = Phase;
        It->second.m_specStored = true;
      }
    }
    m_flushedPhases.clear();
  } else if (m_journal.withdrawable()) {
    withdrawSubmissions(true);
  }
  settle(Now);
}

void Leader::advance(Millis Now, Millis Wall) {
  addOccurrences(Wall);
  loseSilent(Now, Wall);
  watchRuns(Now);
  purge(Wall);
  m_journal.advance(Now);
  refuseWhileStalled(Now);
  if (Now - m_scheduledAt >= ScheduleEveryMs)
    m_scheduleWanted = true;
  settle(Now);
}

// An order that was sent to the life before may have started its run in the
// new one, where it must not run beside another.
void Leader::adopt(const AgentReport &R, const std::string &Before) {
  for (const RunReport &Run : R.m_runs) {
    const auto Name = parseTaskName(Run.m_task);
    Task *T = Name ? find(*Name) : nullptr;
    if (T == nullptr || T->m_phase != TaskPhase::Placed ||
        T->m_run != Run.m_run || T->m_agent != R.m_agent ||
        T->m_workerIncarnation != Before)
      continue;
    T->m_workerIncarnation = R.m_worker->m_workerIncarnation;
    changed(m_jobs[Name->m_job]);
    m_ports.event("runAdopted", Name->m_job,
                  fmt::format("task={} run={} life={}", Run.m_task, Run.m_run,
                              T->m_workerIncarnation));
  }
}

std::pair<std::size_t, std::size_t> Leader::agentsHeard(Millis Now) const {
  std::size_t Heard = 0;
  for (const auto &[Name, A] : m_agents)
    Heard += Now - A.m_heardAt < m_timing.m_silentMs ? 1 : 0;
  return {Heard, m_agents.size()};
}

void Leader::resign() {
  for (auto &W : m_waiters) {
    CallerReply Out;
    Out.m_verdict = Verdict::Unknown;
    Out.m_reason = "the leader has changed";
    W.m_answer(std::move(Out));
  }
  m_waiters.clear();
  for (auto &[Name, A] : m_agents) {
    for (auto &P : A.m_parked)
      P.m_answer({});
    A.m_parked.clear();
  }
}

void Leader::changed(Job &J) {
  J.m_batch = m_journal.nextBatch();
  m_dirty.insert(J.m_spec.m_id);
  m_scheduleWanted = true;
}

void Leader::settle(Millis Now) {
  if (m_scheduleWanted && confirmed(Now))
    schedule(Now);
  flush(Now);
  answerWaiters(Now);
  answerAgents(Now);
}

void Leader::flush(Millis Now) {
  if (m_journal.busy() || (m_dirty.empty() && m_dropped.empty()))
    return;
  std::vector<KeyedRecord> Records;
  for (const std::string &Id : m_dirty) {
    const auto It = m_jobs.find(Id);
    if (It == m_jobs.end())
      continue;
    Job &J = It->second;
    if (!J.m_specStored)
      Records.push_back({journalKey(SpecKey, Id), pack(J.m_spec)});
    Records.push_back({journalKey(StateKey, Id), pack(J.m_progress)});
    m_flushedPhases[Id] = J.m_progress.m_phase;
  }
  for (const std::string &Id : m_dropped) {
    Records.push_back({journalKey(SpecKey, Id), ""});
    Records.push_back({journalKey(StateKey, Id), ""});
  }
  m_dirty.clear();
  m_dropped.clear();
  if (!Records.empty())
    m_journal.write(std::move(Records), Now);
}

void Leader::purge(Millis Wall) {
  for (auto It = m_jobs.begin(); It != m_jobs.end();) {
    const Progress &P = It->second.m_progress;
    if (!isEnded(P.m_phase) || Wall - P.m_endedMs < m_timing.m_retentionMs) {
      ++It;
      continue;
    }
    m_dropped.push_back(It->first);
    It = m_jobs.erase(It);
  }
}

} // namespace pomelokeel::batch
