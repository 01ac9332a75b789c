#include "model/message.h"

#include "base/id.h"

namespace pomelokeel::model {

std::vector<std::uint8_t> encodeMessage(const Message &M) {
  return Json::to_msgpack(base::encodeCompact(M));
}

base::Result<Message> decodeMessage(const std::uint8_t *Data,
                                    std::size_t Size) {
  const Json J = base::parseMsgpack(Data, Size);
  if (J.is_discarded())
    return base::Error{base::ErrorKind::BadRequest, "not valid msgpack"};
  Message M;
  if (auto S = base::decodeCompact(J, "", M); !S)
    return S.error();
  return M;
}

std::uint32_t incarnationHash(const std::string &Incarnation) {
  return static_cast<std::uint32_t>(base::stableHash(Incarnation));
}

} // namespace pomelokeel::model
