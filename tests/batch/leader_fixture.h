#pragma once

#include "batch/leader.h"

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace pomelokeel::batch::tests {

/// A leader with a fake journal and fake agents. Time advances only in pass().
/// Appends are answered at once with m_outcome, or not at all if it is empty.
class LeaderTest : public testing::Test, public LeaderPorts {
protected:
  static constexpr Millis WallAtZero = 1700000000000;

  void SetUp() override { makeLeader(); }

  void makeLeader() { ASSERT_TRUE(load().ok()); }

  /// Makes a leader from the stored records.
  base::Status load() {
    m_leader = std::make_unique<Leader>(m_timing, *this, m_counters, ++m_epoch,
                                        m_now, wallNow());
    std::vector<KeyedRecord> Records;
    for (const auto &[Key, Value] : m_stored)
      Records.push_back({Key, Value});
    return m_leader->load(Records);
  }

  Millis wallNow() const { return WallAtZero + m_now; }

  /// Advances the time by \p Ms in steps of 50 ms. The leader stays confirmed.
  void pass(Millis Ms) {
    const Millis End = m_now + Ms;
    while (m_now < End) {
      m_now = std::min(m_now + 50, End);
      m_leader->confirm(m_now);
      for (const std::string &Agent : m_alive)
        report(Agent);
      m_leader->advance(m_now, wallNow());
      answerAppends();
    }
  }

  static JobSpec jobOf(std::vector<Step> Steps) {
    JobSpec S;
    S.m_payload = "payload";
    S.m_steps = std::move(Steps);
    return S;
  }

  static Step step(std::int64_t Count, std::int64_t Accelerators) {
    Step S;
    S.m_count = Count;
    S.m_each = {1000, 100, Accelerators};
    S.m_estimateMs = 1000;
    return S;
  }

  /// Submits a job. The reply is stored in the returned object.
  std::shared_ptr<std::optional<CallerReply>>
  submit(const std::string &Id, JobSpec S, int Priority = 1) {
    CallerRequest R = request(CallerRequestKind::Submit, Id);
    R.m_queue.m_priority = Priority;
    R.m_spec = std::move(S);
    return ask(R);
  }

  static CallerRequest request(CallerRequestKind Kind, const std::string &Id) {
    CallerRequest R;
    R.m_kind = Kind;
    R.m_id = Id;
    R.m_queue.m_name = "q";
    R.m_queue.m_service = "s";
    R.m_queue.m_attempts = 2;
    R.m_account = "acc";
    R.m_remainingMs = 3000;
    return R;
  }

  std::shared_ptr<std::optional<CallerReply>> ask(const CallerRequest &R) {
    auto Out = std::make_shared<std::optional<CallerReply>>();
    m_leader->handle(R, m_now, wallNow(),
                     [Out](const CallerReply &Reply) { *Out = Reply; });
    answerAppends();
    return Out;
  }

  JobPhase phaseOf(const std::string &Id) {
    const auto Reply = ask(request(CallerRequestKind::Query, Id));
    return Reply->value_or(CallerReply{}).m_phase;
  }

  /// An agent and its worker with 8 accelerators.
  struct FakeAgent {
    std::string m_workerIncarnation;
    std::int64_t m_startTime = 1;
    std::int64_t m_incarnation = 1;
    std::uint64_t m_sequence = 0;
    std::map<std::string, RunReport> m_runs; ///< By task.
    std::vector<EndReport> m_ends;
    bool m_draining = false;
    Millis m_coldLeftMs = 0;
    std::string m_dataCentre;
    std::string m_rack = "r";
    std::vector<std::string> m_labels;
    bool m_evacuated = false; ///< As the leader said last.
    std::vector<StopOrder> m_stops;
    std::vector<EndReport> m_acknowledged;
    std::uint64_t m_fence = 0;
    bool m_workerSilent = false;           ///< The worker answers no polls.
    std::optional<Millis> m_leasesEndInMs; ///< Set while it is stopping.
  };

  void addAgent(const std::string &Name) {
    m_agents[Name].m_workerIncarnation = Name + "@1";
    m_alive.push_back(Name);
    report(Name);
  }

  /// Adds an agent, submits job "a" of one task and waits for its start.
  void startTaskOn(const std::string &Agent, Millis WaitMs) {
    addAgent(Agent);
    submit("a", jobOf({step(1, 1)}));
    pass(WaitMs);
  }

  /// Adds the agents "v" and "w", submits job "a" of a gang that needs both and
  /// waits for its start.
  void startGang(Millis WaitMs) {
    addAgent("v");
    addAgent("w");
    Step Gang = step(2, 8);
    Gang.m_gang = true;
    submit("a", jobOf({Gang}));
    pass(WaitMs);
  }

  void report(const std::string &Name) {
    FakeAgent &B = m_agents[Name];
    AgentReport R;
    R.m_agent = Name;
    R.m_incarnation = B.m_incarnation;
    R.m_sequence = ++B.m_sequence;
    WorkerInfo W;
    W.m_id = Name;
    W.m_workerIncarnation = B.m_workerIncarnation;
    W.m_startTime = B.m_startTime;
    W.m_service = "s";
    W.m_dataCentre = B.m_dataCentre;
    W.m_rack = B.m_rack;
    W.m_labels = B.m_labels;
    W.m_capacity = {16000, 10000, 8};
    W.m_draining = B.m_draining;
    W.m_remainingMs = 2000;
    W.m_coldLeftMs = B.m_coldLeftMs;
    R.m_worker = W;
    for (auto &[Task, Run] : B.m_runs) {
      // The leader would stop a run without progress.
      if (Name != m_frozenAgent && !isOneOf(m_frozenTasks, Task))
        Run.m_percent = m_progress        ? m_progress(Name, Task)
                        : m_runsAreAtWork ? 100
                                          : percentOf(Task);
      R.m_runs.push_back(Run);
    }
    R.m_ends = B.m_ends;
    R.m_fence = B.m_fence;
    R.m_leasesEndInMs = B.m_leasesEndInMs;
    m_leader->report(
        R, m_now, wallNow(),
        [this, Name](const AgentReply &Reply) { applyReply(Name, Reply); });
    answerAppends();
  }

  static bool isOneOf(const std::string &Prefix, const std::string &Task) {
    return !Prefix.empty() && Task.starts_with(Prefix);
  }

  /// Slow tasks gain a percent every 6 s, each at another time.
  int percentOf(const std::string &Task) const {
    if (!isOneOf(m_slowTasks, Task))
      return static_cast<int>(m_now / 200 % 100);
    Millis Phase = 0;
    for (const char C : Task)
      Phase = (Phase * 31 + C) % 6000;
    return static_cast<int>((m_now + Phase) / 6000 % 100);
  }

  /// Replaces the agent's process by one that has not heard from its worker.
  void restartAgent(const std::string &Name) {
    FakeAgent &B = m_agents[Name];
    ++B.m_incarnation;
    B.m_sequence = 1;
    AgentReport R;
    R.m_agent = Name;
    R.m_incarnation = B.m_incarnation;
    R.m_sequence = B.m_sequence;
    m_leader->report(R, m_now, wallNow(), [](const AgentReply &) {});
  }

  /// Restarts the leader with the stored records. Appends without an outcome
  /// have no effect.
  void restartLeader() {
    m_appends.clear();
    m_outcome = AppendOutcome::Done;
    makeLeader();
  }

  void applyReply(const std::string &Name, const AgentReply &R) {
    FakeAgent &B = m_agents[Name];
    if (!R.m_leads || R.m_epoch < m_epoch)
      return;
    if (!B.m_workerSilent)
      B.m_fence = std::max(B.m_fence, R.m_fence);
    B.m_evacuated = R.m_evacuated.value_or(B.m_evacuated);
    for (const StartOrder &O : R.m_starts) {
      const RunPhase Phase =
          m_startsAreUnanswered ? RunPhase::Starting : RunPhase::Running;
      B.m_runs[O.m_task] = {O.m_task, O.m_run, Phase, 0, "", 0};
      ++m_starts[O.m_task];
    }
    for (const StopOrder &O : R.m_stops) {
      B.m_stops.push_back(O);
      if (m_stopsWork)
        end(Name, O.m_task, EndKind::Stopped);
    }
    for (const EndReport &N : R.m_acknowledged) {
      B.m_acknowledged.push_back(N);
      std::erase_if(B.m_ends, [&](const EndReport &E) {
        return E.m_number == N.m_number;
      });
    }
  }

  void end(const std::string &Agent, const std::string &Task, EndKind Kind) {
    FakeAgent &B = m_agents[Agent];
    const auto It = B.m_runs.find(Task);
    if (It == B.m_runs.end())
      return;
    B.m_ends.push_back({Task, It->second.m_run, Kind, "", ++m_ends, ""});
    B.m_runs.erase(It);
  }

  /// Answers outstanding appends with m_outcome, or not at all if it is empty.
  void answerAppends() {
    while (!m_appends.empty() && m_outcome) {
      const JournalBatch B = m_appends.front();
      m_appends.erase(m_appends.begin());
      if (*m_outcome == AppendOutcome::Done) {
        for (const KeyedRecord &R : B.m_records) {
          if (R.m_value.empty())
            m_stored.erase(R.m_key);
          else
            m_stored[R.m_key] = R.m_value;
        }
      }
      m_leader->appended(*m_outcome, m_now);
      if (*m_outcome != AppendOutcome::Done)
        return;
    }
  }

  void append(const JournalBatch &B) override { m_appends.push_back(B); }
  void wakeAfter(Millis Ms) override { m_wakeUps.push_back(m_now + Ms); }
  void event(const std::string &Name, const std::string &,
             const std::string &) override {
    m_events.push_back(Name);
  }

  Timing m_timing;
  Millis m_now = 1000;
  std::uint64_t m_epoch = 0;
  std::optional<AppendOutcome> m_outcome = AppendOutcome::Done;
  std::vector<JournalBatch> m_appends;
  std::vector<Millis> m_wakeUps; ///< Times at which a round was requested.
  std::map<std::string, std::string> m_stored;
  std::map<std::string, FakeAgent> m_agents;
  std::vector<std::string> m_alive; ///< Agents that send reports.
  std::map<std::string, int> m_starts;
  std::vector<std::string> m_events;
  std::int64_t m_ends = 0;
  bool m_stopsWork = true;
  bool m_startsAreUnanswered = false; ///< Workers do not answer start orders.
  bool m_runsAreAtWork = false;       ///< As long-running tasks report it.
  /// Percentage by agent and task, instead of the usual one.
  std::function<int(const std::string &, const std::string &)> m_progress;
  std::string m_frozenAgent; ///< Runs of its worker make no progress.
  std::string m_frozenTasks; ///< Tasks whose names begin so make no progress.
  std::string m_slowTasks;   ///< Tasks whose names begin so are slow.
  base::Counters m_counters;
  std::unique_ptr<Leader> m_leader;
};

} // namespace pomelokeel::batch::tests
