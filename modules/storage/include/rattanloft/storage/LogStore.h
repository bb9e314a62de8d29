#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "raft.pb.h"
#include "rattanloft/storage/StoreError.h"

namespace rattanloft::storage {

// The durable Raft log and hard state of one replica. Changes are visible to
// reads at once and durable after the next successful Sync(). Once a change or
// Sync() has failed with kIo, every further change fails until Recover()
// succeeds, while reads still work. Must be used on one thread.
class LogStore
{
public:
  virtual ~LogStore() = default;

  // Index of the first entry held, or LastIndex() + 1 if there is none.
  virtual uint64_t FirstIndex() const = 0;
  // Index of the last entry held or, if there is none, the index before that of
  // the next append.
  virtual uint64_t LastIndex() const = 0;
  virtual wire::HardState GetHardState() const = 0;

  // Returns the entries aFirstIndex to aLastIndex, both included.
  virtual StoreResult<std::vector<wire::LogEntry>> Read(
    uint64_t aFirstIndex,
    uint64_t aLastIndex) const = 0;

  // The entries must follow LastIndex() without a gap.
  virtual StoreResult<void> Append(
    std::span<const wire::LogEntry> aEntries) = 0;
  // Removes the entry at aFromIndex and all later ones.
  virtual StoreResult<void> TruncateSuffix(uint64_t aFromIndex) = 0;
  // Removes all entries before aNewFirstIndex. Syncs before it frees space.
  virtual StoreResult<void> CompactPrefix(uint64_t aNewFirstIndex) = 0;
  // Removes all entries, so that the next append starts at aNextIndex. Used
  // when a received snapshot replaces the log.
  virtual StoreResult<void> Reset(uint64_t aNextIndex) = 0;
  virtual StoreResult<void> SetHardState(const wire::HardState& aHardState) = 0;
  virtual StoreResult<void> Sync() = 0;

  // Tries to accept changes again after a failure. On success the store holds
  // what was durable before the failure, as after a restart of the process. No
  // effect if it fails, or if the store accepts changes.
  virtual StoreResult<void> Recover() = 0;
};

} // namespace rattanloft::storage
