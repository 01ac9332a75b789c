#include "state/state.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>

using namespace pomelokeel;
using base::ErrorKind;
using base::Json;
using model::RecordKind;

namespace {

/// A log that applies each record as it is appended.
class Log {
public:
  template <typename Body>
  state::Applied append(RecordKind Kind, const Body &B, std::uint64_t Epoch = 0,
                        base::Millis AdvanceMs = 1) {
    model::Record R;
    R.m_id = "r" + std::to_string(m_state.m_nextOffset);
    R.m_kind = Kind;
    R.m_by = "test";
    R.m_epoch = Epoch;
    R.m_body = base::encode(B);
    m_timeMs += AdvanceMs;
    return state::apply(m_state, {m_state.m_nextOffset, m_timeMs, R});
  }

  state::Applied publish(model::ConfigKind Kind, const std::string &Name,
                         std::uint64_t Previous, Json Body, int Schema = 2) {
    return append(RecordKind::ConfigPublished,
                  model::ConfigRecord{Kind, Name, Previous + 1, Previous,
                                      Schema, "op", std::move(Body)});
  }

  void addWorker(const std::string &Name) {
    model::Worker W;
    W.m_name = Name;
    W.m_incarnation = "1";
    W.m_dataCentre = "milano-a";
    W.m_region = "nord-ovest";
    W.m_rack = "r1";
    W.m_cores = 32;
    W.m_memoryMb = 64000;
    W.m_accelerators = 8;
    append(RecordKind::WorkerAnnounced, W);
  }

  void claim() {
    append(RecordKind::LeaderClaimed, model::LeaderClaim{"e1", "i1"},
           m_state.m_epoch + 1);
  }

  state::State m_state;
  base::Millis m_timeMs = 1000;
};

Json accountBody(int Size, int Count) {
  return {{"guarantee", Json::array({{{"size", Size}, {"count", Count}}})}};
}

model::JobSpec spec(const std::string &Key) {
  model::JobSpec S;
  S.m_key = Key;
  S.m_account = "acct";
  S.m_class = "batch";
  return S;
}

Log configuredLog() {
  Log L;
  L.addWorker("w1");
  L.publish(model::ConfigKind::Account, "acct", 0, accountBody(4, 0));
  L.publish(model::ConfigKind::JobClass, "batch", 0, Json::object());
  L.claim();
  return L;
}

} // namespace

// Guards against two operators who publish concurrently and are both told that
// their version was accepted.
TEST(StateMachine, RacingPublishersGetOneWinner) {
  Log L;
  EXPECT_TRUE(L.publish(model::ConfigKind::JobClass, "c", 0, Json::object())
                  .m_accepted);
  const auto Loser =
      L.publish(model::ConfigKind::JobClass, "c", 0, {{"urgent", true}});
  EXPECT_FALSE(Loser.m_accepted);
  EXPECT_EQ(Loser.m_error, ErrorKind::VersionConflict);
  EXPECT_EQ(L.m_state.m_configVersion, 1u);
  EXPECT_FALSE(state::findJobClass(L.m_state, "c")->m_urgent);
}

TEST(StateMachine, SchemasOneAndTwoWorkSideBySide) {
  Log L;
  L.addWorker("w1");
  EXPECT_TRUE(L.publish(model::ConfigKind::Account, "old", 0,
                        {{"blocks", 0}, {"blockSize", 4}}, 1)
                  .m_accepted);
  EXPECT_TRUE(L.publish(model::ConfigKind::Account, "new", 0, accountBody(4, 0))
                  .m_accepted);
  const auto Unknown =
      L.publish(model::ConfigKind::Account, "x", 0, accountBody(4, 0), 3);
  EXPECT_EQ(Unknown.m_error, ErrorKind::UnknownSchema);
  EXPECT_NE(Unknown.m_message.find("schema 3"), std::string::npos);
}

// Guards G4 and G5 against a leader that was frozen past a claim: its records
// are ignored.
TEST(StateMachine, StaleEpochChangesNothing) {
  Log L = configuredLog();
  L.append(RecordKind::JobSubmitted, model::Submission{"j1", spec("k1")});
  L.claim();
  const auto Stale = L.append(RecordKind::JobPlaced,
                              model::Placement{"j1", 1, {{"w1", 0, 0}}, ""}, 1);
  EXPECT_EQ(Stale.m_error, ErrorKind::StaleEpoch);
  EXPECT_EQ(L.m_state.m_jobs.at("j1").m_phase, model::JobPhase::Waiting);
  EXPECT_TRUE(L.append(RecordKind::JobPlaced,
                       model::Placement{"j1", 1, {{"w1", 0, 0}}, ""}, 2)
                  .m_accepted);
}

TEST(StateMachine, SecondClaimOfAnEpochIsRefused) {
  Log L;
  L.claim();
  const auto Late =
      L.append(RecordKind::LeaderClaimed, model::LeaderClaim{"e2", "i2"}, 1);
  EXPECT_EQ(Late.m_error, ErrorKind::StaleEpoch);
  EXPECT_EQ(L.m_state.m_leader, "e1");
}

// Guards G5 against a submission that was appended twice or at two entries.
TEST(StateMachine, SameKeyLeadsToOneJob) {
  Log L = configuredLog();
  L.append(RecordKind::JobSubmitted, model::Submission{"j1", spec("k1")});
  EXPECT_FALSE(
      L.append(RecordKind::JobSubmitted, model::Submission{"j2", spec("k1")})
          .m_accepted);
  EXPECT_EQ(L.m_state.m_jobs.size(), 1u);
  EXPECT_EQ(state::findJobByKey(L.m_state, "acct", "k1")->m_id, "j1");
}

// Guards G3 and G5 against two accounts that get each other's job because a
// name or a key contains the separator.
TEST(StateMachine, KeysOfAccountsWithSlashesAreDistinct) {
  Log L = configuredLog();
  const std::array Accounts = {"a", "a/b", "a~1b", "a~", "a/"};
  const std::array Keys = {"b/c", "c", "/c", "1b/c", "~1b/c"};
  for (const char *Account : Accounts)
    L.publish(model::ConfigKind::Account, Account, 0, accountBody(1, 0));
  const auto IdOf = [](const char *Account, const char *Key) {
    return std::string(Account) + " " + Key;
  };
  for (const char *Account : Accounts) {
    for (const char *Key : Keys) {
      model::JobSpec S = spec(Key);
      S.m_account = Account;
      EXPECT_TRUE(L.append(RecordKind::JobSubmitted,
                           model::Submission{IdOf(Account, Key), S})
                      .m_accepted)
          << IdOf(Account, Key);
    }
  }
  for (const char *Account : Accounts) {
    for (const char *Key : Keys) {
      const model::Job *J = state::findJobByKey(L.m_state, Account, Key);
      ASSERT_NE(J, nullptr);
      EXPECT_EQ(J->m_id, IdOf(Account, Key));
    }
  }
}

// Guards G5 against a snapshot of an older version, which did not escape the
// account: its jobs are still found by their keys.
TEST(Snapshots, KeysWithoutEscapesAreRead) {
  Log L = configuredLog();
  L.publish(model::ConfigKind::Account, "a/b", 0, accountBody(1, 0));
  model::JobSpec S = spec("c");
  S.m_account = "a/b";
  L.append(RecordKind::JobSubmitted, model::Submission{"j1", S});
  L.m_state.m_jobByKey = {{"a/b/c", "j1"}};
  state::SnapshotReader Reader;
  for (auto &C : state::encodeSnapshot(L.m_state, "old"))
    Reader.add(C);
  const auto Loaded = Reader.newest();
  ASSERT_TRUE(Loaded.has_value());
  ASSERT_NE(state::findJobByKey(*Loaded, "a/b", "c"), nullptr);
  EXPECT_EQ(state::findJobByKey(*Loaded, "a", "b/c"), nullptr);
}

TEST(StateMachine, OutcomeIsFinal) {
  Log L = configuredLog();
  L.append(RecordKind::JobSubmitted, model::Submission{"j1", spec("k1")});
  L.append(RecordKind::JobPlaced, model::Placement{"j1", 1, {{"w1", 0, 0}}, ""},
           1);
  EXPECT_TRUE(L.append(RecordKind::JobFinished,
                       model::Finish{"j1",
                                     1,
                                     {model::Outcome::Completed, std::nullopt,
                                      "", Json::array({1})}},
                       1)
                  .m_accepted);
  EXPECT_FALSE(
      L.append(RecordKind::JobFinished,
               model::Finish{"j1", 1, {model::Outcome::Failed, {}, "", {}}}, 1)
          .m_accepted);
  EXPECT_EQ(L.m_state.m_jobs.at("j1").m_result->m_outcome,
            model::Outcome::Completed);
}

TEST(StateMachine, CancelBeforePlacementIsNotRun) {
  Log L = configuredLog();
  L.append(RecordKind::JobSubmitted, model::Submission{"j1", spec("k1")});
  L.append(RecordKind::JobCancelRequested, model::CancelRequest{"j1", "op"});
  EXPECT_EQ(L.m_state.m_jobs.at("j1").m_result->m_outcome,
            model::Outcome::NotRun);
  EXPECT_EQ(L.append(RecordKind::JobPlaced,
                     model::Placement{"j1", 1, {{"w1", 0, 0}}, ""}, 1)
                .m_error,
            ErrorKind::StaleFence);
}

TEST(StateMachine, OutcomesAreDroppedAfterRetention) {
  Log L = configuredLog();
  L.append(RecordKind::JobSubmitted, model::Submission{"j1", spec("k1")});
  L.append(RecordKind::JobCancelRequested, model::CancelRequest{"j1", "op"});
  L.append(RecordKind::LeaderRenewed, model::LeaderClaim{"e1", "i1"}, 1,
           state::Retention().m_outcomeMs + 1);
  EXPECT_TRUE(L.m_state.m_jobs.empty());
  EXPECT_TRUE(L.m_state.m_jobByKey.empty());
}

// Guards against a state that differs after a restart from a snapshot: a random
// log that is cut anywhere, reloaded and continued must give the same state.
RC_GTEST_PROP(StateMachine, SnapshotAndTailEqualWholeLog, ()) {
  Log Whole = configuredLog();
  const int Steps = *rc::gen::inRange(1, 60);
  const int Cut = *rc::gen::inRange(0, Steps);
  std::optional<Log> Restarted;
  for (int I = 0; I < Steps; ++I) {
    if (I == Cut) {
      state::SnapshotReader Reader;
      auto Chunks = state::encodeSnapshot(Whole.m_state, "s", 100);
      std::reverse(Chunks.begin(), Chunks.end());
      for (auto &C : Chunks)
        Reader.add(C);
      const auto Loaded = Reader.newest();
      RC_ASSERT(Loaded.has_value());
      Restarted.emplace(Log{*Loaded, Whole.m_timeMs});
    }
    const std::string Job = "j" + std::to_string(*rc::gen::inRange(0, 6));
    const int Attempt = *rc::gen::inRange(0, 4);
    const int Step = *rc::gen::inRange(0, 7);
    const auto Append = [&](Log &L) {
      switch (Step) {
      case 0:
        L.append(RecordKind::JobSubmitted, model::Submission{Job, spec(Job)});
        break;
      case 1:
        L.append(RecordKind::JobCancelRequested,
                 model::CancelRequest{Job, "op"});
        break;
      case 2:
        L.append(RecordKind::JobPlaced,
                 model::Placement{Job, Attempt, {{"w1", 0, 0}}, ""}, 1);
        break;
      case 3:
        L.append(RecordKind::JobStarted, model::JobStart{Job, Attempt}, 1);
        break;
      case 4:
        L.append(RecordKind::JobRequeued,
                 model::Requeue{Job, Attempt, "x", true, false, 5, Json()}, 1);
        break;
      case 5:
        L.append(RecordKind::JobFinished,
                 model::Finish{Job,
                               Attempt,
                               {model::Outcome::Failed,
                                ErrorKind::AttemptsExhausted, "", Json()}},
                 1);
        break;
      default:
        L.publish(model::ConfigKind::JobClass, Job,
                  static_cast<std::uint64_t>(Attempt), Json::object());
      }
    };
    Append(Whole);
    if (Restarted)
      Append(*Restarted);
  }
  RC_ASSERT(base::encode(Restarted->m_state) == base::encode(Whole.m_state));
}

// Guards against loading an incomplete snapshot of a leader that crashed while
// writing it.
TEST(Snapshots, IncompleteOnesAreSkipped) {
  Log L = configuredLog();
  state::SnapshotReader Reader;
  for (auto &C : state::encodeSnapshot(L.m_state, "old", 50))
    Reader.add(C);
  L.publish(model::ConfigKind::JobClass, "late", 0, Json::object());
  auto Newer = state::encodeSnapshot(L.m_state, "new", 50);
  Newer.pop_back();
  for (auto &C : Newer)
    Reader.add(C);
  const auto Loaded = Reader.newest();
  ASSERT_TRUE(Loaded.has_value());
  EXPECT_EQ(Loaded->m_nextOffset + 1, L.m_state.m_nextOffset);
}

// Guards G4: without this flag a job that ran in an earlier attempt could be
// reported as not run after a later attempt that never started.
TEST(StateMachine, RequeueKeepsThatTheJobMayHaveRun) {
  Log L = configuredLog();
  L.append(RecordKind::JobSubmitted, model::Submission{"j1", spec("k1")});
  const auto Attempt = [&](int Number, bool MayHaveRun) {
    L.append(RecordKind::JobPlaced,
             model::Placement{"j1", Number, {{"w1", 0, 0}}, ""}, 1);
    model::Requeue R{"j1", Number};
    R.m_mayHaveRun = MayHaveRun;
    L.append(RecordKind::JobRequeued, R, 1);
    return L.m_state.m_jobs.at("j1").m_mayHaveRun;
  };
  EXPECT_FALSE(Attempt(1, false));
  EXPECT_TRUE(Attempt(2, true));
  EXPECT_TRUE(Attempt(3, false));
}

// Guards G5: the leader must be able to tell an agent that has run since before
// a placement from one that was restarted after it.
TEST(StateMachine, WorkerKeepsTheOffsetOfItsIncarnation) {
  Log L;
  L.addWorker("w1");
  L.addWorker("w2");
  L.addWorker("w1");
  EXPECT_EQ(L.m_state.m_workers.at("w1").m_sinceOffset, 0u);
  model::Worker W = L.m_state.m_workers.at("w2").m_worker;
  W.m_incarnation = "2";
  L.append(RecordKind::WorkerAnnounced, W);
  EXPECT_EQ(L.m_state.m_workers.at("w2").m_sinceOffset, 3u);
}

// Guards against an announcement that restores a worker with which the leader
// is still out of contact: announcement and leader would keep changing its
// standing.
TEST(StateMachine, OnlyANewIncarnationRestoresALostWorker) {
  Log L;
  L.claim();
  L.addWorker("w1");
  L.append(RecordKind::WorkerStandingChanged,
           model::StandingChange{"w1", model::WorkerStanding::Lost, "silent"},
           1);
  L.addWorker("w1");
  const state::AnnouncedWorker &W = L.m_state.m_workers.at("w1");
  EXPECT_EQ(W.m_standing, model::WorkerStanding::Lost);
  model::Worker Restarted = W.m_worker;
  Restarted.m_incarnation = "2";
  L.append(RecordKind::WorkerAnnounced, Restarted);
  EXPECT_EQ(W.m_standing, model::WorkerStanding::Healthy);
  EXPECT_EQ(W.m_standingReason, "");
}

// Guards a worker that has returned against a leader that was frozen, or that
// saw only its earlier incarnation.
TEST(StateMachine, WorkerIsRemovedOnlyByTheCurrentLeader) {
  Log L;
  L.claim();
  L.addWorker("w1");
  L.claim();
  const auto Left = [&](const char *Incarnation, std::uint64_t Epoch) {
    return L.append(RecordKind::WorkerLeft, model::Departure{"w1", Incarnation},
                    Epoch);
  };
  EXPECT_EQ(Left("1", 0).m_error, ErrorKind::StaleEpoch);
  EXPECT_EQ(Left("1", 1).m_error, ErrorKind::StaleEpoch);
  EXPECT_EQ(Left("0", 2).m_error, ErrorKind::NotFound);
  EXPECT_TRUE(L.m_state.m_workers.contains("w1"));
  EXPECT_TRUE(Left("1", 2).m_accepted);
  EXPECT_TRUE(L.m_state.m_workers.empty());
}
