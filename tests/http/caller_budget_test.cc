#include "http/caller_budget.h"

#include <gtest/gtest.h>

#include <utility>
#include <vector>

using namespace pomelokeel;
using http::CallerBudget;
using http::CloseReason;
using Activity = CallerBudget::Activity;
using Id = CallerBudget::Id;

namespace {

class CallerBudgetTest : public testing::Test {
protected:
  Id add(const void *Owner, Activity A) {
    const Id Out = m_budget.add(
        Owner, [this](CloseReason Reason) { m_reasons.push_back(Reason); });
    m_budget.setActivity(Out, A);
    return Out;
  }

  // The connections that exist are those that can still be charged.
  bool isOpen(Id Connection) { return m_budget.charge(Connection, 0); }

  CallerBudget m_budget{1000};
  std::vector<CloseReason> m_reasons;
  int m_server = 0;
  int m_otherServer = 0;
};

} // namespace

// Guards against crowds that stop just short of the end of a request and so
// make the newest requests the victims.
TEST_F(CallerBudgetTest, TheRequestWithoutProgressForLongestIsClosedFirst) {
  const Id First = add(&m_server, Activity::Unfinished);
  const Id Second = add(&m_otherServer, Activity::Unfinished);
  const Id Third = add(&m_server, Activity::Unfinished);
  EXPECT_TRUE(m_budget.charge(First, 400));
  EXPECT_TRUE(m_budget.charge(Second, 400));
  m_budget.received(First, CallerBudget::ProgressBytes);
  EXPECT_TRUE(m_budget.charge(Third, 400));
  EXPECT_EQ(m_budget.bytes(), 800U);
  EXPECT_EQ(m_reasons, std::vector{CloseReason::Budget});
  EXPECT_FALSE(isOpen(Second));
  EXPECT_TRUE(isOpen(First));
  EXPECT_TRUE(isOpen(Third));
}

// Guards against clients that keep their place by sending byte by byte.
TEST_F(CallerBudgetTest, SingleBytesAreNoProgress) {
  const Id Slow = add(&m_server, Activity::Unfinished);
  const Id Fast = add(&m_server, Activity::Unfinished);
  m_budget.charge(Slow, 600);
  m_budget.charge(Fast, 300);
  for (int I = 0; I < 100; ++I)
    m_budget.received(Slow, 1);
  EXPECT_TRUE(m_budget.charge(Fast, 500));
  EXPECT_FALSE(isOpen(Slow));
}

// Guards against closing the connection of a request that may have an effect.
TEST_F(CallerBudgetTest, HandledRequestsAreNeverClosed) {
  const Id Handled = add(&m_server, Activity::Handled);
  EXPECT_TRUE(m_budget.charge(Handled, 1500));
  EXPECT_FALSE(m_budget.makeRoom(&m_server));
  const Id New = add(&m_server, Activity::Unfinished);
  EXPECT_FALSE(m_budget.charge(New, 10));
  EXPECT_TRUE(isOpen(Handled));
}

TEST_F(CallerBudgetTest, IdleConnectionsDoNotGiveWayToBytes) {
  const Id Idle = add(&m_server, Activity::Idle);
  const Id Large = add(&m_server, Activity::Unfinished);
  EXPECT_TRUE(m_budget.charge(Idle, 100));
  EXPECT_FALSE(m_budget.charge(Large, 1000));
  m_budget.remove(Large);
  EXPECT_EQ(m_budget.bytes(), 100U);
  EXPECT_TRUE(isOpen(Idle));
}

// Guards against connections without a request that keep callers out.
TEST_F(CallerBudgetTest, ANewConnectionReplacesTheOldestOfTheSameServer) {
  const Id Other = add(&m_otherServer, Activity::Idle);
  const Id Unfinished = add(&m_server, Activity::Unfinished);
  const Id Idle = add(&m_server, Activity::Idle);
  EXPECT_TRUE(m_budget.makeRoom(&m_server));
  EXPECT_FALSE(isOpen(Unfinished));
  EXPECT_TRUE(m_budget.makeRoom(&m_server));
  EXPECT_FALSE(isOpen(Idle));
  EXPECT_FALSE(m_budget.makeRoom(&m_server));
  EXPECT_TRUE(isOpen(Other));
  EXPECT_EQ(m_reasons,
            (std::vector{CloseReason::Connections, CloseReason::Connections}));
}

// Guards against bytes that stay counted after the connection is gone.
TEST_F(CallerBudgetTest, ClosedConnectionsBindNothing) {
  int Closed = 0;
  m_budget.m_onClosed = [&](CloseReason) { ++Closed; };
  const Id First = add(&m_server, Activity::Unfinished);
  const Id Second = add(&m_server, Activity::Handled);
  m_budget.charge(First, 500);
  m_budget.charge(Second, 300);
  m_budget.charge(First, 200);
  EXPECT_EQ(m_budget.bytes(), 500U);
  m_budget.remove(First);
  m_budget.remove(Second);
  m_budget.remove(Second);
  EXPECT_EQ(m_budget.bytes(), 0U);
  EXPECT_EQ(Closed, 0);
}
