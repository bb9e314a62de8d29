#include "rattanloft/storage/MemoryLogStore.h"

#include <algorithm>

namespace rattanloft::storage {

StoreResult<void>
MemoryLogStore::CheckWritable() const
{
  if (m_failed) {
    return tl::unexpected(
      StoreError{ StoreErrorCode::kIo, "an earlier sync failed" });
  }
  return {};
}

StoreResult<std::vector<wire::LogEntry>>
MemoryLogStore::Read(uint64_t aFirst, uint64_t aLast) const
{
  if (aFirst < FirstIndex() || aLast > LastIndex()) {
    return tl::unexpected(
      StoreError{ StoreErrorCode::kInvalidArgument, "read outside the log" });
  }
  std::vector<wire::LogEntry> result;
  for (uint64_t index = aFirst; index <= aLast; ++index) {
    result.push_back(m_current.m_entries[index - m_current.m_first]);
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
      return tl::unexpected(StoreError{ StoreErrorCode::kInvalidArgument,
                                        "gap in appended entries" });
    }
    m_current.m_entries.push_back(entry);
  }
  return {};
}

StoreResult<void>
MemoryLogStore::TruncateSuffix(uint64_t aFrom)
{
  if (auto writable = CheckWritable(); !writable) {
    return writable;
  }
  while (!m_current.m_entries.empty() && LastIndex() >= aFrom) {
    m_current.m_entries.pop_back();
  }
  m_dirtyFrom = std::min(m_dirtyFrom, aFrom);
  return {};
}

StoreResult<void>
MemoryLogStore::CompactPrefix(uint64_t aFirst)
{
  if (auto writable = CheckWritable(); !writable) {
    return writable;
  }
  if (m_current.m_entries.empty() || aFirst <= m_current.m_first) {
    return {};
  }
  while (!m_current.m_entries.empty() && m_current.m_first < aFirst) {
    m_current.m_entries.pop_front();
    ++m_current.m_first;
  }
  return Sync();
}

StoreResult<void>
MemoryLogStore::Reset(uint64_t aNext)
{
  if (auto writable = CheckWritable(); !writable) {
    return writable;
  }
  m_current.m_entries.clear();
  m_current.m_first = aNext;
  m_dirtyFrom = 0;
  return {};
}

StoreResult<void>
MemoryLogStore::SetHardState(const wire::HardState& aState)
{
  if (auto writable = CheckWritable(); !writable) {
    return writable;
  }
  m_current.m_state = aState;
  return {};
}

StoreResult<void>
MemoryLogStore::Sync()
{
  if (m_failNextSync) {
    m_failed = true;
    m_failNextSync = false;
  }
  if (auto writable = CheckWritable(); !writable) {
    return writable;
  }
  ++m_syncs;
  if (m_dirtyFrom == 0) {
    m_synced = m_current;
  }
  m_synced.m_state = m_current.m_state;
  while (!m_synced.m_entries.empty() && m_synced.Last() >= m_dirtyFrom) {
    m_synced.m_entries.pop_back();
  }
  while (!m_synced.m_entries.empty() && m_synced.m_first < m_current.m_first) {
    m_synced.m_entries.pop_front();
    ++m_synced.m_first;
  }
  m_synced.m_first = m_current.m_first;
  while (m_synced.Last() < m_current.Last()) {
    m_synced.m_entries.push_back(
      m_current.m_entries[m_synced.m_entries.size()]);
  }
  m_dirtyFrom = m_current.Last() + 1;
  return {};
}

void
MemoryLogStore::Crash()
{
  m_current = m_synced;
  m_dirtyFrom = m_current.Last() + 1;
  m_failed = false;
  m_failNextSync = false;
}

} // namespace rattanloft::storage
