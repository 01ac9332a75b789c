#include "restart_simulation_processes.h"

#include <fmt/format.h>

namespace pomelokeel::batch::tests {
namespace {

constexpr int MaxJobs = 10;
constexpr Millis CallerWaitMs = 3000;

CallerRequest requestOf(CallerRequestKind Kind, const std::string &Id) {
  CallerRequest R;
  R.m_kind = Kind;
  R.m_id = Id;
  return R;
}

} // namespace

void RestartSimulation::submitJob() {
  if (m_jobs.size() >= MaxJobs)
    return;
  auto J = std::make_unique<Job>();
  JobSpec &S = J->m_spec;
  S.m_id = fmt::format("{:016x}", m_jobs.size() + 1);
  S.m_payload = "payload of " + S.m_id;
  const Millis Steps = between(1, 3);
  for (int I = 0; I < Steps; ++I) {
    Step Each;
    Each.m_count = between(1, 4);
    Each.m_each = {1000, 100, between(1, 4)};
    Each.m_estimateMs = between(500, 3000);
    Each.m_gang = Each.m_count > 1 && chance(0.5);
    if (I > 0 && chance(0.7))
      Each.m_dependencies = {static_cast<int>(between(0, I - 1))};
    S.m_steps.push_back(Each);
  }
  J->m_attempts = static_cast<int>(between(1, 3));
  J->m_hopeless = chance(0.1);
  const std::string Id = S.m_id;
  m_jobs[Id] = std::move(J);
  sendSubmission(Id);
  if (!m_options.m_callersGiveUp || chance(0.5))
    return;
  after(between(5, 1500), [this, Id] { giveUp(Id); });
  after(between(5, 9000), [this, Id] { sendCopy(Id); });
}

void RestartSimulation::giveUp(const std::string &Id) {
  Job &J = *m_jobs[Id];
  if (J.m_accepted || J.m_givenUp)
    return;
  J.m_givenUp = true;
  sendCancel(Id);
}

// A copy that waited somewhere. Its caller does not hear of the answer.
void RestartSimulation::sendCopy(const std::string &Id) {
  Job &J = *m_jobs[Id];
  CallerRequest R = requestOf(CallerRequestKind::Submit, Id);
  R.m_spec = J.m_spec;
  ++J.m_openSubmissions;
  ask(R, [this, Id, &J](const CallerReply &Reply) {
    --J.m_openSubmissions;
    log(Id, fmt::format("copy of the submission is answered {}",
                        base::nameOf(Reply.m_verdict)));
    if (!isRefusal(Reply.m_verdict))
      ++J.m_unrefused;
  });
}

void RestartSimulation::ask(
    CallerRequest R, const std::function<void(const CallerReply &)> &Then) {
  R.m_queue.m_name = "q";
  R.m_queue.m_service = "s";
  R.m_queue.m_priority = 1;
  R.m_queue.m_attempts = m_jobs[R.m_id]->m_attempts;
  R.m_account = "acc";
  R.m_remainingMs = CallerWaitMs;
  LeaderProcess *L = currentLeader();
  if (L == nullptr) {
    CallerReply Refused;
    Refused.m_verdict = Verdict::Unavailable;
    after(1, [Then, Refused] { Then(Refused); });
    return;
  }
  auto Open = std::make_shared<bool>(true);
  const auto Finish = [Open, Then](const CallerReply &Reply) {
    if (std::exchange(*Open, false))
      Then(Reply);
  };
  // The default reply has the verdict Unknown.
  after(CallerWaitMs + 100, [Finish] { Finish({}); });
  after(between(1, 10), [this, R, Finish, Epoch = L->m_epoch] {
    const auto It = m_leaders.find(Epoch);
    if (It == m_leaders.end())
      return;
    It->second->m_leader->handle(
        R, m_now, wallNow(), [this, Finish](const CallerReply &Reply) {
          after(between(1, 10), [Finish, Reply] { Finish(Reply); });
        });
  });
}

void RestartSimulation::sendSubmission(const std::string &Id) {
  Job &J = *m_jobs[Id];
  CallerRequest R = requestOf(CallerRequestKind::Submit, Id);
  R.m_spec = J.m_spec;
  ++J.m_sent;
  ++J.m_openSubmissions;
  ask(R, [this, Id, &J, SentAt = m_now](const CallerReply &Reply) {
    --J.m_openSubmissions;
    log(Id, fmt::format("caller: submission is answered {} {}",
                        base::nameOf(Reply.m_verdict),
                        base::nameOf(Reply.m_phase)));
    if (!isRefusal(Reply.m_verdict))
      ++J.m_unrefused;
    if (Reply.m_verdict == Verdict::Ok) {
      J.m_accepted = true;
      handleShown(Id, Reply.m_phase, SentAt);
      // Now and then the same request arrives again.
      if (chance(0.2) && J.m_sent < 10)
        after(between(100, 6000), [this, Id] { sendSubmission(Id); });
      return;
    }
    if (isRefusal(Reply.m_verdict) && J.m_unrefused == 0 &&
        (m_calm || chance(0.3))) {
      J.m_givenUp = true;
      return;
    }
    if (!J.m_givenUp)
      after(between(200, 1500), [this, Id] { sendSubmission(Id); });
  });
}

void RestartSimulation::sendCancel(const std::string &Id) {
  Job &J = *m_jobs[Id];
  J.m_cancelSent = true;
  const CallerRequest R = requestOf(CallerRequestKind::Cancel, Id);
  ask(R, [this, Id, &J](const CallerReply &Reply) {
    log(Id, fmt::format("caller: cancellation is answered {}",
                        base::nameOf(Reply.m_verdict)));
    if (Reply.m_verdict == Verdict::Ok || Reply.m_verdict == Verdict::Gone) {
      J.m_cancelledAt = m_now;
      return;
    }
    after(between(200, 1500), [this, Id] { sendCancel(Id); });
  });
}

void RestartSimulation::sendQuery(const std::string &Id) {
  Job &J = *m_jobs[Id];
  const bool Accepted = J.m_accepted;
  const CallerRequest R = requestOf(CallerRequestKind::Query, Id);
  ask(R, [this, Id, Accepted, &J, SentAt = m_now](const CallerReply &Reply) {
    if (Reply.m_verdict == Verdict::Gone && Accepted && !J.m_cancelSent)
      fail(Id, "an accepted job is not known: " + Id);
    if (Reply.m_verdict == Verdict::Ok)
      handleShown(Id, Reply.m_phase, SentAt);
  });
}

} // namespace pomelokeel::batch::tests
