#include "standin/raw.h"

#include "base/clock.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>

namespace pomelokeel::standin {

RawConnection::RawConnection(const std::string &Address) {
  sockaddr_in Peer{};
  Peer.sin_family = AF_INET;
  Peer.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  Peer.sin_port = htons(static_cast<std::uint16_t>(
      std::stoi(Address.substr(Address.rfind(':') + 1))));
  m_socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (connect(m_socket, reinterpret_cast<sockaddr *>(&Peer), sizeof Peer) != 0)
    close();
}

bool RawConnection::send(const std::string &Text) const {
  std::size_t Sent = 0;
  while (Sent < Text.size()) {
    const auto Count =
        ::send(m_socket, Text.data() + Sent, Text.size() - Sent, MSG_NOSIGNAL);
    if (Count <= 0)
      return false;
    Sent += static_cast<std::size_t>(Count);
  }
  return true;
}

bool RawConnection::readSome(std::string &Out, long long DeadlineMs) {
  const auto RemainingMs = std::max(0LL, DeadlineMs - base::monotonicNow());
  pollfd Poll{m_socket, POLLIN, 0};
  if (poll(&Poll, 1, static_cast<int>(RemainingMs)) <= 0)
    return false;
  std::array<char, 65536> Bytes{};
  const auto Count = recv(m_socket, Bytes.data(), Bytes.size(), 0);
  m_closedByPeer = Count <= 0;
  if (m_closedByPeer)
    return false;
  Out.append(Bytes.data(), static_cast<std::size_t>(Count));
  return true;
}

std::string RawConnection::readUntil(const std::string &Text, int TimeoutMs) {
  const auto DeadlineMs = base::monotonicNow() + TimeoutMs;
  std::string Out;
  while (Out.find(Text) == std::string::npos && readSome(Out, DeadlineMs)) {
  }
  return Out;
}

bool RawConnection::closedByPeer(int TimeoutMs) {
  const auto DeadlineMs = base::monotonicNow() + TimeoutMs;
  std::string Discarded;
  while (!m_closedByPeer && readSome(Discarded, DeadlineMs))
    Discarded.clear();
  return m_closedByPeer;
}

void RawConnection::close() {
  if (m_socket >= 0)
    ::close(m_socket);
  m_socket = -1;
}

} // namespace pomelokeel::standin
