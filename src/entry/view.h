#pragma once

#include "entry/attempts.h"
#include "entry/reclaim.h"
#include "sched/sched.h"
#include "state/state.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace pomelokeel::entry {

/// The configuration in force, read once for each version.
struct ConfigView {
  std::uint64_t m_version = 0;
  std::vector<model::Account> m_accounts;
  std::map<std::string, model::JobClass> m_classes;
  /// Largest orphan limit of each class among the versions that are kept: an
  /// attempt of an earlier leader may still run under an older one.
  std::map<std::string, Millis> m_orphanLimits;
  model::PlacementRule m_rule;
  std::set<std::string> m_draining;
};

ConfigView readConfig(const state::State &S);

/// The class named \p Name. An unknown class runs at most once.
model::JobClass classOf(const ConfigView &C, const std::string &Name);

/// What the leader knows about a worker from the messages of its agent.
struct LiveWorker {
  Millis m_lastContactMs = 0; ///< Or the start of the epoch.
  bool m_hasReported = false; ///< In this epoch.
  std::string m_incarnation;  ///< Of the last report.
  std::uint64_t m_sequence = 0;
  bool m_draining = false;
  bool m_reachable = true;
  bool m_strayHolds = false; ///< Holds a task that no current attempt owns.
  model::Usage m_usage;
};

/// A record that was appended and has not been read back.
struct PendingRecord {
  model::Record m_record;
  int m_attempt = 0;
  Millis m_sentMs = 0;
};

/// Places in records that have not been read back, by job.
using PendingPlaces = std::map<std::string, std::vector<model::MemberPlace>>;

/// Workers that a job must avoid, by job and worker, with the monotonic time
/// until which it does. The time is limited because a large gang may fit
/// nowhere else.
using AvoidedWorkers = std::map<std::string, std::map<std::string, Millis>>;

/// Parts of the leader that the view is built from.
struct ViewInput {
  const state::State &m_state;
  const ConfigView &m_config;
  const std::map<std::string, LiveWorker> &m_live;
  const std::map<std::string, Attempt> &m_attempts;
  const std::map<std::string, Reclaim> &m_reclaims;
  /// Jobs with a pending record are left out of the waiting ones.
  const std::map<std::string, PendingRecord> &m_pending;
  const PendingPlaces &m_pendingPlaces;
  const std::map<std::uint64_t, std::string> &m_waiting; ///< By offset.
  const AvoidedWorkers &m_avoid;
  const sched::RunTimeEstimates &m_estimates;
  Millis m_agentTimeoutMs = 0;
  Millis m_nowMs = 0;
  Millis m_logTimeMs = 0;
};

/// Builds the input of a planning pass.
sched::Snapshot buildSnapshot(const ViewInput &In);

/// Whether the quarantine of a worker has expired, so that it may get one job
/// at a time.
bool onProbation(const state::AnnouncedWorker &W, Millis LogTimeMs);

} // namespace pomelokeel::entry
