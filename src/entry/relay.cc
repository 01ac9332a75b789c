#include "entry/relay.h"

#include "base/id.h"

#include <algorithm>

namespace pomelokeel::entry {
namespace {

// A silent connection is redialled after the link timeout and up to one ping
// interval, which may be longer than the first repetition takes.
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

ReportSteps Relay::onReport(const model::AgentReport &R, Millis NowMs) {
  ReportSteps Steps;
  const auto [It, Inserted] = m_agents.try_emplace(R.m_worker.m_name);
  Agent &A = It->second;
  Steps.m_attached =
      Inserted || A.m_report.m_worker.m_incarnation != R.m_worker.m_incarnation;
  // An announcement is due once per descriptor. If an older agent of the same
  // name still runs elsewhere, the two do not overwrite each other forever.
  if (A.m_report.m_worker != R.m_worker)
    A.m_announceDue = true;
  if (Steps.m_attached)
    A.m_expectedAfter.reset();
  A.m_report = R;
  A.m_heardMs = NowMs;
  A.m_print = fingerprint(R);
  m_changed = m_changed || Steps.m_attached || A.m_silent;
  Steps.m_passOn = shouldPassOn(A, NowMs);
  Steps.m_announce = startAnnouncing(A);
  return Steps;
}

// A heartbeat of another incarnation is no sign of life of the agent whose
// report is held here. One that names an older report was overtaken by it.
HeartbeatSteps Relay::onHeartbeat(const std::string &Worker,
                                  const model::AgentHeartbeat &H,
                                  Millis NowMs) {
  HeartbeatSteps Steps;
  const auto It = m_agents.find(Worker);
  if (It == m_agents.end() ||
      model::incarnationHash(It->second.m_report.m_worker.m_incarnation) !=
          H.m_incarnation) {
    Steps.m_reportWanted = true;
    return Steps;
  }
  Agent &A = It->second;
  A.m_heardMs = NowMs;
  A.m_report.m_configVersion =
      std::max(A.m_report.m_configVersion, H.m_configVersion);
  m_changed = m_changed || A.m_silent;
  Steps.m_reportWanted = H.m_sequence > A.m_report.m_sequence;
  Steps.m_passOn = !Steps.m_reportWanted && shouldPassOn(A, NowMs);
  Steps.m_announce = startAnnouncing(A);
  return Steps;
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

bool Relay::shouldPassOn(const Agent &A, Millis NowMs) const {
  if (!A.m_passedMs || A.m_passedPrint != A.m_print || isExpected(A))
    return true;
  const Millis Interval =
      carriesResult(A.m_report) ? m_timing.m_resultMs : m_timing.m_reportMs;
  return NowMs - *A.m_passedMs >= Interval;
}

void Relay::passedOn(const std::string &Worker, Millis NowMs) {
  const auto It = m_agents.find(Worker);
  if (It == m_agents.end())
    return;
  It->second.m_passedMs = NowMs;
  It->second.m_passedPrint = It->second.m_print;
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
    It->second.m_passedMs.reset();
}

void Relay::requestAnnouncement(const std::string &Worker) {
  const auto It = m_agents.find(Worker);
  if (It != m_agents.end())
    It->second.m_announceDue = true;
}

void Relay::announced(const std::string &Worker, bool Done) {
  const auto It = m_agents.find(Worker);
  if (It == m_agents.end())
    return;
  It->second.m_announcing = false;
  It->second.m_announceDue = !Done;
}

std::vector<std::string> Relay::dropSilent(Millis NowMs) {
  std::vector<std::string> Dropped;
  for (const auto &[Name, A] : m_agents) {
    if (NowMs - A.m_heardMs >= m_timing.m_forgetMs)
      Dropped.push_back(Name);
  }
  for (const std::string &Name : Dropped)
    m_agents.erase(Name);
  m_changed = m_changed || !Dropped.empty();
  return Dropped;
}

std::optional<model::Digest> Relay::digestDue(Millis NowMs) {
  for (auto &[Name, A] : m_agents)
    m_changed = m_changed || A.m_silent != (NowMs - A.m_heardMs >=
                                            m_timing.m_agentTimeoutMs);
  Millis Interval = m_digestRepeats > 0 ? m_timing.m_repeatDigestMs
                                        : m_timing.m_quietDigestMs;
  if (m_changed)
    Interval = m_timing.m_digestMs;
  if (m_digestMs && NowMs - *m_digestMs < Interval)
    return std::nullopt;
  model::Digest Out;
  for (auto &[Name, A] : m_agents) {
    const Millis Silent = NowMs - A.m_heardMs;
    A.m_silent = Silent >= m_timing.m_agentTimeoutMs;
    Out.m_agents.push_back({Name, Silent});
  }
  m_digestMs = NowMs;
  m_digestRepeats =
      m_changed ? DigestRepeats : std::max(m_digestRepeats - 1, 0);
  m_changed = false;
  return Out;
}

void Relay::leaderChanged() {
  m_digestMs.reset();
  m_remote.clear();
  m_listings.clear();
  for (auto &[Name, A] : m_agents)
    A.m_passedMs.reset();
}

std::vector<const model::AgentReport *> Relay::reports() const {
  std::vector<const model::AgentReport *> Out;
  for (const auto &[Name, A] : m_agents)
    Out.push_back(&A.m_report);
  return Out;
}

const model::AgentReport *Relay::find(const std::string &Worker) const {
  const auto It = m_agents.find(Worker);
  return It == m_agents.end() ? nullptr : &It->second.m_report;
}

void Relay::onDigest(const std::string &Entry, const std::string &Address,
                     const model::Digest &D, Millis NowMs) {
  m_listings[Entry] = {Address, D, NowMs, NowMs};
  for (const model::DigestEntry &E : D.m_agents) {
    const Millis Heard = NowMs - E.m_silentMs;
    const auto [It, Inserted] = m_remote.try_emplace(E.m_worker);
    if (Inserted || Heard >= It->second.m_heardMs)
      It->second = {Entry, Address, Heard};
  }
}

std::vector<model::Digest>
Relay::liveDigests(const std::function<Millis(const std::string &)> &Silence,
                   Millis NowMs) {
  std::erase_if(m_listings, [&](const auto &Item) {
    return NowMs - Item.second.m_listedMs >= m_timing.m_forgetMs;
  });
  std::vector<model::Digest> Out;
  for (auto &[Entry, L] : m_listings) {
    const Millis Silent = Silence(L.m_address);
    if (NowMs - L.m_listedMs > m_timing.m_listingMs ||
        NowMs - L.m_repeatedMs < m_timing.m_digestMs || Silent < 0 ||
        Silent > 2 * m_timing.m_digestMs)
      continue;
    L.m_repeatedMs = NowMs;
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
  if (HasLocal &&
      (!HasOther || Local->second.m_heardMs >= Other->second.m_heardMs))
    return RelayRoute{true, "", Local->second.m_report.m_worker.m_agentAddress};
  if (HasOther)
    return RelayRoute{false, Other->second.m_entry, Other->second.m_address};
  return std::nullopt;
}

} // namespace pomelokeel::entry
