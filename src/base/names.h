#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace pomelokeel::base {

/// Names of the values of \p E. A specialisation defines
/// `static constexpr std::array Names = {"a", "b"}` in the order of the
/// enumeration, whose values must count from 0 without gaps.
template <typename E> struct NameTable;

/// Returns the name of \p Value, which must be a declared value of \p E.
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

/// Satisfied by enumerations with a NameTable.
template <typename E>
concept Named = requires {
  NameTable<E>::Names.size();
};

} // namespace pomelokeel::base
