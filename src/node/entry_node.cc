#include "node/entry_node.h"

#include "base/clock.h"
#include "base/id.h"
#include "node/control.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace pomelokeel::node {
namespace {

using batch::CallerReply;
using batch::CallerRequest;
using batch::CallerRequestKind;
using batch::Verdict;

constexpr Millis TickMs = 100;

/// Long-poll timeout of the operator's stream, as a share of the time in which
/// a configuration must be in force. The store does not wake a read that
/// arrives at the moment of an append, so the following read must still be in
/// time.
constexpr double OperatorWaitShare = 0.8;
/// Limit for that timeout at the leader. A read on a connection that went
/// silent fails 1.5 s after it, and the next one must still show an evacuation
/// well within its 5 s.
constexpr Millis MaxLeaderOperatorWaitMs = 1500;

/// Retry delay for callers while there is no leader; an election takes about
/// this long.
constexpr Millis NoLeaderRetryMs = 1000;

/// Interval between joins, and the time until a membership expires without one.
/// The expiry is the longest part of the time without a leader after the leader
/// has lost power. The store accepts no expiry below one second.
constexpr Millis JoinIntervalMs = 300;
constexpr Millis MembershipTtlMs = 1200;

/// An entry with a smaller CPU share delays its claims, so that it leads only
/// if no other entry claims. Leading 72 workers through a burst took more than
/// 0.12 of a core.
constexpr double MinLeaderCores = 0.25;
constexpr double ClaimDelayPerCoreMs = 8000;

/// Timeout of one call to the leader. A dead connection is replaced after it.
constexpr Millis ForwardTimeoutMs = 1200;
/// A submission with less time left is not forwarded: the leader reserves
/// 150 ms for its answer, and a round trip to another region takes 24 ms.
constexpr Millis MinForwardMs = 200;
/// Delay before the next attempt.
constexpr Millis ForwardRetryMs = 150;
/// A change of leader takes about a second. Nobody is elected while the store
/// is away from all entries for as long. Submissions wait for the new leader
/// during that time; in a longer outage they are refused immediately.
constexpr Millis MaxLeaderChangeMs = 1500;
/// Limit for the time that a submission waits for a new leader.
constexpr Millis MaxLeaderWaitMs = 1200;
/// The same limits while the store answers and no leader does. After a leader
/// has lost power, its membership (1.2 s), the claims and the reads of the next
/// one take up to 3 s. Callers wait 3 s.
constexpr Millis MaxElectionMs = 4000;
constexpr Millis MaxElectionWaitMs = 2000;
/// Time that a submission must have left for a leader that has just taken over.
constexpr Millis MinElectedMs = 500;
/// Limit for the time in which a submission is handed to the leader, well
/// within the time for which the leader remembers cancelled jobs.
constexpr Millis MaxSubmissionMs = 30000;
/// Interval between queries to other entries while the store is unreachable.
constexpr Millis PeerQueryIntervalMs = 250;
/// Part of the caller's deadline, and of the time in which this process ends,
/// that is reserved for sending the answer.
constexpr Millis AnswerMarginMs = 200;

/// Delay before a failed step of a takeover is retried.
constexpr Millis TakeoverRetryMs = 200;

/// A leader with less than half of its agents in contact for this long asks
/// other entries whether they hear more of them. If most machines are gone,
/// none does, and another leader would do no better.
constexpr Millis IsolationMs = 3000;
constexpr std::size_t IsolationMinAgents = 3;

/// Agents that have asked for the leader count for this long. They ask about
/// every two seconds, as often as their reports time out.
constexpr Millis AskingMs = 4000;
/// Limit for the agents that are remembered, far above any fleet.
constexpr std::size_t MaxAgentsAsking = 10000;

/// Timeout of the question whether the leader leads, asked before a claim. A
/// claim is delayed by about as much.
constexpr Millis AskLeaderMs = 300;

/// Pauses of the leader between rounds of decisions and between scheduling
/// passes. On a busy fleet they bound what the leader spends on them, whatever
/// the rate of messages; callers wait for hundreds of milliseconds anyway.
constexpr Millis RoundPauseMs = 10;
constexpr Millis PassPauseMs = 25;

batch::Timing leaderTiming(const Bounds &B, const PlacementSettings &P) {
  constexpr double MsPerSecond = 1000;
  /// Added to the time for which callers may query an ended job.
  constexpr Millis RetentionMarginMs = 60000;
  batch::Timing T;
  T.m_leaseMs = leaseOf(B);
  T.m_stopGraceMs = B.m_stopGraceMs;
  T.m_gangTimeoutMs = B.m_gangTimeoutMs;
  T.m_reclaimMs = B.m_reclaimMs;
  T.m_roundPauseMs = RoundPauseMs;
  T.m_passPauseMs = PassPauseMs;
  T.m_learnSpeed = P.m_learnSpeed;
  T.m_retentionMs =
      static_cast<Millis>(B.m_statusS * MsPerSecond) + RetentionMarginMs;
  return T;
}

Millis claimDelayOf(double Cores) {
  return static_cast<Millis>(std::max(MinLeaderCores - Cores, 0.0) *
                             ClaimDelayPerCoreMs);
}

CallerReply unavailable(std::string Reason) {
  CallerReply Out;
  Out.m_verdict = Verdict::Unavailable;
  Out.m_retryAfterMs = NoLeaderRetryMs;
  Out.m_reason = std::move(Reason);
  return Out;
}

void markMaybeDone(CallerRequest &R) {
  R.m_maybeDone = true;
  R.m_maybeDoneEpoch = std::max(R.m_maybeDoneEpoch, R.m_epoch);
}

CallerReply unknown(std::string Reason) {
  CallerReply Out;
  Out.m_verdict = Verdict::Unknown;
  Out.m_reason = std::move(Reason);
  return Out;
}

} // namespace

EntryNode::EntryNode(http::Reactor &R, const Settings &S, Store &SharedStore,
                     ConfigReader ReadConfig,
                     EvacuationKeyReader ReadEvacuationKey,
                     base::EventLog &Events, base::Counters &Counters)
    : m_reactor(R), m_settings(S), m_store(SharedStore),
      m_readConfig(std::move(ReadConfig)), m_events(Events),
      m_counters(Counters), m_tick(R.timer()), m_loadTimer(R.timer()),
      m_roundTimer(R.timer()), m_clients(R), m_arrivals(base::bootNow()) {
  ElectionSettings E;
  E.m_name = S.m_name;
  E.m_address = S.m_controlListen;
  E.m_claimDelayMs = claimDelayOf(S.m_cores);
  E.m_joinDelayMs = E.m_claimDelayMs / 2;
  E.m_joinMs = JoinIntervalMs;
  E.m_ttlMs = MembershipTtlMs;
  E.m_member = memberOf(S.m_name, base::randomId().substr(0, 8), E.m_address);
  Election::Handlers H;
  H.m_elected = [this](std::int64_t Epoch) { handleElected(Epoch); };
  H.m_leaderChanged = [this](const LeaderRecord &) {
    stepDown("anotherLeads");
    redirectForwards();
  };
  H.m_leadershipConfirmed = [this](Millis At) {
    m_confirmedAt = At;
    if (m_leader)
      m_leader->confirm(At);
  };
  H.m_askLeader = [this](const LeaderRecord &L,
                         std::function<void(bool)> Done) {
    m_peers->queryStatus(
        L.m_address, AskLeaderMs,
        [Epoch = L.m_epoch,
         Done = std::move(Done)](const std::optional<EntryStatus> &S) {
          Done(S && S->m_leads && S->m_leader.m_epoch == Epoch);
        });
  };
  m_peers = std::make_unique<Peers>(
      m_clients, E.m_address,
      [this](const std::string &Address, const EntryStatus &Status) {
        handlePeerStatus(Address, Status);
      });
  H.m_membersChanged = [this] {
    m_peers->setAddresses(m_election->addresses());
    m_counters.get("candidates") =
        static_cast<std::int64_t>(m_election->addresses().size());
    if (m_leader)
      m_leader->setEntries(m_election->addresses());
  };
  H.m_event = [this](const std::string &Name, const std::string &Detail) {
    event(Name, "", Detail);
  };
  m_election = std::make_unique<Election>(R, SharedStore, E, H);
  startFollowingOperator(std::move(ReadEvacuationKey));
  tick();
}

EntryNode::~EntryNode() = default;

void EntryNode::startFollowingOperator(EvacuationKeyReader ReadEvacuationKey) {
  m_evacuations = std::make_unique<Evacuations>(
      std::move(ReadEvacuationKey),
      [this](const std::string &DataCentre, bool Begins) {
        event("evacuation", "",
              fmt::format("dataCentre={} state={}", DataCentre,
                          Begins ? "begun" : "ended"));
        m_counters.get("evacuated_data_centres") =
            static_cast<std::int64_t>(m_evacuations->dataCentres().size());
      });
  Follower::Handlers F;
  F.m_snapshot = [this](const std::vector<KeyedRecord> &Records) {
    m_evacuations->applySnapshot(Records, m_operatorFollower->end());
  };
  F.m_record = [this](const KeyedRecord &Record) {
    if (!m_evacuations->apply(Record, m_operatorFollower->end()))
      applyOperatorRecord(Record);
  };
  F.m_caughtUp = [this](std::int64_t, Millis SentAt) {
    handleOperatorCaughtUp(SentAt);
  };
  F.m_reachabilityChanged = [this](bool Reachable) {
    event(Reachable ? "storeRegained" : "storeLost", "", "by=operatorStream");
  };
  m_operatorFollower = std::make_unique<Follower>(
      m_reactor, m_store, Stream::Operator, operatorWaitMs(), F);
}

Millis EntryNode::operatorWaitMs() const {
  const auto WaitMs = static_cast<Millis>(
      static_cast<double>(m_settings.m_bounds.m_configApplyMs) *
      OperatorWaitShare);
  return m_leader ? std::min(WaitMs, MaxLeaderOperatorWaitMs) : WaitMs;
}

void EntryNode::event(const std::string &Name, const std::string &Job,
                      const std::string &Detail) {
  m_events.record(Name, {Job, "", ""}, Detail);
}

// A leader places nothing before it has read the operator's stream after its
// election, because this entry may have been cut off or suspended before.
void EntryNode::handleOperatorCaughtUp(Millis ReadSentAt) {
  if (m_leader && ReadSentAt >= m_electedAt)
    m_leader->setEvacuated(m_evacuations->dataCentres());
}

void EntryNode::applyOperatorRecord(const KeyedRecord &R) {
  auto Parsed = m_readConfig(R);
  if (!Parsed) {
    event(
        "recordIgnored", "",
        fmt::format("key={} reason=\"{}\"", R.m_key, Parsed.error().m_message));
    return;
  }
  // A snapshot after an outage may deliver an old version again.
  if (m_config && Parsed->m_version <= m_config->m_version)
    return;
  event("configInForce", "",
        fmt::format("version={} routes={} accounts={}", Parsed->m_version,
                    Parsed->m_routes.size(), Parsed->m_accounts.size()));
  m_counters.get("config_version") = Parsed->m_version;
  m_config = std::move(*Parsed);
  m_configRecord = R;
  if (m_leader)
    m_leader->configure(*m_config);
}

void EntryNode::handleElected(std::int64_t Epoch) {
  // The store takes a batch for a repeated one if its epoch and number were
  // used before, so no epoch is used twice.
  if (Epoch <= m_electedEpoch)
    return;
  m_electedEpoch = Epoch;
  m_leader.reset();
  m_electedAt = base::bootNow();
  m_takeoverEpoch = Epoch;
  fence(Epoch);
}

void EntryNode::fence(std::int64_t Epoch) {
  m_store.fence(static_cast<std::uint64_t>(Epoch),
                [this, Epoch,
                 Alive = std::weak_ptr<int>(m_alive)](AppendOutcome Outcome) {
                  if (Alive.expired() || m_takeoverEpoch != Epoch)
                    return;
                  if (Outcome == AppendOutcome::Done)
                    return loadJournal(Epoch);
                  event("fenceFailed", "",
                        fmt::format("epoch={} outcome={}", Epoch,
                                    static_cast<int>(Outcome)));
                  if (Outcome == AppendOutcome::Fenced)
                    return leaveFencedJournal();
                  m_loadTimer->start(TakeoverRetryMs,
                                     [this, Epoch] { fence(Epoch); });
                });
}

void EntryNode::loadJournal(std::int64_t Epoch) {
  m_store.snapshot(Stream::Jobs, [this, Epoch,
                                  Alive = std::weak_ptr<int>(m_alive)](
                                     const base::Result<Snapshot> &S) {
    if (Alive.expired() || m_takeoverEpoch != Epoch)
      return;
    if (S)
      return startLeading(Epoch, *S);
    event("loadFailed", "", S.error().m_message);
    m_loadTimer->start(TakeoverRetryMs, [this, Epoch] { loadJournal(Epoch); });
  });
}

void EntryNode::startLeading(std::int64_t Epoch, const Snapshot &S) {
  m_takeoverEpoch = 0;
  const Millis Now = base::bootNow();
  m_leader = std::make_shared<batch::Leader>(
      leaderTiming(m_settings.m_bounds, m_settings.m_placement), *this,
      m_counters, static_cast<std::uint64_t>(Epoch), Now, base::wallNow());
  // Loading the journal may have taken longer than the confirmation lasts.
  m_leader->confirm(m_confirmedAt);
  if (auto Loaded = m_leader->load(S.m_records); !Loaded)
    event("recordIgnored", "", Loaded.error().m_message);
  m_leader->setEntries(m_election->addresses());
  if (m_config)
    m_leader->configure(*m_config);
  m_leader->setPolicy(m_settings.m_overload.m_policy);
  m_leader->awaitEvacuations();
  m_operatorFollower->setWait(operatorWaitMs());
  m_operatorFollower->restart();
  m_counters.get("leader_epoch") = Epoch;
  redirectForwards();
}

void EntryNode::stepDown(const char *Reason) {
  m_takeoverEpoch = 0;
  m_loadTimer->cancel();
  if (!m_leader)
    return;
  event("leadershipLost", "",
        fmt::format("epoch={} reason={}", m_leader->epoch(), Reason));
  m_counters.get("leader_epoch") = 0;
  const auto Old = std::exchange(m_leader, nullptr);
  m_operatorFollower->setWait(operatorWaitMs());
  Old->resign();
}

void EntryNode::append(const batch::JournalBatch &Batch) {
  m_store.append(Batch, [this, Weak = std::weak_ptr<batch::Leader>(m_leader)](
                            AppendOutcome Outcome) {
    const auto L = Weak.lock();
    if (!L || L != m_leader)
      return;
    L->appended(Outcome, base::bootNow());
    if (L->fenced())
      leaveFencedJournal();
  });
}

void EntryNode::wakeAfter(Millis Ms) {
  m_roundTimer->start(Ms, [this] {
    if (m_leader)
      m_leader->runRound(base::bootNow());
  });
}

// If no other entry has claimed leadership, only a new epoch can write the
// journal again. If one has, the record of the resignation is not stored.
void EntryNode::leaveFencedJournal() {
  m_election->resign();
  stepDown("fenced");
}

void EntryNode::tick() {
  m_tick->start(TickMs, [this] { tick(); });
  const Millis Now = base::bootNow();
  m_arrivals.tick(Now);
  queryPeers(Now);
  if (!m_leader)
    return;
  m_leader->advance(Now, base::wallNow());
  checkIsolation(Now);
}

void EntryNode::queryPeers(Millis Now) {
  const bool Isolated =
      m_isolatedSince >= 0 && Now - m_isolatedSince >= IsolationMs;
  if ((m_election->storeReachable() && !Isolated) ||
      Now - m_peersQueriedAt < PeerQueryIntervalMs)
    return;
  m_peersQueriedAt = Now;
  m_peers->queryStatus();
}

// The other entry may reach the store when this one does not. It then knows
// newer leaders and configurations, and can replace this entry as leader.
void EntryNode::handlePeerStatus(const std::string &Address,
                                 const EntryStatus &S) {
  m_election->updateFromPeer(S.m_leader);
  if (S.m_storeReachable)
    m_peerReachedStoreAt = base::bootNow();
  if (!m_config || S.m_configVersion > m_config->m_version)
    m_peers->fetchConfig(
        Address, [this](const KeyedRecord &R) { applyOperatorRecord(R); });
  const std::int64_t Known = m_evacuations->readUntil();
  m_evacuations->adopt(S.m_evacuated, S.m_evacuatedAsOf);
  if (m_leader && m_evacuations->readUntil() > Known)
    m_leader->setEvacuated(m_evacuations->dataCentres(), false);
  handOverIfIsolated(Address, S);
  const LeaderRecord &Leader = m_election->leader();
  if (m_election->storeReachable() || !m_election->leads() ||
      !S.m_storeReachable || S.m_leader.m_epoch != Leader.m_epoch)
    return;
  event("takeoverAsked", "",
        fmt::format("epoch={} of={}", Leader.m_epoch, Address));
  m_peers->requestTakeover(Address, Leader.m_epoch);
}

void EntryNode::checkIsolation(Millis Now) {
  const auto [InContact, Known] = m_leader->agentsInContact();
  m_counters.get("agents_heard") = static_cast<std::int64_t>(InContact);
  m_counters.get("agents_known") = static_cast<std::int64_t>(Known);
  const bool Isolated = Known >= IsolationMinAgents && InContact * 2 < Known &&
                        m_election->members() > 1;
  if (!Isolated) {
    m_isolatedSince = -1;
    m_agentsAtPeers.clear();
  } else if (m_isolatedSince < 0) {
    m_isolatedSince = Now;
  }
}

// Hands over only if the agents that ask other entries for the leader are more
// than this leader hears. Each agent asks one entry.
void EntryNode::handOverIfIsolated(const std::string &Address,
                                   const EntryStatus &S) {
  if (!m_leader || m_isolatedSince < 0 ||
      base::bootNow() - m_isolatedSince < IsolationMs)
    return;
  m_agentsAtPeers[Address] = S.m_agentsAsking;
  std::int64_t Asking = 0;
  auto Best = m_agentsAtPeers.begin();
  for (auto It = m_agentsAtPeers.begin(); It != m_agentsAtPeers.end(); ++It) {
    Asking += It->second;
    if (It->second > Best->second)
      Best = It;
  }
  const auto [InContact, Known] = m_leader->agentsInContact();
  if (Asking <= static_cast<std::int64_t>(InContact))
    return;
  event("leaderIsolated", "",
        fmt::format("heard={} known={} asking={} to={}", InContact, Known,
                    Asking, Best->first));
  m_peers->requestTakeover(Best->first, m_election->leader().m_epoch);
  m_isolatedSince = -1;
  m_agentsAtPeers.clear();
}

EntryStatus EntryNode::status() {
  const Millis Now = base::bootNow();
  std::erase_if(m_agentsAsking, [&](const auto &Entry) {
    return Now - Entry.second > AskingMs;
  });
  EntryStatus Out;
  Out.m_leader = m_election->leader();
  Out.m_storeReachable = m_election->storeReachable();
  Out.m_configVersion = m_config ? m_config->m_version : -1;
  Out.m_leads = m_election->leads() && Now - m_confirmedAt < MembershipTtlMs;
  Out.m_agentsAsking = static_cast<std::int64_t>(m_agentsAsking.size());
  const std::set<std::string> &Evacuated = m_evacuations->dataCentres();
  Out.m_evacuated.assign(Evacuated.begin(), Evacuated.end());
  Out.m_evacuatedAsOf = m_evacuations->readUntil();
  return Out;
}

// The caller of a submission that has waited may have given up, cancelled it
// and been told that there is no such job. It is handed in for a limited time
// only.
Millis EntryNode::deadlineOf(const CallerCall &Call, Millis Now) const {
  const Millis Left = Call.m_remainingMs - AnswerMarginMs;
  if (Call.m_method != CallerCall::Method::Submit)
    return Now + Left;
  return m_arrivals.earliestArrival(Now) + std::min(Left, MaxSubmissionMs);
}

void EntryNode::answer(CallerCall Call, batch::CallerAnswer Answer) {
  const Millis Begin = base::bootNow();
  const Millis Deadline = deadlineOf(Call, Begin);
  auto Routed = route(m_config, std::move(Call));
  ++m_inFlight;
  auto Finish = [this, Begin, Answer = std::move(Answer),
                 Alive = std::weak_ptr<int>(m_alive)](CallerReply R) {
    if (!Alive.expired()) {
      --m_inFlight;
      m_counters.get(fmt::format("caller_answers{{verdict=\"{}\"}}",
                                 base::nameOf(R.m_verdict)))++;
      m_counters.observe("caller_answer_ms", base::bootNow() - Begin);
    }
    Answer(std::move(R));
  };
  if (auto *Rejected = std::get_if<CallerReply>(&Routed)) {
    recordRejection(*Rejected);
    return Finish(std::move(*Rejected));
  }
  auto &Request = std::get<CallerRequest>(Routed);
  Request.m_arrivedAt = Begin;
  dispatch(std::move(Request), Deadline, Finish);
}

void EntryNode::recordRejection(const CallerReply &R) {
  event("callRejected", "",
        fmt::format("verdict={} config={} reason=\"{}\"",
                    base::nameOf(R.m_verdict),
                    m_config ? m_config->m_version : -1, R.m_reason));
}

std::variant<std::size_t, CallerReply>
EntryNode::checkHead(const CallerCall &Call) {
  auto Rejected = rejectionOf(m_config, Call);
  if (!Rejected)
    return m_config->m_maxBodyBytes;
  recordRejection(*Rejected);
  m_counters.get(fmt::format("caller_answers{{verdict=\"{}\"}}",
                             base::nameOf(Rejected->m_verdict)))++;
  return std::move(*Rejected);
}

void EntryNode::dispatch(CallerRequest R, Millis Deadline,
                         batch::CallerAnswer Answer) {
  const Millis Now = base::bootNow();
  Deadline = std::min(Deadline, m_answerBy);
  R.m_remainingMs = std::max<Millis>(Deadline - Now, 0);
  if (m_leader) {
    R.m_epoch = m_leader->epoch();
    m_leader->handle(
        R, Now, base::wallNow(),
        [this, R, Deadline, Answer = std::move(Answer),
         Alive = std::weak_ptr<int>(m_alive)](CallerReply Reply) mutable {
          if (!Alive.expired())
            handleReply(std::move(R), Deadline, std::move(Answer),
                        std::move(Reply));
        });
    return;
  }
  // If the forwarded call timed out, the outcome of the submission would be
  // unknown.
  if (R.m_kind == CallerRequestKind::Submit && !R.m_maybeDone &&
      R.m_remainingMs < MinForwardMs) {
    event("jobRefused", R.m_id,
          fmt::format("reason=noTime leftMs={}", R.m_remainingMs));
    return Answer(unavailable("too little time left"));
  }
  if (m_election->leader().m_address.empty() || m_election->leads())
    return retryOrRefuse(std::move(R), Deadline, std::move(Answer), false);
  forward(std::move(R), Deadline, std::move(Answer));
}

void EntryNode::forward(CallerRequest R, Millis Deadline,
                        batch::CallerAnswer Answer) {
  const std::string Address = m_election->leader().m_address;
  http::AsyncClient &Client = m_clients.at(Address);
  const Millis Left = Deadline - base::bootNow();
  R.m_epoch = static_cast<std::uint64_t>(m_election->leader().m_epoch);
  auto Request = toRequest(CallerPath, R);
  const std::uint64_t Id = ++m_newestForward;
  m_forwards.emplace(Id, Forward{m_election->leader().m_epoch, std::move(R),
                                 Deadline, std::move(Answer)});
  Client.call(
      std::move(Request), std::clamp<Millis>(Left, 1, ForwardTimeoutMs),
      [this, Id,
       Alive = std::weak_ptr<int>(m_alive)](const http::CallResult &Result) {
        if (Alive.expired())
          return;
        auto Node = m_forwards.extract(Id);
        if (!Node)
          return; // The next leader has the request.
        Forward &F = Node.mapped();
        const auto *Got = std::get_if<http::Response>(&Result);
        if (Got != nullptr && Got->m_status == 200) {
          if (auto Reply = unpackMessage<CallerReply>(Got->m_body))
            return handleReply(std::move(F.m_request), F.m_deadline,
                               std::move(F.m_answer), std::move(*Reply));
        }
        // The other statuses are those of processes that do not lead or cannot
        // read the request. An answer of a leader that this version cannot read
        // may be an acceptance.
        const bool MaybeDone =
            Got != nullptr
                ? Got->m_status == 200
                : std::get<http::CallError>(Result).m_sent == http::Sent::Maybe;
        event("forwardFailed", F.m_request.m_id,
              fmt::format("leader={} sent={}", m_election->leader().m_name,
                          MaybeDone ? "maybe" : "no"));
        m_election->refresh();
        if (MaybeDone)
          markMaybeDone(F.m_request);
        retryOrRefuse(std::move(F.m_request), F.m_deadline,
                      std::move(F.m_answer), false);
      });
}

// A leader that has lost power answers nothing, and the time until that is
// noticed would be missing for the next leader. Requests can be repeated: the
// next leader knows from the journal what the one before has accepted.
void EntryNode::redirectForwards() {
  const LeaderRecord &L = m_election->leader();
  if (L.m_address.empty())
    return;
  std::vector<Forward> Redirected;
  for (auto It = m_forwards.begin(); It != m_forwards.end();) {
    if (It->second.m_epoch >= L.m_epoch) {
      ++It;
      continue;
    }
    Redirected.push_back(std::move(It->second));
    It = m_forwards.erase(It);
  }
  for (Forward &F : Redirected) {
    markMaybeDone(F.m_request);
    event("forwardRedirected", F.m_request.m_id,
          fmt::format("leader={} epoch={}", L.m_name, L.m_epoch));
    dispatch(std::move(F.m_request), F.m_deadline, std::move(F.m_answer));
  }
}

// Returns true if a leader that can serve the request is likely to be there in
// time. \p LeaderAnswers if there is one, which refuses the request.
bool EntryNode::expectsLeaderSoon(const CallerRequest &R, Millis Deadline,
                                  Millis Now, bool LeaderAnswers) const {
  if (m_unavailableSince < 0)
    return false;
  const bool StoreIsAway =
      m_election->storeUnreachableMs(Now) >= MaxLeaderChangeMs &&
      (m_peerReachedStoreAt < 0 ||
       Now - m_peerReachedStoreAt >= MaxLeaderChangeMs);
  if (StoreIsAway)
    return false;
  if (LeaderAnswers || !m_election->storeReachable())
    return Now - m_unavailableSince < MaxLeaderChangeMs &&
           Now - R.m_arrivedAt < MaxLeaderWaitMs;
  return Now - m_unavailableSince < MaxElectionMs &&
         Now - R.m_arrivedAt < MaxElectionWaitMs &&
         Deadline - Now >= MinElectedMs;
}

// Requests that are far apart tell of different disruptions.
void EntryNode::noteUnavailable(Millis Now) {
  if (m_unavailableSince < 0 ||
      (Now - m_unavailableAt >= MaxElectionMs && m_election->storeReachable()))
    m_unavailableSince = Now;
  m_unavailableAt = Now;
}

void EntryNode::handleReply(CallerRequest R, Millis Deadline,
                            batch::CallerAnswer Answer, CallerReply Reply) {
  const Millis Now = base::bootNow();
  if (Reply.m_verdict != Verdict::Unavailable &&
      Reply.m_verdict != Verdict::Unknown)
    m_unavailableSince = -1;
  else
    noteUnavailable(Now);
  if (Reply.m_verdict == Verdict::Unknown)
    markMaybeDone(R);
  if (isRefusal(Reply.m_verdict) && Reply.m_unknownToEpoch > R.m_maybeDoneEpoch)
    R.m_maybeDone = false;
  // An earlier attempt may still be accepted after this refusal.
  const bool InDoubt =
      R.m_maybeDone && (Reply.m_verdict == Verdict::Unavailable ||
                        (R.m_kind == CallerRequestKind::Submit &&
                         Reply.m_verdict == Verdict::Overloaded));
  const bool Retry = Reply.m_verdict == Verdict::Unknown || InDoubt ||
                     (Reply.m_verdict == Verdict::Unavailable &&
                      expectsLeaderSoon(R, Deadline, Now, true));
  if (Retry)
    return retryOrRefuse(std::move(R), Deadline, std::move(Answer), true);
  Answer(std::move(Reply));
}

// Refuses a submission that certainly had no effect, so that the caller can
// retry, unless a new leader is expected soon. Any other request is sent again
// until its outcome is known or the deadline has passed.
void EntryNode::retryOrRefuse(CallerRequest R, Millis Deadline,
                              batch::CallerAnswer Answer, bool LeaderAnswers) {
  const bool OutcomeUnknown =
      R.m_kind == CallerRequestKind::Submit && R.m_maybeDone;
  const Millis Now = base::bootNow();
  noteUnavailable(Now);
  if (!OutcomeUnknown && R.m_kind == CallerRequestKind::Submit &&
      !expectsLeaderSoon(R, Deadline, Now, LeaderAnswers)) {
    event(
        "jobRefused", R.m_id,
        fmt::format("reason=noLeader epoch={}", m_election->leader().m_epoch));
    return Answer(unavailable("no leader"));
  }
  if (Now + ForwardRetryMs >= std::min(Deadline, m_answerBy))
    return Answer(OutcomeUnknown ? unknown("the leader did not answer")
                                 : unavailable("no leader"));
  const std::shared_ptr<http::Timer> Wait = m_reactor.timer();
  http::Timer &T = *Wait;
  T.start(ForwardRetryMs,
          [this, Wait, R = std::move(R), Deadline, Answer = std::move(Answer),
           Alive = std::weak_ptr<int>(m_alive)]() mutable {
            if (!Alive.expired())
              dispatch(std::move(R), Deadline, std::move(Answer));
          });
}

void EntryNode::control(const http::Request &R, const http::Responder &Answer) {
  const std::string Path = http::pathOf(R.m_target);
  if (Path == LeaderPath) {
    if (const std::string Agent = agentOf(R.m_target);
        !Agent.empty() && m_agentsAsking.size() < MaxAgentsAsking)
      m_agentsAsking[Agent] = base::bootNow();
    return Answer(
        {200, base::dumpJson(base::encode(status())), "application/json", {}});
  }
  if (Path == ConfigPath && m_config)
    return Answer(
        toResponse(ConfigRecord{m_configRecord.m_key, m_configRecord.m_value}));
  if (Path == TakeoverPath) {
    if (const auto T = unpackMessage<TakeoverRequest>(R.m_body))
      m_election->claimOnRequest(T->m_epoch);
    return Answer({});
  }
  if (const auto Diagnostics = answerDiagnostics(Path, m_events, m_counters))
    return Answer(*Diagnostics);
  if (!m_leader)
    return Answer({NotLeaderStatus, "", "text/plain", {}});
  const Millis Now = base::bootNow();
  if (Path == CallerPath) {
    const auto Request = unpackMessage<CallerRequest>(R.m_body);
    if (!Request)
      return Answer(http::errorResponse(Request.error()));
    // A request that was delayed on its way to an earlier leader here counts as
    // not done as soon as a later leader has refused its job.
    if (Request->m_epoch != 0 && Request->m_epoch != m_leader->epoch())
      return Answer({NotLeaderStatus, "", "text/plain", {}});
    return m_leader->handle(
        *Request, Now, base::wallNow(),
        [Answer](const CallerReply &Reply) { Answer(toResponse(Reply)); });
  }
  if (Path == ReportPath) {
    const auto Report = unpackMessage<batch::AgentReport>(R.m_body);
    if (!Report)
      return Answer(http::errorResponse(Report.error()));
    return m_leader->report(*Report, Now, base::wallNow(),
                            [Answer](const batch::AgentReply &Reply) {
                              Answer(toResponse(Reply));
                            });
  }
  Answer(http::errorResponse({base::ErrorKind::NotFound, Path}));
}

void EntryNode::reload(const Bounds &B) {
  m_settings.m_bounds = B;
  if (m_leader)
    m_leader->setTiming(leaderTiming(B, m_settings.m_placement));
}

void EntryNode::beginStop(Millis LimitMs) {
  if (std::exchange(m_stopping, true))
    return;
  m_answerBy = base::bootNow() + LimitMs - AnswerMarginMs;
  event("stopping", "", fmt::format("inFlight={}", m_inFlight));
  const bool Led = m_election->leads();
  m_election->leave([] {});
  if (Led)
    stepDown("stopping");
}

} // namespace pomelokeel::node
