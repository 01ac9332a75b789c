#pragma once

#include "base/clock.h"
#include "base/fields.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// Types of the log records, jobs, workers, messages and worker tasks, each
/// with the table of fields that encodes and decodes it.
namespace pomelokeel::model {

using base::Json;
using base::Millis;

/// Kinds of versioned configuration records.
enum class ConfigKind { Account, JobClass, PlacementRule, Drain };

/// A number of blocks of equal size. The accelerators of a block are adjacent.
struct BlockDemand {
  int m_size = 1;  ///< Accelerators per block.
  int m_count = 0; ///< Number of blocks.

  bool operator==(const BlockDemand &) const = default;

  static constexpr auto fields() {
    return std::tuple{base::required("size", &BlockDemand::m_size),
                      base::required("count", &BlockDemand::m_count)};
  }
};

/// The guarantee and the limits of a client account.
struct Account {
  std::string m_name;
  std::vector<BlockDemand> m_guarantee;
  int m_maxAccelerators = 0; ///< Most accelerators in use; 0: no limit.
  int m_maxWaiting = 1000;   ///< Most accepted, unfinished jobs.
};

/// Steps by which an agent makes a job give up its accelerators.
enum class ReclaimStep { Checkpoint, Throttle, Stop };

/// Retry, preemption and timeout rules that the jobs of a class share.
struct JobClass {
  std::string m_name;
  bool m_urgent = false;
  bool m_idempotent = true;
  bool m_preemptible = true;
  int m_maxAttempts = 3;
  /// Delay after the first failure; it doubles with every further failure.
  Millis m_backoffMs = 1000;
  /// Time that a task may run while its agent has no contact with the leader;
  /// docs/design.md, section 4.2.
  Millis m_orphanLimitMs = 60000;
  /// Time within which all members must be ready to start.
  Millis m_startTimeoutMs = 10000;
  Millis m_checkpointTimeoutMs = 2000;
  Millis m_throttleTimeoutMs = 1000;
  Millis m_stopTimeoutMs = 2000;
};

/// How the leader chooses among the workers on which a job fits.
enum class PlacementStrategy { FirstFit, BestFit, Balanced };

/// Parameters of placement. The leader uses the rule named "default".
struct PlacementRule {
  std::string m_name = "default";
  PlacementStrategy m_strategy = PlacementStrategy::Balanced;
  double m_completionWeight = 1.0;
  double m_fragmentationWeight = 1.0;
  /// Time that a large gang waits before the leader reserves accelerators for
  /// it.
  Millis m_reserveAfterMs = 30000;
};

/// Whether an endpoint is being drained. The name of the configuration record
/// is the name of the worker.
struct Drain {
  std::string m_worker;
  bool m_draining = true;
};

/// A configuration record as an operator publishes it.
struct ConfigRecord {
  ConfigKind m_kind = ConfigKind::Account;
  std::string m_name;
  std::uint64_t m_version = 0;
  std::uint64_t m_previousVersion = 0; ///< 0 for the first version of a name.
  int m_schema = 2;
  std::string m_author;
  Json m_body = Json::object();

  static constexpr auto fields() {
    return std::tuple{
        base::required("kind", &ConfigRecord::m_kind),
        base::required("name", &ConfigRecord::m_name),
        base::required("version", &ConfigRecord::m_version),
        base::required("previousVersion", &ConfigRecord::m_previousVersion),
        base::required("schema", &ConfigRecord::m_schema),
        base::optional("author", &ConfigRecord::m_author),
        base::required("body", &ConfigRecord::m_body)};
  }
};

/// These functions decode and check the body of a record of their kind, in
/// schema 1 or 2. Errors: unknownSchema,
/// unknownField, wrongType, outOfRange, badRequest.
base::Result<Account> readAccount(const ConfigRecord &R);
base::Result<JobClass> readJobClass(const ConfigRecord &R);
base::Result<PlacementRule> readPlacementRule(const ConfigRecord &R);
base::Result<Drain> readDrain(const ConfigRecord &R);

/// Checks what can be checked without the replicated state: the name, the
/// version numbers and the body. Errors: those of the functions above.
base::Status checkRecord(const ConfigRecord &R);

} // namespace pomelokeel::model

namespace pomelokeel::base {
template <> struct NameTable<model::ConfigKind> {
  static constexpr std::array<std::string_view, 4> Names = {
      "account", "jobClass", "placementRule", "drain"};
};
template <> struct NameTable<model::ReclaimStep> {
  static constexpr std::array<std::string_view, 3> Names = {"checkpoint",
                                                            "throttle", "stop"};
};
template <> struct NameTable<model::PlacementStrategy> {
  static constexpr std::array<std::string_view, 3> Names = {
      "firstFit", "bestFit", "balanced"};
};
} // namespace pomelokeel::base
