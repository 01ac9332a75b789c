#pragma once

#include "base/fields.h"

#include <cstddef>
#include <string>
#include <tuple>
#include <utility>

namespace pomelokeel::base {

/// Encodes a struct with a field table as an array of its field values, in the
/// order of the table and without names. Trailing optional fields that have
/// their default values are omitted. Enumeration values become their index. Use
/// this encoding only for messages between processes, never for stored data.
template <typename T> Json encodeCompact(const T &Value);

/// Decodes the output of encodeCompact() into \p Out. Additional trailing
/// fields are ignored, because a newer version may have appended optional
/// fields to the table. Errors: wrongType, outOfRange, badRequest (missing
/// field). The message names the field by its path, which starts with \p Path.
template <typename T>
Status decodeCompact(const Json &J, const std::string &Path, T &Out);

namespace detail {

/// Encodes all fields, including trailing ones with default values.
template <typename S> Json encodeAllFields(const S &Value) {
  Json Out = Json::array();
  std::apply(
      [&](const auto &...F) {
        (Out.push_back(encodeCompact(Value.*(F.m_member))), ...);
      },
      S::fields());
  return Out;
}

/// Returns the number of fields up to and including the last required one. The
/// encoding never has fewer.
template <typename S> constexpr std::size_t minFieldCount() {
  std::size_t Last = 0;
  std::size_t Next = 0;
  std::apply(
      [&](const auto &...F) {
        ((++Next, Last = F.m_presence == Presence::Required ? Next : Last),
         ...);
      },
      S::fields());
  return Last;
}

template <typename S> Json encodeCompactStruct(const S &Value) {
  static const Json Defaults = encodeAllFields(S{});
  Json Out = encodeAllFields(Value);
  while (Out.size() > minFieldCount<S>() &&
         Out.back() == Defaults[Out.size() - 1])
    Out.erase(Out.size() - 1);
  return Out;
}

template <typename S>
Status decodeCompactStruct(const Json &J, const std::string &Path, S &Out) {
  if (!J.is_array())
    return wrongType(Path, "an array of fields");
  Status Outcome = success();
  std::size_t Next = 0;
  auto DecodeField = [&](const auto &F) {
    const std::size_t Index = Next++;
    if (!Outcome.ok())
      return;
    if (Index < J.size())
      Outcome =
          decodeCompact(J[Index], joinPath(Path, F.m_name), Out.*(F.m_member));
    else if (F.m_presence == Presence::Required)
      Outcome = Error{ErrorKind::BadRequest,
                      "\"" + joinPath(Path, F.m_name) + "\" is missing"};
  };
  std::apply([&](const auto &...F) { (DecodeField(F), ...); }, S::fields());
  return Outcome;
}

/// Decodes an enumeration value from its index.
template <typename E>
Status decodeEnumIndex(const Json &J, const std::string &Path, E &Out) {
  std::size_t Index = 0;
  if (auto S = decodeNumber(J, Path, Index); !S)
    return S;
  if (Index >= NameTable<E>::Names.size())
    return Error{ErrorKind::OutOfRange, "\"" + Path + "\" is out of range"};
  Out = static_cast<E>(Index);
  return success();
}

} // namespace detail

template <typename T> Json encodeCompact(const T &Value) {
  if constexpr (HasFields<T>) {
    return detail::encodeCompactStruct(Value);
  } else if constexpr (Named<T>) {
    return Json(static_cast<std::size_t>(Value));
  } else if constexpr (detail::IsOptional<T>::value) {
    return Value ? encodeCompact(*Value) : Json();
  } else if constexpr (detail::IsVector<T>::value) {
    Json Out = Json::array();
    for (const auto &Element : Value)
      Out.push_back(encodeCompact(Element));
    return Out;
  } else {
    return encode(Value);
  }
}

template <typename T>
Status decodeCompact(const Json &J, const std::string &Path, T &Out) {
  if constexpr (HasFields<T>) {
    return detail::decodeCompactStruct(J, Path, Out);
  } else if constexpr (Named<T>) {
    return detail::decodeEnumIndex(J, Path, Out);
  } else if constexpr (detail::IsOptional<T>::value) {
    if (J.is_null()) {
      Out.reset();
      return success();
    }
    Out.emplace();
    return decodeCompact(J, Path, *Out);
  } else if constexpr (detail::IsVector<T>::value) {
    if (!J.is_array())
      return detail::wrongType(Path, "an array");
    Out.clear();
    Out.reserve(J.size());
    for (std::size_t I = 0; I < J.size(); ++I) {
      typename T::value_type Element{};
      if (auto S = decodeCompact(J[I], Path + "[" + std::to_string(I) + "]",
                                 Element);
          !S)
        return S;
      Out.push_back(std::move(Element));
    }
    return success();
  } else {
    return decode(J, Path, Out);
  }
}

} // namespace pomelokeel::base
