#include "entry/core.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace pomelokeel::entry {
namespace {

using logclient::AppendFate;
using model::RecordKind;

// Interval between attempts to announce this entry.
constexpr Millis AnnounceRetryMs = 1000;

RelayTiming relayTiming(const settings::EntrySettings &S) {
  RelayTiming T;
  T.m_agentTimeoutMs = S.m_agentTimeoutMs;
  T.m_digestMs = S.m_heartbeatMs;
  T.m_forgetMs = std::max<Millis>(T.m_forgetMs, 3 * S.m_agentTimeoutMs);
  return T;
}

SubmissionLimits submissionLimits(const settings::EntrySettings &S) {
  SubmissionLimits L;
  L.m_pending = static_cast<std::size_t>(S.m_queueLength);
  L.m_waiters = static_cast<std::size_t>(S.m_queueLength);
  return L;
}

} // namespace

Core::Core(const settings::EntrySettings &Settings, model::Member Self,
           Ports Out, base::HybridClock &Clock, base::Counters &Counters,
           base::EventLog &Events)
    : m_settings(Settings), m_self(std::move(Self)), m_out(std::move(Out)),
      m_counters(Counters), m_events(Events), m_records(Settings.m_name, Clock),
      m_relay(relayTiming(Settings)), m_submissions(submissionLimits(Settings)),
      m_requests(static_cast<std::size_t>(Settings.m_queueLength)),
      m_leadership(
          Settings, m_self.m_incarnation, m_records, m_out,
          [this](const AgentCommand &C) { sendCommand(C); }, Counters, Events) {
}

void Core::handle(CoreInput Input, Millis NowMs) {
  if (auto *Event = std::get_if<logclient::FollowerEvent>(&Input))
    onLogEvent(std::move(*Event), NowMs);
  else if (auto *Message = std::get_if<mesh::Incoming>(&Input))
    onMessage(Message->m_message, NowMs);
  else if (auto *Call = std::get_if<ApiCall>(&Input))
    onApiCall(std::move(*Call), NowMs);
  else
    onAppendAnswered(std::get<AppendAnswered>(Input), NowMs);
}

void Core::onLogEvent(logclient::FollowerEvent Event, Millis NowMs) {
  if (auto *L = std::get_if<logclient::Loaded>(&Event)) {
    if (!m_replica.load(std::move(L->m_state)))
      return;
    m_leadership.onSnapshotLoaded();
    m_submissions.onSnapshotLoaded(m_replica.state());
    m_membersChanged = true;
    m_events.record("snapshotLoaded", {},
                    fmt::format("nextOffset={}", state().m_nextOffset));
    return;
  }
  if (const auto *B = std::get_if<logclient::Batch>(&Event)) {
    onBatch(*B, NowMs);
    return;
  }
  const base::Error &E = std::get<logclient::ReadFailed>(Event).m_error;
  if (m_replica.readable())
    m_events.record("logUnreadable", {},
                    fmt::format("error=\"{}\"", base::toString(E)));
  m_replica.onReadFailed(E);
}

void Core::onBatch(const logclient::Batch &B, Millis NowMs) {
  const bool WasReadable = m_replica.readable();
  m_replica.apply(B, NowMs, [&](const auto &Entry, const auto &A) {
    onApplied(Entry, A, NowMs);
  });
  if (!WasReadable)
    m_events.record("logReadable", {},
                    fmt::format("nextOffset={}", state().m_nextOffset));
}

void Core::onApplied(const model::LogEntry &Entry, const state::Applied &A,
                     Millis NowMs) {
  const state::State &S = state();
  const model::Record &R = Entry.m_record;
  m_leadership.onApplied(S, Entry, A, NowMs);
  m_requests.onApplied(S, R.m_id, A);
  switch (R.m_kind) {
  case RecordKind::EntryAnnounced:
  case RecordKind::EntryLeft:
    m_membersChanged = true;
    break;
  case RecordKind::WorkerAnnounced:
    // The leader ignores reports of a worker that is not in the state yet.
    if (A.m_accepted)
      m_relay.repeatReport(R.m_body.value("name", ""));
    break;
  case RecordKind::ConfigPublished:
    onAppliedConfig(Entry, A);
    break;
  case RecordKind::LeaderClaimed:
    if (A.m_accepted)
      m_events.record("leaderClaimed", {},
                      fmt::format("leader={} epoch={}", S.m_leader, S.m_epoch));
    break;
  case RecordKind::JobSubmitted: {
    model::Submission Body;
    if (base::decode(R.m_body, "", Body))
      m_submissions.onApplied(S, Body);
    break;
  }
  default:
    break;
  }
  recordJobEvent(Entry, A);
  if (const auto It = S.m_jobs.find(A.m_job);
      It != S.m_jobs.end() && It->second.m_result)
    m_submissions.onFinished(It->second);
}

void Core::onAppliedConfig(const model::LogEntry &Entry,
                           const state::Applied &A) {
  model::ConfigRecord Body;
  if (!base::decode(Entry.m_record.m_body, "", Body))
    return;
  const std::string Account =
      Body.m_kind == model::ConfigKind::Account ? Body.m_name : "";
  const std::string Detail =
      fmt::format("kind={} name={} version={} author={} configVersion={}",
                  base::nameOf(Body.m_kind), Body.m_name, Body.m_version,
                  Body.m_author, state().m_configVersion);
  if (A.m_accepted)
    m_events.record("configInForce", {"", Account, ""}, Detail);
  else
    m_events.record("configRefused", {"", Account, ""},
                    Detail +
                        fmt::format(" error={}", base::nameOf(*A.m_error)));
}

// Only the process that wrote a record reports its job event, so that each
// event appears once and not at every entry.
void Core::recordJobEvent(const model::LogEntry &Entry,
                          const state::Applied &A) {
  const model::Record &R = Entry.m_record;
  if (R.m_by != m_self.m_name || A.m_job.empty() || !A.m_accepted)
    return;
  const auto It = state().m_jobs.find(A.m_job);
  if (It == state().m_jobs.end())
    return;
  const model::Job &J = It->second;
  const base::EventSubject Subject{J.m_id, J.m_spec.m_account, ""};
  if (R.m_kind == RecordKind::JobSubmitted)
    m_events.record(
        "jobSubmitted", Subject,
        fmt::format("key={} class={}", J.m_spec.m_key, J.m_spec.m_class));
  if (R.m_kind == RecordKind::JobCancelRequested)
    m_events.record("cancelRequested", Subject);
  if (J.m_result)
    m_events.record(
        "outcome", Subject,
        fmt::format("outcome={} reason={}", base::nameOf(J.m_result->m_outcome),
                    J.m_result->m_reason ? base::nameOf(*J.m_result->m_reason)
                                         : "none"));
}

bool Core::append(AppendTag Tag, const model::Record &R) {
  return m_out.m_append(std::move(Tag), "records", {base::encode(R)});
}

void Core::onAppendAnswered(const AppendAnswered &S, Millis NowMs) {
  const bool Done = S.m_outcome.m_fate == AppendFate::Done;
  switch (S.m_tag.m_owner) {
  case AppendOwner::Submission:
    m_submissions.onAppendAnswered(S.m_tag.m_id, S.m_outcome, NowMs);
    break;
  case AppendOwner::Request:
    m_requests.onAppendAnswered(S.m_tag.m_id, S.m_outcome);
    break;
  case AppendOwner::Worker:
    m_relay.onAnnouncementAnswered(S.m_tag.m_id, Done);
    break;
  case AppendOwner::Member:
    m_announcing = false;
    m_departed = m_left;
    break;
  default:
    m_leadership.onAppendAnswered(S.m_tag, Done, NowMs);
    break;
  }
}

bool Core::logAvailable() const {
  return m_replica.readable() && m_out.m_logWritable();
}

// Announces this entry until the state contains it. A leader removes an entry
// that was silent for long, so this may be needed again later.
void Core::announceSelf(Millis NowMs) {
  if (m_stopping || m_announcing || !m_replica.ready() || !logAvailable() ||
      NowMs - m_announceMs < AnnounceRetryMs)
    return;
  const auto It = state().m_members.find(m_self.m_name);
  if (It != state().m_members.end() && It->second == m_self)
    return;
  m_announceMs = NowMs;
  m_announcing =
      append({AppendOwner::Member, ""},
             m_records.make(RecordKind::EntryAnnounced, base::encode(m_self)));
}

void Core::tick(Millis NowMs) {
  // Other entries are unlikely to claim leadership during a shorter gap. If one
  // does, agents and the state reject the older epoch.
  if (m_tickMs >= 0 && NowMs - m_tickMs > m_settings.m_leaderTimeoutMs) {
    m_events.record("resumed", {}, fmt::format("gapMs={}", NowMs - m_tickMs));
    m_replica.onResumed(m_out.m_logBacklog());
  }
  m_tickMs = NowMs;
  announceSelf(NowMs);
  tickMesh(NowMs);
  LeadershipInput Input;
  Input.m_nowMs = NowMs;
  Input.m_logTimeMs = m_replica.logTime(NowMs);
  Input.m_logEndRead = m_replica.ready() && m_replica.logEndRead();
  Input.m_logAvailable = logAvailable();
  Input.m_mayClaim = !m_stopping;
  if (m_leadership.tick(state(), Input)) {
    for (const model::AgentReport *R : m_relay.reports())
      m_leadership.onReport(state(), *R, NowMs);
  }
  processEarlyMessages(NowMs);
  m_submissions.tick(state(), NowMs);
  m_requests.tick(NowMs);
  if (m_stopping && NowMs >= m_stopDeadlineMs) {
    m_submissions.answerAll(state());
    m_requests.answerAll();
  }
  updateCounters();
}

void Core::updateCounters() {
  m_counters.get("applied_offset") =
      static_cast<std::int64_t>(m_replica.nextOffset());
  m_counters.get("config_version") =
      static_cast<std::int64_t>(state().m_configVersion);
  m_counters.get("epoch") = static_cast<std::int64_t>(state().m_epoch);
  m_counters.get("leads") = m_leadership.leads() ? 1 : 0;
  m_counters.get("attached_agents") =
      static_cast<std::int64_t>(m_relay.attached());
  m_counters.get("waiting_callers") =
      static_cast<std::int64_t>(m_submissions.waiters());
}

void Core::beginStop(Millis DeadlineMs) {
  m_stopping = true;
  m_stopDeadlineMs = DeadlineMs;
  m_events.record("stopping", {});
}

bool Core::drained() const {
  return m_submissions.waiters() == 0 && m_requests.size() == 0 &&
         m_submissions.inFlight() == 0;
}

bool Core::leave() {
  m_left = true;
  if (!logAvailable() || !state().m_members.contains(m_self.m_name))
    return false;
  return append({AppendOwner::Member, ""},
                m_records.make(RecordKind::EntryLeft,
                               base::encode(model::Departure{
                                   m_self.m_name, m_self.m_incarnation})));
}

model::Heartbeat Core::heartbeat(Millis NowMs) const {
  model::Heartbeat H;
  H.m_role = m_leadership.leads() ? "leader" : "standby";
  H.m_appliedOffset = m_replica.nextOffset();
  H.m_configVersion = state().m_configVersion;
  if (m_leadership.leads())
    H.m_leaderAgeMs = confirmedAge(NowMs);
  return H;
}

} // namespace pomelokeel::entry
