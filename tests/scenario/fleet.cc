#include "scenario/fleet.h"

#include "http/http.h"

#include <signal.h>

#include <chrono>
#include <fstream>
#include <sstream>
#include <thread>
#include <utility>

namespace pomelokeel::scenario {
namespace {

using base::Error;
using base::ErrorKind;
using base::Json;
using base::Result;
using base::Status;

constexpr base::Millis StartTimeout = 15000;
constexpr base::Millis CtlTimeout = 40000;

const char *const DefaultRegion = "nord-ovest";

// Adds the options of a step that are settings of the process. Values are JSON.
void addStepSettings(Json &Settings, const Step &S) {
  for (const auto &[Key, Value] : S.m_options) {
    if (Key == "dc" || Key == "region" || Key == "rack" || Key == "count")
      continue;
    Settings[Key] = Json::parse(Value, nullptr, false);
  }
}

Error errorOf(const http::Response &R) {
  const Json J = Json::parse(R.m_body, nullptr, false);
  if (J.is_object() && J.contains("error")) {
    const auto Kind = base::errorKindFromName(J["error"].value("kind", ""));
    return {Kind.value_or(ErrorKind::Internal),
            J["error"].value("message", "")};
  }
  return {ErrorKind::Internal,
          "status " + std::to_string(R.m_status) + " " + R.m_body};
}

} // namespace

Fleet::Fleet(Programs P) : m_programs(std::move(P)) {}

bool Fleet::openLink() {
  if (m_link || !m_processes.empty())
    return false;
  m_link.emplace();
  return true;
}

std::string Fleet::newAddress(const std::string &Region) {
  return (m_link ? m_link->hostOf(Region) : "127.0.0.1") + ":" +
         std::to_string(reservePort());
}

// Returns the address at which processes of a region send HTTP requests to a
// process: its own, or that of a forwarder if it is in another region.
std::string Fleet::addressFrom(const std::string &Name,
                               const std::string &Region) {
  const std::string Address = httpAddress(Name);
  std::string OwnRegion;
  {
    const std::lock_guard Lock(m_mutex);
    OwnRegion = m_processes.at(Name).m_region;
  }
  if (!m_link || OwnRegion == Region)
    return Address;
  return m_link->forward(Address, OwnRegion, Region);
}

void Fleet::addMeshSettings(Json &Settings) {
  const std::string Region = Settings["region"];
  const std::string Address = newAddress(Region);
  Settings["meshListen"] = Address;
  if (m_link)
    Settings["meshAdvertise"] = m_link->forward(Address, Region);
}

Status Fleet::addLog(const Step &S) {
  const std::string Region = S.option("region", DefaultRegion);
  const std::string Address = newAddress(Region);
  std::vector<std::string> Command = {m_programs.m_standin,
                                      "log",
                                      "--listen",
                                      Address,
                                      "--file",
                                      m_programs.m_directory + "/log.streams"};
  for (const auto &[Key, Value] : S.m_options) {
    if (Key == "region")
      continue;
    Command.push_back("--" + Key);
    Command.push_back(Value);
  }
  return add("log", std::move(Command), Address, Region);
}

Status Fleet::addEntry(const Step &S) {
  const std::string Name = S.argument(0);
  const std::string Region = S.option("region", DefaultRegion);
  const std::string Address = newAddress(Region);
  Json J = {{"name", Name},
            {"dataCentre", S.option("dc", "milano-a")},
            {"region", Region},
            {"httpListen", Address},
            {"logService", addressFrom("log", Region)}};
  addMeshSettings(J);
  addStepSettings(J, S);
  {
    const std::lock_guard Lock(m_mutex);
    m_entries.push_back(Name);
  }
  return add(
      Name,
      {m_programs.m_pomelokeel, "entry", "--settings", writeSettings(Name, J)},
      Address, Region);
}

Status Fleet::addWorker(const Step &S, const std::string &Name) {
  const std::string Region = S.option("region", DefaultRegion);
  const std::string WorkerAddress = newAddress(Region);
  if (auto Added =
          add(Name + ".worker",
              {m_programs.m_standin, "worker", "--listen", WorkerAddress},
              WorkerAddress, Region);
      !Added)
    return Added;
  std::vector<std::string> Entries;
  for (const std::string &Entry : entries())
    Entries.push_back(addressFrom(Entry, Region));
  const std::string Address = newAddress(Region);
  Json J = {{"name", Name},          {"dataCentre", S.option("dc", "milano-a")},
            {"region", Region},      {"rack", S.option("rack", "rack-1")},
            {"httpListen", Address}, {"worker", WorkerAddress},
            {"entries", Entries},    {"cores", 32},
            {"memoryMb", 65536},     {"accelerators", 8}};
  addMeshSettings(J);
  addStepSettings(J, S);
  {
    const std::lock_guard Lock(m_mutex);
    m_workers.push_back(Name);
  }
  return add(
      Name,
      {m_programs.m_pomelokeel, "agent", "--settings", writeSettings(Name, J)},
      Address, Region);
}

Status Fleet::add(const std::string &Name, std::vector<std::string> Command,
                  const std::string &Address, const std::string &Region) {
  {
    const std::lock_guard Lock(m_mutex);
    m_processes[Name] = {std::move(Command), Address, Region, std::nullopt};
  }
  return start(Name);
}

// An error response also shows that the process accepts HTTP requests.
Status Fleet::start(const std::string &Name) {
  {
    const std::lock_guard Lock(m_mutex);
    const auto It = m_processes.find(Name);
    if (It == m_processes.end())
      return Error{ErrorKind::NotFound, "no process " + Name};
    It->second.m_child.reset();
    It->second.m_child.emplace(It->second.m_command,
                               m_programs.m_directory + "/" + Name + ".log");
  }
  const base::Millis Deadline = base::monotonicNow() + StartTimeout;
  while (base::monotonicNow() < Deadline) {
    const auto Answer = call(Name, "GET", "/metrics", nullptr, 1000);
    if (Answer || Answer.error().m_kind != ErrorKind::Unreachable)
      return base::success();
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return Error{ErrorKind::Timeout, Name + " did not start"};
}

Status Fleet::signal(const std::string &Name, int Signal) {
  const std::lock_guard Lock(m_mutex);
  const auto It = m_processes.find(Name);
  if (It == m_processes.end() || !It->second.m_child)
    return Error{ErrorKind::NotFound, "no process " + Name};
  It->second.m_child->signal(Signal);
  if (Signal == SIGKILL)
    It->second.m_child->wait(StartTimeout);
  return base::success();
}

Status Fleet::terminate(const std::string &Name, base::Millis TimeoutMs) {
  if (auto Sent = signal(Name, SIGTERM); !Sent)
    return Sent;
  Child *Process = nullptr;
  {
    const std::lock_guard Lock(m_mutex);
    Process = &*m_processes.at(Name).m_child;
  }
  const auto Code = Process->wait(TimeoutMs);
  if (!Code)
    return Error{ErrorKind::Timeout, Name + " did not end after SIGTERM"};
  if (*Code != 0)
    return Error{ErrorKind::Internal,
                 Name + " ended with code " + std::to_string(*Code)};
  return base::success();
}

Result<Json> Fleet::call(const std::string &Name, const std::string &Method,
                         const std::string &Target, const Json &Body,
                         int TimeoutMs) const {
  bool Unanswered = false;
  return call(Name, Method, Target, Body, TimeoutMs, Unanswered);
}

Result<Json> Fleet::call(const std::string &Name, const std::string &Method,
                         const std::string &Target, const Json &Body,
                         int TimeoutMs, bool &Unanswered) const {
  const auto Client = http::Client::create(httpAddress(Name));
  const auto Outcome = Client->call(
      {Method, Target, Body.is_null() ? "" : Body.dump()}, TimeoutMs);
  if (const auto *Failed = std::get_if<http::CallError>(&Outcome)) {
    Unanswered = Failed->m_sent == http::Sent::Maybe;
    return Failed->m_error;
  }
  const auto &R = std::get<http::Response>(Outcome);
  if (R.m_status >= 300)
    return errorOf(R);
  return Json::parse(R.m_body, nullptr, false);
}

Fleet::CtlOutcome Fleet::ctl(std::string Arguments) const {
  const std::string Placeholder = "{examples}";
  if (const auto At = Arguments.find(Placeholder); At != std::string::npos)
    Arguments.replace(At, Placeholder.size(), m_programs.m_examples);
  std::vector<std::string> Command = {m_programs.m_pomelokeel, "ctl"};
  for (const std::string &Address : entryAddresses()) {
    Command.push_back("--entry");
    Command.push_back(Address);
  }
  std::istringstream Words(Arguments);
  for (std::string Word; Words >> Word;)
    Command.push_back(Word);
  const std::string File = m_programs.m_directory + "/ctl.out";
  std::ofstream(File, std::ios::trunc).close();
  Child Process(Command, File);
  CtlOutcome Out;
  Out.m_exitCode = Process.wait(CtlTimeout);
  std::stringstream Text;
  Text << std::ifstream(File).rdbuf();
  Out.m_output = Text.str();
  return Out;
}

std::string Fleet::httpAddress(const std::string &Name) const {
  const std::lock_guard Lock(m_mutex);
  const auto It = m_processes.find(Name);
  return It == m_processes.end() ? "" : It->second.m_httpAddress;
}

pid_t Fleet::pid(const std::string &Name) const {
  const std::lock_guard Lock(m_mutex);
  const auto It = m_processes.find(Name);
  return It == m_processes.end() || !It->second.m_child
             ? -1
             : It->second.m_child->pid();
}

std::vector<std::string> Fleet::entries() const {
  const std::lock_guard Lock(m_mutex);
  return m_entries;
}

std::vector<std::string> Fleet::workers() const {
  const std::lock_guard Lock(m_mutex);
  return m_workers;
}

std::vector<std::string> Fleet::entryAddresses() const {
  std::vector<std::string> Out;
  for (const std::string &Name : entries())
    Out.push_back(httpAddress(Name));
  return Out;
}

std::string Fleet::writeSettings(const std::string &Name, const Json &J) const {
  const std::string Path = m_programs.m_directory + "/" + Name + ".json";
  std::ofstream(Path) << J.dump(2) << '\n';
  return Path;
}

} // namespace pomelokeel::scenario
