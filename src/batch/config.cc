#include "batch/config.h"

#include <algorithm>

namespace pomelokeel::batch {

const Route *findRoute(const Config &C, std::string_view Host,
                       std::string_view Path) {
  const Route *Best = nullptr;
  for (const Route &R : C.m_routes) {
    if (R.m_host != Host || !Path.starts_with(R.m_prefix))
      continue;
    if (Best == nullptr || R.m_prefix.size() > Best->m_prefix.size())
      Best = &R;
  }
  return Best;
}

const Account *findAccount(const Config &C, std::string_view Key) {
  if (Key.empty())
    return nullptr;
  for (const Account &A : C.m_accounts) {
    if (std::find(A.m_keys.begin(), A.m_keys.end(), Key) != A.m_keys.end())
      return &A;
  }
  return nullptr;
}

std::map<std::string, std::int64_t> guaranteesOf(const Config &C) {
  std::map<std::string, std::int64_t> Out;
  for (const Account &A : C.m_accounts)
    Out[A.m_name] = A.m_guaranteed;
  return Out;
}

} // namespace pomelokeel::batch
