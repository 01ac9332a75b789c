#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace pomelokeel::base {

using Json = nlohmann::json;

/// Deepest nesting of arrays and objects that the parsers below accept. Copying
/// and dumping a Json recurse; 120,000 levels overflowed the default stack.
constexpr int MaxNesting = 256;

/// Deepest nesting of what callers and workers supply (payloads, answers,
/// checkpoints), so that records, snapshots and messages around it stay within
/// MaxNesting.
constexpr int MaxPayloadNesting = 64;

/// Deepest nesting of a record on the log, for the same reason.
constexpr int MaxRecordNesting = 128;

/// Parses JSON text. Discarded if not valid or nested too deeply.
Json parseJson(std::string_view Text);

/// Parses msgpack. Discarded if not valid or nested too deeply.
Json parseMsgpack(const std::uint8_t *Data, std::size_t Size);

/// True if arrays and objects in \p J are nested in more than \p Levels.
bool nestedDeeperThan(const Json &J, int Levels);

/// Dumps \p J, with invalid UTF-8 replaced.
std::string dumpJson(const Json &J);

} // namespace pomelokeel::base
