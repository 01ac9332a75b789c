#include "soak/fleet.h"

#include "base/json.h"

#include <fmt/format.h>

#include <fstream>
#include <utility>

#include <signal.h>

namespace pomelokeel::soak {
namespace {

std::string freeAddress() {
  return fmt::format("127.0.0.1:{}", scenario::reservePort());
}

const base::Json &bounds() {
  static const base::Json Out = {
      {"leaseMaxMs", 10000}, {"stopGraceMs", 300}, {"gangTimeoutMs", 3000},
      {"graceS", 3},         {"statusS", 120},     {"configApplyMs", 2500},
      {"reclaimMs", 3400}};
  return Out;
}

} // namespace

Fleet::Fleet(std::string Program, std::string Folder, std::string Store)
    : m_program(std::move(Program)), m_folder(std::move(Folder)),
      m_store(std::move(Store)) {}

Member Fleet::make(const std::string &Name, const std::string &Role,
                   const std::string &Settings) const {
  const std::string File = m_folder + "/" + Name + ".json";
  std::ofstream(File) << Settings;
  Member Out;
  Out.m_name = Name;
  Out.m_command = {m_program, "platform", Role, "--settings", File};
  Out.m_logFile = m_folder + "/" + Name + ".log";
  return Out;
}

void Fleet::addEntry(const std::string &Name) {
  const std::string Callers = freeAddress();
  const base::Json Settings = {{"name", Name},
                               {"dataCentre", "a"},
                               {"store", m_store},
                               {"controlListen", freeAddress()},
                               {"callerListen", Callers},
                               {"readyListen", freeAddress()},
                               {"bounds", bounds()}};
  m_entries.push_back(make(Name, "entry", Settings.dump()));
  m_entries.back().m_callers = Callers;
}

void Fleet::addAgent(const std::string &Name, const std::string &Endpoint) {
  const std::string Reports = freeAddress();
  const base::Json Settings = {{"name", Name},
                               {"dataCentre", "a"},
                               {"store", m_store},
                               {"controlListen", freeAddress()},
                               {"workerListen", Reports},
                               {"endpoint", Endpoint},
                               {"bounds", bounds()}};
  m_agents.push_back(make(Name, "agent", Settings.dump()));
  m_agents.back().m_reports = Reports;
}

void Fleet::tick(Millis Now) {
  for (auto *Group : {&m_entries, &m_agents}) {
    for (Member &M : *Group) {
      if (M.m_resumeAt > 0 && Now >= M.m_resumeAt) {
        M.m_child->signal(SIGCONT);
        M.m_resumeAt = 0;
      }
      if (M.m_child && M.m_child->running())
        continue;
      if (M.m_child) {
        M.m_child.reset();
        M.m_startAt = std::max(M.m_startAt, Now);
      }
      if (Now >= M.m_startAt)
        M.m_child.emplace(M.m_command, M.m_logFile);
    }
  }
}

void Fleet::end(Member &M, int Signal, Millis AfterMs, Millis Now) {
  if (!M.m_child)
    return;
  M.m_startAt = Now + AfterMs;
  M.m_child->signal(Signal);
  // A process that is stopped takes no other signal before it goes on.
  if (M.m_resumeAt > 0)
    M.m_child->signal(SIGCONT);
  M.m_resumeAt = 0;
}

void Fleet::freeze(Member &M, Millis ForMs, Millis Now) {
  if (!M.m_child || M.m_resumeAt > 0)
    return;
  M.m_child->signal(SIGSTOP);
  M.m_resumeAt = Now + ForMs;
}

} // namespace pomelokeel::soak
