#include "base/counters.h"

#include <fmt/format.h>

#include <array>
#include <cstddef>

namespace pomelokeel::base {

Counter &Counters::get(const std::string &Name) {
  const std::lock_guard Lock(m_mutex);
  return m_counters[Name];
}

void Counters::observe(const std::string &Name, std::int64_t Ms) {
  // From a call within a data centre to the longest wait of a caller.
  constexpr std::array<std::int64_t, 9> Bounds = {5,   20,   50,   100,  250,
                                                  500, 1000, 2500, 10000};
  const std::size_t Labels = Name.find('{');
  const std::string Base = Name.substr(0, Labels);
  const std::string Given =
      Labels == std::string::npos
          ? ""
          : Name.substr(Labels + 1, Name.size() - Labels - 2);
  const char *Comma = Given.empty() ? "" : ",";
  const std::string Tail = Given.empty() ? "" : fmt::format("{{{}}}", Given);
  for (const std::int64_t Bound : Bounds) {
    if (Ms <= Bound)
      ++get(
          fmt::format("{}_bucket{{{}{}le=\"{}\"}}", Base, Given, Comma, Bound));
  }
  ++get(fmt::format("{}_bucket{{{}{}le=\"+Inf\"}}", Base, Given, Comma));
  get(Base + "_sum" + Tail) += Ms;
  ++get(Base + "_count" + Tail);
}

std::string Counters::render() const {
  const std::lock_guard Lock(m_mutex);
  std::string Out;
  for (const auto &[Name, Value] : m_counters)
    Out += "pomelokeel_" + Name + ' ' + std::to_string(Value.load()) + '\n';
  return Out;
}

} // namespace pomelokeel::base
