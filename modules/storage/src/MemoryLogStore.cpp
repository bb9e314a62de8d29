#include "rattanloft/storage/MemoryLogStore.h"

#include <algorithm>

namespace rattanloft::storage {

StoreResult<void>
MemoryLogStore::CheckWritable() const
{
  if (m_syncFailed) {
    return tl::unexpected(StoreError{
      StoreErrorCode::kIo, "writes are refused after a failed sync" });
  }
  return {};
}

StoreResult<std::vector<wire::LogEntry>>
MemoryLogStore::Read(uint64_t aFirstIndex, uint64_t aLastIndex) const
{
  if (aFirstIndex < FirstIndex() || aLastIndex > LastIndex()) {
    return tl::unexpected(
      StoreError{ StoreErrorCode::kInvalidArgument,
                  "the entries to read are outside the log" });
  }
  std::vector<wire::LogEntry> result;
  for (uint64_t index = aFirstIndex; index <= aLastIndex; ++index) {
    result.push_back(m_current.m_entries[index - m_current.m_firstIndex]);
  }
  return result;
}

StoreResult<void>
MemoryLogStore::Append(std::span<const wire::LogEntry> aEntries)
{
  if (auto writable = CheckWritable(); !writable) {
    return writable;
  }
  for (const wire::LogEntry& entry : aEntries) {
    if (entry.index() != LastIndex() + 1) {
      return tl::unexpected(
        StoreError{ StoreErrorCode::kInvalidArgument,
                    "the appended entries do not follow the log" });
    }
    m_current.m_entries.push_back(entry);
  }
  return {};
}

StoreResult<void>
MemoryLogStore::TruncateSuffix(uint64_t aFromIndex)
{
  if (auto writable = CheckWritable(); !writable) {
    return writable;
  }
  while (!m_current.m_entries.empty() && LastIndex() >= aFromIndex) {
    m_current.m_entries.pop_back();
  }
  m_firstUnsyncedIndex = std::min(m_firstUnsyncedIndex, aFromIndex);
  return {};
}

StoreResult<void>
MemoryLogStore::CompactPrefix(uint64_t aNewFirstIndex)
{
  if (auto writable = CheckWritable(); !writable) {
    return writable;
  }
  if (m_current.m_entries.empty() || aNewFirstIndex <= m_current.m_firstIndex) {
    return {};
  }
  while (!m_current.m_entries.empty() &&
         m_current.m_firstIndex < aNewFirstIndex) {
    m_current.m_entries.pop_front();
    ++m_current.m_firstIndex;
  }
  return Sync();
}

StoreResult<void>
MemoryLogStore::Reset(uint64_t aNextIndex)
{
  if (auto writable = CheckWritable(); !writable) {
    return writable;
  }
  m_current.m_entries.clear();
  m_current.m_firstIndex = aNextIndex;
  m_firstUnsyncedIndex = 0;
  return {};
}

StoreResult<void>
MemoryLogStore::SetHardState(const wire::HardState& aHardState)
{
  if (auto writable = CheckWritable(); !writable) {
    return writable;
  }
  m_current.m_hardState = aHardState;
  return {};
}

StoreResult<void>
MemoryLogStore::Sync()
{
  if (m_failNextSync) {
    m_syncFailed = true;
    m_failNextSync = false;
    m_diskRepaired = false;
  }
  if (auto writable = CheckWritable(); !writable) {
    return writable;
  }
  ++m_syncCount;
  if (m_firstUnsyncedIndex == 0) {
    m_synced = m_current;
  }
  m_synced.m_hardState = m_current.m_hardState;
  while (!m_synced.m_entries.empty() &&
         m_synced.LastEntryIndex() >= m_firstUnsyncedIndex) {
    m_synced.m_entries.pop_back();
  }
  while (!m_synced.m_entries.empty() &&
         m_synced.m_firstIndex < m_current.m_firstIndex) {
    m_synced.m_entries.pop_front();
    ++m_synced.m_firstIndex;
  }
  m_synced.m_firstIndex = m_current.m_firstIndex;
  while (m_synced.LastEntryIndex() < m_current.LastEntryIndex()) {
    m_synced.m_entries.push_back(
      m_current.m_entries[m_synced.m_entries.size()]);
  }
  m_firstUnsyncedIndex = m_current.LastEntryIndex() + 1;
  return {};
}

StoreResult<void>
MemoryLogStore::Recover()
{
  if (m_syncFailed && !m_diskRepaired) {
    return CheckWritable();
  }
  if (m_syncFailed) {
    Crash();
  }
  return {};
}

void
MemoryLogStore::Crash()
{
  m_current = m_synced;
  m_firstUnsyncedIndex = m_current.LastEntryIndex() + 1;
  m_syncFailed = false;
  m_failNextSync = false;
}

} // namespace rattanloft::storage
