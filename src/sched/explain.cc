#include "sched/explain.h"

#include <fmt/format.h>

#include <array>
#include <bit>

namespace pomelokeel::sched::detail {
namespace {

// A resource whose lack is tried as the explanation.
struct Lack {
  const char *m_name;
  void (*m_ignore)(Request &R);
};

constexpr std::array Lacks = {
    Lack{"adjacent accelerators",
         [](Request &R) { R.m_need.m_accelerators = 0; }},
    Lack{"cores", [](Request &R) { R.m_need.m_cores = 0; }},
    Lack{"memory", [](Request &R) { R.m_need.m_memoryMb = 0; }}};

int freeAccelerators(const Fleet &F) {
  int Free = 0;
  for (const Node &W : F.m_nodes)
    Free += W.m_placeable ? std::popcount(W.m_free) : 0;
  return Free;
}

std::string lackOf(const Fleet &F, const Request &R) {
  for (const Lack &L : Lacks) {
    Request Without = R;
    L.m_ignore(Without);
    if (hasPlaces(F, Without))
      return L.m_name;
  }
  return "slots on workers in service";
}

} // namespace

std::string whyNoPlace(const Fleet &F, const Request &R) {
  const std::string Lack = lackOf(F, R);
  if (R.m_members == 1)
    return fmt::format(
        "too few {}: no worker has {} adjacent accelerators, {} cores and {} "
        "MB free ({} accelerators are free in all)",
        Lack, R.m_need.m_accelerators, R.m_need.m_cores, R.m_need.m_memoryMb,
        freeAccelerators(F));
  return fmt::format(
      "too few {}: {} of {} members fit in one region, each with {} adjacent "
      "accelerators, {} cores and {} MB ({} accelerators are free in all)",
      Lack, roomInBestRegion(F, R), R.m_members, R.m_need.m_accelerators,
      R.m_need.m_cores, R.m_need.m_memoryMb, freeAccelerators(F));
}

} // namespace pomelokeel::sched::detail
