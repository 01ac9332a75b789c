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

Caller::Caller(const Fleet &F, CallerPlan Plan)
    : m_fleet(F), m_plan(std::move(Plan)) {
  m_view.m_name = m_plan.m_name;
  m_view.m_members = m_plan.m_spec.value("members", 1);
  m_view.m_idempotent = m_plan.m_idempotent;
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
  const Millis Deadline = base::monotonicNow() + m_plan.m_timeoutMs;
  while (!m_stopping && base::monotonicNow() < Deadline) {
    if (attempt(nextEntry()))
      return;
    std::this_thread::sleep_for(RetryDelay);
  }
}

std::string Caller::nextEntry() {
  if (m_tries++ == 0 && !m_plan.m_entry.empty())
    return m_plan.m_entry;
  const auto Entries = m_fleet.entries();
  return Entries[m_tries % Entries.size()];
}

// Returns whether the caller has its final answer.
bool Caller::attempt(const std::string &Entry) {
  bool Cut = false;
  const auto Answer = m_fleet.call(
      Entry, "POST", "/v1/jobs?waitMs=" + std::to_string(WaitPerCall),
      m_plan.m_spec, CallTimeout, Cut);
  if (Answer)
    readAnswer(*Answer);
  else
    readRefusal(Answer.error());
  const std::lock_guard Lock(m_mutex);
  m_view.m_cutCalls += Cut ? 1 : 0;
  return !m_view.m_told.empty();
}

void Caller::readAnswer(const Json &Answer) {
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
  m_view.m_told.push_back(
      {base::monotonicNow(), *Outcome,
       Result->contains("answer") ? (*Result)["answer"] : Json()});
}

// A caller that will not repeat takes a refusal with notRun as its outcome.
void Caller::readRefusal(const base::Error &E) {
  const base::ErrorInfo &Row = base::errorInfo(E.m_kind);
  const bool Final = Row.m_notRun && (!m_plan.m_retry || !Row.m_retryable);
  if (!Final || E.m_kind == base::ErrorKind::Unreachable)
    return;
  const std::lock_guard Lock(m_mutex);
  if (!m_view.m_accepted)
    m_view.m_told.push_back(
        {base::monotonicNow(), model::Outcome::NotRun, Json()});
}

} // namespace pomelokeel::scenario
