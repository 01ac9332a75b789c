#pragma once

#include "soak/history.h"

#include <cstdint>
#include <functional>
#include <random>
#include <string>

namespace pomelokeel::soak {

/// The data centre of the worker with this index, if there are evacuations.
std::string dataCentreOf(std::size_t Worker);

/// The operator's requests to evacuate a data centre, one at a time. They last
/// longer than the bound for starts, or are ended and begun again quickly. Has
/// a random generator of its own, so that the other faults of a seed do not
/// change.
class Evacuations {
public:
  /// \p Put writes a record of the operator.
  using Put =
      std::function<void(const std::string &Key, const std::string &Value)>;

  Evacuations(History &H, std::uint64_t Seed, Put P);

  void tick(Millis Now);
  /// Ends the evacuation. Afterwards all jobs can end.
  void end();

private:
  void begin(Millis Now);

  History &m_history;
  std::mt19937_64 m_random;
  Put m_put;
  std::string m_dataCentre; ///< "" if none is evacuated.
  Millis m_nextAt = 0;
};

} // namespace pomelokeel::soak
