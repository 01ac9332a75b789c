#include "node/settings.h"

#include "standin/temp_file.h"

#include <gtest/gtest.h>

#include <fstream>
#include <string>
#include <vector>

namespace pomelokeel::node::tests {
namespace {

constexpr const char *Entry =
    R"("name":"e","dataCentre":"a","store":"1.2.3.4:5","controlListen":)"
    R"("1.2.3.4:6","callerListen":"1.2.3.4:7","readyListen":"1.2.3.4:8")";

base::Result<Settings> load(const std::string &Text, Role R) {
  const standin::TempFile File("node_settings.json");
  std::ofstream(File.path()) << Text;
  return loadSettings(File.path(), R);
}

TEST(NodeSettings, MissingFieldsKeepTheirDefaults) {
  const auto S = load("{" + std::string(Entry) + "}", Role::Entry);
  ASSERT_TRUE(S.ok()) << base::toString(S.error());
  EXPECT_EQ(S->m_bounds.m_configApplyMs, Bounds{}.m_configApplyMs);
  EXPECT_FALSE(S->m_placement.m_learnSpeed);
}

TEST(NodeSettings, LearningTheSpeedOfWorkersIsSwitchedOn) {
  const auto S =
      load("{" + std::string(Entry) + R"(,"placement":{"learnSpeed":true}})",
           Role::Entry);
  ASSERT_TRUE(S.ok()) << base::toString(S.error());
  EXPECT_TRUE(S->m_placement.m_learnSpeed);
}

// The deployments that do not name a policy are served as before.
TEST(NodeSettings, TheOverloadPolicyIsPriorityUnlessNamed) {
  const auto Default = load("{" + std::string(Entry) + "}", Role::Entry);
  ASSERT_TRUE(Default.ok());
  EXPECT_EQ(Default->m_overload.m_policy, batch::OverloadPolicy::Priority);
  const auto Named = load("{" + std::string(Entry) +
                              ",\"overload\":{\"policy\":\"costAware\"}}",
                          Role::Entry);
  ASSERT_TRUE(Named.ok()) << base::toString(Named.error());
  EXPECT_EQ(Named->m_overload.m_policy, batch::OverloadPolicy::CostAware);
}

// An invalid setting must be reported at the start, since the process would
// otherwise fail later and in an unrelated place.
TEST(NodeSettings, ErrorsNameFileAndKey) {
  const struct {
    std::string m_text;
    const char *m_expectedText;
  } Rows[] = {
      {"", "not valid JSON"},
      {"{}", "name"},
      {"{" + std::string(Entry) + ",\"odd\":1}", "odd"},
      {"{" + std::string(Entry) + ",\"bounds\":{\"graceS\":0}}", "bounds"},
      {"{" + std::string(Entry) + ",\"overload\":{\"policy\":\"fair\"}}",
       "overload.policy"},
      {"{" + std::string(Entry) + ",\"overload\":{\"odd\":1}}", "overload.odd"},
      {R"({"name":"e","dataCentre":"a","store":"x","controlListen":"a:1"})",
       "store"},
  };
  for (const auto &Row : Rows) {
    const auto S = load(Row.m_text, Role::Entry);
    ASSERT_FALSE(S.ok()) << Row.m_text;
    EXPECT_NE(S.error().m_message.find("node_settings.json"),
              std::string::npos);
    EXPECT_NE(S.error().m_message.find(Row.m_expectedText), std::string::npos)
        << S.error().m_message;
  }
  EXPECT_FALSE(load("{" + std::string(Entry) + "}", Role::Agent).ok());
}

TEST(NodeSettings, CallersMayBindAQuarterOfTheMemory) {
  const auto Bytes = [](const std::string &More) {
    const auto S = load("{" + std::string(Entry) + More + "}", Role::Entry);
    return S ? callerBytesOf(*S) : 0;
  };
  constexpr std::size_t Mb = 1024 * 1024;
  EXPECT_EQ(Bytes(""), 32 * Mb);
  EXPECT_EQ(Bytes(",\"memoryMb\":160"), 40 * Mb);
  EXPECT_EQ(Bytes(",\"memoryMb\":160,\"callerLimits\":{\"bytes\":15000000}"),
            15000000U);
}

// A limit that ordinary clients reach must be reported with its range, unit and
// reason.
TEST(NodeSettings, CallerLimitsAreChecked) {
  for (const char *Text : {"\"memoryMb\":47", "\"memoryMb\":-1",
                           "\"callerLimits\":{\"bytes\":12582911}",
                           "\"callerLimits\":{\"headerFields\":19}",
                           "\"callerLimits\":{\"aheadBytes\":1023}",
                           "\"callerLimits\":{\"requestMs\":2999}",
                           "\"callerLimits\":{\"responseMs\":3600001}"}) {
    const auto S =
        load("{" + std::string(Entry) + "," + Text + "}", Role::Entry);
    ASSERT_FALSE(S.ok()) << Text;
    EXPECT_NE(S.error().m_message.find("must be"), std::string::npos)
        << S.error().m_message;
  }
}

// Guards against conversions and sums that overflow: bounds beyond any use were
// accepted, also from a file that changes while the process runs.
TEST(NodeSettings, OddValuesAreErrors) {
  const std::string Deep(100000, '[');
  std::vector<std::string> Texts = {
      Deep,
      "{\"x\":" + Deep,
      "\xff\xfe",
      "[]",
      "{" + std::string(Entry) + ",\"eventRing\":2147483647}",
      "{" + std::string(Entry) + ",\"name\":\"\xff\"}"};
  for (const char *Name : {"leaseMaxMs", "stopGraceMs", "gangTimeoutMs",
                           "graceS", "statusS", "configApplyMs", "reclaimMs"}) {
    for (const char *Value : {"1e300", "9223372036854775807", "-1", "1e999",
                              "NaN", "\"1\"", "[]", "1e12"})
      Texts.push_back("{" + std::string(Entry) + ",\"bounds\":{\"" + Name +
                      "\":" + Value + "}}");
  }
  for (const char *Value :
       {"true", "[]", R"({"learnSpeed":1})", R"({"learnSpeed":"true"})",
        R"({"learnspeed":true})"})
    Texts.push_back("{" + std::string(Entry) + ",\"placement\":" + Value + "}");
  for (const char *Value : {"1e300", "-1", "\"1\""})
    Texts.push_back("{" + std::string(Entry) + ",\"cores\":" + Value + "}");
  for (const char *Port : {"0", "65536", "-1", ""}) {
    for (const char *Name :
         {"store", "controlListen", "callerListen", "readyListen"}) {
      base::Json J = base::parseJson("{" + std::string(Entry) + "}");
      J[Name] = std::string("1.2.3.4:") + Port;
      Texts.push_back(base::dumpJson(J));
    }
  }
  for (const std::string &Text : Texts)
    EXPECT_FALSE(load(Text, Role::Entry).ok()) << Text.substr(0, 300);
}

} // namespace
} // namespace pomelokeel::node::tests
