#include "rattanloft/storage/MemorySnapshotStore.h"

namespace rattanloft::storage {

StoreResult<void>
MemorySnapshotStore::Save(const Snapshot& aSnapshot)
{
  if (m_saveFails) {
    return tl::unexpected(
      StoreError{ StoreErrorCode::kIo, "the snapshot store refuses writes" });
  }
  m_snapshot = aSnapshot;
  return {};
}

StoreResult<std::optional<Snapshot>>
MemorySnapshotStore::Load() const
{
  return m_snapshot;
}

} // namespace rattanloft::storage
