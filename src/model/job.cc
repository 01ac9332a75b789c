#include "model/job.h"

#include <array>
#include <cstddef>

namespace pomelokeel::model {
namespace {

using base::Error;
using base::ErrorKind;

constexpr std::size_t MaxKeyLength = 200;
constexpr Millis MaxRunTime = 90LL * 24 * 3600 * 1000;

struct IntRange {
  const char *m_name;
  int JobSpec::*m_member;
  int m_low;
  int m_high;
};

constexpr std::array SpecRanges = {
    IntRange{"members", &JobSpec::m_members, 1, 128},
    IntRange{"accelerators", &JobSpec::m_accelerators, 0, 1024},
    IntRange{"cores", &JobSpec::m_cores, 0, 100000},
    IntRange{"memoryMb", &JobSpec::m_memoryMb, 0, 100000000}};

Error outOfRange(const std::string &Name, Millis Low, Millis High) {
  return {ErrorKind::OutOfRange, "\"" + Name + "\" must be from " +
                                     std::to_string(Low) + " to " +
                                     std::to_string(High)};
}

} // namespace

base::Status checkSpec(const JobSpec &Spec) {
  if (Spec.m_key.empty() || Spec.m_key.size() > MaxKeyLength)
    return Error{ErrorKind::OutOfRange,
                 "\"key\" must have 1 to 200 characters"};
  if (base::nestedDeeperThan(Spec.m_payload, base::MaxPayloadNesting))
    return Error{ErrorKind::OutOfRange, "\"payload\" is nested too deeply"};
  for (const IntRange &R : SpecRanges) {
    const int Value = Spec.*(R.m_member);
    if (Value < R.m_low || Value > R.m_high)
      return outOfRange(R.m_name, R.m_low, R.m_high);
  }
  if (Spec.m_runMs < 0 || Spec.m_runMs > MaxRunTime)
    return outOfRange("runMs", 0, MaxRunTime);
  if (Spec.m_deadlineMs < 0 || Spec.m_deadlineMs > MaxRunTime)
    return outOfRange("deadlineMs", 0, MaxRunTime);
  return base::success();
}

std::string taskId(const std::string &JobId, int Attempt, int Member) {
  return JobId + "." + std::to_string(Attempt) + "." + std::to_string(Member);
}

} // namespace pomelokeel::model
