#pragma once

#include "http/async_client.h"
#include "soak/history.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace pomelokeel::soak {

/// Simulates callers, one for each job. A caller keeps its connection to a
/// random entry until that process is gone, and then chooses another one. A
/// submission is repeated until it is accepted or refused too often. Some
/// accepted jobs are cancelled, and all of them are queried until they have
/// ended.
class Callers {
public:
  Callers(http::Reactor &R, History &H, std::mt19937_64 &Random,
          const std::vector<std::string> &Entries);

  /// One of this many jobs is a gang.
  unsigned m_jobsPerGang = 3;

  /// Creates a job with random properties. The next tick() submits it.
  void addJob() { addJobAt(""); }
  /// Creates a job that is submitted to \p Entry first.
  void addJobAt(const std::string &Entry);
  /// Sends the requests that are due, at most one at a time for each job.
  void tick();

  /// Queries all accepted jobs again. They count as unfinished until an entry
  /// has answered once more that they have ended.
  void queryAcceptedAgain();
  /// Number of jobs that have not ended, without abandoned ones.
  std::size_t unfinished() const;
  std::size_t accepted() const;

private:
  struct Job {
    std::string m_id;
    std::string m_body;
    int m_tasks = 0;
    int m_submissions = 0;
    bool m_accepted = false;
    bool m_abandoned = false; ///< Refused too often, not submitted again.
    bool m_ended = false;     ///< As an entry has answered.
    bool m_callInFlight = false;
    bool m_shouldCancel = false; ///< Cancel it once it is accepted.
    /// Cancel it already if its submission is not answered soon.
    bool m_shouldGiveUp = false;
    bool m_gaveUp = false;
    bool m_cancelConfirmed = false; ///< Answered with status 200 or 410.
    Millis m_nextCallAt = 0;
    std::shared_ptr<http::AsyncClient> m_entry;
    bool m_entryIsGone = false;
  };

  http::Request makeRequest(const char *Method, const Job &J) const;
  void sendSubmit(Job &J);
  void sendQuery(Job &J);
  void sendCancel(Job &J);
  /// Sends the request to the entry of the job's caller.
  void call(const char *Method, Job &J, std::string Body, Millis TimeoutMs,
            std::function<void(Job &, const http::CallResult &)> Done);

  http::Reactor &m_reactor;
  History &m_history;
  std::mt19937_64 &m_random;
  std::vector<std::string> m_entries;
  std::map<std::string, Job> m_jobs;
};

/// Bytes of a request for the length of a queue.
std::string lengthQuery();

/// Configuration with the queues and the account that the callers use.
std::string configuration(int Version);

} // namespace pomelokeel::soak
