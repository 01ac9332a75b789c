#include "ctl/timeline.h"

#include "report/status.h"

namespace pomelokeel::ctl {
namespace {

using base::Error;
using base::ErrorKind;

// Reads the events of one process and adds them, or the error, to T.
void readEvents(report::Timeline &T, const Client &C, const std::string &Name,
                const std::string &Address) {
  const auto Page =
      Client::decodeAnswer<base::EventPage>(C.getFrom(Address, "/v1/events"));
  if (Page)
    report::addEvents(T, Address, *Page);
  else
    report::addUnreachable(T, Name, Address, base::toString(Page.error()));
}

} // namespace

base::Result<std::string> readTimeline(const Client &C,
                                       const TimelineOptions &Options) {
  const auto Format = base::fromName<report::TimelineFormat>(Options.m_format);
  if (!Format)
    return Error{ErrorKind::BadRequest,
                 "\"" + Options.m_format + "\" is not text, json or html"};
  const auto Members = C.read<report::MemberPage>("/v1/members");
  if (!Members)
    return Members.error();
  const auto Status = C.read<report::Status>("/v1/status");
  if (!Status)
    return Status.error();
  report::Timeline T;
  for (const model::Member &M : Members->m_members)
    readEvents(T, C, M.m_name, M.m_httpAddress);
  for (const report::WorkerStatus &W : Status->m_workers) {
    if (!W.m_agentHttp.empty())
      readEvents(T, C, W.m_worker, W.m_agentHttp);
  }
  report::filterAndSort(T, Options.m_filter);
  return report::render(T, *Format);
}

} // namespace pomelokeel::ctl
