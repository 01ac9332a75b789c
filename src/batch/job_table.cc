#include "batch/job_table.h"

namespace pomelokeel::batch {

bool isOpen(const JobState &J) {
  bool Open = !isEnded(J.m_progress.m_phase);
  if (Open)
    return true;
  forEachTask(J.m_progress, [&](int, int, int, const Task &T) {
    Open = Open || T.m_phase == TaskPhase::Placed;
  });
  return Open;
}

const Task *findTask(const JobTable &Jobs, const TaskName &Name) {
  const auto It = Jobs.find(Name.m_job);
  if (It == Jobs.end())
    return nullptr;
  const auto &Occurrences = It->second.m_progress.m_occurrences;
  const auto K = static_cast<std::size_t>(Name.m_occurrence);
  const auto Step = static_cast<std::size_t>(Name.m_step);
  const auto Index = static_cast<std::size_t>(Name.m_index);
  if (K >= Occurrences.size() || Step >= Occurrences[K].size() ||
      Index >= Occurrences[K][Step].size())
    return nullptr;
  return &Occurrences[K][Step][Index];
}

OpenJobs openJobs(JobTable &Jobs) {
  OpenJobs Out;
  for (auto &[Id, J] : Jobs) {
    if (isOpen(J))
      Out.emplace(Id, &J);
  }
  return Out;
}

} // namespace pomelokeel::batch
