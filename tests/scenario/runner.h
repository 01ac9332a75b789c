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

/// Runs the steps of a scenario and checks the history at the end. The
/// commands are described in docs/SCENARIOS.md.
class Runner {
public:
  explicit Runner(Programs P);
  ~Runner();

  /// Runs all steps. The error names the line and what was expected.
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
  base::Status until(const Step &S, const std::string &What, F Condition);

  std::vector<Caller *> callersNamed(const std::string &Pattern);
  std::string resolve(const std::string &Name);
  std::optional<std::string> leader(const std::string &Except = "");
  base::Result<base::Json> callAny(const std::string &Method,
                                   const std::string &Target,
                                   const base::Json &Body = nullptr);
  base::Result<base::Json> publish(const Step &S, const std::string &Entry,
                                   const std::string &Body);
  void collectRuns(History &H);
  std::vector<Run> runsOnWorker(const std::string &Worker);
  void keepRunsOf(const std::string &Process);
  void completeCallers(History &H);
  void watchVersions();
  std::uint64_t lowestVersion() const;

  Fleet m_fleet;
  std::map<std::string, std::unique_ptr<Caller>> m_callers;
  std::map<std::string, bool> m_classIsIdempotent;
  std::vector<DrainSeen> m_drains;
  std::vector<Run> m_lostRuns; ///< Of workers that were killed.
  std::string m_lastTarget; ///< Process that was killed, frozen or terminated.
  Millis m_mark = 0;
  std::uint64_t m_trafficBytes = 0; ///< At the last step traffic.
  Millis m_trafficMs = 0;
  std::mutex m_mutex;
  std::vector<VersionSeen> m_versions;
  std::atomic<bool> m_stopping = false;
  std::atomic<bool> m_measuring = false; ///< The watcher pauses.
  std::thread m_watcher;
};

} // namespace pomelokeel::scenario
