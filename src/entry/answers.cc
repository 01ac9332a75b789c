#include "entry/answers.h"

#include <algorithm>
#include <array>

namespace pomelokeel::entry {
namespace {

using base::Error;
using base::ErrorKind;

int guaranteedAccelerators(const model::Account &A) {
  int Sum = 0;
  for (const model::BlockDemand &D : A.m_guarantee)
    Sum += D.m_size * D.m_count;
  return Sum;
}

bool holdsPlaces(const model::Job &J) {
  return J.m_phase == model::JobPhase::Placed ||
         J.m_phase == model::JobPhase::Running;
}

constexpr std::array PhaseCounts = {
    &report::JobCounts::m_waiting, &report::JobCounts::m_placed,
    &report::JobCounts::m_running, &report::JobCounts::m_finished};

std::vector<report::AccountStatus> accountRows(const state::State &S) {
  std::vector<report::AccountStatus> Rows;
  for (const auto &[Key, History] : S.m_config) {
    const model::ConfigRecord &R = History.m_versions.back();
    if (R.m_kind != model::ConfigKind::Account)
      continue;
    const auto A = model::readAccount(R);
    if (!A)
      continue;
    report::AccountStatus Row;
    Row.m_account = R.m_name;
    Row.m_guaranteed = guaranteedAccelerators(*A);
    Row.m_maximum = A->m_maxAccelerators;
    Rows.push_back(Row);
  }
  return Rows;
}

std::vector<report::WorkerStatus> workerRows(const state::State &S,
                                             const LeaderReport *Report) {
  std::vector<report::WorkerStatus> Rows;
  for (const auto &[Name, W] : S.m_workers) {
    report::WorkerStatus Row;
    Row.m_worker = Name;
    Row.m_dataCentre = W.m_worker.m_dataCentre;
    Row.m_region = W.m_worker.m_region;
    Row.m_rack = W.m_worker.m_rack;
    Row.m_agentHttp = W.m_worker.m_agentHttp;
    Row.m_standing = W.m_standing;
    Row.m_standingReason = W.m_standingReason;
    Row.m_accelerators = W.m_worker.m_accelerators;
    Row.m_draining = state::isDraining(S, Name);
    if (Report) {
      const auto It = Report->m_silentMs.find(Name);
      Row.m_silentMs = It == Report->m_silentMs.end() ? -1 : It->second;
    }
    Rows.push_back(Row);
  }
  return Rows;
}

// Finds the row of a name in rows that are sorted by name.
template <typename Row>
Row *findRow(std::vector<Row> &Rows, std::string Row::*Member,
             const std::string &Name) {
  const auto It = std::lower_bound(
      Rows.begin(), Rows.end(), Name,
      [&](const Row &R, const std::string &N) { return R.*Member < N; });
  return It != Rows.end() && (*It).*Member == Name ? &*It : nullptr;
}

// Adds one job and its accelerators to the counts of a status.
void addJob(report::Status &Out, const model::Job &J) {
  ++(Out.m_jobs.*PhaseCounts[static_cast<std::size_t>(J.m_phase)]);
  auto *Account = findRow(Out.m_accounts, &report::AccountStatus::m_account,
                          J.m_spec.m_account);
  if (Account && J.m_phase != model::JobPhase::Finished)
    ++Account->m_unfinishedJobs;
  if (!holdsPlaces(J))
    return;
  for (const model::MemberPlace &P : J.m_places) {
    if (Account)
      Account->m_inUse += P.m_accelerators;
    if (auto *Worker =
            findRow(Out.m_workers, &report::WorkerStatus::m_worker, P.m_worker))
      Worker->m_inUse += P.m_accelerators;
  }
}

report::LeaderView leaderView(const LeaderReport &R) {
  report::LeaderView Out;
  for (const sched::WaitReason &W : R.m_waiting) {
    if (Out.m_waitReasons.size() >= MaxLeaderRows)
      break;
    Out.m_waitReasons[W.m_job] = W.m_reason;
  }
  for (const sched::Shortfall &F : R.m_shortfalls)
    Out.m_shortfalls.push_back({F.m_account, F.m_blockSize, F.m_missingBlocks});
  for (const sched::BlockAssignment &B : R.m_blocks) {
    if (Out.m_blocks.size() >= MaxLeaderRows)
      break;
    Out.m_blocks.push_back(
        {B.m_account, B.m_worker, B.m_firstAccelerator, B.m_size});
  }
  return Out;
}

std::string waitReasonOf(const LeaderReport &R, const std::string &Job) {
  const auto It = std::find_if(R.m_waiting.begin(), R.m_waiting.end(),
                               [&](const auto &W) { return W.m_job == Job; });
  return It == R.m_waiting.end() ? "" : It->m_reason;
}

} // namespace

report::JobStatus jobStatus(const model::Job &J) {
  report::JobStatus Out;
  Out.m_job = J.m_id;
  Out.m_account = J.m_spec.m_account;
  Out.m_key = J.m_spec.m_key;
  Out.m_class = J.m_spec.m_class;
  Out.m_phase = J.m_phase;
  Out.m_attempt = J.m_attempt;
  Out.m_cancelRequested = J.m_cancelRequested;
  Out.m_result = J.m_result;
  return Out;
}

http::Response jobAnswer(const model::Job &J) {
  const int HttpStatus = J.m_phase == model::JobPhase::Finished ? 200 : 202;
  return jsonResponse(HttpStatus, base::encode(jobStatus(J)));
}

http::Response unconfirmedAnswer(const model::JobSpec &Spec,
                                 const std::string &Message) {
  http::Response Out = lookupError({ErrorKind::LogUnconfirmed, Message});
  base::Json Body = base::Json::parse(Out.m_body);
  Body["account"] = Spec.m_account;
  Body["key"] = Spec.m_key;
  return jsonResponse(Out.m_status, Body);
}

report::JobPage listJobs(const state::State &S, const ListJobs &Query) {
  std::vector<const model::Job *> Found;
  for (const auto &[Id, J] : S.m_jobs) {
    if (!Query.m_account.empty() && J.m_spec.m_account != Query.m_account)
      continue;
    if (Query.m_phase && J.m_phase != *Query.m_phase)
      continue;
    Found.push_back(&J);
  }
  const auto Listed = std::min(Query.m_limit, Found.size());
  std::partial_sort(
      Found.begin(), Found.begin() + static_cast<std::ptrdiff_t>(Listed),
      Found.end(),
      [](const auto *A, const auto *B) { return A->m_offset > B->m_offset; });
  report::JobPage Out;
  Out.m_more = Found.size() > Listed;
  Found.resize(Listed);
  for (const model::Job *J : Found) {
    Out.m_jobs.push_back(jobStatus(*J));
    if (Out.m_jobs.back().m_result)
      Out.m_jobs.back().m_result->m_answer = base::Json();
  }
  return Out;
}

report::Explanation explain(const state::State &S, const model::Job &J,
                            const LeaderReport *Report) {
  report::Explanation Out;
  Out.m_job = J.m_id;
  Out.m_account = J.m_spec.m_account;
  Out.m_class = J.m_spec.m_class;
  Out.m_phase = J.m_phase;
  Out.m_attempts = J.m_attempt;
  Out.m_failures = J.m_failures;
  Out.m_preemptions = J.m_preemptions;
  Out.m_submittedMs = J.m_submittedMs;
  Out.m_placedMs = J.m_placedMs;
  Out.m_startedMs = J.m_startedMs;
  Out.m_finishedMs = J.m_finishedMs;
  Out.m_notBeforeMs = J.m_notBeforeMs;
  Out.m_places = J.m_places;
  Out.m_result = J.m_result;
  // m_lastReason holds either the reason of the placement or of the end of the
  // last attempt, depending on the phase.
  (holdsPlaces(J) ? Out.m_placementReason : Out.m_lastReason) = J.m_lastReason;
  if (J.m_phase != model::JobPhase::Waiting)
    return Out;
  if (Report)
    Out.m_waitReason = waitReasonOf(*Report, J.m_id);
  else
    Out.m_askLeader = leaderHttp(S);
  return Out;
}

report::MemberPage memberPage(const state::State &S) {
  report::MemberPage Out;
  for (const auto &[Name, M] : S.m_members)
    Out.m_members.push_back(M);
  Out.m_leader = S.m_leader;
  Out.m_epoch = S.m_epoch;
  Out.m_configVersion = S.m_configVersion;
  return Out;
}

report::ConfigPage configPage(const state::State &S) {
  report::ConfigPage Out;
  Out.m_configVersion = S.m_configVersion;
  for (const auto &[Key, History] : S.m_config)
    Out.m_records.push_back(History.m_versions.back());
  return Out;
}

base::Result<report::ConfigPage> configHistory(const state::State &S,
                                               const GetConfigHistory &Query) {
  const std::string Kind(base::nameOf(Query.m_kind));
  const auto It = S.m_config.find(Kind + "/" + Query.m_name);
  if (It == S.m_config.end())
    return Error{ErrorKind::NotFound,
                 Kind + " \"" + Query.m_name + "\" does not exist"};
  return report::ConfigPage{S.m_configVersion, It->second.m_versions};
}

report::ConfigCheck checkReport(const state::State &S,
                                const model::ConfigRecord &R) {
  report::ConfigCheck Out;
  const auto Checked = state::checkConfig(S, R);
  Out.m_accepted = Checked.ok();
  if (!Checked) {
    Out.m_error = Checked.error().m_kind;
    Out.m_message = Checked.error().m_message;
  }
  if (const auto *Current = state::findConfig(S, R.m_kind, R.m_name))
    Out.m_currentVersion = Current->m_version;
  for (const auto &[Name, W] : S.m_workers)
    Out.m_capacity += W.m_worker.m_accelerators;
  for (const report::AccountStatus &Row : accountRows(S))
    Out.m_guaranteedBefore += Row.m_guaranteed;
  Out.m_guaranteedAfter = Out.m_guaranteedBefore;
  if (R.m_kind != model::ConfigKind::Account)
    return Out;
  const auto After = model::readAccount(R);
  const auto Before = state::findAccount(S, R.m_name);
  const report::GuaranteeChange Change{
      R.m_name, Before ? guaranteedAccelerators(*Before) : 0,
      After ? guaranteedAccelerators(*After) : 0};
  Out.m_guaranteedAfter += Change.m_after - Change.m_before;
  Out.m_accounts.push_back(Change);
  return Out;
}

void fillStatus(report::Status &Out, const state::State &S,
                const LeaderReport *Report) {
  Out.m_epoch = S.m_epoch;
  Out.m_leader = S.m_leader;
  Out.m_configVersion = S.m_configVersion;
  Out.m_configTimeMs = S.m_configTimeMs;
  Out.m_accounts = accountRows(S);
  Out.m_workers = workerRows(S, Report);
  for (const auto &[Id, J] : S.m_jobs)
    addJob(Out, J);
  if (Report)
    Out.m_leaderView = leaderView(*Report);
  else
    Out.m_askLeader = leaderHttp(S);
}

std::string leaderHttp(const state::State &S) {
  const auto It = S.m_members.find(S.m_leader);
  return It == S.m_members.end() ? "" : It->second.m_httpAddress;
}

} // namespace pomelokeel::entry
