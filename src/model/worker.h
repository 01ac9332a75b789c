#pragma once

#include "base/fields.h"

#include <cstdint>
#include <string>
#include <vector>

namespace pomelokeel::model {

/// A worker as its agent announces it.
struct Worker {
  std::string m_name;
  std::string m_incarnation;  ///< New for every start of the agent.
  std::string m_agentAddress; ///< Mesh address of the agent.
  std::string m_agentHttp;    ///< Admin HTTP address of the agent.
  std::string m_endpoint;     ///< Address of the worker's task interface.
  std::string m_dataCentre;
  std::string m_region;
  std::string m_rack;
  int m_cores = 0;
  int m_memoryMb = 0;
  int m_accelerators = 0;
  int m_slots = 8;
  int m_connections = 64;

  bool operator==(const Worker &) const = default;

  static constexpr auto fields() {
    return std::tuple{base::required("name", &Worker::m_name),
                      base::required("incarnation", &Worker::m_incarnation),
                      base::required("agentAddress", &Worker::m_agentAddress),
                      base::optional("agentHttp", &Worker::m_agentHttp),
                      base::required("endpoint", &Worker::m_endpoint),
                      base::required("dataCentre", &Worker::m_dataCentre),
                      base::required("region", &Worker::m_region),
                      base::required("rack", &Worker::m_rack),
                      base::required("cores", &Worker::m_cores),
                      base::required("memoryMb", &Worker::m_memoryMb),
                      base::required("accelerators", &Worker::m_accelerators),
                      base::optional("slots", &Worker::m_slots),
                      base::optional("connections", &Worker::m_connections)};
  }
};

/// The leader's decision whether a worker may get work.
enum class WorkerStanding { Healthy, Quarantined, Lost };

/// An entry process as it announces itself.
struct Member {
  std::string m_name;
  std::string m_incarnation;
  std::string m_meshAddress;
  std::string m_httpAddress;
  std::string m_dataCentre;
  std::string m_region;

  bool operator==(const Member &) const = default;

  static constexpr auto fields() {
    return std::tuple{base::required("name", &Member::m_name),
                      base::required("incarnation", &Member::m_incarnation),
                      base::required("meshAddress", &Member::m_meshAddress),
                      base::required("httpAddress", &Member::m_httpAddress),
                      base::required("dataCentre", &Member::m_dataCentre),
                      base::required("region", &Member::m_region)};
  }
};

/// Answer of `GET /v1/members`.
struct MemberPage {
  std::vector<Member> m_members;
  std::string m_leader;
  std::uint64_t m_epoch = 0;
  std::uint64_t m_configVersion = 0;

  static constexpr auto fields() {
    return std::tuple{
        base::required("members", &MemberPage::m_members),
        base::required("leader", &MemberPage::m_leader),
        base::required("epoch", &MemberPage::m_epoch),
        base::required("configVersion", &MemberPage::m_configVersion)};
  }
};

} // namespace pomelokeel::model

namespace pomelokeel::base {
template <> struct NameTable<model::WorkerStanding> {
  static constexpr std::array<std::string_view, 3> Names = {
      "healthy", "quarantined", "lost"};
};
} // namespace pomelokeel::base
