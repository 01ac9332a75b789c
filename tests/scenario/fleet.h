#pragma once

#include "base/error.h"
#include "base/fields.h"
#include "scenario/link.h"
#include "scenario/process.h"
#include "scenario/step.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace pomelokeel::scenario {

/// The programs under test.
struct Programs {
  std::string m_pomelokeel;
  std::string m_standin;
  std::string m_examples;  ///< Folder of example records and jobs.
  std::string m_directory; ///< For settings and logs.
};

/// Starts and stops the processes of a scenario. A worker NAME consists of the
/// agent NAME and the stand-in NAME.worker.
class Fleet {
public:
  explicit Fleet(Programs P);

  /// Puts a link between the regions and gives each region a loopback host of
  /// its own. Returns false if there is a link already or a process was added.
  bool openLink();
  RegionLink *link() { return m_link ? &*m_link : nullptr; }

  base::Status addLog(const Step &S);
  base::Status addEntry(const Step &S);
  base::Status addWorker(const Step &S, const std::string &Name);

  /// Starts a process with the settings that it was added with, and waits until
  /// it answers HTTP requests.
  base::Status start(const std::string &Name);

  /// Sends a signal to a process; after SIGKILL waits for its end.
  base::Status signal(const std::string &Name, int Signal);

  /// Sends SIGTERM and expects exit code 0 within the time.
  base::Status terminate(const std::string &Name, base::Millis TimeoutMs);

  /// Sends an HTTP request to a process. Errors: unreachable, timeout, or the
  /// kind that the answer names.
  base::Result<base::Json> call(const std::string &Name,
                                const std::string &Method,
                                const std::string &Target,
                                const base::Json &Body = nullptr,
                                int TimeoutMs = 3000) const;

  /// The same; sets \p Unanswered if the call failed after the request may have
  /// been sent.
  base::Result<base::Json> call(const std::string &Name,
                                const std::string &Method,
                                const std::string &Target,
                                const base::Json &Body, int TimeoutMs,
                                bool &Unanswered) const;

  /// Runs `pomelokeel ctl` with the addresses of all entries. `{examples}` in
  /// \p Arguments stands for the folder of examples.
  struct CtlOutcome {
    std::optional<int> m_exitCode;
    std::string m_output;
  };
  CtlOutcome ctl(std::string Arguments) const;

  std::string httpAddress(const std::string &Name) const;
  pid_t pid(const std::string &Name) const;
  std::vector<std::string> entries() const;
  std::vector<std::string> workers() const;
  const std::string &directory() const { return m_programs.m_directory; }

private:
  struct Process {
    std::vector<std::string> m_command;
    std::string m_httpAddress;
    std::string m_region;
    std::optional<Child> m_child;
  };

  base::Status add(const std::string &Name, std::vector<std::string> Command,
                   const std::string &Address, const std::string &Region);
  std::string writeSettings(const std::string &Name, const base::Json &J) const;
  std::vector<std::string> entryAddresses() const;
  std::string newAddress(const std::string &Region);
  std::string addressFrom(const std::string &Name, const std::string &Region);
  void addMeshSettings(base::Json &Settings);

  Programs m_programs;
  std::optional<RegionLink> m_link;
  mutable std::mutex m_mutex;
  std::map<std::string, Process> m_processes;
  std::vector<std::string> m_entries;
  std::vector<std::string> m_workers;
};

} // namespace pomelokeel::scenario
