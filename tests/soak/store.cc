#include "soak/store.h"

#include "base/json.h"
#include "platform/names.h"

#include <boost/beast/core/detail/base64.hpp>

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace pomelokeel::soak {
namespace {

using base::Json;
namespace names = platform::names;

constexpr Millis TickMs = 50;
constexpr Millis SlowDelayMs = 300;
/// Each process has several reads that wait.
constexpr std::size_t MaxConnections = 4096;
constexpr std::size_t LengthBytes = 4;
constexpr std::size_t OffsetBytes = 8;

std::string bigEndian(std::uint64_t Value, std::size_t Bytes) {
  std::string Out;
  for (std::size_t I = Bytes; I-- > 0;)
    Out += static_cast<char>(Value >> (I * 8));
  return Out;
}

std::size_t readLength(const std::string &Body, std::size_t At) {
  std::size_t Out = 0;
  for (std::size_t I = 0; I < LengthBytes; ++I)
    Out = (Out << 8) | static_cast<unsigned char>(Body[At + I]);
  return Out;
}

http::Response jsonResponse(int Status, const Json &Body) {
  return {Status, base::dumpJson(Body), "application/json", {}};
}

std::int64_t queryNumber(const http::Request &R, const char *Name) {
  const std::string Text = http::queryOf(R.m_target, Name);
  return Text.empty() ? 0 : std::stoll(Text);
}

std::string encodeBase64(const std::string &Bytes) {
  namespace b64 = boost::beast::detail::base64;
  std::string Out(b64::encoded_size(Bytes.size()), '\0');
  Out.resize(b64::encode(Out.data(), Bytes.data(), Bytes.size()));
  return Out;
}

} // namespace

Store::Store(http::Reactor &R, const std::string &Address)
    : m_reactor(R), m_tick(R.timer()) {
  http::ServerLimits Limits;
  Limits.m_maxConnections = MaxConnections;
  auto Started = http::Server::start(
      R, Address, Limits,
      [this](const http::Request &Request, const http::Responder &Answer) {
        serve(Request, Answer);
      });
  if (!Started)
    throw std::runtime_error(base::toString(Started.error()));
  m_server = std::move(*Started);
  tick();
}

void Store::tick() {
  m_tick->start(TickMs, [this] { tick(); });
  const Millis Now = base::bootNow();
  const std::size_t Before = m_members.size();
  std::erase_if(m_members, [&](const auto &M) { return M.second < Now; });
  m_generation += Before == m_members.size() ? 0 : 1;
  answerReads();
}

void Store::serve(const http::Request &R, const http::Responder &Answer) {
  if (m_fault == StoreFault::Refuses)
    return Answer(jsonResponse(503, Json::object()));
  const std::string Path = http::pathOf(R.m_target);
  if (m_fault == StoreFault::Silent ||
      (m_fault == StoreFault::SilentAppends && Path == names::LogAppend)) {
    // The sender's timeout ends the call before these 20 s have passed.
    m_pendingReads.push_back({"", 0, base::bootNow() + 20000, Answer});
    return;
  }
  if (Path == names::LogRead) {
    m_pendingReads.push_back({http::queryOf(R.m_target, "topic"),
                              static_cast<std::size_t>(queryNumber(R, "from")),
                              base::bootNow() + queryNumber(R, "waitMs"),
                              Answer});
    return answerReads();
  }
  http::Response Out = jsonResponse(404, Json::object());
  if (Path == names::LogAppend)
    Out = append(R);
  else if (Path == names::LogNewest)
    Out = newest(R);
  else if (Path == names::LogJoin)
    Out = join(R);
  else if (Path == names::LogLeave)
    Out = leave(R);
  else if (Path == names::LogOwners)
    Out = owners();
  if (m_fault == StoreFault::LosesAnswers && ++m_handledRequests % 2 == 0)
    return Answer(http::noAnswer());
  if (m_fault != StoreFault::Slow)
    return Answer(std::move(Out));
  const std::shared_ptr<http::Timer> Delay = m_reactor.timer();
  http::Timer &T = *Delay;
  T.start(SlowDelayMs, [Delay, Answer, Out = std::move(Out)] { Answer(Out); });
}

void Store::put(const std::string &Topic, const std::string &Key,
                const std::string &Value) {
  add(m_topics[Topic], static_cast<char>(Key.size()) + Key + Value);
  answerReads();
}

void Store::add(Topic &T, const std::string &Bytes) {
  const auto KeySize = static_cast<std::size_t>(
      Bytes.empty() ? 0 : static_cast<unsigned char>(Bytes[0]));
  const std::string Key = Bytes.substr(1, KeySize);
  const std::string Value = Bytes.substr(1 + KeySize);
  if (Value.empty())
    T.m_newest.erase(Key);
  else
    T.m_newest[Key] = {Value, T.m_records.size()};
  T.m_records.push_back({Bytes});
}

http::Response Store::append(const http::Request &R) {
  Topic &T = m_topics[http::queryOf(R.m_target, "topic")];
  const auto End = static_cast<std::int64_t>(T.m_records.size());
  if (!http::queryOf(R.m_target, "at").empty() && queryNumber(R, "at") != End)
    return jsonResponse(412, {{"end", End}});
  const std::string Name = http::queryOf(R.m_target, "producer");
  if (!Name.empty()) {
    Producer &P = T.m_producers[Name];
    const auto Epoch = static_cast<std::uint64_t>(queryNumber(R, "epoch"));
    const std::int64_t Sequence = queryNumber(R, "seq");
    if (Epoch < P.m_epoch)
      return jsonResponse(409, {{"reason", "fenced"}});
    if (Epoch > P.m_epoch)
      P = {Epoch, Sequence, {}};
    if (R.m_body.empty())
      return jsonResponse(200, {{"offset", End}, {"end", End}});
    if (const auto It = P.m_offsets.find(Sequence); It != P.m_offsets.end())
      return jsonResponse(200, {{"offset", It->second}, {"end", End}});
    if (!P.m_offsets.empty() && Sequence != P.m_nextSequence)
      return jsonResponse(409, {{"reason", "seq"}, {"seq", P.m_nextSequence}});
    P.m_offsets[Sequence] = End;
    P.m_nextSequence = Sequence + 1;
  }
  for (std::size_t At = 0; At + LengthBytes <= R.m_body.size();) {
    const std::size_t Size = readLength(R.m_body, At);
    add(T, R.m_body.substr(At + LengthBytes, Size));
    At += LengthBytes + Size;
  }
  answerReads();
  return jsonResponse(200, {{"offset", End}, {"end", T.m_records.size()}});
}

http::Response Store::newest(const http::Request &R) {
  constexpr std::size_t PageItems = 500;
  const Topic &T = m_topics[http::queryOf(R.m_target, "topic")];
  Json Items = Json::array();
  auto It = T.m_newest.upper_bound(http::queryOf(R.m_target, "after"));
  for (; It != T.m_newest.end() && Items.size() < PageItems; ++It)
    Items.push_back({{"key", It->first},
                     {"value", encodeBase64(It->second.first)},
                     {"offset", It->second.second}});
  return jsonResponse(200, {{"items", Items},
                            {"hasMore", It != T.m_newest.end()},
                            {"end", T.m_records.size()}});
}

http::Response Store::join(const http::Request &R) {
  const Json J = base::parseJson(R.m_body);
  const auto [It, New] = m_members.try_emplace(J.value("member", ""));
  It->second = base::bootNow() + J.value("ttlMs", Millis(1000));
  m_generation += New ? 1 : 0;
  return jsonResponse(200,
                      {{"generation", m_generation}, {"parts", Json::array()}});
}

http::Response Store::leave(const http::Request &R) {
  const Json J = base::parseJson(R.m_body);
  m_generation += m_members.erase(J.value("member", "")) > 0 ? 1 : 0;
  return jsonResponse(200, Json::object());
}

http::Response Store::owners() const {
  Json Rows = Json::array();
  int Partition = 0;
  for (const auto &[Member, ExpiresAt] : m_members)
    Rows.push_back({names::LeadersTopic, Partition++, Member, 0});
  return jsonResponse(200, {{"owners", Rows}});
}

void Store::answerReads() {
  const Millis Now = base::bootNow();
  std::vector<std::pair<http::Responder, http::Response>> Ready;
  std::erase_if(m_pendingReads, [&](PendingRead &Read) {
    const bool Expired = Now >= Read.m_deadline;
    if (Read.m_topic.empty()) {
      if (Expired)
        Ready.emplace_back(std::move(Read.m_answer), http::noAnswer());
      return Expired;
    }
    const Topic &T = m_topics[Read.m_topic];
    if (Read.m_from >= T.m_records.size() && !Expired)
      return false;
    std::string Out =
        bigEndian(T.m_records.size(), OffsetBytes) + bigEndian(0, OffsetBytes);
    for (std::size_t I = Read.m_from; I < T.m_records.size(); ++I)
      Out += bigEndian(T.m_records[I].m_bytes.size(), LengthBytes) +
             T.m_records[I].m_bytes;
    Ready.emplace_back(
        std::move(Read.m_answer),
        http::Response{200, std::move(Out), "application/octet-stream", {}});
    return true;
  });
  for (auto &[Answer, Response] : Ready)
    Answer(std::move(Response));
}

} // namespace pomelokeel::soak
