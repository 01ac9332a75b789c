#include "entry/view.h"

#include <algorithm>

namespace pomelokeel::entry {
namespace {

using model::ConfigKind;
using model::WorkerStanding;

// A worker that is silent for this many agent timeouts no longer counts towards
// guarantees. A shorter silence must not cause reclaims elsewhere.
constexpr Millis UnhealthyTimeouts = 3;

void readClass(ConfigView &Out, const state::ConfigHistory &History) {
  const model::ConfigRecord &Current = History.m_versions.back();
  if (const auto C = model::readJobClass(Current))
    Out.m_classes[Current.m_name] = *C;
  for (const model::ConfigRecord &R : History.m_versions) {
    const auto C = model::readJobClass(R);
    if (!C)
      continue;
    Millis &Limit = Out.m_orphanLimits[R.m_name];
    Limit = std::max(Limit, C->m_orphanLimitMs);
  }
}

std::set<std::string> overdueWorkers(const ViewInput &In) {
  std::set<std::string> Out;
  for (const auto &[Job, R] : In.m_reclaims) {
    const auto A = In.m_attempts.find(Job);
    if (!R.m_overdue || A == In.m_attempts.end())
      continue;
    for (const MemberStatus &M : A->second.m_members) {
      if (M.m_end == MemberEnd::Open)
        Out.insert(M.m_worker);
    }
  }
  return Out;
}

sched::WorkerView workerView(const ViewInput &In,
                             const state::AnnouncedWorker &W, bool Overdue) {
  const model::Worker &M = W.m_worker;
  sched::WorkerView V;
  V.m_name = M.m_name;
  V.m_dataCentre = M.m_dataCentre;
  V.m_region = M.m_region;
  V.m_rack = M.m_rack;
  V.m_accelerators = M.m_accelerators;
  V.m_slots = M.m_slots;
  V.m_cores = M.m_cores;
  V.m_memoryMb = M.m_memoryMb;
  const auto Found = In.m_live.find(M.m_name);
  const LiveWorker Live =
      Found == In.m_live.end() ? LiveWorker{} : Found->second;
  const Millis SilentMs = In.m_nowMs - Live.m_lastContactMs;
  const bool Draining =
      Live.m_draining || In.m_config.m_draining.contains(M.m_name);
  V.m_onProbation = onProbation(W, In.m_logTimeMs);
  const bool Standing =
      W.m_standing == WorkerStanding::Healthy || V.m_onProbation;
  V.m_healthy = Standing && !Draining && !Overdue &&
                SilentMs < UnhealthyTimeouts * In.m_agentTimeoutMs;
  V.m_placeable = V.m_healthy && Live.m_hasReported && Live.m_reachable &&
                  !Live.m_strayHolds && SilentMs < In.m_agentTimeoutMs &&
                  Live.m_incarnation == M.m_incarnation;
  return V;
}

void fillJobFields(const ViewInput &In, const model::Job &J,
                   sched::RunningView &V) {
  const model::JobClass C = classOf(In.m_config, J.m_spec.m_class);
  V.m_id = J.m_id;
  V.m_account = J.m_spec.m_account;
  V.m_class = J.m_spec.m_class;
  V.m_preemptible = C.m_preemptible;
  V.m_urgent = C.m_urgent;
  V.m_cores = J.m_spec.m_cores;
  V.m_memoryMb = J.m_spec.m_memoryMb;
  V.m_startedMs = J.m_startedMs > 0  ? J.m_startedMs
                  : J.m_placedMs > 0 ? J.m_placedMs
                                     : In.m_logTimeMs;
  V.m_expectedEndMs = V.m_startedMs + In.m_estimates.estimate(
                                          J.m_spec.m_class, J.m_spec.m_account,
                                          J.m_spec.m_runMs);
}

sched::RunningView attemptView(const ViewInput &In, const model::Job &J,
                               const Attempt &A) {
  sched::RunningView V;
  fillJobFields(In, J, V);
  V.m_places = A.m_places;
  V.m_preemptible = V.m_preemptible && mayReclaim(A);
  V.m_reclaiming =
      In.m_reclaims.contains(J.m_id) || A.m_step == AttemptStep::Stopping;
  return V;
}

sched::RunningView pendingView(const ViewInput &In, const model::Job &J,
                               const std::vector<model::MemberPlace> &Places) {
  sched::RunningView V;
  fillJobFields(In, J, V);
  V.m_places = Places;
  V.m_startedMs = In.m_logTimeMs;
  V.m_preemptible = false;
  return V;
}

sched::WaitingView waitingView(const ViewInput &In, const model::Job &J) {
  const model::JobClass C = classOf(In.m_config, J.m_spec.m_class);
  sched::WaitingView V;
  V.m_id = J.m_id;
  V.m_spec = J.m_spec;
  V.m_urgent = C.m_urgent;
  V.m_preemptible = C.m_preemptible;
  V.m_submittedMs = J.m_submittedMs;
  V.m_notBeforeMs = J.m_notBeforeMs;
  V.m_expectedRunMs = In.m_estimates.estimate(
      J.m_spec.m_class, J.m_spec.m_account, J.m_spec.m_runMs);
  const auto Avoid = In.m_avoid.find(J.m_id);
  if (Avoid == In.m_avoid.end())
    return V;
  for (const auto &[Worker, UntilMs] : Avoid->second) {
    if (In.m_nowMs < UntilMs)
      V.m_avoid.push_back(Worker);
  }
  return V;
}

} // namespace

ConfigView readConfig(const state::State &S) {
  ConfigView Out;
  Out.m_version = S.m_configVersion;
  Out.m_rule = state::placementRule(S);
  for (const auto &[Key, History] : S.m_config) {
    const model::ConfigRecord &Current = History.m_versions.back();
    if (Current.m_kind == ConfigKind::JobClass)
      readClass(Out, History);
    if (Current.m_kind == ConfigKind::Account) {
      if (const auto A = model::readAccount(Current))
        Out.m_accounts.push_back(*A);
    }
    if (Current.m_kind == ConfigKind::Drain &&
        state::isDraining(S, Current.m_name))
      Out.m_draining.insert(Current.m_name);
  }
  return Out;
}

model::JobClass classOf(const ConfigView &C, const std::string &Name) {
  const auto It = C.m_classes.find(Name);
  if (It != C.m_classes.end())
    return It->second;
  model::JobClass Unknown;
  Unknown.m_name = Name;
  Unknown.m_idempotent = false;
  return Unknown;
}

bool onProbation(const state::AnnouncedWorker &W, Millis LogTimeMs) {
  return W.m_standing == WorkerStanding::Quarantined &&
         W.m_standingUntilMs > 0 && LogTimeMs >= W.m_standingUntilMs;
}

sched::Snapshot buildSnapshot(const ViewInput &In) {
  sched::Snapshot Out;
  Out.m_nowMs = In.m_logTimeMs;
  Out.m_rule = In.m_config.m_rule;
  Out.m_accounts = In.m_config.m_accounts;
  const std::set<std::string> Overdue = overdueWorkers(In);
  for (const auto &[Name, W] : In.m_state.m_workers)
    Out.m_workers.push_back(workerView(In, W, Overdue.contains(Name)));
  const auto &Jobs = In.m_state.m_jobs;
  for (const auto &[Id, A] : In.m_attempts) {
    if (const auto J = Jobs.find(Id); J != Jobs.end())
      Out.m_running.push_back(attemptView(In, J->second, A));
  }
  for (const auto &[Id, Places] : In.m_pendingPlaces) {
    if (const auto J = Jobs.find(Id); J != Jobs.end())
      Out.m_running.push_back(pendingView(In, J->second, Places));
  }
  for (const auto &[Offset, Id] : In.m_waiting) {
    const auto J = Jobs.find(Id);
    if (J != Jobs.end() && !J->second.m_cancelRequested &&
        !In.m_pending.contains(Id))
      Out.m_waiting.push_back(waitingView(In, J->second));
  }
  return Out;
}

} // namespace pomelokeel::entry
