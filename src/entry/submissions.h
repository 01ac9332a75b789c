#pragma once

#include "base/clock.h"
#include "http/http.h"
#include "logclient/logclient.h"
#include "model/record.h"
#include "state/state.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pomelokeel::entry {

using base::Millis;

/// A caller that waits for an answer.
struct Waiter {
  http::Responder m_respond;
  /// Monotonic time at which the caller is answered with what is known.
  Millis m_deadlineMs = 0;
  Millis m_acceptMs = 0; ///< Deadline until its record is read back, if later.
  bool m_forOutcome = false; ///< Waits until the job is finished, not only
                             ///< until it is accepted.
};

struct SubmissionLimits {
  std::size_t m_pending = 4096; ///< Submissions not yet read back.
  std::size_t m_waiters = 4096;
  /// How long an unconfirmed submission is kept after its last append, so that
  /// callers who poll this entry do not get "not found".
  Millis m_keepMs = 60000;
};

/// Submissions that were appended but not read back, and callers that wait for
/// them or for the outcome of an accepted job. Answers every caller exactly
/// once. Uses no sockets and no clock.
class Submissions {
public:
  explicit Submissions(SubmissionLimits Limits);

  /// Registers a submission whose key is not in the state. Returns the body of
  /// the record to append. Returns nothing if the caller was answered
  /// (queueFull, versionConflict) or joined an append in flight for the same
  /// key.
  std::optional<model::Submission> submit(const model::JobSpec &Spec, Waiter W,
                                          Millis NowMs);

  /// Handles the answer to the append for \p Job.
  void onAppendAnswered(const std::string &Job,
                        const logclient::AppendOutcome &Outcome, Millis NowMs);

  /// Handles a jobSubmitted record that was applied to \p S. The state may have
  /// ignored it because another entry's record for the same key came first.
  void onApplied(const state::State &S, const model::Submission &Record);

  /// Answers every caller whose answer is in \p S, after a snapshot replaced
  /// the state.
  void onSnapshotLoaded(const state::State &S);

  /// Waits for the outcome of an accepted job. Answers at once if it is
  /// finished or if there are too many waiters.
  void await(const model::Job &J, Waiter W);

  /// Answers a poll for a key that is not in the state, or lets it wait.
  /// Returns false if no submission for the key is pending.
  bool awaitKey(const std::string &Account, const std::string &Key, Waiter &W);

  /// Answers the callers that wait for the outcome of \p J.
  void onFinished(const model::Job &J);

  /// Answers callers whose deadline has passed.
  void tick(const state::State &S, Millis NowMs);

  /// Answers all callers with what is known.
  void answerAll(const state::State &S);

  /// True if a submission for this key is not known to have taken effect or
  /// failed.
  bool isPending(const std::string &Account, const std::string &Key) const;

  /// Submissions whose append has no answer yet.
  std::size_t inFlight() const;

  std::size_t pending() const { return m_pending.size(); }
  std::size_t waiters() const { return m_waiterCount; }

private:
  struct Pending {
    std::string m_job;
    model::JobSpec m_spec;
    int m_appends = 0;            ///< In flight.
    bool m_mayHaveEffect = false; ///< An append may have taken effect.
    Millis m_lastAppendMs = 0;    ///< Last append or its answer.
    std::vector<Waiter> m_waiters;
  };
  using Key = std::pair<std::string, std::string>; ///< Account and key.

  /// Both answer the caller and return true if they reject it.
  bool rejectIfConflicting(const model::JobSpec &Known,
                           const model::JobSpec &Given, const Waiter &W) const;
  bool rejectIfFull(const Waiter &W) const;
  void attachToJob(Pending P, const model::Job &J);
  void answerPending(Pending &P, const http::Response &R);
  void expirePending(Millis NowMs);

  SubmissionLimits m_limits;
  std::map<Key, Pending> m_pending;
  std::map<std::string, Key> m_keyByJob;
  std::map<std::string, std::vector<Waiter>> m_outcomes; ///< By job.
  std::size_t m_waiterCount = 0;
};

/// Requests that are answered after their record was read back: published
/// configuration and cancellations. Answers every caller exactly once.
class PendingRecords {
public:
  /// Builds the answer after the record was applied to the state.
  using Answer = std::function<http::Response(const state::State &,
                                              const state::Applied &)>;

  explicit PendingRecords(std::size_t Limit);

  bool full() const { return m_pending.size() >= m_limit; }

  void add(const std::string &RecordId, Waiter W, Answer A);

  /// Handles the answer to an append. A failure without effect is reported at
  /// once; after an unconfirmed append the caller waits for the record until
  /// its deadline.
  void onAppendAnswered(const std::string &RecordId,
                        const logclient::AppendOutcome &Outcome);

  /// Answers the caller of a record that was applied to \p S.
  void onApplied(const state::State &S, const std::string &RecordId,
                 const state::Applied &A);

  /// Answers callers whose deadline has passed.
  void tick(Millis NowMs);

  /// Answers all callers with an error: their record is unconfirmed.
  void answerAll();

  std::size_t size() const { return m_pending.size(); }

private:
  struct Pending {
    Waiter m_waiter;
    Answer m_answer;
  };

  std::size_t m_limit;
  std::map<std::string, Pending> m_pending;
};

} // namespace pomelokeel::entry
