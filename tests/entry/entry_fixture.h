#pragma once

#include "base/clock.h"
#include "entry/process.h"
#include "http/http.h"
#include "mesh/mesh.h"
#include "report/status.h"
#include "standin/log.h"

#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <variant>

namespace pomelokeel::entry {

using base::Json;
using base::Millis;

constexpr int TestDeadlineMs = 20000;

/// Waits until \p Done holds. Returns false after the deadline.
inline bool waitUntil(const std::function<bool()> &Done) {
  const Millis End = base::monotonicNow() + TestDeadlineMs;
  while (base::monotonicNow() < End) {
    if (Done())
      return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return false;
}

/// One HTTP call on a new connection. Returns status 0 if there is no answer.
inline http::Response call(const std::string &Address,
                           const std::string &Method, const std::string &Target,
                           const Json &Body = Json()) {
  const auto Client = http::Client::create(Address);
  http::Request R{Method, Target, Body.is_null() ? "" : Body.dump()};
  auto Outcome = Client->call(R, TestDeadlineMs);
  if (auto *Answer = std::get_if<http::Response>(&Outcome))
    return *Answer;
  return {0, std::get<http::CallError>(Outcome).m_error.m_message, ""};
}

inline Json jsonOf(const http::Response &R) {
  return Json::parse(R.m_body, nullptr, false);
}

/// The error kind of an answer, or "".
inline std::string kindOf(const http::Response &R) {
  const Json J = jsonOf(R);
  return J.is_object() && J.contains("error") ? J["error"]["kind"] : "";
}

/// Entries that run in this process and share one log stand-in.
class EntryFleet {
public:
  explicit EntryFleet(const standin::LogOptions &Log = {}) : m_log(Log) {}

  settings::EntrySettings settings(const std::string &Name) const {
    settings::EntrySettings S;
    S.m_name = Name;
    S.m_dataCentre = "milano-a";
    S.m_region = "nord-ovest";
    S.m_httpListen = "127.0.0.1:0";
    S.m_meshListen = "127.0.0.1:0";
    S.m_logService = m_log.address();
    S.m_logTimeoutMs = 500;
    S.m_leaderTimeoutMs = 600;
    S.m_heartbeatMs = 100;
    S.m_linkTimeoutMs = 500;
    S.m_agentTimeoutMs = 1000;
    S.m_stopGraceMs = 3000;
    return S;
  }

  EntryProcess &add(const std::string &Name) { return add(settings(Name)); }

  EntryProcess &add(const settings::EntrySettings &S) {
    auto Started = EntryProcess::start(S);
    EXPECT_TRUE(Started.ok());
    m_entries[S.m_name] = std::move(*Started);
    return *m_entries[S.m_name];
  }

  EntryProcess &at(const std::string &Name) { return *m_entries.at(Name); }

  http::Response call(const std::string &Name, const std::string &Method,
                      const std::string &Target, const Json &Body = Json()) {
    return entry::call(at(Name).httpAddress(), Method, Target, Body);
  }

  report::Status status(const std::string &Name) {
    const auto Parsed =
        base::parse<report::Status>(call(Name, "GET", "/v1/status").m_body);
    return Parsed ? *Parsed : report::Status();
  }

  bool awaitReady(const std::string &Name) {
    return waitUntil([&] { return status(Name).m_ready; });
  }

  bool awaitLeader(const std::string &Name) {
    return waitUntil([&] { return status(Name).m_role == "leader"; });
  }

  /// Publishes a record and returns the answer.
  http::Response publish(const std::string &Name, const std::string &Kind,
                         const std::string &Record, int Previous,
                         const Json &Body) {
    return call(Name, "POST", "/v1/config",
                {{"kind", Kind},
                 {"name", Record},
                 {"version", Previous + 1},
                 {"previousVersion", Previous},
                 {"schema", 2},
                 {"author", "test"},
                 {"body", Body}});
  }

  /// Publishes an account and a job class.
  void configure(const std::string &Name) {
    EXPECT_EQ(
        publish(Name, "account", "acct", 0, {{"guarantee", Json::array()}})
            .m_status,
        200);
    EXPECT_EQ(publish(Name, "jobClass", "batch", 0, Json::object()).m_status,
              200);
  }

  static Json job(const std::string &Key) {
    return {{"key", Key}, {"account", "acct"}, {"class", "batch"}};
  }

  http::Response submit(const std::string &Name, const std::string &Key,
                        const std::string &Query = "") {
    return call(Name, "POST", "/v1/jobs" + Query, job(Key));
  }

  /// Records of \p Kind in the log.
  std::size_t records(const std::string &Kind) const {
    std::size_t Count = 0;
    for (const Json &V : m_log.values("records"))
      Count += V["kind"] == Kind ? 1 : 0;
    return Count;
  }

  standin::LogStandin m_log;
  std::map<std::string, std::unique_ptr<EntryProcess>> m_entries;
};

/// An agent that runs no task: it accepts and records every command, updates
/// its holds accordingly and reports them.
class FakeAgent {
public:
  explicit FakeAgent(const std::string &Name) : m_received(256) {
    mesh::MeshSettings S;
    S.m_name = Name;
    S.m_listen = "127.0.0.1:0";
    S.m_heartbeatMs = 100;
    S.m_linkTimeoutMs = 500;
    auto Started = mesh::Mesh::start(S, m_clock, m_counters, m_received, [] {
      model::Heartbeat H;
      H.m_role = "agent";
      return H;
    });
    m_mesh = std::move(*Started);
    model::Worker &W = m_report.m_worker;
    W.m_name = Name;
    W.m_incarnation = "1";
    W.m_agentAddress = m_mesh->address();
    W.m_endpoint = "127.0.0.1:1";
    W.m_dataCentre = "milano-a";
    W.m_region = "nord-ovest";
    W.m_rack = "r1";
    W.m_cores = 32;
    W.m_memoryMb = 64000;
    W.m_accelerators = 8;
  }

  ~FakeAgent() { m_mesh->stop(); }

  void send(const EntryProcess &Entry, model::MessageKind Kind) {
    ++m_report.m_sequence;
    model::Message M = model::makeMessage(Kind, "", m_report);
    M.m_requestId = ++m_lastRequest;
    m_mesh->send(Entry.meshAddress(), std::move(M));
  }

  /// Sends reports to \p Entry, answering commands, until \p Done holds.
  bool reportUntil(const EntryProcess &Entry,
                   const std::function<bool()> &Done) {
    Millis Next = 0;
    return waitUntil([&] {
      if (base::monotonicNow() >= Next) {
        send(Entry, model::MessageKind::Report);
        Next = base::monotonicNow() + 100;
      }
      while (auto In = m_received.pop(std::chrono::milliseconds(1)))
        onMessage(In->m_message);
      return Done();
    });
  }

  /// Latest answer of an entry.
  model::AttachAnswer m_answer;
  std::vector<model::Command> m_commands;
  std::vector<std::uint64_t> m_commandEpochs;
  model::AgentReport m_report;

private:
  void onMessage(const model::Message &M) {
    if (M.m_kind == model::MessageKind::Attached ||
        M.m_kind == model::MessageKind::ReportAck)
      (void)base::decodeCompact(M.m_body, "", m_answer);
    if (M.m_kind != model::MessageKind::Command)
      return;
    model::Command C;
    if (!base::decodeCompact(M.m_body, "", C))
      return;
    m_commands.push_back(C);
    m_commandEpochs.push_back(M.m_epoch);
    applyCommand(C);
    model::CommandReply Reply;
    Reply.m_kind = C.m_kind;
    Reply.m_worker = m_report.m_worker.m_name;
    Reply.m_job = C.m_job;
    Reply.m_attempt = C.m_attempt;
    Reply.m_member = C.m_member;
    Reply.m_accepted = true;
    Reply.m_incarnation = m_report.m_worker.m_incarnation;
    Reply.m_sequence = m_report.m_sequence;
    model::Message Out =
        model::makeMessage(model::MessageKind::CommandReply, M.m_from, Reply);
    Out.m_requestId = M.m_requestId;
    m_mesh->send(M.m_replyAddress, std::move(Out));
  }

  // Started tasks succeed at once with their payload as the answer.
  void applyCommand(const model::Command &C) {
    auto &Holds = m_report.m_holds;
    std::erase_if(Holds, [&](const model::Hold &H) {
      return H.m_job == C.m_job && H.m_attempt == C.m_attempt;
    });
    if (C.m_kind == model::CommandKind::Release)
      return;
    model::Hold H;
    H.m_job = C.m_job;
    H.m_attempt = C.m_attempt;
    H.m_member = C.m_member;
    H.m_fence = C.m_fence;
    if (C.m_kind == model::CommandKind::Start) {
      H.m_state = model::HoldState::Succeeded;
      H.m_everRan = true;
      H.m_answer = {{"done", C.m_job}};
    }
    if (C.m_kind == model::CommandKind::Stop)
      H.m_state = model::HoldState::Stopped;
    Holds.push_back(H);
  }

  base::HybridClock m_clock;
  base::Counters m_counters;
  base::Ring<mesh::Incoming> m_received;
  std::unique_ptr<mesh::Mesh> m_mesh;
  std::uint64_t m_lastRequest = 0;
};

} // namespace pomelokeel::entry
