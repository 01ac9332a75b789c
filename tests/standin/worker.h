#pragma once

#include "model/task.h"
#include "standin/standin.h"

#include <list>
#include <set>

namespace pomelokeel::standin {

struct WorkerOptions {
  std::string m_listen = "127.0.0.1:0";
  int m_accelerators = 8; ///< Only counted against; nothing is refused.
  int m_slots = 8;
};

/// Faults in force. `POST /faults` replaces all of them.
struct WorkerFaults {
  bool m_failAll = false;     ///< Tasks fail as soon as they run.
  bool m_freeze = false;      ///< No answers, no effects; tasks go on.
  bool m_refuse = false;      ///< 503.
  Millis m_delayMs = 0;       ///< Of answers; effects are not delayed.
  int m_loseStartAnswers = 0; ///< Starts left whose answer is lost.

  static constexpr auto fields() {
    return std::tuple{
        base::optional("failAll", &WorkerFaults::m_failAll),
        base::optional("freeze", &WorkerFaults::m_freeze),
        base::optional("refuse", &WorkerFaults::m_refuse),
        base::optional("delayMs", &WorkerFaults::m_delayMs),
        base::optional("loseStartAnswers", &WorkerFaults::m_loseStartAnswers)};
  }
};

/// One entry of `GET /history`: a task began to run, or ended.
struct HistoryEvent {
  std::string m_task;
  std::string m_event; ///< "start" or "end".
  Millis m_atMs = 0;   ///< Monotonic time, the same for the whole machine.
  std::vector<int> m_accelerators;
  model::TaskState m_state = model::TaskState::Running;
  bool m_everRan = false;

  static constexpr auto fields() {
    return std::tuple{
        base::required("task", &HistoryEvent::m_task),
        base::required("event", &HistoryEvent::m_event),
        base::required("atMs", &HistoryEvent::m_atMs),
        base::required("accelerators", &HistoryEvent::m_accelerators),
        base::required("state", &HistoryEvent::m_state),
        base::required("everRan", &HistoryEvent::m_everRan)};
  }
};

/// Answer of `GET /history`.
struct History {
  std::vector<HistoryEvent> m_events;
  /// Starts beyond the slots, on accelerators in use, or on missing ones.
  int m_misfits = 0;

  static constexpr auto fields() {
    return std::tuple{base::required("events", &History::m_events),
                      base::required("misfits", &History::m_misfits)};
  }
};

/// Stand-in of a worker (docs/design.md, section 5). Payload of a task, all
/// optional: {"runMs", "fail", "answer", "exitAfterMs", "checkpoint", "cores",
/// "memoryMb"}. Without "answer" the task answers with its payload;
/// "exitAfterMs" makes it fail after that much run time.
class WorkerStandin : public Standin {
public:
  explicit WorkerStandin(const WorkerOptions &Options = {});
  ~WorkerStandin() override { stop(); }

  void setFaults(const WorkerFaults &Faults);
  History history() const;

private:
  struct Task {
    model::TaskInfo m_info;
    Json m_payload;
    Json m_metadata;
    double m_targetMs = 0; ///< Run time at which it ends.
    double m_ranMs = 0;
    double m_speed = 1;
    Millis m_advancedMs = 0; ///< Time up to which RanMs counts.
    Millis m_leaseEndMs = 0;
  };
  struct Poll {
    std::uint64_t m_after = 0;
    Millis m_deadline = 0;
    http::Responder m_answer;
  };

  void handle(const http::Request &R, http::Responder Answer) override;
  Millis tick(Millis Now) override;
  http::Response faults(const http::Request &R);
  http::Response startTask(const http::Request &R);
  http::Response act(const http::Request &R, const std::string &Path);
  base::Status apply(Task &T, model::TaskAction Action, const Json &Body);
  http::Response page(std::uint64_t After, bool Metadata) const;
  void finish(const http::Responder &Answer, http::Response R);
  bool misfits(const std::vector<int> &Accelerators) const;
  void run(Task &T);
  void end(Task &T, model::TaskState State, const std::string &Reason);
  void advance(Task &T, Millis Now);
  void changed(Task &T);
  Millis dueMs(const Task &T) const;
  void measure(Millis Now);

  WorkerOptions m_options;
  WorkerFaults m_faults;
  std::string m_incarnation;
  std::uint64_t m_last = 0;
  std::map<std::string, Task> m_tasks;
  std::set<std::string> m_known; ///< Every task id that was ever started.
  std::list<Poll> m_polls;
  model::Usage m_usage;
  Millis m_usageMs = 0;
  History m_history;
};

} // namespace pomelokeel::standin
