#pragma once

#include "settings/settings.h"

/// The process that runs beside a worker and manages its tasks.
namespace pomelokeel::agent {

/// Runs the agent until SIGTERM or SIGINT and a graceful stop. Returns the exit
/// code.
int run(const settings::AgentSettings &Settings);

} // namespace pomelokeel::agent
