#include "batch/leader.h"

#include "base/compact.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace pomelokeel::batch {
namespace {

/// Shortest interval between two computations of the workers' speeds. It grows
/// by 1 ms with so many runs, so that large fleets cost the leader a limited
/// share of its processor time.
constexpr Millis EstimateEveryMs = 500;
constexpr std::size_t RunsPerMs = 20;

/// A record is written when the value has moved by this much, and not more
/// often than this.
constexpr double RecordedChange = 0.1;
constexpr Millis RecordEveryMs = 5000;

constexpr int Whole = 100;
/// The run time of a run is extrapolated once it has gained so many percent. It
/// takes at least MinRunMs, since reports are up to some 100 ms late.
constexpr int MinGain = 20;
constexpr Millis MinRunMs = 500;

// Run time of a task from its progress up to Until, or a negative number if it
// is not known well.
double runMsOf(const Task &T, int Percent, Millis Until) {
  const int Gained = Percent - T.m_firstPercent;
  const Millis Took = Until - T.m_firstSeenAt;
  if (!T.m_running || Gained < MinGain || Took < MinRunMs)
    return -1;
  return static_cast<double>(Took) * Whole / Gained;
}

} // namespace

void Leader::loadSpeed(const KeyedRecord &R) {
  const std::string Agent = R.m_key.substr(SpeedKey.size());
  const base::Json J = base::parseJson(R.m_value);
  SpeedRecord S;
  // A record that cannot be read is of no use. It is removed.
  if (J.is_discarded() || !base::decodeCompact(J, "", S) ||
      !std::isfinite(S.m_slowness) || S.m_slowness < 1) {
    m_dropped.push_back(R.m_key);
    return;
  }
  m_speedRecords[Agent] = {S.m_slowness, m_startedAt};
  if (m_timing.m_learnSpeed)
    m_speeds.restore(Agent, S);
}

bool Leader::isCold(const AgentView &A, Millis Now) const {
  return m_timing.m_learnSpeed && Now < A.m_coldUntil;
}

double Leader::slownessOf(const AgentView &A, Millis Now) const {
  if (!m_timing.m_learnSpeed)
    return 1;
  const double Learned = m_speeds.of(A.m_name).m_slowness;
  return isCold(A, Now) ? std::max(Learned, UsualSlowness) : Learned;
}

// Runs that resumed, or that ran while the worker was cold or far from their
// data, say nothing about the worker.
bool Leader::showsSpeed(const Task &T, const Step &Kind) const {
  if (T.m_phase != TaskPhase::Placed || T.m_run != 1 || Kind.m_longRunning)
    return false;
  const auto It = m_agents.find(T.m_agent);
  return It != m_agents.end() &&
         It->second.m_worker.m_workerIncarnation == T.m_workerIncarnation &&
         T.m_placedAt >= It->second.m_coldUntil &&
         (Kind.m_dataRack.empty() ||
          Kind.m_dataRack == It->second.m_worker.m_rack);
}

void Leader::noteRunTime(const JobState &J, const TaskName &Name, bool Done,
                         Millis Now) {
  const Step &Kind = J.m_spec.m_steps[static_cast<std::size_t>(Name.m_step)];
  const Task &T = *findTask(Name);
  const double RunMs =
      Done ? runMsOf(T, Whole, Now) : runMsOf(T, T.m_percent, T.m_progressAt);
  if (RunMs < 0 || !showsSpeed(T, Kind))
    return;
  if (!Kind.m_gang)
    return m_speeds.addTask(T.m_agent, Name, RunMs, Now);
  if (Kind.m_estimateMs <= 0)
    return;
  std::vector<std::string> Agents;
  std::set<std::string> Racks;
  for (const Task &Member : J.m_progress.m_occurrences[static_cast<std::size_t>(
           Name.m_occurrence)][static_cast<std::size_t>(Name.m_step)]) {
    if (!showsSpeed(Member, Kind))
      return;
    Agents.push_back(Member.m_agent);
    Racks.insert(m_agents.at(Member.m_agent).m_worker.m_rack);
  }
  // A rack-local gang that spans racks is slow on any worker.
  if (Kind.m_rackLocal && Racks.size() > 1)
    return;
  m_speeds.addGang(Agents, Name, J.m_spec.m_queue.m_name,
                   RunMs / static_cast<double>(Kind.m_estimateMs), Now);
}

void Leader::reviewSpeeds(Millis Now) {
  if (!m_timing.m_learnSpeed || Now < m_speedsDueAt)
    return;
  m_speedsDueAt = Now + EstimateEveryMs +
                  static_cast<Millis>(m_speeds.sampleCount() / RunsPerMs);
  for (const auto &[Id, J] : m_openJobs) {
    const std::string &Job = Id;
    const JobState &State = *J;
    forEachTask(State.m_progress, [&](int K, int S, int I, const Task &T) {
      // One member shows the pace of its gang.
      if (T.m_running && T.m_run == 1 && T.m_stop == StopReason::None &&
          (I == 0 || !State.m_spec.m_steps[static_cast<std::size_t>(S)].m_gang))
        noteRunTime(State, {Job, K, S, I}, false, Now);
    });
  }
  for (const std::string &Agent : m_speeds.update(Now)) {
    const SpeedEstimate E = m_speeds.of(Agent);
    m_ports.event("workerSpeed", "",
                  fmt::format("agent={} slowness={:.2f} evidence={} jobs={}",
                              Agent, E.m_slowness, E.m_evidence, E.m_jobs));
    m_scheduleDue = true;
  }
  m_counters.get("slow_workers") =
      std::count_if(m_agents.begin(), m_agents.end(), [&](const auto &Entry) {
        return slownessOf(Entry.second, Now) >= SlowFrom;
      });
  recordSpeeds(Now);
}

// Marks the records that have to be written. Records of agents that have been
// silent for as long as ended jobs are kept are removed.
void Leader::recordSpeeds(Millis Now) {
  for (const auto &[Agent, E] : m_speeds.all()) {
    const auto It = m_speedRecords.find(Agent);
    const double Before = It == m_speedRecords.end() ? 1 : It->second.m_value;
    if (std::abs(E.m_slowness - Before) < RecordedChange ||
        (It != m_speedRecords.end() && Now - It->second.m_at < RecordEveryMs))
      continue;
    m_speedRecords[Agent] = {E.m_slowness, Now};
    m_dirtySpeeds.insert(Agent);
  }
  const auto IsGone = [&](const std::string &Agent) {
    const auto It = m_agents.find(Agent);
    const Millis SeenAt =
        It == m_agents.end() ? m_startedAt : It->second.m_lastContactAt;
    return Now - SeenAt >= m_timing.m_retentionMs;
  };
  std::vector<std::string> Gone;
  for (const auto &[Agent, E] : m_speeds.all()) {
    if (IsGone(Agent))
      Gone.push_back(Agent);
  }
  for (const std::string &Agent : Gone)
    m_speeds.forget(Agent);
  std::erase_if(m_speedRecords, [&](const auto &Record) {
    if (!IsGone(Record.first))
      return false;
    m_dropped.push_back(journalKey(SpeedKey, Record.first));
    m_dirtySpeeds.erase(Record.first);
    return true;
  });
}

void Leader::addSpeedRecords(std::vector<KeyedRecord> &Out) {
  for (const std::string &Agent : std::exchange(m_dirtySpeeds, {})) {
    const SpeedEstimate E = m_speeds.of(Agent);
    const auto It = m_agents.find(Agent);
    const SpeedRecord R{
        It == m_agents.end() ? "" : It->second.m_worker.m_workerIncarnation,
        E.m_slowness, E.m_evidence};
    Out.push_back(
        {journalKey(SpeedKey, Agent), base::dumpJson(base::encodeCompact(R))});
  }
}

} // namespace pomelokeel::batch
