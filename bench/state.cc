#include "bench.h"

#include "state/state.h"

#include <malloc.h>

#include <chrono>

namespace pomelokeel::bench {
namespace {

using model::RecordKind;

constexpr int Jobs = 1500;
constexpr int Changes = 2000;
constexpr int Workers = 1300;
constexpr int Accounts = 65;

double heapBytes() {
  const struct mallinfo2 Info = mallinfo2();
  return static_cast<double>(Info.uordblks + Info.hblkhd);
}

// Builds the records of a day and folds them.
class Day {
public:
  template <typename Body>
  void add(RecordKind Kind, const Body &B, std::uint64_t Epoch = 0) {
    model::LogEntry E;
    E.m_offset = m_log.size();
    E.m_timeMs = static_cast<base::Millis>(E.m_offset) * 10000;
    E.m_record.m_id = "record-" + std::to_string(E.m_offset);
    E.m_record.m_kind = Kind;
    E.m_record.m_by = "entry-1";
    E.m_record.m_epoch = Epoch;
    E.m_record.m_body = base::encode(B);
    m_log.push_back(std::move(E));
  }

  // Folds what was added since the last call.
  void fold() {
    for (; m_folded < m_log.size(); ++m_folded)
      state::apply(m_state, m_log[m_folded]);
  }

  std::size_t added() const { return m_log.size(); }

  state::State m_state;

private:
  std::vector<model::LogEntry> m_log;
  std::size_t m_folded = 0;
};

void addWorkers(Day &D) {
  for (int I = 0; I < Workers; ++I) {
    model::Worker W;
    W.m_name = "worker-" + std::to_string(I);
    W.m_incarnation = "incarnation-1";
    W.m_agentAddress = "tcp://10.0.0.1:4100";
    W.m_agentHttp = "10.0.0.1:4101";
    W.m_endpoint = "10.0.0.1:8080";
    W.m_dataCentre = "dc-" + std::to_string(I % 8);
    W.m_region = "region-" + std::to_string(I % 3);
    W.m_rack = "rack-" + std::to_string(I / 14);
    W.m_cores = 64;
    W.m_memoryMb = 256000;
    W.m_accelerators = I % 14 == 0 ? 8 : 1;
    D.add(RecordKind::WorkerAnnounced, W);
  }
}

void addConfig(Day &D, int First, int Count) {
  for (int I = First; I < First + Count; ++I) {
    const auto Version = static_cast<std::uint64_t>(I / Accounts);
    D.add(RecordKind::ConfigPublished,
          model::ConfigRecord{model::ConfigKind::Account,
                              "account-" + std::to_string(I % 65),
                              Version + 1,
                              Version,
                              2,
                              "operator",
                              {{"guarantee", {{{"size", 8}, {"count", 1}}}},
                               {"maxAccelerators", 100}}});
  }
}

void addJobs(Day &D) {
  for (int I = 0; I < Jobs; ++I) {
    model::Submission S;
    S.m_job = "job-" + std::to_string(I);
    S.m_spec.m_key = "key-" + std::to_string(I);
    S.m_spec.m_account = "account-" + std::to_string(I % Accounts);
    S.m_spec.m_class = "batch";
    S.m_spec.m_accelerators = 1;
    D.add(RecordKind::JobSubmitted, S);
    D.add(RecordKind::JobPlaced,
          model::Placement{S.m_job, 1, {{"worker-1", 0, 1}}, "balanced"}, 1);
    D.add(RecordKind::JobStarted, model::JobStart{S.m_job, 1}, 1);
    model::Finish F;
    F.m_job = S.m_job;
    F.m_attempt = 1;
    F.m_result.m_outcome = model::Outcome::Completed;
    F.m_result.m_answer = "an answer of some forty characters, or more";
    D.add(RecordKind::JobFinished, F, 1);
  }
}

// Heap that folding the records takes, for each of Count.
void measure(Day &D, const std::string &What, int Count) {
  const double Before = heapBytes();
  const auto Start = std::chrono::steady_clock::now();
  D.fold();
  const std::chrono::duration<double, std::milli> Taken =
      std::chrono::steady_clock::now() - Start;
  figure("state.bytesPer" + What, (heapBytes() - Before) / Count, "B");
  figure("fold." + What, Taken.count(), "ms");
}

} // namespace

void runState() {
  Day D;
  addWorkers(D);
  measure(D, "Worker", Workers);
  addConfig(D, 0, Accounts);
  D.add(RecordKind::ConfigPublished,
        model::ConfigRecord{model::ConfigKind::JobClass, "batch", 1, 0, 2,
                            "operator", base::Json::object()});
  D.add(RecordKind::LeaderClaimed, model::LeaderClaim{"entry-1", "1"}, 1);
  D.fold();
  // The config figures hold the bounded history of versions.
  addConfig(D, Accounts, Changes);
  measure(D, "ConfigChange", Changes);
  addJobs(D);
  measure(D, "Job", Jobs);
  figure("state.configVersion", static_cast<double>(D.m_state.m_configVersion),
         "changes");
  figure("state.jobs", static_cast<double>(D.m_state.m_jobs.size()), "jobs");
}

} // namespace pomelokeel::bench
