#include "simulation.h"

#include <algorithm>
#include <bit>
#include <unordered_map>

namespace pomelokeel::bench {
namespace {

constexpr Millis TickMs = 500;
constexpr Millis ReclaimMs = 2000;
constexpr Millis EndOfTime = 100LL * 3600 * 1000;

// A running job and its true end.
struct Active {
  std::size_t m_job = 0;
  Millis m_startMs = 0;
  Millis m_endMs = 0;
  bool m_requeue = false; ///< Stopped by a reclaim.
};

class Simulation {
public:
  Simulation(const Stream &In, const model::PlacementRule &Rule) : m_in(In) {
    m_now.m_rule = Rule;
    m_now.m_accounts = In.m_accounts;
    m_now.m_workers = In.m_workers;
    for (std::size_t I = 0; I < In.m_jobs.size(); ++I) {
      m_byId[In.m_jobs[I].m_job.m_id] = I;
      m_leftMs.push_back(In.m_jobs[I].m_actualMs);
    }
  }

  Outcome run();

private:
  void submit();
  void cancel();
  void breakWorkers();
  void endJobs();
  void remove(std::size_t Index);
  void requeue(std::size_t Job, Millis DelayMs);
  void applyPlan(const sched::Plan &P);
  void start(const sched::PlaceJob &P);
  void measure(Millis UntilMs);
  Millis nextEvent() const;

  const Stream &m_in;
  sched::Snapshot m_now;
  std::vector<Active> m_active; ///< In the order of m_now.m_running.
  std::unordered_map<std::string, std::size_t> m_byId;
  std::size_t m_next = 0;
  sched::RunTimeEstimates m_estimates;
  std::vector<Millis> m_leftMs; ///< Run time left, by job.
  Outcome m_out;
};

void Simulation::submit() {
  for (; m_next < m_in.m_jobs.size() &&
         m_in.m_jobs[m_next].m_job.m_submittedMs <= m_now.m_nowMs;
       ++m_next)
    m_now.m_waiting.push_back(m_in.m_jobs[m_next].m_job);
}

void Simulation::cancel() {
  const auto Cancelled = [&](std::size_t Job) {
    const Millis At = m_in.m_jobs[Job].m_cancelMs;
    return At > 0 && At <= m_now.m_nowMs;
  };
  std::erase_if(m_now.m_waiting, [&](const sched::WaitingView &J) {
    return Cancelled(m_byId.at(J.m_id));
  });
  for (std::size_t I = m_active.size(); I-- > 0;) {
    if (Cancelled(m_active[I].m_job))
      remove(I);
  }
}

void Simulation::remove(std::size_t Index) {
  m_active.erase(m_active.begin() + static_cast<std::ptrdiff_t>(Index));
  m_now.m_running.erase(m_now.m_running.begin() +
                        static_cast<std::ptrdiff_t>(Index));
}

// The job waits again in the order of submission.
void Simulation::requeue(std::size_t Job, Millis DelayMs) {
  sched::WaitingView J = m_in.m_jobs[Job].m_job;
  J.m_notBeforeMs = m_now.m_nowMs + DelayMs;
  const auto At =
      std::upper_bound(m_now.m_waiting.begin(), m_now.m_waiting.end(), J,
                       [](const auto &L, const auto &R) {
                         return L.m_submittedMs < R.m_submittedMs;
                       });
  m_now.m_waiting.insert(At, std::move(J));
}

void Simulation::breakWorkers() {
  for (sched::WorkerView &W : m_now.m_workers) {
    const bool Down = std::any_of(
        m_in.m_outages.begin(), m_in.m_outages.end(), [&](const Outage &O) {
          return O.m_worker == W.m_name && O.m_fromMs <= m_now.m_nowMs &&
                 m_now.m_nowMs < O.m_untilMs;
        });
    W.m_placeable = W.m_healthy = !Down;
    for (std::size_t I = m_active.size(); Down && I-- > 0;) {
      const auto &Places = m_now.m_running[I].m_places;
      if (std::none_of(Places.begin(), Places.end(),
                       [&](const auto &P) { return P.m_worker == W.m_name; }))
        continue;
      requeue(m_active[I].m_job, 1000);
      remove(I);
    }
  }
}

void Simulation::endJobs() {
  for (std::size_t I = m_active.size(); I-- > 0;) {
    const Active A = m_active[I];
    if (A.m_endMs > m_now.m_nowMs)
      continue;
    const StreamJob &J = m_in.m_jobs[A.m_job];
    const model::JobSpec &Spec = J.m_job.m_spec;
    remove(I);
    if (A.m_requeue) {
      // A reclaimed job goes on from its checkpoint.
      m_leftMs[A.m_job] -= A.m_endMs - ReclaimMs - A.m_startMs;
      requeue(A.m_job, 0);
      continue;
    }
    m_estimates.learn(Spec.m_class, Spec.m_account, Spec.m_runMs, J.m_actualMs);
    m_out.m_completionMs[Spec.m_class].push_back(
        static_cast<double>(A.m_endMs - J.m_job.m_submittedMs));
    m_out.m_waitMs[Spec.m_class].push_back(
        static_cast<double>(A.m_endMs - J.m_job.m_submittedMs - J.m_actualMs));
  }
}

void Simulation::start(const sched::PlaceJob &P) {
  const std::size_t Job = m_byId.at(P.m_job);
  const StreamJob &J = m_in.m_jobs[Job];
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
  R.m_startedMs = m_now.m_nowMs;
  R.m_expectedEndMs =
      m_now.m_nowMs +
      m_estimates.estimate(Spec.m_class, Spec.m_account, Spec.m_runMs);
  m_now.m_running.push_back(std::move(R));
  m_active.push_back(
      {Job, m_now.m_nowMs, m_now.m_nowMs + m_leftMs[Job], false});
  std::erase_if(m_now.m_waiting,
                [&](const auto &W) { return W.m_id == P.m_job; });
}

void Simulation::applyPlan(const sched::Plan &P) {
  for (const sched::ReclaimJob &R : P.m_reclaim) {
    for (std::size_t I = 0; I < m_active.size(); ++I) {
      if (m_now.m_running[I].m_id != R.m_job)
        continue;
      ++m_out.m_reclaims;
      m_now.m_running[I].m_reclaiming = true;
      m_active[I].m_requeue = true;
      m_active[I].m_endMs = m_now.m_nowMs + ReclaimMs;
    }
  }
  for (const sched::RejectJob &R : P.m_reject)
    std::erase_if(m_now.m_waiting,
                  [&](const auto &W) { return W.m_id == R.m_job; });
  for (const sched::PlaceJob &Placed : P.m_place)
    start(Placed);
}

// Share of the free accelerators that lie outside every free aligned block of
// the largest waiting gang member.
void Simulation::measure(Millis UntilMs) {
  int Size = 0;
  for (const sched::WaitingView &J : m_now.m_waiting) {
    if (J.m_spec.m_members > 1)
      Size = std::max(Size, J.m_spec.m_accelerators);
  }
  if (Size == 0)
    return;
  int Free = 0;
  int Usable = 0;
  for (const sched::WorkerView &W : m_now.m_workers) {
    std::uint32_t Mask = W.m_placeable ? 0xffU : 0;
    for (const sched::RunningView &R : m_now.m_running) {
      for (const model::MemberPlace &P : R.m_places) {
        if (P.m_worker == W.m_name)
          Mask &= ~(((1U << P.m_accelerators) - 1) << P.m_firstAccelerator);
      }
    }
    Free += std::popcount(Mask);
    for (int First = 0; First < 8; First += Size) {
      const std::uint32_t Block = ((1U << Size) - 1) << First;
      Usable += (Mask & Block) == Block ? Size : 0;
    }
  }
  const auto Span = static_cast<double>(UntilMs - m_now.m_nowMs);
  m_out.m_gangWaitingMs += Span;
  if (Free > 0)
    m_out.m_fragmentedMs += Span * (Free - Usable) / Free;
}

Millis Simulation::nextEvent() const {
  Millis Next = EndOfTime;
  const auto Consider = [&](Millis At) {
    if (At > m_now.m_nowMs)
      Next = std::min(Next, At);
  };
  if (m_next < m_in.m_jobs.size())
    Consider(m_in.m_jobs[m_next].m_job.m_submittedMs);
  for (const Active &A : m_active)
    Consider(A.m_endMs);
  for (const Outage &O : m_in.m_outages) {
    Consider(O.m_fromMs);
    Consider(O.m_untilMs);
  }
  for (const sched::WaitingView &J : m_now.m_waiting) {
    Consider(J.m_notBeforeMs);
    Consider(J.m_submittedMs + m_now.m_rule.m_reserveAfterMs);
    Consider(m_in.m_jobs[m_byId.at(J.m_id)].m_cancelMs);
  }
  return Next;
}

Outcome Simulation::run() {
  while (true) {
    submit();
    cancel();
    endJobs();
    breakWorkers();
    for (sched::WaitingView &J : m_now.m_waiting)
      J.m_expectedRunMs = m_estimates.estimate(
          J.m_spec.m_class, J.m_spec.m_account, J.m_spec.m_runMs);
    const sched::Plan P = sched::plan(m_now);
    ++m_out.m_passes;
    applyPlan(P);
    const Millis Next = std::max(nextEvent(), m_now.m_nowMs + TickMs);
    if (Next >= EndOfTime)
      break;
    measure(Next);
    m_now.m_nowMs = Next;
  }
  return std::move(m_out);
}

} // namespace

Outcome simulate(const Stream &In, const model::PlacementRule &Rule) {
  return Simulation(In, Rule).run();
}

} // namespace pomelokeel::bench
