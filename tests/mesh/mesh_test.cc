#include "mesh/mesh.h"

#include "scenario/process.h"

#include <gtest/gtest.h>

#include <boost/asio.hpp>
#include <nng/nng.h>
#include <nng/protocol/pipeline0/push.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <list>
#include <thread>

using namespace pomelokeel;
using base::Millis;
using model::Message;
using model::MessageKind;

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr Millis LinkTimeout = 400;
constexpr Millis Margin = 3000;

bool waitFor(const std::function<bool()> &Condition, Millis Limit = 10000) {
  const Millis End = base::monotonicNow() + Limit;
  while (!Condition()) {
    if (base::monotonicNow() > End)
      return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  return true;
}

// A mesh with its clock, counters and receive ring.
struct Node {
  explicit Node(const std::string &Name, std::string Listen = "127.0.0.1:0",
                int SendQueue = 64, std::size_t MaxBytes = 64 * 1024,
                std::string Advertise = "") {
    mesh::MeshSettings S;
    S.m_name = Name;
    S.m_listen = std::move(Listen);
    S.m_advertise = std::move(Advertise);
    S.m_heartbeatMs = 50;
    S.m_linkTimeoutMs = LinkTimeout;
    S.m_sendQueue = SendQueue;
    S.m_maxMessageBytes = MaxBytes;
    auto Started = mesh::Mesh::start(S, m_clock, m_counters, m_received, [] {
      return model::Heartbeat{"agent", 7, 3};
    });
    if (Started)
      m_mesh = std::move(*Started);
  }

  // Waits for a message that is neither Ping nor Pong.
  std::optional<Message> next(Millis Limit = 10000) {
    const Millis End = base::monotonicNow() + Limit;
    while (base::monotonicNow() < End) {
      auto In = m_received.pop(std::chrono::milliseconds(20));
      if (!In || In->m_message.m_kind == MessageKind::Ping ||
          In->m_message.m_kind == MessageKind::Pong)
        continue;
      return In->m_message;
    }
    return std::nullopt;
  }

  base::HybridClock m_clock;
  base::Counters m_counters;
  base::Ring<mesh::Incoming> m_received{1024};
  std::unique_ptr<mesh::Mesh> m_mesh;
};

Message textMessage(const std::string &Text) {
  Message M;
  M.m_kind = MessageKind::Report;
  M.m_to = "x";
  M.m_body = base::Json{{"text", Text}};
  return M;
}

std::string textOf(const std::optional<Message> &M) {
  return M ? M->m_body.value("text", "") : "(nothing)";
}

// Relays TCP connections to a target. discardData() keeps the connections that
// exist at the call open but discards their data; later ones are relayed.
class Relay {
public:
  explicit Relay(const std::string &Target)
      : m_acceptor(m_io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
        m_target(asio::ip::address_v4::loopback(),
                 static_cast<unsigned short>(
                     std::stoi(Target.substr(Target.rfind(':') + 1)))) {
    accept();
    m_thread = std::thread([this] { m_io.run(); });
  }
  ~Relay() {
    m_io.stop();
    m_thread.join();
  }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
  }
  void discardData() { m_firstRelayed = m_accepted.load(); }
  int accepted() const { return m_accepted; }
  /// Source host of the last connection. Valid after data was relayed.
  std::string source() const { return m_source; }

private:
  struct Pair {
    Pair(asio::io_context &Io, int Number)
        : m_client(Io), m_server(Io), m_number(Number) {}
    tcp::socket m_client;
    tcp::socket m_server;
    int m_number;
    std::array<std::array<char, 8192>, 2> m_buffers;
  };

  void accept() {
    m_pairs.emplace_back(m_io, 0);
    Pair &P = m_pairs.back();
    m_acceptor.async_accept(
        P.m_client, [this, &P](boost::system::error_code E) {
          if (E)
            return;
          m_source = P.m_client.remote_endpoint().address().to_string();
          P.m_number = m_accepted++;
          boost::system::error_code Failed;
          P.m_server.connect(m_target, Failed);
          relay(P, P.m_client, P.m_server, 0);
          relay(P, P.m_server, P.m_client, 1);
          accept();
        });
  }
  void relay(Pair &P, tcp::socket &From, tcp::socket &To, int Direction) {
    From.async_read_some(
        asio::buffer(P.m_buffers[Direction]),
        [this, &P, &From, &To, Direction](boost::system::error_code E,
                                          std::size_t Size) {
          boost::system::error_code Ignored;
          if (E) {
            To.close(Ignored);
            return;
          }
          if (P.m_number >= m_firstRelayed)
            asio::write(To, asio::buffer(P.m_buffers[Direction], Size),
                        Ignored);
          relay(P, From, To, Direction);
        });
  }

  asio::io_context m_io;
  tcp::acceptor m_acceptor;
  tcp::endpoint m_target;
  std::list<Pair> m_pairs;
  std::string m_source;
  std::atomic<int> m_accepted = 0;
  std::atomic<int> m_firstRelayed = 0;
  std::thread m_thread;
};

// Sends raw bytes as one nng message, bypassing the checks of Mesh::send().
void sendRaw(const std::string &Address, const std::string &Bytes) {
  nng_socket Push;
  ASSERT_EQ(nng_push0_open(&Push), 0);
  ASSERT_EQ(nng_dial(Push, ("tcp://" + Address).c_str(), nullptr, 0), 0);
  std::string Copy = Bytes;
  ASSERT_EQ(nng_send(Push, Copy.data(), Copy.size(), 0), 0);
  // The transport must accept the message before the socket is closed. Until
  // then a second send would block.
  EXPECT_TRUE(waitFor([&] {
    std::string Empty;
    return nng_send(Push, Empty.data(), 0, NNG_FLAG_NONBLOCK) != NNG_EAGAIN;
  }));
  nng_close(Push);
}

} // namespace

TEST(Mesh, ExchangesMessagesAndAnswersPings) {
  Node A("a");
  Node B("b");
  ASSERT_TRUE(A.m_mesh && B.m_mesh);
  EXPECT_EQ(A.m_mesh->silence(B.m_mesh->address()), -1);
  A.m_mesh->setRegion(B.m_mesh->address(), "caribe");
  A.m_mesh->keep(B.m_mesh->address());
  ASSERT_TRUE(A.m_mesh->send(B.m_mesh->address(), textMessage("one")));
  const auto Got = B.next();
  ASSERT_EQ(textOf(Got), "one");
  EXPECT_EQ(Got->m_from, "a");
  EXPECT_GT(Got->m_stamp.m_wall, 0);
  EXPECT_EQ(Got->m_replyAddress, A.m_mesh->address());
  ASSERT_TRUE(B.m_mesh->send(Got->m_replyAddress, textMessage("two")));
  EXPECT_EQ(textOf(A.next()), "two");
  EXPECT_TRUE(waitFor([&] {
    const auto In = A.m_received.pop(std::chrono::milliseconds(20));
    return In && In->m_message.m_kind == MessageKind::Pong;
  }));
  EXPECT_GE(A.m_mesh->silence(B.m_mesh->address()), 0);
  EXPECT_GT(A.m_counters.get("mesh_bytes_sent{region=\"caribe\"}"), 0);
  EXPECT_GT(A.m_counters.get("mesh_bytes_received{region=\"caribe\"}"), 0);
}

// Guards against announcing an address that only the process itself can reach,
// and against a source address that does not identify the host.
TEST(Mesh, AnnouncesTheAdvertisedAddressAndDialsFromItsOwnHost) {
  Node B("b");
  Relay R(B.m_mesh->address());
  Node A("a", "127.0.7.1:0", 64, 64 * 1024, "127.0.0.1:9");
  ASSERT_TRUE(A.m_mesh && B.m_mesh);
  EXPECT_EQ(A.m_mesh->address(), "127.0.0.1:9");
  A.m_mesh->send(R.address(), textMessage("one"));
  const auto Got = B.next();
  ASSERT_EQ(textOf(Got), "one");
  EXPECT_EQ(Got->m_replyAddress, "127.0.0.1:9");
  EXPECT_EQ(R.source(), "127.0.7.1");
}

// Guards against a link that is not re-established after the process at its
// address was replaced.
TEST(Mesh, ReachesANewProcessAtTheSameAddress) {
  Node A("a");
  auto B = std::make_unique<Node>("b");
  const std::string Address = B->m_mesh->address();
  A.m_mesh->keep(Address);
  ASSERT_TRUE(A.m_mesh->send(Address, textMessage("one")));
  ASSERT_EQ(textOf(B->next()), "one");
  B.reset();
  B = std::make_unique<Node>("b2", Address);
  ASSERT_TRUE(B->m_mesh);
  EXPECT_TRUE(waitFor([&] {
    A.m_mesh->send(Address, textMessage("two"));
    return textOf(B->next(50)) == "two";
  }));
}

// The election relies on closedFor() to tell a peer that has ended from one
// that is only silent. It must count from the close until the peer is back,
// across redials, and must stay -1 for a silent peer.
TEST(Mesh, TellsAPeerThatHasEndedFromASilentOne) {
  Node A("a");
  // B restarts on the same port, which no connection of another process may use
  // meanwhile.
  const std::string Address =
      "127.0.0.1:" + std::to_string(scenario::reservePort());
  auto B = std::make_unique<Node>("b", Address);
  ASSERT_TRUE(B->m_mesh);
  Node C("c");
  Relay Silent(C.m_mesh->address());
  const auto Exchange = [&](const std::string &To, Node &Target) {
    return waitFor([&] {
      A.m_mesh->send(To, textMessage("one"));
      return textOf(Target.next(50)) == "one";
    });
  };
  EXPECT_EQ(A.m_mesh->closedFor(Address), -1);
  A.m_mesh->keep(Address);
  A.m_mesh->keep(Silent.address());
  ASSERT_TRUE(Exchange(Address, *B));
  ASSERT_TRUE(Exchange(Silent.address(), C));
  EXPECT_EQ(A.m_mesh->closedFor(Address), -1);
  Silent.discardData();
  B.reset();
  Millis Closed = -1;
  EXPECT_TRUE(waitFor([&] {
    EXPECT_EQ(A.m_mesh->closedFor(Silent.address()), -1);
    Closed = std::max(Closed, A.m_mesh->closedFor(Address));
    return Closed >= 3 * LinkTimeout;
  }));
  B = std::make_unique<Node>("b2", Address);
  ASSERT_TRUE(B->m_mesh);
  EXPECT_TRUE(waitFor([&] { return A.m_mesh->closedFor(Address) == -1; }));
}

// Guards against not redialling a TCP connection that stays open but carries no
// data from the side that sends pings.
TEST(Mesh, RedialsAConnectionThatWentSilent) {
  Node A("a");
  Node B("b");
  Relay R(B.m_mesh->address());
  A.m_mesh->keep(R.address());
  ASSERT_TRUE(waitFor([&] {
    A.m_mesh->send(R.address(), textMessage("one"));
    return textOf(B.next(50)) == "one";
  }));
  const Millis Silenced = base::monotonicNow();
  R.discardData();
  EXPECT_TRUE(waitFor([&] {
    A.m_mesh->send(R.address(), textMessage("two"));
    return textOf(B.next(20)) == "two";
  }));
  EXPECT_LT(base::monotonicNow() - Silenced, LinkTimeout + Margin);
  EXPECT_GE(R.accepted(), 2);
}

// Guards against redialling a link with a long ping interval between two pings,
// and against ignoring a shorter interval set later.
TEST(Mesh, PingsAtTheIntervalOfTheLink) {
  constexpr Millis LongPingMs = 2 * LinkTimeout;
  Node A("a");
  Node B("b");
  const std::string Address = B.m_mesh->address();
  A.m_mesh->keep(Address, LongPingMs);
  const auto Ping = [&] {
    const auto In = B.m_received.pop(std::chrono::milliseconds(20));
    return In && In->m_message.m_kind == MessageKind::Ping;
  };
  ASSERT_TRUE(waitFor(Ping));
  const Millis First = base::monotonicNow();
  ASSERT_TRUE(waitFor(Ping));
  EXPECT_GE(base::monotonicNow() - First, LongPingMs - LinkTimeout / 2);
  EXPECT_EQ(A.m_counters.get("mesh_redials"), 0);
  A.m_mesh->keep(Address);
  const Millis ShortenedAt = base::monotonicNow();
  for (int I = 0; I < 4; ++I)
    ASSERT_TRUE(waitFor(Ping));
  EXPECT_LT(base::monotonicNow() - ShortenedAt, 3 * LongPingMs);
}

// Guards against never detecting that a connection with a long ping interval
// carries no data.
TEST(Mesh, RedialsASilentConnectionWithSeldomPings) {
  Node A("a");
  Node B("b");
  Relay R(B.m_mesh->address());
  A.m_mesh->keep(R.address(), LinkTimeout / 2);
  ASSERT_TRUE(waitFor([&] {
    A.m_mesh->send(R.address(), textMessage("one"));
    return textOf(B.next(50)) == "one";
  }));
  R.discardData();
  EXPECT_TRUE(waitFor([&] {
    A.m_mesh->send(R.address(), textMessage("two"));
    return textOf(B.next(20)) == "two";
  }));
}

TEST(Mesh, OversizedMessageIsRefusedAndDoesNotStopTheLink) {
  Node A("a", "127.0.0.1:0", 64, 1024 * 1024);
  Node B("b", "127.0.0.1:0", 64, 4096);
  const std::string Address = B.m_mesh->address();
  const Message Large = textMessage(std::string(5000, 'x'));
  EXPECT_FALSE(B.m_mesh->send(A.m_mesh->address(), Large));
  ASSERT_TRUE(A.m_mesh->send(Address, Large));
  std::optional<Message> Got;
  EXPECT_TRUE(waitFor([&] {
    A.m_mesh->send(Address, textMessage("small"));
    return (Got = B.next(50)).has_value();
  }));
  EXPECT_EQ(textOf(Got), "small");
}

TEST(Mesh, DamagedMessagesAreCountedAndDropped) {
  Node B("b");
  Message M = textMessage("x");
  const auto Good = model::encodeMessage(M);
  const std::string Text(Good.begin(), Good.end());
  sendRaw(B.m_mesh->address(), Text.substr(0, Text.size() / 2));
  sendRaw(B.m_mesh->address(), "\xc1 not msgpack");
  base::Counter &Damaged = B.m_counters.get("mesh_damaged_messages");
  EXPECT_TRUE(waitFor([&] { return Damaged >= 2; }));
  Node A("a");
  ASSERT_TRUE(A.m_mesh->send(B.m_mesh->address(), textMessage("fine")));
  EXPECT_EQ(textOf(B.next()), "fine");
}

// Guards against a sender that blocks or queues without limit while the peer
// receives nothing.
TEST(Mesh, FullQueueRefusesAtOnce) {
  Node A("a", "127.0.0.1:0", 4);
  asio::io_context Io;
  tcp::acceptor Silent(Io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  const std::string Address =
      "127.0.0.1:" + std::to_string(Silent.local_endpoint().port());
  int Accepted = 0;
  while (Accepted < 100 && A.m_mesh->send(Address, textMessage("x")))
    ++Accepted;
  EXPECT_GE(Accepted, 4);
  EXPECT_LT(Accepted, 10);
  EXPECT_GE(A.m_counters.get("mesh_send_refused"), 1);
}
