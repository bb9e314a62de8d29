#include "rattanloft/quarantine/Table.h"

#include <algorithm>
#include <utility>

namespace rattanloft::quarantine {

namespace {

Duration
TimeOf(wire::QuarantineState aState)
{
  switch (aState) {
    case wire::QUARANTINE_STATE_BLOCKED:
      return kBlockFor;
    case wire::QUARANTINE_STATE_SUSPECT:
      return kSuspectFor;
    default:
      return kClearedFor;
  }
}

} // namespace

const QuarantineTableEntry*
Table::Find(uint64_t aFingerprint, TimePoint aNow) const
{
  const auto found = m_entries.find(aFingerprint);
  return found != m_entries.end() && found->second.IsLive() &&
             aNow < found->second.m_expiresAt
           ? &found->second
           : nullptr;
}

bool
Table::Set(uint64_t aFingerprint,
           std::string_view aService,
           wire::QuarantineState aState,
           TimePoint aNow)
{
  Expire(aNow);
  const auto known = m_entries.find(aFingerprint);
  const uint64_t version =
    known == m_entries.end() ? 0 : known->second.m_version;
  return Store(
    aFingerprint,
    { std::string(aService), aState, version + 1, aNow + TimeOf(aState) });
}

bool
Table::Merge(const wire::QuarantineEntry& aEntry, TimePoint aNow)
{
  Expire(aNow);
  if (!wire::QuarantineState_IsValid(aEntry.state()) || aEntry.left_ms() == 0) {
    return false;
  }
  const auto known = m_entries.find(aEntry.fingerprint());
  if (known != m_entries.end() &&
      std::pair(known->second.m_version, known->second.m_state) >=
        std::pair(aEntry.version(), aEntry.state())) {
    return false;
  }
  const Duration left =
    std::min(Milliseconds(aEntry.left_ms()), TimeOf(aEntry.state()));
  return Store(
    aEntry.fingerprint(),
    { aEntry.service(), aEntry.state(), aEntry.version(), aNow + left });
}

bool
Table::Store(uint64_t aFingerprint, QuarantineTableEntry aEntry)
{
  const auto known = m_entries.find(aFingerprint);
  const bool wasLive = known != m_entries.end() && known->second.IsLive();
  if (aEntry.IsLive() && !wasLive && LiveSize() >= kMaxEntries) {
    auto oldest = m_entries.end();
    for (auto at = m_entries.begin(); at != m_entries.end(); ++at) {
      const bool suspect = at->second.m_state == wire::QUARANTINE_STATE_SUSPECT;
      if (suspect && (oldest == m_entries.end() ||
                      at->second.m_expiresAt < oldest->second.m_expiresAt)) {
        oldest = at;
      }
    }
    if (aEntry.m_state != wire::QUARANTINE_STATE_BLOCKED ||
        oldest == m_entries.end()) {
      return false;
    }
    m_entries.erase(oldest);
  }
  m_entries[aFingerprint] = std::move(aEntry);
  DropCleared();
  return true;
}

void
Table::DropCleared()
{
  while (m_entries.size() - LiveSize() > kMaxEntries) {
    auto first = m_entries.end();
    for (auto at = m_entries.begin(); at != m_entries.end(); ++at) {
      if (!at->second.IsLive() &&
          (first == m_entries.end() ||
           at->second.m_expiresAt < first->second.m_expiresAt)) {
        first = at;
      }
    }
    m_entries.erase(first);
  }
}

void
Table::Expire(TimePoint aNow)
{
  std::erase_if(m_entries, [aNow](const auto& aItem) {
    return aItem.second.m_expiresAt <= aNow;
  });
}

std::vector<wire::QuarantineEntry>
Table::ListWireEntries(TimePoint aNow) const
{
  std::vector<wire::QuarantineEntry> list;
  for (const auto& [fingerprint, entry] : m_entries) {
    if (aNow < entry.m_expiresAt) {
      list.push_back(Get(fingerprint, aNow));
    }
  }
  return list;
}

wire::QuarantineEntry
Table::Get(uint64_t aFingerprint, TimePoint aNow) const
{
  wire::QuarantineEntry result;
  result.set_fingerprint(aFingerprint);
  const auto found = m_entries.find(aFingerprint);
  if (found != m_entries.end() && aNow < found->second.m_expiresAt) {
    result.set_service(found->second.m_service);
    result.set_state(found->second.m_state);
    result.set_version(found->second.m_version);
    result.set_left_ms(
      static_cast<uint32_t>((found->second.m_expiresAt - aNow).m_ms));
  }
  return result;
}

size_t
Table::LiveSize() const
{
  return static_cast<size_t>(
    std::count_if(m_entries.begin(), m_entries.end(), [](const auto& aItem) {
      return aItem.second.IsLive();
    }));
}

} // namespace rattanloft::quarantine
