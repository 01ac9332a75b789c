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

struct AttachTiming {
  Millis m_linkTimeoutMs = 2000; ///< Without an answer an entry is left.
  Millis m_backoffMinMs = 200;   ///< After a failure; doubles.
  Millis m_backoffMaxMs = 10000;
  /// Between looks for an entry that is nearer than the present one.
  Millis m_nearerCheckMs = 10000;
};

/// What the owner of an Attachment has to do.
struct AttachActions {
  std::optional<model::Member> m_detachFrom; ///< Drop the link to it.
  std::optional<model::Member> m_attachTo;   ///< Send Attach to it at once.
  bool m_needMembers = false;                ///< Look for entries by HTTP.
};

/// Chooses the entry of an agent: one of its data centre, else of its region,
/// else any. Entries that refuse or do not answer are avoided for a time that
/// doubles, with jitter. Time is a parameter.
class Attachment {
public:
  Attachment(std::string DataCentre, std::string Region, AttachTiming Timing,
             std::uint64_t Seed);

  void setMembers(std::vector<model::Member> Members);

  /// The entry that reports go to, if any.
  const model::Member *entry() const { return m_entry ? &*m_entry : nullptr; }

  /// A report or heartbeat was sent with this request id.
  void onSent(std::uint64_t RequestId, Millis Now);

  /// An answer came from the process named \p From. Returns the time at which
  /// an entry that was connected to the leader had surely heard this agent, if
  /// the answer proves one.
  std::optional<Millis> onAnswer(const std::string &From,
                                 std::uint64_t RequestId,
                                 const model::AttachAnswer &A, Millis Now);

  AttachActions advance(Millis Now);

private:
  struct Penalty {
    Millis m_until = 0;
    Millis m_backoff = 0;
  };

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
  Millis m_answeredAt = 0; ///< Or when it was chosen.
  Millis m_nextNearerCheckAt = 0;
  Millis m_nextLookupAt = 0;
  std::map<std::string, Penalty> m_penalties;
  std::deque<std::pair<std::uint64_t, Millis>>
      m_unanswered; ///< Unanswered messages.
};

} // namespace pomelokeel::agent
