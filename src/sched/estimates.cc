#include "sched/sched.h"

#include <algorithm>
#include <cmath>

namespace pomelokeel::sched {
namespace {

constexpr double MinFactor = 1.0 / 8;
constexpr double MaxFactor = 8.0;
// Weight of the newest run in the moving average of log factors.
constexpr double LearningRate = 0.25;

std::string factorKey(const std::string &Class, const std::string &Account) {
  return Class + "/" + Account;
}

} // namespace

Millis RunTimeEstimates::estimate(const std::string &Class,
                                  const std::string &Account,
                                  Millis DeclaredMs) const {
  const auto It = m_factors.find(factorKey(Class, Account));
  if (It == m_factors.end())
    return DeclaredMs;
  return std::llround(static_cast<double>(DeclaredMs) * It->second);
}

void RunTimeEstimates::learn(const std::string &Class,
                             const std::string &Account, Millis DeclaredMs,
                             Millis ActualMs) {
  if (DeclaredMs <= 0 || ActualMs < 0)
    return;
  const double Seen = std::clamp(static_cast<double>(ActualMs) /
                                     static_cast<double>(DeclaredMs),
                                 MinFactor, MaxFactor);
  const auto [It, New] = m_factors.emplace(factorKey(Class, Account), Seen);
  if (New)
    return;
  // Averages logarithms: a run of half the declared time and one of twice as
  // much cancel out.
  It->second = std::exp((1 - LearningRate) * std::log(It->second) +
                        LearningRate * std::log(Seen));
}

} // namespace pomelokeel::sched
