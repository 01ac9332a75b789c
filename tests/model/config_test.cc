#include "model/config.h"

#include "mutate.h"

using namespace pomelokeel::model;

namespace {

// Each kind and schema has its own decoder for the body.
void checkBody(ConfigKind Kind, int Schema, const Json &Body) {
  const ConfigRecord Valid{Kind, "n", 1, 0, Schema, "me", Body};
  ASSERT_TRUE(checkRecord(Valid).ok()) << checkRecord(Valid).error().m_message;
  EXPECT_TRUE(rc::check([&] {
    ConfigRecord R = Valid;
    detail::mutate(R.m_body);
    const auto S = checkRecord(R);
    RC_ASSERT((S.ok() || detail::namesAField(S.error(), R.m_body)));
  }));
}

} // namespace

TEST(Config, MutatedBodiesDecodeOrNameTheField) {
  checkBody(ConfigKind::Account, 1, {{"blocks", 2}, {"blockSize", 4}});
  checkBody(ConfigKind::Account, 2,
            {{"guarantee", Json::array({{{"size", 4}, {"count", 2}}})}});
  checkBody(ConfigKind::JobClass, 2, {{"urgent", true}, {"maxAttempts", 2}});
  checkBody(ConfigKind::PlacementRule, 2, {{"strategy", "balanced"}});
  checkBody(ConfigKind::Drain, 2, {{"draining", true}});
}

TEST(Config, MutatedRecordsDecodeOrNameTheField) {
  detail::checkMutations(ConfigRecord{ConfigKind::Drain, "n", 1, 0, 2, "me",
                                      Json{{"worker", "w"}}});
}
