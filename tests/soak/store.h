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

/// How the store answers.
enum class StoreFault {
  None,
  Refuses,      ///< Answers 503 and does nothing.
  Silent,       ///< Does nothing and answers nothing.
  Slow,         ///< Answers after 300 ms.
  LosesAnswers, ///< Does what it is asked and leaves half unanswered.
};

/// A stand-in of the platform's store: an append-only log of partitions 0 with
/// the newest record of each key, and groups of members.
class Store {
public:
  Store(http::Reactor &R, const std::string &Address);

  StoreFault m_fault = StoreFault::None;

  /// Appends a record as the operator does, whatever the fault.
  void put(const std::string &Topic, const std::string &Key,
           const std::string &Value);

private:
  struct Record {
    std::string m_bytes; ///< Without the length.
  };
  struct Producer {
    std::uint64_t m_epoch = 0;
    std::int64_t m_next = 0;
    std::map<std::int64_t, std::int64_t> m_offsets; ///< By sequence number.
  };
  struct Topic {
    std::vector<Record> m_records;
    std::map<std::string, std::pair<std::string, std::size_t>> m_newest;
    std::map<std::string, Producer> m_producers;
  };
  struct Read {
    std::string m_topic;
    std::size_t m_from = 0;
    Millis m_until = 0;
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
  std::vector<Read> m_reads;
  std::map<std::string, Millis> m_members; ///< Until when.
  std::int64_t m_generation = 1;
  std::uint64_t m_answers = 0;
};

} // namespace pomelokeel::soak
