#include "rattanloft/quarantine/QuarantineReport.h"

namespace rattanloft::quarantine {

void
QuarantineReport::Add(std::span<const wire::QuarantineEntry> aEntries,
                      uint64_t aLastSequence)
{
  for (const wire::QuarantineEntry& entry : aEntries) {
    m_pendingEntries[entry.fingerprint()] = { aLastSequence, entry };
  }
}

void
QuarantineReport::OnUpdate(const wire::QuarantineUpdate& aUpdate)
{
  m_term = aUpdate.term();
  m_revision = aUpdate.revision();
}

void
QuarantineReport::OnConfirmed(uint64_t aSequence)
{
  std::erase_if(m_pendingEntries, [aSequence](const auto& aItem) {
    return aItem.second.first < aSequence;
  });
}

} // namespace rattanloft::quarantine
