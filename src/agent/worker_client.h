#pragma once

#include "agent/tasks.h"
#include "base/ring.h"
#include "http/http.h"
#include "mesh/mesh.h"
#include "model/task.h"
#include "model/worker.h"

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <variant>
#include <vector>

namespace pomelokeel::agent {

/// Tasks as read from the worker.
struct WorkerPage {
  model::TaskPage m_page;
  bool m_complete = false; ///< All tasks, not only the changed ones.
  Millis m_sentAt = 0;
};

/// The worker did not answer a request for tasks.
struct WorkerUnreachable {};

/// Entries that were found by HTTP.
struct EntriesFound {
  std::vector<model::Member> m_members;
};

/// What the core thread of an agent receives.
using CoreEvent = std::variant<mesh::Incoming, WorkerAnswer, WorkerPage,
                               WorkerUnreachable, EntriesFound>;
using Inbox = base::Ring<CoreEvent>;

/// Talks to the worker on two threads: one sends the calls in order, the other
/// follows the changes of the worker's tasks with long polls.
class WorkerClient {
public:
  struct Timing {
    Millis m_pollMs = 1000; ///< Longest wait of a long poll.
    Millis m_callTimeoutMs = 1000;
    std::size_t m_queue = 1024;
  };

  WorkerClient(const std::string &Address, Timing T, Inbox &Out);
  ~WorkerClient() { stop(); }

  /// Queues a call; its answer comes to the inbox. Returns false if the queue
  /// is full or closed.
  bool call(WorkerCall Call);

  void stop();

private:
  void runCalls();
  void runWatch();
  WorkerAnswer performCall(const WorkerCall &Call);
  bool readPage(const std::string &Target, int TimeoutMs, WorkerPage &Out);
  void waitBeforeRetry();

  const Timing m_timing;
  Inbox &m_out;
  std::unique_ptr<http::Client> m_callClient;
  std::unique_ptr<http::Client> m_watchClient;
  base::Ring<WorkerCall> m_calls;
  std::atomic<bool> m_stopping = false;
  std::mutex m_mutex;
  std::condition_variable m_wake;
  std::thread m_callThread;
  std::thread m_watchThread;
};

/// Asks the configured addresses for the list of entries, on its own thread.
class EntryFinder {
public:
  EntryFinder(std::vector<std::string> Addresses, Inbox &Out);
  ~EntryFinder() { stop(); }

  /// Starts a search unless one is going on.
  void find();

  void stop();

private:
  void run();
  bool fetchMembers(const std::string &Address);

  const std::vector<std::string> m_addresses;
  Inbox &m_out;
  std::mutex m_mutex;
  std::condition_variable m_wake;
  bool m_lookupRequested = false;
  bool m_stopping = false;
  std::unique_ptr<http::Client> m_client;
  std::thread m_thread;
};

} // namespace pomelokeel::agent
