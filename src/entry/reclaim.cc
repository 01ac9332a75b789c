#include "entry/reclaim.h"

#include <algorithm>
#include <utility>

namespace pomelokeel::entry {
namespace {

using model::CommandKind;
using model::ReclaimStep;

struct StepRow {
  CommandKind m_command;
  Millis model::JobClass::*m_timeout;
};

// In the order of ReclaimStep.
constexpr std::array<StepRow, 3> Steps = {
    {{CommandKind::Checkpoint, &model::JobClass::m_checkpointTimeoutMs},
     {CommandKind::Throttle, &model::JobClass::m_throttleTimeoutMs},
     {CommandKind::Stop, &model::JobClass::m_stopTimeoutMs}}};

const StepRow &rowOf(ReclaimStep S) {
  return Steps[static_cast<std::size_t>(S)];
}

void enterStep(Reclaim &R, ReclaimStep Step, std::size_t Members,
               Millis NowMs) {
  R.m_step = Step;
  R.m_stepMs = NowMs;
  R.m_acked.assign(Members, false);
  R.m_nextSendMs.assign(Members, 0);
}

} // namespace

bool mayReclaim(const Attempt &A) {
  const bool RunsOnce = A.m_startSent && !A.m_class.m_idempotent;
  return !RunsOnce && A.m_step != AttemptStep::Stopping;
}

Reclaim makeReclaim(const Attempt &A, std::string ForJob, std::string Reason,
                    Millis NowMs) {
  Reclaim R;
  R.m_forJob = std::move(ForJob);
  R.m_reason = std::move(Reason);
  // Before Start there is nothing to checkpoint.
  enterStep(R, A.m_startSent ? ReclaimStep::Checkpoint : ReclaimStep::Stop,
            A.m_members.size(), NowMs);
  return R;
}

void applyReclaimReply(Reclaim &R, const model::CommandReply &Reply) {
  const auto Member = static_cast<std::size_t>(Reply.m_member);
  if (Reply.m_kind == rowOf(R.m_step).m_command && Reply.m_member >= 0 &&
      Member < R.m_acked.size())
    R.m_acked[Member] = true;
}

std::vector<DueCommand> advanceReclaim(Reclaim &R, Attempt &A, Millis RetryMs,
                                       Millis NowMs) {
  const auto Passed = [&] {
    return NowMs - R.m_stepMs >= A.m_class.*rowOf(R.m_step).m_timeout;
  };
  const auto Done = [&] {
    return std::ranges::all_of(R.m_acked, [](bool B) { return B; });
  };
  if (R.m_step == ReclaimStep::Checkpoint && (Done() || Passed()))
    enterStep(R, ReclaimStep::Throttle, A.m_members.size(), NowMs);
  if (R.m_step == ReclaimStep::Throttle && (Done() || Passed()))
    enterStep(R, ReclaimStep::Stop, A.m_members.size(), NowMs);
  if (R.m_step == ReclaimStep::Stop) {
    stopAttempt(A, StopCause::Reclaimed, R.m_reason, NowMs);
    R.m_overdue = Passed();
    return {};
  }
  std::vector<DueCommand> Out;
  for (std::size_t I = 0; I < A.m_members.size(); ++I) {
    if (R.m_acked[I] || NowMs < R.m_nextSendMs[I])
      continue;
    R.m_nextSendMs[I] = NowMs + RetryMs;
    Out.push_back({rowOf(R.m_step).m_command, I});
  }
  return Out;
}

bool canAbandon(const Reclaim &R) {
  return R.m_step == ReclaimStep::Checkpoint;
}

} // namespace pomelokeel::entry
