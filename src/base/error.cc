#include "base/error.h"

#include <array>
#include <cstddef>

namespace pomelokeel::base {
namespace {

// One row per ErrorKind, in the order of the enumeration.
constexpr std::array ErrorTable = {
    ErrorInfo{"badRequest", 400, 2, true, false, "correct the request"},
    ErrorInfo{"badSettings", 400, 2, true, false, "correct the settings"},
    ErrorInfo{"unknownField", 400, 2, true, false, "remove the field"},
    ErrorInfo{"wrongType", 400, 2, true, false, "correct the type"},
    ErrorInfo{"outOfRange", 400, 2, true, false, "correct the value"},
    ErrorInfo{"notFound", 404, 3, true, false, "check the name"},
    ErrorInfo{"unknownSchema", 400, 2, true, false, "use schema 1 or 2"},
    ErrorInfo{"unknownAccount", 404, 3, true, false, "publish the account"},
    ErrorInfo{"unknownClass", 404, 3, true, false, "publish the job class"},
    ErrorInfo{"versionConflict", 409, 4, true, false,
              "read the current version and publish again"},
    ErrorInfo{"guaranteeExceedsCapacity", 409, 4, true, false,
              "lower a guarantee or add workers"},
    ErrorInfo{"quotaExceeded", 429, 5, true, true,
              "wait for the account's jobs"},
    ErrorInfo{"queueFull", 429, 5, true, true, "retry later"},
    ErrorInfo{"tooLarge", 413, 2, true, false, "send less"},
    ErrorInfo{"canNeverRun", 422, 2, true, false,
              "lower what the job asks for"},
    ErrorInfo{"deadlinePassed", 504, 6, true, false,
              "submit with a later deadline"},
    ErrorInfo{"cancelled", 409, 6, false, false, "none"},
    ErrorInfo{"attemptsExhausted", 500, 6, false, false,
              "read the job's explanation"},
    ErrorInfo{"workerLost", 500, 6, false, false,
              "check the effect before submitting again"},
    ErrorInfo{"preempted", 409, 6, false, true, "none, the job is requeued"},
    ErrorInfo{"staleEpoch", 409, 7, true, false, "none, a new leader acts"},
    ErrorInfo{"staleFence", 409, 7, true, false, "none, a newer attempt"},
    ErrorInfo{"reservationExpired", 409, 7, true, true, "none, retried"},
    ErrorInfo{"duplicateTask", 409, 7, true, false, "none"},
    ErrorInfo{"logUnavailable", 503, 8, true, true,
              "retry when the log service is back"},
    ErrorInfo{"logUnconfirmed", 202, 8, false, true,
              "poll with the same idempotency key"},
    ErrorInfo{"logTruncated", 503, 8, true, true, "none, a snapshot is read"},
    ErrorInfo{"behindRetention", 503, 8, true, true,
              "raise the log's retention or the snapshot rate"},
    ErrorInfo{"notReady", 503, 8, true, true, "retry at another entry"},
    ErrorInfo{"shuttingDown", 503, 8, true, true, "retry at another entry"},
    ErrorInfo{"timeout", 504, 8, false, true, "poll for the outcome"},
    ErrorInfo{"unreachable", 503, 8, true, true, "check address and network"},
    ErrorInfo{"overloaded", 503, 5, true, true, "retry later"},
    ErrorInfo{"internal", 500, 1, false, false, "report a bug"},
};
static_assert(ErrorTable.size() ==
              static_cast<std::size_t>(ErrorKind::Internal) + 1);

} // namespace

const ErrorInfo &errorInfo(ErrorKind Kind) {
  return ErrorTable[static_cast<std::size_t>(Kind)];
}

std::optional<ErrorKind> errorKindFromName(std::string_view Name) {
  for (std::size_t I = 0; I < ErrorTable.size(); ++I) {
    if (ErrorTable[I].m_name == Name)
      return static_cast<ErrorKind>(I);
  }
  return std::nullopt;
}

std::string toString(const Error &E) {
  return std::string(errorInfo(E.m_kind).m_name) + ": " + E.m_message;
}

} // namespace pomelokeel::base
