#include "base/json.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace pomelokeel::base {
namespace {

// A SAX handler that stops the parser at data nested deeper than MaxNesting or
// with too many values. The msgpack reader recurses, so a check after parsing
// would come after the stack overflow.
class NestingChecker : public nlohmann::json_sax<Json> {
public:
  explicit NestingChecker(std::size_t MaxValues) : m_valuesLeft(MaxValues) {}

  bool null() override { return count(); }
  bool boolean(bool) override { return count(); }
  bool number_integer(number_integer_t) override { return count(); }
  bool number_unsigned(number_unsigned_t) override { return count(); }
  bool number_float(number_float_t, const string_t &) override {
    return count();
  }
  bool string(string_t &) override { return count(); }
  bool binary(binary_t &) override { return count(); }
  bool start_object(std::size_t) override { return enter(); }
  bool key(string_t &) override { return true; }
  bool end_object() override { return leave(); }
  bool start_array(std::size_t) override { return enter(); }
  bool end_array() override { return leave(); }
  bool parse_error(std::size_t, const std::string &,
                   const nlohmann::detail::exception &) override {
    return false;
  }

private:
  bool count() { return m_valuesLeft-- > 0; }
  bool enter() { return count() && ++m_levels <= MaxNesting; }
  bool leave() {
    --m_levels;
    return true;
  }

  std::size_t m_valuesLeft;
  int m_levels = 0;
};

// Replaces the elements of lists that cannot be read by null. It finds their
// ends by brackets and quotes alone and does not recurse.
std::string replaceUnreadable(std::string_view Text) {
  std::string Out;
  std::string Opened; // The two outermost brackets that are open.
  std::size_t Level = 0;
  std::size_t Copied = 0;
  bool InString = false;
  const auto InList = [&] {
    return Level > 0 && Level == Opened.size() && Opened.back() == '[' &&
           (Level == 1 || Opened.front() == '{');
  };
  for (std::size_t I = 0; I < Text.size(); ++I) {
    const char C = Text[I];
    if (InString && C == '\\')
      ++I;
    else if (C == '"')
      InString = !InString;
    if (InString || C == '"')
      continue;
    if ((C == ',' || C == ']') && InList()) {
      const std::string_view Element = Text.substr(Copied, I - Copied);
      const bool Blank =
          Element.find_first_not_of(" \t\r\n") == std::string_view::npos;
      Out += Blank || !parseJson(Element).is_discarded() ? Element : "null";
      Copied = I;
    }
    const bool Closes = C == ']' || C == '}';
    if (C == '[' || C == '{') {
      if (++Level <= 2)
        Opened += C;
    } else if (Closes) {
      if (Level == 0)
        break;
      if (--Level < Opened.size())
        Opened.pop_back();
    } else if (C != ',') {
      continue;
    }
    // An element of a list is copied at its end only.
    if (Closes ? Level < 2 && !InList() : InList()) {
      Out += Text.substr(Copied, I + 1 - Copied);
      Copied = I + 1;
    }
  }
  Out += Text.substr(std::min(Copied, Text.size()));
  return Out;
}

// Returns true if the text up to its first error has more than MaxLevels levels
// of arrays and objects or more than MaxSeparators commas and opening brackets.
bool exceeds(std::string_view Text, int MaxLevels, std::size_t MaxSeparators) {
  int Level = 0;
  std::size_t Separators = 0;
  bool InString = false;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    const char C = Text[I];
    if (InString) {
      if (C == '\\')
        ++I;
      else if (C == '"')
        InString = false;
      continue;
    }
    switch (C) {
    case '"':
      InString = true;
      break;
    case '[':
    case '{':
      ++Separators;
      if (++Level > MaxLevels)
        return true;
      break;
    case ']':
    case '}':
      --Level;
      break;
    case ',':
      ++Separators;
      break;
    default:
      break;
    }
  }
  return Separators > MaxSeparators;
}

Json discarded() { return Json(Json::value_t::discarded); }

} // namespace

Json parseJson(std::string_view Text, std::size_t MaxSeparators) {
  // The parser's own callback is no way to stop it: with a callback it searches
  // the enclosing array at each end of an element, and 262,144 bytes of empty
  // objects took seconds.
  return exceeds(Text, MaxNesting, MaxSeparators)
             ? discarded()
             : Json::parse(Text, nullptr, false);
}

Json parseJsonLists(std::string_view Text) {
  Json J = parseJson(Text);
  return J.is_discarded() ? parseJson(replaceUnreadable(Text)) : J;
}

Json parseMsgpack(const std::uint8_t *Data, std::size_t Size,
                  std::size_t MaxValues) {
  NestingChecker Checker(MaxValues);
  if (!Json::sax_parse(Data, Data + Size, &Checker,
                       Json::input_format_t::msgpack))
    return discarded();
  return Json::from_msgpack(Data, Data + Size, true, false);
}

std::optional<std::int64_t> integerIn(const Json &J, std::int64_t Min,
                                      std::int64_t Max) {
  std::int64_t Out = 0;
  if (J.is_number_unsigned()) {
    const auto Wide = J.get<std::uint64_t>();
    if (!std::in_range<std::int64_t>(Wide))
      return std::nullopt;
    Out = static_cast<std::int64_t>(Wide);
  } else if (J.is_number_integer()) {
    Out = J.get<std::int64_t>();
  } else if (J.is_number_float()) {
    // The conversion of a double from 2^63 on, or of NaN, is undefined.
    constexpr double Limit = 0x1p63;
    const double Wide = std::trunc(J.get<double>());
    if (!(Wide >= -Limit && Wide < Limit))
      return std::nullopt;
    Out = static_cast<std::int64_t>(Wide);
  } else {
    return std::nullopt;
  }
  return Out >= Min && Out <= Max ? std::optional(Out) : std::nullopt;
}

bool nestedDeeperThan(const Json &J, int Levels) {
  if (!J.is_structured())
    return false;
  return Levels <= 0 ||
         std::any_of(J.begin(), J.end(), [&](const Json &Element) {
           return nestedDeeperThan(Element, Levels - 1);
         });
}

std::string dumpJson(const Json &J) {
  return J.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace pomelokeel::base
