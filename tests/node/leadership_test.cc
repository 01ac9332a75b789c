#include "entry_fixture.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <functional>
#include <iterator>
#include <limits>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace pomelokeel::node::tests {
namespace {

using batch::Verdict;

/// From the end of the last fault until all callers are served again, in ms.
constexpr Millis RecoveryMs = 12000;

/// Three entries with a store of their own.
class Fleet {
public:
  static constexpr std::size_t Size = 3;
  static constexpr Millis StoreTimeoutMs = 1000; ///< Of a call to the store.

  Fleet(http::Reactor &R, unsigned Seed) : m_random(Seed) {
    m_shared->m_records[Stream::Operator] = {{"config", "1"}};
    for (std::size_t I = 0; I < Size; ++I) {
      m_entries[I] = std::make_unique<Entry>(
          R, m_shared, std::string(1, static_cast<char>(NameOfFirst + I)));
      m_entries[I]->m_store.m_timeoutMs = StoreTimeoutMs;
    }
  }

  std::size_t claims() const {
    return m_shared->m_records[Stream::Leaders].size();
  }

  /// Index of the entry that leads, or Size.
  std::size_t leader() const {
    const auto It =
        std::find_if(m_entries.begin(), m_entries.end(), [](const auto &E) {
          return E->m_counters.get("leader_epoch") > 0;
        });
    return static_cast<std::size_t>(std::distance(m_entries.begin(), It));
  }

  /// Index of the entry whose leader record is the newest, or Size.
  std::size_t elected() const {
    const auto &All = m_shared->m_records[Stream::Leaders];
    const auto Newest =
        All.empty()
            ? std::nullopt
            : parseLeader(All.back(), static_cast<std::int64_t>(All.size()));
    if (!Newest || Newest->m_name.empty())
      return Size;
    return static_cast<std::size_t>(Newest->m_name[0] - NameOfFirst);
  }

  /// Lets the memberships of entries that reach no store expire, and begins or
  /// ends faults. To be called every few milliseconds.
  void step(Millis Now) {
    for (std::size_t I = 0; I < Size; ++I) {
      FakeStore &S = m_entries[I]->m_store;
      S.m_onConditionalAppend = [this, I] { turnAwayAfterClaim(I); };
      if (!S.m_unreachable)
        m_reachedAt[I] = Now;
      if (Now - m_reachedAt[I] > MembershipMs)
        expire(I);
      if (Now >= m_turnAwayAt[I])
        turnAway(I, Now);
      if (Now < m_faultUntil[I])
        continue;
      calm(I);
      if (m_random() % StepsPerFault == 0)
        beginFault(I, Now);
    }
  }

  void endFaults() {
    for (std::size_t I = 0; I < Size; ++I) {
      calm(I);
      m_entries[I]->m_store.m_onConditionalAppend = nullptr;
    }
  }

  /// Submits a job at each entry and repeats those that were refused.
  void submit() {
    for (std::size_t I = 0; I < Size; ++I) {
      if (served(I) || (m_calls[I] && !m_calls[I]->has_value()))
        continue;
      m_calls[I] = m_entries[I]->call(CallerCall::Method::Submit, "1");
    }
  }

  bool allServed() const { return served(0) && served(1) && served(2); }

  std::shared_ptr<FakeStreams> m_shared = std::make_shared<FakeStreams>();
  std::array<std::unique_ptr<Entry>, Size> m_entries;

private:
  static constexpr char NameOfFirst = 'a';
  static constexpr Millis MembershipMs = 1200;
  /// Mean number of steps until an entry without a fault gets one.
  static constexpr unsigned StepsPerFault = 100;
  static constexpr Millis Never = std::numeric_limits<Millis>::max();

  bool served(std::size_t I) const {
    return m_calls[I] && *m_calls[I] == Verdict::Ok;
  }

  void expire(std::size_t I) {
    const std::string Prefix = std::string(1, NameOfFirst + I) + "#";
    const auto Members = m_shared->m_members;
    for (const std::string &M : Members) {
      if (M.starts_with(Prefix))
        m_entries[I]->m_store.drop(M);
    }
  }

  void calm(std::size_t I) {
    FakeStore &S = m_entries[I]->m_store;
    S.m_unreachable = S.m_dropsWriteAnswers = S.m_dropsWakeUps = false;
    S.m_claimAnswerMs = 1;
  }

  Millis faultMs() { return 100 + static_cast<Millis>(m_random() % 3000); }

  void turnAway(std::size_t I, Millis Now) {
    m_turnAwayAt[I] = Never;
    m_entries[I]->m_store.m_unreachable = true;
    m_faultUntil[I] = Now + faultMs();
  }

  /// Often the store turns away the entry whose claim it has carried out, and
  /// others that have just read the record.
  void turnAwayAfterClaim(std::size_t Claimant) {
    const Millis Now = base::bootNow();
    for (std::size_t I = 0; I < Size; ++I) {
      if (m_random() % 4 == 0)
        continue;
      if (I == Claimant)
        turnAway(I, Now);
      else
        m_turnAwayAt[I] = Now + static_cast<Millis>(m_random() % 100);
    }
  }

  void beginFault(std::size_t I, Millis Now) {
    FakeStore &S = m_entries[I]->m_store;
    const unsigned Kind = m_random() % 4;
    S.m_unreachable = Kind == 0;
    S.m_dropsWriteAnswers = Kind == 1;
    S.m_dropsWakeUps = Kind == 1 || Kind == 2;
    S.m_claimAnswerMs = Kind == 3 ? 400 : 1;
    m_faultUntil[I] = Now + faultMs();
  }

  std::mt19937 m_random;
  std::array<Millis, Size> m_reachedAt{};
  std::array<Millis, Size> m_faultUntil{};
  std::array<Millis, Size> m_turnAwayAt{Never, Never, Never};
  std::array<std::shared_ptr<std::optional<Verdict>>, Size> m_calls;
};

class LeadershipTest : public testing::Test {
protected:
  bool until(std::function<bool()> Ready, Millis LimitMs = 4000) {
    return runUntil(*m_reactor, std::move(Ready), LimitMs);
  }

  std::unique_ptr<http::Reactor> m_reactor = http::Reactor::create();
};

// Guards against a fleet that no longer serves anybody: an entry that was
// elected learned so from another entry, since the store had carried out its
// claim and turned it away, and never began to lead (review case 6).
TEST_F(LeadershipTest, AnEntryThatIsElectedWhileTheStoreTurnsItAwayLeads) {
  Fleet F(*m_reactor, 0);
  ASSERT_TRUE(until([&] {
    return F.leader() < Fleet::Size && F.m_shared->m_members.size() == 3 &&
           std::all_of(F.m_entries.begin(), F.m_entries.end(),
                       [](const auto &E) {
                         return E->m_counters.get("candidates") == 3;
                       });
  }));
  const std::size_t First = F.leader();
  constexpr Millis ClaimTimeoutMs = 6000;
  constexpr Millis NoticeMs = Fleet::StoreTimeoutMs + 500; // Of a failed join.
  for (const auto &E : F.m_entries)
    E->m_store.m_onConditionalAppend = [&S = E->m_store] {
      S.m_dropsWriteAnswers = S.m_dropsWakeUps = true;
      S.m_timeoutMs = ClaimTimeoutMs;
    };
  F.m_entries[First]->m_store.m_unreachable = true;
  ASSERT_TRUE(until([&] { return F.claims() == 2; }, RecoveryMs));
  const std::size_t Elected = F.elected();
  FakeStore &StoreOfElected = F.m_entries[Elected]->m_store;
  StoreOfElected.m_timeoutMs = Fleet::StoreTimeoutMs;
  // The third entry reads the record, and is turned away before it is asked.
  until([] { return false; }, 30);
  const std::size_t Third = 0 + 1 + 2 - First - Elected;
  F.m_entries[Third]->m_store.m_unreachable = true;
  until([] { return false; }, NoticeMs);
  StoreOfElected.m_unreachable = true;
  until([] { return false; }, 2 * NoticeMs);
  // It must not ask the others to replace it, as they reach the store again.
  StoreOfElected.m_unreachable = false;
  until([] { return false; }, NoticeMs);
  F.endFaults();
  EXPECT_TRUE(until(
      [&] {
        F.submit();
        return F.allServed();
      },
      RecoveryMs));
}

// The same for random orders of events: after faults of the store that hit some
// entries only, each entry serves its callers again.
TEST_F(LeadershipTest, EntriesServeAgainAfterRandomFaultsOfTheStore) {
  constexpr unsigned Fleets = 60;
  constexpr Millis FaultsMs = 8000;
  std::vector<std::unique_ptr<Fleet>> All;
  for (unsigned Seed = 1; Seed <= Fleets; ++Seed)
    All.push_back(std::make_unique<Fleet>(*m_reactor, Seed));
  ASSERT_TRUE(until([&] {
    return std::all_of(All.begin(), All.end(),
                       [](const auto &F) { return F->leader() < Fleet::Size; });
  }));
  until(
      [&] {
        for (const auto &F : All)
          F->step(base::bootNow());
        return false;
      },
      FaultsMs);
  for (const auto &F : All)
    F->endFaults();
  until(
      [&] {
        for (const auto &F : All)
          F->submit();
        return std::all_of(All.begin(), All.end(),
                           [](const auto &F) { return F->allServed(); });
      },
      RecoveryMs);
  for (std::size_t I = 0; I < All.size(); ++I)
    EXPECT_TRUE(All[I]->allServed())
        << "seed " << I + 1 << ", leader " << All[I]->leader() << ", elected "
        << All[I]->elected() << ", claims " << All[I]->claims();
}

} // namespace
} // namespace pomelokeel::node::tests
