#include "standin/worker.h"

#include "base/id.h"

#include <algorithm>
#include <cmath>

namespace pomelokeel::standin {
namespace {

using base::ErrorKind;
using model::TaskAction;
using model::TaskState;

constexpr Millis UsageLagMs = 500;

double numberIn(const Json &J, const char *Name, double Default) {
  if (!J.is_object() || !J.contains(Name) || !J[Name].is_number())
    return Default;
  return J[Name].get<double>();
}

http::Response failure(ErrorKind Kind, const std::string &Message) {
  return http::errorResponse({Kind, Message});
}

} // namespace

WorkerStandin::WorkerStandin(const WorkerOptions &Options)
    : m_options(Options), m_incarnation(base::randomId()) {
  start(Options.m_listen);
}

void WorkerStandin::setFaults(const WorkerFaults &Faults) {
  const std::lock_guard Lock(m_mutex);
  m_faults = Faults;
}

History WorkerStandin::history() const {
  const std::lock_guard Lock(m_mutex);
  return m_history;
}

void WorkerStandin::handle(const http::Request &R, http::Responder Answer) {
  const std::string Path = http::pathOf(R.m_target);
  if (Path == "/faults")
    return Answer(faults(R));
  if (Path == "/history")
    return Answer(jsonResponse(base::encode(m_history)));
  if (m_faults.m_freeze)
    return hold(std::move(Answer));
  if (m_faults.m_refuse)
    return finish(Answer, failure(ErrorKind::Overloaded, "refused by a fault"));
  for (auto &[Id, T] : m_tasks)
    advance(T, base::monotonicNow());
  wake();
  if (Path == "/changes") {
    m_polls.push_back(
        {numberOf(R, "after", 0),
         base::monotonicNow() + static_cast<Millis>(numberOf(R, "waitMs", 0)),
         std::move(Answer)});
    return;
  }
  if (Path != "/tasks")
    return finish(Answer, act(R, Path));
  if (R.m_method != "POST")
    return finish(Answer, page(0, true));
  const http::Response Started = startTask(R);
  if (Started.m_status == 200 && m_faults.m_loseStartAnswers > 0) {
    --m_faults.m_loseStartAnswers;
    return Answer(http::noAnswer());
  }
  finish(Answer, Started);
}

http::Response WorkerStandin::faults(const http::Request &R) {
  if (R.m_method == "POST") {
    const auto Faults = base::parse<WorkerFaults>(R.m_body);
    if (!Faults)
      return http::errorResponse(Faults.error());
    m_faults = *Faults;
  }
  return jsonResponse(base::encode(m_faults));
}

http::Response WorkerStandin::startTask(const http::Request &R) {
  const auto Start = base::parse<model::TaskStart>(R.m_body);
  if (!Start)
    return http::errorResponse(Start.error());
  if (!m_known.insert(Start->m_task).second)
    return failure(ErrorKind::DuplicateTask, Start->m_task);
  m_history.m_misfits += misfits(Start->m_accelerators) ? 1 : 0;
  const Json &Payload = Start->m_payload;
  Task &T = m_tasks[Start->m_task];
  T.m_info.m_task = Start->m_task;
  T.m_info.m_accelerators = Start->m_accelerators;
  T.m_payload = Payload;
  T.m_metadata = Start->m_metadata;
  T.m_targetMs = std::min(numberIn(Payload, "runMs", 0),
                          numberIn(Payload, "exitAfterMs", HUGE_VAL));
  if (Payload.is_object() && Payload.contains("checkpoint"))
    T.m_ranMs = numberIn(Payload["checkpoint"], "ranMs", 0);
  T.m_advancedMs = base::monotonicNow();
  T.m_leaseEndMs = T.m_advancedMs + Start->m_leaseMs;
  changed(T);
  if (!Start->m_paused)
    run(T);
  return jsonResponse(base::encode(T.m_info));
}

bool WorkerStandin::misfits(const std::vector<int> &Accelerators) const {
  int Live = 0;
  std::set<int> Used;
  for (const auto &[Id, T] : m_tasks) {
    if (model::isFinal(T.m_info.m_state))
      continue;
    ++Live;
    Used.insert(T.m_info.m_accelerators.begin(), T.m_info.m_accelerators.end());
  }
  return Live >= m_options.m_slots ||
         std::any_of(Accelerators.begin(), Accelerators.end(), [&](int A) {
           return A < 0 || A >= m_options.m_accelerators || Used.contains(A);
         });
}

// Handles `/tasks/{id}/{action}`.
http::Response WorkerStandin::act(const http::Request &R,
                                  const std::string &Path) {
  const std::size_t Slash = Path.rfind('/');
  const auto Action = base::fromName<TaskAction>(Path.substr(Slash + 1));
  const std::string Prefix = "/tasks/";
  if (!Action || !Path.starts_with(Prefix) || Slash < Prefix.size() ||
      R.m_method != "POST")
    return failure(ErrorKind::NotFound, R.m_target);
  const std::string Id = Path.substr(Prefix.size(), Slash - Prefix.size());
  const auto It = m_tasks.find(Id);
  if (It == m_tasks.end())
    return failure(ErrorKind::NotFound, "task " + Id);
  const Json Body =
      R.m_body.empty() ? Json::object() : Json::parse(R.m_body, nullptr, false);
  if (const base::Status S = apply(It->second, *Action, Body); !S)
    return http::errorResponse(S.error());
  http::Response Answer = jsonResponse(base::encode(It->second.m_info));
  if (*Action == TaskAction::Forget)
    m_tasks.erase(It);
  return Answer;
}

base::Status WorkerStandin::apply(Task &T, TaskAction Action,
                                  const Json &Body) {
  const bool Final = model::isFinal(T.m_info.m_state);
  model::LeaseRenewal Renewal;
  model::TaskStop Stop;
  model::TaskThrottle Throttle;
  base::Status Decoded = base::success();
  if (Action == TaskAction::Renew)
    Decoded = base::decode(Body, "", Renewal);
  if (Action == TaskAction::Stop)
    Decoded = base::decode(Body, "", Stop);
  if (Action == TaskAction::Throttle)
    Decoded = base::decode(Body, "", Throttle);
  if (!Decoded)
    return Decoded;
  if (Action == TaskAction::Throttle &&
      !(Throttle.m_speed > 0 && Throttle.m_speed <= 1))
    return base::Error{ErrorKind::OutOfRange, "\"speed\""};
  if (Action == TaskAction::Forget && !Final)
    return base::Error{ErrorKind::BadRequest, "the task has not ended"};
  if (Final)
    return base::success();
  switch (Action) {
  case TaskAction::Renew:
    T.m_leaseEndMs = base::monotonicNow() + Renewal.m_leaseMs;
    break;
  case TaskAction::Release:
    if (T.m_info.m_state == TaskState::Paused)
      run(T);
    break;
  case TaskAction::Stop:
    end(T, TaskState::Stopped, Stop.m_reason);
    break;
  case TaskAction::Checkpoint:
    T.m_info.m_checkpoint = {{"ranMs", T.m_ranMs}};
    changed(T);
    break;
  case TaskAction::Throttle:
    T.m_speed = Throttle.m_speed;
    break;
  case TaskAction::Forget:
    break;
  }
  return base::success();
}

void WorkerStandin::run(Task &T) {
  T.m_info.m_state = TaskState::Running;
  T.m_info.m_everRan = true;
  T.m_advancedMs = base::monotonicNow();
  m_history.m_events.push_back({T.m_info.m_task, "start", T.m_advancedMs,
                                T.m_info.m_accelerators, TaskState::Running,
                                true});
  changed(T);
  if (m_faults.m_failAll)
    end(T, TaskState::Failed, "failed by a fault");
}

void WorkerStandin::end(Task &T, TaskState State, const std::string &Reason) {
  T.m_info.m_state = State;
  T.m_info.m_reason = Reason;
  m_history.m_events.push_back({T.m_info.m_task, "end", base::monotonicNow(),
                                T.m_info.m_accelerators, State,
                                T.m_info.m_everRan});
  changed(T);
}

void WorkerStandin::changed(Task &T) {
  T.m_info.m_sequence = ++m_last;
  wake(); // Answers long polls.
}

Millis WorkerStandin::dueMs(const Task &T) const {
  if (model::isFinal(T.m_info.m_state))
    return Never;
  if (T.m_info.m_state == TaskState::Paused)
    return T.m_leaseEndMs;
  const double LeftMs = (T.m_targetMs - T.m_ranMs) / T.m_speed;
  const double EndMs =
      static_cast<double>(T.m_advancedMs) + std::ceil(std::max(LeftMs, 0.0));
  return EndMs < static_cast<double>(T.m_leaseEndMs)
             ? static_cast<Millis>(EndMs)
             : T.m_leaseEndMs;
}

// Brings the task's progress and state up to \p Now.
void WorkerStandin::advance(Task &T, Millis Now) {
  if (model::isFinal(T.m_info.m_state))
    return;
  if (T.m_info.m_state == TaskState::Running) {
    const Millis Until = std::min(Now, T.m_leaseEndMs);
    T.m_ranMs += T.m_speed * static_cast<double>(
                                 std::max<Millis>(Until - T.m_advancedMs, 0));
    T.m_advancedMs = Now;
    const Json &P = T.m_payload;
    if (T.m_ranMs >= T.m_targetMs) {
      if (T.m_targetMs < numberIn(P, "runMs", 0))
        return end(T, TaskState::Failed, "exited early");
      if (P.is_object() && P.value("fail", Json()) == Json(true))
        return end(T, TaskState::Failed, "failed as the payload says");
      T.m_info.m_answer =
          P.is_object() && P.contains("answer") ? P["answer"] : P;
      return end(T, TaskState::Succeeded, "");
    }
  }
  if (Now >= T.m_leaseEndMs)
    end(T, TaskState::Lapsed, "the lease lapsed");
}

Millis WorkerStandin::tick(Millis Now) {
  measure(Now);
  Millis Due = m_usageMs + UsageLagMs;
  for (auto &[Id, T] : m_tasks) {
    advance(T, Now);
    Due = std::min(Due, dueMs(T));
  }
  for (auto It = m_polls.begin(); It != m_polls.end();) {
    if (It->m_after == m_last && It->m_deadline > Now) {
      Due = std::min(Due, It->m_deadline);
      ++It;
      continue;
    }
    finish(It->m_answer, page(It->m_after, false));
    It = m_polls.erase(It);
  }
  return Due;
}

// Updates the reported usage, at most once per lag.
void WorkerStandin::measure(Millis Now) {
  if (Now < m_usageMs + UsageLagMs)
    return;
  m_usageMs = Now;
  m_usage = {};
  for (const auto &[Id, T] : m_tasks) {
    if (model::isFinal(T.m_info.m_state))
      continue;
    ++m_usage.m_busySlots;
    m_usage.m_busyAccelerators +=
        static_cast<int>(T.m_info.m_accelerators.size());
    m_usage.m_cores += numberIn(T.m_payload, "cores", 1);
    m_usage.m_memoryMb +=
        static_cast<int>(numberIn(T.m_payload, "memoryMb", 256));
  }
}

http::Response WorkerStandin::page(std::uint64_t After, bool Metadata) const {
  model::TaskPage Page{m_incarnation, m_last, {}, m_usage};
  for (const auto &[Id, T] : m_tasks) {
    if (T.m_info.m_sequence <= After)
      continue;
    Page.m_tasks.push_back(T.m_info);
    if (Metadata)
      Page.m_tasks.back().m_metadata = T.m_metadata;
  }
  std::sort(
      Page.m_tasks.begin(), Page.m_tasks.end(),
      [](const auto &A, const auto &B) { return A.m_sequence < B.m_sequence; });
  return jsonResponse(base::encode(Page));
}

void WorkerStandin::finish(const http::Responder &Answer, http::Response R) {
  if (m_faults.m_freeze)
    return hold(Answer);
  answerLater(Answer, std::move(R), m_faults.m_delayMs);
}

} // namespace pomelokeel::standin
