#pragma once

#include "base/error.h"
#include "base/fields.h"

#include <string>
#include <vector>

namespace pomelokeel::ctl {

/// Calls entries over HTTP. Reads try the next address if one cannot be
/// reached; writes do so only if the request was surely not sent.
class Client {
public:
  Client(std::vector<std::string> Addresses, int TimeoutMs);

  base::Result<base::Json> get(const std::string &Target) const;
  base::Result<base::Json> send(const std::string &Method,
                                const std::string &Target,
                                const base::Json &Body) const;

  /// Reads from one address only.
  base::Result<base::Json> getFrom(const std::string &Address,
                                   const std::string &Target) const;

  /// Reads Target as a T.
  template <typename T> base::Result<T> read(const std::string &Target) const {
    return decoded<T>(get(Target));
  }

  template <typename T>
  static base::Result<T> decoded(const base::Result<base::Json> &Answer) {
    if (!Answer)
      return Answer.error();
    T Out;
    if (auto S = base::decode(*Answer, "", Out); !S)
      return S.error();
    return Out;
  }

private:
  std::vector<std::string> m_addresses;
  int m_timeoutMs;
};

} // namespace pomelokeel::ctl
