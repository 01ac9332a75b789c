#include "ctl/client.h"

#include "http/http.h"

#include <utility>

namespace pomelokeel::ctl {
namespace {

using base::Error;
using base::ErrorKind;
using base::Json;
using base::Result;

// Returns the text in a member, or "" if another program answered in a form of
// its own.
std::string textOf(const Json &Object, const char *Name) {
  if (!Object.is_object())
    return "";
  const auto It = Object.find(Name);
  return It != Object.end() && It->is_string() ? It->get<std::string>() : "";
}

Result<Json> decodeResponse(const http::Response &R) {
  Json Body = base::parseJson(R.m_body);
  if (Body.is_discarded())
    return Error{ErrorKind::Internal, "the response body is not valid JSON"};
  if (R.m_status < 300)
    return Body;
  const Json &Detail = Body.contains("error") ? Body["error"] : Body;
  const auto Kind = base::errorKindFromName(textOf(Detail, "kind"));
  return Error{Kind.value_or(ErrorKind::Internal), textOf(Detail, "message")};
}

} // namespace

Client::Client(std::vector<std::string> Addresses, int TimeoutMs)
    : m_addresses(std::move(Addresses)), m_timeoutMs(TimeoutMs) {}

Result<Json> Client::get(const std::string &Target) const {
  Result<Json> Last = Error{ErrorKind::Unreachable, "no entry address given"};
  for (const std::string &Address : m_addresses) {
    Last = getFrom(Address, Target);
    if (Last || (Last.error().m_kind != ErrorKind::Unreachable &&
                 Last.error().m_kind != ErrorKind::Timeout &&
                 Last.error().m_kind != ErrorKind::NotReady))
      return Last;
  }
  return Last;
}

Result<Json> Client::getFrom(const std::string &Address,
                             const std::string &Target) const {
  const auto Connection = http::Client::create(Address);
  const auto Outcome = Connection->call({"GET", Target, ""}, m_timeoutMs);
  if (const auto *Failed = std::get_if<http::CallError>(&Outcome))
    return Failed->m_error;
  return decodeResponse(std::get<http::Response>(Outcome));
}

Result<Json> Client::send(const std::string &Method, const std::string &Target,
                          const Json &Body) const {
  Result<Json> Last = Error{ErrorKind::Unreachable, "no entry address given"};
  for (const std::string &Address : m_addresses) {
    const auto Connection = http::Client::create(Address);
    const auto Outcome = Connection->call(
        {Method, Target, Body.is_null() ? "" : base::dumpJson(Body)},
        m_timeoutMs);
    const auto *Failed = std::get_if<http::CallError>(&Outcome);
    if (!Failed)
      return decodeResponse(std::get<http::Response>(Outcome));
    Last = Failed->m_error;
    if (Failed->m_sent == http::Sent::Maybe)
      return Last;
  }
  return Last;
}

Result<Json> getFromLeader(const Client &C, const std::string &Target) {
  auto Answer = C.get(Target);
  if (!Answer)
    return Answer;
  const std::string Leader = textOf(*Answer, "askLeader");
  if (Leader.empty())
    return Answer;
  auto Complete = C.getFrom(Leader, Target);
  return Complete ? Complete : Answer;
}

} // namespace pomelokeel::ctl
