#include "scenario/caller.h"

#include "http/http.h"

#include <chrono>
#include <utility>

namespace pomelokeel::scenario {
namespace {

using base::Json;

constexpr int WaitPerCall = 1000; // ms
constexpr int CallTimeout = 4000; // ms
constexpr std::chrono::milliseconds RetryDelay{50};

} // namespace

Caller::Caller(const Fleet &F, CallerOptions Options)
    : m_fleet(F), m_options(std::move(Options)) {
  m_view.m_name = m_options.m_name;
  m_view.m_members = m_options.m_spec.value("members", 1);
  m_view.m_idempotent = m_options.m_idempotent;
  m_thread = std::thread([this] { run(); });
}

Caller::~Caller() { stop(); }

CallerView Caller::view() const {
  const std::lock_guard Lock(m_mutex);
  return m_view;
}

void Caller::stop() {
  m_stopping = true;
  if (m_thread.joinable())
    m_thread.join();
}

void Caller::run() {
  const Millis Deadline = base::monotonicNow() + m_options.m_timeoutMs;
  while (!m_stopping && base::monotonicNow() < Deadline) {
    if (submitOnce(nextEntry()))
      return;
    std::this_thread::sleep_for(RetryDelay);
  }
}

std::string Caller::nextEntry() {
  if (m_calls++ == 0 && !m_options.m_entry.empty())
    return m_options.m_entry;
  const auto Entries = m_fleet.entries();
  return Entries[m_calls % Entries.size()];
}

// Calls an entry. Returns whether the outcome of the job is known.
bool Caller::submitOnce(const std::string &Entry) {
  bool Unanswered = false;
  const auto Answer = m_fleet.call(
      Entry, "POST", "/v1/jobs?waitMs=" + std::to_string(WaitPerCall),
      m_options.m_spec, CallTimeout, Unanswered);
  if (Answer)
    recordAnswer(*Answer);
  else
    recordError(Answer.error());
  const std::lock_guard Lock(m_mutex);
  m_view.m_unansweredCalls += Unanswered ? 1 : 0;
  return !m_view.m_outcomes.empty();
}

void Caller::recordAnswer(const Json &Answer) {
  if (!Answer.is_object())
    return;
  const std::lock_guard Lock(m_mutex);
  if (Answer.contains("job")) {
    m_view.m_job = Answer["job"].get<std::string>();
    m_view.m_accepted = true;
  }
  const Json *Result = Answer.contains("result") ? &Answer["result"] : nullptr;
  if (!Result || !Result->is_object())
    return;
  const auto Outcome =
      base::fromName<model::Outcome>(Result->value("outcome", ""));
  if (!Outcome)
    return;
  m_view.m_outcomes.push_back(
      {base::monotonicNow(), *Outcome,
       Result->contains("answer") ? (*Result)["answer"] : Json()});
}

// A refusal that says that the job did not run is its outcome, unless the
// caller calls again or the job is already accepted.
void Caller::recordError(const base::Error &E) {
  const base::ErrorInfo &Info = base::errorInfo(E.m_kind);
  const bool Final = Info.m_notRun && (!m_options.m_retry || !Info.m_retryable);
  if (!Final || E.m_kind == base::ErrorKind::Unreachable)
    return;
  const std::lock_guard Lock(m_mutex);
  if (!m_view.m_accepted)
    m_view.m_outcomes.push_back(
        {base::monotonicNow(), model::Outcome::NotRun, Json()});
}

} // namespace pomelokeel::scenario
