#pragma once

#include "base/ring.h"
#include "http/http.h"
#include "mesh/mesh.h"
#include "model/message.h"
#include "standin/wait.h"

#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace pomelokeel::agent {

/// Test double of an entry that is also the leader. It answers reports and
/// heartbeats of agents and sends the commands of the test.
class FakeEntry {
public:
  explicit FakeEntry(const std::string &Name) {
    mesh::MeshSettings S;
    S.m_name = Name;
    S.m_listen = "127.0.0.1:0";
    S.m_heartbeatMs = 100;
    S.m_linkTimeoutMs = 1000;
    auto Mesh = mesh::Mesh::start(S, m_clock, m_counters, m_received, [] {
      return model::Heartbeat{"leader", 1, 1};
    });
    m_mesh = std::move(*Mesh);
    m_self = {Name, "i", m_mesh->address(), "", "dc1", "pacifico"};
    auto Server = http::Server::start(
        "127.0.0.1:0", {},
        [this](const http::Request &, const http::Responder &Answer) {
          http::Response R;
          R.m_body = base::encode(model::MemberPage{{m_self}}).dump();
          Answer(R);
        });
    m_server = std::move(*Server);
    m_thread = std::thread([this] { run(); });
  }
  ~FakeEntry() {
    m_received.close();
    m_thread.join();
    m_mesh->stop();
    m_server->stop(0);
  }

  std::string http() const { return m_server->address(); }

  /// Sets the answer to reports and heartbeats. While m_silent is set, there
  /// are no answers.
  void answerWith(model::AttachAnswer A) {
    const std::lock_guard Lock(m_mutex);
    m_answer = std::move(A);
  }
  std::atomic<bool> m_silent = false;
  /// Ignores reports, as if they were lost. Heartbeats still arrive.
  std::atomic<bool> m_loseReports = false;
  std::atomic<int> m_lostReports = 0;
  std::atomic<int> m_heartbeats = 0;
  std::atomic<std::uint64_t> m_epoch = 5;

  std::optional<model::AgentReport> report(const std::string &Worker) const {
    const std::lock_guard Lock(m_mutex);
    const auto It = m_reports.find(Worker);
    return It == m_reports.end() ? std::nullopt : std::optional(It->second);
  }
  /// Deletes all reports, as a restart of an entry does.
  void deleteReports() {
    const std::lock_guard Lock(m_mutex);
    m_reports.clear();
  }
  std::optional<model::Hold> hold(const std::string &Worker,
                                  const std::string &Job) const {
    const auto R = report(Worker);
    for (const model::Hold &H : R ? R->m_holds : std::vector<model::Hold>()) {
      if (H.m_job == Job)
        return H;
    }
    return std::nullopt;
  }
  /// Waits until the agent reports the job in \p State.
  bool reportsState(const std::string &Worker, const std::string &Job,
                    model::HoldState State,
                    base::Millis DeadlineMs = 10000) const {
    return standin::eventually(
        [&] {
          const auto H = hold(Worker, Job);
          return H && H->m_state == State;
        },
        DeadlineMs);
  }

  /// Sends a command up to 20 times until the agent replies.
  std::optional<model::CommandReply> sendCommand(const std::string &Worker,
                                                 const model::Command &C) {
    const auto R = report(Worker);
    if (!R)
      return std::nullopt;
    const std::uint64_t Id = ++m_requests;
    std::optional<model::CommandReply> Out;
    for (int Try = 0; Try < 20 && !Out; ++Try) {
      model::Message M =
          model::makeMessage(model::MessageKind::Command, Worker, C);
      M.m_epoch = m_epoch;
      M.m_requestId = Id;
      m_mesh->send(R->m_worker.m_agentAddress, std::move(M));
      standin::eventually(
          [&] {
            const std::lock_guard Lock(m_mutex);
            const auto It = m_replies.find(Id);
            if (It != m_replies.end())
              Out = It->second;
            return Out.has_value();
          },
          500);
    }
    return Out;
  }
  bool accepts(const std::string &Worker, const model::Command &C) {
    const auto Reply = sendCommand(Worker, C);
    return Reply && Reply->m_accepted;
  }

private:
  void run() {
    while (!m_received.closed()) {
      const auto In = m_received.pop(std::chrono::milliseconds(50));
      if (In)
        handle(In->m_message);
    }
  }
  void handle(const model::Message &M) {
    using model::MessageKind;
    const std::lock_guard Lock(m_mutex);
    if (M.m_kind == MessageKind::CommandReply) {
      model::CommandReply R;
      if (base::decodeCompact(M.m_body, "", R))
        m_replies[M.m_requestId] = R;
      return;
    }
    const bool Attach = M.m_kind == MessageKind::Attach;
    model::AttachAnswer Answer = m_answer;
    if (m_silent)
      return;
    if (M.m_kind == MessageKind::AgentHeartbeat) {
      const auto H = model::readBody<model::AgentHeartbeat>(M);
      const auto It = m_reports.find(M.m_from);
      Answer.m_reportWanted =
          !H || It == m_reports.end() ||
          H->m_sequence != It->second.m_sequence ||
          H->m_incarnation !=
              model::incarnationHash(It->second.m_worker.m_incarnation);
      ++m_heartbeats;
    } else if (M.m_kind == MessageKind::Report || Attach) {
      if (m_loseReports) {
        ++m_lostReports;
        return;
      }
      const auto R = model::readBody<model::AgentReport>(M);
      if (!R)
        return;
      m_reports[R->m_worker.m_name] = *R;
    } else {
      return;
    }
    model::Message Out = model::makeMessage(Attach ? MessageKind::Attached
                                                   : MessageKind::ReportAck,
                                            M.m_from, Answer);
    Out.m_epoch = m_epoch;
    Out.m_requestId = M.m_requestId;
    m_mesh->send(M.m_replyAddress, std::move(Out));
  }

  base::HybridClock m_clock;
  base::Counters m_counters;
  base::Ring<mesh::Incoming> m_received{1024};
  std::unique_ptr<mesh::Mesh> m_mesh;
  std::unique_ptr<http::Server> m_server;
  model::Member m_self;
  mutable std::mutex m_mutex;
  model::AttachAnswer m_answer{true, "", {}, 1, false, 0};
  std::map<std::string, model::AgentReport> m_reports;
  std::map<std::uint64_t, model::CommandReply> m_replies;
  std::atomic<std::uint64_t> m_requests = 0;
  std::thread m_thread;
};

} // namespace pomelokeel::agent
