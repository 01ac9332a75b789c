#include "bench.h"
#include "simulation.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace pomelokeel::bench {
namespace {

constexpr std::array<unsigned, 6> Seeds = {11, 12, 13, 14, 15, 16};
// Baselines serve in arrival order without reservations.
constexpr Millis Never = 1LL << 60;
constexpr Millis ReserveAfterMs = 30000;

struct Policy {
  const char *m_name;
  model::PlacementStrategy m_strategy;
  double m_completion;
  double m_fragmentation;
  Millis m_reserveAfterMs;
};

constexpr std::array Policies = {
    Policy{"firstFit", model::PlacementStrategy::FirstFit, 1, 1, Never},
    Policy{"bestFit", model::PlacementStrategy::BestFit, 1, 1, Never},
    Policy{"balanced", model::PlacementStrategy::Balanced, 1, 1,
           ReserveAfterMs},
    Policy{"balanced2to1", model::PlacementStrategy::Balanced, 2, 1,
           ReserveAfterMs},
    Policy{"balanced1to2", model::PlacementStrategy::Balanced, 1, 2,
           ReserveAfterMs}};

double mean(const std::vector<double> &Values) {
  double Sum = 0;
  for (const double V : Values)
    Sum += V;
  return Values.empty() ? 0 : Sum / static_cast<double>(Values.size());
}

double percentile(std::vector<double> Values, double Share) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  const auto Index = static_cast<std::size_t>(
      std::ceil(Share * static_cast<double>(Values.size())));
  return Values[std::max<std::size_t>(Index, 1) - 1];
}

using Figures = std::vector<std::pair<std::string, double>>;

void append(std::map<std::string, std::vector<double>> &Into,
            const std::map<std::string, std::vector<double>> &From) {
  for (const auto &[Class, Values] : From)
    Into[Class].insert(Into[Class].end(), Values.begin(), Values.end());
}

// Runs all seeds of one user under one policy.
Outcome runAll(Stream (*Make)(unsigned), const Policy &P) {
  model::PlacementRule Rule;
  Rule.m_strategy = P.m_strategy;
  Rule.m_completionWeight = P.m_completion;
  Rule.m_fragmentationWeight = P.m_fragmentation;
  Rule.m_reserveAfterMs = P.m_reserveAfterMs;
  Outcome Sum;
  for (const unsigned Seed : Seeds) {
    const Outcome One = simulate(Make(Seed), Rule);
    append(Sum.m_completionMs, One.m_completionMs);
    append(Sum.m_waitMs, One.m_waitMs);
    Sum.m_fragmentedMs += One.m_fragmentedMs;
    Sum.m_gangWaitingMs += One.m_gangWaitingMs;
    Sum.m_reclaims += One.m_reclaims;
  }
  return Sum;
}

Figures figuresOf(const Outcome &O) {
  Figures Out;
  for (const auto &[Class, Values] : O.m_completionMs) {
    Out.emplace_back("completion." + Class + ".mean", mean(Values));
    Out.emplace_back("completion." + Class + ".p50", percentile(Values, 0.5));
    Out.emplace_back("completion." + Class + ".p95", percentile(Values, 0.95));
    Out.emplace_back("completion." + Class + ".p99", percentile(Values, 0.99));
  }
  Out.emplace_back("wait.gang.p95", percentile(O.m_waitMs.at("gang"), 0.95));
  return Out;
}

void runUser(const std::string &User, Stream (*Make)(unsigned)) {
  std::vector<Figures> All;
  for (const Policy &P : Policies) {
    const Outcome O = runAll(Make, P);
    const std::string Prefix = User + "." + P.m_name + ".";
    All.push_back(figuresOf(O));
    for (const auto &[Name, Value] : All.back())
      figure(Prefix + Name, Value / 1000, "s");
    figure(Prefix + "fragmentation", O.m_fragmentedMs / O.m_gangWaitingMs,
           "share");
    figure(Prefix + "reclaims", static_cast<double>(O.m_reclaims), "jobs");
    if (All.size() <= 2)
      continue;
    for (std::size_t I = 0; I < All.back().size(); ++I) {
      const double Better = std::min(All[0][I].second, All[1][I].second);
      figure(Prefix + "ratio." + All[0][I].first, All.back()[I].second / Better,
             "x");
    }
  }
}

} // namespace

void runPolicies() {
  runUser("lending", lending);
  runUser("ticketing", ticketing);
}

} // namespace pomelokeel::bench
