#include "standin/log.h"

#include <algorithm>
#include <string_view>

namespace pomelokeel::standin {
namespace {

// Returns the stream name in path `/streams/{s}/records`, or "".
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
    : m_options(Options), m_appendTokens(Options.m_maxAppendsPerSecond),
      m_tokensUpdatedMs(base::monotonicNow()) {
  if (!m_options.m_file.empty())
    loadFile();
  start(Options.m_listen);
}

void LogStandin::setFaults(const LogFaults &Faults) {
  const std::lock_guard Lock(m_mutex);
  replaceFaults(Faults);
}

std::uint64_t LogStandin::append(const std::string &Name, const Json &Value) {
  const std::lock_guard Lock(m_mutex);
  store(Name, Value);
  return m_streams[Name].nextOffset() - 1;
}

void LogStandin::dropBefore(const std::string &Name, std::uint64_t Offset) {
  const std::lock_guard Lock(m_mutex);
  Stream &S = m_streams[Name];
  while (S.m_firstOffset < Offset && !S.m_records.empty()) {
    S.m_records.pop_front();
    ++S.m_firstOffset;
  }
}

std::vector<Json> LogStandin::values(const std::string &Name) const {
  const std::lock_guard Lock(m_mutex);
  std::vector<Json> Out;
  if (const auto It = m_streams.find(Name); It != m_streams.end()) {
    for (const Record &E : It->second.m_records)
      Out.push_back(E.m_value);
  }
  return Out;
}

int LogStandin::requestCount() const {
  const std::lock_guard Lock(m_mutex);
  return m_requestCount;
}

int LogStandin::appendCount() const {
  const std::lock_guard Lock(m_mutex);
  return m_appendCount;
}

std::uint64_t LogStandin::lastConnection() const {
  const std::lock_guard Lock(m_mutex);
  return m_lastConnection;
}

void LogStandin::handle(const http::Request &R, http::Responder Answer) {
  const std::string Path = http::pathOf(R.m_target);
  if (Path == "/faults")
    return handleFaults(R, Answer);
  m_lastConnection = std::max(m_lastConnection, R.m_connection);
  ++m_requestCount;
  m_appendCount += R.m_method == "POST" ? 1 : 0;
  if (m_faults.m_outage || isSilenced(R.m_connection))
    return leaveUnanswered(std::move(Answer));
  if (m_faults.m_refuse)
    return respond(R.m_connection, Answer,
                   http::errorResponse({base::ErrorKind::LogUnavailable,
                                        "refused by a fault"}));
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
    replaceFaults(*Faults);
  }
  Answer(jsonResponse(base::encode(m_faults)));
}

void LogStandin::replaceFaults(const LogFaults &Faults) {
  m_faults = Faults;
  m_lastSilencedConnection = Faults.m_silentConnections ? m_lastConnection : 0;
}

bool LogStandin::isSilenced(std::uint64_t Connection) const {
  return Connection <= m_lastSilencedConnection;
}

bool LogStandin::takeAppendToken() {
  const Millis Now = base::monotonicNow();
  const double Limit = m_options.m_maxAppendsPerSecond;
  m_appendTokens = std::min(
      Limit, m_appendTokens +
                 Limit * static_cast<double>(Now - m_tokensUpdatedMs) / 1000);
  m_tokensUpdatedMs = Now;
  if (m_appendTokens < 1)
    return false;
  m_appendTokens -= 1;
  return true;
}

void LogStandin::store(const std::string &Name, const Json &Value) {
  Stream &S = m_streams[Name];
  S.m_records.push_back({base::wallNow(), Value});
  // Flushed before the answer, so that a kill loses no acknowledged append.
  if (m_file.is_open())
    m_file << Json{{"stream", Name},
                   {"timeMs", S.m_records.back().m_timeMs},
                   {"value", Value}}
                  .dump()
           << std::endl;
  applyRetention(S);
  wake(); // Answers the long polls that wait for this record.
}

// Drops a last line that a kill left incomplete: its append was never
// acknowledged.
void LogStandin::loadFile() {
  std::ifstream In(m_options.m_file);
  std::string Kept;
  for (std::string Line; std::getline(In, Line);) {
    const Json J = Json::parse(Line, nullptr, false);
    if (!J.is_object())
      break;
    m_streams[J["stream"]].m_records.push_back({J["timeMs"], J["value"]});
    Kept += Line + '\n';
  }
  m_file.open(m_options.m_file, std::ios::trunc);
  m_file << Kept << std::flush;
}

void LogStandin::applyRetention(Stream &S) const {
  const Millis Oldest = m_options.m_retentionMs > 0
                            ? base::wallNow() - m_options.m_retentionMs
                            : 0;
  const std::uint64_t Most = m_options.m_retentionRecords > 0
                                 ? m_options.m_retentionRecords
                                 : S.m_records.size();
  while (!S.m_records.empty() &&
         (S.m_records.size() > Most || S.m_records.front().m_timeMs < Oldest)) {
    S.m_records.pop_front();
    ++S.m_firstOffset;
  }
}

void LogStandin::handleAppend(const std::string &Name, const http::Request &R,
                              const http::Responder &Answer) {
  const Json Body = Json::parse(R.m_body, nullptr, false);
  if (!Body.is_object() || !Body.contains("records") ||
      !Body["records"].is_array())
    return respond(R.m_connection, Answer, badRequest("no array \"records\""));
  if (!takeAppendToken()) {
    http::Response TooMany = badRequest("over the append limit");
    TooMany.m_status = 429;
    return respond(R.m_connection, Answer, TooMany);
  }
  const std::uint64_t First = m_streams[Name].nextOffset();
  for (const Json &Value : Body["records"])
    store(Name, Value);
  if (m_faults.m_loseAppendAnswers > 0) {
    --m_faults.m_loseAppendAnswers;
    return Answer(http::noAnswer());
  }
  respond(
      R.m_connection, Answer,
      jsonResponse({{"first", First}, {"next", m_streams[Name].nextOffset()}}));
}

void LogStandin::handleRead(const std::string &Name, const http::Request &R,
                            const http::Responder &Answer) {
  PendingRead P{Name,
                unsignedQueryOf(R, "from", 0),
                unsignedQueryOf(R, "max", 100),
                base::monotonicNow() +
                    static_cast<Millis>(unsignedQueryOf(R, "waitMs", 0)),
                R.m_connection,
                Answer};
  m_pendingReads.push_back(std::move(P));
  wake();
}

Millis LogStandin::tick(Millis Now) {
  Millis Due = Never;
  for (auto It = m_pendingReads.begin(); It != m_pendingReads.end();) {
    const Stream &S = m_streams[It->m_stream];
    const bool Waits =
        It->m_fromOffset >= S.nextOffset() && It->m_deadlineMs > Now;
    if (Waits) {
      Due = std::min(Due, It->m_deadlineMs);
      ++It;
      continue;
    }
    respond(It->m_connection, It->m_answer, readResponse(*It));
    It = m_pendingReads.erase(It);
  }
  return Due;
}

http::Response LogStandin::readResponse(const PendingRead &P) {
  Stream &S = m_streams[P.m_stream];
  applyRetention(S);
  Json Records = Json::array();
  const bool Dropped = P.m_fromOffset < S.m_firstOffset;
  const std::uint64_t End =
      std::min(S.nextOffset(), P.m_fromOffset + P.m_maxRecords);
  for (std::uint64_t I = P.m_fromOffset; !Dropped && I < End; ++I) {
    const Record &E = S.m_records[I - S.m_firstOffset];
    Records.push_back(
        {{"offset", I}, {"timeMs", E.m_timeMs}, {"value", E.m_value}});
  }
  http::Response R = jsonResponse({{"records", std::move(Records)},
                                   {"first", S.m_firstOffset},
                                   {"next", S.nextOffset()}});
  R.m_status = Dropped ? 410 : 200;
  return R;
}

void LogStandin::respond(std::uint64_t Connection,
                         const http::Responder &Answer, http::Response R) {
  if (m_faults.m_outage || isSilenced(Connection))
    return leaveUnanswered(Answer);
  answerLater(Answer, std::move(R), m_faults.m_delayMs);
}

} // namespace pomelokeel::standin
