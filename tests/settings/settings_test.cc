#include "settings/settings.h"

#include "standin/temp_file.h"

#include <gtest/gtest.h>

#include <fstream>

using namespace pomelokeel;

namespace {

base::Json validEntry() {
  return {{"name", "e1"},
          {"dataCentre", "milano-a"},
          {"region", "nord-ovest"},
          {"httpListen", "127.0.0.1:0"},
          {"meshListen", "127.0.0.1:0"},
          {"logService", "127.0.0.1:7000"}};
}

} // namespace

TEST(Settings, ValidFileLoads) {
  const standin::TempFile File("settings.json");
  std::ofstream(File.path()) << validEntry();
  EXPECT_TRUE(settings::loadEntry(File.path()).ok());
}

// Guards against a process that silently ignores a wrong setting and starts.
TEST(Settings, ErrorNamesFileAndKey) {
  struct Case {
    const char *m_key;
    base::Json m_value;
  };
  const standin::TempFile File("settings.json");
  for (const Case &C : {Case{"leaderTimoutMs", 5}, Case{"leaderTimeoutMs", "5"},
                        Case{"leaderTimeoutMs", 0}, Case{"logService", "x"},
                        Case{"meshAdvertise", "127.0.0.1:0"},
                        Case{"httpListen", "127.0.0.1:70000"}}) {
    base::Json J = validEntry();
    J[C.m_key] = C.m_value;
    std::ofstream(File.path()) << J;
    const auto Loaded = settings::loadEntry(File.path());
    ASSERT_FALSE(Loaded.ok()) << C.m_key;
    EXPECT_EQ(Loaded.error().m_kind, base::ErrorKind::BadSettings);
    EXPECT_NE(Loaded.error().m_message.find(C.m_key), std::string::npos);
    EXPECT_NE(Loaded.error().m_message.find(File.path()), std::string::npos);
  }
}
