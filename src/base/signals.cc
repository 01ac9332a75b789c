#include "base/signals.h"

#include <signal.h>

namespace pomelokeel::base {
namespace {

void changeMask(int How, const std::vector<int> &Signals) {
  sigset_t Set;
  sigemptyset(&Set);
  for (const int Number : Signals)
    sigaddset(&Set, Number);
  pthread_sigmask(How, &Set, nullptr);
}

} // namespace

void holdSignals(const std::vector<int> &Signals) {
  changeMask(SIG_BLOCK, Signals);
}

void releaseSignals(const std::vector<int> &Signals) {
  changeMask(SIG_UNBLOCK, Signals);
}

} // namespace pomelokeel::base
