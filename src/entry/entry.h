#pragma once

#include "settings/settings.h"

/// The entry process: HTTP interface, follower of the log, relay of its agents
/// and, while it holds the current epoch, leader.
namespace pomelokeel::entry {

/// Runs until SIGTERM or SIGINT. Returns the exit code.
int run(const settings::EntrySettings &Settings);

} // namespace pomelokeel::entry
