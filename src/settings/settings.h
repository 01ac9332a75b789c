#pragma once

#include "base/clock.h"
#include "base/error.h"
#include "base/fields.h"

#include <string>
#include <vector>

/// The JSON settings files of the subcommands `entry` and `agent`. A process
/// checks its settings before it starts anything else.
namespace pomelokeel::settings {

using base::Millis;

/// Settings of `pomelokeel entry`.
struct EntrySettings {
  std::string m_name;
  std::string m_dataCentre;
  std::string m_region;
  std::string m_httpListen;
  std::string m_meshListen;
  /// `host:port` at which peers connect; empty: the bound mesh address.
  std::string m_meshAdvertise;
  std::string m_logService;
  Millis m_logTimeoutMs = 2000;
  Millis m_leaderTimeoutMs = 1500;
  Millis m_heartbeatMs = 500;
  Millis m_linkTimeoutMs = 2000;
  /// Time without a message from an agent after which it gets no new work.
  Millis m_agentTimeoutMs = 3000;
  Millis m_gangLeaseMs = 3000;
  Millis m_snapshotEveryMs = 60000;
  int m_snapshotEveryRecords = 500;
  int m_maxConnections = 256;
  int m_maxBodyBytes = 262144;
  int m_maxWaitingJobs = 10000;
  int m_queueLength = 4096;
  int m_eventRing = 4096;
  Millis m_stopGraceMs = 5000;

  static constexpr auto fields() {
    return std::tuple{
        base::required("name", &EntrySettings::m_name),
        base::required("dataCentre", &EntrySettings::m_dataCentre),
        base::required("region", &EntrySettings::m_region),
        base::required("httpListen", &EntrySettings::m_httpListen),
        base::required("meshListen", &EntrySettings::m_meshListen),
        base::optional("meshAdvertise", &EntrySettings::m_meshAdvertise),
        base::required("logService", &EntrySettings::m_logService),
        base::optional("logTimeoutMs", &EntrySettings::m_logTimeoutMs),
        base::optional("leaderTimeoutMs", &EntrySettings::m_leaderTimeoutMs),
        base::optional("heartbeatMs", &EntrySettings::m_heartbeatMs),
        base::optional("linkTimeoutMs", &EntrySettings::m_linkTimeoutMs),
        base::optional("agentTimeoutMs", &EntrySettings::m_agentTimeoutMs),
        base::optional("gangLeaseMs", &EntrySettings::m_gangLeaseMs),
        base::optional("snapshotEveryMs", &EntrySettings::m_snapshotEveryMs),
        base::optional("snapshotEveryRecords",
                       &EntrySettings::m_snapshotEveryRecords),
        base::optional("maxConnections", &EntrySettings::m_maxConnections),
        base::optional("maxBodyBytes", &EntrySettings::m_maxBodyBytes),
        base::optional("maxWaitingJobs", &EntrySettings::m_maxWaitingJobs),
        base::optional("queueLength", &EntrySettings::m_queueLength),
        base::optional("eventRing", &EntrySettings::m_eventRing),
        base::optional("stopGraceMs", &EntrySettings::m_stopGraceMs)};
  }
};

/// Settings of `pomelokeel agent`.
struct AgentSettings {
  std::string m_name; ///< Name of the worker.
  std::string m_dataCentre;
  std::string m_region;
  std::string m_rack;
  std::string m_httpListen;
  std::string m_meshListen;
  /// `host:port` at which peers connect; empty: the bound mesh address.
  std::string m_meshAdvertise;
  std::string m_worker; ///< `host:port` of the worker's task interface.
  /// HTTP addresses, `host:port`, of the entries or of their load balancer.
  std::vector<std::string> m_entries;
  int m_cores = 0;
  int m_memoryMb = 0;
  int m_accelerators = 0;
  int m_slots = 8;
  int m_connections = 64;
  Millis m_heartbeatMs = 1000;
  Millis m_linkTimeoutMs = 2000;
  Millis m_reserveTtlMs = 3000;
  Millis m_gangLeaseMs = 3000;
  Millis m_taskLeaseMs = 3000;
  int m_queueLength = 1024;
  int m_eventRing = 1024;
  Millis m_stopGraceMs = 5000;

  static constexpr auto fields() {
    return std::tuple{
        base::required("name", &AgentSettings::m_name),
        base::required("dataCentre", &AgentSettings::m_dataCentre),
        base::required("region", &AgentSettings::m_region),
        base::required("rack", &AgentSettings::m_rack),
        base::required("httpListen", &AgentSettings::m_httpListen),
        base::required("meshListen", &AgentSettings::m_meshListen),
        base::optional("meshAdvertise", &AgentSettings::m_meshAdvertise),
        base::required("worker", &AgentSettings::m_worker),
        base::required("entries", &AgentSettings::m_entries),
        base::required("cores", &AgentSettings::m_cores),
        base::required("memoryMb", &AgentSettings::m_memoryMb),
        base::required("accelerators", &AgentSettings::m_accelerators),
        base::optional("slots", &AgentSettings::m_slots),
        base::optional("connections", &AgentSettings::m_connections),
        base::optional("heartbeatMs", &AgentSettings::m_heartbeatMs),
        base::optional("linkTimeoutMs", &AgentSettings::m_linkTimeoutMs),
        base::optional("reserveTtlMs", &AgentSettings::m_reserveTtlMs),
        base::optional("gangLeaseMs", &AgentSettings::m_gangLeaseMs),
        base::optional("taskLeaseMs", &AgentSettings::m_taskLeaseMs),
        base::optional("queueLength", &AgentSettings::m_queueLength),
        base::optional("eventRing", &AgentSettings::m_eventRing),
        base::optional("stopGraceMs", &AgentSettings::m_stopGraceMs)};
  }
};

/// Reads and checks a settings file. Error: badSettings, with a message that
/// names the file and the key.
base::Result<EntrySettings> loadEntry(const std::string &File);
base::Result<AgentSettings> loadAgent(const std::string &File);

/// The parts of an address `host:port`.
struct HostPort {
  std::string m_host;
  int m_port = 0;
};

/// Splits `host:port`; the port may be 0. Error: outOfRange.
base::Result<HostPort> splitAddress(const std::string &Address);

} // namespace pomelokeel::settings
