#pragma once

#include "base/counters.h"
#include "batch/agent.h"

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace pomelokeel::batch::tests {

/// An agent with a simulated worker and leader, without sockets. The test sets
/// the clock. Each call is answered after 1 ms unless a fault is switched on.
class FakeWorker : public AgentPorts {
public:
  struct Running {
    std::string m_payload;
    std::string m_checkpoint;
    int m_percent = 0;
  };

  explicit FakeWorker(const AgentTiming &T = {})
      : m_agent("agent-1", 1, T, *this, m_counters) {}

  // Faults.
  bool m_unreachable = false; ///< Calls are neither answered nor carried out.
  bool m_dropsPolls = false;  ///< Polls are neither answered nor carried out.
  bool m_dropsStarts = false; ///< Starts are neither answered nor carried out.
  /// Starts are not answered; applyDelayedStarts() carries them out.
  bool m_delaysStarts = false;
  bool m_leaderSilent = false;  ///< Reports fail.
  std::string m_refusal;        ///< Reason that starts are refused with.
  std::string m_stopRefusal;    ///< Reason that stops are refused with.
  std::size_t m_pageSize = 500; ///< Most ends that one answer lists.
  /// Changes the answers to polls, unless empty.
  std::function<void(PollResult &)> m_alterAnswer;

  Millis m_now = 1000;

  static std::string incarnationOf(const WorkerInfo &W) {
    return W.m_id + "@" + std::to_string(W.m_startTime);
  }

  WorkerInfo info() const {
    WorkerInfo W;
    W.m_id = "w-1";
    W.m_startTime = m_startTime;
    W.m_workerIncarnation = incarnationOf(W);
    W.m_service = "render";
    W.m_dataCentre = "a";
    W.m_capacity = {8000, 1000, 8};
    W.m_draining = m_draining;
    return W;
  }

  void heartbeat() { m_agent.onWorkerInfo(info(), m_now); }

  /// Sends a heartbeat of another writer, which differs by \p Change.
  void heartbeat(const std::function<void(WorkerInfo &)> &Change) {
    WorkerInfo W = info();
    Change(W);
    W.m_workerIncarnation = incarnationOf(W);
    m_agent.onWorkerInfo(W, m_now);
  }

  /// Simulates a crash and a restart under the same id.
  void restart() {
    ++m_startTime;
    m_runs.clear();
    m_ends.clear();
    m_newestStopped.clear();
    m_lastEnd = 0;
    m_deadline = 0;
    m_clockZero = m_now;
  }

  /// The worker's clock, which starts anew with each incarnation.
  Millis clock() const { return m_now - m_clockZero; }

  void end(const std::string &Task, int Run, EndKind Kind,
           const std::string &Saved = "") {
    m_runs.erase({Task, Run});
    m_ends.push_back({Task, Run, Kind, Saved, ++m_lastEnd, ""});
  }

  /// Delays a start that an earlier process of the agent has sent.
  void delayStart(const StartCall &C) { m_delayedStarts.push_back(C); }

  /// Carries out the delayed starts.
  void applyDelayedStarts() {
    for (const StartCall &C : std::exchange(m_delayedStarts, {}))
      apply(C);
  }

  /// Advances the clock by \p Ms in steps of 1 ms.
  void pass(Millis Ms) {
    for (Millis I = 0; I < Ms; ++I) {
      ++m_now;
      if (m_deadline > 0 && clock() > m_deadline && !m_runs.empty()) {
        const auto Runs = m_runs;
        for (const auto &[K, R] : Runs)
          end(K.first, K.second, EndKind::LeaseExpired, R.m_checkpoint);
      }
      while (!m_answers.empty() && m_answers.begin()->first <= m_now) {
        const auto Answer = std::move(m_answers.begin()->second);
        m_answers.erase(m_answers.begin());
        Answer();
      }
      if (m_now % 10 == 0)
        m_agent.advance(m_now);
    }
  }

  /// Advances the clock while the leader replies every 50 ms.
  void passWithReplies(Millis Ms) {
    for (Millis I = 0; I < Ms; I += 50) {
      pass(50);
      reply({});
    }
  }

  /// Replies to all open reports: to the newest with \p R, to the others
  /// without orders.
  void reply(AgentReply R) {
    R.m_epoch = m_epoch;
    R.m_leads = true;
    R.m_workerIncarnation = info().m_workerIncarnation;
    AgentReply Empty = R;
    Empty.m_starts.clear();
    Empty.m_stops.clear();
    Empty.m_acknowledged.clear();
    const auto Open = std::exchange(m_reports, {});
    for (const AgentReport &Report : Open)
      m_agent.onReportReply(Report.m_sequence,
                            &Report == &Open.back() ? R : Empty, m_now);
  }

  bool reported(EndKind Kind) const {
    return !m_reports.empty() &&
           std::any_of(m_reports.back().m_ends.begin(),
                       m_reports.back().m_ends.end(),
                       [&](const EndReport &E) { return E.m_kind == Kind; });
  }

  std::uint64_t m_epoch = 1;
  bool m_draining = false;
  int m_startTime = 1;
  Millis m_clockZero = 0; ///< Time at which clock() was 0.
  std::map<std::pair<std::string, int>, Running> m_runs;
  std::vector<EndReport> m_ends;
  std::int64_t m_lastEnd = 0;
  std::int64_t m_acknowledged = 0; ///< Highest number acknowledged by a poll.
  int m_acknowledgements = 0;      ///< Polls that acknowledged an end.
  Millis m_deadline = 0;
  std::uint64_t m_fence = 0; ///< Of the last start or poll.
  int m_starts = 0;          ///< Runs that were started.
  std::vector<AgentReport> m_reports;
  std::vector<std::string> m_events;
  base::Counters m_counters;
  Agent m_agent;

private:
  void apply(const StartCall &C) {
    const std::pair K(C.m_order.m_task, C.m_order.m_run);
    if (m_runs.contains(K) || m_newestStopped[K.first] >= K.second)
      return;
    m_runs[K] = {C.m_order.m_payload, C.m_order.m_checkpoint, 0};
    m_deadline = std::max(m_deadline, C.m_deadline);
    ++m_starts;
  }

  void answerLater(std::function<void()> Answer, Millis Ms = 1) {
    m_answers.emplace(m_now + Ms, std::move(Answer));
  }

  void start(const StartCall &C) override {
    m_fence = C.m_fence;
    const std::string Task = C.m_order.m_task;
    const int Run = C.m_order.m_run;
    const auto SendResult = [this, Task, Run](OrderOutcome O,
                                              const std::string &Reason) {
      answerLater([=, this] {
        m_agent.onStartResult(Task, Run, {O, Reason, clock()}, m_now);
      });
    };
    if (m_unreachable || m_dropsStarts || m_delaysStarts) {
      if (m_delaysStarts)
        m_delayedStarts.push_back(C);
      return SendResult(OrderOutcome::Unanswered, "timeout");
    }
    if (!m_refusal.empty())
      return SendResult(OrderOutcome::Refused, m_refusal);
    if (m_newestStopped[Task] >= Run)
      return SendResult(OrderOutcome::Ended, "old");
    apply(C);
    SendResult(OrderOutcome::Done, "");
  }

  void stop(const StopCall &C) override {
    if (m_unreachable)
      return answerLater([this, C] {
        m_agent.onStopResult(C.m_task, C.m_run,
                             {OrderOutcome::Unanswered, "timeout", -1}, m_now);
      });
    if (!m_stopRefusal.empty())
      return answerLater([this, C] {
        m_agent.onStopResult(C.m_task, C.m_run,
                             {OrderOutcome::Refused, m_stopRefusal, -1}, m_now);
      });
    m_newestStopped[C.m_task] = std::max(m_newestStopped[C.m_task], C.m_run);
    if (m_runs.contains({C.m_task, C.m_run}))
      end(C.m_task, C.m_run, EndKind::Stopped, "saved");
    answerLater([this, C] {
      m_agent.onStopResult(C.m_task, C.m_run, {OrderOutcome::Done, "", clock()},
                           m_now);
    });
  }

  void poll(const PollCall &C) override {
    // A call that names another worker is refused.
    if (m_unreachable || m_dropsPolls || C.m_worker != info().m_id)
      return answerLater(
          [this, C] { m_agent.onPollResult(C.m_serial, {}, m_now); });
    m_fence = C.m_fence;
    if (C.m_deadline)
      m_deadline = std::max(m_deadline, *C.m_deadline);
    m_acknowledged = std::max(m_acknowledged, C.m_acknowledged);
    m_acknowledgements += C.m_acknowledged > 0 ? 1 : 0;
    std::erase_if(m_ends, [&](const EndReport &E) {
      return E.m_number <= C.m_acknowledged;
    });
    PollResult A;
    A.m_answered = true;
    A.m_workerIncarnation = info().m_workerIncarnation;
    A.m_clock = clock();
    for (const auto &[K, R] : m_runs)
      A.m_runs.push_back({K.first, K.second, RunPhase::Running, R.m_percent,
                          R.m_checkpoint, 0});
    A.m_ends = {m_ends.begin(),
                m_ends.begin() + static_cast<std::ptrdiff_t>(
                                     std::min(m_ends.size(), m_pageSize))};
    A.m_moreEnds = A.m_ends.size() == m_pageSize;
    if (m_alterAnswer)
      m_alterAnswer(A);
    // The poll is answered at once if there are ends, else after its wait.
    const Millis Wait = m_ends.empty() ? C.m_waitMs : 0;
    answerLater([this, A, C] { m_agent.onPollResult(C.m_serial, A, m_now); },
                1 + Wait);
  }

  void report(const AgentReport &R) override {
    if (!m_leaderSilent) {
      m_reports.push_back(R);
      return;
    }
    answerLater([this, Sequence = R.m_sequence] {
      m_agent.onReportReply(Sequence, std::nullopt, m_now);
    });
  }

  void event(const std::string &Name, const std::string &,
             const std::string &) override {
    m_events.push_back(Name);
  }

  std::map<std::string, int> m_newestStopped; ///< Highest stopped run by task.
  std::vector<StartCall> m_delayedStarts;
  /// Pending answers by the time they are due.
  std::multimap<Millis, std::function<void()>> m_answers;
};

} // namespace pomelokeel::batch::tests
