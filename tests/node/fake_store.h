#pragma once

#include "http/reactor.h"
#include "node/store.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace pomelokeel::node::tests {

/// The state that all clients of a fake store share.
struct FakeStreams {
  std::map<Stream, std::vector<KeyedRecord>> m_records;
  std::set<std::string> m_members;                 ///< All that have joined.
  std::set<std::string> m_membersWithoutPartition; ///< Own no partition yet.
  std::int64_t m_generation = 1;
  std::uint64_t m_epoch = 0; ///< Highest epoch of the journal.
};

/// A client of an in-memory store. Answers after a millisecond. The faults are
/// those of the platform's store and apply to this client only.
class FakeStore : public Store {
public:
  FakeStore(http::Reactor &R, std::shared_ptr<FakeStreams> Shared)
      : m_reactor(R), m_shared(std::move(Shared)) {}

  bool m_unreachable = false;       ///< All calls time out.
  bool m_dropsWriteAnswers = false; ///< Writes succeed but time out.
  bool m_dropsWakeUps = false;      ///< Long polls run to their timeout.
  Millis m_claimAnswerMs = 1;       ///< Until a conditional append is answered.
  Millis m_timeoutMs = 100;
  /// Called when a conditional append has been carried out, if set.
  std::function<void()> m_onConditionalAppend;
  int m_followCalls = 0;

  void append(const batch::JournalBatch &Batch,
              std::function<void(AppendOutcome)> Done) override {
    if (m_unreachable)
      return after(m_timeoutMs, [Done] { Done(AppendOutcome::Unknown); });
    auto Outcome = AppendOutcome::Fenced;
    if (Batch.m_epoch >= m_shared->m_epoch) {
      m_shared->m_epoch = Batch.m_epoch;
      if (m_numbers.insert({Batch.m_epoch, Batch.m_number}).second)
        add(Stream::Jobs, Batch.m_records);
      Outcome = AppendOutcome::Done;
    }
    if (m_dropsWriteAnswers)
      return after(m_timeoutMs, [Done] { Done(AppendOutcome::Unknown); });
    after(1, [Done, Outcome] { Done(Outcome); });
  }

  void fence(std::uint64_t Epoch,
             std::function<void(AppendOutcome)> Done) override {
    append({Epoch, 0, {}}, std::move(Done));
  }

  void appendAt(Stream S, const KeyedRecord &R, std::int64_t End,
                std::function<void(ConditionalAppend)> Done) override {
    ConditionalAppend Out;
    if (m_unreachable)
      return after(m_timeoutMs, [Done, Out] { Done(Out); });
    const auto Size = static_cast<std::int64_t>(m_shared->m_records[S].size());
    Out.m_outcome = Size == End ? AppendOutcome::Done : AppendOutcome::NotDone;
    Out.m_endMoved = Size != End;
    Out.m_offset = End;
    if (Size == End) {
      add(S, {R});
      if (m_onConditionalAppend)
        m_onConditionalAppend();
    }
    if (m_dropsWriteAnswers)
      return after(m_timeoutMs, [Done] { Done({}); });
    after(m_claimAnswerMs, [Done, Out] { Done(Out); });
  }

  void snapshot(Stream S, Done<Snapshot> Answer) override {
    if (m_unreachable)
      return fail<Snapshot>(m_timeoutMs, Answer);
    std::map<std::string, std::string> Newest;
    for (const KeyedRecord &R : m_shared->m_records[S])
      Newest[R.m_key] = R.m_value;
    Snapshot Out;
    for (const auto &[Key, Value] : Newest)
      Out.m_records.push_back({Key, Value});
    Out.m_end = static_cast<std::int64_t>(m_shared->m_records[S].size());
    after(1, [Answer, Out] { Answer(Out); });
  }

  void follow(Stream S, std::int64_t From, Millis WaitMs,
              Done<Page> Done) override {
    ++m_followCalls;
    poll(S, From, base::bootNow() + WaitMs, Done);
  }

  void join(const std::string &Member, Millis, std::int64_t,
            Done<Membership> Done) override {
    if (m_unreachable)
      return fail<Membership>(m_timeoutMs, Done);
    if (m_shared->m_members.insert(Member).second)
      ++m_shared->m_generation;
    after(1, [Done, G = m_shared->m_generation] { Done(Membership{G}); });
  }

  void leave(const std::string &Member, std::function<void()> Done) override {
    drop(Member);
    after(1, Done);
  }

  void members(Done<std::vector<std::string>> Done) override {
    if (m_unreachable)
      return fail<std::vector<std::string>>(m_timeoutMs, Done);
    std::vector<std::string> Out;
    for (const std::string &M : m_shared->m_members) {
      if (!m_shared->m_membersWithoutPartition.contains(M))
        Out.push_back(M);
    }
    after(1, [Done, Out] { Done(Out); });
  }

  /// Removes a member, as when its membership has expired.
  void drop(const std::string &Member) {
    if (m_shared->m_members.erase(Member) > 0)
      ++m_shared->m_generation;
  }

  void add(Stream S, const std::vector<KeyedRecord> &Records) {
    auto &All = m_shared->m_records[S];
    All.insert(All.end(), Records.begin(), Records.end());
  }

  /// Runs \p Run after \p Ms unless the client was destroyed before.
  void after(Millis Ms, std::function<void()> Run) {
    const std::shared_ptr<http::Timer> T = m_reactor.timer();
    http::Timer &Armed = *T;
    Armed.start(Ms,
                [T, Run = std::move(Run), Alive = std::weak_ptr<int>(m_alive)] {
                  if (!Alive.expired())
                    Run();
                });
  }

private:
  template <typename T> void fail(Millis Ms, const Done<T> &Done) {
    after(Ms, [Done] {
      Done(base::Error{base::ErrorKind::Timeout, "no answer"});
    });
  }

  void poll(Stream S, std::int64_t From, Millis Until,
            const Done<Page> &Answer) {
    const Millis Left = Until - base::bootNow();
    // A long poll that is pending in an outage hangs until its timeout.
    if (m_unreachable)
      return fail<Page>(std::max<Millis>(Left, 0) + m_timeoutMs, Answer);
    const auto &All = m_shared->m_records[S];
    const bool Woken =
        From < static_cast<std::int64_t>(All.size()) && !m_dropsWakeUps;
    if (Woken || Left <= 0) {
      Page Out;
      Out.m_records.assign(All.begin() + From, All.end());
      Out.m_next = static_cast<std::int64_t>(All.size());
      return after(1, [Answer, Out] { Answer(Out); });
    }
    constexpr Millis StepMs = 5;
    after(StepMs, [=, this] { poll(S, From, Until, Answer); });
  }

  http::Reactor &m_reactor;
  std::shared_ptr<int> m_alive = std::make_shared<int>();
  std::shared_ptr<FakeStreams> m_shared;
  std::set<std::pair<std::uint64_t, std::uint64_t>> m_numbers;
};

/// Runs the reactor until \p Ready returns true, at most for \p LimitMs.
/// Returns the last result of \p Ready.
template <typename F> bool runUntil(http::Reactor &R, F Ready, Millis LimitMs) {
  constexpr Millis StepMs = 5;
  const Millis End = base::bootNow() + LimitMs;
  bool Result = false;
  const auto T = R.timer();
  std::function<void()> Check = [&] {
    Result = Ready();
    if (Result || base::bootNow() >= End)
      return R.stop();
    T->start(StepMs, Check);
  };
  T->start(1, Check);
  R.run();
  return Result;
}

} // namespace pomelokeel::node::tests
