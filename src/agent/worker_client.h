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

/// A page of tasks from the worker.
struct WorkerPage {
  model::TaskPage m_page;
  bool m_complete = false; ///< All tasks instead of the changed ones.
  Millis m_sentAt = 0;     ///< When the request was sent.
};

/// The worker did not answer a request for tasks.
struct WorkerUnreachable {};

/// The list of entries, as read by HTTP.
struct EntriesFound {
  std::vector<model::Member> m_members;
};

/// An input of the core thread.
using CoreEvent = std::variant<mesh::Incoming, WorkerAnswer, WorkerPage,
                               WorkerUnreachable, EntriesFound>;
using Inbox = base::Ring<CoreEvent>;

/// HTTP client of the worker with two threads. One sends the calls in order,
/// the other reads the changes of the worker's tasks with long polls.
class WorkerClient {
public:
  struct Timing {
    Millis m_pollMs = 1000; ///< Longest wait of a long poll.
    Millis m_callTimeoutMs = 1000;
    std::size_t m_queue = 1024; ///< Calls that wait to be sent.
  };

  WorkerClient(const std::string &Address, Timing T, Inbox &Out);
  ~WorkerClient() { stop(); }

  /// Queues a call, whose WorkerAnswer goes to the inbox. Returns false if the
  /// queue is full or closed.
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

/// Reads the list of entries from the configured addresses, on its own thread.
class EntryFinder {
public:
  EntryFinder(std::vector<std::string> Addresses, Inbox &Out);
  ~EntryFinder() { stop(); }

  /// Requests a lookup. The first address that answers ends it.
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
