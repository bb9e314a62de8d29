#pragma once

#include "rattanloft/storage/SnapshotStore.h"

namespace rattanloft::storage {

// A snapshot store for tests that keeps the snapshot in memory. Outlives the
// replica that uses it, like a disk.
class MemorySnapshotStore final : public SnapshotStore
{
public:
  StoreResult<void> Save(const Snapshot& aSnapshot) override;
  StoreResult<std::optional<Snapshot>> Load() const override;

  // Makes every Save() fail or succeed from now on.
  void SetSaveFails(bool aSaveFails) { m_saveFails = aSaveFails; }

private:
  std::optional<Snapshot> m_snapshot;
  bool m_saveFails = false;
};

} // namespace rattanloft::storage
