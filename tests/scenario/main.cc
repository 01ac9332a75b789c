#include "scenario/runner.h"

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include <cstdio>
#include <filesystem>
#include <stdlib.h>

namespace {

using namespace pomelokeel;

std::string newDirectory() {
  std::string Name =
      (std::filesystem::temp_directory_path() / "scenario-XXXXXX").string();
  return ::mkdtemp(Name.data()) ? Name : "";
}

base::Status runFile(const std::string &File, scenario::Programs P) {
  const auto Steps = scenario::loadScenario(File);
  if (!Steps)
    return Steps.error();
  scenario::Runner R(std::move(P));
  return R.run(*Steps);
}

} // namespace

int main(int Argc, char **Argv) {
  CLI::App App{"Runs a scenario against real processes"};
  scenario::Programs P;
  std::string File;
  App.add_option("--pomelokeel", P.m_pomelokeel, "Program")->required();
  App.add_option("--standin", P.m_standin, "Stand-in program")->required();
  App.add_option("--examples", P.m_examples, "Folder of examples");
  App.add_option("file", File, "Scenario")->required();
  CLI11_PARSE(App, Argc, Argv);

  P.m_directory = newDirectory();
  const std::string Directory = P.m_directory;
  const auto Outcome = runFile(File, std::move(P));
  if (Outcome) {
    std::filesystem::remove_all(Directory);
    fmt::print("passed\n");
    return 0;
  }
  fmt::print("failed: {}\nlogs: {}\n", base::toString(Outcome.error()),
             Directory);
  return 1;
}
