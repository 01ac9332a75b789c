#pragma once

#include "base/clock.h"
#include "model/message.h"
#include "model/worker.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace pomelokeel::agent {

using base::Millis;

/// Timeouts and intervals of an Attachment.
struct AttachTiming {
  Millis m_linkTimeoutMs = 2000; ///< An entry that does not answer for this
                                 ///< long is left.
  Millis m_backoffMinMs = 200;   ///< After a failure; doubles with each one.
  Millis m_backoffMaxMs = 10000;
  /// Between searches for an entry that is nearer than the current one.
  Millis m_nearerCheckMs = 10000;
};

/// What the owner of an Attachment has to do.
struct AttachActions {
  std::optional<model::Member> m_detachFrom; ///< Close the link to it.
  std::optional<model::Member> m_attachTo;   ///< Send Attach to it at once.
  bool m_needMembers = false; ///< Read the list of entries by HTTP.
};

/// Chooses the entry that an agent attaches to: one in its data centre, else
/// one in its region, else any. Entries that refuse or do not answer are
/// avoided for a backoff that doubles, with jitter. Time is a parameter, in
/// milliseconds.
class Attachment {
public:
  Attachment(std::string DataCentre, std::string Region, AttachTiming Timing,
             std::uint64_t Seed);

  void setMembers(std::vector<model::Member> Members);

  /// The entry that the agent reports to, or null.
  const model::Member *entry() const { return m_entry ? &*m_entry : nullptr; }

  /// Records that a report or heartbeat was sent to the entry.
  void onSent(std::uint64_t RequestId, Millis Now);

  /// Handles an answer from the process named \p From. If it proves a contact
  /// with the leader through the entry, returns a time that is no later than
  /// the entry's receipt of the answered message and than its last contact with
  /// the leader.
  std::optional<Millis> onAnswer(const std::string &From,
                                 std::uint64_t RequestId,
                                 const model::AttachAnswer &A, Millis Now);

  AttachActions advance(Millis Now);

private:
  struct Penalty {
    Millis m_until = 0;
    Millis m_backoff = 0;
  };

  /// 0 in the same data centre, 1 in the same region, else 2.
  int distance(const model::Member &M) const;
  const model::Member *choose(Millis Now) const;
  void penalize(const std::string &Name, Millis Now);

  const std::string m_dataCentre;
  const std::string m_region;
  const AttachTiming m_timing;
  mutable std::mt19937_64 m_random;
  std::vector<model::Member> m_members;
  std::optional<model::Member> m_entry;
  bool m_refused = false;
  Millis m_answeredAt = 0; ///< Last answer, or when the entry was chosen.
  Millis m_nextNearerCheckAt = 0;
  Millis m_nextLookupAt = 0;
  std::map<std::string, Penalty> m_penalties;
  /// Request id and sending time.
  std::deque<std::pair<std::uint64_t, Millis>> m_unanswered;
};

} // namespace pomelokeel::agent
