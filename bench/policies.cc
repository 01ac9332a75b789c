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

// Enough for about 350 (lending) and 500 (ticketing) large gangs per policy.
constexpr unsigned FirstSeed = 11;
constexpr std::size_t SeedCount = 32;
constexpr std::size_t Threads = 3;
constexpr int Resamples = 200;
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

// A figure of one class that is compared between policies.
struct Measure {
  std::string m_name;
  std::string m_class;
  bool m_isWait; ///< Time not running instead of completion time.
  double (*m_of)(const std::vector<double> &);
};

double percentile95(const std::vector<double> &Values) {
  return percentile(Values, 0.95);
}

using BySeed = std::vector<Outcome>;

// Runs all seeds of one user under all policies. Each run is independent of the
// others and of the number of threads.
std::vector<BySeed> runAll(Stream (*Make)(unsigned)) {
  std::vector<BySeed> Out(Policies.size(), BySeed(SeedCount));
  std::atomic<std::size_t> Next = 0;
  const auto Work = [&] {
    for (std::size_t I = Next++; I < Policies.size() * SeedCount; I = Next++) {
      const Policy &P = Policies[I / SeedCount];
      const std::size_t Seed = I % SeedCount;
      model::PlacementRule Rule;
      Rule.m_strategy = P.m_strategy;
      Rule.m_completionWeight = P.m_completion;
      Rule.m_fragmentationWeight = P.m_fragmentation;
      Rule.m_reserveAfterMs = P.m_reserveAfterMs;
      Out[I / SeedCount][Seed] =
          simulate(Make(FirstSeed + static_cast<unsigned>(Seed)), Rule);
    }
  };
  std::vector<std::jthread> Pool;
  for (std::size_t I = 0; I < Threads; ++I)
    Pool.emplace_back(Work);
  Pool.clear();
  return Out;
}

// The measure over the given seeds pooled, a seed as often as it is listed.
double pooled(const BySeed &Runs, const Measure &M,
              const std::vector<std::size_t> &Picked) {
  std::vector<double> Values;
  for (const std::size_t Seed : Picked) {
    const Outcome &O = Runs[Seed];
    const auto &Classes = M.m_isWait ? O.m_waitMs : O.m_completionMs;
    const auto It = Classes.find(M.m_class);
    if (It != Classes.end())
      Values.insert(Values.end(), It->second.begin(), It->second.end());
  }
  return M.m_of(Values) / 1000;
}

double fragmentation(const BySeed &Runs,
                     const std::vector<std::size_t> &Picked) {
  double Fragmented = 0;
  double Waiting = 0;
  for (const std::size_t Seed : Picked) {
    Fragmented += Runs[Seed].m_fragmentedMs;
    Waiting += Runs[Seed].m_gangWaitingMs;
  }
  return Waiting > 0 ? Fragmented / Waiting : 0;
}

// A policy's value over that of the better baseline for the same seeds.
template <typename F>
double ratio(const std::vector<BySeed> &All, std::size_t Policy, F Value) {
  return Value(All[Policy]) / std::min(Value(All[0]), Value(All[1]));
}

// The ratio over all seeds, its 95% bootstrap interval over resampled seeds,
// and the median of the ratios of single seeds.
template <typename F>
void printRatio(const std::string &Name, const std::vector<BySeed> &All,
                std::size_t Policy, F Value) {
  const auto Of = [&](const std::vector<std::size_t> &Picked) {
    return ratio(All, Policy,
                 [&](const BySeed &Runs) { return Value(Runs, Picked); });
  };
  std::vector<std::size_t> Every(SeedCount);
  std::iota(Every.begin(), Every.end(), 0);
  std::vector<double> Single;
  Single.reserve(SeedCount);
  for (const std::size_t Seed : Every)
    Single.push_back(Of({Seed}));
  std::vector<double> Resampled;
  std::mt19937 Random(1);
  for (int I = 0; I < Resamples; ++I) {
    std::vector<std::size_t> Picked;
    for (std::size_t J = 0; J < SeedCount; ++J)
      Picked.push_back(Random() % SeedCount);
    Resampled.push_back(Of(Picked));
  }
  figure(Name, Of(Every), "x");
  figure(Name + ".low", percentile(Resampled, 0.025), "x");
  figure(Name + ".high", percentile(Resampled, 0.975), "x");
  figure(Name + ".seedMedian", percentile(Single, 0.5), "x");
}

void runUser(const std::string &User, Stream (*Make)(unsigned),
             const std::vector<const char *> &Classes) {
  const std::vector<BySeed> All = runAll(Make);
  std::vector<Measure> Measures;
  Measures.reserve(Classes.size() + 1);
  for (const char *Class : Classes)
    Measures.push_back(
        {"completion." + std::string(Class) + ".mean", Class, false, mean});
  Measures.push_back({"wait.gang.p95", "gang", true, percentile95});
  std::vector<std::size_t> Every(SeedCount);
  std::iota(Every.begin(), Every.end(), 0);
  for (std::size_t P = 0; P < Policies.size(); ++P) {
    const std::string Prefix = User + "." + Policies[P].m_name + ".";
    for (const Measure &M : Measures)
      figure(Prefix + M.m_name, pooled(All[P], M, Every), "s");
    figure(Prefix + "fragmentation", fragmentation(All[P], Every), "share");
    double Gangs = 0;
    double Reclaims = 0;
    for (const Outcome &O : All[P]) {
      Gangs += static_cast<double>(O.m_waitMs.at("gang").size());
      Reclaims += static_cast<double>(O.m_reclaims);
    }
    figure(Prefix + "gangs", Gangs, "jobs");
    figure(Prefix + "reclaims", Reclaims, "jobs");
    if (Policies[P].m_strategy != model::PlacementStrategy::Balanced)
      continue;
    for (const Measure &M : Measures)
      printRatio(Prefix + "ratio." + M.m_name, All, P,
                 [&](const BySeed &Runs, const auto &Picked) {
                   return pooled(Runs, M, Picked);
                 });
    printRatio(Prefix + "ratio.fragmentation", All, P, fragmentation);
  }
}

} // namespace

void runPolicies() {
  runUser("lending", lending, {"report", "score", "train", "gang"});
  runUser("ticketing", ticketing, {"small", "price", "medium", "gang"});
}

} // namespace pomelokeel::bench
