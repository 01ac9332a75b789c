#pragma once

#include "agent/attach.h"
#include "agent/tasks.h"
#include "agent/worker_client.h"
#include "base/counters.h"
#include "base/events.h"
#include "mesh/mesh.h"
#include "settings/settings.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace pomelokeel::agent {

/// Answer of `GET /v1/status`.
struct AgentStatus {
  std::string m_name;
  std::string m_incarnation;
  std::string m_meshAddress;
  std::string m_entry; ///< Name of the attached entry, or "".
  std::uint64_t m_configVersion = 0;
  std::uint64_t m_epoch = 0;
  bool m_draining = false;
  bool m_workerReachable = false;
  std::vector<model::Hold> m_holds; ///< Without answers and checkpoints.

  static constexpr auto fields() {
    return std::tuple{
        base::required("name", &AgentStatus::m_name),
        base::required("incarnation", &AgentStatus::m_incarnation),
        base::required("meshAddress", &AgentStatus::m_meshAddress),
        base::required("entry", &AgentStatus::m_entry),
        base::required("configVersion", &AgentStatus::m_configVersion),
        base::required("epoch", &AgentStatus::m_epoch),
        base::required("draining", &AgentStatus::m_draining),
        base::required("workerReachable", &AgentStatus::m_workerReachable),
        base::required("holds", &AgentStatus::m_holds)};
  }
};

/// What the core sends to. All of them outlive the core.
struct CorePorts {
  mesh::Mesh &m_mesh;
  WorkerClient &m_worker;
  EntryFinder &m_finder;
  base::Counters &m_counters;
  base::EventLog &m_events;
};

/// Owns the state of an agent. Only the core thread uses it, except for
/// status(), configVersion() and finished().
class Core {
public:
  Core(const settings::AgentSettings &Settings, model::Worker Self,
       CorePorts Ports, Millis Now);

  void handle(CoreEvent Event, Millis Now);

  /// Runs the timers that are due and sends what they produce.
  void advance(Millis Now);

  /// Starts the graceful stop, which later calls of advance() complete.
  void beginStop(Millis Now);

  /// True when the graceful stop is complete.
  bool finished() const { return m_finished; }

  AgentStatus status() const;
  std::uint64_t configVersion() const { return m_configVersion; }

private:
  void onMessage(const model::Message &M, Millis Now);
  void onCommand(const model::Message &M, Millis Now);
  void onAttachAnswer(const model::Message &M, Millis Now);
  void onGangMessage(const model::Message &M, Millis Now);
  void onTaskPage(const WorkerPage &Page, Millis Now);
  void setReachable(bool Reachable);
  void attach(Millis Now);
  void sendReportOrHeartbeat(Millis Now);
  void report(model::MessageKind Kind, Millis Now);
  void heartbeat(Millis Now);
  void sendToEntry(model::Message M, Millis Now);
  Millis reportInterval() const;
  bool applyEffects(Millis Now);
  void sendGangMessage(const GangMessage &Outgoing, Millis Now);
  void advanceStop(Millis Now);
  void publishStatus();

  const settings::AgentSettings m_settings;
  const model::Worker m_self;
  CorePorts m_ports;
  TaskTable m_table;
  Attachment m_attachment;
  model::Usage m_usage;
  bool m_reachable = false;
  bool m_drainWanted = false;
  bool m_changed = false;
  /// A command was answered since the last report. The leader compares the next
  /// report with the reply.
  bool m_repliedSinceReport = false;
  Millis m_nextMessage = 0;     ///< When the next report or heartbeat is due.
  Millis m_reportedAt = 0;      ///< When the last report was sent.
  std::uint64_t m_sequence = 0; ///< Of the last report.
  std::uint64_t m_lastRequestId = 0; ///< Id of the last message to an entry.
  std::uint64_t m_lastReportId = 0;  ///< Id of the last report.
  /// Id of the first report that contains the last change.
  std::uint64_t m_changeReportId = 0;
  std::uint64_t m_acknowledgedId = 0;          ///< Highest id with an answer.
  std::map<std::string, Millis> m_redialledAt; ///< By address of a gang peer.
  Millis m_stopDeadline = Forever;
  Millis m_exitDeadline = Forever;
  std::size_t m_openCalls = 0;
  std::atomic<bool> m_finished = false;
  std::atomic<std::uint64_t> m_configVersion = 0;
  mutable std::mutex m_statusMutex;
  AgentStatus m_status;
};

} // namespace pomelokeel::agent
