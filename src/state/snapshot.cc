#include "state/state.h"

#include <algorithm>
#include <utility>

namespace pomelokeel::state {
namespace {

// Decodes the snapshot from its chunks. Returns nothing if chunks are missing
// or damaged.
std::optional<State> join(const std::vector<SnapshotChunk> &Chunks) {
  const int Count = Chunks.front().m_count;
  // A damaged count must not decide how much memory is allocated.
  if (std::cmp_less(Chunks.size(), Count))
    return std::nullopt;
  std::vector<const SnapshotChunk *> Ordered(Count > 0 ? Count : 0, nullptr);
  for (const SnapshotChunk &C : Chunks) {
    if (C.m_count != Count || C.m_index < 0 || C.m_index >= Count)
      return std::nullopt;
    Ordered[C.m_index] = &C;
  }
  std::string Text;
  for (const SnapshotChunk *C : Ordered) {
    if (!C)
      return std::nullopt;
    Text += C->m_data;
  }
  auto Parsed = base::parse<State>(Text);
  if (!Parsed || Parsed->m_nextOffset != Chunks.front().m_nextOffset)
    return std::nullopt;
  indexKeys(*Parsed);
  return std::move(*Parsed);
}

} // namespace

std::vector<SnapshotChunk> encodeSnapshot(const State &S, const std::string &Id,
                                          std::size_t MaxBytes) {
  const std::string Text = base::encode(S).dump(
      -1, ' ', true,
      Json::error_handler_t::replace); // ASCII can be cut anywhere.
  const auto Count = (Text.size() + MaxBytes - 1) / MaxBytes;
  std::vector<SnapshotChunk> Chunks;
  for (std::size_t I = 0; I < Count; ++I)
    Chunks.push_back({Id, S.m_nextOffset, static_cast<int>(I),
                      static_cast<int>(Count),
                      Text.substr(I * MaxBytes, MaxBytes)});
  return Chunks;
}

void SnapshotReader::add(SnapshotChunk Chunk) {
  if (Chunk.m_count <= 0)
    return;
  m_snapshots[Chunk.m_snapshot].push_back(std::move(Chunk));
}

std::optional<State> SnapshotReader::newest() const {
  std::vector<const std::vector<SnapshotChunk> *> Newest;
  for (const auto &[Id, Chunks] : m_snapshots)
    Newest.push_back(&Chunks);
  std::sort(Newest.begin(), Newest.end(), [](const auto *A, const auto *B) {
    return A->front().m_nextOffset > B->front().m_nextOffset;
  });
  for (const auto *Chunks : Newest) {
    if (auto S = join(*Chunks))
      return S;
  }
  return std::nullopt;
}

} // namespace pomelokeel::state
