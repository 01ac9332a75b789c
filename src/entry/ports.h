#pragma once

#include "base/clock.h"
#include "base/fields.h"
#include "model/message.h"

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace pomelokeel::entry {

/// The component that requested an append and receives its outcome.
enum class AppendOwner {
  Submission, ///< Id is the job.
  Request,    ///< Id is the record.
  Worker,     ///< Id is the worker.
  Member,     ///< This entry's own announcement or departure.
  Claim,
  Renewal,
  Leader,
  Snapshot,
};

struct AppendTag {
  AppendOwner m_owner = AppendOwner::Leader;
  std::string m_id;
};

/// Functions through which the core uses the other threads. No call blocks.
struct Ports {
  /// Queues an append. Its answer arrives as an AppendAnswered input. Returns
  /// false, without effect, if the queue is full.
  std::function<bool(AppendTag, const std::string &Stream,
                     std::vector<base::Json>)>
      m_append;
  /// Whether the last append was answered.
  std::function<bool()> m_logWritable;
  /// Sends a message to the process at a mesh address.
  std::function<bool(const std::string &Address, model::Message)> m_send;
  /// Keeps a link open with pings. Another call changes the interval.
  std::function<void(const std::string &Address, base::Millis PingMs)> m_keep;
  std::function<void(const std::string &Address)> m_drop;
  /// Time since the last message from an address, or -1 if none came.
  std::function<base::Millis(const std::string &Address)> m_silence;
  /// Time since the peer at an address closed the link, if the link could not
  /// be opened again since then, or else -1.
  std::function<base::Millis(const std::string &Address)> m_closedFor;
  std::function<void(const std::string &Address, const std::string &Region)>
      m_setRegion;
  /// Upper bound of the log events that were read, or are being read, and that
  /// the core has not handled yet.
  std::function<std::size_t()> m_logBacklog;
};

} // namespace pomelokeel::entry
