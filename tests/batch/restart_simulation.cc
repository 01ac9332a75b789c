#include "restart_simulation.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace pomelokeel::batch::tests {
namespace {

constexpr Millis WallAtZero = 1700000000000;
constexpr Millis FaultsMs = 30000;
/// Every job must have ended this long after the last fault. Quarantines last
/// up to 30 s, and runs of lost workers end with their leases.
constexpr Millis CalmMs = 90000;
constexpr int MaxJobs = 10;
constexpr std::size_t WorkerCount = 4;
constexpr std::int64_t WorkerAccelerators = 8;

constexpr Millis AgentTickMs = 100;
constexpr Millis LeaderTickMs = 100;
constexpr Millis WorkerTickMs = 20;
constexpr Millis HeartbeatMs = 500;
constexpr Millis ConfirmMs = 300;
constexpr Millis QueryEveryMs = 700;

constexpr Millis ReportTimeoutMs = 2000;
constexpr Millis PollMarginMs = 800;
constexpr Millis AppendTimeoutMs = 1000;
constexpr Millis CallerWaitMs = 3000;
constexpr Millis GangTimeoutMs = 3000;
constexpr Millis MaxLeaseMs = 6000;
constexpr Millis MaxStopMs = 300;
constexpr Millis MaxLateMs = 6000;
/// A replaced leader may act until it is not confirmed any more.
constexpr Millis OldLeaderMs = 3500;

/// A call that was delayed by a crashed worker is carried out by the next
/// incarnation only once the agent has had time to void it there. Issue 10 has
/// the case of an earlier one.
constexpr Millis VoidMs = 1000;

/// Longest time from the acknowledgement of a cancellation until an order to
/// start one of its tasks can reach a worker: an agent retries for its autonomy
/// time after it has lost the leader, and a replaced leader acts until it is
/// not confirmed any more.
constexpr Millis CancelBoundMs = 8000;
constexpr Millis ShownDoneBoundMs = 1000;

constexpr std::size_t MaxPrintedLines = 60;

} // namespace

struct RestartSimulation::Job {
  JobSpec m_spec;
  int m_attempts = 1;
  bool m_hopeless = false; ///< Its tasks always fail.
  int m_openSubmissions = 0;
  int m_unrefused = 0; ///< Submissions that were not refused.
  int m_sent = 0;
  bool m_accepted = false;
  bool m_givenUp = false;
  bool m_cancelSent = false;
  Millis m_cancelledAt = -1; ///< When a cancellation was acknowledged.
  Millis m_doneAt = -1;      ///< When it was first shown as done.
  std::optional<JobPhase> m_shown;
  Millis m_shownAt = -1;
};

/// The store's stream of the journal. An append may fail in any way that its
/// outcome allows.
struct RestartSimulation::Journal {
  enum class Mode { Up, Lossy, Refusing, Silent };

  explicit Journal(RestartSimulation &S) : m_simulation(S) {}

  void append(const JournalBatch &B,
              const std::function<void(AppendOutcome)> &Done) {
    RestartSimulation &S = m_simulation;
    const auto Answer = [&S, Done](Millis Ms, AppendOutcome O) {
      S.after(Ms, [Done, O] { Done(O); });
    };
    const auto ApplyLater = [&S, this, B] {
      S.after(S.between(300, 4000), [this, B] { apply(B); });
    };
    if (m_mode == Mode::Refusing)
      return Answer(S.between(1, 20), AppendOutcome::NotDone);
    if (m_mode == Mode::Silent) {
      if (S.chance(0.2))
        ApplyLater();
      return Answer(AppendTimeoutMs, AppendOutcome::Unknown);
    }
    if (m_mode == Mode::Lossy && S.chance(0.6)) {
      if (S.chance(0.3))
        return Answer(S.between(1, 20), AppendOutcome::NotDone);
      if (S.chance(0.5))
        apply(B);
      else if (S.chance(0.5))
        ApplyLater();
      return Answer(AppendTimeoutMs, AppendOutcome::Unknown);
    }
    S.after(S.between(2, 30), [this, &S, B, Done] {
      const AppendOutcome O = apply(B);
      S.after(S.between(1, 10), [Done, O] { Done(O); });
    });
  }

  AppendOutcome apply(const JournalBatch &B) {
    if (B.m_epoch < m_epoch)
      return AppendOutcome::Fenced;
    if (B.m_number <= m_last)
      return AppendOutcome::Done; // A repeated append.
    if (B.m_number != m_last + 1) {
      m_simulation.fail("", fmt::format("batch {} of epoch {} follows batch {}",
                                        B.m_number, B.m_epoch, m_last));
      return AppendOutcome::Fenced;
    }
    m_last = B.m_number;
    for (const KeyedRecord &R : B.m_records) {
      if (R.m_value.empty())
        m_records.erase(R.m_key);
      else
        m_records[R.m_key] = R.m_value;
      m_simulation.log(R.m_key.substr(R.m_key.find('/') + 1),
                       fmt::format("store: epoch {} batch {} {} = {}",
                                   B.m_epoch, B.m_number, R.m_key, R.m_value));
    }
    return AppendOutcome::Done;
  }

  void fence(std::uint64_t Epoch) {
    m_epoch = Epoch;
    m_last = 0;
  }

  bool up() const { return m_mode == Mode::Up || m_mode == Mode::Lossy; }

  RestartSimulation &m_simulation;
  Mode m_mode = Mode::Up;
  std::uint64_t m_epoch = 0;
  std::uint64_t m_last = 0; ///< Number of the last batch of the epoch.
  std::map<std::string, std::string> m_records;
};

struct RestartSimulation::LeaderProcess final : LeaderPorts {
  LeaderProcess(RestartSimulation &S, std::uint64_t Epoch)
      : m_simulation(S), m_epoch(Epoch) {
    Timing T;
    T.m_gangTimeoutMs = GangTimeoutMs;
    m_leader = std::make_unique<Leader>(T, *this, S.m_counters, Epoch, S.m_now,
                                        S.wallNow());
  }

  void append(const JournalBatch &B) override {
    m_simulation.m_journal->append(
        B, [this, &S = m_simulation,
            Alive = std::weak_ptr<int>(m_alive)](AppendOutcome O) {
          if (Alive.expired())
            return;
          m_leader->appended(O, S.m_now);
          if (m_leader->fenced())
            S.after(0, [&S, Epoch = m_epoch] { S.removeLeader(Epoch); });
        });
  }

  void event(const std::string &Name, const std::string &Job,
             const std::string &Detail) override {
    m_simulation.log(Job,
                     fmt::format("leader {}: {} {}", m_epoch, Name, Detail));
  }

  RestartSimulation &m_simulation;
  const std::uint64_t m_epoch;
  std::unique_ptr<Leader> m_leader;
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

struct RestartSimulation::AgentProcess final : AgentPorts {
  AgentProcess(RestartSimulation &S, Worker &W)
      : m_simulation(S), m_worker(W),
        m_agent(W.m_name, S.wallNow(), AgentTiming{}, *this, S.m_counters) {}

  // Runs Do unless this process has ended by then.
  void later(Millis Ms, std::function<void()> Do) {
    m_simulation.after(
        Ms, [Do = std::move(Do), Alive = std::weak_ptr<int>(m_alive)] {
          if (!Alive.expired())
            Do();
        });
  }

  void start(const StartCall &C) override {
    order<StartCall>(
        C, C.m_order.m_task, C.m_order.m_run, "start",
        [&S = m_simulation, &W = m_worker](const StartCall &Call, bool Late) {
          return S.carryOutStart(W, Call, Late);
        },
        [this](const StartCall &Call, const OrderResult &R) {
          m_agent.onStartResult(Call.m_order.m_task, Call.m_order.m_run, R,
                                m_simulation.m_now);
        });
  }

  void stop(const StopCall &C) override {
    order<StopCall>(
        C, C.m_task, C.m_run, "stop",
        [&S = m_simulation, &W = m_worker](const StopCall &Call, bool) {
          return S.carryOutStop(W, Call);
        },
        [this](const StopCall &Call, const OrderResult &R) {
          m_agent.onStopResult(Call.m_task, Call.m_run, R, m_simulation.m_now);
        });
  }

  // The worker may carry out an order after this process has ended.
  template <typename Call>
  void order(const Call &C, const std::string &Task, int Run, const char *What,
             std::function<OrderResult(const Call &, bool)> CarryOut,
             std::function<void(const Call &, const OrderResult &)> Done) {
    RestartSimulation &S = m_simulation;
    const Fate F = S.chooseFate();
    static constexpr std::array<const char *, 5> Names = {
        "sent", "lost", "answer lost", "late", "refused"};
    S.log(parseTaskName(Task)->m_job,
          fmt::format("agent {}: {} {} run {}: {}", m_worker.m_name, What, Task,
                      Run, Names[static_cast<std::size_t>(F)]));
    const Millis Timeout = AgentTiming{}.m_orderTimeoutMs;
    const auto Finish =
        [C, Done, Open = std::make_shared<bool>(true),
         Alive = std::weak_ptr<int>(m_alive)](const OrderResult &R) {
          if (!Alive.expired() && std::exchange(*Open, false))
            Done(C, R);
        };
    S.after(Timeout, [Finish] {
      Finish({OrderOutcome::Unanswered, "timeout", -1});
    });
    if (F == Fate::Lost)
      return;
    const std::int64_t StartTime = m_worker.m_startTime;
    const Millis Delay =
        F == Fate::Late ? S.between(Timeout, MaxLateMs) : S.between(1, 5);
    S.after(Delay, [&S, &W = m_worker, C, F, CarryOut, Finish, StartTime] {
      const bool Next = W.m_startTime != StartTime;
      if (!W.m_up || (Next && S.m_now - W.m_bornAt < VoidMs))
        return;
      OrderResult R;
      if (F == Fate::Refused)
        R = {OrderOutcome::Refused, UnhealthyReason, S.clockOf(W)};
      else
        R = CarryOut(C, F == Fate::Late);
      if (F == Fate::Late || F == Fate::AnswerLost)
        return;
      S.after(S.between(1, 5), [Finish, R] { Finish(R); });
    });
  }

  void poll(const PollCall &C) override {
    RestartSimulation &S = m_simulation;
    const Fate F = S.chooseFate();
    later(C.m_waitMs + PollMarginMs, [this, C] { finishPoll(C.m_serial, {}); });
    if (F == Fate::Lost)
      return;
    S.after(F == Fate::Late ? S.between(600, MaxLateMs) : S.between(1, 5),
            [&S, &W = m_worker, C, F, StartTime = m_worker.m_startTime, this,
             Alive = std::weak_ptr<int>(m_alive)] {
              if (!W.m_up || W.m_startTime != StartTime)
                return;
              if (F == Fate::Refused || !S.carryOutPoll(W, C)) {
                if (!Alive.expired())
                  finishPoll(C.m_serial, {});
                return;
              }
              if (F == Fate::Answered && !Alive.expired())
                answerPoll(C, StartTime, S.m_now + C.m_waitMs);
            });
  }

  void answerPoll(const PollCall &C, std::int64_t StartTime, Millis Until) {
    RestartSimulation &S = m_simulation;
    if (!m_worker.m_up || m_worker.m_startTime != StartTime)
      return;
    if (m_worker.m_ends.empty() && S.m_now < Until)
      return later(WorkerTickMs,
                   [=, this] { answerPoll(C, StartTime, Until); });
    PollResult R;
    R.m_answered = true;
    R.m_workerIncarnation = m_worker.incarnation();
    R.m_clock = S.clockOf(m_worker);
    for (const auto &[K, L] : m_worker.m_runs) {
      const int Percent =
          L.m_worksSince < 0
              ? 0
              : static_cast<int>(100 * (S.m_now - L.m_worksSince) /
                                 L.m_durationMs);
      R.m_runs.push_back({K.first, K.second, RunPhase::Running,
                          std::min(Percent, 99), L.m_checkpoint, 0});
    }
    R.m_ends = m_worker.m_ends;
    later(S.between(1, 5), [=, this] { finishPoll(C.m_serial, R); });
  }

  void finishPoll(std::uint64_t Serial, const PollResult &R) {
    if (m_finishedPolls.insert(Serial).second)
      m_agent.onPollResult(Serial, R, m_simulation.m_now);
  }

  void report(const AgentReport &R) override {
    RestartSimulation &S = m_simulation;
    const std::uint64_t Sequence = R.m_sequence;
    const auto Finish = [this,
                         Sequence](const std::optional<AgentReply> &Reply) {
      m_agent.onReportReply(Sequence, Reply, m_simulation.m_now);
    };
    later(ReportTimeoutMs, [Finish] { Finish(std::nullopt); });
    if (S.chance(S.m_noise))
      return;
    S.after(S.between(1, 8), [&S, R, Finish, Epoch = m_leaderEpoch,
                              Alive = std::weak_ptr<int>(m_alive)] {
      const auto L = S.m_leaders.find(Epoch);
      if (L == S.m_leaders.end())
        return S.after(1, [Finish, Alive] {
          if (!Alive.expired())
            Finish(std::nullopt);
        });
      L->second->m_leader->report(R, S.m_now, S.wallNow(),
                                  [&S, Finish, Alive](const AgentReply &Reply) {
                                    if (S.chance(S.m_noise))
                                      return;
                                    S.after(S.between(1, 8),
                                            [Finish, Alive, Reply] {
                                              if (!Alive.expired())
                                                Finish(Reply);
                                            });
                                  });
    });
  }

  void event(const std::string &Name, const std::string &Job,
             const std::string &Detail) override {
    std::string JobId = Job;
    if (const auto At = Detail.find("task="); Job.empty() && At == 0)
      JobId = Detail.substr(5, Detail.find('.') - 5);
    m_simulation.log(
        JobId, fmt::format("agent {}: {} {}", m_worker.m_name, Name, Detail));
  }

  RestartSimulation &m_simulation;
  Worker &m_worker;
  std::uint64_t m_leaderEpoch = 0; ///< Of the leader that it reports to.
  std::set<std::uint64_t> m_finishedPolls;
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
  Agent m_agent;
};

RestartSimulation::RestartSimulation(std::uint64_t Seed)
    : m_seed(Seed), m_random(Seed),
      m_journal(std::make_unique<Journal>(*this)) {
  m_agents.resize(WorkerCount);
  for (std::size_t I = 0; I < WorkerCount; ++I) {
    Worker &W = m_workers.emplace_back();
    W.m_name = fmt::format("w-{}", I);
    W.m_rack = fmt::format("r-{}", I / 2);
    W.m_startTime = wallNow();
    W.m_bornAt = m_now;
  }
}

RestartSimulation::~RestartSimulation() = default;

Millis RestartSimulation::between(Millis Low, Millis High) {
  return Low + static_cast<Millis>(m_random() %
                                   static_cast<std::uint64_t>(High - Low + 1));
}

bool RestartSimulation::chance(double Share) {
  constexpr std::uint64_t Parts = 1000000;
  return static_cast<double>(m_random() % Parts) <
         Share * static_cast<double>(Parts);
}

void RestartSimulation::after(Millis Ms, std::function<void()> Do) {
  m_events.emplace(m_now + Ms, std::move(Do));
}

void RestartSimulation::every(Millis Ms, std::function<void()> Do) {
  after(Ms, [this, Ms, Do = std::move(Do)] {
    Do();
    every(Ms, Do);
  });
}

Millis RestartSimulation::wallNow() const { return WallAtZero + m_now; }

RestartSimulation::Fate RestartSimulation::chooseFate() {
  if (!chance(m_noise))
    return Fate::Answered;
  static constexpr std::array<Fate, 4> Wrong = {Fate::Lost, Fate::AnswerLost,
                                                Fate::Late, Fate::Refused};
  return Wrong[static_cast<std::size_t>(between(0, 3))];
}

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

// Processes.

void RestartSimulation::startAgent(std::size_t I) {
  m_agents[I] = std::make_unique<AgentProcess>(*this, m_workers[I]);
  AgentProcess &A = *m_agents[I];
  log("", fmt::format("agent {}: starts", A.m_worker.m_name));
  A.later(between(20, 300), [this, &A] {
    if (LeaderProcess *L = currentLeader())
      A.m_leaderEpoch = std::max(A.m_leaderEpoch, L->m_epoch);
  });
}

void RestartSimulation::stopAgent(std::size_t I, bool Gracefully) {
  if (!m_agents[I])
    return;
  log("", fmt::format("agent {}: ends", m_workers[I].m_name));
  if (Gracefully)
    m_agents[I]->m_agent.beginStop(m_now);
  m_agents[I] = nullptr;
}

void RestartSimulation::restartAgent(std::size_t I) {
  if (!m_agents[I])
    return;
  stopAgent(I, chance(0.5));
  after(between(50, 1500), [this, I] {
    if (!m_agents[I])
      startAgent(I);
  });
}

RestartSimulation::LeaderProcess *RestartSimulation::currentLeader() {
  const auto It = m_leaders.find(m_epoch);
  return It == m_leaders.end() ? nullptr : It->second.get();
}

void RestartSimulation::startLeader() {
  if (!m_journal->up()) {
    after(200, [this] { startLeader(); });
    return;
  }
  m_leaderWanted = false;
  ++m_epoch;
  log("", fmt::format("leader {}: starts", m_epoch));
  m_journal->fence(m_epoch);
  auto L = std::make_unique<LeaderProcess>(*this, m_epoch);
  std::vector<KeyedRecord> Records;
  for (const auto &[Key, Value] : m_journal->m_records)
    Records.push_back({Key, Value});
  if (auto Loaded = L->m_leader->load(Records); !Loaded)
    fail("", "journal not readable: " + Loaded.error().m_message);
  m_leaders[m_epoch] = std::move(L);
  for (auto &A : m_agents) {
    if (!A)
      continue;
    A->later(between(10, 1000), [&P = *A, Epoch = m_epoch] {
      P.m_leaderEpoch = std::max(P.m_leaderEpoch, Epoch);
    });
  }
}

void RestartSimulation::replaceLeader(bool KeepOld) {
  if (m_leaderWanted)
    return;
  m_leaderWanted = true;
  const std::uint64_t Old = m_epoch;
  if (!KeepOld)
    removeLeader(Old);
  const Millis Ms = between(100, 2500);
  after(Ms, [this] { startLeader(); });
  after(Ms + OldLeaderMs, [this, Old] { removeLeader(Old); });
}

void RestartSimulation::removeLeader(std::uint64_t Epoch) {
  if (m_leaders.erase(Epoch) > 0)
    log("", fmt::format("leader {}: ends", Epoch));
}

void RestartSimulation::restartAll() {
  log("", "all processes end");
  m_leaders.clear();
  for (std::size_t I = 0; I < m_agents.size(); ++I) {
    stopAgent(I, false);
    after(between(100, 1500), [this, I] {
      if (!m_agents[I])
        startAgent(I);
    });
  }
  if (!std::exchange(m_leaderWanted, true))
    after(between(200, 2500), [this] { startLeader(); });
}

// Workers.

Millis RestartSimulation::clockOf(const Worker &W) const {
  return m_now - W.m_bornAt + 1;
}

const Step *RestartSimulation::stepOf(const std::string &Task) const {
  const auto Name = parseTaskName(Task);
  const auto It = m_jobs.find(Name->m_job);
  if (It == m_jobs.end())
    return nullptr;
  return &It->second->m_spec.m_steps[static_cast<std::size_t>(Name->m_step)];
}

// Name of the run's gang, or "".
std::string RestartSimulation::gangOf(const RunKey &K) const {
  const Step *S = stepOf(K.first);
  if (S == nullptr || !S->m_gang)
    return "";
  return fmt::format("{}#{}", K.first.substr(0, K.first.rfind('.')), K.second);
}

void RestartSimulation::renewLease(Worker &W, std::optional<Millis> Deadline) {
  if (Deadline)
    W.m_deadline =
        std::max(W.m_deadline, std::min(*Deadline, clockOf(W) + MaxLeaseMs));
}

OrderResult RestartSimulation::carryOutStart(Worker &W, const StartCall &C,
                                             bool Late) {
  const std::string &Task = C.m_order.m_task;
  const int Run = C.m_order.m_run;
  const Millis Clock = clockOf(W);
  const std::string JobId = parseTaskName(Task)->m_job;
  const auto Refuse = [&](OrderOutcome O, const char *Reason) {
    log(JobId, fmt::format("worker {}: refuses {} run {}: {}", W.incarnation(),
                           Task, Run, Reason));
    return OrderResult{O, Reason, Clock};
  };
  if (C.m_fence < W.m_fence)
    return Refuse(OrderOutcome::Refused, "fence");
  W.m_fence = C.m_fence;
  if (C.m_deadline <= Clock)
    return Refuse(OrderOutcome::Refused, "late");
  renewLease(W, C.m_deadline);
  if (W.m_runs.contains({Task, Run}))
    return {OrderOutcome::Done, "", Clock};
  if (W.m_newestEnded[Task] >= Run)
    return Refuse(OrderOutcome::Ended, "old");
  log(JobId, fmt::format("worker {}: starts {} run {}{}", W.incarnation(), Task,
                         Run, Late ? " (late)" : ""));
  checkStart(W, C, Late);
  LiveRun L;
  L.m_startedAt = m_now;
  L.m_checkpoint = C.m_order.m_checkpoint;
  const Job &J = *m_jobs[JobId];
  L.m_durationMs = between(200, 4000);
  if (J.m_hopeless || (!m_calm && chance(0.15)))
    L.m_end = EndKind::Failed;
  const RunKey K(Task, Run);
  const std::string Gang = gangOf(K);
  if (Gang.empty())
    L.m_worksSince = m_now;
  W.m_runs[K] = L;
  m_tasks[Task].m_starts.emplace_back(m_now, Run);
  if (Gang.empty())
    return {OrderOutcome::Done, "", Clock};
  std::vector<LiveRun *> Members;
  for (Worker &Each : m_workers) {
    for (auto &[Key, Live] : Each.m_runs) {
      if (gangOf(Key) == Gang)
        Members.push_back(&Live);
    }
  }
  if (static_cast<std::int64_t>(Members.size()) == stepOf(Task)->m_count) {
    for (LiveRun *M : Members) {
      M->m_worksSince = m_now;
      M->m_durationMs = L.m_durationMs;
      if (M != Members.front())
        M->m_end = EndKind::Done;
    }
  }
  return {OrderOutcome::Done, "", Clock};
}

OrderResult RestartSimulation::carryOutStop(Worker &W, const StopCall &C) {
  const Millis Clock = clockOf(W);
  if (C.m_fence < W.m_fence)
    return {OrderOutcome::Refused, "fence", Clock};
  W.m_fence = C.m_fence;
  int &Newest = W.m_newestEnded[C.m_task];
  Newest = std::max(Newest, C.m_run);
  const auto It = W.m_runs.find({C.m_task, C.m_run});
  if (It != W.m_runs.end() && It->second.m_stopAt < 0)
    It->second.m_stopAt = m_now + between(0, MaxStopMs);
  return {OrderOutcome::Done, "", Clock};
}

bool RestartSimulation::carryOutPoll(Worker &W, const PollCall &C) {
  if (C.m_fence < W.m_fence)
    return false;
  W.m_fence = C.m_fence;
  renewLease(W, C.m_deadline);
  std::vector<std::string> Acknowledged;
  for (const EndReport &E : W.m_ends) {
    if (E.m_number > C.m_acknowledged)
      continue;
    for (Ended &Known : m_tasks[E.m_task].m_ends) {
      if (Known.m_incarnation != W.incarnation() ||
          Known.m_number != E.m_number)
        continue;
      Known.m_acknowledged = true;
      Known.m_lapsedBefore = W.m_lapsedAt > Known.m_at;
    }
    log(parseTaskName(E.m_task)->m_job,
        fmt::format("worker {}: end of {} run {} is acknowledged",
                    W.incarnation(), E.m_task, E.m_run));
    Acknowledged.push_back(E.m_task);
  }
  std::erase_if(W.m_ends, [&](const EndReport &E) {
    return E.m_number <= C.m_acknowledged;
  });
  for (const std::string &Task : Acknowledged)
    checkAcknowledged(Task);
  return true;
}

void RestartSimulation::endRun(Worker &W, const RunKey &K, EndKind Kind) {
  const LiveRun L = W.m_runs[K];
  W.m_runs.erase(K);
  int &Newest = W.m_newestEnded[K.first];
  Newest = std::max(Newest, K.second);
  W.m_ends.push_back(
      {K.first, K.second, Kind, L.m_checkpoint, ++W.m_lastEnd, ""});
  m_tasks[K.first].m_ends.push_back(
      {W.incarnation(), W.m_lastEnd, K.second, Kind, m_now, false, false});
  log(parseTaskName(K.first)->m_job,
      fmt::format("worker {}: {} run {} ends {}", W.incarnation(), K.first,
                  K.second, base::nameOf(Kind)));
}

// The other members of a gang end when one has ended.
void RestartSimulation::breakGang(const RunKey &K) {
  const std::string Gang = gangOf(K);
  if (Gang.empty())
    return;
  for (Worker &W : m_workers) {
    std::vector<RunKey> Broken;
    for (const auto &[Key, L] : W.m_runs) {
      if (gangOf(Key) == Gang && L.m_worksSince >= 0)
        Broken.push_back(Key);
    }
    for (const RunKey &Key : Broken)
      endRun(W, Key, EndKind::Broken);
  }
}

void RestartSimulation::tickWorkers() {
  for (Worker &W : m_workers) {
    if (W.m_up)
      tickWorker(W);
  }
}

void RestartSimulation::tickWorker(Worker &W) {
  if (clockOf(W) > W.m_deadline && W.m_deadline > 0) {
    W.m_lapsedAt = m_now;
    while (!W.m_runs.empty()) {
      const RunKey K = W.m_runs.begin()->first;
      endRun(W, K, EndKind::LeaseExpired);
      breakGang(K);
    }
  }
  std::vector<std::pair<RunKey, EndKind>> Ends;
  for (const auto &[K, L] : W.m_runs) {
    if (L.m_stopAt >= 0 && m_now >= L.m_stopAt)
      Ends.emplace_back(K, EndKind::Stopped);
    else if (L.m_worksSince >= 0 && m_now - L.m_worksSince >= L.m_durationMs)
      Ends.emplace_back(K, L.m_end);
    else if (L.m_worksSince < 0 && m_now - L.m_startedAt >= GangTimeoutMs)
      Ends.emplace_back(K, EndKind::Alone);
  }
  for (const auto &[K, Kind] : Ends) {
    if (!W.m_runs.contains(K))
      continue;
    endRun(W, K, Kind);
    const std::string Gang = gangOf(K);
    if (Gang.empty())
      continue;
    if (Kind != EndKind::Done) {
      breakGang(K);
      continue;
    }
    // All members end as done together.
    for (Worker &Other : m_workers) {
      std::vector<RunKey> Members;
      for (const auto &[Key, L] : Other.m_runs) {
        if (gangOf(Key) == Gang)
          Members.push_back(Key);
      }
      for (const RunKey &Key : Members)
        endRun(Other, Key, EndKind::Done);
    }
  }
}

void RestartSimulation::crashWorker(Worker &W) {
  if (!W.m_up)
    return;
  log("", fmt::format("worker {}: crashes", W.incarnation()));
  W.m_up = false;
  std::vector<RunKey> Lost;
  for (const auto &[K, L] : W.m_runs) {
    if (L.m_worksSince >= 0)
      Lost.push_back(K);
  }
  W.m_runs.clear();
  for (const RunKey &K : Lost)
    breakGang(K);
  after(between(50, 3000), [this, &W] {
    W.m_up = true;
    W.m_startTime = wallNow();
    W.m_bornAt = m_now;
    W.m_ends.clear();
    W.m_lastEnd = 0;
    W.m_fence = 0;
    W.m_deadline = 0;
    W.m_lapsedAt = -1;
    W.m_newestEnded.clear();
    log("", fmt::format("worker {}: starts", W.incarnation()));
  });
}

// Callers.

void RestartSimulation::submitJob() {
  if (m_jobs.size() >= MaxJobs)
    return;
  auto J = std::make_unique<Job>();
  JobSpec &S = J->m_spec;
  S.m_id = fmt::format("{:016x}", m_jobs.size() + 1);
  S.m_payload = "payload of " + S.m_id;
  const Millis Steps = between(1, 3);
  for (int I = 0; I < Steps; ++I) {
    Step Each;
    Each.m_count = between(1, 4);
    Each.m_each = {1000, 100, between(1, 4)};
    Each.m_estimateMs = between(500, 3000);
    Each.m_gang = Each.m_count > 1 && chance(0.5);
    if (I > 0 && chance(0.7))
      Each.m_dependencies = {static_cast<int>(between(0, I - 1))};
    S.m_steps.push_back(Each);
  }
  J->m_attempts = static_cast<int>(between(1, 3));
  J->m_hopeless = chance(0.1);
  const std::string Id = S.m_id;
  m_jobs[Id] = std::move(J);
  sendSubmission(Id);
}

void RestartSimulation::ask(
    CallerRequest R, const std::function<void(const CallerReply &)> &Then) {
  R.m_queue.m_name = "q";
  R.m_queue.m_service = "s";
  R.m_queue.m_priority = 1;
  R.m_queue.m_attempts = m_jobs[R.m_id]->m_attempts;
  R.m_account = "acc";
  R.m_remainingMs = CallerWaitMs;
  LeaderProcess *L = currentLeader();
  if (L == nullptr) {
    CallerReply Refused;
    Refused.m_verdict = Verdict::Unavailable;
    after(1, [Then, Refused] { Then(Refused); });
    return;
  }
  auto Open = std::make_shared<bool>(true);
  const auto Finish = [Open, Then](const CallerReply &Reply) {
    if (std::exchange(*Open, false))
      Then(Reply);
  };
  // The default reply has the verdict Unknown.
  after(CallerWaitMs + 100, [Finish] { Finish({}); });
  after(between(1, 10), [this, R, Finish, Epoch = L->m_epoch] {
    const auto It = m_leaders.find(Epoch);
    if (It == m_leaders.end())
      return;
    It->second->m_leader->handle(
        R, m_now, wallNow(), [this, Finish](const CallerReply &Reply) {
          after(between(1, 10), [Finish, Reply] { Finish(Reply); });
        });
  });
}

void RestartSimulation::sendSubmission(const std::string &Id) {
  Job &J = *m_jobs[Id];
  CallerRequest R;
  R.m_kind = CallerRequestKind::Submit;
  R.m_id = Id;
  R.m_spec = J.m_spec;
  ++J.m_sent;
  ++J.m_openSubmissions;
  ask(R, [this, Id, &J, SentAt = m_now](const CallerReply &Reply) {
    --J.m_openSubmissions;
    log(Id, fmt::format("caller: submission is answered {} {}",
                        base::nameOf(Reply.m_verdict),
                        base::nameOf(Reply.m_phase)));
    if (!isRefusal(Reply.m_verdict))
      ++J.m_unrefused;
    if (Reply.m_verdict == Verdict::Ok) {
      J.m_accepted = true;
      handleShown(Id, Reply.m_phase, SentAt);
      // Now and then the same request arrives again.
      if (chance(0.2) && J.m_sent < 10)
        after(between(100, 6000), [this, Id] { sendSubmission(Id); });
      return;
    }
    if (isRefusal(Reply.m_verdict) && J.m_unrefused == 0 &&
        (m_calm || chance(0.3))) {
      J.m_givenUp = true;
      return;
    }
    after(between(200, 1500), [this, Id] { sendSubmission(Id); });
  });
}

void RestartSimulation::sendCancel(const std::string &Id) {
  Job &J = *m_jobs[Id];
  CallerRequest R;
  R.m_kind = CallerRequestKind::Cancel;
  R.m_id = Id;
  J.m_cancelSent = true;
  ask(R, [this, Id, &J](const CallerReply &Reply) {
    log(Id, fmt::format("caller: cancellation is answered {}",
                        base::nameOf(Reply.m_verdict)));
    if (Reply.m_verdict == Verdict::Ok || Reply.m_verdict == Verdict::Gone) {
      J.m_cancelledAt = m_now;
      return;
    }
    after(between(200, 1500), [this, Id] { sendCancel(Id); });
  });
}

void RestartSimulation::sendQuery(const std::string &Id) {
  Job &J = *m_jobs[Id];
  const bool Accepted = J.m_accepted;
  CallerRequest R;
  R.m_kind = CallerRequestKind::Query;
  R.m_id = Id;
  ask(R, [this, Id, Accepted, &J, SentAt = m_now](const CallerReply &Reply) {
    if (Reply.m_verdict == Verdict::Gone && Accepted && !J.m_cancelSent)
      fail(Id, "an accepted job is not known: " + Id);
    if (Reply.m_verdict == Verdict::Ok)
      handleShown(Id, Reply.m_phase, SentAt);
  });
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

// Checks.

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

// Faults.

void RestartSimulation::injectFault() {
  const Millis Choice = between(0, 99);
  Worker &W = m_workers[static_cast<std::size_t>(
      between(0, static_cast<Millis>(WorkerCount) - 1))];
  const auto RandomJob = [&]() -> std::string {
    auto It = m_jobs.begin();
    std::advance(It, between(0, static_cast<Millis>(m_jobs.size()) - 1));
    return It->first;
  };
  if (Choice < 35 || m_jobs.empty())
    return submitJob();
  if (Choice < 40) {
    const std::string Id = RandomJob();
    if (m_jobs[Id]->m_accepted && !m_jobs[Id]->m_cancelSent)
      sendCancel(Id);
    return;
  }
  if (Choice < 55)
    return restartAgent(static_cast<std::size_t>(
        between(0, static_cast<Millis>(WorkerCount) - 1)));
  if (Choice < 63)
    return replaceLeader(chance(0.5));
  if (Choice < 70)
    return restartAll();
  if (Choice < 80)
    return crashWorker(W);
  if (Choice < 90) {
    if (!m_journal->up() || m_journal->m_mode != Journal::Mode::Up)
      return;
    using Mode = Journal::Mode;
    static constexpr std::array<Mode, 3> Modes = {Mode::Lossy, Mode::Refusing,
                                                  Mode::Silent};
    m_journal->m_mode = Modes[static_cast<std::size_t>(between(0, 2))];
    log("",
        fmt::format("store: fault {}", static_cast<int>(m_journal->m_mode)));
    const bool RestartsAll = chance(0.4);
    after(between(300, 6000), [this, RestartsAll] {
      if (RestartsAll)
        restartAll();
      m_journal->m_mode = Mode::Up;
      log("", "store: up");
    });
    return;
  }
  m_noise = 0.1;
  after(between(1000, 5000), [this] { m_noise = 0; });
}

void RestartSimulation::playFaults() {
  if (m_calm)
    return;
  injectFault();
  after(between(50, 1200), [this] { playFaults(); });
}

std::string RestartSimulation::run() {
  startLeader();
  for (std::size_t I = 0; I < WorkerCount; ++I)
    startAgent(I);
  every(WorkerTickMs, [this] { tickWorkers(); });
  every(AgentTickMs, [this] {
    for (auto &A : m_agents) {
      if (A)
        A->m_agent.advance(m_now);
    }
  });
  every(HeartbeatMs, [this] {
    for (auto &A : m_agents) {
      if (!A || !A->m_worker.m_up)
        continue;
      const Worker &W = A->m_worker;
      WorkerInfo I;
      I.m_id = W.m_name;
      I.m_workerIncarnation = W.incarnation();
      I.m_startTime = W.m_startTime;
      I.m_service = "s";
      I.m_dataCentre = "a";
      I.m_rack = W.m_rack;
      I.m_capacity = {64000, 10000, WorkerAccelerators};
      A->m_agent.onWorkerInfo(I, m_now);
    }
  });
  every(ConfirmMs, [this] {
    if (LeaderProcess *L = currentLeader(); L != nullptr && !m_leaderWanted)
      L->m_leader->confirm(m_now);
  });
  every(LeaderTickMs, [this] {
    for (auto &Entry : m_leaders)
      Entry.second->m_leader->advance(m_now, wallNow());
  });
  every(QueryEveryMs, [this] {
    for (const auto &Entry : m_jobs)
      sendQuery(Entry.first);
    // A leader that was fenced or lost is replaced.
    if (currentLeader() == nullptr && !m_leaderWanted)
      replaceLeader(false);
  });
  after(1500, [this] { playFaults(); });
  after(FaultsMs, [this] {
    m_calm = true;
    log("", "calm");
  });
  const Millis End = m_now + FaultsMs + CalmMs;
  // Late calls are carried out and faults end by then.
  const Millis Earliest = m_now + FaultsMs + 2 * MaxLateMs;
  while (m_violation.empty() && m_now < End && !m_events.empty()) {
    auto Next = m_events.extract(m_events.begin());
    m_now = Next.key();
    if (m_calm)
      m_noise = 0;
    Next.mapped()();
    if (m_now > Earliest && settled())
      break;
  }
  if (m_violation.empty())
    checkEnd();
  return m_violation;
}

} // namespace pomelokeel::batch::tests
