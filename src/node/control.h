#pragma once

#include "base/compact.h"
#include "base/counters.h"
#include "base/events.h"
#include "http/http.h"

#include <optional>
#include <string>
#include <utility>

/// The protocol between the processes: HTTP requests with msgpack bodies. A
/// message is an array of its fields in the order of its field table.
namespace pomelokeel::node {

constexpr const char *CallerPath = "/v1/batch/request";
constexpr const char *ReportPath = "/v1/batch/report";
constexpr const char *ConfigPath = "/v1/batch/config";
constexpr const char *TakeoverPath = "/v1/batch/takeover";
constexpr const char *LeaderPath = "/v1/batch/leader";

/// Returns the target of an agent's request for the leader. It names the agent.
std::string leaderQuery(const std::string &Agent);

/// Returns the agent that a request for the leader names, or "".
std::string agentOf(const std::string &Target);

/// Answers a request for the latest events (`/v1/events`) or the counters
/// (`/metrics`). Returns std::nullopt for other paths.
std::optional<http::Response> answerDiagnostics(const std::string &Path,
                                                const base::EventLog &Events,
                                                const base::Counters &Counters);

/// Most values in a message. An empty array is one byte and takes 80 bytes of
/// memory when parsed, so the size of a body bounds the memory too loosely. The
/// messages themselves have far fewer: a report with 500 ends has 3,000.
constexpr std::size_t MaxMessageValues = 200000;

/// HTTP status of a process that is not the leader.
constexpr int NotLeaderStatus = 421;

template <typename T> std::string packMessage(const T &Value) {
  const auto Bytes = base::Json::to_msgpack(base::encodeCompact(Value));
  return {Bytes.begin(), Bytes.end()};
}

/// Error: badRequest and the kinds of decodeCompact().
template <typename T> base::Result<T> unpackMessage(const std::string &Body) {
  const base::Json J =
      base::parseMsgpack(reinterpret_cast<const std::uint8_t *>(Body.data()),
                         Body.size(), MaxMessageValues);
  if (J.is_discarded())
    return base::Error{base::ErrorKind::BadRequest, "not valid msgpack"};
  T Out{};
  if (auto S = base::decodeCompact(J, "", Out); !S)
    return S.error();
  return Out;
}

template <typename T> http::Request toRequest(const char *Path, const T &Body) {
  http::Request R;
  R.m_method = "POST";
  R.m_target = Path;
  R.m_contentType = "application/msgpack";
  R.m_body = packMessage(Body);
  return R;
}

template <typename T> http::Response toResponse(const T &Body) {
  return {200, packMessage(Body), "application/msgpack", {}};
}

} // namespace pomelokeel::node
