#pragma once

#include "standin/standin.h"

#include <deque>
#include <fstream>
#include <list>

namespace pomelokeel::standin {

struct LogOptions {
  std::string m_listen = "127.0.0.1:0";
  std::uint64_t m_retentionRecords = 0; ///< Records kept per stream; 0 is all.
  Millis m_retentionMs = 0; ///< Age up to which records are kept; 0 is all.
  int m_maxAppendsPerSecond = 400; ///< Further appends get status 429.
  /// File that keeps the streams over a restart; "" keeps them in memory only.
  std::string m_file;
};

/// Faults that the log stand-in simulates. `POST /faults` replaces all of them.
struct LogFaults {
  /// Requests have no effect and are never answered; connections stay open.
  bool m_outage = false;
  bool m_refuse = false; ///< Requests have no effect and get status 503.
  Millis m_delayMs = 0;  ///< Delay of answers; effects are not delayed.
  /// How many of the next appends take effect without an answer; their
  /// connections are closed. Counts down.
  int m_loseAppendAnswers = 0;
  /// Requests on the connections that were used before this was set have no
  /// effect and are never answered; newer connections work.
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

/// Stand-in of the log service. Its protocol is in docs/design.md, section 5.
class LogStandin : public Standin {
public:
  explicit LogStandin(const LogOptions &Options = {});
  ~LogStandin() override { stop(); }

  void setFaults(const LogFaults &Faults);

  /// Appends \p Value without a request, also during faults. Returns its
  /// offset.
  std::uint64_t append(const std::string &Stream, const Json &Value);

  /// Drops the records before \p Offset, as retention does.
  void dropBefore(const std::string &Stream, std::uint64_t Offset);

  /// Returns the values of the records that \p Stream still holds.
  std::vector<Json> values(const std::string &Stream) const;

  /// Returns the number of requests received so far, without those for /faults.
  int requestCount() const;
  /// Returns the number of append requests received so far, including those
  /// that were refused or had no effect.
  int appendCount() const;
  /// Returns the number of the newest connection that sent a request. The
  /// server counts connections from 1.
  std::uint64_t lastConnection() const;

private:
  struct Record {
    Millis m_timeMs = 0;
    Json m_value;
  };
  struct Stream {
    std::uint64_t m_firstOffset = 0;
    std::deque<Record> m_records;
    std::uint64_t nextOffset() const {
      return m_firstOffset + m_records.size();
    }
  };
  /// A read that is not answered yet, such as a long poll.
  struct PendingRead {
    std::string m_stream;
    std::uint64_t m_fromOffset = 0;
    std::uint64_t m_maxRecords = 0;
    Millis m_deadlineMs = 0;
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
  void replaceFaults(const LogFaults &Faults);
  bool isSilenced(std::uint64_t Connection) const;
  /// Takes a token for one append. Returns false if the append limit is
  /// exceeded.
  bool takeAppendToken();
  void store(const std::string &Name, const Json &Value);
  /// Reads the streams from the file and opens it for appending.
  void loadFile();
  /// Drops the records of \p S that are beyond the retention options.
  void applyRetention(Stream &S) const;
  /// Returns the answer to \p P from the records that are held now.
  http::Response readResponse(const PendingRead &P);
  /// Sends \p R subject to the faults in force.
  void respond(std::uint64_t Connection, const http::Responder &Answer,
               http::Response R);

  LogOptions m_options;
  LogFaults m_faults;
  std::map<std::string, Stream> m_streams;
  std::ofstream m_file;
  std::list<PendingRead> m_pendingReads;
  std::uint64_t m_lastConnection = 0;
  std::uint64_t m_lastSilencedConnection = 0; ///< Those up to it are silenced.
  /// Token bucket that enforces the append limit.
  double m_appendTokens = 0;
  Millis m_tokensUpdatedMs = 0;
  int m_requestCount = 0;
  int m_appendCount = 0;
};

} // namespace pomelokeel::standin
