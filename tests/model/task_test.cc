#include "model/task.h"

#include "mutate.h"

using namespace pomelokeel::model;

// A worker is not part of pomelokeel; none of its answers may crash the agent.
TEST(Task, MutatedDocumentsDecodeOrNameTheField) {
  const TaskInfo Info{"j.1.0",    TaskState::Failed, true, 7, {0, 1}, "why",
                      Json{1, 2}, Json{{"ranMs", 3}}};
  const TaskPage Page{"i", 9, {Info, Info}, {1.5, 256, 2, 1}};
  detail::checkMutations(Page);
  detail::checkTextMutations(Page);
  const TaskStart Start{"j.1.0", {0, 1}, Json{{"runMs", 5}}, true, 3000};
  detail::checkMutations(Start);
}

TEST(Task, OnlyPausedAndRunningAreNotFinal) {
  EXPECT_FALSE(isFinal(TaskState::Paused));
  EXPECT_FALSE(isFinal(TaskState::Running));
  for (const auto State : {TaskState::Succeeded, TaskState::Failed,
                           TaskState::Stopped, TaskState::Lapsed})
    EXPECT_TRUE(isFinal(State));
}

TEST(Task, TargetsNameTaskAndAction) {
  EXPECT_EQ(actionTarget("j.1.0", TaskAction::Throttle),
            "/tasks/j.1.0/throttle");
  EXPECT_EQ(changesTarget(3, 500), "/changes?after=3&waitMs=500");
}
