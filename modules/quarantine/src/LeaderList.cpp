#include "rattanloft/quarantine/LeaderList.h"

#include <string>
#include <utility>

namespace rattanloft::quarantine {

bool
LeaderList::Clear(uint64_t aFingerprint, TimePoint aNow)
{
  const QuarantineTableEntry* const entry = m_table.Find(aFingerprint, aNow);
  if (entry == nullptr) {
    return false;
  }
  const std::string service = entry->m_service;
  m_table.SetState(aFingerprint, service, wire::QUARANTINE_STATE_CLEARED, aNow);
  ++m_revision;
  return true;
}

wire::QuarantineUpdate
LeaderList::MakeUpdate(uint64_t aTerm, TimePoint aNow) const
{
  wire::QuarantineUpdate update;
  update.set_term(aTerm);
  update.set_revision(m_revision);
  for (wire::QuarantineEntry& entry : m_table.ListWireEntries(aNow)) {
    *update.add_entries() = std::move(entry);
  }
  return update;
}

} // namespace rattanloft::quarantine
