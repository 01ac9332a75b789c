#include "bench.h"

#include "state/state.h"

#include <malloc.h>

#include <chrono>

namespace pomelokeel::bench {
namespace {

using model::RecordKind;

constexpr int JobCount = 1500;
constexpr int ConfigChangeCount = 2000;
constexpr int WorkerCount = 1300;
constexpr int AccountCount = 65;

double heapBytes() {
  const struct mallinfo2 Info = mallinfo2();
  return static_cast<double>(Info.uordblks + Info.hblkhd);
}

// A log of records and the state that results from applying them.
class AppliedLog {
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

  // Applies the records added since the last call.
  void applyNew() {
    for (; m_appliedCount < m_log.size(); ++m_appliedCount)
      state::apply(m_state, m_log[m_appliedCount]);
  }

  std::size_t recordCount() const { return m_log.size(); }

  state::State m_state;

private:
  std::vector<model::LogEntry> m_log;
  std::size_t m_appliedCount = 0;
};

void addWorkers(AppliedLog &Log) {
  for (int I = 0; I < WorkerCount; ++I) {
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
    Log.add(RecordKind::WorkerAnnounced, W);
  }
}

void addConfig(AppliedLog &Log, int First, int Count) {
  for (int I = First; I < First + Count; ++I) {
    const auto Version = static_cast<std::uint64_t>(I / AccountCount);
    Log.add(RecordKind::ConfigPublished,
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

void addJobs(AppliedLog &Log) {
  for (int I = 0; I < JobCount; ++I) {
    model::Submission S;
    S.m_job = "job-" + std::to_string(I);
    S.m_spec.m_key = "key-" + std::to_string(I);
    S.m_spec.m_account = "account-" + std::to_string(I % AccountCount);
    S.m_spec.m_class = "batch";
    S.m_spec.m_accelerators = 1;
    Log.add(RecordKind::JobSubmitted, S);
    Log.add(RecordKind::JobPlaced,
            model::Placement{S.m_job, 1, {{"worker-1", 0, 1}}, "balanced"}, 1);
    Log.add(RecordKind::JobStarted, model::JobStart{S.m_job, 1}, 1);
    model::Finish F;
    F.m_job = S.m_job;
    F.m_attempt = 1;
    F.m_result.m_outcome = model::Outcome::Completed;
    F.m_result.m_answer = "an answer of some forty characters, or more";
    Log.add(RecordKind::JobFinished, F, 1);
  }
}

// Prints the time to apply the new records, and the heap memory that the state
// grows by for each of the Count items that they add. The figures fold.* are
// named after an earlier term for applying records.
void measureApply(AppliedLog &Log, const std::string &ItemName, int Count) {
  const double BytesBefore = heapBytes();
  const auto Start = std::chrono::steady_clock::now();
  Log.applyNew();
  const std::chrono::duration<double, std::milli> Taken =
      std::chrono::steady_clock::now() - Start;
  printFigure("state.bytesPer" + ItemName, (heapBytes() - BytesBefore) / Count,
              "B");
  printFigure("fold." + ItemName, Taken.count(), "ms");
}

} // namespace

void benchmarkState() {
  AppliedLog Log;
  addWorkers(Log);
  measureApply(Log, "Worker", WorkerCount);
  addConfig(Log, 0, AccountCount);
  Log.add(RecordKind::ConfigPublished,
          model::ConfigRecord{model::ConfigKind::JobClass, "batch", 1, 0, 2,
                              "operator", base::Json::object()});
  Log.add(RecordKind::LeaderClaimed, model::LeaderClaim{"entry-1", "1"}, 1);
  Log.applyNew();
  // The figures of configuration changes include the history of versions, whose
  // length is bounded.
  addConfig(Log, AccountCount, ConfigChangeCount);
  measureApply(Log, "ConfigChange", ConfigChangeCount);
  addJobs(Log);
  measureApply(Log, "Job", JobCount);
  printFigure("state.configVersion",
              static_cast<double>(Log.m_state.m_configVersion), "changes");
  printFigure("state.jobs", static_cast<double>(Log.m_state.m_jobs.size()),
              "jobs");
}

} // namespace pomelokeel::bench
