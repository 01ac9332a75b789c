#include "node/control.h"

#include <string_view>

namespace pomelokeel::node {
namespace {

constexpr std::string_view AgentQuery = "?agent=";

} // namespace

std::string leaderQuery(const std::string &Agent) {
  return LeaderPath + std::string(AgentQuery) + http::percentEncode(Agent);
}

std::string agentOf(const std::string &Target) {
  const auto At = Target.find(AgentQuery);
  return At == std::string::npos ? "" : Target.substr(At + AgentQuery.size());
}

std::optional<http::Response>
answerDiagnostics(const std::string &Path, const base::EventLog &Events,
                  const base::Counters &Counters) {
  if (Path == "/v1/events")
    return http::Response{200,
                          base::dumpJson(base::encode(Events.page())),
                          "application/json",
                          {}};
  if (Path == "/metrics")
    return http::Response{
        200, Counters.render(), "text/plain; version=0.0.4", {}};
  return std::nullopt;
}

} // namespace pomelokeel::node
