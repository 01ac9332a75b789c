#include "base/error.h"
#include "node/settings.h"
#include "settings/settings.h"

#include <fmt/core.h>

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <regex>
#include <sstream>

using namespace pomelokeel;

namespace {

std::string readPage(const std::string &Name) {
  std::ifstream In(std::string(POMELOKEEL_SOURCE_DIR) + "/docs/" + Name);
  std::stringstream Text;
  Text << In.rdbuf();
  return Text.str();
}

// Expects that the section of OPERATORS.md under Heading has a table row with
// the name and the default value of each field of S.
template <typename S> void expectRows(const std::string &Heading) {
  const std::string Page = readPage("OPERATORS.md");
  const auto Begin = Page.find(Heading);
  ASSERT_NE(Begin, std::string::npos);
  const std::string Section =
      Page.substr(Begin, Page.find("\n## ", Begin + 1) - Begin);
  const base::Json Defaults = base::encode(S());
  const auto Expect = [&](const auto &F) {
    const std::string Default = F.m_presence == base::Presence::Required
                                    ? "required"
                                    : Defaults[F.m_name].dump();
    EXPECT_NE(Section.find(fmt::format("| `{}` | {} |", F.m_name, Default)),
              std::string::npos)
        << F.m_name << " with " << Default;
  };
  std::apply([&](const auto &...F) { (Expect(F), ...); }, S::fields());
}

} // namespace

// Guards against documented settings that differ from the code.
TEST(Docs, SettingsReferenceMatchesTheCode) {
  expectRows<settings::EntrySettings>("## Settings of `pomelokeel entry`");
  expectRows<settings::AgentSettings>("## Settings of `pomelokeel agent`");
  expectRows<node::Settings>("## Settings of `pomelokeel platform`");
  expectRows<node::Bounds>("### Bounds of `pomelokeel platform`");
  expectRows<node::CallerLimits>("### Caller limits of `pomelokeel platform`");
}

// Guards against log events that OPERATIONS.md does not explain.
TEST(Docs, EachEventIsExplained) {
  const std::string Page = readPage("OPERATIONS.md");
  const std::regex Event("(?:event|record|m_event)\\(\\s*\"([a-zA-Z]+)\"");
  int Found = 0;
  for (const char *Folder : {"src/batch", "src/node", "platform"}) {
    for (const auto &File : std::filesystem::directory_iterator(
             std::string(POMELOKEEL_SOURCE_DIR) + "/" + Folder)) {
      std::ifstream In(File.path());
      std::stringstream Text;
      Text << In.rdbuf();
      const std::string Source = Text.str();
      for (std::sregex_iterator It(Source.begin(), Source.end(), Event), End;
           It != End; ++It, ++Found)
        EXPECT_NE(Page.find("`" + (*It)[1].str() + "`"), std::string::npos)
            << (*It)[1];
    }
  }
  EXPECT_GT(Found, 30);
}

TEST(Docs, ErrorPageMatchesTheTable) {
  const std::string Page = readPage("ERRORS.md");
  const auto YesNo = [](bool Value) { return Value ? "yes" : "no"; };
  for (int I = 0; I <= static_cast<int>(base::ErrorKind::Internal); ++I) {
    const auto &Row = base::errorInfo(static_cast<base::ErrorKind>(I));
    const std::string Line =
        fmt::format("| `{}` | {} | {} | {} | {} | {} |", Row.m_name,
                    Row.m_httpStatus, Row.m_exitCode, YesNo(Row.m_notRun),
                    YesNo(Row.m_retryable), Row.m_advice);
    EXPECT_NE(Page.find(Line), std::string::npos) << Line;
  }
}
