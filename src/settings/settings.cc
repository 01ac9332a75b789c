#include "settings/settings.h"

#include <array>
#include <charconv>
#include <fstream>
#include <sstream>

namespace pomelokeel::settings {
namespace {

using base::Error;
using base::ErrorKind;
using base::Result;
using base::Status;

constexpr Millis MaxDuration = 24LL * 3600 * 1000;
constexpr int MaxCount = 100000000;

template <typename S> struct DurationSetting {
  const char *m_name;
  Millis S::*m_member;
};

template <typename S> struct CountSetting {
  const char *m_name;
  int S::*m_member;
  int m_low;
};

template <typename S> struct AddressSetting {
  const char *m_name;
  std::string S::*m_member;
};

constexpr std::array EntryDurations = {
    DurationSetting<EntrySettings>{"logTimeoutMs",
                                   &EntrySettings::m_logTimeoutMs},
    DurationSetting<EntrySettings>{"leaderTimeoutMs",
                                   &EntrySettings::m_leaderTimeoutMs},
    DurationSetting<EntrySettings>{"heartbeatMs",
                                   &EntrySettings::m_heartbeatMs},
    DurationSetting<EntrySettings>{"linkTimeoutMs",
                                   &EntrySettings::m_linkTimeoutMs},
    DurationSetting<EntrySettings>{"agentTimeoutMs",
                                   &EntrySettings::m_agentTimeoutMs},
    DurationSetting<EntrySettings>{"gangLeaseMs",
                                   &EntrySettings::m_gangLeaseMs},
    DurationSetting<EntrySettings>{"snapshotEveryMs",
                                   &EntrySettings::m_snapshotEveryMs},
    DurationSetting<EntrySettings>{"stopGraceMs",
                                   &EntrySettings::m_stopGraceMs}};

constexpr std::array EntryCounts = {
    CountSetting<EntrySettings>{"snapshotEveryRecords",
                                &EntrySettings::m_snapshotEveryRecords, 1},
    CountSetting<EntrySettings>{"maxConnections",
                                &EntrySettings::m_maxConnections, 1},
    CountSetting<EntrySettings>{"maxBodyBytes", &EntrySettings::m_maxBodyBytes,
                                1024},
    CountSetting<EntrySettings>{"maxWaitingJobs",
                                &EntrySettings::m_maxWaitingJobs, 1},
    CountSetting<EntrySettings>{"queueLength", &EntrySettings::m_queueLength,
                                1},
    CountSetting<EntrySettings>{"eventRing", &EntrySettings::m_eventRing, 1}};

constexpr std::array EntryAddresses = {
    AddressSetting<EntrySettings>{"httpListen", &EntrySettings::m_httpListen},
    AddressSetting<EntrySettings>{"meshListen", &EntrySettings::m_meshListen},
    AddressSetting<EntrySettings>{"logService", &EntrySettings::m_logService}};

constexpr std::array AgentDurations = {
    DurationSetting<AgentSettings>{"heartbeatMs",
                                   &AgentSettings::m_heartbeatMs},
    DurationSetting<AgentSettings>{"linkTimeoutMs",
                                   &AgentSettings::m_linkTimeoutMs},
    DurationSetting<AgentSettings>{"reserveTtlMs",
                                   &AgentSettings::m_reserveTtlMs},
    DurationSetting<AgentSettings>{"gangLeaseMs",
                                   &AgentSettings::m_gangLeaseMs},
    DurationSetting<AgentSettings>{"taskLeaseMs",
                                   &AgentSettings::m_taskLeaseMs},
    DurationSetting<AgentSettings>{"stopGraceMs",
                                   &AgentSettings::m_stopGraceMs}};

constexpr std::array AgentCounts = {
    CountSetting<AgentSettings>{"cores", &AgentSettings::m_cores, 1},
    CountSetting<AgentSettings>{"memoryMb", &AgentSettings::m_memoryMb, 1},
    CountSetting<AgentSettings>{"accelerators", &AgentSettings::m_accelerators,
                                0},
    CountSetting<AgentSettings>{"slots", &AgentSettings::m_slots, 1},
    CountSetting<AgentSettings>{"connections", &AgentSettings::m_connections,
                                1},
    CountSetting<AgentSettings>{"queueLength", &AgentSettings::m_queueLength,
                                1},
    CountSetting<AgentSettings>{"eventRing", &AgentSettings::m_eventRing, 1}};

constexpr std::array AgentAddresses = {
    AddressSetting<AgentSettings>{"httpListen", &AgentSettings::m_httpListen},
    AddressSetting<AgentSettings>{"meshListen", &AgentSettings::m_meshListen},
    AddressSetting<AgentSettings>{"worker", &AgentSettings::m_worker}};

Error settingError(const char *Key, const std::string &Problem) {
  return {ErrorKind::BadSettings, "\"" + std::string(Key) + "\" " + Problem};
}

// Peers cannot connect to port 0, which is valid only in a listen address.
Status checkAdvertised(const std::string &Address) {
  if (Address.empty())
    return base::success();
  const auto Split = splitAddress(Address);
  if (!Split)
    return settingError("meshAdvertise", Split.error().m_message);
  if (Split->m_port == 0)
    return settingError("meshAdvertise", "must name a port from 1 to 65535");
  return base::success();
}

template <typename S, typename Durations, typename Counts, typename Addresses>
Status checkValues(const S &Value, const Durations &Ds, const Counts &Cs,
                   const Addresses &As) {
  if (Value.m_name.empty())
    return settingError("name", "must not be empty");
  for (const auto &D : Ds) {
    const Millis Given = Value.*(D.m_member);
    if (Given < 1 || Given > MaxDuration)
      return settingError(D.m_name, "must be from 1 to 86400000 ms");
  }
  for (const auto &C : Cs) {
    const int Given = Value.*(C.m_member);
    if (Given < C.m_low || Given > MaxCount)
      return settingError(C.m_name, "must be from " + std::to_string(C.m_low) +
                                        " to " + std::to_string(MaxCount));
  }
  for (const auto &A : As) {
    if (auto Split = splitAddress(Value.*(A.m_member)); !Split)
      return settingError(A.m_name, Split.error().m_message);
  }
  return checkAdvertised(Value.m_meshAdvertise);
}

Status checkSettings(const EntrySettings &S) {
  return checkValues(S, EntryDurations, EntryCounts, EntryAddresses);
}

Status checkSettings(const AgentSettings &S) {
  if (S.m_entries.empty())
    return settingError("entries", "must name at least one address");
  for (const std::string &Address : S.m_entries) {
    if (auto Split = splitAddress(Address); !Split)
      return settingError("entries", Split.error().m_message);
  }
  return checkValues(S, AgentDurations, AgentCounts, AgentAddresses);
}

Error fileError(const std::string &File, const std::string &Problem) {
  return {ErrorKind::BadSettings, File + ": " + Problem};
}

template <typename S> Result<S> load(const std::string &File) {
  std::ifstream In(File);
  if (!In)
    return fileError(File, "cannot be read");
  std::stringstream Text;
  Text << In.rdbuf();
  auto Parsed = base::parse<S>(Text.str());
  if (!Parsed)
    return fileError(File, Parsed.error().m_message);
  if (auto Checked = checkSettings(*Parsed); !Checked)
    return fileError(File, Checked.error().m_message);
  return Parsed;
}

} // namespace

Result<EntrySettings> loadEntry(const std::string &File) {
  return load<EntrySettings>(File);
}

Result<AgentSettings> loadAgent(const std::string &File) {
  return load<AgentSettings>(File);
}

Result<HostPort> splitAddress(const std::string &Address) {
  const auto Colon = Address.rfind(':');
  const Error Bad{ErrorKind::OutOfRange,
                  "must be host:port with a port from 0 to 65535, got \"" +
                      Address + "\""};
  if (Colon == std::string::npos || Colon == 0)
    return Bad;
  HostPort Out{Address.substr(0, Colon), 0};
  const char *First = Address.data() + Colon + 1;
  const char *Last = Address.data() + Address.size();
  const auto [End, Code] = std::from_chars(First, Last, Out.m_port);
  if (Code != std::errc() || End != Last || Out.m_port < 0 ||
      Out.m_port > 65535)
    return Bad;
  return Out;
}

} // namespace pomelokeel::settings
