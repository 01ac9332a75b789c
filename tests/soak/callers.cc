#include "soak/callers.h"

#include "base/json.h"
#include "platform/names.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace pomelokeel::soak {
namespace {

using base::Json;
namespace names = platform::names;

constexpr Millis CallTimeoutMs = 3000;
/// Some callers give up a submission after this time and cancel the job.
constexpr Millis GiveUpMs = 300;
constexpr Millis QueryIntervalMs = 800;
constexpr Millis RetryDelayMs = 400;
/// A job is abandoned if its submission with this number, or a later one, is
/// refused.
constexpr int MaxSubmissions = 8;
constexpr const char *Host = "jobs.example";

/// Returns how many runs of each task fail, for a random number below 10.
int failingRuns(std::uint64_t Random) {
  constexpr int All = 1000;
  return Random == 0 ? 1 : Random == 1 ? All : 0;
}

} // namespace

std::string lengthQuery() {
  return fmt::format("GET /q0/ HTTP/1.1\r\nHost: {}\r\n{}: {}key\r\n\r\n", Host,
                     names::AuthorizationHeader, names::KeyScheme);
}

std::string configuration(int Version) {
  Json Routes = Json::array();
  for (const int Priority : {0, 1, 2})
    Routes.push_back({{"name", fmt::format("q{}", Priority)},
                      {"host", Host},
                      {"pathPrefix", fmt::format("/q{}/", Priority)},
                      {"service", "work"},
                      {"priority", Priority},
                      {"attempts", Attempts},
                      {"stretch", 2},
                      {"sloMs", 1000}});
  return base::dumpJson({{"version", Version},
                         {"routes", Routes},
                         {"tenants",
                          {{{"name", "t"},
                            {"apiKeys", {"key"}},
                            {"guaranteed", {{"gpu", 8}}}}}}});
}

Callers::Callers(http::Reactor &R, History &H, std::mt19937_64 &Random,
                 const std::vector<std::string> &Entries)
    : m_reactor(R), m_history(H), m_random(Random), m_entries(Entries) {}

void Callers::call(const char *Method, Job &J, std::string Body,
                   Millis TimeoutMs,
                   std::function<void(Job &, const http::CallResult &)> Done) {
  if (!J.m_entry || J.m_entryIsGone)
    J.m_entry = http::AsyncClient::create(
        m_reactor, m_entries[m_random() % m_entries.size()]);
  J.m_entryIsGone = false;
  J.m_callInFlight = true;
  http::Request R = makeRequest(Method, J);
  R.m_body = std::move(Body);
  J.m_entry->call(std::move(R), TimeoutMs,
                  [this, Id = J.m_id, SentAt = base::bootNow(),
                   Done = std::move(Done)](const http::CallResult &Got) {
                    Job &J = m_jobs[Id];
                    J.m_callInFlight = false;
                    J.m_nextCallAt = base::bootNow() + RetryDelayMs;
                    const auto *Failed = std::get_if<http::CallError>(&Got);
                    J.m_entryIsGone =
                        Failed != nullptr &&
                        Failed->m_error.m_kind == base::ErrorKind::Unreachable;
                    if (J.m_entryIsGone && Failed->m_sent == http::Sent::Maybe)
                      m_history.requestCut(J.m_entry->address(), SentAt);
                    Done(J, Got);
                  });
}

void Callers::addJobAt(const std::string &Entry) {
  Job J;
  J.m_id = fmt::format("{:016x}", m_random());
  const bool Gang = m_random() % m_jobsPerGang == 0;
  const int Count = 1 + static_cast<int>(m_random() % 4);
  const int Accelerators = 1 << (m_random() % 3);
  const int RunMs = 200 + static_cast<int>(m_random() % 2500);
  const Json Payload = {{"runMs", RunMs},
                        {"gpu", Accelerators},
                        {"gang", Gang ? Count : 1},
                        {"failing", failingRuns(m_random() % 10)}};
  Json Step = {{"count", Count},      {"cpu", 1000},    {"memMb", 100},
               {"gpu", Accelerators}, {"estMs", RunMs}, {"gang", Gang},
               {"rackLocal", Gang}};
  // Spreads the members over two workers, whose agents report them apart.
  if (Gang && m_random() % 2 == 0)
    Step["antiAffinity"] = (Count + 1) / 2;
  J.m_tasks = Count;
  J.m_body = base::dumpJson(
      {{"spec", base::dumpJson(Payload)}, {"steps", Json::array({Step})}});
  J.m_shouldCancel = m_random() % 8 == 0;
  J.m_shouldGiveUp = J.m_shouldCancel && J.m_id.front() % 2 == 0;
  if (!Entry.empty())
    J.m_entry = http::AsyncClient::create(m_reactor, Entry);
  m_jobs[J.m_id] = J;
}

http::Request Callers::makeRequest(const char *Method, const Job &J) const {
  http::Request R;
  R.m_method = Method;
  R.m_target = fmt::format("/q{}/{}", J.m_id.back() % 3, J.m_id);
  R.m_headers = {
      {"Host", Host},
      {names::AuthorizationHeader, std::string(names::KeyScheme) + "key"},
      {names::DeadlineHeader, std::to_string(CallTimeoutMs)}};
  return R;
}

void Callers::sendSubmit(Job &J) {
  ++J.m_submissions;
  m_history.submitted(J.m_id);
  const Millis TimeoutMs = J.m_shouldGiveUp ? GiveUpMs : CallTimeoutMs;
  call("POST", J, J.m_body, TimeoutMs,
       [this](Job &J, const http::CallResult &Result) {
         const auto *Got = std::get_if<http::Response>(&Result);
         const auto *Failed = std::get_if<http::CallError>(&Result);
         if (Got != nullptr && Got->m_status == 200) {
           J.m_accepted = true;
           return m_history.accepted(J.m_id);
         }
         const bool NotSent =
             Failed != nullptr && Failed->m_sent == http::Sent::No;
         const bool Refused =
             Got != nullptr && (Got->m_status == 503 || Got->m_status == 429);
         if (!NotSent && !Refused) {
           J.m_gaveUp = J.m_shouldGiveUp && Failed != nullptr;
           // Another entry answers the cancel.
           J.m_entryIsGone = J.m_entryIsGone || J.m_gaveUp;
           return;
         }
         m_history.refused(J.m_id);
         // A submission without an answer may have been accepted, so the job is
         // submitted again. Only a refusal lets the caller give up.
         J.m_abandoned = J.m_submissions >= MaxSubmissions;
       });
}

void Callers::sendQuery(Job &J) {
  call("GET", J, "", CallTimeoutMs,
       [this](Job &J, const http::CallResult &Result) {
         J.m_nextCallAt = base::bootNow() + QueryIntervalMs;
         const auto *Got = std::get_if<http::Response>(&Result);
         if (Got == nullptr || (Got->m_status != 200 && Got->m_status != 410))
           return;
         const Json Body = base::parseJson(Got->m_body);
         const std::string State =
             Got->m_status == 410 ? "gone" : Body.value("state", "");
         m_history.stateShown(J.m_id, State, J.m_tasks);
         J.m_ended = State != "queued" && State != "running";
       });
}

void Callers::sendCancel(Job &J) {
  // Recorded before the call, because the request can take effect even if it
  // is not answered.
  m_history.cancelRequested(J.m_id);
  call("DELETE", J, "", CallTimeoutMs,
       [this](Job &J, const http::CallResult &Result) {
         const auto *Got = std::get_if<http::Response>(&Result);
         const bool Unknown =
             Got != nullptr && Got->m_status == 410 && J.m_gaveUp;
         J.m_cancelConfirmed =
             Got != nullptr && (Got->m_status == 200 || Unknown);
         J.m_ended = J.m_ended || Unknown;
         if (J.m_cancelConfirmed)
           m_history.cancelAcknowledged(J.m_id);
       });
}

void Callers::tick() {
  const Millis Now = base::bootNow();
  for (auto &[Id, J] : m_jobs) {
    if (J.m_callInFlight || J.m_ended || J.m_abandoned || Now < J.m_nextCallAt)
      continue;
    if (!J.m_accepted && !J.m_gaveUp)
      sendSubmit(J);
    else if (J.m_shouldCancel && !J.m_cancelConfirmed)
      sendCancel(J);
    else
      sendQuery(J);
  }
}

void Callers::queryAcceptedAgain() {
  for (auto &[Id, J] : m_jobs) {
    if (!J.m_accepted)
      continue;
    J.m_ended = false;
    J.m_nextCallAt = 0;
  }
}

std::size_t Callers::unfinished() const {
  return static_cast<std::size_t>(
      std::count_if(m_jobs.begin(), m_jobs.end(), [](const auto &Item) {
        return !Item.second.m_ended && !Item.second.m_abandoned;
      }));
}

std::size_t Callers::accepted() const {
  return static_cast<std::size_t>(
      std::count_if(m_jobs.begin(), m_jobs.end(),
                    [](const auto &Item) { return Item.second.m_accepted; }));
}

} // namespace pomelokeel::soak
