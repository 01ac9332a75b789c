#pragma once

#include "node/store.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace pomelokeel::node {

/// Returns the data centre whose evacuation a record with this key requests, or
/// std::nullopt for other keys. Supplied by the platform adapter.
using EvacuationKeyReader =
    std::function<std::optional<std::string>(const std::string &Key)>;

/// The data centres that the operator has asked to evacuate, as far as the
/// operator's stream was read. A record without a value ends an evacuation.
class Evacuations {
public:
  /// Called with a data centre, and true if its evacuation begins.
  using OnChange = std::function<void(const std::string &, bool)>;

  Evacuations(EvacuationKeyReader ReadKey, OnChange Changed);

  /// Applies a snapshot of the stream up to offset \p End. Keys that it does
  /// not contain were deleted, although their last record may have been lost.
  void applySnapshot(const std::vector<KeyedRecord> &Records, std::int64_t End);

  /// Applies a record from a page that ends at offset \p End. Returns false
  /// for records of another kind.
  bool apply(const KeyedRecord &R, std::int64_t End);

  /// Takes over what another entry has read up to offset \p End, if that is
  /// more than this one has.
  void adopt(const std::vector<std::string> &DataCentres, std::int64_t End);

  const std::set<std::string> &dataCentres() const { return m_dataCentres; }
  /// Offset up to which the stream was read; -1 if it was not.
  std::int64_t readUntil() const { return m_readUntil; }

private:
  void replace(const std::set<std::string> &DataCentres);
  void set(const std::string &DataCentre, bool Evacuated);

  EvacuationKeyReader m_readKey;
  OnChange m_changed;
  std::set<std::string> m_dataCentres;
  std::int64_t m_readUntil = -1;
};

} // namespace pomelokeel::node
