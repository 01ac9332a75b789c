#pragma once

#include "http/http.h"
#include "http/reactor.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace pomelokeel::soak {

using base::Millis;

/// Faults of the store.
enum class StoreFault {
  None,
  Refuses, ///< Answers 503, without effect.
  Silent,  ///< Neither answers nor has an effect.
  /// Neither answers appends nor carries them out. All else works.
  SilentAppends,
  Slow, ///< Answers after 300 ms. Reads are not delayed.
  /// Carries out requests, but answers only every second one. Reads are all
  /// answered.
  LosesAnswers,
};

/// Stand-in of the platform's store. Each topic is an append-only log with one
/// partition and an index of the newest record of each key. All members belong
/// to one group.
class Store {
public:
  Store(http::Reactor &R, const std::string &Address);

  StoreFault m_fault = StoreFault::None;

  /// Appends a record in the way the operator does. Works during a fault too.
  void put(const std::string &Topic, const std::string &Key,
           const std::string &Value);

private:
  struct Record {
    std::string m_bytes; ///< Size of the key, key and value.
  };
  struct Producer {
    std::uint64_t m_epoch = 0;
    std::int64_t m_nextSequence = 0;
    /// Offset of the first record of each append, by sequence number.
    std::map<std::int64_t, std::int64_t> m_offsets;
  };
  struct Topic {
    std::vector<Record> m_records;
    /// Newest value and its offset by key, without deleted keys.
    std::map<std::string, std::pair<std::string, std::size_t>> m_newest;
    std::map<std::string, Producer> m_producers;
  };
  /// A long poll, or any request that the fault Silent leaves unanswered.
  struct PendingRead {
    std::string m_topic; ///< "" if the request is never answered.
    std::size_t m_from = 0;
    Millis m_deadline = 0;
    http::Responder m_answer;
  };

  void serve(const http::Request &R, const http::Responder &Answer);
  http::Response append(const http::Request &R);
  http::Response newest(const http::Request &R);
  http::Response join(const http::Request &R);
  http::Response leave(const http::Request &R);
  http::Response owners() const;
  void add(Topic &T, const std::string &Bytes);
  void answerReads();
  void tick();

  http::Reactor &m_reactor;
  std::unique_ptr<http::Server> m_server;
  std::unique_ptr<http::Timer> m_tick;
  std::map<std::string, Topic> m_topics;
  std::vector<PendingRead> m_pendingReads;
  std::map<std::string, Millis> m_members; ///< Expiry time by member.
  std::int64_t m_generation = 1;
  /// Requests carried out under the fault LosesAnswers.
  std::uint64_t m_handledRequests = 0;
};

} // namespace pomelokeel::soak
