#include "agent/attach.h"

#include <algorithm>

namespace pomelokeel::agent {
namespace {

constexpr std::size_t MaxUnanswered = 64;
/// An entry whose last contact with the leader is older does not count as
/// connected to it. Equals the default agent timeout of entries.
constexpr Millis LeaderAgeLimitMs = 3000;
constexpr Millis LookupIntervalMs = 1000;

} // namespace

Attachment::Attachment(std::string DataCentre, std::string Region,
                       AttachTiming Timing, std::uint64_t Seed)
    : m_dataCentre(std::move(DataCentre)), m_region(std::move(Region)),
      m_timing(Timing), m_random(Seed) {}

void Attachment::setMembers(std::vector<model::Member> Members) {
  if (Members.empty())
    return;
  m_members = std::move(Members);
  std::erase_if(m_penalties, [&](const auto &Item) {
    return std::none_of(
        m_members.begin(), m_members.end(),
        [&](const model::Member &M) { return M.m_name == Item.first; });
  });
}

int Attachment::distance(const model::Member &M) const {
  if (M.m_dataCentre == m_dataCentre)
    return 0;
  return M.m_region == m_region ? 1 : 2;
}

const model::Member *Attachment::choose(Millis Now) const {
  std::vector<const model::Member *> Nearest;
  for (const model::Member &M : m_members) {
    const auto P = m_penalties.find(M.m_name);
    if (P != m_penalties.end() && Now < P->second.m_until)
      continue;
    if (!Nearest.empty() && distance(M) > distance(*Nearest.front()))
      continue;
    if (!Nearest.empty() && distance(M) < distance(*Nearest.front()))
      Nearest.clear();
    Nearest.push_back(&M);
  }
  if (Nearest.empty())
    return nullptr;
  return Nearest[m_random() % Nearest.size()];
}

void Attachment::penalize(const std::string &Name, Millis Now) {
  Penalty &P = m_penalties[Name];
  P.m_backoff = std::clamp(2 * P.m_backoff, m_timing.m_backoffMinMs,
                           m_timing.m_backoffMaxMs);
  const auto Jitter = static_cast<Millis>(
      m_random() % static_cast<std::uint64_t>(P.m_backoff + 1));
  P.m_until = Now + P.m_backoff + Jitter;
}

void Attachment::onSent(std::uint64_t RequestId, Millis Now) {
  m_unanswered.emplace_back(RequestId, Now);
  if (m_unanswered.size() > MaxUnanswered)
    m_unanswered.pop_front();
}

// The entry received the message at its sending time or later, and its last
// contact with the leader was at most the reported age before its answer. So
// neither was before the sending time minus the age.
std::optional<Millis> Attachment::onAnswer(const std::string &From,
                                           std::uint64_t RequestId,
                                           const model::AttachAnswer &A,
                                           Millis Now) {
  if (!A.m_members.empty())
    setMembers(A.m_members);
  if (!m_entry || m_entry->m_name != From)
    return std::nullopt;
  if (!A.m_accepted) {
    m_refused = true;
    return std::nullopt;
  }
  const auto Sent =
      std::find_if(m_unanswered.begin(), m_unanswered.end(),
                   [&](const auto &Item) { return Item.first == RequestId; });
  if (Sent == m_unanswered.end())
    return std::nullopt;
  const Millis SentAt = Sent->second;
  m_unanswered.erase(m_unanswered.begin(), std::next(Sent));
  m_answeredAt = Now;
  m_penalties.erase(From);
  // An entry without the agent's report does not report the agent to the
  // leader.
  if (A.m_reportWanted || A.m_leaderAgeMs < 0 ||
      A.m_leaderAgeMs > LeaderAgeLimitMs)
    return std::nullopt;
  return SentAt - A.m_leaderAgeMs;
}

AttachActions Attachment::advance(Millis Now) {
  AttachActions Actions;
  const bool Silent = m_entry && Now - m_answeredAt >= m_timing.m_linkTimeoutMs;
  if (m_entry && (Silent || m_refused)) {
    penalize(m_entry->m_name, Now);
    Actions.m_detachFrom = std::move(m_entry);
    m_entry.reset();
    m_nextLookupAt = std::min(m_nextLookupAt, Now);
  }
  const bool CheckNearer =
      m_entry && Now >= m_nextNearerCheckAt && distance(*m_entry) > 0;
  if (m_entry && !CheckNearer)
    return Actions;
  const model::Member *Next = choose(Now);
  if (CheckNearer) {
    m_nextNearerCheckAt = Now + m_timing.m_nearerCheckMs;
    if (Next == nullptr || distance(*Next) >= distance(*m_entry))
      return Actions;
    Actions.m_detachFrom = std::move(m_entry);
  }
  if (Next != nullptr) {
    m_entry = *Next;
    m_refused = false;
    m_answeredAt = Now;
    m_nextNearerCheckAt = Now + m_timing.m_nearerCheckMs;
    m_unanswered.clear();
    Actions.m_attachTo = m_entry;
  }
  if (Next == nullptr || Actions.m_detachFrom) {
    Actions.m_needMembers = Now >= m_nextLookupAt;
    if (Actions.m_needMembers)
      m_nextLookupAt = Now + LookupIntervalMs;
  }
  return Actions;
}

} // namespace pomelokeel::agent
