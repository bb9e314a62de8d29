#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "raft.pb.h"
#include "rattanloft/storage/StoreError.h"

namespace rattanloft::storage {

// The durable log and hard state of one replica. Changes are visible to reads
// at once and durable after the next successful Sync(). After a failed change
// or Sync() every further change fails; reads still work. Used on one thread.
class LogStore
{
public:
  virtual ~LogStore() = default;

  // The first entry held; LastIndex() + 1 when there is none.
  virtual uint64_t FirstIndex() const = 0;
  // The last entry held or, when there is none, the one before the next append.
  virtual uint64_t LastIndex() const = 0;
  virtual wire::HardState GetHardState() const = 0;

  // Entries aFirst to aLast, both included.
  virtual StoreResult<std::vector<wire::LogEntry>> Read(
    uint64_t aFirstIndex,
    uint64_t aLastIndex) const = 0;

  // The entries must follow LastIndex() without a gap.
  virtual StoreResult<void> Append(
    std::span<const wire::LogEntry> aEntries) = 0;
  // Removes aFrom and everything after it.
  virtual StoreResult<void> TruncateSuffix(uint64_t aFromIndex) = 0;
  // Removes everything before aFirst. Syncs before it frees space.
  virtual StoreResult<void> CompactPrefix(uint64_t aNewFirstIndex) = 0;
  // Removes all entries; the next append starts at aNext. For an installed
  // snapshot.
  virtual StoreResult<void> Reset(uint64_t aNextIndex) = 0;
  virtual StoreResult<void> SetHardState(const wire::HardState& aHardState) = 0;
  virtual StoreResult<void> Sync() = 0;
};

} // namespace rattanloft::storage
