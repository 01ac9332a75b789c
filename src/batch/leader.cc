#include "batch/leader.h"

#include "base/compact.h"

#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <string_view>
#include <utility>

namespace pomelokeel::batch {
namespace {

/// Longest time between two scheduling passes. Changes cause a pass at once;
/// this one is for what changes with time only (quarantines, silent agents).
constexpr Millis ScheduleEveryMs = 250;

/// advance() is called every 100 ms. A call that comes later than this means
/// that messages are waiting to be read.
constexpr Millis MaxStepMs = 150;
/// Delay of a call of advance() from which it is logged.
constexpr Millis LateStepLogMs = 500;

template <typename T> std::string pack(const T &Value) {
  return base::dumpJson(base::encodeCompact(Value));
}

// True if P has a task for each one of S.
bool hasTasksOf(const JobSpec &S, const Progress &P) {
  return std::all_of(
      P.m_occurrences.begin(), P.m_occurrences.end(), [&](const Occurrence &O) {
        return std::equal(O.begin(), O.end(), S.m_steps.begin(),
                          S.m_steps.end(),
                          [](const auto &Tasks, const Step &Each) {
                            return std::cmp_equal(Tasks.size(), Each.m_count);
                          });
      });
}

template <typename T> base::Status unpack(const KeyedRecord &R, T &Out) {
  const base::Json J = base::parseJson(R.m_value);
  if (J.is_discarded())
    return base::Error{base::ErrorKind::BadRequest, "not valid JSON"};
  return base::decodeCompact(J, "", Out);
}

} // namespace

Leader::Leader(const Timing &T, LeaderPorts &Ports, base::Counters &Counters,
               std::uint64_t Epoch, Millis Now, Millis WallNow)
    : m_timing(T), m_ports(Ports), m_counters(Counters), m_epoch(Epoch),
      m_startedAt(Now), m_confirmedAt(Now), m_attention(Now, MaxStepMs),
      m_journal(Epoch, [this](const JournalBatch &B) { m_ports.append(B); }),
      m_wallNow(WallNow) {
  m_ports.event("leadershipTaken", "",
                fmt::format("epoch={} wall={}", Epoch, WallNow));
}

base::Status Leader::load(const std::vector<KeyedRecord> &Records) {
  base::Status Out = base::success();
  auto MarkUnreadable = [&](const KeyedRecord &R, const base::Status &S) {
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
        MarkUnreadable(R, S);
      continue;
    }
    if (R.m_key.starts_with(TombstoneKey)) {
      Tombstone T;
      if (auto S = unpack(R, T); S)
        m_tombstones[R.m_key.substr(TombstoneKey.size())] = T;
      else
        MarkUnreadable(R, S);
      continue;
    }
    if (R.m_key.starts_with(SpeedKey)) {
      loadSpeed(R);
      continue;
    }
    if (!R.m_key.starts_with(SpecKey))
      continue;
    Job J;
    auto S = unpack(R, J.m_spec);
    if (S)
      S = check(J.m_spec);
    if (S && journalKey(SpecKey, J.m_spec.m_id) != R.m_key)
      S = base::Error{base::ErrorKind::BadRequest, "the id is another one"};
    if (S)
      m_jobs[J.m_spec.m_id] = std::move(J);
    else
      MarkUnreadable(R, S);
  }
  for (const auto &[Id, P] : States) {
    const auto It = m_jobs.find(Id);
    if (It != m_jobs.end() && !hasTasksOf(It->second.m_spec, P))
      MarkUnreadable({journalKey(StateKey, Id), ""},
                     base::Error{base::ErrorKind::BadRequest,
                                 "the tasks are not those of the job"});
  }
  for (const std::string &Id : m_unreadable)
    m_jobs.erase(Id);
  for (auto &[Id, J] : m_jobs) {
    J.m_specStored = true;
    J.m_acceptedAt = m_startedAt;
    if (const auto It = States.find(Id); It != States.end())
      J.m_progress = std::move(It->second);
    J.m_storedPhase = J.m_progress.m_phase;
    // The journal does not tell which orders were sent, so all may have been.
    const bool Ended = isEnded(J.m_progress.m_phase);
    forEachTask(J.m_progress, [&](int, int, int, Task &T) {
      T.m_startSentAt = T.m_placedAt = T.m_progressAt = m_startedAt;
      if (Ended && T.m_phase == TaskPhase::Placed)
        T.m_stop = StopReason::Cancelled;
    });
    stopBrokenGangs(J);
  }
  m_openJobs = openJobs(m_jobs);
  m_ports.event(
      "journalLoaded", "",
      fmt::format("records={} jobs={}", Records.size(), m_jobs.size()));
  return Out;
}

// The members of a gang are placed together. If one of them is waiting, it has
// ended, and the others must end too. That they are being stopped is not
// stored.
void Leader::stopBrokenGangs(Job &J) {
  for (Occurrence &O : J.m_progress.m_occurrences) {
    for (std::size_t S = 0; S < O.size(); ++S) {
      const Step &Kind = J.m_spec.m_steps[S];
      if (!Kind.m_gang || Kind.m_longRunning ||
          std::none_of(O[S].begin(), O[S].end(), [](const Task &T) {
            return T.m_phase == TaskPhase::Waiting;
          }))
        continue;
      for (Task &T : O[S]) {
        if (T.m_phase == TaskPhase::Placed && T.m_stop == StopReason::None)
          T.m_stop = StopReason::Broken;
      }
    }
  }
}

void Leader::setTiming(const Timing &T) {
  const Millis LeaseMs = std::max(m_timing.m_leaseMs, T.m_leaseMs);
  m_timing = T;
  // Agents may still grant leases of the former length.
  m_timing.m_leaseMs = LeaseMs;
}

void Leader::configure(const Config &C) {
  m_guarantees = guaranteesOf(C);
  m_scheduleDue = true;
}

void Leader::setPolicy(OverloadPolicy P) {
  m_policy = P;
  m_scheduleDue = true;
}

void Leader::setEvacuated(std::set<std::string> DataCentres, bool Current) {
  const bool Changed = m_evacuated != DataCentres;
  const bool Awaited = Current && std::exchange(m_awaitsEvacuations, false);
  if (!Awaited && !Changed)
    return;
  m_evacuated = std::move(DataCentres);
  m_admissions.clear();
  m_scheduleDue = m_ordersDue = true;
  m_ports.wakeAfter(0);
}

void Leader::setEntries(std::vector<std::string> Entries) {
  m_entries = std::move(Entries);
  ++m_entriesVersion;
}

void Leader::handle(const CallerRequest &R, Millis Now, Millis WallNow,
                    CallerAnswer Answer) {
  if (!confirmed(Now) && R.m_kind != CallerRequestKind::Submit) {
    CallerReply Out;
    Out.m_verdict = Verdict::Unavailable;
    Out.m_reason = "leadership is not confirmed";
    return Answer(std::move(Out));
  }
  if (refuseUnreadable(R, Answer))
    return;
  m_wallNow = WallNow;
  switch (R.m_kind) {
  case CallerRequestKind::Submit:
    submit(R, Now, WallNow, std::move(Answer));
    break;
  case CallerRequestKind::Query:
    query(R, Answer);
    break;
  case CallerRequestKind::Cancel:
    cancel(R, Now, WallNow, std::move(Answer));
    break;
  case CallerRequestKind::CountPending:
    countPending(R, Answer);
    break;
  }
  processChanges(Now);
}

void Leader::report(const AgentReport &R, Millis Now, Millis WallNow,
                    AgentAnswer Answer) {
  AgentView &A = m_agents[R.m_agent];
  const bool NewProcess = A.m_incarnation != R.m_incarnation;
  // A late report of an earlier agent process or worker incarnation must not
  // overwrite later state. If a machine's clock was set back, its incarnation
  // decreases; its reports are accepted again once the agent counts as silent.
  const bool Silent = Now - A.m_lastContactAt > m_timing.m_silentMs;
  const bool Later = NewProcess ? R.m_incarnation > A.m_incarnation || Silent
                                : R.m_sequence > A.m_sequence;
  const bool FromCurrentIncarnation =
      !R.m_worker || Silent ||
      R.m_worker->m_startTime >= A.m_worker.m_startTime;
  if (Later && FromCurrentIncarnation) {
    if (NewProcess)
      m_ports.event(
          "agentSeen", "",
          fmt::format("agent={} incarnation={}", R.m_agent, R.m_incarnation));
    if (NewProcess)
      A.m_entriesVersionSent = 0;
    A.m_name = R.m_agent;
    const bool NewWorker = R.m_worker && R.m_worker->m_workerIncarnation !=
                                             A.m_worker.m_workerIncarnation;
    if (NewWorker) {
      A.m_workerSeenAt = Now;
      resetWorkerHealth(A);
      // The first worker that this leader sees is the one of the records, or as
      // good as it.
      if (!A.m_worker.m_workerIncarnation.empty())
        m_speeds.renew(R.m_agent);
    }
    if (NewProcess || NewWorker)
      renewFence(A, NewWorker ? "newWorker" : "newAgent");
    A.m_incarnation = R.m_incarnation;
    A.m_sequence = R.m_sequence;
    const bool AcceptedWork = acceptsWork(A, Now);
    A.m_lastContactAt = Now;
    A.m_contactAttention = m_attention.now();
    A.m_silenceLogged = false;
    A.m_unhealthy = R.m_unhealthy;
    if (R.m_worker) {
      A.m_workerReportedAt = Now;
      A.m_workerAttention = m_attention.now();
      noteLeasesEnd(A, R.m_leasesEndInMs);
      const bool WasDraining = A.m_worker.m_draining;
      A.m_worker = *R.m_worker;
      A.m_coldUntil = A.m_worker.m_coldLeftMs > 0
                          ? Now + A.m_worker.m_coldLeftMs
                          : std::min(A.m_coldUntil, Now);
      adoptRuns(R);
      const bool Fenced = R.m_fence >= A.m_fence;
      if (!std::exchange(A.m_fenced, Fenced) && Fenced)
        loseUnreachableRuns(Now, WallNow);
      if (A.m_worker.m_draining && !WasDraining)
        m_ports.event("workerDraining", "",
                      fmt::format("agent={} remainingMs={}", A.m_name,
                                  A.m_worker.m_remainingMs));
    }
    A.m_runs.clear();
    for (const RunReport &Run : R.m_runs)
      A.m_runs.push_back({Run, parseTaskName(Run.m_task)});
    if (std::exchange(A.m_hasPendingOrders, false))
      m_ordersDue = true;
    updateRuns(A, Now);
    for (const EndReport &E : R.m_ends)
      handleEndReport(A, E, Now, WallNow);
    std::erase_if(A.m_ends, [&](const auto &Known) {
      return std::none_of(
          R.m_ends.begin(), R.m_ends.end(), [&](const EndReport &E) {
            return Known.first == std::tuple(E.m_task, E.m_run, E.m_number);
          });
    });
    m_scheduleDue = m_scheduleDue || !R.m_ends.empty() ||
                    acceptsWork(A, Now) != AcceptedWork;
  } else if (R.m_worker && (NewProcess || !FromCurrentIncarnation)) {
    // A reply would permit leases that the leader does not count.
    return Answer({});
  }
  A.m_heldReports.push_back(
      {Now + m_timing.m_longPollMs, R.m_longPoll, std::move(Answer)});
  processChanges(Now);
}

void Leader::appended(AppendOutcome Outcome, Millis Now) {
  m_counters.get(fmt::format("journal_appends{{outcome=\"{}\"}}",
                             static_cast<int>(Outcome)))++;
  m_journal.onOutcome(Outcome, Now);
  if (Outcome == AppendOutcome::Done) {
    m_ordersDue = true;
    if (std::exchange(m_journalStalled, false))
      m_ports.event("journalResumed", "",
                    fmt::format("batch={}", m_journal.durable()));
    for (const auto &[Id, Phase] : m_flushedPhases) {
      if (const auto It = m_jobs.find(Id); It != m_jobs.end()) {
        It->second.m_storedPhase = Phase;
        It->second.m_specStored = true;
      }
    }
    m_flushedPhases.clear();
    answerWaitingCallers(Now);
  } else if (m_journal.withdrawable()) {
    detail::Withdrawal How;
    How.m_ofCurrentBatch = true;
    withdrawSubmissions(How);
  }
  processChanges(Now);
}

void Leader::advance(Millis Now, Millis WallNow) {
  const Millis LateMs = m_attention.step(Now);
  m_counters.observe("leader_late_ms", LateMs);
  if (LateMs >= LateStepLogMs)
    m_ports.event("leaderLate", "", fmt::format("byMs={}", LateMs));
  m_wallNow = WallNow;
  addOccurrences(WallNow);
  loseUnreachableRuns(Now, WallNow);
  logSilentAgents(Now);
  checkRuns(Now);
  reviewWorkerHealth(Now);
  reviewSpeeds(Now);
  useEarlierResults(Now, WallNow);
  removeClosedJobs();
  purge(WallNow);
  m_journal.advance(Now);
  handleStall(Now);
  if (Now - m_scheduledAt >= ScheduleEveryMs)
    m_scheduleDue = true;
  processChanges(Now);
}

// A start order for an earlier incarnation of a worker may have started its run
// in the current one. The run, or its end, is taken over, so that the task does
// not run twice. The leader that placed the run may have been replaced since.
void Leader::adoptRuns(const AgentReport &R) {
  const std::string &Incarnation = R.m_worker->m_workerIncarnation;
  const auto Adopt = [&](const std::string &Task, int Run) {
    const auto Name = parseTaskName(Task);
    batch::Task *T = Name ? findTask(*Name) : nullptr;
    if (T == nullptr || T->m_phase != TaskPhase::Placed || T->m_run != Run ||
        T->m_agent != R.m_agent || T->m_workerIncarnation == Incarnation)
      return;
    m_ports.event("runAdopted", Name->m_job,
                  fmt::format("task={} run={} life={} before={}", Task, Run,
                              Incarnation, T->m_workerIncarnation));
    T->m_workerIncarnation = Incarnation;
    markChanged(m_jobs[Name->m_job]);
  };
  for (const RunReport &Run : R.m_runs)
    Adopt(Run.m_task, Run.m_run);
  for (const EndReport &E : R.m_ends)
    Adopt(E.m_task, E.m_run);
}

// A start order of an earlier agent process, or for an earlier incarnation of
// the worker, may still be carried out. It is void once the worker has seen a
// higher fence.
void Leader::renewFence(AgentView &A, const char *Reason) {
  A.m_fence = fenceOf(m_epoch, ++A.m_fenceGeneration);
  A.m_fenced = false;
  m_ports.event(
      "fenceRenewed", "",
      fmt::format("agent={} fence={} reason={}", A.m_name, A.m_fence, Reason));
}

std::pair<std::size_t, std::size_t> Leader::agentsInContact() const {
  const Millis Since = m_attention.now() - m_timing.m_silentMs;
  std::size_t InContact = 0;
  for (const auto &[Name, A] : m_agents)
    InContact += A.m_contactAttention > Since ? 1 : 0;
  return {InContact, m_agents.size()};
}

void Leader::markChanged(Job &J) {
  J.m_batch = m_journal.nextBatch();
  m_dirty.insert(J.m_spec.m_id);
  m_scheduleDue = true;
}

std::uint64_t Leader::batchOfState(const std::string &Job) const {
  // An unreadable record may not know of anything that has ended since.
  if (m_unreadable.contains(Job))
    return std::numeric_limits<std::uint64_t>::max();
  const auto It = m_jobs.find(Job);
  return It == m_jobs.end() ? 0 : It->second.m_batch;
}

void Leader::processChanges(Millis Now) {
  const Millis DueMs = m_roundAt + m_timing.m_roundPauseMs - Now;
  if (DueMs > 0)
    return requestRound(DueMs, Now);
  runRound(Now);
}

void Leader::requestRound(Millis InMs, Millis Now) {
  if (m_nextRoundAt && *m_nextRoundAt <= Now + InMs)
    return;
  m_nextRoundAt = Now + InMs;
  m_ports.wakeAfter(InMs);
}

void Leader::runRound(Millis Now) {
  m_nextRoundAt.reset();
  m_roundAt = Now;
  m_counters.get("leader_rounds")++;
  if (m_scheduleDue && confirmed(Now) && !m_awaitsEvacuations) {
    const Millis DueMs = m_scheduledAt + m_timing.m_passPauseMs - Now;
    if (DueMs > 0)
      requestRound(std::max(DueMs, m_timing.m_roundPauseMs), Now);
    else
      schedule(Now);
  }
  flush(Now);
  answerWaitingCallers(Now);
  answerAgents(Now);
}

void Leader::flush(Millis Now) {
  if (m_journal.busy() ||
      (m_dirty.empty() && m_dropped.empty() && m_dirtySpeeds.empty()))
    return;
  std::vector<KeyedRecord> Records;
  // The newest record of a key counts, and the id of a dropped job may be that
  // of a new one.
  for (const std::string &Key : m_dropped)
    Records.push_back({Key, ""});
  for (const std::string &Id : m_dirty) {
    if (const auto T = m_tombstones.find(Id); T != m_tombstones.end())
      Records.push_back({journalKey(TombstoneKey, Id), pack(T->second)});
    const auto It = m_jobs.find(Id);
    if (It == m_jobs.end())
      continue;
    Job &J = It->second;
    if (!J.m_specStored)
      Records.push_back({journalKey(SpecKey, Id), pack(J.m_spec)});
    Records.push_back({journalKey(StateKey, Id), pack(J.m_progress)});
    m_flushedPhases[Id] = J.m_progress.m_phase;
  }
  addSpeedRecords(Records);
  m_dirty.clear();
  m_dropped.clear();
  if (!Records.empty())
    m_journal.write(std::move(Records), Now);
}

void Leader::removeClosedJobs() {
  std::erase_if(m_openJobs,
                [](const auto &Entry) { return !isOpen(*Entry.second); });
}

void Leader::purge(Millis WallNow) {
  for (auto It = m_jobs.begin(); It != m_jobs.end();) {
    const Job &J = It->second;
    // A job whose end is not stored would run again in the next leader.
    if (!isEnded(J.m_storedPhase) ||
        WallNow - J.m_progress.m_endedMs < m_timing.m_retentionMs) {
      ++It;
      continue;
    }
    m_dropped.push_back(journalKey(SpecKey, It->first));
    m_dropped.push_back(journalKey(StateKey, It->first));
    m_flushedPhases.erase(It->first);
    m_openJobs.erase(It->first);
    It = m_jobs.erase(It);
  }
  std::erase_if(m_tombstones, [&](const auto &Entry) {
    const auto &[Id, T] = Entry;
    if (T.m_batch > m_journal.durable() ||
        WallNow - T.m_cancelledMs < m_timing.m_retentionMs)
      return false;
    m_dropped.push_back(journalKey(TombstoneKey, Id));
    return true;
  });
}

} // namespace pomelokeel::batch
