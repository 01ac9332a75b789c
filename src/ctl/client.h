#pragma once

#include "base/error.h"
#include "base/fields.h"

#include <string>
#include <vector>

namespace pomelokeel::ctl {

/// Calls entries over HTTP. A read tries the next address if an entry is
/// unreachable, times out or is not ready. A write does so only if the request
/// cannot have had an effect, so that it is not executed twice.
class Client {
public:
  Client(std::vector<std::string> Addresses, int TimeoutMs);

  /// Reads from the first address that answers.
  base::Result<base::Json> get(const std::string &Target) const;
  /// Sends a write. A \p Body of null is sent as an empty body.
  base::Result<base::Json> send(const std::string &Method,
                                const std::string &Target,
                                const base::Json &Body) const;

  /// Reads from \p Address only.
  base::Result<base::Json> getFrom(const std::string &Address,
                                   const std::string &Target) const;

  /// Reads \p Target and decodes the answer as a T.
  template <typename T> base::Result<T> read(const std::string &Target) const {
    return decodeAnswer<T>(get(Target));
  }

  /// Decodes a JSON answer as a T. Passes on the error of a failed call.
  template <typename T>
  static base::Result<T> decodeAnswer(const base::Result<base::Json> &Answer) {
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

/// Reads \p Target from an entry. If the entry answers that only the leader has
/// the complete answer, reads it from the leader, and keeps the incomplete
/// answer if the leader fails to answer.
base::Result<base::Json> getFromLeader(const Client &C,
                                       const std::string &Target);

} // namespace pomelokeel::ctl
