#include "batch/schedule.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace pomelokeel::batch::tests {
namespace {

constexpr Millis TickMs = 50;
constexpr Millis ReclaimMs = 3000;
/// From a stop order until the resources are free.
constexpr Millis StopMs = 500;

Step stepOf(std::int64_t Count, std::int64_t Accelerators, Millis RunMs) {
  Step S;
  S.m_count = Count;
  S.m_each = {1000 * Accelerators, 100, Accelerators};
  S.m_estimateMs = RunMs;
  return S;
}

Step gangOf(std::int64_t Count, std::int64_t Accelerators, Millis RunMs) {
  Step S = stepOf(Count, Accelerators, RunMs);
  S.m_gang = true;
  S.m_rackLocal = true;
  return S;
}

/// Simulates scheduling passes over time on workers with 8 accelerators each,
/// six to a rack. Runs take their declared time; orders take no time.
class Load {
public:
  explicit Load(int Workers) {
    for (int I = 0; I < Workers; ++I) {
      CandidateWorker W;
      W.m_agent = "w" + std::to_string(I);
      W.m_workerIncarnation = W.m_agent + "@1";
      W.m_service = "s";
      W.m_rack = "r" + std::to_string(I / 6);
      W.m_capacity = {16000, 10000, 8};
      m_workers.push_back(W);
    }
  }

  void submit(const std::string &Id, int Priority, const Step &S) {
    JobState J;
    J.m_spec.m_id = Id;
    J.m_spec.m_queue.m_service = "s";
    J.m_spec.m_queue.m_priority = Priority;
    J.m_spec.m_queue.m_stretch = 1.5;
    J.m_spec.m_queue.m_slackMs = 400;
    J.m_spec.m_account = "acc";
    J.m_spec.m_acceptedMs = J.m_acceptedAt = m_now;
    J.m_spec.m_steps = {S};
    J.m_progress.m_occurrences = {makeOccurrence(J.m_spec)};
    m_jobs[Id] = std::move(J);
  }

  void tick() {
    m_now += TickMs;
    for (auto &Entry : m_jobs)
      advance(Entry.second);
    const Plan P =
        plan(openJobs(m_jobs), workers(), m_guarantees, ReclaimMs, m_now);
    for (const TaskName &Name : P.m_preempted) {
      Task &T = taskOf(Name);
      T.m_stop = StopReason::Preempted;
      T.m_stopSentAt = m_now;
    }
    for (const Start &S : P.m_starts)
      start(S);
  }

  /// When the job began, or -1.
  Millis begun(const std::string &Id) const {
    const auto It = m_begun.find(Id);
    return It == m_begun.end() ? -1 : It->second;
  }

  bool done(const std::string &Id) const {
    return isDone(m_jobs.at(Id).m_progress.m_occurrences[0]);
  }

  Millis m_now = 100000;
  Guarantees m_guarantees;

private:
  Task &taskOf(const TaskName &Name) {
    return m_jobs[Name.m_job]
        .m_progress.m_occurrences[0][0][static_cast<std::size_t>(Name.m_index)];
  }

  void advance(JobState &J) {
    const Millis RunMs = J.m_spec.m_steps[0].m_estimateMs;
    bool Done = true;
    for (Task &T : J.m_progress.m_occurrences[0][0]) {
      if (T.m_phase == TaskPhase::Placed) {
        T.m_percent = static_cast<int>(100 * (m_now - T.m_placedAt) / RunMs);
        T.m_progressAt = m_now;
        if (T.m_stop != StopReason::None && m_now - T.m_stopSentAt >= StopMs)
          T = Task{};
        else if (T.m_stop == StopReason::None && T.m_percent >= 100)
          T.m_phase = TaskPhase::Done;
      }
      Done = Done && T.m_phase == TaskPhase::Done;
    }
    if (Done)
      J.m_progress.m_phase = JobPhase::Done;
  }

  std::vector<CandidateWorker> workers() const {
    std::vector<CandidateWorker> Out = m_workers;
    for (CandidateWorker &W : Out)
      W.m_free = W.m_freeSoon = W.m_capacity;
    for (const auto &[Id, J] : m_jobs) {
      const Resources Each = allocationOf(J.m_spec.m_steps[0]);
      for (const Task &T : J.m_progress.m_occurrences[0][0]) {
        if (T.m_phase != TaskPhase::Placed)
          continue;
        for (CandidateWorker &W : Out) {
          if (W.m_agent != T.m_agent)
            continue;
          W.m_free = W.m_free - Each;
          if (T.m_stop == StopReason::None && !endsSoon(T, m_now))
            W.m_freeSoon = W.m_freeSoon - Each;
        }
      }
    }
    return Out;
  }

  void start(const Start &S) {
    m_begun.emplace(S.m_unit.m_name.m_job, m_now);
    for (std::size_t I = 0; I < S.m_workers.size(); ++I) {
      TaskName Name = S.m_unit.m_name;
      Name.m_index = S.m_unit.m_indices[I];
      Task &T = taskOf(Name);
      T.m_phase = TaskPhase::Placed;
      T.m_agent = m_workers[S.m_workers[I]].m_agent;
      T.m_workerIncarnation = m_workers[S.m_workers[I]].m_workerIncarnation;
      T.m_running = true;
      T.m_placedAt = T.m_firstSeenAt = m_now;
    }
  }

  std::vector<CandidateWorker> m_workers;
  JobTable m_jobs;
  std::map<std::string, Millis> m_begun;
};

// A large urgent gang is submitted into a steady stream of small urgent jobs
// that fills the fleet. All resources that became free went to small jobs, and
// gangs of 12 whole workers waited up to 15 s in a simulated day. The gang must
// begin early enough to finish within three times its objective.
TEST(LoadTest, ALargeGangBeginsAmidAStreamOfSmallUrgentJobs) {
  constexpr Millis RunMs = 2000;
  constexpr Millis ObjectiveMs = RunMs * 3 / 2 + 400;
  Load L(12);
  int Small = 0;
  const auto Arrive = [&] {
    // 44 jobs per second of 2 s each, on 96 accelerators.
    for (int I = 0; I < (Small % 11 == 0 ? 3 : 2); ++I)
      L.submit("small" + std::to_string(Small++), 0, stepOf(1, 1, RunMs));
  };
  while (L.m_now < 105000) {
    Arrive();
    L.tick();
  }
  const Millis Submitted = L.m_now;
  L.submit("large", 0, gangOf(8, 8, RunMs));
  while (L.m_now < Submitted + 20000 && !L.done("large")) {
    Arrive();
    L.tick();
  }
  ASSERT_TRUE(L.done("large"));
  EXPECT_LE(L.begun("large") - Submitted, 3 * ObjectiveMs - RunMs);
}

// A large gang that may not preempt anything meets a backlog of small jobs of
// lower priority. It must begin once the longest of the current runs has ended.
TEST(LoadTest, ALargeGangThatStopsNobodyBeginsBeforeABacklogOfLowerPriority) {
  constexpr Millis RunMs = 3000;
  constexpr Millis SpreadMs = 1000;
  Load L(12);
  for (int I = 0; I < 1000; ++I)
    L.submit("small" + std::to_string(I), 2,
             stepOf(1, 1, RunMs + 37 * I % SpreadMs));
  for (int I = 0; I < 40; ++I)
    L.tick();
  const Millis Submitted = L.m_now;
  L.submit("large", 1, gangOf(6, 8, RunMs));
  while (L.m_now < Submitted + 20000 && !L.done("large"))
    L.tick();
  ASSERT_TRUE(L.done("large"));
  EXPECT_LE(L.begun("large") - Submitted, RunMs + SpreadMs);
}

} // namespace
} // namespace pomelokeel::batch::tests
