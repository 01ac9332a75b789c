#include "scenario/runner.h"

#include <fmt/format.h>

// Commands for the link between regions.
namespace pomelokeel::scenario {
namespace {

using base::Error;
using base::ErrorKind;
using base::Status;

constexpr double MsPerHour = 3600.0 * 1000.0;
constexpr double BytesPerMb = 1e6;

Error failure(const Step &S, const std::string &What) {
  return {ErrorKind::BadRequest,
          fmt::format("line {}: {}: {}", S.m_line, S.m_command, What)};
}

// Sets the mode of both directions, or with oneway=true only of that from the
// first region to the second.
Status setLinkMode(RegionLink *Link, const Step &S, LinkMode Mode) {
  if (Link == nullptr)
    return failure(S, "needs the step link");
  const std::string First = S.argument(0);
  const std::string Second = S.argument(1);
  auto Outcome = Link->setMode(First, Second, Mode);
  if (Outcome && S.option("oneway") != "true")
    Outcome = Link->setMode(Second, First, Mode);
  return Outcome ? Outcome : failure(S, Outcome.error().m_message);
}

} // namespace

Status Runner::runLink(const Step &S) {
  if (!m_fleet.openLink())
    return failure(S, "must come before the processes, and once");
  return base::success();
}

// cut REGION REGION [mode=silent|reset] [oneway=true]
Status Runner::runCut(const Step &S) {
  const std::string Mode = S.option("mode", "silent");
  if (Mode != "silent" && Mode != "reset")
    return failure(S, "unknown mode " + Mode);
  m_markMs = base::monotonicNow();
  return setLinkMode(m_fleet.link(), S,
                     Mode == "silent" ? LinkMode::Silent : LinkMode::Reset);
}

Status Runner::runHeal(const Step &S) {
  m_markMs = base::monotonicNow();
  return setLinkMode(m_fleet.link(), S, LinkMode::Open);
}

// traffic LABEL [jobs=N]: prints the bytes that were forwarded between regions
// since the last such step.
Status Runner::runTraffic(const Step &S) {
  const RegionLink *Link = m_fleet.link();
  if (Link == nullptr)
    return failure(S, "needs the step link");
  const std::uint64_t Bytes = Link->bytes();
  const Millis Now = base::monotonicNow();
  const auto Forwarded = static_cast<double>(Bytes - m_lastTrafficBytes);
  const std::string Label = S.argument(0);
  if (m_lastTrafficMs > 0)
    fmt::print("figure {}_between_regions {:.0f} bytes in {} ms\n"
               "figure {}_between_regions_rate {:.3f} MB/hour\n",
               Label, Forwarded, Now - m_lastTrafficMs, Label,
               Forwarded / BytesPerMb * MsPerHour /
                   static_cast<double>(Now - m_lastTrafficMs));
  if (const long Jobs = S.numberOption("jobs", 0); Jobs > 0)
    fmt::print("figure {}_between_regions_per_job {:.0f} bytes\n", Label,
               Forwarded / static_cast<double>(Jobs));
  m_lastTrafficBytes = Bytes;
  m_lastTrafficMs = Now;
  return base::success();
}

} // namespace pomelokeel::scenario
