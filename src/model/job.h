#pragma once

#include "base/clock.h"
#include "base/error.h"
#include "base/fields.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pomelokeel::model {

using base::Json;
using base::Millis;

/// A job as its caller submits it.
struct JobSpec {
  std::string m_key; ///< Idempotency key, unique within the account.
  std::string m_account;
  std::string m_class;
  int m_members = 1;
  int m_accelerators = 0; ///< Adjacent accelerators per member.
  int m_cores = 1;        ///< Per member.
  int m_memoryMb = 256;   ///< Per member.
  Millis m_runMs = 1000;  ///< Run time that the caller expects.
  /// Time from acceptance within which the job must start; 0: no deadline.
  Millis m_deadlineMs = 0;
  Json m_payload = Json::object();

  static constexpr auto fields() {
    return std::tuple{base::required("key", &JobSpec::m_key),
                      base::required("account", &JobSpec::m_account),
                      base::required("class", &JobSpec::m_class),
                      base::optional("members", &JobSpec::m_members),
                      base::optional("accelerators", &JobSpec::m_accelerators),
                      base::optional("cores", &JobSpec::m_cores),
                      base::optional("memoryMb", &JobSpec::m_memoryMb),
                      base::optional("runMs", &JobSpec::m_runMs),
                      base::optional("deadlineMs", &JobSpec::m_deadlineMs),
                      base::optional("payload", &JobSpec::m_payload)};
  }
};

/// Checks the limits that do not depend on the replicated state. Error:
/// outOfRange.
base::Status checkSpec(const JobSpec &Spec);

/// Where one member of a job runs.
struct MemberPlace {
  std::string m_worker;
  int m_firstAccelerator = 0;
  int m_accelerators = 0; ///< Adjacent, from the first one on.

  bool operator==(const MemberPlace &) const = default;

  static constexpr auto fields() {
    return std::tuple{
        base::required("worker", &MemberPlace::m_worker),
        base::optional("firstAccelerator", &MemberPlace::m_firstAccelerator),
        base::optional("accelerators", &MemberPlace::m_accelerators)};
  }
};

/// Phase of an accepted job. Finished jobs have an Outcome.
enum class JobPhase { Waiting, Placed, Running, Finished };

/// How a job ended.
enum class Outcome { Completed, NotRun, Failed, Cancelled, Unknown };

/// The result of a job as its caller receives it.
struct JobResult {
  Outcome m_outcome = Outcome::Unknown;
  std::optional<base::ErrorKind> m_reason; ///< Absent for Completed.
  std::string m_message;
  Json m_answer; ///< Of a completed job: array with one answer per member.

  static constexpr auto fields() {
    return std::tuple{base::required("outcome", &JobResult::m_outcome),
                      base::optional("reason", &JobResult::m_reason),
                      base::optional("message", &JobResult::m_message),
                      base::optional("answer", &JobResult::m_answer)};
  }
};

/// An accepted job in the replicated state.
struct Job {
  std::string m_id;
  JobSpec m_spec;
  std::uint64_t m_offset = 0; ///< Offset of the jobSubmitted record.
  Millis m_submittedMs = 0;   ///< Log time of that record.
  JobPhase m_phase = JobPhase::Waiting;
  int m_attempt = 0;         ///< Current or last attempt; 0 before the first.
  std::uint64_t m_fence = 0; ///< Offset of the jobPlaced record.
  std::vector<MemberPlace> m_places; ///< Places of the current attempt.
  Millis m_placedMs = 0;
  Millis m_startedMs = 0;
  Millis m_finishedMs = 0;
  /// Log time before which no further attempt is placed (backoff).
  Millis m_notBeforeMs = 0;
  int m_failures = 0; ///< Attempts that count against maxAttempts.
  int m_preemptions = 0;
  bool m_mayHaveRun = false; ///< An earlier attempt may have run.
  bool m_cancelRequested = false;
  Json m_checkpoint;        ///< Latest checkpoint to resume from.
  std::string m_lastReason; ///< Why the last attempt ended.
  std::optional<JobResult> m_result;

  static constexpr auto fields() {
    return std::tuple{
        base::required("id", &Job::m_id),
        base::required("spec", &Job::m_spec),
        base::required("offset", &Job::m_offset),
        base::required("submittedMs", &Job::m_submittedMs),
        base::required("phase", &Job::m_phase),
        base::optional("attempt", &Job::m_attempt),
        base::optional("fence", &Job::m_fence),
        base::optional("places", &Job::m_places),
        base::optional("placedMs", &Job::m_placedMs),
        base::optional("startedMs", &Job::m_startedMs),
        base::optional("finishedMs", &Job::m_finishedMs),
        base::optional("notBeforeMs", &Job::m_notBeforeMs),
        base::optional("failures", &Job::m_failures),
        base::optional("preemptions", &Job::m_preemptions),
        base::optional("mayHaveRun", &Job::m_mayHaveRun),
        base::optional("cancelRequested", &Job::m_cancelRequested),
        base::optional("checkpoint", &Job::m_checkpoint),
        base::optional("lastReason", &Job::m_lastReason),
        base::optional("result", &Job::m_result)};
  }
};

/// Returns the task id under which a worker runs one member of one attempt:
/// `JOB.ATTEMPT.MEMBER`.
std::string taskId(const std::string &JobId, int Attempt, int Member);

} // namespace pomelokeel::model

namespace pomelokeel::base {
template <> struct NameTable<model::JobPhase> {
  static constexpr std::array<std::string_view, 4> Names = {
      "waiting", "placed", "running", "finished"};
};
template <> struct NameTable<model::Outcome> {
  static constexpr std::array<std::string_view, 5> Names = {
      "completed", "notRun", "failed", "cancelled", "unknown"};
};
} // namespace pomelokeel::base
