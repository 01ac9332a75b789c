#include "entry/relay.h"

#include "base/id.h"

#include <algorithm>

namespace pomelokeel::entry {
namespace {

// A dead connection is redialled after the link timeout plus up to one ping
// interval. The first repetition may be sent before that, and be lost too.
constexpr int DigestRepeats = 2;

bool isEnded(model::HoldState State) {
  return State >= model::HoldState::Succeeded;
}

bool carriesResult(const model::AgentReport &R) {
  return std::any_of(R.m_holds.begin(), R.m_holds.end(),
                     [](const auto &H) { return isEnded(H.m_state); });
}

// A hash of the parts of a report whose change the leader must see at once.
// Usage is not among them: it changes all the time.
std::uint64_t fingerprint(const model::AgentReport &R) {
  base::Json J;
  J["worker"] = base::encode(R.m_worker);
  J["holds"] = base::encode(R.m_holds);
  J["draining"] = R.m_draining;
  J["reachable"] = R.m_workerReachable;
  return base::stableHash(
      J.dump(-1, ' ', false, base::Json::error_handler_t::replace));
}

} // namespace

Relay::Relay(RelayTiming Timing) : m_timing(Timing) {}

ReportActions Relay::onReport(const model::AgentReport &R, Millis NowMs) {
  ReportActions Actions;
  const auto [It, Inserted] = m_agents.try_emplace(R.m_worker.m_name);
  Agent &A = It->second;
  Actions.m_attached =
      Inserted || A.m_report.m_worker.m_incarnation != R.m_worker.m_incarnation;
  // Each worker descriptor is announced only once. Otherwise two agents with
  // the same name would overwrite each other's announcement forever.
  if (A.m_report.m_worker != R.m_worker)
    A.m_announceDue = true;
  if (Actions.m_attached)
    A.m_expectedAfter.reset();
  A.m_report = R;
  A.m_lastContactMs = NowMs;
  A.m_reportHash = fingerprint(R);
  m_changed = m_changed || Actions.m_attached || A.m_silent;
  Actions.m_forward = shouldForward(A, NowMs);
  Actions.m_announce = startAnnouncing(A);
  return Actions;
}

// A heartbeat of another incarnation does not count as contact with the agent
// whose report is stored here. A heartbeat with an older sequence than the
// stored report was sent before that report, so no report is missing.
HeartbeatActions Relay::onHeartbeat(const std::string &Worker,
                                    const model::AgentHeartbeat &H,
                                    Millis NowMs) {
  HeartbeatActions Actions;
  const auto It = m_agents.find(Worker);
  if (It == m_agents.end() ||
      model::incarnationHash(It->second.m_report.m_worker.m_incarnation) !=
          H.m_incarnation) {
    Actions.m_reportWanted = true;
    return Actions;
  }
  Agent &A = It->second;
  A.m_lastContactMs = NowMs;
  A.m_report.m_configVersion =
      std::max(A.m_report.m_configVersion, H.m_configVersion);
  m_changed = m_changed || A.m_silent;
  Actions.m_reportWanted = H.m_sequence > A.m_report.m_sequence;
  Actions.m_forward = !Actions.m_reportWanted && shouldForward(A, NowMs);
  Actions.m_announce = startAnnouncing(A);
  return Actions;
}

bool Relay::startAnnouncing(Agent &A) {
  if (!A.m_announceDue || A.m_announcing)
    return false;
  A.m_announcing = true;
  return true;
}

bool Relay::isExpected(const Agent &A) {
  return A.m_expectedAfter && (A.m_report.m_sequence == 0 ||
                               A.m_report.m_sequence > *A.m_expectedAfter);
}

bool Relay::shouldForward(const Agent &A, Millis NowMs) const {
  if (!A.m_forwardedMs || A.m_forwardedHash != A.m_reportHash || isExpected(A))
    return true;
  const Millis Interval = carriesResult(A.m_report) ? m_timing.m_resultReportMs
                                                    : m_timing.m_reportMs;
  return NowMs - *A.m_forwardedMs >= Interval;
}

void Relay::onReportForwarded(const std::string &Worker, Millis NowMs) {
  const auto It = m_agents.find(Worker);
  if (It == m_agents.end())
    return;
  It->second.m_forwardedMs = NowMs;
  It->second.m_forwardedHash = It->second.m_reportHash;
  if (isExpected(It->second))
    It->second.m_expectedAfter.reset();
}

void Relay::expectReport(const std::string &Worker, std::uint64_t Sequence) {
  const auto It = m_agents.find(Worker);
  if (It == m_agents.end())
    return;
  auto &After = It->second.m_expectedAfter;
  After = std::max(After.value_or(0), Sequence);
}

void Relay::repeatReport(const std::string &Worker) {
  const auto It = m_agents.find(Worker);
  if (It != m_agents.end())
    It->second.m_forwardedMs.reset();
}

void Relay::requestAnnouncement(const std::string &Worker) {
  const auto It = m_agents.find(Worker);
  if (It != m_agents.end())
    It->second.m_announceDue = true;
}

void Relay::onAnnouncementAnswered(const std::string &Worker, bool Done) {
  const auto It = m_agents.find(Worker);
  if (It == m_agents.end())
    return;
  It->second.m_announcing = false;
  It->second.m_announceDue = !Done;
}

std::vector<std::string> Relay::dropSilent(Millis NowMs) {
  std::vector<std::string> Dropped;
  for (const auto &[Name, A] : m_agents) {
    if (NowMs - A.m_lastContactMs >= m_timing.m_forgetMs)
      Dropped.push_back(Name);
  }
  for (const std::string &Name : Dropped)
    m_agents.erase(Name);
  m_changed = m_changed || !Dropped.empty();
  return Dropped;
}

std::optional<model::Digest> Relay::digestDue(Millis NowMs) {
  for (auto &[Name, A] : m_agents)
    m_changed = m_changed || A.m_silent != (NowMs - A.m_lastContactMs >=
                                            m_timing.m_agentTimeoutMs);
  Millis Interval = m_digestRepeats > 0 ? m_timing.m_repeatDigestMs
                                        : m_timing.m_unchangedDigestMs;
  if (m_changed)
    Interval = m_timing.m_digestMs;
  if (m_lastDigestMs && NowMs - *m_lastDigestMs < Interval)
    return std::nullopt;
  model::Digest Out;
  for (auto &[Name, A] : m_agents) {
    const Millis Silent = NowMs - A.m_lastContactMs;
    A.m_silent = Silent >= m_timing.m_agentTimeoutMs;
    Out.m_agents.push_back({Name, Silent});
  }
  m_lastDigestMs = NowMs;
  m_digestRepeats =
      m_changed ? DigestRepeats : std::max(m_digestRepeats - 1, 0);
  m_changed = false;
  return Out;
}

void Relay::onLeaderChanged() {
  m_lastDigestMs.reset();
  m_remote.clear();
  m_receivedDigests.clear();
  for (auto &[Name, A] : m_agents)
    A.m_forwardedMs.reset();
}

std::vector<const model::AgentReport *> Relay::reports() const {
  std::vector<const model::AgentReport *> Out;
  for (const auto &[Name, A] : m_agents)
    Out.push_back(&A.m_report);
  return Out;
}

const model::AgentReport *Relay::findReport(const std::string &Worker) const {
  const auto It = m_agents.find(Worker);
  return It == m_agents.end() ? nullptr : &It->second.m_report;
}

void Relay::onDigest(const std::string &Entry, const std::string &Address,
                     const model::Digest &D, Millis NowMs) {
  m_receivedDigests[Entry] = {Address, D, NowMs, NowMs};
  for (const model::DigestEntry &E : D.m_agents) {
    const Millis LastContactMs = NowMs - E.m_silentMs;
    const auto [It, Inserted] = m_remote.try_emplace(E.m_worker);
    if (Inserted || LastContactMs >= It->second.m_lastContactMs)
      It->second = {Entry, Address, LastContactMs};
  }
}

std::vector<model::Digest>
Relay::liveDigests(const std::function<Millis(const std::string &)> &Silence,
                   Millis NowMs) {
  std::erase_if(m_receivedDigests, [&](const auto &Item) {
    return NowMs - Item.second.m_receivedMs >= m_timing.m_forgetMs;
  });
  std::vector<model::Digest> Out;
  for (auto &[Entry, L] : m_receivedDigests) {
    const Millis Silent = Silence(L.m_address);
    if (NowMs - L.m_receivedMs > m_timing.m_digestValidMs ||
        NowMs - L.m_deliveredMs < m_timing.m_digestMs || Silent < 0 ||
        Silent > 2 * m_timing.m_digestMs)
      continue;
    L.m_deliveredMs = NowMs;
    Out.emplace_back();
    for (const model::DigestEntry &E : L.m_digest.m_agents) {
      if (E.m_silentMs < m_timing.m_agentTimeoutMs)
        Out.back().m_agents.push_back(E);
    }
  }
  return Out;
}

void Relay::forgetEntry(const std::string &Entry) {
  std::erase_if(m_remote,
                [&](const auto &Item) { return Item.second.m_entry == Entry; });
}

std::optional<RelayRoute> Relay::route(const std::string &Worker) const {
  const auto Local = m_agents.find(Worker);
  const auto Other = m_remote.find(Worker);
  const bool HasLocal = Local != m_agents.end();
  const bool HasOther = Other != m_remote.end();
  if (HasLocal && (!HasOther || Local->second.m_lastContactMs >=
                                    Other->second.m_lastContactMs))
    return RelayRoute{true, "", Local->second.m_report.m_worker.m_agentAddress};
  if (HasOther)
    return RelayRoute{false, Other->second.m_entry, Other->second.m_address};
  return std::nullopt;
}

} // namespace pomelokeel::entry
