#include "batch/journal.h"

#include <utility>

namespace pomelokeel::batch {
namespace {

/// Pause before an append is repeated: much shorter than the time limits on the
/// acceptance of jobs (seconds), much longer than the response time of the
/// store (a few ms).
constexpr Millis RetryMs = 150;

} // namespace

JournalWriter::JournalWriter(std::uint64_t Epoch, Append Send)
    : m_append(std::move(Send)) {
  m_batch.m_epoch = Epoch;
}

void JournalWriter::write(std::vector<KeyedRecord> Records, Millis Now) {
  ++m_newest;
  m_batch.m_number = ++m_sequence;
  m_batch.m_records = std::move(Records);
  m_maybeDone = false;
  m_writtenAt = Now;
  send(Now);
}

void JournalWriter::send(Millis Now) {
  m_sending = true;
  m_retryAt = Now + RetryMs;
  m_append(m_batch);
}

void JournalWriter::onOutcome(AppendOutcome Outcome, Millis Now) {
  if (!m_sending)
    return;
  m_sending = false;
  m_retryAt = Now + RetryMs;
  switch (Outcome) {
  case AppendOutcome::Done:
    m_durable = m_newest;
    m_batch.m_records.clear();
    return;
  case AppendOutcome::Fenced:
    m_fenced = true;
    return;
  case AppendOutcome::Unknown:
    m_maybeDone = true;
    return;
  case AppendOutcome::NotDone:
    return;
  }
}

void JournalWriter::withdraw(const std::string &Key) {
  std::erase_if(m_batch.m_records, [&](const KeyedRecord &R) {
    return R.m_key == Key && !R.m_value.empty();
  });
  if (!m_batch.m_records.empty())
    return;
  m_durable = m_newest;
  --m_sequence;
}

void JournalWriter::advance(Millis Now) {
  if (busy() && !m_sending && !m_fenced && Now >= m_retryAt)
    send(Now);
}

} // namespace pomelokeel::batch
