#pragma once

#include "batch/job.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pomelokeel::batch {

/// A worker as the placement sees it.
struct Site {
  std::string m_agent;
  std::string m_life;
  std::string m_service;
  std::string m_rack;
  std::vector<std::string> m_labels;
  Resources m_capacity;
  Resources m_free; ///< Free now.
  Resources m_soon; ///< Free when all runs that are being stopped have ended.
  bool m_usable = true;  ///< Takes new work.
  int m_failures = 0;    ///< Runs that failed since one was done.
  double m_slowness = 1; ///< Expected run time relative to a sound worker.
};

/// Tasks of one step that start together (a gang) or on their own.
struct Unit {
  TaskName m_name; ///< Of its first task.
  std::vector<int> m_indices;
  const JobSpec *m_spec = nullptr;
  const Step *m_step = nullptr;
  /// Tasks of the same step and occurrence that each site already runs.
  std::vector<int> m_running;
  std::vector<std::string> m_avoid; ///< Agents where it failed before.
  bool m_anyRack = false; ///< To be placed even where it runs much slower.
};

/// Which of a site's figures to place against. Later: when further runs have
/// ended.
enum class Horizon { Now, Soon, Later };

/// Sites that a unit may be spread over, by index.
using Scope = std::vector<std::size_t>;

/// The workers, by rack.
struct Fleet {
  std::vector<Site> m_sites;
  std::vector<Scope> m_racks;
  std::vector<std::size_t> m_rackOf; ///< By site.
  Scope m_all;
};

Fleet makeFleet(std::vector<Site> Sites);

/// Sites, by index, for each of the unit's tasks.
using Assignment = std::vector<std::size_t>;

/// Chooses sites for all tasks of \p U, or none if they do not fit. Packs onto
/// the fullest sites, so that whole workers stay free for large tasks; keeps
/// rack-local gangs on one rack unless no rack could ever hold them, and all
/// from workers that failed them unless no others could.
std::optional<Assignment> place(const Unit &U, const Fleet &F, Horizon When);

/// Room that a site gets back when a run there ends.
struct Release {
  Millis m_inMs = 0; ///< Expected time until then.
  Resources m_room;
};

/// Expected releases by site.
using Releases = std::vector<std::vector<Release>>;

/// Chooses the sites where all tasks of \p U fit soonest as runs end, or none
/// if they never do. Starts from Horizon::Soon.
std::optional<Assignment> placeAfter(const Unit &U, const Fleet &F,
                                     const Releases &R);

/// True if the unit fits on \p F when all workers are idle.
bool canEverFit(const Unit &U, const Fleet &F);

/// Takes the room of \p A from the free figures. With Horizon::Soon and Later
/// the room is kept from others until the runs that hold it have ended.
void take(const Unit &U, const Assignment &A, Horizon When, Fleet &F);

/// A run that may be stopped for a more urgent one.
struct Victim {
  std::size_t m_unit = 0; ///< The caller's number; a gang has one.
  std::vector<std::pair<std::size_t, Resources>> m_room; ///< By site.
  double m_cost = 0; ///< Work that is lost, in core-seconds.
};

/// Runs that may be stopped, cheapest first.
struct Victims {
  std::vector<const Victim *> m_all;
  std::vector<Scope> m_byRack; ///< Positions in m_all, by rack of the fleet.
};

/// \p Cheapest are sorted by cost.
Victims makeVictims(std::vector<const Victim *> Cheapest, const Fleet &F);

/// Chooses runs to stop so that \p U fits: the cheapest found, without any that
/// turns out not to be needed. Returns positions in Victims::m_all, or nothing.
std::optional<std::vector<std::size_t>>
chooseVictims(const Unit &U, const Fleet &F, const Victims &V);

} // namespace pomelokeel::batch
