#pragma once

#include "base/fields.h"
#include "http/reactor.h"
#include "node/follower.h"
#include "node/store.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace pomelokeel::node {

/// Who leads, as stored. The epoch is one more than the record's offset, so it
/// rises with each leader.
struct LeaderRecord {
  std::string m_member; ///< Name and incarnation; "" if the leader has left.
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

/// Reads a record of Stream::Leaders.
std::optional<LeaderRecord> parseLeader(const KeyedRecord &R);

/// The name of a member of the group of entries: `name#incarnation@address`.
std::string memberOf(const std::string &Name, const std::string &Incarnation,
                     const std::string &Address);

struct ElectionSettings {
  std::string m_name;
  std::string m_member;    ///< Made by memberOf().
  std::string m_address;   ///< Where other processes reach this one.
  Millis m_joinMs = 400;   ///< Time between joins.
  Millis m_handicapMs = 0; ///< Claims that nobody asked for wait this long.
  Millis m_ttlMs = 1600;   ///< Until a member that does not join is dropped.
};

/// Elects one of the entries through the store: members of a group there claim
/// an epoch by an append under a condition when the leader is no member any
/// more, has left, or is an earlier incarnation of the claimant.
class Election {
public:
  struct Handlers {
    std::function<void(std::int64_t /*Epoch*/)> m_elected;
    /// Another process leads, or none does.
    std::function<void(const LeaderRecord &)> m_leader;
    /// The store has confirmed that this process still leads, as of then.
    std::function<void(Millis)> m_confirmed;
    /// Members have joined or left.
    std::function<void()> m_members;
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

  /// Where the members of the group are reached.
  std::vector<std::string> addresses() const;

  /// True if the last call to the store was answered.
  bool storeReachable() const { return m_joinsFailed == 0; }

  /// Reads the leader's record again: the leader that is known does not answer.
  void refresh();

  /// Takes what another entry knows of the leader.
  void learn(const LeaderRecord &R);

  /// The leader of \p Epoch asks this process to lead instead of it.
  void takeOver(std::int64_t Epoch);

  /// Gives up leadership and does not claim it for \p CooldownMs.
  void resign(Millis CooldownMs);

  /// Leaves the group; \p Done is called when the store knows or cannot.
  void leave(std::function<void()> Done);

private:
  void join();
  void joined(const base::Result<Membership> &M, Millis SentAt);
  void readMembers();
  void takeRecord(const KeyedRecord &R);
  void consider();
  void claim();
  void setLeader(const LeaderRecord &R);
  void watchLeader();
  bool vacant() const;

  Store &m_store;
  const ElectionSettings m_settings;
  Handlers m_handlers;
  std::unique_ptr<http::Timer> m_joinTimer;
  std::unique_ptr<http::Timer> m_claimTimer;
  std::unique_ptr<Follower> m_follower;
  std::int64_t m_end = -1; ///< Of Stream::Leaders.
  LeaderRecord m_leader;
  bool m_leaderKnown = false;
  std::int64_t m_generation = 0;
  std::int64_t m_membersOf = -1; ///< Generation that m_members is of.
  std::set<std::string> m_members;
  bool m_leaderSeen = false;    ///< As a member, since its record.
  Millis m_leaderAbsent = -1;   ///< Since when it was not seen as one, or -1.
  std::int64_t m_givesWay = -1; ///< Epoch whose leader asked to be replaced.
  int m_joinsFailed = 0;        ///< In a row.
  bool m_claiming = false;
  bool m_leaving = false;
  Millis m_refreshedAt = 0;
  Millis m_claimAfter = 0;
  Millis m_distanceMs = 0; ///< Shortest time that a join took.
  std::shared_ptr<int> m_alive = std::make_shared<int>();
};

} // namespace pomelokeel::node
