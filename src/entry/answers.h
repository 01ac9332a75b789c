#pragma once

#include "entry/api.h"
#include "entry/leader.h"
#include "report/status.h"
#include "state/state.h"

#include <string>

namespace pomelokeel::entry {

/// Maximum number of wait reasons, and of blocks, in one status answer.
constexpr std::size_t MaxLeaderRows = 1000;

report::JobStatus jobStatus(const model::Job &J);

/// The job with its outcome: 200 if finished, else 202.
http::Response jobAnswer(const model::Job &J);

/// Says that the submission may have been accepted: 202 with kind
/// `logUnconfirmed`, the key to poll with, and what is known of the job.
http::Response unconfirmedAnswer(const model::JobSpec &Spec,
                                 const std::string &Message);

/// Jobs of \p Query, newest first.
report::JobPage listJobs(const state::State &S, const ListJobs &Query);

/// Explains \p J. \p Report is null at a standby, which names the leader to ask
/// if the answer lacks a wait reason.
report::Explanation explain(const state::State &S, const model::Job &J,
                            const LeaderReport *Report);

report::MemberPage memberPage(const state::State &S);

/// Configuration records in force.
report::ConfigPage configPage(const state::State &S);

/// Versions of one record, oldest first. Error: notFound.
base::Result<report::ConfigPage> configHistory(const state::State &S,
                                               const GetConfigHistory &Query);

/// Reports what \p R would change, without publishing it.
report::ConfigCheck checkReport(const state::State &S,
                                const model::ConfigRecord &R);

/// Fills the parts of a Status that follow from the state: jobs, accounts,
/// workers, configuration, leader. \p Report is null at a standby.
void fillStatus(report::Status &Out, const state::State &S,
                const LeaderReport *Report);

/// HTTP address of the leader according to the state, or "".
std::string leaderHttp(const state::State &S);

} // namespace pomelokeel::entry
