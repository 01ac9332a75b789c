#include "agent/agent.h"
#include "base/signals.h"
#include "ctl/ctl.h"
#include "entry/entry.h"
#include "platform/commands.h"
#include "settings/settings.h"

#include <CLI/CLI.hpp>
#include <glog/logging.h>

#include <cstdio>
#include <string>

#include <signal.h>

namespace {

using namespace pomelokeel;

// Same exit code as for settings that are not valid.
constexpr int BadArgumentsExitCode = 2;

// Loads the settings file and runs the process with it. Prints an error of
// loading on stderr. Returns the exit code.
template <typename Load, typename Run>
int runProcess(const std::string &File, Load LoadSettings, Run RunSettings) {
  // In stand-alone mode SIGHUP ends a process; it holds back the others itself.
  base::releaseSignals({SIGHUP});
  const auto Settings = LoadSettings(File);
  if (Settings)
    return RunSettings(*Settings);
  std::fprintf(stderr, "pomelokeel: %s\n",
               base::toString(Settings.error()).c_str());
  return base::errorInfo(Settings.error().m_kind).m_exitCode;
}

} // namespace

int main(int Argc, char **Argv) {
  // A signal that arrives before its handler is installed must not end the
  // process. The reactor releases these signals.
  base::holdSignals({SIGTERM, SIGINT, SIGHUP});
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(Argv[0]);

  CLI::App App{"Scheduler of multi-accelerator jobs under client account "
               "guarantees"};
  App.require_subcommand(1);
  int ExitCode = 0;
  std::string File;

  CLI::App *Entry = App.add_subcommand("entry", "Run an entry instance");
  Entry->add_option("--settings", File, "JSON settings file")->required();
  Entry->callback(
      [&] { ExitCode = runProcess(File, settings::loadEntry, entry::run); });

  CLI::App *Agent = App.add_subcommand("agent", "Run the process beside an "
                                                "endpoint");
  Agent->add_option("--settings", File, "JSON settings file")->required();
  Agent->callback(
      [&] { ExitCode = runProcess(File, settings::loadAgent, agent::run); });

  CLI::App *Ctl = App.add_subcommand("ctl", "Publish records, read reports");
  ctl::addCommands(*Ctl, ExitCode);
  Ctl->preparse_callback([](std::size_t) {
    base::releaseSignals({SIGTERM, SIGINT, SIGHUP});
  });

  platform::addCommands(App, ExitCode);

  try {
    App.parse(Argc, Argv);
  } catch (const CLI::ParseError &E) {
    return App.exit(E) == 0 ? 0 : BadArgumentsExitCode;
  }
  return ExitCode;
}
