#include "http/async_client.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

namespace pomelokeel::http::tests {
namespace {

class AsyncClientTest : public testing::Test {
protected:
  AsyncClientTest() {
    auto Started =
        Server::start(*m_reactor, "127.0.0.1:0", {},
                      [this](const Request &R, const Responder &Answer) {
                        m_asked.push_back(R);
                        if (R.m_target == "/silent") {
                          m_held.push_back(Answer);
                          return;
                        }
                        Response Out;
                        Out.m_body = R.m_body;
                        Out.m_headers = {{"Retry-After", "3"}};
                        Answer(R.m_target == "/lost" ? noAnswer() : Out);
                      });
    EXPECT_TRUE(Started.ok());
    m_server = std::move(*Started);
    m_client = AsyncClient::create(*m_reactor, m_server->address());
  }

  CallResult call(const std::string &Target, Millis TimeoutMs = 2000) {
    Request R;
    R.m_method = "POST";
    R.m_target = Target;
    R.m_body = "body";
    R.m_headers = {{"X-Name", "value"}};
    CallResult Out;
    m_client->call(R, TimeoutMs, [&](CallResult Result) {
      Out = std::move(Result);
      m_reactor->stop();
    });
    m_reactor->run();
    return Out;
  }

  std::unique_ptr<Reactor> m_reactor = Reactor::create();
  std::vector<Request> m_asked;
  std::vector<Responder> m_held;
  std::unique_ptr<Server> m_server;
  std::shared_ptr<AsyncClient> m_client;
};

TEST_F(AsyncClientTest, KeepsTheConnectionAndPassesHeaders) {
  for (int I = 0; I < 3; ++I) {
    const CallResult R = call("/echo");
    ASSERT_TRUE(std::holds_alternative<Response>(R));
    EXPECT_EQ(std::get<Response>(R).m_body, "body");
    EXPECT_EQ(headerOf(std::get<Response>(R).m_headers, "retry-after"), "3");
  }
  EXPECT_EQ(m_client->connectionsOpened(), 1u);
  EXPECT_EQ(headerOf(m_asked[0].m_headers, "x-name"), "value");
}

// Guards against reusing a connection that no longer delivers data. Only a
// timeout detects such a connection; the next call must open a new one.
TEST_F(AsyncClientTest, ASilentConnectionIsReplacedAfterATimeout) {
  ASSERT_TRUE(std::holds_alternative<Response>(call("/echo")));
  const CallResult R = call("/silent", 50);
  ASSERT_TRUE(std::holds_alternative<CallError>(R));
  EXPECT_EQ(std::get<CallError>(R).m_error.m_kind, base::ErrorKind::Timeout);
  EXPECT_EQ(std::get<CallError>(R).m_sent, Sent::Maybe);
  EXPECT_TRUE(std::holds_alternative<Response>(call("/echo")));
  EXPECT_EQ(m_client->connectionsOpened(), 2u);
}

TEST_F(AsyncClientTest, ALostAnswerMayHaveHadAnEffect) {
  const CallResult R = call("/lost");
  ASSERT_TRUE(std::holds_alternative<CallError>(R));
  EXPECT_EQ(std::get<CallError>(R).m_sent, Sent::Maybe);
}

TEST_F(AsyncClientTest, ARefusedConnectionHadNoEffect) {
  m_server.reset();
  const CallResult R = call("/echo");
  ASSERT_TRUE(std::holds_alternative<CallError>(R));
  EXPECT_EQ(std::get<CallError>(R).m_sent, Sent::No);
}

// Guards against a result within the call itself, for which callers are not
// prepared. Addresses come from records that others write.
TEST_F(AsyncClientTest, ACallToAMalformedAddressFailsAfterItHasReturned) {
  for (const char *Address : {"", "h", "127.0.0.1:70000", "h:1", ":1"}) {
    m_client = AsyncClient::create(*m_reactor, Address);
    int Failures = 0;
    m_client->call({}, 2000, [&](const CallResult &R) {
      Failures += std::holds_alternative<CallError>(R) ? 1 : 0;
      m_reactor->stop();
    });
    ASSERT_EQ(Failures, 0) << Address;
    m_reactor->run();
    EXPECT_EQ(Failures, 1) << Address;
  }
}

} // namespace
} // namespace pomelokeel::http::tests
