#include "agent/agent.h"

#include "agent/process.h"

#include <glog/logging.h>

#include <csignal>
#include <ctime>

#include <malloc.h>

namespace pomelokeel::agent {
namespace {

/// Between checks whether the graceful stop is complete.
constexpr long StopPollNanos = 20'000'000;
/// By default glibc creates a heap for each of the many nng threads, which
/// would exceed the memory limit of the process.
constexpr int MallocArenas = 2;

} // namespace

int run(const settings::AgentSettings &Settings) {
  mallopt(M_ARENA_MAX, MallocArenas);
  // Blocked here and in all threads that start later, so that sigtimedwait
  // below receives them.
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  auto Started = Process::start(Settings);
  if (!Started) {
    LOG(ERROR) << "event=startFailed error=\""
               << base::toString(Started.error()) << "\"";
    return base::errorInfo(Started.error().m_kind).m_exitCode;
  }
  LOG(INFO) << "event=started process=" << Settings.m_name
            << " mesh=" << (*Started)->meshAddress()
            << " http=" << (*Started)->httpAddress();
  while (!(*Started)->finished()) {
    const timespec Wait{0, StopPollNanos};
    if (sigtimedwait(&Signals, nullptr, &Wait) > 0)
      (*Started)->requestStop();
  }
  return 0;
}

} // namespace pomelokeel::agent
