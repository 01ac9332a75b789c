#include "entry/replica.h"

#include <gtest/gtest.h>

using namespace pomelokeel;
using entry::Replica;

namespace {

model::LogEntry entryAt(std::uint64_t Offset) {
  model::LogEntry E;
  E.m_offset = Offset;
  E.m_timeMs = 1000;
  E.m_record.m_id = "r" + std::to_string(Offset);
  E.m_record.m_kind = model::RecordKind::EntryAnnounced;
  E.m_record.m_body = base::encode(model::Member{"e1", "i1", "", "", "", ""});
  return E;
}

// A batch with one record at \p Offset, followed by values that are not valid
// records up to \p Next.
logclient::Batch batch(std::uint64_t Offset, std::uint64_t Next,
                       std::uint64_t End) {
  logclient::Batch B;
  B.m_entries = {entryAt(Offset)};
  B.m_next = Next;
  B.m_end = End;
  return B;
}

void apply(Replica &R, const logclient::Batch &B, base::Millis NowMs) {
  R.apply(B, NowMs, [](const auto &, const auto &) {});
}

} // namespace

// The next offset, which entries compare with each other, also counts values
// that are not valid records and so are in no entry of the batch.
TEST(Replica, NextOffsetIsThatOfTheBatch) {
  Replica R;
  apply(R, batch(0, 5, 5), 1000);
  EXPECT_EQ(R.state().m_nextOffset, 1U);
  EXPECT_EQ(R.nextOffset(), 5U);
  EXPECT_EQ(R.endOffset(), 5U);
  EXPECT_TRUE(R.ready());
  EXPECT_TRUE(R.logEndRead());
  R.recordPeerOffset(5, 1000);
  EXPECT_EQ(R.attachRefusal(2100), "");
}

// An entry is ready only after it has read the whole log. Values that are not
// valid records at its end do not prevent that.
TEST(Replica, BatchThatStopsBeforeTheEndIsNotCurrent) {
  Replica R;
  apply(R, batch(0, 5, 9), 1000);
  EXPECT_EQ(R.nextOffset(), 5U);
  EXPECT_FALSE(R.ready());
  logclient::Batch Invalid;
  Invalid.m_next = Invalid.m_end = 9;
  apply(R, Invalid, 1100);
  EXPECT_EQ(R.state().m_nextOffset, 1U);
  EXPECT_EQ(R.nextOffset(), 9U);
  EXPECT_TRUE(R.ready());
}

// An entry that lags behind a peer refuses agents; one that has read as much as
// the peer does not.
TEST(Replica, LagBehindAPeerCountsFromTheBatch) {
  Replica R;
  apply(R, batch(0, 1, 1), 1000);
  R.recordPeerOffset(4, 1000);
  apply(R, batch(1, 2, 2), 2100);
  EXPECT_NE(R.attachRefusal(2100), "");
  apply(R, batch(2, 4, 4), 2200);
  EXPECT_EQ(R.attachRefusal(2200), "");
}

// Loading a snapshot must not lower the read position.
TEST(Replica, SnapshotDoesNotLowerTheOffset) {
  Replica R;
  apply(R, batch(0, 5, 5), 1000);
  state::State S = R.state();
  S.m_nextOffset = 3;
  EXPECT_TRUE(R.load(S));
  EXPECT_EQ(R.nextOffset(), 5U);
  S.m_nextOffset = 2;
  EXPECT_FALSE(R.load(S));
}
