#include "standin/log.h"

#include "standin/temp_file.h"
#include "standin/wait.h"

#include <gtest/gtest.h>

#include <fstream>

using namespace pomelokeel;
using namespace pomelokeel::standin;

namespace {

class LogStandinTest : public testing::Test {
protected:
  void start(const LogOptions &Options) {
    m_log = std::make_unique<LogStandin>(Options);
    m_client = http::Client::create(m_log->address());
  }

  Json call(const std::string &Method, const std::string &Target,
            const Json &Body = nullptr) {
    const auto Outcome = m_client->call({Method, Target, Body.dump()}, 10000);
    const auto *R = std::get_if<http::Response>(&Outcome);
    m_status = R ? R->m_status : 0;
    return R ? Json::parse(R->m_body, nullptr, false) : Json();
  }

  Json append(int Value) {
    return call("POST", "/streams/s/records", {{"records", {Value}}});
  }

  std::unique_ptr<LogStandin> m_log;
  std::unique_ptr<http::Client> m_client;
  int m_status = 0;
};

} // namespace

// Offsets are never reused after old records are dropped, and an answer with
// status 410 gives the range of offsets that is still held.
TEST_F(LogStandinTest, RetentionByCountKeepsOffsets) {
  start({.m_retentionRecords = 2});
  for (int I = 0; I < 5; ++I)
    EXPECT_EQ(append(I)["first"], I);
  const Json Dropped = call("GET", "/streams/s/records?from=2&max=9&waitMs=0");
  EXPECT_EQ(m_status, 410);
  EXPECT_EQ(Dropped["first"], 3);
  EXPECT_EQ(Dropped["next"], 5);
  EXPECT_TRUE(Dropped["records"].empty());
  const Json Held = call("GET", "/streams/s/records?from=3&max=1&waitMs=0");
  EXPECT_EQ(m_status, 200);
  ASSERT_EQ(Held["records"].size(), 1U);
  EXPECT_EQ(Held["records"][0]["offset"], 3);
  EXPECT_EQ(Held["records"][0]["value"], 3);
}

// As in the log service, acknowledged appends survive a restart. The incomplete
// line at the end of the file is an append that a kill interrupted.
TEST_F(LogStandinTest, FileKeepsStreamsOverARestart) {
  const TempFile File("log_restart.streams");
  start({.m_file = File.path()});
  append(1);
  append(2);
  m_log.reset();
  std::ofstream(File.path(), std::ios::app) << "{\"stream\":\"s\",\"ti";
  start({.m_file = File.path()});
  EXPECT_EQ(append(3)["first"], 2);
  m_log.reset();
  start({.m_file = File.path()});
  const Json All = call("GET", "/streams/s/records?from=0&max=9&waitMs=0");
  ASSERT_EQ(All["records"].size(), 3U);
  EXPECT_EQ(All["records"][2]["value"], 3);
}

TEST_F(LogStandinTest, RetentionByAgeDropsWithoutAppends) {
  start({.m_retentionMs = 50});
  append(1);
  ASSERT_TRUE(eventually(
      [&] { return call("GET", "/streams/s/records?from=0")["first"] == 1; }));
  EXPECT_EQ(append(2)["first"], 1);
}

TEST_F(LogStandinTest, FaultsAreSwitchedOverHttp) {
  start({});
  call("POST", "/faults", {{"refuse", true}});
  append(1);
  EXPECT_EQ(m_status, 503);
  call("POST", "/faults", {{"loseAppendAnswers", 1}});
  append(2);
  EXPECT_EQ(m_status, 0);
  EXPECT_EQ(append(3)["first"], 1);
  call("POST", "/faults", {{"outrage", true}});
  EXPECT_EQ(m_status, 400);
  call("POST", "/streams/s/records", {{"values", 1}});
  EXPECT_EQ(m_status, 400);
  call("GET", "/elsewhere");
  EXPECT_EQ(m_status, 404);
}
