#include "bench.h"
#include "simulation.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <cmath>
#include <numeric>
#include <random>
#include <thread>

namespace pomelokeel::bench {
namespace {

constexpr unsigned FirstSeed = 11;
// Enough for about 350 (lending) and 500 (ticketing) jobs of class gang per
// policy.
constexpr std::size_t SeedCount = 32;
constexpr std::size_t ThreadCount = 3;
constexpr int ResampleCount = 200;
// The baselines serve in order of arrival, without reservations.
constexpr Millis NeverReserve = 1LL << 60;
constexpr Millis ReserveAfterMs = 30000;

struct Policy {
  const char *m_name;
  model::PlacementStrategy m_strategy;
  double m_completionWeight;
  double m_fragmentationWeight;
  Millis m_reserveAfterMs;
};

// The first two are the baselines that ratio() compares with.
constexpr std::array Policies = {
    Policy{"firstFit", model::PlacementStrategy::FirstFit, 1, 1, NeverReserve},
    Policy{"bestFit", model::PlacementStrategy::BestFit, 1, 1, NeverReserve},
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

double percentile(std::vector<double> Values, double Fraction) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  const auto Index = static_cast<std::size_t>(
      std::ceil(Fraction * static_cast<double>(Values.size())));
  return Values[std::max<std::size_t>(Index, 1) - 1];
}

// A statistic of the jobs of one class that is compared between policies.
struct Statistic {
  std::string m_name;
  std::string m_class;
  bool m_isWait; ///< Over the waiting times instead of the completion times.
  double (*m_aggregate)(const std::vector<double> &);
};

double percentile95(const std::vector<double> &Values) {
  return percentile(Values, 0.95);
}

using ResultsBySeed = std::vector<SimulationResult>;

// Simulates the streams of all seeds under each policy. The results don't
// depend on the number of threads.
std::vector<ResultsBySeed> simulateAll(JobStream (*MakeStream)(unsigned)) {
  std::vector<ResultsBySeed> Results(Policies.size(), ResultsBySeed(SeedCount));
  std::atomic<std::size_t> Next = 0;
  const auto RunSimulations = [&] {
    for (std::size_t I = Next++; I < Policies.size() * SeedCount; I = Next++) {
      const Policy &P = Policies[I / SeedCount];
      const std::size_t Seed = I % SeedCount;
      model::PlacementRule Rule;
      Rule.m_strategy = P.m_strategy;
      Rule.m_completionWeight = P.m_completionWeight;
      Rule.m_fragmentationWeight = P.m_fragmentationWeight;
      Rule.m_reserveAfterMs = P.m_reserveAfterMs;
      Results[I / SeedCount][Seed] =
          simulate(MakeStream(FirstSeed + static_cast<unsigned>(Seed)), Rule);
    }
  };
  std::vector<std::jthread> Threads;
  for (std::size_t I = 0; I < ThreadCount; ++I)
    Threads.emplace_back(RunSimulations);
  Threads.clear();
  return Results;
}

// The statistic, in seconds, over the jobs of the given seeds together. A seed
// counts as often as it is listed.
double pooled(const ResultsBySeed &Results, const Statistic &S,
              const std::vector<std::size_t> &Seeds) {
  std::vector<double> Values;
  for (const std::size_t Seed : Seeds) {
    const SimulationResult &R = Results[Seed];
    const auto &Classes = S.m_isWait ? R.m_waitMs : R.m_completionMs;
    const auto It = Classes.find(S.m_class);
    if (It != Classes.end())
      Values.insert(Values.end(), It->second.begin(), It->second.end());
  }
  return S.m_aggregate(Values) / 1000;
}

// Mean share of the free accelerators that are fragmented while a gang waits,
// over the given seeds.
double fragmentation(const ResultsBySeed &Results,
                     const std::vector<std::size_t> &Seeds) {
  double FragmentedMs = 0;
  double WaitingMs = 0;
  for (const std::size_t Seed : Seeds) {
    FragmentedMs += Results[Seed].m_fragmentedMs;
    WaitingMs += Results[Seed].m_gangWaitingMs;
  }
  return WaitingMs > 0 ? FragmentedMs / WaitingMs : 0;
}

// A policy's value divided by that of the better baseline for the same seeds.
template <typename F>
double ratio(const std::vector<ResultsBySeed> &All, std::size_t PolicyIndex,
             F Value) {
  return Value(All[PolicyIndex]) / std::min(Value(All[0]), Value(All[1]));
}

// Prints the ratio over all seeds, its 95% bootstrap interval over resampled
// seeds, and the median of the ratios of the single seeds.
template <typename F>
void printRatio(const std::string &Name, const std::vector<ResultsBySeed> &All,
                std::size_t PolicyIndex, F Value) {
  const auto RatioOver = [&](const std::vector<std::size_t> &Seeds) {
    return ratio(All, PolicyIndex, [&](const ResultsBySeed &Results) {
      return Value(Results, Seeds);
    });
  };
  std::vector<std::size_t> AllSeeds(SeedCount);
  std::iota(AllSeeds.begin(), AllSeeds.end(), 0);
  std::vector<double> SeedRatios;
  SeedRatios.reserve(SeedCount);
  for (const std::size_t Seed : AllSeeds)
    SeedRatios.push_back(RatioOver({Seed}));
  std::vector<double> ResampledRatios;
  std::mt19937 Random(1);
  for (int I = 0; I < ResampleCount; ++I) {
    std::vector<std::size_t> Seeds;
    for (std::size_t J = 0; J < SeedCount; ++J)
      Seeds.push_back(Random() % SeedCount);
    ResampledRatios.push_back(RatioOver(Seeds));
  }
  printFigure(Name, RatioOver(AllSeeds), "x");
  printFigure(Name + ".low", percentile(ResampledRatios, 0.025), "x");
  printFigure(Name + ".high", percentile(ResampledRatios, 0.975), "x");
  printFigure(Name + ".seedMedian", percentile(SeedRatios, 0.5), "x");
}

void comparePolicies(const std::string &StreamName,
                     JobStream (*MakeStream)(unsigned),
                     const std::vector<const char *> &Classes) {
  const std::vector<ResultsBySeed> All = simulateAll(MakeStream);
  std::vector<Statistic> Statistics;
  Statistics.reserve(Classes.size() + 1);
  for (const char *Class : Classes)
    Statistics.push_back(
        {"completion." + std::string(Class) + ".mean", Class, false, mean});
  Statistics.push_back({"wait.gang.p95", "gang", true, percentile95});
  std::vector<std::size_t> AllSeeds(SeedCount);
  std::iota(AllSeeds.begin(), AllSeeds.end(), 0);
  for (std::size_t P = 0; P < Policies.size(); ++P) {
    const std::string Prefix = StreamName + "." + Policies[P].m_name + ".";
    for (const Statistic &S : Statistics)
      printFigure(Prefix + S.m_name, pooled(All[P], S, AllSeeds), "s");
    printFigure(Prefix + "fragmentation", fragmentation(All[P], AllSeeds),
                "share");
    double Gangs = 0;
    double Reclaims = 0;
    for (const SimulationResult &R : All[P]) {
      Gangs += static_cast<double>(R.m_waitMs.at("gang").size());
      Reclaims += static_cast<double>(R.m_reclaims);
    }
    printFigure(Prefix + "gangs", Gangs, "jobs");
    printFigure(Prefix + "reclaims", Reclaims, "jobs");
    if (Policies[P].m_strategy != model::PlacementStrategy::Balanced)
      continue;
    for (const Statistic &S : Statistics)
      printRatio(Prefix + "ratio." + S.m_name, All, P,
                 [&](const ResultsBySeed &Results, const auto &Seeds) {
                   return pooled(Results, S, Seeds);
                 });
    printRatio(Prefix + "ratio.fragmentation", All, P, fragmentation);
  }
}

} // namespace

void benchmarkPolicies() {
  comparePolicies("lending", makeLendingStream,
                  {"report", "score", "train", "gang"});
  comparePolicies("ticketing", makeTicketingStream,
                  {"small", "price", "medium", "gang"});
}

} // namespace pomelokeel::bench
