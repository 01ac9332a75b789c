#include "base/id.h"

#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid.hpp>
#include <fmt/format.h>
#include <xxhash.h>

namespace pomelokeel::base {

std::string randomId() {
  const auto Id = boost::uuids::random_generator_mt19937()();
  return fmt::format("{:02x}", fmt::join(Id.begin(), Id.end(), ""));
}

std::uint64_t stableHash(std::string_view Text) {
  return XXH3_64bits(Text.data(), Text.size());
}

} // namespace pomelokeel::base
