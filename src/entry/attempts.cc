#include "entry/attempts.h"

#include "model/gang.h"

#include <algorithm>

namespace pomelokeel::entry {
namespace {

using model::CommandKind;
using model::HoldState;

// Agents answer Reserve from memory. Waiting longer for one that is silent
// would let the other members' reservations expire.
constexpr Millis ReserveTimeoutMs = 2000;
// Added to the start timeout, so that the gang head, which stops the gang when
// that timeout ends, acts first.
constexpr Millis StartMarginMs = 2000;
// The agents let reservations expire that were never started, so the leader
// waits only this long for the confirmation that they ended.
constexpr Millis UnstartedStopMs = 2000;
// A link that fails in one direction is closed after linkTimeoutMs. Until then
// an agent may still receive messages of an entry while none of its own reach
// the leader.
constexpr Millis OrphanMarginMs = 5000;
constexpr Millis GangMarginMs = 1000;
// The first report without the hold may have been made before the earlier
// leader's Reserve arrived.
constexpr int AbsentReportsOfAdopted = 2;

bool isEnded(HoldState S) {
  return S == HoldState::Succeeded || S == HoldState::Failed ||
         S == HoldState::Stopped;
}

// An agent that was started after the placement (!KnowsHistory) cannot rule out
// that the task ran before, unless its worker still has the task.
MemberEnd endOf(const model::Hold &H, bool KnowsHistory) {
  if (H.m_state == HoldState::Succeeded)
    return MemberEnd::Succeeded;
  if (!H.m_everRan)
    return KnowsHistory ? MemberEnd::NeverRan : MemberEnd::RunUnknown;
  return H.m_state == HoldState::Failed ? MemberEnd::Failed
                                        : MemberEnd::Stopped;
}

const model::Hold *findHold(const Attempt &A, std::size_t Member,
                            const model::AgentReport &R) {
  const auto It = std::ranges::find_if(R.m_holds, [&](const model::Hold &H) {
    return H.m_job == A.m_job && H.m_attempt == A.m_attempt &&
           H.m_fence == A.m_fence && std::cmp_equal(H.m_member, Member);
  });
  return It == R.m_holds.end() ? nullptr : &*It;
}

// Whether the report was made after the one at Position. A report without a
// number counts as newer.
bool isNewer(const model::AgentReport &R, const ReportPosition &Position,
             const std::string &Announced) {
  const std::string &Incarnation = R.m_worker.m_incarnation;
  if (Incarnation != Position.m_incarnation && !Position.m_incarnation.empty())
    return Incarnation == Announced;
  return R.m_sequence == 0 || Position.m_sequence == 0 ||
         R.m_sequence > Position.m_sequence;
}

ReportPosition positionOf(const model::AgentReport &R) {
  return {R.m_worker.m_incarnation, R.m_sequence};
}

void endMember(MemberStatus &M, MemberEnd End, Millis NowMs) {
  if (M.m_end != MemberEnd::Open && M.m_end != MemberEnd::RunUnknown)
    return;
  if (M.m_end == MemberEnd::Open)
    M.m_endedMs = NowMs;
  M.m_end = End;
}

void applyHold(MemberStatus &M, const model::Hold &H, bool KnowsHistory,
               Millis NowMs) {
  M.m_reserved = true;
  M.m_absentReports = 0;
  M.m_running = M.m_running || H.m_state == HoldState::Running ||
                H.m_state == HoldState::Succeeded;
  if (!H.m_checkpoint.is_null())
    M.m_checkpoint = H.m_checkpoint;
  if (!isEnded(H.m_state))
    return;
  if (M.m_end == MemberEnd::Open || M.m_end == MemberEnd::RunUnknown) {
    M.m_reason = H.m_reason;
    M.m_answer = H.m_answer;
  }
  endMember(M, endOf(H, KnowsHistory), NowMs);
}

void applyAbsence(MemberStatus &M, const model::AgentReport &R,
                  const std::string &Announced, Millis NowMs) {
  if (!R.m_workerReachable)
    return;
  if (M.m_lastConfirmed) {
    if (!isNewer(R, *M.m_lastConfirmed, Announced))
      return;
    if (M.m_end != MemberEnd::Open)
      return;
    M.m_reason = "the agent no longer holds the task";
    return endMember(M, MemberEnd::RunUnknown, NowMs);
  }
  if (M.m_absentReports > 0 && !isNewer(R, M.m_lastAbsent, Announced))
    return;
  M.m_lastAbsent = positionOf(R);
  ++M.m_absentReports;
}

void enterStep(Attempt &A, AttemptStep Step, Millis NowMs) {
  A.m_step = Step;
  A.m_stepMs = NowMs;
  for (MemberStatus &M : A.m_members)
    M.m_nextSendMs = 0;
}

bool anyEndedWithoutSuccess(const Attempt &A) {
  return std::ranges::any_of(A.m_members, [](const MemberStatus &M) {
    return M.m_end != MemberEnd::Open && M.m_end != MemberEnd::Succeeded;
  });
}

std::string firstUnsuccessfulReason(const Attempt &A) {
  for (const MemberStatus &M : A.m_members) {
    if (M.m_end != MemberEnd::Open && M.m_end != MemberEnd::Succeeded)
      return std::string(base::nameOf(M.m_end)) + " on " + M.m_worker +
             (M.m_reason.empty() ? "" : ": " + M.m_reason);
  }
  return "";
}

bool allReserved(const Attempt &A) {
  return std::ranges::all_of(
      A.m_members, [](const MemberStatus &M) { return M.m_reserved; });
}

// Adds a command of this kind for each member that needs it, but not before its
// retry interval has passed.
template <typename Pred>
void sendTo(Attempt &A, CommandKind Kind, Millis RetryMs, Millis NowMs,
            std::vector<DueCommand> &Out, Pred Needed) {
  for (std::size_t I = 0; I < A.m_members.size(); ++I) {
    MemberStatus &M = A.m_members[I];
    if (!Needed(M) || NowMs < M.m_nextSendMs)
      continue;
    M.m_nextSendMs = NowMs + RetryMs;
    Out.push_back({Kind, I});
  }
}

void advanceAdopting(Attempt &A, const AttemptTiming &T, Millis NowMs) {
  if (anyEndedWithoutSuccess(A))
    return stopAttempt(A, StopCause::MemberEnded, firstUnsuccessfulReason(A),
                       NowMs);
  if (allRunning(A))
    return enterStep(A, AttemptStep::Running, NowMs);
  if (allReserved(A))
    return enterStep(A, AttemptStep::Starting, NowMs);
  const bool Absent =
      std::ranges::any_of(A.m_members, [](const MemberStatus &M) {
        return M.m_absentReports >= AbsentReportsOfAdopted;
      });
  if (Absent || NowMs - A.m_stepMs >= T.m_adoptTimeoutMs)
    stopAttempt(A, StopCause::NotStarted,
                "a member is not held by its agent after a change of leader",
                NowMs);
}

void advanceReserving(Attempt &A, const AttemptTiming &T, Millis NowMs,
                      std::vector<DueCommand> &Out) {
  if (anyEndedWithoutSuccess(A))
    return stopAttempt(A, StopCause::NotReserved, firstUnsuccessfulReason(A),
                       NowMs);
  if (allReserved(A)) {
    enterStep(A, AttemptStep::Starting, NowMs);
    return;
  }
  if (NowMs - A.m_stepMs >= ReserveTimeoutMs) {
    for (const MemberStatus &M : A.m_members) {
      if (!M.m_reserved)
        A.m_refusingWorkers.push_back(M.m_worker);
    }
    return stopAttempt(A, StopCause::NotReserved, "reservation timed out",
                       NowMs);
  }
  sendTo(A, CommandKind::Reserve, T.m_commandRetryMs, NowMs, Out,
         [](const MemberStatus &M) { return !M.m_reserved; });
}

void advanceStarting(Attempt &A, const AttemptTiming &T, Millis NowMs,
                     std::vector<DueCommand> &Out) {
  if (anyEndedWithoutSuccess(A))
    return stopAttempt(A, StopCause::MemberEnded, firstUnsuccessfulReason(A),
                       NowMs);
  if (allRunning(A))
    return enterStep(A, AttemptStep::Running, NowMs);
  if (NowMs - A.m_stepMs >= A.m_class.m_startTimeoutMs + StartMarginMs)
    return stopAttempt(A, StopCause::NotStarted, "start timed out", NowMs);
  A.m_startSent = true;
  sendTo(A, CommandKind::Start, T.m_commandRetryMs, NowMs, Out,
         [](const MemberStatus &M) { return !M.m_startAcked && !M.m_running; });
}

void advanceRunning(Attempt &A, Millis NowMs) {
  if (anyEndedWithoutSuccess(A))
    return stopAttempt(A, StopCause::MemberEnded, firstUnsuccessfulReason(A),
                       NowMs);
  const bool Absent =
      std::ranges::any_of(A.m_members, [](const MemberStatus &M) {
        return M.m_absentReports >= AbsentReportsOfAdopted;
      });
  if (Absent)
    stopAttempt(A, StopCause::MemberEnded,
                "a running member is not held by its agent", NowMs);
}

// When the first member was found to have ended without success, or -1.
Millis firstUnsuccessfulEndMs(const Attempt &A) {
  Millis First = -1;
  for (const MemberStatus &M : A.m_members) {
    const bool Unsuccessful =
        M.m_end != MemberEnd::Open && M.m_end != MemberEnd::Succeeded;
    if (Unsuccessful && (First < 0 || M.m_endedMs < First))
      First = M.m_endedMs;
  }
  return First;
}

// Proof (b) of section 4.2. A gang whose start was not recorded may still wait
// at the start barrier, which its head gives up after the start timeout.
bool gangHasEnded(const Attempt &A, const AttemptTiming &T, Millis NowMs) {
  const Millis UnsuccessfulEndMs = firstUnsuccessfulEndMs(A);
  if (A.m_members.size() < 2 || UnsuccessfulEndMs < 0)
    return false;
  const Millis BarrierMs = A.m_recordedStart ? 0 : A.m_class.m_startTimeoutMs;
  // The end of a member reaches the others up and down the heartbeat tree. In
  // the worst case each level notices it only when its lease expires.
  const Millis LeasesMs =
      2 * model::gangTreeDepth(A.m_places) * T.m_gangLeaseMs;
  return NowMs - UnsuccessfulEndMs >= LeasesMs + GangMarginMs + BarrierMs;
}

// Marks members as ended once so much time has passed that their tasks cannot
// run any more.
void endMembersByTimeout(Attempt &A, const AttemptTiming &T,
                         const std::vector<Millis> &LastContactMs,
                         Millis NowMs) {
  const bool GangEnded = gangHasEnded(A, T, NowMs);
  const bool Unstarted =
      !A.m_startSent && NowMs - A.m_stepMs >= UnstartedStopMs;
  for (std::size_t I = 0; I < A.m_members.size(); ++I) {
    MemberStatus &M = A.m_members[I];
    if (M.m_end != MemberEnd::Open)
      continue;
    const bool Orphaned =
        NowMs - LastContactMs[I] >= A.m_class.m_orphanLimitMs + OrphanMarginMs;
    if (!GangEnded && !Unstarted && !Orphaned)
      continue;
    M.m_reason = GangEnded ? "the gang has ended" : "the agent is silent";
    endMember(M, Unstarted ? MemberEnd::NeverRan : MemberEnd::RunUnknown,
              NowMs);
  }
}

} // namespace

Attempt makeAttempt(const model::Job &J, const model::JobClass &C,
                    bool TakenOver, Millis NowMs) {
  Attempt A;
  A.m_job = J.m_id;
  A.m_attempt = J.m_attempt;
  A.m_fence = J.m_fence;
  A.m_class = C;
  A.m_places = J.m_places;
  A.m_stepMs = NowMs;
  for (const model::MemberPlace &P : J.m_places) {
    MemberStatus M;
    M.m_worker = P.m_worker;
    A.m_members.push_back(std::move(M));
  }
  if (!TakenOver)
    return A;
  A.m_startSent = true;
  A.m_recordedStart = J.m_phase == model::JobPhase::Running;
  A.m_step = A.m_recordedStart ? AttemptStep::Running : AttemptStep::Adopting;
  return A;
}

void applyReport(Attempt &A, std::size_t Member, const model::AgentReport &R,
                 const AnnouncedAgent &Announced, Millis NowMs) {
  MemberStatus &M = A.m_members[Member];
  const std::string &Incarnation = Announced.m_incarnation;
  const model::Hold *H = findHold(A, Member, R);
  if (!H)
    return applyAbsence(M, R, Incarnation, NowMs);
  if (!M.m_lastConfirmed || isNewer(R, *M.m_lastConfirmed, Incarnation))
    M.m_lastConfirmed = positionOf(R);
  const bool KnowsHistory = R.m_worker.m_incarnation == Incarnation &&
                            Announced.m_sinceOffset < A.m_fence;
  applyHold(M, *H, KnowsHistory, NowMs);
}

void applyReply(Attempt &A, const model::CommandReply &R, Millis NowMs) {
  if (R.m_member < 0 || std::cmp_greater_equal(R.m_member, A.m_members.size()))
    return;
  MemberStatus &M = A.m_members[static_cast<std::size_t>(R.m_member)];
  if (M.m_worker != R.m_worker || R.m_error == base::ErrorKind::StaleEpoch)
    return;
  // An agent refuses Stop for a task that it has released. The refusal still
  // shows that it knows the attempt.
  const bool StopKnown = R.m_kind == CommandKind::Stop &&
                         (R.m_error == base::ErrorKind::NotFound ||
                          R.m_error == base::ErrorKind::StaleFence);
  if (R.m_accepted || StopKnown) {
    const ReportPosition Position{R.m_incarnation, R.m_sequence};
    if (!M.m_lastConfirmed ||
        M.m_lastConfirmed->m_incarnation != Position.m_incarnation ||
        M.m_lastConfirmed->m_sequence < Position.m_sequence)
      M.m_lastConfirmed = Position;
  }
  if (R.m_kind == CommandKind::Reserve && R.m_accepted)
    M.m_reserved = true;
  if (R.m_kind == CommandKind::Start && R.m_accepted)
    M.m_startAcked = true;
  if (R.m_accepted)
    return;
  if (R.m_kind == CommandKind::Reserve && A.m_step == AttemptStep::Reserving) {
    A.m_refusingWorkers.push_back(M.m_worker);
    stopAttempt(A, StopCause::NotReserved,
                M.m_worker + " refused the reservation: " + R.m_message, NowMs);
  }
  if (R.m_kind == CommandKind::Start && A.m_step == AttemptStep::Starting)
    stopAttempt(A, StopCause::NotStarted,
                M.m_worker + " refused the start: " + R.m_message, NowMs);
}

void stopAttempt(Attempt &A, StopCause Cause, const std::string &Reason,
                 Millis NowMs) {
  const bool Replaces = Cause == StopCause::Cancelled;
  if (A.m_step == AttemptStep::Stopping && !Replaces)
    return;
  A.m_cause = Cause;
  A.m_stopReason = Reason;
  if (A.m_step != AttemptStep::Stopping)
    enterStep(A, AttemptStep::Stopping, NowMs);
}

std::vector<DueCommand> advance(Attempt &A, const AttemptTiming &T,
                                const std::vector<Millis> &LastContactMs,
                                Millis NowMs) {
  std::vector<DueCommand> Out;
  if (allSucceeded(A))
    return Out;
  if (A.m_step == AttemptStep::Adopting)
    advanceAdopting(A, T, NowMs);
  if (A.m_step == AttemptStep::Reserving)
    advanceReserving(A, T, NowMs, Out);
  if (A.m_step == AttemptStep::Starting)
    advanceStarting(A, T, NowMs, Out);
  if (A.m_step == AttemptStep::Running)
    advanceRunning(A, NowMs);
  if (A.m_step != AttemptStep::Stopping) {
    endMembersByTimeout(A, T, LastContactMs, NowMs);
    return Out;
  }
  sendTo(A, CommandKind::Stop, T.m_commandRetryMs, NowMs, Out,
         [](const MemberStatus &M) { return M.m_end == MemberEnd::Open; });
  endMembersByTimeout(A, T, LastContactMs, NowMs);
  return Out;
}

bool allEnded(const Attempt &A) {
  return std::ranges::none_of(A.m_members, [](const MemberStatus &M) {
    return M.m_end == MemberEnd::Open;
  });
}

bool allRunning(const Attempt &A) {
  return std::ranges::all_of(A.m_members,
                             [](const MemberStatus &M) { return M.m_running; });
}

bool allSucceeded(const Attempt &A) {
  return std::ranges::all_of(A.m_members, [](const MemberStatus &M) {
    return M.m_end == MemberEnd::Succeeded;
  });
}

bool mayHaveRun(const Attempt &A) {
  return A.m_startSent &&
         std::ranges::any_of(A.m_members, [](const MemberStatus &M) {
           return M.m_end != MemberEnd::NeverRan;
         });
}

} // namespace pomelokeel::entry
