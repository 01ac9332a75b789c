#include "node/router.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace pomelokeel::node {
namespace {

using batch::CallerReply;
using batch::CallerRequest;
using batch::CallerRequestKind;
using batch::Verdict;

constexpr std::size_t IdDigits = 16;

/// Retry delay before the configuration is read, which takes up to a second
/// after the start.
constexpr base::Millis NoConfigRetryMs = 1000;

CallerReply rejection(Verdict V, std::string Reason) {
  CallerReply Out;
  Out.m_verdict = V;
  Out.m_reason = std::move(Reason);
  return Out;
}

bool isJobId(const std::string &Text) {
  return Text.size() == IdDigits &&
         std::all_of(Text.begin(), Text.end(),
                     [](unsigned char C) { return std::isxdigit(C) != 0; });
}

} // namespace

std::optional<CallerReply> rejectionOf(const std::optional<batch::Config> &C,
                                       const CallerCall &Call) {
  if (!C) {
    CallerReply Out = rejection(Verdict::Unavailable, "no configuration yet");
    Out.m_retryAfterMs = NoConfigRetryMs;
    return Out;
  }
  const batch::Route *R = findRoute(*C, Call.m_host, Call.m_path);
  if (R == nullptr)
    return rejection(Verdict::NoQueue, "no such queue");
  if (!R->m_public && findAccount(*C, Call.m_key) == nullptr)
    return rejection(Verdict::Unauthorized, "unknown key");
  const std::string Id = Call.m_path.substr(R->m_prefix.size());
  const bool Counts = Id.empty() && Call.m_method == CallerCall::Method::Query;
  if (!Counts && !isJobId(Id))
    return rejection(Verdict::BadRequest, "the id is not 16 hex digits");
  return std::nullopt;
}

std::variant<CallerRequest, CallerReply>
route(const std::optional<batch::Config> &C, CallerCall Call) {
  if (auto Rejected = rejectionOf(C, Call))
    return std::move(*Rejected);
  const batch::Route *R = findRoute(*C, Call.m_host, Call.m_path);
  const batch::Account *A = findAccount(*C, Call.m_key);
  CallerRequest Out;
  Out.m_id = Call.m_path.substr(R->m_prefix.size());
  Out.m_queue = R->m_queue;
  Out.m_account = A == nullptr ? "" : A->m_name;
  Out.m_remainingMs = Call.m_remainingMs;
  if (Out.m_id.empty()) {
    Out.m_kind = CallerRequestKind::CountPending;
    return Out;
  }
  switch (Call.m_method) {
  case CallerCall::Method::Query:
    Out.m_kind = CallerRequestKind::Query;
    return Out;
  case CallerCall::Method::Cancel:
    Out.m_kind = CallerRequestKind::Cancel;
    return Out;
  case CallerCall::Method::Submit:
    break;
  }
  if (!Call.m_spec)
    return rejection(Verdict::BadRequest, Call.m_specError);
  Out.m_kind = CallerRequestKind::Submit;
  Out.m_spec = std::move(Call.m_spec);
  return Out;
}

} // namespace pomelokeel::node
