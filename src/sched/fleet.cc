#include "sched/fleet.h"

#include <algorithm>
#include <bit>

namespace pomelokeel::sched::detail {
namespace {

// Returns the index of the group named Key, which is created if it is missing.
int groupIndex(std::unordered_map<std::string, int> &Known,
               std::vector<Group> &Groups, const std::string &Key) {
  const auto [It, New] = Known.emplace(Key, static_cast<int>(Groups.size()));
  if (New)
    Groups.emplace_back();
  return It->second;
}

// Mask of every N-th bit from bit 0; N is a power of two.
Mask everyNth(int N) {
  static constexpr Mask Every[] = {~0ULL,
                                   0x5555555555555555ULL,
                                   0x1111111111111111ULL,
                                   0x0101010101010101ULL,
                                   0x0001000100010001ULL,
                                   0x0000000100000001ULL,
                                   1ULL};
  return Every[std::countr_zero(static_cast<unsigned>(N))];
}

WorkerResources resourcesOf(const WorkerView &W) {
  WorkerResources Out;
  Out.m_accelerators = std::clamp(W.m_accelerators, 0, MaxAccelerators);
  Out.m_all = maskOf(0, Out.m_accelerators);
  Out.m_free = Out.m_all;
  Out.m_allSlots = W.m_slots;
  Out.m_slots = W.m_slots;
  Out.m_cores = W.m_cores;
  Out.m_memoryMb = W.m_memoryMb;
  Out.m_placeable = W.m_placeable;
  Out.m_healthy = W.m_healthy;
  Out.m_onProbation = W.m_onProbation;
  return Out;
}

} // namespace

int alignmentOf(int Size) {
  return static_cast<int>(std::bit_ceil(static_cast<unsigned>(Size)));
}

Mask maskOf(int First, int Count) {
  if (Count <= 0 || First < 0 || First >= MaxAccelerators)
    return 0;
  const Mask Low = Count >= MaxAccelerators ? ~0ULL : (1ULL << Count) - 1;
  return Low << First;
}

Mask blockStarts(Mask Free, int Size) {
  if (Size > MaxAccelerators)
    return 0;
  // Bit I of Run is set if the accelerators I to I + Length - 1 are free.
  Mask Run = Free;
  for (int Length = 1; Length < Size;) {
    const int Step = std::min(Length, Size - Length);
    Run &= Run >> Step;
    Length += Step;
  }
  return Run & everyNth(alignmentOf(Size));
}

int membersThatFit(const WorkerResources &W, const Need &N, int Limit) {
  if (!W.m_placeable)
    return 0;
  int Fit = std::min(Limit, W.m_slots);
  if (W.m_onProbation)
    Fit = std::min(Fit, W.m_runningMembers > 0 ? 0 : 1);
  if (N.m_cores > 0)
    Fit = std::min(Fit, W.m_cores / N.m_cores);
  if (N.m_memoryMb > 0)
    Fit = std::min(Fit, W.m_memoryMb / N.m_memoryMb);
  if (Fit > 0 && N.m_accelerators > 0)
    Fit = std::min(Fit, std::popcount(blockStarts(W.m_free, N.m_accelerators)));
  return std::max(Fit, 0);
}

void allocateMember(WorkerResources &W, const Need &N, const Place &P) {
  W.m_free &= ~P.mask();
  W.m_slots -= 1;
  W.m_cores -= N.m_cores;
  W.m_memoryMb -= N.m_memoryMb;
  W.m_runningMembers += 1;
}

void releaseMember(WorkerResources &W, const Need &N, const Place &P) {
  W.m_free |= P.mask() & W.m_all;
  W.m_slots += 1;
  W.m_cores += N.m_cores;
  W.m_memoryMb += N.m_memoryMb;
  W.m_runningMembers -= 1;
}

Fleet::Fleet(const std::vector<model::Account> &Accounts,
             const std::vector<WorkerView> &Workers,
             const std::vector<RunningView> &Running)
    : m_accountCount(Accounts.size()) {
  for (const model::Account &A : Accounts)
    m_accountByName.emplace(A.m_name, static_cast<int>(m_accountByName.size()));
  addWorkers(Workers);
  for (const RunningView &R : Running) {
    Holding H{accountIndex(R.m_account),
              R.m_preemptible,
              {0, R.m_cores, R.m_memoryMb},
              {},
              R.m_reclaiming};
    for (const model::MemberPlace &P : R.m_places) {
      const int Worker = workerIndex(P.m_worker);
      if (Worker >= 0)
        H.m_places.push_back({Worker, P.m_firstAccelerator, P.m_accelerators});
    }
    add(std::move(H));
  }
}

void Fleet::addWorkers(const std::vector<WorkerView> &Workers) {
  std::unordered_map<std::string, int> Racks;
  std::unordered_map<std::string, int> DataCentres;
  std::unordered_map<std::string, int> Regions;
  for (const WorkerView &W : Workers) {
    const int Index = static_cast<int>(m_resources.size());
    WorkerResources Resources = resourcesOf(W);
    const std::string DataCentre = W.m_region + "/" + W.m_dataCentre;
    Resources.m_region = groupIndex(Regions, m_regions, W.m_region);
    Resources.m_dataCentre = groupIndex(DataCentres, m_dataCentres, DataCentre);
    Resources.m_rack = groupIndex(Racks, m_racks, DataCentre + "/" + W.m_rack);
    m_regions[static_cast<std::size_t>(Resources.m_region)].push_back(Index);
    m_dataCentres[static_cast<std::size_t>(Resources.m_dataCentre)].push_back(
        Index);
    m_racks[static_cast<std::size_t>(Resources.m_rack)].push_back(Index);
    m_workerByName.emplace(W.m_name, Index);
    m_resources.push_back(Resources);
  }
}

int Fleet::workerIndex(std::string_view Name) const {
  const auto It = m_workerByName.find(Name);
  return It == m_workerByName.end() ? -1 : It->second;
}

int Fleet::accountIndex(std::string_view Name) const {
  const auto It = m_accountByName.find(Name);
  return It == m_accountByName.end() ? -1 : It->second;
}

int Fleet::add(Holding H) {
  allocate(H);
  m_holdings.push_back(std::move(H));
  return static_cast<int>(m_holdings.size()) - 1;
}

void Fleet::allocate(const Holding &H) {
  for (const Place &P : H.m_places)
    allocateMember(m_resources[static_cast<std::size_t>(P.m_worker)], H.m_need,
                   P);
}

void Fleet::release(const Holding &H) {
  for (const Place &P : H.m_places)
    releaseMember(m_resources[static_cast<std::size_t>(P.m_worker)], H.m_need,
                  P);
}

} // namespace pomelokeel::sched::detail
