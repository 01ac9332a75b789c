#pragma once

#include "batch/overload.h"
#include "batch/schedule.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace pomelokeel::batch::tests {

/// Which parts of the policy decide. Deadline: like Priority, but all jobs
/// without a guarantee run in the order of their due times. Admission: like
/// Priority, but with refusals.
enum class Design { Priority, Deadline, Admission };

/// What became of a job.
struct JobOutcome {
  int m_priority = 0;
  std::string m_account;
  std::string m_queue;
  double m_work = 0;   ///< Actual work in core-seconds.
  double m_factor = 1; ///< Actual to declared run time.
  Objective m_objective;
  Admittance m_admittance;
  Millis m_submittedAt = 0;
  Millis m_begunAfterMs = -1;
  Millis m_doneAfterMs = -1;
  bool m_refused = false;
  double m_lost = 0; ///< Core-seconds of stopped runs without a checkpoint.
  int m_runs = 0;
  int m_preempted = 0;

  bool onTime() const {
    return m_doneAfterMs >= 0 && m_doneAfterMs <= m_objective.m_onTimeMs;
  }
  bool late() const {
    return m_doneAfterMs > m_objective.m_onTimeMs &&
           m_doneAfterMs <= m_objective.m_limitMs;
  }
  /// Accepted, but not done while the result was of use.
  bool never() const { return !m_refused && !onTime() && !late(); }
};

/// Admission and scheduling passes over time, with workers that start and stop
/// runs after a fixed delay. A step's run time is its declared one times a
/// factor of the job.
class OverloadLoad {
public:
  static constexpr Millis TickMs = 100;
  static constexpr Millis StartMs = 150;
  static constexpr Millis StopMs = 500;
  static constexpr Millis ReclaimMs = 3000;
  static constexpr const char *Service = "s";

  explicit OverloadLoad(Design D) : m_design(D) {}

  void addWorkers(int Count, const Resources &Capacity,
                  const std::string &DataCentre = "a",
                  const std::vector<std::string> &Labels = {}) {
    constexpr std::size_t RackSize = 6;
    for (int I = 0; I < Count; ++I) {
      CandidateWorker W;
      W.m_agent = "w" + std::to_string(m_workers.size());
      W.m_workerIncarnation = W.m_agent + "@1";
      W.m_service = Service;
      W.m_rack = DataCentre + std::to_string(m_workers.size() / RackSize);
      W.m_capacity = Capacity;
      W.m_labels = Labels;
      m_workers.push_back(W);
      m_dataCentres.push_back(DataCentre);
    }
  }

  /// Workers of a data centre accept work, or none.
  void setUsable(const std::string &DataCentre, bool Usable) {
    for (std::size_t I = 0; I < m_workers.size(); ++I) {
      if (m_dataCentres[I] == DataCentre)
        m_workers[I].m_usable = Usable;
    }
  }

  /// Submits a job whose runs take \p Factor times the declared time.
  Admittance submit(const std::string &Id, JobSpec S, double Factor = 1) {
    S.m_id = Id;
    S.m_queue.m_service = Service;
    JobOutcome &Out = m_outcomes[Id];
    Out = {};
    Out.m_priority = S.m_queue.m_priority;
    Out.m_account = S.m_account;
    Out.m_queue = S.m_queue.m_name;
    Out.m_factor = Factor;
    Out.m_work = declaredWork(S) * Factor;
    Out.m_objective = objectiveOf(S);
    Out.m_submittedAt = m_now;
    S.m_acceptedMs = m_now;
    Admittance A;
    if (m_design == Design::Admission) {
      refreshAdmission();
      A = m_admission->decide(S, m_now);
      Out.m_admittance = A;
      Out.m_refused = !A.m_accepted;
      if (Out.m_refused) {
        A.m_retryAfterMs = m_learned.returnAfter(
            S, m_admission->fleetSeconds(S), A.m_retryAfterMs, m_now);
        return A;
      }
      m_learned.m_arrivals.add(S.m_queue.m_priority,
                               m_admission->fleetSeconds(S), m_now);
      m_admission->add(S);
    }
    if (m_design == Design::Deadline && !isGuaranteed(S))
      S.m_queue.m_priority = 1;
    JobState J;
    J.m_acceptedAt = m_now;
    J.m_expectedMs = A.m_expectedMs;
    J.m_expectedWaitMs = A.m_backlogMs;
    J.m_progress.m_occurrences = {makeOccurrence(S)};
    J.m_spec = std::move(S);
    m_factors[Id] = Factor;
    m_jobs[Id] = std::move(J);
    return A;
  }

  void tick() {
    m_now += TickMs;
    for (auto &[Id, J] : m_jobs)
      advance(J);
    std::erase_if(m_jobs, [](const auto &Entry) {
      return isEnded(Entry.second.m_progress.m_phase);
    });
    const Plan P =
        plan(openJobs(m_jobs), workers(), m_guarantees, ReclaimMs, m_now);
    for (const TaskName &Name : P.m_preempted) {
      Task &T = taskOf(Name);
      T.m_stop = StopReason::Preempted;
      T.m_stopSentAt = m_now;
      ++m_outcomes[Name.m_job].m_preempted;
    }
    for (const Start &S : P.m_starts)
      start(S);
  }

  void run(Millis Ms) {
    const Millis End = m_now + Ms;
    while (m_now < End)
      tick();
  }

  const JobOutcome &outcome(const std::string &Id) const {
    return m_outcomes.at(Id);
  }
  std::size_t openCount() const { return m_jobs.size(); }

  Millis m_now = 100000;
  Guarantees m_guarantees;
  std::map<std::string, JobOutcome> m_outcomes; ///< By job.

private:
  bool isGuaranteed(const JobSpec &S) const {
    const auto It = m_guarantees.find(S.m_account);
    return S.m_queue.m_priority == 0 && It != m_guarantees.end() &&
           It->second > 0;
  }

  void refreshAdmission() {
    if (m_admission && m_admissionAt == m_now)
      return;
    m_admission =
        std::make_unique<Admission>(Service, openJobs(m_jobs), workers(),
                                    m_guarantees, m_learned, m_now, m_now);
    m_admissionAt = m_now;
  }

  Task &taskOf(const TaskName &Name) {
    return m_jobs.at(Name.m_job)
        .m_progress.m_occurrences[0][static_cast<std::size_t>(Name.m_step)]
                                 [static_cast<std::size_t>(Name.m_index)];
  }

  void advance(JobState &J) {
    JobOutcome &Out = m_outcomes[J.m_spec.m_id];
    for (std::size_t S = 0; S < J.m_spec.m_steps.size(); ++S) {
      const Step &Kind = J.m_spec.m_steps[S];
      for (Task &T : J.m_progress.m_occurrences[0][S])
        advance(J.m_spec, Kind, T, Out);
      // A member that was stopped ends its gang.
      auto &Tasks = J.m_progress.m_occurrences[0][S];
      const bool Broken =
          Kind.m_gang && std::any_of(Tasks.begin(), Tasks.end(), [](Task &T) {
            return T.m_phase == TaskPhase::Waiting;
          });
      for (Task &T : Tasks) {
        if (Broken && T.m_phase == TaskPhase::Placed &&
            T.m_stop == StopReason::None) {
          T.m_stop = StopReason::Broken;
          T.m_stopSentAt = m_now;
        }
      }
    }
    if (!isDone(J.m_progress.m_occurrences[0]))
      return;
    J.m_progress.m_phase = JobPhase::Done;
    Out.m_doneAfterMs = m_now - Out.m_submittedAt;
    m_learned.noteDone(J, Out.m_doneAfterMs);
  }

  void advance(const JobSpec &Of, const Step &Kind, Task &T, JobOutcome &Out) {
    if (T.m_phase != TaskPhase::Placed)
      return;
    const double RunMs = std::max(
        static_cast<double>(Kind.m_estimateMs) * m_factors[Of.m_id], 1.0);
    const Millis Ran = m_now - T.m_placedAt - StartMs;
    if (T.m_stop != StopReason::None) {
      if (m_now - T.m_stopSentAt < StopMs)
        return;
      if (!Kind.m_checkpoints)
        Out.m_lost += coresOf(Kind.m_each) *
                      static_cast<double>(std::max<Millis>(Ran, 0)) / 1000;
      Task Fresh;
      Fresh.m_run = T.m_run;
      // The percentage that the run had reached is its checkpoint.
      if (Kind.m_checkpoints)
        Fresh.m_checkpoint = std::to_string(T.m_percent);
      T = Fresh;
      return;
    }
    if (Ran < 0)
      return;
    if (!T.m_running) {
      T.m_running = true;
      T.m_firstSeenAt = m_now;
      T.m_percent = T.m_firstPercent =
          T.m_checkpoint.empty() ? 0 : std::stoi(T.m_checkpoint);
    }
    const int Percent =
        T.m_firstPercent +
        static_cast<int>(100 * static_cast<double>(m_now - T.m_firstSeenAt) /
                         RunMs);
    if (Percent != T.m_percent)
      T.m_progressAt = m_now;
    T.m_percent = Percent;
    if (T.m_percent < 100)
      return;
    T.m_phase = TaskPhase::Done;
    if (T.m_run == 1)
      m_learned.noteRun(Of, Kind, m_now - T.m_placedAt);
  }

  std::vector<CandidateWorker> workers() const {
    std::vector<CandidateWorker> Out = m_workers;
    std::map<std::string_view, std::size_t> ByAgent;
    for (std::size_t I = 0; I < Out.size(); ++I) {
      Out[I].m_free = Out[I].m_freeSoon = Out[I].m_capacity;
      ByAgent[m_workers[I].m_agent] = I;
    }
    for (const auto &[Id, J] : m_jobs) {
      forEachTask(J.m_progress,
                  [&, &Spec = J.m_spec](int, int S, int, const Task &T) {
                    if (T.m_phase != TaskPhase::Placed)
                      return;
                    const Resources Each =
                        allocationOf(Spec.m_steps[static_cast<std::size_t>(S)]);
                    CandidateWorker &W = Out[ByAgent.at(T.m_agent)];
                    W.m_free = W.m_free - Each;
                    if (T.m_stop == StopReason::None && !endsSoon(T, m_now))
                      W.m_freeSoon = W.m_freeSoon - Each;
                  });
    }
    return Out;
  }

  void start(const Start &S) {
    JobOutcome &Out = m_outcomes[S.m_unit.m_name.m_job];
    if (Out.m_begunAfterMs < 0)
      Out.m_begunAfterMs = m_now - Out.m_submittedAt;
    for (std::size_t I = 0; I < S.m_workers.size(); ++I) {
      TaskName Name = S.m_unit.m_name;
      Name.m_index = S.m_unit.m_indices[I];
      Task &T = taskOf(Name);
      T.m_phase = TaskPhase::Placed;
      ++T.m_run;
      ++Out.m_runs;
      T.m_agent = m_workers[S.m_workers[I]].m_agent;
      T.m_workerIncarnation = m_workers[S.m_workers[I]].m_workerIncarnation;
      T.m_startSentAt = T.m_placedAt = T.m_progressAt = m_now;
    }
  }

  const Design m_design;
  std::vector<CandidateWorker> m_workers;
  std::vector<std::string> m_dataCentres; ///< By worker.
  JobTable m_jobs;
  std::map<std::string, double> m_factors; ///< Actual to declared time, by job.
  Experience m_learned;
  std::unique_ptr<Admission> m_admission;
  Millis m_admissionAt = 0;
};

} // namespace pomelokeel::batch::tests
