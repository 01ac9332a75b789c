#include "node/settings.h"

#include "settings/settings.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <sstream>

namespace pomelokeel::node {
namespace {

using base::Error;
using base::ErrorKind;

/// Longer times than 30 days are mistakes; sums and conversions of shorter ones
/// do not overflow.
constexpr Millis MaxBoundMs = 30LL * 24 * 3600 * 1000;
constexpr double MaxBoundS = 30.0 * 24 * 3600;
/// More events, connections or cores than any machine has.
constexpr int MaxCount = 1000000;
/// A quarter of it is MinCallerBytes.
constexpr int MinMemoryMb = 48;
constexpr std::int64_t MinCallerBytes = 12 * 1024 * 1024;
constexpr std::int64_t MaxCallerBytes = 1LL << 40;
constexpr std::int64_t MaxTimeoutMs = 3600 * 1000;
/// A quarter of the smallest machine, an agent's with 128 MB.
constexpr std::size_t DefaultCallerBytes = 32 * 1024 * 1024;

bool isBound(Millis Value, Millis Min) {
  return Value >= Min && Value <= MaxBoundMs;
}

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
    // Other processes could not connect to it.
    if (Split->m_port == 0)
      return Error{ErrorKind::BadSettings,
                   "\"" + std::string(A.m_name) +
                       "\" must name a port from 1 to 65535"};
  }
  return base::success();
}

base::Status checkCallerLimits(const CallerLimits &L) {
  struct Row {
    const char *m_name;
    const char *m_unit;
    std::int64_t m_value;
    std::int64_t m_min;
    std::int64_t m_max;
    const char *m_reason;
  };
  const Row Rows[] = {
      {"bytes", "bytes", L.m_bytes == 0 ? MinCallerBytes : L.m_bytes,
       MinCallerBytes, MaxCallerBytes,
       "or 0; ten requests of 262144 bytes must fit, with four copies each"},
      {"headerFields", "fields", L.m_headerFields, 20, MaxCount,
       "clients and balancers send up to 20"},
      {"aheadBytes", "bytes", L.m_aheadBytes, 1024, 1024 * 1024,
       "less makes each body take many reads"},
      {"requestMs", "ms", L.m_requestMs, 3000, MaxTimeoutMs,
       "callers wait 3000 ms"},
      {"responseMs", "ms", L.m_responseMs, 3000, MaxTimeoutMs,
       "callers wait 3000 ms"}};
  for (const Row &R : Rows) {
    if (R.m_value < R.m_min || R.m_value > R.m_max)
      return Error{ErrorKind::BadSettings,
                   fmt::format("\"callerLimits.{}\" must be from {} to {} {} "
                               "({})",
                               R.m_name, R.m_min, R.m_max, R.m_unit,
                               R.m_reason)};
  }
  return base::success();
}

base::Status checkSettings(const Settings &S, Role R) {
  if (S.m_name.empty())
    return Error{ErrorKind::BadSettings, "\"name\" must not be empty"};
  if (S.m_eventRing < 1 || S.m_eventRing > MaxCount || S.m_maxConnections < 1 ||
      S.m_maxConnections > MaxCount || S.m_cores < 0 || S.m_cores > MaxCount)
    return Error{
        ErrorKind::BadSettings,
        "\"eventRing\", \"maxConnections\" or \"cores\" is out of range"};
  if (S.m_memoryMb != 0 &&
      (S.m_memoryMb < MinMemoryMb || S.m_memoryMb > MaxCount))
    return Error{ErrorKind::BadSettings,
                 fmt::format("\"memoryMb\" must be 0 or from {} to {} MB; "
                             "a quarter must hold ten requests of 262144 "
                             "bytes",
                             MinMemoryMb, MaxCount)};
  if (auto Checked = checkCallerLimits(S.m_callerLimits); !Checked)
    return Checked;
  const Bounds &B = S.m_bounds;
  if (!isBound(B.m_leaseMaxMs, 1000) || !isBound(B.m_stopGraceMs, 0) ||
      !isBound(B.m_gangTimeoutMs, 1) || !isBound(B.m_configApplyMs, 1) ||
      !isBound(B.m_reclaimMs, 1) || B.m_graceS <= 0 || B.m_graceS > MaxBoundS ||
      B.m_statusS <= 0 || B.m_statusS > MaxBoundS)
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

std::size_t callerBytesOf(const Settings &S) {
  constexpr std::size_t BytesPerMb = 1024 * 1024;
  constexpr std::size_t Share = 4;
  if (S.m_callerLimits.m_bytes > 0)
    return static_cast<std::size_t>(S.m_callerLimits.m_bytes);
  return S.m_memoryMb > 0
             ? static_cast<std::size_t>(S.m_memoryMb) * BytesPerMb / Share
             : DefaultCallerBytes;
}

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
