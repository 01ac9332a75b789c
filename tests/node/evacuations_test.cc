#include "node/evacuations.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>

namespace pomelokeel::node::tests {
namespace {

std::optional<std::string> readKey(const std::string &Key) {
  return Key.starts_with("evacuate/") ? std::optional(Key.substr(9))
                                      : std::nullopt;
}

class EvacuationsTest : public testing::Test {
protected:
  using Names = std::set<std::string>;

  Evacuations m_evacuations{readKey,
                            [this](const std::string &, bool) { ++m_changes; }};
  int m_changes = 0;
};

TEST_F(EvacuationsTest, ARecordBeginsAndItsDeletionEndsAnEvacuation) {
  EXPECT_TRUE(m_evacuations.apply({"evacuate/a", "{}"}, 1));
  EXPECT_EQ(m_evacuations.dataCentres(), Names{"a"});
  EXPECT_TRUE(m_evacuations.apply({"evacuate/a", ""}, 2));
  EXPECT_TRUE(m_evacuations.dataCentres().empty());
  EXPECT_EQ(m_changes, 2);
}

TEST_F(EvacuationsTest, OtherRecordsAreLeftToOtherReaders) {
  EXPECT_FALSE(m_evacuations.apply({"config", "{}"}, 1));
  EXPECT_TRUE(m_evacuations.dataCentres().empty());
}

// Guards against a data centre that stays out of use: the record that took it
// back was dropped from the history before it was read.
TEST_F(EvacuationsTest, ASnapshotEndsEvacuationsWhoseDeletionWasNotSeen) {
  m_evacuations.apply({"evacuate/a", "{}"}, 1);
  m_evacuations.applySnapshot({{"config", "1"}, {"evacuate/b", "{}"}}, 9);
  EXPECT_EQ(m_evacuations.dataCentres(), Names{"b"});
}

// Guards against an entry that goes back to what it had read before another
// entry told it more.
TEST_F(EvacuationsTest, OlderRecordsDoNotReplaceWhatAnotherEntryHasRead) {
  m_evacuations.adopt({"a"}, 7);
  m_evacuations.apply({"evacuate/a", ""}, 6);
  m_evacuations.applySnapshot({}, 6);
  m_evacuations.adopt({}, 7);
  EXPECT_EQ(m_evacuations.dataCentres(), Names{"a"});
  m_evacuations.applySnapshot({}, 8);
  EXPECT_TRUE(m_evacuations.dataCentres().empty());
}

} // namespace
} // namespace pomelokeel::node::tests
