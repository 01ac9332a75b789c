#include "agent/gang.h"

#include <gtest/gtest.h>

using namespace pomelokeel;
using namespace pomelokeel::agent;
using model::MessageKind;

namespace {

constexpr GangTiming Timing{3000, 500};
constexpr Millis StartBy = 10000;

model::GangStatus ready() {
  model::GangStatus N;
  N.m_ready = true;
  return N;
}

model::GangStatus release() {
  model::GangStatus N;
  N.m_release = true;
  return N;
}

} // namespace

TEST(GangParent, ReleasesWhenAllAreReady) {
  GangParent H(0, {1, 2}, Timing, StartBy, false, 0);
  EXPECT_FALSE(H.advance(LocalTaskState::Ready, 0).m_release);
  H.onReply(1, 1, ready(), 10);
  EXPECT_FALSE(H.advance(LocalTaskState::Ready, 10).m_release);
  H.onReply(2, 1, ready(), 20);
  EXPECT_FALSE(H.advance(LocalTaskState::Starting, 20).m_release);
  const GangActions Actions = H.advance(LocalTaskState::Ready, 30);
  EXPECT_TRUE(Actions.m_release);
  ASSERT_EQ(Actions.m_messages.size(), 2u);
  EXPECT_TRUE(Actions.m_messages[0].m_memberStatus.m_release);
}

// Guards against a parent that was frozen and counts an old reply from its
// buffer as a new contact. A reply counts from when its heartbeat was sent.
TEST(GangParent, ReplyCountsFromTheSendingOfItsHeartbeat) {
  GangParent H(0, {1}, Timing, StartBy, false, 0);
  H.advance(LocalTaskState::Ready, 0);
  H.onReply(1, 1, ready(), 2900);
  EXPECT_EQ(H.leaseEnd(), 3000);
  EXPECT_TRUE(H.advance(LocalTaskState::Ready, 3000).m_stop);
}

TEST(GangParent, StopsAllWhenOneStopsOrIsSilentOrLate) {
  GangParent Stopped(0, {1, 2}, Timing, StartBy, true, 0);
  model::GangStatus N;
  N.m_stopped = true;
  Stopped.onReply(1, 0, N, 10);
  const GangActions Actions = Stopped.advance(LocalTaskState::Running, 10);
  EXPECT_TRUE(Actions.m_stop);
  ASSERT_EQ(Actions.m_messages.size(), 1u);
  EXPECT_EQ(Actions.m_messages[0].m_kind, MessageKind::GangStop);
  EXPECT_EQ(Actions.m_messages[0].m_toMember, 2);

  GangParent Silent(0, {1}, Timing, StartBy, true, 0);
  EXPECT_FALSE(Silent.advance(LocalTaskState::Running, 2999).m_stop);
  EXPECT_TRUE(Silent.advance(LocalTaskState::Running, 3000).m_stop);

  GangParent Late(0, {1}, Timing, StartBy, false, 0);
  EXPECT_FALSE(Late.advance(LocalTaskState::Ready, StartBy - 1).m_stop);
  EXPECT_TRUE(Late.advance(LocalTaskState::Ready, StartBy).m_stop);
}

TEST(GangParent, MemberThatSucceededMayBeSilent) {
  GangParent H(0, {1}, Timing, StartBy, true, 0);
  model::GangStatus N;
  N.m_done = true;
  H.onReply(1, 0, N, 10);
  EXPECT_FALSE(H.advance(LocalTaskState::Running, 60000).m_stop);
}

// Guards against a child that was frozen and lets an old heartbeat from its
// buffer renew the expired lease.
TEST(GangChild, HeartbeatAfterTheLeaseDoesNotRenewIt) {
  GangChild M(1, 0, Timing, StartBy, false, 0);
  M.onHeartbeat(1, release(), 100);
  EXPECT_TRUE(M.advance(LocalTaskState::Ready, 100).m_release);
  EXPECT_EQ(M.leaseEnd(), 3100);
  M.onHeartbeat(2, release(), 3100);
  const GangActions Actions = M.advance(LocalTaskState::Ready, 3100);
  EXPECT_FALSE(Actions.m_release);
  EXPECT_TRUE(Actions.m_stop);
  ASSERT_EQ(Actions.m_messages.size(), 1u);
  EXPECT_TRUE(Actions.m_messages[0].m_memberStatus.m_stopped);
}

TEST(GangChild, StopsAtTheStartTimeoutWithoutHeartbeat) {
  GangChild M(1, 0, Timing, StartBy, false, 0);
  EXPECT_FALSE(M.advance(LocalTaskState::Ready, StartBy - 1).m_stop);
  EXPECT_TRUE(M.advance(LocalTaskState::Ready, StartBy).m_stop);
}

// Guards against an inner member that reports only its own state: it is ready
// only when its whole subtree is, and a stop in the subtree or of the parent
// link reaches the other side.
TEST(GangNode, RelayReportsTheStateOfItsSubtree) {
  GangNode Relay(1, {0, {3, 4}}, Timing, StartBy, false, 0);
  const auto Reply = [&](int Member, Millis Now) {
    model::GangStatus N = ready();
    N.m_member = Member;
    Relay.onReply(1, N, Now);
  };
  const auto Reported = [&](LocalTaskState Local, Millis Now) {
    Relay.onHeartbeat(1, {}, Now);
    const GangActions Actions = Relay.advance(Local, Now);
    EXPECT_FALSE(Actions.m_release);
    return Actions.m_messages.back().m_memberStatus;
  };
  Relay.advance(LocalTaskState::Ready, 0);
  Reply(3, 10);
  EXPECT_FALSE(Reported(LocalTaskState::Ready, 10).m_ready);
  Reply(4, 20);
  EXPECT_TRUE(Reported(LocalTaskState::Ready, 20).m_ready);
  Relay.onHeartbeat(2, release(), 30);
  EXPECT_TRUE(Relay.advance(LocalTaskState::Ready, 30).m_release);

  GangNode Broken = Relay;
  model::GangStatus Stopped;
  Stopped.m_member = 4;
  Stopped.m_stopped = true;
  Broken.onReply(0, Stopped, 40);
  EXPECT_TRUE(Broken.advance(LocalTaskState::Running, 40).m_stop);
  const GangActions Up = Broken.advance(LocalTaskState::Running, 50);
  EXPECT_TRUE(Up.m_messages.back().m_memberStatus.m_stopped);

  const GangActions Lapsed = Relay.advance(LocalTaskState::Running, 3030);
  EXPECT_TRUE(Lapsed.m_stop);
  EXPECT_EQ(Lapsed.m_messages[0].m_kind, MessageKind::GangStop);
}
