#include "restart_simulation_processes.h"

#include <fmt/format.h>

namespace pomelokeel::batch::tests {
namespace {

constexpr Millis AppendTimeoutMs = 1000;

} // namespace

void RestartSimulation::Journal::append(
    const JournalBatch &B, const std::function<void(AppendOutcome)> &Done) {
  RestartSimulation &S = m_simulation;
  const auto Answer = [&S, Done](Millis Ms, AppendOutcome O) {
    S.after(Ms, [Done, O] { Done(O); });
  };
  const auto ApplyLater = [&S, this, B] {
    S.after(S.between(300, 4000), [this, B] { apply(B); });
  };
  if (m_mode == Mode::Refusing)
    return Answer(S.between(1, 20), AppendOutcome::NotDone);
  if (m_mode == Mode::Silent) {
    if (S.chance(0.2))
      ApplyLater();
    return Answer(AppendTimeoutMs, AppendOutcome::Unknown);
  }
  if (m_mode == Mode::Lossy && S.chance(0.6)) {
    if (S.chance(0.3))
      return Answer(S.between(1, 20), AppendOutcome::NotDone);
    if (S.chance(0.5))
      apply(B);
    else if (S.chance(0.5))
      ApplyLater();
    return Answer(AppendTimeoutMs, AppendOutcome::Unknown);
  }
  S.after(S.between(2, 30), [this, &S, B, Done] {
    const AppendOutcome O = apply(B);
    S.after(S.between(1, 10), [Done, O] { Done(O); });
  });
}

AppendOutcome RestartSimulation::Journal::apply(const JournalBatch &B) {
  if (B.m_epoch < m_epoch)
    return AppendOutcome::Fenced;
  if (B.m_number <= m_last)
    return AppendOutcome::Done; // A repeated append.
  if (B.m_number != m_last + 1) {
    m_simulation.fail("", fmt::format("batch {} of epoch {} follows batch {}",
                                      B.m_number, B.m_epoch, m_last));
    return AppendOutcome::Fenced;
  }
  m_last = B.m_number;
  for (const KeyedRecord &R : B.m_records) {
    if (R.m_value.empty())
      m_records.erase(R.m_key);
    else
      m_records[R.m_key] = R.m_value;
    m_simulation.log(R.m_key.substr(R.m_key.find('/') + 1),
                     fmt::format("store: epoch {} batch {} {} = {}", B.m_epoch,
                                 B.m_number, R.m_key, R.m_value));
  }
  return AppendOutcome::Done;
}

void RestartSimulation::Journal::fence(std::uint64_t Epoch) {
  m_epoch = Epoch;
  m_last = 0;
}

} // namespace pomelokeel::batch::tests
