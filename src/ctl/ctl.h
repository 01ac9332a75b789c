#pragma once

namespace CLI {
class App;
} // namespace CLI

/// The command line for operators.
namespace pomelokeel::ctl {

/// Adds the subcommands of `pomelokeel ctl` to \p App. \p ExitCode receives the
/// exit code of the one that was called; the table of error kinds gives it.
void addCommands(CLI::App &App, int &ExitCode);

} // namespace pomelokeel::ctl
