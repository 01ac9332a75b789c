#include "leader_fixture.h"

namespace pomelokeel::batch::tests {
namespace {

/// A caller gives up a submission without an answer and cancels the job, while
/// a copy of the submission is still on its way.
class EarlyCancelTest : public LeaderTest {
protected:
  std::shared_ptr<std::optional<CallerReply>> cancel(const std::string &Id) {
    return ask(request(CallerRequestKind::Cancel, Id));
  }

  static Verdict
  verdictOf(const std::shared_ptr<std::optional<CallerReply>> &R) {
    return R->value_or(CallerReply{}).m_verdict;
  }

  /// Submits the job and expects that it is refused and never runs.
  void expectRefused(const std::string &Id) {
    const auto Reply = submit(Id, jobOf({step(1, 1)}));
    EXPECT_EQ(verdictOf(Reply), Verdict::Gone);
    pass(3000);
    EXPECT_TRUE(m_starts.empty());
    EXPECT_EQ(m_leader->jobs().count(Id), 0u);
  }
};

// Review case 5: the cancel was answered "no such job", and the submission that
// an entry handed in later was accepted and ran.
TEST_F(EarlyCancelTest, ASubmissionThatArrivesAfterItsCancelIsRefused) {
  addAgent("w");
  EXPECT_EQ(verdictOf(cancel("a")), Verdict::Gone);
  expectRefused("a");
  EXPECT_EQ(verdictOf(cancel("a")), Verdict::Gone);
  EXPECT_EQ(verdictOf(ask(request(CallerRequestKind::Query, "a"))),
            Verdict::Gone);
  // Other jobs are not affected.
  EXPECT_EQ(verdictOf(submit("b", jobOf({step(1, 1)}))), Verdict::Ok);
}

TEST_F(EarlyCancelTest, TheNextLeaderRefusesTheSubmissionToo) {
  addAgent("w");
  EXPECT_EQ(verdictOf(cancel("a")), Verdict::Gone);
  restartLeader();
  expectRefused("a");
  restartLeader();
  expectRefused("a");
}

TEST_F(EarlyCancelTest, IsAnsweredOnlyOnceItIsStored) {
  addAgent("w");
  m_outcome.reset();
  const auto Cancelled = cancel("a");
  pass(500);
  EXPECT_FALSE(Cancelled->has_value());
  // The refusal relies on the same record.
  const auto Refused = submit("a", jobOf({step(1, 1)}));
  EXPECT_FALSE(Refused->has_value());
  m_outcome = AppendOutcome::Done;
  pass(500);
  EXPECT_EQ(verdictOf(Cancelled), Verdict::Gone);
  EXPECT_EQ(verdictOf(Refused), Verdict::Gone);
}

// If the store does not take it in time, the caller must ask again.
TEST_F(EarlyCancelTest, IsUnknownWhileTheStoreDoesNotAnswer) {
  addAgent("w");
  m_outcome.reset();
  const auto Cancelled = cancel("a");
  pass(3500);
  ASSERT_TRUE(Cancelled->has_value());
  EXPECT_EQ((*Cancelled)->m_verdict, Verdict::Unknown);
}

// One copy of the submission is refused because the store does not take it,
// another one waits in a frozen entry.
TEST_F(EarlyCancelTest, CancellingARefusedSubmissionRefusesItsCopies) {
  addAgent("w");
  m_outcome.reset();
  const auto Refused = submit("a", jobOf({step(1, 1)}));
  const auto Cancelled = cancel("a");
  m_outcome = AppendOutcome::NotDone;
  answerAppends();
  EXPECT_EQ(verdictOf(Refused), Verdict::Unavailable);
  EXPECT_FALSE(Cancelled->has_value());
  m_outcome = AppendOutcome::Done;
  pass(500);
  EXPECT_EQ(verdictOf(Cancelled), Verdict::Gone);
  restartLeader();
  expectRefused("a");
}

// The journal must not grow with each cancel for ever.
TEST_F(EarlyCancelTest, IsForgottenAfterTheRetentionTime) {
  addAgent("w");
  EXPECT_EQ(verdictOf(cancel("a")), Verdict::Gone);
  EXPECT_EQ(m_stored.size(), 1u);
  pass(m_timing.m_retentionMs - 1000);
  EXPECT_EQ(m_stored.size(), 1u);
  pass(2000);
  EXPECT_TRUE(m_stored.empty());
  EXPECT_EQ(verdictOf(submit("a", jobOf({step(1, 1)}))), Verdict::Ok);
}

// Beyond the limit the caller is told so, instead of an earlier cancel being
// forgotten.
TEST_F(EarlyCancelTest, TooManyAreRefusedAndNoneIsForgotten) {
  addAgent("w");
  std::size_t Count = 0;
  Verdict Last = Verdict::Gone;
  while (Last == Verdict::Gone && Count < 100000) {
    Last = verdictOf(cancel("job" + std::to_string(Count)));
    Count += Last == Verdict::Gone ? 1 : 0;
  }
  EXPECT_EQ(Last, Verdict::Overloaded);
  EXPECT_EQ(m_stored.size(), Count);
  EXPECT_GE(Count, 1000u);
  EXPECT_EQ(verdictOf(cancel("job0")), Verdict::Gone);
  expectRefused("job0");
}

// One account used up the limit for all, also under the next leader.
TEST_F(EarlyCancelTest, OneAccountLeavesRoomForTheCancelsOfOthers) {
  addAgent("w");
  Verdict Last = Verdict::Gone;
  for (int I = 0; I < 5000 && Last == Verdict::Gone; ++I)
    Last = verdictOf(cancel("job" + std::to_string(I)));
  EXPECT_EQ(Last, Verdict::Overloaded);
  for (const bool Restarted : {false, true}) {
    if (Restarted)
      restartLeader();
    EXPECT_EQ(verdictOf(cancel("more")), Verdict::Overloaded);
    CallerRequest R = request(CallerRequestKind::Cancel,
                              "other" + std::to_string(Restarted ? 1 : 0));
    R.m_account = "another";
    EXPECT_EQ(verdictOf(ask(R)), Verdict::Gone);
  }
}

TEST_F(EarlyCancelTest, AnUnreadableRecordRefusesTheSubmission) {
  addAgent("w");
  EXPECT_EQ(verdictOf(cancel("a")), Verdict::Gone);
  m_stored["cancelled/a"] = "{";
  EXPECT_FALSE(load().ok());
  const auto Reply = submit("a", jobOf({step(1, 1)}));
  EXPECT_EQ(verdictOf(Reply), Verdict::Unavailable);
}

} // namespace
} // namespace pomelokeel::batch::tests
