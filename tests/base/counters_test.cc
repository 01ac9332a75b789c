#include "base/counters.h"

#include <gtest/gtest.h>

using namespace pomelokeel::base;

// Prometheus expects cumulative buckets: each counts all observations up to its
// bound. Other counts give wrong quantiles.
TEST(Counters, HistogramBucketsAreCumulative) {
  Counters C;
  C.observe("wait_ms{priority=\"0\"}", 30);
  C.observe("wait_ms{priority=\"0\"}", 20000);
  const std::string Text = C.render();
  for (const char *Line :
       {"pomelokeel_wait_ms_bucket{priority=\"0\",le=\"50\"} 1\n",
        "pomelokeel_wait_ms_bucket{priority=\"0\",le=\"10000\"} 1\n",
        "pomelokeel_wait_ms_bucket{priority=\"0\",le=\"+Inf\"} 2\n",
        "pomelokeel_wait_ms_sum{priority=\"0\"} 20030\n",
        "pomelokeel_wait_ms_count{priority=\"0\"} 2\n"})
    EXPECT_NE(Text.find(Line), std::string::npos) << Line << Text;
  EXPECT_EQ(Text.find("le=\"20\""), std::string::npos);
}
