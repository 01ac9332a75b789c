#include "bench.h"

#include "sched/sched.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <random>

namespace pomelokeel::bench {
namespace {

struct Size {
  int m_workers;
  int m_tasks;
  int m_accounts;
};

constexpr std::array Sizes = {Size{11, 60, 4}, Size{100, 100, 8},
                              Size{400, 1000, 20}, Size{1300, 5900, 65}};
constexpr int Repeats = 9;
constexpr int WaitingJobs = 300;

// Workers of 1 accelerator, every fourteenth of 8: 1,300 workers have about
// 1,950 accelerators.
std::vector<sched::WorkerView> workers(int Count) {
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

class Filler {
public:
  explicit Filler(const Size &Z) : m_size(Z) {
    m_snapshot.m_nowMs = 100000;
    m_snapshot.m_workers = workers(Z.m_workers);
    for (int I = 0; I < Z.m_accounts; ++I)
      m_snapshot.m_accounts.push_back(
          {"account-" + std::to_string(I), {{8, 1}, {1, 4}}, 0, 1000});
    run();
    wait();
  }

  sched::Snapshot m_snapshot;

private:
  int pick(int Low, int High) {
    return Low +
           static_cast<int>(m_random() % static_cast<unsigned>(High - Low + 1));
  }
  std::string account() {
    return "account-" + std::to_string(pick(0, m_size.m_accounts - 1));
  }

  // Every second accelerator is in use, the other tasks only hold slots.
  void run() {
    for (int I = 0; I < m_size.m_tasks; ++I) {
      const int W = I % m_size.m_workers;
      const int Round = I / m_size.m_workers;
      const auto &Worker = m_snapshot.m_workers[static_cast<std::size_t>(W)];
      const bool Uses = Round < Worker.m_accelerators && pick(0, 1) == 0;
      sched::RunningView R;
      R.m_id = "run-" + std::to_string(I);
      R.m_account = account();
      R.m_preemptible = pick(0, 9) > 0;
      R.m_places = {{Worker.m_name, Uses ? Round : 0, Uses ? 1 : 0}};
      R.m_cores = 1;
      R.m_memoryMb = 256;
      R.m_expectedEndMs = 100000 + pick(1, 1000000);
      m_snapshot.m_running.push_back(R);
    }
  }

  void wait() {
    for (int I = 0; I < WaitingJobs; ++I) {
      sched::WaitingView J;
      J.m_id = "job-" + std::to_string(I);
      J.m_spec.m_account = account();
      J.m_spec.m_members = pick(0, 9) == 0 ? pick(2, 128) : 1;
      J.m_spec.m_accelerators = pick(0, 2) == 0 ? 1 << pick(0, 3) : pick(0, 1);
      J.m_urgent = pick(0, 3) == 0;
      J.m_preemptible = pick(0, 4) > 0;
      J.m_submittedMs = 100000 - pick(0, 90000);
      J.m_expectedRunMs = pick(1000, 1000000);
      m_snapshot.m_waiting.push_back(J);
    }
  }

  Size m_size;
  std::mt19937 m_random{7};
};

template <typename F> double medianMs(F Run) {
  std::vector<double> Times;
  for (int I = 0; I < Repeats; ++I) {
    const auto Start = std::chrono::steady_clock::now();
    Run();
    Times.push_back(std::chrono::duration<double, std::milli>(
                        std::chrono::steady_clock::now() - Start)
                        .count());
  }
  std::sort(Times.begin(), Times.end());
  return Times[Times.size() / 2];
}

} // namespace

void runScale() {
  for (const Size &Z : Sizes) {
    const Filler F(Z);
    const sched::Snapshot &S = F.m_snapshot;
    const std::string Suffix = "." + std::to_string(Z.m_workers) + "workers." +
                               std::to_string(Z.m_tasks) + "tasks";
    std::size_t Placed = 0;
    const double Plan =
        medianMs([&] { Placed = sched::plan(S).m_place.size(); });
    figure("plan" + Suffix, Plan, "ms");
    figure("planPlaced" + Suffix, static_cast<double>(Placed), "jobs");
    const double Check = medianMs([&] {
      sched::checkGuarantees(S.m_accounts, S.m_workers, S.m_running);
    });
    figure("checkGuarantees" + Suffix, Check, "ms");
  }
}

} // namespace pomelokeel::bench
