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
  // In milliseconds: from the duration of a call within a data centre to the
  // longest time that a caller waits for an answer.
  constexpr std::array<std::int64_t, 9> BucketBounds = {
      5, 20, 50, 100, 250, 500, 1000, 2500, 10000};
  const std::size_t LabelsBegin = Name.find('{');
  const std::string Base = Name.substr(0, LabelsBegin);
  const std::string Labels =
      LabelsBegin == std::string::npos
          ? ""
          : Name.substr(LabelsBegin + 1, Name.size() - LabelsBegin - 2);
  const char *Comma = Labels.empty() ? "" : ",";
  const std::string LabelSuffix =
      Labels.empty() ? "" : fmt::format("{{{}}}", Labels);
  for (const std::int64_t Bound : BucketBounds) {
    if (Ms <= Bound)
      ++get(fmt::format("{}_bucket{{{}{}le=\"{}\"}}", Base, Labels, Comma,
                        Bound));
  }
  ++get(fmt::format("{}_bucket{{{}{}le=\"+Inf\"}}", Base, Labels, Comma));
  get(Base + "_sum" + LabelSuffix) += Ms;
  ++get(Base + "_count" + LabelSuffix);
}

std::string Counters::render() const {
  const std::lock_guard Lock(m_mutex);
  std::string Out;
  for (const auto &[Name, Value] : m_counters)
    Out += "pomelokeel_" + Name + ' ' + std::to_string(Value.load()) + '\n';
  return Out;
}

} // namespace pomelokeel::base
