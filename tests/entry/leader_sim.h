#pragma once

#include "agent_sim.h"
#include "entry/leader.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>

/// A simulated fleet for tests of the leader: a log in memory, entries that
/// read it independently, agents that answer commands, and a network that
/// loses, delays, repeats and reorders messages. Time is simulated.
namespace pomelokeel::sim {

using model::RecordKind;

/// Probabilities of faults, in percent for each message or step.
struct Faults {
  int m_lossPercent = 0;
  int m_repeatPercent = 0;
  Millis m_maxDelayMs = 0;
  int m_restartPercent = 0; ///< Of an agent, for each step.
  int m_wipePercent = 0;    ///< Of a worker that loses all its tasks.
  int m_cutPercent = 0;     ///< Of an agent cut off from the entries.
  int m_leaderPercent = 0;  ///< Of a new claim.
  int m_pausePercent = 0;   ///< Of an entry.
  int m_logPercent = 0;     ///< Of an outage of the log.
  int m_failPercent = 0;    ///< Of a task.
};

constexpr int LongDelayPercent = 10;
constexpr Millis LongDelayFactor = 10;

/// An entry with its own state, log position and leader.
struct Entry {
  Entry(const std::string &Name, base::HybridClock &Clock)
      : m_name(Name), m_events(Name, 64, Clock),
        m_leader({1500, GangLeaseMs, 200}, m_counters, m_events,
                 [this](const sched::Snapshot &S) { return m_plan(S); }) {}

  std::string m_name;
  base::Counters m_counters;
  base::EventLog m_events;
  entry::Leader::Planner m_plan = [](const sched::Snapshot &S) {
    return sched::plan(S);
  };
  entry::Leader m_leader;
  state::State m_state;
  std::size_t m_position = 0;
  Millis m_pausedUntilMs = 0;
  bool m_leading = false;
};

class Fleet {
public:
  Fleet(int Workers, std::uint32_t Seed, Faults F);

  /// One step of StepMs. Faults occur only if \p Faulty.
  void step(bool Faulty);
  void runFor(Millis Ms, bool Faulty = false);

  /// Steps without faults until \p Done holds. False after \p LimitMs.
  bool runUntil(const std::function<bool()> &Done, Millis LimitMs);

  void submit(const std::string &Id, const std::string &Class, int Members = 1,
              int Accelerators = 1, Millis RunMs = 500, Millis DeadlineMs = 0);
  void cancel(const std::string &Id);
  void claim(std::size_t Entry);
  void stopLog(Millis Ms) { m_logDownUntilMs = m_nowMs + Ms; }
  template <typename Body> void append(RecordKind Kind, const Body &B) {
    push(Kind, base::encode(B), 0);
  }

  /// Appends a record as the present leader would.
  void appendAsLeader(RecordKind Kind, Json Body) {
    push(Kind, std::move(Body), m_state.m_epoch);
  }

  const model::Job &job(const std::string &Id) const {
    return m_state.m_jobs.at(Id);
  }
  bool finished(const std::string &Id) const {
    const auto It = m_state.m_jobs.find(Id);
    return It != m_state.m_jobs.end() && It->second.m_result;
  }
  model::Outcome outcome(const std::string &Id) const {
    return job(Id).m_result->m_outcome;
  }
  bool allFinished() const;
  bool anyActive() const;
  std::size_t holds() const;

  Millis m_nowMs = 100000;
  state::State m_state; ///< At the end of the log.
  std::vector<std::unique_ptr<Entry>> m_entries;
  std::map<std::string, Agent> m_agents;
  /// How often each member of a job ran, by job.
  std::map<std::string, std::map<int, int>> m_runs;
  std::map<std::string, int> m_records; ///< Accepted ones, by kind.
  std::vector<std::string> m_violations;
  std::vector<std::string> m_commands; ///< `kind worker`, as sent.

private:
  struct Delivery {
    Millis m_atMs = 0;
    std::function<void()> m_run;
  };
  bool chance(int Percent);
  std::uint32_t randomBelow(std::uint32_t Limit);
  void injectFaults();
  void send(const std::function<void()> &Run);
  void deliver();
  void push(RecordKind Kind, Json Body, std::uint64_t Epoch);
  void checkPlacement(const model::Record &R);
  void readLog(Entry &E);
  void perform(Entry &E, const entry::Actions &A);
  void sendCommand(Entry &E, const entry::AgentCommand &C, std::uint64_t Epoch);
  void sendReport(Agent &A);
  void stepAgent(Agent &A);
  void stepTask(Agent &A, Task &T);
  std::vector<Task *> gangOf(const Task &T);

  Faults m_faults;
  bool m_faulty = false;
  std::mt19937 m_random;
  base::HybridClock m_clock;
  std::vector<model::LogEntry> m_log;
  std::vector<Delivery> m_network;
  Millis m_logDownUntilMs = 0;
};

inline Fleet::Fleet(int Workers, std::uint32_t Seed, Faults F)
    : m_faults(F), m_random(Seed) {
  for (const char *Name : {"e1", "e2"})
    m_entries.push_back(std::make_unique<Entry>(Name, m_clock));
  const Json Timing = {{"orphanLimitMs", OrphanLimitMs},
                       {"startTimeoutMs", StartTimeoutMs},
                       {"backoffMs", 200},
                       {"maxAttempts", 3},
                       {"stopTimeoutMs", 500}};
  Json Once = Timing;
  Once["idempotent"] = false;
  for (const auto &[Name, Body] : {std::pair{"batch", Timing}, {"pay", Once}})
    append(RecordKind::ConfigPublished,
           model::ConfigRecord{model::ConfigKind::JobClass, Name, 1, 0, 2, "op",
                               Body});
  append(RecordKind::ConfigPublished,
         model::ConfigRecord{model::ConfigKind::Account,
                             "acct",
                             1,
                             0,
                             2,
                             "op",
                             {{"guarantee", Json::array()}}});
  for (int I = 1; I <= Workers; ++I) {
    Agent &A = m_agents["w" + std::to_string(I)];
    A.m_name = "w" + std::to_string(I);
    A.m_lastContactMs = m_nowMs;
    A.m_failTask = [this] {
      return m_faulty && chance(m_faults.m_failPercent);
    };
    append(RecordKind::WorkerAnnounced, A.worker());
  }
  claim(0);
}

inline bool Fleet::chance(int Percent) {
  return std::cmp_less(randomBelow(1000), Percent * 10);
}

inline std::uint32_t Fleet::randomBelow(std::uint32_t Limit) {
  return static_cast<std::uint32_t>(m_random() % Limit);
}

inline void Fleet::push(RecordKind Kind, Json Body, std::uint64_t Epoch) {
  model::Record R;
  R.m_id = "r" + std::to_string(m_log.size());
  R.m_kind = Kind;
  R.m_epoch = Epoch;
  R.m_body = std::move(Body);
  m_log.push_back({m_log.size(), m_nowMs, R});
  const auto Applied = state::apply(m_state, m_log.back());
  if (!Applied.m_accepted)
    return;
  ++m_records[std::string(base::nameOf(Kind))];
  if (Kind == RecordKind::JobPlaced)
    checkPlacement(R);
}

// Checks that no active task uses the accelerators of a new placement, and that
// no task of the same job is active on any worker.
inline void Fleet::checkPlacement(const model::Record &R) {
  const model::Job &J = m_state.m_jobs.at(R.m_body.at("job"));
  for (const auto &[Name, A] : m_agents) {
    for (const auto &[Id, T] : A.m_tasks) {
      if (!isActive(T))
        continue;
      if (T.m_hold.m_job == J.m_id)
        m_violations.push_back(Id + " is active while placed again");
      const model::MemberPlace &Q = T.m_hold.m_place;
      for (const model::MemberPlace &P : J.m_places) {
        if (P.m_worker == Name &&
            P.m_firstAccelerator < Q.m_firstAccelerator + Q.m_accelerators &&
            Q.m_firstAccelerator < P.m_firstAccelerator + P.m_accelerators)
          m_violations.push_back(J.m_id + " placed over active " + Id);
      }
    }
  }
}

inline void Fleet::submit(const std::string &Id, const std::string &Class,
                          int Members, int Accelerators, Millis RunMs,
                          Millis DeadlineMs) {
  model::JobSpec S;
  S.m_key = Id;
  S.m_account = "acct";
  S.m_class = Class;
  S.m_members = Members;
  S.m_accelerators = Accelerators;
  S.m_runMs = RunMs;
  S.m_deadlineMs = DeadlineMs;
  append(RecordKind::JobSubmitted, model::Submission{Id, S});
}

inline void Fleet::cancel(const std::string &Id) {
  append(RecordKind::JobCancelRequested, model::CancelRequest{Id, "op"});
}

inline void Fleet::claim(std::size_t Entry) {
  const std::string Name = m_entries[Entry]->m_name;
  push(RecordKind::LeaderClaimed,
       base::encode(model::LeaderClaim{Name, Name + "-1"}),
       m_state.m_epoch + 1);
}

inline void Fleet::send(const std::function<void()> &Run) {
  if (m_faulty && chance(m_faults.m_lossPercent))
    return;
  const int Copies = m_faulty && chance(m_faults.m_repeatPercent) ? 2 : 1;
  for (int I = 0; I < Copies; ++I) {
    // A few messages are delayed past restarts and whole attempts.
    const bool Long = chance(LongDelayPercent);
    const Millis MaxMs =
        m_faulty ? m_faults.m_maxDelayMs * (Long ? LongDelayFactor : 1) : 0;
    const auto DelayMs =
        static_cast<Millis>(randomBelow(static_cast<std::uint32_t>(MaxMs) + 1));
    m_network.push_back({m_nowMs + 1 + DelayMs, Run});
  }
}

inline void Fleet::deliver() {
  std::vector<Delivery> Due;
  std::erase_if(m_network, [&](const Delivery &D) {
    if (D.m_atMs > m_nowMs)
      return false;
    Due.push_back(D);
    return true;
  });
  for (const Delivery &D : Due)
    D.m_run();
}

inline void Fleet::sendCommand(Entry &E, const entry::AgentCommand &C,
                               std::uint64_t Epoch) {
  const auto J = m_state.m_jobs.find(C.m_command.m_job);
  if (C.m_command.m_kind == CommandKind::Release && J != m_state.m_jobs.end() &&
      J->second.m_fence == C.m_command.m_fence &&
      (J->second.m_phase == model::JobPhase::Placed ||
       J->second.m_phase == model::JobPhase::Running))
    m_violations.push_back(J->first + " released before its end is recorded");
  m_commands.push_back(std::string(base::nameOf(C.m_command.m_kind)) + " " +
                       C.m_worker);
  send([this, &E, C, Epoch] {
    Agent &A = m_agents.at(C.m_worker);
    if (m_nowMs < A.m_downUntilMs || m_nowMs < A.m_cutUntilMs)
      return;
    const auto Reply = A.handle(C.m_command, Epoch, m_nowMs);
    send([this, &E, Reply] {
      if (E.m_leading && m_nowMs >= E.m_pausedUntilMs)
        perform(E, E.m_leader.onReply(E.m_state, Reply, m_nowMs));
    });
  });
}

inline void Fleet::perform(Entry &E, const entry::Actions &A) {
  const std::uint64_t Epoch = E.m_state.m_epoch;
  for (const model::Record &R : A.m_records) {
    // The append is refused or lost; the leader has to repeat it.
    if (m_nowMs < m_logDownUntilMs ||
        (m_faulty && chance(m_faults.m_lossPercent)))
      continue;
    push(R.m_kind, R.m_body, Epoch);
  }
  for (const entry::AgentCommand &C : A.m_commands)
    sendCommand(E, C, Epoch);
}

inline void Fleet::readLog(Entry &E) {
  if (m_nowMs < E.m_pausedUntilMs || m_nowMs < m_logDownUntilMs)
    return;
  while (E.m_position < m_log.size()) {
    const model::LogEntry &L = m_log[E.m_position++];
    const model::LogEntry Copy = L;
    const auto Applied = state::apply(E.m_state, Copy);
    if (Copy.m_record.m_kind == RecordKind::LeaderClaimed &&
        Applied.m_accepted) {
      E.m_leader.stop();
      E.m_leading = E.m_state.m_leader == E.m_name;
      if (E.m_leading)
        E.m_leader.start(E.m_state, m_nowMs);
      continue;
    }
    if (E.m_leading)
      perform(E, E.m_leader.onApplied(E.m_state, Copy, Applied, m_nowMs));
  }
}

inline void Fleet::sendReport(Agent &A) {
  A.m_nextReportMs = m_nowMs + 500;
  const model::AgentReport R = A.report();
  for (const auto &E : m_entries) {
    send([this, &A, R, E = E.get()] {
      if (m_nowMs < A.m_cutUntilMs || m_nowMs < E->m_pausedUntilMs ||
          !E->m_leading)
        return;
      if (E->m_state.m_epoch == m_state.m_epoch)
        A.m_lastContactMs = m_nowMs;
      perform(*E, E->m_leader.onReport(E->m_state, R, m_nowMs));
    });
  }
}

inline std::vector<Task *> Fleet::gangOf(const Task &T) {
  std::vector<Task *> Out;
  for (auto &[Name, A] : m_agents) {
    for (auto &[Id, Other] : A.m_tasks) {
      if (Other.m_hold.m_job == T.m_hold.m_job &&
          Other.m_hold.m_attempt == T.m_hold.m_attempt &&
          Other.m_hold.m_state != HoldState::Reserved &&
          (!hasEnded(Other) || Other.m_hold.m_state == HoldState::Succeeded) &&
          m_nowMs >= A.m_downUntilMs)
        Out.push_back(&Other);
    }
  }
  return Out;
}

inline void Fleet::stepTask(Agent &A, Task &T) {
  const Millis SinceMs = m_nowMs - T.m_sinceMs;
  const HoldState State = T.m_hold.m_state;
  if (State == HoldState::Reserved && SinceMs >= ReserveTtlMs)
    return A.stop(T, "reservation expired", m_nowMs);
  if (!isActive(T))
    return;
  if (m_nowMs - A.m_lastContactMs >= OrphanLimitMs)
    return A.stop(T, "orphaned", m_nowMs);
  const bool Complete = std::cmp_equal(gangOf(T).size(), T.m_members);
  if (State == HoldState::Paused) {
    if (Complete) {
      ++m_runs[T.m_hold.m_job][T.m_hold.m_member];
      T.m_hold.m_everRan = true;
      A.enterState(T, HoldState::Running, m_nowMs);
    } else if (SinceMs >= StartTimeoutMs) {
      A.stop(T, "gang not complete", m_nowMs);
    }
    return;
  }
  if (Complete)
    T.m_incompleteSinceMs = -1;
  else if (T.m_incompleteSinceMs < 0)
    T.m_incompleteSinceMs = m_nowMs;
  if (T.m_incompleteSinceMs >= 0 &&
      m_nowMs - T.m_incompleteSinceMs >= GangLeaseMs)
    return A.stop(T, "gang member missing", m_nowMs);
  if (SinceMs < T.m_runMs)
    return;
  T.m_hold.m_reason = T.m_fails ? "exit 1" : "";
  if (!T.m_fails)
    T.m_hold.m_answer =
        T.m_hold.m_job + "/" + std::to_string(T.m_hold.m_member);
  A.enterState(T, T.m_fails ? HoldState::Failed : HoldState::Succeeded,
               m_nowMs);
}

inline void Fleet::stepAgent(Agent &A) {
  if (m_nowMs < A.m_downUntilMs)
    return;
  for (auto &[Id, T] : A.m_tasks)
    stepTask(A, T);
  const auto Known = m_state.m_workers.find(A.m_name);
  if (Known->second.m_worker.m_incarnation != A.worker().m_incarnation &&
      m_nowMs >= A.m_cutUntilMs && m_nowMs >= m_logDownUntilMs)
    append(RecordKind::WorkerAnnounced, A.worker());
  if (m_nowMs >= A.m_nextReportMs)
    sendReport(A);
}

inline void Fleet::injectFaults() {
  auto It = m_agents.begin();
  std::advance(It, randomBelow(static_cast<std::uint32_t>(m_agents.size())));
  Agent &A = It->second;
  const auto SpanMs =
      static_cast<Millis>(randomBelow(3) == 0 ? 0 : randomBelow(4000));
  if (chance(m_faults.m_restartPercent))
    A.restart(false, SpanMs / 4, m_nowMs);
  if (chance(m_faults.m_wipePercent))
    A.restart(true, SpanMs, m_nowMs);
  if (chance(m_faults.m_cutPercent))
    A.m_cutUntilMs = m_nowMs + 3 * SpanMs;
  const std::size_t E = randomBelow(2);
  if (chance(m_faults.m_pausePercent))
    m_entries[E]->m_pausedUntilMs = m_nowMs + SpanMs;
  if (chance(m_faults.m_leaderPercent) && m_nowMs >= m_logDownUntilMs)
    claim(E);
  if (chance(m_faults.m_logPercent))
    m_logDownUntilMs = m_nowMs + SpanMs;
}

inline void Fleet::step(bool Faulty) {
  m_nowMs += StepMs;
  m_faulty = Faulty;
  if (Faulty)
    injectFaults();
  deliver();
  for (auto &[Name, A] : m_agents)
    stepAgent(A);
  for (const auto &E : m_entries) {
    readLog(*E);
    if (E->m_leading && m_nowMs >= E->m_pausedUntilMs)
      perform(*E, E->m_leader.tick(E->m_state, {m_nowMs, m_nowMs,
                                                m_nowMs >= m_logDownUntilMs}));
  }
}

inline void Fleet::runFor(Millis Ms, bool Faulty) {
  for (Millis T = 0; T < Ms; T += StepMs)
    step(Faulty);
}

inline bool Fleet::runUntil(const std::function<bool()> &Done, Millis LimitMs) {
  for (Millis T = 0; T < LimitMs && !Done(); T += StepMs)
    step(false);
  return Done();
}

inline bool Fleet::allFinished() const {
  return std::ranges::all_of(m_state.m_jobs, [](const auto &Item) {
    return Item.second.m_result.has_value();
  });
}

inline bool Fleet::anyActive() const {
  for (const auto &[Name, A] : m_agents) {
    for (const auto &[Id, T] : A.m_tasks) {
      if (isActive(T))
        return true;
    }
  }
  return false;
}

inline std::size_t Fleet::holds() const {
  std::size_t Out = 0;
  for (const auto &[Name, A] : m_agents)
    Out += A.m_tasks.size();
  return Out;
}

} // namespace pomelokeel::sim
