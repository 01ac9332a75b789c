#include "state/guarantee_shortfall.h"

#include <algorithm>
#include <bit>
#include <functional>
#include <map>
#include <tuple>
#include <unordered_map>
#include <utility>

namespace pomelokeel::state {
namespace {

// Accelerators of a worker beyond this number do not count towards
// guarantees.
constexpr int MaxWidth = 64;

// Guaranteed blocks of one size of one account.
struct Demand {
  const std::string *m_account = nullptr;
  int m_size = 0;
  int m_count = 0;
};

// Number of workers by their number of accelerators, in descending order.
using Widths = std::map<int, int, std::greater<>>;

struct Rack {
  int m_workers = 0; ///< Includes workers without accelerators.
  Widths m_idle;     ///< Workers that no block has taken.
};

// An aligned window of accelerators. Those from m_first up to m_end, exclusive,
// are free.
struct Window {
  int m_first = 0;
  int m_end = 0;

  auto operator<=>(const Window &) const = default;
};

// Number of windows by their free accelerators.
using Windows = std::map<Window, int>;

int widthOf(const model::Worker &W) {
  return std::clamp(W.m_accelerators, 0, MaxWidth);
}

int alignmentOf(int Size) {
  return static_cast<int>(std::bit_ceil(static_cast<unsigned>(Size)));
}

// Returns the demands, the largest blocks first. Demands of equal size stay in
// the order of the accounts.
std::vector<Demand> demandsOf(const std::vector<model::Account> &Accounts) {
  std::vector<Demand> Out;
  for (const model::Account &A : Accounts) {
    for (const model::BlockDemand &D : A.m_guarantee) {
      if (D.m_size > 0 && D.m_count > 0)
        Out.push_back({&A.m_name, D.m_size, D.m_count});
    }
  }
  std::stable_sort(
      Out.begin(), Out.end(),
      [](const Demand &L, const Demand &R) { return L.m_size > R.m_size; });
  return Out;
}

// Returns the racks, those with the fewest workers first. Racks of equal size
// are in the order of their first worker.
std::vector<Rack> racksOf(const std::vector<const model::Worker *> &Workers) {
  std::unordered_map<std::string, std::size_t> Known;
  std::vector<Rack> Out;
  for (const model::Worker *W : Workers) {
    const auto [It, New] = Known.emplace(
        W->m_region + "/" + W->m_dataCentre + "/" + W->m_rack, Out.size());
    if (New)
      Out.emplace_back();
    Rack &R = Out[It->second];
    ++R.m_workers;
    if (const int Width = widthOf(*W); Width > 0)
      ++R.m_idle[Width];
  }
  std::stable_sort(Out.begin(), Out.end(), [](const Rack &L, const Rack &R) {
    return L.m_workers < R.m_workers;
  });
  return Out;
}

// Takes up to Count blocks from the rack, each of whole workers of one width,
// and returns how many it took. Wider workers are taken first.
int takeWholeWorkers(Rack &R, int Size, int Count) {
  int Taken = 0;
  for (auto &[Width, Idle] : R.m_idle) {
    const int PerBlock = (Size + Width - 1) / Width;
    const int Blocks = std::min(Count - Taken, Idle / PerBlock);
    Idle -= Blocks * PerBlock;
    Taken += Blocks;
  }
  return Taken;
}

// Takes up to Count blocks from the windows that are free from their start,
// and returns how many it took. Windows with the fewest free accelerators
// beside the block are taken first. A window holds one block, because the
// window is as wide as the alignment of the block.
int takeBlocks(Windows &Free, int Size, int Count) {
  int Taken = 0;
  Windows Rest;
  for (auto It = Free.lower_bound({0, Size});
       It != Free.end() && It->first.m_first == 0 && Taken < Count;) {
    const int Blocks = std::min(Count - Taken, It->second);
    Taken += Blocks;
    It->second -= Blocks;
    if (It->first.m_end > Size)
      Rest[{Size, It->first.m_end}] += Blocks;
    It = It->second == 0 ? Free.erase(It) : std::next(It);
  }
  for (const auto &[W, Count] : Rest)
    Free[W] += Count;
  return Taken;
}

// Splits all windows, which have the given width, into halves.
Windows halve(const Windows &Free, int Width) {
  const int Half = Width / 2;
  Windows Out;
  for (const auto &[W, Count] : Free) {
    if (W.m_first < std::min(W.m_end, Half))
      Out[{W.m_first, std::min(W.m_end, Half)}] += Count;
    if (std::max(W.m_first, Half) < W.m_end)
      Out[{std::max(W.m_first, Half) - Half, W.m_end - Half}] += Count;
  }
  return Out;
}

GuaranteeShortfall shortfallOf(const Demand &D, int Taken) {
  return {*D.m_account, D.m_size, D.m_count - Taken};
}

} // namespace

std::optional<GuaranteeShortfall>
findGuaranteeShortfall(const std::vector<model::Account> &Accounts,
                       const std::vector<const model::Worker *> &Workers) {
  const std::vector<Demand> Demands = demandsOf(Accounts);
  Widths Idle;
  for (const model::Worker *W : Workers) {
    if (const int Width = widthOf(*W); Width > 0)
      ++Idle[Width];
  }
  const int Widest = Idle.empty() ? 0 : Idle.begin()->first;
  std::vector<Rack> Racks;
  if (!Demands.empty() && Demands.front().m_size > Widest)
    Racks = racksOf(Workers);
  auto D = Demands.begin();
  for (; D != Demands.end() && D->m_size > Widest; ++D) {
    int Taken = 0;
    for (Rack &R : Racks)
      Taken += takeWholeWorkers(R, D->m_size, D->m_count - Taken);
    if (Taken < D->m_count)
      return shortfallOf(*D, Taken);
  }
  if (!Racks.empty()) {
    Idle.clear();
    for (const Rack &R : Racks) {
      for (const auto &[Width, Count] : R.m_idle)
        Idle[Width] += Count;
    }
  }
  Windows Free;
  for (const auto &[Width, Count] : Idle) {
    if (Count > 0)
      Free[{0, Width}] = Count;
  }
  for (int Width = MaxWidth; D != Demands.end(); Width /= 2) {
    for (; D != Demands.end() && alignmentOf(D->m_size) == Width; ++D) {
      const int Taken = takeBlocks(Free, D->m_size, D->m_count);
      if (Taken < D->m_count)
        return shortfallOf(*D, Taken);
    }
    Free = halve(Free, Width);
  }
  return std::nullopt;
}

} // namespace pomelokeel::state
