#include "entry/answers.h"
#include "entry/core.h"

#include "base/id.h"

#include <utility>

namespace pomelokeel::entry {
namespace {

using base::Error;
using base::ErrorKind;

// How long a caller waits for its record to be read back.
constexpr Millis AcceptWaitMs = 10000;

template <typename T>
void respondWith(const http::Responder &Respond, const T &Body) {
  Respond(jsonResponse(200, base::encode(Body)));
}

// Whether a request needs a loaded state.
template <typename Request>
constexpr bool NeedsState =
    !std::is_same_v<Request, GetStatus> &&
    !std::is_same_v<Request, GetEvents> && !std::is_same_v<Request, GetMetrics>;

// Whether a request appends a record. If it fails here, it did not run.
template <typename Request>
constexpr bool Appends =
    std::is_same_v<Request, SubmitJob> || std::is_same_v<Request, CancelJob> ||
    std::is_same_v<Request, PublishConfig>;

} // namespace

void Core::onApiCall(ApiCall Call, Millis NowMs) {
  const std::string NotReady = m_replica.notReadyReason();
  std::visit(
      [&]<typename Request>(Request &R) {
        if (!NotReady.empty() && NeedsState<Request>) {
          const Error E{ErrorKind::NotReady, NotReady};
          Call.m_respond(Appends<Request> ? http::errorResponse(E)
                                          : lookupError(E));
          return;
        }
        answer(R, std::move(Call.m_respond), NowMs);
      },
      Call.m_request);
}

base::Status Core::mayAppend() const {
  if (m_stopping)
    return Error{ErrorKind::ShuttingDown, "this entry is shutting down"};
  if (!logAvailable())
    return Error{ErrorKind::LogUnavailable, "the log service is unavailable"};
  return base::success();
}

Waiter Core::makeWaiter(http::Responder Respond, Millis WaitMs,
                        Millis NowMs) const {
  Waiter W;
  W.m_respond = std::move(Respond);
  W.m_deadlineMs = NowMs + WaitMs;
  W.m_acceptMs = NowMs + AcceptWaitMs;
  W.m_forOutcome = WaitMs > 0;
  return W;
}

void Core::answer(const SubmitJob &R, http::Responder Respond, Millis NowMs) {
  const model::JobSpec &Spec = R.m_spec;
  Waiter W = makeWaiter(std::move(Respond), R.m_waitMs, NowMs);
  const auto *Known = state::findJobByKey(state(), Spec.m_account, Spec.m_key);
  if (!Known) {
    submitNew(Spec, std::move(W), NowMs);
    return;
  }
  if (base::encode(Known->m_spec) != base::encode(Spec)) {
    W.m_respond(http::errorResponse(
        {ErrorKind::VersionConflict, "key \"" + Spec.m_key +
                                         "\" belongs to job " + Known->m_id +
                                         " with a different specification"}));
    return;
  }
  m_submissions.await(*Known, std::move(W));
}

// Handles a submission whose key is not in the state.
void Core::submitNew(const model::JobSpec &Spec, Waiter W, Millis NowMs) {
  const base::Status Allowed = mayAppend();
  if (!Allowed) {
    // An earlier append for this key may have taken effect.
    if (!m_submissions.awaitKey(Spec.m_account, Spec.m_key, W))
      W.m_respond(http::errorResponse(Allowed.error()));
    return;
  }
  const bool Pending = m_submissions.isPending(Spec.m_account, Spec.m_key);
  const auto Unfinished = state().m_jobs.size() -
                          state().m_finishedOrder.size() +
                          m_submissions.pending();
  if (!Pending &&
      Unfinished >= static_cast<std::size_t>(m_settings.m_maxWaitingJobs)) {
    W.m_respond(http::errorResponse(
        {ErrorKind::QueueFull, "too many jobs wait or run"}));
    return;
  }
  const base::Status Admitted = state::checkSubmission(state(), Spec);
  if (!Pending && !Admitted) {
    W.m_respond(http::errorResponse(Admitted.error()));
    return;
  }
  const auto Record = m_submissions.submit(Spec, std::move(W), NowMs);
  if (!Record)
    return;
  if (append({AppendOwner::Submission, Record->m_job},
             m_records.make(model::RecordKind::JobSubmitted,
                            base::encode(*Record))))
    return;
  logclient::AppendOutcome Outcome;
  Outcome.m_fate = logclient::AppendFate::NoEffect;
  Outcome.m_error = {ErrorKind::QueueFull, "too many records wait for the log"};
  m_submissions.onAppendAnswered(Record->m_job, Outcome, NowMs);
}

// The error of a lookup that found nothing. It is final only if this entry has
// read the log's end.
Error Core::unknownJob(const std::string &What) const {
  if (!m_replica.readable() || !m_replica.logEndRead())
    return {ErrorKind::LogUnavailable,
            What + " is not known here, but the log cannot be read now"};
  return {ErrorKind::NotFound, What + " does not exist"};
}

void Core::answer(const GetJob &R, http::Responder Respond, Millis NowMs) {
  const auto It = state().m_jobs.find(R.m_job);
  if (It == state().m_jobs.end()) {
    Respond(lookupError(unknownJob("job " + R.m_job)));
    return;
  }
  m_submissions.await(It->second,
                      makeWaiter(std::move(Respond), R.m_waitMs, NowMs));
}

void Core::answer(const GetByKey &R, http::Responder Respond, Millis NowMs) {
  Waiter W = makeWaiter(std::move(Respond), R.m_waitMs, NowMs);
  if (const auto *J = state::findJobByKey(state(), R.m_account, R.m_key)) {
    m_submissions.await(*J, std::move(W));
    return;
  }
  if (!m_submissions.awaitKey(R.m_account, R.m_key, W))
    W.m_respond(lookupError(unknownJob("key \"" + R.m_key + "\" of account \"" +
                                       R.m_account + "\"")));
}

void Core::appendRequest(const model::Record &R, http::Responder Respond,
                         PendingRecords::Answer A, Millis NowMs) {
  if (const auto Allowed = mayAppend(); !Allowed) {
    Respond(http::errorResponse(Allowed.error()));
    return;
  }
  if (m_requests.full() || !append({AppendOwner::Request, R.m_id}, R)) {
    Respond(http::errorResponse(
        {ErrorKind::QueueFull, "too many records wait for the log"}));
    return;
  }
  m_requests.add(R.m_id, makeWaiter(std::move(Respond), AcceptWaitMs, NowMs),
                 std::move(A));
}

void Core::answer(const CancelJob &R, http::Responder Respond, Millis NowMs) {
  const auto It = state().m_jobs.find(R.m_job);
  if (It == state().m_jobs.end()) {
    Respond(lookupError(unknownJob("job " + R.m_job)));
    return;
  }
  if (It->second.m_result || It->second.m_cancelRequested) {
    Respond(jobAnswer(It->second));
    return;
  }
  const auto Answer = [Job = R.m_job](const state::State &S,
                                      const state::Applied &) {
    const auto Found = S.m_jobs.find(Job);
    return Found == S.m_jobs.end()
               ? lookupError(
                     {ErrorKind::NotFound, "job " + Job + " is no longer kept"})
               : jobAnswer(Found->second);
  };
  appendRequest(
      m_records.make(model::RecordKind::JobCancelRequested,
                     base::encode(model::CancelRequest{R.m_job, R.m_author})),
      std::move(Respond), Answer, NowMs);
}

void Core::answer(const PublishConfig &R, http::Responder Respond,
                  Millis NowMs) {
  if (const auto Checked = model::checkRecord(R.m_record); !Checked) {
    Respond(http::errorResponse(Checked.error()));
    return;
  }
  const auto Record = m_records.make(model::RecordKind::ConfigPublished,
                                     base::encode(R.m_record));
  const auto Answer = [Id = Record.m_id](const state::State &S,
                                         const state::Applied &A) {
    if (!A.m_accepted)
      return http::errorResponse(
          {A.m_error.value_or(ErrorKind::Internal), A.m_message});
    return jsonResponse(
        200, base::encode(report::PublishResult{Id, true, S.m_configVersion}));
  };
  appendRequest(Record, std::move(Respond), Answer, NowMs);
}

void Core::answer(const CheckConfig &R, const http::Responder &Respond,
                  Millis) {
  respondWith(Respond, checkReport(state(), R.m_record));
}

void Core::answer(const ListConfig &, const http::Responder &Respond, Millis) {
  respondWith(Respond, configPage(state()));
}

void Core::answer(const GetConfigHistory &R, const http::Responder &Respond,
                  Millis) {
  const auto Page = configHistory(state(), R);
  if (Page)
    respondWith(Respond, *Page);
  else
    Respond(lookupError(Page.error()));
}

void Core::answer(const GetStatus &, const http::Responder &Respond,
                  Millis NowMs) {
  report::Status Out;
  Out.m_process = m_self.m_name;
  Out.m_incarnation = m_self.m_incarnation;
  Out.m_dataCentre = m_self.m_dataCentre;
  Out.m_region = m_self.m_region;
  Out.m_role = heartbeat(NowMs).m_role;
  Out.m_notReadyReason = m_replica.notReadyReason();
  Out.m_ready = m_replica.ready();
  Out.m_stopping = m_stopping;
  Out.m_leaderAgeMs = leaderAge(NowMs);
  Out.m_rulesAgeMs = m_replica.endReadAge(NowMs);
  Out.m_attachedAgents = static_cast<std::int64_t>(m_relay.attached());
  Out.m_log = {m_replica.readable(),        m_out.m_logWritable(),
               m_replica.behindRetention(), m_replica.nextOffset(),
               m_replica.endOffset(),       m_replica.endReadAge(NowMs),
               m_replica.peersOffset()};
  if (m_leadership.leads()) {
    const LeaderReport Report = m_leadership.report(state(), NowMs);
    fillStatus(Out, state(), &Report);
  } else {
    fillStatus(Out, state(), nullptr);
  }
  respondWith(Respond, Out);
}

void Core::answer(const ListJobs &R, const http::Responder &Respond, Millis) {
  respondWith(Respond, listJobs(state(), R));
}

void Core::answer(const ExplainJob &R, const http::Responder &Respond,
                  Millis NowMs) {
  const auto It = state().m_jobs.find(R.m_job);
  if (It == state().m_jobs.end()) {
    Respond(lookupError(unknownJob("job " + R.m_job)));
    return;
  }
  if (!m_leadership.leads()) {
    respondWith(Respond, explain(state(), It->second, nullptr));
    return;
  }
  const LeaderReport Report = m_leadership.report(state(), NowMs);
  respondWith(Respond, explain(state(), It->second, &Report));
}

void Core::answer(const GetEvents &, const http::Responder &Respond, Millis) {
  respondWith(Respond, m_events.page());
}

void Core::answer(const GetMembers &, const http::Responder &Respond, Millis) {
  respondWith(Respond, memberPage(state()));
}

void Core::answer(const GetMetrics &, const http::Responder &Respond, Millis) {
  Respond({200, m_counters.render(), "text/plain; version=0.0.4"});
}

} // namespace pomelokeel::entry
