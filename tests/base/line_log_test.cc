#include "base/line_log.h"

#include <gtest/gtest.h>

#include <string>

#include <signal.h>
#include <unistd.h>

using namespace pomelokeel::base;

namespace {

std::string readAll(int Descriptor) {
  std::string Out;
  char Bytes[4096];
  for (;;) {
    const ssize_t Count = ::read(Descriptor, Bytes, sizeof Bytes);
    if (Count <= 0)
      return Out;
    Out.append(Bytes, static_cast<std::size_t>(Count));
  }
}

struct Pipe {
  Pipe() { EXPECT_EQ(pipe(m_ends), 0); }
  ~Pipe() { ::close(m_ends[0]); }
  int m_ends[2] = {-1, -1};
};

} // namespace

// Guards against blocking the process when the reader of its log stops reading.
// Lines that do not fit in the buffer must be counted instead.
TEST(LineLog, StalledReaderDoesNotBlock) {
  Pipe P;
  LineLogLimits L;
  L.m_linesPerSecond = 1000000;
  L.m_bufferBytes = 1000;
  {
    LineLog Log(P.m_ends[1], L);
    const std::string Line(100, 'x');
    for (int I = 0; I < 5000; ++I)
      Log.write("name", Line);
    EXPECT_GT(Log.leftOut(), 0u);
  }
  ::close(P.m_ends[1]);
  EXPECT_FALSE(readAll(P.m_ends[0]).empty());
}

TEST(LineLog, RateLimitsEachEventName) {
  Pipe P;
  LineLogLimits L;
  L.m_linesPerSecond = 2;
  LineLog Log(P.m_ends[1], L);
  for (int I = 0; I < 10; ++I)
    Log.write("often", "event=often");
  Log.write("rare", "event=rare");
  EXPECT_EQ(Log.leftOut(), 8u);
  ::close(P.m_ends[1]);
  const std::string Text = readAll(P.m_ends[0]);
  EXPECT_NE(Text.find("event=rare"), std::string::npos);
}

TEST(LineLog, WriteAfterReaderClosedIsHarmless) {
  Pipe P;
  ::close(P.m_ends[0]);
  P.m_ends[0] = -1;
  signal(SIGPIPE, SIG_IGN);
  LineLog Log(P.m_ends[1]);
  Log.write("name", "line");
  ::close(P.m_ends[1]);
}
