#pragma once

#include "sched/sched.h"

#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace pomelokeel::sched::detail {

/// One bit per accelerator of a worker; the lowest bit is the first one.
using Mask = std::uint64_t;

/// Accelerators of a worker beyond this number are not used.
constexpr int MaxAccelerators = 64;

/// Alignment of a block: its size rounded up to a power of two.
int alignmentOf(int Size);

/// Mask of \p Count accelerators from \p First.
Mask maskOf(int First, int Count);

/// Total and free resources of a worker during a scheduling pass. m_slots,
/// m_cores and m_memoryMb count only what is free.
struct WorkerResources {
  Mask m_all = 0;  ///< All accelerators.
  Mask m_free = 0; ///< Accelerators held by no job.
  int m_accelerators = 0;
  int m_allSlots = 0; ///< Free or not.
  int m_slots = 0;
  int m_cores = 0;
  int m_memoryMb = 0;
  int m_runningMembers = 0; ///< Job members placed on the worker.
  int m_rack = 0;
  int m_dataCentre = 0;
  int m_region = 0;
  bool m_placeable = true;
  bool m_healthy = true;
  bool m_onProbation = false;
};

/// Resources that one member needs.
struct Need {
  int m_accelerators = 0;
  int m_cores = 0;
  int m_memoryMb = 0;
};

/// The worker index and the accelerators of a job member, or of the part of a
/// block on one worker.
struct Place {
  int m_worker = 0;
  int m_first = 0;
  int m_accelerators = 0;

  Mask mask() const { return maskOf(m_first, m_accelerators); }
};

/// The resources that one job holds.
struct Holding {
  int m_account = -1; ///< -1 if the account is not in the configuration.
  bool m_preemptible = true;
  Need m_need;
  std::vector<Place> m_places;
  bool m_reclaiming = false;
};

/// Indices of the workers of one rack, data centre or region, ascending.
using Group = std::vector<int>;

/// The workers, their racks, data centres and regions, and the jobs that hold
/// resources. Each is referred to by its index.
class Fleet {
public:
  Fleet(const std::vector<model::Account> &Accounts,
        const std::vector<WorkerView> &Workers,
        const std::vector<RunningView> &Running);

  /// Index of a worker or account, -1 if there is none.
  int workerIndex(std::string_view Name) const;
  int accountIndex(std::string_view Name) const;

  /// Allocates the resources of \p H and records it. Returns its index.
  int add(Holding H);

  /// Allocates or releases the resources of \p H.
  void allocate(const Holding &H);
  void release(const Holding &H);

  std::vector<WorkerResources> m_resources;
  std::vector<Group> m_racks;
  std::vector<Group> m_dataCentres;
  std::vector<Group> m_regions;
  std::vector<Holding> m_holdings; ///< Running jobs first, in input order.
  std::size_t m_accountCount = 0;

private:
  void addWorkers(const std::vector<WorkerView> &Workers);

  std::unordered_map<std::string_view, int> m_workerByName;
  std::unordered_map<std::string_view, int> m_accountByName;
};

/// Number of members with need \p N that fit on \p W now, at most \p Limit.
int membersThatFit(const WorkerResources &W, const Need &N, int Limit);

/// Allocates or releases the resources of one member.
void allocateMember(WorkerResources &W, const Need &N, const Place &P);
void releaseMember(WorkerResources &W, const Need &N, const Place &P);

/// Mask of the first accelerators of the aligned blocks of \p Size in \p Free.
Mask blockStarts(Mask Free, int Size);

} // namespace pomelokeel::sched::detail
