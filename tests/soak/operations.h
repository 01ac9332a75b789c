#pragma once

#include "soak/callers.h"
#include "soak/connections.h"
#include "soak/fleet.h"
#include "soak/worker.h"

#include <cstdint>
#include <functional>
#include <map>
#include <random>

namespace pomelokeel::soak {

/// Plays planned work in series and overlapping: several signals and
/// configurations within a second, for one process or all. Around each SIGTERM
/// of an entry, callers submit jobs to it. Has a random generator of its own,
/// so that the other faults of a seed do not change.
class Operations {
public:
  /// What the operations act on. Must outlive them.
  struct Target {
    History &m_history;
    Fleet &m_fleet;
    Workers &m_workers;
    Callers &m_callers;
    Connections &m_connections;
    std::function<void()> m_configure; ///< Publishes the next configuration.
  };

  /// With \p Kills, processes are also killed and workers replaced, which is
  /// not planned.
  Operations(Target T, std::uint64_t Seed, bool Kills)
      : m_target(std::move(T)), m_random(Seed), m_kills(Kills) {}

  /// Begins the next operation if it is due, and carries out the steps of all
  /// operations that are.
  void tick(Millis Now);

  /// Sends SIGTERM to \p P and lets callers submit jobs to it before and after.
  void stop(Process &P, Millis RestartAfterMs, Millis Now);

private:
  void begin(Millis Now);
  void sendSeries(Process &P, Millis Now);
  void sendOne(Process &P, Millis Now);
  void stopAll(Millis Now, Millis MaxGapMs);
  void reloadAll(Millis Now);
  void replaceWorker(Millis Now);
  void reload(Process &P, Millis Now);
  Process &randomProcess();
  Millis randomBelow(Millis High);
  void at(Millis Time, std::function<void(Millis)> Run);

  Target m_target;
  std::mt19937_64 m_random;
  bool m_kills;
  Millis m_nextAt = 0;
  std::multimap<Millis, std::function<void(Millis)>> m_steps; ///< By time.
};

} // namespace pomelokeel::soak
