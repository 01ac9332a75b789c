#include "stream.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace pomelokeel::bench {
namespace {

constexpr Millis Second = 1000;
constexpr Millis Minute = 60 * Second;
constexpr Millis Hour = 60 * Minute;
constexpr Millis StreamDurationMs = 8 * Hour;

// Draws random numbers that are the same with every standard library, which
// std::uniform_int_distribution and the like do not guarantee.
class Random {
public:
  explicit Random(unsigned Seed) : m_engine(Seed) {}

  double uniform() { return static_cast<double>(m_engine()) / 4294967296.0; }
  double uniformBetween(double Low, double High) {
    return Low + (High - Low) * uniform();
  }
  int uniformInt(int Low, int High) {
    return Low + static_cast<int>(uniform() * (High - Low + 1));
  }
  double exponential(double Mean) { return -Mean * std::log(1 - uniform()); }
  /// From Low to High; the logarithm is distributed uniformly.
  double logUniform(double Low, double High) {
    return std::exp(uniformBetween(std::log(Low), std::log(High)));
  }

private:
  std::mt19937 m_engine;
};

// Parameters of the jobs of one class. Pairs are the lowest and the highest
// value.
struct JobKind {
  const char *m_class;
  bool m_urgent;
  int m_members[2];
  int m_log2Accelerators[2]; ///< Per member; -1 means no accelerators.
  double m_runMs[2];
};

class StreamBuilder {
public:
  StreamBuilder(std::string Name, unsigned Seed, int Cores, int MemoryMb)
      : m_random(Seed) {
    m_stream.m_name = std::move(Name);
    for (int I = 0; I < 4; ++I) {
      model::Account A;
      A.m_name = "account" + std::to_string(I);
      // Accounts 0 and 1 have guarantees for 24 of the 88 accelerators in all.
      A.m_guarantee = {{8, std::max(2 - I, 0)}};
      A.m_maxWaiting = 100000;
      m_stream.m_accounts.push_back(A);
    }
    for (int I = 0; I < 11; ++I)
      addWorker(I, Cores, MemoryMb);
  }

  // Adds jobs of one kind: bursts of Burst jobs at exponentially distributed
  // intervals with the mean MeanMs.
  void addJobs(const JobKind &K, double MeanMs, int Burst) {
    for (double At = m_random.exponential(MeanMs); At < StreamDurationMs;
         At += m_random.exponential(MeanMs)) {
      for (int I = 0; I < Burst; ++I)
        addJob(K, static_cast<Millis>(At) + 10 * I);
    }
  }

  JobStream finish() {
    auto &Jobs = m_stream.m_jobs;
    std::stable_sort(Jobs.begin(), Jobs.end(),
                     [](const auto &L, const auto &R) {
                       return L.m_job.m_submittedMs < R.m_job.m_submittedMs;
                     });
    for (std::size_t I = 0; I < Jobs.size(); ++I)
      Jobs[I].m_job.m_id = "j" + std::to_string(I);
    addCancellations();
    for (Millis At = Hour; At < StreamDurationMs; At += Hour) {
      const int Index = m_random.uniformInt(0, 10);
      m_stream.m_outages.push_back(
          {m_stream.m_workers[static_cast<std::size_t>(Index)].m_name, At,
           At + m_random.uniformInt(2, 20) * Minute});
    }
    return std::move(m_stream);
  }

private:
  void addWorker(int I, int Cores, int MemoryMb) {
    sched::WorkerView W;
    W.m_name = "w" + std::to_string(10 + I);
    W.m_rack = "rack" + std::to_string(I / 3);
    W.m_dataCentre = "dc" + std::to_string(I / 4);
    W.m_region = I < 8 ? "main" : "remote";
    W.m_accelerators = 8;
    W.m_slots = 8;
    W.m_cores = Cores;
    W.m_memoryMb = MemoryMb;
    m_stream.m_workers.push_back(W);
  }

  void addJob(const JobKind &K, Millis At) {
    StreamJob J;
    sched::WaitingView &V = J.m_job;
    V.m_submittedMs = At;
    V.m_urgent = K.m_urgent;
    V.m_preemptible = !K.m_urgent;
    V.m_spec.m_class = K.m_class;
    V.m_spec.m_account = "account" + std::to_string(m_random.uniformInt(0, 3));
    V.m_spec.m_members = m_random.uniformInt(K.m_members[0], K.m_members[1]);
    const int Exponent =
        m_random.uniformInt(K.m_log2Accelerators[0], K.m_log2Accelerators[1]);
    V.m_spec.m_accelerators = Exponent < 0 ? 0 : 1 << Exponent;
    J.m_actualRunMs =
        static_cast<Millis>(m_random.logUniform(K.m_runMs[0], K.m_runMs[1]));
    // The declared run time is between an eighth and eight times the actual
    // one.
    V.m_spec.m_runMs = static_cast<Millis>(
        static_cast<double>(J.m_actualRunMs) * m_random.logUniform(0.125, 8));
    m_stream.m_jobs.push_back(J);
  }

  // Every two hours, about a fifth of the jobs submitted in the ten minutes
  // before are cancelled at once.
  void addCancellations() {
    for (StreamJob &J : m_stream.m_jobs) {
      const Millis CancelMs =
          (J.m_job.m_submittedMs / (2 * Hour) + 1) * 2 * Hour;
      if (CancelMs - J.m_job.m_submittedMs < 10 * Minute &&
          m_random.uniform() < 0.2)
        J.m_cancelMs = CancelMs;
    }
  }

  Random m_random;
  JobStream m_stream;
};

} // namespace

JobStream makeLendingStream(unsigned Seed) {
  StreamBuilder B("lending", Seed, 32, 64000);
  B.addJobs({"score", true, {1, 1}, {-1, 0}, {200, 5000}}, 8 * Second, 2);
  B.addJobs({"report", false, {1, 1}, {0, 2}, {20 * Second, 10 * Minute}},
            25 * Second, 1);
  B.addJobs({"train", false, {1, 1}, {2, 3}, {20 * Minute, 2 * Hour}},
            9 * Minute, 1);
  B.addJobs({"gang", false, {2, 3}, {3, 3}, {20 * Minute, Hour}}, 40 * Minute,
            1);
  return B.finish();
}

JobStream makeTicketingStream(unsigned Seed) {
  StreamBuilder B("ticketing", Seed, 128, 256000);
  B.addJobs({"price", true, {1, 1}, {-1, 0}, {200, 5000}}, 30 * Second, 2);
  B.addJobs({"small", false, {1, 1}, {0, 2}, {30 * Second, 15 * Minute}},
            8 * Minute, 20);
  B.addJobs({"medium", false, {1, 2}, {1, 2}, {5 * Minute, 40 * Minute}},
            4 * Minute, 1);
  B.addJobs({"gang", false, {3, 6}, {3, 3}, {10 * Minute, 50 * Minute}},
            30 * Minute, 1);
  return B.finish();
}

} // namespace pomelokeel::bench
