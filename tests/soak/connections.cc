#include "soak/connections.h"

#include "soak/callers.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <string_view>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace pomelokeel::soak {
namespace {

constexpr int PerEntry = 5;

int connectTo(const std::string &Entry) {
  const std::size_t Colon = Entry.find(':');
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(Entry.substr(Colon + 1))));
  ::inet_pton(AF_INET, Entry.substr(0, Colon).c_str(), &Address.sin_addr);
  const int Out =
      ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (::connect(Out, reinterpret_cast<sockaddr *>(&Address), sizeof(Address)) ==
      0)
    return Out;
  ::close(Out);
  return -1;
}

bool sendAll(int Socket, const std::string &Text) {
  return ::send(Socket, Text.data(), Text.size(), MSG_NOSIGNAL) ==
         static_cast<ssize_t>(Text.size());
}

std::string firstHalf() {
  const std::string Request = lengthQuery();
  return Request.substr(0, Request.size() / 2);
}

/// True if \p Answer holds the whole answer to a request.
bool isComplete(const std::string &Answer) {
  constexpr std::string_view Length = "Content-Length: ";
  const std::size_t HeaderEnd = Answer.find("\r\n\r\n");
  const std::size_t At = Answer.find(Length);
  return HeaderEnd != std::string::npos && At < HeaderEnd &&
         Answer.size() >=
             HeaderEnd + 4 + std::stoul(Answer.substr(At + Length.size()));
}

} // namespace

Connections::~Connections() {
  for (const Connection &C : m_connections)
    ::close(C.m_socket);
}

void Connections::open(const std::string &Entry) {
  for (const Connection &C : m_connections) {
    if (C.m_entry == Entry)
      return;
  }
  for (int I = 0; I < PerEntry; ++I) {
    const int Socket = connectTo(Entry);
    if (Socket < 0)
      return;
    Connection C;
    C.m_entry = Entry;
    C.m_socket = Socket;
    C.m_halfSent = I > 0 && sendAll(Socket, firstHalf());
    m_connections.push_back(C);
  }
}

void Connections::finishRequest(const std::string &Entry) {
  const auto It = std::find_if(
      m_connections.begin(), m_connections.end(), [&](const Connection &C) {
        return C.m_entry == Entry && C.m_halfSent && !C.m_ended;
      });
  if (It == m_connections.end())
    return;
  It->m_halfSent = false;
  if (sendAll(It->m_socket, lengthQuery().substr(firstHalf().size())))
    It->m_sentAt = base::bootNow();
}

void Connections::read(Connection &C) {
  std::array<char, 4096> Buffer;
  while (!C.m_ended) {
    const ssize_t Size = ::recv(C.m_socket, Buffer.data(), Buffer.size(), 0);
    if (Size < 0 && errno == EAGAIN)
      return;
    if (Size > 0)
      C.m_answer.append(Buffer.data(), static_cast<std::size_t>(Size));
    const bool Complete = isComplete(C.m_answer);
    C.m_ended = Complete || Size <= 0;
    if (C.m_ended && !Complete && C.m_sentAt > 0)
      m_history.requestCut(C.m_entry, C.m_sentAt);
  }
}

void Connections::tick() {
  for (Connection &C : m_connections)
    read(C);
}

void Connections::close(const std::string &Entry) {
  std::erase_if(m_connections, [&](Connection &C) {
    if (C.m_entry != Entry)
      return false;
    read(C);
    ::close(C.m_socket);
    return true;
  });
}

} // namespace pomelokeel::soak
