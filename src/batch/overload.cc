#include "batch/overload.h"

#include "batch/schedule.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <iterator>
#include <limits>
#include <tuple>

namespace pomelokeel::batch {
namespace {

constexpr double MsPerSecond = 1000;
constexpr double MilliCoresPerCore = 1000;
/// As for lost work in schedule.cc.
constexpr double AcceleratorCores = 8;

/// A result is of use until this many times the objective.
constexpr double LimitFactor = 3;
/// A late result is worth this share of one that is on time.
constexpr double LateValue = 0.5;
/// Weight of a priority, relative to the next more urgent one.
constexpr double PriorityStep = 0.25;

/// Longest objective in ms: 30,000 years.
constexpr double MaxObjectiveMs = 1e15;

/// Declared times may be wrong by ten.
constexpr double MaxRatio = 10;
/// Ratios are means over about this many jobs. Waits change with the load, so
/// longer means lag behind and refuse jobs after a burst.
constexpr double RememberedRunTimes = 10;
constexpr double RememberedWaits = 7;
/// Jobs with short waits are done first, so the ratio is too low at the begin
/// of a burst.
constexpr double MinWaitRatio = 0.7;

/// Time in which rates forget. Shorter bursts are in the backlog already.
constexpr double RateForgetsS = 15;
/// At most this share of the fleet counts as taken by later, more urgent work.
constexpr double MaxRate = 0.9;

/// Part of the limit that applies to an account that uses its fair share, and
/// by how much it changes with each fair share less or more. While the load is
/// higher than the capacity, the jobs of the accounts that cause it are
/// accepted close to their limit, and the rest is left for errors of the
/// estimate and for accounts that use less, whose jobs are refused last.
/// Without this headroom more than half of the jobs of a burst are accepted and
/// late.
constexpr double FairPart = 0.8;
constexpr double PartBelowShare = 0.5;
constexpr double PartAboveShare = 0.1;
constexpr double MinPart = 0.4;
constexpr double MaxPart = 1.1;

/// A job's own time counts as at most this part of its limit.
constexpr double MaxOwnShare = 0.4;

constexpr Millis MinRetryMs = 1000;
/// Callers that would have to wait for longer return in the second half of this
/// time.
constexpr Millis MaxRetryMs = 30000;

/// What is learned from jobs that are done counts as much as this many open
/// jobs.
constexpr double LearnedWeight = 5;
/// Estimated waits below this one say little about the estimate.
constexpr Millis MinWaitMs = 500;

// How long a job has waited that is done, or open, this long after its
// acceptance.
double waitedMs(const JobState &J, Millis AfterMs) {
  return static_cast<double>(
      std::max<Millis>(AfterMs - (J.m_expectedMs - J.m_expectedWaitMs), 0));
}

double share(std::int64_t Part, std::int64_t Of) {
  return Of > 0 ? static_cast<double>(Part) / static_cast<double>(Of) : 0;
}

Shares sharesOf(const Resources &Part, const Resources &Of) {
  return {share(Part.m_milliCores, Of.m_milliCores),
          share(Part.m_memoryMb, Of.m_memoryMb),
          share(Part.m_accelerators, Of.m_accelerators)};
}

bool hasLabel(const std::vector<std::string> &Labels,
              const std::string &Label) {
  return Label.empty() ||
         std::find(Labels.begin(), Labels.end(), Label) != Labels.end();
}

std::int64_t acceleratorsOf(const JobSpec &S) {
  std::int64_t Sum = 0;
  for (const Step &Each : S.m_steps)
    Sum += Each.m_count * Each.m_each.m_accelerators;
  return Sum;
}

Resources times(std::int64_t Count, const Resources &R) {
  return {Count * R.m_milliCores, Count * R.m_memoryMb,
          Count * R.m_accelerators};
}

// When the last step ends if each one starts as soon as the steps before it
// have ended and its wait is over. Steps take their declared times, times
// \p Ratio.
double endSeconds(const JobSpec &S, const std::vector<double> &Waits,
                  double Ratio) {
  std::vector<double> Ends;
  for (std::size_t I = 0; I < S.m_steps.size(); ++I) {
    double Begin = Waits[I];
    for (const int Dependency : S.m_steps[I].m_dependencies)
      Begin = std::max(Begin, Ends[static_cast<std::size_t>(Dependency)]);
    Ends.push_back(Begin + Ratio *
                               static_cast<double>(S.m_steps[I].m_estimateMs) /
                               MsPerSecond);
  }
  return *std::max_element(Ends.begin(), Ends.end());
}

// Time until capacity that becomes free has done \p Queued worker-seconds per
// worker. \p Busy is the share of the capacity in use. The runs end at an even
// rate, \p Mean seconds from now on average.
double drainSeconds(double Queued, double Busy, double Mean) {
  Busy = std::min(Busy, 1.0);
  if (Busy <= 0 || Mean <= 0)
    return Queued;
  const double Idle = 1 - Busy;
  const double Last = 2 * Mean;
  if (Queued >= Idle * Last + Busy * Mean)
    return Queued + Busy * Mean;
  return (std::sqrt(Idle * Idle + Busy * Queued / Mean) - Idle) * Last / Busy;
}

} // namespace

Objective objectiveOf(const JobSpec &S) {
  const double Ms =
      S.m_queue.m_stretch * static_cast<double>(criticalPathMs(S)) +
      static_cast<double>(S.m_queue.m_slackMs);
  // A greater number, or one that is not a number, cannot be converted.
  const double Bounded = Ms >= 0 && Ms < MaxObjectiveMs ? Ms : MaxObjectiveMs;
  return {static_cast<Millis>(Bounded),
          static_cast<Millis>(Bounded * LimitFactor)};
}

double coresOf(const Resources &R) {
  return static_cast<double>(R.m_milliCores) / MilliCoresPerCore +
         AcceleratorCores * static_cast<double>(R.m_accelerators);
}

double declaredWork(const JobSpec &S) {
  double Sum = 0;
  for (const Step &Each : S.m_steps)
    Sum += coresOf(Each.m_each) * static_cast<double>(Each.m_count) *
           static_cast<double>(Each.m_estimateMs) / MsPerSecond;
  return Sum;
}

double lossAt(const JobSpec &S, Millis DoneMs) {
  const Objective O = objectiveOf(S);
  const double Value =
      declaredWork(S) * std::pow(PriorityStep, S.m_queue.m_priority);
  if (DoneMs <= O.m_onTimeMs)
    return 0;
  return DoneMs <= O.m_limitMs ? Value * LateValue : Value;
}

double costOfDelay(const JobSpec &S, Millis DoneMs, Millis DelayMs) {
  return lossAt(S, DoneMs + DelayMs) - lossAt(S, DoneMs);
}

void QueueRatios::observe(const std::string &Queue, double Actual,
                          double Expected, double Jobs, double Remembered) {
  Means &M =
      m_means.try_emplace(Queue, Means{Expected, Expected}).first->second;
  const double Bounded =
      std::clamp(Actual, Expected / MaxRatio, Expected * MaxRatio);
  const double Weight = Jobs / Remembered;
  M.m_actual += Weight * (Bounded - M.m_actual);
  M.m_expected += Weight * (Expected - M.m_expected);
}

double QueueRatios::ratioOf(const std::string &Queue) const {
  const auto It = m_means.find(Queue);
  return It == m_means.end() ? 1 : It->second.m_actual / It->second.m_expected;
}

QueueRatios::Means QueueRatios::meansOf(const std::string &Queue) const {
  const auto It = m_means.find(Queue);
  return It == m_means.end() ? Means{} : It->second;
}

void Experience::noteRun(const JobSpec &Of, const Step &Kind, Millis TookMs) {
  if (Kind.m_estimateMs <= 0 || Kind.m_longRunning)
    return;
  // Members of a gang end together and are observed once.
  const double Jobs = Kind.m_gang ? 1 : 1 / static_cast<double>(Kind.m_count);
  m_runTimes.observe(Of.m_queue.m_name, static_cast<double>(TookMs),
                     static_cast<double>(Kind.m_estimateMs), Jobs,
                     RememberedRunTimes);
}

void Experience::noteDone(const JobState &J, Millis DoneMs) {
  if (J.m_expectedWaitMs >= MinWaitMs)
    m_waits.observe(J.m_spec.m_queue.m_name, waitedMs(J, DoneMs),
                    static_cast<double>(J.m_expectedWaitMs), 1,
                    RememberedWaits);
}

Millis Experience::returnAfter(const JobSpec &Of, const Shares &Seconds,
                               Millis EarliestMs, Millis Now) {
  Millis &Next = m_returns[Of.m_queue.m_priority];
  Next = std::max(Next, Now + EarliestMs);
  const Millis AfterMs = Next - Now;
  if (AfterMs <= MaxRetryMs) {
    const double Longest = *std::max_element(Seconds.begin(), Seconds.end());
    Next += static_cast<Millis>(Longest * MsPerSecond);
    return std::max(AfterMs, MinRetryMs);
  }
  constexpr std::size_t Spread = MaxRetryMs / 2;
  return MaxRetryMs -
         static_cast<Millis>(std::hash<std::string>()(Of.m_id) % Spread);
}

void ArrivalRates::add(int Priority, const Shares &Seconds, Millis Now) {
  Rate &R = m_byPriority[Priority];
  const double Kept = std::exp(-static_cast<double>(Now - R.m_at) /
                               (RateForgetsS * MsPerSecond));
  for (std::size_t D = 0; D < Seconds.size(); ++D)
    R.m_perSecond[D] = R.m_perSecond[D] * Kept + Seconds[D] / RateForgetsS;
  R.m_at = Now;
}

Shares ArrivalRates::above(int Priority, Millis Now) const {
  Shares Sum = {};
  for (const auto &[Of, R] : m_byPriority) {
    if (Of >= Priority)
      break;
    const double Kept = std::exp(-static_cast<double>(Now - R.m_at) /
                                 (RateForgetsS * MsPerSecond));
    for (std::size_t D = 0; D < Sum.size(); ++D)
      Sum[D] += R.m_perSecond[D] * Kept;
  }
  return Sum;
}

Admission::Admission(const std::string &Service, const OpenJobs &Jobs,
                     const std::vector<CandidateWorker> &Workers,
                     const std::map<std::string, std::int64_t> &Guarantees,
                     const Experience &Learned, Millis Now, Millis WallNow)
    : m_learned(Learned), m_wallNow(WallNow) {
  std::vector<const JobState *> Open;
  for (const auto &[Id, J] : Jobs) {
    if (J->m_spec.m_queue.m_service == Service)
      Open.push_back(J);
  }
  learnFromOpenJobs(Open, Now);
  // Long-running tasks keep their part of a worker.
  std::map<std::string_view, Resources> Kept;
  for (const JobState *J : Open) {
    forEachTask(J->m_progress, [&](int, int S, int, const Task &T) {
      const Step &Kind = J->m_spec.m_steps[static_cast<std::size_t>(S)];
      if (Kind.m_longRunning && T.m_phase == TaskPhase::Placed)
        Kept[T.m_agent] = Kept[T.m_agent] + allocationOf(Kind);
    });
  }
  std::map<std::string_view, std::size_t> ClassOf;
  for (const CandidateWorker &W : Workers) {
    if (!W.m_usable || W.m_service != Service)
      continue;
    const Resources Capacity = W.m_capacity - Kept[W.m_agent];
    m_capacity = m_capacity + Capacity;
    const auto It = std::find_if(
        m_classes.begin(), m_classes.end(), [&](const WorkerClass &C) {
          return C.m_capacity == Capacity && C.m_labels == W.m_labels;
        });
    ClassOf[W.m_agent] =
        static_cast<std::size_t>(std::distance(m_classes.begin(), It));
    if (It == m_classes.end())
      m_classes.push_back({Capacity, W.m_labels, 1, {}, {}});
    else
      ++It->m_count;
  }
  for (const auto &[Name, Guaranteed] : Guarantees)
    m_accounts[Name].m_guaranteeLeft = Guaranteed;
  std::sort(Open.begin(), Open.end(), [&](const auto *A, const auto *B) {
    const auto KeyOf = [&](const JobState *J) {
      return std::tuple(orderOf(J->m_spec), J->m_spec.m_acceptedMs,
                        std::string_view(J->m_spec.m_id));
    };
    return KeyOf(A) < KeyOf(B);
  });
  for (const JobState *J : Open) {
    forEachTask(J->m_progress, [&](int, int S, int, const Task &T) {
      const Step &Kind = J->m_spec.m_steps[static_cast<std::size_t>(S)];
      if (!Kind.m_longRunning && T.m_phase == TaskPhase::Placed)
        addRun(J->m_spec, Kind, T, ClassOf, Now);
    });
  }
  for (const JobState *J : Open) {
    if (!isEnded(J->m_progress.m_phase))
      addWaitingOf(*J);
  }
  // In the order in which plan() uses the guarantees.
  std::sort(Open.begin(), Open.end(), [](const auto *A, const auto *B) {
    return std::tie(A->m_spec.m_acceptedMs, A->m_spec.m_id) <
           std::tie(B->m_spec.m_acceptedMs, B->m_spec.m_id);
  });
  for (const JobState *J : Open) {
    if (!isEnded(J->m_progress.m_phase) && isGuaranteed(J->m_spec))
      m_accounts[J->m_spec.m_account].m_guaranteeLeft -=
          acceleratorsOf(J->m_spec);
  }
}

// Jobs that wait longer than estimated are not done yet, or never will be. They
// count as soon as that is known.
void Admission::learnFromOpenJobs(const std::vector<const JobState *> &Open,
                                  Millis Now) {
  std::map<std::string, QueueRatios::Means> Sums;
  for (const JobState *J : Open) {
    if (J->m_expectedWaitMs < MinWaitMs || isEnded(J->m_progress.m_phase))
      continue;
    const std::string &Queue = J->m_spec.m_queue.m_name;
    const auto Expected = static_cast<double>(J->m_expectedWaitMs);
    QueueRatios::Means &Sum = Sums[Queue];
    Sum.m_expected += Expected;
    Sum.m_actual += std::max(waitedMs(*J, Now - J->m_acceptedAt),
                             Expected * m_learned.m_waits.ratioOf(Queue));
  }
  for (const auto &[Queue, Sum] : Sums) {
    const QueueRatios::Means Learned = m_learned.m_waits.meansOf(Queue);
    m_waitRatios[Queue] =
        std::min((Learned.m_actual * LearnedWeight + Sum.m_actual) /
                     (Learned.m_expected * LearnedWeight + Sum.m_expected),
                 MaxRatio);
  }
}

double Admission::waitRatioOf(const JobSpec &S) const {
  const std::string &Queue = S.m_queue.m_name;
  const auto It = m_waitRatios.find(Queue);
  return It == m_waitRatios.end() ? m_learned.m_waits.ratioOf(Queue)
                                  : It->second;
}

void Admission::Running::add(const Demand &Each, double Count, double Seconds) {
  for (std::size_t D = 0; D < Each.size(); ++D) {
    m_busy[D] += Each[D] * Count;
    m_remaining[D] += Each[D] * Count * Seconds;
  }
}

double Admission::ratioOf(const JobSpec &S) const {
  return m_learned.m_runTimes.ratioOf(S.m_queue.m_name);
}

double Admission::secondsOf(const JobSpec &S, const Step &Kind) const {
  return static_cast<double>(Kind.m_estimateMs) * ratioOf(S) / MsPerSecond;
}

bool Admission::canRun(const Step &Kind, const WorkerClass &C) const {
  return hasLabel(C.m_labels, Kind.m_label) &&
         fits(allocationOf(Kind), C.m_capacity);
}

Admission::Demand Admission::demandOf(const Step &Kind, const WorkerClass &C) {
  const Shares Each = sharesOf(allocationOf(Kind), C.m_capacity);
  constexpr double Half = 1.0 / 2;
  constexpr double Third = 1.0 / 3;
  Demand Out = {};
  for (std::size_t D = 0; D < Each.size(); ++D) {
    Out[D] = Each[D];
    Out[Each.size() + D] = Each[D] > Half ? 1 : 0;
    Out[2 * Each.size() + D] = Each[D] > Third ? Half : 0;
  }
  return Out;
}

Admission::Order Admission::orderOf(const JobSpec &S) const {
  const Objective O = objectiveOf(S);
  // A job without an acceptance time is the candidate.
  const Millis Begin = S.m_acceptedMs > 0 ? S.m_acceptedMs : m_wallNow;
  const bool Useless = m_wallNow - Begin > O.m_limitMs &&
                       S.m_occurrenceCount == 0 && !isGuaranteed(S);
  if (Useless)
    return {std::numeric_limits<int>::max(), Begin + O.m_onTimeMs};
  constexpr int GuaranteedPriority = -1;
  return {isGuaranteed(S) ? GuaranteedPriority : S.m_queue.m_priority,
          Begin + O.m_onTimeMs};
}

bool Admission::isGuaranteed(const JobSpec &S) const {
  if (S.m_queue.m_priority != 0)
    return false;
  const auto It = m_accounts.find(S.m_account);
  return It != m_accounts.end() && It->second.m_guaranteeLeft > 0 &&
         acceleratorsOf(S) <= It->second.m_guaranteeLeft;
}

void Admission::addWaitingOf(const JobState &J) {
  const Order O = orderOf(J.m_spec);
  for (const Occurrence &Steps : J.m_progress.m_occurrences) {
    for (std::size_t I = 0; I < Steps.size(); ++I) {
      const auto Waiting =
          std::count_if(Steps[I].begin(), Steps[I].end(), [](const Task &T) {
            return T.m_phase == TaskPhase::Waiting;
          });
      const Step &Kind = J.m_spec.m_steps[I];
      if (Waiting > 0 && !Kind.m_longRunning)
        addWaiting(J.m_spec, Kind, Waiting, O);
    }
  }
}

// Spreads the work over the classes that can hold it, in parts, each to the
// class that drains first.
void Admission::addWaiting(const JobSpec &S, const Step &Kind,
                           std::int64_t Count, const Order &O) {
  constexpr std::int64_t Parts = 8;
  struct Target {
    std::size_t m_class = 0;
    Demand m_each = {};
    double m_work = 0;
  };
  std::vector<Target> Targets;
  for (std::size_t C = 0; C < m_classes.size(); ++C) {
    if (canRun(Kind, m_classes[C]))
      Targets.push_back({C, demandOf(Kind, m_classes[C]), 0});
  }
  const double Seconds = secondsOf(S, Kind) * static_cast<double>(Count);
  m_accounts[S.m_account].m_work += coresOf(Kind.m_each) * Seconds;
  if (Targets.empty() || Seconds <= 0)
    return;
  const std::int64_t Chunks = Targets.size() == 1 ? 1 : std::min(Parts, Count);
  const double Chunk = Seconds / static_cast<double>(Chunks);
  const auto LevelAfter = [&](const Target &T) {
    const WorkerClass &C = m_classes[T.m_class];
    double Level = 0;
    for (std::size_t D = 0; D < DimensionCount; ++D) {
      if (T.m_each[D] > 0)
        Level =
            std::max(Level, (C.m_work[D] + T.m_each[D] * Chunk) / C.m_count);
    }
    return Level;
  };
  for (std::int64_t N = 0; N < Chunks; ++N) {
    Target &Best = *std::min_element(Targets.begin(), Targets.end(),
                                     [&](const Target &A, const Target &B) {
                                       return LevelAfter(A) < LevelAfter(B);
                                     });
    Best.m_work += Chunk;
    for (std::size_t D = 0; D < DimensionCount; ++D)
      m_classes[Best.m_class].m_work[D] += Best.m_each[D] * Chunk;
  }
  for (const Target &T : Targets) {
    if (T.m_work <= 0)
      continue;
    Queued Q{O, T.m_class, {}};
    const double Each = secondsOf(S, Kind);
    Q.m_work.add(T.m_each, T.m_work / Each, Each);
    m_queued.push_back(Q);
  }
}

void Admission::addRun(const JobSpec &S, const Step &Kind, const Task &T,
                       const std::map<std::string_view, std::size_t> &ClassOf,
                       Millis Now) {
  const auto At = ClassOf.find(T.m_agent);
  if (At == ClassOf.end())
    return;
  const Millis Estimate = estimateRemainingMs(T, Now);
  const double Declared = secondsOf(S, Kind);
  // A run that has taken its time and reports no progress may end any moment.
  const double Seconds =
      Estimate >= 0
          ? static_cast<double>(Estimate) / MsPerSecond
          : std::max(Declared -
                         static_cast<double>(Now - T.m_placedAt) / MsPerSecond,
                     0.0);
  m_accounts[S.m_account].m_work += coresOf(Kind.m_each) * Seconds;
  WorkerClass &C = m_classes[At->second];
  const Demand Each = demandOf(Kind, C);
  C.m_running[S.m_queue.m_priority].add(Each, 1, Seconds);
  for (std::size_t D = 0; D < DimensionCount; ++D)
    C.m_work[D] += Each[D] * Seconds;
}

double Admission::waitOf(const Step &Kind, std::size_t Class,
                         const Running &Ahead, int Priority, double GangWorkers,
                         const Shares &Taken) const {
  const WorkerClass &C = m_classes[Class];
  const Demand Each = demandOf(Kind, C);
  double Wait = 0;
  for (std::size_t D = 0; D < DimensionCount; ++D) {
    if (Each[D] <= 0)
      continue;
    double Busy = 0;
    double Remaining = 0;
    for (const auto &[Of, R] : C.m_running) {
      // Jobs of priority 0 may preempt runs of lower priority.
      if (Priority == 0 && Of > 0)
        break;
      Busy += R.m_busy[D];
      Remaining += R.m_remaining[D];
    }
    // The part of the work ahead that fits begins at once.
    const double Begins = std::clamp(C.m_count - Busy, 0.0, Ahead.m_busy[D]);
    const double Part = Begins > 0 ? Begins / Ahead.m_busy[D] : 0;
    Busy += Begins;
    Remaining += Part * Ahead.m_remaining[D];
    const double Mean = Busy > 0 ? Remaining / Busy : 0;
    const double BusyShare = std::min(Busy / C.m_count, 1.0);
    const double Queued = (1 - Part) * Ahead.m_remaining[D] / C.m_count;
    double Here = drainSeconds(Queued, BusyShare, Mean);
    // A gang begins once its share of the class is free at the same time.
    const double Needed =
        std::min(GangWorkers * Each[D] / C.m_count, 1.0) - (1 - BusyShare);
    if (BusyShare > 0)
      Here = std::max(Here, Needed * 2 * Mean / BusyShare);
    const double Left = 1 - std::min(Taken[D % Taken.size()], MaxRate);
    Wait = std::max(Wait, Here / Left);
  }
  return Wait;
}

// Seconds until there is room for each step.
std::vector<double> Admission::waitsOf(const JobSpec &S, Millis Now) const {
  const Order O = orderOf(S);
  std::vector<Running> Ahead(m_classes.size());
  for (const Queued &Q : m_queued) {
    if (O < Q.m_order)
      continue;
    const Demand &Work = Q.m_work.m_remaining;
    const double Most = *std::max_element(Work.begin(), Work.end());
    Running &Of = Ahead[Q.m_class];
    for (std::size_t D = 0; D < DimensionCount; ++D) {
      // Work that another resource limits leaves a part of this one free.
      const double Part = Work[D] * Work[D] / (Most * Most);
      Of.m_busy[D] += Part * Q.m_work.m_busy[D];
      Of.m_remaining[D] += Part * Work[D];
    }
  }
  const Shares Taken = m_learned.m_arrivals.above(S.m_queue.m_priority, Now);
  std::vector<double> Out;
  for (const Step &Kind : S.m_steps) {
    double Workers = 0;
    for (const WorkerClass &C : m_classes)
      Workers += canRun(Kind, C) ? C.m_count : 0;
    double Soonest = std::numeric_limits<double>::max();
    for (std::size_t C = 0; C < m_classes.size(); ++C) {
      if (!canRun(Kind, m_classes[C]))
        continue;
      // The members of a gang spread over all classes that can hold them.
      const double Members = Kind.m_gang ? static_cast<double>(Kind.m_count) *
                                               m_classes[C].m_count / Workers
                                         : 0;
      Soonest = std::min(
          Soonest, waitOf(Kind, C, Ahead[C], O.m_priority, Members, Taken));
    }
    Out.push_back(Soonest);
  }
  return Out;
}

double Admission::aloneSeconds(const JobSpec &S) const {
  Demand Sum = {};
  for (const Step &Kind : S.m_steps) {
    // Tasks that fit at the same time, by what limits them.
    Demand Fit = {};
    for (const WorkerClass &C : m_classes) {
      if (!canRun(Kind, C))
        continue;
      const Demand Each = demandOf(Kind, C);
      for (std::size_t D = 0; D < DimensionCount; ++D)
        Fit[D] += Each[D] > 0 ? C.m_count / Each[D] : 0;
    }
    const double Work = secondsOf(S, Kind) * static_cast<double>(Kind.m_count);
    for (std::size_t D = 0; D < DimensionCount; ++D)
      Sum[D] += Fit[D] > 0 ? Work / Fit[D] : 0;
  }
  return *std::max_element(Sum.begin(), Sum.end());
}

Shares Admission::fleetSeconds(const JobSpec &S) const {
  Shares Sum = {};
  for (const Step &Kind : S.m_steps) {
    if (Kind.m_longRunning)
      continue;
    const Shares Each =
        sharesOf(times(Kind.m_count, allocationOf(Kind)), m_capacity);
    for (std::size_t D = 0; D < Sum.size(); ++D)
      Sum[D] += Each[D] * secondsOf(S, Kind);
  }
  return Sum;
}

// Part of the limit that applies to an account. Its use is its open work,
// running or not.
double Admission::partOf(const std::string &Name) const {
  double All = 0;
  double Users = 0;
  for (const auto &[Other, A] : m_accounts) {
    All += A.m_work;
    Users += A.m_work > 0 || Other == Name ? 1 : 0;
  }
  const auto It = m_accounts.find(Name);
  const double Own = It == m_accounts.end() ? 0 : It->second.m_work;
  const double Fair = All / std::max(Users, 1.0);
  const double Above = Fair > 0 ? Own / Fair - 1 : -1;
  return std::clamp(FairPart -
                        Above * (Above > 0 ? PartAboveShare : PartBelowShare),
                    MinPart, MaxPart);
}

Admittance Admission::decide(const JobSpec &S, Millis Now) const {
  Admittance Out;
  const bool Exempt =
      S.m_occurrenceCount > 0 || isGuaranteed(S) ||
      std::any_of(S.m_steps.begin(), S.m_steps.end(), [&](const Step &Kind) {
        return Kind.m_longRunning ||
               std::none_of(
                   m_classes.begin(), m_classes.end(),
                   [&](const WorkerClass &C) { return canRun(Kind, C); });
      });
  const Objective O = objectiveOf(S);
  if (Exempt || O.m_limitMs <= 0)
    return Out;
  const double Limit = static_cast<double>(O.m_limitMs) / MsPerSecond;
  const double Critical =
      ratioOf(S) * static_cast<double>(criticalPathMs(S)) / MsPerSecond;
  const double Wait = (endSeconds(S, waitsOf(S, Now), ratioOf(S)) - Critical) *
                      std::max(waitRatioOf(S), MinWaitRatio);
  // The run times and the width of the job itself are no reason to refuse it:
  // alone it is accepted, and the work ahead may take a part of the limit.
  const double Own =
      std::min(std::max(Critical, aloneSeconds(S)), Limit * MaxOwnShare);
  const double Allowed = Limit * partOf(S.m_account);
  Out.m_backlogMs = static_cast<Millis>(Wait * MsPerSecond);
  Out.m_expectedMs = static_cast<Millis>((Wait + Own) * MsPerSecond);
  Out.m_limitMs = static_cast<Millis>(Allowed * MsPerSecond);
  const auto Widest = std::max_element(
      S.m_steps.begin(), S.m_steps.end(), [](const Step &A, const Step &B) {
        const auto WorkOf = [](const Step &Kind) {
          return coresOf(Kind.m_each) * static_cast<double>(Kind.m_count);
        };
        return WorkOf(A) < WorkOf(B);
      });
  Out.m_need = times(Widest->m_count, allocationOf(*Widest));
  for (const WorkerClass &C : m_classes) {
    if (canRun(*Widest, C))
      Out.m_capacity =
          Out.m_capacity +
          times(static_cast<std::int64_t>(C.m_count), C.m_capacity);
  }
  if (Out.m_expectedMs <= Out.m_limitMs)
    return Out;
  Out.m_accepted = false;
  Out.m_retryAfterMs = Out.m_expectedMs - Out.m_limitMs;
  return Out;
}

void Admission::add(const JobSpec &S) {
  if (isGuaranteed(S))
    m_accounts[S.m_account].m_guaranteeLeft -= acceleratorsOf(S);
  const Order O = orderOf(S);
  for (const Step &Kind : S.m_steps) {
    if (!Kind.m_longRunning)
      addWaiting(S, Kind, Kind.m_count, O);
  }
}

} // namespace pomelokeel::batch
