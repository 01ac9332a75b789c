#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

/// General-purpose utilities that do not depend on jobs or workers.
namespace pomelokeel::base {

/// All error kinds. errorInfo() returns how each is reported.
enum class ErrorKind {
  BadRequest,
  BadSettings,
  UnknownField,
  WrongType,
  OutOfRange,
  NotFound,
  UnknownSchema,
  UnknownAccount,
  UnknownClass,
  VersionConflict,
  GuaranteeExceedsCapacity,
  QuotaExceeded,
  QueueFull,
  TooLarge,
  CanNeverRun,
  DeadlinePassed,
  Cancelled,
  AttemptsExhausted,
  WorkerLost,
  Preempted,
  StaleEpoch,
  StaleFence,
  ReservationExpired,
  DuplicateTask,
  LogUnavailable,
  LogUnconfirmed,
  LogTruncated,
  BehindRetention,
  NotReady,
  ShuttingDown,
  Timeout,
  Unreachable,
  Overloaded,
  Internal,
};

/// How an error kind is reported to callers.
struct ErrorInfo {
  std::string_view m_name; ///< Stable name in JSON, logs and docs.
  int m_httpStatus;
  int m_exitCode;            ///< Exit code of `ctl`.
  bool m_notRun;             ///< True if the work certainly did not run.
  bool m_retryable;          ///< True if the same request may succeed later.
  std::string_view m_advice; ///< What an operator or caller can do.
};

/// Returns how errors of \p Kind are reported.
const ErrorInfo &errorInfo(ErrorKind Kind);

/// Returns the kind with the given name, if there is one.
std::optional<ErrorKind> errorKindFromName(std::string_view Name);

/// An error kind with a human-readable message.
struct Error {
  ErrorKind m_kind = ErrorKind::Internal;
  std::string m_message;
};

/// Formats \p E as `kind: message`, with the name of the kind.
std::string toString(const Error &E);

/// Success value of operations that return nothing.
using Unit = std::monostate;

/// Either a value or an Error. Accessing the alternative that is not held
/// throws std::bad_variant_access.
template <typename T> class Result {
public:
  Result(T Value) : m_value(std::in_place_index<0>, std::move(Value)) {}
  Result(Error E) : m_value(std::in_place_index<1>, std::move(E)) {}

  bool ok() const { return m_value.index() == 0; }
  explicit operator bool() const { return ok(); }
  T &value() { return std::get<0>(m_value); }
  const T &value() const { return std::get<0>(m_value); }
  T &operator*() { return value(); }
  const T &operator*() const { return value(); }
  T *operator->() { return &value(); }
  const T *operator->() const { return &value(); }
  const Error &error() const { return std::get<1>(m_value); }

private:
  std::variant<T, Error> m_value;
};

/// Result of an operation without a value.
using Status = Result<Unit>;

/// The successful Status.
inline Status success() { return Unit{}; }

} // namespace pomelokeel::base
