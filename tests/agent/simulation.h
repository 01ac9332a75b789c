#pragma once

#include "agent/tasks.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace pomelokeel::agent {

/// Faults of the simulated network and agents. Rates are in percent.
struct SimulationFaults {
  int m_lossRate = 0;
  int m_repeatRate = 0;
  Millis m_maxDelayMs = 100;
  int m_freezesPer1000 = 0; ///< Freezes of an agent per 1000 steps.
  Millis m_maxFreezeMs = 5000;
};

/// A worker that follows the worker protocol in simulated time.
class SimulatedWorker {
public:
  struct Task {
    model::TaskInfo m_info;
    Millis m_leaseEnd = 0;
    Millis m_runMs = 0;
    Millis m_runStartedAt = 0;
  };

  WorkerAnswer apply(const WorkerCall &Call, Millis SentAt, Millis Now) {
    WorkerAnswer A;
    A.m_kind = Call.m_kind;
    A.m_task = Call.m_task;
    A.m_sentAt = SentAt;
    A.m_leaseMs = Call.m_leaseEnd - SentAt;
    tick(Now);
    if (Call.m_kind == CallKind::Start)
      return start(Call, A, Now);
    const auto It = m_tasks.find(Call.m_task);
    if (It == m_tasks.end()) {
      A.m_error = base::ErrorKind::NotFound;
      return A;
    }
    Task &T = It->second;
    const bool Final = model::isFinal(T.m_info.m_state);
    if (Call.m_kind == CallKind::Renew && !Final)
      T.m_leaseEnd = Now + A.m_leaseMs;
    if (Call.m_kind == CallKind::Release && !Final) {
      T.m_runStartedAt = Now;
      T.m_info.m_everRan = true;
      change(T, model::TaskState::Running);
      m_ran.insert(Call.m_task);
    }
    if (Call.m_kind == CallKind::Stop && !Final)
      change(T, model::TaskState::Stopped);
    A.m_info = T.m_info;
    if (Call.m_kind == CallKind::Forget)
      m_tasks.erase(It);
    return A;
  }

  void tick(Millis Now) {
    for (auto &[Id, T] : m_tasks) {
      if (model::isFinal(T.m_info.m_state))
        continue;
      if (Now >= T.m_leaseEnd)
        change(T, model::TaskState::Lapsed);
      else if (T.m_info.m_state == model::TaskState::Running &&
               Now >= T.m_runStartedAt + T.m_runMs)
        change(T, model::TaskState::Succeeded);
    }
  }

  model::TaskPage page() const {
    model::TaskPage P;
    P.m_incarnation = "1";
    P.m_last = m_sequence;
    for (const auto &[Id, T] : m_tasks)
      P.m_tasks.push_back(T.m_info);
    return P;
  }
  const Task *task(const std::string &Id) const {
    const auto It = m_tasks.find(Id);
    return It == m_tasks.end() ? nullptr : &It->second;
  }
  bool everRan(const std::string &Id) const { return m_ran.contains(Id); }

private:
  WorkerAnswer start(const WorkerCall &Call, WorkerAnswer A, Millis Now) {
    if (!m_known.insert(Call.m_task).second) {
      A.m_error = base::ErrorKind::DuplicateTask;
      return A;
    }
    Task &T = m_tasks[Call.m_task];
    T.m_info.m_task = Call.m_task;
    T.m_info.m_metadata = Call.m_start.m_metadata;
    T.m_leaseEnd = Now + A.m_leaseMs;
    T.m_runMs = Call.m_start.m_payload.value("runMs", Millis{0});
    change(T, model::TaskState::Paused);
    A.m_info = T.m_info;
    return A;
  }
  void change(Task &T, model::TaskState State) {
    T.m_info.m_state = State;
    T.m_info.m_sequence = ++m_sequence;
  }

  std::map<std::string, Task> m_tasks;
  std::set<std::string> m_known;
  std::set<std::string> m_ran;
  std::uint64_t m_sequence = 0;
};

/// Agents with their workers on a network that delays, loses and repeats
/// messages. Agents may freeze; messages to a frozen agent are delivered later.
class Simulation {
public:
  struct Node {
    std::unique_ptr<TaskTable> m_table;
    SimulatedWorker m_worker;
    Millis m_frozenUntil = 0;
    bool m_workerSilent = false; ///< Its calls are lost.
    std::vector<std::function<void()>> m_buffered;
  };

  Simulation(int Nodes, SimulationFaults Faults, std::uint64_t Seed)
      : m_faults(Faults), m_random(Seed), m_nodes(Nodes) {
    for (int I = 0; I < Nodes; ++I) {
      TaskLimits L;
      L.m_worker = nameOf(I);
      L.m_incarnation = "i";
      L.m_accelerators = 8;
      m_nodes[I].m_table = std::make_unique<TaskTable>(L, 0);
      m_nodes[I].m_table->onTaskList(m_nodes[I].m_worker.page(), 0, 0);
    }
  }

  static std::string nameOf(int Node) { return "w" + std::to_string(Node); }
  Millis now() const { return m_now; }
  Node &node(int I) { return m_nodes[I]; }
  int size() const { return static_cast<int>(m_nodes.size()); }
  int percent() { return static_cast<int>(m_random() % 100); }

  /// Sends to an agent through the unreliable network.
  void toAgent(int I, const std::function<void()> &Deliver) {
    const int Copies = 1 + (percent() < m_faults.m_repeatRate ? 1 : 0);
    for (int C = 0; C < Copies; ++C) {
      if (percent() >= m_faults.m_lossRate)
        schedule(m_now + delay(), [this, I, Deliver] { deliver(I, Deliver); });
    }
  }

  void step() {
    constexpr Millis StepMs = 10;
    m_now += StepMs;
    while (!m_queue.empty() && m_queue.begin()->first <= m_now) {
      const auto Action = m_queue.begin()->second;
      m_queue.erase(m_queue.begin());
      Action();
    }
    for (int I = 0; I < size(); ++I)
      advanceNode(I);
  }

private:
  Millis delay() {
    return static_cast<Millis>(
        m_random() % static_cast<std::uint64_t>(m_faults.m_maxDelayMs + 1));
  }
  void schedule(Millis When, std::function<void()> Action) {
    m_queue.emplace(When, std::move(Action));
  }
  void deliver(int I, const std::function<void()> &Deliver) {
    if (m_now < m_nodes[I].m_frozenUntil)
      m_nodes[I].m_buffered.push_back(Deliver);
    else
      Deliver();
  }

  void advanceNode(int I) {
    Node &N = m_nodes[I];
    N.m_worker.tick(m_now);
    if (static_cast<int>(m_random() % 1000) < m_faults.m_freezesPer1000)
      N.m_frozenUntil =
          m_now + static_cast<Millis>(m_random() % static_cast<std::uint64_t>(
                                                       m_faults.m_maxFreezeMs));
    if (m_now < N.m_frozenUntil)
      return;
    for (const auto &Deliver : std::exchange(N.m_buffered, {}))
      Deliver();
    N.m_table->onLeaderContact(m_now);
    N.m_table->onTaskChanges(N.m_worker.page(), m_now);
    Effects E = N.m_table->advance(m_now);
    for (const WorkerCall &Call : E.m_calls)
      callWorker(I, Call);
    for (const GangMessage &Message : E.m_gangMessages) {
      const int To = std::stoi(Message.m_address);
      toAgent(To, [this, I, To, Message] {
        m_nodes[To].m_table->onGangMessage(Message.m_kind, std::to_string(I),
                                           Message.m_requestId,
                                           Message.m_memberStatus, m_now);
      });
    }
  }

  // Sends a call after a random delay unless its deadline has passed by then.
  // The call and its answer may be lost.
  void callWorker(int I, const WorkerCall &Call) {
    schedule(m_now + delay() / 4, [this, I, Call] {
      const Millis Sent = m_now;
      WorkerAnswer Lost;
      Lost.m_kind = Call.m_kind;
      Lost.m_task = Call.m_task;
      Lost.m_sentAt = Sent;
      Lost.m_error = base::ErrorKind::Timeout;
      WorkerAnswer A = Lost;
      const bool Sends = Sent < Call.m_notAfter &&
                         percent() >= m_faults.m_lossRate / 2 &&
                         !m_nodes[I].m_workerSilent;
      if (Sends)
        A = m_nodes[I].m_worker.apply(Call, Sent, m_now);
      if (percent() < m_faults.m_lossRate / 2)
        A = Lost;
      schedule(m_now + delay() / 4, [this, I, A] {
        deliver(I, [this, I, A] { m_nodes[I].m_table->onAnswer(A, m_now); });
      });
    });
  }

  const SimulationFaults m_faults;
  std::mt19937_64 m_random;
  std::vector<Node> m_nodes;
  std::multimap<Millis, std::function<void()>> m_queue;
  Millis m_now = 0;
};

} // namespace pomelokeel::agent
