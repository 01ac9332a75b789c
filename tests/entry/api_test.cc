#include "entry/api.h"

#include <gtest/gtest.h>

using namespace pomelokeel;
using namespace pomelokeel::entry;

namespace {

base::Result<ApiRequest> parsed(const std::string &Method,
                                const std::string &Target,
                                const std::string &Body = "") {
  return parseRequest({Method, Target, Body});
}

const std::string Job = R"({"key":"k","account":"a","class":"c"})";

} // namespace

// Guards against keys with reserved characters that lead to another job.
TEST(Api, DecodesPathSegments) {
  const auto R = parsed("GET", "/v1/keys/acct/a%2Fb%20c?waitMs=5");
  ASSERT_TRUE(R.ok());
  const auto &Key = std::get<GetByKey>(*R);
  EXPECT_EQ(Key.m_account, "acct");
  EXPECT_EQ(Key.m_key, "a/b c");
  EXPECT_EQ(Key.m_waitMs, 5);
}

TEST(Api, FindsRoutesByMethodAndPath) {
  EXPECT_TRUE(std::holds_alternative<SubmitJob>(
      parsed("POST", "/v1/jobs", Job).value()));
  EXPECT_TRUE(
      std::holds_alternative<ListJobs>(parsed("GET", "/v1/jobs").value()));
  EXPECT_EQ(std::get<CancelJob>(*parsed("DELETE", "/v1/jobs/j1")).m_job, "j1");
  EXPECT_EQ(std::get<ExplainJob>(*parsed("GET", "/v1/jobs/j1/explain")).m_job,
            "j1");
  const auto History = parsed("GET", "/v1/config/jobClass/c");
  EXPECT_EQ(std::get<GetConfigHistory>(*History).m_kind,
            model::ConfigKind::JobClass);
  EXPECT_EQ(parsed("PUT", "/v1/jobs").error().m_kind,
            base::ErrorKind::NotFound);
  EXPECT_EQ(parsed("GET", "/v1/jobs/").error().m_kind,
            base::ErrorKind::NotFound);
}

// Guards against waits beyond the server's response timeout, which would cut
// off the caller without an answer.
TEST(Api, BoundsParameters) {
  EXPECT_TRUE(parsed("POST", "/v1/jobs?waitMs=60000", Job).ok());
  for (const char *Bad : {"60001", "-1", "1x", "99999999999999999999"})
    EXPECT_EQ(parsed("POST", "/v1/jobs?waitMs=" + std::string(Bad), Job)
                  .error()
                  .m_kind,
              base::ErrorKind::OutOfRange)
        << Bad;
  EXPECT_FALSE(parsed("GET", "/v1/jobs?limit=1001").ok());
  EXPECT_FALSE(parsed("GET", "/v1/jobs?phase=asleep").ok());
  EXPECT_EQ(
      parsed("POST", "/v1/jobs", R"({"key":"k","extra":1})").error().m_kind,
      base::ErrorKind::BadRequest);
}

// Guards G4: a failed lookup says nothing about whether a job ran.
TEST(Api, LookupErrorsNeverSayNotRun) {
  const auto R = lookupError({base::ErrorKind::NotFound, "x"});
  EXPECT_EQ(R.m_status, 404);
  EXPECT_NE(R.m_body.find("\"notRun\":false"), std::string::npos);
}
