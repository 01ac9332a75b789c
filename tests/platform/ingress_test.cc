#include "platform/ingress.h"

#include <gtest/gtest.h>

namespace pomelokeel::platform::tests {
namespace {

using batch::Verdict;

http::Request call(const std::string &Method, const std::string &Body = "") {
  http::Request R;
  R.m_method = Method;
  R.m_target = "/q/00000000000000aa?x=1";
  R.m_body = Body;
  R.m_headers = {{"Host", "h.example:80"},
                 {"Authorization", "Bearer key1"},
                 {"X-Deadline-Ms", "2500"}};
  return R;
}

TEST(DecodeCall, ReadsHostPathKeyAndDeadline) {
  const auto C = decodeCall(call("GET"));
  ASSERT_TRUE(C.has_value());
  EXPECT_EQ(C->m_host, "h.example");
  EXPECT_EQ(C->m_path, "/q/00000000000000aa");
  EXPECT_EQ(C->m_key, "key1");
  EXPECT_EQ(C->m_remainingMs, 2500);
}

// Guards against an overflow when the deadline is added to the time: the call
// counted as late.
TEST(DecodeCall, AHugeDeadlineIsShortened) {
  http::Request R = call("GET");
  R.m_headers[2].m_value = "9223372036854775807";
  EXPECT_EQ(decodeCall(R)->m_remainingMs, 3'600'000);
  R.m_headers[2].m_value = "9223372036854775808";
  EXPECT_EQ(decodeCall(R)->m_remainingMs, 3000);
}

TEST(DecodeCall, AMalformedJobGivesAnErrorMessage) {
  const auto C = decodeCall(call("POST", "{"));
  ASSERT_TRUE(C.has_value());
  EXPECT_FALSE(C->m_spec.has_value());
  EXPECT_FALSE(C->m_specError.empty());
}

TEST(DecodeCall, RejectsOtherMethods) {
  EXPECT_FALSE(decodeCall(call("PATCH")).has_value());
}

// Guards against a wrong status, on which callers would repeat a call that took
// effect or give up one that did not.
TEST(EncodeReply, MapsVerdictsToHttpStatus) {
  const struct {
    Verdict m_verdict;
    int m_status;
  } Rows[] = {{Verdict::Ok, 200},           {Verdict::Unknown, 504},
              {Verdict::Gone, 410},         {Verdict::NoQueue, 404},
              {Verdict::Unauthorized, 401}, {Verdict::BadRequest, 400},
              {Verdict::Overloaded, 429},   {Verdict::Unavailable, 503}};
  for (const auto &Row : Rows) {
    batch::CallerReply R;
    R.m_verdict = Row.m_verdict;
    EXPECT_EQ(encodeReply(R, {}).m_status, Row.m_status);
  }
}

TEST(EncodeReply, RetryAfterIsRoundedUpToSeconds) {
  batch::CallerReply R;
  R.m_verdict = Verdict::Unavailable;
  R.m_retryAfterMs = 1200;
  const auto Out = encodeReply(R, {});
  EXPECT_EQ(http::headerOf(Out.m_headers, "retry-after"), "2");
}

Heartbeat heartbeat(const std::string &Id, std::int64_t StartTime,
                    std::int64_t Sequence) {
  Heartbeat H;
  H.m_worker.m_id = Id;
  H.m_startTime = StartTime;
  H.m_sequence = Sequence;
  return H;
}

// Guards against a heartbeat that the network delays until after a later one.
TEST(HeartbeatFilter, RejectsLateHeartbeats) {
  HeartbeatFilter Filter;
  EXPECT_TRUE(Filter.accept(heartbeat("a", 10, 5), 0));
  EXPECT_FALSE(Filter.accept(heartbeat("a", 10, 4), 1));
  EXPECT_FALSE(Filter.accept(heartbeat("a", 10, 5), 4000));
  EXPECT_TRUE(Filter.accept(heartbeat("a", 10, 6), 4001));
}

// Guards against a worker that is locked out: the start time or the sequence
// number in a heartbeat of another writer was higher than its own, and its
// heartbeats counted as late for ever. The agent rejects another incarnation
// unless the worker confirms it.
TEST(HeartbeatFilter, OneOddHeartbeatLocksNoWorkerOut) {
  constexpr std::int64_t Huge = 999'999'999'999'999;
  for (const Heartbeat &Odd :
       {heartbeat("a", Huge, 6), heartbeat("a", -1, Huge),
        heartbeat("b", 10, Huge), heartbeat("b", 11, 6)}) {
    HeartbeatFilter Filter;
    EXPECT_TRUE(Filter.accept(heartbeat("a", 10, 5), 0));
    EXPECT_TRUE(Filter.accept(Odd, 100));
    EXPECT_TRUE(Filter.accept(heartbeat("a", 10, 6), 500)) << Odd.m_startTime;
  }
  HeartbeatFilter Filter;
  EXPECT_TRUE(Filter.accept(heartbeat("a", 10, Huge), 0));
  EXPECT_FALSE(Filter.accept(heartbeat("a", 10, 6), 4000));
  EXPECT_TRUE(Filter.accept(heartbeat("a", 10, 7), 6000));
  EXPECT_TRUE(Filter.accept(heartbeat("a", 10, 8), 6500));
}

// Guards against tasks that start on a worker that has said that it drains: an
// odd heartbeat with a higher sequence number hid it.
TEST(HeartbeatFilter, ALateNoticeOfADrainCounts) {
  HeartbeatFilter Filter;
  EXPECT_TRUE(Filter.accept(heartbeat("a", 10, 900), 0));
  Heartbeat Drains = heartbeat("a", 10, 6);
  Drains.m_worker.m_draining = true;
  EXPECT_TRUE(Filter.accept(Drains, 100));
  EXPECT_FALSE(Filter.accept(heartbeat("a", 10, 5), 200));
}

} // namespace
} // namespace pomelokeel::platform::tests
