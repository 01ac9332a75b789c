#pragma once

#include "base/clock.h"
#include "base/error.h"
#include "base/fields.h"
#include "batch/overload.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace pomelokeel::node {

using base::Millis;

/// Time limits that are the same for all processes of a deployment.
struct Bounds {
  Millis m_leaseMaxMs = 10000; ///< Longest lease that workers accept.
  Millis m_stopGraceMs = 1000; ///< Limit for a task to stop.
  Millis m_gangTimeoutMs = 3000;
  double m_graceS = 6;           ///< From SIGTERM until the process is killed.
  double m_statusS = 120;        ///< Ended jobs can be queried for this long.
  Millis m_configApplyMs = 2500; ///< Limit to apply a configuration.
  Millis m_reclaimMs = 3000;     ///< Limit to start a guaranteed job.

  static constexpr auto fields() {
    return std::tuple{base::optional("leaseMaxMs", &Bounds::m_leaseMaxMs),
                      base::optional("stopGraceMs", &Bounds::m_stopGraceMs),
                      base::optional("gangTimeoutMs", &Bounds::m_gangTimeoutMs),
                      base::optional("graceS", &Bounds::m_graceS),
                      base::optional("statusS", &Bounds::m_statusS),
                      base::optional("configApplyMs", &Bounds::m_configApplyMs),
                      base::optional("reclaimMs", &Bounds::m_reclaimMs)};
  }
};

/// Behaviour of the leader when the work exceeds the capacity.
struct Overload {
  batch::OverloadPolicy m_policy = batch::OverloadPolicy::Priority;

  static constexpr auto fields() {
    return std::tuple{base::optional("policy", &Overload::m_policy)};
  }
};

/// Length of the leases that agents grant and the leader relies on. It is long
/// enough for a change of leader and a restart of an agent, and short enough
/// that lost work restarts soon.
Millis leaseOf(const Bounds &B);

/// Where the leader places tasks.
struct PlacementSettings {
  bool m_learnSpeed = false; ///< Learn the speed of workers, and place by it.

  static constexpr auto fields() {
    return std::tuple{
        base::optional("learnSpeed", &PlacementSettings::m_learnSpeed)};
  }
};

/// Limits that keep callers from binding the memory and the connections of a
/// process. Ordinary callers do not reach them.
struct CallerLimits {
  /// Bytes that all connections may bind; 0: a quarter of the memory.
  std::int64_t m_bytes = 0;
  int m_headerFields = 100; ///< Of one request.
  int m_aheadBytes = 16384; ///< Read beyond a header before it is handled.
  int m_requestMs = 30000;  ///< For a request to arrive.
  int m_responseMs = 30000; ///< For a peer to read a response.

  static constexpr auto fields() {
    return std::tuple{
        base::optional("bytes", &CallerLimits::m_bytes),
        base::optional("headerFields", &CallerLimits::m_headerFields),
        base::optional("aheadBytes", &CallerLimits::m_aheadBytes),
        base::optional("requestMs", &CallerLimits::m_requestMs),
        base::optional("responseMs", &CallerLimits::m_responseMs)};
  }
};

/// JSON settings of `pomelokeel platform entry` and `... agent`.
struct Settings {
  std::string m_name;
  std::string m_dataCentre;
  std::string m_store;         ///< `host:port` of the platform's store.
  std::string m_controlListen; ///< Serves the other processes.
  std::string m_callerListen;  ///< Entry: serves callers.
  std::string m_readyListen;   ///< Entry: serves the load balancer.
  std::string m_workerListen;  ///< Agent: receives heartbeats.
  double m_cores = 1;          ///< CPU share of this machine, in cores.
  std::string m_endpoint;      ///< Agent: address of its worker.
  Bounds m_bounds;
  PlacementSettings m_placement; ///< Entry.
  int m_eventRing = 512;
  int m_maxConnections = 1500;
  Overload m_overload; ///< Entry.
  int m_memoryMb = 0;  ///< Memory of this machine; 0: not known.
  CallerLimits m_callerLimits;

  static constexpr auto fields() {
    return std::tuple{
        base::required("name", &Settings::m_name),
        base::required("dataCentre", &Settings::m_dataCentre),
        base::required("store", &Settings::m_store),
        base::required("controlListen", &Settings::m_controlListen),
        base::optional("callerListen", &Settings::m_callerListen),
        base::optional("readyListen", &Settings::m_readyListen),
        base::optional("workerListen", &Settings::m_workerListen),
        base::optional("cores", &Settings::m_cores),
        base::optional("endpoint", &Settings::m_endpoint),
        base::optional("bounds", &Settings::m_bounds),
        base::optional("placement", &Settings::m_placement),
        base::optional("eventRing", &Settings::m_eventRing),
        base::optional("maxConnections", &Settings::m_maxConnections),
        base::optional("overload", &Settings::m_overload),
        base::optional("memoryMb", &Settings::m_memoryMb),
        base::optional("callerLimits", &Settings::m_callerLimits)};
  }
};

/// Returns the bytes that all connections of the process may bind.
std::size_t callerBytesOf(const Settings &S);

enum class Role { Entry, Agent };

/// Reads and checks a settings file. Error: badSettings, with the file and the
/// key in the message.
base::Result<Settings> loadSettings(const std::string &File, Role R);

} // namespace pomelokeel::node
