#include "node/router.h"

#include <gtest/gtest.h>

namespace pomelokeel::node::tests {
namespace {

using batch::CallerReply;
using batch::CallerRequest;
using batch::CallerRequestKind;
using batch::Verdict;

batch::Config config() {
  batch::Config C;
  C.m_version = 1;
  batch::Route Short;
  Short.m_host = "h";
  Short.m_prefix = "/a/";
  Short.m_queue.m_name = "short";
  batch::Route Long = Short;
  Long.m_prefix = "/a/b/";
  Long.m_queue.m_name = "long";
  batch::Route Open = Short;
  Open.m_prefix = "/open/";
  Open.m_public = true;
  C.m_routes = {Short, Long, Open};
  C.m_accounts = {{"acc", {"k"}, 0}};
  return C;
}

CallerCall call(const std::string &Path, const std::string &Key = "k") {
  CallerCall C;
  C.m_host = "h";
  C.m_path = Path;
  C.m_key = Key;
  return C;
}

Verdict verdictOf(const CallerCall &C) {
  const auto R = route(config(), C);
  const auto *Reply = std::get_if<CallerReply>(&R);
  return Reply == nullptr ? Verdict::Ok : Reply->m_verdict;
}

TEST(Router, SelectsTheRouteWithTheLongestPrefix) {
  const auto R = route(config(), call("/a/b/00000000000000aa"));
  ASSERT_TRUE(std::holds_alternative<CallerRequest>(R));
  EXPECT_EQ(std::get<CallerRequest>(R).m_queue.m_name, "long");
  EXPECT_EQ(std::get<CallerRequest>(R).m_account, "acc");
}

// Guards against bodies that are kept although the path or the key is refused.
TEST(Router, CallsAreRejectedWithoutTheirBody) {
  CallerCall Good = call("/a/00000000000000aa");
  Good.m_method = CallerCall::Method::Submit;
  EXPECT_FALSE(rejectionOf(config(), Good).has_value());
  EXPECT_EQ(rejectionOf(config(), call("/none/"))->m_verdict, Verdict::NoQueue);
  EXPECT_EQ(rejectionOf(config(), call("/a/00000000000000aa", "x"))->m_verdict,
            Verdict::Unauthorized);
  Good.m_path = "/a/";
  EXPECT_EQ(rejectionOf(config(), Good)->m_verdict, Verdict::BadRequest);
  EXPECT_EQ(rejectionOf(std::nullopt, Good)->m_verdict, Verdict::Unavailable);
}

// Before the configuration is read, the queue may exist, so the answer must not
// be "no such queue".
TEST(Router, WithoutAConfigurationTheCallerIsAskedToRetry) {
  const auto R = route(std::nullopt, call("/a/00000000000000aa"));
  ASSERT_TRUE(std::holds_alternative<CallerReply>(R));
  EXPECT_EQ(std::get<CallerReply>(R).m_verdict, Verdict::Unavailable);
  EXPECT_GT(std::get<CallerReply>(R).m_retryAfterMs, 0);
}

TEST(Router, RejectsACallWithTheRightVerdict) {
  EXPECT_EQ(verdictOf(call("/none/00000000000000aa")), Verdict::NoQueue);
  EXPECT_EQ(verdictOf(call("/a/00000000000000aa", "wrong")),
            Verdict::Unauthorized);
  EXPECT_EQ(verdictOf(call("/a/00000000000000aa", "")), Verdict::Unauthorized);
  EXPECT_EQ(verdictOf(call("/a/xyz")), Verdict::BadRequest);
  EXPECT_EQ(verdictOf(call("/open/00000000000000aa", "")), Verdict::Ok);
}

TEST(Router, APathWithoutAJobIdCountsPendingJobs) {
  const auto R = route(config(), call("/a/"));
  ASSERT_TRUE(std::holds_alternative<CallerRequest>(R));
  EXPECT_EQ(std::get<CallerRequest>(R).m_kind, CallerRequestKind::CountPending);
}

} // namespace
} // namespace pomelokeel::node::tests
