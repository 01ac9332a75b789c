#pragma once

#include <string>

namespace pomelokeel::standin {

/// A TCP connection for tests that send what an HTTP client would not.
class RawConnection {
public:
  /// Connects to `127.0.0.1:port`.
  explicit RawConnection(const std::string &Address);
  ~RawConnection() { close(); }
  RawConnection(const RawConnection &) = delete;
  RawConnection &operator=(const RawConnection &) = delete;

  bool connected() const { return m_socket >= 0; }

  /// Returns false if the peer closed the connection.
  bool send(const std::string &Text) const;

  /// Reads until the peer closes or \p Text was read, at most \p DeadlineMs.
  std::string readUntil(const std::string &Text, int DeadlineMs = 10000);

  /// True if the peer closes within \p DeadlineMs; input is dropped.
  bool closedByPeer(int DeadlineMs = 10000);

  void close();

private:
  // Reads once; false at the end or after the deadline.
  bool readSome(std::string &Out, long long DeadlineMs);

  int m_socket = -1;
  bool m_ended = false;
};

} // namespace pomelokeel::standin
