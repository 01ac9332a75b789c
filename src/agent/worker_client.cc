#include "agent/worker_client.h"

#include <algorithm>
#include <array>
#include <chrono>

namespace pomelokeel::agent {
namespace {

using base::ErrorKind;
using base::Json;
using model::TaskAction;

constexpr std::chrono::milliseconds IdleWait{500};
constexpr std::chrono::milliseconds RetryWait{200};
/// Added to the wait of a long poll for the timeout of its request.
constexpr Millis PollMarginMs = 1000;
constexpr int LookupTimeoutMs = 1000;

/// Actions of the call kinds from Renew on, in the order of CallKind.
constexpr std::array Actions = {TaskAction::Renew,    TaskAction::Release,
                                TaskAction::Stop,     TaskAction::Checkpoint,
                                TaskAction::Throttle, TaskAction::Forget};

Json bodyOf(const WorkerCall &Call, Millis LeaseMs) {
  switch (Call.m_kind) {
  case CallKind::Start: {
    model::TaskStart Start = Call.m_start;
    Start.m_leaseMs = LeaseMs;
    return base::encode(Start);
  }
  case CallKind::Renew:
    return base::encode(model::LeaseRenewal{LeaseMs});
  case CallKind::Stop:
    return base::encode(model::TaskStop{Call.m_reason});
  case CallKind::Throttle:
    return base::encode(model::TaskThrottle{Call.m_speed});
  default:
    return Json::object();
  }
}

http::Request requestOf(const WorkerCall &Call, Millis LeaseMs) {
  http::Request R;
  R.m_method = "POST";
  R.m_target = "/tasks";
  if (Call.m_kind != CallKind::Start)
    R.m_target = model::actionTarget(
        Call.m_task, Actions[static_cast<std::size_t>(Call.m_kind) - 1]);
  R.m_body = bodyOf(Call, LeaseMs)
                 .dump(-1, ' ', false, Json::error_handler_t::replace);
  return R;
}

ErrorKind errorOf(const http::Response &R) {
  const Json J = base::parseJson(R.m_body);
  if (!J.is_object() || !J.contains("error") || !J["error"].is_object())
    return ErrorKind::Internal;
  const auto Kind = J["error"].find("kind");
  if (Kind == J["error"].end() || !Kind->is_string())
    return ErrorKind::Internal;
  return base::errorKindFromName(Kind->get<std::string>())
      .value_or(ErrorKind::Internal);
}

} // namespace

WorkerClient::WorkerClient(const std::string &Address, Timing T, Inbox &Out)
    : m_timing(T), m_out(Out), m_callClient(http::Client::create(Address)),
      m_watchClient(http::Client::create(Address)), m_calls(T.m_queue),
      m_callThread([this] { runCalls(); }),
      m_watchThread([this] { runWatch(); }) {}

bool WorkerClient::call(WorkerCall Call) {
  return m_calls.tryPush(std::move(Call));
}

void WorkerClient::stop() {
  {
    const std::lock_guard Lock(m_mutex);
    m_stopping = true;
  }
  m_wake.notify_all();
  m_calls.close();
  m_callClient->cancel();
  m_watchClient->cancel();
  if (m_callThread.joinable())
    m_callThread.join();
  if (m_watchThread.joinable())
    m_watchThread.join();
}

void WorkerClient::runCalls() {
  while (!m_stopping) {
    const auto Call = m_calls.pop(IdleWait);
    if (Call && !m_out.push(performCall(*Call)))
      return;
  }
}

// The deadline is checked immediately before the request is sent, because the
// process may have been frozen since the call was queued.
WorkerAnswer WorkerClient::performCall(const WorkerCall &Call) {
  WorkerAnswer A;
  A.m_kind = Call.m_kind;
  A.m_task = Call.m_task;
  A.m_sentAt = base::monotonicNow();
  A.m_leaseMs = Call.m_leaseEnd - A.m_sentAt;
  const bool Leases =
      Call.m_kind == CallKind::Start || Call.m_kind == CallKind::Renew;
  if (A.m_sentAt >= Call.m_notAfter || (Leases && A.m_leaseMs <= 0)) {
    A.m_error = ErrorKind::DeadlinePassed;
    return A;
  }
  const auto Outcome = m_callClient->call(
      requestOf(Call, A.m_leaseMs), static_cast<int>(m_timing.m_callTimeoutMs));
  if (const auto *Failed = std::get_if<http::CallError>(&Outcome)) {
    A.m_error = Failed->m_error.m_kind;
    return A;
  }
  const auto &Response = std::get<http::Response>(Outcome);
  if (Response.m_status != 200) {
    A.m_error = errorOf(Response);
    return A;
  }
  if (auto Info = base::parse<model::TaskInfo>(Response.m_body))
    A.m_info = std::move(*Info);
  else
    A.m_error = ErrorKind::Internal;
  return A;
}

bool WorkerClient::readPage(const std::string &Target, int TimeoutMs,
                            WorkerPage &Out) {
  http::Request R;
  R.m_target = Target;
  Out.m_sentAt = base::monotonicNow();
  const auto Outcome = m_watchClient->call(R, TimeoutMs);
  const auto *Response = std::get_if<http::Response>(&Outcome);
  if (Response == nullptr || Response->m_status != 200)
    return false;
  auto Page = base::parse<model::TaskPage>(Response->m_body);
  if (!Page)
    return false;
  Out.m_page = std::move(*Page);
  return true;
}

void WorkerClient::waitBeforeRetry() {
  std::unique_lock Lock(m_mutex);
  m_wake.wait_for(Lock, RetryWait, [&] { return m_stopping.load(); });
}

void WorkerClient::runWatch() {
  std::string Incarnation;
  std::uint64_t After = 0;
  while (!m_stopping) {
    WorkerPage Page;
    Page.m_complete = Incarnation.empty();
    const std::string Target =
        Page.m_complete ? "/tasks"
                        : model::changesTarget(After, m_timing.m_pollMs);
    if (!readPage(Target, static_cast<int>(m_timing.m_pollMs + PollMarginMs),
                  Page)) {
      if (!m_out.push(WorkerUnreachable{}))
        return;
      waitBeforeRetry();
      continue;
    }
    if (!Page.m_complete && Page.m_page.m_incarnation != Incarnation) {
      Incarnation.clear();
      continue;
    }
    Incarnation = Page.m_page.m_incarnation;
    After = Page.m_page.m_last;
    if (!m_out.push(std::move(Page)))
      return;
  }
}

EntryFinder::EntryFinder(std::vector<std::string> Addresses, Inbox &Out)
    : m_addresses(std::move(Addresses)), m_out(Out),
      m_thread([this] { run(); }) {}

void EntryFinder::find() {
  {
    const std::lock_guard Lock(m_mutex);
    m_lookupRequested = true;
  }
  m_wake.notify_all();
}

void EntryFinder::stop() {
  {
    const std::lock_guard Lock(m_mutex);
    m_stopping = true;
    if (m_client)
      m_client->cancel();
  }
  m_wake.notify_all();
  if (m_thread.joinable())
    m_thread.join();
}

void EntryFinder::run() {
  for (;;) {
    {
      std::unique_lock Lock(m_mutex);
      m_wake.wait(Lock, [&] { return m_lookupRequested || m_stopping; });
      if (m_stopping)
        return;
      m_lookupRequested = false;
    }
    std::any_of(
        m_addresses.begin(), m_addresses.end(),
        [&](const std::string &Address) { return fetchMembers(Address); });
  }
}

bool EntryFinder::fetchMembers(const std::string &Address) {
  {
    const std::lock_guard Lock(m_mutex);
    if (m_stopping)
      return true;
    m_client = http::Client::create(Address);
  }
  http::Request R;
  R.m_target = "/v1/members";
  const auto Outcome = m_client->call(R, LookupTimeoutMs);
  const auto *Response = std::get_if<http::Response>(&Outcome);
  if (Response == nullptr || Response->m_status != 200)
    return false;
  auto Page = base::parse<model::MemberPage>(Response->m_body);
  if (!Page || Page->m_members.empty())
    return false;
  return m_out.push(EntriesFound{std::move(Page->m_members)});
}

} // namespace pomelokeel::agent
