#pragma once

#include <deque>

#include "rattanloft/storage/LogStore.h"

namespace rattanloft::storage {

// A log store for tests that behaves like a disk: Crash() loses whatever was
// not synced.
class MemoryLogStore final : public LogStore
{
public:
  uint64_t FirstIndex() const override { return m_current.m_first; }
  uint64_t LastIndex() const override { return m_current.Last(); }
  wire::HardState GetHardState() const override { return m_current.m_state; }
  StoreResult<std::vector<wire::LogEntry>> Read(uint64_t aFirst,
                                                uint64_t aLast) const override;
  StoreResult<void> Append(std::span<const wire::LogEntry> aEntries) override;
  StoreResult<void> TruncateSuffix(uint64_t aFrom) override;
  StoreResult<void> CompactPrefix(uint64_t aFirst) override;
  StoreResult<void> Reset(uint64_t aNext) override;
  StoreResult<void> SetHardState(const wire::HardState& aState) override;
  StoreResult<void> Sync() override;

  // Returns to the state of the last Sync() and accepts writes again.
  void Crash();
  // The next Sync() fails, and every change after it until Crash().
  void FailNextSync(bool aFail = true) { m_failNextSync = aFail; }
  bool Failed() const { return m_failed; }
  uint64_t SyncCount() const { return m_syncs; }

private:
  struct Content
  {
    uint64_t Last() const { return m_first + m_entries.size() - 1; }

    uint64_t m_first = 1;
    std::deque<wire::LogEntry> m_entries;
    wire::HardState m_state;
  };

  StoreResult<void> CheckWritable() const;

  Content m_current;
  Content m_synced;
  // Entries below this index are equal in both contents.
  uint64_t m_dirtyFrom = 1;
  bool m_failNextSync = false;
  bool m_failed = false;
  uint64_t m_syncs = 0;
};

} // namespace rattanloft::storage
