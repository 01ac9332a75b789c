#pragma once

#include "base/clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace pomelokeel::base {

struct LineLogLimits {
  /// Most lines that are written per event name and second. Further lines are
  /// counted but not written.
  int m_linesPerSecond = 50;
  /// Most bytes that are buffered while the descriptor accepts no data. Lines
  /// that do not fit are counted but not written.
  std::size_t m_bufferBytes = 128 * 1024;
};

/// Writes log lines to a descriptor without ever blocking, at a limited rate
/// per event name. Lines that exceed the limits are left out and counted. The
/// count is logged as `event=linesLeftOut` before a later line of the same
/// event name or, with the name `any`, when a full buffer has space again. Not
/// thread-safe.
class LineLog {
public:
  /// Makes \p Descriptor non-blocking.
  explicit LineLog(int Descriptor, LineLogLimits Limits = {});
  ~LineLog();

  /// Writes \p Line, which belongs to the event \p Name, prefixed with the wall
  /// clock time (`t=`, milliseconds).
  void write(const std::string &Name, const std::string &Line);

  /// Writes as much of the buffer as the descriptor accepts without blocking.
  void flush();

  /// Returns the number of lines left out so far.
  std::uint64_t leftOut() const { return m_leftOutTotal; }

private:
  /// The lines of one event name within one second from m_begin.
  struct Window {
    Millis m_begin = 0;
    int m_lines = 0;
    std::uint64_t m_leftOut = 0;
  };

  /// Buffers \p Line or, if the buffer is full, counts it as left out.
  void append(const std::string &Line);
  /// Reports the lines that \p W left out, if any.
  void reportLeftOut(const std::string &Name, Window &W);

  int m_descriptor;
  LineLogLimits m_limits;
  std::map<std::string, Window> m_windows;
  std::string m_buffer;
  std::uint64_t m_leftOutTotal = 0;
  /// Lines that found the buffer full and are not yet reported.
  std::uint64_t m_unreportedDrops = 0;
};

} // namespace pomelokeel::base
