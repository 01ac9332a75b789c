#include "base/counters.h"

namespace pomelokeel::base {

Counter &Counters::get(const std::string &Name) {
  const std::lock_guard Lock(m_mutex);
  return m_counters[Name];
}

std::string Counters::render() const {
  const std::lock_guard Lock(m_mutex);
  std::string Out;
  for (const auto &[Name, Value] : m_counters)
    Out += "pomelokeel_" + Name + ' ' + std::to_string(Value.load()) + '\n';
  return Out;
}

} // namespace pomelokeel::base
