#include "ctl/client.h"

#include "ctl/timeline.h"
#include "http/http.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>

namespace pomelokeel::ctl::tests {
namespace {

/// A server that gives one answer to all requests.
class ClientTest : public testing::Test {
protected:
  void SetUp() override {
    auto Started =
        http::Server::start("127.0.0.1:0", {},
                            [this](const http::Request &,
                                   const http::Responder &A) { A(m_answer); });
    ASSERT_TRUE(Started.ok());
    m_server = std::move(*Started);
  }

  Client client() const { return {{m_server->address()}, 5000}; }

  http::Response m_answer;
  std::unique_ptr<http::Server> m_server;
};

// Guards against a command that ends by an exception when a balancer or another
// program answers in place of an entry.
TEST_F(ClientTest, AnOddErrorBodyIsAnError) {
  const std::string Deep(100000, '[');
  for (const std::string &Body :
       {std::string(), std::string("[]"), std::string("7"), std::string("null"),
        std::string("\"no\""), std::string("{}"),
        std::string(R"({"error":"no"})"), std::string(R"({"error":[]})"),
        std::string(R"({"error":null})"),
        std::string(R"({"error":{"kind":7,"message":[]}})"),
        std::string(R"({"kind":1e300,"message":{}})"),
        std::string(R"({"error":{"kind":"odd","message":"\u0000"}})"),
        std::string("\xff\xfe"), Deep}) {
    m_answer = {500, Body, "application/json", {}};
    const auto Got = client().get("/v1/status");
    ASSERT_FALSE(Got.ok()) << Body.substr(0, 80);
    EXPECT_EQ(Got.error().m_kind, base::ErrorKind::Internal);
  }
  m_answer.m_body = R"({"error":{"kind":"notFound","message":"no job"}})";
  const auto Got = client().get("/v1/status");
  EXPECT_EQ(Got.error().m_kind, base::ErrorKind::NotFound);
  EXPECT_EQ(Got.error().m_message, "no job");
}

// Guards against a command that ends by an exception on an answer of another
// form than an entry's.
TEST_F(ClientTest, AnOddAnswerNamesNoLeader) {
  for (const char *Body : {"[]", "7", "null", "{}", R"({"askLeader":7})",
                           R"({"askLeader":["a:1"]})"}) {
    m_answer = {200, Body, "application/json", {}};
    const auto Got = getFromLeader(client(), "/v1/status");
    ASSERT_TRUE(Got.ok()) << Body;
    EXPECT_EQ(*Got, base::parseJson(Body));
    EXPECT_FALSE(readTimeline(client(), {}).ok()) << Body;
  }
}

} // namespace
} // namespace pomelokeel::ctl::tests
