#include "node/evacuations.h"

#include <utility>

namespace pomelokeel::node {

Evacuations::Evacuations(EvacuationKeyReader ReadKey, OnChange Changed)
    : m_readKey(std::move(ReadKey)), m_changed(std::move(Changed)) {}

void Evacuations::applySnapshot(const std::vector<KeyedRecord> &Records,
                                std::int64_t End) {
  if (End < m_readUntil)
    return;
  m_readUntil = End;
  std::set<std::string> Found;
  for (const KeyedRecord &R : Records) {
    if (const auto DataCentre = m_readKey(R.m_key);
        DataCentre && !R.m_value.empty())
      Found.insert(*DataCentre);
  }
  replace(Found);
}

bool Evacuations::apply(const KeyedRecord &R, std::int64_t End) {
  const auto DataCentre = m_readKey(R.m_key);
  // Another entry may have read further than this one.
  if (End >= m_readUntil) {
    m_readUntil = End;
    if (DataCentre)
      set(*DataCentre, !R.m_value.empty());
  }
  return DataCentre.has_value();
}

void Evacuations::adopt(const std::vector<std::string> &DataCentres,
                        std::int64_t End) {
  if (End <= m_readUntil)
    return;
  m_readUntil = End;
  replace({DataCentres.begin(), DataCentres.end()});
}

void Evacuations::replace(const std::set<std::string> &DataCentres) {
  const std::set<std::string> Before = m_dataCentres;
  for (const std::string &Each : Before) {
    if (!DataCentres.contains(Each))
      set(Each, false);
  }
  for (const std::string &Each : DataCentres)
    set(Each, true);
}

void Evacuations::set(const std::string &DataCentre, bool Evacuated) {
  const bool Changed = Evacuated ? m_dataCentres.insert(DataCentre).second
                                 : m_dataCentres.erase(DataCentre) > 0;
  if (Changed)
    m_changed(DataCentre, Evacuated);
}

} // namespace pomelokeel::node
