#pragma once

#include <deque>

#include "rattanloft/storage/LogStore.h"

namespace rattanloft::storage {

// A log store for tests that keeps its content in memory. Like a disk after a
// power loss, Crash() loses whatever was not synced.
class MemoryLogStore final : public LogStore
{
public:
  uint64_t FirstIndex() const override { return m_current.m_firstIndex; }
  uint64_t LastIndex() const override { return m_current.LastEntryIndex(); }
  wire::HardState GetHardState() const override
  {
    return m_current.m_hardState;
  }
  StoreResult<std::vector<wire::LogEntry>> Read(
    uint64_t aFirstIndex,
    uint64_t aLastIndex) const override;
  StoreResult<void> Append(std::span<const wire::LogEntry> aEntries) override;
  StoreResult<void> TruncateSuffix(uint64_t aFromIndex) override;
  StoreResult<void> CompactPrefix(uint64_t aNewFirstIndex) override;
  StoreResult<void> Reset(uint64_t aNextIndex) override;
  StoreResult<void> SetHardState(const wire::HardState& aHardState) override;
  StoreResult<void> Sync() override;
  StoreResult<void> Recover() override;

  // Restores the content of the last successful Sync() and accepts writes
  // again.
  void Crash();
  // Makes the next Sync() fail, and every change and Recover() after it until
  // Crash() or RepairDisk().
  void FailNextSync(bool aFail = true) { m_failNextSync = aFail; }
  // Lets Recover() succeed after a failed Sync().
  void RepairDisk() { m_diskRepaired = true; }
  bool HasFailed() const { return m_syncFailed; }
  uint64_t SyncCount() const { return m_syncCount; }

private:
  struct LogContent
  {
    uint64_t LastEntryIndex() const
    {
      return m_firstIndex + m_entries.size() - 1;
    }

    uint64_t m_firstIndex = 1;
    std::deque<wire::LogEntry> m_entries;
    wire::HardState m_hardState;
  };

  StoreResult<void> CheckWritable() const;

  LogContent m_current;
  LogContent m_synced;
  // Entries below this index that were not removed are equal in m_current and
  // m_synced. 0 after Reset(), when m_synced has to be replaced as a whole.
  uint64_t m_firstUnsyncedIndex = 1;
  bool m_failNextSync = false;
  bool m_syncFailed = false;
  bool m_diskRepaired = false;
  uint64_t m_syncCount = 0;
};

} // namespace rattanloft::storage
