#include "node/control.h"

#include "batch/messages.h"
#include "model/mutate.h"
#include "node/election.h"
#include "node/peers.h"

#include <gtest/gtest.h>

namespace pomelokeel::node::tests {
namespace {

batch::AgentReport report() {
  batch::AgentReport R;
  R.m_agent = "a";
  R.m_worker.emplace().m_id = "w";
  R.m_runs = {{"t.0.0.0", 1, batch::RunPhase::Running, 5, "s", 0}};
  R.m_ends = {{"t.0.0.1", 1, batch::EndKind::Done, "", 3, ""}};
  return R;
}

// Under a sanitizer this shows that no message of another process leads to
// undefined behaviour.
TEST(Control, MutatedMessagesAreReadOrRefused) {
  const base::Json Valid = base::encodeCompact(report());
  const bool Passed = rc::check([&] {
    base::Json J = Valid;
    model::detail::mutate(J);
    std::vector<std::uint8_t> Bytes = base::Json::to_msgpack(J);
    if (*rc::gen::arbitrary<bool>())
      model::detail::mutateBytes(Bytes);
    const std::string Body(Bytes.begin(), Bytes.end());
    if (const auto R = unpackMessage<batch::AgentReport>(Body))
      RC_ASSERT(unpackMessage<batch::AgentReport>(packMessage(*R)).ok());
    static_cast<void>(unpackMessage<batch::AgentReply>(Body));
    static_cast<void>(unpackMessage<batch::CallerRequest>(Body));
    static_cast<void>(unpackMessage<batch::CallerReply>(Body));
  });
  EXPECT_TRUE(Passed);
}

TEST(Control, ADeeplyNestedMessageIsRefused) {
  EXPECT_FALSE(
      unpackMessage<batch::AgentReport>(std::string(1000000, '\x91')).ok());
}

// Every message that cannot be read is refused, whatever it is read as.
TEST(Control, OddMessagesAreRefused) {
  const auto Repeat = [](const std::string &Part) {
    std::string Out;
    for (int I = 0; I < 100000; ++I)
      Out += Part;
    return Out;
  };
  using namespace std::string_literals;
  for (const std::string &Body :
       {""s, "\xc0"s, "\x07"s, "\xc1"s, "\xa1\xff"s, Repeat("\x91"),
        Repeat("\x81\xa1x"), "\xdd\xff\xff\xff\xff"s, "\xdf\xff\xff\xff\xff"s,
        "\xdb\xff\xff\xff\xff"s, "\xc6\xff\xff\xff\xff"s, "\x80"s,
        "\xcb\x7f\xf8\0\0\0\0\0\0"s, "{}"s}) {
    const std::string Name = Body.substr(0, 10);
    EXPECT_FALSE(unpackMessage<batch::AgentReport>(Body).ok()) << Name;
    EXPECT_FALSE(unpackMessage<batch::AgentReply>(Body).ok()) << Name;
    EXPECT_FALSE(unpackMessage<batch::CallerRequest>(Body).ok()) << Name;
    EXPECT_FALSE(unpackMessage<batch::CallerReply>(Body).ok()) << Name;
    EXPECT_FALSE(unpackMessage<TakeoverRequest>(Body).ok()) << Name;
    EXPECT_FALSE(unpackMessage<ConfigRecord>(Body).ok()) << Name;
  }
}

TEST(ParseLeader, MutatedRecordsAreReadOrRefused) {
  const base::Json Valid = base::encode(LeaderRecord{"n#1@h:1", "n", "h:1", 3});
  const bool Passed = rc::check([&] {
    base::Json J = Valid;
    model::detail::mutate(J);
    std::string Text = base::dumpJson(J);
    if (*rc::gen::arbitrary<bool>())
      model::detail::mutateBytes(Text);
    if (const auto L = parseLeader({LeaderKey, Text}, 3))
      RC_ASSERT(L->m_epoch <= 3);
  });
  EXPECT_TRUE(Passed);
}

} // namespace
} // namespace pomelokeel::node::tests
