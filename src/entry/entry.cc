#include "entry/entry.h"

namespace pomelokeel::entry {

int run(const settings::EntrySettings &) { return 1; }

} // namespace pomelokeel::entry
