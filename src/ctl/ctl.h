#pragma once

namespace CLI {
class App;
} // namespace CLI

/// The command-line client of operators.
namespace pomelokeel::ctl {

/// Adds the subcommands of `pomelokeel ctl` to \p App. Running one sets
/// \p ExitCode: 0, or the exit code that base::errorInfo gives for the kind
/// of the error.
void addCommands(CLI::App &App, int &ExitCode);

} // namespace pomelokeel::ctl
