#pragma once

#include "base/clock.h"
#include "base/fields.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// Typed records, jobs, workers and messages, with their codecs.
namespace pomelokeel::model {

using base::Json;
using base::Millis;

/// Kinds of versioned configuration records.
enum class ConfigKind { Account, JobClass, PlacementRule, Drain };

/// A number of blocks of adjacent accelerators of one size.
struct BlockDemand {
  int m_size = 1; ///< Accelerators per block.
  int m_count = 0;

  bool operator==(const BlockDemand &) const = default;

  static constexpr auto fields() {
    return std::tuple{base::required("size", &BlockDemand::m_size),
                      base::required("count", &BlockDemand::m_count)};
  }
};

/// A client account.
struct Account {
  std::string m_name;
  std::vector<BlockDemand> m_guarantee;
  int m_maxAccelerators = 0; ///< Quota of accelerators in use; 0 is no limit.
  int m_maxWaiting = 1000;   ///< Accepted jobs that have not finished.
};

/// What an agent does first when a job must give up its accelerators.
enum class ReclaimStep { Checkpoint, Throttle, Stop };

/// A class of jobs.
struct JobClass {
  std::string m_name;
  bool m_urgent = false;
  bool m_idempotent = true;
  bool m_preemptible = true;
  int m_maxAttempts = 3;
  Millis m_backoffMs = 1000;       ///< Before the second attempt; doubles.
  Millis m_orphanLimitMs = 60000;  ///< See docs/design.md, 4.2.
  Millis m_startTimeoutMs = 10000; ///< For all members to be ready.
  Millis m_checkpointTimeoutMs = 2000;
  Millis m_throttleTimeoutMs = 1000;
  Millis m_stopTimeoutMs = 2000;
};

/// Ways to choose among workers that fit.
enum class PlacementStrategy { FirstFit, BestFit, Balanced };

/// The placement rule named "default" steers the leader.
struct PlacementRule {
  std::string m_name = "default";
  PlacementStrategy m_strategy = PlacementStrategy::Balanced;
  double m_completionWeight = 1.0;
  double m_fragmentationWeight = 1.0;
  Millis m_reserveAfterMs = 30000; ///< Waiting time until a large gang gets a
                                   ///< reservation.
};

/// An endpoint that is leaving. The record's name is the worker.
struct Drain {
  std::string m_worker;
  bool m_draining = true;
};

/// A configuration record as an operator publishes it.
struct ConfigRecord {
  ConfigKind m_kind = ConfigKind::Account;
  std::string m_name;
  std::uint64_t m_version = 0;
  std::uint64_t m_previousVersion = 0; ///< 0 for a new name.
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

/// Each reads a record of its kind in schema 1 or 2. Errors: unknownSchema,
/// unknownField, wrongType, outOfRange, badRequest.
base::Result<Account> readAccount(const ConfigRecord &R);
base::Result<JobClass> readJobClass(const ConfigRecord &R);
base::Result<PlacementRule> readPlacementRule(const ConfigRecord &R);
base::Result<Drain> readDrain(const ConfigRecord &R);

/// Checks a record on its own, without the state.
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
