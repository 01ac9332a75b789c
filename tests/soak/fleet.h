#pragma once

#include "base/clock.h"
#include "base/json.h"
#include "scenario/process.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace pomelokeel::soak {

using base::Millis;

/// A process of the system under test. It is restarted whenever it has ended.
struct Process {
  std::string m_name;
  std::vector<std::string> m_command;
  base::Json m_settings;
  std::string m_settingsFile;
  std::string m_logFile;
  std::string m_callerAddress;    ///< Entries: where callers connect.
  std::string m_heartbeatAddress; ///< Agents: for the worker's heartbeats.
  Millis m_startAt = 0;           ///< Earliest time of the next start.
  Millis m_resumeAt = 0;          ///< End of a freeze, or 0 if not frozen.
  bool m_ending = false;          ///< Was told to end.
  Millis m_graceMs = 0;           ///< From SIGTERM until it is killed.
  Millis m_killAt = 0;            ///< End of the grace period, or 0.
  Millis m_startedAt = 0;         ///< Time of the last start.
  Millis m_disturbedAt = 0;       ///< When it last did not run freely.
  std::optional<scenario::Child> m_child;
};

/// The entries and agents under test. Their settings files and logs are in
/// \p Folder.
class Fleet {
public:
  /// Passes to \p OnFault if a process ends by itself or too late.
  Fleet(std::string Program, std::string Folder, std::string Store,
        std::function<void(const std::string &)> OnFault);

  void addEntry(const std::string &Name);
  /// \p Endpoint is the address at which the agent's worker receives orders.
  void addAgent(const std::string &Name, const std::string &Endpoint);

  /// Starts processes that are not running and resumes frozen ones, each when
  /// it is due.
  void tick(Millis Now);

  /// Sends \p Signal to end the process, and restarts it once it has ended, at
  /// the earliest after \p RestartAfterMs. A process that has not ended within
  /// the grace period after SIGTERM is killed.
  void terminate(Process &P, int Signal, Millis RestartAfterMs, Millis Now);
  /// Suspends the process (SIGSTOP) for \p DurationMs.
  void freeze(Process &P, Millis DurationMs, Millis Now);

  /// Changes the grace period in the settings file and sends SIGHUP.
  void reload(Process &P);
  bool anyFrozen() const;
  std::vector<Process> &entries() { return m_entries; }
  std::vector<Process> &agents() { return m_agents; }

private:
  Process makeProcess(const std::string &Name, const std::string &Role,
                      base::Json Settings) const;

  std::string m_program;
  std::string m_folder;
  std::string m_store;
  std::function<void(const std::string &)> m_onFault;
  std::vector<Process> m_entries;
  std::vector<Process> m_agents;
};

} // namespace pomelokeel::soak
