#include "entry/attempts.h"

#include "model/gang.h"

#include <algorithm>

namespace pomelokeel::entry {
namespace {

using model::CommandKind;
using model::HoldState;

// Reserve is answered from memory; an agent that has not answered by now would
// let the other members' reservations expire.
constexpr Millis ReserveTimeoutMs = 2000;
// Beyond the start timeout, after which the gang head itself stops the gang.
constexpr Millis StartMarginMs = 2000;
// Reservations that were never started expire by themselves, so the wait for
// their confirmed end is bounded.
constexpr Millis UnstartedStopMs = 2000;
// A link that is cut in one direction is closed after linkTimeoutMs; until then
// an agent may still hear from an entry while the leader does not hear from it.
constexpr Millis OrphanMarginMs = 5000;
constexpr Millis GangMarginMs = 1000;
// A report may have been made before the earlier leader's Reserve arrived.
constexpr int AbsentReportsOfAdopted = 2;

bool isEnded(HoldState S) {
  return S == HoldState::Succeeded || S == HoldState::Failed ||
         S == HoldState::Stopped;
}

// An agent that was started after the placement does not know whether the task
// ran before, unless its worker still has the task.
MemberEnd endOf(const model::Hold &H, bool KnowsAll) {
  if (H.m_state == HoldState::Succeeded)
    return MemberEnd::Succeeded;
  if (!H.m_everRan)
    return KnowsAll ? MemberEnd::NeverRan : MemberEnd::Gone;
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

// Whether the report was made after Mark. Reports without a number count in
// order of arrival.
bool isNewer(const model::AgentReport &R, const ReportMark &Mark,
             const std::string &Announced) {
  const std::string &Incarnation = R.m_worker.m_incarnation;
  if (Incarnation != Mark.m_incarnation && !Mark.m_incarnation.empty())
    return Incarnation == Announced;
  return R.m_sequence == 0 || Mark.m_sequence == 0 ||
         R.m_sequence > Mark.m_sequence;
}

ReportMark markOf(const model::AgentReport &R) {
  return {R.m_worker.m_incarnation, R.m_sequence};
}

void endMember(MemberTrack &M, MemberEnd End, Millis NowMs) {
  if (M.m_end != MemberEnd::Open && M.m_end != MemberEnd::Gone)
    return;
  if (M.m_end == MemberEnd::Open)
    M.m_endedMs = NowMs;
  M.m_end = End;
}

void noteHold(MemberTrack &M, const model::Hold &H, bool KnowsAll,
              Millis NowMs) {
  M.m_reserved = true;
  M.m_absentReports = 0;
  M.m_running = M.m_running || H.m_state == HoldState::Running ||
                H.m_state == HoldState::Succeeded;
  if (!H.m_checkpoint.is_null())
    M.m_checkpoint = H.m_checkpoint;
  if (!isEnded(H.m_state))
    return;
  if (M.m_end == MemberEnd::Open || M.m_end == MemberEnd::Gone) {
    M.m_reason = H.m_reason;
    M.m_answer = H.m_answer;
  }
  endMember(M, endOf(H, KnowsAll), NowMs);
}

void noteAbsence(MemberTrack &M, const model::AgentReport &R,
                 const std::string &Announced, Millis NowMs) {
  if (!R.m_workerReachable)
    return;
  if (M.m_known) {
    if (!isNewer(R, *M.m_known, Announced))
      return;
    if (M.m_end != MemberEnd::Open)
      return;
    M.m_reason = "the agent no longer holds the task";
    return endMember(M, MemberEnd::Gone, NowMs);
  }
  if (M.m_absentReports > 0 && !isNewer(R, M.m_absent, Announced))
    return;
  M.m_absent = markOf(R);
  ++M.m_absentReports;
}

void enter(Attempt &A, AttemptStep Step, Millis NowMs) {
  A.m_step = Step;
  A.m_stepMs = NowMs;
  for (MemberTrack &M : A.m_members)
    M.m_nextSendMs = 0;
}

bool anyBroken(const Attempt &A) {
  return std::ranges::any_of(A.m_members, [](const MemberTrack &M) {
    return M.m_end != MemberEnd::Open && M.m_end != MemberEnd::Succeeded;
  });
}

std::string firstReason(const Attempt &A) {
  for (const MemberTrack &M : A.m_members) {
    if (M.m_end != MemberEnd::Open && M.m_end != MemberEnd::Succeeded)
      return std::string(base::nameOf(M.m_end)) + " on " + M.m_worker +
             (M.m_reason.empty() ? "" : ": " + M.m_reason);
  }
  return "";
}

bool allReserved(const Attempt &A) {
  return std::ranges::all_of(A.m_members,
                             [](const MemberTrack &M) { return M.m_reserved; });
}

// Sends Kind to the members for which Needed holds and no repetition is too
// early.
template <typename Pred>
void sendTo(Attempt &A, CommandKind Kind, Millis RetryMs, Millis NowMs,
            std::vector<DueCommand> &Out, Pred Needed) {
  for (std::size_t I = 0; I < A.m_members.size(); ++I) {
    MemberTrack &M = A.m_members[I];
    if (!Needed(M) || NowMs < M.m_nextSendMs)
      continue;
    M.m_nextSendMs = NowMs + RetryMs;
    Out.push_back({Kind, I});
  }
}

void adopt(Attempt &A, const AttemptTiming &T, Millis NowMs) {
  if (anyBroken(A))
    return stopAttempt(A, StopCause::MemberEnded, firstReason(A), NowMs);
  if (allRunning(A))
    return enter(A, AttemptStep::Running, NowMs);
  if (allReserved(A))
    return enter(A, AttemptStep::Starting, NowMs);
  const bool Absent =
      std::ranges::any_of(A.m_members, [](const MemberTrack &M) {
        return M.m_absentReports >= AbsentReportsOfAdopted;
      });
  if (Absent || NowMs - A.m_stepMs >= T.m_adoptTimeoutMs)
    stopAttempt(A, StopCause::NotStarted,
                "a member is not held by its agent after a change of leader",
                NowMs);
}

void reserve(Attempt &A, const AttemptTiming &T, Millis NowMs,
             std::vector<DueCommand> &Out) {
  if (anyBroken(A))
    return stopAttempt(A, StopCause::NotReserved, firstReason(A), NowMs);
  if (allReserved(A)) {
    enter(A, AttemptStep::Starting, NowMs);
    return;
  }
  if (NowMs - A.m_stepMs >= ReserveTimeoutMs) {
    for (const MemberTrack &M : A.m_members) {
      if (!M.m_reserved)
        A.m_refusers.push_back(M.m_worker);
    }
    return stopAttempt(A, StopCause::NotReserved, "reservation timed out",
                       NowMs);
  }
  sendTo(A, CommandKind::Reserve, T.m_commandRetryMs, NowMs, Out,
         [](const MemberTrack &M) { return !M.m_reserved; });
}

void begin(Attempt &A, const AttemptTiming &T, Millis NowMs,
           std::vector<DueCommand> &Out) {
  if (anyBroken(A))
    return stopAttempt(A, StopCause::MemberEnded, firstReason(A), NowMs);
  if (allRunning(A))
    return enter(A, AttemptStep::Running, NowMs);
  if (NowMs - A.m_stepMs >= A.m_class.m_startTimeoutMs + StartMarginMs)
    return stopAttempt(A, StopCause::NotStarted, "start timed out", NowMs);
  A.m_startSent = true;
  sendTo(A, CommandKind::Start, T.m_commandRetryMs, NowMs, Out,
         [](const MemberTrack &M) { return !M.m_startAcked && !M.m_running; });
}

void run(Attempt &A, Millis NowMs) {
  if (anyBroken(A))
    return stopAttempt(A, StopCause::MemberEnded, firstReason(A), NowMs);
  const bool Absent =
      std::ranges::any_of(A.m_members, [](const MemberTrack &M) {
        return M.m_absentReports >= AbsentReportsOfAdopted;
      });
  if (Absent)
    stopAttempt(A, StopCause::MemberEnded,
                "a running member is not held by its agent", NowMs);
}

// Time at which the first member was confirmed as ended without success, or -1.
Millis firstBrokenMs(const Attempt &A) {
  Millis First = -1;
  for (const MemberTrack &M : A.m_members) {
    const bool Broken =
        M.m_end != MemberEnd::Open && M.m_end != MemberEnd::Succeeded;
    if (Broken && (First < 0 || M.m_endedMs < First))
      First = M.m_endedMs;
  }
  return First;
}

// Proof (b) of section 4.2. A gang whose start was not recorded may still wait
// at the start barrier, which its head gives up after the start timeout.
bool gangHasEnded(const Attempt &A, const AttemptTiming &T, Millis NowMs) {
  const Millis BrokenMs = firstBrokenMs(A);
  if (A.m_members.size() < 2 || BrokenMs < 0)
    return false;
  const Millis BarrierMs = A.m_recordedStart ? 0 : A.m_class.m_startTimeoutMs;
  // News of the end go up the heartbeat tree and down again, by silence at
  // worst.
  const Millis LeasesMs = 2 * model::gangLevels(A.m_places) * T.m_gangLeaseMs;
  return NowMs - BrokenMs >= LeasesMs + GangMarginMs + BarrierMs;
}

// Ends members by elapsed time.
void proveByTime(Attempt &A, const AttemptTiming &T,
                 const std::vector<Millis> &HeardMs, Millis NowMs) {
  const bool GangEnded = gangHasEnded(A, T, NowMs);
  const bool Unstarted =
      !A.m_startSent && NowMs - A.m_stepMs >= UnstartedStopMs;
  for (std::size_t I = 0; I < A.m_members.size(); ++I) {
    MemberTrack &M = A.m_members[I];
    if (M.m_end != MemberEnd::Open)
      continue;
    const bool Orphaned =
        NowMs - HeardMs[I] >= A.m_class.m_orphanLimitMs + OrphanMarginMs;
    if (!GangEnded && !Unstarted && !Orphaned)
      continue;
    M.m_reason = GangEnded ? "the gang has ended" : "the agent is silent";
    endMember(M, Unstarted ? MemberEnd::NeverRan : MemberEnd::Gone, NowMs);
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
    MemberTrack M;
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

void noteReport(Attempt &A, std::size_t Member, const model::AgentReport &R,
                const AnnouncedAgent &Announced, Millis NowMs) {
  MemberTrack &M = A.m_members[Member];
  const std::string &Incarnation = Announced.m_incarnation;
  const model::Hold *H = findHold(A, Member, R);
  if (!H)
    return noteAbsence(M, R, Incarnation, NowMs);
  if (!M.m_known || isNewer(R, *M.m_known, Incarnation))
    M.m_known = markOf(R);
  const bool KnowsAll = R.m_worker.m_incarnation == Incarnation &&
                        Announced.m_sinceOffset < A.m_fence;
  noteHold(M, *H, KnowsAll, NowMs);
}

void noteReply(Attempt &A, const model::CommandReply &R, Millis NowMs) {
  if (R.m_member < 0 || std::cmp_greater_equal(R.m_member, A.m_members.size()))
    return;
  MemberTrack &M = A.m_members[static_cast<std::size_t>(R.m_member)];
  if (M.m_worker != R.m_worker || R.m_error == base::ErrorKind::StaleEpoch)
    return;
  // An agent refuses to stop what it does not hold and has released before.
  const bool StopKnown = R.m_kind == CommandKind::Stop &&
                         (R.m_error == base::ErrorKind::NotFound ||
                          R.m_error == base::ErrorKind::StaleFence);
  if (R.m_accepted || StopKnown) {
    const ReportMark Mark{R.m_incarnation, R.m_sequence};
    if (!M.m_known || M.m_known->m_incarnation != Mark.m_incarnation ||
        M.m_known->m_sequence < Mark.m_sequence)
      M.m_known = Mark;
  }
  if (R.m_kind == CommandKind::Reserve && R.m_accepted)
    M.m_reserved = true;
  if (R.m_kind == CommandKind::Start && R.m_accepted)
    M.m_startAcked = true;
  if (R.m_accepted)
    return;
  if (R.m_kind == CommandKind::Reserve && A.m_step == AttemptStep::Reserving) {
    A.m_refusers.push_back(M.m_worker);
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
    enter(A, AttemptStep::Stopping, NowMs);
}

std::vector<DueCommand> advance(Attempt &A, const AttemptTiming &T,
                                const std::vector<Millis> &HeardMs,
                                Millis NowMs) {
  std::vector<DueCommand> Out;
  if (allSucceeded(A))
    return Out;
  if (A.m_step == AttemptStep::Adopting)
    adopt(A, T, NowMs);
  if (A.m_step == AttemptStep::Reserving)
    reserve(A, T, NowMs, Out);
  if (A.m_step == AttemptStep::Starting)
    begin(A, T, NowMs, Out);
  if (A.m_step == AttemptStep::Running)
    run(A, NowMs);
  if (A.m_step != AttemptStep::Stopping) {
    proveByTime(A, T, HeardMs, NowMs);
    return Out;
  }
  sendTo(A, CommandKind::Stop, T.m_commandRetryMs, NowMs, Out,
         [](const MemberTrack &M) { return M.m_end == MemberEnd::Open; });
  proveByTime(A, T, HeardMs, NowMs);
  return Out;
}

bool allEnded(const Attempt &A) {
  return std::ranges::none_of(A.m_members, [](const MemberTrack &M) {
    return M.m_end == MemberEnd::Open;
  });
}

bool allRunning(const Attempt &A) {
  return std::ranges::all_of(A.m_members,
                             [](const MemberTrack &M) { return M.m_running; });
}

bool allSucceeded(const Attempt &A) {
  return std::ranges::all_of(A.m_members, [](const MemberTrack &M) {
    return M.m_end == MemberEnd::Succeeded;
  });
}

bool mayHaveRun(const Attempt &A) {
  return A.m_startSent &&
         std::ranges::any_of(A.m_members, [](const MemberTrack &M) {
           return M.m_end != MemberEnd::NeverRan;
         });
}

} // namespace pomelokeel::entry
