#pragma once

#include "settings/settings.h"

#include <memory>
#include <string>

namespace pomelokeel::entry {

/// A running entry: the threads and sockets around a Core.
class EntryProcess {
public:
  /// Binds the addresses and starts all threads. Error: badSettings.
  static base::Result<std::unique_ptr<EntryProcess>>
  start(const settings::EntrySettings &Settings);

  /// Stops like halt(), without announcing a departure.
  ~EntryProcess();

  /// The bound `host:port`.
  std::string httpAddress() const;
  /// The `host:port` that peers dial.
  std::string meshAddress() const;

  /// Graceful stop: takes no new jobs, answers the requests in flight within
  /// the grace time of the settings, announces the departure and drains the
  /// appends. Returns the exit code.
  int stop();

  /// Stops all threads at once, as a crash would: sends no answers and
  /// announces no departure.
  void halt();

private:
  struct Impl;
  explicit EntryProcess(std::unique_ptr<Impl> I);

  std::unique_ptr<Impl> m_impl;
};

} // namespace pomelokeel::entry
