#include "soak/operations.h"

#include <fmt/format.h>

#include <utility>

#include <signal.h>

namespace pomelokeel::soak {
namespace {

constexpr Millis IntervalMs = 700;
constexpr Millis SeriesMs = 1000;
constexpr Millis MaxRestartMs = 1500;
/// Longest time between a submission and the SIGTERM of its entry.
constexpr Millis MaxLeadMs = 60;
/// Processes do not handle SIGHUP in the first moments after their start.
constexpr Millis StartUpMs = 200;
/// Callers submit no jobs beside a SIGTERM while this many have not ended. They
/// could otherwise not all end in time.
constexpr std::size_t MaxOpenJobs = 12;

} // namespace

Millis Operations::randomBelow(Millis High) {
  return static_cast<Millis>(m_random() % static_cast<std::uint64_t>(High));
}

Process &Operations::randomProcess() {
  auto &Group = m_random() % 2 == 0 ? m_target.m_fleet.entries()
                                    : m_target.m_fleet.agents();
  return Group[m_random() % Group.size()];
}

void Operations::at(Millis Time, std::function<void(Millis)> Run) {
  m_steps.emplace(Time, std::move(Run));
}

void Operations::tick(Millis Now) {
  if (Now >= m_nextAt) {
    m_nextAt = Now + IntervalMs;
    begin(Now);
  }
  while (!m_steps.empty() && m_steps.begin()->first <= Now) {
    const auto Run = std::move(m_steps.begin()->second);
    m_steps.erase(m_steps.begin());
    Run(Now);
  }
}

void Operations::begin(Millis Now) {
  switch (m_random() % (m_kills ? 7 : 6)) {
  case 0:
  case 1:
  case 2:
    return sendSeries(randomProcess(), Now);
  case 3:
    return stopAll(Now, 1);
  case 4:
    return stopAll(Now, 2 * SeriesMs);
  case 5:
    return reloadAll(Now);
  default:
    return replaceWorker(Now);
  }
}

void Operations::sendSeries(Process &P, Millis Now) {
  const auto Count = 3 + m_random() % 4;
  m_target.m_history.log(
      fmt::format("fault series of {} for {}", Count, P.m_name));
  for (std::size_t I = 0; I < Count; ++I)
    at(Now + randomBelow(SeriesMs), [this, &P](Millis T) { sendOne(P, T); });
}

void Operations::sendOne(Process &P, Millis Now) {
  switch (m_random() % (m_kills ? 4 : 3)) {
  case 0:
    return reload(P, Now);
  case 1:
    return stop(P, randomBelow(MaxRestartMs), Now);
  case 2:
    return m_target.m_configure();
  default:
    m_target.m_history.unplanned();
    return m_target.m_fleet.terminate(P, SIGKILL, randomBelow(MaxRestartMs),
                                      Now);
  }
}

void Operations::stop(Process &P, Millis RestartAfterMs, Millis Now) {
  const bool SubmitsBefore = m_random() % 2 == 0;
  const auto Submit = [this, &P](bool IsTurn) {
    if (IsTurn && !P.m_callerAddress.empty() &&
        m_target.m_callers.unfinished() < MaxOpenJobs)
      m_target.m_callers.addJobAt(P.m_callerAddress);
  };
  Submit(SubmitsBefore);
  m_target.m_connections.finishRequest(P.m_callerAddress);
  at(Now + randomBelow(MaxLeadMs), [=, this, &P](Millis T) {
    m_target.m_history.log("fault SIGTERM of " + P.m_name);
    m_target.m_fleet.terminate(P, SIGTERM, RestartAfterMs, T);
    m_target.m_connections.finishRequest(P.m_callerAddress);
    Submit(!SubmitsBefore);
  });
}

void Operations::stopAll(Millis Now, Millis MaxGapMs) {
  m_target.m_history.log("fault all stopped");
  const Millis Restart = randomBelow(MaxRestartMs);
  for (auto *Group : {&m_target.m_fleet.entries(), &m_target.m_fleet.agents()})
    for (Process &P : *Group)
      at(Now + randomBelow(MaxGapMs),
         [=, this, &P](Millis T) { stop(P, Restart, T); });
}

void Operations::reloadAll(Millis Now) {
  m_target.m_history.log("fault all reload, beside configurations");
  constexpr int Versions = 4;
  for (int I = 0; I < Versions; ++I)
    at(Now + randomBelow(SeriesMs / 2),
       [this](Millis) { m_target.m_configure(); });
  for (auto *Group : {&m_target.m_fleet.entries(), &m_target.m_fleet.agents()})
    for (Process &P : *Group)
      at(Now + randomBelow(SeriesMs / 2),
         [this, &P](Millis T) { reload(P, T); });
}

void Operations::replaceWorker(Millis Now) {
  m_target.m_history.unplanned();
  const std::size_t I = m_random() % m_target.m_workers.all().size();
  m_target.m_history.log(fmt::format("fault worker {} replaced", I));
  m_target.m_workers.all()[I]->replace();
  if (m_random() % 2 == 0)
    m_target.m_fleet.terminate(m_target.m_fleet.agents()[I], SIGKILL,
                               randomBelow(MaxRestartMs), Now);
}

void Operations::reload(Process &P, Millis Now) {
  if (P.m_child && Now - P.m_startedAt >= StartUpMs)
    m_target.m_fleet.reload(P);
}

} // namespace pomelokeel::soak
