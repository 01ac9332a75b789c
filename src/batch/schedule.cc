#include "batch/schedule.h"

#include "batch/avoidance.h"

#include <algorithm>
#include <compare>
#include <functional>
#include <optional>
#include <set>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <utility>

namespace pomelokeel::batch {
namespace {

/// How many cores one accelerator counts as when lost work is compared.
constexpr double CoresPerAccelerator = 8;
constexpr double MilliCoresPerCore = 1000;
constexpr double MsPerSecond = 1000;

/// What the result of a job is still worth to its caller if it starts now.
enum class Outlook { OnTime, Late, Useless };

/// Urgency of a unit; lower ranks come first. Guaranteed jobs have a class of
/// their own, so they may preempt jobs of priority 0 beyond a guarantee.
struct Rank {
  int m_class = 0;
  Outlook m_outlook = Outlook::OnTime;
  Millis m_dueMs = 0;
  auto operator<=>(const Rank &) const = default;
};

constexpr int GuaranteedClass = 0;
/// Priority 0 without a guarantee; lower priorities follow.
constexpr int UrgentClass = 1;

/// About how long a stopped run takes to free its resources.
constexpr Millis EndsSoonMs = 1000;

/// Share of the reclaim bound after which a guaranteed rack-local gang may span
/// racks. The rest of the bound is left for preempting other runs, sending the
/// orders and starting the tasks.
constexpr double RackLocalShare = 0.5;

/// Share of all accelerators that may stand idle for gangs without a guarantee.
constexpr double ReservedShare = 0.2;

/// Share of all accelerators, idle or not, that gangs without a guarantee may
/// reserve. Gangs beyond it wait without a reservation.
constexpr double AwaitedShare = 0.5;

/// A service of which less than this share is in use has more room than work.
constexpr double BusyShare = 0.5;
/// How often a unit must fit into kept room to use it, so that some is left for
/// the gang that keeps it.
constexpr std::int64_t MinFits = 2;
/// How long a job must have room before it uses what others keep. Its task must
/// have started when it has had room for 3 s.
constexpr Millis RoomMs = 2000;
/// How long a job waits before it may use what others keep, so that gangs that
/// start soon are not set back.
constexpr Millis KeptRoomWaitMs = 8000;
/// Longest time that a rack-local gang waits for a rack while others have room.
/// It waits for its estimated time otherwise.
constexpr Millis MaxRackWaitMs = 10000;

double weightOf(const Resources &R) {
  return static_cast<double>(R.m_milliCores) / MilliCoresPerCore +
         CoresPerAccelerator * static_cast<double>(R.m_accelerators);
}

std::int64_t acceleratorsOf(const JobSpec &S) {
  std::int64_t Sum = 0;
  for (const Step &Each : S.m_steps)
    Sum += Each.m_count * Each.m_each.m_accelerators;
  return Sum;
}

// Jobs of priority 0 that are within their account's guarantee, oldest first.
std::set<std::string> guaranteedJobs(const OpenJobs &Jobs,
                                     const Guarantees &AccountGuarantees) {
  std::vector<const JobState *> Urgent;
  for (const auto &[Id, J] : Jobs) {
    if (!isEnded(J->m_progress.m_phase) && J->m_spec.m_queue.m_priority == 0)
      Urgent.push_back(J);
  }
  std::sort(Urgent.begin(), Urgent.end(), [](const auto *A, const auto *B) {
    return std::tie(A->m_spec.m_acceptedMs, A->m_spec.m_id) <
           std::tie(B->m_spec.m_acceptedMs, B->m_spec.m_id);
  });
  Guarantees Left = AccountGuarantees;
  std::set<std::string> Out;
  for (const auto *J : Urgent) {
    std::int64_t &Free = Left[J->m_spec.m_account];
    const std::int64_t Need = acceleratorsOf(J->m_spec);
    if (Need > Free)
      continue;
    Free -= Need;
    Out.insert(J->m_spec.m_id);
  }
  return Out;
}

struct Candidate {
  Rank m_rank;
  Unit m_unit;
};

/// Longest time that counts for the order of jobs, in ms: 30,000 years.
constexpr double MaxStretchedMs = 1e15;

// When an occurrence of a job is due. A guarantee is a bound from acceptance,
// so guaranteed jobs ignore the declared estimates, which may be far off.
Millis dueOf(const JobSpec &S, int Class, std::size_t Occurrence) {
  if (Class == GuaranteedClass)
    return S.m_acceptedMs;
  const Millis Begin =
      S.m_occurrenceCount > 0
          ? S.m_firstMs + static_cast<Millis>(Occurrence) * S.m_intervalMs
          : S.m_acceptedMs;
  const double Stretched =
      S.m_queue.m_stretch * static_cast<double>(criticalPathMs(S));
  // A greater number, or one that is not a number, cannot be converted.
  const bool Fits = Stretched >= 0 && Stretched < MaxStretchedMs;
  return Begin + S.m_queue.m_slackMs +
         static_cast<Millis>(Fits ? Stretched : MaxStretchedMs);
}

/// A job counts as late if it would miss its due time by more than this share
/// of its declared time, because declared times are rough.
constexpr double LateTolerance = 0.5;

Outlook outlookOf(const JobSpec &S, Millis DueMs, Millis WallNow) {
  const auto Path = static_cast<double>(criticalPathMs(S));
  const Objective O = objectiveOf(S);
  const double OverdueMs = static_cast<double>(WallNow - DueMs) + Path;
  if (OverdueMs > static_cast<double>(O.m_limitMs - O.m_onTimeMs))
    return Outlook::Useless;
  return OverdueMs > Path * LateTolerance ? Outlook::Late : Outlook::OnTime;
}

int classOf(const JobSpec &S, const std::set<std::string> &Guaranteed) {
  return Guaranteed.contains(S.m_id) ? GuaranteedClass
                                     : UrgentClass + S.m_queue.m_priority;
}

// Finds workers by their agent. The workers must outlive it.
class WorkerIndex {
public:
  explicit WorkerIndex(const std::vector<CandidateWorker> &Workers)
      : m_workers(Workers) {
    for (std::size_t I = 0; I < Workers.size(); ++I)
      m_byAgent[Workers[I].m_agent] = I;
  }

  /// The present worker of an agent.
  std::optional<std::size_t> find(const std::string &Agent) const {
    const auto It = m_byAgent.find(Agent);
    return It == m_byAgent.end() ? std::nullopt : std::optional(It->second);
  }

  /// The worker of a placed task, unless it is an earlier incarnation.
  std::optional<std::size_t> workerOf(const Task &T) const {
    const auto At = find(T.m_agent);
    return At && m_workers[*At].m_workerIncarnation == T.m_workerIncarnation
               ? At
               : std::nullopt;
  }

  std::size_t size() const { return m_workers.size(); }

private:
  const std::vector<CandidateWorker> &m_workers;
  std::unordered_map<std::string_view, std::size_t> m_byAgent;
};

// Tasks of a step that each worker runs.
std::vector<int> runningByWorker(const std::vector<Task> &Tasks,
                                 const WorkerIndex &Index) {
  std::vector<int> Out(Index.size(), 0);
  for (const Task &T : Tasks) {
    if (T.m_phase != TaskPhase::Placed)
      continue;
    // A run of an earlier incarnation may still be started in the present one
    // by a late order.
    if (const auto At = Index.find(T.m_agent))
      ++Out[*At];
  }
  return Out;
}

void addUnits(const JobState &J, const std::set<std::string> &Guaranteed,
              const WorkerIndex &Index, const PassPolicy &Policy,
              std::vector<Candidate> &Out) {
  const auto &Occurrences = J.m_progress.m_occurrences;
  for (std::size_t K = 0; K < Occurrences.size(); ++K) {
    for (std::size_t S = 0; S < Occurrences[K].size(); ++S) {
      const Step &Kind = J.m_spec.m_steps[S];
      const auto &Tasks = Occurrences[K][S];
      std::vector<int> Waiting;
      for (std::size_t I = 0; I < Tasks.size(); ++I) {
        if (Tasks[I].m_phase == TaskPhase::Waiting)
          Waiting.push_back(static_cast<int>(I));
      }
      if (Waiting.empty() || (Kind.m_gang && Waiting.size() < Tasks.size()) ||
          !isReady(J.m_spec, Occurrences[K], static_cast<int>(S)))
        continue;
      Unit U;
      U.m_avoid = Tasks[static_cast<std::size_t>(Waiting.back())].m_avoid;
      if (Kind.m_perWorker > 0)
        U.m_running = runningByWorker(Tasks, Index);
      U.m_name = {J.m_spec.m_id, static_cast<int>(K), static_cast<int>(S),
                  Waiting.front()};
      U.m_indices = std::move(Waiting);
      U.m_spec = &J.m_spec;
      U.m_step = &Kind;
      const int Class = classOf(J.m_spec, Guaranteed);
      const Millis Due = dueOf(J.m_spec, Class, K);
      const bool ByOutlook = Policy.m_overload == OverloadPolicy::CostAware &&
                             Class != GuaranteedClass && Kind.m_gang;
      const Outlook View = ByOutlook
                               ? outlookOf(J.m_spec, Due, Policy.m_wallNow)
                               : Outlook::OnTime;
      Out.push_back({{Class, View, Due}, std::move(U)});
    }
  }
}

// A run or gang that may be preempted, with its tasks.
struct Stoppable {
  int m_class = 0;
  int m_preemptions = 0; ///< So far, of the task or the gang.
  Victim m_victim;
  std::vector<TaskName> m_tasks;
};

struct Stoppables {
  Victims m_victims;
  std::vector<Stoppable *> m_owners; ///< Owner of each victim.
};

double costOf(const Step &S, const Task &T, Millis Now) {
  // A stop takes a checkpoint where the step has them.
  if (S.m_checkpoints || !T.m_running)
    return 0;
  return weightOf(S.m_each) * static_cast<double>(Now - T.m_placedAt) /
         MsPerSecond;
}

void addStoppable(const JobState &J, const std::set<std::string> &Guaranteed,
                  const WorkerIndex &Index, Millis Now,
                  std::vector<Stoppable> &Out) {
  const auto &Occurrences = J.m_progress.m_occurrences;
  for (std::size_t K = 0; K < Occurrences.size(); ++K) {
    for (std::size_t S = 0; S < Occurrences[K].size(); ++S) {
      const Step &Kind = J.m_spec.m_steps[S];
      std::optional<Stoppable> Gang;
      for (std::size_t I = 0; I < Occurrences[K][S].size(); ++I) {
        const Task &T = Occurrences[K][S][I];
        if (T.m_phase != TaskPhase::Placed || T.m_stop != StopReason::None ||
            endsSoon(T, Now))
          continue;
        const auto At = Index.workerOf(T);
        if (!At)
          continue;
        Stoppable One;
        One.m_class = classOf(J.m_spec, Guaranteed);
        One.m_victim.m_freed = {{*At, allocationOf(Kind)}};
        One.m_victim.m_cost = costOf(Kind, T, Now);
        One.m_preemptions = T.m_preemptions;
        One.m_tasks = {{J.m_spec.m_id, static_cast<int>(K), static_cast<int>(S),
                        static_cast<int>(I)}};
        if (!Kind.m_gang) {
          Out.push_back(std::move(One));
          continue;
        }
        if (!Gang) {
          Gang = std::move(One);
          continue;
        }
        Gang->m_victim.m_freed.push_back(One.m_victim.m_freed.front());
        Gang->m_victim.m_cost += One.m_victim.m_cost;
        Gang->m_preemptions = std::max(Gang->m_preemptions, One.m_preemptions);
        Gang->m_tasks.push_back(One.m_tasks.front());
      }
      if (Gang)
        Out.push_back(std::move(*Gang));
    }
  }
}

// Declared work of a unit in core-seconds.
double workOf(const Unit &U) {
  return weightOf(U.m_step->m_each) * static_cast<double>(U.m_indices.size()) *
         static_cast<double>(U.m_step->m_estimateMs) / MsPerSecond;
}

Unit singleTaskUnit(const Unit &All, int Index, const Task &T) {
  Unit One = All;
  One.m_indices = {Index};
  One.m_name.m_index = Index;
  One.m_avoid = T.m_avoid;
  return One;
}

// The properties that decide whether a unit fits.
struct Shape {
  Resources m_each;
  std::size_t m_count = 0;
  bool m_oneRack = false;
  int m_class = 0;
  std::string m_label;
  std::string m_service;
  double m_work = 0; ///< Most work that it may preempt; 0: not limited.
};

// True if a unit of shape A certainly does not fit when one of shape B does
// not.
bool needsAtLeast(const Shape &A, const Shape &B) {
  if (A.m_class != B.m_class || A.m_label != B.m_label ||
      A.m_service != B.m_service || A.m_oneRack != B.m_oneRack ||
      A.m_work > B.m_work)
    return false;
  // Which racks could hold a rack-local gang depends on its exact size.
  if (A.m_oneRack)
    return A.m_count == B.m_count && fits(B.m_each, A.m_each) &&
           fits(A.m_each, B.m_each);
  return A.m_count >= B.m_count && fits(B.m_each, A.m_each);
}

bool hasPlacedTasks(const JobState &J) {
  bool Out = false;
  forEachTask(J.m_progress, [&](int, int, int, const Task &T) {
    Out = Out || T.m_phase == TaskPhase::Placed;
  });
  return Out;
}

Shape shapeOf(const Unit &U, const Rank &R) {
  return {allocationOf(*U.m_step),
          U.m_indices.size(),
          U.m_step->m_gang && U.m_step->m_rackLocal && !U.m_anyRack,
          R.m_class,
          U.m_step->m_label,
          U.m_spec->m_queue.m_service,
          R.m_class == UrgentClass ? workOf(U) : 0};
}

bool isKnownNotToFit(const std::vector<Shape> &Failed, const Shape &Wanted) {
  return std::any_of(Failed.begin(), Failed.end(),
                     [&](const Shape &B) { return needsAtLeast(Wanted, B); });
}

using Agents = std::vector<std::string>;

/// The workers on which a task failed, and those of them that it is kept off.
struct Avoidance {
  Agents m_all;
  Agents m_long;  ///< With Patience::Long.
  Agents m_short; ///< With Patience::Short.
  bool m_lastAttempt = false;
  auto operator<=>(const Avoidance &) const = default;
};

// One scheduling pass over all waiting units, most urgent first.
class SchedulingPass {
public:
  SchedulingPass(const OpenJobs &Jobs, std::vector<CandidateWorker> Workers,
                 const Guarantees &AccountGuarantees, Millis ReclaimMs,
                 Millis Now, const PassPolicy &Policy)
      : m_jobs(Jobs), m_fleet(makeFleet(std::move(Workers))),
        m_index(m_fleet.m_workers),
        m_guaranteed(guaranteedJobs(Jobs, AccountGuarantees)),
        m_reclaimMs(ReclaimMs), m_now(Now), m_policy(Policy) {
    double All = 0;
    for (const CandidateWorker &W : m_fleet.m_workers)
      All += static_cast<double>(W.m_capacity.m_accelerators);
    m_idleBudget = All * ReservedShare;
    m_awaitedBudget = All * AwaitedShare;
    for (const CandidateWorker &W : m_fleet.m_workers) {
      m_anyLasting = m_anyLasting || W.m_lasting != Resources();
      if (!W.m_up)
        continue;
      Load &L = m_loads[W.m_service];
      L.m_capacity = L.m_capacity + W.m_capacity;
      L.m_inUse = L.m_inUse + (W.m_capacity - W.m_free);
    }
    m_kept.resize(m_fleet.m_workers.size());
  }

  Plan run() {
    std::vector<Candidate> Units;
    for (const auto &[Id, J] : m_jobs) {
      if (!isEnded(J->m_progress.m_phase))
        addUnits(*J, m_guaranteed, m_index, m_policy, Units);
    }
    std::stable_sort(Units.begin(), Units.end(),
                     [](const Candidate &A, const Candidate &B) {
                       return A.m_rank < B.m_rank;
                     });
    for (Candidate &C : Units) {
      if (C.m_unit.m_step->m_gang) {
        const Task &T = tasksOf(C.m_unit).back();
        C.m_unit.m_excluded = excludedFor(C.m_unit, avoidanceOf(C.m_unit, T));
        tryUnit(C.m_unit, C.m_rank);
        continue;
      }
      startTasks(C);
    }
    return std::move(m_plan);
  }

private:
  // Starts as many tasks of the unit as fit. The tasks differ only in the
  // agents that they may not use yet. If one of them does not fit, only the
  // workers that are excluded for it may have room, and tasks for which these
  // are excluded too are not tried.
  void startTasks(Candidate &C) {
    const auto &Tasks = tasksOf(C.m_unit);
    std::map<Avoidance, Agents> Known; // What is excluded.
    std::optional<Agents> MayHaveRoom; // Any if not set.
    for (const int I : C.m_unit.m_indices) {
      if (MayHaveRoom && MayHaveRoom->empty())
        return;
      const Task &T = Tasks[static_cast<std::size_t>(I)];
      const auto [Found, New] = Known.try_emplace(avoidanceOf(C.m_unit, T));
      Agents &Excluded = Found->second;
      if (New)
        Excluded = excludedFor(singleTaskUnit(C.m_unit, I, T), Found->first);
      const auto IsExcluded = [&](const std::string &Agent) {
        return std::find(Excluded.begin(), Excluded.end(), Agent) !=
               Excluded.end();
      };
      if (MayHaveRoom &&
          std::all_of(MayHaveRoom->begin(), MayHaveRoom->end(), IsExcluded))
        continue;
      Unit One = singleTaskUnit(C.m_unit, I, T);
      One.m_excluded = Excluded;
      const auto At = tryUnit(One, C.m_rank);
      if (At && !C.m_unit.m_running.empty())
        ++C.m_unit.m_running[At->front()];
      if (At)
        continue;
      if (MayHaveRoom)
        std::erase_if(*MayHaveRoom, std::not_fn(IsExcluded));
      else
        MayHaveRoom = Excluded;
    }
  }

  const std::vector<Task> &tasksOf(const Unit &U) const {
    const TaskName &Name = U.m_name;
    return m_jobs.at(Name.m_job)
        ->m_progress.m_occurrences[static_cast<std::size_t>(Name.m_occurrence)]
                                  [static_cast<std::size_t>(Name.m_step)];
  }

  // What the workers that a task may not use yet depend on within its step.
  // Many tasks of a wide step have it in common.
  Avoidance avoidanceOf(const Unit &U, const Task &T) const {
    Avoidance Out;
    // Long-running tasks have no limited number of attempts and need not wait.
    if (T.m_avoid.empty() || U.m_step->m_longRunning)
      return Out;
    Out.m_lastAttempt = T.m_failures + 1 >= U.m_spec->m_queue.m_attempts;
    for (const AvoidedWorker &A : T.m_avoid) {
      Out.m_all.push_back(A.m_agent);
      const auto At = m_index.find(A.m_agent);
      if (!At)
        continue;
      const CandidateWorker &W = m_fleet.m_workers[*At];
      if (keepsOff(A, W, Patience::Long, m_now))
        Out.m_long.push_back(A.m_agent);
      if (keepsOff(A, W, Patience::Short, m_now))
        Out.m_short.push_back(A.m_agent);
    }
    return Out;
  }

  // The unit is kept off workers on which it failed for a limited time: a short
  // one if its job stands still on a fleet with room. Losing the last attempt
  // loses the job, so it waits longer then if that helps.
  Agents excludedFor(const Unit &Of, const Avoidance &A) {
    if (A.m_long.empty())
      return {};
    Unit U = Of;
    U.m_excluded = A.m_long;
    if (!mayWaitForOthers(U, m_fleet))
      return {};
    if (!hasMoreRoomThanWork(*U.m_spec) || !standsStill(U.m_name.m_job) ||
        (A.m_lastAttempt && fitsSoonElsewhere(U)))
      return A.m_long;
    U.m_excluded = A.m_short;
    return mayWaitForOthers(U, m_fleet) ? A.m_short : Agents();
  }

  // True if no task of the job was placed before this pass.
  bool standsStill(const std::string &Job) {
    const auto [It, New] = m_standsStill.try_emplace(Job, false);
    if (New)
      It->second = !hasPlacedTasks(*m_jobs.at(Job));
    return It->second;
  }

  // True if other workers are expected to have room for the unit before it may
  // use those again that are excluded.
  bool fitsSoonElsewhere(const Unit &U) {
    if (!m_knownReleases) {
      m_knownReleases.emplace(m_fleet.m_workers.size());
      for (const auto &[Id, J] : m_jobs)
        addReleases(*J, &SchedulingPass::knownRemainingMs, *m_knownReleases);
      sortReleases(*m_knownReleases);
    }
    const auto Fit = placeEarliest(U, m_fleet, *m_knownReleases);
    return Fit &&
           Fit->m_inMs < exclusionLeftMs(U.m_avoid, Patience::Long, m_now);
  }

  // Starts the unit if it fits now. Otherwise it keeps resources for the unit
  // that are becoming free, preempting other runs if necessary. Returns the
  // workers only if the unit starts.
  std::optional<Assignment> tryUnit(const Unit &U, const Rank &R) {
    const Shape Wanted = shapeOf(U, R);
    // The limit per worker and excluded workers are not part of the shape.
    const bool ByShape = U.m_step->m_perWorker == 0 && U.m_excluded.empty();
    if (!isKnownNotToFit(m_notFittingNow, Wanted)) {
      if (auto At = place(U, m_fleet, Horizon::Now)) {
        start(U, *At);
        return At;
      }
      if (ByShape)
        m_notFittingNow.push_back(Wanted);
    }
    if (auto At = startWithRoom(U, Wanted, ByShape))
      return At;
    if (!isKnownNotToFit(m_notFittingSoon, Wanted)) {
      auto At = place(U, m_fleet, Horizon::Soon);
      if (!At && R.m_class <= UrgentClass && preempt(U, R))
        At = place(U, m_fleet, Horizon::Soon);
      if (At) {
        noteLongWait(U, WaitReason::Freeing);
        keep(U, *At, Horizon::Soon,
             U.m_step->m_gang && R.m_class > UrgentClass);
        return std::nullopt;
      }
      if (ByShape)
        m_notFittingSoon.push_back(Wanted);
    }
    if (shouldSpanRacks(U, R) || isHeldOffRacks(U)) {
      Unit Spread = U;
      Spread.m_anyRack = true;
      return tryUnit(Spread, R);
    }
    noteLongWait(U, U.m_step->m_gang ? reserve(U, R) : WaitReason::NoRoom);
    return std::nullopt;
  }

  void start(const Unit &U, const Assignment &At) {
    allocate(U, At, Horizon::Now, m_fleet);
    Resources &InUse = m_loads[U.m_spec->m_queue.m_service].m_inUse;
    for (std::size_t I = 0; I < At.size(); ++I)
      InUse = InUse + allocationOf(*U.m_step);
    m_plan.m_starts.push_back({U, At});
  }

  // Starts a unit whose job has had room for RoomMs and nothing at work,
  // although the room is kept for gangs, or is on more than one rack, where a
  // gang is slower. Gangs keep room for as long as they wait for the rest, one
  // after another, and on a fleet that is not busy nobody else needs to wait
  // for that.
  std::optional<Assignment> startWithRoom(const Unit &U, Shape Wanted,
                                          bool ByShape) {
    const JobState &J = *m_jobs.at(U.m_name.m_job);
    const Millis WaitedMs = m_now - J.m_acceptedAt;
    if (WaitedMs < KeptRoomWaitMs || m_lentTo.contains(U.m_name.m_job) ||
        !hasMoreRoomThanWork(*U.m_spec) || hasPlacedTasks(J))
      return std::nullopt;
    const bool MaySpan = Wanted.m_oneRack && hasWaitedForRack(U);
    Wanted.m_oneRack = Wanted.m_oneRack && !MaySpan;
    if ((!m_anyKept && !MaySpan) || isKnownNotToFit(m_notFittingKept, Wanted))
      return std::nullopt;
    Unit AnyRack = U;
    AnyRack.m_anyRack = true;
    lendKept(1);
    auto At = place(U, m_fleet, Horizon::Now);
    if (!At && MaySpan)
      At = place(AnyRack, m_fleet, Horizon::Now);
    if (At && fitOf(AnyRack, m_fleet).m_now <
                  MinFits * static_cast<std::int64_t>(At->size()))
      At.reset();
    lendKept(-1);
    if (!At) {
      if (ByShape)
        m_notFittingKept.push_back(Wanted);
      return std::nullopt;
    }
    m_plan.m_haveRoom.insert(U.m_name.m_job);
    if (J.m_roomSince == 0 || m_now - J.m_roomSince < RoomMs)
      return std::nullopt;
    m_lentTo.insert(U.m_name.m_job);
    start(U, *At);
    return At;
  }

  // True if less than half of a service's cores or accelerators are in use.
  bool hasMoreRoomThanWork(const JobSpec &S) {
    const Load &L = m_loads[S.m_queue.m_service];
    const auto Idle = [](std::int64_t InUse, std::int64_t Capacity) {
      return static_cast<double>(InUse) <
             static_cast<double>(Capacity) * BusyShare;
    };
    return Idle(L.m_inUse.m_milliCores, L.m_capacity.m_milliCores) ||
           Idle(L.m_inUse.m_accelerators, L.m_capacity.m_accelerators);
  }

  // Keeps resources for a unit that cannot start yet. What is free of them now
  // may be lent.
  void keep(const Unit &U, const Assignment &At, Horizon When, bool MayLend) {
    std::map<std::size_t, Resources> Before;
    for (const std::size_t I : At)
      Before[I] = m_fleet.m_workers[I].m_free;
    allocate(U, At, When, m_fleet);
    if (!MayLend)
      return;
    m_anyKept = true;
    for (const auto &[I, Free] : Before)
      m_kept[I] = m_kept[I] + (Free - m_fleet.m_workers[I].m_free);
  }

  // Gives kept resources back to the free ones, or takes them again.
  void lendKept(std::int64_t Sign) {
    for (std::size_t I = 0; I < m_kept.size(); ++I) {
      const Resources &R = m_kept[I];
      CandidateWorker &W = m_fleet.m_workers[I];
      W.m_free =
          W.m_free + Resources{Sign * R.m_milliCores, Sign * R.m_memoryMb,
                               Sign * R.m_accelerators};
    }
  }

  void noteLongWait(const Unit &U, WaitReason Reason) {
    constexpr std::size_t MaxOfAPass = 8;
    const JobState &J = *m_jobs.at(U.m_name.m_job);
    const Millis Since = std::max(J.m_acceptedAt, J.m_waitLoggedAt);
    if (m_now - Since < WaitLogEveryMs ||
        m_plan.m_longWaits.size() >= MaxOfAPass ||
        (!m_plan.m_longWaits.empty() &&
         m_plan.m_longWaits.back().m_unit.m_name.m_job == U.m_name.m_job))
      return;
    m_plan.m_longWaits.push_back(
        {U, Reason, fitOf(U, m_fleet), m_loads[U.m_spec->m_queue.m_service]});
  }

  // True for a guaranteed rack-local gang whose reclaim bound is near.
  bool shouldSpanRacks(const Unit &U, const Rank &R) const {
    const JobState &J = *m_jobs.at(U.m_name.m_job);
    return R.m_class == GuaranteedClass && !U.m_anyRack && U.m_step->m_gang &&
           U.m_step->m_rackLocal &&
           static_cast<double>(m_now - J.m_acceptedAt) >
               static_cast<double>(m_reclaimMs) * RackLocalShare;
  }

  bool hasWaitedForRack(const Unit &U) const {
    return m_now - m_jobs.at(U.m_name.m_job)->m_acceptedAt >=
           std::min(U.m_step->m_estimateMs, MaxRackWaitMs);
  }

  // True for a rack-local gang that has waited for a rack, while tasks that
  // last take up a part of each. None becomes free by itself.
  bool isHeldOffRacks(const Unit &U) const {
    return m_anyLasting && U.m_step->m_gang && U.m_step->m_rackLocal &&
           !U.m_anyRack && hasWaitedForRack(U) &&
           !fitsBesideLasting(U, m_fleet);
  }

  // Reserves the workers where the gang fits soonest against later units.
  // Without a reservation small units take all resources that become free, and
  // a large gang never finds enough of them at the same time.
  WaitReason reserve(const Unit &U, const Rank &R) {
    const bool Guaranteed = R.m_class == GuaranteedClass;
    if (!Guaranteed && (m_idleBudget <= 0 || m_awaitedBudget <= 0))
      return WaitReason::NoReserve;
    const auto Fit = placeEarliest(U, m_fleet, releases(R));
    if (!Fit)
      return WaitReason::NotPossible;
    const Assignment &At = Fit->m_workers;
    const std::set<std::size_t> Workers(At.begin(), At.end());
    if (!Guaranteed) {
      for (const std::size_t I : Workers)
        m_idleBudget -= static_cast<double>(std::max<std::int64_t>(
            m_fleet.m_workers[I].m_free.m_accelerators, 0));
    }
    keep(U, At, Horizon::Later, !Guaranteed);
    m_awaitedBudget -= static_cast<double>(U.m_step->m_each.m_accelerators) *
                       static_cast<double>(U.m_indices.size());
    return WaitReason::Reserved;
  }

  // When the runs of each worker are expected to end. Runs that a unit of this
  // rank may preempt count as ending at once.
  const Releases &releases(const Rank &R) {
    const bool Stops = R.m_class <= UrgentClass;
    const int Key = Stops ? R.m_class : UrgentClass + 1;
    const auto [It, New] = m_releases.try_emplace(Key);
    if (!New)
      return It->second;
    It->second.resize(m_fleet.m_workers.size());
    for (const auto &[Id, J] : m_jobs) {
      const bool Stoppable =
          Stops && classOf(J->m_spec, m_guaranteed) > R.m_class;
      addReleases(
          *J, Stoppable ? &SchedulingPass::atOnce : &SchedulingPass::expectedMs,
          It->second);
    }
    sortReleases(It->second);
    return It->second;
  }

  static void sortReleases(Releases &R) {
    for (auto &OfWorker : R)
      std::stable_sort(OfWorker.begin(), OfWorker.end(),
                       [](const Release &A, const Release &B) {
                         return A.m_inMs < B.m_inMs;
                       });
  }

  /// Time until a run ends, or nothing if it does not count as ending.
  using EndEstimate = std::optional<Millis> (SchedulingPass::*)(
      const Step &, const Task &) const;

  void addReleases(const JobState &J, EndEstimate EndsIn, Releases &Out) const {
    forEachTask(J.m_progress, [&](int, int S, int, const Task &T) {
      if (T.m_phase != TaskPhase::Placed || T.m_stop != StopReason::None ||
          endsSoon(T, m_now))
        return;
      const auto At = m_index.workerOf(T);
      if (!At)
        return;
      const Step &Kind = J.m_spec.m_steps[static_cast<std::size_t>(S)];
      if (const auto InMs = (this->*EndsIn)(Kind, T))
        Out[*At].push_back({*InMs, allocationOf(Kind)});
    });
  }

  std::optional<Millis> atOnce(const Step &, const Task &) const { return 0; }

  // Estimated from the progress of the run, or the declared time if it has made
  // none.
  std::optional<Millis> expectedMs(const Step &S, const Task &T) const {
    const Millis Left = estimateRemainingMs(T, m_now);
    return Left >= 0 ? Left : S.m_estimateMs;
  }

  // Like expectedMs(), without runs that last and those that should have ended.
  std::optional<Millis> knownRemainingMs(const Step &S, const Task &T) const {
    const Millis ByProgress = estimateRemainingMs(T, m_now);
    const Millis Left =
        ByProgress >= 0 ? ByProgress : S.m_estimateMs - (m_now - T.m_placedAt);
    return S.m_longRunning || Left <= 0 ? std::nullopt : std::optional(Left);
  }

  bool preempt(const Unit &U, const Rank &R) {
    if (!m_stoppables) {
      m_stoppables.emplace();
      for (const auto &[Id, J] : m_jobs)
        addStoppable(*J, m_guaranteed, m_index, m_now, *m_stoppables);
      std::stable_sort(m_stoppables->begin(), m_stoppables->end(),
                       [](const Stoppable &A, const Stoppable &B) {
                         return A.m_victim.m_cost < B.m_victim.m_cost;
                       });
    }
    bool Limited = m_policy.m_overload == OverloadPolicy::CostAware;
    auto Chosen = chooseVictims(U, m_fleet,
                                stoppablesBelow(R.m_class, Limited).m_victims);
    // A guarantee is a promise, so it comes before the limit.
    if (!Chosen && Limited && R.m_class == GuaranteedClass) {
      Limited = false;
      Chosen = chooseVictims(U, m_fleet,
                             stoppablesBelow(R.m_class, Limited).m_victims);
    }
    if (!Chosen)
      return false;
    const Stoppables &Lower = stoppablesBelow(R.m_class, Limited);
    double Lost = 0;
    for (const std::size_t V : *Chosen)
      Lost += Lower.m_victims.m_all[V]->m_cost;
    // Losing more work than the unit's own makes the fleet finish later, so a
    // unit without a guarantee waits for a reservation instead.
    if (R.m_class != GuaranteedClass && Lost > workOf(U))
      return false;
    m_notFittingSoon.clear();
    m_plan.m_lostCoreSeconds += Lost;
    for (const std::size_t V : *Chosen) {
      Stoppable &S = *Lower.m_owners[V];
      for (const auto &[At, Freed] : S.m_victim.m_freed)
        m_fleet.m_workers[At].m_freeSoon =
            m_fleet.m_workers[At].m_freeSoon + Freed;
      std::move(S.m_tasks.begin(), S.m_tasks.end(),
                std::back_inserter(m_plan.m_preempted));
      S.m_tasks.clear();
    }
    m_stoppablesBelow.clear();
    return true;
  }

  // Runs that a unit of this class may preempt and that are not preempted yet.
  // If Limited, without those that were preempted too often before.
  const Stoppables &stoppablesBelow(int Class, bool Limited) {
    const auto [It, New] = m_stoppablesBelow.try_emplace({Class, Limited});
    Stoppables &Out = It->second;
    if (!New)
      return Out;
    std::vector<const Victim *> Cheapest;
    for (Stoppable &S : *m_stoppables) {
      if (S.m_class <= Class || S.m_tasks.empty() ||
          (Limited && S.m_preemptions >= MaxPreemptions))
        continue;
      Cheapest.push_back(&S.m_victim);
      Out.m_owners.push_back(&S);
    }
    Out.m_victims = makeVictims(std::move(Cheapest), m_fleet);
    return Out;
  }

  const OpenJobs &m_jobs;
  Fleet m_fleet;
  WorkerIndex m_index;
  std::set<std::string> m_guaranteed;
  Millis m_reclaimMs;
  Millis m_now;
  PassPolicy m_policy;
  // Accelerators that gangs without a guarantee may still reserve.
  double m_idleBudget = 0;    ///< Idle ones.
  double m_awaitedBudget = 0; ///< All, idle or not.
  /// Free resources that are kept for gangs and may be lent, by worker.
  std::vector<Resources> m_kept;
  bool m_anyKept = false;
  bool m_anyLasting = false; ///< Long-running tasks use a part of a worker.
  std::unordered_map<std::string, bool> m_standsStill; ///< Known so far.
  std::set<std::string> m_lentTo; ///< Jobs with a unit that uses kept room.
  std::unordered_map<std::string_view, Load> m_loads; ///< By service.
  std::map<int, Releases> m_releases;      ///< By class of the waiting unit.
  std::optional<Releases> m_knownReleases; ///< Of runs whose end is in sight.
  std::optional<std::vector<Stoppable>> m_stoppables; // Built on first use.
  /// By class of the waiting unit, and whether the number of preemptions is
  /// limited. Cleared by a preemption.
  std::map<std::pair<int, bool>, Stoppables> m_stoppablesBelow;
  /// Shapes that did not fit the free resources, and shapes that did not fit
  /// after preemption either. Free resources only shrink during a pass, except
  /// that a preemption adds to those of Horizon::Soon and clears the second
  /// list.
  std::vector<Shape> m_notFittingNow;
  std::vector<Shape> m_notFittingSoon;
  std::vector<Shape> m_notFittingKept;
  Plan m_plan;
};

} // namespace

Millis estimateRemainingMs(const Task &T, Millis Now) {
  constexpr int Whole = 100;
  const int Gained = T.m_percent - T.m_firstPercent;
  if (!T.m_running || Gained <= 0)
    return -1;
  const Millis Took = T.m_progressAt - T.m_firstSeenAt;
  return std::max<Millis>(
      Took * (Whole - T.m_percent) / Gained - (Now - T.m_progressAt), 0);
}

bool endsSoon(const Task &T, Millis Now) {
  const Millis Left = estimateRemainingMs(T, Now);
  // A run that should have ended by now may be stuck; it does not count.
  return Left > 0 && Left <= EndsSoonMs;
}

Plan plan(const OpenJobs &Jobs, const std::vector<CandidateWorker> &Workers,
          const Guarantees &AccountGuarantees, Millis ReclaimMs, Millis Now,
          const PassPolicy &Policy) {
  return SchedulingPass(Jobs, Workers, AccountGuarantees, ReclaimMs, Now,
                        Policy)
      .run();
}

} // namespace pomelokeel::batch
