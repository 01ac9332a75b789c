#include "standin/log.h"
#include "standin/worker.h"

#include <CLI/CLI.hpp>
#include <glog/logging.h>
#include <pthread.h>

#include <csignal>
#include <cstdio>
#include <exception>

namespace {

using namespace pomelokeel::standin;

// Prints the address of the running stand-in and waits for SIGTERM or SIGINT.
void serve(const Standin &S) {
  std::printf("listening %s\n", S.address().c_str());
  std::fflush(stdout);
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  int Received = 0;
  sigwait(&Signals, &Received);
}

// Blocks the signals that serve() waits for, in this thread and those that it
// starts, so that sigwait() receives them.
void blockSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
}

} // namespace

int main(int Argc, char **Argv) {
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(Argv[0]);
  blockSignals();

  CLI::App App{"Stand-ins of the log service and the worker"};
  App.require_subcommand(1);
  LogOptions Log;
  WorkerOptions Worker;

  CLI::App *LogCommand = App.add_subcommand("log", "Log service");
  LogCommand->add_option("--listen", Log.m_listen, "host:port");
  LogCommand->add_option("--retention-records", Log.m_retentionRecords,
                         "Values kept per stream; 0 keeps all");
  LogCommand->add_option("--retention-ms", Log.m_retentionMs,
                         "Age up to which values are kept; 0 keeps all");
  LogCommand->add_option("--max-appends-per-second", Log.m_maxAppendsPerSecond,
                         "Further appends get status 429");
  LogCommand->add_option("--file", Log.m_file,
                         "File that keeps the streams over a restart");
  LogCommand->callback([&] { serve(LogStandin(Log)); });

  CLI::App *WorkerCommand = App.add_subcommand("worker", "Worker");
  WorkerCommand->add_option("--listen", Worker.m_listen, "host:port");
  WorkerCommand->add_option("--accelerators", Worker.m_accelerators,
                            "Accelerators");
  WorkerCommand->add_option("--slots", Worker.m_slots, "Slots");
  WorkerCommand->callback([&] { serve(WorkerStandin(Worker)); });

  try {
    CLI11_PARSE(App, Argc, Argv);
  } catch (const std::exception &E) {
    std::fprintf(stderr, "standin: %s\n", E.what());
    return 1;
  }
  return 0;
}
