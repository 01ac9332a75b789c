#include "entry/api.h"

#include "base/fields.h"

#include <array>
#include <charconv>
#include <string_view>
#include <vector>

namespace pomelokeel::entry {
namespace {

using base::Error;
using base::ErrorKind;
using base::Result;

using Parameters = std::vector<std::string>;
using Parser = Result<ApiRequest> (*)(const http::Request &,
                                      const Parameters &);

// A route: "*" stands for one segment of the path, which becomes a parameter.
struct Route {
  std::string_view m_method;
  std::string_view m_path;
  Parser m_parse;
};

int hexDigit(char C) {
  if (C >= '0' && C <= '9')
    return C - '0';
  if (C >= 'a' && C <= 'f')
    return C - 'a' + 10;
  if (C >= 'A' && C <= 'F')
    return C - 'A' + 10;
  return -1;
}

// Decodes a path segment. A malformed escape is kept as it is.
std::string percentDecode(std::string_view Text) {
  std::string Out;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    const bool Escape = Text[I] == '%' && I + 2 < Text.size() &&
                        hexDigit(Text[I + 1]) >= 0 &&
                        hexDigit(Text[I + 2]) >= 0;
    if (!Escape) {
      Out += Text[I];
      continue;
    }
    Out +=
        static_cast<char>(hexDigit(Text[I + 1]) * 16 + hexDigit(Text[I + 2]));
    I += 2;
  }
  return Out;
}

std::vector<std::string_view> segmentsOf(std::string_view Path) {
  std::vector<std::string_view> Segments;
  while (!Path.empty()) {
    Path.remove_prefix(1);
    const auto End = std::min(Path.find('/'), Path.size());
    Segments.push_back(Path.substr(0, End));
    Path.remove_prefix(End);
  }
  return Segments;
}

std::optional<Parameters> match(std::string_view Pattern,
                                std::string_view Path) {
  const auto Wanted = segmentsOf(Pattern);
  const auto Given = segmentsOf(Path);
  if (Wanted.size() != Given.size())
    return std::nullopt;
  Parameters Out;
  for (std::size_t I = 0; I < Wanted.size(); ++I) {
    if (Wanted[I] == "*" && !Given[I].empty())
      Out.push_back(percentDecode(Given[I]));
    else if (Wanted[I] != Given[I])
      return std::nullopt;
  }
  return Out;
}

// Reads an integer query parameter from 0 to Max, or Default if it is absent.
Result<Millis> integerOf(const http::Request &R, const char *Name,
                         Millis Default, Millis Max) {
  const std::string Text = http::queryOf(R.m_target, Name);
  if (Text.empty())
    return Default;
  Millis Value = 0;
  const char *Last = Text.data() + Text.size();
  const auto [End, Code] = std::from_chars(Text.data(), Last, Value);
  if (Code != std::errc() || End != Last || Value < 0 || Value > Max)
    return Error{ErrorKind::OutOfRange, "\"" + std::string(Name) +
                                            "\" must be from 0 to " +
                                            std::to_string(Max)};
  return Value;
}

Result<Millis> waitOf(const http::Request &R) {
  return integerOf(R, "waitMs", 0, MaxWaitMs);
}

Result<ApiRequest> parseSubmit(const http::Request &R, const Parameters &) {
  const auto Wait = waitOf(R);
  if (!Wait)
    return Wait.error();
  auto Spec = base::parse<model::JobSpec>(R.m_body);
  if (!Spec)
    return Spec.error();
  return ApiRequest(SubmitJob{std::move(*Spec), *Wait});
}

Result<ApiRequest> parseGetJob(const http::Request &R, const Parameters &P) {
  const auto Wait = waitOf(R);
  if (!Wait)
    return Wait.error();
  return ApiRequest(GetJob{P[0], *Wait});
}

Result<ApiRequest> parseGetByKey(const http::Request &R, const Parameters &P) {
  const auto Wait = waitOf(R);
  if (!Wait)
    return Wait.error();
  return ApiRequest(GetByKey{P[0], P[1], *Wait});
}

Result<ApiRequest> parseCancel(const http::Request &R, const Parameters &P) {
  return ApiRequest(CancelJob{P[0], http::queryOf(R.m_target, "author")});
}

template <typename Request>
Result<ApiRequest> parseRecord(const http::Request &R, const Parameters &) {
  auto Record = base::parse<model::ConfigRecord>(R.m_body);
  if (!Record)
    return Record.error();
  return ApiRequest(Request{std::move(*Record)});
}

Result<ApiRequest> parseHistory(const http::Request &, const Parameters &P) {
  const auto Kind = base::fromName<model::ConfigKind>(P[0]);
  if (!Kind)
    return Error{ErrorKind::NotFound,
                 "configuration kind \"" + P[0] + "\" does not exist"};
  return ApiRequest(GetConfigHistory{*Kind, P[1]});
}

Result<ApiRequest> parseListJobs(const http::Request &R, const Parameters &) {
  ListJobs Out;
  Out.m_account = http::queryOf(R.m_target, "account");
  const std::string Phase = http::queryOf(R.m_target, "phase");
  if (!Phase.empty()) {
    Out.m_phase = base::fromName<model::JobPhase>(Phase);
    if (!Out.m_phase)
      return Error{ErrorKind::OutOfRange,
                   "\"phase\" has unknown value \"" + Phase + "\""};
  }
  const auto Limit = integerOf(R, "limit", 100, MaxJobsListed);
  if (!Limit)
    return Limit.error();
  Out.m_limit = static_cast<std::size_t>(*Limit);
  return ApiRequest(Out);
}

Result<ApiRequest> parseExplain(const http::Request &, const Parameters &P) {
  return ApiRequest(ExplainJob{P[0]});
}

template <typename Request>
Result<ApiRequest> parsePlain(const http::Request &, const Parameters &) {
  return ApiRequest(Request{});
}

constexpr std::array Routes = {
    Route{"POST", "/v1/jobs", parseSubmit},
    Route{"GET", "/v1/jobs", parseListJobs},
    Route{"GET", "/v1/jobs/*", parseGetJob},
    Route{"DELETE", "/v1/jobs/*", parseCancel},
    Route{"GET", "/v1/jobs/*/explain", parseExplain},
    Route{"GET", "/v1/keys/*/*", parseGetByKey},
    Route{"POST", "/v1/config", parseRecord<PublishConfig>},
    Route{"POST", "/v1/config/check", parseRecord<CheckConfig>},
    Route{"GET", "/v1/config", parsePlain<ListConfig>},
    Route{"GET", "/v1/config/*/*", parseHistory},
    Route{"GET", "/v1/status", parsePlain<GetStatus>},
    Route{"GET", "/v1/events", parsePlain<GetEvents>},
    Route{"GET", "/v1/members", parsePlain<GetMembers>},
    Route{"GET", "/metrics", parsePlain<GetMetrics>}};

} // namespace

Result<ApiRequest> parseRequest(const http::Request &R) {
  const std::string Path = http::pathOf(R.m_target);
  for (const Route &Candidate : Routes) {
    if (Candidate.m_method != R.m_method)
      continue;
    if (const auto Found = match(Candidate.m_path, Path))
      return Candidate.m_parse(R, *Found);
  }
  return Error{ErrorKind::NotFound, R.m_method + " " + Path + " is no route"};
}

http::Response jsonResponse(int HttpStatus, const base::Json &J) {
  return {HttpStatus,
          J.dump(-1, ' ', false, base::Json::error_handler_t::replace),
          "application/json"};
}

http::Response lookupError(const Error &E) {
  const base::ErrorInfo &Row = base::errorInfo(E.m_kind);
  return jsonResponse(Row.m_httpStatus, {{"error",
                                          {{"kind", Row.m_name},
                                           {"message", E.m_message},
                                           {"notRun", false},
                                           {"retryable", Row.m_retryable}}}});
}

} // namespace pomelokeel::entry
