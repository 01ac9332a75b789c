#include "bench.h"

#include <cstdio>
#include <string_view>

namespace pomelokeel::bench {

void printFigure(const std::string &Name, double Value,
                 const std::string &Unit) {
  std::printf("figure %s %.4g %s\n", Name.c_str(), Value, Unit.c_str());
  std::fflush(stdout);
}

} // namespace pomelokeel::bench

// Runs the benchmarks named on the command line, or all if none is named.
int main(int Argc, char **Argv) {
  using namespace pomelokeel::bench;
  struct Benchmark {
    std::string_view m_name;
    void (*m_run)();
  };
  constexpr Benchmark Benchmarks[] = {{"overload", benchmarkOverload},
                                      {"policies", benchmarkPolicies},
                                      {"scale", benchmarkScale},
                                      {"state", benchmarkState}};
  for (const Benchmark &B : Benchmarks) {
    bool Wanted = Argc == 1;
    for (int I = 1; I < Argc; ++I)
      Wanted = Wanted || B.m_name == Argv[I];
    if (Wanted)
      B.m_run();
  }
}
