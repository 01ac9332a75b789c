#include "report/render.h"

#include <fmt/format.h>

namespace pomelokeel::report {
namespace {

using base::Json;

std::string formatAge(Millis Ms) {
  if (Ms < 0)
    return "never";
  if (Ms < 10000)
    return fmt::format("{:.1f} s ago", static_cast<double>(Ms) / 1000);
  return fmt::format("{} s ago", Ms / 1000);
}

std::string yesNo(bool Value) { return Value ? "yes" : "no"; }

std::string logLines(const Status &S) {
  std::string Out = fmt::format(
      "log        readable {}, writable {}, applied to {}, end {} read {}\n",
      yesNo(S.m_log.m_readable), yesNo(S.m_log.m_writable),
      S.m_log.m_nextOffset, S.m_log.m_endOffset,
      formatAge(S.m_log.m_endReadAgeMs));
  if (!S.m_log.m_readable || !S.m_log.m_writable)
    Out +=
        fmt::format("ALARM      the log service cannot be reached; the rules "
                    "below were last confirmed {}\n",
                    formatAge(S.m_rulesAgeMs));
  if (S.m_log.m_behindRetention)
    Out += "ALARM      records that this process needs were dropped by the "
           "log's retention\n";
  return Out;
}

std::string accountLines(const Status &S) {
  std::string Out;
  for (const AccountStatus &A : S.m_accounts)
    Out += fmt::format("account    {}: guaranteed {}, in use {}, quota {}, "
                       "unfinished jobs {}\n",
                       A.m_account, A.m_guaranteed, A.m_inUse,
                       A.m_maximum == 0 ? "none" : std::to_string(A.m_maximum),
                       A.m_unfinishedJobs);
  return Out;
}

std::string workerLine(const WorkerStatus &W) {
  std::string Out =
      fmt::format("worker     {}: {}/{}/{}, {}, accelerators {} of {} in use",
                  W.m_worker, W.m_region, W.m_dataCentre, W.m_rack,
                  base::nameOf(W.m_standing), W.m_inUse, W.m_accelerators);
  if (!W.m_standingReason.empty())
    Out += fmt::format(" ({})", W.m_standingReason);
  if (W.m_draining)
    Out += ", draining";
  if (W.m_silentMs)
    Out += ", heard " + formatAge(*W.m_silentMs);
  return Out + '\n';
}

std::string leaderLines(const LeaderView &V) {
  std::string Out;
  for (const ShortfallStatus &F : V.m_shortfalls)
    Out += fmt::format("ALARM      guarantee of {} cannot be kept: {} blocks "
                       "of {} adjacent accelerators are missing\n",
                       F.m_account, F.m_missingBlocks, F.m_blockSize);
  for (const BlockStatus &B : V.m_blocks)
    Out += fmt::format("promise    {}: accelerators {} to {} of {}\n",
                       B.m_account, B.m_firstAccelerator,
                       B.m_firstAccelerator + B.m_size - 1, B.m_worker);
  for (const auto &[Job, Reason] : V.m_waitReasons)
    Out += fmt::format("waiting    {}: {}\n", Job, Reason);
  return Out;
}

std::string memberLines(const std::vector<model::MemberPlace> &Places) {
  std::string Out;
  int Member = 0;
  for (const model::MemberPlace &P : Places) {
    Out += fmt::format("member {}   {}", Member++, P.m_worker);
    if (P.m_accelerators > 0)
      Out += fmt::format(", accelerators {} to {}", P.m_firstAccelerator,
                         P.m_firstAccelerator + P.m_accelerators - 1);
    Out += '\n';
  }
  return Out;
}

std::string resultLines(const model::JobResult &R) {
  std::string Out = fmt::format("outcome    {}", base::nameOf(R.m_outcome));
  if (R.m_reason)
    Out += fmt::format(" ({})", base::nameOf(*R.m_reason));
  if (!R.m_message.empty())
    Out += ": " + R.m_message;
  Out += '\n';
  if (R.m_reason)
    Out +=
        fmt::format("advice     {}\n", base::errorInfo(*R.m_reason).m_advice);
  if (!R.m_answer.is_null())
    Out += fmt::format("answer     {}\n", base::dumpJson(R.m_answer));
  return Out;
}

std::string optionalLine(const char *Label, const std::string &Text) {
  return Text.empty() ? "" : fmt::format("{:<11}{}\n", Label, Text);
}

void appendDifferences(const std::string &Path, const Json &Old,
                       const Json &New, std::string &Out) {
  if (Old == New)
    return;
  if (!Old.is_object() || !New.is_object()) {
    Out += fmt::format("{}: {} -> {}\n", Path, base::dumpJson(Old),
                       base::dumpJson(New));
    return;
  }
  Json Keys = Old;
  Keys.update(New);
  for (const auto &Item : Keys.items())
    appendDifferences(Path.empty() ? Item.key() : Path + "." + Item.key(),
                      Old.value(Item.key(), Json()),
                      New.value(Item.key(), Json()), Out);
}

} // namespace

std::string renderStatus(const Status &S) {
  std::string Out = fmt::format("process    {} ({}), {}/{}\n", S.m_process,
                                S.m_role, S.m_region, S.m_dataCentre);
  if (!S.m_ready)
    Out += fmt::format("ALARM      not ready: {}\n", S.m_notReadyReason);
  Out += fmt::format("leader     {} in epoch {}, heard {}\n",
                     S.m_leader.empty() ? "none" : S.m_leader, S.m_epoch,
                     formatAge(S.m_leaderAgeMs));
  Out += fmt::format("config     version {} in force\n", S.m_configVersion);
  Out += logLines(S);
  Out +=
      fmt::format("jobs       {} waiting, {} placed, {} running, {} finished\n",
                  S.m_jobs.m_waiting, S.m_jobs.m_placed, S.m_jobs.m_running,
                  S.m_jobs.m_finished);
  Out +=
      fmt::format("agents     {} attached to this entry\n", S.m_attachedAgents);
  Out += accountLines(S);
  for (const WorkerStatus &W : S.m_workers)
    Out += workerLine(W);
  if (S.m_leaderView)
    Out += leaderLines(*S.m_leaderView);
  return Out;
}

std::string renderExplanation(const Explanation &E) {
  std::string Out = fmt::format(
      "job        {} of account {}, class {}\nphase      {}, attempts {}, "
      "failures {}, preemptions {}\n",
      E.m_job, E.m_account, E.m_class, base::nameOf(E.m_phase), E.m_attempts,
      E.m_failures, E.m_preemptions);
  Out += memberLines(E.m_places);
  Out += optionalLine("placed", E.m_placementReason);
  Out += optionalLine("waits", E.m_waitReason);
  Out += optionalLine("last", E.m_lastReason);
  if (!E.m_askLeader.empty())
    Out += optionalLine("note", "the leader at " + E.m_askLeader +
                                    " knows the wait reason");
  if (E.m_result)
    Out += resultLines(*E.m_result);
  return Out;
}

std::string renderJob(const JobStatus &J) {
  std::string Out = fmt::format(
      "job        {} of account {}, key {}, class {}\nphase      "
      "{}, attempt {}{}\n",
      J.m_job, J.m_account, J.m_key, J.m_class, base::nameOf(J.m_phase),
      J.m_attempt, J.m_cancelRequested ? ", cancel requested" : "");
  if (J.m_result)
    Out += resultLines(*J.m_result);
  return Out;
}

std::string renderJobs(const JobPage &P) {
  std::string Out;
  for (const JobStatus &J : P.m_jobs)
    Out += fmt::format("{}  {:<9} {} {} {}\n", J.m_job, base::nameOf(J.m_phase),
                       J.m_account, J.m_class, J.m_key);
  if (P.m_more)
    Out += "older jobs are not shown\n";
  return Out;
}

std::string renderConfig(const ConfigPage &P) {
  std::string Out =
      fmt::format("configuration version {}\n", P.m_configVersion);
  for (const model::ConfigRecord &R : P.m_records)
    Out += fmt::format("{} {} version {} schema {} by {}: {}\n",
                       base::nameOf(R.m_kind), R.m_name, R.m_version,
                       R.m_schema, R.m_author.empty() ? "-" : R.m_author,
                       base::dumpJson(R.m_body));
  return Out;
}

std::string renderCheck(const ConfigCheck &C) {
  std::string Out = C.m_accepted ? "would be accepted\n" : "would be refused";
  if (!C.m_accepted && C.m_error)
    Out += fmt::format(": {}: {}\n", base::nameOf(*C.m_error), C.m_message);
  Out += fmt::format("current    version {}\n", C.m_currentVersion);
  Out += fmt::format("guarantees {} -> {} of {} accelerators\n",
                     C.m_guaranteedBefore, C.m_guaranteedAfter, C.m_capacity);
  for (const GuaranteeChange &G : C.m_accounts)
    Out += fmt::format("account    {}: {} -> {}\n", G.m_account, G.m_before,
                       G.m_after);
  return Out;
}

std::string renderPublished(const PublishResult &P) {
  return fmt::format("accepted, configuration version {}\n", P.m_configVersion);
}

std::string renderDiff(const model::ConfigRecord &Old,
                       const model::ConfigRecord &New) {
  std::string Out;
  if (Old.m_schema != New.m_schema)
    Out += fmt::format("schema: {} -> {}\n", Old.m_schema, New.m_schema);
  appendDifferences("", Old.m_body, New.m_body, Out);
  return Out;
}

} // namespace pomelokeel::report
