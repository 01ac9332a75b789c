#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace pomelokeel::base {

/// Returns a random identifier of 128 bits as 32 hexadecimal digits.
std::string randomId();

/// Returns a 64-bit hash (XXH3) that is the same on every machine.
std::uint64_t stableHash(std::string_view Text);

} // namespace pomelokeel::base
