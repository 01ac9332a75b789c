#include "standin/worker.h"

#include "standin/wait.h"

#include <gtest/gtest.h>

#include <future>

using namespace pomelokeel;
using namespace pomelokeel::standin;
using model::TaskAction;
using model::TaskInfo;
using model::TaskPage;
using model::TaskState;

namespace {

constexpr Millis LongMs = 60000;

class WorkerStandinTest : public testing::Test {
protected:
  template <typename Answer>
  Answer call(const std::string &Method, const std::string &Target,
              const Json &Body = nullptr) {
    const auto Outcome = m_client->call({Method, Target, Body.dump()}, 10000);
    const auto *R = std::get_if<http::Response>(&Outcome);
    m_status = R ? R->m_status : 0;
    if (m_status != 200)
      return {};
    const auto Parsed = base::parse<Answer>(R->m_body);
    EXPECT_TRUE(Parsed.ok()) << R->m_body;
    return Parsed ? *Parsed : Answer{};
  }

  TaskInfo start(const std::string &Task, const Json &Payload,
                 bool Paused = false, Millis LeaseMs = LongMs) {
    return call<TaskInfo>(
        "POST", "/tasks",
        base::encode(model::TaskStart{Task, {0, 1}, Payload, Paused, LeaseMs}));
  }

  TaskInfo act(const std::string &Task, TaskAction Action,
               const Json &Body = Json::object()) {
    return call<TaskInfo>("POST", model::actionTarget(Task, Action), Body);
  }

  TaskInfo find(const std::string &Task) {
    for (const TaskInfo &T : call<TaskPage>("GET", "/tasks").m_tasks) {
      if (T.m_task == Task)
        return T;
    }
    return {};
  }

  bool becomes(const std::string &Task, TaskState State) {
    return eventually([&] { return find(Task).m_state == State; });
  }

  WorkerStandin m_worker;
  std::unique_ptr<http::Client> m_client =
      http::Client::create(m_worker.address());
  int m_status = 0;
};

} // namespace

TEST_F(WorkerStandinTest, TasksEndAsTheirPayloadSays) {
  start("echo", {{"runMs", 1}, {"x", 2}});
  start("answer", {{"answer", {1, 2}}});
  start("fail", {{"fail", true}});
  start("exit", {{"runMs", LongMs}, {"exitAfterMs", 1}});
  EXPECT_TRUE(becomes("echo", TaskState::Succeeded));
  EXPECT_EQ(find("echo").m_answer, (Json{{"runMs", 1}, {"x", 2}}));
  EXPECT_TRUE(becomes("answer", TaskState::Succeeded));
  EXPECT_EQ(find("answer").m_answer, (Json{1, 2}));
  EXPECT_TRUE(becomes("fail", TaskState::Failed));
  EXPECT_TRUE(becomes("exit", TaskState::Failed));
}

// Other tests check with the history that a task ran at most once. This relies
// on the worker refusing a second start of a task, also after it was forgotten,
// and on one "start" event in the history for each run.
TEST_F(WorkerStandinTest, SecondStartIsRefused) {
  start("a", Json::object());
  EXPECT_EQ(m_status, 200);
  ASSERT_TRUE(becomes("a", TaskState::Succeeded));
  start("a", Json::object());
  EXPECT_EQ(m_status, 409);
  act("a", TaskAction::Forget);
  EXPECT_EQ(find("a").m_task, "");
  start("a", Json::object());
  EXPECT_EQ(m_status, 409);
  const auto Events = m_worker.history().m_events;
  ASSERT_EQ(Events.size(), 2U);
  EXPECT_EQ(Events[0].m_event, "start");
  EXPECT_EQ(Events[1].m_event, "end");
  EXPECT_GE(Events[1].m_atMs, Events[0].m_atMs);
}

TEST_F(WorkerStandinTest, PausedTaskRunsOnlyAfterRelease) {
  start("a", Json::object(), true);
  start("b", Json::object(), true);
  act("b", TaskAction::Stop, {{"reason", "why"}});
  EXPECT_FALSE(find("b").m_everRan);
  EXPECT_EQ(find("b").m_reason, "why");
  EXPECT_EQ(find("a").m_state, TaskState::Paused);
  act("a", TaskAction::Release);
  EXPECT_TRUE(becomes("a", TaskState::Succeeded));
  EXPECT_TRUE(find("a").m_everRan);
}

TEST_F(WorkerStandinTest, LeaseLapsesUnlessRenewed) {
  start("lapses", {{"runMs", LongMs}}, false, 50);
  start("paused", Json::object(), true, 50);
  start("renewed", {{"runMs", LongMs}}, false, 2000);
  act("renewed", TaskAction::Renew, {{"leaseMs", LongMs}});
  EXPECT_TRUE(becomes("lapses", TaskState::Lapsed));
  EXPECT_TRUE(becomes("paused", TaskState::Lapsed));
  EXPECT_EQ(find("renewed").m_state, TaskState::Running);
}

TEST_F(WorkerStandinTest, CheckpointResumesAndThrottleSlows) {
  start("slow", {{"runMs", LongMs}});
  act("slow", TaskAction::Throttle, {{"speed", 0.001}});
  act("slow", TaskAction::Throttle, {{"speed", 0}});
  EXPECT_EQ(m_status, 400);
  start("a", {{"runMs", LongMs}});
  Json Checkpoint;
  ASSERT_TRUE(eventually([&] {
    Checkpoint = act("a", TaskAction::Checkpoint).m_checkpoint;
    return Checkpoint["ranMs"].get<double>() >= 100;
  }));
  const Json Slow = act("slow", TaskAction::Checkpoint).m_checkpoint;
  EXPECT_LT(Slow["ranMs"], Checkpoint["ranMs"]);
  const double Ran = Checkpoint["ranMs"];
  start("b", {{"runMs", Ran}, {"checkpoint", Checkpoint}});
  EXPECT_TRUE(becomes("b", TaskState::Succeeded));
}

TEST_F(WorkerStandinTest, ChangesAreAnsweredByLongPoll) {
  start("a", Json::object(), true);
  const auto Last = call<TaskPage>("GET", "/tasks").m_last;
  auto Poll = std::async(std::launch::async, [&] {
    const auto C = http::Client::create(m_worker.address());
    return C->call({"GET", model::changesTarget(Last, LongMs)}, 10000);
  });
  act("a", TaskAction::Stop);
  const auto Page =
      base::parse<TaskPage>(std::get<http::Response>(Poll.get()).m_body);
  ASSERT_EQ(Page->m_tasks.size(), 1U);
  EXPECT_EQ(Page->m_tasks[0].m_state, TaskState::Stopped);
  EXPECT_GT(Page->m_last, Last);
}

TEST_F(WorkerStandinTest, MisfitsAreStartedAndCounted) {
  start("a", {{"runMs", LongMs}});
  EXPECT_EQ(m_worker.history().m_misfits, 0);
  start("b", {{"runMs", LongMs}}); // On the same accelerators.
  EXPECT_EQ(find("b").m_state, TaskState::Running);
  EXPECT_EQ(m_worker.history().m_misfits, 1);
  EXPECT_TRUE(eventually([&] {
    return call<TaskPage>("GET", "/tasks").m_usage.m_busySlots == 2;
  }));
}

TEST_F(WorkerStandinTest, Faults) {
  m_worker.setFaults({.m_failAll = true});
  EXPECT_EQ(start("a", {{"runMs", LongMs}}).m_state, TaskState::Failed);
  m_worker.setFaults({.m_refuse = true});
  start("b", Json::object());
  EXPECT_EQ(m_status, 503);
  m_worker.setFaults({.m_loseStartAnswers = 1});
  start("c", {{"runMs", LongMs}});
  EXPECT_EQ(m_status, 0);
  EXPECT_EQ(find("c").m_state, TaskState::Running);
  m_worker.setFaults({.m_freeze = true});
  const auto Frozen = m_client->call({"GET", "/tasks"}, 50);
  EXPECT_TRUE(std::holds_alternative<http::CallError>(Frozen));
}
