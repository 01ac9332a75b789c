#include "report/timeline.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace pomelokeel;
using namespace pomelokeel::report;

namespace {

base::Event makeEvent(const std::string &Process, std::uint64_t Sequence,
                      base::Stamp S, const std::string &Name) {
  base::Event E;
  E.m_process = Process;
  E.m_sequence = Sequence;
  E.m_stamp = S;
  E.m_name = Name;
  return E;
}

Timeline sampleTimeline() {
  Timeline T;
  addEvents(T, "127.0.0.1:2",
            {"agent", 3, {makeEvent("agent", 3, {900, 7}, "started")}});
  base::Event Placed = makeEvent("entry", 0, {900, 5}, "placed");
  Placed.m_job = "j<1>";
  addEvents(T, "127.0.0.1:1", {"entry", 0, {Placed}});
  addUnreachable(T, "agent2", "127.0.0.1:3", "timeout");
  return T;
}

} // namespace

TEST(Timeline, TextNamesUnreadableAndIncompleteSources) {
  Timeline T = sampleTimeline();
  filterAndSort(T, {});
  const std::string Text = renderText(T);
  EXPECT_NE(Text.find("agent2 at 127.0.0.1:3 could not be read: timeout"),
            std::string::npos);
  EXPECT_NE(Text.find("has overwritten its first 3 events"), std::string::npos);
  EXPECT_LT(Text.find("placed"), Text.find("started"));
}

TEST(Timeline, FiltersByJob) {
  Timeline T = sampleTimeline();
  filterAndSort(T, {.m_job = "j<1>"});
  ASSERT_EQ(T.m_events.size(), 1u);
  EXPECT_EQ(T.m_events[0].m_name, "placed");
}

TEST(Timeline, HtmlEscapesNames) {
  Timeline T = sampleTimeline();
  filterAndSort(T, {});
  const std::string Html = render(T, TimelineFormat::Html);
  EXPECT_NE(Html.find("j&lt;1&gt;"), std::string::npos);
  EXPECT_EQ(Html.find("j<1>"), std::string::npos);
}

// Guards against an event that is sorted before its cause because the wall
// clock of a process is wrong: each message has to be sent before it is
// received, for clocks that are wrong by up to 100 s either way.
RC_GTEST_PROP(Timeline, SendPrecedesReceive, ()) {
  const auto Skews = *rc::gen::container<std::vector<int>>(
      3, rc::gen::inRange(-100000, 100000));
  std::vector<base::Stamp> Last(3);
  Timeline T;
  std::vector<base::EventPage> Pages(3);
  const int Messages = *rc::gen::inRange(1, 40);
  const auto Advance = [&](int Process, base::Stamp Floor,
                           base::Millis TrueMs) {
    // Advances like base::HybridClock, but reads a wall clock that is wrong.
    const base::Millis Wall = TrueMs + Skews[Process];
    Floor = std::max(Floor, Last[Process]);
    Last[Process] = Wall > Floor.m_wall
                        ? base::Stamp{Wall, 0}
                        : base::Stamp{Floor.m_wall, Floor.m_count + 1};
    return Last[Process];
  };
  for (int I = 0; I < Messages; ++I) {
    const int From = *rc::gen::inRange(0, 3);
    const int To = *rc::gen::inRange(0, 3);
    const base::Stamp Sent = Advance(From, {}, 200000 + I);
    const base::Stamp Received = Advance(To, Sent, 200000 + I);
    const std::string Id = std::to_string(I);
    Pages[From].m_events.push_back(
        makeEvent("p" + std::to_string(From), 0, Sent, "send" + Id));
    Pages[To].m_events.push_back(
        makeEvent("p" + std::to_string(To), 0, Received, "receive" + Id));
  }
  for (const auto &Page : Pages)
    addEvents(T, "", Page);
  filterAndSort(T, {});
  std::map<std::string, std::size_t> Position;
  for (std::size_t I = 0; I < T.m_events.size(); ++I)
    Position[T.m_events[I].m_name] = I;
  for (int I = 0; I < Messages; ++I)
    RC_ASSERT(Position["send" + std::to_string(I)] <
              Position["receive" + std::to_string(I)]);
}
