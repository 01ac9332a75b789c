#pragma once

#include "http/async_client.h"
#include "soak/history.h"

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace pomelokeel::soak {

/// Callers that submit jobs at any entry, repeat a submission whose outcome
/// they do not know, cancel some jobs and ask for all of them.
class Callers {
public:
  Callers(http::Reactor &R, History &H, std::mt19937_64 &Random,
          const std::vector<std::string> &Entries);

  /// Submits a new job of a random kind.
  void submit();
  void tick();

  /// Asks for each accepted job once more; open() falls to 0 as they are
  /// answered.
  void askForAll();
  std::size_t unfinished() const;
  std::size_t accepted() const;

private:
  struct Job {
    std::string m_id;
    std::string m_body;
    int m_tasks = 0;
    int m_tries = 0;
    bool m_accepted = false;
    bool m_dropped = false; ///< Refused for good.
    bool m_over = false;
    bool m_calling = false;
    bool m_cancel = false;
    bool m_cancelled = false;
    Millis m_nextAt = 0;
  };

  http::Request request(const char *Method, const Job &J) const;
  void attempt(const std::string &Id);
  void ask(const std::string &Id);
  void cancel(const std::string &Id);
  http::AsyncClient &anyEntry();

  http::Reactor &m_reactor;
  History &m_history;
  std::mt19937_64 &m_random;
  std::vector<std::shared_ptr<http::AsyncClient>> m_entries;
  std::map<std::string, Job> m_jobs;
};

/// The configuration that the callers' requests need.
std::string configuration(int Version);

} // namespace pomelokeel::soak
