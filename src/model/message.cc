#include "model/message.h"

namespace pomelokeel::model {

std::vector<std::uint8_t> encodeMessage(const Message &M) {
  return Json::to_msgpack(base::encode(M));
}

base::Result<Message> decodeMessage(const std::uint8_t *Data,
                                    std::size_t Size) {
  const Json J = base::parseMsgpack(Data, Size);
  if (J.is_discarded())
    return base::Error{base::ErrorKind::BadRequest, "not a msgpack map"};
  Message M;
  if (auto S = base::decode(J, "", M); !S)
    return S.error();
  return M;
}

} // namespace pomelokeel::model
