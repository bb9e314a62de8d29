#include "rattanloft/quarantine/QuarantineTable.h"

#include <algorithm>
#include <utility>

namespace rattanloft::quarantine {

namespace {

// How long an entry is kept after its state was set.
Duration
InitialLifetime(wire::QuarantineState aState)
{
  switch (aState) {
    case wire::QUARANTINE_STATE_BLOCKED:
      return kBlockDuration;
    case wire::QUARANTINE_STATE_SUSPECT:
      return kSuspicionDuration;
    default:
      return kClearedRetention;
  }
}

} // namespace

const QuarantineTableEntry*
QuarantineTable::Find(uint64_t aFingerprint, TimePoint aNow) const
{
  const auto found = m_entries.find(aFingerprint);
  return found != m_entries.end() && found->second.IsLive() &&
             aNow < found->second.m_expiresAt
           ? &found->second
           : nullptr;
}

bool
QuarantineTable::SetState(uint64_t aFingerprint,
                          std::string_view aService,
                          wire::QuarantineState aState,
                          TimePoint aNow)
{
  RemoveExpired(aNow);
  const auto known = m_entries.find(aFingerprint);
  const uint64_t version =
    known == m_entries.end() ? 0 : known->second.m_version;
  return StoreEntry(aFingerprint,
                    { std::string(aService),
                      aState,
                      version + 1,
                      aNow + InitialLifetime(aState) });
}

bool
QuarantineTable::Merge(const wire::QuarantineEntry& aEntry, TimePoint aNow)
{
  RemoveExpired(aNow);
  if (!wire::QuarantineState_IsValid(aEntry.state()) || aEntry.left_ms() == 0) {
    return false;
  }
  const auto known = m_entries.find(aEntry.fingerprint());
  if (known != m_entries.end() &&
      std::pair(known->second.m_version, known->second.m_state) >=
        std::pair(aEntry.version(), aEntry.state())) {
    return false;
  }
  const Duration remaining =
    std::min(Milliseconds(aEntry.left_ms()), InitialLifetime(aEntry.state()));
  return StoreEntry(
    aEntry.fingerprint(),
    { aEntry.service(), aEntry.state(), aEntry.version(), aNow + remaining });
}

bool
QuarantineTable::StoreEntry(uint64_t aFingerprint, QuarantineTableEntry aEntry)
{
  const auto known = m_entries.find(aFingerprint);
  const bool wasLive = known != m_entries.end() && known->second.IsLive();
  if (aEntry.IsLive() && !wasLive && CountLiveEntries() >= kMaxLiveEntries) {
    auto displaced = m_entries.end();
    for (auto it = m_entries.begin(); it != m_entries.end(); ++it) {
      const bool isSuspect =
        it->second.m_state == wire::QUARANTINE_STATE_SUSPECT;
      if (isSuspect &&
          (displaced == m_entries.end() ||
           it->second.m_expiresAt < displaced->second.m_expiresAt)) {
        displaced = it;
      }
    }
    if (displaced == m_entries.end()) {
      return false;
    }
    m_entries.erase(displaced);
  }
  m_entries[aFingerprint] = std::move(aEntry);
  DropExcessCleared();
  return true;
}

void
QuarantineTable::DropExcessCleared()
{
  while (m_entries.size() - CountLiveEntries() > kMaxLiveEntries) {
    auto firstToExpire = m_entries.end();
    for (auto it = m_entries.begin(); it != m_entries.end(); ++it) {
      if (!it->second.IsLive() &&
          (firstToExpire == m_entries.end() ||
           it->second.m_expiresAt < firstToExpire->second.m_expiresAt)) {
        firstToExpire = it;
      }
    }
    m_entries.erase(firstToExpire);
  }
}

void
QuarantineTable::RemoveExpired(TimePoint aNow)
{
  std::erase_if(m_entries, [aNow](const auto& aItem) {
    return aItem.second.m_expiresAt <= aNow;
  });
}

std::vector<wire::QuarantineEntry>
QuarantineTable::ListWireEntries(TimePoint aNow) const
{
  std::vector<wire::QuarantineEntry> list;
  for (const auto& [fingerprint, entry] : m_entries) {
    if (aNow < entry.m_expiresAt) {
      list.push_back(MakeWireEntry(fingerprint, aNow));
    }
  }
  return list;
}

wire::QuarantineEntry
QuarantineTable::MakeWireEntry(uint64_t aFingerprint, TimePoint aNow) const
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
QuarantineTable::CountLiveEntries() const
{
  return static_cast<size_t>(
    std::count_if(m_entries.begin(), m_entries.end(), [](const auto& aItem) {
      return aItem.second.IsLive();
    }));
}

} // namespace rattanloft::quarantine
