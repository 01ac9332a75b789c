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

/// One direction of a connection.
struct Stream {
  std::array<char, BufferBytes> m_buffer{};
  std::size_t m_held = 0; ///< Bytes that were read before a cut.
  bool m_waits = false;   ///< For a heal.
};

/// A forwarded connection. Stream 0 leads from the side that opened it.
struct Pair {
  explicit Pair(asio::io_context &Io)
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
  std::array<int, 2>
      m_regions{}; ///< Of the side that opened it, and of the other.
  tcp::endpoint m_target;
  bool m_connected = false;
};
using PairPtr = std::shared_ptr<Pair>;

struct Listener {
  Listener(asio::io_context &Io, tcp::endpoint Target, int From, int To)
      : m_acceptor(Io, {asio::ip::address_v4::loopback(), 0}),
        m_target(std::move(Target)), m_from(From), m_to(To) {}

  tcp::acceptor m_acceptor;
  tcp::endpoint m_target;
  int m_from; ///< 0: told by the source host.
  int m_to;
};

} // namespace

// All members but m_io and m_thread belong to the thread.
struct RegionLink::Impl {
  // Runs F on the thread and returns what it returns.
  template <typename F> auto call(F Function) {
    using Result = decltype(Function());
    return asio::post(m_io, std::packaged_task<Result()>(std::move(Function)))
        .get();
  }

  // Regions count from 1, the third part of their hosts.
  int regionOf(const std::string &Name) {
    return m_regions.try_emplace(Name, static_cast<int>(m_regions.size()) + 1)
        .first->second;
  }

  Passage passage(const Pair &P, int Direction) const {
    const auto It =
        m_passages.find({P.m_regions[Direction], P.m_regions[1 - Direction]});
    return It == m_passages.end() ? Passage::Open : It->second;
  }

  void accept(Listener &L) {
    auto P = std::make_shared<Pair>(m_io);
    L.m_acceptor.async_accept(P->m_sockets[0], [this, P, &L](error_code E) {
      if (!E)
        open(P, L);
      accept(L);
    });
  }

  void open(const PairPtr &P, const Listener &L) {
    error_code E;
    const auto Source = P->m_sockets[0].remote_endpoint(E).address();
    P->m_regions = {L.m_from, L.m_to};
    if (L.m_from == 0 && Source.is_v4())
      P->m_regions[0] = Source.to_v4().to_bytes()[2];
    P->m_target = L.m_target;
    m_pairs.insert(P);
    proceed(P);
  }

  // Connects if the other region can be reached.
  void proceed(const PairPtr &P) {
    const Passage Way = passage(*P, 0);
    if (Way == Passage::Reset)
      return drop(P, true);
    if (Way == Passage::Silent)
      return;
    P->m_connected = true;
    P->m_sockets[1].async_connect(P->m_target, [this, P](error_code E) {
      if (E)
        return drop(P, true);
      for (tcp::socket &S : P->m_sockets)
        S.set_option(tcp::no_delay(true), E);
      pump(P, 0);
      pump(P, 1);
    });
  }

  void drop(const PairPtr &P, bool Reset) {
    P->close(Reset);
    m_pairs.erase(P);
  }

  void pump(const PairPtr &P, int Direction) {
    Stream &S = P->m_streams[Direction];
    S.m_waits = passage(*P, Direction) == Passage::Silent;
    if (S.m_waits)
      return;
    if (S.m_held > 0)
      return pass(P, Direction);
    P->m_sockets[Direction].async_read_some(
        asio::buffer(S.m_buffer),
        [this, P, Direction](error_code E, std::size_t Size) {
          if (E)
            return drop(P, false);
          P->m_streams[Direction].m_held = Size;
          pump(P, Direction);
        });
  }

  void pass(const PairPtr &P, int Direction) {
    Stream &S = P->m_streams[Direction];
    asio::async_write(P->m_sockets[1 - Direction],
                      asio::buffer(S.m_buffer, S.m_held),
                      [this, P, Direction](error_code E, std::size_t Size) {
                        if (E)
                          return drop(P, false);
                        if (P->m_regions[0] != P->m_regions[1])
                          m_bytes += Size;
                        P->m_streams[Direction].m_held = 0;
                        pump(P, Direction);
                      });
  }

  // Goes on with the connections that waited, and resets those that must not
  // stay.
  void refresh() {
    const std::set<PairPtr> All = m_pairs;
    for (const PairPtr &P : All) {
      if (!P->m_connected || passage(*P, 0) == Passage::Reset) {
        proceed(P);
        continue;
      }
      for (const int Direction : {0, 1}) {
        if (P->m_streams[Direction].m_waits)
          pump(P, Direction);
      }
    }
  }

  asio::io_context m_io;
  asio::executor_work_guard<asio::io_context::executor_type> m_work =
      asio::make_work_guard(m_io);
  std::map<std::string, int> m_regions;
  std::map<std::pair<int, int>, Passage> m_passages;
  std::list<Listener> m_listeners;
  std::set<PairPtr> m_pairs;
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

base::Status RegionLink::set(const std::string &From, const std::string &To,
                             Passage P) {
  return m_impl->call([&]() -> base::Status {
    for (const std::string &Region : {From, To}) {
      if (!m_impl->m_regions.contains(Region))
        return base::Error{base::ErrorKind::BadRequest,
                           "no process is in region \"" + Region + "\""};
    }
    m_impl->m_passages[{m_impl->regionOf(From), m_impl->regionOf(To)}] = P;
    m_impl->refresh();
    return base::success();
  });
}

std::uint64_t RegionLink::bytes() const {
  return m_impl->call([&] { return m_impl->m_bytes; });
}

std::size_t RegionLink::connections() const {
  return m_impl->call([&] {
    std::size_t Count = 0;
    for (const PairPtr &P : m_impl->m_pairs)
      Count += P->m_connected && P->m_regions[0] != P->m_regions[1] ? 1 : 0;
    return Count;
  });
}

} // namespace pomelokeel::scenario
