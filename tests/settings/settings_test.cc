#include "settings/settings.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>

using namespace pomelokeel;

namespace {

std::string writeFile(const std::string &Text) {
  const std::string Path = testing::TempDir() + "settings_" +
                           base::nameOf(base::ErrorKind::BadSettings).data() +
                           std::to_string(std::hash<std::string>()(Text));
  std::ofstream(Path) << Text;
  return Path;
}

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
  EXPECT_TRUE(settings::loadEntry(writeFile(validEntry().dump())).ok());
}

// Guards against a process that silently ignores a wrong setting and starts.
TEST(Settings, ErrorNamesFileAndKey) {
  struct Case {
    const char *m_key;
    base::Json m_value;
  };
  for (const Case &C : {Case{"leaderTimoutMs", 5}, Case{"leaderTimeoutMs", "5"},
                        Case{"leaderTimeoutMs", 0}, Case{"logService", "x"},
                        Case{"meshAdvertise", "127.0.0.1:0"},
                        Case{"httpListen", "127.0.0.1:70000"}}) {
    base::Json J = validEntry();
    J[C.m_key] = C.m_value;
    const std::string File = writeFile(J.dump());
    const auto Loaded = settings::loadEntry(File);
    ASSERT_FALSE(Loaded.ok()) << C.m_key;
    EXPECT_EQ(Loaded.error().m_kind, base::ErrorKind::BadSettings);
    EXPECT_NE(Loaded.error().m_message.find(C.m_key), std::string::npos);
    EXPECT_NE(Loaded.error().m_message.find(File), std::string::npos);
  }
}
