#pragma once

#include "base/clock.h"
#include "http/http.h"
#include "model/config.h"
#include "model/job.h"

#include <cstddef>
#include <optional>
#include <string>
#include <variant>

namespace pomelokeel::entry {

using base::Millis;

// Requests of callers and operators, by route; docs/design.md, section 5. A
// m_waitMs of 0 does not wait for the outcome.
struct SubmitJob {
  model::JobSpec m_spec;
  Millis m_waitMs = 0;
};
struct GetJob {
  std::string m_job;
  Millis m_waitMs = 0;
};
struct GetByKey {
  std::string m_account;
  std::string m_key;
  Millis m_waitMs = 0;
};
struct CancelJob {
  std::string m_job;
  std::string m_author;
};
struct PublishConfig {
  model::ConfigRecord m_record;
};
struct CheckConfig {
  model::ConfigRecord m_record;
};
struct ListConfig {};
struct GetConfigHistory {
  model::ConfigKind m_kind = model::ConfigKind::Account;
  std::string m_name;
};
struct GetStatus {};
struct ListJobs {
  std::string m_account; ///< Empty for all.
  std::optional<model::JobPhase> m_phase;
  std::size_t m_limit = 100;
};
struct ExplainJob {
  std::string m_job;
};
struct GetEvents {};
struct GetMembers {};
struct GetMetrics {};

using ApiRequest =
    std::variant<SubmitJob, GetJob, GetByKey, CancelJob, PublishConfig,
                 CheckConfig, ListConfig, GetConfigHistory, GetStatus, ListJobs,
                 ExplainJob, GetEvents, GetMembers, GetMetrics>;

/// Longest time that a request may wait for an outcome. Below the response
/// timeout of http::ServerLimits, so that the caller gets an answer.
constexpr Millis MaxWaitMs = 60000;

/// Maximum number of jobs in one answer of `GET /v1/jobs`.
constexpr std::size_t MaxJobsListed = 1000;

/// Finds the route of \p R and reads its parameters and body. Errors: notFound
/// for an unknown route, badRequest, outOfRange, unknownField, wrongType.
base::Result<ApiRequest> parseRequest(const http::Request &R);

/// An answer with \p J as its body.
http::Response jsonResponse(int HttpStatus, const base::Json &J);

/// The answer to a failed lookup or wait. Unlike http::errorResponse it never
/// sets `notRun`, because it says nothing about whether a submission ran.
http::Response lookupError(const base::Error &E);

} // namespace pomelokeel::entry
