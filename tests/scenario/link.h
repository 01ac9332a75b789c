#pragma once

#include "base/error.h"

#include <cstdint>
#include <memory>
#include <string>

namespace pomelokeel::scenario {

/// How the link treats bytes from one region to another.
enum class LinkMode {
  Open,
  /// Bytes are kept and forwarded once the link is open again, because TCP
  /// would retransmit them. Connections stay open; new ones are accepted, and
  /// connect to their target once the link is open.
  Silent,
  /// Connections that were opened in this direction are reset, as are new ones.
  Reset
};

/// Stand-in of the network between regions: forwards TCP connections on a
/// thread of its own. Thread-safe.
class RegionLink {
public:
  RegionLink();
  ~RegionLink();

  /// Returns the loopback host for the processes of \p Region. Connections from
  /// this host count as opened in that region.
  std::string hostOf(const std::string &Region);

  /// Returns an address that forwards to \p Target (`host:port`) in region
  /// \p To. Connections count as opened in region \p From; if that is empty,
  /// the source host determines the region.
  std::string forward(const std::string &Target, const std::string &To,
                      const std::string &From = "");

  /// Sets how bytes from one region to another are treated. Error: badRequest
  /// if a region has no process.
  base::Status setMode(const std::string &From, const std::string &To,
                       LinkMode Mode);

  /// Bytes forwarded between different regions so far, in both directions.
  std::uint64_t bytes() const;

  /// Open connections between different regions that the link has forwarded.
  std::size_t connections() const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace pomelokeel::scenario
