#include "sched/explain.h"

#include <fmt/format.h>

#include <array>
#include <bit>

namespace pomelokeel::sched::detail {
namespace {

// A resource that a job may lack, and how to remove it from a request.
struct Resource {
  const char *m_name;
  void (*m_ignore)(Request &R);
};

constexpr std::array Resources = {
    Resource{"adjacent accelerators",
             [](Request &R) { R.m_need.m_accelerators = 0; }},
    Resource{"cores", [](Request &R) { R.m_need.m_cores = 0; }},
    Resource{"memory", [](Request &R) { R.m_need.m_memoryMb = 0; }}};

int freeAccelerators(const Fleet &F) {
  int Free = 0;
  for (const WorkerResources &W : F.m_resources)
    Free += W.m_placeable ? std::popcount(W.m_free) : 0;
  return Free;
}

// The resource without which the request would fit; slots if it is none of
// those listed.
std::string missingResource(const Fleet &F, const Request &R) {
  for (const Resource &Ignored : Resources) {
    Request Without = R;
    Ignored.m_ignore(Without);
    if (hasPlaces(F, Without))
      return Ignored.m_name;
  }
  return "slots on workers in service";
}

} // namespace

std::string explainNoFit(const Fleet &F, const Request &R) {
  const std::string Missing = missingResource(F, R);
  if (R.m_members == 1)
    return fmt::format(
        "too few {}: no worker has {} adjacent accelerators, {} cores and {} "
        "MB free ({} accelerators are free in all)",
        Missing, R.m_need.m_accelerators, R.m_need.m_cores, R.m_need.m_memoryMb,
        freeAccelerators(F));
  return fmt::format(
      "too few {}: {} of {} members fit in one region, each with {} adjacent "
      "accelerators, {} cores and {} MB ({} accelerators are free in all)",
      Missing, membersThatFitInBestRegion(F, R), R.m_members,
      R.m_need.m_accelerators, R.m_need.m_cores, R.m_need.m_memoryMb,
      freeAccelerators(F));
}

} // namespace pomelokeel::sched::detail
