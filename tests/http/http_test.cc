#include "http/http.h"

#include "base/fields.h"
#include "http/caller_budget.h"
#include "standin/raw.h"
#include "standin/wait.h"

#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <mutex>
#include <stdexcept>
#include <thread>
#include <vector>

using namespace pomelokeel;
using http::Client;
using http::Request;
using http::Responder;
using http::Response;
using http::Sent;
using http::Server;
using http::ServerLimits;
using standin::eventually;
using standin::RawConnection;

namespace {

constexpr int CallMs = 10000;
constexpr int ShortMs = 100;

// A server that echoes the request, except for these targets:
//   /hold   keeps the responder in m_held and does not respond
//   /late   first responds to the held requests, then echoes
//   /drop   destroys the responder without a response
//   /throw  throws an exception
//   /lost   closes the connection without a response
//   /big    responds with 16 MB
//   /block  blocks the server thread until unblock()
class Fixture : public testing::Test {
protected:
  void start(const ServerLimits &Limits = {}) {
    auto Started = Server::start("127.0.0.1:0", Limits,
                                 [this](const Request &R, Responder Answer) {
                                   handle(R, std::move(Answer));
                                 });
    ASSERT_TRUE(Started.ok());
    m_server = std::move(Started.value());
  }

  void handle(const Request &R, Responder Answer) {
    ++m_requests;
    m_connection = R.m_connection;
    if (R.m_target == "/hold") {
      const std::lock_guard Lock(m_mutex);
      m_held.push_back(std::move(Answer));
      return;
    }
    if (R.m_target == "/late")
      answerHeld("late");
    if (R.m_target == "/drop")
      return;
    if (R.m_target == "/throw")
      throw std::runtime_error("on purpose");
    if (R.m_target == "/lost")
      return Answer(http::noAnswer());
    if (R.m_target == "/block") {
      m_blocked = true;
      m_blocked.notify_all();
      m_unblocked.wait(false);
    }
    if (R.m_target == "/big")
      return Answer({200, std::string(16 * 1024 * 1024, 'x')});
    Answer({200, R.m_method + " " + R.m_target + " " + R.m_body});
  }

  std::unique_ptr<Client> client() const {
    return Client::create(m_server->address());
  }

  // Sends \p R on a new connection. Returns status 0 if the call failed.
  Response callOnce(const Request &R) const {
    const auto Outcome = client()->call(R, CallMs);
    const auto *Answer = std::get_if<Response>(&Outcome);
    return Answer ? *Answer : Response{0, "", ""};
  }

  bool isHeld(std::size_t Count = 1) {
    return eventually([&] {
      const std::lock_guard Lock(m_mutex);
      return m_held.size() == Count;
    });
  }

  void unblock() {
    m_unblocked = true;
    m_unblocked.notify_all();
  }

  void answerHeld(const std::string &Body) {
    const std::lock_guard Lock(m_mutex);
    for (const Responder &Answer : m_held)
      Answer({200, Body});
  }

  std::mutex m_mutex;
  std::vector<Responder> m_held;
  std::atomic<int> m_requests = 0;
  std::atomic<bool> m_blocked = false;
  std::atomic<bool> m_unblocked = false;
  std::atomic<std::uint64_t> m_connection = 0;
  std::unique_ptr<Server> m_server;
};

class HttpServer : public Fixture {};
class HttpClient : public Fixture {};

Request get(const std::string &Target) { return {"GET", Target, ""}; }

std::string rawGet(const std::string &Target) {
  return "GET " + Target + " HTTP/1.1\r\nHost: a\r\n\r\n";
}

std::string kindOf(const std::string &Text) {
  const auto Body = base::Json::parse(
      Text.substr(std::min(Text.find('{'), Text.size())), nullptr, false);
  return Body.is_object() ? Body["error"]["kind"].get<std::string>() : "";
}

} // namespace

TEST(HttpTarget, PathAndQueryAreDecoded) {
  EXPECT_EQ(http::pathOf("/a/b?c=d"), "/a/b");
  EXPECT_EQ(http::queryOf("/a?x=1&key=a%2Fb+c%", "key"), "a/b c%");
  EXPECT_EQ(http::queryOf("/a?x=1&y", "y"), "");
  EXPECT_EQ(http::queryOf("/a", "x"), "");
  const std::string All("\0 %/\xff~z", 7);
  EXPECT_EQ(http::queryOf("/a?k=" + http::percentEncode(All), "k"), All);
}

TEST(HttpAddress, MalformedOnesAreRefused) {
  for (const char *Bad : {"", "host", ":1", "127.0.0.1:", "127.0.0.1:70000"}) {
    const auto Started = Server::start(Bad, {}, nullptr);
    ASSERT_FALSE(Started.ok()) << Bad;
    EXPECT_EQ(Started.error().m_kind, base::ErrorKind::BadSettings);
  }
}

TEST_F(HttpServer, AnswersOnAKeptOpenConnection) {
  start();
  const auto C = client();
  for (const char *Body : {"one", "", "three"}) {
    const auto Outcome = C->call({"POST", "/x?y", Body}, CallMs);
    EXPECT_EQ(std::get<Response>(Outcome).m_body,
              std::string("POST /x?y ") + Body);
  }
  EXPECT_EQ(m_connection, 1U);
  EXPECT_GT(C->bytesSent(), 0U);
  EXPECT_GT(C->bytesReceived(), 0U);
}

// Guards against memory use that grows with the size of a request, and against
// a connection reset that discards the error response before the client has
// read it.
TEST_F(HttpServer, OversizedHeadersAndBodiesAreRefused) {
  ServerLimits Limits;
  Limits.m_maxBodyBytes = 1000;
  start(Limits);
  EXPECT_EQ(callOnce({"POST", "/", std::string(1000, 'x')}).m_status, 200);
  // More than the socket buffers hold, so the client still sends when refused.
  const Response Body =
      callOnce({"POST", "/", std::string(16 * 1024 * 1024, 'x')});
  EXPECT_EQ(Body.m_status, 413);
  EXPECT_EQ(kindOf(Body.m_body), "tooLarge");
  const Response Header = callOnce(get("/" + std::string(100000, 'x')));
  EXPECT_EQ(kindOf(Header.m_body), "tooLarge");
  RawConnection Chunked(m_server->address());
  ASSERT_TRUE(Chunked.send("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
                           "\r\n800\r\n" +
                           std::string(0x800, 'x') + "\r\n"));
  EXPECT_EQ(kindOf(Chunked.readUntil("}}")), "tooLarge");
  EXPECT_EQ(m_requests, 1);
}

TEST_F(HttpServer, MalformedRequestIsRefused) {
  start();
  RawConnection Raw(m_server->address());
  ASSERT_TRUE(Raw.send("not http at all\r\n\r\n"));
  EXPECT_EQ(kindOf(Raw.readUntil("}}")), "badRequest");
  EXPECT_TRUE(Raw.closedByPeer());
}

// Guards against a client that holds a connection by sending slowly.
TEST_F(HttpServer, SlowClientGetsAnErrorAndIsClosed) {
  ServerLimits Limits;
  Limits.m_idleTimeoutMs = ShortMs;
  start(Limits);
  RawConnection Raw(m_server->address());
  ASSERT_TRUE(Raw.send("POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nab"));
  EXPECT_EQ(kindOf(Raw.readUntil("}}")), "badRequest");
  RawConnection Idle(m_server->address());
  EXPECT_TRUE(Idle.closedByPeer());
  EXPECT_EQ(m_requests, 0);
}

// Guards against a client that holds a connection by not reading.
TEST_F(HttpServer, SlowReaderIsClosed) {
  ServerLimits Limits;
  Limits.m_idleTimeoutMs = ShortMs;
  Limits.m_maxConnections = 1;
  start(Limits);
  RawConnection Raw(m_server->address());
  ASSERT_TRUE(Raw.send(rawGet("/big")));
  EXPECT_TRUE(eventually([&] { return callOnce(get("/")).m_status == 200; }));
}

TEST_F(HttpServer, ConnectionsOverTheLimitGetAnError) {
  ServerLimits Limits;
  Limits.m_maxConnections = 1;
  start(Limits);
  const auto First = client();
  ASSERT_TRUE(std::holds_alternative<Response>(First->call(get("/"), CallMs)));
  RawConnection Second(m_server->address());
  EXPECT_EQ(kindOf(Second.readUntil("}}")), "overloaded");
  EXPECT_TRUE(std::holds_alternative<Response>(First->call(get("/"), CallMs)));
}

// Guards against bodies that are read although the header shows that they will
// be refused. The body is never sent here.
TEST_F(HttpServer, ARequestIsRefusedByItsHeader) {
  ServerLimits Limits;
  Limits.m_checkHead =
      [](const Request &Head) -> std::variant<std::size_t, Response> {
    if (Head.m_target == "/none")
      return Response{404, "{}"};
    return Head.m_target == "/ready" ? std::size_t{0} : std::size_t{10};
  };
  start(Limits);
  const auto Send = [&](const std::string &Target, const std::string &Fields) {
    RawConnection Raw(m_server->address());
    EXPECT_TRUE(Raw.send("POST " + Target + " HTTP/1.1\r\n" + Fields + "\r\n"));
    const std::string Out = Raw.readUntil("}");
    EXPECT_TRUE(Raw.closedByPeer());
    return Out.substr(0, 12);
  };
  EXPECT_EQ(Send("/none", "Content-Length: 5\r\n"), "HTTP/1.1 404");
  EXPECT_EQ(Send("/none", "Transfer-Encoding: chunked\r\n"), "HTTP/1.1 404");
  EXPECT_EQ(Send("/none", "Content-Length: 5\r\nExpect: 100-continue\r\n"),
            "HTTP/1.1 404");
  EXPECT_EQ(Send("/ready", "Content-Length: 1\r\n"), "HTTP/1.1 413");
  EXPECT_EQ(Send("/", "Content-Length: 11\r\n"), "HTTP/1.1 413");
  EXPECT_EQ(m_requests, 0);
  EXPECT_EQ(callOnce({"POST", "/", "0123456789"}).m_status, 200);
  EXPECT_EQ(callOnce(get("/ready")).m_status, 200);
  RawConnection Chunked(m_server->address());
  ASSERT_TRUE(Chunked.send("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
                           "\r\n6\r\nabcdef\r\n6\r\nabcdef\r\n"));
  EXPECT_EQ(kindOf(Chunked.readUntil("}}")), "tooLarge");
}

// Guards against the memory that many short header fields take.
TEST_F(HttpServer, TooManyHeaderFieldsAreRefused) {
  ServerLimits Limits;
  Limits.m_maxHeaderFields = 3;
  start(Limits);
  RawConnection Three(m_server->address());
  ASSERT_TRUE(Three.send("GET /x HTTP/1.1\r\na:b\r\na:b\r\na:b\r\n\r\n"));
  EXPECT_NE(Three.readUntil("GET /x ").find("200 OK"), std::string::npos);
  RawConnection Four(m_server->address());
  ASSERT_TRUE(Four.send("GET /x HTTP/1.1\r\na:b\r\na:b\r\na:b\r\na:b\r\n\r\n"));
  EXPECT_EQ(kindOf(Four.readUntil("}}")), "tooLarge");
  EXPECT_EQ(m_requests, 1);
}

// Guards against requests that are read in many pieces and against lost bytes
// between pipelined ones.
TEST_F(HttpServer, RequestsArriveInSmallPieces) {
  start();
  RawConnection Raw(m_server->address());
  const std::string Text =
      "POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc"
      "POST /b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
      "2\r\nde\r\n1\r\nf\r\n0\r\n\r\nGET /c HTTP/1.1\r\n\r\n";
  for (const char Byte : Text)
    ASSERT_TRUE(Raw.send(std::string(1, Byte)));
  const std::string Answers = Raw.readUntil("GET /c ");
  EXPECT_NE(Answers.find("POST /a abc"), std::string::npos);
  EXPECT_NE(Answers.find("POST /b def"), std::string::npos);
  EXPECT_NE(Answers.find("GET /c "), std::string::npos);
  RawConnection Whole(m_server->address());
  ASSERT_TRUE(Whole.send(Text));
  EXPECT_NE(Whole.readUntil("GET /c ").find("POST /b def"), std::string::npos);
}

// A server with a budget for its connections.
class HttpBudget : public Fixture {
protected:
  ~HttpBudget() override { m_server.reset(); }

  void start(std::size_t Connections) {
    m_budget.m_onClosed = [this](http::CloseReason Reason) {
      m_closedForBytes += Reason == http::CloseReason::Budget ? 1 : 0;
      m_replaced += Reason == http::CloseReason::Connections ? 1 : 0;
    };
    ServerLimits Limits;
    Limits.m_budget = &m_budget;
    Limits.m_maxConnections = Connections;
    Fixture::start(Limits);
  }

  http::CallerBudget m_budget{1024 * 1024};
  std::atomic<int> m_closedForBytes = 0;
  std::atomic<int> m_replaced = 0;
};

// Guards against crowds that withhold the last byte of a body. What is closed
// was not handled.
TEST_F(HttpBudget, WithheldBodiesGiveWayToANewRequest) {
  constexpr std::size_t BodyBytes = 300000;
  start(256);
  std::vector<std::unique_ptr<RawConnection>> Crowd;
  for (int I = 0; I < 8; ++I) {
    Crowd.push_back(std::make_unique<RawConnection>(m_server->address()));
    ASSERT_TRUE(Crowd.back()->send(
        "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(BodyBytes) +
        "\r\n\r\n" + std::string(BodyBytes - 1, 'x')));
  }
  EXPECT_TRUE(eventually([&] { return m_closedForBytes >= 5; }));
  EXPECT_EQ(callOnce({"POST", "/", std::string(BodyBytes, 'x')}).m_status, 200);
  EXPECT_EQ(m_requests, 1);
  EXPECT_TRUE(Crowd.front()->closedByPeer());
}

// Guards against answers that get lost because of other requests. The refusal
// is true: what was not read whole is not handled.
TEST_F(HttpBudget, ARequestIsRefusedWhileOthersBindAllMemory) {
  start(256);
  std::vector<std::unique_ptr<RawConnection>> Held;
  for (std::size_t I = 1; I <= 3; ++I) {
    Held.push_back(std::make_unique<RawConnection>(m_server->address()));
    ASSERT_TRUE(Held.back()->send(
        "POST /hold HTTP/1.1\r\nContent-Length: 340000\r\n\r\n" +
        std::string(340000, 'x')));
    ASSERT_TRUE(isHeld(I));
  }
  const Response Refused = callOnce({"POST", "/", std::string(200000, 'x')});
  EXPECT_EQ(kindOf(Refused.m_body), "overloaded");
  EXPECT_EQ(m_requests, 3);
  answerHeld("held");
  for (const auto &Raw : Held)
    EXPECT_NE(Raw->readUntil("held").find("200 OK"), std::string::npos);
  EXPECT_EQ(callOnce({"POST", "/", std::string(200000, 'x')}).m_status, 200);
}

// Guards against connections that keep others out by being idle.
TEST_F(HttpBudget, ANewConnectionReplacesAnIdleOne) {
  start(2);
  RawConnection First(m_server->address());
  RawConnection Second(m_server->address());
  ASSERT_TRUE(First.send(rawGet("/a")));
  First.readUntil("GET /a ");
  ASSERT_TRUE(Second.send(rawGet("/hold")));
  ASSERT_TRUE(isHeld());
  EXPECT_EQ(callOnce(get("/")).m_status, 200);
  EXPECT_TRUE(First.closedByPeer());
  EXPECT_EQ(m_replaced, 1);
  answerHeld("held");
  EXPECT_NE(Second.readUntil("held").find("200 OK"), std::string::npos);
}

// Guards against connections that keep others out by requests without a pause.
TEST_F(HttpBudget, ANewConnectionReplacesOneThatSendsAhead) {
  start(1);
  RawConnection Ahead(m_server->address());
  ASSERT_TRUE(Ahead.send(rawGet("/hold") + rawGet("/ahead")));
  ASSERT_TRUE(isHeld());
  EXPECT_EQ(callOnce(get("/")).m_status, 200);
  answerHeld("held");
  EXPECT_NE(Ahead.readUntil("held").find("200 OK"), std::string::npos);
  EXPECT_TRUE(Ahead.closedByPeer());
  EXPECT_EQ(m_requests, 2);
  EXPECT_EQ(m_replaced, 1);
}

// Guards against bytes that stay counted and so close later connections.
TEST_F(HttpBudget, ClosedConnectionsBindNothing) {
  start(256);
  {
    const auto C = client();
    ASSERT_TRUE(std::holds_alternative<Response>(
        C->call({"POST", "/", std::string(400000, 'x')}, CallMs)));
    ASSERT_TRUE(
        std::holds_alternative<Response>(C->call(get("/lastly"), CallMs)));
    m_server->stop(1000);
  }
  EXPECT_EQ(m_budget.bytes(), 0U);
}

// Guards against abandoned long polls using up the connection limit.
TEST_F(HttpServer, ClientThatDisconnectsFreesItsConnection) {
  ServerLimits Limits;
  Limits.m_maxConnections = 1;
  start(Limits);
  RawConnection Waiting(m_server->address());
  ASSERT_TRUE(Waiting.send(rawGet("/hold")));
  ASSERT_TRUE(isHeld());
  Waiting.close();
  EXPECT_TRUE(eventually([&] { return callOnce(get("/")).m_status == 200; }));
  answerHeld("too late");
}

// A process that was suspended handled the requests of clients that had long
// given up (review case 5).
TEST_F(HttpServer, ARequestOfAClientThatHasLeftIsNotHandled) {
  start();
  RawConnection Blocking(m_server->address());
  ASSERT_TRUE(Blocking.send(rawGet("/block")));
  m_blocked.wait(false);
  RawConnection Waiting(m_server->address());
  ASSERT_TRUE(Waiting.send(rawGet("/late")));
  RawConnection Left(m_server->address());
  ASSERT_TRUE(Left.send(rawGet("/left")));
  Left.close();
  unblock();
  EXPECT_TRUE(eventually([&] { return m_requests == 2; }));
  EXPECT_EQ(callOnce(get("/")).m_status, 200);
  EXPECT_EQ(m_requests, 3);
}

TEST_F(HttpServer, MissingAnswersAreErrors) {
  ServerLimits Limits;
  Limits.m_responseTimeoutMs = ShortMs;
  start(Limits);
  EXPECT_EQ(kindOf(callOnce(get("/drop")).m_body), "internal");
  EXPECT_EQ(kindOf(callOnce(get("/throw")).m_body), "internal");
  const auto C = client();
  const auto Outcome = C->call(get("/hold"), CallMs);
  EXPECT_EQ(kindOf(std::get<Response>(Outcome).m_body), "timeout");
  // A late response to /hold must not be sent as the response to /late.
  const auto Next = C->call(get("/late"), CallMs);
  EXPECT_EQ(std::get<Response>(Next).m_body, "GET /late ");
}

TEST_F(HttpServer, ResponderOutlivesConnectionAndServer) {
  start();
  RawConnection Raw(m_server->address());
  ASSERT_TRUE(Raw.send(rawGet("/hold")));
  ASSERT_TRUE(isHeld());
  m_server->stop(0);
  EXPECT_TRUE(Raw.closedByPeer());
  answerHeld("after stop");
  m_server.reset();
  answerHeld("after the server");
  std::thread([&] { m_held.clear(); }).join();
}

TEST_F(HttpServer, AnswersFromManyThreadsReachTheirOwnCallers) {
  start();
  constexpr int Callers = 16;
  std::vector<std::thread> Threads;
  Threads.reserve(Callers);
  std::atomic<int> Right = 0;
  for (int I = 0; I < Callers; ++I)
    Threads.emplace_back([&, I] {
      const auto Target = "/" + std::to_string(I);
      const auto C = client();
      for (int N = 0; N < 20; ++N) {
        const auto Outcome = C->call(get(Target), CallMs);
        const auto *Answer = std::get_if<Response>(&Outcome);
        Right += Answer && Answer->m_body == "GET " + Target + " " ? 1 : 0;
      }
    });
  for (auto &T : Threads)
    T.join();
  EXPECT_EQ(Right, Callers * 20);
}

// Guards against a planned stop that cuts off a request in flight.
TEST_F(HttpServer, StopWaitsForRequestsInFlight) {
  start();
  auto Call = std::async(std::launch::async,
                         [&] { return callOnce(get("/hold")).m_body; });
  ASSERT_TRUE(isHeld());
  auto Stop = std::async(std::launch::async, [&] { m_server->stop(CallMs); });
  ASSERT_TRUE(eventually(
      [&] { return !RawConnection(m_server->address()).connected(); }));
  answerHeld("whole");
  EXPECT_EQ(Call.get(), "whole");
  Stop.get();
}

TEST_F(HttpServer, StopClosesWhatIsLeftAfterTheGraceTime) {
  start();
  RawConnection Raw(m_server->address());
  ASSERT_TRUE(Raw.send(rawGet("/hold")));
  ASSERT_TRUE(isHeld());
  m_server->stop(ShortMs);
  EXPECT_TRUE(Raw.closedByPeer());
}

// Guards against closing a connection whose next request is in transit when
// stop() begins. The server thread is blocked until both the stop and the
// request are pending.
TEST_F(HttpServer, StopAnswersARequestInTransit) {
  std::promise<void> Entered;
  std::promise<void> Go;
  auto Started = Server::start("127.0.0.1:0", {},
                               [&](const Request &R, const Responder &Answer) {
                                 if (R.m_target == "/block") {
                                   Entered.set_value();
                                   Go.get_future().wait();
                                 }
                                 Answer({200, "whole"});
                               });
  ASSERT_TRUE(Started.ok());
  m_server = std::move(Started.value());
  RawConnection Idle(m_server->address());
  ASSERT_TRUE(Idle.send(rawGet("/first")));
  ASSERT_NE(Idle.readUntil("whole").find("whole"), std::string::npos);
  RawConnection Busy(m_server->address());
  ASSERT_TRUE(Busy.send(rawGet("/block")));
  Entered.get_future().wait();
  std::promise<void> Stopping;
  auto Stop = std::async(std::launch::async, [&] {
    Stopping.set_value();
    m_server->stop(CallMs);
  });
  Stopping.get_future().wait();
  ASSERT_TRUE(Idle.send(rawGet("/late")));
  Go.set_value();
  const std::string Answer = Idle.readUntil("whole");
  EXPECT_NE(Answer.find("whole"), std::string::npos);
  Stop.get();
}

TEST_F(HttpClient, RefusedConnectionWasNotSent) {
  start();
  const std::string Address = m_server->address();
  m_server.reset();
  for (const auto &Target : {Address, std::string("not an address")}) {
    const auto Outcome = Client::create(Target)->call(get("/"), CallMs);
    const auto &Failed = std::get<http::CallError>(Outcome);
    EXPECT_EQ(Failed.m_sent, Sent::No);
    EXPECT_EQ(Failed.m_error.m_kind, base::ErrorKind::Unreachable);
  }
}

TEST_F(HttpClient, TimeoutMayHaveBeenSentAndNextCallReconnects) {
  start();
  const auto C = client();
  const auto Outcome = C->call(get("/hold"), ShortMs);
  const auto &Failed = std::get<http::CallError>(Outcome);
  EXPECT_EQ(Failed.m_sent, Sent::Maybe);
  EXPECT_EQ(Failed.m_error.m_kind, base::ErrorKind::Timeout);
  ASSERT_TRUE(isHeld());
  answerHeld("late");
  const auto Next = C->call(get("/next"), CallMs);
  EXPECT_EQ(std::get<Response>(Next).m_body, "GET /next ");
  EXPECT_EQ(m_connection, 2U);
}

// Guards against running a request twice when its answer is lost.
TEST_F(HttpClient, LostAnswerIsNotRepeated) {
  start();
  const auto C = client();
  ASSERT_TRUE(std::holds_alternative<Response>(C->call(get("/"), CallMs)));
  const auto Outcome = C->call(get("/lost"), CallMs);
  EXPECT_EQ(std::get<http::CallError>(Outcome).m_sent, Sent::Maybe);
  EXPECT_EQ(m_requests, 2);
}

TEST_F(HttpClient, ConnectionClosedByThePeerIsReopened) {
  ServerLimits Limits;
  Limits.m_idleTimeoutMs = ShortMs;
  start(Limits);
  RawConnection Marker(m_server->address());
  const auto C = client();
  ASSERT_TRUE(std::holds_alternative<Response>(C->call(get("/"), CallMs)));
  const auto Before = m_connection.load();
  // This connection becomes idle after the client's, so once the server has
  // closed it, the client's is closed too.
  RawConnection Later(m_server->address());
  ASSERT_TRUE(Later.send(rawGet("/")));
  ASSERT_TRUE(Later.closedByPeer());
  ASSERT_TRUE(std::holds_alternative<Response>(C->call(get("/"), CallMs)));
  EXPECT_GT(m_connection, Before);
}

TEST_F(HttpClient, CancelEndsACallInProgressAndLaterOnes) {
  start();
  const auto C = client();
  auto Call = std::async(std::launch::async,
                         [&] { return C->call(get("/hold"), CallMs); });
  ASSERT_TRUE(isHeld());
  C->cancel();
  EXPECT_TRUE(std::holds_alternative<http::CallError>(Call.get()));
  const auto Later = C->call(get("/"), CallMs);
  EXPECT_EQ(std::get<http::CallError>(Later).m_sent, Sent::No);
}

TEST_F(HttpClient, LargeAnswerArrivesWhole) {
  start();
  EXPECT_EQ(callOnce(get("/big")).m_body.size(), 16U * 1024 * 1024);
}
