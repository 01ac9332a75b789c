#pragma once

#include "base/error.h"
#include "base/json.h"
#include "base/names.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <type_traits>
#include <utility>
#include <vector>

namespace pomelokeel::base {

// ErrorKind has no NameTable: its names are in the error table (error.cc).
template <> inline std::string_view nameOf<ErrorKind>(ErrorKind Value) {
  return errorInfo(Value).m_name;
}
template <>
inline std::optional<ErrorKind> fromName<ErrorKind>(std::string_view Name) {
  return errorKindFromName(Name);
}

/// Whether decode() fails if the field is missing.
enum class Presence { Required, Optional };

/// One row of a field table: maps a JSON name to a member. If an optional field
/// is missing, decode() leaves the member unchanged.
template <typename S, typename T> struct Field {
  const char *m_name;
  T S::*m_member;
  Presence m_presence = Presence::Optional;
};

/// Returns a row for a field that must be present.
template <typename S, typename T>
constexpr Field<S, T> required(const char *Name, T S::*Member) {
  return {Name, Member, Presence::Required};
}

/// Returns a row for a field that may be missing.
template <typename S, typename T>
constexpr Field<S, T> optional(const char *Name, T S::*Member) {
  return {Name, Member, Presence::Optional};
}

/// Satisfied by structs with a field table: a member function `static constexpr
/// auto fields()` that returns a std::tuple of Field rows.
template <typename S>
concept HasFields = requires {
  S::fields();
};

template <typename T> Json encode(const T &Value);
template <typename T>
Status decode(const Json &J, const std::string &Path, T &Out);

namespace detail {

template <typename T> struct IsVector : std::false_type {};
template <typename T> struct IsVector<std::vector<T>> : std::true_type {};
template <typename T> struct IsOptional : std::false_type {};
template <typename T> struct IsOptional<std::optional<T>> : std::true_type {};
template <typename T> struct IsStringMap : std::false_type {};
template <typename T>
struct IsStringMap<std::map<std::string, T>> : std::true_type {};

inline Error wrongType(const std::string &Path, const char *Expected) {
  return {ErrorKind::WrongType, "\"" + Path + "\" must be " + Expected};
}

/// Returns the path of the field \p Name within \p Path, such as `spec.count`.
inline std::string joinPath(const std::string &Path, const std::string &Name) {
  return Path.empty() ? Name : Path + "." + Name;
}

template <typename T>
Status decodeNumber(const Json &J, const std::string &Path, T &Out) {
  if constexpr (std::is_floating_point_v<T>) {
    if (!J.is_number())
      return wrongType(Path, "a number");
    Out = J.get<T>();
    return success();
  } else {
    if (!J.is_number_integer())
      return wrongType(Path, "an integer");
    if (J.is_number_unsigned()) {
      const auto Wide = J.get<std::uint64_t>();
      if (!std::in_range<T>(Wide))
        return Error{ErrorKind::OutOfRange, "\"" + Path + "\" is out of range"};
      Out = static_cast<T>(Wide);
      return success();
    }
    const auto Wide = J.get<std::int64_t>();
    if (!std::in_range<T>(Wide))
      return Error{ErrorKind::OutOfRange, "\"" + Path + "\" is out of range"};
    Out = static_cast<T>(Wide);
    return success();
  }
}

template <typename S>
Status decodeStruct(const Json &J, const std::string &Path, S &Out) {
  if (!J.is_object())
    return wrongType(Path, "an object");
  std::set<std::string> Known;
  Status Outcome = success();
  auto DecodeField = [&](const auto &F) {
    Known.insert(F.m_name);
    if (!Outcome.ok())
      return;
    const auto It = J.find(F.m_name);
    if (It != J.end()) {
      Outcome = decode(*It, joinPath(Path, F.m_name), Out.*(F.m_member));
      return;
    }
    if (F.m_presence == Presence::Required)
      Outcome = Error{ErrorKind::BadRequest,
                      "\"" + joinPath(Path, F.m_name) + "\" is missing"};
  };
  std::apply([&](const auto &...F) { (DecodeField(F), ...); }, S::fields());
  if (!Outcome.ok())
    return Outcome;
  for (const auto &Item : J.items()) {
    if (!Known.contains(Item.key()))
      return Error{ErrorKind::UnknownField, "\"" + joinPath(Path, Item.key()) +
                                                "\" is not a known field"};
  }
  return success();
}

} // namespace detail

/// Encodes \p Value as JSON. Supports structs with field tables, enumerations
/// with names, vectors, optionals, maps with string keys, strings, numbers and
/// booleans. Members that encode to null, such as empty optionals, are omitted.
template <typename T> Json encode(const T &Value) {
  if constexpr (HasFields<T>) {
    Json Out = Json::object();
    auto EncodeField = [&](const auto &F) {
      Json J = encode(Value.*(F.m_member));
      if (!J.is_null())
        Out[F.m_name] = std::move(J);
    };
    std::apply([&](const auto &...F) { (EncodeField(F), ...); }, T::fields());
    return Out;
  } else if constexpr (std::is_enum_v<T>) {
    return std::string(nameOf(Value));
  } else if constexpr (detail::IsOptional<T>::value) {
    return Value ? encode(*Value) : Json();
  } else if constexpr (detail::IsVector<T>::value) {
    Json Out = Json::array();
    for (const auto &Element : Value)
      Out.push_back(encode(Element));
    return Out;
  } else if constexpr (detail::IsStringMap<T>::value) {
    Json Out = Json::object();
    for (const auto &[Key, Element] : Value)
      Out[Key] = encode(Element);
    return Out;
  } else {
    return Json(Value);
  }
}

/// Decodes \p J into \p Out. Errors: unknownField, wrongType, outOfRange,
/// badRequest (missing field). The message names the field by its path, which
/// starts with \p Path.
template <typename T>
Status decode(const Json &J, const std::string &Path, T &Out) {
  if constexpr (std::is_same_v<T, Json>) {
    Out = J;
    return success();
  } else if constexpr (HasFields<T>) {
    return detail::decodeStruct(J, Path, Out);
  } else if constexpr (std::is_enum_v<T>) {
    if (!J.is_string())
      return detail::wrongType(Path, "a string");
    const auto Parsed = fromName<T>(J.template get<std::string>());
    if (!Parsed)
      return Error{ErrorKind::OutOfRange,
                   "\"" + Path + "\" has unknown value \"" +
                       J.template get<std::string>() + "\""};
    Out = *Parsed;
    return success();
  } else if constexpr (detail::IsOptional<T>::value) {
    if (J.is_null()) {
      Out.reset();
      return success();
    }
    Out.emplace();
    return decode(J, Path, *Out);
  } else if constexpr (detail::IsVector<T>::value) {
    if (!J.is_array())
      return detail::wrongType(Path, "an array");
    Out.clear();
    Out.reserve(J.size());
    for (std::size_t I = 0; I < J.size(); ++I) {
      typename T::value_type Element{};
      if (auto S = decode(J[I], Path + "[" + std::to_string(I) + "]", Element);
          !S)
        return S;
      Out.push_back(std::move(Element));
    }
    return success();
  } else if constexpr (detail::IsStringMap<T>::value) {
    if (!J.is_object())
      return detail::wrongType(Path, "an object");
    Out.clear();
    for (const auto &Item : J.items()) {
      typename T::mapped_type Element{};
      if (auto S =
              decode(Item.value(), detail::joinPath(Path, Item.key()), Element);
          !S)
        return S;
      Out.emplace(Item.key(), std::move(Element));
    }
    return success();
  } else if constexpr (std::is_same_v<T, bool>) {
    if (!J.is_boolean())
      return detail::wrongType(Path, "true or false");
    Out = J.get<bool>();
    return success();
  } else if constexpr (std::is_same_v<T, std::string>) {
    if (!J.is_string())
      return detail::wrongType(Path, "a string");
    Out = J.get<std::string>();
    return success();
  } else {
    static_assert(std::is_arithmetic_v<T>);
    return detail::decodeNumber(J, Path, Out);
  }
}

/// Parses the JSON text \p Text and decodes it into a \p T. Errors are those of
/// decode(), and badRequest for text that is invalid or nested deeper than
/// MaxNesting.
template <typename T> Result<T> parse(std::string_view Text) {
  const Json J = parseJson(Text);
  if (J.is_discarded())
    return Error{ErrorKind::BadRequest, "not valid JSON"};
  T Out{};
  if (auto S = decode(J, "", Out); !S)
    return S.error();
  return Out;
}

} // namespace pomelokeel::base
