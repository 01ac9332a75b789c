#include "ctl/ctl.h"

#include "ctl/client.h"
#include "ctl/timeline.h"
#include "http/http.h"
#include "report/render.h"

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include <cstdio>
#include <fstream>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

namespace pomelokeel::ctl {
namespace {

using base::Error;
using base::ErrorKind;
using base::Json;
using base::Result;

constexpr int DefaultTimeoutMs = 10000;

// Added to the timeout of a call that waits for the outcome of a job, besides
// the wait itself, so that the entry can answer when the wait ends.
constexpr int WaitMarginMs = 5000;

/// Values of the arguments and options of all subcommands. A subcommand sets
/// only its own.
struct Options {
  std::vector<std::string> m_entries;
  int m_timeoutMs = DefaultTimeoutMs;
  bool m_json = false;
  std::string m_file;
  std::string m_kind;
  std::string m_name;
  std::string m_job;
  std::string m_account;
  std::string m_phase;
  int m_limit = 100;
  int m_waitMs = 0;
  std::uint64_t m_oldVersion = 0;
  std::uint64_t m_newVersion = 0;
  bool m_undo = false;
  std::string m_author;
  TimelineOptions m_timeline;
};

Client makeClient(const Options &O) {
  return {O.m_entries,
          O.m_timeoutMs + (O.m_waitMs > 0 ? O.m_waitMs + WaitMarginMs : 0)};
}

// Prints an error and its advice on stderr and returns the exit code of its
// kind.
int printError(const Error &E) {
  const base::ErrorInfo &Details = base::errorInfo(E.m_kind);
  fmt::print(stderr, "pomelokeel: {}\nadvice: {}\n", base::toString(E),
             Details.m_advice);
  return Details.m_exitCode;
}

// Prints an answer as JSON if --json is given, otherwise as the text that
// Render returns. Returns the exit code.
template <typename T>
int printAnswer(const Options &O, const Result<Json> &Answer,
                std::string (*Render)(const T &)) {
  if (!Answer)
    return printError(Answer.error());
  if (O.m_json) {
    fmt::print("{}\n", Answer->dump(2));
    return 0;
  }
  const auto Decoded = Client::decodeAnswer<T>(Answer);
  if (!Decoded)
    return printError(Decoded.error());
  fmt::print("{}", Render(*Decoded));
  return 0;
}

Result<Json> readFile(const std::string &File) {
  std::ifstream In(File);
  std::stringstream Text;
  Text << In.rdbuf();
  if (!In)
    return Error{ErrorKind::NotFound, File + " cannot be read"};
  Json J = base::parseJson(Text.str());
  if (J.is_discarded())
    return Error{ErrorKind::BadRequest, File + " is not valid JSON"};
  return J;
}

std::string recordTarget(const Options &O) {
  return "/v1/config/" + http::percentEncode(O.m_kind) + "/" +
         http::percentEncode(O.m_name);
}

int publish(const Options &O) {
  const auto Record = readFile(O.m_file);
  if (!Record)
    return printError(Record.error());
  return printAnswer(O, makeClient(O).send("POST", "/v1/config", *Record),
                     report::renderPublished);
}

int check(const Options &O) {
  const auto Record = readFile(O.m_file);
  if (!Record)
    return printError(Record.error());
  const auto Answer = makeClient(O).send("POST", "/v1/config/check", *Record);
  const int Code = printAnswer(O, Answer, report::renderCheck);
  if (Code != 0)
    return Code;
  const auto Decoded = Client::decodeAnswer<report::ConfigCheck>(Answer);
  return Decoded && Decoded->m_error
             ? base::errorInfo(*Decoded->m_error).m_exitCode
             : 0;
}

int list(const Options &O) {
  return printAnswer(O, makeClient(O).get("/v1/config"), report::renderConfig);
}

int history(const Options &O) {
  return printAnswer(O, makeClient(O).get(recordTarget(O)),
                     report::renderConfig);
}

const model::ConfigRecord *findVersion(const report::ConfigPage &P,
                                       std::uint64_t Version) {
  for (const model::ConfigRecord &R : P.m_records) {
    if (R.m_version == Version)
      return &R;
  }
  return nullptr;
}

int diff(const Options &O) {
  const auto Page = makeClient(O).read<report::ConfigPage>(recordTarget(O));
  if (!Page)
    return printError(Page.error());
  const auto *Old = findVersion(*Page, O.m_oldVersion);
  const auto *New = findVersion(*Page, O.m_newVersion);
  if (!Old || !New)
    return printError(
        {ErrorKind::NotFound,
         fmt::format("{} {} has no version {}", O.m_kind, O.m_name,
                     Old ? O.m_newVersion : O.m_oldVersion)});
  fmt::print("{}", report::renderDiff(*Old, *New));
  return 0;
}

int drain(const Options &O) {
  const Client C = makeClient(O);
  const auto Page = C.read<report::ConfigPage>("/v1/config/drain/" +
                                               http::percentEncode(O.m_name));
  if (!Page && Page.error().m_kind != ErrorKind::NotFound)
    return printError(Page.error());
  const std::uint64_t Version =
      Page && !Page->m_records.empty() ? Page->m_records.back().m_version : 0;
  const model::ConfigRecord Record{
      model::ConfigKind::Drain, O.m_name, Version + 1, Version, 2, O.m_author,
      {{"draining", !O.m_undo}}};
  return printAnswer(O, C.send("POST", "/v1/config", base::encode(Record)),
                     report::renderPublished);
}

int submit(const Options &O) {
  const auto Spec = readFile(O.m_file);
  if (!Spec)
    return printError(Spec.error());
  const auto Answer = makeClient(O).send(
      "POST", "/v1/jobs?waitMs=" + std::to_string(O.m_waitMs), *Spec);
  if (!Answer)
    return printError(Answer.error());
  fmt::print("{}\n", Answer->dump(2));
  return 0;
}

int job(const Options &O) {
  return printAnswer(O,
                     makeClient(O).get("/v1/jobs/" +
                                       http::percentEncode(O.m_job) +
                                       "?waitMs=" + std::to_string(O.m_waitMs)),
                     report::renderJob);
}

int jobs(const Options &O) {
  return printAnswer(
      O,
      makeClient(O).get("/v1/jobs?account=" + http::percentEncode(O.m_account) +
                        "&phase=" + O.m_phase +
                        "&limit=" + std::to_string(O.m_limit)),
      report::renderJobs);
}

int cancel(const Options &O) {
  return printAnswer(
      O,
      makeClient(O).send("DELETE",
                         "/v1/jobs/" + http::percentEncode(O.m_job) +
                             "?author=" + http::percentEncode(O.m_author),
                         nullptr),
      report::renderJob);
}

int status(const Options &O) {
  return printAnswer(O, getFromLeader(makeClient(O), "/v1/status"),
                     report::renderStatus);
}

int explain(const Options &O) {
  return printAnswer(
      O,
      getFromLeader(makeClient(O),
                    "/v1/jobs/" + http::percentEncode(O.m_job) + "/explain"),
      report::renderExplanation);
}

int timeline(const Options &O) {
  const auto Text = readTimeline(makeClient(O), O.m_timeline);
  if (!Text)
    return printError(Text.error());
  if (O.m_file.empty()) {
    fmt::print("{}", *Text);
    return 0;
  }
  std::ofstream Out(O.m_file);
  Out << *Text;
  if (!Out.flush())
    return printError({ErrorKind::Internal, O.m_file + " cannot be written"});
  return 0;
}

using Handler = int (*)(const Options &);

void addFileArgument(CLI::App &C, Options &O) {
  C.add_option("file", O.m_file, "JSON file")->required();
}

void addRecordArguments(CLI::App &C, Options &O) {
  C.add_option("kind", O.m_kind, "account, jobClass, placementRule or drain")
      ->required();
  C.add_option("name", O.m_name, "Name of the record")->required();
}

void addJobArgument(CLI::App &C, Options &O) {
  C.add_option("job", O.m_job, "Job id")->required();
}

void addNoOptions(CLI::App &, Options &) {}

void addDiffOptions(CLI::App &C, Options &O) {
  addRecordArguments(C, O);
  C.add_option("old", O.m_oldVersion, "Version")->required();
  C.add_option("new", O.m_newVersion, "Version")->required();
}

void addDrainOptions(CLI::App &C, Options &O) {
  C.add_option("worker", O.m_name, "Worker whose endpoint is drained")
      ->required();
  C.add_flag("--undo", O.m_undo, "End the drain: give the endpoint work again");
  C.add_option("--author", O.m_author, "Who publishes");
}

void addSubmitOptions(CLI::App &C, Options &O) {
  addFileArgument(C, O);
  C.add_option("--wait", O.m_waitMs, "Wait for the outcome, in ms");
}

void addJobOptions(CLI::App &C, Options &O) {
  addJobArgument(C, O);
  C.add_option("--wait", O.m_waitMs, "Wait for the outcome, in ms");
}

void addCancelOptions(CLI::App &C, Options &O) {
  addJobArgument(C, O);
  C.add_option("--author", O.m_author, "Who cancels");
}

void addJobsOptions(CLI::App &C, Options &O) {
  C.add_option("--account", O.m_account, "Only of this client account");
  C.add_option("--phase", O.m_phase, "waiting, placed, running or finished");
  C.add_option("--limit", O.m_limit, "At most this many");
}

void addTimelineOptions(CLI::App &C, Options &O) {
  C.add_option("--job", O.m_timeline.m_filter.m_job, "Only of this job");
  C.add_option("--account", O.m_timeline.m_filter.m_account,
               "Only of this client account");
  C.add_option("--worker", O.m_timeline.m_filter.m_worker,
               "Only of this worker");
  C.add_option("--from", O.m_timeline.m_filter.m_from,
               "Not before, in ms since 1970");
  C.add_option("--to", O.m_timeline.m_filter.m_to,
               "Not after, in ms since 1970");
  C.add_option("--format", O.m_timeline.m_format, "text, json or html");
  C.add_option("--out", O.m_file, "Write to a file");
}

/// A subcommand of `ctl`: its name and help text, the function that declares
/// its options, and the one that runs it.
struct Subcommand {
  const char *m_name;
  const char *m_help;
  void (*m_addOptions)(CLI::App &, Options &);
  Handler m_run;
};

constexpr std::array Subcommands = {
    Subcommand{"publish", "Publish a configuration record", addFileArgument,
               publish},
    Subcommand{"check", "Show what publishing a record would change",
               addFileArgument, check},
    Subcommand{"list", "List the records in force", addNoOptions, list},
    Subcommand{"history", "Show the versions of a record", addRecordArguments,
               history},
    Subcommand{"diff", "Compare two versions of a record", addDiffOptions,
               diff},
    Subcommand{"drain", "Drain an endpoint: no new work, running work finishes",
               addDrainOptions, drain},
    Subcommand{"submit", "Submit a job", addSubmitOptions, submit},
    Subcommand{"job", "Show a job and its outcome", addJobOptions, job},
    Subcommand{"jobs", "List jobs, newest first", addJobsOptions, jobs},
    Subcommand{"cancel", "Cancel a job", addCancelOptions, cancel},
    Subcommand{"status", "Show guarantees, workers, jobs, log and alarms",
               addNoOptions, status},
    Subcommand{"explain",
               "Explain why a job waits, runs where it does or has ended",
               addJobArgument, explain},
    Subcommand{"timeline", "Merge the events of all processes",
               addTimelineOptions, timeline},
};

constexpr const char *Examples =
    "Examples:\n"
    "  pomelokeel ctl --entry 127.0.0.1:8080 publish account.json\n"
    "  pomelokeel ctl --entry 127.0.0.1:8080 status\n"
    "  pomelokeel ctl --entry 127.0.0.1:8080 timeline --job ID --format html "
    "--out job.html\n"
    "Exit codes: 0 success, 1 internal error, 2 bad input, 3 not found,\n"
    "4 conflict, 5 over a limit, 6 job ended otherwise, 7 stale, 8 not "
    "available";

} // namespace

void addCommands(CLI::App &App, int &ExitCode) {
  auto O = std::make_shared<Options>();
  App.require_subcommand(1);
  App.footer(Examples);
  App.add_option("--entry", O->m_entries, "host:port of an entry or balancer")
      ->required()
      ->envname("POMELOKEEL_ENTRY")
      ->delimiter(',');
  App.add_option("--timeout", O->m_timeoutMs, "Time limit of a call, in ms");
  App.add_flag("--json", O->m_json, "Print JSON");
  for (const Subcommand &R : Subcommands) {
    CLI::App *Command = App.add_subcommand(R.m_name, R.m_help);
    R.m_addOptions(*Command, *O);
    Command->callback([O, &R, &ExitCode] { ExitCode = R.m_run(*O); });
  }
}

} // namespace pomelokeel::ctl
