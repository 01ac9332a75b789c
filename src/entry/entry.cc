#include "entry/entry.h"

#include "entry/process.h"

#include <glog/logging.h>

#include <csignal>

namespace pomelokeel::entry {

int run(const settings::EntrySettings &Settings) {
  // Blocked before any thread starts, so that only this thread gets signals.
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);

  const auto Process = EntryProcess::start(Settings);
  if (!Process) {
    LOG(ERROR) << "event=startFailed process=" << Settings.m_name << " error=\""
               << base::toString(Process.error()) << '"';
    return base::errorInfo(Process.error().m_kind).m_exitCode;
  }
  LOG(INFO) << "event=started process=" << Settings.m_name
            << " http=" << Process.value()->httpAddress()
            << " mesh=" << Process.value()->meshAddress();
  int Signal = 0;
  sigwait(&Signals, &Signal);
  return Process.value()->stop();
}

} // namespace pomelokeel::entry
