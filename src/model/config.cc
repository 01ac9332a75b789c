#include "model/config.h"

#include <algorithm>
#include <array>

namespace pomelokeel::model {
namespace {

using base::Error;
using base::ErrorKind;
using base::Result;
using base::Status;

constexpr int MaxBlockSize = 1024;    // accelerators
constexpr int MaxBlockCount = 100000; // blocks
constexpr Millis MaxDuration = 7 * 24 * 3600 * 1000LL;
constexpr std::size_t MaxNameLength = 128;

// The structs below decode the record bodies of schema versions 1 and 2. In
// schema 1, a guarantee is a number of blocks that all have the same size.
struct AccountV1 {
  int m_blocks = 0;
  int m_blockSize = 1;
  int m_maxAccelerators = 0;
  int m_maxWaiting = 1000;

  static constexpr auto fields() {
    return std::tuple{
        base::required("blocks", &AccountV1::m_blocks),
        base::required("blockSize", &AccountV1::m_blockSize),
        base::optional("maxAccelerators", &AccountV1::m_maxAccelerators),
        base::optional("maxWaiting", &AccountV1::m_maxWaiting)};
  }
};

struct AccountV2 {
  std::vector<BlockDemand> m_guarantee;
  int m_maxAccelerators = 0;
  int m_maxWaiting = 1000;

  static constexpr auto fields() {
    return std::tuple{
        base::required("guarantee", &AccountV2::m_guarantee),
        base::optional("maxAccelerators", &AccountV2::m_maxAccelerators),
        base::optional("maxWaiting", &AccountV2::m_maxWaiting)};
  }
};

// Schema 1 of a job class has no durations; they keep the defaults of JobClass.
struct JobClassV1 {
  JobClass m_value;
  bool m_urgent = false;
  bool m_idempotent = true;
  bool m_preemptible = true;
  int m_maxAttempts = 3;

  static constexpr auto fields() {
    return std::tuple{
        base::optional("urgent", &JobClassV1::m_urgent),
        base::optional("idempotent", &JobClassV1::m_idempotent),
        base::optional("preemptible", &JobClassV1::m_preemptible),
        base::optional("maxAttempts", &JobClassV1::m_maxAttempts)};
  }
};

struct JobClassV2 : JobClass {
  static constexpr auto fields() {
    return std::tuple{
        base::optional<JobClass>("urgent", &JobClass::m_urgent),
        base::optional<JobClass>("idempotent", &JobClass::m_idempotent),
        base::optional<JobClass>("preemptible", &JobClass::m_preemptible),
        base::optional<JobClass>("maxAttempts", &JobClass::m_maxAttempts),
        base::optional<JobClass>("backoffMs", &JobClass::m_backoffMs),
        base::optional<JobClass>("orphanLimitMs", &JobClass::m_orphanLimitMs),
        base::optional<JobClass>("startTimeoutMs", &JobClass::m_startTimeoutMs),
        base::optional<JobClass>("checkpointTimeoutMs",
                                 &JobClass::m_checkpointTimeoutMs),
        base::optional<JobClass>("throttleTimeoutMs",
                                 &JobClass::m_throttleTimeoutMs),
        base::optional<JobClass>("stopTimeoutMs", &JobClass::m_stopTimeoutMs)};
  }
};

struct RuleBody : PlacementRule {
  static constexpr auto fields() {
    return std::tuple{
        base::optional<PlacementRule>("strategy", &PlacementRule::m_strategy),
        base::optional<PlacementRule>("completionWeight",
                                      &PlacementRule::m_completionWeight),
        base::optional<PlacementRule>("fragmentationWeight",
                                      &PlacementRule::m_fragmentationWeight),
        base::optional<PlacementRule>("reserveAfterMs",
                                      &PlacementRule::m_reserveAfterMs)};
  }
};

struct DrainBody {
  bool m_draining = true;

  static constexpr auto fields() {
    return std::tuple{base::required("draining", &DrainBody::m_draining)};
  }
};

template <typename T>
Status checkRange(const char *Name, T Value, T Low, T High) {
  if (Value >= Low && Value <= High)
    return base::success();
  return Error{ErrorKind::OutOfRange,
               "\"body." + std::string(Name) + "\" must be from " +
                   std::to_string(Low) + " to " + std::to_string(High)};
}

Error unknownSchema(const ConfigRecord &R) {
  return {ErrorKind::UnknownSchema,
          "schema " + std::to_string(R.m_schema) + " of " +
              std::string(base::nameOf(R.m_kind)) + " \"" + R.m_name +
              "\" is not known; known schemas are 1 and 2"};
}

template <typename Body> Result<Body> readBody(const ConfigRecord &R) {
  Body Out;
  if (auto S = base::decode(R.m_body, "body", Out); !S)
    return S.error();
  return Out;
}

Status checkAccount(const Account &A) {
  for (const BlockDemand &B : A.m_guarantee) {
    if (auto S = checkRange("guarantee.size", B.m_size, 1, MaxBlockSize); !S)
      return S;
    if (auto S = checkRange("guarantee.count", B.m_count, 0, MaxBlockCount); !S)
      return S;
  }
  if (auto S = checkRange("maxAccelerators", A.m_maxAccelerators, 0, 1000000);
      !S)
    return S;
  return checkRange("maxWaiting", A.m_maxWaiting, 1, 1000000);
}

Result<Account> checkedAccount(Account A) {
  if (auto S = checkAccount(A); !S)
    return S.error();
  return A;
}

struct DurationField {
  const char *m_name;
  Millis JobClass::*m_member;
};

constexpr std::array ClassDurations = {
    DurationField{"backoffMs", &JobClass::m_backoffMs},
    DurationField{"orphanLimitMs", &JobClass::m_orphanLimitMs},
    DurationField{"startTimeoutMs", &JobClass::m_startTimeoutMs},
    DurationField{"checkpointTimeoutMs", &JobClass::m_checkpointTimeoutMs},
    DurationField{"throttleTimeoutMs", &JobClass::m_throttleTimeoutMs},
    DurationField{"stopTimeoutMs", &JobClass::m_stopTimeoutMs}};

Result<JobClass> checkedClass(JobClass C) {
  if (auto S = checkRange("maxAttempts", C.m_maxAttempts, 1, 100); !S)
    return S.error();
  for (const DurationField &F : ClassDurations) {
    if (auto S = checkRange<Millis>(F.m_name, C.*(F.m_member), 1, MaxDuration);
        !S)
      return S.error();
  }
  return C;
}

template <typename T> Status statusOf(const Result<T> &R) {
  if (!R)
    return R.error();
  return base::success();
}

using RecordChecker = Status (*)(const ConfigRecord &);

// Indexed by ConfigKind.
constexpr std::array<RecordChecker, 4> RecordCheckers = {
    [](const ConfigRecord &R) { return statusOf(readAccount(R)); },
    [](const ConfigRecord &R) { return statusOf(readJobClass(R)); },
    [](const ConfigRecord &R) { return statusOf(readPlacementRule(R)); },
    [](const ConfigRecord &R) { return statusOf(readDrain(R)); }};

} // namespace

Result<Account> readAccount(const ConfigRecord &R) {
  if (R.m_schema == 1) {
    const auto Body = readBody<AccountV1>(R);
    if (!Body)
      return Body.error();
    return checkedAccount({R.m_name,
                           {{Body->m_blockSize, Body->m_blocks}},
                           Body->m_maxAccelerators,
                           Body->m_maxWaiting});
  }
  if (R.m_schema != 2)
    return unknownSchema(R);
  const auto Body = readBody<AccountV2>(R);
  if (!Body)
    return Body.error();
  return checkedAccount({R.m_name, Body->m_guarantee, Body->m_maxAccelerators,
                         Body->m_maxWaiting});
}

Result<JobClass> readJobClass(const ConfigRecord &R) {
  JobClass C;
  if (R.m_schema == 1) {
    const auto Body = readBody<JobClassV1>(R);
    if (!Body)
      return Body.error();
    C.m_urgent = Body->m_urgent;
    C.m_idempotent = Body->m_idempotent;
    C.m_preemptible = Body->m_preemptible;
    C.m_maxAttempts = Body->m_maxAttempts;
  } else if (R.m_schema == 2) {
    const auto Body = readBody<JobClassV2>(R);
    if (!Body)
      return Body.error();
    C = *Body;
  } else {
    return unknownSchema(R);
  }
  C.m_name = R.m_name;
  return checkedClass(std::move(C));
}

Result<PlacementRule> readPlacementRule(const ConfigRecord &R) {
  if (R.m_schema != 1 && R.m_schema != 2)
    return unknownSchema(R);
  const auto Body = readBody<RuleBody>(R);
  if (!Body)
    return Body.error();
  PlacementRule Rule = *Body;
  Rule.m_name = R.m_name;
  if (Rule.m_completionWeight < 0 || Rule.m_fragmentationWeight < 0)
    return Error{ErrorKind::OutOfRange, "weights must not be negative"};
  if (auto S = checkRange<Millis>("reserveAfterMs", Rule.m_reserveAfterMs, 0,
                                  MaxDuration);
      !S)
    return S.error();
  return Rule;
}

Result<Drain> readDrain(const ConfigRecord &R) {
  if (R.m_schema != 1 && R.m_schema != 2)
    return unknownSchema(R);
  const auto Body = readBody<DrainBody>(R);
  if (!Body)
    return Body.error();
  return Drain{R.m_name, Body->m_draining};
}

Status checkRecord(const ConfigRecord &R) {
  if (R.m_name.empty() || R.m_name.size() > MaxNameLength)
    return Error{ErrorKind::OutOfRange,
                 "\"name\" must have 1 to 128 characters"};
  if (R.m_version != R.m_previousVersion + 1)
    return Error{ErrorKind::BadRequest,
                 "\"version\" must be \"previousVersion\" + 1"};
  return RecordCheckers[static_cast<std::size_t>(R.m_kind)](R);
}

} // namespace pomelokeel::model
