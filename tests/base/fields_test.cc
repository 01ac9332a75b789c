#include "base/fields.h"

#include <gtest/gtest.h>

using namespace pomelokeel::base;

namespace {

struct Inner {
  int m_size = 0;
  static constexpr auto fields() {
    return std::tuple{required("size", &Inner::m_size)};
  }
};

struct Outer {
  std::string m_name;
  std::vector<Inner> m_list;
  std::optional<ErrorKind> m_kind;
  static constexpr auto fields() {
    return std::tuple{required("name", &Outer::m_name),
                      optional("list", &Outer::m_list),
                      optional("kind", &Outer::m_kind)};
  }
};

} // namespace

TEST(Fields, RoundTripKeepsEveryField) {
  const Outer In{"a", {{1}, {2}}, ErrorKind::QueueFull};
  const auto Out = parse<Outer>(encode(In).dump());
  ASSERT_TRUE(Out.ok());
  EXPECT_EQ(encode(*Out), encode(In));
}

// Guards against silently ignoring a misspelt key in settings and records.
TEST(Fields, UnknownFieldIsNamedByPath) {
  const auto Out = parse<Outer>(R"({"name":"a","list":[{"size":1,"sise":2}]})");
  ASSERT_FALSE(Out.ok());
  EXPECT_EQ(Out.error().m_kind, ErrorKind::UnknownField);
  EXPECT_NE(Out.error().m_message.find("list[0].sise"), std::string::npos);
}

TEST(Fields, MissingAndWrongTypesAreErrors) {
  EXPECT_EQ(parse<Outer>("{}").error().m_kind, ErrorKind::BadRequest);
  EXPECT_EQ(parse<Outer>(R"({"name":1})").error().m_kind, ErrorKind::WrongType);
  EXPECT_EQ(parse<Outer>(R"({"name":"a","list":[{"size":3000000000}]})")
                .error()
                .m_kind,
            ErrorKind::OutOfRange);
  EXPECT_EQ(parse<Outer>("{").error().m_kind, ErrorKind::BadRequest);
}

TEST(ErrorTable, EveryKindHasADistinctName) {
  for (int I = 0; I <= static_cast<int>(ErrorKind::Internal); ++I) {
    const auto Kind = static_cast<ErrorKind>(I);
    EXPECT_EQ(errorKindFromName(errorInfo(Kind).m_name), Kind);
  }
}
