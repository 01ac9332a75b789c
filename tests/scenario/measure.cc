#include "scenario/measure.h"

#include "http/http.h"

#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <sstream>

namespace pomelokeel::scenario {
namespace {

constexpr double BytesPerMb = 1024.0 * 1024.0;
constexpr int CallTimeout = 2000; // ms

// User and system time of a process: fields 14 and 15 of /proc/PID/stat. Fields
// are read from the third one on, after the program name in parentheses,
// because the name may contain spaces.
double cpuMs(pid_t Pid) {
  std::ifstream In("/proc/" + std::to_string(Pid) + "/stat");
  std::stringstream Text;
  Text << In.rdbuf();
  const std::string Line = Text.str();
  std::istringstream Fields(Line.substr(Line.rfind(')') + 1));
  std::string Skipped;
  for (int I = 3; I < 14; ++I)
    Fields >> Skipped;
  double User = 0;
  double System = 0;
  Fields >> User >> System;
  return (User + System) * 1000.0 / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

double residentMb(pid_t Pid) {
  std::ifstream In("/proc/" + std::to_string(Pid) + "/statm");
  double Total = 0;
  double Resident = 0;
  In >> Total >> Resident;
  return Resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) / BytesPerMb;
}

// Adds a counter from GET /metrics to the sums that it belongs to.
void addCounter(const std::string &Name, double Value,
                const std::string &Region, Usage &U) {
  if (Name.starts_with("pomelokeel_mesh_bytes_"))
    U.m_meshBytes += Value;
  if (Name.starts_with("pomelokeel_log_") &&
      Name.find("_bytes_") != std::string::npos)
    U.m_logBytes += Value;
  if (Name.starts_with("pomelokeel_mesh_bytes_sent{") &&
      Name.find('"' + Region + '"') == std::string::npos &&
      Name.find("\"\"") == std::string::npos)
    U.m_otherRegionBytes += Value;
}

} // namespace

base::Result<Usage> readUsage(const Fleet &F, const std::string &Name,
                              const std::string &Region) {
  const auto Client = http::Client::create(F.httpAddress(Name));
  const auto Outcome = Client->call({"GET", "/metrics", ""}, CallTimeout);
  if (const auto *Failed = std::get_if<http::CallError>(&Outcome))
    return Failed->m_error;
  Usage U;
  U.m_atMs = base::monotonicNow();
  U.m_cpuMs = cpuMs(F.pid(Name));
  U.m_residentMb = residentMb(F.pid(Name));
  std::istringstream Lines(std::get<http::Response>(Outcome).m_body);
  std::string Line;
  while (std::getline(Lines, Line)) {
    const std::size_t Space = Line.rfind(' ');
    if (Space == std::string::npos)
      continue;
    addCounter(Line.substr(0, Space), std::stod(Line.substr(Space + 1)), Region,
               U);
  }
  return U;
}

void printUsage(const std::string &Label, const Usage &Begin,
                const Usage &End) {
  const double Seconds = static_cast<double>(End.m_atMs - Begin.m_atMs) / 1000;
  fmt::print("figure {}_cpu {:.2f} percent_of_a_core\n", Label,
             (End.m_cpuMs - Begin.m_cpuMs) / Seconds / 10);
  fmt::print("figure {}_memory {:.1f} MB\n", Label, End.m_residentMb);
  fmt::print("figure {}_links {:.2f} KB/s\n", Label,
             (End.m_meshBytes - Begin.m_meshBytes) / Seconds / 1000);
  fmt::print("figure {}_log {:.2f} KB/s\n", Label,
             (End.m_logBytes - Begin.m_logBytes) / Seconds / 1000);
  fmt::print("figure {}_to_other_regions {:.2f} KB/s\n", Label,
             (End.m_otherRegionBytes - Begin.m_otherRegionBytes) / Seconds /
                 1000);
}

void printMedianAndMax(const std::string &Label,
                       std::vector<base::Millis> Values) {
  if (Values.empty())
    return;
  std::sort(Values.begin(), Values.end());
  fmt::print("figure {}_p50 {} ms\n", Label, Values[Values.size() / 2]);
  fmt::print("figure {}_max {} ms\n", Label, Values.back());
}

} // namespace pomelokeel::scenario
