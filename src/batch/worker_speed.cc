#include "batch/worker_speed.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <set>
#include <utility>

namespace pomelokeel::batch {
namespace {

/// Logarithm of the slowness that is to be recognised (1.3).
constexpr double SlowLog = 0.262;

/// Share of slow workers that is assumed before there is evidence.
constexpr double PriorShare = 0.25;
/// Weight of that share against the one that the fleet shows.
constexpr double PriorWeight = 0.25;

/// The evidence of a worker stays within these bounds, so that a worker that
/// changes its speed is recognised after a few runs.
constexpr double MaxOdds = 2.6;

/// Log odds at which a worker becomes slow, and usual again. The gap avoids
/// that a worker of a speed in between changes its class with each run. A gang
/// loses more by a slow worker that is missed than by a usual one that it
/// avoids, so a worker counts as slow a little before that is the likelier
/// case.

constexpr double SlowOdds = -0.1;
constexpr double UsualOdds = -0.6;

/// Most that one run and one job can change the log odds of a worker.
constexpr double MaxOfRun = 1.2;
constexpr double MaxOfJob = 1.5;

/// Least that a run counts for that is more than twice as slow as a slow worker
/// makes it. About 3% of the runs take several times as long for other reasons.
constexpr double VerySlowRun = 0.3;

/// A gang says less about a worker than a task of its own. With full weight,
/// wrong declared estimates mark workers of a uniform fleet by chance (11% of
/// them in a simulation without other tasks).
constexpr double WeightOfGang = 0.5;

/// How many jobs must speak for a slow worker.
constexpr std::int64_t MinJobs = 2;

/// Least number of runs of a step, and of gangs of a queue, to compare with.
constexpr std::size_t MinRuns = 4;
constexpr std::size_t MinAgents = 3;
constexpr std::size_t MinGangs = 4;

/// Standard deviation of the logarithm of run times within a step. It is
/// assumed for steps with few runs, as if this many had shown it.
constexpr double UsualSpread = 0.3;
constexpr double UsualSpreadRuns = 8;
constexpr double MinSpread = 0.15;
/// The same for the ratio of a gang's run time to the declared estimate.
constexpr double UsualGangSpread = 0.2;
constexpr double UsualGangSpreadRuns = 4;

/// Share of runs whose time has nothing to do with the worker, and the width of
/// the range of their logarithms.
constexpr double OutlierShare = 0.05;
constexpr double OutlierRange = 4;

/// Quantile of the ratios of a queue that counts as the ratio of gangs without
/// a slow member. With a third of the workers slow, one gang of five in eight
/// has none.
constexpr double FastGangQuantile = 0.15;

/// Runs count for this long.
constexpr Millis WindowMs = 60000;

constexpr double HighestLog = 1.1; ///< Slowness of 3.

double oddsOf(double Share) { return std::log(Share / (1 - Share)); }

double probability(double Odds) { return 1 / (1 + std::exp(-Odds)); }

double middle(const std::vector<double> &Sorted) {
  const std::size_t N = Sorted.size();
  return (Sorted[(N - 1) / 2] + Sorted[N / 2]) / 2;
}

// Median of all values but the one at index Left.
double middleWithout(const std::vector<double> &Sorted, std::size_t Left) {
  const auto At = [&](std::size_t I) { return Sorted[I < Left ? I : I + 1]; };
  const std::size_t N = Sorted.size() - 1;
  return (At((N - 1) / 2) + At(N / 2)) / 2;
}

// Variance from the median absolute deviation, which outliers do not affect.
double varianceOf(const std::vector<double> &Sorted, double Spread,
                  double SpreadRuns) {
  constexpr double DeviationOfNormal = 1.4826;
  const double Median = middle(Sorted);
  std::vector<double> Deviations;
  Deviations.reserve(Sorted.size());
  for (const double V : Sorted)
    Deviations.push_back(std::abs(V - Median));
  std::sort(Deviations.begin(), Deviations.end());
  const double Measured = DeviationOfNormal * middle(Deviations);
  const auto N = static_cast<double>(Sorted.size());
  const double Variance =
      (N * Measured * Measured + SpreadRuns * Spread * Spread) /
      (N + SpreadRuns);
  return std::max(Variance, MinSpread * MinSpread);
}

double likelihood(double Residual, double Variance) {
  constexpr double TwoPi = 6.283185307179586;
  return (1 - OutlierShare) * std::exp(-Residual * Residual / (2 * Variance)) /
             std::sqrt(TwoPi * Variance) +
         OutlierShare / OutlierRange;
}

// How much a run with this residual speaks for a slow worker.
double evidenceOfRun(double Residual, double Variance) {
  const double Out = std::log(likelihood(Residual - SlowLog, Variance) /
                              likelihood(Residual, Variance));
  const double Least = Residual > 2 * SlowLog ? VerySlowRun : -MaxOfRun;
  return std::clamp(Out, Least, MaxOfRun);
}

// How much a gang with this residual speaks for a slow member, if another one
// is slow with probability OtherSlow.
double evidenceOfGang(double Residual, double Variance, double OtherSlow) {
  const double Slow = likelihood(Residual - SlowLog, Variance);
  const double Usual = likelihood(Residual, Variance);
  return std::clamp(
      std::log(Slow / (OtherSlow * Slow + (1 - OtherSlow) * Usual)), -MaxOfRun,
      MaxOfRun);
}

} // namespace

struct WorkerSpeeds::Event {
  Millis m_at = 0;
  const std::string *m_job = nullptr;
  double m_odds = 0;
  double m_residual = 0; ///< Of a task, or SlowLog.
};

struct WorkerSpeeds::Worker {
  double m_odds = 0;
  double m_probability = 0;
  Prior m_prior;
  std::vector<Event> m_events;
  std::int64_t m_jobs = 0;
  double m_residual = SlowLog; ///< Mean of the recent runs.
};

void WorkerSpeeds::addTask(const std::string &Agent, const TaskName &Name,
                           double RunMs, Millis Now) {
  if (RunMs <= 0)
    return;
  Sample &S =
      m_steps[{Name.m_job, Name.m_occurrence, Name.m_step}][Name.m_index];
  S = {Agent, std::log(RunMs), Now};
}

void WorkerSpeeds::addGang(const std::vector<std::string> &Agents,
                           const TaskName &Name, const std::string &Queue,
                           double Ratio, Millis Now) {
  if (Ratio <= 0)
    return;
  const std::set<std::string> Distinct(Agents.begin(), Agents.end());
  m_gangs[Queue][{Name.m_job, Name.m_occurrence, Name.m_step}] = {
      {Distinct.begin(), Distinct.end()}, std::log(Ratio), Name.m_job, Now};
}

void WorkerSpeeds::restore(const std::string &Agent, const SpeedRecord &R) {
  /// Three to four runs outweigh it.
  constexpr double RestoredOdds = 1;
  const bool Slow = R.m_slowness >= SlowFrom;
  m_priors[Agent] = {Slow ? RestoredOdds : 0, R.m_slowness, Slow ? MinJobs : 0,
                     m_now};
  m_odds[Agent] = oddsOf(m_share) + m_priors[Agent].m_odds;
  m_estimates[Agent] = {R.m_slowness, Slow, 0, Slow ? MinJobs : 0};
}

void WorkerSpeeds::renew(const std::string &Agent) {
  const auto It = m_estimates.find(Agent);
  if (It == m_estimates.end())
    return;
  SpeedRecord R;
  R.m_slowness = It->second.m_slowness;
  restore(Agent, R);
}

void WorkerSpeeds::forget(const std::string &Agent) {
  m_priors.erase(Agent);
  m_odds.erase(Agent);
  m_estimates.erase(Agent);
  for (auto &[Queue, Gangs] : m_gangs)
    std::erase_if(Gangs, [&](const auto &G) {
      return std::binary_search(G.second.m_agents.begin(),
                                G.second.m_agents.end(), Agent);
    });
  for (auto &[Key, Samples] : m_steps)
    std::erase_if(Samples,
                  [&](const auto &S) { return S.second.m_agent == Agent; });
}

SpeedEstimate WorkerSpeeds::of(const std::string &Agent) const {
  const auto It = m_estimates.find(Agent);
  return It == m_estimates.end() ? SpeedEstimate{} : It->second;
}

std::size_t WorkerSpeeds::sampleCount() const {
  std::size_t Out = 0;
  for (const auto &[Key, Samples] : m_steps)
    Out += Samples.size();
  for (const auto &[Queue, Gangs] : m_gangs)
    Out += Gangs.size();
  return Out;
}

void WorkerSpeeds::prune(Millis Now) {
  const auto IsOld = [&](Millis At) { return Now - At > WindowMs; };
  std::erase_if(m_steps, [&](auto &Step) {
    return std::all_of(Step.second.begin(), Step.second.end(),
                       [&](const auto &S) { return IsOld(S.second.m_at); });
  });
  for (auto &[Queue, Gangs] : m_gangs)
    std::erase_if(Gangs, [&](const auto &G) { return IsOld(G.second.m_at); });
  std::erase_if(m_gangs, [](const auto &G) { return G.second.empty(); });
}

void WorkerSpeeds::addTaskEvents(Workers &All, double Offset) const {
  for (const auto &[Key, Samples] : m_steps) {
    std::set<const Worker *> Agents;
    struct Adjusted {
      double m_log = 0;
      const Sample *m_sample = nullptr;
      Worker *m_worker = nullptr;
    };
    std::vector<Adjusted> Runs;
    for (const auto &[Index, S] : Samples) {
      Worker &W = All.at(S.m_agent);
      Agents.insert(&W);
      Runs.push_back(
          {S.m_logMs - SlowLog * (W.m_probability - Offset), &S, &W});
    }
    if (Runs.size() < MinRuns || Agents.size() < MinAgents)
      continue;
    std::sort(
        Runs.begin(), Runs.end(),
        [](const Adjusted &A, const Adjusted &B) { return A.m_log < B.m_log; });
    std::vector<double> Sorted;
    Sorted.reserve(Runs.size());
    for (const Adjusted &R : Runs)
      Sorted.push_back(R.m_log);
    // The median is uncertain too.
    constexpr double VarianceOfMedian = 1.57;
    const double Variance =
        varianceOf(Sorted, UsualSpread, UsualSpreadRuns) *
        (1 + VarianceOfMedian / static_cast<double>(Sorted.size()));
    for (std::size_t I = 0; I < Runs.size(); ++I) {
      const Sample &S = *Runs[I].m_sample;
      Worker &W = *Runs[I].m_worker;
      if (S.m_at < W.m_prior.m_since)
        continue;
      const double Residual = S.m_logMs - middleWithout(Sorted, I);
      W.m_events.push_back({S.m_at, &std::get<0>(Key),
                            evidenceOfRun(Residual, Variance),
                            std::clamp(Residual, -HighestLog, HighestLog)});
    }
  }
}

void WorkerSpeeds::addGangEvents(Workers &All) const {
  for (const auto &[Queue, Gangs] : m_gangs) {
    if (Gangs.size() < MinGangs)
      continue;
    // Two references bracket the ratio of gangs without slow members: what
    // remains if the known slow members explain their part, and what the
    // fastest gangs show.
    std::vector<double> Raw;
    std::vector<double> Explained;
    for (const auto &[Key, G] : Gangs) {
      const bool AnySlow = std::any_of(
          G.m_agents.begin(), G.m_agents.end(),
          [&](const std::string &A) { return All.at(A).m_odds > SlowOdds; });
      Raw.push_back(G.m_logRatio);
      Explained.push_back(G.m_logRatio - (AnySlow ? SlowLog : 0));
    }
    std::sort(Raw.begin(), Raw.end());
    std::sort(Explained.begin(), Explained.end());
    const double High = middle(Explained);
    const double Low = std::min(
        High, Raw[static_cast<std::size_t>(FastGangQuantile *
                                           static_cast<double>(Raw.size()))]);
    const double Variance =
        varianceOf(Explained, UsualGangSpread, UsualGangSpreadRuns);
    for (const auto &[Key, G] : Gangs) {
      for (const std::string &Agent : G.m_agents) {
        Worker &W = All.at(Agent);
        if (G.m_at < W.m_prior.m_since)
          continue;
        double NoneSlow = 1;
        for (const std::string &Other : G.m_agents)
          NoneSlow *= Other == Agent ? 1 : 1 - All.at(Other).m_probability;
        const double A =
            evidenceOfGang(G.m_logRatio - High, Variance, 1 - NoneSlow);
        const double B =
            evidenceOfGang(G.m_logRatio - Low, Variance, 1 - NoneSlow);
        const double Odds = (A + B) / 2 * WeightOfGang;
        W.m_events.push_back({G.m_at, &G.m_job, Odds, SlowLog});
      }
    }
  }
}

void WorkerSpeeds::judge(Worker &W) const {
  constexpr std::size_t RecentRuns = 8;
  std::stable_sort(
      W.m_events.begin(), W.m_events.end(),
      [](const Event &A, const Event &B) { return A.m_at < B.m_at; });
  std::map<std::string_view, double> OfJobs;
  double Evidence = W.m_prior.m_odds;
  for (const Event &E : W.m_events) {
    double &OfJob = OfJobs[*E.m_job];
    const double Change =
        std::clamp(OfJob + E.m_odds, -MaxOfJob, MaxOfJob) - OfJob;
    OfJob += Change;
    Evidence = std::clamp(Evidence + Change, -MaxOdds, MaxOdds);
  }
  W.m_odds = oddsOf(m_share) + Evidence;
  W.m_jobs = W.m_prior.m_jobs +
             std::count_if(OfJobs.begin(), OfJobs.end(),
                           [](const auto &J) { return J.second > 0; });
  const std::size_t Recent = std::min(W.m_events.size(), RecentRuns);
  const double Sum = std::accumulate(
      W.m_events.end() - static_cast<std::ptrdiff_t>(Recent), W.m_events.end(),
      SlowLog, [](double S, const Event &E) { return S + E.m_residual; });
  W.m_residual =
      std::clamp(Sum / static_cast<double>(Recent + 1), SlowLog, HighestLog);
  W.m_probability = probability(W.m_odds);
}

std::vector<std::string> WorkerSpeeds::update(Millis Now) {
  m_now = Now;
  prune(Now);
  Workers All;
  const auto Add = [&](const std::string &Agent) {
    const auto [It, New] = All.try_emplace(Agent);
    if (!New)
      return;
    Worker &W = It->second;
    if (const auto P = m_priors.find(Agent); P != m_priors.end())
      W.m_prior = P->second;
    const auto Odds = m_odds.find(Agent);
    W.m_odds = Odds == m_odds.end() ? oddsOf(m_share) : Odds->second;
    W.m_probability = probability(W.m_odds);
  };
  for (const auto &[Agent, E] : m_estimates)
    Add(Agent);
  for (const auto &[Key, Samples] : m_steps) {
    for (const auto &[Index, S] : Samples)
      Add(S.m_agent);
  }
  for (const auto &[Queue, Gangs] : m_gangs) {
    for (const auto &[Key, G] : Gangs) {
      for (const std::string &Agent : G.m_agents)
        Add(Agent);
    }
  }
  // Each update continues from the one before, so few rounds suffice.
  constexpr int Rounds = 2;
  for (int Round = 0; Round < Rounds && !All.empty(); ++Round) {
    // At most half of the workers can be slower than usual.
    std::vector<double> Probabilities;
    for (auto &[Agent, W] : All) {
      W.m_events.clear();
      Probabilities.push_back(W.m_probability);
    }
    std::sort(Probabilities.begin(), Probabilities.end());
    addTaskEvents(All, std::max(0.0, middle(Probabilities) - PriorShare));
    addGangEvents(All);
    double Sum = 0;
    for (auto &[Agent, W] : All) {
      judge(W);
      Sum += W.m_probability;
    }
    m_share =
        (Sum / static_cast<double>(All.size()) + PriorWeight * PriorShare) /
        (1 + PriorWeight);
  }
  std::vector<std::string> Changed;
  for (const auto &[Key, W] : All) {
    const std::string Agent(Key);
    m_odds[Agent] = W.m_odds;
    SpeedEstimate &E = m_estimates[Agent];
    // One job alone does not mark a worker.
    const bool Slow =
        W.m_jobs >= MinJobs && W.m_odds > (E.m_slow ? UsualOdds : SlowOdds);
    if (Slow != E.m_slow)
      Changed.push_back(Agent);
    constexpr double BelowSlow = 0.01;
    const double Slowness = std::exp(W.m_probability * W.m_residual);
    E = {Slow ? std::max(Slowness, SlowFrom)
              : std::min(Slowness, SlowFrom - BelowSlow),
         Slow, static_cast<std::int64_t>(W.m_events.size()), W.m_jobs};
  }
  std::sort(Changed.begin(), Changed.end());
  return Changed;
}

} // namespace pomelokeel::batch
