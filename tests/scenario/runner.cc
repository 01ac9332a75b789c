#include "scenario/runner.h"

#include "http/http.h"
#include "scenario/measure.h"
#include "standin/worker.h"

#include <fmt/format.h>
#include <signal.h>

#include <chrono>
#include <future>
#include <limits>
#include <utility>

namespace pomelokeel::scenario {
namespace {

using base::Error;
using base::ErrorKind;
using base::Json;
using base::Result;
using base::Status;

constexpr Millis DefaultWithin = 15000;
constexpr Millis CallerTimeout = 90000;
constexpr std::chrono::milliseconds PollInterval{20};
constexpr std::chrono::milliseconds WatchInterval{100};

Error failure(const Step &S, const std::string &What) {
  return {ErrorKind::Internal,
          fmt::format("line {}: {}: {}", S.m_line, S.m_command, What)};
}

Status withStep(const Step &S, Status Outcome) {
  if (Outcome)
    return Outcome;
  return failure(S, base::toString(Outcome.error()));
}

// The payload that the stand-in worker returns as its answer.
Json payloadOf(const Step &S, const std::string &Name) {
  Json Payload = {{"caller", Name}, {"runMs", S.numberOption("runMs", 200)}};
  if (S.option("fail") == "true")
    Payload["fail"] = true;
  return Payload;
}

Json specOf(const Step &S, const std::string &Name) {
  return {{"key", Name},
          {"account", S.option("account", "acct")},
          {"class", S.option("class", "batch")},
          {"members", S.numberOption("members", 1)},
          {"accelerators", S.numberOption("accelerators", 0)},
          {"runMs", S.numberOption("declaredMs", S.numberOption("runMs", 200))},
          {"deadlineMs", S.numberOption("deadlineMs", 0)},
          {"payload", payloadOf(S, Name)}};
}

} // namespace

Runner::Runner(Programs P) : m_fleet(std::move(P)) {
  m_versionWatcher = std::thread([this] { watchVersions(); });
}

Runner::~Runner() {
  m_stopping = true;
  m_versionWatcher.join();
  for (const auto &[Name, C] : m_callers)
    C->stop();
}

const std::map<std::string, Runner::Command> &Runner::commands() {
  static const std::map<std::string, Command> Table = {
      {"log", &Runner::runLog},
      {"entry", &Runner::runEntry},
      {"worker", &Runner::runWorker},
      {"publish", &Runner::runPublish},
      {"race", &Runner::runRace},
      {"submit", &Runner::runSubmit},
      {"cancel", &Runner::runCancel},
      {"kill", &Runner::runKill},
      {"freeze", &Runner::runFreeze},
      {"resume", &Runner::runResume},
      {"terminate", &Runner::runTerminate},
      {"start", &Runner::runStart},
      {"fault", &Runner::runFault},
      {"await", &Runner::runAwait},
      {"await-phase", &Runner::runAwaitPhase},
      {"await-leader", &Runner::runAwaitLeader},
      {"await-version", &Runner::runAwaitVersion},
      {"await-status", &Runner::runAwaitStatus},
      {"hold", &Runner::runHold},
      {"mark", &Runner::runMark},
      {"figure", &Runner::runFigure},
      {"ctl", &Runner::runCtl},
      {"measure", &Runner::runMeasure},
      {"measure-config", &Runner::runMeasureConfig},
      {"link", &Runner::runLink},
      {"cut", &Runner::runCut},
      {"heal", &Runner::runHeal},
      {"traffic", &Runner::runTraffic},
      {"check", &Runner::runCheck}};
  return Table;
}

Status Runner::run(const std::vector<Step> &Steps) {
  for (const Step &S : Steps) {
    const auto It = commands().find(S.m_command);
    if (It == commands().end())
      return failure(S, "is not a known command");
    fmt::print("line {}: {}\n", S.m_line, S.m_command);
    std::fflush(stdout);
    if (auto Outcome = (this->*It->second)(S); !Outcome)
      return Outcome;
  }
  return base::success();
}

Status Runner::runLog(const Step &S) { return withStep(S, m_fleet.addLog(S)); }

Status Runner::runEntry(const Step &S) {
  return withStep(S, m_fleet.addEntry(S));
}

Status Runner::runWorker(const Step &S) {
  const long Count = S.numberOption("count", 1);
  for (long I = 0; I < Count; ++I) {
    const std::string Name =
        Count == 1 ? S.argument(0) : S.argument(0) + std::to_string(I + 1);
    if (auto Added = m_fleet.addWorker(S, Name); !Added)
      return withStep(S, Added);
  }
  return base::success();
}

template <typename F>
Status Runner::waitUntil(const Step &S, const std::string &What, F Condition) {
  const Millis Deadline =
      base::monotonicNow() + S.numberOption("within", DefaultWithin);
  while (!Condition()) {
    if (base::monotonicNow() >= Deadline)
      return failure(S, What);
    std::this_thread::sleep_for(PollInterval);
  }
  return base::success();
}

Result<Json> Runner::callAnyEntry(const std::string &Method,
                                  const std::string &Target, const Json &Body) {
  Result<Json> Last = Error{ErrorKind::Unreachable, "no entry"};
  for (const std::string &Entry : m_fleet.entries()) {
    Last = m_fleet.call(Entry, Method, Target, Body, 1500);
    if (Last)
      return Last;
  }
  return Last;
}

// Publishes the next version of a record, after the current one that the entry
// reports.
Result<Json> Runner::publish(const Step &S, const std::string &Entry,
                             const std::string &Body) {
  const std::string Kind = S.argument(0);
  const std::string Name = S.argument(1);
  std::uint64_t Version = 0;
  const auto History =
      m_fleet.call(Entry, "GET", "/v1/config/" + Kind + "/" + Name);
  if (History && !(*History)["records"].empty())
    Version = (*History)["records"].back()["version"].get<std::uint64_t>();
  return m_fleet.call(Entry, "POST", "/v1/config",
                      {{"kind", Kind},
                       {"name", Name},
                       {"version", Version + 1},
                       {"previousVersion", Version},
                       {"schema", S.numberOption("schema", 2)},
                       {"author", "scenario"},
                       {"body", Json::parse(Body, nullptr, false)}});
}

// Tries again while the entry is not ready or unreachable, cannot write to the
// log, or times out. Any other answer has to be the expected one.
Status Runner::runPublish(const Step &S) {
  const std::string Expected = S.option("expect", "accepted");
  std::string Last;
  const auto Published = waitUntil(S, "", [&] {
    const std::string Entry = S.option("via", m_fleet.entries().front());
    const auto Answer = publish(S, resolve(Entry), S.argument(2));
    Last =
        Answer ? "accepted" : std::string(base::nameOf(Answer.error().m_kind));
    return Last == Expected || (Last != "notReady" && Last != "unreachable" &&
                                Last != "logUnavailable" && Last != "timeout");
  });
  if (!Published || Last != Expected)
    return failure(S, "expected " + Expected + ", got " + Last);
  if (S.argument(0) == "jobClass")
    m_classIsIdempotent[S.argument(1)] =
        S.argument(2).find("\"idempotent\":false") == std::string::npos;
  if (S.argument(0) == "drain" &&
      S.argument(2).find("true") != std::string::npos)
    m_drains.push_back({S.argument(1), base::monotonicNow()});
  return base::success();
}

// Two operators publish different bodies at the same time. If both are based on
// the same previous version, one of them must get versionConflict.
Status Runner::runRace(const Step &S) {
  const auto Entries = m_fleet.entries();
  auto First = std::async(std::launch::async, [&] {
    return publish(S, Entries.front(), S.argument(2));
  });
  const auto Second = publish(S, Entries.back(), S.argument(3));
  const auto FirstAnswer = First.get();
  const int Winners = (FirstAnswer ? 1 : 0) + (Second ? 1 : 0);
  if (Winners == 2)
    return base::success(); // one after the other, so as two versions
  const Error &LoserError = FirstAnswer ? Second.error() : FirstAnswer.error();
  if (Winners == 1 && LoserError.m_kind == ErrorKind::VersionConflict)
    return base::success();
  return failure(S, fmt::format("{} winners, loser got {}", Winners,
                                base::toString(LoserError)));
}

Status Runner::runSubmit(const Step &S) {
  const long Count = S.numberOption("count", 1);
  for (long I = 0; I < Count; ++I) {
    const std::string Name =
        Count == 1 ? S.argument(0) : S.argument(0) + std::to_string(I + 1);
    const std::string Class = S.option("class", "batch");
    const auto It = m_classIsIdempotent.find(Class);
    CallerOptions Options;
    Options.m_name = Name;
    Options.m_entry = S.option("via").empty() ? "" : resolve(S.option("via"));
    Options.m_spec = specOf(S, Name);
    Options.m_idempotent = It == m_classIsIdempotent.end() || It->second;
    Options.m_retry = S.option("retry", "true") == "true";
    Options.m_timeoutMs = CallerTimeout;
    m_callers[Name] = std::make_unique<Caller>(m_fleet, std::move(Options));
  }
  return base::success();
}

std::vector<Caller *> Runner::callersNamed(const std::string &Pattern) {
  std::vector<Caller *> Out;
  const bool IsPrefix = !Pattern.empty() && Pattern.back() == '*';
  const std::string NameOrPrefix =
      IsPrefix ? Pattern.substr(0, Pattern.size() - 1) : Pattern;
  for (const auto &[Name, C] : m_callers) {
    if (IsPrefix ? Name.starts_with(NameOrPrefix) : Name == NameOrPrefix)
      Out.push_back(C.get());
  }
  return Out;
}

Status Runner::runCancel(const Step &S) {
  for (Caller *C : callersNamed(S.argument(0))) {
    const auto Known = waitUntil(S, C->view().m_name + " was not accepted",
                                 [&] { return !C->view().m_job.empty(); });
    if (!Known)
      return Known;
    // Entries may refuse requests for a moment after an outage of the log
    // service.
    std::string Last;
    const auto Cancelled = waitUntil(S, "", [&] {
      const auto Answer = callAnyEntry("DELETE", "/v1/jobs/" + C->view().m_job);
      Last = Answer ? "" : base::toString(Answer.error());
      return Answer.ok();
    });
    if (!Cancelled)
      return failure(S, Last);
  }
  return base::success();
}

// "leader" stands for the entry that leads now, or the first entry if none
// does; "standby" for an entry that does not lead.
std::string Runner::resolve(const std::string &Name) {
  if (Name == "standby") {
    const std::string Leading = leader().value_or("");
    for (const std::string &Entry : m_fleet.entries()) {
      if (Entry != Leading)
        return Entry;
    }
  }
  if (Name != "leader")
    return Name;
  return leader().value_or(m_fleet.entries().front());
}

std::optional<std::string> Runner::leader(const std::string &Except) {
  for (const std::string &Entry : m_fleet.entries()) {
    if (Entry == Except)
      continue;
    const auto Answer = m_fleet.call(Entry, "GET", "/v1/status", nullptr, 500);
    if (Answer && Answer->value("role", "") == "leader")
      return Entry;
  }
  return std::nullopt;
}

Status Runner::runKill(const Step &S) {
  m_lastSignalled = resolve(S.argument(0));
  saveRunsOf(m_lastSignalled);
  m_markMs = base::monotonicNow();
  return withStep(S, m_fleet.signal(m_lastSignalled, SIGKILL));
}

Status Runner::runFreeze(const Step &S) {
  m_lastSignalled = resolve(S.argument(0));
  m_markMs = base::monotonicNow();
  return withStep(S, m_fleet.signal(m_lastSignalled, SIGSTOP));
}

Status Runner::runResume(const Step &S) {
  const std::string Name =
      S.argument(0) == "last" ? m_lastSignalled : S.argument(0);
  return withStep(S, m_fleet.signal(Name, SIGCONT));
}

Status Runner::runTerminate(const Step &S) {
  m_lastSignalled = resolve(S.argument(0));
  return withStep(S,
                  m_fleet.terminate(m_lastSignalled,
                                    S.numberOption("within", DefaultWithin)));
}

// "last" stands for the process that was killed, frozen or terminated last.
Status Runner::runStart(const Step &S) {
  const std::string Name =
      S.argument(0) == "last" ? m_lastSignalled : S.argument(0);
  return withStep(S, m_fleet.start(Name));
}

Status Runner::runFault(const Step &S) {
  const auto Answer = m_fleet.call(S.argument(0), "POST", "/faults",
                                   Json::parse(S.argument(1), nullptr, false));
  if (!Answer)
    return failure(S, base::toString(Answer.error()));
  return base::success();
}

Status Runner::runAwait(const Step &S) {
  const auto Expected = base::fromName<model::Outcome>(S.argument(1));
  const bool Any = S.argument(1) == "any";
  if (!Expected && !Any)
    return failure(S, "unknown outcome " + S.argument(1));
  for (Caller *C : callersNamed(S.argument(0))) {
    const auto Ended = waitUntil(S, C->view().m_name + " has no outcome",
                                 [&] { return !C->view().m_outcomes.empty(); });
    if (!Ended)
      return Ended;
    const auto Outcome = C->view().m_outcomes.back().m_outcome;
    if (!Any && Outcome != *Expected)
      return failure(S, fmt::format("{} was told {}", C->view().m_name,
                                    base::nameOf(Outcome)));
  }
  return base::success();
}

Status Runner::runAwaitPhase(const Step &S) {
  for (Caller *C : callersNamed(S.argument(0))) {
    std::string Last;
    const auto Reached =
        waitUntil(S, C->view().m_name + " is in another phase", [&] {
          const CallerView V = C->view();
          if (!V.m_outcomes.empty())
            Last = fmt::format("told {}",
                               base::nameOf(V.m_outcomes.back().m_outcome));
          if (V.m_job.empty())
            return false;
          const auto Answer =
              callAnyEntry("GET", "/v1/jobs/" + C->view().m_job);
          Last = Answer ? Answer->value("phase", "") : "";
          return Last == S.argument(1);
        });
    if (!Reached)
      return failure(S, C->view().m_name + " is in phase \"" + Last + "\"");
  }
  return base::success();
}

Status Runner::runAwaitLeader(const Step &S) {
  const std::string NotOption = S.option("not");
  const std::string Except = NotOption == "last" ? m_lastSignalled : NotOption;
  return waitUntil(S, "no leader", [&] { return leader(Except).has_value(); });
}

// Waits until each entry and agent reports at least the configuration version.
Status Runner::runAwaitVersion(const Step &S) {
  const long Expected = S.numberOption("version", 0);
  auto Names = m_fleet.entries();
  for (const std::string &Worker : m_fleet.workers())
    Names.push_back(Worker);
  for (const std::string &Name : Names) {
    long Seen = -1;
    const auto Reached = waitUntil(S, "", [&] {
      const auto Answer = m_fleet.call(Name, "GET", "/v1/status", nullptr, 500);
      Seen = Answer ? Answer->value("configVersion", -1L) : -1;
      return Seen >= Expected;
    });
    if (!Reached)
      return failure(S, fmt::format("{} is at version {}", Name, Seen));
  }
  return base::success();
}

// await-status NAME /json/pointer VALUE
Status Runner::runAwaitStatus(const Step &S) {
  std::string Seen;
  const auto Reached = waitUntil(S, "", [&] {
    const auto Answer =
        m_fleet.call(resolve(S.argument(0)), "GET", "/v1/status", nullptr, 500);
    if (!Answer)
      return false;
    const Json::json_pointer Pointer(S.argument(1));
    Seen = Answer->contains(Pointer) ? (*Answer)[Pointer].dump() : "absent";
    return Seen == S.argument(2);
  });
  if (!Reached)
    return failure(S, S.argument(1) + " is " + Seen);
  return base::success();
}

// hold MS: waits, so that a fault lasts for example longer than a lease.
Status Runner::runHold(const Step &S) {
  std::this_thread::sleep_for(
      std::chrono::milliseconds(std::stol(S.argument(0))));
  return base::success();
}

Status Runner::runMark(const Step &) {
  m_markMs = base::monotonicNow();
  return base::success();
}

Status Runner::runFigure(const Step &S) {
  fmt::print("figure {} {} ms\n", S.argument(0),
             base::monotonicNow() - m_markMs);
  return base::success();
}

// ctl 'ARGUMENTS' 'EXPECTED' ... code=N: each expected text must be in the
// output. {job:NAME} stands for the job id of a caller.
Status Runner::runCtl(const Step &S) {
  std::string Arguments = S.argument(0);
  for (const auto &[Name, C] : m_callers) {
    const std::string Placeholder = "{job:" + Name + "}";
    if (const auto At = Arguments.find(Placeholder); At != std::string::npos)
      Arguments.replace(At, Placeholder.size(), C->view().m_job);
  }
  const auto Outcome = m_fleet.ctl(Arguments);
  if (Outcome.m_exitCode.value_or(-1) != S.numberOption("code", 0))
    return failure(S, fmt::format("exit code {}: {}",
                                  Outcome.m_exitCode.value_or(-1),
                                  Outcome.m_output));
  for (std::size_t I = 1; I < S.m_arguments.size(); ++I) {
    if (Outcome.m_output.find(S.m_arguments[I]) == std::string::npos)
      return failure(S, fmt::format("\"{}\" is not in: {}", S.m_arguments[I],
                                    Outcome.m_output));
  }
  return base::success();
}

// measure PROCESS LABEL over=MS
Status Runner::runMeasure(const Step &S) {
  const std::string Name = resolve(S.argument(0));
  const std::string Region = S.option("region", "nord-ovest");
  m_measuring = true;
  // Lets the requests of the version watcher end.
  std::this_thread::sleep_for(2 * WatchInterval);
  const auto Begin = readUsage(m_fleet, Name, Region);
  std::this_thread::sleep_for(
      std::chrono::milliseconds(S.numberOption("over", 5000)));
  const auto End = readUsage(m_fleet, Name, Region);
  m_measuring = false;
  if (!Begin || !End)
    return failure(S, Name + " does not answer");
  printUsage(S.argument(1), *Begin, *End);
  return base::success();
}

// Returns the lowest version that an entry or agent reports; 0 if one does not
// answer.
std::uint64_t Runner::lowestVersion() const {
  auto Names = m_fleet.entries();
  for (const std::string &Worker : m_fleet.workers())
    Names.push_back(Worker);
  std::uint64_t Lowest = std::numeric_limits<std::uint64_t>::max();
  for (const std::string &Name : Names) {
    const auto Answer = m_fleet.call(Name, "GET", "/v1/status", nullptr, 500);
    const std::uint64_t Version =
        Answer ? Answer->value("configVersion", std::uint64_t{0}) : 0;
    Lowest = std::min(Lowest, Version);
  }
  return Lowest;
}

// measure-config LABEL count=N: prints the time from the request of a publisher
// until each entry and agent reports the version.
Status Runner::runMeasureConfig(const Step &S) {
  std::vector<Millis> Times;
  for (long I = 0; I < S.numberOption("count", 10); ++I) {
    const Millis Begin = base::monotonicNow();
    Step Record = S;
    Record.m_arguments = {"jobClass", "measured", "{}"};
    const auto Answer = publish(Record, m_fleet.entries().front(), "{}");
    if (!Answer)
      return failure(S, base::toString(Answer.error()));
    const auto Version = (*Answer)["configVersion"].get<std::uint64_t>();
    const auto Reached = waitUntil(S, "not in force everywhere",
                                   [&] { return lowestVersion() >= Version; });
    if (!Reached)
      return Reached;
    Times.push_back(base::monotonicNow() - Begin);
  }
  printMedianAndMax(S.argument(0), std::move(Times));
  return base::success();
}

// Stand-in workers record when which task ran.
void Runner::collectRuns(History &H) {
  H.m_runs = m_savedRuns;
  for (const std::string &Worker : m_fleet.workers()) {
    const auto Runs = runsOnWorker(Worker);
    H.m_runs.insert(H.m_runs.end(), Runs.begin(), Runs.end());
  }
}

std::vector<Run> Runner::runsOnWorker(const std::string &Worker) {
  std::vector<Run> Runs;
  const auto Answer = m_fleet.call(Worker + ".worker", "GET", "/history");
  standin::History Recorded;
  if (!Answer || !base::decode(*Answer, "", Recorded))
    return Runs;
  for (const standin::HistoryEvent &E : Recorded.m_events) {
    if (E.m_event == "start") {
      Runs.push_back({Worker, E.m_task, E.m_atMs, {}, E.m_accelerators});
      continue;
    }
    for (Run &R : Runs) {
      if (R.m_task == E.m_task)
        R.m_endMs = E.m_atMs;
    }
  }
  return Runs;
}

// Reads the runs of a stand-in worker that is about to be killed, because its
// history ends with it. Tasks that still run end now.
void Runner::saveRunsOf(const std::string &Process) {
  const std::string Suffix = ".worker";
  if (!Process.ends_with(Suffix))
    return;
  const std::string Worker = Process.substr(0, Process.size() - Suffix.size());
  for (Run R : runsOnWorker(Worker)) {
    R.m_endMs = R.m_endMs.value_or(base::monotonicNow());
    m_savedRuns.push_back(std::move(R));
  }
}

// Looks up the job ids that callers did not learn, by idempotency key, in the
// replicated state.
void Runner::collectCallers(History &H) {
  for (const auto &[Name, C] : m_callers) {
    CallerView View = C->view();
    const auto Answer = callAnyEntry("GET", "/v1/keys/acct/" + Name);
    if (Answer && View.m_job.empty())
      View.m_job = Answer->value("job", "");
    H.m_callers.push_back(std::move(View));
  }
}

Status Runner::runCheck(const Step &S) {
  History H;
  collectCallers(H);
  collectRuns(H);
  H.m_drains = m_drains;
  {
    const std::lock_guard Lock(m_mutex);
    H.m_versions = m_versions;
  }
  const CheckOptions Options{.m_requireAnswers = S.option("uncut") == "true",
                             .m_requireEnded = S.option("ended") == "true"};
  const auto Violations = check(H, Options);
  fmt::print("history: {} callers, {} runs, {} versions seen\n",
             H.m_callers.size(), H.m_runs.size(), H.m_versions.size());
  for (const std::string &Line : Violations)
    fmt::print("violation: {}\n", Line);
  if (!Violations.empty())
    return failure(S, fmt::format("{} violations", Violations.size()));
  return base::success();
}

void Runner::watchVersions() {
  while (!m_stopping) {
    auto Names = m_fleet.entries();
    for (const std::string &Worker : m_fleet.workers())
      Names.push_back(Worker);
    for (const std::string &Name : Names) {
      if (m_measuring)
        break;
      const auto Answer = m_fleet.call(Name, "GET", "/v1/status", nullptr, 300);
      if (!Answer || !Answer->contains("configVersion"))
        continue;
      const std::lock_guard Lock(m_mutex);
      m_versions.push_back({Name, Answer->value("incarnation", ""),
                            base::monotonicNow(),
                            (*Answer)["configVersion"].get<std::uint64_t>()});
    }
    std::this_thread::sleep_for(WatchInterval);
  }
}

} // namespace pomelokeel::scenario
