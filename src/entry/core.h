#pragma once

#include "base/counters.h"
#include "base/events.h"
#include "entry/api.h"
#include "entry/leadership.h"
#include "entry/ports.h"
#include "entry/relay.h"
#include "entry/replica.h"
#include "entry/submissions.h"
#include "mesh/mesh.h"
#include "report/status.h"
#include "settings/settings.h"

#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace pomelokeel::entry {

/// A request of a caller and the callback that sends the answer.
struct ApiCall {
  ApiRequest m_request;
  http::Responder m_respond;
};

/// The outcome of an append to the log.
struct AppendAnswered {
  AppendTag m_tag;
  logclient::AppendOutcome m_outcome;
};

using CoreInput = std::variant<logclient::FollowerEvent, mesh::Incoming,
                               ApiCall, AppendAnswered>;

/// The logic of an entry. Owns the state. Runs on one thread and uses no
/// sockets and no clock: the owner passes inputs with the monotonic time and
/// calls tick() at least every TickMs.
class Core {
public:
  /// Longest time between two calls of tick().
  static constexpr Millis TickMs = 20;

  /// \p Self is the member record that this entry announces.
  Core(const settings::EntrySettings &Settings, model::Member Self, Ports Out,
       base::HybridClock &Clock, base::Counters &Counters,
       base::EventLog &Events);

  void handle(CoreInput Input, Millis NowMs);
  void tick(Millis NowMs);

  /// Refuses new jobs from now on. Callers that still wait at \p DeadlineMs are
  /// answered with what is known then.
  void beginStop(Millis DeadlineMs);
  bool stopping() const { return m_stopping; }

  /// True once all callers were answered.
  bool drained() const;

  /// Appends this entry's departure. Returns false if there is none to append.
  bool leave();
  bool leaving() const { return m_left; }

  /// True once the append of the departure was answered.
  bool departed() const { return m_departed; }

  /// The body of the pings and pongs that this entry sends.
  model::Heartbeat heartbeat(Millis NowMs) const;

  const state::State &state() const { return m_replica.state(); }

private:
  struct Peer {
    std::string m_address;
    Millis m_sinceMs = 0; ///< When the link was added.
  };

  // The log.
  void onLogEvent(logclient::FollowerEvent Event, Millis NowMs);
  void onBatch(const logclient::Batch &B, Millis NowMs);
  void onApplied(const model::LogEntry &Entry, const state::Applied &A,
                 Millis NowMs);
  void onAppliedConfig(const model::LogEntry &Entry, const state::Applied &A);
  void recordJobEvent(const model::LogEntry &Entry, const state::Applied &A);
  void onAppendAnswered(const AppendAnswered &S, Millis NowMs);
  bool append(AppendTag Tag, const model::Record &R);
  void announceSelf(Millis NowMs);
  bool logAvailable() const;
  void updateCounters();

  // Messages; core_messages.cc.
  void onMessage(const model::Message &M, Millis NowMs);
  void onPingOrPong(const model::Message &M, Millis NowMs);
  void onAgentReport(const model::Message &M, Millis NowMs);
  void onAttachedReport(const model::Message &M, const model::AgentReport &R,
                        Millis NowMs);
  void onAgentHeartbeat(const model::Message &M, Millis NowMs);
  void onRelayedReport(const model::Message &M, const model::AgentReport &R,
                       Millis NowMs);
  void bufferEarlyMessage(const model::Message &M);
  void processEarlyMessages(Millis NowMs);
  void forwardAllReports(Millis NowMs);
  void onCommand(const model::Message &M);
  void onCommandReply(const model::Message &M, Millis NowMs);
  void onDigest(const model::Message &M, Millis NowMs);
  std::string attachRefusal(Millis NowMs) const;
  void requestAnnouncement(const std::string &Worker);
  void announceWorker(const model::Worker &W);
  void answerAgent(const model::Message &M, const std::string &Worker,
                   const std::string &Refusal, bool ReportWanted, Millis NowMs);
  void notifyAgents(Millis NowMs);
  model::AttachAnswer attachAnswer(const std::string &Worker,
                                   Millis NowMs) const;
  bool forwardReport(const model::AgentReport &R, Millis NowMs);
  void sendCommand(const AgentCommand &C);
  bool sendToLeader(model::Message M);
  void tickMesh(Millis NowMs);
  void tickDigests(Millis NowMs);
  void updatePeers(Millis NowMs);
  void setPingIntervals();
  void dropLostMembers(Millis NowMs);
  const Peer *leaderPeer() const;
  Millis leaderAge(Millis NowMs) const;
  Millis confirmedAge(Millis NowMs) const;

  // Requests; core_requests.cc.
  void onApiCall(ApiCall Call, Millis NowMs);
  void answer(const SubmitJob &R, http::Responder Respond, Millis NowMs);
  void answer(const GetJob &R, http::Responder Respond, Millis NowMs);
  void answer(const GetByKey &R, http::Responder Respond, Millis NowMs);
  void answer(const CancelJob &R, http::Responder Respond, Millis NowMs);
  void answer(const PublishConfig &R, http::Responder Respond, Millis NowMs);
  void answer(const CheckConfig &R, const http::Responder &Respond, Millis);
  void answer(const ListConfig &, const http::Responder &Respond, Millis);
  void answer(const GetConfigHistory &R, const http::Responder &Respond,
              Millis);
  void answer(const GetStatus &, const http::Responder &Respond, Millis NowMs);
  void answer(const ListJobs &R, const http::Responder &Respond, Millis);
  void answer(const ExplainJob &R, const http::Responder &Respond,
              Millis NowMs);
  void answer(const GetEvents &, const http::Responder &Respond, Millis);
  void answer(const GetMembers &, const http::Responder &Respond, Millis);
  void answer(const GetMetrics &, const http::Responder &Respond, Millis);
  void submitNew(const model::JobSpec &Spec, Waiter W, Millis NowMs);
  base::Status mayAppend() const;
  base::Error unknownJob(const std::string &What) const;
  Waiter makeWaiter(http::Responder Respond, Millis WaitMs, Millis NowMs) const;
  void appendRequest(const model::Record &R, http::Responder Respond,
                     PendingRecords::Answer A, Millis NowMs);

  settings::EntrySettings m_settings;
  model::Member m_self;
  Ports m_out;
  base::Counters &m_counters;
  base::EventLog &m_events;
  RecordMaker m_records;
  Replica m_replica;
  Relay m_relay;
  Submissions m_submissions;
  PendingRecords m_requests;
  Leadership m_leadership;

  std::map<std::string, Peer> m_peers; ///< Other entries, by name.
  bool m_membersChanged = true;
  std::uint64_t m_membersVersion = 1;
  std::map<std::string, std::uint64_t> m_sentMembersVersion; ///< By worker.
  std::uint64_t m_notifiedConfig = 0; ///< Last version sent to all agents.
  /// Reports and digests that arrived before this entry read its own claim.
  std::vector<model::Message> m_earlyMessages;
  std::uint64_t m_reportedEpoch = 0; ///< Epoch whose leader got all reports.
  Millis m_leaderPongMs = -1;        ///< When the leader last answered a ping.
  Millis m_leaderPongAgeMs = 0;      ///< The leader age in that answer.
  /// By member: when a pong last showed that it has read no more of the log.
  std::map<std::string, Millis> m_notAheadMs;
  std::uint64_t m_nextRequest = 1;

  Millis m_tickMs = -1;
  bool m_announcing = false;
  Millis m_announceMs = 0;
  bool m_stopping = false;
  Millis m_stopDeadlineMs = 0;
  bool m_left = false;
  bool m_departed = false;
};

} // namespace pomelokeel::entry
