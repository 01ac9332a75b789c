#pragma once

#include "scenario/caller.h"
#include "scenario/checker.h"
#include "scenario/fleet.h"
#include "scenario/step.h"

#include <atomic>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace pomelokeel::scenario {

/// Runs the steps of a scenario and records the history that the step `check`
/// checks. The commands are described in docs/SCENARIOS.md.
class Runner {
public:
  explicit Runner(Programs P);
  ~Runner();

  /// Runs all steps up to the first that fails. The error names its line and
  /// what went wrong.
  base::Status run(const std::vector<Step> &Steps);

private:
  using Command = base::Status (Runner::*)(const Step &);
  static const std::map<std::string, Command> &commands();

  base::Status runLog(const Step &S);
  base::Status runEntry(const Step &S);
  base::Status runWorker(const Step &S);
  base::Status runPublish(const Step &S);
  base::Status runRace(const Step &S);
  base::Status runSubmit(const Step &S);
  base::Status runCancel(const Step &S);
  base::Status runKill(const Step &S);
  base::Status runFreeze(const Step &S);
  base::Status runResume(const Step &S);
  base::Status runTerminate(const Step &S);
  base::Status runStart(const Step &S);
  base::Status runFault(const Step &S);
  base::Status runAwait(const Step &S);
  base::Status runAwaitPhase(const Step &S);
  base::Status runAwaitLeader(const Step &S);
  base::Status runAwaitVersion(const Step &S);
  base::Status runAwaitStatus(const Step &S);
  base::Status runHold(const Step &S);
  base::Status runMark(const Step &S);
  base::Status runFigure(const Step &S);
  base::Status runCtl(const Step &S);
  base::Status runMeasure(const Step &S);
  base::Status runMeasureConfig(const Step &S);
  base::Status runCheck(const Step &S);
  base::Status runLink(const Step &S);
  base::Status runCut(const Step &S);
  base::Status runHeal(const Step &S);
  base::Status runTraffic(const Step &S);

  /// Repeats \p Condition until it holds or the option `within` (ms) has
  /// passed.
  template <typename F>
  base::Status waitUntil(const Step &S, const std::string &What, F Condition);

  std::vector<Caller *> callersNamed(const std::string &Pattern);
  std::string resolve(const std::string &Name);
  std::optional<std::string> leader(const std::string &Except = "");
  base::Result<base::Json> callAnyEntry(const std::string &Method,
                                        const std::string &Target,
                                        const base::Json &Body = nullptr);
  base::Result<base::Json> publish(const Step &S, const std::string &Entry,
                                   const std::string &Body);
  void collectRuns(History &H);
  std::vector<Run> runsOnWorker(const std::string &Worker);
  void saveRunsOf(const std::string &Process);
  void collectCallers(History &H);
  void watchVersions();
  std::uint64_t lowestVersion() const;

  Fleet m_fleet;
  std::map<std::string, std::unique_ptr<Caller>> m_callers;
  std::map<std::string, bool> m_classIsIdempotent;
  std::vector<AcceptedDrain> m_drains;
  std::vector<Run> m_savedRuns; ///< Of workers that were killed.
  /// Process that was killed, frozen or terminated last.
  std::string m_lastSignalled;
  Millis m_markMs = 0;
  std::uint64_t m_lastTrafficBytes = 0; ///< At the last step traffic.
  Millis m_lastTrafficMs = 0;
  std::mutex m_mutex;
  std::vector<ReportedVersion> m_versions; ///< Guarded by m_mutex.
  std::atomic<bool> m_stopping = false;
  std::atomic<bool> m_measuring = false; ///< Pauses the version watcher.
  std::thread m_versionWatcher;
};

} // namespace pomelokeel::scenario
