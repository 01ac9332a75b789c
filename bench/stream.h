#pragma once

#include "sched/sched.h"

#include <string>
#include <vector>

namespace pomelokeel::bench {

using base::Millis;

/// A job of a stream, with what the scheduler does not know.
struct StreamJob {
  sched::WaitingView m_job;
  Millis m_actualMs = 0; ///< True run time.
  Millis m_cancelMs = 0; ///< Time of the cancellation; 0 is none.
};

/// A worker is away from From to Until.
struct Outage {
  std::string m_worker;
  Millis m_fromMs = 0;
  Millis m_untilMs = 0;
};

/// A seeded run of one user.
struct Stream {
  std::string m_name;
  std::vector<model::Account> m_accounts;
  std::vector<sched::WorkerView> m_workers;
  std::vector<StreamJob> m_jobs; ///< By time of submission.
  std::vector<Outage> m_outages;
};

/// Many short urgent requests with some long jobs (Creditauto Lariana).
Stream lending(unsigned Seed);

/// Large forecast rebuilds with bursts of small jobs (Taquilla Marea).
Stream ticketing(unsigned Seed);

} // namespace pomelokeel::bench
