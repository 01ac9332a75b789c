#include "state/state.h"

#include "state/guarantee_shortfall.h"

#include <algorithm>
#include <array>

namespace pomelokeel::state {
namespace {

using base::Error;
using base::ErrorKind;
using base::Status;
using model::RecordKind;

std::string configKey(model::ConfigKind Kind, const std::string &Name) {
  return std::string(base::nameOf(Kind)) + "/" + Name;
}

// The first "/" ends the account, so a "/" in its name is escaped.
std::string jobKey(const std::string &Account, const std::string &Key) {
  std::string Out;
  Out.reserve(Account.size() + 1 + Key.size());
  for (const char C : Account) {
    if (C == '~')
      Out += "~0";
    else if (C == '/')
      Out += "~1";
    else
      Out += C;
  }
  return Out + '/' + Key;
}

// Decodes the record body. A record with an unreadable body is ignored.
template <typename Body> base::Result<Body> readBody(const model::Record &R) {
  Body Out;
  if (auto S = base::decode(R.m_body, "", Out); !S)
    return S.error();
  return Out;
}

// Checks guarantees against all announced workers, including those that are
// down: a worker that is down for a while must not block unrelated changes.
Status checkGuarantees(const State &S, const model::ConfigRecord &R) {
  const auto Account = model::readAccount(R);
  if (!Account)
    return Account.error();
  std::vector<model::Account> Accounts = {*Account};
  for (const auto &[Key, History] : S.m_config) {
    const model::ConfigRecord &Current = History.m_versions.back();
    if (Current.m_kind != model::ConfigKind::Account ||
        Current.m_name == R.m_name)
      continue;
    if (auto Other = model::readAccount(Current))
      Accounts.push_back(*Other);
  }
  std::vector<const model::Worker *> Workers;
  Workers.reserve(S.m_workers.size());
  for (const auto &[Name, W] : S.m_workers)
    Workers.push_back(&W.m_worker);
  const auto Missing = findGuaranteeShortfall(Accounts, Workers);
  if (!Missing)
    return base::success();
  return Error{ErrorKind::GuaranteeExceedsCapacity,
               "the guarantees together need " +
                   std::to_string(Missing->m_missingBlocks) +
                   " more blocks of " + std::to_string(Missing->m_blockSize) +
                   " adjacent accelerators for account \"" +
                   Missing->m_account + '"'};
}

// Input and output of a record handler besides the state.
struct Context {
  const model::LogEntry &m_entry;
  const Retention &m_limits;
  Applied &m_applied;
};

Status applyMember(State &S, const model::Member &Body, const Context &) {
  S.m_members[Body.m_name] = Body;
  return base::success();
}

Status applyMemberLeft(State &S, const model::Departure &Body,
                       const Context &) {
  const auto It = S.m_members.find(Body.m_name);
  if (It == S.m_members.end() || It->second.m_incarnation != Body.m_incarnation)
    return Error{ErrorKind::NotFound, "not the current incarnation"};
  S.m_members.erase(It);
  return base::success();
}

Status applyWorker(State &S, const model::Worker &Body, const Context &C) {
  AnnouncedWorker &W = S.m_workers[Body.m_name];
  const bool Restarted = W.m_worker.m_incarnation != Body.m_incarnation;
  W.m_worker = Body;
  if (!Restarted)
    return base::success();
  W.m_sinceOffset = C.m_entry.m_offset;
  // Only a new incarnation restores a lost worker. Whether an incarnation that
  // was lost responds again is known only to the leader.
  if (W.m_standing == model::WorkerStanding::Lost) {
    W.m_standing = model::WorkerStanding::Healthy;
    W.m_standingReason.clear();
    W.m_standingUntilMs = 0;
  }
  return base::success();
}

Status applyWorkerLeft(State &S, const model::Departure &Body,
                       const Context &) {
  const auto It = S.m_workers.find(Body.m_name);
  if (It == S.m_workers.end() ||
      It->second.m_worker.m_incarnation != Body.m_incarnation)
    return Error{ErrorKind::NotFound, "not the current incarnation"};
  S.m_workers.erase(It);
  return base::success();
}

void keepVerdict(State &S, const std::string &RecordId, ConfigVerdict Verdict,
                 const Retention &Limits) {
  S.m_verdicts[RecordId] = std::move(Verdict);
  S.m_verdictOrder.push_back(RecordId);
  while (S.m_verdictOrder.size() > Limits.m_verdicts) {
    S.m_verdicts.erase(S.m_verdictOrder.front());
    S.m_verdictOrder.erase(S.m_verdictOrder.begin());
  }
}

void acceptConfig(State &S, const model::ConfigRecord &R, const Context &C) {
  auto &Versions = S.m_config[configKey(R.m_kind, R.m_name)].m_versions;
  Versions.push_back(R);
  if (Versions.size() > C.m_limits.m_versionsPerRecord)
    Versions.erase(Versions.begin());
  ++S.m_configVersion;
  S.m_configTimeMs = C.m_entry.m_timeMs;
}

Status applyConfig(State &S, const Context &C) {
  const model::Record &R = C.m_entry.m_record;
  if (S.m_verdicts.contains(R.m_id))
    return Error{ErrorKind::VersionConflict, "record id applied before"};
  const auto Body = readBody<model::ConfigRecord>(R);
  const Status Checked = Body ? checkConfig(S, *Body) : Status(Body.error());
  if (Checked)
    acceptConfig(S, *Body, C);
  ConfigVerdict Verdict{Checked.ok(), std::nullopt, "", S.m_configVersion};
  if (!Checked) {
    Verdict.m_error = Checked.error().m_kind;
    Verdict.m_message = Checked.error().m_message;
  }
  keepVerdict(S, R.m_id, std::move(Verdict), C.m_limits);
  return Checked;
}

// Finishes a job. The outcome never changes afterwards.
void finish(State &S, model::Job &J, model::JobResult Result, Millis TimeMs) {
  J.m_phase = model::JobPhase::Finished;
  J.m_result = std::move(Result);
  J.m_finishedMs = TimeMs;
  J.m_places.clear();
  J.m_checkpoint = Json();
  S.m_finishedOrder.push_back(J.m_id);
}

Status applySubmission(State &S, const model::Submission &Body,
                       const Context &C) {
  C.m_applied.m_job = Body.m_job;
  if (S.m_jobs.contains(Body.m_job))
    return Error{ErrorKind::DuplicateTask, "job id exists"};
  const std::string Key = jobKey(Body.m_spec.m_account, Body.m_spec.m_key);
  if (S.m_jobByKey.contains(Key))
    return Error{ErrorKind::DuplicateTask, "idempotency key exists"};
  // A job that was admitted against an older configuration is still accepted
  // and finished here, because the entry that submitted it may have answered
  // its caller by then.
  const Status Admitted = checkSubmission(S, Body.m_spec);
  model::Job J;
  J.m_id = Body.m_job;
  J.m_spec = Body.m_spec;
  J.m_offset = C.m_entry.m_offset;
  J.m_submittedMs = C.m_entry.m_timeMs;
  S.m_jobByKey[Key] = J.m_id;
  model::Job &Kept = S.m_jobs[J.m_id] = std::move(J);
  if (!Admitted)
    finish(S, Kept,
           {model::Outcome::NotRun, Admitted.error().m_kind,
            Admitted.error().m_message, Json()},
           C.m_entry.m_timeMs);
  return base::success();
}

// Finds an unfinished job for a record handler.
base::Result<model::Job *> findUnfinishedJob(State &S, const std::string &Id,
                                             const Context &C) {
  C.m_applied.m_job = Id;
  const auto It = S.m_jobs.find(Id);
  if (It == S.m_jobs.end())
    return Error{ErrorKind::NotFound, "no such job"};
  if (It->second.m_phase == model::JobPhase::Finished)
    return Error{ErrorKind::StaleFence, "the job has finished"};
  return &It->second;
}

// Finds an unfinished job whose current attempt is Attempt.
base::Result<model::Job *> findCurrentAttempt(State &S, const std::string &Id,
                                              int Attempt, const Context &C) {
  auto Open = findUnfinishedJob(S, Id, C);
  if (Open && (*Open)->m_attempt != Attempt)
    return Error{ErrorKind::StaleFence, "not the current attempt"};
  return Open;
}

Status applyCancel(State &S, const model::CancelRequest &Body,
                   const Context &C) {
  const auto Open = findUnfinishedJob(S, Body.m_job, C);
  if (!Open)
    return Open.error();
  model::Job &J = **Open;
  J.m_cancelRequested = true;
  // A waiting job that was never placed is finished here, so that a large
  // number of cancellations needs no further records.
  if (J.m_phase == model::JobPhase::Waiting && J.m_attempt == 0)
    finish(S, J,
           {model::Outcome::NotRun, ErrorKind::Cancelled,
            "cancelled before it started", Json()},
           C.m_entry.m_timeMs);
  return base::success();
}

void forgetOldClaims(State &S, Millis NowMs) {
  constexpr Millis ClaimWindow = 60000;
  std::erase_if(S.m_recentClaimsMs,
                [&](Millis T) { return T < NowMs - ClaimWindow; });
}

Status applyClaim(State &S, const model::LeaderClaim &Body, const Context &C) {
  if (C.m_entry.m_record.m_epoch != S.m_epoch + 1)
    return Error{ErrorKind::StaleEpoch, "epoch is not the next one"};
  S.m_epoch = C.m_entry.m_record.m_epoch;
  S.m_leader = Body.m_leader;
  S.m_leaderIncarnation = Body.m_incarnation;
  forgetOldClaims(S, C.m_entry.m_timeMs);
  S.m_recentClaimsMs.push_back(C.m_entry.m_timeMs);
  return base::success();
}

Status applyRenewal(State &, const Context &) { return base::success(); }

Status applyStanding(State &S, const model::StandingChange &Body,
                     const Context &) {
  const auto It = S.m_workers.find(Body.m_worker);
  if (It == S.m_workers.end())
    return Error{ErrorKind::NotFound, "no such worker"};
  It->second.m_standing = Body.m_standing;
  It->second.m_standingReason = Body.m_reason;
  It->second.m_standingUntilMs = Body.m_untilMs;
  return base::success();
}

Status applyPlacement(State &S, const model::Placement &Body,
                      const Context &C) {
  const auto Open = findUnfinishedJob(S, Body.m_job, C);
  if (!Open)
    return Open.error();
  model::Job &J = **Open;
  if (J.m_phase != model::JobPhase::Waiting ||
      Body.m_attempt != J.m_attempt + 1)
    return Error{ErrorKind::StaleFence,
                 "the job does not wait for this attempt"};
  if (J.m_cancelRequested)
    return Error{ErrorKind::Cancelled, "cancelled before it was placed"};
  if (std::cmp_not_equal(Body.m_places.size(), J.m_spec.m_members))
    return Error{ErrorKind::BadRequest, "not one place for each member"};
  J.m_phase = model::JobPhase::Placed;
  J.m_attempt = Body.m_attempt;
  J.m_fence = C.m_entry.m_offset;
  J.m_places = Body.m_places;
  J.m_placedMs = C.m_entry.m_timeMs;
  J.m_lastReason = Body.m_reason;
  return base::success();
}

Status applyStart(State &S, const model::JobStart &Body, const Context &C) {
  const auto Open = findCurrentAttempt(S, Body.m_job, Body.m_attempt, C);
  if (!Open)
    return Open.error();
  model::Job &J = **Open;
  if (J.m_phase != model::JobPhase::Placed)
    return Error{ErrorKind::StaleFence, "the job is not placed"};
  J.m_phase = model::JobPhase::Running;
  J.m_startedMs = C.m_entry.m_timeMs;
  return base::success();
}

Status applyRequeue(State &S, const model::Requeue &Body, const Context &C) {
  const auto Open = findCurrentAttempt(S, Body.m_job, Body.m_attempt, C);
  if (!Open)
    return Open.error();
  model::Job &J = **Open;
  if (J.m_phase == model::JobPhase::Waiting)
    return Error{ErrorKind::StaleFence, "the job waits already"};
  J.m_phase = model::JobPhase::Waiting;
  J.m_places.clear();
  J.m_lastReason = Body.m_reason;
  J.m_failures += Body.m_countsAsFailure ? 1 : 0;
  J.m_preemptions += Body.m_preempted ? 1 : 0;
  J.m_mayHaveRun = J.m_mayHaveRun || Body.m_mayHaveRun;
  J.m_notBeforeMs = C.m_entry.m_timeMs + Body.m_backoffMs;
  if (!Body.m_checkpoint.is_null())
    J.m_checkpoint = Body.m_checkpoint;
  return base::success();
}

Status applyFinish(State &S, const model::Finish &Body, const Context &C) {
  const auto Open = findCurrentAttempt(S, Body.m_job, Body.m_attempt, C);
  if (!Open)
    return Open.error();
  finish(S, **Open, Body.m_result, C.m_entry.m_timeMs);
  return base::success();
}

using Handler = Status (*)(State &, const Context &);

// A handler that decodes the body of the record and passes it to Apply.
template <typename Body,
          Status (*Apply)(State &, const Body &, const Context &)>
Status decoded(State &S, const Context &C) {
  const auto Read = readBody<Body>(C.m_entry.m_record);
  if (!Read)
    return Read.error();
  return Apply(S, *Read, C);
}

// In the order of RecordKind.
constexpr std::array<Handler, 14> Handlers = {
    decoded<model::Member, applyMember>,
    decoded<model::Departure, applyMemberLeft>,
    decoded<model::Worker, applyWorker>,
    decoded<model::Departure, applyWorkerLeft>,
    applyConfig,
    decoded<model::Submission, applySubmission>,
    decoded<model::CancelRequest, applyCancel>,
    decoded<model::LeaderClaim, applyClaim>,
    applyRenewal,
    decoded<model::StandingChange, applyStanding>,
    decoded<model::Placement, applyPlacement>,
    decoded<model::JobStart, applyStart>,
    decoded<model::Requeue, applyRequeue>,
    decoded<model::Finish, applyFinish>};

// Drops outcomes older than the retention. It compares log times, so that every
// entry drops the same outcomes at the same offset.
void dropOldOutcomes(State &S, const Retention &Limits) {
  std::size_t Dropped = 0;
  for (const std::string &Id : S.m_finishedOrder) {
    const auto It = S.m_jobs.find(Id);
    if (It->second.m_finishedMs > S.m_timeMs - Limits.m_outcomeMs)
      break;
    S.m_jobByKey.erase(
        jobKey(It->second.m_spec.m_account, It->second.m_spec.m_key));
    S.m_jobs.erase(It);
    ++Dropped;
  }
  S.m_finishedOrder.erase(S.m_finishedOrder.begin(),
                          S.m_finishedOrder.begin() +
                              static_cast<std::ptrdiff_t>(Dropped));
}

Status applyRecord(State &S, const Context &C) {
  const model::Record &R = C.m_entry.m_record;
  // A former leader that was frozen must not remove a worker that has returned.
  const bool NeedsEpoch =
      R.m_kind == RecordKind::WorkerLeft ||
      (model::isLeaderKind(R.m_kind) && R.m_kind != RecordKind::LeaderClaimed);
  if (NeedsEpoch && R.m_epoch != S.m_epoch)
    return Error{ErrorKind::StaleEpoch, "epoch " + std::to_string(R.m_epoch) +
                                            " is not the current " +
                                            std::to_string(S.m_epoch)};
  return Handlers[static_cast<std::size_t>(R.m_kind)](S, C);
}

} // namespace

void indexKeys(State &S) {
  S.m_jobByKey.clear();
  for (const auto &[Id, J] : S.m_jobs)
    S.m_jobByKey[jobKey(J.m_spec.m_account, J.m_spec.m_key)] = Id;
}

Applied apply(State &S, const model::LogEntry &Entry, const Retention &Limits) {
  Applied Out;
  S.m_nextOffset = Entry.m_offset + 1;
  S.m_timeMs = std::max(S.m_timeMs, Entry.m_timeMs);
  const Status Outcome = applyRecord(S, Context{Entry, Limits, Out});
  Out.m_accepted = Outcome.ok();
  if (!Outcome) {
    Out.m_error = Outcome.error().m_kind;
    Out.m_message = Outcome.error().m_message;
  }
  dropOldOutcomes(S, Limits);
  return Out;
}

Status checkConfig(const State &S, const model::ConfigRecord &R) {
  if (auto Checked = model::checkRecord(R); !Checked)
    return Checked;
  const model::ConfigRecord *Current = findConfig(S, R.m_kind, R.m_name);
  const std::uint64_t Version = Current ? Current->m_version : 0;
  if (R.m_previousVersion != Version)
    return Error{ErrorKind::VersionConflict,
                 std::string(base::nameOf(R.m_kind)) + " \"" + R.m_name +
                     "\" is at version " + std::to_string(Version) +
                     ", the record expects " +
                     std::to_string(R.m_previousVersion)};
  if (R.m_kind == model::ConfigKind::Account)
    return checkGuarantees(S, R);
  return base::success();
}

const model::ConfigRecord *findConfig(const State &S, model::ConfigKind Kind,
                                      const std::string &Name) {
  const auto It = S.m_config.find(configKey(Kind, Name));
  return It == S.m_config.end() ? nullptr : &It->second.m_versions.back();
}

std::optional<model::Account> findAccount(const State &S,
                                          const std::string &Name) {
  const auto *R = findConfig(S, model::ConfigKind::Account, Name);
  if (!R)
    return std::nullopt;
  const auto Read = model::readAccount(*R);
  return Read ? std::optional(*Read) : std::nullopt;
}

std::optional<model::JobClass> findJobClass(const State &S,
                                            const std::string &Name) {
  const auto *R = findConfig(S, model::ConfigKind::JobClass, Name);
  if (!R)
    return std::nullopt;
  const auto Read = model::readJobClass(*R);
  return Read ? std::optional(*Read) : std::nullopt;
}

model::PlacementRule placementRule(const State &S) {
  const auto *R = findConfig(S, model::ConfigKind::PlacementRule, "default");
  if (!R)
    return {};
  const auto Read = model::readPlacementRule(*R);
  return Read ? *Read : model::PlacementRule{};
}

bool isDraining(const State &S, const std::string &Worker) {
  const auto *R = findConfig(S, model::ConfigKind::Drain, Worker);
  if (!R)
    return false;
  const auto Read = model::readDrain(*R);
  return Read && Read->m_draining;
}

const model::Job *findJobByKey(const State &S, const std::string &Account,
                               const std::string &Key) {
  const auto It = S.m_jobByKey.find(jobKey(Account, Key));
  return It == S.m_jobByKey.end() ? nullptr : &S.m_jobs.at(It->second);
}

Status checkSubmission(const State &S, const model::JobSpec &Spec) {
  if (auto Checked = model::checkSpec(Spec); !Checked)
    return Checked;
  const auto Account = findAccount(S, Spec.m_account);
  if (!Account)
    return Error{ErrorKind::UnknownAccount,
                 "account \"" + Spec.m_account + "\" does not exist"};
  if (!findJobClass(S, Spec.m_class))
    return Error{ErrorKind::UnknownClass,
                 "job class \"" + Spec.m_class + "\" does not exist"};
  const int Asked = Spec.m_members * Spec.m_accelerators;
  if (Account->m_maxAccelerators > 0 && Asked > Account->m_maxAccelerators)
    return Error{ErrorKind::CanNeverRun,
                 "the job asks for " + std::to_string(Asked) +
                     " accelerators, the quota of account \"" + Spec.m_account +
                     "\" is " + std::to_string(Account->m_maxAccelerators)};
  const auto Open =
      std::count_if(S.m_jobs.begin(), S.m_jobs.end(), [&](const auto &Item) {
        return Item.second.m_phase != model::JobPhase::Finished &&
               Item.second.m_spec.m_account == Spec.m_account;
      });
  if (Open >= Account->m_maxWaiting)
    return Error{ErrorKind::QuotaExceeded,
                 "account \"" + Spec.m_account + "\" has " +
                     std::to_string(Open) + " unfinished jobs, its limit is " +
                     std::to_string(Account->m_maxWaiting)};
  return base::success();
}

} // namespace pomelokeel::state
