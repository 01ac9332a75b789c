#include "http/http.h"

#include "base/fields.h"
#include "http/detail.h"

#include <fmt/format.h>

#include <charconv>
#include <cstring>
#include <string_view>

#include <strings.h>

namespace pomelokeel::http {
namespace {

bool isUnreserved(unsigned char C) {
  return (C >= 'a' && C <= 'z') || (C >= 'A' && C <= 'Z') ||
         (C >= '0' && C <= '9') || std::strchr("-._~", C) != nullptr;
}

std::string percentDecode(std::string_view Text) {
  std::string Out;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    unsigned Value = 0;
    if (Text[I] == '%' && I + 2 < Text.size()) {
      const char *End = Text.data() + I + 3;
      const auto Parsed = std::from_chars(End - 2, End, Value, 16);
      if (Parsed.ptr == End) {
        Out += static_cast<char>(Value);
        I += 2;
        continue;
      }
    }
    Out += Text[I] == '+' ? ' ' : Text[I];
  }
  return Out;
}

} // namespace

std::string_view headerOf(const std::vector<Header> &Headers,
                          std::string_view Name) {
  for (const Header &H : Headers) {
    if (H.m_name.size() == Name.size() &&
        strncasecmp(H.m_name.data(), Name.data(), Name.size()) == 0)
      return H.m_value;
  }
  return "";
}

std::string pathOf(const std::string &Target) {
  return Target.substr(0, Target.find('?'));
}

std::string queryOf(const std::string &Target, const std::string &Name) {
  const std::string_view All = Target;
  std::size_t Begin = All.find('?');
  while (Begin != std::string_view::npos) {
    const std::size_t End = All.find('&', Begin + 1);
    const auto Pair = All.substr(
        Begin + 1, End == std::string_view::npos ? End : End - Begin - 1);
    const std::size_t Equals = Pair.find('=');
    if (percentDecode(Pair.substr(0, Equals)) == Name)
      return Equals == std::string_view::npos
                 ? ""
                 : percentDecode(Pair.substr(Equals + 1));
    Begin = End;
  }
  return "";
}

std::string percentEncode(const std::string &Text) {
  std::string Out;
  for (const char C : Text) {
    const auto Byte = static_cast<unsigned char>(C);
    if (Byte != 0 && isUnreserved(Byte))
      Out += C;
    else
      Out += fmt::format("%{:02X}", Byte);
  }
  return Out;
}

Response errorResponse(const base::Error &E) {
  const base::ErrorInfo &Answer = base::errorInfo(E.m_kind);
  const base::Json Body = {{"error",
                            {{"kind", Answer.m_name},
                             {"message", E.m_message},
                             {"notRun", Answer.m_notRun},
                             {"retryable", Answer.m_retryable}}}};
  Response R;
  R.m_status = Answer.m_httpStatus;
  R.m_body = base::dumpJson(Body);
  return R;
}

namespace detail {

base::Result<HostPort> splitHostPort(const std::string &Address) {
  const base::Error Bad{base::ErrorKind::BadSettings,
                        "\"" + Address + "\" is not of the form host:port"};
  const std::size_t Colon = Address.rfind(':');
  if (Colon == std::string::npos || Colon == 0)
    return Bad;
  HostPort Out{Address.substr(0, Colon), 0};
  const char *End = Address.data() + Address.size();
  const auto Parsed =
      std::from_chars(Address.data() + Colon + 1, End, Out.m_port);
  if (Parsed.ec != std::errc() || Parsed.ptr != End)
    return Bad;
  if (Out.m_host.front() == '[' && Out.m_host.back() == ']')
    Out.m_host = Out.m_host.substr(1, Out.m_host.size() - 2);
  return Out;
}

} // namespace detail
} // namespace pomelokeel::http
