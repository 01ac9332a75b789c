#pragma once

#include "base/error.h"

#include <filesystem>
#include <map>
#include <string>
#include <vector>

/// Runs scenario files against real processes.
namespace pomelokeel::scenario {

/// One line of a scenario: a command, plain arguments and key=value options.
struct Step {
  int m_line = 0;
  std::string m_command;
  std::vector<std::string> m_arguments;
  std::map<std::string, std::string> m_options;

  /// Argument \p Index, or "" if there are fewer.
  std::string argument(std::size_t Index) const;

  /// Option \p Name, or \p Default.
  std::string option(const std::string &Name,
                     const std::string &Default = "") const;
  long numberOption(const std::string &Name, long Default) const;
};

/// Reads a scenario. Empty lines and lines that start with # are skipped;
/// words in single quotes may contain spaces and are always plain arguments.
/// `include FILE` stands for the steps of a file beside it. Errors: notFound,
/// badRequest, naming file and line.
base::Result<std::vector<Step>> loadScenario(const std::filesystem::path &File);

} // namespace pomelokeel::scenario
