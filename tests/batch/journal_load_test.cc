#include "base/compact.h"
#include "leader_fixture.h"
#include "model/mutate.h"

namespace pomelokeel::batch::tests {
namespace {

using JournalLoadTest = LeaderTest;

constexpr const char *Id = "00000000000000aa";

// Guards against an access past the end: the progress of a job had tasks that
// its specification does not have.
TEST_F(JournalLoadTest, ARecordWithOtherTasksThanItsJobIsUnreadable) {
  addAgent("w");
  submit(Id, jobOf({step(3, 1), step(2, 2)}));
  pass(300);
  Progress P = m_leader->jobs().at(Id).m_progress;
  P.m_occurrences[0].push_back(P.m_occurrences[0][0]);
  m_stored[journalKey(StateKey, Id)] = base::dumpJson(base::encodeCompact(P));
  EXPECT_FALSE(load().ok());
  pass(1000);
  EXPECT_EQ((*ask(request(CallerRequestKind::Query, Id)))->m_verdict,
            Verdict::Unavailable);
}

// Guards against a specification that the checks of a submission would refuse:
// its tasks did not fit into the memory.
TEST_F(JournalLoadTest, ASpecificationOutOfRangeIsUnreadable) {
  addAgent("w");
  submit(Id, jobOf({step(3, 1)}));
  pass(300);
  JobSpec S = m_leader->jobs().at(Id).m_spec;
  S.m_steps[0].m_count = std::int64_t{1} << 60;
  m_stored[journalKey(SpecKey, Id)] = base::dumpJson(base::encodeCompact(S));
  EXPECT_FALSE(load().ok());
  S.m_steps[0].m_count = 3;
  S.m_id = "00000000000000bb";
  m_stored[journalKey(SpecKey, Id)] = base::dumpJson(base::encodeCompact(S));
  EXPECT_FALSE(load().ok());
  EXPECT_TRUE(m_leader->jobs().empty());
}

// Whatever a record holds, the leader goes on, and so does the job beside it.
TEST_F(JournalLoadTest, MutatedRecordsNeverHideTheOtherJobs) {
  addAgent("w");
  submit(Id, jobOf({step(2, 1), step(1, 2)}));
  submit("00000000000000bb", jobOf({step(1, 1)}));
  pass(300);
  const auto Stored = m_stored;
  const bool Passed = rc::check([&] {
    m_stored = Stored;
    const auto Prefix = *rc::gen::element(SpecKey, StateKey);
    std::string &Value = m_stored[journalKey(Prefix, Id)];
    base::Json J = base::parseJson(Value);
    model::detail::mutate(J);
    Value = base::dumpJson(J);
    if (*rc::gen::inRange(0, 4) == 0)
      model::detail::mutateBytes(Value);
    static_cast<void>(load());
    pass(500);
    RC_ASSERT(m_leader->jobs().contains("00000000000000bb"));
    RC_ASSERT((*ask(request(CallerRequestKind::Query, "00000000000000bb")))
                  ->m_verdict == Verdict::Ok);
    RC_ASSERT((*ask(request(CallerRequestKind::Query, Id)))->m_verdict !=
              Verdict::Gone);
  });
  EXPECT_TRUE(Passed);
}

} // namespace
} // namespace pomelokeel::batch::tests
