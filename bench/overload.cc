#include "batch/overload_load.h"
#include "bench.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cmath>
#include <cstddef>
#include <fstream>
#include <functional>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace pomelokeel::bench {
namespace {

using batch::JobSpec;
using batch::Millis;
using batch::Step;
using batch::tests::Design;
using batch::tests::JobOutcome;
using batch::tests::OverloadLoad;

constexpr unsigned FirstSeed = 21;
constexpr std::size_t SeedCount = 4;
constexpr std::size_t ThreadCount = 3;
/// Jobs arrive for this long; afterwards the accepted ones may still be done.
constexpr Millis ArrivalsMs = 120000;
constexpr Millis DrainMs = 90000;

struct NamedDesign {
  const char *m_name;
  Design m_design;
};
constexpr std::array Designs = {NamedDesign{"priority", Design::Priority},
                                NamedDesign{"deadline", Design::Deadline},
                                NamedDesign{"costAware", Design::Admission}};
constexpr std::array Loads = {1, 2, 5};

/// Jobs per second that ask for about three quarters of the accelerators.
constexpr double BaseRate = 3.4;

// Draws jobs of several kinds from one seed, the same for all designs.
class JobStream {
public:
  explicit JobStream(unsigned Seed) : m_random(Seed) {}

  /// Time until the next job at \p Load times the base rate.
  Millis gapMs(double Load) {
    return static_cast<Millis>(
        std::exponential_distribution<>(BaseRate * Load / 1000)(m_random));
  }

  JobSpec next() {
    JobSpec S;
    // The first account submits half of the jobs.
    std::discrete_distribution<> Account({50, 20, 15, 10, 5});
    S.m_account = "account" + std::to_string(Account(m_random));
    S.m_payload = "p";
    S.m_queue.m_stretch = 1.5;
    S.m_queue.m_slackMs = 1500;
    switch (std::discrete_distribution<>({6, 30, 24, 12, 20, 8})(m_random)) {
    case 0: // Within the guarantee of its account.
      setQueue(S, "guaranteed", 0);
      S.m_account = "guaranteed";
      S.m_steps = {gang(between(1, 4), {4000, 8000, 4}, between(1500, 4000))};
      break;
    case 1:
      setQueue(S, "urgent", 0);
      S.m_steps = {step(between(1, 3), {4000, 8000, 1}, between(500, 3000))};
      break;
    case 2: // One task takes more than half of a worker's memory.
      setQueue(S, "chain", 1);
      S.m_steps = {step(1, {8000, 20000, 0}, between(500, 1500)),
                   step(between(1, 3), {16000, 140000, 0}, between(1000, 4000)),
                   step(1, {4000, 8000, 1}, between(500, 1500))};
      S.m_steps[1].m_dependencies = {0};
      S.m_steps[2].m_dependencies = {1};
      break;
    case 3:
      setQueue(S, "gang", 1);
      S.m_steps = {gang(between(2, 8), {8000, 30000, 4}, between(2000, 6000))};
      break;
    case 4:
      setQueue(S, "single", 2);
      S.m_steps = {step(between(1, 6), {4000, 8000, 1}, between(1000, 8000))};
      break;
    default: // A tenth of all jobs and most of the work.
      setQueue(S, "wide", 2);
      S.m_steps = {step(between(20, 60), {2000, 8000, 1}, between(2000, 6000))};
      S.m_steps[0].m_checkpoints = true;
      break;
    }
    return S;
  }

  /// Actual run time relative to the declared one: off by a factor of two, for
  /// one job in twenty by ten.
  double factor() {
    const double Draw = std::uniform_real_distribution<>(0, 1)(m_random);
    const double Off = std::exp2(std::normal_distribution<>(0, 0.5)(m_random));
    if (Draw < 0.025)
      return 10 * Off;
    return Draw < 0.05 ? Off / 10 : Off;
  }

private:
  std::int64_t between(std::int64_t Low, std::int64_t High) {
    return std::uniform_int_distribution<std::int64_t>(Low, High)(m_random);
  }
  static void setQueue(JobSpec &S, const char *Name, int Priority) {
    S.m_queue.m_name = Name;
    S.m_queue.m_priority = Priority;
  }
  static Step step(std::int64_t Count, const batch::Resources &Each,
                   Millis RunMs) {
    Step S;
    S.m_count = Count;
    S.m_each = Each;
    S.m_estimateMs = RunMs;
    return S;
  }
  static Step gang(std::int64_t Count, const batch::Resources &Each,
                   Millis RunMs) {
    Step S = step(Count, Each, RunMs);
    S.m_gang = true;
    S.m_rackLocal = true;
    return S;
  }

  std::mt19937 m_random;
};

std::vector<JobOutcome> simulate(Design D, double Times, unsigned Seed) {
  OverloadLoad L(D);
  L.addWorkers(18, {64000, 256000, 8});
  L.addWorkers(6, {64000, 256000, 0});
  L.m_guarantees = {{"guaranteed", 32}};
  JobStream Stream(Seed);
  const Millis Begin = L.m_now;
  Millis Next = Begin + Stream.gapMs(Times);
  int Number = 0;
  while (L.m_now < Begin + ArrivalsMs) {
    for (; Next <= L.m_now; Next += Stream.gapMs(Times)) {
      JobSpec S = Stream.next();
      const double Factor = Stream.factor();
      L.submit("job" + std::to_string(Number++), std::move(S), Factor);
    }
    L.tick();
  }
  while (L.m_now < Begin + ArrivalsMs + DrainMs && L.openCount() > 0)
    L.tick();
  std::vector<JobOutcome> Out;
  for (auto &[Id, O] : L.m_outcomes)
    Out.push_back(std::move(O));
  return Out;
}

using Outcomes = std::vector<JobOutcome>;
using Filter = std::function<bool(const JobOutcome &)>;

double shareOf(const Outcomes &Of, const Filter &Among, const Filter &Which) {
  double All = 0;
  double Chosen = 0;
  for (const JobOutcome &O : Of) {
    if (!Among(O))
      continue;
    ++All;
    Chosen += Which(O) ? 1 : 0;
  }
  return All > 0 ? Chosen / All : 0;
}

/// Shown for jobs that were not done in the simulated time.
constexpr double NotDone = 99;

// Of the time to completion relative to the objective, over accepted jobs.
double percentile(const Outcomes &Of, const Filter &Among, double Part) {
  std::vector<double> Values;
  for (const JobOutcome &O : Of) {
    if (!Among(O) || O.m_refused)
      continue;
    Values.push_back(O.m_doneAfterMs < 0
                         ? NotDone
                         : static_cast<double>(O.m_doneAfterMs) /
                               static_cast<double>(O.m_objective.m_onTimeMs));
  }
  if (Values.empty())
    return 0;
  const auto Index =
      static_cast<std::size_t>(Part * static_cast<double>(Values.size() - 1));
  std::nth_element(Values.begin(),
                   Values.begin() + static_cast<std::ptrdiff_t>(Index),
                   Values.end());
  return Values[Index];
}

void printGroup(const std::string &Prefix, const Outcomes &Of,
                const Filter &Among) {
  printFigure(Prefix + ".onTime", shareOf(Of, Among, &JobOutcome::onTime),
              "share");
  printFigure(Prefix + ".late", shareOf(Of, Among, &JobOutcome::late), "share");
  printFigure(Prefix + ".never", shareOf(Of, Among, &JobOutcome::never),
              "share");
  printFigure(Prefix + ".refused", shareOf(Of, Among, &JobOutcome::m_refused),
              "share");
  for (const int P : {50, 90, 95, 99})
    printFigure(fmt::format("{}.completion.p{}", Prefix, P),
                percentile(Of, Among, P / 100.0), "objectives");
}

// Value of the results: work weighted by priority, half if late.
double valueShare(const Outcomes &Of) {
  double All = 0;
  double Got = 0;
  for (const JobOutcome &O : Of) {
    const double Value = O.m_work * std::pow(0.25, O.m_priority);
    All += Value;
    Got += O.onTime() ? Value : O.late() ? Value / 2 : 0;
  }
  return All > 0 ? Got / All : 0;
}

void printDesign(const std::string &Prefix, const Outcomes &Of) {
  const Filter Any = [](const JobOutcome &) { return true; };
  printFigure(Prefix + ".jobs", static_cast<double>(Of.size()), "jobs");
  printGroup(Prefix + ".all", Of, Any);
  for (int P = 0; P < 3; ++P)
    printGroup(fmt::format("{}.priority{}", Prefix, P), Of,
               [P](const JobOutcome &O) { return O.m_priority == P; });
  std::vector<double> Sizes;
  for (const JobOutcome &O : Of)
    Sizes.push_back(O.m_work);
  std::sort(Sizes.begin(), Sizes.end());
  const double Large = Sizes[Sizes.size() * 9 / 10];
  printGroup(Prefix + ".largestTenth", Of,
             [Large](const JobOutcome &O) { return O.m_work >= Large; });
  for (int A = 0; A < 5; ++A) {
    const std::string Name = "account" + std::to_string(A);
    printFigure(fmt::format("{}.{}.refused", Prefix, Name),
                shareOf(
                    Of,
                    [&](const JobOutcome &O) { return O.m_account == Name; },
                    &JobOutcome::m_refused),
                "share");
  }
  printFigure(
      Prefix + ".guaranteed.refused",
      shareOf(
          Of, [](const JobOutcome &O) { return O.m_account == "guaranteed"; },
          &JobOutcome::m_refused),
      "share");
  printFigure(Prefix + ".acceptedNever",
              shareOf(
                  Of, [](const JobOutcome &O) { return !O.m_refused; },
                  &JobOutcome::never),
              "share");
  double Runs = 0;
  double Preempted = 0;
  double Lost = 0;
  double Useless = 0;
  double Work = 0;
  for (const JobOutcome &O : Of) {
    Runs += O.m_runs;
    Preempted += O.m_preempted;
    Lost += O.m_lost;
    Work += O.m_doneAfterMs >= 0 ? O.m_work : 0;
    Useless += O.never() && O.m_doneAfterMs >= 0 ? O.m_work : 0;
  }
  printFigure(Prefix + ".preempted", Preempted / std::max(Runs, 1.0), "runs");
  printFigure(Prefix + ".workLost", Lost / std::max(Work + Lost, 1.0), "share");
  printFigure(Prefix + ".workUseless", Useless / std::max(Work + Lost, 1.0),
              "share");
  printFigure(Prefix + ".value", valueShare(Of), "share");
}

using Results = std::array<std::array<Outcomes, Loads.size()>, Designs.size()>;

// A bar for each design and load, divided by what became of the jobs.
void writePlot(const char *File, const Results &All) {
  constexpr int BarWidth = 44;
  constexpr int GroupWidth = 190;
  constexpr int Left = 60;
  constexpr int Top = 40;
  constexpr int Height = 260;
  const Filter Any = [](const JobOutcome &) { return true; };
  struct Part {
    const char *m_name;
    const char *m_colour;
    Filter m_which;
  };
  const std::array Parts = {
      Part{"on time", "#3a7d44", &JobOutcome::onTime},
      Part{"late", "#e0b040", &JobOutcome::late},
      Part{"refused", "#8fa3b8", &JobOutcome::m_refused},
      Part{"accepted, never", "#b03a2e", &JobOutcome::never}};
  std::string Svg = fmt::format(
      "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{}\" height=\"{}\" "
      "font-family=\"sans-serif\" font-size=\"11\">\n",
      Left + GroupWidth * static_cast<int>(Loads.size()) + 20,
      Top + Height + 50);
  for (std::size_t P = 0; P < Parts.size(); ++P) {
    const int X = Left + 130 * static_cast<int>(P);
    Svg += fmt::format("<rect x=\"{}\" y=\"10\" width=\"12\" height=\"12\" "
                       "fill=\"{}\"/><text x=\"{}\" y=\"20\">{}</text>\n",
                       X, Parts[P].m_colour, X + 17, Parts[P].m_name);
  }
  for (int Percent = 0; Percent <= 100; Percent += 25)
    Svg += fmt::format("<text x=\"{}\" y=\"{}\" "
                       "text-anchor=\"end\">{}%</text>\n",
                       Left - 8, Top + Height - Height * Percent / 100 + 4,
                       Percent);
  for (std::size_t L = 0; L < Loads.size(); ++L) {
    const int Group = Left + GroupWidth * static_cast<int>(L);
    Svg += fmt::format("<text x=\"{}\" y=\"{}\">load x{}</text>\n", Group + 50,
                       Top + Height + 38, Loads[L]);
    for (std::size_t D = 0; D < Designs.size(); ++D) {
      const int X = Group + (BarWidth + 10) * static_cast<int>(D);
      double Y = Top + Height;
      for (const Part &P : Parts) {
        const double Tall = Height * shareOf(All[D][L], Any, P.m_which);
        Y -= Tall;
        Svg += fmt::format("<rect x=\"{}\" y=\"{:.1f}\" width=\"{}\" "
                           "height=\"{:.1f}\" fill=\"{}\"/>\n",
                           X, Y, BarWidth, Tall, P.m_colour);
      }
      Svg +=
          fmt::format("<text x=\"{}\" y=\"{}\" "
                      "text-anchor=\"middle\">{}</text>\n",
                      X + BarWidth / 2, Top + Height + 18, Designs[D].m_name);
    }
  }
  std::ofstream(File) << Svg << "</svg>\n";
}

} // namespace

void benchmarkOverload() {
  constexpr std::size_t Runs = Designs.size() * Loads.size() * SeedCount;
  std::vector<Outcomes> BySeed(Runs);
  std::atomic<std::size_t> Next = 0;
  const auto Work = [&] {
    for (std::size_t I = Next++; I < Runs; I = Next++) {
      const std::size_t D = I / SeedCount % Designs.size();
      const std::size_t L = I / SeedCount / Designs.size();
      BySeed[I] = simulate(Designs[D].m_design, Loads[L],
                           FirstSeed + static_cast<unsigned>(I % SeedCount));
    }
  };
  std::vector<std::jthread> Threads;
  for (std::size_t I = 0; I < ThreadCount; ++I)
    Threads.emplace_back(Work);
  Threads.clear();
  Results All;
  for (std::size_t I = 0; I < Runs; ++I) {
    Outcomes &Of =
        All[I / SeedCount % Designs.size()][I / SeedCount / Designs.size()];
    Of.insert(Of.end(), BySeed[I].begin(), BySeed[I].end());
  }
  for (std::size_t D = 0; D < Designs.size(); ++D) {
    for (std::size_t L = 0; L < Loads.size(); ++L)
      printDesign(fmt::format("overload.{}.x{}", Designs[D].m_name, Loads[L]),
                  All[D][L]);
  }
  // Jobs have the same order under all designs.
  for (std::size_t L = 0; L < Loads.size(); ++L) {
    const Outcomes &Base = All.front()[L];
    const Outcomes &Refusing = All.back()[L];
    double Wrong = 0;
    for (std::size_t I = 0; I < Base.size(); ++I)
      Wrong += Refusing[I].m_refused && !Base[I].never() ? 1 : 0;
    printFigure(
        fmt::format("overload.costAware.x{}.refusedDoneByPriority", Loads[L]),
        Wrong / static_cast<double>(Base.size()), "share");
  }
  writePlot("overload.svg", All);
}

} // namespace pomelokeel::bench
