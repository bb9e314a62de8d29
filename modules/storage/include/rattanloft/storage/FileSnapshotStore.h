#pragma once

#include "rattanloft/storage/DataFolder.h"
#include "rattanloft/storage/SnapshotStore.h"

namespace rattanloft::storage {

// Keeps the snapshot in one checksummed file, which Save() replaces atomically
// by a rename.
class FileSnapshotStore final : public SnapshotStore
{
public:
  explicit FileSnapshotStore(const DataFolder& aFolder)
    : m_folderPath(aFolder.Path())
  {
  }

  StoreResult<void> Save(const Snapshot& aSnapshot) override;
  StoreResult<std::optional<Snapshot>> Load() const override;

private:
  std::string m_folderPath;
};

} // namespace rattanloft::storage
