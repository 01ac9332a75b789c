#include "scenario/checker.h"

#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <set>
#include <utility>

namespace pomelokeel::scenario {
namespace {

using Violations = std::vector<std::string>;
using model::Outcome;

constexpr Millis Forever = std::numeric_limits<Millis>::max();

struct TaskIdParts {
  std::string m_job;
  std::string m_attempt;
  int m_member = 0;
};

TaskIdParts splitTaskId(const std::string &Task) {
  const std::size_t Last = Task.rfind('.');
  const std::size_t Middle = Task.rfind('.', Last - 1);
  return {Task.substr(0, Middle), Task.substr(Middle + 1, Last - Middle - 1),
          std::stoi(Task.substr(Last + 1))};
}

Millis endOf(const Run &R) { return R.m_endMs.value_or(Forever); }

std::vector<const Run *> runsOf(const History &H, const std::string &Job) {
  std::vector<const Run *> Runs;
  for (const Run &R : H.m_runs) {
    if (splitTaskId(R.m_task).m_job == Job)
      Runs.push_back(&R);
  }
  return Runs;
}

void checkOutcomes(const History &H, Violations &Out) {
  for (const CallerView &C : H.m_callers) {
    if (C.m_accepted && C.m_outcomes.empty())
      Out.push_back(fmt::format("{}: accepted, but no outcome", C.m_name));
    std::set<Outcome> Distinct;
    for (const ReportedOutcome &T : C.m_outcomes)
      Distinct.insert(T.m_outcome);
    if (Distinct.size() > 1)
      Out.push_back(fmt::format("{}: told different outcomes", C.m_name));
  }
}

void checkNotRun(const History &H, Violations &Out) {
  for (const CallerView &C : H.m_callers) {
    const bool NotRun = std::any_of(C.m_outcomes.begin(), C.m_outcomes.end(),
                                    [](const ReportedOutcome &T) {
                                      return T.m_outcome == Outcome::NotRun;
                                    });
    if (NotRun && !C.m_job.empty() && !runsOf(H, C.m_job).empty())
      Out.push_back(
          fmt::format("G4 {}: reported as notRun, but it ran", C.m_name));
  }
}

void checkAtMostOnce(const History &H, Violations &Out) {
  for (const CallerView &C : H.m_callers) {
    if (C.m_idempotent || C.m_job.empty())
      continue;
    std::map<int, int> RunsOfMember;
    for (const Run *R : runsOf(H, C.m_job))
      ++RunsOfMember[splitTaskId(R->m_task).m_member];
    for (const auto &[Member, Count] : RunsOfMember) {
      if (Count > 1)
        Out.push_back(fmt::format("G5 {}: member {} ran {} times", C.m_name,
                                  Member, Count));
    }
  }
}

// The system may report an outcome only after it has proof that the attempt
// ended, so no task runs on after the outcome.
void checkRunsAfterOutcome(const History &H, const CheckOptions &Options,
                           Violations &Out) {
  for (const CallerView &C : H.m_callers) {
    if (!Options.m_requireEnded || C.m_outcomes.empty() || C.m_job.empty())
      continue;
    for (const Run *R : runsOf(H, C.m_job)) {
      const Millis OverrunMs = endOf(*R) - C.m_outcomes.front().m_atMs;
      if (OverrunMs > Options.m_endToleranceMs)
        Out.push_back(fmt::format("G4 {}: {} ran {} ms after the outcome",
                                  C.m_name, R->m_task, OverrunMs));
    }
  }
}

// The stand-in worker returns the payload, which names the caller, so each part
// of an answer shows whose job it belongs to.
void checkAnswers(const History &H, Violations &Out) {
  for (const CallerView &C : H.m_callers) {
    for (const ReportedOutcome &T : C.m_outcomes) {
      if (T.m_outcome != Outcome::Completed)
        continue;
      const bool OwnAndWhole =
          T.m_answer.is_array() &&
          std::cmp_equal(T.m_answer.size(), C.m_members) &&
          std::all_of(T.m_answer.begin(), T.m_answer.end(),
                      [&](const base::Json &Part) {
                        return Part.is_object() &&
                               Part.value("caller", "") == C.m_name;
                      });
      if (!OwnAndWhole)
        Out.push_back(
            fmt::format("G3 {}: answer is incomplete or not its own: {}",
                        C.m_name, T.m_answer.dump()));
    }
  }
}

struct Interval {
  Millis m_begin = 0;
  Millis m_end = 0;
};

// The members of a completed attempt may end at different times. Not allowed
// for longer than the limit are: members that run while others never began,
// members that begin after the first one, and, in an attempt that did not
// complete, members that run on after another one ended.
void checkGang(const CallerView &C, const std::vector<const Run *> &Attempt,
               bool Completed, const CheckOptions &Options, Violations &Out) {
  std::map<int, Interval> Members;
  for (const Run *R : Attempt)
    Members[splitTaskId(R->m_task).m_member] = {R->m_beginMs, endOf(*R)};
  Millis FirstBegin = Forever;
  Millis LastBegin = 0;
  Millis FirstEnd = Forever;
  Millis LastEnd = 0;
  for (const auto &[Member, S] : Members) {
    FirstBegin = std::min(FirstBegin, S.m_begin);
    LastBegin = std::max(LastBegin, S.m_begin);
    FirstEnd = std::min(FirstEnd, S.m_end);
    LastEnd = std::max(LastEnd, S.m_end);
  }
  const bool Complete = std::cmp_equal(Members.size(), C.m_members);
  if (!Complete && LastEnd - FirstBegin > Options.m_partialGangMs)
    Out.push_back(fmt::format("G2 {}: {} of {} members ran for {} ms", C.m_name,
                              Members.size(), C.m_members,
                              LastEnd - FirstBegin));
  if (Complete && LastBegin - FirstBegin > Options.m_partialGangMs)
    Out.push_back(fmt::format("G2 {}: a member began {} ms after the first",
                              C.m_name, LastBegin - FirstBegin));
  if (Complete && !Completed && LastEnd - FirstEnd > Options.m_partialGangMs)
    Out.push_back(fmt::format("G2 {}: a member ran {} ms after another ended",
                              C.m_name, LastEnd - FirstEnd));
}

void checkGangs(const History &H, const CheckOptions &Options,
                Violations &Out) {
  for (const CallerView &C : H.m_callers) {
    if (C.m_members < 2 || C.m_job.empty())
      continue;
    std::map<std::string, std::vector<const Run *>> Attempts;
    for (const Run *R : runsOf(H, C.m_job))
      Attempts[splitTaskId(R->m_task).m_attempt].push_back(R);
    const bool Completed = std::any_of(
        C.m_outcomes.begin(), C.m_outcomes.end(), [](const ReportedOutcome &T) {
          return T.m_outcome == Outcome::Completed;
        });
    std::string Last;
    for (const auto &[Attempt, Runs] : Attempts) {
      if (Last.empty() || std::stoi(Attempt) > std::stoi(Last))
        Last = Attempt;
    }
    for (const auto &[Attempt, Runs] : Attempts)
      checkGang(C, Runs, Completed && Attempt == Last, Options, Out);
  }
}

void checkAccelerators(const History &H, Violations &Out) {
  std::map<std::pair<std::string, int>, std::vector<const Run *>> ByAccelerator;
  for (const Run &R : H.m_runs) {
    for (const int Index : R.m_accelerators)
      ByAccelerator[{R.m_worker, Index}].push_back(&R);
  }
  for (auto &[Accelerator, Runs] : ByAccelerator) {
    std::sort(Runs.begin(), Runs.end(), [](const Run *A, const Run *B) {
      return A->m_beginMs < B->m_beginMs;
    });
    for (std::size_t I = 1; I < Runs.size(); ++I) {
      if (endOf(*Runs[I - 1]) > Runs[I]->m_beginMs)
        Out.push_back(fmt::format("accelerator {} of {}: {} and {} overlap",
                                  Accelerator.second, Accelerator.first,
                                  Runs[I - 1]->m_task, Runs[I]->m_task));
    }
  }
}

// A process that has just started reports 0 until it has read the
// configuration, and serves no requests until then, so these zeros are skipped.
// Its first other version is compared with those of its earlier incarnations.
void checkVersions(const History &H, Violations &Out) {
  std::map<std::string, std::uint64_t> Highest;
  std::set<std::string> Loaded;
  for (const ReportedVersion &V : H.m_versions) {
    if (V.m_version == 0 && !Loaded.contains(V.m_incarnation))
      continue;
    Loaded.insert(V.m_incarnation);
    std::uint64_t &Known = Highest[V.m_process];
    if (V.m_version < Known)
      Out.push_back(fmt::format("G8 {}: version went from {} to {}",
                                V.m_process, Known, V.m_version));
    Known = std::max(Known, V.m_version);
  }
}

void checkDrains(const History &H, const CheckOptions &Options,
                 Violations &Out) {
  for (const AcceptedDrain &D : H.m_drains) {
    for (const Run &R : H.m_runs) {
      if (R.m_worker == D.m_worker &&
          R.m_beginMs > D.m_atMs + Options.m_drainMs)
        Out.push_back(fmt::format("G6 {}: {} started {} ms after the drain",
                                  D.m_worker, R.m_task,
                                  R.m_beginMs - D.m_atMs));
    }
  }
}

void checkUnansweredCalls(const History &H, const CheckOptions &Options,
                          Violations &Out) {
  for (const CallerView &C : H.m_callers) {
    if (Options.m_requireAnswers && C.m_unansweredCalls > 0)
      Out.push_back(fmt::format("G7 {}: {} calls were not answered", C.m_name,
                                C.m_unansweredCalls));
  }
}

} // namespace

std::vector<std::string> check(const History &H, const CheckOptions &Options) {
  Violations Out;
  checkOutcomes(H, Out);
  checkNotRun(H, Out);
  checkAtMostOnce(H, Out);
  checkRunsAfterOutcome(H, Options, Out);
  checkAnswers(H, Out);
  checkGangs(H, Options, Out);
  checkAccelerators(H, Out);
  checkVersions(H, Out);
  checkDrains(H, Options, Out);
  checkUnansweredCalls(H, Options, Out);
  return Out;
}

} // namespace pomelokeel::scenario
