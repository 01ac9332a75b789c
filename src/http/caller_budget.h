#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>

namespace pomelokeel::http {

/// Why a server closed a connection or refused a request of it.
enum class CloseReason {
  Budget,       ///< The bytes of all connections exceeded the budget.
  Connections,  ///< A new connection took the place of this one.
  Refused,      ///< The limit of connections was reached by busy ones.
  RequestTime,  ///< The request did not arrive in time.
  ResponseTime, ///< The peer did not read the response in time.
  HeaderFields, ///< The request had too many header fields.
  Size,         ///< The header or the body was too large.
  Head,         ///< Refused because of its header, before the body was read.
};

/// Returns the name of \p Reason in log lines and metrics.
const char *nameOf(CloseReason Reason);

/// The bytes that the connections of a process bind, shared by its servers, and
/// the order in which connections are closed if they bind too much. A
/// connection takes part in that order while it is idle or a request or
/// response of it is unfinished. Not thread-safe.
class CallerBudget {
public:
  using Id = std::uint64_t;
  /// Closes the connection, which must call remove(). Must not call charge().
  using Evict = std::function<void(CloseReason)>;

  /// What a connection does.
  enum class Activity {
    Idle,       ///< Between requests. Closed for a new connection only.
    Unfinished, ///< Receives a request or sends a response.
    Handled,    ///< A whole request is being handled. Never closed.
  };

  explicit CallerBudget(std::size_t Bytes) : m_limit(Bytes) {}
  CallerBudget(const CallerBudget &) = delete;
  CallerBudget &operator=(const CallerBudget &) = delete;

  /// Adds an idle connection of the server \p Owner.
  Id add(const void *Owner, Evict E);
  void remove(Id Connection);

  /// Sets what the connection does. The change counts as progress.
  void setActivity(Id Connection, Activity A);

  /// Records that \p Bytes more were received. A connection makes progress with
  /// each ProgressBytes, so that one that sends byte by byte makes none.
  void received(Id Connection, std::size_t Bytes);

  /// Sets the bytes that the connection binds. While the sum exceeds the
  /// budget, closes the unfinished connection that has made no progress for
  /// longest. If that is \p Connection itself, returns false, and the caller
  /// refuses its request.
  bool charge(Id Connection, std::size_t Bytes);

  /// Closes the connection of \p Owner that has been idle or unfinished for
  /// longest, in favour of a new one. Returns false if there is none.
  bool makeRoom(const void *Owner);

  std::size_t bytes() const { return m_bytes; }
  std::size_t limit() const { return m_limit; }

  /// Function that is called for each connection that is closed or refused.
  std::function<void(CloseReason)> m_onClosed;
  void countClosed(CloseReason Reason) const;

  static constexpr std::size_t ProgressBytes = 1024;

private:
  struct Entry {
    const void *m_owner = nullptr;
    Evict m_evict;
    std::size_t m_bytes = 0;
    std::size_t m_receivedSinceProgress = 0;
    Activity m_activity = Activity::Idle;
    std::uint64_t m_progress = 0;       ///< Number of its last progress.
    std::list<Id>::iterator m_position; ///< In listOf(), if that is not null.
  };

  /// Returns the list that connections with \p A are in, or null.
  std::list<Id> *listOf(Activity A);
  void makeProgress(Id Connection, Entry &E);

  void evict(Id Connection, CloseReason Reason);

  std::size_t m_limit;
  std::size_t m_bytes = 0;
  std::map<Id, Entry> m_entries;
  /// Connections that may be closed. The first ones have made no progress for
  /// longest.
  std::list<Id> m_idle;
  std::list<Id> m_unfinished;
  Id m_nextId = 1;
  std::uint64_t m_nextProgress = 1;
};

} // namespace pomelokeel::http
