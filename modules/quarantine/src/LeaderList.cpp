#include "rattanloft/quarantine/LeaderList.h"

#include <string>
#include <utility>

namespace rattanloft::quarantine {

void
LeaderList::Merge(const wire::QuarantineEntry& aEntry, TimePoint aNow)
{
  if (m_table.Merge(aEntry, aNow)) {
    OnChanged(aEntry.fingerprint(), aNow);
  }
}

void
LeaderList::OnChanged(uint64_t aFingerprint, TimePoint aNow)
{
  m_revisionByFingerprint[aFingerprint] = ++m_revision;
  // A table holds as many cleared entries as live ones.
  if (m_revisionByFingerprint.size() <= 4 * kMaxLiveEntries) {
    return;
  }
  std::map<uint64_t, uint64_t> kept;
  for (const wire::QuarantineEntry& entry : m_table.ListWireEntries(aNow)) {
    kept[entry.fingerprint()] = m_revisionByFingerprint[entry.fingerprint()];
  }
  m_revisionByFingerprint = std::move(kept);
}

bool
LeaderList::Clear(uint64_t aFingerprint, TimePoint aNow)
{
  const QuarantineTableEntry* const entry = m_table.Find(aFingerprint, aNow);
  if (entry == nullptr) {
    return false;
  }
  const std::string service = entry->m_service;
  m_table.SetState(aFingerprint, service, wire::QUARANTINE_STATE_CLEARED, aNow);
  OnChanged(aFingerprint, aNow);
  return true;
}

wire::QuarantineUpdate
LeaderList::MakeUpdateSince(uint64_t aRevision,
                            uint64_t aTerm,
                            TimePoint aNow) const
{
  wire::QuarantineUpdate update;
  update.set_term(aTerm);
  update.set_revision(m_revision);
  for (wire::QuarantineEntry& entry : m_table.ListWireEntries(aNow)) {
    const auto changedAt = m_revisionByFingerprint.find(entry.fingerprint());
    if (changedAt == m_revisionByFingerprint.end() ||
        changedAt->second > aRevision) {
      *update.add_entries() = std::move(entry);
    }
  }
  return update;
}

} // namespace rattanloft::quarantine
