#pragma once

#include "settings/settings.h"

/// The agent process beside an endpoint.
namespace pomelokeel::agent {

/// Runs until SIGTERM or SIGINT. Returns the exit code.
int run(const settings::AgentSettings &Settings);

} // namespace pomelokeel::agent
