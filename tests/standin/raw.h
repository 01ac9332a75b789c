#pragma once

#include <string>

namespace pomelokeel::standin {

/// A TCP connection for tests that send bytes which an HTTP client would not,
/// such as malformed or incomplete requests.
class RawConnection {
public:
  /// Connects to 127.0.0.1 at the port of \p Address (`host:port`). Check
  /// connected() for the result.
  explicit RawConnection(const std::string &Address);
  ~RawConnection() { close(); }
  RawConnection(const RawConnection &) = delete;
  RawConnection &operator=(const RawConnection &) = delete;

  bool connected() const { return m_socket >= 0; }

  /// Sends \p Text whole. Returns false if the connection failed.
  bool send(const std::string &Text) const;

  /// Reads until \p Text was received, the peer closes the connection or
  /// \p TimeoutMs have passed. Returns all that was read.
  std::string readUntil(const std::string &Text, int TimeoutMs = 10000);

  /// Returns true if the peer closes the connection within \p TimeoutMs.
  /// Discards what is received meanwhile.
  bool closedByPeer(int TimeoutMs = 10000);

  void close();

private:
  // Waits for input until the monotonic time DeadlineMs, reads once and appends
  // to Out. Returns false if the peer closed the connection or at the deadline.
  bool readSome(std::string &Out, long long DeadlineMs);

  int m_socket = -1;
  bool m_closedByPeer = false;
};

} // namespace pomelokeel::standin
