#include "entry/submissions.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>

using namespace pomelokeel;
using namespace pomelokeel::entry;
using logclient::AppendFate;

namespace {

using Answers = std::vector<http::Response>;

Waiter waiter(Answers &Out, Millis DeadlineMs = 0, bool ForOutcome = false) {
  Waiter W;
  W.m_respond = [&Out](http::Response R) { Out.push_back(std::move(R)); };
  W.m_deadlineMs = DeadlineMs;
  W.m_acceptMs = 1000;
  W.m_forOutcome = ForOutcome;
  return W;
}

model::JobSpec spec(const std::string &Key) {
  model::JobSpec S;
  S.m_key = Key;
  S.m_account = "acct";
  S.m_class = "batch";
  return S;
}

// The state after the record of \p Job for \p Key was applied.
void accept(state::State &S, const std::string &Job, const model::JobSpec &Spec,
            bool Finished = false) {
  model::Job J;
  J.m_id = Job;
  J.m_spec = Spec;
  if (Finished) {
    J.m_phase = model::JobPhase::Finished;
    J.m_result = model::JobResult{model::Outcome::Completed, {}, "", {}};
  }
  S.m_jobs[Job] = J;
  S.m_jobByKey[Spec.m_account + "/" + Spec.m_key] = Job;
}

logclient::AppendOutcome fate(AppendFate Fate) {
  logclient::AppendOutcome Out;
  Out.m_fate = Fate;
  Out.m_error = {Fate == AppendFate::NoEffect ? base::ErrorKind::LogUnavailable
                                              : base::ErrorKind::LogUnconfirmed,
                 "test"};
  return Out;
}

bool saysNotRun(const http::Response &R) {
  return R.m_body.find("\"notRun\":true") != std::string::npos;
}

// Number of answers so far that say `notRun`.
std::size_t refusals(const std::map<int, Answers> &Out) {
  std::size_t Count = 0;
  for (const auto &[Caller, Given] : Out)
    Count += static_cast<std::size_t>(
        std::count_if(Given.begin(), Given.end(), saysNotRun));
  return Count;
}

bool saysUnconfirmed(const http::Response &R) {
  return R.m_status == 202 &&
         R.m_body.find("logUnconfirmed") != std::string::npos;
}

} // namespace

// Guards G4: `notRun` is answered at once if the append certainly had no
// effect, and only then.
TEST(Submissions, AppendWithoutEffectIsNotRun) {
  Submissions S({});
  Answers Out;
  const auto Record = S.submit(spec("k"), waiter(Out, 500, true), 0);
  ASSERT_TRUE(Record.has_value());
  S.onAppendAnswered(Record->m_job, fate(AppendFate::NoEffect), 1);
  ASSERT_EQ(Out.size(), 1U);
  EXPECT_TRUE(saysNotRun(Out[0]));
  EXPECT_EQ(S.pending(), 0U);
}

// Guards G4: a retry whose append is refused is not reported as not run if an
// earlier append for the same key may have taken effect.
TEST(Submissions, RefusedRetryAfterALostAnswerIsUnconfirmed) {
  Submissions S({});
  Answers Out;
  const auto First = S.submit(spec("k"), waiter(Out), 0);
  S.onAppendAnswered(First->m_job, fate(AppendFate::Unconfirmed), 1);
  const auto Retry = S.submit(spec("k"), waiter(Out), 2);
  ASSERT_TRUE(Retry.has_value());
  EXPECT_EQ(Retry->m_job, First->m_job);
  S.onAppendAnswered(Retry->m_job, fate(AppendFate::NoEffect), 3);
  ASSERT_EQ(Out.size(), 2U);
  EXPECT_TRUE(saysUnconfirmed(Out[0]));
  EXPECT_TRUE(saysUnconfirmed(Out[1]));
}

// Guards G3: a caller that waits for the outcome gets it even if the append
// was unconfirmed.
TEST(Submissions, RecordReadBackAfterALostAnswerIsAnswered) {
  Submissions S({});
  Answers Out;
  const auto Record = S.submit(spec("k"), waiter(Out, 500, true), 0);
  S.onAppendAnswered(Record->m_job, fate(AppendFate::Unconfirmed), 1);
  EXPECT_TRUE(Out.empty());
  state::State State;
  accept(State, Record->m_job, spec("k"));
  S.onApplied(State, *Record);
  EXPECT_TRUE(Out.empty());
  accept(State, Record->m_job, spec("k"), true);
  S.onFinished(State.m_jobs.at(Record->m_job));
  ASSERT_EQ(Out.size(), 1U);
  EXPECT_EQ(Out[0].m_status, 200);
}

// Guards G5: concurrent callers with the same key share one append.
TEST(Submissions, SameKeyJoinsTheAppendInFlight) {
  Submissions S({});
  Answers Out;
  const auto First = S.submit(spec("k"), waiter(Out), 0);
  EXPECT_FALSE(S.submit(spec("k"), waiter(Out), 0).has_value());
  auto Other = spec("k");
  Other.m_cores = 9;
  EXPECT_FALSE(S.submit(Other, waiter(Out), 0).has_value());
  ASSERT_EQ(Out.size(), 1U);
  EXPECT_NE(Out[0].m_body.find("versionConflict"), std::string::npos);
  state::State State;
  accept(State, First->m_job, spec("k"));
  S.onApplied(State, *First);
  EXPECT_EQ(Out.size(), 3U);
}

// If another entry's record for the key comes first, callers get its job
// instead of a second one.
TEST(Submissions, AnotherEntrysRecordDecidesTheKey) {
  Submissions S({});
  Answers Out;
  const auto Mine = S.submit(spec("k"), waiter(Out), 0);
  state::State State;
  accept(State, "theirs", spec("k"));
  S.onApplied(State, model::Submission{"theirs", spec("k")});
  ASSERT_EQ(Out.size(), 1U);
  EXPECT_NE(Out[0].m_body.find("theirs"), std::string::npos);
  S.onAppendAnswered(Mine->m_job, fate(AppendFate::NoEffect), 1);
  EXPECT_EQ(Out.size(), 1U);
}

TEST(Submissions, FullQueueIsNotRun) {
  Submissions S({1, 10, 1000});
  Answers Out;
  EXPECT_TRUE(S.submit(spec("a"), waiter(Out), 0).has_value());
  EXPECT_FALSE(S.submit(spec("b"), waiter(Out), 0).has_value());
  ASSERT_EQ(Out.size(), 1U);
  EXPECT_TRUE(saysNotRun(Out[0]));
  EXPECT_NE(Out[0].m_body.find("queueFull"), std::string::npos);
}

// Guards G3 and G4 over random interleavings: each caller gets exactly one
// answer, and none that says `notRun` after an append that may have taken
// effect.
RC_GTEST_PROP(Submissions, EveryCallerGetsOneCorrectAnswer, ()) {
  Submissions S({4, 20, 1000});
  state::State State;
  std::map<int, Answers> Out;
  std::vector<model::Submission> InFlight;
  bool MayHaveRun = false;
  int Caller = 0;
  const int Steps = *rc::gen::inRange(1, 60);
  for (int Now = 0; Now < Steps; ++Now) {
    const auto Spec = spec("k");
    switch (*rc::gen::inRange(0, 5)) {
    case 0: {
      const auto *Known = state::findJobByKey(State, "acct", "k");
      Waiter W = waiter(Out[Caller++], Now + *rc::gen::inRange(0, 40),
                        *rc::gen::arbitrary<bool>());
      if (Known)
        S.await(*Known, std::move(W));
      else if (auto Record = S.submit(Spec, std::move(W), Now))
        InFlight.push_back(*Record);
      break;
    }
    case 1: {
      if (InFlight.empty())
        break;
      const auto Fate = *rc::gen::element(
          AppendFate::Done, AppendFate::NoEffect, AppendFate::Unconfirmed);
      const auto Earlier = refusals(Out);
      MayHaveRun = MayHaveRun || Fate != AppendFate::NoEffect;
      S.onAppendAnswered(InFlight.back().m_job, fate(Fate), Now);
      InFlight.pop_back();
      RC_ASSERT(!MayHaveRun || refusals(Out) == Earlier);
      break;
    }
    case 2:
      if (!MayHaveRun || state::findJobByKey(State, "acct", "k"))
        break;
      accept(State, "j", Spec);
      S.onApplied(State, {"j", Spec});
      break;
    case 3:
      if (!state::findJobByKey(State, "acct", "k"))
        break;
      accept(State, "j", Spec, true);
      S.onFinished(State.m_jobs.at("j"));
      break;
    default:
      S.tick(State, Now);
    }
  }
  S.answerAll(State);
  for (int C = 0; C < Caller; ++C)
    RC_ASSERT(Out[C].size() == 1U);
  RC_ASSERT(S.waiters() == 0U);
}

// A caller gets exactly one answer, in whichever order the read-back, the
// append's answer and the deadline occur.
TEST(PendingRecords, AnswersOnce) {
  PendingRecords P(2);
  Answers Out;
  const auto Answer = [](const state::State &, const state::Applied &) {
    return http::Response{200, "applied", ""};
  };
  P.add("a", waiter(Out, 100), Answer);
  P.add("b", waiter(Out, 100), Answer);
  EXPECT_TRUE(P.full());
  P.onAppendAnswered("a", fate(AppendFate::Unconfirmed));
  EXPECT_TRUE(Out.empty());
  P.onApplied({}, "a", {});
  P.onApplied({}, "a", {});
  P.onAppendAnswered("a", fate(AppendFate::NoEffect));
  ASSERT_EQ(Out.size(), 1U);
  EXPECT_EQ(Out[0].m_body, "applied");
  P.tick(100);
  ASSERT_EQ(Out.size(), 2U);
  EXPECT_FALSE(saysNotRun(Out[1]));
}
