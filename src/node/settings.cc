#include "node/settings.h"

#include "settings/settings.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <sstream>

namespace pomelokeel::node {
namespace {

using base::Error;
using base::ErrorKind;

struct AddressField {
  const char *m_name;
  std::string Settings::*m_member;
};

constexpr std::array CommonAddresses = {
    AddressField{"store", &Settings::m_store},
    AddressField{"controlListen", &Settings::m_controlListen},
};
constexpr std::array EntryAddresses = {
    AddressField{"callerListen", &Settings::m_callerListen},
    AddressField{"readyListen", &Settings::m_readyListen},
};
constexpr std::array AgentAddresses = {
    AddressField{"workerListen", &Settings::m_workerListen},
    AddressField{"endpoint", &Settings::m_endpoint},
};

template <typename Table>
base::Status checkAddresses(const Settings &S, const Table &Rows) {
  for (const AddressField &A : Rows) {
    const auto Split = settings::splitAddress(S.*(A.m_member));
    if (!Split)
      return Error{ErrorKind::BadSettings, "\"" + std::string(A.m_name) +
                                               "\" " + Split.error().m_message};
  }
  return base::success();
}

base::Status checkSettings(const Settings &S, Role R) {
  if (S.m_name.empty())
    return Error{ErrorKind::BadSettings, "\"name\" must not be empty"};
  if (S.m_eventRing < 1 || S.m_maxConnections < 1)
    return Error{ErrorKind::BadSettings,
                 "\"eventRing\" and \"maxConnections\" must be positive"};
  const Bounds &B = S.m_bounds;
  if (B.m_leaseMaxMs < 1000 || B.m_stopGraceMs < 0 || B.m_gangTimeoutMs < 1 ||
      B.m_configApplyMs < 1 || B.m_reclaimMs < 1 || B.m_graceS <= 0 ||
      B.m_statusS <= 0)
    return Error{ErrorKind::BadSettings,
                 "a value of \"bounds\" is out of range"};
  if (auto Checked = checkAddresses(S, CommonAddresses); !Checked)
    return Checked;
  return R == Role::Entry ? checkAddresses(S, EntryAddresses)
                          : checkAddresses(S, AgentAddresses);
}

/// A change of leader takes about two seconds and a restart of an agent one.
constexpr Millis MaxLeaseMs = 6000;

} // namespace

Millis leaseOf(const Bounds &B) { return std::min(B.m_leaseMaxMs, MaxLeaseMs); }

base::Result<Settings> loadSettings(const std::string &File, Role R) {
  std::ifstream In(File);
  if (!In)
    return Error{ErrorKind::BadSettings, File + ": cannot be read"};
  std::stringstream Text;
  Text << In.rdbuf();
  auto Parsed = base::parse<Settings>(Text.str());
  if (!Parsed)
    return Error{ErrorKind::BadSettings,
                 File + ": " + Parsed.error().m_message};
  if (auto Checked = checkSettings(*Parsed, R); !Checked)
    return Error{ErrorKind::BadSettings,
                 File + ": " + Checked.error().m_message};
  return Parsed;
}

} // namespace pomelokeel::node
