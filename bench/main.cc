#include "bench.h"

#include <cstdio>
#include <string_view>

namespace pomelokeel::bench {

void figure(const std::string &Name, double Value, const std::string &Unit) {
  std::printf("figure %s %.4g %s\n", Name.c_str(), Value, Unit.c_str());
  std::fflush(stdout);
}

} // namespace pomelokeel::bench

// Runs the parts that are named on the command line, or all of them.
int main(int Argc, char **Argv) {
  using namespace pomelokeel::bench;
  struct Part {
    std::string_view m_name;
    void (*m_run)();
  };
  constexpr Part Parts[] = {
      {"policies", runPolicies}, {"scale", runScale}, {"state", runState}};
  for (const Part &P : Parts) {
    bool Wanted = Argc == 1;
    for (int I = 1; I < Argc; ++I)
      Wanted = Wanted || P.m_name == Argv[I];
    if (Wanted)
      P.m_run();
  }
}
