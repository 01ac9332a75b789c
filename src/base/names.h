#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace pomelokeel::base {

/// Specialise for an enumeration whose values count from 0 without gaps:
/// `static constexpr std::array Names = {"a", "b"}` in enumeration order.
template <typename E> struct NameTable;

/// Returns the name of \p Value.
template <typename E> constexpr std::string_view nameOf(E Value) {
  return NameTable<E>::Names[static_cast<std::size_t>(Value)];
}

/// Returns the value named \p Name, if there is one.
template <typename E>
constexpr std::optional<E> fromName(std::string_view Name) {
  for (std::size_t I = 0; I < NameTable<E>::Names.size(); ++I) {
    if (NameTable<E>::Names[I] == Name)
      return static_cast<E>(I);
  }
  return std::nullopt;
}

/// True for enumerations with a NameTable.
template <typename E>
concept Named = requires {
  NameTable<E>::Names.size();
};

} // namespace pomelokeel::base
