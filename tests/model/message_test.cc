#include "model/message.h"

#include "mutate.h"

using namespace pomelokeel;
using namespace pomelokeel::model;

namespace {

Command sampleCommand() {
  Command C;
  C.m_job = "j";
  C.m_spec.m_key = "k";
  C.m_spec.m_account = "a";
  C.m_spec.m_class = "c";
  C.m_places = {{"w1", 0, 4}, {"w2", 4, 4}};
  C.m_peers = {"tcp://a", "tcp://b"};
  return C;
}

Message sampleMessage() {
  Message M = makeMessage(MessageKind::Command, "w1", sampleCommand());
  M.m_from = "e1";
  M.m_stamp = {5, 6};
  return M;
}

} // namespace

TEST(Message, MutatedDocumentsDecodeOrNameTheField) {
  detail::checkMutations(sampleMessage());
  detail::checkMutations(sampleCommand());
  AgentReport R;
  R.m_holds.resize(2);
  detail::checkMutations(R);
  detail::checkMutations(
      AttachAnswer{true, "r", {{"n", "i", "m", "h", "d", "r"}}});
}

// A damaged message must not crash the process that receives it.
TEST(Message, MutatedMsgpackIsDecodedOrRefused) {
  const auto Valid = encodeMessage(sampleMessage());
  EXPECT_TRUE(rc::check([&] {
    auto Bytes = Valid;
    detail::mutateBytes(Bytes);
    const auto M = decodeMessage(Bytes.data(), Bytes.size());
    RC_ASSERT((M.ok() || !M.error().m_message.empty()));
    if (!M)
      return;
    const auto Again = encodeMessage(*M);
    RC_ASSERT(decodeMessage(Again.data(), Again.size()).ok());
  }));
}
