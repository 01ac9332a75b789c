#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>

namespace pomelokeel::base {

using Json = nlohmann::json;

/// Deepest nesting of arrays and objects that the parsers below accept. Copying
/// and dumping a Json recurse; 120,000 levels overflowed the default stack.
constexpr int MaxNesting = 256;

/// Deepest nesting of data from callers and workers (payloads, answers,
/// checkpoints). Smaller than MaxNesting, so that the records, snapshots and
/// messages that contain such data stay within MaxNesting.
constexpr int MaxPayloadNesting = 64;

/// Deepest nesting of a record on the log. Smaller than MaxNesting, so that
/// messages and snapshots that contain the record stay within MaxNesting.
constexpr int MaxRecordNesting = 128;

/// Parses JSON text. Returns a discarded value (is_discarded()) if the text is
/// invalid, nested deeper than MaxNesting or has more than \p MaxSeparators
/// commas and opening brackets outside of strings, of which there is at least
/// one for each value.
Json parseJson(
    std::string_view Text,
    std::size_t MaxSeparators = std::numeric_limits<std::size_t>::max());

/// Like parseJson(), but an element of a list that cannot be read is null. The
/// lists are the text itself or the members of the object that it is. For lists
/// to which other programs add elements.
Json parseJsonLists(std::string_view Text);

/// Parses \p Size bytes of msgpack. Returns a discarded value (is_discarded())
/// if they are invalid, nested deeper than MaxNesting or have more than
/// \p MaxValues values.
Json parseMsgpack(
    const std::uint8_t *Data, std::size_t Size,
    std::size_t MaxValues = std::numeric_limits<std::size_t>::max());

/// Returns the number \p J without its fraction, or std::nullopt if it is no
/// number or not from \p Min to \p Max.
std::optional<std::int64_t> integerIn(const Json &J, std::int64_t Min,
                                      std::int64_t Max);

/// Returns true if the arrays and objects in \p J are nested more than \p
/// Levels deep. A scalar has depth 0, an empty array or object depth 1.
bool nestedDeeperThan(const Json &J, int Levels);

/// Serialises \p J as JSON text on one line. Invalid UTF-8 is replaced by
/// U+FFFD.
std::string dumpJson(const Json &J);

} // namespace pomelokeel::base
