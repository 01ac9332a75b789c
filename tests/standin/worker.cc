#include "standin/worker.h"

#include "base/id.h"

#include <algorithm>
#include <cmath>

namespace pomelokeel::standin {
namespace {

using base::ErrorKind;
using model::TaskAction;
using model::TaskState;

// The reported usage is refreshed this often, so that it lags as that of real
// workers does.
constexpr Millis UsagePeriodMs = 500;

// Returns the number in field Name of J, or Default.
double numberIn(const Json &J, const char *Name, double Default) {
  if (!J.is_object() || !J.contains(Name) || !J[Name].is_number())
    return Default;
  return J[Name].get<double>();
}

http::Response errorAnswer(ErrorKind Kind, const std::string &Message) {
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
    return Answer(handleFaults(R));
  if (Path == "/history")
    return Answer(jsonResponse(base::encode(m_history)));
  if (m_faults.m_freeze)
    return leaveUnanswered(std::move(Answer));
  if (m_faults.m_refuse)
    return respond(Answer,
                   errorAnswer(ErrorKind::Overloaded, "refused by a fault"));
  for (auto &[Id, T] : m_tasks)
    advanceTask(T, base::monotonicNow());
  wake();
  if (Path == "/changes") {
    m_pendingPolls.push_back(
        {unsignedQueryOf(R, "after", 0),
         base::monotonicNow() +
             static_cast<Millis>(unsignedQueryOf(R, "waitMs", 0)),
         std::move(Answer)});
    return;
  }
  if (Path != "/tasks")
    return respond(Answer, handleAction(R, Path));
  if (R.m_method != "POST")
    return respond(Answer, taskPage(0, true));
  const http::Response Started = startTask(R);
  if (Started.m_status == 200 && m_faults.m_loseStartAnswers > 0) {
    --m_faults.m_loseStartAnswers;
    return Answer(http::noAnswer());
  }
  respond(Answer, Started);
}

http::Response WorkerStandin::handleFaults(const http::Request &R) {
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
  if (!m_startedTasks.insert(Start->m_task).second)
    return errorAnswer(ErrorKind::DuplicateTask, Start->m_task);
  m_history.m_misfits += isMisfit(Start->m_accelerators) ? 1 : 0;
  const Json &Payload = Start->m_payload;
  Task &T = m_tasks[Start->m_task];
  T.m_info.m_task = Start->m_task;
  T.m_info.m_accelerators = Start->m_accelerators;
  T.m_payload = Payload;
  T.m_metadata = Start->m_metadata;
  T.m_endAfterMs = std::min(numberIn(Payload, "runMs", 0),
                            numberIn(Payload, "exitAfterMs", HUGE_VAL));
  if (Payload.is_object() && Payload.contains("checkpoint"))
    T.m_ranMs = numberIn(Payload["checkpoint"], "ranMs", 0);
  T.m_progressAtMs = base::monotonicNow();
  T.m_leaseEndMs = T.m_progressAtMs + Start->m_leaseMs;
  recordChange(T);
  if (!Start->m_paused)
    beginRun(T);
  return jsonResponse(base::encode(T.m_info));
}

bool WorkerStandin::isMisfit(const std::vector<int> &Accelerators) const {
  int UnfinishedTasks = 0;
  std::set<int> UsedAccelerators;
  for (const auto &[Id, T] : m_tasks) {
    if (model::isFinal(T.m_info.m_state))
      continue;
    ++UnfinishedTasks;
    UsedAccelerators.insert(T.m_info.m_accelerators.begin(),
                            T.m_info.m_accelerators.end());
  }
  return UnfinishedTasks >= m_options.m_slots ||
         std::any_of(Accelerators.begin(), Accelerators.end(), [&](int A) {
           return A < 0 || A >= m_options.m_accelerators ||
                  UsedAccelerators.contains(A);
         });
}

http::Response WorkerStandin::handleAction(const http::Request &R,
                                           const std::string &Path) {
  const std::size_t Slash = Path.rfind('/');
  const auto Action = base::fromName<TaskAction>(Path.substr(Slash + 1));
  const std::string Prefix = "/tasks/";
  if (!Action || !Path.starts_with(Prefix) || Slash < Prefix.size() ||
      R.m_method != "POST")
    return errorAnswer(ErrorKind::NotFound, R.m_target);
  const std::string Id = Path.substr(Prefix.size(), Slash - Prefix.size());
  const auto It = m_tasks.find(Id);
  if (It == m_tasks.end())
    return errorAnswer(ErrorKind::NotFound, "task " + Id);
  const Json Body =
      R.m_body.empty() ? Json::object() : Json::parse(R.m_body, nullptr, false);
  if (const base::Status S = performAction(It->second, *Action, Body); !S)
    return http::errorResponse(S.error());
  http::Response Answer = jsonResponse(base::encode(It->second.m_info));
  if (*Action == TaskAction::Forget)
    m_tasks.erase(It);
  return Answer;
}

base::Status WorkerStandin::performAction(Task &T, TaskAction Action,
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
      beginRun(T);
    break;
  case TaskAction::Stop:
    endTask(T, TaskState::Stopped, Stop.m_reason);
    break;
  case TaskAction::Checkpoint:
    T.m_info.m_checkpoint = {{"ranMs", T.m_ranMs}};
    recordChange(T);
    break;
  case TaskAction::Throttle:
    T.m_speed = Throttle.m_speed;
    break;
  case TaskAction::Forget:
    break;
  }
  return base::success();
}

void WorkerStandin::beginRun(Task &T) {
  T.m_info.m_state = TaskState::Running;
  T.m_info.m_everRan = true;
  T.m_progressAtMs = base::monotonicNow();
  m_history.m_events.push_back({T.m_info.m_task, "start", T.m_progressAtMs,
                                T.m_info.m_accelerators, TaskState::Running,
                                true});
  recordChange(T);
  if (m_faults.m_failAll)
    endTask(T, TaskState::Failed, "failed by a fault");
}

void WorkerStandin::endTask(Task &T, TaskState State,
                            const std::string &Reason) {
  T.m_info.m_state = State;
  T.m_info.m_reason = Reason;
  m_history.m_events.push_back({T.m_info.m_task, "end", base::monotonicNow(),
                                T.m_info.m_accelerators, State,
                                T.m_info.m_everRan});
  recordChange(T);
}

void WorkerStandin::recordChange(Task &T) {
  T.m_info.m_sequence = ++m_lastSequence;
  wake(); // Answers long polls.
}

Millis WorkerStandin::nextDueMs(const Task &T) const {
  if (model::isFinal(T.m_info.m_state))
    return Never;
  if (T.m_info.m_state == TaskState::Paused)
    return T.m_leaseEndMs;
  const double RemainingMs = (T.m_endAfterMs - T.m_ranMs) / T.m_speed;
  const double EndMs = static_cast<double>(T.m_progressAtMs) +
                       std::ceil(std::max(RemainingMs, 0.0));
  return EndMs < static_cast<double>(T.m_leaseEndMs)
             ? static_cast<Millis>(EndMs)
             : T.m_leaseEndMs;
}

void WorkerStandin::advanceTask(Task &T, Millis Now) {
  if (model::isFinal(T.m_info.m_state))
    return;
  if (T.m_info.m_state == TaskState::Running) {
    const Millis Until = std::min(Now, T.m_leaseEndMs);
    T.m_ranMs += T.m_speed * static_cast<double>(
                                 std::max<Millis>(Until - T.m_progressAtMs, 0));
    T.m_progressAtMs = Now;
    const Json &P = T.m_payload;
    if (T.m_ranMs >= T.m_endAfterMs) {
      if (T.m_endAfterMs < numberIn(P, "runMs", 0))
        return endTask(T, TaskState::Failed, "exited early");
      if (P.is_object() && P.value("fail", Json()) == Json(true))
        return endTask(T, TaskState::Failed, "failed as the payload says");
      T.m_info.m_answer =
          P.is_object() && P.contains("answer") ? P["answer"] : P;
      return endTask(T, TaskState::Succeeded, "");
    }
  }
  if (Now >= T.m_leaseEndMs)
    endTask(T, TaskState::Lapsed, "the lease lapsed");
}

Millis WorkerStandin::tick(Millis Now) {
  updateUsage(Now);
  Millis Due = m_usageUpdatedMs + UsagePeriodMs;
  for (auto &[Id, T] : m_tasks) {
    advanceTask(T, Now);
    Due = std::min(Due, nextDueMs(T));
  }
  for (auto It = m_pendingPolls.begin(); It != m_pendingPolls.end();) {
    if (It->m_afterSequence == m_lastSequence && It->m_deadlineMs > Now) {
      Due = std::min(Due, It->m_deadlineMs);
      ++It;
      continue;
    }
    respond(It->m_answer, taskPage(It->m_afterSequence, false));
    It = m_pendingPolls.erase(It);
  }
  return Due;
}

void WorkerStandin::updateUsage(Millis Now) {
  if (Now < m_usageUpdatedMs + UsagePeriodMs)
    return;
  m_usageUpdatedMs = Now;
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

http::Response WorkerStandin::taskPage(std::uint64_t After,
                                       bool Metadata) const {
  model::TaskPage Page{m_incarnation, m_lastSequence, {}, m_usage};
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

void WorkerStandin::respond(const http::Responder &Answer, http::Response R) {
  if (m_faults.m_freeze)
    return leaveUnanswered(Answer);
  answerLater(Answer, std::move(R), m_faults.m_delayMs);
}

} // namespace pomelokeel::standin
