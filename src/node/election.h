#pragma once

#include "base/fields.h"
#include "base/names.h"
#include "http/reactor.h"
#include "node/follower.h"
#include "node/store.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace pomelokeel::node {

/// The stored record of the current leader. The epoch is the offset of the
/// record plus one, so each new leader has a higher epoch.
struct LeaderRecord {
  std::string m_member; ///< Made by memberOf(); "" if the leader has resigned.
  std::string m_name;
  std::string m_address;
  std::int64_t m_epoch = 0;

  static constexpr auto fields() {
    return std::tuple{base::required("member", &LeaderRecord::m_member),
                      base::required("name", &LeaderRecord::m_name),
                      base::required("address", &LeaderRecord::m_address),
                      base::required("epoch", &LeaderRecord::m_epoch)};
  }
};

/// Key of the leader's record in Stream::Leaders.
constexpr const char *LeaderKey = "leader";

/// Reads a record of Stream::Leaders, which ends at the offset \p End. Returns
/// std::nullopt if it is malformed or its epoch is not that of a record before
/// \p End.
std::optional<LeaderRecord> parseLeader(const KeyedRecord &R, std::int64_t End);

/// Formats the name under which an entry joins the group:
/// `name#incarnation@address`.
std::string memberOf(const std::string &Name, const std::string &Incarnation,
                     const std::string &Address);

/// How an entry has learned of a leader record.
enum class RecordSource {
  Claim,  ///< The answer to its own claim.
  Stream, ///< A read of the store.
  Peer    ///< Another entry.
};

struct ElectionSettings {
  std::string m_name;
  std::string m_member;      ///< Made by memberOf().
  std::string m_address;     ///< `host:port` for other processes.
  Millis m_joinMs = 400;     ///< Interval between joins.
  Millis m_joinDelayMs = 0;  ///< Added before the first join.
  Millis m_claimDelayMs = 0; ///< Added before unsolicited claims.
  Millis m_ttlMs = 1600;     ///< Membership ends after this without a join.
};

/// Leader election among the entries. A few of them, the candidates, join a
/// group in the store; the others join when too few are left. A candidate
/// claims the next epoch by a conditional append to Stream::Leaders when the
/// leader has resigned, has asked to be replaced, is an earlier incarnation of
/// the same entry, or is no longer a member and does not answer that it leads.
///
/// The leader is confirmed by reads of its own record, which show that there is
/// no later one.
class Election {
public:
  struct Handlers {
    /// This process has become the leader.
    std::function<void(std::int64_t /*Epoch*/)> m_elected;
    /// The leader has changed: another process leads, or none does.
    std::function<void(const LeaderRecord &)> m_leaderChanged;
    /// This process still led at the given time, as confirmed by the store.
    std::function<void(Millis)> m_leadershipConfirmed;
    /// Asks the given leader whether it leads and the store has confirmed that
    /// lately. Calls the function once; false also if there is no answer.
    std::function<void(const LeaderRecord &, std::function<void(bool)>)>
        m_askLeader;
    /// Candidates have joined or left the group.
    std::function<void()> m_membersChanged;
    std::function<void(const std::string &Name, const std::string &Detail)>
        m_event;
  };

  Election(http::Reactor &R, Store &S, ElectionSettings Settings, Handlers H);
  ~Election();

  const LeaderRecord &leader() const { return m_leader; }
  bool leads() const {
    return !m_leader.m_member.empty() &&
           m_leader.m_member == m_settings.m_member;
  }
  std::size_t members() const { return m_members.size(); }

  /// Addresses of the members of the group. A member without a valid one is
  /// left out.
  std::vector<std::string> addresses() const;

  /// True if this entry has joined the group.
  bool isCandidate() const { return m_candidate; }

  /// True unless the last join, or the last read of the group, failed.
  bool storeReachable() const { return m_unreachableSince < 0; }

  /// How long the store has not been reachable, in ms.
  Millis storeUnreachableMs(Millis Now) const {
    return storeReachable() ? 0 : Now - m_unreachableSince;
  }

  /// Reads the leader's record again. Called when the known leader does not
  /// answer.
  void refresh();

  /// Adopts the leader record of another entry if its epoch is higher.
  void updateFromPeer(const LeaderRecord &R);

  /// Claims leadership because the leader of \p Epoch has asked for it. Ignored
  /// if that leader is no longer the current one.
  void claimOnRequest(std::int64_t Epoch);

  /// Gives up leadership.
  void resign();

  /// Resigns and leaves the group. Calls \p Done when the store has answered or
  /// the call has failed.
  void leave(std::function<void()> Done);

private:
  void checkGroup(bool Delayed);
  void leaveIfUnlisted();
  void recordRoundTrip(Millis SentAt);
  void setStoreReachable(bool Reachable);
  void join();
  void handleJoinResult(const base::Result<Membership> &M, Millis SentAt);
  void readMembers();
  void handleLeaderRecord(const KeyedRecord &R);
  void adopt(const LeaderRecord &R, RecordSource From);
  /// Lowest end that Stream::Leaders can have. The known leader's record may be
  /// newer than the last read.
  std::int64_t knownEnd() const {
    return std::max(m_streamEnd, m_leader.m_epoch);
  }
  void scheduleClaim();
  void askLeader();
  void continueClaim();
  void claim();
  void storeResignation(const LeaderRecord &R);
  void setLeader(const LeaderRecord &R);
  void updateLeaderPresence();
  void setMembers(const std::vector<std::string> &Members,
                  std::int64_t Generation);
  bool mayClaim() const;

  Store &m_store;
  const ElectionSettings m_settings;
  Handlers m_handlers;
  std::unique_ptr<http::Timer> m_joinTimer;
  std::unique_ptr<http::Timer> m_claimTimer;
  std::unique_ptr<http::Timer> m_resignTimer;
  std::unique_ptr<Follower> m_follower;
  std::int64_t m_streamEnd = -1; ///< Of Stream::Leaders; -1: not known yet.
  LeaderRecord m_leader;
  bool m_leaderKnown = false;
  std::int64_t m_generation = 0;
  std::int64_t m_membersGeneration = -1; ///< Of m_members; -1: not read yet.
  std::set<std::string> m_members;
  bool m_leaderWasMember = false;    ///< It was a member since its record came.
  Millis m_leaderAbsentSince = -1;   ///< Time it was first missing, or -1.
  std::int64_t m_yieldingEpoch = -1; ///< Its leader asked to be replaced.
  /// Time of the first failed join since the last successful one, or -1.
  Millis m_unreachableSince = -1;
  bool m_candidate = false;
  /// Joins only if the group has fewer members than this.
  std::size_t m_wantedMembers;
  /// Since when this candidate is missing in the list of members, or -1.
  Millis m_unlistedSince = -1;
  bool m_claiming = false;
  /// What a claim waits for: its delay, and the leader's answer.
  bool m_claimDelayed = false;
  bool m_claimAsking = false;
  Millis m_claimSentAt = 0;
  bool m_leaving = false;
  Millis m_refreshedAt = 0;
  Millis m_minRoundTripMs = 0; ///< Shortest duration of a join.
  /// Callbacks hold it weakly and do nothing after this object is destroyed.
  std::shared_ptr<int> m_alive = std::make_shared<int>();
};

} // namespace pomelokeel::node

namespace pomelokeel::base {
template <> struct NameTable<node::RecordSource> {
  static constexpr std::array<std::string_view, 3> Names = {"claim", "stream",
                                                            "peer"};
};
} // namespace pomelokeel::base
