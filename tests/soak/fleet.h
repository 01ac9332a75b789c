#pragma once

#include "base/clock.h"
#include "scenario/process.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pomelokeel::soak {

using base::Millis;

/// A process of the system under test, started again after it has ended.
struct Member {
  std::string m_name;
  std::vector<std::string> m_command;
  std::string m_logFile;
  std::string m_callers; ///< Entry: where callers connect.
  std::string m_reports; ///< Agent: where its worker reports.
  Millis m_startAt = 0;  ///< When it is started (again).
  Millis m_resumeAt = 0; ///< When it is resumed, or 0.
  std::optional<scenario::Child> m_child;
};

/// The entries and agents, each with a settings file in \p Folder.
class Fleet {
public:
  Fleet(std::string Program, std::string Folder, std::string Store);

  void addEntry(const std::string &Name);
  /// \p Endpoint is where the agent's worker takes orders.
  void addAgent(const std::string &Name, const std::string &Endpoint);

  /// Starts and resumes what is due.
  void tick(Millis Now);

  /// Ends the process with \p Signal; it starts again after \p AfterMs.
  void end(Member &M, int Signal, Millis AfterMs, Millis Now);
  /// Stops the process from running for \p ForMs.
  void freeze(Member &M, Millis ForMs, Millis Now);

  std::vector<Member> &entries() { return m_entries; }
  std::vector<Member> &agents() { return m_agents; }

private:
  Member make(const std::string &Name, const std::string &Role,
              const std::string &Settings) const;

  std::string m_program;
  std::string m_folder;
  std::string m_store;
  std::vector<Member> m_entries;
  std::vector<Member> m_agents;
};

} // namespace pomelokeel::soak
