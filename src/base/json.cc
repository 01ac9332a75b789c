#include "base/json.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace pomelokeel::base {
namespace {

// A SAX handler that stops the parser at data nested deeper than MaxNesting.
// The msgpack reader recurses, so a check after parsing would come after the
// stack overflow.
class NestingChecker : public nlohmann::json_sax<Json> {
public:
  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t &) override { return true; }
  bool string(string_t &) override { return true; }
  bool binary(binary_t &) override { return true; }
  bool start_object(std::size_t) override { return ++m_levels <= MaxNesting; }
  bool key(string_t &) override { return true; }
  bool end_object() override { return leave(); }
  bool start_array(std::size_t) override { return ++m_levels <= MaxNesting; }
  bool end_array() override { return leave(); }
  bool parse_error(std::size_t, const std::string &,
                   const nlohmann::detail::exception &) override {
    return false;
  }

private:
  bool leave() {
    --m_levels;
    return true;
  }

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

Json discarded() { return Json(Json::value_t::discarded); }

} // namespace

Json parseJson(std::string_view Text) {
  bool TooDeep = false;
  Json J = Json::parse(
      Text,
      [&](int Levels, Json::parse_event_t Event, const Json &) {
        const bool Opens = Event == Json::parse_event_t::object_start ||
                           Event == Json::parse_event_t::array_start;
        TooDeep = TooDeep || (Opens && Levels >= MaxNesting);
        return !TooDeep;
      },
      false);
  return TooDeep ? discarded() : J;
}

Json parseJsonLists(std::string_view Text) {
  Json J = parseJson(Text);
  return J.is_discarded() ? parseJson(replaceUnreadable(Text)) : J;
}

Json parseMsgpack(const std::uint8_t *Data, std::size_t Size) {
  NestingChecker Checker;
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
