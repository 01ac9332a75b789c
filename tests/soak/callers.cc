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

constexpr Millis CallMs = 3000;
constexpr Millis AskEveryMs = 800;
constexpr Millis RetryMs = 400;
/// Tries after which a caller that is refused each time gives up.
constexpr int MostTries = 8;
constexpr const char *Host = "jobs.example";

} // namespace

std::string configuration(int Version) {
  Json Routes = Json::array();
  for (const int Priority : {0, 1, 2})
    Routes.push_back({{"name", fmt::format("q{}", Priority)},
                      {"host", Host},
                      {"pathPrefix", fmt::format("/q{}/", Priority)},
                      {"service", "work"},
                      {"priority", Priority},
                      {"attempts", 3},
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
    : m_reactor(R), m_history(H), m_random(Random) {
  for (const std::string &Address : Entries)
    m_entries.push_back(http::AsyncClient::create(m_reactor, Address));
}

http::AsyncClient &Callers::anyEntry() {
  return *m_entries[m_random() % m_entries.size()];
}

void Callers::submit() {
  Job J;
  J.m_id = fmt::format("{:016x}", m_random());
  const bool Gang = m_random() % 3 == 0;
  const int Count = 1 + static_cast<int>(m_random() % 4);
  const int Accelerators = 1 << (m_random() % 3);
  const int RunMs = 200 + static_cast<int>(m_random() % 2500);
  const Json Payload = {{"runMs", RunMs},
                        {"gpu", Accelerators},
                        {"gang", Gang ? Count : 1},
                        {"failing", m_random() % 10 == 0 ? 1 : 0}};
  Json Step = {{"count", Count},      {"cpu", 1000},    {"memMb", 100},
               {"gpu", Accelerators}, {"estMs", RunMs}, {"gang", Gang},
               {"rackLocal", Gang}};
  J.m_tasks = Count;
  J.m_body = base::dumpJson(
      {{"spec", base::dumpJson(Payload)}, {"steps", Json::array({Step})}});
  J.m_cancel = m_random() % 8 == 0;
  m_jobs[J.m_id] = J;
}

http::Request Callers::request(const char *Method, const Job &J) const {
  http::Request R;
  R.m_method = Method;
  R.m_target = fmt::format("/q{}/{}", J.m_id.back() % 3, J.m_id);
  R.m_headers = {
      {"Host", Host},
      {names::AuthorizationHeader, std::string(names::KeyScheme) + "key"},
      {names::DeadlineHeader, std::to_string(CallMs)}};
  return R;
}

void Callers::attempt(const std::string &Id) {
  Job &J = m_jobs[Id];
  J.m_calling = true;
  ++J.m_tries;
  m_history.attempted(Id);
  http::Request R = request("POST", J);
  R.m_body = J.m_body;
  anyEntry().call(R, CallMs, [this, Id](const http::CallResult &Result) {
    Job &J = m_jobs[Id];
    J.m_calling = false;
    J.m_nextAt = base::bootNow() + RetryMs;
    const auto *Got = std::get_if<http::Response>(&Result);
    const auto *Failed = std::get_if<http::CallError>(&Result);
    if (Got != nullptr && Got->m_status == 200) {
      J.m_accepted = true;
      return m_history.accepted(Id);
    }
    const bool NotSent = Failed != nullptr && Failed->m_sent == http::Sent::No;
    const bool Refused =
        Got != nullptr && (Got->m_status == 503 || Got->m_status == 429);
    if (!NotSent && !Refused)
      return;
    m_history.refused(Id);
    // An attempt without an answer may have been accepted: such a job is asked
    // for until its outcome is known.
    J.m_dropped = J.m_tries >= MostTries;
  });
}

void Callers::ask(const std::string &Id) {
  Job &J = m_jobs[Id];
  J.m_calling = true;
  anyEntry().call(
      request("GET", J), CallMs, [this, Id](const http::CallResult &Result) {
        Job &J = m_jobs[Id];
        J.m_calling = false;
        J.m_nextAt = base::bootNow() + AskEveryMs;
        const auto *Got = std::get_if<http::Response>(&Result);
        if (Got == nullptr || (Got->m_status != 200 && Got->m_status != 410))
          return;
        const Json Body = base::parseJson(Got->m_body);
        const std::string State =
            Got->m_status == 410 ? "gone" : Body.value("state", "");
        m_history.shown(Id, State, J.m_tasks);
        J.m_over = State != "queued" && State != "running";
      });
}

void Callers::cancel(const std::string &Id) {
  Job &J = m_jobs[Id];
  J.m_calling = true;
  // It may take effect even if it is not answered.
  m_history.cancelAcknowledged(Id);
  anyEntry().call(request("DELETE", J), CallMs,
                  [this, Id](const http::CallResult &Result) {
                    Job &J = m_jobs[Id];
                    J.m_calling = false;
                    J.m_nextAt = base::bootNow() + RetryMs;
                    const auto *Got = std::get_if<http::Response>(&Result);
                    J.m_cancelled = Got != nullptr && Got->m_status == 200;
                  });
}

void Callers::tick() {
  const Millis Now = base::bootNow();
  for (auto &[Id, J] : m_jobs) {
    if (J.m_calling || J.m_over || J.m_dropped || Now < J.m_nextAt)
      continue;
    if (!J.m_accepted)
      attempt(Id);
    else if (J.m_cancel && !J.m_cancelled)
      cancel(Id);
    else
      ask(Id);
  }
}

void Callers::askForAll() {
  for (auto &[Id, J] : m_jobs) {
    if (!J.m_accepted)
      continue;
    J.m_over = false;
    J.m_nextAt = 0;
  }
}

std::size_t Callers::unfinished() const {
  return static_cast<std::size_t>(
      std::count_if(m_jobs.begin(), m_jobs.end(), [](const auto &Item) {
        return !Item.second.m_over && !Item.second.m_dropped;
      }));
}

std::size_t Callers::accepted() const {
  return static_cast<std::size_t>(
      std::count_if(m_jobs.begin(), m_jobs.end(),
                    [](const auto &Item) { return Item.second.m_accepted; }));
}

} // namespace pomelokeel::soak
