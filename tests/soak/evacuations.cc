#include "soak/evacuations.h"

#include "platform/names.h"

#include <utility>

namespace pomelokeel::soak {
namespace {

constexpr Millis FirstAfterMs = 1500;
/// Long evacuations last for at least this time.
constexpr Millis LongMs = EvacuationMs + 1500;
constexpr Millis ShortMs = 400;
constexpr Millis MaxPauseMs = 1500;

} // namespace

std::string dataCentreOf(std::size_t Worker) {
  return Worker % 2 == 0 ? "a" : "b";
}

Evacuations::Evacuations(History &H, std::uint64_t Seed, Put P)
    : m_history(H), m_random(Seed), m_put(std::move(P)) {}

void Evacuations::tick(Millis Now) {
  if (m_nextAt == 0)
    m_nextAt = Now + FirstAfterMs;
  if (Now < m_nextAt)
    return;
  if (m_dataCentre.empty())
    return begin(Now);
  end();
  m_nextAt = Now + static_cast<Millis>(m_random() % MaxPauseMs);
}

void Evacuations::begin(Millis Now) {
  m_dataCentre = dataCentreOf(m_random() % 2);
  m_history.evacuationBegun(m_dataCentre);
  m_put(platform::names::EvacuationPrefix + m_dataCentre, "{}");
  m_nextAt = Now + (m_random() % 3 == 0 ? ShortMs : LongMs) +
             static_cast<Millis>(m_random() % MaxPauseMs);
}

void Evacuations::end() {
  if (m_dataCentre.empty())
    return;
  m_history.evacuationEnded(m_dataCentre);
  m_put(platform::names::EvacuationPrefix + m_dataCentre, "");
  m_dataCentre.clear();
}

} // namespace pomelokeel::soak
