#include "base/compact.h"

#include <gtest/gtest.h>

using namespace pomelokeel::base;

namespace {

enum class Colour { Red, Green };

} // namespace

namespace pomelokeel::base {
template <> struct NameTable<Colour> {
  static constexpr std::array<std::string_view, 2> Names = {"red", "green"};
};
} // namespace pomelokeel::base

namespace {

struct Inner {
  int m_count = 3;
  std::string m_text;

  static constexpr auto fields() {
    return std::tuple{optional("count", &Inner::m_count),
                      optional("text", &Inner::m_text)};
  }
};

struct Outer {
  std::string m_name;
  Colour m_colour = Colour::Green;
  std::vector<Inner> m_inner;
  std::optional<int> m_limit;

  static constexpr auto fields() {
    return std::tuple{
        required("name", &Outer::m_name), optional("colour", &Outer::m_colour),
        optional("inner", &Outer::m_inner), optional("limit", &Outer::m_limit)};
  }
};

Status decodeText(const char *Text, Outer &Out) {
  return decodeCompact(parseJson(Text), "", Out);
}

} // namespace

// Guards against omitting a value that differs from the default. The default is
// the initializer of the member, not the zero value of its type.
TEST(Compact, OmitsOnlyTrailingDefaults) {
  EXPECT_EQ(encodeCompact(Outer{}).dump(), R"([""])");
  EXPECT_EQ(encodeCompact(Outer{"a", Colour::Red, {}, {}}).dump(),
            R"(["a",0])");
  const Outer Full{"a", Colour::Green, {{0, ""}, {3, "x"}, {}}, 0};
  const Json J = encodeCompact(Full);
  EXPECT_EQ(J.dump(), R"(["a",1,[[0],[3,"x"],[]],0])");
  Outer Out;
  ASSERT_TRUE(decodeCompact(J, "", Out).ok());
  EXPECT_EQ(Out.m_inner.at(0).m_count, 0);
  EXPECT_EQ(Out.m_inner.at(2).m_count, 3);
  EXPECT_EQ(Out.m_limit, 0);
}

// Guards against decoding a damaged message as if it were a valid one.
TEST(Compact, RejectsInvalidInput) {
  Outer Out;
  EXPECT_EQ(decodeText("{}", Out).error().m_kind, ErrorKind::WrongType);
  EXPECT_EQ(decodeText("[]", Out).error().m_kind, ErrorKind::BadRequest);
  EXPECT_EQ(decodeText(R"(["a",2])", Out).error().m_kind,
            ErrorKind::OutOfRange);
  EXPECT_EQ(decodeText(R"(["a",-1])", Out).error().m_kind,
            ErrorKind::OutOfRange);
  EXPECT_EQ(decodeText(R"(["a",1,[["x"]]])", Out).error().m_message,
            "\"inner[0].count\" must be an integer");
}

// Guards against failures during a rolling upgrade: a process must be able to
// decode messages from a newer version, which has appended optional fields, and
// from an older version, which lacks them.
TEST(Compact, DecodesOlderAndNewerVersions) {
  Outer Out;
  ASSERT_TRUE(decodeText(R"(["a",1,[[4,"x",true]],7,"later"])", Out).ok());
  EXPECT_EQ(Out.m_inner.at(0).m_text, "x");
  EXPECT_EQ(Out.m_limit, 7);
  Outer Older;
  ASSERT_TRUE(decodeText(R"(["a"])", Older).ok());
  EXPECT_EQ(Older.m_colour, Colour::Green);
}
