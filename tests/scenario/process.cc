#include "scenario/process.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstring>
#include <stdexcept>
#include <thread>
#include <utility>

namespace pomelokeel::scenario {
namespace {

constexpr int FirstPort = 20000;
constexpr int LastPort = 32000;
constexpr std::chrono::milliseconds PollInterval{5};

// Locks a port against other processes that reserve ports, by binding an
// abstract socket name.
bool lockPort(int Port) {
  const int Fd = ::socket(AF_UNIX, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  sockaddr_un Address{};
  Address.sun_family = AF_UNIX;
  const std::string Name = "pomelokeel-port-" + std::to_string(Port);
  std::memcpy(Address.sun_path + 1, Name.data(), Name.size());
  const auto Length =
      static_cast<socklen_t>(sizeof(sa_family_t) + 1 + Name.size());
  if (::bind(Fd, reinterpret_cast<sockaddr *>(&Address), Length) == 0)
    return true; // the open socket holds the lock
  ::close(Fd);
  return false;
}

bool canBind(int Port) {
  const int Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const bool Free =
      ::bind(Fd, reinterpret_cast<sockaddr *>(&Address), sizeof(Address)) == 0;
  ::close(Fd);
  return Free;
}

} // namespace

Child::Child(const std::vector<std::string> &Command,
             const std::string &LogFile) {
  std::vector<char *> Arguments;
  Arguments.reserve(Command.size() + 1);
  for (const std::string &Word : Command)
    Arguments.push_back(const_cast<char *>(Word.c_str()));
  Arguments.push_back(nullptr);
  posix_spawn_file_actions_t FileActions;
  posix_spawn_file_actions_init(&FileActions);
  posix_spawn_file_actions_addopen(&FileActions, 1, LogFile.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&FileActions, 1, 2);
  const int Code = ::posix_spawn(&m_pid, Command.front().c_str(), &FileActions,
                                 nullptr, Arguments.data(), environ);
  posix_spawn_file_actions_destroy(&FileActions);
  if (Code != 0)
    throw std::runtime_error("cannot start " + Command.front());
}

Child::Child(Child &&Other) noexcept
    : m_pid(std::exchange(Other.m_pid, -1)), m_exitCode(Other.m_exitCode) {}

Child &Child::operator=(Child &&Other) noexcept {
  std::swap(m_pid, Other.m_pid);
  std::swap(m_exitCode, Other.m_exitCode);
  return *this;
}

Child::~Child() {
  if (m_pid < 0 || !running())
    return;
  signal(SIGKILL);
  ::waitpid(m_pid, nullptr, 0);
}

void Child::signal(int Signal) const {
  if (m_pid > 0 && !m_exitCode)
    ::kill(m_pid, Signal);
}

bool Child::running() { return m_pid > 0 && !reap(); }

std::optional<int> Child::wait(base::Millis TimeoutMs) {
  const base::Millis Deadline = base::monotonicNow() + TimeoutMs;
  while (!reap() && base::monotonicNow() < Deadline)
    std::this_thread::sleep_for(PollInterval);
  return m_exitCode;
}

// Returns whether the process has ended.
bool Child::reap() {
  if (m_exitCode)
    return true;
  int WaitStatus = 0;
  if (::waitpid(m_pid, &WaitStatus, WNOHANG) != m_pid)
    return false;
  m_exitCode = WIFEXITED(WaitStatus) ? WEXITSTATUS(WaitStatus)
                                     : 128 + WTERMSIG(WaitStatus);
  return true;
}

int reservePort() {
  static int Next = FirstPort + (::getpid() * 37) % (LastPort - FirstPort);
  for (int Tries = 0; Tries < LastPort - FirstPort; ++Tries) {
    const int Port = Next;
    Next = Next + 1 < LastPort ? Next + 1 : FirstPort;
    if (lockPort(Port) && canBind(Port))
      return Port;
  }
  throw std::runtime_error("no free port");
}

} // namespace pomelokeel::scenario
