#include "agent/agent.h"

namespace pomelokeel::agent {

int run(const settings::AgentSettings &) { return 1; }

} // namespace pomelokeel::agent
