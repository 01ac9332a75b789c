#pragma once

#include "model/message.h"

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <string>

/// Simulated agents that answer commands as real agents must.
namespace pomelokeel::sim {

using base::Json;
using base::Millis;
using model::CommandKind;
using model::HoldState;

constexpr Millis StepMs = 50;
constexpr Millis GangLeaseMs = 1000;
constexpr Millis ReserveTtlMs = 3000;
constexpr Millis OrphanLimitMs = 8000;
constexpr Millis StartTimeoutMs = 2000;

struct Task {
  model::Hold m_hold;
  int m_members = 1;
  Millis m_runMs = 0;
  Millis m_sinceMs = 0; ///< When the current state began.
  /// Since when a gang member is missing, or -1.
  Millis m_incompleteSinceMs = -1;
  bool m_fails = false;
};

inline bool isActive(const Task &T) {
  return T.m_hold.m_state == HoldState::Paused ||
         T.m_hold.m_state == HoldState::Running;
}

inline bool hasEnded(const Task &T) {
  return !isActive(T) && T.m_hold.m_state != HoldState::Reserved;
}

/// An agent with its worker.
struct Agent {
  std::string m_name;
  int m_incarnation = 1;
  std::uint64_t m_sequence = 0;
  std::uint64_t m_epoch = 0;
  std::map<std::string, Task> m_tasks;
  std::map<std::string, std::uint64_t> m_released; ///< Fence by job.
  bool m_refuses = false; ///< Refuses every reservation.
  Millis m_downUntilMs = 0;
  Millis m_cutUntilMs = 0;
  Millis m_lastContactMs = 0;
  Millis m_nextReportMs = 0;
  std::function<bool()> m_failTask = [] { return false; };

  model::Worker worker() const {
    model::Worker W;
    W.m_name = m_name;
    W.m_incarnation = "i" + std::to_string(m_incarnation);
    W.m_agentAddress = "mesh-" + m_name;
    W.m_dataCentre = "dc";
    W.m_region = "region";
    W.m_rack = "rack";
    W.m_cores = 64;
    W.m_memoryMb = 65536;
    W.m_accelerators = 8;
    W.m_slots = 4;
    return W;
  }

  model::AgentReport report() {
    model::AgentReport R;
    R.m_worker = worker();
    R.m_sequence = ++m_sequence;
    for (const auto &[Id, T] : m_tasks)
      R.m_holds.push_back(T.m_hold);
    return R;
  }

  void enterState(Task &T, HoldState S, Millis NowMs) {
    T.m_hold.m_state = S;
    T.m_sinceMs = NowMs;
    m_nextReportMs = 0;
  }

  void stop(Task &T, const std::string &Reason, Millis NowMs) {
    if (hasEnded(T))
      return;
    T.m_hold.m_reason = Reason;
    enterState(T, HoldState::Stopped, NowMs);
  }

  std::optional<base::ErrorKind> reserve(const model::Command &C,
                                         const std::string &Id, Millis NowMs) {
    if (m_tasks.contains(Id))
      return hasEnded(m_tasks[Id])
                 ? std::optional(base::ErrorKind::ReservationExpired)
                 : std::nullopt;
    const auto Released = m_released.find(C.m_job);
    if (Released != m_released.end() && C.m_fence <= Released->second)
      return base::ErrorKind::StaleFence;
    if (m_refuses)
      return base::ErrorKind::Overloaded;
    Task T;
    T.m_hold.m_job = C.m_job;
    T.m_hold.m_attempt = C.m_attempt;
    T.m_hold.m_member = C.m_member;
    T.m_hold.m_fence = C.m_fence;
    T.m_hold.m_place = C.m_places[static_cast<std::size_t>(C.m_member)];
    T.m_members = C.m_spec.m_members;
    T.m_runMs = C.m_spec.m_runMs;
    enterState(m_tasks[Id] = T, HoldState::Reserved, NowMs);
    return std::nullopt;
  }

  std::optional<base::ErrorKind> start(const std::string &Id, Millis NowMs) {
    const auto It = m_tasks.find(Id);
    if (It == m_tasks.end() || hasEnded(It->second))
      return base::ErrorKind::ReservationExpired;
    if (It->second.m_hold.m_state == HoldState::Reserved) {
      It->second.m_fails = m_failTask();
      enterState(It->second, HoldState::Paused, NowMs);
    }
    return std::nullopt;
  }

  std::optional<base::ErrorKind>
  stopOrMark(const model::Command &C, const std::string &Id, Millis NowMs) {
    const auto Released = m_released.find(C.m_job);
    if (!m_tasks.contains(Id)) {
      if (Released != m_released.end() && C.m_fence <= Released->second)
        return base::ErrorKind::NotFound;
      Task T;
      T.m_hold.m_job = C.m_job;
      T.m_hold.m_attempt = C.m_attempt;
      T.m_hold.m_member = C.m_member;
      T.m_hold.m_fence = C.m_fence;
      m_tasks[Id] = T;
    }
    stop(m_tasks[Id], "stopped by command", NowMs);
    return std::nullopt;
  }

  std::optional<base::ErrorKind> execute(const model::Command &C,
                                         Millis NowMs) {
    const std::string Id = model::taskId(C.m_job, C.m_attempt, C.m_member);
    const bool ForThisIncarnation =
        C.m_incarnation.empty() || C.m_incarnation == worker().m_incarnation;
    if (C.m_kind == CommandKind::Reserve || C.m_kind == CommandKind::Start) {
      if (!ForThisIncarnation)
        return base::ErrorKind::NotReady;
      return C.m_kind == CommandKind::Reserve ? reserve(C, Id, NowMs)
                                              : start(Id, NowMs);
    }
    if (C.m_kind == CommandKind::Stop)
      return stopOrMark(C, Id, NowMs);
    const auto It = m_tasks.find(Id);
    if (It == m_tasks.end())
      return base::ErrorKind::NotFound;
    if (C.m_kind == CommandKind::Checkpoint && isActive(It->second))
      It->second.m_hold.m_checkpoint = {{"at", NowMs}};
    if (C.m_kind == CommandKind::Release && hasEnded(It->second)) {
      m_released[C.m_job] = std::max(m_released[C.m_job], C.m_fence);
      m_tasks.erase(It);
    }
    return std::nullopt;
  }

  model::CommandReply handle(const model::Command &C, std::uint64_t Epoch,
                             Millis NowMs) {
    model::CommandReply R;
    R.m_kind = C.m_kind;
    R.m_worker = m_name;
    R.m_job = C.m_job;
    R.m_attempt = C.m_attempt;
    R.m_member = C.m_member;
    m_lastContactMs = NowMs;
    R.m_error = Epoch < m_epoch ? std::optional(base::ErrorKind::StaleEpoch)
                                : execute(C, NowMs);
    m_epoch = std::max(m_epoch, Epoch);
    R.m_accepted = !R.m_error;
    R.m_incarnation = worker().m_incarnation;
    R.m_sequence = m_sequence;
    return R;
  }

  // The worker keeps its tasks unless Wipe is set. Reservations, and records of
  // tasks that were stopped before they ran, are lost with the agent's memory.
  void restart(bool Wipe, Millis DownMs, Millis NowMs) {
    ++m_incarnation;
    m_sequence = 0;
    m_epoch = 0;
    m_released.clear();
    m_downUntilMs = NowMs + DownMs;
    std::erase_if(m_tasks, [&](const auto &Item) {
      const Task &T = Item.second;
      return Wipe || T.m_hold.m_state == HoldState::Reserved ||
             (hasEnded(T) && !T.m_hold.m_everRan);
    });
    m_nextReportMs = 0;
  }
};

} // namespace pomelokeel::sim
