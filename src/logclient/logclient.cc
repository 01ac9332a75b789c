#include "logclient/logclient.h"

#include "http/http.h"

#include <fmt/format.h>

#include <mutex>
#include <utility>

namespace pomelokeel::logclient {
namespace {

using base::Error;
using base::ErrorKind;

constexpr int StatusGone = 410;
constexpr int StatusTooManyRequests = 429;
constexpr int StatusServiceUnavailable = 503;

bool readUnsigned(const Json &J, const char *Name, std::uint64_t &Out) {
  const auto It = J.find(Name);
  if (It == J.end() || !It->is_number_unsigned())
    return false;
  Out = It->get<std::uint64_t>();
  return true;
}

// Ignores unknown fields: the log service is versioned independently of this
// project and may add some.
bool decodeValue(Json &J, ReadPage::Value &Out) {
  std::uint64_t TimeMs = 0;
  if (!J.is_object() || !J.contains("value") ||
      !readUnsigned(J, "offset", Out.m_offset) ||
      !readUnsigned(J, "timeMs", TimeMs))
    return false;
  Out.m_timeMs = static_cast<Millis>(TimeMs);
  Out.m_value = std::move(J["value"]);
  return true;
}

bool decodePage(const std::string &Text, ReadPage &Out) {
  // Sets no nesting limit, so that one deeply nested value does not make the
  // whole page unreadable. This is safe because parsing and moving do not
  // recurse.
  Json J = Json::parse(Text, nullptr, false);
  if (!J.is_object() || !readUnsigned(J, "first", Out.m_first) ||
      !readUnsigned(J, "next", Out.m_next))
    return false;
  const auto Records = J.find("records");
  if (Records == J.end())
    return true;
  if (!Records->is_array())
    return false;
  for (Json &Record : *Records) {
    ReadPage::Value Value;
    if (!decodeValue(Record, Value))
      return false;
    Out.m_values.push_back(std::move(Value));
  }
  return true;
}

AppendOutcome unconfirmed(const std::string &Message) {
  return {AppendFate::Unconfirmed, 0, {ErrorKind::LogUnconfirmed, Message}};
}

AppendOutcome noEffect(ErrorKind Kind, const std::string &Message) {
  return {AppendFate::NoEffect, 0, {Kind, Message}};
}

AppendOutcome appendOutcome(const http::Response &R) {
  if (R.m_status == 200) {
    const Json J = base::parseJson(R.m_body);
    AppendOutcome Out{AppendFate::Done, 0, {}};
    if (!J.is_object() || !readUnsigned(J, "first", Out.m_first))
      return unconfirmed("the log service's answer is not valid");
    return Out;
  }
  const std::string Message =
      fmt::format("the log service answered with status {}", R.m_status);
  if (R.m_status == StatusTooManyRequests)
    return noEffect(ErrorKind::Overloaded, Message);
  // The log service sends 4xx and 503 before it stores anything. With any other
  // 5xx status the append may have taken effect.
  if (R.m_status == StatusServiceUnavailable ||
      (R.m_status >= 400 && R.m_status < 500))
    return noEffect(ErrorKind::LogUnavailable, Message);
  return unconfirmed(Message);
}

std::string recordsTarget(const std::string &Stream) {
  return "/streams/" + http::percentEncode(Stream) + "/records";
}

} // namespace

struct LogClient::Impl {
  explicit Impl(LogSettings Settings)
      : m_settings(std::move(Settings)),
        m_client(http::Client::create(m_settings.m_address)) {}

  std::shared_ptr<http::Client> client() const {
    const std::lock_guard Lock(m_mutex);
    return m_client;
  }

  // Replaces the connection, because it may have stopped carrying data.
  void reconnect() {
    const std::lock_guard Lock(m_mutex);
    if (m_cancelled)
      return;
    m_replacedSent += m_client->bytesSent();
    m_replacedReceived += m_client->bytesReceived();
    m_client = http::Client::create(m_settings.m_address);
  }

  base::Result<http::Response> get(const std::string &Target, int WaitMs) {
    const auto Outcome = client()->call({"GET", Target, "", "application/json"},
                                        WaitMs + m_settings.m_timeoutMs);
    if (const auto *Failed = std::get_if<http::CallError>(&Outcome))
      return Error{ErrorKind::LogUnavailable, Failed->m_error.m_message};
    const auto &R = std::get<http::Response>(Outcome);
    if (R.m_status == 200 || R.m_status == StatusGone)
      return R;
    return Error{
        ErrorKind::LogUnavailable,
        fmt::format("the log service answered with status {}", R.m_status)};
  }

  // Reads a page. Sets Truncated if retention has dropped From; the page then
  // tells which offsets the log holds.
  base::Result<ReadPage> readPage(const std::string &Stream, std::uint64_t From,
                                  int Max, int WaitMs, bool &Truncated) {
    const auto R = get(fmt::format("{}?from={}&max={}&waitMs={}",
                                   recordsTarget(Stream), From, Max, WaitMs),
                       WaitMs);
    ReadPage Page;
    if (R && decodePage(R->m_body, Page)) {
      Truncated = R->m_status == StatusGone;
      return Page;
    }
    reconnect();
    if (!R)
      return R.error();
    return Error{ErrorKind::LogUnavailable,
                 "the log service's answer is not valid"};
  }

  LogSettings m_settings;
  mutable std::mutex m_mutex;
  std::shared_ptr<http::Client> m_client;
  bool m_cancelled = false;
  // Bytes sent and received over the connections that were replaced.
  std::uint64_t m_replacedSent = 0;
  std::uint64_t m_replacedReceived = 0;
};

LogClient::LogClient(LogSettings Settings)
    : m_impl(std::make_unique<Impl>(std::move(Settings))) {}

LogClient::~LogClient() = default;

AppendOutcome LogClient::append(const std::string &Stream,
                                const std::vector<Json> &Values) {
  const Json Body = {{"records", Values}};
  return appendEncoded(Stream, base::dumpJson(Body));
}

AppendOutcome LogClient::appendEncoded(const std::string &Stream,
                                       std::string Body) {
  const auto Outcome = m_impl->client()->call(
      {"POST", recordsTarget(Stream), std::move(Body), "application/json"},
      m_impl->m_settings.m_timeoutMs);
  if (const auto *Failed = std::get_if<http::CallError>(&Outcome)) {
    const std::string &Message = Failed->m_error.m_message;
    return Failed->m_sent == http::Sent::No
               ? noEffect(ErrorKind::LogUnavailable, Message)
               : unconfirmed(Message);
  }
  return appendOutcome(std::get<http::Response>(Outcome));
}

base::Result<ReadPage> LogClient::read(const std::string &Stream,
                                       std::uint64_t From, int Max,
                                       int WaitMs) {
  bool Truncated = false;
  auto Page = m_impl->readPage(Stream, From, Max, WaitMs, Truncated);
  if (Page && Truncated)
    return Error{
        ErrorKind::LogTruncated,
        fmt::format(
            "offset {} was dropped by retention; the log holds {} to {}", From,
            Page->m_first, Page->m_next)};
  return Page;
}

base::Result<LogClient::Range> LogClient::range(const std::string &Stream) {
  bool Truncated = false;
  const auto Page = m_impl->readPage(Stream, 0, 1, 0, Truncated);
  if (!Page)
    return Page.error();
  return Range{Page->m_first, Page->m_next};
}

void LogClient::cancel() {
  const std::lock_guard Lock(m_impl->m_mutex);
  m_impl->m_cancelled = true;
  m_impl->m_client->cancel();
}

std::uint64_t LogClient::bytesSent() const {
  const std::lock_guard Lock(m_impl->m_mutex);
  return m_impl->m_replacedSent + m_impl->m_client->bytesSent();
}

std::uint64_t LogClient::bytesReceived() const {
  const std::lock_guard Lock(m_impl->m_mutex);
  return m_impl->m_replacedReceived + m_impl->m_client->bytesReceived();
}

} // namespace pomelokeel::logclient
