#include "soak/fleet.h"

#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <utility>

#include <signal.h>

namespace pomelokeel::soak {
namespace {

std::string freeAddress() {
  return fmt::format("127.0.0.1:{}", scenario::reservePort());
}

constexpr Millis GraceMs = 3000;
constexpr Millis OtherGraceMs = 2000;

void writeSettings(const Process &P) {
  std::ofstream(P.m_settingsFile) << P.m_settings.dump();
}

const base::Json &bounds() {
  static const base::Json Out = {
      {"leaseMaxMs", 10000},      {"stopGraceMs", 300}, {"gangTimeoutMs", 3000},
      {"graceS", GraceMs / 1000}, {"statusS", 120},     {"configApplyMs", 2500},
      {"reclaimMs", 3400}};
  return Out;
}

} // namespace

Fleet::Fleet(std::string Program, std::string Folder, std::string Store,
             std::function<void(const std::string &)> OnFault)
    : m_program(std::move(Program)), m_folder(std::move(Folder)),
      m_store(std::move(Store)), m_onFault(std::move(OnFault)) {}

Process Fleet::makeProcess(const std::string &Name, const std::string &Role,
                           base::Json Settings) const {
  Process Out;
  Out.m_name = Name;
  Out.m_settings = std::move(Settings);
  Out.m_settingsFile = m_folder + "/" + Name + ".json";
  Out.m_graceMs = GraceMs;
  writeSettings(Out);
  Out.m_command = {m_program, "platform", Role, "--settings",
                   Out.m_settingsFile};
  Out.m_logFile = m_folder + "/" + Name + ".log";
  return Out;
}

void Fleet::addEntry(const std::string &Name) {
  const std::string CallerAddress = freeAddress();
  const base::Json Settings = {{"name", Name},
                               {"dataCentre", "a"},
                               {"store", m_store},
                               {"controlListen", freeAddress()},
                               {"callerListen", CallerAddress},
                               {"readyListen", freeAddress()},
                               {"bounds", bounds()},
                               {"placement", {{"learnSpeed", true}}}};
  m_entries.push_back(makeProcess(Name, "entry", Settings));
  m_entries.back().m_callerAddress = CallerAddress;
}

void Fleet::addAgent(const std::string &Name, const std::string &Endpoint) {
  const std::string HeartbeatAddress = freeAddress();
  const base::Json Settings = {{"name", Name},
                               {"dataCentre", "a"},
                               {"store", m_store},
                               {"controlListen", freeAddress()},
                               {"workerListen", HeartbeatAddress},
                               {"endpoint", Endpoint},
                               {"bounds", bounds()}};
  m_agents.push_back(makeProcess(Name, "agent", Settings));
  m_agents.back().m_heartbeatAddress = HeartbeatAddress;
}

void Fleet::tick(Millis Now) {
  for (auto *Group : {&m_entries, &m_agents}) {
    for (Process &P : *Group) {
      if (P.m_resumeAt > 0 && Now >= P.m_resumeAt) {
        P.m_child->signal(SIGCONT);
        P.m_resumeAt = 0;
        P.m_disturbedAt = Now;
      }
      if (P.m_child && P.m_child->running()) {
        if (P.m_ending || P.m_resumeAt > 0)
          P.m_disturbedAt = Now;
        if (P.m_killAt > 0 && Now >= P.m_killAt) {
          P.m_killAt = 0;
          m_onFault(P.m_name + " has not ended within the grace period");
          P.m_child->signal(SIGKILL);
        }
        continue;
      }
      P.m_disturbedAt = Now;
      if (P.m_child) {
        if (!P.m_ending)
          m_onFault(P.m_name + " has ended by itself");
        P.m_child.reset();
        P.m_startAt = std::max(P.m_startAt, Now);
      }
      if (Now < P.m_startAt)
        continue;
      P.m_child.emplace(P.m_command, P.m_logFile);
      P.m_startedAt = Now;
      P.m_ending = false;
      P.m_killAt = 0;
    }
  }
}

void Fleet::terminate(Process &P, int Signal, Millis RestartAfterMs,
                      Millis Now) {
  if (!P.m_child)
    return;
  P.m_startAt = Now + RestartAfterMs;
  if (Signal == SIGTERM && !P.m_ending)
    P.m_killAt = Now + P.m_graceMs;
  P.m_ending = true;
  P.m_child->signal(Signal);
  // A suspended process handles SIGTERM only after SIGCONT.
  if (P.m_resumeAt > 0)
    P.m_child->signal(SIGCONT);
  P.m_resumeAt = 0;
}

void Fleet::freeze(Process &P, Millis DurationMs, Millis Now) {
  if (!P.m_child || P.m_resumeAt > 0)
    return;
  P.m_child->signal(SIGSTOP);
  P.m_resumeAt = Now + DurationMs;
  P.m_killAt += P.m_killAt > 0 ? DurationMs : 0;
}

void Fleet::reload(Process &P) {
  P.m_graceMs = P.m_graceMs == GraceMs ? OtherGraceMs : GraceMs;
  P.m_settings["bounds"]["graceS"] = P.m_graceMs / 1000;
  writeSettings(P);
  P.m_child->signal(SIGHUP);
}

bool Fleet::anyFrozen() const {
  const auto IsFrozen = [](const Process &P) { return P.m_resumeAt > 0; };
  return std::any_of(m_entries.begin(), m_entries.end(), IsFrozen) ||
         std::any_of(m_agents.begin(), m_agents.end(), IsFrozen);
}

} // namespace pomelokeel::soak
