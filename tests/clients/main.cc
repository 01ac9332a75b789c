#include "base/clock.h"
#include "base/json.h"
#include "http/http.h"
#include "http/reactor.h"
#include "platform/names.h"
#include "scenario/process.h"
#include "soak/store.h"

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

/// Plays misbehaving clients against a real entry and a real agent on loopback.
/// While the crowd is there, the processes must live, stay within the memory
/// and the descriptors of their machine, and an ordinary request must be
/// served, if need be after retries as callers make them.
namespace pomelokeel::clients {
namespace {

using base::Json;
using base::Millis;
namespace names = platform::names;

/// Memory of the simulated machine, the bound of resident memory.
constexpr int MemoryMb = 48;
/// Limit of connections in the settings, and the file descriptors that a
/// machine grants beside connections.
constexpr int MaxConnections = 256;
constexpr int InternalConnections = 64;
constexpr int FileDescriptors = 200;
constexpr int MaxDescriptors =
    MaxConnections + InternalConnections + FileDescriptors;
/// More than both limits of connections.
constexpr int Crowd = 300;
/// Limit of the configuration for a submission.
constexpr std::size_t BodyBytes = 262144;
/// Below the limit that an agent and internal paths accept.
constexpr std::size_t InternalBodyBytes = 1024 * 1024;
/// A client whose connection is closed opens a new one this often.
constexpr int Reconnects = 2;
/// How long the crowd stays after it has sent all or got stuck.
constexpr Millis StayMs = 1500;
/// Longest time to send everything.
constexpr Millis SendMs = 15000;
constexpr int Attempts = 5;
constexpr int CallMs = 3000;
constexpr Millis RetryMs = 200;
constexpr Millis StartMs = 20000;

constexpr const char *Host = "jobs.example";

std::string configuration() {
  const Json Route = {{"name", "q0"},         {"host", Host},
                      {"pathPrefix", "/q0/"}, {"service", "work"},
                      {"priority", 0},        {"attempts", 3},
                      {"stretch", 2},         {"sloMs", 1000}};
  return base::dumpJson(
      {{"version", 1},
       {"routes", {Route}},
       {"tenants",
        {{{"name", "t"}, {"apiKeys", {"key"}}, {"guaranteed", {{"gpu", 8}}}}}},
       {"limits", {{"maxBodyBytes", BodyBytes}}}});
}

std::string head(const std::string &Method, const std::string &Target,
                 const std::string &More) {
  return fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\n{}: {}key\r\n{}\r\n",
                     Method, Target, Host, names::AuthorizationHeader,
                     names::KeyScheme, More);
}

std::string length(std::size_t Bytes) {
  return fmt::format("Content-Length: {}\r\n", Bytes);
}

std::string jobTarget(int Number) { return fmt::format("/q0/{:016x}", Number); }

std::string ordinaryJob() {
  return R"({"spec":"s","steps":[{"count":1,"cpu":100,"memMb":1,"estMs":100}]})";
}

/// What each client of a crowd sends, and how.
struct Pattern {
  const char *m_name;
  /// Address of the settings that the crowd connects to, of the entry or agent.
  const char *m_address;
  bool m_agent;
  int m_clients;
  /// Bytes per write, and the least time between two writes of a client.
  std::size_t m_pieceBytes;
  Millis m_pauseMs;
  /// Whether clients read the answers. Closes are noticed in any case.
  bool m_reads;
  std::string (*m_bytes)(int Number);
};

std::string withheldAt(const std::string &Target, std::size_t Bytes) {
  return head("POST", Target, length(Bytes)) + std::string(Bytes - 1, 'x');
}

std::string withheldJob(int Number) {
  return withheldAt(jobTarget(Number), BodyBytes);
}

std::string chunked(const std::string &Target, std::size_t Bytes) {
  constexpr std::size_t ChunkBytes = 256;
  std::string Out = head("POST", Target, "Transfer-Encoding: chunked\r\n");
  for (std::size_t Sent = 0; Sent < Bytes; Sent += ChunkBytes)
    Out += fmt::format("{:x}\r\n", ChunkBytes) + std::string(ChunkBytes, 'x') +
           "\r\n";
  return Out;
}

std::string manyOf(const std::string &Begin, const std::string &Element,
                   const std::string &End) {
  std::string Body = Begin + Element;
  while (Body.size() + Element.size() + 1 + End.size() <= BodyBytes)
    Body += "," + Element;
  return Body + End;
}

std::string posted(int Number, const std::string &Body) {
  return head("POST", jobTarget(Number), length(Body.size())) + Body;
}

std::string repeated(const std::string &Text, std::size_t Times) {
  std::string Out;
  for (std::size_t I = 0; I < Times; ++I)
    Out += Text;
  return Out;
}

/// Short header fields that stay below the limit of 16 KiB for a header.
std::string manyFields() { return repeated("a:b\r\n", 1500); }

const std::vector<Pattern> &patterns() {
  constexpr std::size_t Whole = 1024 * 1024;
  constexpr std::size_t Small = 4096;
  constexpr int Few = 32;
  static const std::vector<Pattern> Out = {
      {"WithheldOnePiece", "callerListen", false, Crowd, Whole, 0, true,
       withheldJob},
      {"WithheldSmallPieces", "callerListen", false, Crowd, Small, 1, true,
       withheldJob},
      {"WithheldChunked", "callerListen", false, Crowd, Whole, 0, true,
       [](int N) { return chunked(jobTarget(N), BodyBytes - 256); }},
      {"WithheldUnrouted", "callerListen", false, Crowd, Whole, 0, true,
       [](int) { return withheldAt("/none/1", BodyBytes); }},
      {"WithheldReady", "readyListen", false, Crowd, Whole, 0, true,
       [](int) { return withheldAt(names::Ready, InternalBodyBytes); }},
      {"WithheldControl", "controlListen", false, Crowd, Whole, 0, true,
       [](int) { return withheldAt("/v1/batch/report", BodyBytes); }},
      {"WithheldAgentWorker", "workerListen", true, Crowd, Whole, 0, true,
       [](int) {
         return withheldAt("/pomelokeel/instances/w", InternalBodyBytes);
       }},
      {"WithheldAgentControl", "controlListen", true, Crowd, Whole, 0, true,
       [](int) { return withheldAt("/v1/batch/x", InternalBodyBytes); }},
      {"FarOverLimit", "callerListen", false, Crowd, Whole, 0, true,
       [](int N) {
         return N % 2 == 0
                    ? head("POST", jobTarget(N), length(std::size_t(1) << 30)) +
                          std::string(InternalBodyBytes, 'x')
                    : chunked(jobTarget(N), InternalBodyBytes);
       }},
      {"ManyHeaderFields", "callerListen", false, Crowd, Whole, 0, true,
       [](int N) {
         return head("POST", jobTarget(N), length(2) + manyFields()) + "{";
       }},
      {"ManyHeaderFieldsWhole", "callerListen", false, Crowd, Whole, 0, true,
       [](int N) { return head("GET", jobTarget(N), manyFields()); }},
      {"ManySteps", "callerListen", false, Few, Whole, 0, true,
       [](int N) {
         return posted(N, manyOf(R"({"spec":"s","steps":[)", "{}", "]}"));
       }},
      {"ManyElements", "callerListen", false, Few, Whole, 0, true,
       [](int N) {
         return posted(N,
                       manyOf(R"({"spec":"s","steps":[],"x":[)", "[0]", "]}"));
       }},
      {"ManyMembers", "callerListen", false, Few, Whole, 0, true,
       [](int N) {
         std::string Body = "{";
         for (int I = 0; Body.size() < BodyBytes - 20; ++I)
           Body += fmt::format("\"{:x}\":0,", I);
         return posted(N, Body + "\"y\":0}");
       }},
      {"Pipelined", "callerListen", false, Crowd, Whole, 0, false,
       [](int) { return repeated(head("GET", "/q0/", ""), 5000); }},
      {"PipelinedBodies", "callerListen", false, Crowd, Whole, 0, false,
       [](int N) { return repeated(posted(N, ordinaryJob()), 2000); }},
      {"SlowSenders", "callerListen", false, Crowd, 1, 10, true,
       [](int N) { return posted(N, ordinaryJob()); }},
      {"SlowReaders", "controlListen", false, Crowd, Whole, 0, false,
       [](int) { return repeated(head("GET", "/v1/events", ""), 20); }},
      {"WholeBodies", "callerListen", false, Crowd, Whole, 0, true,
       [](int N) {
         const std::string Job = ordinaryJob();
         return posted(N, "{\"spec\":\"" + std::string(BodyBytes - 200, 'x') +
                              Job.substr(Job.find("s\",") + 1));
       }},
      {"WholeMembers", "callerListen", false, Crowd, Whole, 0, true,
       [](int N) {
         return posted(N,
                       manyOf(R"({"spec":"s","steps":[],"x":[)", "[0]", "]}"));
       }},
      {"HalfRequests", "callerListen", false, Crowd, Whole, 0, true,
       [](int N) { return posted(N, ordinaryJob()).substr(0, 40); }},
  };
  return Out;
}

int connectTo(const std::string &Address, bool SmallBuffer) {
  sockaddr_in To{};
  To.sin_family = AF_INET;
  To.sin_port = htons(static_cast<std::uint16_t>(
      std::stoi(Address.substr(Address.find(':') + 1))));
  ::inet_pton(AF_INET, "127.0.0.1", &To.sin_addr);
  const int Out =
      ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (SmallBuffer) {
    constexpr int Bytes = 4096;
    ::setsockopt(Out, SOL_SOCKET, SO_RCVBUF, &Bytes, sizeof(Bytes));
  }
  // The connection is completed later; poll() shows it.
  (void)::connect(Out, reinterpret_cast<sockaddr *>(&To), sizeof(To));
  return Out;
}

/// The misbehaving clients of one pattern. They run only inside play().
class Clients {
public:
  Clients(const Pattern &P, std::string Address)
      : m_pattern(P), m_address(std::move(Address)),
        m_clients(static_cast<std::size_t>(P.m_clients)) {
    for (std::size_t I = 0; I < m_clients.size(); ++I)
      m_bytes.push_back(P.m_bytes(static_cast<int>(I)));
  }
  ~Clients() { closeAll(); }
  Clients(const Clients &) = delete;
  Clients &operator=(const Clients &) = delete;

  /// Lets the clients send until they are done or stuck for StayMs.
  void play(const std::function<void()> &OnStep) {
    const Millis End = base::bootNow() + SendMs;
    Millis LastProgress = base::bootNow();
    while (base::bootNow() < End && base::bootNow() < LastProgress + StayMs) {
      for (std::size_t I = 0; I < m_clients.size(); ++I) {
        if (step(m_clients[I], m_bytes[I]))
          LastProgress = base::bootNow();
      }
      OnStep();
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
  }

  void closeAll() {
    for (Client &C : m_clients) {
      if (C.m_socket >= 0)
        ::close(C.m_socket);
      C.m_socket = -1;
    }
  }

private:
  struct Client {
    int m_socket = -1;
    int m_connections = 0;
    std::size_t m_sent = 0;
    Millis m_nextAt = 0;
  };

  /// Returns true if the client made progress.
  bool step(Client &C, const std::string &Bytes) {
    if (C.m_socket < 0) {
      if (C.m_connections > Reconnects)
        return false;
      C.m_socket = connectTo(m_address, !m_pattern.m_reads);
      C.m_sent = 0;
      ++C.m_connections;
      return true;
    }
    pollfd Poll{C.m_socket, POLLOUT, 0};
    ::poll(&Poll, 1, 0);
    std::array<char, 4096> In;
    if ((Poll.revents & (POLLERR | POLLHUP)) != 0 ||
        (m_pattern.m_reads &&
         ::recv(C.m_socket, In.data(), In.size(), 0) == 0)) {
      ::close(C.m_socket);
      C.m_socket = -1;
      return C.m_connections <= Reconnects;
    }
    const Millis Now = base::bootNow();
    if (C.m_sent >= Bytes.size() || Now < C.m_nextAt ||
        (Poll.revents & POLLOUT) == 0)
      return false;
    C.m_nextAt = Now + m_pattern.m_pauseMs;
    const ssize_t Sent =
        ::send(C.m_socket, Bytes.data() + C.m_sent,
               std::min(m_pattern.m_pieceBytes, Bytes.size() - C.m_sent),
               MSG_NOSIGNAL);
    if (Sent > 0)
      C.m_sent += static_cast<std::size_t>(Sent);
    return Sent > 0;
  }

  const Pattern &m_pattern;
  std::string m_address;
  std::vector<Client> m_clients;
  std::vector<std::string> m_bytes;
};

/// Returns the value in kB of a row of /proc/PID/status.
long statusRow(pid_t Pid, const std::string &Name) {
  std::ifstream In(fmt::format("/proc/{}/status", Pid));
  for (std::string Line; std::getline(In, Line);) {
    if (Line.starts_with(Name + ":"))
      return std::stol(Line.substr(Name.size() + 1));
  }
  return -1;
}

std::size_t openDescriptors(pid_t Pid) {
  std::error_code E;
  std::size_t Out = 0;
  for (auto It = std::filesystem::directory_iterator(
           fmt::format("/proc/{}/fd", Pid), E);
       !E && It != std::filesystem::directory_iterator(); It.increment(E))
    ++Out;
  return Out;
}

/// A process under test with the figures that were seen.
struct Process {
  std::string m_name;
  Json m_settings;
  std::optional<scenario::Child> m_child;
  std::size_t m_descriptors = 0;

  std::string at(const char *Key) const {
    return m_settings[Key].get<std::string>();
  }
};

class Test {
public:
  Test(std::string Program, const Pattern &P, std::string Folder)
      : m_program(std::move(Program)), m_folder(std::move(Folder)),
        m_pattern(P), m_reactor(http::Reactor::create()),
        m_storeAddress(freeAddress()), m_store(*m_reactor, m_storeAddress) {
    m_store.put(names::OperatorTopic, names::ConfigKey, configuration());
    m_storeThread = std::thread([this] { m_reactor->run(); });
  }
  ~Test() {
    m_reactor->stop();
    m_storeThread.join();
  }
  Test(const Test &) = delete;
  Test &operator=(const Test &) = delete;

  bool run() {
    Process Entry = start("entry", {{"callerListen", freeAddress()},
                                    {"readyListen", freeAddress()}});
    Process Agent = start("agent", {{"workerListen", freeAddress()},
                                    {"endpoint", freeAddress()}});
    if (!eventually(StartMs, [&] { return submits(Entry, 0xf000); }) ||
        !eventually(StartMs, [&] { return serves(Agent); }))
      fail("the processes are not ready");
    Process &Target = m_pattern.m_agent ? Agent : Entry;
    Clients C(m_pattern, Target.at(m_pattern.m_address));
    C.play([&] {
      Target.m_descriptors = std::max(Target.m_descriptors,
                                      openDescriptors(Target.m_child->pid()));
    });
    if (!attempt([&] { return submits(Entry, 0xf001); }))
      fail("a job is not accepted while the crowd is there");
    if (m_pattern.m_agent && !attempt([&] { return serves(Agent); }))
      fail("the agent does not serve while the crowd is there");
    C.closeAll();
    if (!attempt([&] { return submits(Entry, 0xf002); }) ||
        !attempt([&] { return serves(Entry); }) ||
        !attempt([&] { return serves(Agent); }))
      fail("an ordinary request is not answered afterwards");
    check(Entry);
    check(Agent);
    return m_failures == 0;
  }

private:
  static std::string freeAddress() {
    return fmt::format("127.0.0.1:{}", scenario::reservePort());
  }

  Process start(const std::string &Role, const Json &Addresses) {
    Process Out;
    Out.m_name = Role;
    Out.m_settings = {{"name", Role},
                      {"dataCentre", "a"},
                      {"store", m_storeAddress},
                      {"controlListen", freeAddress()},
                      {"memoryMb", MemoryMb},
                      {"maxConnections", MaxConnections}};
    Out.m_settings.update(Addresses);
    const std::string File = m_folder + "/" + Role + ".json";
    std::ofstream(File) << Out.m_settings.dump();
    Out.m_child.emplace(std::vector<std::string>{m_program, "platform", Role,
                                                 "--settings", File},
                        m_folder + "/" + Role + ".log");
    return Out;
  }

  static int call(const std::string &Address, const http::Request &R) {
    const auto Outcome = http::Client::create(Address)->call(R, CallMs);
    const auto *Answer = std::get_if<http::Response>(&Outcome);
    return Answer == nullptr ? 0 : Answer->m_status;
  }

  /// Submits a small job like an ordinary caller.
  static bool submits(const Process &Entry, int Number) {
    // http::Client sends no header fields of its own.
    const std::string Bytes = posted(Number, ordinaryJob());
    const int Socket = connectTo(Entry.at("callerListen"), false);
    pollfd Poll{Socket, POLLOUT, 0};
    ::poll(&Poll, 1, CallMs);
    ::send(Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
    Poll.events = POLLIN;
    ::poll(&Poll, 1, CallMs);
    std::array<char, 512> In;
    const ssize_t Size = ::recv(Socket, In.data(), In.size(), 0);
    ::close(Socket);
    return Size > 0 &&
           std::string_view(In.data(), static_cast<std::size_t>(Size))
               .starts_with("HTTP/1.1 200");
  }

  /// True if all internal servers of the process answer.
  static bool serves(const Process &P) {
    if (call(P.at("controlListen"), {"GET", "/metrics", ""}) != 200)
      return false;
    if (P.m_name == "entry")
      return call(P.at("readyListen"), {"GET", names::Ready, ""}) == 200;
    const Json Heartbeat = {{"service", "work"},
                            {"addr", P.at("endpoint")},
                            {"zone", "a"},
                            {"state", "ready"},
                            {"seq", 1},
                            {"born", 1},
                            {"capacity", {{"cpu", 1000}, {"memMb", 1000}}}};
    return call(P.at("workerListen"),
                {"PUT", std::string(names::InstancesPrefix) + "w",
                 Heartbeat.dump()}) == 200;
  }

  static bool eventually(Millis LimitMs, const std::function<bool()> &Holds) {
    const Millis End = base::bootNow() + LimitMs;
    while (!Holds()) {
      if (base::bootNow() > End)
        return false;
      std::this_thread::sleep_for(std::chrono::milliseconds(RetryMs));
    }
    return true;
  }

  static bool attempt(const std::function<bool()> &Succeeds) {
    for (int I = 0; I < Attempts; ++I) {
      if (Succeeds())
        return true;
      std::this_thread::sleep_for(std::chrono::milliseconds(RetryMs));
    }
    return false;
  }

  void check(Process &P) {
    if (!P.m_child->running())
      return fail(P.m_name + " has ended");
    // The peak of VmRSS since the start.
    const long PeakKb = statusRow(P.m_child->pid(), "VmHWM");
    constexpr long KbPerMb = 1024;
    fmt::print("{} {}: peak of resident memory {} MB of {}, now {} MB, "
               "descriptors {} of {}\n",
               m_pattern.m_name, P.m_name, PeakKb / KbPerMb, MemoryMb,
               statusRow(P.m_child->pid(), "VmRSS") / KbPerMb, P.m_descriptors,
               MaxDescriptors);
    if (PeakKb > MemoryMb * KbPerMb)
      fail(P.m_name + " uses too much memory");
    if (P.m_descriptors > MaxDescriptors)
      fail(P.m_name + " uses too many descriptors");
  }

  void fail(const std::string &Text) {
    ++m_failures;
    fmt::print("failed: {}: {}\n", m_pattern.m_name, Text);
  }

  std::string m_program;
  std::string m_folder;
  const Pattern &m_pattern;
  std::unique_ptr<http::Reactor> m_reactor;
  std::string m_storeAddress;
  soak::Store m_store;
  std::thread m_storeThread;
  int m_failures = 0;
};

int run(const std::string &Program, const std::string &Name) {
  const auto It =
      std::find_if(patterns().begin(), patterns().end(),
                   [&](const Pattern &P) { return Name == P.m_name; });
  if (It == patterns().end()) {
    for (const Pattern &P : patterns())
      fmt::print("{}\n", P.m_name);
    return 2;
  }
  std::string Folder =
      (std::filesystem::temp_directory_path() / "clients-XXXXXX").string();
  if (::mkdtemp(Folder.data()) == nullptr)
    return 2;
  const bool Passed = Test(Program, *It, Folder).run();
  if (Passed)
    std::filesystem::remove_all(Folder);
  else
    fmt::print("logs: {}\n", Folder);
  return Passed ? 0 : 1;
}

} // namespace
} // namespace pomelokeel::clients

int main(int Argc, char **Argv) {
  std::string Program;
  std::string Pattern;
  CLI::App App("Plays misbehaving clients against real processes");
  App.add_option("--pomelokeel", Program, "Program")->required();
  App.add_option("--pattern", Pattern, "Name of the pattern")->required();
  CLI11_PARSE(App, Argc, Argv);
  return pomelokeel::clients::run(Program, Pattern);
}
