#include "bench.h"

#include "sched/sched.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <random>

namespace pomelokeel::bench {
namespace {

struct FleetSize {
  int m_workers;
  int m_tasks;
  int m_accounts;
};

constexpr std::array FleetSizes = {FleetSize{11, 60, 4}, FleetSize{100, 100, 8},
                                   FleetSize{400, 1000, 20},
                                   FleetSize{1300, 5900, 65}};
constexpr int RepeatCount = 9;
constexpr int WaitingJobCount = 300;

// Every fourteenth worker has 8 accelerators, and the others have 1: 1,300
// workers have about 1,950 accelerators. In fleets of fewer than 20 workers all
// have 8.
std::vector<sched::WorkerView> makeWorkers(int Count) {
  std::vector<sched::WorkerView> Out;
  for (int I = 0; I < Count; ++I) {
    sched::WorkerView W;
    W.m_name = "worker-" + std::to_string(I);
    W.m_rack = "rack-" + std::to_string(I / 14);
    W.m_dataCentre = "dc-" + std::to_string(I * 8 / Count);
    W.m_region = "region-" + std::to_string(I * 3 / Count);
    W.m_accelerators = Count < 20 || I % 14 == 0 ? 8 : 1;
    W.m_slots = 8;
    W.m_cores = 64;
    W.m_memoryMb = 256000;
    Out.push_back(W);
  }
  return Out;
}

// Builds the snapshot of a fleet with random running tasks and waiting jobs.
class SnapshotBuilder {
public:
  explicit SnapshotBuilder(const FleetSize &Size) : m_size(Size) {
    m_snapshot.m_nowMs = 100000;
    m_snapshot.m_workers = makeWorkers(Size.m_workers);
    for (int I = 0; I < Size.m_accounts; ++I)
      m_snapshot.m_accounts.push_back(
          {"account-" + std::to_string(I), {{8, 1}, {1, 4}}, 0, 1000});
    addRunningTasks();
    addWaitingJobs();
  }

  sched::Snapshot m_snapshot;

private:
  int uniformInt(int Low, int High) {
    return Low +
           static_cast<int>(m_random() % static_cast<unsigned>(High - Low + 1));
  }
  std::string randomAccount() {
    return "account-" + std::to_string(uniformInt(0, m_size.m_accounts - 1));
  }

  // A task uses an accelerator of its worker with a probability of one half, if
  // there is one left for it; the other tasks only take a slot.
  void addRunningTasks() {
    for (int I = 0; I < m_size.m_tasks; ++I) {
      const int WorkerIndex = I % m_size.m_workers;
      const int IndexOnWorker = I / m_size.m_workers;
      const auto &Worker =
          m_snapshot.m_workers[static_cast<std::size_t>(WorkerIndex)];
      const bool UsesAccelerator =
          IndexOnWorker < Worker.m_accelerators && uniformInt(0, 1) == 0;
      sched::RunningView R;
      R.m_id = "run-" + std::to_string(I);
      R.m_account = randomAccount();
      R.m_preemptible = uniformInt(0, 9) > 0;
      R.m_places = {{Worker.m_name, UsesAccelerator ? IndexOnWorker : 0,
                     UsesAccelerator ? 1 : 0}};
      R.m_cores = 1;
      R.m_memoryMb = 256;
      R.m_expectedEndMs = 100000 + uniformInt(1, 1000000);
      m_snapshot.m_running.push_back(R);
    }
  }

  void addWaitingJobs() {
    for (int I = 0; I < WaitingJobCount; ++I) {
      sched::WaitingView J;
      J.m_id = "job-" + std::to_string(I);
      J.m_spec.m_account = randomAccount();
      J.m_spec.m_members = uniformInt(0, 9) == 0 ? uniformInt(2, 128) : 1;
      J.m_spec.m_accelerators =
          uniformInt(0, 2) == 0 ? 1 << uniformInt(0, 3) : uniformInt(0, 1);
      J.m_urgent = uniformInt(0, 3) == 0;
      J.m_preemptible = uniformInt(0, 4) > 0;
      J.m_submittedMs = 100000 - uniformInt(0, 90000);
      J.m_expectedRunMs = uniformInt(1000, 1000000);
      m_snapshot.m_waiting.push_back(J);
    }
  }

  FleetSize m_size;
  std::mt19937 m_random{7};
};

template <typename F> double medianMs(F Run) {
  std::vector<double> TimesMs;
  for (int I = 0; I < RepeatCount; ++I) {
    const auto Start = std::chrono::steady_clock::now();
    Run();
    TimesMs.push_back(std::chrono::duration<double, std::milli>(
                          std::chrono::steady_clock::now() - Start)
                          .count());
  }
  std::sort(TimesMs.begin(), TimesMs.end());
  return TimesMs[TimesMs.size() / 2];
}

} // namespace

void benchmarkScale() {
  for (const FleetSize &Size : FleetSizes) {
    const SnapshotBuilder Builder(Size);
    const sched::Snapshot &S = Builder.m_snapshot;
    const std::string Suffix = "." + std::to_string(Size.m_workers) +
                               "workers." + std::to_string(Size.m_tasks) +
                               "tasks";
    std::size_t Placed = 0;
    const double PlanMs =
        medianMs([&] { Placed = sched::plan(S).m_place.size(); });
    printFigure("plan" + Suffix, PlanMs, "ms");
    printFigure("planPlaced" + Suffix, static_cast<double>(Placed), "jobs");
    const double CheckMs = medianMs([&] {
      sched::checkGuarantees(S.m_accounts, S.m_workers, S.m_running);
    });
    printFigure("checkGuarantees" + Suffix, CheckMs, "ms");
  }
}

} // namespace pomelokeel::bench
