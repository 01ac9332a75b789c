#pragma once

#include "base/fields.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cstdint>
#include <limits>
#include <string>
#include <vector>

namespace pomelokeel::model::detail {

using base::Json;

/// Returns a random value whose type or range a field may not accept.
inline Json unexpectedValue() {
  const std::vector<Json> Values = {nullptr,
                                    true,
                                    0,
                                    -1,
                                    std::numeric_limits<std::int64_t>::min(),
                                    std::numeric_limits<std::uint64_t>::max(),
                                    1e308,
                                    "",
                                    "text",
                                    std::string(300, 'x'),
                                    Json::array(),
                                    Json::object(),
                                    Json::array({Json::array({1}), nullptr}),
                                    Json{{"", 1}}};
  return *rc::gen::elementOf(Values);
}

/// Changes one place in \p J, chosen at random.
inline void mutate(Json &J) {
  const bool Here =
      !J.is_structured() || J.empty() || *rc::gen::inRange(0, 4) == 0;
  if (Here) {
    J = unexpectedValue();
    return;
  }
  auto It = J.begin();
  std::advance(It, *rc::gen::inRange<std::size_t>(0, J.size()));
  const int Kind = *rc::gen::inRange(0, 6);
  if (Kind == 0)
    J.erase(It);
  else if (Kind == 1 && J.is_object())
    J["odd" + std::to_string(*rc::gen::inRange(0, 9))] = unexpectedValue();
  else if (Kind == 1)
    J.push_back(unexpectedValue());
  else
    mutate(*It);
}

/// Returns true if \p E quotes the path of a field. For a \p Document that is
/// not an object, an empty path suffices.
inline bool namesAField(const base::Error &E, const Json &Document) {
  const auto Open = E.m_message.find('"');
  const auto Close = E.m_message.find('"', Open + 1);
  return Close != std::string::npos &&
         (Close > Open + 1 || !Document.is_object());
}

/// Checks that decoding mutations of \p Sample never crashes, that errors name
/// a field, and that accepted values are the same after encoding and decoding.
template <typename T> void checkMutations(const T &Sample) {
  const Json Valid = base::encode(Sample);
  const bool Passed = rc::check([&] {
    Json J = Valid;
    const int Count = *rc::gen::inRange(1, 4);
    for (int I = 0; I < Count; ++I)
      mutate(J);
    const auto Decoded = base::parse<T>(J.dump());
    if (!Decoded) {
      RC_ASSERT(namesAField(Decoded.error(), J));
      return;
    }
    const Json Again = base::encode(*Decoded);
    const auto Second = base::parse<T>(Again.dump());
    RC_ASSERT(Second.ok());
    RC_ASSERT(base::encode(*Second) == Again);
  });
  EXPECT_TRUE(Passed);
}

/// Overwrites or inserts some bytes of \p Bytes, or truncates it.
template <typename Container> void mutateBytes(Container &Bytes) {
  const int Count = *rc::gen::inRange(1, 6);
  for (int I = 0; I < Count && !Bytes.empty(); ++I) {
    const auto At = *rc::gen::inRange<std::size_t>(0, Bytes.size());
    const auto Byte =
        static_cast<typename Container::value_type>(*rc::gen::inRange(0, 256));
    const int Kind = *rc::gen::inRange(0, 8);
    if (Kind == 0)
      Bytes.resize(At);
    else if (Kind == 1)
      Bytes.insert(Bytes.begin() + static_cast<std::ptrdiff_t>(At), Byte);
    else
      Bytes[At] = Byte;
  }
}

/// Checks that decoding damaged JSON text of \p Sample never crashes, that
/// errors have a message, and that accepted values can be encoded and decoded
/// again.
template <typename T> void checkTextMutations(const T &Sample) {
  const std::string Valid = base::encode(Sample).dump();
  const bool Passed = rc::check([&] {
    std::string Text = Valid;
    mutateBytes(Text);
    const auto Decoded = base::parse<T>(Text);
    RC_ASSERT((Decoded.ok() || !Decoded.error().m_message.empty()));
    if (Decoded)
      RC_ASSERT(base::parse<T>(base::encode(*Decoded).dump()).ok());
  });
  EXPECT_TRUE(Passed);
}

} // namespace pomelokeel::model::detail
