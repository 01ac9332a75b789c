#include "sched/sched.h"

#include <algorithm>
#include <cmath>

namespace pomelokeel::sched {
namespace {

constexpr double MinFactor = 1.0 / 8;
constexpr double MaxFactor = 8.0;
// Number of runs over which the means of an account and the trend of a class
// are averaged.
constexpr int MeanMemory = 8;
constexpr int TrendMemory = 64;
// Weight of the initial assumption that the correction does not depend on the
// declared run time, in runs with a variance of 1.
constexpr double TrendPrior = 4;

std::string factorKey(const std::string &Class, const std::string &Account) {
  return Class + "/" + Account;
}

// Updates a running mean that gives at most Memory values a weight.
void average(double &Mean, double Value, int Count, int Memory) {
  Mean += (Value - Mean) / std::min(Count, Memory);
}

} // namespace

Millis RunTimeEstimates::estimate(const std::string &Class,
                                  const std::string &Account,
                                  Millis DeclaredMs) const {
  const auto It = m_means.find(factorKey(Class, Account));
  if (It == m_means.end() || DeclaredMs <= 0)
    return DeclaredMs;
  const Means &M = It->second;
  const auto Declared = static_cast<double>(DeclaredMs);
  const double Factor =
      std::exp(M.m_logFactor + m_trends.at(Class).slope() *
                                   (std::log(Declared) - M.m_logDeclared));
  return std::llround(Declared * std::clamp(Factor, MinFactor, MaxFactor));
}

// Averages logarithms, so that a run of half the declared time and a run of
// twice the declared time cancel out.
void RunTimeEstimates::learn(const std::string &Class,
                             const std::string &Account, Millis DeclaredMs,
                             Millis ActualMs) {
  if (DeclaredMs <= 0 || ActualMs < 0)
    return;
  const double LogDeclared = std::log(static_cast<double>(DeclaredMs));
  const double LogFactor = std::log(std::clamp(
      static_cast<double>(ActualMs) / static_cast<double>(DeclaredMs),
      MinFactor, MaxFactor));
  Means &M = m_means[factorKey(Class, Account)];
  ++M.m_runs;
  average(M.m_logDeclared, LogDeclared, M.m_runs, MeanMemory);
  average(M.m_logFactor, LogFactor, M.m_runs, MeanMemory);
  Trend &T = m_trends[Class];
  ++T.m_runs;
  const double Declared = LogDeclared - T.m_logDeclared;
  average(T.m_logDeclared, LogDeclared, T.m_runs, TrendMemory);
  average(T.m_logFactor, LogFactor, T.m_runs, TrendMemory);
  // Multiplies deviations from the old mean by those from the new one, as in
  // Welford's method for running variances.
  average(T.m_variance, Declared * (LogDeclared - T.m_logDeclared), T.m_runs,
          TrendMemory);
  average(T.m_covariance, Declared * (LogFactor - T.m_logFactor), T.m_runs,
          TrendMemory);
}

double RunTimeEstimates::Trend::slope() const {
  const int Runs = std::min(m_runs, TrendMemory);
  return std::clamp(Runs * m_covariance / (Runs * m_variance + TrendPrior),
                    -1.0, 0.0);
}

} // namespace pomelokeel::sched
