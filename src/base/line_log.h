#pragma once

#include "base/clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace pomelokeel::base {

struct LineLogLimits {
  /// Lines of one event name that are written within a second; further ones are
  /// counted.
  int m_linesPerSecond = 50;
  /// Bytes kept for a reader that does not read; further lines are counted.
  std::size_t m_bufferBytes = 128 * 1024;
};

/// Writes lines to a descriptor without ever blocking. What is left out is
/// counted, and a line `event=linesLeftOut` says how many of which name. Not
/// thread-safe.
class LineLog {
public:
  /// Makes \p Descriptor non-blocking.
  explicit LineLog(int Descriptor, LineLogLimits Limits = {});
  ~LineLog();

  void write(const std::string &Name, const std::string &Line);

  /// Writes what is buffered as far as the reader takes it.
  void flush();

  std::uint64_t leftOut() const { return m_leftOutTotal; }

private:
  struct Window {
    Millis m_begin = 0;
    int m_lines = 0;
    std::uint64_t m_leftOut = 0;
  };

  void append(const std::string &Line);
  void sumUp(const std::string &Name, Window &W);

  int m_descriptor;
  LineLogLimits m_limits;
  std::map<std::string, Window> m_windows;
  std::string m_buffer;
  std::uint64_t m_leftOutTotal = 0;
  std::uint64_t m_dropped = 0; ///< Since the buffer was full.
};

} // namespace pomelokeel::base
