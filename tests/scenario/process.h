#pragma once

#include "base/clock.h"

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace pomelokeel::scenario {

/// A child process. The destructor sends SIGKILL if it still runs.
class Child {
public:
  /// Starts a program and appends its output and error output to \p LogFile.
  Child(const std::vector<std::string> &Command, const std::string &LogFile);
  Child(Child &&Other) noexcept;
  Child &operator=(Child &&Other) noexcept;
  Child(const Child &) = delete;
  Child &operator=(const Child &) = delete;
  ~Child();

  void signal(int Signal) const;
  bool running();
  pid_t pid() const { return m_pid; }

  /// Waits for the end and returns the exit code, or 128 + signal.
  std::optional<int> wait(base::Millis TimeoutMs);

private:
  bool reap();

  pid_t m_pid = -1;
  std::optional<int> m_exitCode;
};

/// Reserves a TCP port on 127.0.0.1 for the lifetime of this process, so that
/// test programs that run in parallel get different ones. The port is outside
/// the range from which the system takes ports of outgoing connections.
int reservePort();

} // namespace pomelokeel::scenario
