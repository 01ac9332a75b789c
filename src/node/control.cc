#include "node/control.h"

namespace pomelokeel::node {

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
