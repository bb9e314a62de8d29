#pragma once

#include <optional>
#include <string>

#include "raft.pb.h"
#include "rattanloft/storage/StoreError.h"

namespace rattanloft::storage {

// The state of a state machine after one log entry.
struct Snapshot
{
  // Index and term of that entry, and the group configuration after it.
  wire::SnapshotMeta m_meta;
  std::string m_data;
};

// Holds the latest snapshot of one replica. Must be used on one thread.
class SnapshotStore
{
public:
  virtual ~SnapshotStore() = default;

  // Replaces the snapshot atomically. It is durable on success; after a failure
  // the previous snapshot is still there.
  virtual StoreResult<void> Save(const Snapshot& aSnapshot) = 0;
  // Empty if none has been saved yet.
  virtual StoreResult<std::optional<Snapshot>> Load() const = 0;
};

} // namespace rattanloft::storage
