#include "scenario/link.h"

#include <boost/asio.hpp>

#include <array>
#include <future>
#include <list>
#include <map>
#include <set>
#include <thread>
#include <utility>
#include <vector>

namespace pomelokeel::scenario {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t BufferBytes = 65536;

tcp::endpoint endpointOf(const std::string &Address) {
  const auto Colon = Address.rfind(':');
  return {asio::ip::make_address_v4(Address.substr(0, Colon)),
          static_cast<unsigned short>(std::stoi(Address.substr(Colon + 1)))};
}

/// One direction of a forwarded connection.
struct Stream {
  std::array<char, BufferBytes> m_buffer{};
  std::size_t m_buffered = 0; ///< Bytes that were read but not forwarded yet.
  bool m_paused = false;      ///< Until the direction is no longer silent.
};

/// A forwarded connection. Index 0 is the side that opened it, and the stream
/// from there.
struct Connection {
  explicit Connection(asio::io_context &Io)
      : m_sockets{tcp::socket(Io), tcp::socket(Io)} {}

  void close(bool Reset = false) {
    for (tcp::socket &S : m_sockets) {
      error_code Ignored;
      if (Reset)
        S.set_option(asio::socket_base::linger(true, 0), Ignored);
      S.close(Ignored);
    }
  }

  std::array<tcp::socket, 2> m_sockets;
  std::array<Stream, 2> m_streams;
  std::array<int, 2> m_regions{};
  tcp::endpoint m_target;
  bool m_connected = false;
};
using ConnectionPtr = std::shared_ptr<Connection>;

struct Listener {
  Listener(asio::io_context &Io, tcp::endpoint Target, int From, int To)
      : m_acceptor(Io, {asio::ip::address_v4::loopback(), 0}),
        m_target(std::move(Target)), m_from(From), m_to(To) {}

  tcp::acceptor m_acceptor;
  tcp::endpoint m_target;
  int m_from; ///< Region; 0 if the source host determines it.
  int m_to;
};

} // namespace

// All members but m_io and m_thread are used on m_thread only.
struct RegionLink::Impl {
  // Runs a function on m_thread and returns its result.
  template <typename F> auto call(F Function) {
    using Result = decltype(Function());
    return asio::post(m_io, std::packaged_task<Result()>(std::move(Function)))
        .get();
  }

  // Numbers the regions from 1; the number is the third byte of their hosts.
  int regionOf(const std::string &Name) {
    return m_regions.try_emplace(Name, static_cast<int>(m_regions.size()) + 1)
        .first->second;
  }

  LinkMode modeOf(const Connection &C, int Direction) const {
    const auto It =
        m_modes.find({C.m_regions[Direction], C.m_regions[1 - Direction]});
    return It == m_modes.end() ? LinkMode::Open : It->second;
  }

  void accept(Listener &L) {
    auto C = std::make_shared<Connection>(m_io);
    L.m_acceptor.async_accept(C->m_sockets[0], [this, C, &L](error_code E) {
      if (!E)
        addConnection(C, L);
      accept(L);
    });
  }

  void addConnection(const ConnectionPtr &C, const Listener &L) {
    error_code E;
    const auto Source = C->m_sockets[0].remote_endpoint(E).address();
    C->m_regions = {L.m_from, L.m_to};
    if (L.m_from == 0 && Source.is_v4())
      C->m_regions[0] = Source.to_v4().to_bytes()[2];
    C->m_target = L.m_target;
    m_connections.insert(C);
    tryConnect(C);
  }

  // Connects to the target if the link is open. If it is silent, the connection
  // waits for applyModes().
  void tryConnect(const ConnectionPtr &C) {
    const LinkMode Mode = modeOf(*C, 0);
    if (Mode == LinkMode::Reset)
      return drop(C, true);
    if (Mode == LinkMode::Silent)
      return;
    C->m_connected = true;
    C->m_sockets[1].async_connect(C->m_target, [this, C](error_code E) {
      if (E)
        return drop(C, true);
      for (tcp::socket &S : C->m_sockets)
        S.set_option(tcp::no_delay(true), E);
      relay(C, 0);
      relay(C, 1);
    });
  }

  void drop(const ConnectionPtr &C, bool Reset) {
    C->close(Reset);
    m_connections.erase(C);
  }

  void relay(const ConnectionPtr &C, int Direction) {
    Stream &S = C->m_streams[Direction];
    S.m_paused = modeOf(*C, Direction) == LinkMode::Silent;
    if (S.m_paused)
      return;
    if (S.m_buffered > 0)
      return writeBuffered(C, Direction);
    C->m_sockets[Direction].async_read_some(
        asio::buffer(S.m_buffer),
        [this, C, Direction](error_code E, std::size_t Size) {
          if (E)
            return drop(C, false);
          C->m_streams[Direction].m_buffered = Size;
          relay(C, Direction);
        });
  }

  void writeBuffered(const ConnectionPtr &C, int Direction) {
    Stream &S = C->m_streams[Direction];
    asio::async_write(C->m_sockets[1 - Direction],
                      asio::buffer(S.m_buffer, S.m_buffered),
                      [this, C, Direction](error_code E, std::size_t Size) {
                        if (E)
                          return drop(C, false);
                        if (C->m_regions[0] != C->m_regions[1])
                          m_bytes += Size;
                        C->m_streams[Direction].m_buffered = 0;
                        relay(C, Direction);
                      });
  }

  // Applies changed modes: resumes the connections that waited, and resets
  // those whose direction is in mode Reset.
  void applyModes() {
    const std::set<ConnectionPtr> All = m_connections;
    for (const ConnectionPtr &C : All) {
      if (!C->m_connected || modeOf(*C, 0) == LinkMode::Reset) {
        tryConnect(C);
        continue;
      }
      for (const int Direction : {0, 1}) {
        if (C->m_streams[Direction].m_paused)
          relay(C, Direction);
      }
    }
  }

  asio::io_context m_io;
  asio::executor_work_guard<asio::io_context::executor_type> m_workGuard =
      asio::make_work_guard(m_io);
  std::map<std::string, int> m_regions;
  std::map<std::pair<int, int>, LinkMode> m_modes;
  std::list<Listener> m_listeners;
  std::set<ConnectionPtr> m_connections;
  std::uint64_t m_bytes = 0;
  std::thread m_thread{[this] { m_io.run(); }};
};

RegionLink::RegionLink() : m_impl(std::make_unique<Impl>()) {}

RegionLink::~RegionLink() {
  m_impl->m_io.stop();
  m_impl->m_thread.join();
}

std::string RegionLink::hostOf(const std::string &Region) {
  return m_impl->call([&] {
    return "127.0." + std::to_string(m_impl->regionOf(Region)) + ".1";
  });
}

std::string RegionLink::forward(const std::string &Target,
                                const std::string &To,
                                const std::string &From) {
  return m_impl->call([&] {
    Listener &L = m_impl->m_listeners.emplace_back(
        m_impl->m_io, endpointOf(Target),
        From.empty() ? 0 : m_impl->regionOf(From), m_impl->regionOf(To));
    m_impl->accept(L);
    return "127.0.0.1:" + std::to_string(L.m_acceptor.local_endpoint().port());
  });
}

base::Status RegionLink::setMode(const std::string &From, const std::string &To,
                                 LinkMode Mode) {
  return m_impl->call([&]() -> base::Status {
    for (const std::string &Region : {From, To}) {
      if (!m_impl->m_regions.contains(Region))
        return base::Error{base::ErrorKind::BadRequest,
                           "no process is in region \"" + Region + "\""};
    }
    m_impl->m_modes[{m_impl->regionOf(From), m_impl->regionOf(To)}] = Mode;
    m_impl->applyModes();
    return base::success();
  });
}

std::uint64_t RegionLink::bytes() const {
  return m_impl->call([&] { return m_impl->m_bytes; });
}

std::size_t RegionLink::connections() const {
  return m_impl->call([&] {
    std::size_t Count = 0;
    for (const ConnectionPtr &C : m_impl->m_connections)
      Count += C->m_connected && C->m_regions[0] != C->m_regions[1] ? 1 : 0;
    return Count;
  });
}

} // namespace pomelokeel::scenario
