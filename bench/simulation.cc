#include "simulation.h"

#include <algorithm>
#include <bit>
#include <unordered_map>

namespace pomelokeel::bench {
namespace {

constexpr Millis MinStepMs = 500;
// Time that a reclaimed job takes to write its checkpoint and stop.
constexpr Millis ReclaimMs = 2000;
constexpr Millis EndOfTime = 100LL * 3600 * 1000;

// A running job with the end that the scheduler does not see.
struct RunningJob {
  std::size_t m_jobIndex = 0; ///< Index into the jobs of the stream.
  Millis m_startMs = 0;
  Millis m_endMs = 0;
  bool m_reclaimed = false; ///< At m_endMs it is requeued instead of completed.
};

class Simulation {
public:
  Simulation(const JobStream &Stream, const model::PlacementRule &Rule)
      : m_stream(Stream) {
    m_snapshot.m_rule = Rule;
    m_snapshot.m_accounts = Stream.m_accounts;
    m_snapshot.m_workers = Stream.m_workers;
    for (std::size_t I = 0; I < Stream.m_jobs.size(); ++I) {
      m_jobIndexById[Stream.m_jobs[I].m_job.m_id] = I;
      m_remainingMs.push_back(Stream.m_jobs[I].m_actualRunMs);
    }
  }

  SimulationResult run();

private:
  void submitDueJobs();
  void cancelDueJobs();
  void applyOutages();
  void endDueJobs();
  void removeRunning(std::size_t Index);
  void requeue(std::size_t JobIndex, Millis DelayMs);
  void applyPlan(const sched::Plan &P);
  void start(const sched::PlaceJob &P);
  void measureFragmentation(Millis UntilMs);
  Millis nextEventMs() const;

  const JobStream &m_stream;
  sched::Snapshot m_snapshot;
  std::vector<RunningJob> m_runningJobs; ///< Parallel to m_snapshot.m_running.
  std::unordered_map<std::string, std::size_t> m_jobIndexById;
  std::size_t m_nextJob = 0; ///< First job not yet submitted.
  sched::RunTimeEstimates m_estimates;
  std::vector<Millis> m_remainingMs; ///< Run time left, by index of the job.
  SimulationResult m_result;
};

void Simulation::submitDueJobs() {
  for (; m_nextJob < m_stream.m_jobs.size() &&
         m_stream.m_jobs[m_nextJob].m_job.m_submittedMs <= m_snapshot.m_nowMs;
       ++m_nextJob)
    m_snapshot.m_waiting.push_back(m_stream.m_jobs[m_nextJob].m_job);
}

void Simulation::cancelDueJobs() {
  const auto Cancelled = [&](std::size_t JobIndex) {
    const Millis At = m_stream.m_jobs[JobIndex].m_cancelMs;
    return At > 0 && At <= m_snapshot.m_nowMs;
  };
  std::erase_if(m_snapshot.m_waiting, [&](const sched::WaitingView &J) {
    return Cancelled(m_jobIndexById.at(J.m_id));
  });
  for (std::size_t I = m_runningJobs.size(); I-- > 0;) {
    if (Cancelled(m_runningJobs[I].m_jobIndex))
      removeRunning(I);
  }
}

void Simulation::removeRunning(std::size_t Index) {
  m_runningJobs.erase(m_runningJobs.begin() +
                      static_cast<std::ptrdiff_t>(Index));
  m_snapshot.m_running.erase(m_snapshot.m_running.begin() +
                             static_cast<std::ptrdiff_t>(Index));
}

// Puts the job back into the queue, which is in order of submission.
void Simulation::requeue(std::size_t JobIndex, Millis DelayMs) {
  sched::WaitingView J = m_stream.m_jobs[JobIndex].m_job;
  J.m_notBeforeMs = m_snapshot.m_nowMs + DelayMs;
  const auto At =
      std::upper_bound(m_snapshot.m_waiting.begin(), m_snapshot.m_waiting.end(),
                       J, [](const auto &L, const auto &R) {
                         return L.m_submittedMs < R.m_submittedMs;
                       });
  m_snapshot.m_waiting.insert(At, std::move(J));
}

void Simulation::applyOutages() {
  for (sched::WorkerView &W : m_snapshot.m_workers) {
    const bool Down =
        std::any_of(m_stream.m_outages.begin(), m_stream.m_outages.end(),
                    [&](const Outage &O) {
                      return O.m_worker == W.m_name &&
                             O.m_fromMs <= m_snapshot.m_nowMs &&
                             m_snapshot.m_nowMs < O.m_untilMs;
                    });
    W.m_placeable = W.m_healthy = !Down;
    for (std::size_t I = m_runningJobs.size(); Down && I-- > 0;) {
      const auto &Places = m_snapshot.m_running[I].m_places;
      if (std::none_of(Places.begin(), Places.end(),
                       [&](const auto &P) { return P.m_worker == W.m_name; }))
        continue;
      requeue(m_runningJobs[I].m_jobIndex, 1000);
      removeRunning(I);
    }
  }
}

void Simulation::endDueJobs() {
  for (std::size_t I = m_runningJobs.size(); I-- > 0;) {
    const RunningJob Ended = m_runningJobs[I];
    if (Ended.m_endMs > m_snapshot.m_nowMs)
      continue;
    const StreamJob &J = m_stream.m_jobs[Ended.m_jobIndex];
    const model::JobSpec &Spec = J.m_job.m_spec;
    removeRunning(I);
    if (Ended.m_reclaimed) {
      // A reclaimed job resumes from its checkpoint, which holds the progress
      // up to the reclaim.
      m_remainingMs[Ended.m_jobIndex] -=
          Ended.m_endMs - ReclaimMs - Ended.m_startMs;
      requeue(Ended.m_jobIndex, 0);
      continue;
    }
    m_estimates.learn(Spec.m_class, Spec.m_account, Spec.m_runMs,
                      J.m_actualRunMs);
    m_result.m_completionMs[Spec.m_class].push_back(
        static_cast<double>(Ended.m_endMs - J.m_job.m_submittedMs));
    m_result.m_waitMs[Spec.m_class].push_back(static_cast<double>(
        Ended.m_endMs - J.m_job.m_submittedMs - J.m_actualRunMs));
  }
}

void Simulation::start(const sched::PlaceJob &P) {
  const std::size_t JobIndex = m_jobIndexById.at(P.m_job);
  const StreamJob &J = m_stream.m_jobs[JobIndex];
  const model::JobSpec &Spec = J.m_job.m_spec;
  sched::RunningView R;
  R.m_id = P.m_job;
  R.m_account = Spec.m_account;
  R.m_class = Spec.m_class;
  R.m_preemptible = J.m_job.m_preemptible;
  R.m_urgent = J.m_job.m_urgent;
  R.m_places = P.m_places;
  R.m_cores = Spec.m_cores;
  R.m_memoryMb = Spec.m_memoryMb;
  R.m_startedMs = m_snapshot.m_nowMs;
  R.m_expectedEndMs =
      m_snapshot.m_nowMs +
      m_estimates.estimate(Spec.m_class, Spec.m_account, Spec.m_runMs);
  m_snapshot.m_running.push_back(std::move(R));
  m_runningJobs.push_back({JobIndex, m_snapshot.m_nowMs,
                           m_snapshot.m_nowMs + m_remainingMs[JobIndex],
                           false});
  std::erase_if(m_snapshot.m_waiting,
                [&](const auto &W) { return W.m_id == P.m_job; });
}

void Simulation::applyPlan(const sched::Plan &P) {
  for (const sched::ReclaimJob &R : P.m_reclaim) {
    for (std::size_t I = 0; I < m_runningJobs.size(); ++I) {
      if (m_snapshot.m_running[I].m_id != R.m_job)
        continue;
      ++m_result.m_reclaims;
      m_snapshot.m_running[I].m_reclaiming = true;
      m_runningJobs[I].m_reclaimed = true;
      m_runningJobs[I].m_endMs = m_snapshot.m_nowMs + ReclaimMs;
    }
  }
  for (const sched::RejectJob &R : P.m_reject)
    std::erase_if(m_snapshot.m_waiting,
                  [&](const auto &W) { return W.m_id == R.m_job; });
  for (const sched::PlaceJob &Placed : P.m_place)
    start(Placed);
}

// Adds the fragmented share of the free accelerators from now until UntilMs to
// the result, if a gang that needs accelerators waits.
void Simulation::measureFragmentation(Millis UntilMs) {
  int Size = 0;
  for (const sched::WaitingView &J : m_snapshot.m_waiting) {
    if (J.m_spec.m_members > 1)
      Size = std::max(Size, J.m_spec.m_accelerators);
  }
  if (Size == 0)
    return;
  int Free = 0;
  int Usable = 0;
  for (const sched::WorkerView &W : m_snapshot.m_workers) {
    std::uint32_t FreeMask = W.m_placeable ? 0xffU : 0;
    for (const sched::RunningView &R : m_snapshot.m_running) {
      for (const model::MemberPlace &P : R.m_places) {
        if (P.m_worker == W.m_name)
          FreeMask &= ~(((1U << P.m_accelerators) - 1) << P.m_firstAccelerator);
      }
    }
    Free += std::popcount(FreeMask);
    for (int First = 0; First < 8; First += Size) {
      const std::uint32_t BlockMask = ((1U << Size) - 1) << First;
      Usable += (FreeMask & BlockMask) == BlockMask ? Size : 0;
    }
  }
  const auto SpanMs = static_cast<double>(UntilMs - m_snapshot.m_nowMs);
  m_result.m_gangWaitingMs += SpanMs;
  if (Free > 0)
    m_result.m_fragmentedMs += SpanMs * (Free - Usable) / Free;
}

Millis Simulation::nextEventMs() const {
  Millis Next = EndOfTime;
  const auto Consider = [&](Millis At) {
    if (At > m_snapshot.m_nowMs)
      Next = std::min(Next, At);
  };
  if (m_nextJob < m_stream.m_jobs.size())
    Consider(m_stream.m_jobs[m_nextJob].m_job.m_submittedMs);
  for (const RunningJob &Job : m_runningJobs)
    Consider(Job.m_endMs);
  for (const Outage &O : m_stream.m_outages) {
    Consider(O.m_fromMs);
    Consider(O.m_untilMs);
  }
  for (const sched::WaitingView &J : m_snapshot.m_waiting) {
    Consider(J.m_notBeforeMs);
    Consider(J.m_submittedMs + m_snapshot.m_rule.m_reserveAfterMs);
    Consider(m_stream.m_jobs[m_jobIndexById.at(J.m_id)].m_cancelMs);
  }
  return Next;
}

SimulationResult Simulation::run() {
  while (true) {
    submitDueJobs();
    cancelDueJobs();
    endDueJobs();
    applyOutages();
    for (sched::WaitingView &J : m_snapshot.m_waiting)
      J.m_expectedRunMs = m_estimates.estimate(
          J.m_spec.m_class, J.m_spec.m_account, J.m_spec.m_runMs);
    const sched::Plan P = sched::plan(m_snapshot);
    ++m_result.m_passes;
    applyPlan(P);
    const Millis Next = std::max(nextEventMs(), m_snapshot.m_nowMs + MinStepMs);
    if (Next >= EndOfTime)
      break;
    measureFragmentation(Next);
    m_snapshot.m_nowMs = Next;
  }
  return std::move(m_result);
}

} // namespace

SimulationResult simulate(const JobStream &Stream,
                          const model::PlacementRule &Rule) {
  return Simulation(Stream, Rule).run();
}

} // namespace pomelokeel::bench
