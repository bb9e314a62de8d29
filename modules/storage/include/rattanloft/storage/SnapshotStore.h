#pragma once

#include <optional>
#include <string>

#include "raft.pb.h"
#include "rattanloft/storage/StoreError.h"

namespace rattanloft::storage {

struct Snapshot
{
  wire::SnapshotMeta m_meta;
  std::string m_data;
};

// Holds the latest snapshot of one replica. Used on one thread.
class SnapshotStore
{
public:
  virtual ~SnapshotStore() = default;

  // Replaces the snapshot atomically; durable on success. After a failure the
  // previous snapshot is still there.
  virtual StoreResult<void> Save(const Snapshot& aSnapshot) = 0;
  // Empty when none was saved yet.
  virtual StoreResult<std::optional<Snapshot>> Load() const = 0;
};

} // namespace rattanloft::storage
