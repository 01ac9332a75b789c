#include "report/timeline.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <map>
#include <tuple>

namespace pomelokeel::report {
namespace {

using base::Event;

// Sizes in the SVG, in pixels.
constexpr int LaneWidth = 180;
constexpr int RowHeight = 22;
constexpr int HeaderHeight = 40;
constexpr int TimeWidth = 120;
constexpr int TextWidth = 700;

bool selects(const std::string &Wanted, const std::string &Value) {
  return Wanted.empty() || Wanted == Value;
}

bool selects(const TimelineFilter &F, const Event &E) {
  return selects(F.m_job, E.m_job) && selects(F.m_account, E.m_account) &&
         selects(F.m_worker, E.m_worker) &&
         (!F.m_from || E.m_stamp.m_wall >= *F.m_from) &&
         (!F.m_to || E.m_stamp.m_wall <= *F.m_to);
}

std::string formatTimeOfDay(Millis Wall) {
  using namespace std::chrono;
  const sys_time<milliseconds> Time{milliseconds(Wall)};
  return fmt::format("{:%H:%M:%S}.{:03}", floor<seconds>(Time), Wall % 1000);
}

void appendPair(std::string &Out, const char *Key, const std::string &Value) {
  if (!Value.empty())
    Out += fmt::format(" {}={}", Key, Value);
}

std::string describeEvent(const Event &E) {
  std::string Out = E.m_name;
  appendPair(Out, "job", E.m_job);
  appendPair(Out, "account", E.m_account);
  appendPair(Out, "worker", E.m_worker);
  if (!E.m_detail.empty())
    Out += ' ' + E.m_detail;
  return Out;
}

std::string describeMissing(const TimelineSource &S) {
  if (!S.m_reachable)
    return fmt::format("{} at {} could not be read: {}", S.m_process,
                       S.m_address, S.m_problem);
  if (S.m_overwritten > 0)
    return fmt::format("{} at {} has overwritten its first {} events",
                       S.m_process, S.m_address, S.m_overwritten);
  return "";
}

std::string escapeHtml(const std::string &Text) {
  std::string Out;
  for (const char C : Text) {
    switch (C) {
    case '&':
      Out += "&amp;";
      break;
    case '<':
      Out += "&lt;";
      break;
    case '>':
      Out += "&gt;";
      break;
    case '"':
      Out += "&quot;";
      break;
    default:
      Out += C;
    }
  }
  return Out;
}

// Numbers the lanes (columns) of the processes in the order of their names.
std::map<std::string, int> assignLanes(const Timeline &T) {
  std::map<std::string, int> Lanes;
  for (const Event &E : T.m_events)
    Lanes.emplace(E.m_process, 0);
  int Next = 0;
  for (auto &[Process, Lane] : Lanes)
    Lane = Next++;
  return Lanes;
}

int laneCentreX(int Lane) {
  return TimeWidth + Lane * LaneWidth + LaneWidth / 2;
}

std::string svgHeader(const std::map<std::string, int> &Lanes, int Height) {
  std::string Out;
  for (const auto &[Process, Lane] : Lanes) {
    Out += fmt::format("<text x='{}' y='20' text-anchor='middle' "
                       "font-weight='bold'>{}</text>\n",
                       laneCentreX(Lane), escapeHtml(Process));
    Out += fmt::format(
        "<line x1='{0}' x2='{0}' y1='28' y2='{1}' stroke='#ccc'/>\n",
        laneCentreX(Lane), Height);
  }
  return Out;
}

std::string svgEvent(const Event &E, int Lane, int LaneCount, int Row) {
  const int Y = HeaderHeight + Row * RowHeight;
  std::string Out = fmt::format("<text x='4' y='{}'>{}</text>\n", Y + 4,
                                formatTimeOfDay(E.m_stamp.m_wall));
  Out += fmt::format("<circle cx='{}' cy='{}' r='5' fill='#2a6f97'><title>{}"
                     "</title></circle>\n",
                     laneCentreX(Lane), Y, escapeHtml(describeEvent(E)));
  Out += fmt::format("<text x='{}' y='{}'>{}</text>\n",
                     TimeWidth + LaneCount * LaneWidth + 8, Y + 4,
                     escapeHtml(describeEvent(E)));
  return Out;
}

std::string renderJson(const Timeline &T) {
  return base::encode(T).dump(2) + "\n";
}

using Renderer = std::string (*)(const Timeline &);

// Indexed by TimelineFormat.
constexpr std::array<Renderer, 3> Renderers = {renderText, renderJson,
                                               renderHtml};

} // namespace

void addEvents(Timeline &T, const std::string &Address,
               const base::EventPage &Page) {
  T.m_sources.push_back(
      {Page.m_process, Address, true, Page.m_overwritten, ""});
  T.m_events.insert(T.m_events.end(), Page.m_events.begin(),
                    Page.m_events.end());
}

void addUnreachable(Timeline &T, const std::string &Process,
                    const std::string &Address, const std::string &Problem) {
  T.m_sources.push_back({Process, Address, false, 0, Problem});
}

void filterAndSort(Timeline &T, const TimelineFilter &F) {
  std::erase_if(T.m_events, [&](const Event &E) { return !selects(F, E); });
  std::sort(T.m_events.begin(), T.m_events.end(),
            [](const Event &A, const Event &B) {
              return std::tie(A.m_stamp, A.m_process, A.m_sequence) <
                     std::tie(B.m_stamp, B.m_process, B.m_sequence);
            });
}

std::string renderText(const Timeline &T) {
  std::string Out;
  for (const TimelineSource &S : T.m_sources) {
    if (const std::string Note = describeMissing(S); !Note.empty())
      Out += "# " + Note + '\n';
  }
  std::size_t Width = 0;
  for (const Event &E : T.m_events)
    Width = std::max(Width, E.m_process.size());
  for (const Event &E : T.m_events)
    Out += fmt::format("{}  {:<{}}  {}\n", formatTimeOfDay(E.m_stamp.m_wall),
                       E.m_process, Width, describeEvent(E));
  return Out;
}

std::string renderHtml(const Timeline &T) {
  const auto Lanes = assignLanes(T);
  const int LaneCount = static_cast<int>(Lanes.size());
  const int Height =
      HeaderHeight + static_cast<int>(T.m_events.size()) * RowHeight;
  std::string Out = "<!DOCTYPE html>\n<html><head><meta charset='utf-8'>"
                    "<title>pomelokeel time line</title></head>"
                    "<body style='font-family: sans-serif'>\n";
  for (const TimelineSource &S : T.m_sources) {
    if (const std::string Note = describeMissing(S); !Note.empty())
      Out += "<p>" + escapeHtml(Note) + "</p>\n";
  }
  Out += fmt::format("<svg xmlns='http://www.w3.org/2000/svg' width='{}' "
                     "height='{}' font-size='13' font-family='sans-serif'>\n",
                     TimeWidth + LaneCount * LaneWidth + TextWidth, Height);
  Out += svgHeader(Lanes, Height);
  int Row = 0;
  for (const Event &E : T.m_events)
    Out += svgEvent(E, Lanes.at(E.m_process), LaneCount, Row++);
  return Out + "</svg></body></html>\n";
}

std::string render(const Timeline &T, TimelineFormat Format) {
  return Renderers[static_cast<std::size_t>(Format)](T);
}

} // namespace pomelokeel::report
