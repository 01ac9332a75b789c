#pragma once

#include "soak/history.h"

#include <string>
#include <vector>

namespace pomelokeel::soak {

/// Keeps connections to entries open from their start until the process is
/// gone, even if it has closed its side: one without a request, and several on
/// which half a request was sent.
class Connections {
public:
  explicit Connections(History &H) : m_history(H) {}
  ~Connections();
  Connections(const Connections &) = delete;
  Connections &operator=(const Connections &) = delete;

  /// Opens connections to the entry unless there are some.
  void open(const std::string &Entry);
  /// Sends the rest of one of the requests to the entry.
  void finishRequest(const std::string &Entry);
  /// Reads answers.
  void tick();
  /// The process of the entry is gone. Closes the connections.
  void close(const std::string &Entry);

private:
  struct Connection {
    std::string m_entry;
    int m_socket = -1;
    bool m_halfSent = false; ///< The rest of the request is to be sent.
    Millis m_sentAt = 0;     ///< Time of the last byte, or 0.
    bool m_ended = false;    ///< Answered, or closed by the entry.
    std::string m_answer;
  };

  void read(Connection &C);

  History &m_history;
  std::vector<Connection> m_connections;
};

} // namespace pomelokeel::soak
