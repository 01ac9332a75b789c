#include "http/caller_budget.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace pomelokeel::http {

const char *nameOf(CloseReason Reason) {
  switch (Reason) {
  case CloseReason::Budget:
    return "budget";
  case CloseReason::Connections:
    return "connections";
  case CloseReason::Refused:
    return "refused";
  case CloseReason::RequestTime:
    return "requestTime";
  case CloseReason::ResponseTime:
    return "responseTime";
  case CloseReason::HeaderFields:
    return "headerFields";
  case CloseReason::Size:
    return "size";
  case CloseReason::Head:
    return "head";
  }
  return "";
}

std::list<CallerBudget::Id> *CallerBudget::listOf(Activity A) {
  switch (A) {
  case Activity::Idle:
    return &m_idle;
  case Activity::Unfinished:
    return &m_unfinished;
  case Activity::Handled:
    break;
  }
  return nullptr;
}

void CallerBudget::makeProgress(Id Connection, Entry &E) {
  E.m_receivedSinceProgress = 0;
  E.m_progress = m_nextProgress++;
  if (std::list<Id> *List = listOf(E.m_activity))
    E.m_position = List->insert(List->end(), Connection);
}

CallerBudget::Id CallerBudget::add(const void *Owner, Evict E) {
  const Id Out = m_nextId++;
  Entry &New = m_entries[Out];
  New.m_owner = Owner;
  New.m_evict = std::move(E);
  makeProgress(Out, New);
  return Out;
}

void CallerBudget::remove(Id Connection) {
  const auto It = m_entries.find(Connection);
  if (It == m_entries.end())
    return;
  m_bytes -= It->second.m_bytes;
  if (std::list<Id> *List = listOf(It->second.m_activity))
    List->erase(It->second.m_position);
  m_entries.erase(It);
}

void CallerBudget::setActivity(Id Connection, Activity A) {
  const auto It = m_entries.find(Connection);
  if (It == m_entries.end())
    return;
  Entry &E = It->second;
  if (std::list<Id> *List = listOf(E.m_activity))
    List->erase(E.m_position);
  E.m_activity = A;
  makeProgress(Connection, E);
}

void CallerBudget::received(Id Connection, std::size_t Bytes) {
  const auto It = m_entries.find(Connection);
  if (It == m_entries.end())
    return;
  Entry &E = It->second;
  E.m_receivedSinceProgress += Bytes;
  if (E.m_receivedSinceProgress < ProgressBytes)
    return;
  if (std::list<Id> *List = listOf(E.m_activity))
    List->erase(E.m_position);
  makeProgress(Connection, E);
}

bool CallerBudget::charge(Id Connection, std::size_t Bytes) {
  const auto It = m_entries.find(Connection);
  if (It == m_entries.end())
    return false;
  m_bytes += Bytes;
  m_bytes -= It->second.m_bytes;
  It->second.m_bytes = Bytes;
  while (m_bytes > m_limit && !m_unfinished.empty()) {
    const Id Closed = m_unfinished.front();
    if (Closed == Connection)
      return false;
    evict(Closed, CloseReason::Budget);
  }
  return true;
}

bool CallerBudget::makeRoom(const void *Owner) {
  std::optional<Id> Victim;
  for (const std::list<Id> *List : {&m_idle, &m_unfinished}) {
    const auto It = std::find_if(List->begin(), List->end(), [&](Id I) {
      return m_entries.at(I).m_owner == Owner;
    });
    if (It != List->end() && (!Victim || m_entries.at(*It).m_progress <
                                             m_entries.at(*Victim).m_progress))
      Victim = *It;
  }
  if (!Victim)
    return false;
  evict(*Victim, CloseReason::Connections);
  return true;
}

void CallerBudget::evict(Id Connection, CloseReason Reason) {
  const Evict Close = m_entries.at(Connection).m_evict;
  countClosed(Reason);
  Close(Reason);
  remove(Connection);
}

void CallerBudget::countClosed(CloseReason Reason) const {
  if (m_onClosed)
    m_onClosed(Reason);
}

} // namespace pomelokeel::http
