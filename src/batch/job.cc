#include "batch/job.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace pomelokeel::batch {
namespace {

using base::Error;
using base::ErrorKind;

/// Limits of a job, so that its stored progress fits into one record of the
/// journal.
constexpr std::int64_t MaxTasks = 2000;
constexpr std::int64_t MaxOccurrences = 100000;

base::Status checkStep(const Step &S, std::size_t Index) {
  const std::string Path = fmt::format("steps[{}]", Index);
  if (S.m_count < 1 || S.m_count > MaxTasks)
    return Error{
        ErrorKind::OutOfRange,
        fmt::format("\"{}.count\" must be from 1 to {}", Path, MaxTasks)};
  const Resources &R = S.m_each;
  if (R.m_milliCores < 0 || R.m_memoryMb < 0 || R.m_accelerators < 0)
    return Error{
        ErrorKind::OutOfRange,
        fmt::format("\"{}\" requests a negative amount of a resource", Path)};
  for (const int Dependency : S.m_dependencies) {
    if (Dependency < 0 || static_cast<std::size_t>(Dependency) >= Index)
      return Error{ErrorKind::BadRequest,
                   fmt::format("\"{}.after\" must name earlier steps", Path)};
  }
  return base::success();
}

} // namespace

Resources allocationOf(const Step &S) {
  Resources R = S.m_each;
  if (S.m_bestEffort)
    R.m_milliCores = 0;
  return R;
}

base::Status check(const JobSpec &S) {
  if (S.m_steps.empty() || S.m_steps.size() > MaxSteps)
    return Error{ErrorKind::OutOfRange,
                 fmt::format("a job has from 1 to {} steps", MaxSteps)};
  if (S.m_occurrenceCount < 0 || S.m_occurrenceCount > MaxOccurrences ||
      S.m_intervalMs < 0)
    return Error{ErrorKind::OutOfRange,
                 "\"times\" or \"intervalMs\" is out of range"};
  std::int64_t Tasks = 0;
  for (std::size_t I = 0; I < S.m_steps.size(); ++I) {
    if (auto Checked = checkStep(S.m_steps[I], I); !Checked)
      return Checked;
    Tasks += S.m_steps[I].m_count;
  }
  if (Tasks > MaxTasks)
    return Error{ErrorKind::TooLarge,
                 fmt::format("a job has at most {} tasks", MaxTasks)};
  return base::success();
}

std::string toString(const TaskName &Name) {
  return fmt::format("{}.{}.{}.{}", Name.m_job, Name.m_occurrence, Name.m_step,
                     Name.m_index);
}

std::optional<TaskName> parseTaskName(std::string_view Text) {
  TaskName Out;
  std::array<int *, 3> Parts = {&Out.m_index, &Out.m_step, &Out.m_occurrence};
  for (int *Part : Parts) {
    const std::size_t Dot = Text.rfind('.');
    if (Dot == std::string_view::npos)
      return std::nullopt;
    const char *First = Text.data() + Dot + 1;
    const char *Last = Text.data() + Text.size();
    const auto [End, Code] = std::from_chars(First, Last, *Part);
    if (Code != std::errc() || End != Last || *Part < 0)
      return std::nullopt;
    Text = Text.substr(0, Dot);
  }
  Out.m_job = std::string(Text);
  return Out;
}

Occurrence makeOccurrence(const JobSpec &S) {
  Occurrence Out;
  Out.reserve(S.m_steps.size());
  for (const Step &Each : S.m_steps)
    Out.emplace_back(static_cast<std::size_t>(Each.m_count));
  return Out;
}

bool isReady(const JobSpec &S, const Occurrence &O, int Step) {
  for (const int Dependency :
       S.m_steps[static_cast<std::size_t>(Step)].m_dependencies) {
    const auto &Tasks = O[static_cast<std::size_t>(Dependency)];
    if (std::any_of(Tasks.begin(), Tasks.end(),
                    [](const Task &T) { return T.m_phase != TaskPhase::Done; }))
      return false;
  }
  return true;
}

bool isDone(const Occurrence &O) {
  for (const auto &Tasks : O) {
    for (const Task &T : Tasks) {
      if (T.m_phase != TaskPhase::Done)
        return false;
    }
  }
  return true;
}

Millis criticalPathMs(const JobSpec &S) {
  std::vector<Millis> Ends(S.m_steps.size(), 0);
  for (std::size_t I = 0; I < S.m_steps.size(); ++I) {
    Millis Begin = 0;
    for (const int Dependency : S.m_steps[I].m_dependencies)
      Begin = std::max(Begin, Ends[static_cast<std::size_t>(Dependency)]);
    Ends[I] = Begin + S.m_steps[I].m_estimateMs;
  }
  return *std::max_element(Ends.begin(), Ends.end());
}

} // namespace pomelokeel::batch
