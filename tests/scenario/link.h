#pragma once

#include "base/error.h"

#include <cstdint>
#include <memory>
#include <string>

namespace pomelokeel::scenario {

/// What a cut does to bytes that are to pass from one region to another.
enum class Passage {
  Open,
  /// Bytes wait and pass after the heal, as TCP repeats them. Connections stay
  /// open; new ones are accepted and reach their target after the heal.
  Silent,
  /// Connections that were opened in this direction are reset, new ones too.
  Reset
};

/// The link between the regions of a scenario: forwards TCP connections on a
/// thread of its own. Thread-safe.
class RegionLink {
public:
  RegionLink();
  ~RegionLink();

  /// The loopback host of the processes of \p Region. Connections that come
  /// from it count as opened in that region.
  std::string hostOf(const std::string &Region);

  /// Returns an address that forwards to \p Target (`host:port`) in region
  /// \p To. Connections come from region \p From; if that is empty, their
  /// source host tells the region.
  std::string forward(const std::string &Target, const std::string &To,
                      const std::string &From = "");

  /// Error: badRequest if a region has no process.
  base::Status set(const std::string &From, const std::string &To, Passage P);

  /// Bytes that passed between different regions so far, in both directions.
  std::uint64_t bytes() const;

  /// Connections that carry bytes between different regions now.
  std::size_t connections() const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace pomelokeel::scenario
