#pragma once

#include "base/names.h"
#include "batch/job_table.h"
#include "batch/placement.h"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace pomelokeel::batch {

/// What decides when the work exceeds the capacity. Priority: jobs run by
/// priority and due time, and none is refused for lack of capacity. CostAware:
/// the cost of delay decides, and a job that cannot be done while its result is
/// still of use is refused.
enum class OverloadPolicy { Priority, CostAware };

/// Time from acceptance until a job counts as late, and until its result is of
/// no use to the caller.
struct Objective {
  Millis m_onTimeMs = 0;
  Millis m_limitMs = 0;
};

/// From the job's critical path, and the stretch and slack of its queue.
Objective objectiveOf(const JobSpec &S);

/// Cores, with each accelerator counted as 8.
double coresOf(const Resources &R);

/// Declared work of one occurrence of a job in core-seconds.
double declaredWork(const JobSpec &S);

/// What it costs if a job is done \p DoneMs after its acceptance, in weighted
/// core-seconds: nothing if that is on time, and the value of its work if the
/// result is of no use any more. Each priority counts a quarter of the one
/// before.
double lossAt(const JobSpec &S, Millis DoneMs);

/// What it costs to delay a job by \p DelayMs that would otherwise be done
/// \p DoneMs after its acceptance. A job whose result is of no use any more
/// costs nothing to delay.
double costOfDelay(const JobSpec &S, Millis DoneMs, Millis DelayMs);

/// Ratio of actual to expected times for each queue, learned from single
/// observations. Long times count more than short ones.
class QueueRatios {
public:
  struct Means {
    double m_actual = 0;
    double m_expected = 0;
  };

  /// \p Jobs is the part of a job that is observed, \p Remembered the number of
  /// jobs that count. \p Expected must be positive.
  void observe(const std::string &Queue, double Actual, double Expected,
               double Jobs, double Remembered);
  /// 1 for a queue without observations. Bounded.
  double ratioOf(const std::string &Queue) const;
  Means meansOf(const std::string &Queue) const;

private:
  std::map<std::string, Means> m_means;
};

/// Resources as shares of a worker or a fleet: cores, memory, accelerators.
using Shares = std::array<double, 3>;

/// Rate of accepted work by priority, as a share of the fleet's capacity.
class ArrivalRates {
public:
  /// Work of \p Seconds on the whole fleet was accepted.
  void add(int Priority, const Shares &Seconds, Millis Now);
  /// Of all work more urgent than \p Priority.
  Shares above(int Priority, Millis Now) const;

private:
  struct Rate {
    Shares m_perSecond = {};
    Millis m_at = 0;
  };
  std::map<int, Rate> m_byPriority;
};

/// What admission has learned from the jobs of a service so far.
struct Experience {
  QueueRatios m_runTimes; ///< Actual to declared run times.
  QueueRatios m_waits;    ///< Actual to estimated waits.
  ArrivalRates m_arrivals;

  /// A first run that is done took \p TookMs from its placement. All tasks of a
  /// step together count as one observation.
  void noteRun(const JobSpec &Of, const Step &Kind, Millis TookMs);
  /// A job is done \p DoneMs after its acceptance.
  void noteDone(const JobState &J, Millis DoneMs);
  /// When the caller of a refused job should return, at \p EarliestMs or later.
  /// Callers of equal priority return one after the other, as the fleet does
  /// the work, of which \p Seconds are the job's. If all returned as soon as
  /// there is room for one, most would be refused again.
  Millis returnAfter(const JobSpec &Of, const Shares &Seconds,
                     Millis EarliestMs, Millis Now);

private:
  std::map<int, Millis> m_returns; ///< When the next one should, by priority.
};

/// Whether a job is accepted, and why.
struct Admittance {
  bool m_accepted = true;
  Resources m_need;          ///< Of its widest step.
  Resources m_capacity;      ///< Of the workers that may run this step.
  Millis m_backlogMs = 0;    ///< Until the work ahead leaves room for it.
  Millis m_expectedMs = 0;   ///< From acceptance until it could be done.
  Millis m_limitMs = 0;      ///< It is refused if it is expected later.
  Millis m_retryAfterMs = 0; ///< If refused: until there is room for it.
};

/// Estimates when a job could be done and refuses it if that is too late.
///
/// Work is treated as a fluid that the workers drain. Workers with the same
/// capacity and labels form a class. The remaining work of the open jobs is
/// spread over the classes that can hold it, so that they drain together. In
/// each class it counts against each resource by itself, and tasks that take
/// more than a half or a third of a worker's resource also count against the
/// number of such tasks that workers can hold. Gangs, racks and fragmentation
/// are not modelled, so the estimate tends to be too early.
class Admission {
public:
  /// \p Learned must outlive it.
  Admission(const std::string &Service, const OpenJobs &Jobs,
            const std::vector<CandidateWorker> &Workers,
            const std::map<std::string, std::int64_t> &Guarantees,
            const Experience &Learned, Millis Now, Millis WallNow);

  /// Decides on a new job. Accepts jobs of priority 0 within their account's
  /// guarantee, recurring and long-running jobs, jobs without an objective, and
  /// jobs that no present worker could hold.
  Admittance decide(const JobSpec &S, Millis Now) const;

  /// Adds a job that was accepted after the construction.
  void add(const JobSpec &S);

  /// Declared work of a job, corrected by its queue's ratio, as seconds of the
  /// whole fleet.
  Shares fleetSeconds(const JobSpec &S) const;

private:
  /// Shares of a worker's resources, then tasks that take more than a half of
  /// each, then half of those that take more than a third of each.
  static constexpr std::size_t DimensionCount = 9;
  using Demand = std::array<double, DimensionCount>;

  /// Work that runs at the same time, if there is room for it.
  struct Running {
    Demand m_busy = {};      ///< Workers.
    Demand m_remaining = {}; ///< Worker-seconds.

    void add(const Demand &Each, double Count, double Seconds);
  };

  /// Workers with the same capacity and labels.
  struct WorkerClass {
    Resources m_capacity;
    std::vector<std::string> m_labels;
    double m_count = 0;
    std::map<int, Running> m_running;
    Demand m_work = {}; ///< Worker-seconds of all work, running or waiting.
  };

  /// Order in which work is done: jobs whose result is of no use any more come
  /// last.
  struct Order {
    int m_priority = 0;
    Millis m_dueMs = 0;
    auto operator<=>(const Order &) const = default;
  };

  /// Waiting work of one step on one class, in worker-seconds.
  struct Queued {
    Order m_order;
    std::size_t m_class = 0;
    Running m_work;
  };

  /// Open work of an account in core-seconds, and its guarantee in use.
  struct Account {
    double m_work = 0;
    std::int64_t m_guaranteeLeft = 0;
  };

  void addWaitingOf(const JobState &J);
  void addWaiting(const JobSpec &S, const Step &Kind, std::int64_t Count,
                  const Order &O);
  void addRun(const JobSpec &S, const Step &Kind, const Task &T,
              const std::map<std::string_view, std::size_t> &ClassOf,
              Millis Now);
  void learnFromOpenJobs(const std::vector<const JobState *> &Open, Millis Now);
  double waitRatioOf(const JobSpec &S) const;
  double ratioOf(const JobSpec &S) const;
  double secondsOf(const JobSpec &S, const Step &Kind) const;
  bool canRun(const Step &Kind, const WorkerClass &C) const;
  static Demand demandOf(const Step &Kind, const WorkerClass &C);
  /// Seconds until one class has room for a step.
  double waitOf(const Step &Kind, std::size_t Class, const Running &Ahead,
                int Priority, double GangWorkers, const Shares &Taken) const;
  std::vector<double> waitsOf(const JobSpec &S, Millis Now) const;
  /// Seconds that the job would take alone on the fleet.
  double aloneSeconds(const JobSpec &S) const;
  double partOf(const std::string &Account) const;
  bool isGuaranteed(const JobSpec &S) const;
  Order orderOf(const JobSpec &S) const;

  const Experience &m_learned;
  /// Ratios of actual to estimated waits, with those of the open jobs.
  std::map<std::string, double> m_waitRatios;
  Millis m_wallNow;
  std::vector<WorkerClass> m_classes;
  std::vector<Queued> m_queued;
  Resources m_capacity; ///< Of all workers that accept work.
  std::map<std::string, Account> m_accounts;
};

} // namespace pomelokeel::batch

namespace pomelokeel::base {

template <> struct NameTable<batch::OverloadPolicy> {
  static constexpr std::array<std::string_view, 2> Names = {"priority",
                                                            "costAware"};
};

} // namespace pomelokeel::base
