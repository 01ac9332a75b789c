#include "ctl/ctl.h"

namespace pomelokeel::ctl {

void addCommands(CLI::App &, int &) {}

} // namespace pomelokeel::ctl
