#pragma once

#include "standin/standin.h"

#include <deque>
#include <fstream>
#include <list>

namespace pomelokeel::standin {

struct LogOptions {
  std::string m_listen = "127.0.0.1:0";
  std::uint64_t m_retentionRecords = 0; ///< Per stream; 0 keeps all.
  Millis m_retentionMs = 0;             ///< 0 keeps all.
  int m_maxAppendsPerSecond = 400;
  std::string m_file; ///< Keeps the streams over a restart; "" is memory only.
};

/// Faults in force. `POST /faults` replaces all of them.
struct LogFaults {
  bool m_outage = false; ///< No answers, no effects; connections stay open.
  bool m_refuse = false; ///< 503.
  Millis m_delayMs = 0;  ///< Of answers; effects are not delayed.
  int m_loseAppendAnswers = 0; ///< Appends left whose answer is lost.
  /// Connections that exist when this is set get no further answers.
  bool m_silentConnections = false;

  static constexpr auto fields() {
    return std::tuple{
        base::optional("outage", &LogFaults::m_outage),
        base::optional("refuse", &LogFaults::m_refuse),
        base::optional("delayMs", &LogFaults::m_delayMs),
        base::optional("loseAppendAnswers", &LogFaults::m_loseAppendAnswers),
        base::optional("silentConnections", &LogFaults::m_silentConnections)};
  }
};

/// Stand-in of the log service (docs/design.md, section 5).
class LogStandin : public Standin {
public:
  explicit LogStandin(const LogOptions &Options = {});
  ~LogStandin() override { stop(); }

  void setFaults(const LogFaults &Faults);

  /// Appends directly and returns the offset.
  std::uint64_t append(const std::string &Stream, const Json &Value);

  /// Drops the values before \p Offset, as retention does.
  void dropBefore(const std::string &Stream, std::uint64_t Offset);

  /// The values that \p Stream holds.
  std::vector<Json> values(const std::string &Stream) const;

  /// Requests received so far, without those for /faults.
  int requests() const;
  /// Appends received so far, whatever became of them.
  int appends() const;
  /// Number of the newest connection that sent a request.
  std::uint64_t connections() const;

private:
  struct Entry {
    Millis m_timeMs = 0;
    Json m_value;
  };
  struct Stream {
    std::uint64_t m_first = 0;
    std::deque<Entry> m_entries;
    std::uint64_t next() const { return m_first + m_entries.size(); }
  };
  struct Poll {
    std::string m_stream;
    std::uint64_t m_from = 0;
    std::uint64_t m_max = 0;
    Millis m_deadline = 0;
    std::uint64_t m_connection = 0;
    http::Responder m_answer;
  };

  void handle(const http::Request &R, http::Responder Answer) override;
  Millis tick(Millis Now) override;
  void handleFaults(const http::Request &R, const http::Responder &Answer);
  void handleAppend(const std::string &Name, const http::Request &R,
                    const http::Responder &Answer);
  void handleRead(const std::string &Name, const http::Request &R,
                  const http::Responder &Answer);
  void applyFaults(const LogFaults &Faults);
  bool silent(std::uint64_t Connection) const;
  bool takeToken();
  void store(const std::string &Name, const Json &Value);
  void load();
  void retain(Stream &S) const;
  http::Response page(const Poll &P);
  void finish(std::uint64_t Connection, const http::Responder &Answer,
              http::Response R);

  LogOptions m_options;
  LogFaults m_faults;
  std::map<std::string, Stream> m_streams;
  std::ofstream m_file;
  std::list<Poll> m_polls;
  std::uint64_t m_lastConnection = 0;
  std::uint64_t m_lastSilent = 0; ///< Connections up to this one are silent.
  double m_tokens = 0;
  Millis m_tokensMs = 0;
  int m_requests = 0;
  int m_appends = 0;
};

} // namespace pomelokeel::standin
