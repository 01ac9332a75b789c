#pragma once

#include "sched/sched.h"

#include <string>
#include <vector>

namespace pomelokeel::bench {

using base::Millis;

/// A job of a stream, with facts that the scheduler does not see.
struct StreamJob {
  sched::WaitingView m_job;
  Millis m_actualRunMs = 0; ///< Declared run times differ from it.
  Millis m_cancelMs = 0;    ///< Time of the cancellation; 0 means never.
};

/// A worker is unavailable from m_fromMs until before m_untilMs.
struct Outage {
  std::string m_worker;
  Millis m_fromMs = 0;
  Millis m_untilMs = 0;
};

/// Input of one simulation, generated from a seed: the jobs of one kind of user
/// and the fleet that runs them.
struct JobStream {
  std::string m_name;
  std::vector<model::Account> m_accounts;
  std::vector<sched::WorkerView> m_workers;
  std::vector<StreamJob> m_jobs; ///< In order of submission.
  std::vector<Outage> m_outages;
};

/// Many short urgent requests and a few long jobs, as Creditauto Lariana has
/// them.
JobStream makeLendingStream(unsigned Seed);

/// Large forecast rebuilds and bursts of small jobs, as Taquilla Marea has
/// them.
JobStream makeTicketingStream(unsigned Seed);

} // namespace pomelokeel::bench
