#include "standin/log.h"

#include <algorithm>
#include <string_view>

namespace pomelokeel::standin {
namespace {

// The stream of target `/streams/{s}/records`, or "".
std::string streamOf(const std::string &Path) {
  constexpr std::string_view Prefix = "/streams/";
  constexpr std::string_view Suffix = "/records";
  if (Path.size() <= Prefix.size() + Suffix.size() ||
      !Path.starts_with(Prefix) || !Path.ends_with(Suffix))
    return "";
  return Path.substr(Prefix.size(),
                     Path.size() - Prefix.size() - Suffix.size());
}

http::Response badRequest(const std::string &Message) {
  return http::errorResponse({base::ErrorKind::BadRequest, Message});
}

} // namespace

LogStandin::LogStandin(const LogOptions &Options)
    : m_options(Options), m_tokens(Options.m_maxAppendsPerSecond),
      m_tokensMs(base::monotonicNow()) {
  if (!m_options.m_file.empty())
    load();
  start(Options.m_listen);
}

void LogStandin::setFaults(const LogFaults &Faults) {
  const std::lock_guard Lock(m_mutex);
  applyFaults(Faults);
}

std::uint64_t LogStandin::append(const std::string &Name, const Json &Value) {
  const std::lock_guard Lock(m_mutex);
  store(Name, Value);
  return m_streams[Name].next() - 1;
}

void LogStandin::dropBefore(const std::string &Name, std::uint64_t Offset) {
  const std::lock_guard Lock(m_mutex);
  Stream &S = m_streams[Name];
  while (S.m_first < Offset && !S.m_entries.empty()) {
    S.m_entries.pop_front();
    ++S.m_first;
  }
}

std::vector<Json> LogStandin::values(const std::string &Name) const {
  const std::lock_guard Lock(m_mutex);
  std::vector<Json> Out;
  if (const auto It = m_streams.find(Name); It != m_streams.end()) {
    for (const Entry &E : It->second.m_entries)
      Out.push_back(E.m_value);
  }
  return Out;
}

int LogStandin::requests() const {
  const std::lock_guard Lock(m_mutex);
  return m_requests;
}

int LogStandin::appends() const {
  const std::lock_guard Lock(m_mutex);
  return m_appends;
}

std::uint64_t LogStandin::connections() const {
  const std::lock_guard Lock(m_mutex);
  return m_lastConnection;
}

void LogStandin::handle(const http::Request &R, http::Responder Answer) {
  const std::string Path = http::pathOf(R.m_target);
  if (Path == "/faults")
    return handleFaults(R, Answer);
  m_lastConnection = std::max(m_lastConnection, R.m_connection);
  ++m_requests;
  m_appends += R.m_method == "POST" ? 1 : 0;
  if (m_faults.m_outage || silent(R.m_connection))
    return hold(std::move(Answer));
  if (m_faults.m_refuse)
    return finish(R.m_connection, Answer,
                  http::errorResponse(
                      {base::ErrorKind::LogUnavailable, "refused by a fault"}));
  const std::string Name = streamOf(Path);
  if (!Name.empty() && R.m_method == "POST")
    return handleAppend(Name, R, Answer);
  if (!Name.empty() && R.m_method == "GET")
    return handleRead(Name, R, Answer);
  Answer(http::errorResponse({base::ErrorKind::NotFound, R.m_target}));
}

void LogStandin::handleFaults(const http::Request &R,
                              const http::Responder &Answer) {
  if (R.m_method == "POST") {
    const auto Faults = base::parse<LogFaults>(R.m_body);
    if (!Faults)
      return Answer(http::errorResponse(Faults.error()));
    applyFaults(*Faults);
  }
  Answer(jsonResponse(base::encode(m_faults)));
}

void LogStandin::applyFaults(const LogFaults &Faults) {
  m_faults = Faults;
  m_lastSilent = Faults.m_silentConnections ? m_lastConnection : 0;
}

bool LogStandin::silent(std::uint64_t Connection) const {
  return Connection <= m_lastSilent;
}

bool LogStandin::takeToken() {
  const Millis Now = base::monotonicNow();
  const double Limit = m_options.m_maxAppendsPerSecond;
  m_tokens = std::min(
      Limit, m_tokens + Limit * static_cast<double>(Now - m_tokensMs) / 1000);
  m_tokensMs = Now;
  if (m_tokens < 1)
    return false;
  m_tokens -= 1;
  return true;
}

void LogStandin::store(const std::string &Name, const Json &Value) {
  Stream &S = m_streams[Name];
  S.m_entries.push_back({base::wallNow(), Value});
  if (m_file.is_open())
    m_file << Json{{"stream", Name},
                   {"timeMs", S.m_entries.back().m_timeMs},
                   {"value", Value}}
                  .dump()
           << std::endl; // Before the answer, so that a kill loses nothing.
  retain(S);
  wake(); // Answers long polls.
}

// A line that a kill left incomplete was never answered and is dropped.
void LogStandin::load() {
  std::ifstream In(m_options.m_file);
  std::string Kept;
  for (std::string Line; std::getline(In, Line);) {
    const Json J = Json::parse(Line, nullptr, false);
    if (!J.is_object())
      break;
    m_streams[J["stream"]].m_entries.push_back({J["timeMs"], J["value"]});
    Kept += Line + '\n';
  }
  m_file.open(m_options.m_file, std::ios::trunc);
  m_file << Kept << std::flush;
}

void LogStandin::retain(Stream &S) const {
  const Millis Oldest = m_options.m_retentionMs > 0
                            ? base::wallNow() - m_options.m_retentionMs
                            : 0;
  const std::uint64_t Most = m_options.m_retentionRecords > 0
                                 ? m_options.m_retentionRecords
                                 : S.m_entries.size();
  while (!S.m_entries.empty() &&
         (S.m_entries.size() > Most || S.m_entries.front().m_timeMs < Oldest)) {
    S.m_entries.pop_front();
    ++S.m_first;
  }
}

void LogStandin::handleAppend(const std::string &Name, const http::Request &R,
                              const http::Responder &Answer) {
  const Json Body = Json::parse(R.m_body, nullptr, false);
  if (!Body.is_object() || !Body.contains("records") ||
      !Body["records"].is_array())
    return finish(R.m_connection, Answer, badRequest("no array \"records\""));
  if (!takeToken()) {
    http::Response TooMany = badRequest("over the append limit");
    TooMany.m_status = 429;
    return finish(R.m_connection, Answer, TooMany);
  }
  const std::uint64_t First = m_streams[Name].next();
  for (const Json &Value : Body["records"])
    store(Name, Value);
  if (m_faults.m_loseAppendAnswers > 0) {
    --m_faults.m_loseAppendAnswers;
    return Answer(http::noAnswer());
  }
  finish(R.m_connection, Answer,
         jsonResponse({{"first", First}, {"next", m_streams[Name].next()}}));
}

void LogStandin::handleRead(const std::string &Name, const http::Request &R,
                            const http::Responder &Answer) {
  Poll P{Name,
         numberOf(R, "from", 0),
         numberOf(R, "max", 100),
         base::monotonicNow() + static_cast<Millis>(numberOf(R, "waitMs", 0)),
         R.m_connection,
         Answer};
  m_polls.push_back(std::move(P));
  wake();
}

Millis LogStandin::tick(Millis Now) {
  Millis Due = Never;
  for (auto It = m_polls.begin(); It != m_polls.end();) {
    const Stream &S = m_streams[It->m_stream];
    const bool Waits = It->m_from >= S.next() && It->m_deadline > Now;
    if (Waits) {
      Due = std::min(Due, It->m_deadline);
      ++It;
      continue;
    }
    finish(It->m_connection, It->m_answer, page(*It));
    It = m_polls.erase(It);
  }
  return Due;
}

http::Response LogStandin::page(const Poll &P) {
  Stream &S = m_streams[P.m_stream];
  retain(S);
  Json Records = Json::array();
  const bool Dropped = P.m_from < S.m_first;
  const std::uint64_t End = std::min(S.next(), P.m_from + P.m_max);
  for (std::uint64_t I = P.m_from; !Dropped && I < End; ++I) {
    const Entry &E = S.m_entries[I - S.m_first];
    Records.push_back(
        {{"offset", I}, {"timeMs", E.m_timeMs}, {"value", E.m_value}});
  }
  http::Response R = jsonResponse({{"records", std::move(Records)},
                                   {"first", S.m_first},
                                   {"next", S.next()}});
  R.m_status = Dropped ? 410 : 200;
  return R;
}

void LogStandin::finish(std::uint64_t Connection, const http::Responder &Answer,
                        http::Response R) {
  if (m_faults.m_outage || silent(Connection))
    return hold(Answer);
  answerLater(Answer, std::move(R), m_faults.m_delayMs);
}

} // namespace pomelokeel::standin
