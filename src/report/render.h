#pragma once

#include "report/status.h"

#include <string>

namespace pomelokeel::report {

// Each function renders an answer of an entry as text for operators. Ages are
// relative to the time of the answer.
std::string renderStatus(const Status &S);
std::string renderExplanation(const Explanation &E);
std::string renderJob(const JobStatus &J);
std::string renderJobs(const JobPage &P);
std::string renderConfig(const ConfigPage &P);
std::string renderCheck(const ConfigCheck &C);
std::string renderPublished(const PublishResult &P);

/// Renders the differences between the schema numbers and the bodies of two
/// versions of a record, one line `path: old -> new` for each changed value.
std::string renderDiff(const model::ConfigRecord &Old,
                       const model::ConfigRecord &New);

} // namespace pomelokeel::report
