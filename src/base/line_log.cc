#include "base/line_log.h"

#include <fmt/format.h>

#include <cerrno>

#include <fcntl.h>
#include <unistd.h>

namespace pomelokeel::base {
namespace {

constexpr Millis WindowMs = 1000;

} // namespace

LineLog::LineLog(int Descriptor, LineLogLimits Limits)
    : m_descriptor(Descriptor), m_limits(Limits) {
  const int Flags = fcntl(m_descriptor, F_GETFL);
  if (Flags >= 0)
    fcntl(m_descriptor, F_SETFL, Flags | O_NONBLOCK);
}

LineLog::~LineLog() { flush(); }

void LineLog::write(const std::string &Name, const std::string &Line) {
  Window &W = m_windows[Name];
  const Millis Now = monotonicNow();
  if (Now - W.m_begin >= WindowMs) {
    reportLeftOut(Name, W);
    W = {Now, 0, 0};
  }
  if (++W.m_lines > m_limits.m_linesPerSecond) {
    ++W.m_leftOut;
    ++m_leftOutTotal;
    return;
  }
  append(fmt::format("t={} {}\n", wallNow(), Line));
  flush();
}

void LineLog::reportLeftOut(const std::string &Name, Window &W) {
  if (W.m_leftOut == 0)
    return;
  append(fmt::format("t={} event=linesLeftOut name={} count={}\n", wallNow(),
                     Name, W.m_leftOut));
}

void LineLog::append(const std::string &Line) {
  if (m_buffer.size() + Line.size() > m_limits.m_bufferBytes) {
    ++m_unreportedDrops;
    ++m_leftOutTotal;
    return;
  }
  if (m_unreportedDrops > 0) {
    m_buffer += fmt::format("t={} event=linesLeftOut name=any count={}\n",
                            wallNow(), m_unreportedDrops);
    m_unreportedDrops = 0;
  }
  m_buffer += Line;
}

void LineLog::flush() {
  while (!m_buffer.empty()) {
    const ssize_t Count =
        ::write(m_descriptor, m_buffer.data(), m_buffer.size());
    if (Count < 0 && errno == EINTR)
      continue;
    // EAGAIN: the pipe is full, so the lines stay in the buffer for a later
    // call. Any other error, such as EPIPE after the reader has closed its end,
    // is permanent, so the lines are discarded.
    if (Count < 0 && errno != EAGAIN)
      m_buffer.clear();
    if (Count <= 0)
      return;
    m_buffer.erase(0, static_cast<std::size_t>(Count));
  }
}

} // namespace pomelokeel::base
