#include "restart_simulation_processes.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace pomelokeel::batch::tests {
namespace {

constexpr Millis ReportTimeoutMs = 2000;
constexpr Millis PollMarginMs = 800;

/// A call that was delayed by a crashed worker is carried out by the next
/// incarnation only once the agent has had time to void it there. Issue 10 has
/// the case of an earlier one.
constexpr Millis VoidMs = 1000;

} // namespace

RestartSimulation::AgentProcess::AgentProcess(RestartSimulation &S, Worker &W)
    : m_simulation(S), m_worker(W),
      m_agent(W.m_name, S.wallNow(), AgentTiming{}, *this, S.m_counters) {}

void RestartSimulation::AgentProcess::later(Millis Ms,
                                            std::function<void()> Do) {
  m_simulation.after(Ms,
                     [Do = std::move(Do), Alive = std::weak_ptr<int>(m_alive)] {
                       if (!Alive.expired())
                         Do();
                     });
}

void RestartSimulation::AgentProcess::start(const StartCall &C) {
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

void RestartSimulation::AgentProcess::stop(const StopCall &C) {
  order<StopCall>(
      C, C.m_task, C.m_run, "stop",
      [&S = m_simulation, &W = m_worker](const StopCall &Call, bool) {
        return S.carryOutStop(W, Call);
      },
      [this](const StopCall &Call, const OrderResult &R) {
        m_agent.onStopResult(Call.m_task, Call.m_run, R, m_simulation.m_now);
      });
}

template <typename Call>
void RestartSimulation::AgentProcess::order(
    const Call &C, const std::string &Task, int Run, const char *What,
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
  const auto Finish = [C, Done, Open = std::make_shared<bool>(true),
                       Alive =
                           std::weak_ptr<int>(m_alive)](const OrderResult &R) {
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

void RestartSimulation::AgentProcess::poll(const PollCall &C) {
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

void RestartSimulation::AgentProcess::answerPoll(const PollCall &C,
                                                 std::int64_t StartTime,
                                                 Millis Until) {
  RestartSimulation &S = m_simulation;
  if (!m_worker.m_up || m_worker.m_startTime != StartTime)
    return;
  if (m_worker.m_ends.empty() && S.m_now < Until)
    return later(WorkerTickMs, [=, this] { answerPoll(C, StartTime, Until); });
  PollResult R;
  R.m_answered = true;
  R.m_workerIncarnation = m_worker.incarnation();
  R.m_clock = S.clockOf(m_worker);
  for (const auto &[K, L] : m_worker.m_runs) {
    const int Percent =
        L.m_worksSince < 0 ? 0
                           : static_cast<int>(100 * (S.m_now - L.m_worksSince) /
                                              L.m_durationMs);
    R.m_runs.push_back({K.first, K.second, RunPhase::Running,
                        std::min(Percent, 99), L.m_checkpoint, 0});
  }
  R.m_ends = m_worker.m_ends;
  later(S.between(1, 5), [=, this] { finishPoll(C.m_serial, R); });
}

void RestartSimulation::AgentProcess::finishPoll(std::uint64_t Serial,
                                                 const PollResult &R) {
  if (m_finishedPolls.insert(Serial).second)
    m_agent.onPollResult(Serial, R, m_simulation.m_now);
}

void RestartSimulation::AgentProcess::report(const AgentReport &R) {
  RestartSimulation &S = m_simulation;
  const std::uint64_t Sequence = R.m_sequence;
  const auto Finish = [this, Sequence](const std::optional<AgentReply> &Reply) {
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
    L->second->m_leader->report(
        R, S.m_now, S.wallNow(), [&S, Finish, Alive](const AgentReply &Reply) {
          if (S.chance(S.m_noise))
            return;
          S.after(S.between(1, 8), [Finish, Alive, Reply] {
            if (!Alive.expired())
              Finish(Reply);
          });
        });
  });
}

void RestartSimulation::AgentProcess::event(const std::string &Name,
                                            const std::string &Job,
                                            const std::string &Detail) {
  std::string JobId = Job;
  if (const auto At = Detail.find("task="); Job.empty() && At == 0)
    JobId = Detail.substr(5, Detail.find('.') - 5);
  m_simulation.log(
      JobId, fmt::format("agent {}: {} {}", m_worker.m_name, Name, Detail));
}

} // namespace pomelokeel::batch::tests
