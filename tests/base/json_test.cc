#include "base/json.h"

#include <gtest/gtest.h>

#include <cmath>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <vector>

using namespace pomelokeel::base;

namespace {

std::string nestedText(int Levels) {
  return std::string(Levels, '[') + std::string(Levels, ']');
}

} // namespace

// Guards against stack overflow on deeply nested JSON: a request of 240 KB
// overflowed the stack of the process that parsed it.
TEST(Json, RejectsDeeplyNestedText) {
  EXPECT_FALSE(parseJson(nestedText(MaxNesting)).is_discarded());
  EXPECT_TRUE(parseJson(nestedText(MaxNesting + 1)).is_discarded());
  EXPECT_TRUE(parseJson(nestedText(1000000)).is_discarded());
  EXPECT_TRUE(parseJson(std::string(1000000, '{')).is_discarded());
  EXPECT_TRUE(parseJson("[1,").is_discarded());
}

// Guards against stack overflow in the msgpack reader, which recurses and needs
// only one byte of input per level.
TEST(Json, RejectsDeeplyNestedMsgpack) {
  const auto Fits = Json::to_msgpack(parseJson(nestedText(MaxNesting)));
  EXPECT_FALSE(parseMsgpack(Fits.data(), Fits.size()).is_discarded());
  const std::vector<std::uint8_t> Deep(1000000, 0x91);
  EXPECT_TRUE(parseMsgpack(Deep.data(), Deep.size()).is_discarded());
  const std::vector<std::uint8_t> DeepMaps(1000000, 0x81);
  EXPECT_TRUE(parseMsgpack(DeepMaps.data(), DeepMaps.size()).is_discarded());
}

// Guards against the memory of very many short values: an empty array takes one
// byte of msgpack and 80 bytes once parsed.
TEST(Json, NumbersOfValuesAndSeparatorsAreLimited) {
  const auto Bytes = Json::to_msgpack(parseJson("[[],[],{\"a\":1}]"));
  constexpr std::size_t Values = 5;
  EXPECT_FALSE(parseMsgpack(Bytes.data(), Bytes.size(), Values).is_discarded());
  EXPECT_TRUE(
      parseMsgpack(Bytes.data(), Bytes.size(), Values - 1).is_discarded());
  const std::string Text = R"([1,"a,[{\",",{"b":[]}])";
  constexpr std::size_t Separators = 5;
  EXPECT_FALSE(parseJson(Text, Separators).is_discarded());
  EXPECT_TRUE(parseJson(Text, Separators - 1).is_discarded());
}

TEST(Json, NestingCountsArraysAndObjects) {
  EXPECT_FALSE(nestedDeeperThan(1, 0));
  EXPECT_TRUE(nestedDeeperThan(Json::array(), 0));
  EXPECT_FALSE(nestedDeeperThan(Json{{"a", 1}, {"b", Json{1}}}, 2));
  EXPECT_TRUE(nestedDeeperThan(Json{{"a", 1}, {"b", Json{1}}}, 1));
}

TEST(Json, DumpReplacesInvalidText) {
  EXPECT_EQ(dumpJson("a\xff"), "\"a\xEF\xBF\xBD\"");
}

// Guards against conversions that are undefined or truncate: numbers beyond the
// range of the result.
TEST(Json, IntegersOutOfRangeAreNotConverted) {
  constexpr std::int64_t Max = std::numeric_limits<std::int64_t>::max();
  constexpr std::int64_t Min = std::numeric_limits<std::int64_t>::min();
  for (const char *Text :
       {"1e300", "-1e300", "9223372036854775808", "18446744073709551615",
        "9.3e18", "99999999999999999999", "\"1\"", "null", "true", "[]"})
    EXPECT_EQ(integerIn(parseJson(Text), Min, Max), std::nullopt) << Text;
  EXPECT_EQ(integerIn(std::nan(""), Min, Max), std::nullopt);
  EXPECT_EQ(integerIn(parseJson("9223372036854775807"), Min, Max), Max);
  EXPECT_EQ(integerIn(parseJson("-9223372036854775808"), Min, Max), Min);
  EXPECT_EQ(integerIn(parseJson("41.9"), 0, 100), 41);
  EXPECT_EQ(integerIn(parseJson("101"), 0, 100), std::nullopt);
  EXPECT_EQ(integerIn(parseJson("-1"), 0, 100), std::nullopt);
}

// Guards against an element of a list that makes the whole list unreadable.
TEST(Json, AnElementOfAListThatCannotBeReadIsNull) {
  const std::string Deep = std::string(100000, '[') + std::string(100000, ']');
  const std::string DeepMaps = [] {
    std::string Out;
    for (int I = 0; I < 100000; ++I)
      Out += "{\"a\":";
    return Out + "1" + std::string(100000, '}');
  }();
  for (const std::string &Odd :
       {Deep, DeepMaps, std::string("[1e999]"), std::string("NaN"),
        std::string("[-Infinity,\"]\"]"), std::string("\"\xff\xfe,[\""),
        std::string("[\"\\ud800\"]"), std::string("\"\x01\""),
        std::string("{7:1}"), std::string("odd"), std::string("\"\\x\\\"\"")}) {
    const Json Wanted = {
        {"n", 1}, {"l", {{"a", 1}, nullptr, "b,]"}}, {"m", {2}}};
    EXPECT_EQ(parseJsonLists(R"({"n":1,"l":[ ["a",1] ,)" + Odd +
                             R"(, "b,]"],"m":[2]})"),
              Wanted)
        << Odd.substr(0, 80);
    EXPECT_EQ(parseJsonLists("[1," + Odd + "]"), (Json{1, nullptr}))
        << Odd.substr(0, 80);
  }
  EXPECT_EQ(parseJsonLists("[]"), Json::array());
  EXPECT_EQ(parseJsonLists(R"({"l":[]})"), (Json{{"l", Json::array()}}));
  for (const char *Text : {"", "[", "]", "[1,]", "{\"a\":1e999}", "[1]]", "{]",
                           "[\"", "[\"\\", "\xff", "[1}"})
    EXPECT_TRUE(parseJsonLists(Text).is_discarded()) << Text;
  EXPECT_TRUE(parseJsonLists(std::string(100000, '[')).is_discarded());
}

TEST(Json, ANumberBeyondTheRangeOfADoubleIsNotValid) {
  EXPECT_TRUE(parseJson("[1e999]").is_discarded());
}
