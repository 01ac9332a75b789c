#include "base/error.h"

#include <array>
#include <cstddef>

namespace pomelokeel::base {
namespace {

// One row per ErrorKind, in the order of the enumeration.
constexpr std::array ErrorTable = {
    ErrorAnswer{"badRequest", 400, 2, true, false, "correct the request"},
    ErrorAnswer{"badSettings", 400, 2, true, false, "correct the settings"},
    ErrorAnswer{"unknownField", 400, 2, true, false, "remove the field"},
    ErrorAnswer{"wrongType", 400, 2, true, false, "correct the type"},
    ErrorAnswer{"outOfRange", 400, 2, true, false, "correct the value"},
    ErrorAnswer{"notFound", 404, 3, true, false, "check the name"},
    ErrorAnswer{"unknownSchema", 400, 2, true, false, "use schema 1 or 2"},
    ErrorAnswer{"unknownAccount", 404, 3, true, false, "publish the account"},
    ErrorAnswer{"unknownClass", 404, 3, true, false, "publish the job class"},
    ErrorAnswer{"versionConflict", 409, 4, true, false,
                "read the current version and publish again"},
    ErrorAnswer{"guaranteeExceedsCapacity", 409, 4, true, false,
                "lower a guarantee or add workers"},
    ErrorAnswer{"quotaExceeded", 429, 5, true, true,
                "wait for the account's jobs"},
    ErrorAnswer{"queueFull", 429, 5, true, true, "retry later"},
    ErrorAnswer{"tooLarge", 413, 2, true, false, "send less"},
    ErrorAnswer{"canNeverRun", 422, 2, true, false,
                "lower what the job asks for"},
    ErrorAnswer{"deadlinePassed", 504, 6, true, false,
                "submit with a later deadline"},
    ErrorAnswer{"cancelled", 409, 6, false, false, "none"},
    ErrorAnswer{"attemptsExhausted", 500, 6, false, false,
                "read the job's explanation"},
    ErrorAnswer{"workerLost", 500, 6, false, false,
                "check the effect before submitting again"},
    ErrorAnswer{"preempted", 409, 6, false, true, "none, the job is requeued"},
    ErrorAnswer{"staleEpoch", 409, 7, true, false, "none, a new leader acts"},
    ErrorAnswer{"staleFence", 409, 7, true, false, "none, a newer attempt"},
    ErrorAnswer{"reservationExpired", 409, 7, true, true, "none, retried"},
    ErrorAnswer{"duplicateTask", 409, 7, true, false, "none"},
    ErrorAnswer{"logUnavailable", 503, 8, true, true,
                "retry when the log service is back"},
    ErrorAnswer{"logUnconfirmed", 202, 8, false, true,
                "poll with the same idempotency key"},
    ErrorAnswer{"logTruncated", 503, 8, true, true, "none, a snapshot is read"},
    ErrorAnswer{"behindRetention", 503, 8, true, true,
                "raise the log's retention or the snapshot rate"},
    ErrorAnswer{"notReady", 503, 8, true, true, "retry at another entry"},
    ErrorAnswer{"shuttingDown", 503, 8, true, true, "retry at another entry"},
    ErrorAnswer{"timeout", 504, 8, false, true, "poll for the outcome"},
    ErrorAnswer{"unreachable", 503, 8, true, true, "check address and network"},
    ErrorAnswer{"overloaded", 503, 5, true, true, "retry later"},
    ErrorAnswer{"internal", 500, 1, false, false, "report a bug"},
};
static_assert(ErrorTable.size() ==
              static_cast<std::size_t>(ErrorKind::Internal) + 1);

} // namespace

const ErrorAnswer &errorAnswer(ErrorKind Kind) {
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
  return std::string(errorAnswer(E.m_kind).m_name) + ": " + E.m_message;
}

} // namespace pomelokeel::base
